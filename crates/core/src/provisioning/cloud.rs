//! Requests to the cloud: machine types, instance lists, instance requests and deletions.

use crate::constants::{
    CONTROLLER_STAGGER_MS, DELETE_MAX_MACHINES, DELETE_RETRY_MS, INSTANCE_LIST_INTERVAL_MS,
    OFFER_UNAVAILABLE_MS, PROVISION_FAST_RETRY_MS, PROVISION_RETRY_MS,
};
use crate::controller::{
    CloudOperation, CloudResponse, Controller, OperationId, PendingOperation, RequestClass,
};
use crate::model::{CloudInstance, CloudInstanceState, MachineType, Millis};
use crate::state::formats;
use crate::state::{
    InstanceRequestRecord, Key, MachinePhase, MachineRecord, MachineTypesRecord,
    ProvisioningRecord, Record, TransactionBuilder,
};
use crate::workers::termination::TerminationReason;
use std::collections::BTreeSet;

impl Controller {
    /// Handles the cloud's response to a request, or the failure of the request.
    pub(crate) fn handle_cloud_response(
        &mut self,
        operation: OperationId,
        response: CloudResponse,
    ) {
        let Some((purpose, _)) = self.operations.outstanding.remove(&operation) else {
            return;
        };
        match (purpose, response) {
            (PendingOperation::MachineTypes, response) => {
                self.provisioning.machine_types_in_flight = false;
                if let CloudResponse::Types(machine_types) = response {
                    self.provisioning.machine_types_read_at = Some(self.now);
                    self.set_machine_types(&machine_types);
                    self.store_machine_types(machine_types);
                }
            }
            (PendingOperation::Instances, response) => {
                self.provisioning.instance_list_in_flight = false;
                if let CloudResponse::Instances { instances, more } = response {
                    let last_name = instances.last().map(|instance| instance.name.clone());
                    self.reconcile_instances(instances);
                    if more {
                        self.provisioning.instance_list_in_flight = true;
                        let next_page = CloudOperation::List { after: last_name };
                        self.send_to_cloud(next_page, PendingOperation::Instances);
                    }
                }
            }
            (PendingOperation::Provision(number), response) => {
                self.provisioning.request_tried_at.insert(number, self.now);
                self.provisioning.requests_in_flight.remove(&number);
                match response {
                    CloudResponse::Provisioned(instances) => {
                        self.record_provisioned(number, instances)
                    }
                    CloudResponse::NoCapacity => self.record_provisioned(number, Vec::new()),
                    _ => {}
                }
            }
            (PendingOperation::Deprovision(machines), response) => {
                self.provisioning.deletion_in_flight = false;
                if response == CloudResponse::Deleted {
                    for id in machines {
                        tracing::info!(machine = id, "machine deleted");
                        self.provisioning.deletion_confirmed.insert(id);
                    }
                }
            }
            _ => {}
        }
    }

    /// Sets the machine types that placement and provisioning use, and requests a scheduling pass.
    pub(crate) fn set_machine_types(&mut self, machine_types: &[MachineType]) {
        let by_name = |t: &MachineType| (t.name.clone(), t.clone());
        self.machine_types = machine_types.iter().map(by_name).collect();
        let cache_gb = |t: &MachineType| (t.name.clone(), t.cache_gb);
        self.cache.image_cache_gb = machine_types.iter().map(cache_gb).collect();
        self.scheduling.pass_requested = true;
    }

    /// Stores the machine types for controllers that start while the cloud is down. Does nothing if only prices have
    /// changed.
    fn store_machine_types(&mut self, machine_types: Vec<MachineType>) {
        let known = self.cache.machine_types();
        let is_known = known
            .is_some_and(|r| without_prices(&r.machine_types) == without_prices(&machine_types));
        if !self.has_current_state() || is_known {
            return;
        }
        let record = Record::MachineTypes(MachineTypesRecord { machine_types });
        if !fits_value(&record, self.settings.max_value_bytes) {
            return; // Each controller then reads them from the cloud.
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::MachineTypes, record);
        let transaction = draft.finish();
        self.commit(
            transaction,
            PendingOperation::MachineTypes,
            RequestClass::Housekeeping,
        );
    }

    /// Sends a recorded instance request to the cloud.
    pub(crate) fn send_instance_request(&mut self, number: u64) {
        let Some(request) = self.cache.instance_request(&number).cloned() else {
            return;
        };
        self.provisioning.request_tried_at.insert(number, self.now);
        self.provisioning.requests_in_flight.insert(number);
        self.send_to_cloud(
            CloudOperation::Provision {
                name: format!("g-{number}"),
                type_name: request.type_name,
                zone: request.zone,
                spot: request.spot,
                count: request.count,
            },
            PendingOperation::Provision(number),
        );
    }

