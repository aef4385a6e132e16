//! Counters and times of a simulation.

use crate::Overlaps;
use glenmount_core::model::TaskId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Counters and times since the start of a simulation.
#[derive(Default)]
pub struct Metrics {
    /// Number of direct commands with starts that a worker refused, copies apart.
    pub refused_starts: u32,
    /// Number of copies of committed transactions that arrived.
    pub repeated_transactions: u32,
    /// Number of them that committed once more.
    pub repeated_commits: u32,
    /// Number of tasks that workers started.
    pub starts: u32,
    /// Number of lost replies with start commands.
    pub lost_starts: u32,
    /// Number of stopped tasks by their recorded reason, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    /// Number of tasks killed because their worker's lease expired.
    pub killed_by_lease: u32,
    /// Number of workers' heartbeats that exceeded the protocol's size limit.
    pub oversized_heartbeats: u32,
    /// Number of direct commands and of replies to heartbeats that exceeded the protocol's size limit.
    pub oversized_commands: u32,
    /// Size in bytes of the largest heartbeat of a worker.
    pub largest_worker_heartbeat_bytes: usize,
    /// Time at which the first task of each job ran.
    pub first_run_ms: HashMap<String, u64>,
    /// Start of the run of each task attempt.
    pub(crate) running_since_ms: HashMap<(TaskId, u64), u64>,
    /// Outdated answers that overlapped with newer ones.
    pub overlaps: Overlaps,
    /// Number of events that controllers handled.
    pub events: u64,
    /// Real time that controllers took to handle events.
    pub event_time: Duration,
    /// Number of peer heartbeats among these events.
    pub heartbeats: u64,
    /// Real time that controllers took to handle peer heartbeats.
    pub heartbeat_time: Duration,
    /// Approximate size in bytes of the last heartbeat between controllers.
    pub heartbeat_bytes: usize,
}
