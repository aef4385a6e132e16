//! What check-ins and deletions proved, on its way into the records: one transaction now and
//! then takes as much of it as fits.
//!
//! A check-in is answered before that. Its worker repeats what it reports until it is told to
//! forget it, which follows the commit, so a node that ends in between loses nothing.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::scheduling::claims::{self, Outcome};
use crate::state::*;
use std::collections::BTreeMap;

/// How a booking's start travels: what it is armed for, or the direct command.
pub(crate) type Travel = (Option<(u64, u64)>, Option<(u64, u64)>);

/// What became of an attempt, until that is recorded.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub outcome: Outcome,
    pub at: Millis,
    /// The proof is that this start never arrived, or is over with its session. Should the same
    /// attempt's start be sent anew by another node meanwhile, it proves nothing any more.
    pub rests_on: Option<Travel>,
}

impl Node {
    /// Records what is waiting for it, in order of what others wait for most: results, starts
    /// that a held check-in's answer shall carry, machines.
    pub(crate) fn flush(&mut self) {
        if !self.loaded
            || !self.state_ok()
            || self.cache.term().is_none()
            || !self.may_write()
            || self.now < self.flushed_at + FLUSH_GAP_MS
        {
            return;
        }
        let left = self.writes_left();
        if left < self.writes_least() || self.lookup_next && self.lookup_due() {
            return;
        }
        // Most events leave nothing to record: none of the below would draft anything.
        if self.results.is_empty()
            && self.saves.is_empty()
            && self.seen.is_empty()
            && self.condemned.is_empty()
            && self.held.is_empty()
            && self.deleted.is_empty()
        {
            return;
        }
        self.take_deleted();
        let cache = &self.cache;
        self.results.retain(|(task, at), ended| {
            let booking = cache.attempt(task, *at);
            booking.is_some_and(|b| ended.rests_on.is_none_or(|t| t == (b.armed, b.direct)))
        });
        self.saves.retain(|(task, at)| {
            let booking = cache.attempt(task, *at);
            booking.is_some_and(|b| b.stop.is_none())
        });
        let mut seen = std::mem::take(&mut self.seen);
        seen.retain(|id, seen| self.updated(id, seen).is_some());
        self.seen = seen;

        // What waits for room must not wait for a long transaction as well.
        let most = match self.waiting_work {
            true => left.min(self.flush_ops / 2),
            false => left.min(self.flush_ops),
        };
        let most = most.max(WRITES_LEAST);
        let mut draft = TransactionBuilder::limited(&self.cache, most);
        let settings = &self.settings;
        let room = |draft: &TransactionBuilder, ops: usize| {
            let bytes = settings.value_bytes as usize + 2 * SMALL_RECORD_BYTES;
            draft.has_room(settings, ops, ops, bytes)
        };
        let mut full = false;
        let mut released = Vec::new();
        // When changes are short there are always results to fill a transaction. Machines that came
        // up would never be recorded then, nor used, and be given up as never heard of; what ran on
        // dead ones would not start anew, and cancelled tasks would outlive their time on others.
        // Up to half of the changes are left to these.
        let (lost, idle): (Vec<_>, Vec<_>) = (self.condemned.iter())
            .filter(|(id, _)| {
                let phase = self.cache.machine(id).map(|m| m.phase);
                phase != Some(MachinePhase::Returning)
            })
            .partition(|(id, _)| self.cache.booked_tasks(id) > 0);
        let ops = most.min(settings.txn_ops);
        let share = (lost.len() + self.seen.len()).min(ops / 2);
        for (task, attempt, outcome) in self.results_in_turn() {
            let left = if draft.is_empty() { 0 } else { share };
            if !room(
                &draft,
                claims::release_changes(&draft, task, outcome) + left,
            ) {
                full = true;
                break;
            }
            claims::release(&mut draft, task, attempt, outcome, self.wall);
            released.push((task.clone(), attempt));
        }
        let mut armed = Vec::new();
        for (id, held) in &self.held {
            // As many as there is room for: a machine may lack hundreds of starts, which share
            // the puts of a few chunks. What is left goes with its next check-in.
            let mark = held.mark();
            let mut any = false;
            for (task, attempt) in self.to_arm(held) {
                let known = self.chunk_key(&task).is_some_and(|key| draft.touches(&key));
                let left = if draft.is_empty() { 0 } else { share };
                if !room(&draft, usize::from(!known) + left) {
                    full = true;
                    break;
                }
                self.edit_booking(&mut draft, &task, attempt, |b| {
                    b.direct = None;
                    b.armed = Some(mark);
                });
                any = true;
            }
            if any {
                armed.push(id.clone());
            }
        }
        for (task, attempt) in &self.saves {
            if room(&draft, 1 + share) {
                self.edit_booking(&mut draft, task, *attempt, |b| {
                    b.stop = Some("notice".into());
                });
            }
        }
        let mut returning = false;
        let some_seen = usize::from(!self.seen.is_empty());
        for (id, why) in lost {
            if !room(&draft, 1 + some_seen) {
                full = true;
                break;
            }
            returning |= self.draft_deletion(&mut draft, id, why);
        }
        for (id, seen) in &self.seen {
            if !room(&draft, 1) {
                full = true;
                break;
            }
            if let Some(machine) = self.updated(id, seen) {
                if !draft.touches(&Key::Machine(id.clone())) {
                    draft.put(Key::Machine(id.clone()), Record::Machine(machine));
                }
            }
        }
        for (id, why) in idle {
            if !room(&draft, 1) {
                full = true;
                break;
            }
            returning |= self.draft_deletion(&mut draft, id, why);
        }
        for id in &self.deleted {
            // No claim can follow: each rests on the record as it was while the machine was up.
            if self.cache.booked_tasks(id) == 0 && room(&draft, 1) {
                draft.remove(Key::Machine(id.clone()));
            }
        }
        let large = draft.drop_oversized(self.settings.value_bytes);
        if draft.is_empty() {
            self.too_large(large);
            return;
        }
        self.lookup_next = true;
        self.flushed_at = if full { 0 } else { self.now };
        let txn = draft.finish();
        let purpose = Purpose::Flush {
            armed,
            returning,
            released,
        };
        self.commit_bookings(txn, purpose, Priority::Result);
        self.too_large(large);
    }

