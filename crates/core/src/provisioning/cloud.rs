//! Requests to the cloud: its machine types and instance lists, instance requests and deletions under way.

use crate::constants::{
    CONTROLLER_STAGGER_MS, DELETE_MAX, DELETE_RETRY_MS, INSTANCE_LIST_INTERVAL_MS,
    OFFER_UNAVAILABLE_MS, PROVISION_RETRY_MS, PROVISION_RETRY_SOON_MS,
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
    /// Handles the cloud's answer to a request, or that it failed.
    pub(crate) fn handle_cloud_response(&mut self, token: OperationId, response: CloudResponse) {
        let Some((purpose, _)) = self.operations.outstanding.remove(&token) else {
            return;
        };
        match (purpose, response) {
            (PendingOperation::MachineTypes, response) => {
                self.provisioning.machine_types_in_flight = false;
                if let CloudResponse::Types(machine_types) = response {
                    self.provisioning.machine_types_read_at = Some(self.now);
                    self.use_machine_types(&machine_types);
                    self.store_machine_types(machine_types);
                }
            }
            (PendingOperation::Instances, response) => {
                self.provisioning.instance_list_in_flight = false;
                if let CloudResponse::Instances { instances, more } = response {
                    let last = instances.last().map(|instance| instance.name.clone());
                    self.reconcile_instances(instances);
                    if more {
                        self.provisioning.instance_list_in_flight = true;
                        let next_page = CloudOperation::List { after: last };
                        self.send_to_cloud(next_page, PendingOperation::Instances);
                    }
                }
            }
            (PendingOperation::Provision(n), response) => {
                self.provisioning.request_tried_at.insert(n, self.now);
                self.provisioning.requests_in_flight.remove(&n);
                match response {
                    CloudResponse::Provisioned(instances) => self.record_provisioned(n, instances),
                    CloudResponse::NoCapacity => self.record_provisioned(n, Vec::new()),
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

    /// Places and provisions by these machine types from now on.
    pub(crate) fn use_machine_types(&mut self, machine_types: &[MachineType]) {
        let by_name = |t: &MachineType| (t.name.clone(), t.clone());
        self.machine_types = machine_types.iter().map(by_name).collect();
        let cache_gb = |t: &MachineType| (t.name.clone(), t.cache_gb);
        self.cache.cache_gb = machine_types.iter().map(cache_gb).collect();
        self.scheduling.pass_requested = true;
    }

    /// Records the types for controllers that start while the cloud is down. Changed prices alone are no
    /// reason to.
    fn store_machine_types(&mut self, machine_types: Vec<MachineType>) {
        let known = self.cache.machine_types();
        let is_known = known
            .is_some_and(|r| without_prices(&r.machine_types) == without_prices(&machine_types));
        if !self.has_current_state() || is_known {
            return;
        }
        let record = Record::MachineTypes(MachineTypesRecord { machine_types });
        if !fits_value(&record, self.settings.max_value_bytes) {
            return; // each controller reads them from the cloud
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

    /// Sends an instance request that is on record.
    pub(crate) fn send_instance_request(&mut self, n: u64) {
        let Some(request) = self.cache.instance_request(&n).cloned() else {
            return;
        };
        self.provisioning.request_tried_at.insert(n, self.now);
        self.provisioning.requests_in_flight.insert(n);
        self.send_to_cloud(
            CloudOperation::Provision {
                name: format!("g-{n}"),
                type_name: request.type_name,
                zone: request.zone,
                spot: request.spot,
                count: request.count,
            },
            PendingOperation::Provision(n),
        );
    }

    /// Records what an instance request brought. After an empty or partial answer the offer counts as
    /// unavailable for a while.
    fn record_provisioned(&mut self, n: u64, instances: Vec<String>) {
        let request = self.cache.instance_request(&n);
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
            let mut fleet = draft.fleet();
            fleet.refused.retain(|_, until| *until > self.wall);
            let until = self.wall + OFFER_UNAVAILABLE_MS;
            fleet.refused.insert(request.offer(), until);
            let record = fitting_fleet(fleet, max_bytes);
            draft.put(Key::Provisioning, record);
        }
        if instances.is_empty() {
            draft.remove(Key::InstanceRequest(n));
        } else {
            let record = fitting_request(request, instances, max_bytes);
            draft.put(Key::InstanceRequest(n), record);
        }
        let transaction = draft.finish();
        self.commit(
            transaction,
            PendingOperation::RecordProvisioned(n),
            RequestClass::Claim,
        );
    }

    /// Whether a machine that an instance request brought is still to come.
    pub(crate) fn on_its_way(&self, id: &str) -> bool {
        self.cache.machine(id).is_none() && !self.workers.recently_deleted.contains(id)
    }

    /// Removes records of instance requests all of whose machines have come, or gone again.
    pub(crate) fn remove_completed_requests(&mut self) {
        let is_complete = |request: &InstanceRequestRecord| {
            let instances = request.instances.as_ref();
            instances.is_some_and(|instances| !instances.iter().any(|id| self.on_its_way(id)))
        };
        let due: Vec<u64> = self
            .cache
            .instance_requests()
            .filter(|(n, request, _)| {
                is_complete(request)
                    && !self.provisioning.removing_requests.contains(n)
                    && (request.controller == self.settings.controller || self.is_coordinator())
            })
            .map(|(n, _, _)| *n)
            .collect();
        for n in due {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.remove(Key::InstanceRequest(n));
            let transaction = draft.finish();
            self.provisioning.removing_requests.insert(n);
            self.commit(
                transaction,
                PendingOperation::RemoveInstanceRequest(n),
                RequestClass::Housekeeping,
            );
        }
    }

    /// Deletes machines whose deletion is committed, as long as their records stand.
    pub(crate) fn send_deletions(&mut self) {
        // One request at a time, for all that are due: the cloud takes few, and queued deletions must not hold
        // up instance requests.
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
            .take(DELETE_MAX)
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

    /// Reconciles a page of the cloud's instance list with the records.
    fn reconcile_instances(&mut self, instances: Vec<CloudInstance>) {
        // The list shows machines that are gone for up to twice its lag, and a controller that has
        // just started does not know that they are.
        let lag_ms = self.settings.list_lag_ms * 2 + INSTANCE_LIST_INTERVAL_MS;
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

    /// A machine without a record, provisioned by a request of which there is no record either. One that is up
    /// sends heartbeats; one that never comes up is found here, and adopted once it has been listed for so long.
    fn observe_unmanaged(&mut self, instance: CloudInstance, lag_ms: Millis) {
        let is_expected = self.may_be_requested(&instance.name);
        if is_expected || self.workers.recently_deleted.contains(&instance.name) {
            self.provisioning.unmanaged.remove(&instance.name);
            return;
        }
        let first_seen = self.provisioning.unmanaged.entry(instance.name.clone());
        let first_seen = *first_seen.or_insert(self.now);
        if self.now < first_seen + lag_ms {
            return;
        }
        self.provisioning.unmanaged.remove(&instance.name);
        let record = MachineRecord::new(
            &instance.type_name,
            &instance.zone,
            instance.spot,
            MachinePhase::Booting,
            self.wall,
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

    /// Whether a machine was or may have been brought by an instance request on record.
    fn may_be_requested(&self, name: &String) -> bool {
        let mut requests = self.cache.instance_requests();
        requests.any(|(_, request, _)| match &request.instances {
            Some(instances) => instances.contains(name),
            None => true,
        })
    }

    /// Sends instance requests again whose outcome is not on record.
    pub(crate) fn retry_instance_requests(&mut self) {
        let on_record: BTreeSet<u64> = self.cache.instance_requests().map(|(n, _, _)| *n).collect();
        let tracker = &mut self.provisioning;
        tracker
            .request_tried_at
            .retain(|n, _| on_record.contains(n));
        tracker
            .request_known_since
            .retain(|n, _| on_record.contains(n));
        let mut due = Vec::new();
        for (n, request, _) in self.cache.instance_requests() {
            let retry_ms = self.request_retry_ms(*n, request);
            let tracker = &mut self.provisioning;
            let known_since = *tracker.request_known_since.entry(*n).or_insert(self.now);
            let tried_at = tracker.request_tried_at.get(n).copied();
            let is_in_flight = tracker.requests_in_flight.contains(n);
            if request.instances.is_none()
                && !is_in_flight
                && self.now >= tried_at.unwrap_or(known_since) + retry_ms
            {
                due.push(*n);
            }
        }
        for n in due {
            self.send_instance_request(n);
        }
    }

    /// Milliseconds after which an instance request is sent again. It is always sent by the same name, so that
    /// the cloud serves it once, whoever sends it.
    fn request_retry_ms(&self, n: u64, request: &InstanceRequestRecord) -> Millis {
        let stagger_ms = self.settings.controller_index() * CONTROLLER_STAGGER_MS;
        if self.peers.is_inactive(&request.controller) {
            PROVISION_RETRY_SOON_MS + stagger_ms
        } else if request.controller != self.settings.controller {
            PROVISION_RETRY_MS * 2 + stagger_ms
        } else if self.provisioning.request_tried_at.contains_key(&n) || !self.settings.checks.doubt
        {
            PROVISION_RETRY_MS
        } else {
            // Never sent: the transaction that recorded it got no answer.
            PROVISION_RETRY_SOON_MS
        }
    }
}

/// Machine types in order of their names, without prices.
fn without_prices(machine_types: &[MachineType]) -> Vec<MachineType> {
    let mut machine_types = machine_types.to_vec();
    for machine_type in &mut machine_types {
        machine_type.price = 0.0;
        machine_type.spot_price = 0.0;
    }
    machine_types.sort_by(|a, b| a.name.cmp(&b.name));
    machine_types
}

fn fits_value(record: &Record, max_bytes: u64) -> bool {
    formats::stored_bytes(record, formats::LATEST) as u64 <= max_bytes
}

/// The record without the refused offers that it has no space for. They are a hint: the others are requested
/// once more than needed.
fn fitting_fleet(mut fleet: ProvisioningRecord, max_bytes: u64) -> Record {
    loop {
        let record = Record::Provisioning(fleet.clone());
        if fits_value(&record, max_bytes) || fleet.refused.pop_first().is_none() {
            return record;
        }
    }
}

/// The record of a request's outcome, without the machines that it has no space for: these get their records
/// when they send heartbeats or are listed.
fn fitting_request(
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
