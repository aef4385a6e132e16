//! Counts of what happened in a simulation.

use crate::Overlaps;
use glenmount_core::model::TaskId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Counts since the start of a simulation.
#[derive(Default)]
pub struct Metrics {
    /// Tasks that workers started.
    pub starts: u32,
    /// Replies with starts that workers never got.
    pub lost_starts: u32,
    /// Tasks that were stopped, by the reason on record, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    /// Tasks that ended because their worker's lease expired.
    pub killed_by_lease: u32,
    /// When the first task of each job ran.
    pub first_run_ms: HashMap<String, u64>,
    /// Since when attempts of tasks have run.
    pub(crate) running_since_ms: HashMap<(TaskId, u64), u64>,
    /// Answers that overlapped with newer ones.
    pub overlaps: Overlaps,
    /// Events that controllers handled, and the time that this took.
    pub events: u64,
    /// Time that controllers took to handle events.
    pub event_time: Duration,
    /// Heartbeats of peers among these events, and the time that these took.
    pub heartbeats: u64,
    /// Time that controllers took to handle heartbeats of peers.
    pub heartbeat_time: Duration,
    /// Approximate size in bytes of the last heartbeat between controllers.
    pub heartbeat_bytes: usize,
}
