//! The other controllers: what is known of them, and failover when one is lost.

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