    /// Drafts that a machine is to be deleted; says whether there was need to.
    fn draft_deletion(&self, draft: &mut TransactionBuilder, id: &str, why: &str) -> bool {
        let Some(mut machine) = draft.machine(id).or_else(|| self.rented_record(id)) else {
            return false;
        };
        if machine.phase == MachinePhase::Returning {
            return false;
        }
        let bookings = self.cache.booked_tasks(id);
        tracing::info!(machine = id, bookings, why, "deleting");
        machine.phase = MachinePhase::Returning;
        draft.put(Key::Machine(id.to_string()), Record::Machine(machine));
        true
    }

    /// Changes that must be left for the next transaction: more while much waits to be recorded.
    /// Results that share a chunk, and claims that share a team's record, then share their puts.
    pub(crate) fn writes_least(&self) -> usize {
        match self.results.len() > BACKLOG_RESULTS {
            true => WRITES_BATCH.min(self.flush_ops).min(self.writes.most()),
            false => WRITES_LEAST,
        }
    }

    /// Results in the order in which they are recorded: those of services, which are down until
    /// then; what has waited long; then those that share a chunk with most others, since a chunk
    /// costs one change however many they are.
    fn results_in_turn(&self) -> Vec<(&TaskId, u64, Outcome)> {
        let chunk_of = |task: &TaskId| {
            let job = self.cache.job(&task.job);
            job.map_or(task.index, |j| j.chunk_of(task.index))
        };
        let mut chunks: BTreeMap<(&str, u32), (usize, Millis)> = BTreeMap::new();
        for ((task, _), Ended { at, .. }) in &self.results {
            let (count, first) = chunks
                .entry((&task.job, chunk_of(task)))
                .or_insert((0, *at));
            *count += 1;
            *first = (*first).min(*at);
        }
        let mut turn: Vec<_> = (self.results.iter())
            .map(|((task, attempt), Ended { outcome, .. })| {
                let chunk = (task.job.as_str(), chunk_of(task));
                let (count, first) = chunks[&chunk];
                let patient = self.now < first + RESULT_PATIENCE_MS;
                let rank = if patient { usize::MAX - count } else { 0 };
                let spec = self.cache.open_job(&task.job);
                let other = spec.is_none_or(|s| s.shape != Shape::Service);
                (
                    (other, patient, rank, first, chunk),
                    task,
                    *attempt,
                    *outcome,
                )
            })
            .collect();
        turn.sort_by(|a, b| a.0.cmp(&b.0));
        turn.into_iter()
            .map(|(_, task, attempt, outcome)| (task, attempt, outcome))
            .collect()
    }

