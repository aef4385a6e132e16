//! What a controller does when it finds that its process was paused.

use crate::controller::Controller;
use crate::controller::WorkerReply;
use crate::model::Millis;

impl Controller {
    /// After a pause what was known before is old, and nothing is done on the strength of it. The cache counts as
    /// current again once a read issued from now on has been reached; machines are judged and placed on after a
    /// round of heartbeats, as after a start.
    pub(super) fn reset_after_pause(&mut self, paused_ms: Millis) {
        let requests = self.requests.open.len();
        tracing::info!(paused_ms, requests, "resumed after a pause");
        self.lifecycle.resumed_at = self.now;
        self.lifecycle.first_operation_since_resume = self.operations.next_id;
        self.lifecycle.view_predates_resume = true;
        self.sync.last_response_at = None;
        self.reads.last_requested_at = 0;
        self.answer_all_after_pause();
        // Evidence that attempts ended stays true. What gave reason to act on machines does not.
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

    /// Users and workers that wait have given up, or are about to: they are told to come back.
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
