//! Whether a controller knows enough to decide anything, and whether users should be sent to it.

use crate::constants::{
    ISOLATION_TIMEOUT_MS, PAUSE_RECOVERY_TIMEOUT_MS, STATE_LOST_TIMEOUT_MS, WATCH_LAG_LOST_MS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::peers::Peer;
use crate::workers::observations::Liveness;
use std::fmt;

/// What keeps a controller from serving as it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Problem {
    ShuttingDown,
    RecordsNotRead,
    MachineTypesUnknown,
    NoTerm,
    WorkersUnreachable,
    StateUnreachable,
    /// Neither the state service nor any peer is reached.
    Isolated,
    /// It has just gone on after a pause, and has not read anything since.
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
    /// Whether the records are known and current, and the state service answered lately.
    pub fn has_current_state(&self) -> bool {
        let is_lost = |lagging_since| self.now >= lagging_since + WATCH_LAG_LOST_MS;
        let answered_lately = |at| self.now.saturating_sub(at) <= STATE_LOST_TIMEOUT_MS;
        self.sync.has_listed
            && !self.lifecycle.view_predates_resume
            && !self.sync.watch_lag_since.is_some_and(is_lost)
            && self.sync.last_response_at.is_some_and(answered_lately)
    }

    /// Milliseconds since the state service last answered, or since the start.
    pub(crate) fn state_age(&self) -> Millis {
        let last = self.sync.last_response_at;
        self.now - last.unwrap_or(self.lifecycle.started_at)
    }

    /// Whether sending users here helps them.
    pub fn ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// What keeps users from being sent here. While every controller has lost the state service none
    /// is better than another: leaving the balancer would only prolong the outage, and here
    /// they are at least told when to come back.
    fn not_ready(&self) -> Option<Problem> {
        if self.lifecycle.shutting_down_since.is_some() {
            Some(Problem::ShuttingDown)
        } else if !self.sync.has_listed {
            Some(Problem::RecordsNotRead)
        } else if self.machine_types.is_empty() {
            Some(Problem::MachineTypesUnknown)
        } else if self.cache.term().is_none() {
            Some(Problem::NoTerm)
        } else if self.has_current_state() {
            let serves =
                |peer: &Peer| peer.heartbeat.has_current_state && peer.heartbeat.workers_reachable;
            let is_served_elsewhere = self.fresh_peers().any(serves);
            let is_worse = !self.workers_reachable() && is_served_elsewhere;
            is_worse.then_some(Problem::WorkersUnreachable)
        } else if self.peer_with_state().is_some() {
            Some(Problem::StateUnreachable)
        } else if self.is_isolated() {
            Some(Problem::Isolated)
        } else {
            let is_resuming = self.lifecycle.view_predates_resume
                && self.now < self.lifecycle.resumed_at + PAUSE_RECOVERY_TIMEOUT_MS;
            is_resuming.then_some(Problem::Resuming)
        }
    }

    /// Cut off from the state service and from all peers, and for longer than both may hesitate:
    /// most likely others serve users, who would poll here in vain for as long as the cut lasts.
    fn is_isolated(&self) -> bool {
        self.settings.checks.isolation
            && self.settings.controllers.len() > 1
            && self.fresh_peers().next().is_none()
            && self.state_age() >= ISOLATION_TIMEOUT_MS
    }

    /// Logs when a problem that operators ask about begins and ends.
    pub(super) fn log_problems(&mut self) {
        let not_ready = self.not_ready();
        let is_cut_off = self.sync.has_listed && !self.has_current_state();
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
            let lasts = problems.contains(&Some(*problem));
            if !lasts {
                let duration_ms = self.now - *since;
                tracing::info!(%problem, duration_ms, "problem ended");
            }
            lasts
        });
    }

    /// Whether a round of heartbeats has come in since the start, or since the last pause: what was
    /// not heard by then is silent, and what is not there is missing.
    pub(crate) fn has_heard_full_round(&self) -> bool {
        !self.settings.checks.heartbeat_round || self.is_round_over()
    }

    /// Whether a machine's own heartbeat has come in since then, here or at a peer. Work is placed
    /// on it before all others have reported.
    pub(crate) fn has_reported_since_resume(&self, liveness: &Liveness) -> bool {
        let is_since = |at: Millis| at >= self.lifecycle.resumed_at;
        !self.settings.checks.heartbeat_since_start
            || self.is_round_over()
            || liveness.last_heartbeat_at().is_some_and(is_since)
    }

    fn is_round_over(&self) -> bool {
        self.now - self.lifecycle.resumed_at >= self.settings.heartbeat_due_ms()
    }

    /// Whether the cache holds all that the list met, page by page.
    pub(crate) fn has_synced(&self) -> bool {
        !self.settings.checks.watch_caught_up
            || self.cache.revision >= self.sync.list.max_mod_revision
    }

    /// Peers that were heard lately and are not known to have exited.
    pub(crate) fn fresh_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.fresh(self.now)
    }

    /// A peer that reaches the state service.
    pub(crate) fn peer_with_state(&self) -> Option<String> {
        let mut peers = self.fresh_peers();
        let peer = peers.find(|peer| peer.heartbeat.has_current_state)?;
        Some(peer.heartbeat.controller.clone())
    }

    /// Whether this controller does what falls to the first one, in order of names, that reaches the state
    /// service: lists, deletions, removals, moves. Two doing it at once is wasteful, not wrong.
    pub(crate) fn on_duty(&self) -> bool {
        let own_name = &self.settings.controller;
        let before = self.settings.controllers.iter();
        let mut before = before.take_while(|name| *name != own_name);
        self.has_current_state() && !before.any(|name| self.peers.can_be_on_duty(self.now, name))
    }

    /// The same, for those outside of the core.
    pub fn is_on_duty(&self) -> bool {
        self.on_duty()
    }
}
