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
use crate::settings::Settings;
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

/// Machines to be deleted, with the reasons.
type MarkedMachines<'a> = Vec<(&'a String, &'a TerminationReason)>;

/// A transaction of results while it is drafted.
struct ResultsDraft<'a> {
    builder: TransactionBuilder<'a>,
    settings: &'a Settings,
    /// Number of changes that results and starts leave to machines' records.
    kept_for_machines: usize,
    /// Whether something that waits did not fit.
    is_full: bool,
}

impl ResultsDraft<'_> {
    /// Whether so many more changes fit.
    fn has_room(&self, changes: usize) -> bool {
        let bytes = self.settings.max_value_bytes as usize + 2 * SMALL_RECORD_BYTES;
        self.builder
            .has_room(self.settings, changes, changes, bytes)
    }

    /// Whether so many more changes fit besides those kept for machines' records. The first always may use
    /// these.
    fn has_room_besides_machines(&self, changes: usize) -> bool {
        let kept = match self.builder.is_empty() {
            true => 0,
            false => self.kept_for_machines,
        };
        self.has_room(changes + kept)
    }
}

impl Controller {
    /// Records what is waiting for it, in order of what others wait for most: results, starts that go
    /// into the answers to held heartbeats, machines.
    pub(crate) fn write_results(&mut self) {
        let Some(changes_left) = self.changes_for_results() else {
            return;
        };
        self.record_deleted();
        self.drop_outdated_evidence();

        let max_changes = self.max_result_changes(changes_left);
        // When changes are short there are always results to fill a transaction. Machines that came up
        // would never be recorded then, nor used, and be given up as never heard of; what ran on
        // unreachable ones would not start anew, and cancelled tasks would outlive their time on others.
        // Up to half of the changes are left to these.
        let (in_use, idle) = self.machines_to_delete();
        let waiting = in_use.len() + self.write_back.machine_updates.len();
        let limit = max_changes.min(self.settings.max_transaction_changes);
        let mut draft = ResultsDraft {
            builder: TransactionBuilder::limited(&self.cache, max_changes),
            settings: &self.settings,
            kept_for_machines: waiting.min(limit / 2),
            is_full: false,
        };
        let released = self.draft_results(&mut draft);
        let reply_start = self.draft_reply_starts(&mut draft);
        self.draft_checkpoints(&mut draft);
        let kept_for_updates = usize::from(!self.write_back.machine_updates.is_empty());
        let mut returning = self.draft_deletions(&mut draft, in_use, kept_for_updates);
        self.draft_machine_updates(&mut draft);
        returning |= self.draft_deletions(&mut draft, idle, 0);
        self.draft_confirmed_deletions(&mut draft);

        let is_full = draft.is_full;
        let mut builder = draft.builder;
        let large = builder.drop_oversized(self.settings.max_value_bytes);
        if builder.is_empty() {
            self.log_oversized(large);
            return;
        }
        self.writes.pass_goes_first = true;
        self.write_back.written_at = if is_full { 0 } else { self.now };
        let transaction = builder.finish();
        let purpose = PendingOperation::WriteResults {
            machines_to_start: reply_start,
            deprovisions_machines: returning,
            ended_attempts: released,
        };
        self.commit_assignments(transaction, purpose, RequestClass::Result);
        self.log_oversized(large);
    }

