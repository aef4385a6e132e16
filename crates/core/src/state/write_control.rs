//! When and how much may be written to the state service.

use crate::constants::{CONFLICT_PAUSE_MS, WRITE_BURST_S};
use crate::controller::{Controller, OperationId, StateResponse};
use crate::model::Millis;
use crate::settings::Settings;
use crate::state::Key;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// When and how much may be written to the state service.
pub(crate) struct WriteControl {
    /// Changes that may be sent, refilled at the rate that the settings give.
    pub(crate) budget: TokenBucket,
    /// When the state service last said that it was asked too much.
    pub(crate) throttled_at: Option<Millis>,
    /// The next changes are a scheduling pass's: flushes and scheduling passes take turns when changes are short.
    pub(crate) pass_goes_first: bool,
    /// Changes that a flush may hold: halved by each conflict, since a failed transaction
    /// costs as many as one that took effect.
    pub(crate) max_result_changes: usize,
    /// The latest transaction on assignments that is on its way.
    pub(crate) assignment_write: Option<OperationId>,
    /// After a lost one: the revision the cache must have reached before the next try, and
    /// a time after which to try in any case.
    pub(crate) assignment_retry: Option<(u64, Millis)>,
    /// Records logged as too large for a value.
    pub(crate) oversized_logged: BTreeSet<Key>,
    /// When records that the state service refused were last tried again.
    pub(crate) refused_records_retried_at: Millis,
}

impl WriteControl {
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
}

impl Controller {
    /// When to try again what did not commit: once the watch has brought what stood in the
    /// way. Trying at once would only meet the same conflict, and conflicts cost budget.
    pub(super) fn assignment_write_finished(&mut self, token: OperationId, answer: &StateResponse) {
        self.state_changed = true;
        // It counted as unanswered, and held up nothing since.
        if self.writes.assignment_write != Some(token) {
            return;
        }
        self.writes.assignment_write = None;
        self.writes.assignment_retry = self.retry_after(answer);
    }

    /// Whether a transaction on assignments may be sent now.
    pub(crate) fn may_write(&self) -> bool {
        self.writes.assignment_write.is_none()
            && self
                .writes
                .assignment_retry
                .is_none_or(|(revision, at)| self.cache.revision >= revision || self.now >= at)
    }

    fn retry_after(&self, answer: &StateResponse) -> Option<(u64, Millis)> {
        match answer {
            StateResponse::Committed { .. } => None,
            StateResponse::Conflict { revision } => Some((*revision, self.now + CONFLICT_PAUSE_MS)),
            _ => Some((u64::MAX, self.now + CONFLICT_PAUSE_MS)),
        }
    }
}
