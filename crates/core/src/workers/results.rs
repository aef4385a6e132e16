//! What heartbeats and deletions proved, on its way into the records: one transaction now and
//! then takes as much of it as fits.
//!
//! A heartbeat is answered before that. Its worker repeats what it reports until it is told to
//! forget it, which follows the commit, so a controller that ends in between loses nothing.

use crate::constants::{
    BACKLOG_RESULTS, MIN_CHANGES, MIN_CHANGES_BACKLOG, RESULTS_WRITE_INTERVAL_MS,
    RESULT_PATIENCE_MS, SMALL_RECORD_BYTES,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::{JobKind, Millis, TaskId};
use crate::scheduling::claims::{self, AttemptOutcome};
use crate::state::StartDelivery;
use crate::state::{Assignment, Key, MachinePhase, MachineRecord, Record, TransactionBuilder};
use crate::workers::termination::TerminationReason;
use std::collections::BTreeMap;

/// What became of an attempt, until that is recorded.
#[derive(Clone, Debug)]
pub(crate) struct EndedAttempt {
    pub outcome: AttemptOutcome,
    pub at: Millis,
    /// The proof is that this start never arrived, or is over with its incarnation. Should the same
    /// attempt's start be sent anew by another controller meanwhile, it proves nothing any more.
    pub rests_on: Option<StartDelivery>,
}

impl Controller {
    /// Records what is waiting for it, in order of what others wait for most: results, starts
    /// that a held heartbeat's answer shall carry, machines.
    pub(crate) fn write_results(&mut self) {
        if !self.sync.has_listed
            || !self.has_current_state()
            || self.cache.term().is_none()
            || !self.may_write()
            || self.now < self.write_back.written_at + RESULTS_WRITE_INTERVAL_MS
        {
            return;
        }
        let left = self.changes_left();
        if left < self.min_changes() || self.writes.pass_goes_first && self.is_pass_due() {
            return;
        }
        // Most events leave nothing to record: none of the below would draft anything.
        if self.write_back.results.is_empty()
            && self.write_back.checkpoints_due.is_empty()
            && self.write_back.machine_updates.is_empty()
            && self.workers.marked_for_termination.is_empty()
            && self.workers.held_heartbeats.is_empty()
            && self.provisioning.deletion_confirmed.is_empty()
        {
            return;
        }
        self.record_deleted();
        let cache = &self.cache;
        self.write_back.results.retain(|(task, at), ended| {
            let assignment = cache.attempt(task, *at);
            assignment.is_some_and(|b| {
                ended
                    .rests_on
                    .is_none_or(|delivery| delivery == b.delivery())
            })
        });
        self.write_back.checkpoints_due.retain(|(task, at)| {
            let assignment = cache.attempt(task, *at);
            assignment.is_some_and(|b| b.stop.is_none())
        });
        let mut seen = std::mem::take(&mut self.write_back.machine_updates);
        seen.retain(|id, seen| self.updated_record(id, seen).is_some());
        self.write_back.machine_updates = seen;

        // What waits for room must not wait for a long transaction as well.
        let most = match self.scheduling.has_pending_work {
            true => left.min(self.writes.max_result_changes / 2),
            false => left.min(self.writes.max_result_changes),
        };
        let most = most.max(MIN_CHANGES);
        let mut draft = TransactionBuilder::limited(&self.cache, most);
        let settings = &self.settings;
        let room = |draft: &TransactionBuilder, ops: usize| {
            let bytes = settings.max_value_bytes as usize + 2 * SMALL_RECORD_BYTES;
            draft.has_room(settings, ops, ops, bytes)
        };
        let mut full = false;
        let mut released = Vec::new();
        // When changes are short there are always results to fill a transaction. Machines that came
        // up would never be recorded then, nor used, and be given up as never heard of; what ran on
        // dead ones would not start anew, and cancelled tasks would outlive their time on others.
        // Up to half of the changes are left to these.
        let (lost, idle): (Vec<_>, Vec<_>) = (self.workers.marked_for_termination.iter())
            .filter(|(id, _)| {
                let phase = self.cache.machine(id).map(|m| m.phase);
                phase != Some(MachinePhase::Deprovisioning)
            })
            .partition(|(id, _)| self.cache.assigned_tasks(id) > 0);
        let ops = most.min(settings.max_transaction_changes);
        let share = (lost.len() + self.write_back.machine_updates.len()).min(ops / 2);
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
        let mut reply_start = Vec::new();
        for (id, held) in &self.workers.held_heartbeats {
            // As many as there is room for: a machine may lack hundreds of starts, which share
            // the puts of a few chunks. What is left goes with its next heartbeat.
            let position = held.position();
            let mut any = false;
            for (task, attempt) in self.starts_for_reply(held) {
                let known = self.chunk_key(&task).is_some_and(|key| draft.touches(&key));
                let left = if draft.is_empty() { 0 } else { share };
                if !room(&draft, usize::from(!known) + left) {
                    full = true;
                    break;
                }
                self.edit_assignment(&mut draft, &task, attempt, |b| {
                    b.direct_start = None;
                    b.reply_start = Some(position);
                });
                any = true;
            }
            if any {
                reply_start.push(id.clone());
            }
        }
        for (task, attempt) in &self.write_back.checkpoints_due {
            if room(&draft, 1 + share) {
                self.edit_assignment(&mut draft, task, *attempt, |b| {
                    b.stop = Some("notice".into());
                });
            }
        }
        let mut returning = false;
        let some_seen = usize::from(!self.write_back.machine_updates.is_empty());
        for (id, reason) in lost {
            if !room(&draft, 1 + some_seen) {
                full = true;
                break;
            }
            returning |= self.draft_deletion(&mut draft, id, *reason);
        }
        for (id, seen) in &self.write_back.machine_updates {
            if !room(&draft, 1) {
                full = true;
                break;
            }
            if let Some(machine) = self.updated_record(id, seen) {
                if !draft.touches(&Key::Machine(id.clone())) {
                    draft.put(Key::Machine(id.clone()), Record::Machine(machine));
                }
            }
        }
        for (id, reason) in idle {
            if !room(&draft, 1) {
                full = true;
                break;
            }
            returning |= self.draft_deletion(&mut draft, id, *reason);
        }
        for id in &self.provisioning.deletion_confirmed {
            // No claim can follow: each rests on the record as it was while the machine was up.
            if self.cache.assigned_tasks(id) == 0 && room(&draft, 1) {
                draft.remove(Key::Machine(id.clone()));
            }
        }
        let large = draft.drop_oversized(self.settings.max_value_bytes);
        if draft.is_empty() {
            self.log_oversized(large);
            return;
        }
        self.writes.pass_goes_first = true;
        self.write_back.written_at = if full { 0 } else { self.now };
        let transaction = draft.finish();
        let purpose = PendingOperation::WriteResults {
            reply_start,
            returning,
            released,
        };
        self.commit_assignments(transaction, purpose, RequestClass::Result);
        self.log_oversized(large);
    }

    /// Drafts that a machine is to be deleted; says whether there was need to.
    fn draft_deletion(
        &self,
        draft: &mut TransactionBuilder,
        id: &str,
        reason: TerminationReason,
    ) -> bool {
        let Some(mut machine) = draft.machine(id).or_else(|| self.record_of_provisioned(id)) else {
            return false;
        };
        if machine.phase == MachinePhase::Deprovisioning {
            return false;
        }
        let assignments = self.cache.assigned_tasks(id);
        tracing::info!(
            machine = id,
            assignments,
            reason = reason.as_str(),
            "deletion of machine to be recorded"
        );
        machine.phase = MachinePhase::Deprovisioning;
        draft.put(Key::Machine(id.to_string()), Record::Machine(machine));
        true
    }

    /// Changes that must be left for the next transaction: more while much waits to be recorded.
    /// Results that share a chunk, and claims that share a team's record, then share their puts.
    pub(crate) fn min_changes(&self) -> usize {
        match self.write_back.results.len() > BACKLOG_RESULTS {
            true => MIN_CHANGES_BACKLOG
                .min(self.writes.max_result_changes)
                .min(self.writes.budget.most()),
            false => MIN_CHANGES,
        }
    }

    /// Results in the order in which they are recorded: those of services, which are down until
    /// then; what has waited long; then those that share a chunk with most others, since a chunk
    /// costs one change however many they are.
    fn results_in_turn(&self) -> Vec<(&TaskId, u64, AttemptOutcome)> {
        let chunk_of = |task: &TaskId| {
            let job = self.cache.job(&task.job);
            job.map_or(task.index, |j| j.chunk_of(task.index))
        };
        let mut chunks: BTreeMap<(&str, u32), (usize, Millis)> = BTreeMap::new();
        for ((task, _), EndedAttempt { at, .. }) in &self.write_back.results {
            let (count, first) = chunks
                .entry((&task.job, chunk_of(task)))
                .or_insert((0, *at));
            *count += 1;
            *first = (*first).min(*at);
        }
        let mut turn: Vec<_> = (self.write_back.results.iter())
            .map(|((task, attempt), EndedAttempt { outcome, .. })| {
                let chunk = (task.job.as_str(), chunk_of(task));
                let (count, first) = chunks[&chunk];
                let patient = self.now < first + RESULT_PATIENCE_MS;
                let priority = if patient { usize::MAX - count } else { 0 };
                let spec = self.cache.open_job(&task.job);
                let other = spec.is_none_or(|s| s.kind != JobKind::Service);
                (
                    (other, patient, priority, first, chunk),
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

    pub(crate) fn results_written(
        &mut self,
        reply_start: Vec<String>,
        returning: bool,
        committed: bool,
    ) {
        if !committed {
            self.writes.max_result_changes = (self.writes.max_result_changes / 2).max(MIN_CHANGES);
            self.writes.pass_goes_first = false;
            return;
        }
        self.writes.max_result_changes =
            (self.writes.max_result_changes * 2).min(self.settings.max_transaction_changes);
        self.scheduling.pass_requested = true;
        let cache = &self.cache;
        self.workers.marked_for_termination.retain(|id, _| {
            let phase = cache.machine(id).map(|m| m.phase);
            phase.is_some_and(|p| p != MachinePhase::Deprovisioning)
        });
        for id in reply_start {
            self.reply_to_held(&id);
        }
        if returning {
            self.send_deletions();
        }
    }

    /// The cloud's 200 to a deletion proves that everything on the machine is gone.
    fn record_deleted(&mut self) {
        let cache = &self.cache;
        self.provisioning
            .deletion_confirmed
            .retain(|id| cache.machine(id).is_some());
        for id in &self.provisioning.deletion_confirmed {
            for (task, p) in self.cache.assignments(id) {
                let key = (task.clone(), p.assignment.attempt);
                // Stronger than what may wait there: it holds however the start travels.
                let ended = EndedAttempt {
                    outcome: AttemptOutcome::Terminated,
                    at: self.now,
                    rests_on: None,
                };
                let known = self.write_back.results.entry(key).or_insert(ended);
                known.rests_on = None;
            }
        }
    }

    fn chunk_key(&self, task: &TaskId) -> Option<Key> {
        let n = self.cache.job(&task.job)?.chunk_of(task.index);
        Some(Key::Chunk(task.job.clone(), n))
    }

    /// Changes one assignment; the caller has seen to the transaction's room.
    pub(crate) fn edit_assignment(
        &self,
        draft: &mut TransactionBuilder,
        task: &TaskId,
        attempt: u64,
        edit: impl FnOnce(&mut Assignment),
    ) {
        let Some(job) = self.cache.job(&task.job) else {
            return;
        };
        let n = job.chunk_of(task.index);
        if draft.assignment(task).is_none_or(|b| b.attempt != attempt) {
            return;
        }
        if let Some(b) = draft
            .chunk_mut(&task.job, n, || None)
            .and_then(|c| c.assignment_mut(task.index))
        {
            edit(b);
        }
    }

    /// The record of a machine that an instance request brought and that was never heard of.
    fn record_of_provisioned(&self, id: &str) -> Option<MachineRecord> {
        let (_, instance_request, _) = self
            .cache
            .instance_requests()
            .find(|(_, h, _)| h.instances.iter().flatten().any(|instance| instance == id))?;
        (!self.workers.recently_deleted.contains(id)).then(|| {
            MachineRecord::new(
                &instance_request.type_name,
                &instance_request.zone,
                instance_request.spot,
                MachinePhase::Booting,
                self.wall,
            )
        })
    }
}
