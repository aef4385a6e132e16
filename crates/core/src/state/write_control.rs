//! When and how much may be written to the state service.

use crate::constants::WRITE_BURST_S;
use crate::controller::OperationId;
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
