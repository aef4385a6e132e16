//! Lifecycle of the process: start, pauses, ticks and shutdown.

use crate::controller::readiness::Problem;
use crate::controller::OperationId;
use crate::model::Millis;
use std::collections::BTreeMap;

/// Lifecycle of the process: start, pauses, ticks and shutdown.
pub(crate) struct Lifecycle {
    /// When the process started.
    pub(crate) started_at: Millis,
    /// When the process last resumed after a pause, or its start if it was never paused.
    pub(crate) resumed_at: Millis,
    /// Whether the cache may date from before the last pause: it has not yet reached the revision of a read
    /// issued since.
    pub(crate) cache_predates_resume: bool,
    /// Operations with lower IDs were sent before the last pause. Their responses don't show the present state.
    pub(crate) first_operation_since_resume: OperationId,
    /// When the process received a request to shut down.
    pub(crate) shutting_down_since: Option<Millis>,
    /// Problems that were logged as begun, with their begin.
    pub(crate) ongoing_problems: BTreeMap<Problem, Millis>,
    /// When a tick last did the complete periodic work.
    pub(crate) last_housekeeping_at: Option<Millis>,
    /// When the clock last ticked.
    pub(crate) last_tick_at: Millis,
}

impl Lifecycle {
    pub(crate) fn new(now: Millis) -> Lifecycle {
        Lifecycle {
            started_at: now,
            resumed_at: now,
            cache_predates_resume: false,
            first_operation_since_resume: 0,
            shutting_down_since: None,
            ongoing_problems: BTreeMap::new(),
            last_housekeeping_at: None,
            last_tick_at: now,
        }
    }
}
