//! Scale-out: creates instance requests for pending work that no machine can take.

use crate::constants::{
    MACHINE_NAME_BYTES, PROVISION_MAX_INSTANCES, PROVISION_MAX_REQUESTS_PER_STEP,
    SMALL_RECORD_BYTES,
};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::provisioning::demand::{InstanceDemand, ProvisioningView};
use crate::scheduling::pending_work::PendingWork;
use crate::state::{InstanceRequestRecord, Key, Record, TransactionBuilder};

/// The most jobs that are logged when no offer can serve the pending work.
const LOGGED_JOBS: usize = 3;

impl Controller {
    /// Records instance requests for pending work, unless earlier requests are still in flight. Demand that arises
    /// meanwhile is combined into the next requests, because the cloud accepts few calls and one call can provision
    /// many machines.
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
            is_expected: &|id| {
                self.settings.checks.outstanding_instances && self.is_expected_instance(id)
            },
            is_zone_unreachable: &|zone| self.is_zone_unreachable(zone),
            wall_time: self.wall_time,
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

    /// Records instance requests and the next request number in one transaction.
    fn create_instance_requests(&mut self, demand: Vec<InstanceDemand>) {
        let max_instances = self.max_instances_per_request();
        let max_requests =
            PROVISION_MAX_REQUESTS_PER_STEP.min(self.settings.max_transaction_changes - 1);
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut provisioning = draft.provisioning_record();
        let mut created = Vec::new();
        for demand in demand.into_iter().take(max_requests) {
            let number = provisioning.next_request_number;
            provisioning.next_request_number += 1;
            created.push(number);
            draft.put(
                Key::InstanceRequest(number),
                Record::InstanceRequest(InstanceRequestRecord {
                    type_name: demand.type_name,
                    zone: demand.zone,
                    spot: demand.spot,
                    count: demand.count.min(max_instances),
                    controller: self.settings.controller.clone(),
                    created_at: self.wall_time,
                    instances: None,
                }),
            );
        }
        draft.put(Key::Provisioning, Record::Provisioning(provisioning));
        let transaction = draft.finish();
        self.provisioning.request_creation_in_flight = true;
        let purpose = PendingOperation::CreateInstanceRequests(created);
        self.commit(transaction, purpose, RequestClass::Claim);
    }

    /// Returns the most instances per request. The record of a request names its machines and must fit into one value.
    fn max_instances_per_request(&self) -> u32 {
        let max_value_bytes = self.settings.max_value_bytes;
        let names_bytes = max_value_bytes.saturating_sub(SMALL_RECORD_BYTES as u64);
        (names_bytes / MACHINE_NAME_BYTES).clamp(1, u64::from(PROVISION_MAX_INSTANCES)) as u32
    }
}
