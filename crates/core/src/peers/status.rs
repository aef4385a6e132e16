//! The status of peers, and the reasons to reject their heartbeats.

use crate::model::Millis;
use std::fmt;

/// The most likely status of a peer. It may be wrong: decisions based on it may waste work, but violate no
/// invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStatus {
    /// Its heartbeats arrive on time, and it reaches the state store and workers.
    Healthy,
    /// Its heartbeats or its ticks are late: it has too little processor time for its load.
    Slow,
    /// It reports that it does not reach the state store.
    StateUnreachable,
    /// It reports that workers do not reach it.
    WorkersUnreachable,
    /// Another peer receives its heartbeats, but this controller does not.
    LinkLost,
    /// Its heartbeats are overdue by more than their usual variation, for an unknown reason.
    Silent,
    /// Silent, and its workers switch to other controllers: it is paused or partitioned.
    WorkersFailingOver,
    /// Silent, and its workers do not switch to other controllers: it is partitioned together with them, or only
    /// its links to peers are lost.
    CutOffWithWorkers,
    /// Its link has ended, and no other peer receives its heartbeats.
    Exited,
}

impl PeerStatus {
    /// Returns whether the peer is assumed to be inactive, so that others fail over from it.
    pub fn is_inactive(self) -> bool {
        match self {
            PeerStatus::Silent
            | PeerStatus::WorkersFailingOver
            | PeerStatus::CutOffWithWorkers
            | PeerStatus::Exited => true,
            PeerStatus::Healthy
            | PeerStatus::Slow
            | PeerStatus::StateUnreachable
            | PeerStatus::WorkersUnreachable
            | PeerStatus::LinkLost => false,
        }
    }
}

impl fmt::Display for PeerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerStatus::Healthy => "healthy",
            PeerStatus::Slow => "slow",
            PeerStatus::StateUnreachable => "state service unreachable",
            PeerStatus::WorkersUnreachable => "workers unreachable",
            PeerStatus::LinkLost => "link lost",
            PeerStatus::Silent => "silent",
            PeerStatus::WorkersFailingOver => "silent, workers failing over",
            PeerStatus::CutOffWithWorkers => "silent, cut off with its workers",
            PeerStatus::Exited => "exited",
        })
    }
}

/// A change of a peer's status.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PeerStatusChange {
    /// The peer's name.
    pub controller: String,
    pub previous: PeerStatus,
    pub status: PeerStatus,
    /// Number of workers that send their heartbeats to the peer.
    pub workers: usize,
    /// Milliseconds since the peer's last heartbeat.
    pub silent_ms: Millis,
}

/// The reason to reject a peer's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectedHeartbeat {
    /// The sender is not among the controllers of the settings.
    UnknownController,
    /// It was sent too long ago, by wall-clock time.
    TooOld,
    /// It was sent in the future, by wall-clock time.
    FromTheFuture,
    /// It, or a later one, was received before.
    Duplicate,
    /// It was sent by an earlier process of the controller.
    EarlierProcess,
    /// It lists more workers or controllers than there can be.
    TooLarge,
}

/// The outcome of a peer's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    Rejected(RejectedHeartbeat),
    Accepted,
}
