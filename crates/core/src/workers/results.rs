//! Writing of evidence from heartbeats and deletions to the state store: each transaction at the
//! write interval takes as much of it as fits.
//!
//! The controller replies to heartbeats before it writes their evidence. A worker repeats each result until it
//! gets the command to forget it, which happens after the commit, so a controller that ends in between loses
//! nothing.

use crate::constants::{
    BACKLOG_MIN_AVAILABLE_CHANGES, BACKLOG_MIN_RESULTS, MIN_AVAILABLE_CHANGES,
    RESULTS_WRITE_INTERVAL_MS, RESULT_MAX_DELAY_MS, SMALL_RECORD_BYTES,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::{JobKind, Millis, TaskId};
use crate::scheduling::releases::{self, AttemptOutcome};
use crate::settings::Settings;
use crate::state::StartDelivery;
use crate::state::{Assignment, Key, MachinePhase, Record, TransactionBuilder};
use std::collections::BTreeMap;

/// An attempt that has ended, until its end is recorded.
#[derive(Clone, Debug)]
pub(crate) struct EndedAttempt {
    pub outcome: AttemptOutcome,
    pub at: Millis,
    /// The delivery on which the proof is conditional: it shows only that this delivery of the
    /// start never arrived, or that its incarnation has ended. If another controller sends the start
    /// of the same attempt again meanwhile, the proof is void.
    pub conditional_on: Option<StartDelivery>,
}

/// A draft of a transaction of results.
pub(super) struct ResultsDraft<'a> {
    pub(super) builder: TransactionBuilder<'a>,
    settings: &'a Settings,
    /// Number of changes that results and starts leave for machine records.
    reserved_for_machines: usize,
    /// Whether something in the queue did not fit.
    pub(super) is_full: bool,
}

impl ResultsDraft<'_> {
    /// Returns whether this number of further changes fits.
    pub(super) fn has_room(&self, changes: usize) -> bool {
        let bytes = self.settings.max_value_bytes as usize + 2 * SMALL_RECORD_BYTES;
        self.builder
            .has_room(self.settings, changes, changes, bytes)
    }

    /// Returns whether this number of further changes fits without the changes reserved for machine
    /// records. The first change of a transaction may use the reserve.
    fn has_unreserved_room(&self, changes: usize) -> bool {
        let reserved = match self.builder.is_empty() {
            true => 0,
            false => self.reserved_for_machines,
        };
        self.has_room(changes + reserved)
    }
}

impl Controller {
    /// Records the queued evidence in one transaction, most urgent first: results, then starts that
    /// go into the replies to held heartbeats, then machine records.
    pub(crate) fn write_results(&mut self) {
        let Some(changes_left) = self.changes_for_results() else {
            return;
        };
        self.queue_results_of_deleted_machines();
        self.drop_outdated_evidence();
        self.drop_outdated_marks();

        let max_changes = self.max_result_changes(changes_left);
        // While the rate limit is short of changes, results alone would fill every transaction.
        // Machines that came up would then never be recorded or used, and would be deleted as machines
        // that never came up; tasks on unreachable machines would not restart, and cancelled tasks on
        // others would outlive their time limit. Up to half of the changes are therefore reserved
        // for machine records.
        let (in_use, idle) = self.machines_to_delete();
        let waiting = in_use.len() + self.write_back.machine_updates.len();
        let limit = max_changes.min(self.settings.max_transaction_changes);
        let mut draft = ResultsDraft {
            builder: TransactionBuilder::with_max_changes(&self.cache, max_changes),
            settings: &self.settings,
            reserved_for_machines: waiting.min(limit / 2),
            is_full: false,
        };
        let released = self.draft_results(&mut draft);
        let machines_to_start = self.draft_reply_starts(&mut draft);
        self.draft_checkpoints(&mut draft);
        let reserved_for_updates = usize::from(!self.write_back.machine_updates.is_empty());
        let mut deprovisions_machines =
            self.draft_deletions(&mut draft, in_use, reserved_for_updates);
        self.draft_machine_updates(&mut draft);
        deprovisions_machines |= self.draft_deletions(&mut draft, idle, 0);
        self.draft_confirmed_deletions(&mut draft);

        let is_full = draft.is_full;
        let mut builder = draft.builder;
        let oversized = builder.drop_oversized(self.settings.max_value_bytes);
        if builder.is_empty() {
            self.log_oversized(oversized);
            return;
        }
        self.writes.pass_has_priority = true;
        self.write_back.written_at = if is_full { 0 } else { self.now };
        let transaction = builder.finish();
        let purpose = PendingOperation::WriteResults {
            machines_to_start,
            deprovisions_machines,
            ended_attempts: released,
        };
        self.commit_assignments(transaction, purpose, RequestClass::Result);
        self.log_oversized(oversized);
    }

