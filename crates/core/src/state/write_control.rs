//! Limits when and how much a controller writes to the state store: the rate of changes, and the
//! retries of transactions on assignments after a conflict.

use crate::constants::{CONFLICT_RETRY_MAX_DELAY_MS, WRITE_BURST_S};
use crate::controller::{Controller, OperationId, StateResponse};
use crate::model::Millis;
use crate::settings::Settings;
use crate::state::Key;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// The condition for the next transaction on assignments after one that didn't commit. Either of
/// the two suffices.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AssignmentRetry {
    /// The revision that the cache must have reached.
    revision: u64,
    /// The time from which the controller retries at any revision.
    at: Millis,
}

/// The write budget of a controller, and the state of its transactions on assignments.
pub(crate) struct WriteControl {
    /// Rate limit of the changes that the controller sends; the settings give the rate.
    pub(crate) budget: TokenBucket,
    /// Time at which the state store last rejected requests because of its rate limit.
    pub(crate) throttled_at: Option<Millis>,
    /// Whether the next changes in the budget are reserved for a scheduling pass. Writes of results
    /// and passes alternate while the budget is short.
    pub(crate) pass_has_priority: bool,
    /// Maximum number of changes in a transaction that writes results. Each conflict halves it,
    /// because a failed transaction costs as much of the rate limit as a committed one.
    pub(crate) max_result_changes: usize,
    /// The latest transaction on assignments, while it is outstanding.
    pub(crate) assignment_write: Option<OperationId>,
    /// The condition for a retry, after a transaction on assignments that didn't commit.
    pub(crate) assignment_retry: Option<AssignmentRetry>,
    /// Records that the controller has logged as too large for a value.
    pub(crate) oversized_logged: BTreeSet<Key>,
    /// Time at which the controller last retried records that the state store had refused.
    pub(crate) refused_records_retried_at: Millis,
}

impl WriteControl {
    /// Returns the initial state with a full budget; `now` is the start time of the controller.
    pub(crate) fn new(settings: &Settings, now: Millis) -> WriteControl {
        WriteControl {
            budget: TokenBucket::new(settings.write_rps, WRITE_BURST_S, now),
            throttled_at: None,
            pass_has_priority: false,
            max_result_changes: settings.max_transaction_changes,
            assignment_write: None,
            assignment_retry: None,
            oversized_logged: BTreeSet::new(),
            refused_records_retried_at: now,
        }
    }

    /// Records the outcome of a transaction on assignments. After one that didn't commit, the
    /// controller waits until the watch has delivered the conflicting change: an immediate retry
    /// would meet the same conflict, and conflicts use up the write budget.
    fn assignment_write_finished(&mut self, response: &StateResponse, now: Millis) {
        let at = now + CONFLICT_RETRY_MAX_DELAY_MS;
        self.assignment_write = None;
        self.assignment_retry = match response {
            StateResponse::Committed { .. } => None,
            StateResponse::Conflict { revision } => Some(AssignmentRetry {
                revision: *revision,
                at,
            }),
            _ => Some(AssignmentRetry {
                revision: u64::MAX,
                at,
            }),
        };
    }

    /// Returns whether the controller may send a transaction on assignments, with the cache at
    /// `revision`.
    fn may_write_assignments(&self, revision: u64, now: Millis) -> bool {
        let may_retry = |retry: AssignmentRetry| revision >= retry.revision || now >= retry.at;
        self.assignment_write.is_none() && self.assignment_retry.is_none_or(may_retry)
    }
}

impl Controller {
    /// Handles the response to a transaction on assignments.
    pub(super) fn assignment_write_finished(
        &mut self,
        operation: OperationId,
        response: &StateResponse,
    ) {
        self.cache_changed = true;
        // A transaction that timed out no longer blocks others, so its late response changes
        // nothing here.
        if self.writes.assignment_write == Some(operation) {
            self.writes.assignment_write_finished(response, self.now);
        }
    }

    /// Returns whether the controller may send a transaction on assignments now.
    pub(crate) fn may_write(&self) -> bool {
        self.writes
            .may_write_assignments(self.cache.revision, self.now)
    }
}
