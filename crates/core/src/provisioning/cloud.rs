//! Dealings with the cloud: its types and lists, instance requests and deletions under way.

use crate::constants::{
    CONTROLLER_STAGGER_MS, DELETE_MAX, DELETE_RETRY_MS, INSTANCE_LIST_INTERVAL_MS,
    OFFER_UNAVAILABLE_MS, PROVISION_RETRY_MS, PROVISION_RETRY_SOON_MS,
};
use crate::controller::{
    CloudOperation, CloudResponse, Controller, OperationId, PendingOperation, RequestClass,
};
use crate::model::{CloudInstance, CloudInstanceState, MachineType};
use crate::state::formats;
use crate::state::{
    InstanceRequestRecord, Key, MachinePhase, MachineRecord, MachineTypesRecord, Record,
    TransactionBuilder,
};
use std::collections::BTreeSet;

impl Controller {
    pub(crate) fn handle_cloud_response(&mut self, token: OperationId, answer: CloudResponse) {
        let Some((purpose, _)) = self.operations.outstanding.remove(&token) else {
            return;
        };
        match (purpose, answer) {
            (PendingOperation::MachineTypes, answer) => {
                self.provisioning.machine_types_in_flight = false;
                if let CloudResponse::Types(machine_types) = answer {
                    self.provisioning.machine_types_read_at = Some(self.now);
                    self.use_machine_types(&machine_types);
                    self.store_machine_types(machine_types);
                }
            }
            (PendingOperation::Instances, answer) => {
                self.provisioning.instance_list_in_flight = false;
                if let CloudResponse::Instances { instances, more } = answer {
                    let last = instances.last().map(|h| h.name.clone());
                    self.take_instance_list(instances);
                    if more {
                        self.provisioning.instance_list_in_flight = true;
                        self.send_to_cloud(
                            CloudOperation::List { after: last },
                            PendingOperation::Instances,
                        );
                    }
                }
            }
            (PendingOperation::Provision(n), answer) => {
                self.provisioning.request_tried_at.insert(n, self.now);
                self.provisioning.requests_in_flight.remove(&n);
                match answer {
                    CloudResponse::Provisioned(instances) => self.record_provisioned(n, instances),
                    CloudResponse::NoCapacity => self.record_provisioned(n, Vec::new()),
                    _ => {}
                }
            }
            (PendingOperation::Deprovision(machines), answer) => {
                self.provisioning.deletion_in_flight = false;
                if answer == CloudResponse::Deleted {
                    for id in machines {
                        tracing::info!(machine = id, "deleted");
                        self.provisioning.deletion_confirmed.insert(id);
                    }
                }
            }
            _ => {}
        }
    }

    pub(crate) fn use_machine_types(&mut self, machine_types: &[MachineType]) {
        let named = |t: &MachineType| (t.name.clone(), t.clone());
        self.machine_types = machine_types.iter().map(named).collect();
        let room = |t: &MachineType| (t.name.clone(), t.cache_gb);
        self.cache.cache_gb = machine_types.iter().map(room).collect();
        self.scheduling.pass_requested = true;
    }