    /// Records the machines that an instance request provisioned. After an empty or partial response the offer counts
    /// as unavailable for `OFFER_UNAVAILABLE_MS`.
    fn record_provisioned(&mut self, number: u64, instances: Vec<String>) {
        let request = self.cache.instance_request(&number);
        let Some(request) = request.filter(|r| r.instances.is_none()).cloned() else {
            return;
        };
        tracing::info!(
            machine_type = request.type_name,
            zone = request.zone,
            spot = request.spot,
            requested = request.count,
            provisioned = instances.len(),
            "machines provisioned"
        );
        let max_bytes = self.settings.max_value_bytes;
        let mut draft = TransactionBuilder::new(&self.cache);
        if (instances.len() as u32) < request.count {
            let mut provisioning = draft.provisioning_record();
            provisioning
                .refused
                .retain(|_, until| *until > self.wall_time);
            let refused_until = self.wall_time + OFFER_UNAVAILABLE_MS;
            provisioning.refused.insert(request.offer(), refused_until);
            let record = fit_provisioning_record(provisioning, max_bytes);
            draft.put(Key::Provisioning, record);
        }
        if instances.is_empty() {
            draft.remove(Key::InstanceRequest(number));
        } else {
            let record = fit_instance_request(request, instances, max_bytes);
            draft.put(Key::InstanceRequest(number), record);
        }
        let transaction = draft.finish();
        self.commit(
            transaction,
            PendingOperation::RecordProvisioned(number),
            RequestClass::Claim,
        );
    }

    /// Returns whether a machine that an instance request provisioned is still expected to come up.
    pub(crate) fn is_expected_instance(&self, id: &str) -> bool {
        self.cache.machine(id).is_none() && !self.workers.recently_deleted.contains(id)
    }

    /// Removes the records of instance requests whose machines have all come up or been deleted again.
    pub(crate) fn remove_completed_requests(&mut self) {
        let is_complete = |request: &InstanceRequestRecord| {
            let instances = request.instances.as_ref();
            instances
                .is_some_and(|instances| !instances.iter().any(|id| self.is_expected_instance(id)))
        };
        let due: Vec<u64> = self
            .cache
            .instance_requests()
            .filter(|(number, request, _)| {
                is_complete(request)
                    && !self.provisioning.removing_requests.contains(number)
                    && (request.controller == self.settings.controller || self.is_coordinator())
            })
            .map(|(number, _, _)| *number)
            .collect();
        for number in due {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.remove(Key::InstanceRequest(number));
            let transaction = draft.finish();
            self.provisioning.removing_requests.insert(number);
            self.commit(
                transaction,
                PendingOperation::RemoveInstanceRequest(number),
                RequestClass::Housekeeping,
            );
        }
    }

    /// Requests the deletion of machines whose deletion is committed and whose records still exist.
    pub(crate) fn send_deletions(&mut self) {
        // All due machines are deleted in one request at a time, because the cloud accepts few requests and queued
        // deletions must not delay instance requests.
        if self.provisioning.deletion_in_flight {
            return;
        }
        let now = self.now;
        let due: Vec<String> = self
            .cache
            .machines()
            .filter(|(id, m, _)| {
                m.phase == MachinePhase::Deprovisioning
                    && !self.provisioning.deletion_confirmed.contains(*id)
                    && self
                        .provisioning
                        .deletion_tried_at
                        .get(*id)
                        .is_none_or(|at| now >= at + DELETE_RETRY_MS)
            })
            .map(|(id, _, _)| id.to_string())
            .take(DELETE_MAX_MACHINES)
            .collect();
        if due.is_empty() {
            return;
        }
        for id in &due {
            self.provisioning.deletion_tried_at.insert(id.clone(), now);
        }
        self.provisioning.deletion_in_flight = true;
        let purpose = PendingOperation::Deprovision(due.clone());
        self.send_to_cloud(CloudOperation::Delete { machines: due }, purpose);
    }

    /// Reconciles a page of the cloud's instance list with the machine records.
    fn reconcile_instances(&mut self, instances: Vec<CloudInstance>) {
        // The list shows deleted machines for up to twice its lag, and a controller that has just started does not
        // know that they were deleted.
        let lag_ms = self.settings.instance_list_lag_ms * 2 + INSTANCE_LIST_INTERVAL_MS;
        let now = self.now;
        self.provisioning
            .unmanaged
            .retain(|_, at| now < *at + 4 * lag_ms);
        for instance in instances {
            let phase = self
                .cache
                .machine(&instance.name)
                .map(|record| record.phase);
            match phase {
                None => self.observe_unmanaged(instance, lag_ms),
                Some(MachinePhase::Deprovisioning) => {}
                Some(_) if instance.state == CloudInstanceState::Failed => {
                    self.mark_for_termination(&instance.name, TerminationReason::InstanceFailed);
                }
                Some(_) => {}
            }
        }
    }

