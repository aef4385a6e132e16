//! Stops: records on an assignment that its attempt, though healthy, is to end, and the reason.

use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::TaskId;
use crate::scheduling::rescheduling::MigrationReason;
use crate::state::{Key, TransactionBuilder};
use std::fmt;

/// The reason why an attempt is stopped. Its text is stored with the assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Pending work needs the resources.
    Preempted,
    /// The task is to be placed on another machine.
    Migrated(MigrationReason),
    /// The task's team is above the team's limit.
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

/// A stop of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    pub machine: String,
    pub task: TaskId,
    pub attempt: u64,
    pub reason: StopReason,
}

/// A transaction condition on the revision of a record that the transaction does not change.
pub(crate) struct RevisionCondition {
    pub(crate) key: Key,
    pub(crate) mod_revision: u64,
}

/// The outcome of `commit_stops`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopOutcome {
    /// The number of stops that fitted into the transaction.
    pub(crate) stops: usize,
    /// Whether a transaction was sent.
    pub(crate) is_sent: bool,
}

impl Controller {
    /// Records as many of the stops as fit into one transaction.
    pub(crate) fn commit_stops(
        &mut self,
        stops: Vec<Stop>,
        condition: Option<RevisionCondition>,
    ) -> StopOutcome {
        let max_bytes = self.settings.max_value_bytes;
        let condition_count = 1 + usize::from(condition.is_some());
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut stopped_tasks = Vec::new();
        for stop in stops {
            if !draft.has_room(&self.settings, 1, condition_count, max_bytes as usize) {
                break;
            }
            self.edit_assignment(&mut draft, &stop.task, stop.attempt, |assignment| {
                assignment.stop_reason = Some(stop.reason.to_string());
            });
            stopped_tasks.push((stop.machine, stop.task));
        }
        if let Some(condition) = condition {
            draft.add_condition_at_revision(condition.key, condition.mod_revision);
        }
        let oversized = draft.drop_oversized(max_bytes);
        let outcome = StopOutcome {
            stops: stopped_tasks.len(),
            is_sent: !draft.is_empty(),
        };
        if outcome.is_sent {
            let transaction = draft.finish();
            let purpose = PendingOperation::Stop(stopped_tasks);
            self.commit_assignments(transaction, purpose, RequestClass::Claim);
        }
        self.log_oversized(oversized);
        outcome
    }
}