    pub(crate) fn flushed(&mut self, armed: Vec<String>, returning: bool, committed: bool) {
        if !committed {
            self.flush_ops = (self.flush_ops / 2).max(WRITES_LEAST);
            self.lookup_next = false;
            return;
        }
        self.flush_ops = (self.flush_ops * 2).min(self.settings.txn_ops);
        self.lookup_wanted = true;
        let cache = &self.cache;
        self.condemned.retain(|id, _| {
            let phase = cache.machine(id).map(|m| m.phase);
            phase.is_some_and(|p| p != MachinePhase::Returning)
        });
        for id in armed {
            self.answer_held(&id);
        }
        if returning {
            self.send_delete();
        }
    }

    /// The cloud's 200 to a deletion proves that everything on the machine is gone.
    fn take_deleted(&mut self) {
        let cache = &self.cache;
        self.deleted.retain(|id| cache.machine(id).is_some());
        for id in &self.deleted {
            for (task, p) in self.cache.bookings(id) {
                let key = (task.clone(), p.booking.attempt);
                // Stronger than what may wait there: it holds however the start travels.
                let ended = Ended {
                    outcome: Outcome::Gone,
                    at: self.now,
                    rests_on: None,
                };
                let known = self.results.entry(key).or_insert(ended);
                known.rests_on = None;
            }
        }
    }

    fn chunk_key(&self, task: &TaskId) -> Option<Key> {
        let n = self.cache.job(&task.job)?.chunk_of(task.index);
        Some(Key::Chunk(task.job.clone(), n))
    }

    /// Changes one booking; the caller has seen to the transaction's room.
    pub(crate) fn edit_booking(
        &self,
        draft: &mut TransactionBuilder,
        task: &TaskId,
        attempt: u64,
        edit: impl FnOnce(&mut Booking),
    ) {
        let Some(job) = self.cache.job(&task.job) else {
            return;
        };
        let n = job.chunk_of(task.index);
        if draft.booking(task).is_none_or(|b| b.attempt != attempt) {
            return;
        }
        if let Some(b) = draft
            .chunk_mut(&task.job, n, || None)
            .and_then(|c| c.booking_mut(task.index))
        {
            edit(b);
        }
    }

    /// Commits, with the next flush, that a machine is to be deleted. Its bookings stay until
    /// that is proven.
    pub(crate) fn condemn(&mut self, id: &str, why: &'static str) {
        let phase = self.cache.machine(id).map(|m| m.phase);
        if phase != Some(MachinePhase::Returning) {
            self.condemned.entry(id.to_string()).or_insert(why);
        }
    }

    /// The record of a machine that a rental brought and that was never heard of.
    fn rented_record(&self, id: &str) -> Option<MachineRecord> {
        let (_, hire, _) = self
            .cache
            .hires()
            .find(|(_, h, _)| h.hosts.iter().flatten().any(|host| host == id))?;
        (!self.gone.contains(id)).then(|| {
            MachineRecord::new(
                &hire.type_name,
                &hire.zone,
                hire.spot,
                MachinePhase::Booting,
                self.wall,
            )
        })
    }
}
