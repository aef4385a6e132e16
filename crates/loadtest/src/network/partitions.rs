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
pub struct Cut {
    pub zones: BTreeSet<ZoneIndex>,
    /// Whether state service, cloud and users are among them.
    pub outside: bool,
}

impl Cut {
    fn contains(&self, site: Site) -> bool {
        match site {
            Site::Outside => self.outside,
            Site::Zone(zone) => self.zones.contains(&zone),
        }
    }
}

/// Names a cut, to end it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutId(u64);

#[derive(Default)]
struct Cuts {
    next: u64,
    active: Vec<(CutId, Cut)>,
}

/// All cuts that are on.
pub struct Network {
    cuts: Mutex<Cuts>,
    changed: watch::Sender<u64>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            cuts: Mutex::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl Network {
    pub fn begin(&self, cut: Cut) -> CutId {
        let mut cuts = lock(&self.cuts);
        cuts.next += 1;
        let id = CutId(cuts.next);
        cuts.active.push((id, cut));
        self.changed.send_modify(|n| *n += 1);
        id
    }

    pub fn end(&self, id: CutId) {
        let mut cuts = lock(&self.cuts);
        cuts.active.retain(|(other, _)| *other != id);
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn is_whole(&self) -> bool {
        lock(&self.cuts).active.is_empty()
    }

    pub fn reaches(&self, from: Site, to: Site) -> bool {
        let cuts = lock(&self.cuts);
        let mut active = cuts.active.iter();
        active.all(|(_, cut)| cut.contains(from) == cut.contains(to))
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
