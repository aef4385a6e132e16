//! Recovery of a controller whose process was paused.

use crate::controller::Controller;
use crate::controller::WorkerReply;
use crate::model::Millis;

impl Controller {
    /// Discards observations from before a pause, so that the controller does not act on them. The cache counts as
    /// current again once it has reached the revision of a read issued after the pause. Failure detection and
    /// placement on machines resume after a round of heartbeats, as after a start.
    pub(super) fn reset_after_pause(&mut self, paused_ms: Millis) {
        let requests = self.requests.open.len();
        tracing::info!(paused_ms, requests, "resumed after a pause");
        self.lifecycle.resumed_at = self.now;
        self.lifecycle.first_operation_since_resume = self.operations.next_id;
        self.lifecycle.cache_predates_resume = true;
        self.list_watch.last_response_at = None;
        self.reads.last_requested_at = 0;
        self.answer_all_after_pause();
        // Evidence that attempts ended remains valid. Reasons to delete or update machines may not.
        self.workers.marked_for_termination.clear();
        self.write_back.machine_updates.clear();
        self.write_back.checkpoints_due.clear();
        self.workers.observations.reset_after_pause();
        self.workers.starts.reset_after_pause();
        self.provisioning.unmanaged.clear();
        self.zones.reset_after_pause();
        self.peers.reset_after_pause(self.now);
        self.workers.reachability.reset_after_pause();
    }

    /// Answers waiting users and replies to waiting workers so that they retry. Their requests have timed out, or
    /// are about to.
    fn answer_all_after_pause(&mut self) {
        for request in self.requests.open.keys().copied().collect::<Vec<_>>() {
            let reply = self.retry_later_reply();
            self.reply_to_user(request, reply);
        }
        self.reads.unissued.clear();
        for (_, held) in std::mem::take(&mut self.workers.held_heartbeats) {
            self.reply_to_worker(held.request, WorkerReply::Unavailable);
        }
    }
}
