//! What a controller takes a peer to be, and why heartbeats of peers are rejected.

use crate::model::Millis;
use std::fmt;

/// What has most likely become of a peer. A guess: what rests on it may waste work, and nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStatus {
    /// Its heartbeats come in time, and it reaches the state service and workers.
    Healthy,
    /// Its heartbeats come late: it has more to do than it has processor time for.
    Slow,
    /// It says that it does not reach the state service.
    StateUnreachable,
    /// It says that workers do not reach it.
    WorkersUnreachable,
    /// This controller gets no heartbeats of it, but another peer does.
    LinkLost,
    /// Silent for longer than the intervals of its heartbeats vary; not known why.
    Silent,
    /// Silent, and its workers turn to other controllers: it is paused or cut off.
    WorkersFailingOver,
    /// Silent, and its workers stay away as well: cut off together with them, or only its links are.
    CutOffWithWorkers,
    /// The link to it has ended, and no other peer gets its heartbeats.
    Exited,
}

impl PeerStatus {
    /// Whether it is taken to do nothing now, so that others do what it did.
    pub fn is_away(self) -> bool {
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

/// A peer whose status has just changed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PeerStatusChange {
    /// The peer's name.
    pub controller: String,
    pub previous: PeerStatus,
    pub status: PeerStatus,
    /// How many workers report to it.
    pub workers: usize,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: Millis,
}

/// Why a heartbeat of a peer says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectedHeartbeat {
    /// Its sender is not among the controllers of the settings.
    UnknownController,
    /// It was made too long ago, by the times of day.
    TooOld,
    /// It was made later than now, by the times of day.
    FromTheFuture,
    /// It, or a later one, came before.
    Duplicate,
    /// It is of an earlier process of that controller.
    EarlierProcess,
    /// It names more workers or controllers than there can be.
    TooLarge,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    Rejected(RejectedHeartbeat),
    Accepted,
}
