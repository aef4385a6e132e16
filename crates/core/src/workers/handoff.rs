//! Handoff of workers to peers that serve fewer of them.

use crate::controller::Controller;
use crate::model::{TaskPhase, TaskStatus, WorkerHeartbeat};
use crate::workers::registry::ReceivedHeartbeat;

impl Controller {
    /// Returns the number of machines that currently report to this controller.
    pub(crate) fn load(&self) -> usize {
        let since = self
            .now
            .saturating_sub(2 * self.settings.heartbeat_interval_ms)
            .max(1);
        let reports_here = |(id, heartbeat): &(&String, &ReceivedHeartbeat)| {
            heartbeat.at >= since && !heartbeat.is_older_than(self.peers.observation(id))
        };
        self.workers
            .last_heartbeats
            .iter()
            .filter(reports_here)
            .count()
    }

    /// Plans the handoff of workers to peers, or cancels it while this controller's view is
    /// incomplete or it shuts down.
    pub(crate) fn plan_handoff(&mut self) {
        let recent_ms = 2 * self.settings.heartbeat_interval_ms;
        match self.has_current_state()
            && self.has_completed_heartbeat_round()
            && self.lifecycle.shutting_down_since.is_none()
        {
            true => self.peers.plan_handoff(self.now, self.load(), recent_ms),
            false => self.peers.cancel_handoff(),
        }
    }

    /// Returns the peer that a worker is to report to instead, if any. A worker with results or a
    /// reclaim notice is not handed off: both controllers would record these.
    pub(super) fn handoff_target(&mut self, heartbeat: &WorkerHeartbeat) -> Option<String> {
        let has_exited = |status: &TaskStatus| matches!(status.phase, TaskPhase::Exited(_));
        if heartbeat.notice_s.is_some() || heartbeat.tasks.iter().any(has_exited) {
            return None;
        }
        self.peers.next_handoff()
    }
}
