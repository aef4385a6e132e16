//! Peers, that is the other controllers: their status, and failover when a peer is lost.

mod failover;
mod failure_detector;
mod handoff;
mod heartbeat_intervals;
mod peer;
mod status;
pub(crate) mod tracker;

pub(crate) use peer::{Peer, PeerObservation};
pub use status::PeerStatus;
pub(crate) use tracker::PeerTracker;
