//! Network partitions between zones: which parts of a run reach which.

use crate::plan::ZoneIndex;
use crate::sync::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;
use tokio::sync::watch;

/// Where something stands: in a zone, or with the state store, the cloud and the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// With the state store, the cloud and the users.
    Outside,
    /// In a zone, as controllers and workers are.
    Zone(ZoneIndex),
}

/// Sites that reach only one another.
#[derive(Debug, Clone)]
pub struct Partition {
    /// The zones among them.
    pub zones: BTreeSet<ZoneIndex>,
    /// Whether state store, cloud and users are among them.
    pub includes_outside: bool,
}

impl Partition {
    fn contains(&self, site: Site) -> bool {
        match site {
            Site::Outside => self.includes_outside,
            Site::Zone(zone) => self.zones.contains(&zone),
        }
    }
}

/// Identifies an active partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionId(u64);

struct ActivePartition {
    id: PartitionId,
    partition: Partition,
}

#[derive(Default)]
struct Partitions {
    last_id: u64,
    active: Vec<ActivePartition>,
}

/// The network of a run with all active partitions.
pub struct Network {
    partitions: Mutex<Partitions>,
    /// Counts changes, to wake messages that are held up.
    changes: watch::Sender<u64>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            partitions: Mutex::default(),
            changes: watch::channel(0).0,
        }
    }
}

impl Network {
    /// Begins a partition.
    pub fn begin(&self, partition: Partition) -> PartitionId {
        let mut partitions = lock(&self.partitions);
        partitions.last_id += 1;
        let id = PartitionId(partitions.last_id);
        partitions.active.push(ActivePartition { id, partition });
        self.changes.send_modify(|count| *count += 1);
        id
    }

    /// Heals a partition.
    pub fn heal(&self, id: PartitionId) {
        let mut partitions = lock(&self.partitions);
        partitions.active.retain(|active| active.id != id);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether no partition is active.
    pub fn is_whole(&self) -> bool {
        lock(&self.partitions).active.is_empty()
    }

    /// Whether messages pass between two sites.
    pub fn is_reachable(&self, from: Site, to: Site) -> bool {
        let partitions = lock(&self.partitions);
        partitions.active.iter().all(|active| {
            let partition = &active.partition;
            partition.contains(from) == partition.contains(to)
        })
    }

    /// Holds a message up until it can pass.
    pub async fn until_reachable(&self, from: Site, to: Site) {
        let mut changes = self.changes.subscribe();
        while !self.is_reachable(from, to) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
