//! Reads of the state service's current revision, and the user requests that wait for one: they are answered once the watch has reached it.

use crate::controller::{OperationId, RequestId};
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
