//! Scale-out: instance requests for pending work that no machine can take.

use crate::constants::{
    MACHINE_NAME_BYTES, PROVISION_MAX_INSTANCES, PROVISION_REQUESTS_AT_ONCE, SMALL_RECORD_BYTES,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::provisioning::demand::{InstanceDemand, ProvisioningView};
use crate::scheduling::pending_work::PendingWork;
use crate::state::{InstanceRequestRecord, Key, Record, TransactionBuilder};

/// Jobs that are logged when nothing is provisioned for them.
const LOGGED_JOBS: usize = 3;

impl Controller {
    /// Records instance requests for pending work, unless others are under way. What is wanted meanwhile goes
    /// into the next ones together: the cloud takes few calls, and one call brings many machines.
    pub(crate) fn scale_out(&mut self, work: &[PendingWork]) {
        if work.is_empty()
            || self.provisioning.request_creation_in_flight
            || !self.provisioning.requests_in_flight.is_empty()
        {
            return;
        }
        let view = ProvisioningView {
            cache: &self.cache,
            machine_types: &self.machine_types,
            is_on_its_way: &|id| self.settings.checks.instance_requests && self.on_its_way(id),
            is_zone_unreachable: &|zone| self.is_zone_unreachable(zone),
            wall: self.wall,
        };
        let demand = view.demand(work);
        if demand.is_empty() {
            for work in work.iter().take(LOGGED_JOBS) {
                let tasks = work.indices.len();
                tracing::debug!(job = work.job, tasks, "pending work waits for a machine");
            }
            return;
        }
        self.create_instance_requests(demand);
    }

    /// Records instance requests and the number of the next one, in one transaction.
    fn create_instance_requests(&mut self, demand: Vec<InstanceDemand>) {
        let max_instances = self.max_instances_per_request();
        let max_requests =
            PROVISION_REQUESTS_AT_ONCE.min(self.settings.max_transaction_changes - 1);
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut fleet = draft.provisioning_record();
        let mut created = Vec::new();
        for demand in demand.into_iter().take(max_requests) {
            let n = fleet.next_request_number;
            fleet.next_request_number += 1;
            created.push(n);
            draft.put(
                Key::InstanceRequest(n),
                Record::InstanceRequest(InstanceRequestRecord {
                    type_name: demand.type_name,
                    zone: demand.zone,
                    spot: demand.spot,
                    count: demand.count.min(max_instances),
                    controller: self.settings.controller.clone(),
                    created_at: self.wall,
                    instances: None,
                }),
            );
        }
        draft.put(Key::Provisioning, Record::Provisioning(fleet));
        let transaction = draft.finish();
        self.provisioning.request_creation_in_flight = true;
        let purpose = PendingOperation::CreateInstanceRequests(created);
        self.commit(transaction, purpose, RequestClass::Claim);
    }

    /// The machines that a request brings are named in its record, which must fit a value.
    fn max_instances_per_request(&self) -> u32 {
        let bytes = self.settings.max_value_bytes;
        let names_bytes = bytes.saturating_sub(SMALL_RECORD_BYTES as u64);
        (names_bytes / MACHINE_NAME_BYTES).clamp(1, u64::from(PROVISION_MAX_INSTANCES)) as u32
    }
}
