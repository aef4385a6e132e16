//! Machines that are to be deleted, and the reasons.

use crate::controller::Controller;
use crate::model::Millis;
use crate::state::MachinePhase;
use crate::zones::failures::EvacuationReason;

/// The reason why a machine is to be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TerminationReason {
    /// It sends no heartbeats, and a direct command got no response.
    Unreachable,
    /// It was provisioned, and has sent no heartbeat within its boot time limit.
    NeverCameUp,
    /// No task has been assigned to it for long.
    Idle,
    /// A cancelled task is still assigned to it after the time in which cancellations must take
    /// effect.
    HoldsCancelledTask,
    /// Tasks are assigned to it, but it has no record.
    Unrecorded,
    /// The cloud lists the instance as failed.
    InstanceFailed,
    /// Its zone is unreachable as a whole, and its tasks are to run elsewhere.
    ZoneEvacuation(EvacuationReason),
}

/// A machine's mark for termination, until its deletion is recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TerminationMark {
    /// Why it is to be deleted.
    pub reason: TerminationReason,
    /// When the reason was found.
    pub marked_at: Millis,
}

impl TerminationReason {
    /// Returns the reason as it is logged.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            TerminationReason::Unreachable => "no heartbeats, and no response to a direct command",
            TerminationReason::NeverCameUp => "never came up",
            TerminationReason::Idle => "idle",
            TerminationReason::HoldsCancelledTask => "still holds a cancelled task",
            TerminationReason::Unrecorded => "tasks are assigned to it, but it has no record",
            TerminationReason::InstanceFailed => "listed as failed by the cloud",
            TerminationReason::ZoneEvacuation(reason) => reason.as_str(),
        }
    }
}

impl Controller {
    /// Marks a machine for termination: the next transaction of results records that it is to be
    /// deleted. Its assignments stay until the deletion is confirmed. The first reason given for a
    /// machine is kept.
    pub(crate) fn mark_for_termination(&mut self, id: &str, reason: TerminationReason) {
        let phase = self.cache.machine(id).map(|machine| machine.phase);
        if phase != Some(MachinePhase::Deprovisioning) {
            let marked_at = self.now;
            self.workers
                .marked_for_termination
                .entry(id.to_string())
                .or_insert(TerminationMark { reason, marked_at });
        }
    }

    /// Drops the marks whose reason no longer holds. A mark may be old: while the state store refuses this controller,
    /// it records nothing but learns of claims and heartbeats.
    pub(crate) fn drop_outdated_marks(&mut self) {
        let mut marks = std::mem::take(&mut self.workers.marked_for_termination);
        marks.retain(|id, mark| match mark.reason {
            TerminationReason::Idle => self.cache.assigned_task_count(id) == 0,
            TerminationReason::Unreachable => self
                .last_worker_heartbeat(id)
                .is_none_or(|at| at <= mark.marked_at),
            _ => true,
        });
        self.workers.marked_for_termination = marks;
    }
}
