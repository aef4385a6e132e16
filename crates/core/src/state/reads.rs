//! Linearizable reads of the state service's current revision, and the user requests that wait for
//! one: each is served once the watch has reached the revision that its read returned.

use crate::constants::{PENDING_READS_MAX, READ_INDEX_INTERVAL_MS, STATE_PROBE_INTERVAL_MS};
use crate::controller::{
    Controller, Effect, OperationId, PendingOperation, RequestClass, RequestId, StateOperation,
    StateResponse,
};
use crate::model::Millis;

/// A revision that a read returned and the watch has not reached yet.
pub(crate) struct PendingRead {
    /// The revision.
    pub(crate) revision: u64,
    /// The latest read that it stands for.
    pub(crate) operation: OperationId,
    /// Requests to serve once the watch has reached it.
    pub(crate) requests: Vec<RequestId>,
}

/// Linearizable reads, and the user requests that wait for them.
pub(crate) struct LinearizableReads {
    /// When a read was last issued, or is taken to have been.
    pub(crate) last_requested_at: Millis,
    /// A read has no response yet; one is sent at a time.
    pub(crate) in_flight: bool,
    /// When the last read was sent.
    pub(crate) last_issued_at: Millis,
    /// Requests that the next read is for.
    pub(crate) unissued: Vec<RequestId>,
    /// Requests that the read under way is for.
    pub(crate) issued: Vec<RequestId>,
    /// Reads whose revision the watch has not reached, oldest first.
    pub(crate) behind_watch: Vec<PendingRead>,
}

impl LinearizableReads {
    /// None issued yet.
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

    /// Whether a read may be sent now, as far as the earlier ones go.
    fn may_issue(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.last_issued_at + READ_INDEX_INTERVAL_MS
    }

    /// Whether a read is sent though no request waits for one: it shows that the state service is
    /// reached.
    fn is_probe_due(&self, now: Millis) -> bool {
        now >= self.last_requested_at + STATE_PROBE_INTERVAL_MS
    }

    /// Marks a read as sent, for the requests that waited for it.
    fn mark_issued(&mut self, now: Millis) {
        self.in_flight = true;
        self.last_issued_at = now;
        self.last_requested_at = now;
        self.issued = std::mem::take(&mut self.unissued);
    }

    /// Requests wait for the watch to reach a revision. Reads of the same revision are merged; so
    /// are later ones once many wait, which serves these requests no earlier than they may be.
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

    /// Takes out the reads whose revision the watch has reached.
    fn take_caught_up(&mut self, revision: u64) -> Vec<PendingRead> {
        let reads = std::mem::take(&mut self.behind_watch).into_iter();
        let (caught_up, behind) = reads.partition(|read| read.revision <= revision);
        self.behind_watch = behind;
        caught_up
    }
}

impl Controller {
    /// Sends a read, if one is needed and may be sent.
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

    /// Takes up the response to a read: its requests wait for the watch, or for another read.
    pub(super) fn read_index_completed(&mut self, operation: OperationId, response: StateResponse) {
        self.reads.in_flight = false;
        let requests = std::mem::take(&mut self.reads.issued);
        if operation < self.lifecycle.first_operation_since_resume {
            // Issued before this controller was paused: its cache may be outdated since.
            return;
        }
        let StateResponse::ReadIndex { revision } = response else {
            for request in requests {
                self.retry_read(request);
            }
            return;
        };
        if revision > self.cache.revision && self.list_watch.watch_lag_since.is_none() {
            self.list_watch.watch_lag_since = Some(self.now);
        }
        self.reads.await_watch(revision, operation, requests);
        self.serve_caught_up_reads();
    }

    /// Serves the requests whose read the watch has caught up with.
    pub(super) fn serve_caught_up_reads(&mut self) {
        let caught_up = self.reads.take_caught_up(self.cache.revision);
        if self.reads.behind_watch.is_empty() {
            self.list_watch.watch_lag_since = None;
        }
        for read in caught_up {
            if self.lifecycle.cache_predates_resume
                && self.list_watch.has_listed
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
