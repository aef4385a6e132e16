//! One peer and its workers, as far as they are known here.

use super::heartbeat_intervals::HeartbeatIntervals;
use super::status::PeerStatus;
use crate::constants::{PEER_FAILURE_MIN_SILENCE_MS, PEER_HEARTBEAT_EXPIRY_MS};
use crate::controller::PeerHeartbeat;
use crate::model::{HeartbeatPosition, Millis};
use crate::workers::registry::ReceivedHeartbeat;
use std::collections::BTreeSet;

/// One peer, as far as it is known here.
#[derive(Debug)]
pub(crate) struct Peer {
    /// When its last heartbeat was accepted.
    pub at: Millis,
    /// That heartbeat.
    pub heartbeat: PeerHeartbeat,
    pub(super) intervals: HeartbeatIntervals,
    /// Its link has ended, and no heartbeat has come since.
    pub(super) link_ended: bool,
    /// Workers whose latest heartbeat it got, as far as is known here.
    pub(super) workers: BTreeSet<String>,
    /// How many of its workers have come here since its last heartbeat.
    pub(super) failed_over: usize,
    pub(super) status: PeerStatus,
}

impl Peer {
    /// What it is taken to be.
    pub fn status(&self) -> PeerStatus {
        self.status
    }

    /// How many workers' heartbeats it got within so many milliseconds before its last heartbeat.
    pub fn load(&self, within_ms: Millis) -> usize {
        let heard = self.heartbeat.workers.iter();
        heard.filter(|worker| worker.age_ms < within_ms).count()
    }

    /// Whether it was heard lately and is not known to have exited.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        let lost = self.link_ended || self.status.is_away() || self.status == PeerStatus::LinkLost;
        now.saturating_sub(self.at) <= PEER_HEARTBEAT_EXPIRY_MS && !lost
    }

    /// Whether none of its heartbeats is missing.
    pub(super) fn is_in_time(&self, now: Millis) -> bool {
        now.saturating_sub(self.at) <= PEER_FAILURE_MIN_SILENCE_MS && !self.link_ended
    }

    /// Whether it reaches the state service and workers, by its last heartbeat.
    pub(super) fn can_serve_workers(&self) -> bool {
        self.heartbeat.has_current_state && self.heartbeat.workers_reachable
    }
}

/// The latest heartbeat of a worker that any peer is known to have got.
#[derive(Debug)]
pub(crate) struct PeerObservation {
    /// When it came there, by this controller's clock.
    pub at: Millis,
    /// Where it stands among its worker's heartbeats.
    pub position: HeartbeatPosition,
    pub(super) peer: String,
}

impl PeerObservation {
    /// The peer that got it.
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl ReceivedHeartbeat {
    /// Whether a peer is known to have got a later heartbeat.
    pub fn older_than(&self, observation: Option<&PeerObservation>) -> bool {
        observation.is_some_and(|observed| observed.position > self.position)
    }
}
