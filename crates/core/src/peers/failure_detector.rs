//! Failure detection among peers: the status of a peer without heartbeats, and the failover of its workers.

use super::status::{PeerStatus, PeerStatusChange};
use super::tracker::PeerTracker;
use crate::constants::{
    FAILOVER_MISSING_DIVISOR, FAILOVER_TIMEOUT_FACTOR, FAILOVER_WORKERS_DIVISOR,
    FAILOVER_WORKERS_MIN, PEER_FAILURE_MIN_SILENCE_MS, PEER_OPINION_MARGIN_MS, TICK_DELAY_SLOW_MS,
};
use crate::controller::ControllerStatus;
use crate::model::Millis;
use crate::peers::peer::Peer;
use std::collections::BTreeSet;

/// The failover of a lost peer's workers to other controllers.
#[derive(Debug)]
pub(super) struct Failover {
    /// When the peer's last heartbeat arrived. The duration of the failover counts from then.
    last_heartbeat_at: Millis,
    /// Workers from which no controller has received a heartbeat since the peer's last one.
    pub(super) missing: BTreeSet<String>,
    /// Number of workers that sent their heartbeats to the peer.
    workers: usize,
}

/// A completed failover, as it is logged.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompletedFailover {
    /// The peer's name.
    pub controller: String,
    /// Number of workers that sent their heartbeats to the peer.
    pub workers: usize,
    /// Number of these workers from which no controller has received a heartbeat since the peer's last one.
    pub missing: usize,
    pub duration_ms: Millis,
}

impl PeerTracker {
    /// Reassesses the status of all peers. Returns the status changes and the completed failovers.
    pub fn assess(&mut self, now: Millis) -> (Vec<PeerStatusChange>, Vec<CompletedFailover>) {
        let mut changes = Vec::new();
        let controllers: Vec<String> = self.peers.keys().cloned().collect();
        for controller in controllers {
            let status = self.status_of(now, &controller);
            let Some(peer) = self.peers.get_mut(&controller) else {
                continue;
            };
            let previous = std::mem::replace(&mut peer.status, status);
            if previous == status {
                continue;
            }
            let workers = peer.workers.len() + peer.failed_over;
            if status.is_inactive() && !previous.is_inactive() {
                let failover = Failover {
                    last_heartbeat_at: peer.last_heartbeat_at,
                    missing: peer.workers.clone(),
                    workers,
                };
                self.failovers.insert(controller.clone(), failover);
            }
            changes.push(PeerStatusChange {
                silent_ms: now - peer.last_heartbeat_at,
                controller,
                previous,
                status,
                workers,
            });
        }
        (changes, self.complete_failovers(now))
    }

    /// Removes and returns the failovers that are complete: nearly all workers have reached another controller,
    /// or so much time has passed that the others are unlikely to.
    fn complete_failovers(&mut self, now: Millis) -> Vec<CompletedFailover> {
        let max_ms = FAILOVER_TIMEOUT_FACTOR * self.membership.worker_failover_ms;
        let is_complete = |failover: &Failover| {
            let max_missing = failover.workers / FAILOVER_MISSING_DIVISOR;
            failover.missing.len() <= max_missing || now > failover.last_heartbeat_at + max_ms
        };
        let complete = self.failovers.iter().filter(|(_, f)| is_complete(f));
        let complete: Vec<String> = complete.map(|(controller, _)| controller.clone()).collect();
        let completed = complete.into_iter().filter_map(|controller| {
            let failover = self.failovers.remove(&controller)?;
            Some(CompletedFailover {
                controller,
                workers: failover.workers,
                missing: failover.missing.len(),
                duration_ms: now - failover.last_heartbeat_at,
            })
        });
        completed.collect()
    }

    /// Returns the present status of a peer.
    fn status_of(&self, now: Millis, controller: &str) -> PeerStatus {
        let Some(peer) = self.peers.get(controller) else {
            return PeerStatus::Silent;
        };
        let silent_ms = now.saturating_sub(peer.last_heartbeat_at);
        let min_ms = self.membership.tuning.peer_failure_min_silence_ms;
        if peer.link_ended || silent_ms > peer.intervals.timeout_ms(min_ms) {
            self.status_of_silent_peer(now, peer)
        } else {
            status_of_heard_peer(peer)
        }
    }

    /// Returns the status of a peer whose heartbeats are overdue or whose link has ended. The end of the link
    /// indicates an exit. The peer's workers, and the peers that still receive its heartbeats, distinguish a paused
    /// peer from a lost link.
    fn status_of_silent_peer(&self, now: Millis, peer: &Peer) -> PeerStatus {
        let silent_ms = now.saturating_sub(peer.last_heartbeat_at);
        let workers = peer.workers.len();
        let failing_over = peer.failed_over > workers / FAILOVER_WORKERS_DIVISOR;
        let workers_silent = silent_ms > self.membership.worker_failover_ms
            && workers >= FAILOVER_WORKERS_MIN
            && !failing_over;
        if self.is_heard_by_another_peer(now, peer) {
            PeerStatus::LinkLost
        } else if workers_silent {
            PeerStatus::CutOffWithWorkers
        } else if peer.link_ended {
            PeerStatus::Exited
        } else if failing_over && peer.failed_over >= FAILOVER_WORKERS_MIN {
            PeerStatus::WorkersFailingOver
        } else {
            PeerStatus::Silent
        }
    }

    /// Returns whether another peer reports that it still receives this peer's heartbeats. A report from before the
    /// silence began is no evidence.
    fn is_heard_by_another_peer(&self, now: Millis, silent: &Peer) -> bool {
        let name = &silent.heartbeat.controller;
        let earliest =
            silent.last_heartbeat_at + PEER_FAILURE_MIN_SILENCE_MS + PEER_OPINION_MARGIN_MS;
        let hears = |status: &ControllerStatus| status.heard_peers.iter().any(|n| n == name);
        self.peers.values().any(|other| {
            other.heartbeat.controller != *name
                && other.is_in_time(now)
                && other.last_heartbeat_at > earliest
                && other.heartbeat.status.as_ref().is_some_and(hears)
        })
    }
}

/// Returns the status of a peer whose heartbeats arrive on time.
fn status_of_heard_peer(peer: &Peer) -> PeerStatus {
    let ticks_late = |status: &ControllerStatus| status.tick_delay_ms > TICK_DELAY_SLOW_MS;
    if !peer.heartbeat.has_current_state {
        PeerStatus::StateUnreachable
    } else if !peer.heartbeat.workers_reachable {
        PeerStatus::WorkersUnreachable
    } else if peer.intervals.is_slow() || peer.heartbeat.status.as_ref().is_some_and(ticks_late) {
        PeerStatus::Slow
    } else {
        PeerStatus::Healthy
    }
}