    /// Tracks a listed machine that has no record and belongs to no recorded instance request. Such a machine is
    /// found by its heartbeats if it is up. One that never comes up is found only here and is adopted once it has
    /// been listed for `lag_ms`.
    fn observe_unmanaged(&mut self, instance: CloudInstance, lag_ms: Millis) {
        let may_be_requested = self.may_be_requested(&instance.name);
        if may_be_requested || self.workers.recently_deleted.contains(&instance.name) {
            self.provisioning.unmanaged.remove(&instance.name);
            return;
        }
        let entry = self.provisioning.unmanaged.entry(instance.name.clone());
        let first_seen_at = *entry.or_insert(self.now);
        if self.now < first_seen_at + lag_ms {
            return;
        }
        self.provisioning.unmanaged.remove(&instance.name);
        let record = MachineRecord::new(
            &instance.type_name,
            &instance.zone,
            instance.spot,
            MachinePhase::Booting,
            self.wall_time,
        );
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Machine(instance.name.clone()), Record::Machine(record));
        tracing::info!(machine = instance.name, "unmanaged machine adopted");
        let transaction = draft.finish();
        self.commit(
            transaction,
            PendingOperation::RemoveObsolete,
            RequestClass::Housekeeping,
        );
    }

    /// Returns whether a recorded instance request provisioned, or may have provisioned, a machine.
    fn may_be_requested(&self, name: &String) -> bool {
        let mut requests = self.cache.instance_requests();
        requests.any(|(_, request, _)| match &request.instances {
            Some(instances) => instances.contains(name),
            None => true,
        })
    }

    /// Resends instance requests whose outcome is not recorded.
    pub(crate) fn retry_instance_requests(&mut self) {
        let recorded: BTreeSet<u64> = self.cache.instance_requests().map(|(n, _, _)| *n).collect();
        let tracker = &mut self.provisioning;
        tracker.request_tried_at.retain(|n, _| recorded.contains(n));
        tracker
            .request_known_since
            .retain(|n, _| recorded.contains(n));
        let mut due = Vec::new();
        for (number, request, _) in self.cache.instance_requests() {
            let retry_ms = self.request_retry_ms(*number, request);
            let tracker = &mut self.provisioning;
            let known_since = tracker.request_known_since.entry(*number);
            let known_since = *known_since.or_insert(self.now);
            let tried_at = tracker.request_tried_at.get(number).copied();
            let is_in_flight = tracker.requests_in_flight.contains(number);
            if request.instances.is_none()
                && !is_in_flight
                && self.now >= tried_at.unwrap_or(known_since) + retry_ms
            {
                due.push(*number);
            }
        }
        for number in due {
            self.send_instance_request(number);
        }
    }

    /// Returns the milliseconds after which an instance request is resent. Every controller sends it under the same
    /// name, so that the cloud serves it only once.
    fn request_retry_ms(&self, number: u64, request: &InstanceRequestRecord) -> Millis {
        let stagger_ms = self.settings.controller_index() * CONTROLLER_STAGGER_MS;
        if self.peers.is_inactive(&request.controller) {
            PROVISION_FAST_RETRY_MS + stagger_ms
        } else if request.controller != self.settings.controller {
            PROVISION_RETRY_MS * 2 + stagger_ms
        } else if self.provisioning.request_tried_at.contains_key(&number)
            || !self.settings.checks.uncertain_outcomes
        {
            PROVISION_RETRY_MS
        } else {
            // The request was never sent, because the transaction that recorded it got no response.
            PROVISION_FAST_RETRY_MS
        }
    }
}

/// Returns the machine types sorted by name, with their prices set to 0.
fn without_prices(machine_types: &[MachineType]) -> Vec<MachineType> {
    let mut machine_types = machine_types.to_vec();
    for machine_type in &mut machine_types {
        machine_type.price = 0.0;
        machine_type.spot_price = 0.0;
    }
    machine_types.sort_by(|a, b| a.name.cmp(&b.name));
    machine_types
}

/// Returns whether a record fits into a value of `max_bytes` bytes.
fn fits_value(record: &Record, max_bytes: u64) -> bool {
    formats::stored_bytes(record, formats::LATEST) as u64 <= max_bytes
}

/// Returns the record, without refused offers that don't fit into a value. Refused offers are only a hint: an offer
/// that is dropped is requested once more than necessary.
fn fit_provisioning_record(mut provisioning: ProvisioningRecord, max_bytes: u64) -> Record {
    loop {
        let record = Record::Provisioning(provisioning.clone());
        if fits_value(&record, max_bytes) || provisioning.refused.pop_first().is_none() {
            return record;
        }
    }
}

/// Returns the record of a request's outcome, without machines whose names don't fit into a value. Those machines get
/// their records when they send heartbeats or are listed.
fn fit_instance_request(
    request: InstanceRequestRecord,
    mut instances: Vec<String>,
    max_bytes: u64,
) -> Record {
    loop {
        let record = Record::InstanceRequest(InstanceRequestRecord {
            instances: Some(instances.clone()),
            ..request.clone()
        });
        if fits_value(&record, max_bytes) || instances.pop().is_none() {
            return record;
        }
    }
}
