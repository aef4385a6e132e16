//! Ending jobs of several chunks, and clearing what nothing needs any more.

use crate::constants::{CASCADE_PATIENCE_MS, CONTROLLER_STAGGER_MS, SMALL_RECORD_BYTES};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::Millis;
use crate::state::{JobPhase, Key, Record, TransactionBuilder};
use crate::workers::starts::Attempt;

impl Controller {
    /// A job of several chunks is done once all of them are; a done chunk never changes.
    pub(crate) fn finish_jobs(&mut self) {
        let mut due = Vec::new();
        for (id, counts) in self.cache.counted() {
            let Some(job) = self.cache.job(id).filter(|j| j.phase == JobPhase::Open) else {
                continue;
            };
            if job.chunks() > 1 && counts.done == job.tasks && !self.cleanup.finishing.contains(id)
            {
                due.push((id.to_string(), job.over(JobPhase::Done, self.wall)));
            }
        }
        for (id, over) in due {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.put(Key::Job(id.clone()), Record::Job(over));
            let transaction = draft.finish();
            self.cleanup.finishing.insert(id.clone());
            self.commit(
                transaction,
                PendingOperation::FinishJob(id),
                RequestClass::Result,
            );
        }
    }

    /// Cancels on record what needs a cancelled job. The controller that was asked does so at once; the
    /// others follow should it not have. Until then such jobs are answered as cancelled all the
    /// same, so nothing depends on how soon that is.
    pub(crate) fn cancel_overdue_dependents(&mut self) {
        let doomed = self.cache.dependents().doomed();
        self.cleanup
            .cancelled_dependency_since
            .retain(|id, _| doomed.contains(id));
        for id in doomed {
            if !self.cleanup.cancelled_dependency_since.contains_key(id) {
                self.cleanup
                    .cancelled_dependency_since
                    .insert(id.clone(), self.now);
            }
        }
        let patience =
            CASCADE_PATIENCE_MS + self.settings.controller_index() * CONTROLLER_STAGGER_MS;
        let late = |since: &Millis| self.now >= since + patience;
        if self.cleanup.cancelled_dependency_since.values().any(late) {
            self.cancel_dependents();
        }
    }

    pub(crate) fn cancel_dependents(&mut self) {
        let most = self
            .changes_left()
            .min(self.settings.max_transaction_changes);
        if self.cleanup.dependents_cancellation_in_flight || most == 0 || !self.has_current_state()
        {
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
            let over = job.over(JobPhase::Cancelled, self.wall);
            draft.put(Key::Job(id.clone()), Record::Job(over));
            jobs.push(id.clone());
        }
        if !jobs.is_empty() {
            let transaction = draft.finish();
            self.cleanup.dependents_cancellation_in_flight = true;
            self.commit(
                transaction,
                PendingOperation::CancelDependents(jobs),
                RequestClass::Result,
            );
        }
    }

    /// Removes chunks and places of jobs that are over.
    pub(crate) fn remove_obsolete_records(&mut self) {
        if self.cleanup.removal_in_flight {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        for (job, counts) in self.cache.counted() {
            let over = self
                .cache
                .job(job)
                .is_some_and(|j| j.phase != JobPhase::Open);
            if !over || counts.assigned > 0 {
                continue;
            }
            for (n, _) in self.cache.chunks_of(job) {
                if draft.ops() < self.settings.max_transaction_changes.div_ceil(2) {
                    draft.remove(Key::Chunk(job.to_string(), n));
                }
            }
        }
        for (job, _, _) in self.cache.places() {
            if draft.ops() < self.settings.max_transaction_changes.div_ceil(2)
                && self
                    .cache
                    .job(job)
                    .is_some_and(|j| j.phase != JobPhase::Open)
            {
                draft.remove(Key::ZoneSpread(job.to_string()));
            }
        }
        if !draft.is_empty() {
            let transaction = draft.finish();
            self.cleanup.removal_in_flight = true;
            self.commit(
                transaction,
                PendingOperation::RemoveObsolete,
                RequestClass::Housekeeping,
            );
        }
    }

    /// Forgets what belongs to machines that are gone.
    pub(crate) fn forget_deleted_machines(&mut self) {
        let cache = &self.cache;
        self.workers
            .observations
            .forget(|id| cache.machine(id).is_some());
        self.workers
            .last_assigned_at
            .retain(|id, _| cache.machine(id).is_some());
        self.workers
            .last_heartbeats
            .retain(|id, h| cache.machine(id).is_some() || self.now.saturating_sub(h.at) < 60_000);
        self.peers.retain_machines(|id| cache.machine(id).is_some());
        self.workers
            .fetching_until
            .retain(|_, until| *until > self.now);
        self.workers
            .redirected_at
            .retain(|id, _| cache.machine(id).is_some());
        self.provisioning
            .deletion_tried_at
            .retain(|id, _| cache.machine(id).is_some());
        let mut starts = std::mem::take(&mut self.workers.starts);
        let assigned = |(task, at): &Attempt| self.cache.attempt(task, *at).is_some();
        starts.forget(assigned, |id| self.last_worker_heartbeat(id).unwrap_or(0));
        self.workers.starts = starts;
    }
}
