//! When, and how much, a controller may write to the state service.

use crate::constants::{CONFLICT_PAUSE_MS, WRITE_BURST_S};
use crate::controller::{Controller, OperationId, StateResponse};
use crate::model::Millis;
use crate::settings::Settings;
use crate::state::Key;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// When a transaction on assignments is tried again after one that did not commit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AssignmentRetry {
    /// As soon as the cache has reached this revision, ...
    revision: u64,
    /// ... and at this time in any case.
    at: Millis,
}

/// When, and how much, this controller may write to the state service.
pub(crate) struct WriteControl {
    /// Changes that may be sent, refilled at the rate that the settings give.
    pub(crate) budget: TokenBucket,
    /// When the state service last refused requests as too many.
    pub(crate) throttled_at: Option<Millis>,
    /// The next changes are a scheduling pass's: result writes and passes alternate while changes
    /// are short.
    pub(crate) pass_goes_first: bool,
    /// Changes that a write of results may hold: halved by each conflict, since a transaction that
    /// fails costs as many as one that commits.
    pub(crate) max_result_changes: usize,
    /// The latest transaction on assignments, while it is outstanding.
    pub(crate) assignment_write: Option<OperationId>,
    /// After a transaction on assignments that did not commit.
    pub(crate) assignment_retry: Option<AssignmentRetry>,
    /// Records logged as too large for a value.
    pub(crate) oversized_logged: BTreeSet<Key>,
    /// When records that the state service refused were last tried again.
    pub(crate) refused_records_retried_at: Millis,
}

impl WriteControl {
    /// With a full budget. `now`: when the controller starts.
    pub(crate) fn new(settings: &Settings, now: Millis) -> WriteControl {
        WriteControl {
            budget: TokenBucket::new(settings.write_rps, WRITE_BURST_S, now),
            throttled_at: None,
            pass_goes_first: false,
            max_result_changes: settings.max_transaction_changes,
            assignment_write: None,
            assignment_retry: None,
            oversized_logged: BTreeSet::new(),
            refused_records_retried_at: now,
        }
    }

    /// Notes the end of a transaction on assignments. One that did not commit is tried again once
    /// the watch has brought what conflicted: at once it would meet the same conflict, and
    /// conflicts cost budget.
    fn assignment_write_finished(&mut self, response: &StateResponse, now: Millis) {
        let at = now + CONFLICT_PAUSE_MS;
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

    /// Whether a transaction on assignments may be sent, with the cache at `revision`.
    fn may_write_assignments(&self, revision: u64, now: Millis) -> bool {
        let may_retry = |retry: AssignmentRetry| revision >= retry.revision || now >= retry.at;
        self.assignment_write.is_none() && self.assignment_retry.is_none_or(may_retry)
    }
}

impl Controller {
    /// A transaction on assignments has a response.
    pub(super) fn assignment_write_finished(
        &mut self,
        operation: OperationId,
        response: &StateResponse,
    ) {
        self.cache_changed = true;
        // One that had no response in time holds up nothing any more: others were sent since.
        if self.writes.assignment_write == Some(operation) {
            self.writes.assignment_write_finished(response, self.now);
        }
    }

    /// Whether a transaction on assignments may be sent now.
    pub(crate) fn may_write(&self) -> bool {
        self.writes
            .may_write_assignments(self.cache.revision, self.now)
    }
}
