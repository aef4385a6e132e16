//! Stand-in for the cloud: it provisions, lists and deletes machines.

use crate::fixtures::machine_type;
use crate::{ProcessId, Simulation};
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use glenmount_core::model::{CloudInstance, CloudInstanceState, MachineType};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::ops::Range;

/// Milliseconds that an answer is on its way.
const ANSWER_MS: u64 = 20;
/// Milliseconds that a machine takes that never comes up.
const STUCK_BOOT_MS: u64 = 86_400_000;

/// A call of a controller to the cloud.
#[derive(Clone, Debug)]
pub(crate) struct CloudRequest {
    pub process: ProcessId,
    pub token: OperationId,
    pub op: CloudOperation,
    /// It is carried out, but the controller is told that it failed.
    pub answer_lost: bool,
}

/// The cloud's machines and what is asked of it.
pub struct Cloud {
    /// Types of machines that can be provisioned.
    pub machine_types: Vec<MachineType>,
    /// Machines that can still be provisioned.
    pub capacity: u32,
    /// Machines that were provisioned since the start.
    pub provisioned: u32,
    /// Machines of each request for instances, by the request's name.
    pub(crate) instance_requests: HashMap<String, Vec<String>>,
    /// Machines that were deleted.
    pub deleted: BTreeSet<String>,
    /// Milliseconds in which machines come up.
    pub boot_ms: Range<u64>,
    /// This many of the next machines never come up.
    pub stuck_boots: u32,
    /// All calls fail.
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
    /// A call arrives.
    pub(crate) fn execute_cloud_request(&mut self, request: CloudRequest) {
        let answer = match self.service_limits.admit_cloud_call(self.now_ms) {
            true => self.execute_cloud_operation(request.op),
            false => CloudResponse::Failed,
        };
        let event = Event::Cloud {
            operation_id: request.token,
            response: match request.answer_lost {
                true => CloudResponse::Failed,
                false => answer,
            },
        };
        self.deliver(ANSWER_MS, request.process, event);
    }

    fn execute_cloud_operation(&mut self, op: CloudOperation) -> CloudResponse {
        if self.cloud.is_down {
            return CloudResponse::Failed;
        }
        match op {
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

    /// Boots so many machines, or as many as there are.
    fn provision(&mut self, type_name: &str, zone: &str, spot: bool, count: u32) -> Vec<String> {
        let count = count.min(self.cloud.capacity);
        self.cloud.capacity -= count;
        (0..count)
            .map(|_| {
                let mut boot = self.rng.gen_range(self.cloud.boot_ms.clone());
                if self.cloud.stuck_boots > 0 {
                    self.cloud.stuck_boots -= 1;
                    boot = STUCK_BOOT_MS;
                }
                self.boot_machine(type_name, zone, spot, boot)
            })
            .collect()
    }

    fn delete_machine(&mut self, name: String) {
        self.remove_all_placements(&name);
        if self.workers.remove(&name).is_some() {
            self.cloud.capacity += 1;
        }
        self.cloud.deleted.insert(name);
    }

    fn instances(&self) -> Vec<CloudInstance> {
        let instance = |worker: &crate::Worker| CloudInstance {
            name: worker.name.clone(),
            address: String::new(),
            type_name: worker.type_name.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            state: CloudInstanceState::Running,
            age_s: 100.0,
        };
        self.workers.values().map(instance).collect()
    }
}