    /// Returns the number of changes that may be made now, or `None` if there is nothing to record
    /// or no transaction may be sent.
    fn changes_for_results(&mut self) -> Option<usize> {
        if !self.list_watch.has_listed
            || !self.has_current_state()
            || self.cache.term().is_none()
            || !self.may_write()
            || self.now < self.write_back.written_at + RESULTS_WRITE_INTERVAL_MS
        {
            return None;
        }
        let pass_has_priority = self.writes.pass_has_priority && self.is_pass_due();
        let changes_left = self.changes_left();
        if changes_left < self.min_changes() || pass_has_priority {
            return None;
        }
        // Most events leave nothing to record.
        let is_idle = self.write_back.results.is_empty()
            && self.write_back.checkpoints_due.is_empty()
            && self.write_back.machine_updates.is_empty()
            && self.workers.marked_for_termination.is_empty()
            && self.workers.held_heartbeats.is_empty()
            && self.provisioning.deletion_confirmed.is_empty();
        (!is_idle).then_some(changes_left)
    }

    /// Drops evidence that is on record by now, or that the records have made irrelevant.
    fn drop_outdated_evidence(&mut self) {
        let cache = &self.cache;
        self.write_back.results.retain(|(task, attempt), ended| {
            let assignment = cache.assignment_of_attempt(task, *attempt);
            assignment.is_some_and(|assignment| {
                let delivery = ended.conditional_on;
                delivery.is_none_or(|delivery| delivery == assignment.delivery())
            })
        });
        self.write_back.checkpoints_due.retain(|(task, attempt)| {
            let assignment = cache.assignment_of_attempt(task, *attempt);
            assignment.is_some_and(|assignment| assignment.stop_reason.is_none())
        });
        let mut updates = std::mem::take(&mut self.write_back.machine_updates);
        updates.retain(|id, update| self.updated_record(id, update).is_some());
        self.write_back.machine_updates = updates;
    }

    /// Returns the number of changes that the next transaction of results may make.
    fn max_result_changes(&self, changes_left: usize) -> usize {
        // Tasks that wait for capacity must not wait for a long transaction as well.
        let max_changes = match self.scheduling.has_pending_work {
            true => self.writes.max_result_changes / 2,
            false => self.writes.max_result_changes,
        };
        changes_left.min(max_changes).max(MIN_AVAILABLE_CHANGES)
    }

    /// Drafts the results of ended attempts; returns the attempts.
    fn draft_results(&self, draft: &mut ResultsDraft) -> Vec<(TaskId, u64)> {
        let mut released = Vec::new();
        for (task, attempt, outcome) in self.results_in_priority_order() {
            let changes = releases::max_release_changes(&draft.builder, task, outcome);
            if !draft.has_unreserved_room(changes) {
                draft.is_full = true;
                break;
            }
            releases::release(&mut draft.builder, task, attempt, outcome, self.wall_time);
            released.push((task.clone(), attempt));
        }
        released
    }

    /// Drafts the starts that go into the replies to held heartbeats; returns their machines.
    fn draft_reply_starts(&self, draft: &mut ResultsDraft) -> Vec<String> {
        let mut machines = Vec::new();
        for (id, held) in &self.workers.held_heartbeats {
            // Drafts as many as fit: a machine may lack hundreds of starts, which share the puts of a few
            // chunks. The others go with its next heartbeat.
            let position = held.position();
            let mut has_drafted = false;
            for (task, attempt) in self.starts_for_reply(held) {
                let key = self.chunk_key(&task);
                let is_touched = key.is_some_and(|key| draft.builder.has_change(&key));
                if !draft.has_unreserved_room(usize::from(!is_touched)) {
                    draft.is_full = true;
                    break;
                }
                self.edit_assignment(&mut draft.builder, &task, attempt, |assignment| {
                    assignment.direct_start = None;
                    assignment.reply_start = Some(position);
                });
                has_drafted = true;
            }
            if has_drafted {
                machines.push(id.clone());
            }
        }
        machines
    }

    /// Drafts the stops of tasks that are to save a checkpoint before their machine is reclaimed.
    fn draft_checkpoints(&self, draft: &mut ResultsDraft) {
        for (task, attempt) in &self.write_back.checkpoints_due {
            if draft.has_room(1 + draft.reserved_for_machines) {
                self.edit_assignment(&mut draft.builder, task, *attempt, |assignment| {
                    assignment.stop_reason = Some("notice".into());
                });
            }
        }
    }

