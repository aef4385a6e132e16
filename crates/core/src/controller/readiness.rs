//! Readiness of a controller: whether its state is current, and whether the load balancer should send users to it.

use crate::constants::{
    ISOLATION_TIMEOUT_MS, PAUSE_RECOVERY_TIMEOUT_MS, STATE_LOST_TIMEOUT_MS, WATCH_LAG_LOST_MS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::peers::Peer;
use crate::workers::observations::Liveness;
use std::fmt;

/// A condition that keeps a controller from serving users normally.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Problem {
    ShuttingDown,
    RecordsNotRead,
    MachineTypesUnknown,
    NoTerm,
    WorkersUnreachable,
    StateUnreachable,
    /// The controller reaches neither the state store nor any peer.
    Isolated,
    /// The controller has just resumed after a pause, and no read has confirmed its cache since.
    Resuming,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Problem::ShuttingDown => "shutting down",
            Problem::RecordsNotRead => "records not read",
            Problem::MachineTypesUnknown => "machine types unknown",
            Problem::NoTerm => "no term on record",
            Problem::WorkersUnreachable => "workers unreachable",
            Problem::StateUnreachable => "state service unreachable",
            Problem::Isolated => "isolated from state service and peers",
            Problem::Resuming => "resuming after a pause",
        })
    }
}

impl Controller {
    /// Returns whether the state cache is complete and current and the state store responded recently.
    pub fn has_current_state(&self) -> bool {
        let is_lost = |lagging_since| self.now >= lagging_since + WATCH_LAG_LOST_MS;
        let answered_recently = |at| self.now.saturating_sub(at) <= STATE_LOST_TIMEOUT_MS;
        self.list_watch.has_listed
            && !self.lifecycle.cache_predates_resume
            && !self.list_watch.watch_lag_since.is_some_and(is_lost)
            && self
                .list_watch
                .last_response_at
                .is_some_and(answered_recently)
    }

    /// Returns the milliseconds since the state store last responded, or since the start.
    pub(crate) fn state_age_ms(&self) -> Millis {
        let last = self.list_watch.last_response_at;
        self.now - last.unwrap_or(self.lifecycle.started_at)
    }

    /// Returns whether the load balancer should send users to this controller.
    pub fn ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// Returns the problem that makes this controller not ready. While no controller reaches the state store,
    /// all stay ready: a controller that left the load balancer would only prolong the outage, and users
    /// at least receive a retry time here.
    fn not_ready(&self) -> Option<Problem> {
        if self.lifecycle.shutting_down_since.is_some() {
            Some(Problem::ShuttingDown)
        } else if !self.list_watch.has_listed {
            Some(Problem::RecordsNotRead)
        } else if self.machine_types.is_empty() {
            Some(Problem::MachineTypesUnknown)
        } else if self.cache.term().is_none() {
            Some(Problem::NoTerm)
        } else if self.has_current_state() {
            let serves =
                |peer: &Peer| peer.heartbeat.has_current_state && peer.heartbeat.workers_reachable;
            let peer_serves = self.live_peers().any(serves);
            let peer_serves_better = !self.workers_reachable() && peer_serves;
            peer_serves_better.then_some(Problem::WorkersUnreachable)
        } else if self.peer_with_current_state().is_some() {
            Some(Problem::StateUnreachable)
        } else if self.is_isolated() {
            Some(Problem::Isolated)
        } else {
            let is_resuming = self.lifecycle.cache_predates_resume
                && self.now < self.lifecycle.resumed_at + PAUSE_RECOVERY_TIMEOUT_MS;
            is_resuming.then_some(Problem::Resuming)
        }
    }

    /// Returns whether this controller reaches neither the state store nor any peer, for longer than both may be
    /// delayed. Its peers most likely serve users, whose polls would fail here until the partition ends.
    fn is_isolated(&self) -> bool {
        self.settings.checks.isolation
            && self.settings.controllers.len() > 1
            && self.live_peers().next().is_none()
            && self.state_age_ms() >= ISOLATION_TIMEOUT_MS
    }

    /// Logs the beginning and the end of each problem.
    pub(super) fn log_problems(&mut self) {
        let not_ready = self.not_ready();
        let is_cut_off = self.list_watch.has_listed && !self.has_current_state();
        let problems = [
            Some(Problem::StateUnreachable).filter(|_| is_cut_off),
            Some(Problem::WorkersUnreachable).filter(|_| !self.workers_reachable()),
            not_ready,
        ];
        let ongoing = &mut self.lifecycle.ongoing_problems;
        for problem in problems.into_iter().flatten() {
            ongoing.entry(problem).or_insert_with(|| {
                let ready = not_ready.is_none();
                tracing::info!(%problem, ready, "problem began");
                self.now
            });
        }
        ongoing.retain(|problem, since| {
            let is_ongoing = problems.contains(&Some(*problem));
            if !is_ongoing {
                let duration_ms = self.now - *since;
                tracing::info!(%problem, duration_ms, "problem ended");
            }
            is_ongoing
        });
    }

    /// Returns whether every worker has had the time to send a heartbeat since the start, or since the last pause.
    /// From then on a worker without a heartbeat is silent, and a task that no heartbeat lists is missing.
    pub(crate) fn has_completed_heartbeat_round(&self) -> bool {
        !self.settings.checks.heartbeat_round || self.is_heartbeat_round_over()
    }

    /// Returns whether this controller or a peer has received a heartbeat of a machine since the start, or since
    /// the last pause. Such a machine gets tasks before all others have sent a heartbeat.
    pub(crate) fn has_reported_since_resume(&self, liveness: &Liveness) -> bool {
        let is_since = |at: Millis| at >= self.lifecycle.resumed_at;
        !self.settings.checks.heartbeat_since_start
            || self.is_heartbeat_round_over()
            || liveness.last_heartbeat_at().is_some_and(is_since)
    }

    fn is_heartbeat_round_over(&self) -> bool {
        self.now - self.lifecycle.resumed_at >= self.settings.heartbeat_due_ms()
    }

    /// Returns whether the cache has reached the highest revision among the records of the list. Its pages are
    /// read at different revisions.
    pub(crate) fn has_synced(&self) -> bool {
        !self.settings.checks.watch_caught_up
            || self.cache.revision >= self.list_watch.list.max_mod_revision
    }

    /// Returns the peers that sent a heartbeat recently and have not exited, as far as is known.
    pub(crate) fn live_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.live(self.now)
    }

    /// Returns the name of a peer that reaches the state store.
    pub(crate) fn peer_with_current_state(&self) -> Option<String> {
        let mut peers = self.live_peers();
        let peer = peers.find(|peer| peer.heartbeat.has_current_state)?;
        Some(peer.heartbeat.controller.clone())
    }

    /// Returns whether this controller is the coordinator: the first one by name that reaches the
    /// state store. The coordinator lists and deletes instances, removes obsolete records and migrates
    /// services. Two coordinators at the same time waste work, but do no harm.
    pub(crate) fn is_coordinator(&self) -> bool {
        let own_name = &self.settings.controller;
        let controllers = self.settings.controllers.iter();
        let mut preceding = controllers.take_while(|name| *name != own_name);
        self.has_current_state() && !preceding.any(|name| self.peers.can_coordinate(self.now, name))
    }

    /// Returns whether this controller is the coordinator, for callers outside of this crate.
    pub fn acts_as_coordinator(&self) -> bool {
        self.is_coordinator()
    }
}
