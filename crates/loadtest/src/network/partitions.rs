//! Network partitions between the sites of a run.

use crate::plan::ZoneIndex;
use crate::sync::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;
use tokio::sync::watch;

/// The network location of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// Location of the state store, the cloud and the users.
    Outside,
    /// Zone of a controller or a worker.
    Zone(ZoneIndex),
}

/// A set of sites that a partition separates from all other sites.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Zones in the set.
    pub zones: BTreeSet<ZoneIndex>,
    /// Whether the set includes [`Site::Outside`].
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

/// The identifier of an active partition.
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

/// The network of a run with its active partitions.
pub struct Network {
    partitions: Mutex<Partitions>,
    /// Counts changes of the partitions, to wake delayed messages.
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
    /// Begins a partition and returns its identifier.
    pub fn begin(&self, partition: Partition) -> PartitionId {
        let mut partitions = lock(&self.partitions);
        partitions.last_id += 1;
        let id = PartitionId(partitions.last_id);
        partitions.active.push(ActivePartition { id, partition });
        self.changes.send_modify(|count| *count += 1);
        id
    }

    /// Ends a partition.
    pub fn end(&self, id: PartitionId) {
        let mut partitions = lock(&self.partitions);
        partitions.active.retain(|active| active.id != id);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns whether no partition is active.
    pub fn is_fully_connected(&self) -> bool {
        lock(&self.partitions).active.is_empty()
    }

    /// Returns whether no active partition separates two sites.
    pub fn is_reachable(&self, from: Site, to: Site) -> bool {
        let partitions = lock(&self.partitions);
        partitions.active.iter().all(|active| {
            let partition = &active.partition;
            partition.contains(from) == partition.contains(to)
        })
    }

    /// Waits until no active partition separates two sites.
    pub async fn wait_until_reachable(&self, from: Site, to: Site) {
        let mut changes = self.changes.subscribe();
        while !self.is_reachable(from, to) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