    /// Drafts the machine record changes that heartbeats gave evidence of.
    fn draft_machine_updates(&self, draft: &mut ResultsDraft) {
        for (id, update) in &self.write_back.machine_updates {
            if !draft.has_room(1) {
                draft.is_full = true;
                break;
            }
            let Some(machine) = self.updated_record(id, update) else {
                continue;
            };
            let key = Key::Machine(id.clone());
            if !draft.builder.has_change(&key) {
                draft.builder.put(key, Record::Machine(machine));
            }
        }
    }

    /// Returns the number of changes that must be available for the next transaction. With a
    /// backlog of results it is higher, so that results that share a chunk, and claims that share a
    /// team's record, share their puts.
    pub(crate) fn min_changes(&self) -> usize {
        match self.write_back.results.len() > BACKLOG_MIN_RESULTS {
            true => BACKLOG_MIN_AVAILABLE_CHANGES
                .min(self.writes.max_result_changes)
                .min(self.writes.budget.capacity()),
            false => MIN_AVAILABLE_CHANGES,
        }
    }

    /// Returns the results in the order in which they are recorded: first those of services, which
    /// are down until then; next those that have waited long; then those that share a chunk with
    /// the most others, since a chunk costs one change regardless of the number of its results.
    fn results_in_priority_order(&self) -> Vec<(&TaskId, u64, AttemptOutcome)> {
        let chunk_of = |task: &TaskId| {
            let job = self.cache.job(&task.job);
            job.map_or(task.index, |j| j.chunk_of(task.index))
        };
        let mut chunks: BTreeMap<(&str, u32), (usize, Millis)> = BTreeMap::new();
        for ((task, _), EndedAttempt { at, .. }) in &self.write_back.results {
            let (count, first_at) = chunks
                .entry((&task.job, chunk_of(task)))
                .or_insert((0, *at));
            *count += 1;
            *first_at = (*first_at).min(*at);
        }
        let mut ordered: Vec<_> = (self.write_back.results.iter())
            .map(|((task, attempt), EndedAttempt { outcome, .. })| {
                let chunk = (task.job.as_str(), chunk_of(task));
                let (count, first_at) = chunks[&chunk];
                let can_wait = self.now < first_at + RESULT_MAX_DELAY_MS;
                let priority = if can_wait { usize::MAX - count } else { 0 };
                let spec = self.cache.open_job(&task.job);
                let is_not_service = spec.is_none_or(|s| s.kind != JobKind::Service);
                (
                    (is_not_service, can_wait, priority, first_at, chunk),
                    task,
                    *attempt,
                    *outcome,
                )
            })
            .collect();
        ordered.sort_by(|a, b| a.0.cmp(&b.0));
        ordered
            .into_iter()
            .map(|(_, task, attempt, outcome)| (task, attempt, outcome))
            .collect()
    }

    /// Handles the outcome of a transaction of results. A conflict halves the limit of changes per
    /// transaction, a commit doubles it.
    pub(crate) fn handle_results_response(
        &mut self,
        machines_to_start: Vec<String>,
        deprovisions_machines: bool,
        committed: bool,
    ) {
        if !committed {
            self.writes.max_result_changes =
                (self.writes.max_result_changes / 2).max(MIN_AVAILABLE_CHANGES);
            self.writes.pass_has_priority = false;
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
        for id in machines_to_start {
            self.reply_to_held(&id);
        }
        if deprovisions_machines {
            self.send_deletions();
        }
    }

    fn chunk_key(&self, task: &TaskId) -> Option<Key> {
        let chunk = self.cache.job(&task.job)?.chunk_of(task.index);
        Some(Key::Chunk(task.job.clone(), chunk))
    }

    /// Changes one assignment. The caller has checked that the transaction has room for it.
    pub(crate) fn edit_assignment(
        &self,
        builder: &mut TransactionBuilder,
        task: &TaskId,
        attempt: u64,
        edit: impl FnOnce(&mut Assignment),
    ) {
        let Some(job) = self.cache.job(&task.job) else {
            return;
        };
        let chunk = job.chunk_of(task.index);
        if builder
            .assignment(task)
            .is_none_or(|assignment| assignment.attempt != attempt)
        {
            return;
        }
        if let Some(assignment) = builder
            .chunk_mut(&task.job, chunk, || None)
            .and_then(|c| c.assignment_mut(task.index))
        {
            edit(assignment);
        }
    }
}
