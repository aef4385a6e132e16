//! State of the requests to the cloud: those in flight and the results of earlier ones.

use crate::constants::INSTANCE_LIST_INTERVAL_MS;
use crate::model::Millis;
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeSet;

/// The state of a controller's requests to the cloud.
pub(crate) struct ProvisioningTracker {
    /// When the cloud's machine types were last read, if they were.
    pub(crate) machine_types_read_at: Option<Millis>,
    /// Whether a request for the machine types is in flight.
    pub(crate) machine_types_in_flight: bool,
    /// When this controller first saw each instance request, by its number.
    pub(crate) request_known_since: HashMap<u64, Millis>,
    /// When this controller last sent each instance request, by its number.
    pub(crate) request_tried_at: HashMap<u64, Millis>,
    /// Whether a transaction that records new instance requests is in flight.
    pub(crate) request_creation_in_flight: bool,
    /// Numbers of the instance requests whose records are being removed.
    pub(crate) removing_requests: BTreeSet<u64>,
    /// Numbers of the instance requests that the cloud has not responded to yet.
    pub(crate) requests_in_flight: BTreeSet<u64>,
    /// Machines whose deletion the cloud has confirmed.
    pub(crate) deletion_confirmed: BTreeSet<String>,
    /// When this controller last requested the deletion of each machine.
    pub(crate) deletion_tried_at: HashMap<String, Millis>,
    /// Whether a deletion request is in flight. Only one is sent at a time.
    pub(crate) deletion_in_flight: bool,
    /// Machines in the instance list that have no record, and when they were first listed.
    pub(crate) unmanaged: HashMap<String, Millis>,
    /// When the cloud's instances are to be listed next.
    pub(crate) next_instance_list_at: Millis,
    /// Whether an instance list request is in flight.
    pub(crate) instance_list_in_flight: bool,
}

impl ProvisioningTracker {
    /// Creates the tracker of a controller that starts at `now`.
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
