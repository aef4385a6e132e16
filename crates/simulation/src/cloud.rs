//! Stand-in for the cloud: it provisions, lists and deletes machines.

use crate::{ProcessId, World};
use glenmount_core::controller::{CloudOperation, CloudResponse, Event, OperationId};
use glenmount_core::model::{CloudInstance, CloudInstanceState};
use rand::Rng;

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

impl World {
    /// A call arrives.
    pub(crate) fn execute_cloud_request(&mut self, request: CloudRequest) {
        let answer = match self.limited.cloud_takes(self.now) {
            true => self.cloud(request.op),
            false => CloudResponse::Failed,
        };
        let event = Event::Cloud {
            token: request.token,
            answer: match request.answer_lost {
                true => CloudResponse::Failed,
                false => answer,
            },
        };
        self.deliver(ANSWER_MS, request.process, event);
    }

    fn cloud(&mut self, op: CloudOperation) -> CloudResponse {
        if self.cloud_down {
            return CloudResponse::Failed;
        }
        match op {
            CloudOperation::Types => CloudResponse::Types(self.machine_types.clone()),
            CloudOperation::Provision {
                name,
                type_name,
                zone,
                spot,
                count,
            } => match self.instance_requests.get(&name) {
                Some(instances) => CloudResponse::Provisioned(instances.clone()),
                None => {
                    let instances = self.instance_request(&type_name, &zone, spot, count);
                    if instances.is_empty() {
                        return CloudResponse::NoCapacity;
                    }
                    self.instance_requests.insert(name, instances.clone());
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
                    instances: self.limited.list(self.now, instances),
                    more: false,
                }
            }
        }
    }

    /// Boots so many machines, or as many as there are.
    fn instance_request(
        &mut self,
        type_name: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> Vec<String> {
        let count = count.min(self.capacity);
        self.capacity -= count;
        (0..count)
            .map(|_| {
                let mut boot = self.rng.gen_range(self.boot_ms.clone());
                if self.stuck_boots > 0 {
                    self.stuck_boots -= 1;
                    boot = STUCK_BOOT_MS;
                }
                self.boot_machine(type_name, zone, spot, boot)
            })
            .collect()
    }

    fn delete_machine(&mut self, name: String) {
        self.all_off(&name);
        if self.workers.remove(&name).is_some() {
            self.capacity += 1;
        }
        self.deleted.insert(name);
    }

    fn instances(&self) -> Vec<CloudInstance> {
        let instance = |w: &crate::Worker| CloudInstance {
            name: w.name.clone(),
            address: String::new(),
            type_name: w.type_name.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            state: CloudInstanceState::Running,
            age_s: 100.0,
        };
        self.workers.values().map(instance).collect()
    }
}
