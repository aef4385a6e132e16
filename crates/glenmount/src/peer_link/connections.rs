//! Which peers are connected to this controller.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts the connections by which each peer sends its heartbeats. Clones share the counts.
#[derive(Clone, Default)]
pub struct PeerConnections(Arc<Mutex<HashMap<String, usize>>>);

/// One connection, from the first heartbeat on that named its peer.
pub struct PeerConnection {
    connections: PeerConnections,
    peer: String,
}

impl PeerConnections {
    /// The counts are whole after each change, so a panic elsewhere leaves nothing half done.
    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection of a peer.
    pub fn begin(&self, peer: &str) -> PeerConnection {
        *self.lock().entry(peer.to_string()).or_default() += 1;
        PeerConnection {
            connections: self.clone(),
            peer: peer.to_string(),
        }
    }
}

impl PeerConnection {
    /// Counts the connection as ended. The peer, if this was its last one.
    pub fn end(self) -> Option<String> {
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
