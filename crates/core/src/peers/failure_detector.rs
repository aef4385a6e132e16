//! Failure detection among peers: what has become of one that falls silent, and how its workers fail over.

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

/// Workers of a lost peer on their way to other controllers: for the log, and to know when it is over.
#[derive(Debug)]
pub(super) struct Failover {
    /// When the peer's last heartbeat came.
    since: Millis,
    /// Workers that no controller has heard since.
    pub(super) expected: BTreeSet<String>,
    /// How many workers there were.
    workers: usize,
}

/// A failover that is over.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CompletedFailover {
    /// The peer's name.
    pub controller: String,
    /// How many workers reported to it.
    pub workers: usize,
    /// How many of these no controller has heard since.
    pub missing: usize,
    pub duration_ms: Millis,
}

impl PeerTracker {
    /// Judges all peers anew: whose status has changed, and which failovers are over.
    pub fn judge(&mut self, now: Millis) -> (Vec<PeerStatusChange>, Vec<CompletedFailover>) {
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
            if status.is_away() && !previous.is_away() {
                let failover = Failover {
                    since: peer.at,
                    expected: peer.workers.clone(),
                    workers,
                };
                self.failovers.insert(controller.clone(), failover);
            }
            changes.push(PeerStatusChange {
                silent_ms: now - peer.at,
                controller,
                previous,
                status,
                workers,
            });
        }
        (changes, self.complete_failovers(now))
    }

    /// A failover is over when hardly any worker is missing, or none more is likely to come.
    fn complete_failovers(&mut self, now: Millis) -> Vec<CompletedFailover> {
        let max_ms = FAILOVER_TIMEOUT_FACTOR * self.membership.worker_failover_ms;
        let is_over = |failover: &Failover| {
            let few = failover.workers / FAILOVER_MISSING_DIVISOR;
            failover.expected.len() <= few || now > failover.since + max_ms
        };
        let over = self.failovers.iter().filter(|(_, f)| is_over(f));
        let over: Vec<String> = over.map(|(controller, _)| controller.clone()).collect();
        let completed = over.into_iter().filter_map(|controller| {
            let failover = self.failovers.remove(&controller)?;
            Some(CompletedFailover {
                controller,
                workers: failover.workers,
                missing: failover.expected.len(),
                duration_ms: now - failover.since,
            })
        });
        completed.collect()
    }

    fn status_of(&self, now: Millis, controller: &str) -> PeerStatus {
        let Some(peer) = self.peers.get(controller) else {
            return PeerStatus::Silent;
        };
        let silent_ms = now.saturating_sub(peer.at);
        let min_ms = self.membership.tuning.peer_failure_min_silence_ms;
        if peer.link_ended || silent_ms > peer.intervals.timeout_ms(min_ms) {
            self.status_of_silent(now, peer)
        } else {
            status_of_heard(peer)
        }
    }

    /// The end of a link tells an exit; its workers, and what other peers hear, tell a paused controller from a
    /// lost link.
    fn status_of_silent(&self, now: Millis, peer: &Peer) -> PeerStatus {
        let silent_ms = now.saturating_sub(peer.at);
        let workers = peer.workers.len();
        let failing_over = peer.failed_over > workers / FAILOVER_WORKERS_DIVISOR;
        let staying = silent_ms > self.membership.worker_failover_ms
            && workers >= FAILOVER_WORKERS_MIN
            && !failing_over;
        if self.is_heard_by_others(now, peer) {
            PeerStatus::LinkLost
        } else if staying {
            PeerStatus::CutOffWithWorkers
        } else if peer.link_ended {
            PeerStatus::Exited
        } else if failing_over && peer.failed_over >= FAILOVER_WORKERS_MIN {
            PeerStatus::WorkersFailingOver
        } else {
            PeerStatus::Silent
        }
    }

    /// Whether another peer says that it still hears this one. What it said before the silence began says
    /// nothing of it.
    fn is_heard_by_others(&self, now: Millis, silent: &Peer) -> bool {
        let name = &silent.heartbeat.controller;
        let earliest = silent.at + PEER_FAILURE_MIN_SILENCE_MS + PEER_OPINION_MARGIN_MS;
        let hears = |status: &ControllerStatus| status.heard_peers.iter().any(|n| n == name);
        self.peers.values().any(|other| {
            other.heartbeat.controller != *name
                && other.is_in_time(now)
                && other.at > earliest
                && other.heartbeat.status.as_ref().is_some_and(hears)
        })
    }
}

/// The status of a peer whose heartbeats come.
fn status_of_heard(peer: &Peer) -> PeerStatus {
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
