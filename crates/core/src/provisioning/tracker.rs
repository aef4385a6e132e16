//! The requests to the cloud that are under way, and what earlier ones brought.

use crate::constants::INSTANCE_LIST_INTERVAL_MS;
use crate::model::Millis;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeSet;

/// Requests to the cloud under way, and what is remembered of earlier ones.
pub(crate) struct ProvisioningTracker {
    /// When the cloud's machine types were last read.
    pub(crate) machine_types_read_at: Option<Millis>,
    /// The machine types are being read.
    pub(crate) machine_types_in_flight: bool,
    /// Since when each instance request is known here.
    pub(crate) request_known_since: HashMap<u64, Millis>,
    /// When each instance request was last sent from here.
    pub(crate) request_tried_at: HashMap<u64, Millis>,
    /// Records of new instance requests are being written.
    pub(crate) request_creation_in_flight: bool,
    /// Instance requests whose record is being removed.
    pub(crate) removing_requests: BTreeSet<u64>,
    /// Instance requests that the cloud has not answered yet.
    pub(crate) requests_in_flight: BTreeSet<u64>,
    /// Machines that the cloud has deleted.
    pub(crate) deletion_confirmed: BTreeSet<String>,
    /// When each deletion was last requested.
    pub(crate) deletion_tried_at: HashMap<String, Millis>,
    /// A deletion has no answer yet; one is sent at a time.
    pub(crate) deletion_in_flight: bool,
    /// Listed machines that no record names, and when they were first seen.
    pub(crate) unmanaged: HashMap<String, Millis>,
    /// When the cloud's instances are listed next.
    pub(crate) next_instance_list_at: Millis,
    /// The instances are being listed.
    pub(crate) instance_list_in_flight: bool,
}

impl ProvisioningTracker {
    /// The tracker of a controller that starts.
    pub(crate) fn new(now: Millis) -> ProvisioningTracker {
        ProvisioningTracker {
            machine_types_read_at: None,
            machine_types_in_flight: false,
            request_known_since: HashMap::new(),
            request_tried_at: HashMap::new(),
            request_creation_in_flight: false,
            removing_requests: BTreeSet::new(),
            requests_in_flight: BTreeSet::new(),
            deletion_confirmed: BTreeSet::new(),
            deletion_tried_at: HashMap::new(),
            deletion_in_flight: false,
            unmanaged: HashMap::new(),
            next_instance_list_at: now + INSTANCE_LIST_INTERVAL_MS,
            instance_list_in_flight: false,
        }
    }
}
