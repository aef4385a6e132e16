//! State of workers that this controller keeps in memory, besides their records.

use crate::constants::DELETED_MACHINES_MAX;
use crate::model::{HeartbeatPosition, Millis};
use crate::workers::forgetting::ForgetTracker;
use crate::workers::heartbeats::HeldHeartbeat;
use crate::workers::observations::MachineObservations;
use crate::workers::reachability::WorkerReachability;
use crate::workers::starts::StartTracker;
use crate::workers::termination::TerminationMark;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::collections::{BTreeMap, VecDeque};

/// The latest heartbeat of a worker that this controller received.
#[derive(Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub at: Millis,
    pub position: HeartbeatPosition,
    /// Bytes of the entries of all tasks that it lists, or that a later response to a command lists.
    pub task_bytes: u64,
}

/// Machines that were deleted recently, so that a late heartbeat does not add them again.
#[derive(Default)]
pub(crate) struct RecentlyDeleted {
    ids: HashSet<String>,
    order: VecDeque<String>,
}

impl RecentlyDeleted {
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
    pub fn push(&mut self, id: String) {
        if self.ids.insert(id.clone()) {
            self.order.push_back(id);
        }
        if self.order.len() > DELETED_MACHINES_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}

/// State of workers that this controller keeps in memory, besides their records.
pub(crate) struct WorkerRegistry {
    /// Heartbeats whose reply is held back, by machine.
    pub(crate) held_heartbeats: BTreeMap<String, HeldHeartbeat>,
    /// The latest heartbeat that this controller received, by machine.
    pub(crate) last_heartbeats: HashMap<String, ReceivedHeartbeat>,
    /// Other observations of each machine.
    pub(crate) observations: MachineObservations,
    /// Starts that no heartbeat has reported yet.
    pub(crate) starts: StartTracker,
    /// Exited attempts that workers have not been told to forget.
    pub(crate) forgetting: ForgetTracker,
    /// Whether workers reach this controller.
    pub(crate) reachability: WorkerReachability,
    /// Machines that late heartbeats must not add again.
    pub(crate) recently_deleted: RecentlyDeleted,
    /// When workers were redirected to look for another controller, while this one is cut off.
    pub(crate) redirected_at: HashMap<String, Millis>,
    /// When a machine of each zone last reported to this controller.
    pub(crate) zone_heartbeat_at: BTreeMap<String, Millis>,
    /// When a task was last placed on a machine, as far as this controller knows.
    pub(crate) last_assigned_at: HashMap<String, Millis>,
    /// Until when machines are estimated to fetch images for tasks that this controller placed
    /// there.
    pub(crate) fetching_until: HashMap<String, Millis>,
    /// Machines whose deletion is to be recorded.
    pub(crate) marked_for_termination: BTreeMap<String, TerminationMark>,
    /// Since when machines with assigned tasks have had no record, as far as this controller knows.
    pub(crate) unrecorded_since: BTreeMap<String, Millis>,
    /// When failure detection last ran.
    pub(crate) failures_detected_at: Millis,
}

impl WorkerRegistry {
    pub(crate) fn new(now: Millis) -> WorkerRegistry {
        WorkerRegistry {
            held_heartbeats: BTreeMap::new(),
            last_heartbeats: HashMap::new(),
            observations: MachineObservations::new(),
            starts: StartTracker::default(),
            forgetting: ForgetTracker::default(),
            reachability: WorkerReachability::new(now),
            recently_deleted: RecentlyDeleted::default(),
            redirected_at: HashMap::new(),
            zone_heartbeat_at: BTreeMap::new(),
            last_assigned_at: HashMap::new(),
            fetching_until: HashMap::new(),
            marked_for_termination: BTreeMap::new(),
            unrecorded_since: BTreeMap::new(),
            failures_detected_at: 0,
        }
    }
}
