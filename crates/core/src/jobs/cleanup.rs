//! Ending jobs of several chunks, and clearing what nothing needs any more.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::state::*;
use crate::workers::starts::Attempt;

impl Node {
    /// A job of several chunks is done once all of them are; a done chunk never changes.
    pub(crate) fn finish_jobs(&mut self) {
        let mut due = Vec::new();
        for (id, counts) in self.cache.counted() {
            let Some(job) = self.cache.job(id).filter(|j| j.phase == Phase::Open) else {
                continue;
            };
            if job.chunks() > 1 && counts.done == job.tasks && !self.finishing.contains(id) {
                due.push((id.to_string(), job.over(Phase::Done, self.wall)));
            }
        }
        for (id, over) in due {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.put(Key::Job(id.clone()), Record::Job(over));
            let txn = draft.finish();
            self.finishing.insert(id.clone());
            self.commit(txn, Purpose::Finish(id), Priority::Result);
        }
    }

    /// Cancels on record what needs a cancelled job. The node that was asked does so at once; the
    /// others follow should it not have. Until then such jobs are answered as cancelled all the
    /// same, so nothing depends on how soon that is.
    pub(crate) fn cascade(&mut self) {
        let doomed = self.cache.dependents().doomed();
        self.doomed_since.retain(|id, _| doomed.contains(id));
        for id in doomed {
            if !self.doomed_since.contains_key(id) {
                self.doomed_since.insert(id.clone(), self.now);
            }
        }
        let patience = CASCADE_PATIENCE_MS + self.settings.node_index() * NODE_STAGGER_MS;
        let late = |since: &Millis| self.now >= since + patience;
        if self.doomed_since.values().any(late) {
            self.cancel_doomed();
        }
    }

    pub(crate) fn cancel_doomed(&mut self) {
        let most = self.writes_left().min(self.settings.txn_ops);
        if self.cascade_busy || most == 0 || !self.state_ok() {
            return;
        }
        let mut draft = TransactionBuilder::limited(&self.cache, most);
        let mut jobs = Vec::new();
        for id in self.cache.dependents().doomed() {
            let Some(job) = self.cache.job(id).filter(|_| self.cache.doomed(id)) else {
                continue;
            };
            if !draft.has_room(&self.settings, 1, 1, SMALL_RECORD_BYTES) {
                break;
            }
            let over = job.over(Phase::Cancelled, self.wall);
            draft.put(Key::Job(id.clone()), Record::Job(over));
            jobs.push(id.clone());
        }
        if !jobs.is_empty() {
            let txn = draft.finish();
            self.cascade_busy = true;
            self.commit(txn, Purpose::Cascade(jobs), Priority::Result);
        }
    }

    /// Removes chunks and places of jobs that are over.
    pub(crate) fn sweep(&mut self) {
        if self.sweep_busy {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        for (job, counts) in self.cache.counted() {
            let over = self.cache.job(job).is_some_and(|j| j.phase != Phase::Open);
            if !over || counts.booked > 0 {
                continue;
            }
            for (n, _) in self.cache.chunks_of(job) {
                if draft.ops() < self.settings.txn_ops.div_ceil(2) {
                    draft.remove(Key::Chunk(job.to_string(), n));
                }
            }
        }
        for (job, _, _) in self.cache.places() {
            if draft.ops() < self.settings.txn_ops.div_ceil(2)
                && self.cache.job(job).is_some_and(|j| j.phase != Phase::Open)
            {
                draft.remove(Key::Place(job.to_string()));
            }
        }
        if !draft.is_empty() {
            let txn = draft.finish();
            self.sweep_busy = true;
            self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
        }
    }

    /// Forgets what belongs to machines that are gone.
    pub(crate) fn forget_old(&mut self) {
        let cache = &self.cache;
        self.signs.forget(|id| cache.machine(id).is_some());
        self.used_at.retain(|id, _| cache.machine(id).is_some());
        self.heard
            .retain(|id, h| cache.machine(id).is_some() || self.now.saturating_sub(h.at) < 60_000);
        self.standby.forget(|id| cache.machine(id).is_some());
        self.fetching.retain(|_, until| *until > self.now);
        self.turned_away.retain(|id, _| cache.machine(id).is_some());
        self.delete_tried
            .retain(|id, _| cache.machine(id).is_some());
        let mut starts = std::mem::take(&mut self.starts);
        let booked = |(task, at): &Attempt| self.cache.attempt(task, *at).is_some();
        starts.forget(booked, |id| self.last_check_in(id).unwrap_or(0));
        self.starts = starts;
    }
}
