//! What is under way to end jobs and to clear what nothing needs any more.

use crate::model::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What is under way to end jobs and to clear what nothing needs any more.
pub(crate) struct CleanupState {
    /// Jobs whose end is being written.
    pub(crate) finishing: BTreeSet<String>,
    /// Jobs that need a cancelled one, since when that is known here, by steady time.
    pub(crate) cancelled_dependency_since: BTreeMap<String, Millis>,
    /// Jobs that need a cancelled one are being cancelled on record.
    pub(crate) dependents_cancellation_in_flight: bool,
    /// Obsolete records are being removed.
    pub(crate) removal_in_flight: bool,
    /// When what belongs to deleted machines was last forgotten.
    pub(crate) last_cleanup_at: Millis,
}

impl CleanupState {
    pub(crate) fn new() -> CleanupState {
        CleanupState {
            finishing: BTreeSet::new(),
            cancelled_dependency_since: BTreeMap::new(),
            dependents_cancellation_in_flight: false,
            removal_in_flight: false,
            last_cleanup_at: 0,
        }
    }
}
