//! Deletions of machines as far as they concern the records: which marked machines are recorded as to be deleted, and
//! what is recorded once the cloud has confirmed a deletion.

use crate::controller::Controller;
use crate::scheduling::releases::AttemptOutcome;
use crate::state::{Key, MachinePhase, MachineRecord, Record, TransactionBuilder};
use crate::workers::results::{EndedAttempt, ResultsDraft};
use crate::workers::termination::{TerminationMark, TerminationReason};

/// Machines to be deleted, with their marks.
pub(super) type MarkedMachines<'a> = Vec<(&'a String, &'a TerminationMark)>;

impl Controller {
    /// Queues the ends of all assignments on deleted machines: the cloud's 200 to a deletion proves
    /// that every task on the machine has ended.
    pub(super) fn queue_results_of_deleted_machines(&mut self) {
        let cache = &self.cache;
        self.provisioning
            .deletion_confirmed
            .retain(|id| cache.machine(id).is_some());
        for id in &self.provisioning.deletion_confirmed {
            for (task, placed) in self.cache.assignments(id) {
                let key = (task.clone(), placed.assignment.attempt);
                // Stronger than a queued result: it holds regardless of the start's delivery.
                let ended = EndedAttempt {
                    outcome: AttemptOutcome::Terminated,
                    at: self.now,
                    conditional_on: None,
                };
                let queued = self.write_back.results.entry(key).or_insert(ended);
                queued.conditional_on = None;
            }
        }
    }

    /// Returns the machines whose deletion is to be recorded: those with assignments, and those
    /// without.
    pub(super) fn machines_to_delete(&self) -> (MarkedMachines<'_>, MarkedMachines<'_>) {
        let marked = self.workers.marked_for_termination.iter();
        marked
            .filter(|(id, _)| {
                let phase = self.cache.machine(id).map(|machine| machine.phase);
                phase != Some(MachinePhase::Deprovisioning)
            })
            .partition(|(id, _)| self.cache.assigned_task_count(id) > 0)
    }

    /// Drafts the deletion of machines, and leaves `reserved_changes` changes for other records.
    /// Returns whether any deletion was drafted.
    pub(super) fn draft_deletions(
        &self,
        draft: &mut ResultsDraft,
        machines: MarkedMachines,
        reserved_changes: usize,
    ) -> bool {
        let mut has_drafted = false;
        for (id, mark) in machines {
            if !draft.has_room(1 + reserved_changes) {
                draft.is_full = true;
                break;
            }
            has_drafted |= self.draft_deletion(&mut draft.builder, id, mark.reason);
        }
        has_drafted
    }

    /// Drafts the removal of the records of machines whose deletion the cloud has confirmed.
    pub(super) fn draft_confirmed_deletions(&self, draft: &mut ResultsDraft) {
        for id in &self.provisioning.deletion_confirmed {
            let key = Key::Machine(id.clone());
            // Each claim is conditional on the record as it was while the machine was up, so none
            // follows the present one. The cache shows all claims before it once it has reached its
            // revision; it has the record earlier, from this controller's own transaction.
            let shows_all_claims = self.cache.revision >= self.cache.mod_revision(&key);
            let is_unused = shows_all_claims && self.cache.assigned_task_count(id) == 0;
            if is_unused && draft.has_room(1) {
                draft.builder.remove(key);
            }
        }
    }

    /// Drafts the deletion of a machine; returns whether it was not on record already.
    fn draft_deletion(
        &self,
        builder: &mut TransactionBuilder,
        id: &str,
        reason: TerminationReason,
    ) -> bool {
        let Some(mut machine) = builder
            .machine(id)
            .or_else(|| self.new_record_of_instance(id))
            .or_else(|| self.new_record_of_unrecorded(id))
        else {
            return false;
        };
        if machine.phase == MachinePhase::Deprovisioning {
            return false;
        }
        let assignments = self.cache.assigned_task_count(id);
        tracing::info!(
            machine = id,
            assignments,
            reason = reason.as_str(),
            "deletion of machine to be recorded"
        );
        machine.phase = MachinePhase::Deprovisioning;
        builder.put(Key::Machine(id.to_string()), Record::Machine(machine));
        true
    }

    /// Returns a new record for a machine that an instance request provisioned and that has sent no
    /// heartbeat.
    fn new_record_of_instance(&self, id: &str) -> Option<MachineRecord> {
        let (_, instance_request, _) = self.cache.instance_requests().find(|(_, request, _)| {
            request
                .instances
                .iter()
                .flatten()
                .any(|instance| instance == id)
        })?;
        (!self.workers.recently_deleted.contains(id)).then(|| {
            MachineRecord::new(
                &instance_request.type_name,
                &instance_request.zone,
                instance_request.spot,
                MachinePhase::Booting,
                self.wall_time,
            )
        })
    }

    /// Returns a new record for a machine that has assigned tasks but no record, so that it can be
    /// deleted. Its type and zone are not known.
    fn new_record_of_unrecorded(&self, id: &str) -> Option<MachineRecord> {
        let has_tasks = self.cache.assigned_task_count(id) > 0;
        has_tasks.then(|| {
            let (type_name, zone, is_spot) = ("", "", false);
            MachineRecord::new(
                type_name,
                zone,
                is_spot,
                MachinePhase::Booting,
                self.wall_time,
            )
        })
    }
}
