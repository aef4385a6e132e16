//! Tracks the connections of peers to this controller.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of open connections per peer. Clones share the counts.
#[derive(Clone, Default)]
pub struct PeerConnections(Arc<Mutex<HashMap<String, usize>>>);

/// A connection whose peer is known from its first heartbeat.
pub struct PeerConnection {
    connections: PeerConnections,
    peer: String,
}

impl PeerConnections {
    /// Locks the counts. Ignores poisoning because each change leaves the counts consistent.
    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new connection of a peer.
    pub fn register(&self, peer: &str) -> PeerConnection {
        *self.lock().entry(peer.to_string()).or_default() += 1;
        PeerConnection {
            connections: self.clone(),
            peer: peer.to_string(),
        }
    }
}

impl PeerConnection {
    /// Counts the connection as ended. Returns the peer if this was its last connection.
    pub fn unregister(self) -> Option<String> {
        let mut counts = self.connections.lock();
        let count = counts.get_mut(&self.peer)?;
        *count -= 1;
        if *count > 0 {
            return None;
        }
        counts.remove(&self.peer);
        drop(counts);
        Some(self.peer)
    }
}