    /// Records the types for controllers that start while the cloud is down. Prices that move are
    /// no reason to.
    fn store_machine_types(&mut self, machine_types: Vec<MachineType>) {
        let unpriced = |machine_types: &[MachineType]| {
            let mut machine_types = machine_types.to_vec();
            for t in &mut machine_types {
                (t.price, t.spot_price) = (0.0, 0.0);
            }
            machine_types.sort_by(|a, b| a.name.cmp(&b.name));
            machine_types
        };
        let known = self
            .cache
            .machine_types()
            .map(|r| unpriced(&r.machine_types));
        if !self.has_current_state() || known.is_some_and(|known| known == unpriced(&machine_types))
        {
            return;
        }
        let record = Record::MachineTypes(MachineTypesRecord { machine_types });
        if formats::stored_bytes(&record, formats::LATEST) as u64 > self.settings.max_value_bytes {
            return; // more types than a value holds: each controller reads them from the cloud
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

    pub(crate) fn send_instance_request(&mut self, n: u64) {
        let Some(h) = self.cache.instance_request(&n).cloned() else {
            return;
        };
        self.provisioning.request_tried_at.insert(n, self.now);
        self.provisioning.requests_in_flight.insert(n);
        self.send_to_cloud(
            CloudOperation::Provision {
                name: format!("g-{n}"),
                type_name: h.type_name,
                zone: h.zone,
                spot: h.spot,
                count: h.count,
            },
            PendingOperation::Provision(n),
        );
    }

    /// Records what an instance request brought; an empty or partial answer bars the offer for a while.
    fn record_provisioned(&mut self, n: u64, instances: Vec<String>) {
        let Some(instance_request) = self
            .cache
            .instance_request(&n)
            .filter(|h| h.instances.is_none())
            .cloned()
        else {
            return;
        };
        tracing::info!(
            type_name = instance_request.type_name,
            zone = instance_request.zone,
            spot = instance_request.spot,
            wanted = instance_request.count,
            got = instances.len(),
            "rented"
        );
        let wall = self.wall;
        let mut draft = TransactionBuilder::new(&self.cache);
        if (instances.len() as u32) < instance_request.count {
            let mut fleet = draft.fleet();
            fleet.refused.retain(|_, until| *until > wall);
            fleet
                .refused
                .insert(instance_request.offer(), wall + OFFER_UNAVAILABLE_MS);
            // A hint: what there is no room for is asked once more than needed.
            let most = self.settings.max_value_bytes as usize;
            while formats::stored_bytes(&Record::Provisioning(fleet.clone()), formats::LATEST)
                > most
                && fleet.refused.pop_first().is_some()
            {}
            draft.put(Key::Provisioning, Record::Provisioning(fleet));
        }
        if instances.is_empty() {
            draft.remove(Key::InstanceRequest(n));
        } else {
            let mut instance_request = InstanceRequestRecord {
                instances: Some(instances),
                ..instance_request
            };
            // Machines whose names find no room are taken up when they report or are listed.
            let most = self.settings.max_value_bytes as usize;
            while formats::stored_bytes(
                &Record::InstanceRequest(instance_request.clone()),
                formats::LATEST,
            ) > most
                && instance_request
                    .instances
                    .as_mut()
                    .and_then(Vec::pop)
                    .is_some()
            {}
            draft.put(
                Key::InstanceRequest(n),
                Record::InstanceRequest(instance_request),
            );
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
        let due: Vec<u64> = self
            .cache
            .instance_requests()
            .filter(|(n, h, _)| {
                h.instances
                    .as_ref()
                    .is_some_and(|instances| !instances.iter().any(|id| self.on_its_way(id)))
                    && !self.provisioning.removing_requests.contains(n)
                    && (h.controller == self.settings.controller || self.on_duty())
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
        // One request at a time, for all that are due: the cloud takes few, and what waits in
        // line for them must not hold up instance requests.
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

    fn take_instance_list(&mut self, instances: Vec<CloudInstance>) {
        // A list shows machines that are gone for up to twice its lag, and a controller that has
        // just started does not know that they are.
        let lag = self.settings.list_lag_ms * 2 + INSTANCE_LIST_INTERVAL_MS;
        let now = self.now;
        self.provisioning
            .unmanaged
            .retain(|_, at| now < *at + 4 * lag);
        for instance in instances {
            match self.cache.machine(&instance.name) {
                None => {
                    // Provisioned by a request that nobody remembers. A machine that is up
                    // reports by itself; one that never comes up is found here.
                    let rented =
                        self.cache
                            .instance_requests()
                            .any(|(_, h, _)| match &h.instances {
                                Some(instances) => instances.contains(&instance.name),
                                None => true,
                            });
                    if rented || self.workers.recently_deleted.contains(&instance.name) {
                        self.provisioning.unmanaged.remove(&instance.name);
                        continue;
                    }
                    let since = *self
                        .provisioning
                        .unmanaged
                        .entry(instance.name.clone())
                        .or_insert(now);
                    if now >= since + lag {
                        self.provisioning.unmanaged.remove(&instance.name);
                        let mut draft = TransactionBuilder::new(&self.cache);
                        draft.put(
                            Key::Machine(instance.name.clone()),
                            Record::Machine(MachineRecord::new(
                                &instance.type_name,
                                &instance.zone,
                                instance.spot,
                                MachinePhase::Booting,
                                self.wall,
                            )),
                        );
                        tracing::info!(machine = instance.name, "listed machine taken up");
                        let transaction = draft.finish();
                        self.commit(
                            transaction,
                            PendingOperation::RemoveObsolete,
                            RequestClass::Housekeeping,
                        );
                    }
                }
                Some(m)
                    if instance.state == CloudInstanceState::Failed
                        && m.phase != MachinePhase::Deprovisioning =>
                {
                    self.mark_for_termination(&instance.name, "the cloud lists it as failed");
                }
                _ => {}
            }
        }
    }

    pub(crate) fn retry_instance_requests(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let live: BTreeSet<u64> = self.cache.instance_requests().map(|(n, _, _)| *n).collect();
        self.provisioning
            .request_tried_at
            .retain(|n, _| live.contains(n));
        self.provisioning
            .request_known_since
            .retain(|n, _| live.contains(n));
        for (n, h, _) in self.cache.instance_requests() {
            let patience = if self.peers.is_away(&h.controller) {
                // By the same name, so it does no harm should it only be silent.
                PROVISION_RETRY_SOON_MS + self.settings.controller_index() * CONTROLLER_STAGGER_MS
            } else if h.controller == self.settings.controller {
                // Never asked: the transaction that recorded it got no answer.
                let tried = self.provisioning.request_tried_at.contains_key(n)
                    || !self.settings.checks.doubt;
                if tried {
                    PROVISION_RETRY_MS
                } else {
                    PROVISION_RETRY_SOON_MS
                }
            } else {
                PROVISION_RETRY_MS * 2 + self.settings.controller_index() * CONTROLLER_STAGGER_MS
            };
            let since = *self
                .provisioning
                .request_known_since
                .entry(*n)
                .or_insert(now);
            let last = self
                .provisioning
                .request_tried_at
                .get(n)
                .copied()
                .unwrap_or(since);
            let asked = self.provisioning.requests_in_flight.contains(n);
            if h.instances.is_none() && !asked && now >= last + patience {
                due.push(*n);
            }
        }
        for n in due {
            self.send_instance_request(n);
        }
    }
}
