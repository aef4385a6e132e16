//! State of the operations that end jobs and remove obsolete records.

use crate::model::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// State of the operations that end jobs and remove obsolete records.
pub(crate) struct CleanupState {
    /// Jobs whose end is being recorded.
    pub(crate) finishing_jobs: BTreeSet<String>,
    /// Since when jobs have been known here to depend on a cancelled job, by the monotonic clock.
    pub(crate) cancelled_dependency_since: BTreeMap<String, Millis>,
    /// Whether a transaction that cancels dependents of cancelled jobs is in flight.
    pub(crate) dependents_cancellation_in_flight: bool,
    /// Whether a transaction that removes obsolete records is in flight.
    pub(crate) removal_in_flight: bool,
    /// When data of deleted machines was last dropped.
    pub(crate) last_cleanup_at: Millis,
}

impl CleanupState {
    pub(crate) fn new() -> CleanupState {
        CleanupState {
            finishing_jobs: BTreeSet::new(),
            cancelled_dependency_since: BTreeMap::new(),
            dependents_cancellation_in_flight: false,
            removal_in_flight: false,
            last_cleanup_at: 0,
        }
    }
}