    /// Number of changes that may be made now, if there may be something to record and a transaction for it
    /// may be sent.
    fn changes_for_results(&mut self) -> Option<usize> {
        if !self.list_watch.has_listed
            || !self.has_current_state()
            || self.cache.term().is_none()
            || !self.may_write()
            || self.now < self.write_back.written_at + RESULTS_WRITE_INTERVAL_MS
        {
            return None;
        }
        let pass_goes_first = self.writes.pass_goes_first && self.is_pass_due();
        let changes_left = self.changes_left();
        if changes_left < self.min_changes() || pass_goes_first {
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

    /// Drops evidence that the records contain by now, or that they have made irrelevant.
    fn drop_outdated_evidence(&mut self) {
        let cache = &self.cache;
        self.write_back.results.retain(|(task, attempt), ended| {
            let assignment = cache.attempt(task, *attempt);
            assignment.is_some_and(|assignment| {
                let delivery = ended.rests_on;
                delivery.is_none_or(|delivery| delivery == assignment.delivery())
            })
        });
        self.write_back.checkpoints_due.retain(|(task, attempt)| {
            let assignment = cache.attempt(task, *attempt);
            assignment.is_some_and(|assignment| assignment.stop.is_none())
        });
        let mut updates = std::mem::take(&mut self.write_back.machine_updates);
        updates.retain(|id, update| self.updated_record(id, update).is_some());
        self.write_back.machine_updates = updates;
    }

    /// Number of changes that the next transaction of results may make.
    fn max_result_changes(&self, changes_left: usize) -> usize {
        // Tasks that wait for capacity must not wait for a long transaction as well.
        let limit = match self.scheduling.has_pending_work {
            true => self.writes.max_result_changes / 2,
            false => self.writes.max_result_changes,
        };
        changes_left.min(limit).max(MIN_CHANGES)
    }

    /// Machines whose deletion is to be recorded: those with assignments, and those without.
    fn machines_to_delete(&self) -> (MarkedMachines<'_>, MarkedMachines<'_>) {
        let marked = self.workers.marked_for_termination.iter();
        marked
            .filter(|(id, _)| {
                let phase = self.cache.machine(id).map(|machine| machine.phase);
                phase != Some(MachinePhase::Deprovisioning)
            })
            .partition(|(id, _)| self.cache.assigned_tasks(id) > 0)
    }

    /// Drafts that attempts have ended; returns which.
    fn draft_results(&self, draft: &mut ResultsDraft) -> Vec<(TaskId, u64)> {
        let mut released = Vec::new();
        for (task, attempt, outcome) in self.results_in_turn() {
            let changes = claims::release_changes(&draft.builder, task, outcome);
            if !draft.has_room_besides_machines(changes) {
                draft.is_full = true;
                break;
            }
            claims::release(&mut draft.builder, task, attempt, outcome, self.wall);
            released.push((task.clone(), attempt));
        }
        released
    }

    /// Drafts that starts go into the answers to held heartbeats; returns the machines of these.
    fn draft_reply_starts(&self, draft: &mut ResultsDraft) -> Vec<String> {
        let mut machines = Vec::new();
        for (id, held) in &self.workers.held_heartbeats {
            // As many as fit: a machine may lack hundreds of starts, which share the puts of a few
            // chunks. The others go with its next heartbeat.
            let position = held.position();
            let mut any = false;
            for (task, attempt) in self.starts_for_reply(held) {
                let key = self.chunk_key(&task);
                let is_touched = key.is_some_and(|key| draft.builder.touches(&key));
                if !draft.has_room_besides_machines(usize::from(!is_touched)) {
                    draft.is_full = true;
                    break;
                }
                self.edit_assignment(&mut draft.builder, &task, attempt, |assignment| {
                    assignment.direct_start = None;
                    assignment.reply_start = Some(position);
                });
                any = true;
            }
            if any {
                machines.push(id.clone());
            }
        }
        machines
    }

    /// Drafts that tasks are to be stopped to save a checkpoint before their machine is reclaimed.
    fn draft_checkpoints(&self, draft: &mut ResultsDraft) {
        for (task, attempt) in &self.write_back.checkpoints_due {
            if draft.has_room(1 + draft.kept_for_machines) {
                self.edit_assignment(&mut draft.builder, task, *attempt, |assignment| {
                    assignment.stop = Some("notice".into());
                });
            }
        }
    }

    /// Drafts that machines are to be deleted, with `kept_free` changes left for others. Returns whether
    /// any was.
    fn draft_deletions(
        &self,
        draft: &mut ResultsDraft,
        machines: MarkedMachines,
        kept_free: usize,
    ) -> bool {
        let mut any = false;
        for (id, reason) in machines {
            if !draft.has_room(1 + kept_free) {
                draft.is_full = true;
                break;
            }
            any |= self.draft_deletion(&mut draft.builder, id, *reason);
        }
        any
    }

    /// Drafts what heartbeats give reason to change in machines' records.
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
            if !draft.builder.touches(&key) {
                draft.builder.put(key, Record::Machine(machine));
            }
        }
    }

    /// Drafts that records of machines are removed whose deletion the cloud has confirmed.
    fn draft_confirmed_deletions(&self, draft: &mut ResultsDraft) {
        for id in &self.provisioning.deletion_confirmed {
            // No claim can follow: each rests on the record as it was while the machine was up.
            if self.cache.assigned_tasks(id) == 0 && draft.has_room(1) {
                draft.builder.remove(Key::Machine(id.clone()));
            }
        }
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
