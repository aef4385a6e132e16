//! Issues linearizable reads of the state store's current revision, and serves each user request
//! once the watch has reached the revision that the request's read returned.

use crate::constants::{PENDING_READS_MAX, READ_INDEX_INTERVAL_MS, STATE_PROBE_INTERVAL_MS};
use crate::controller::{
    Controller, Effect, OperationId, PendingOperation, RequestClass, RequestId, StateOperation,
    StateResponse,
};
use crate::model::Millis;

/// A read whose revision the watch has not reached yet.
pub(crate) struct PendingRead {
    /// The revision that the read returned.
    pub(crate) revision: u64,
    /// The operation of the read, or of the latest of several merged reads.
    pub(crate) operation: OperationId,
    /// Requests to serve once the watch has reached the revision.
    pub(crate) requests: Vec<RequestId>,
}

/// The linearizable reads of a controller, and the user requests that wait for them.
pub(crate) struct LinearizableReads {
    /// Time of the last read, for the probe interval; the controller sets it back to force a probe.
    pub(crate) last_requested_at: Millis,
    /// Whether a read is outstanding; the controller sends one at a time.
    pub(crate) in_flight: bool,
    /// Time at which the last read was sent.
    pub(crate) last_issued_at: Millis,
    /// Requests that wait for the next read to be sent.
    pub(crate) unissued: Vec<RequestId>,
    /// Requests that wait for the outstanding read.
    pub(crate) issued: Vec<RequestId>,
    /// Reads whose revision the watch has not reached, oldest first.
    pub(crate) behind_watch: Vec<PendingRead>,
}

impl LinearizableReads {
    /// Returns the state before the first read.
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

    /// Returns whether the controller may send a read now: none is outstanding, and the minimum
    /// interval since the last one has passed.
    fn may_issue(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.last_issued_at + READ_INDEX_INTERVAL_MS
    }

    /// Returns whether the controller sends a read although no request waits for one, to check that
    /// the state store is reachable.
    fn is_probe_due(&self, now: Millis) -> bool {
        now >= self.last_requested_at + STATE_PROBE_INTERVAL_MS
    }

    /// Marks a read as sent on behalf of the waiting requests.
    fn mark_issued(&mut self, now: Millis) {
        self.in_flight = true;
        self.last_issued_at = now;
        self.last_requested_at = now;
        self.issued = std::mem::take(&mut self.unissued);
    }

    /// Queues requests until the watch has reached a revision. Merges reads of the same revision,
    /// and, once `PENDING_READS_MAX` reads wait, any later read into the last one. A merged entry
    /// has the higher revision, so no request is served before the revision of its own read.
    fn await_watch(&mut self, revision: u64, operation: OperationId, requests: Vec<RequestId>) {
        let is_full = self.behind_watch.len() >= PENDING_READS_MAX;
        match self.behind_watch.last_mut() {
            Some(last) if last.revision == revision || is_full => {
                last.revision = last.revision.max(revision);
                last.operation = operation;
                last.requests.extend(requests);
            }
            _ => self.behind_watch.push(PendingRead {
                revision,
                operation,
                requests,
            }),
        }
    }

    /// Removes and returns the reads whose revision the watch has reached.
    fn take_caught_up(&mut self, revision: u64) -> Vec<PendingRead> {
        let reads = std::mem::take(&mut self.behind_watch).into_iter();
        let (caught_up, behind) = reads.partition(|read| read.revision <= revision);
        self.behind_watch = behind;
        caught_up
    }
}

impl Controller {
    /// Sends a linearizable read if a request or a due probe needs one, and one may be sent.
    pub(crate) fn issue_read_index(&mut self) {
        let is_needed = !self.reads.unissued.is_empty() || self.reads.is_probe_due(self.now);
        if !is_needed || !self.list_watch.has_listed || !self.reads.may_issue(self.now) {
            return;
        }
        self.reads.mark_issued(self.now);
        let token = self.track_operation(PendingOperation::ReadIndex, None);
        self.emit(Effect::State {
            operation_id: token,
            operation: StateOperation::ReadIndex,
            request_class: RequestClass::User,
        });
    }

    /// Handles the response to a read: queues its requests until the watch has caught up, or
    /// retries the read for them if it failed.
    pub(super) fn read_index_completed(&mut self, operation: OperationId, response: StateResponse) {
        self.reads.in_flight = false;
        let requests = std::mem::take(&mut self.reads.issued);
        if operation < self.lifecycle.first_operation_since_resume {
            // The controller sent this read before it was paused, so the returned revision doesn't
            // prove that its cache is current now.
            return;
        }
        let StateResponse::ReadIndex { revision } = response else {
            for request in requests {
                self.retry_read(request);
            }
            return;
        };
        let (cached_revision, count) = (self.cache.revision, requests.len());
        tracing::debug!(
            revision,
            cached_revision,
            requests = count,
            "linearizable read completed"
        );
        if revision > self.cache.revision && self.list_watch.watch_lag_since.is_none() {
            self.list_watch.watch_lag_since = Some(self.now);
        }
        self.reads.await_watch(revision, operation, requests);
        self.serve_caught_up_reads();
    }

    /// Serves the requests of all reads whose revision the watch has reached.
    pub(super) fn serve_caught_up_reads(&mut self) {
        let caught_up = self.reads.take_caught_up(self.cache.revision);
        if self.reads.behind_watch.is_empty() {
            self.list_watch.watch_lag_since = None;
        }
        for read in caught_up {
            // A list that is in progress began after the read was sent, and so after the pause.
            if self.lifecycle.cache_predates_resume
                && read.operation >= self.lifecycle.first_operation_since_resume
            {
                self.lifecycle.cache_predates_resume = false;
                self.cache_changed = true;
                self.scheduling.pass_requested = true;
            }
            for request in read.requests {
                self.serve_with_current_state(request);
            }
        }
    }
}
