//! Simulated cloud: it provisions, lists and deletes machines.

use crate::fixtures::machine_type;
use crate::{ProcessId, Simulation};
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use glenmount_core::model::{CloudInstance, CloudInstanceState, MachineType};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::ops::Range;

/// Latency of an answer.
const ANSWER_LATENCY_MS: u64 = 20;
/// Boot time of a machine that never comes up within a simulation.
const STUCK_BOOT_MS: u64 = 86_400_000;

/// A call of a controller to the cloud.
#[derive(Clone, Debug)]
pub(crate) struct CloudRequest {
    pub process: ProcessId,
    pub operation_id: OperationId,
    pub operation: CloudOperation,
    /// Whether the cloud executes the call, but the controller gets an error.
    pub answer_lost: bool,
}

/// The cloud: its machine types, its capacity and its faults.
pub struct Cloud {
    /// Machine types on offer.
    pub machine_types: Vec<MachineType>,
    /// Number of machines that can still be provisioned.
    pub capacity: u32,
    /// Number of machines provisioned since the start.
    pub provisioned: u32,
    /// Machines of each instance request, by its name.
    pub(crate) instance_requests: HashMap<String, Vec<String>>,
    /// Names of the deleted machines.
    pub deleted: BTreeSet<String>,
    /// Range of boot times in milliseconds.
    pub boot_ms: Range<u64>,
    /// Number of the next machines that never come up.
    pub stuck_boots: u32,
    /// Whether all calls fail.
    pub is_down: bool,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud {
            machine_types: vec![machine_type("small", 4), machine_type("large", 8)],
            capacity: 6,
            provisioned: 0,
            instance_requests: HashMap::new(),
            deleted: BTreeSet::new(),
            boot_ms: 1_000..5_000,
            stuck_boots: 0,
            is_down: false,
        }
    }
}

impl Simulation {
    /// Executes a call that arrives, unless the rate limit refuses it, and sends the answer.
    pub(crate) fn execute_cloud_request(&mut self, request: CloudRequest) {
        let response = match self.service_limits.admit_cloud_call(self.now_ms) {
            true => self.execute_cloud_operation(request.operation),
            false => CloudResponse::Failed,
        };
        let event = Event::Cloud {
            operation_id: request.operation_id,
            response: match request.answer_lost {
                true => CloudResponse::Failed,
                false => response,
            },
        };
        self.deliver(ANSWER_LATENCY_MS, request.process, event);
    }

    /// Executes an operation. An instance request that is repeated under its name returns the same machines.
    fn execute_cloud_operation(&mut self, operation: CloudOperation) -> CloudResponse {
        if self.cloud.is_down {
            return CloudResponse::Failed;
        }
        match operation {
            CloudOperation::Types => CloudResponse::Types(self.cloud.machine_types.clone()),
            CloudOperation::Provision {
                name,
                type_name,
                zone,
                spot,
                count,
            } => match self.cloud.instance_requests.get(&name) {
                Some(instances) => CloudResponse::Provisioned(instances.clone()),
                None => {
                    let instances = self.provision(&type_name, &zone, spot, count);
                    if instances.is_empty() {
                        return CloudResponse::NoCapacity;
                    }
                    self.cloud.instance_requests.insert(name, instances.clone());
                    CloudResponse::Provisioned(instances)
                }
            },
            CloudOperation::Delete { machines } => {
                for name in machines {
                    self.delete_machine(name);
                }
                CloudResponse::Deleted
            }
            CloudOperation::List { .. } => {
                let instances = self.instances();
                CloudResponse::Instances {
                    instances: self.service_limits.delay_list(self.now_ms, instances),
                    more: false,
                }
            }
        }
    }

    /// Boots a number of machines, or as many as the capacity allows.
    fn provision(&mut self, type_name: &str, zone: &str, spot: bool, count: u32) -> Vec<String> {
        let count = count.min(self.cloud.capacity);
        self.cloud.capacity -= count;
        (0..count)
            .map(|_| {
                let mut boot_ms = self.rng.gen_range(self.cloud.boot_ms.clone());
                if self.cloud.stuck_boots > 0 {
                    self.cloud.stuck_boots -= 1;
                    boot_ms = STUCK_BOOT_MS;
                }
                self.boot_machine(type_name, zone, spot, boot_ms)
            })
            .collect()
    }

    /// Deletes a machine and returns its capacity.
    fn delete_machine(&mut self, name: String) {
        self.remove_all_placements(&name);
        if self.workers.remove(&name).is_some() {
            self.cloud.capacity += 1;
        }
        self.cloud.deleted.insert(name);
    }

    /// Returns all machines as the cloud lists them.
    fn instances(&self) -> Vec<CloudInstance> {
        let to_instance = |worker: &crate::Worker| CloudInstance {
            name: worker.name.clone(),
            address: String::new(),
            type_name: worker.type_name.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            state: CloudInstanceState::Running,
            age_s: 100.0,
        };
        self.workers.values().map(to_instance).collect()
    }
}
