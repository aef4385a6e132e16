//! Which peers are connected to this controller.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// PeerConnections by which each peer tells its heartbeats: its end shows when the last of them ends.
#[derive(Clone, Default)]
pub(super) struct PeerConnections(Arc<Mutex<HashMap<String, usize>>>);

/// One link, from the first heartbeat on that named its peer.
pub(super) struct PeerConnection {
    links: PeerConnections,
    controller: String,
}

impl PeerConnections {
    fn all(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(super) fn begins(&self, controller: &str) -> PeerConnection {
        *self.all().entry(controller.to_string()).or_default() += 1;
        PeerConnection {
            links: self.clone(),
            controller: controller.to_string(),
        }
    }
}

impl PeerConnection {
    /// The peer, if this was its last link.
    pub(super) fn ends(self) -> Option<String> {
        let mut links = self.links.all();
        let left = links.get_mut(&self.controller)?;
        *left -= 1;
        if *left > 0 {
            return None;
        }
        links.remove(&self.controller);
        drop(links);
        Some(self.controller)
    }
}
