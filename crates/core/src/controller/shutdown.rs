//! Graceful shutdown: a controller hands off its workers and users before it exits.

use crate::constants::SHUTDOWN_MARGIN_MS;
use crate::controller::{Controller, Effect};

impl Controller {
    /// Begins a graceful shutdown: the load balancer sends users elsewhere, workers are redirected at their next
    /// heartbeat, and requests in progress are completed.
    pub(super) fn begin_shutdown(&mut self) {
        if self.lifecycle.shutting_down_since.is_some() {
            return;
        }
        let (workers, requests) = (self.load(), self.requests.open.len());
        tracing::info!(workers, requests, "shutdown requested");
        self.lifecycle.shutting_down_since = Some(self.now);
        // Notifies the peers at once rather than with the next scheduled heartbeat.
        self.peers.send_heartbeat_now();
        self.send_heartbeat();
    }

    /// Returns the peer that a worker is redirected to while this controller shuts down.
    pub(crate) fn shutdown_redirect(&mut self) -> Option<String> {
        self.lifecycle.shutting_down_since?;
        let turn = self.operations.next_id;
        self.operations.next_id += 1;
        self.peers.shutdown_target(self.now, turn)
    }

    /// Exits once no request is in progress and every worker has been redirected, or no peer can take workers.
    /// Exits in any case after a round of heartbeats and `SHUTDOWN_MARGIN_MS`.
    pub(super) fn exit_if_drained(&mut self) {
        let Some(since) = self.lifecycle.shutting_down_since else {
            return;
        };
        let round_ms = self.settings.heartbeat_due_ms();
        let is_busy = !self.requests.open.is_empty()
            || !self.workers.held_heartbeats.is_empty()
            || self.writes.assignment_write.is_some();
        let has_workers = self.now < since + round_ms && self.load() > 0;
        let has_no_peer = self.peers.shutdown_target(self.now, 0).is_none();
        let is_drained = !is_busy && (!has_workers || has_no_peer);
        if is_drained || self.now >= since + round_ms + SHUTDOWN_MARGIN_MS {
            let (duration_ms, workers) = (self.now - since, self.load());
            tracing::info!(duration_ms, workers, "exiting");
            self.emit(Effect::Exit);
        }
    }
}
