//! Whether workers reach this controller, as far as it can tell by itself.

use crate::constants::{
    COMMAND_LIMIT_MS, INBOUND_GAP_MS, PARTITION_PROBE_INTERVAL_MS, PARTITION_UNANSWERED_COMMANDS,
    ZONE_MISSED_HEARTBEATS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::peers::Peer;
use rand::seq::SliceRandom;

#[derive(Debug)]
pub(crate) struct WorkerReachability {
    /// Direct commands without an answer since workers were last heard from, in a row.
    unanswered: u32,
    /// When a worker last reported here, or answered.
    heard_at: Millis,
    /// Until when it was cut off from them, as a gap between these shows.
    deaf_until: Millis,
    /// When it last asked a machine whether it is heard again.
    asked_at: Millis,
}

impl WorkerReachability {
    pub fn new(now: Millis) -> WorkerReachability {
        WorkerReachability {
            unanswered: 0,
            heard_at: now,
            deaf_until: 0,
            asked_at: now,
        }
    }

    /// Milliseconds since a worker was heard.
    pub fn gap(&self, now: Millis) -> Millis {
        now - self.heard_at
    }

    /// A worker has reported here, or answered. `longest`: the longest gap that is no sign of a cut.
    pub fn heard(&mut self, now: Millis, longest: Millis) {
        if self.gap(now) > longest {
            self.deaf_until = now;
        }
        (self.unanswered, self.heard_at) = (0, now);
    }

    /// A direct command got no answer.
    pub fn handle_state_timeout(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Too many in a row did.
    pub fn is_doubtful(&self) -> bool {
        self.unanswered >= PARTITION_UNANSWERED_COMMANDS
    }

    /// Whether a question that failed says nothing of its machine: no worker was heard since, or it was
    /// sent in the last moments of a cut, and failed with the rest.
    pub fn failed_alone(&self, at: Millis) -> bool {
        self.heard_at <= at || at <= self.deaf_until + 2 * COMMAND_LIMIT_MS
    }

    /// Whether to ask a machine now if it is heard again.
    pub fn asks(&mut self, now: Millis) -> bool {
        let asks = self.is_doubtful() && now >= self.asked_at + PARTITION_PROBE_INTERVAL_MS;
        if asks {
            self.asked_at = now;
        }
        asks
    }

    /// After a pause the silence was its own.
    pub fn reset_after_pause(&mut self) {
        self.unanswered = 0;
    }
}

impl Controller {
    /// Whether workers reach this controller, as far as can be told: cut off from them alone, it would
    /// claim work whose starts never arrive, and draw users away from controllers that serve them.
    pub(crate) fn workers_reachable(&self) -> bool {
        let heard_peers =
            |s: &Peer| s.heartbeat.workers_reachable && !s.heartbeat.workers.is_empty();
        !self.workers.reachability.is_doubtful()
            || !self.settings.checks.workers
            || !self.fresh_peers().any(heard_peers)
    }

    /// Whether it may be this controller that a question did not get out of: it has heard no worker since,
    /// while peers have. It took the first two or three machines that fell silent so for dead.
    pub(super) fn may_be_partitioned(&self, asked: Millis) -> bool {
        let elsewhere = self.fresh_peers().any(|s| {
            let since = self.now - s.at;
            let heard = s
                .heartbeat
                .workers
                .iter()
                .map(|worker| self.now - (worker.age_ms + since).min(self.now));
            heard.max().is_some_and(|at| at > asked)
        });
        !self.workers_reachable() || self.workers.reachability.failed_alone(asked) && elsewhere
    }

    /// A worker has reported here, or answered.
    pub(super) fn heard_worker(&mut self) {
        let mut longest = INBOUND_GAP_MS;
        if self.workers.reachability.gap(self.now) > INBOUND_GAP_MS {
            let many =
                self.settings.report_ms * ZONE_MISSED_HEARTBEATS / (self.load() as u64).max(1);
            longest = longest.max(many.min(self.settings.report_due_ms()));
        }
        self.workers.reachability.heard(self.now, longest);
    }

    /// Cut off from the workers, a controller asks one of them now and then whether it is heard again.
    pub(crate) fn probe_partition(&mut self) {
        if !self.workers.reachability.asks(self.now) {
            return;
        }
        let heard: Vec<&str> = (self.cache.machines())
            .filter(|(id, m, _)| m.is_up() && self.recently_heard(id))
            .map(|(id, ..)| id)
            .collect();
        if let Some(id) = heard.choose(&mut self.rng).map(|id| id.to_string()) {
            self.send_command(id, Vec::new());
        }
    }
}
