//! Handoff of workers to peers that serve fewer of them.

use crate::controller::Controller;
use crate::model::{TaskPhase, TaskStatus, WorkerHeartbeat};
use crate::workers::registry::ReceivedHeartbeat;

impl Controller {
    /// Machines that report to this controller now.
    pub(crate) fn load(&self) -> usize {
        let fresh = self.now.saturating_sub(2 * self.settings.report_ms).max(1);
        let here = |(id, h): &(&String, &ReceivedHeartbeat)| {
            h.at >= fresh && !h.is_older_than(self.peers.observation(id))
        };
        self.workers.last_heartbeats.iter().filter(here).count()
    }

    pub(crate) fn plan_handoff(&mut self) {
        let recent = 2 * self.settings.report_ms;
        match self.has_current_state()
            && self.has_completed_heartbeat_round()
            && self.lifecycle.shutting_down_since.is_none()
        {
            true => self.peers.plan_handoff(self.now, self.load(), recent),
            false => self.peers.cancel_handoff(),
        }
    }

    /// The peer that a worker is to report to instead. Not while it has news: both controllers
    /// would record it.
    pub(super) fn handoff_target(&mut self, heartbeat: &WorkerHeartbeat) -> Option<String> {
        let exited = |t: &TaskStatus| matches!(t.phase, TaskPhase::Exited(_));
        if heartbeat.notice_s.is_some() || heartbeat.tasks.iter().any(exited) {
            return None;
        }
        self.peers.next_handoff()
    }
}
