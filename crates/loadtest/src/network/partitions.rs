//! Which parts of the network reach which: zones cut off alone or together.

use crate::plan::ZoneIndex;
use std::collections::BTreeSet;
use std::sync::Mutex;
use tokio::sync::watch;

/// Where something stands: in a zone, or with the state service, the cloud and the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    Outside,
    Zone(ZoneIndex),
}

/// Sites that reach only one another.
#[derive(Debug, Clone)]
pub struct Partition {
    pub zones: BTreeSet<ZoneIndex>,
    /// Whether state service, cloud and users are among them.
    pub outside: bool,
}

impl Partition {
    fn contains(&self, site: Site) -> bool {
        match site {
            Site::Outside => self.outside,
            Site::Zone(zone) => self.zones.contains(&zone),
        }
    }
}

/// Names a cut, to end it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionId(u64);

#[derive(Default)]
struct Partitions {
    next: u64,
    active: Vec<(PartitionId, Partition)>,
}

/// All cuts that are on.
pub struct Network {
    partitions: Mutex<Partitions>,
    changed: watch::Sender<u64>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            partitions: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl Network {
    pub fn begin(&self, partition: Partition) -> PartitionId {
        let mut partitions = lock(&self.partitions);
        partitions.next += 1;
        let id = PartitionId(partitions.next);
        partitions.active.push((id, partition));
        self.changed.send_modify(|n| *n += 1);
        id
    }

    pub fn end(&self, id: PartitionId) {
        let mut partitions = lock(&self.partitions);
        partitions.active.retain(|(other, _)| *other != id);
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn is_whole(&self) -> bool {
        lock(&self.partitions).active.is_empty()
    }

    pub fn reaches(&self, from: Site, to: Site) -> bool {
        let partitions = lock(&self.partitions);
        let mut active = partitions.active.iter();
        active.all(|(_, partition)| partition.contains(from) == partition.contains(to))
    }

    /// Holds a message until it can pass.
    pub async fn until_reached(&self, from: Site, to: Site) {
        let mut changes = self.changed.subscribe();
        while !self.reaches(from, to) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Locks; a holder that panicked left nothing half done that matters here.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
