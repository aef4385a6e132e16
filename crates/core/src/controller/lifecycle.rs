//! The life of this process: its start, pauses, ticks, and its end.

use crate::controller::readiness::Problem;
use crate::controller::OperationId;
use crate::model::Millis;
use std::collections::BTreeMap;

/// The life of this process: its start, pauses, ticks, and its end.
pub(crate) struct Lifecycle {
    /// When the process began.
    pub(crate) started_at: Millis,
    /// When it last went on after a pause; its start, if it never did.
    pub(crate) resumed_at: Millis,
    /// The cache dates from before that: no read issued since has been reached.
    pub(crate) view_predates_resume: bool,
    /// Operations with lower ids began before that: their answers say nothing of now.
    pub(crate) first_operation_since_resume: OperationId,
    /// Since when it has been asked to end.
    pub(crate) shutting_down_since: Option<Millis>,
    /// Problems that were logged as begun, and since when.
    pub(crate) ongoing_problems: BTreeMap<Problem, Millis>,
    /// When a tick last did all of its work.
    pub(crate) last_housekeeping_at: Option<Millis>,
    /// When the clock last ticked.
    pub(crate) last_tick_at: Millis,
}

impl Lifecycle {
    pub(crate) fn new(now: Millis) -> Lifecycle {
        Lifecycle {
            started_at: now,
            resumed_at: now,
            view_predates_resume: false,
            first_operation_since_resume: 0,
            shutting_down_since: None,
            ongoing_problems: BTreeMap::new(),
            last_housekeeping_at: None,
            last_tick_at: now,
        }
    }
}
