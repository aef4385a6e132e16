//! What this controller knows of workers beyond their records.

use crate::constants::DELETED_MACHINES_MAX;
use crate::model::{HeartbeatPosition, Millis};
use crate::workers::heartbeats::HeldHeartbeat;
use crate::workers::observations::MachineObservations;
use crate::workers::reachability::WorkerReachability;
use crate::workers::starts::Starts;
use crate::workers::termination::TerminationReason;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::collections::{BTreeMap, VecDeque};

/// The latest heartbeat of a worker that came to this controller.
#[derive(Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub at: Millis,
    pub position: HeartbeatPosition,
}

/// Machines that were deleted lately, so that a late report does not bring them back.
#[derive(Default)]
pub(crate) struct RecentlyDeleted {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl RecentlyDeleted {
    pub fn contains(&self, id: &str) -> bool {
        self.names.contains(id)
    }
    pub fn push(&mut self, id: String) {
        if self.names.insert(id.clone()) {
            self.order.push_back(id);
        }
        if self.order.len() > DELETED_MACHINES_MAX {
            if let Some(old) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
    }
}

/// What this controller knows of workers beyond their records.
pub(crate) struct WorkerRegistry {
    /// Heartbeats that wait for their answer, by machine.
    pub(crate) held_heartbeats: BTreeMap<String, HeldHeartbeat>,
    /// The latest heartbeat that came here, by machine.
    pub(crate) last_heartbeats: HashMap<String, ReceivedHeartbeat>,
    /// What else was noted of each machine.
    pub(crate) observations: MachineObservations,
    /// Starts that no heartbeat has shown yet.
    pub(crate) starts: Starts,
    /// Whether workers reach this controller.
    pub(crate) reachability: WorkerReachability,
    /// Machines whose late heartbeats must not bring them back.
    pub(crate) recently_deleted: RecentlyDeleted,
    /// Workers that were sent to look for another controller while this one is cut off, and when.
    pub(crate) redirected_at: HashMap<String, Millis>,
    /// Zones whose machines report to this controller, and when one last did.
    pub(crate) zones_heard_at: BTreeMap<String, Millis>,
    /// When a task was last placed on a machine, as far as seen here.
    pub(crate) last_assigned_at: HashMap<String, Millis>,
    /// Until when machines fetch images for tasks that this controller placed there, about.
    pub(crate) fetching_until: HashMap<String, Millis>,
    /// Machines whose deletion is to be recorded, and why.
    pub(crate) marked_for_termination: BTreeMap<String, TerminationReason>,
    /// When failures were last looked for.
    pub(crate) failures_detected_at: Millis,
}

impl WorkerRegistry {
    pub(crate) fn new(now: Millis) -> WorkerRegistry {
        WorkerRegistry {
            held_heartbeats: BTreeMap::new(),
            last_heartbeats: HashMap::new(),
            observations: MachineObservations::new(),
            starts: Starts::default(),
            reachability: WorkerReachability::new(now),
            recently_deleted: RecentlyDeleted::default(),
            redirected_at: HashMap::new(),
            zones_heard_at: BTreeMap::new(),
            last_assigned_at: HashMap::new(),
            fetching_until: HashMap::new(),
            marked_for_termination: BTreeMap::new(),
            failures_detected_at: 0,
        }
    }
}
