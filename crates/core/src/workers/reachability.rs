//! Detection of a partition between this controller and the workers: a partitioned controller must
//! not act on their silence.

use crate::constants::{
    COMMAND_TIMEOUT_MS, INBOUND_GAP_MIN_MS, PARTITION_PROBE_INTERVAL_MS,
    PARTITION_UNANSWERED_COMMANDS, ZONE_MISSED_HEARTBEATS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::peers::Peer;
use rand::seq::SliceRandom;

/// Evidence of whether this controller is partitioned from the workers.
#[derive(Debug)]
pub(crate) struct WorkerReachability {
    /// Consecutive direct commands without a response since the last heartbeat or response of any
    /// worker.
    unanswered_commands: u32,
    /// When a worker's heartbeat or response last arrived.
    last_contact_at: Millis,
    /// End of the last interval without heartbeats and responses that was too long to be chance.
    inbound_lost_until: Millis,
    /// When this controller last probed a machine to find out whether the partition is over.
    probed_at: Millis,
}

impl WorkerReachability {
    pub fn new(now: Millis) -> WorkerReachability {
        WorkerReachability {
            unanswered_commands: 0,
            last_contact_at: now,
            inbound_lost_until: 0,
            probed_at: now,
        }
    }

    /// Returns the milliseconds since the last heartbeat or response of any worker.
    pub fn silence_ms(&self, now: Millis) -> Millis {
        now - self.last_contact_at
    }

    /// Records that a worker's heartbeat or response has arrived. `max_gap_ms` is the longest
    /// interval without heartbeats and responses that is no evidence of a partition.
    pub fn record_contact(&mut self, now: Millis, max_gap_ms: Millis) {
        if self.silence_ms(now) > max_gap_ms {
            self.inbound_lost_until = now;
        }
        (self.unanswered_commands, self.last_contact_at) = (0, now);
    }

    /// Records that a direct command got no response.
    pub fn record_unanswered_command(&mut self) {
        self.unanswered_commands = self.unanswered_commands.saturating_add(1);
    }

    /// Returns whether too many direct commands in a row got no response.
    pub fn suspects_partition(&self) -> bool {
        self.unanswered_commands >= PARTITION_UNANSWERED_COMMANDS
    }

    /// Returns whether a direct command that failed is no evidence against its machine: no
    /// heartbeat or response has arrived since, or the command was sent shortly before a partition ended.
    pub fn is_failure_inconclusive(&self, at: Millis) -> bool {
        self.last_contact_at <= at || at <= self.inbound_lost_until + 2 * COMMAND_TIMEOUT_MS
    }

    /// Returns whether to probe a machine now to find out whether the partition is over, and
    /// records the probe.
    pub fn take_probe_due(&mut self, now: Millis) -> bool {
        let is_due =
            self.suspects_partition() && now >= self.probed_at + PARTITION_PROBE_INTERVAL_MS;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Resets the count of missing responses after a pause of this process, which caused them.
    pub fn reset_after_pause(&mut self) {
        self.unanswered_commands = 0;
    }
}

impl Controller {
    /// Returns whether workers reach this controller, as far as is known. A controller that is
    /// partitioned from the workers alone would claim tasks whose starts never arrive, and draw
    /// users away from controllers that can serve them.
    pub(crate) fn workers_reachable(&self) -> bool {
        let is_heard_peer =
            |peer: &Peer| peer.heartbeat.workers_reachable && !peer.heartbeat.workers.is_empty();
        !self.workers.reachability.suspects_partition()
            || !self.settings.checks.worker_reachability
            || !self.live_peers().any(is_heard_peer)
    }

    /// Returns whether an unanswered probe may be due to a partition of this controller: it has
    /// received no heartbeat or response since the probe, while peers have received heartbeats.
    /// Without this check a partitioned controller terminated the first two or three machines that
    /// fell silent.
    pub(super) fn may_be_partitioned(&self, probed_at: Millis) -> bool {
        let heard_elsewhere = self.live_peers().any(|peer| {
            let peer_age_ms = self.now - peer.last_heartbeat_at;
            let heard_at = peer
                .heartbeat
                .workers
                .iter()
                .map(|worker| self.now - (worker.age_ms + peer_age_ms).min(self.now));
            heard_at.max().is_some_and(|at| at > probed_at)
        });
        !self.workers_reachable()
            || self.workers.reachability.is_failure_inconclusive(probed_at) && heard_elsewhere
    }

    /// Records that a worker's heartbeat or response has arrived here.
    pub(super) fn record_worker_contact(&mut self) {
        let mut max_gap_ms = INBOUND_GAP_MIN_MS;
        if self.workers.reachability.silence_ms(self.now) > INBOUND_GAP_MIN_MS {
            let max_chance_gap_ms = self.settings.heartbeat_interval_ms * ZONE_MISSED_HEARTBEATS
                / (self.load() as u64).max(1);
            max_gap_ms = max_gap_ms.max(max_chance_gap_ms.min(self.settings.heartbeat_due_ms()));
        }
        self.workers
            .reachability
            .record_contact(self.now, max_gap_ms);
    }

    /// While this controller is partitioned from the workers, probes one of them at an interval.
    pub(crate) fn probe_during_partition(&mut self) {
        if !self.workers.reachability.take_probe_due(self.now) {
            return;
        }
        let heard: Vec<&str> = (self.cache.machines())
            .filter(|(id, m, _)| m.is_up() && self.has_recent_heartbeat(id))
            .map(|(id, ..)| id)
            .collect();
        if let Some(id) = heard.choose(&mut self.rng).map(|id| id.to_string()) {
            self.send_command(id, Vec::new());
        }
    }
}
