//! Graceful shutdown: a controller that is asked to end hands over its workers and users first.

use crate::constants::SHUTDOWN_MARGIN_MS;
use crate::controller::{Controller, Effect};

impl Controller {
    /// The process was asked to end: users are sent elsewhere from now on, workers are handed over
    /// as they report, and what is under way is finished.
    pub(super) fn begin_shutdown(&mut self) {
        if self.lifecycle.shutting_down_since.is_some() {
            return;
        }
        let (workers, requests) = (self.load(), self.requests.open.len());
        tracing::info!(workers, requests, "shutdown requested");
        self.lifecycle.shutting_down_since = Some(self.now);
        // Peers hear of it now, not with the next heartbeat.
        self.peers.send_heartbeat_now();
        self.send_heartbeat();
    }

    /// Where a worker is sent by a controller that is about to exit.
    pub(crate) fn shutdown_redirect(&mut self) -> Option<String> {
        self.lifecycle.shutting_down_since?;
        let turn = self.operations.next_id;
        self.operations.next_id += 1;
        self.peers.shutdown_target(self.now, turn)
    }

    /// Exits once nothing is under way and every worker has been sent to a peer, or can't be.
    pub(super) fn exit_if_drained(&mut self) {
        let Some(since) = self.lifecycle.shutting_down_since else {
            return;
        };
        let round = self.settings.heartbeat_due_ms();
        let is_busy = !self.requests.open.is_empty()
            || !self.workers.held_heartbeats.is_empty()
            || self.writes.assignment_write.is_some();
        let has_workers = self.now < since + round && self.load() > 0;
        let has_no_peer = self.peers.shutdown_target(self.now, 0).is_none();
        let is_drained = !is_busy && (!has_workers || has_no_peer);
        if is_drained || self.now >= since + round + SHUTDOWN_MARGIN_MS {
            let (duration_ms, workers) = (self.now - since, self.load());
            tracing::info!(duration_ms, workers, "exiting");
            self.emit(Effect::Exit);
        }
    }
}
