//! Stops on record: attempts that are to end though they run well, each with the reason that is recorded.

use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::TaskId;
use crate::scheduling::rescheduling::MigrationReason;
use crate::state::{Key, TransactionBuilder};
use std::fmt;

/// Why an attempt is stopped. Its text is stored with the assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Pending work needs the resources.
    Preempted,
    /// The task is placed anew elsewhere.
    Migrated(MigrationReason),
    /// Its team is above its limit.
    OverLimit,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StopReason::Preempted => f.write_str("preempted"),
            StopReason::Migrated(reason) => reason.fmt(f),
            StopReason::OverLimit => f.write_str("limit"),
        }
    }
}

/// An attempt to stop.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    pub machine: String,
    pub task: TaskId,
    pub attempt: u64,
    pub reason: StopReason,
}

/// A condition of a transaction beside the records that it changes: the revision of a record.
pub(crate) struct RevisionCondition {
    pub(crate) key: Key,
    pub(crate) mod_revision: u64,
}

/// What became of stops.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopOutcome {
    /// Stops that one transaction had space for.
    pub(crate) stops: usize,
    /// A transaction was sent.
    pub(crate) is_sent: bool,
}

impl Controller {
    /// Records stops by one transaction, as many as it has space for.
    pub(crate) fn commit_stops(
        &mut self,
        stops: Vec<Stop>,
        condition: Option<RevisionCondition>,
    ) -> StopOutcome {
        let max_bytes = self.settings.max_value_bytes;
        let conditions = 1 + usize::from(condition.is_some());
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut chosen = Vec::new();
        for stop in stops {
            if !draft.has_room(&self.settings, 1, conditions, max_bytes as usize) {
                break;
            }
            self.edit_assignment(&mut draft, &stop.task, stop.attempt, |assignment| {
                assignment.stop_reason = Some(stop.reason.to_string());
            });
            chosen.push((stop.machine, stop.task));
        }
        if let Some(condition) = condition {
            draft.add_condition_at_revision(condition.key, condition.mod_revision);
        }
        let oversized = draft.drop_oversized(max_bytes);
        let outcome = StopOutcome {
            stops: chosen.len(),
            is_sent: !draft.is_empty(),
        };
        if outcome.is_sent {
            let transaction = draft.finish();
            let purpose = PendingOperation::Stop(chosen);
            self.commit_assignments(transaction, purpose, RequestClass::Claim);
        }
        self.log_oversized(oversized);
        outcome
    }
}
