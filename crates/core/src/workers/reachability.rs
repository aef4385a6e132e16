//! Whether workers reach this controller: one that is partitioned from them must not act on their silence.

use crate::constants::{
    COMMAND_LIMIT_MS, INBOUND_GAP_MS, PARTITION_PROBE_INTERVAL_MS, PARTITION_UNANSWERED_COMMANDS,
    ZONE_MISSED_HEARTBEATS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::peers::Peer;
use rand::seq::SliceRandom;

/// Signs of whether this controller is partitioned from the workers.
#[derive(Debug)]
pub(crate) struct WorkerReachability {
    /// Direct commands without an answer since workers were last heard from, in a row.
    unanswered: u32,
    /// When a worker's heartbeat or answer last came.
    heard_at: Millis,
    /// End of the last gap between these that was too long for chance.
    inbound_lost_until: Millis,
    /// When it last probed a machine to see whether the partition is over.
    probed_at: Millis,
}

impl WorkerReachability {
    pub fn new(now: Millis) -> WorkerReachability {
        WorkerReachability {
            unanswered: 0,
            heard_at: now,
            inbound_lost_until: 0,
            probed_at: now,
        }
    }

    /// Milliseconds since a worker was heard.
    pub fn gap(&self, now: Millis) -> Millis {
        now - self.heard_at
    }

    /// A heartbeat or an answer of a worker has come. `longest`: the longest gap in milliseconds that is no
    /// sign of a partition.
    pub fn heard(&mut self, now: Millis, longest: Millis) {
        if self.gap(now) > longest {
            self.inbound_lost_until = now;
        }
        (self.unanswered, self.heard_at) = (0, now);
    }

    /// A direct command got no answer.
    pub fn command_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Whether too many direct commands in a row got no answer.
    pub fn is_doubtful(&self) -> bool {
        self.unanswered >= PARTITION_UNANSWERED_COMMANDS
    }

    /// Whether a direct command that failed says nothing of its machine: no worker was heard since, or it was
    /// sent in the last moments of a partition.
    pub fn failed_alone(&self, at: Millis) -> bool {
        self.heard_at <= at || at <= self.inbound_lost_until + 2 * COMMAND_LIMIT_MS
    }

    /// Whether to probe a machine now to see whether the partition is over.
    pub fn asks(&mut self, now: Millis) -> bool {
        let asks = self.is_doubtful() && now >= self.probed_at + PARTITION_PROBE_INTERVAL_MS;
        if asks {
            self.probed_at = now;
        }
        asks
    }

    /// After a pause of this process missing answers were its own fault.
    pub fn reset_after_pause(&mut self) {
        self.unanswered = 0;
    }
}

impl Controller {
    /// Whether workers reach this controller, as far as can be told. Partitioned from them alone, it would
    /// claim work whose starts never arrive, and draw users away from controllers that serve them.
    pub(crate) fn workers_reachable(&self) -> bool {
        let heard_peers =
            |s: &Peer| s.heartbeat.workers_reachable && !s.heartbeat.workers.is_empty();
        !self.workers.reachability.is_doubtful()
            || !self.settings.checks.workers
            || !self.live_peers().any(heard_peers)
    }

    /// Whether it may be this controller that a question did not get out of: it has heard no worker since,
    /// while peers have. It took the first two or three machines that fell silent so for dead.
    pub(super) fn may_be_partitioned(&self, asked: Millis) -> bool {
        let elsewhere = self.live_peers().any(|s| {
            let since = self.now - s.last_heartbeat_at;
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

    /// While this controller is partitioned from the workers, probes one of them now and then.
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
