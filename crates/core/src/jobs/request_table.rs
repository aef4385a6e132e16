//! User requests that wait for an answer.

use crate::controller::RequestId;
use crate::jobs::admission::AdmissionControl;
use crate::jobs::requests::UserRequest;
use crate::model::Millis;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// User requests that wait for an answer.
pub(crate) struct RequestTable {
    /// Requests without an answer.
    pub(crate) open: BTreeMap<RequestId, UserRequest>,
    /// Admits submissions and cancellations at a rate that leaves changes for other writes.
    pub(crate) admission: AdmissionControl,
    /// Open requests that wait until no task of their cancelled job is assigned any more.
    pub(crate) awaiting_cancellation: BTreeSet<RequestId>,
}

impl RequestTable {
    pub(crate) fn new(settings: &Settings, now: Millis) -> RequestTable {
        RequestTable {
            open: BTreeMap::new(),
            admission: AdmissionControl::new(
                settings.write_rps.min(settings.announced_write_rps),
                now,
            ),
            awaiting_cancellation: BTreeSet::new(),
        }
    }
}
