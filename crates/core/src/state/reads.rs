//! Reads of the state service's current revision, and the user requests that wait for one: they are answered once the watch has reached it.

use crate::constants::{READ_INDEX_INTERVAL_MS, STATE_PROBE_INTERVAL_MS};
use crate::controller::{
    Controller, Effect, OperationId, PendingOperation, RequestClass, RequestId, StateOperation,
};
use crate::model::Millis;

/// Reads of the state service's current revision, and the user requests that wait for one: they are answered once the watch has reached it.
pub(crate) struct LinearizableReads {
    /// When a read was last issued, or is taken to have been.
    pub(crate) last_requested_at: Millis,
    /// A read has no answer yet; one is sent at a time.
    pub(crate) in_flight: bool,
    /// When the last read was sent.
    pub(crate) last_issued_at: Millis,
    /// Requests that the next read is for.
    pub(crate) unissued: Vec<RequestId>,
    /// Requests that the read under way is for.
    pub(crate) issued: Vec<RequestId>,
    /// Revisions that were read and the watch has not reached, with the read and its requests.
    pub(crate) behind_watch: Vec<(u64, OperationId, Vec<RequestId>)>,
}

impl LinearizableReads {
    pub(crate) fn new() -> LinearizableReads {
        LinearizableReads {
            last_requested_at: 0,
            in_flight: false,
            last_issued_at: 0,
            unissued: Vec::new(),
            issued: Vec::new(),
            behind_watch: Vec::new(),
        }
    }
}

impl Controller {
    pub(crate) fn issue_read_index(&mut self) {
        let wanted = !self.reads.unissued.is_empty()
            || (self.sync.has_listed
                && self.now >= self.reads.last_requested_at + STATE_PROBE_INTERVAL_MS);
        if !wanted
            || self.reads.in_flight
            || !self.sync.has_listed
            || self.now < self.reads.last_issued_at + READ_INDEX_INTERVAL_MS
        {
            return;
        }
        self.reads.in_flight = true;
        self.reads.last_issued_at = self.now;
        self.reads.last_requested_at = self.now;
        self.reads.issued = std::mem::take(&mut self.reads.unissued);
        let token = self.track_operation(PendingOperation::ReadIndex, None);
        self.emit(Effect::State {
            token,
            op: StateOperation::ReadIndex,
            request_class: RequestClass::User,
        });
    }

    pub(super) fn serve_caught_up_reads(&mut self) {
        let revision = self.cache.revision;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads.behind_watch)
            .into_iter()
            .partition(|(e, ..)| *e <= revision);
        self.reads.behind_watch = waiting;
        if self.reads.behind_watch.is_empty() {
            self.sync.watch_lag_since = None;
        }
        for (_, token, requests) in ready {
            if self.lifecycle.view_predates_resume
                && self.sync.has_listed
                && token >= self.lifecycle.first_operation_since_resume
            {
                self.lifecycle.view_predates_resume = false;
                self.state_changed = true;
                self.scheduling.pass_requested = true;
            }
            for request in requests {
                self.serve_with_current_state(request);
            }
        }
    }
}
