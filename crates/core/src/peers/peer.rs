//! A peer and its workers, as observed by this controller.

use super::heartbeat_intervals::HeartbeatIntervals;
use super::status::PeerStatus;
use crate::constants::{PEER_FAILURE_MIN_SILENCE_MS, PEER_HEARTBEAT_EXPIRY_MS};
use crate::controller::PeerHeartbeat;
use crate::model::{HeartbeatPosition, Millis};
use crate::workers::registry::ReceivedHeartbeat;
use std::collections::BTreeSet;

/// A peer, as observed by this controller.
#[derive(Debug)]
pub(crate) struct Peer {
    /// When this controller accepted the peer's last heartbeat.
    pub last_heartbeat_at: Millis,
    /// The last accepted heartbeat.
    pub heartbeat: PeerHeartbeat,
    pub(super) intervals: HeartbeatIntervals,
    /// Whether the peer's link has ended without a heartbeat since.
    pub(super) link_ended: bool,
    /// Workers whose latest known heartbeat the peer received.
    pub(super) workers: BTreeSet<String>,
    /// Number of its workers that have switched to another controller since its last heartbeat.
    pub(super) failed_over: usize,
    pub(super) status: PeerStatus,
}

impl Peer {
    /// Returns the status at the last assessment.
    pub fn status(&self) -> PeerStatus {
        self.status
    }

    /// Returns the number of workers from which the peer received a heartbeat within `within_ms` before its own
    /// last heartbeat.
    pub fn load(&self, within_ms: Millis) -> usize {
        let heard = self.heartbeat.workers.iter();
        heard.filter(|worker| worker.age_ms < within_ms).count()
    }

    /// Returns whether the peer sent a heartbeat recently and has not exited, as far as is known.
    pub(super) fn is_live(&self, now: Millis) -> bool {
        let is_lost =
            self.link_ended || self.status.is_inactive() || self.status == PeerStatus::LinkLost;
        now.saturating_sub(self.last_heartbeat_at) <= PEER_HEARTBEAT_EXPIRY_MS && !is_lost
    }

    /// Returns whether no heartbeat of the peer is overdue.
    pub(super) fn is_in_time(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_heartbeat_at) <= PEER_FAILURE_MIN_SILENCE_MS
            && !self.link_ended
    }

    /// Returns whether the peer reaches the state store and workers, according to its last heartbeat.
    pub(super) fn can_serve_workers(&self) -> bool {
        self.heartbeat.has_current_state && self.heartbeat.workers_reachable
    }
}

/// The latest heartbeat of a worker that any peer received, as far as is known.
#[derive(Debug)]
pub(crate) struct PeerObservation {
    /// When the peer received it, by this controller's clock.
    pub received_at: Millis,
    /// Its position in the sequence of the worker's heartbeats.
    pub position: HeartbeatPosition,
    pub(super) peer: String,
}

impl PeerObservation {
    /// Returns the name of the peer that received it.
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl ReceivedHeartbeat {
    /// Returns whether a peer received a later heartbeat of the worker, as far as is known.
    pub fn is_older_than(&self, observation: Option<&PeerObservation>) -> bool {
        observation.is_some_and(|observed| observed.position > self.position)
    }
}
