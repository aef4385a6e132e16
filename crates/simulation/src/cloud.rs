//! Stand-in for the cloud.

use crate::World;
use glenmount_core::controller::{CloudOperation, CloudResponse};
use glenmount_core::model::{CloudInstance, CloudInstanceState};
use rand::Rng;

impl World {
    pub(crate) fn cloud(&mut self, op: CloudOperation) -> CloudResponse {
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
            } => {
                if let Some(instances) = self.instance_requests.get(&name) {
                    return CloudResponse::Provisioned(instances.clone());
                }
                let count = count.min(self.capacity);
                if count == 0 {
                    return CloudResponse::NoCapacity;
                }
                self.capacity -= count;
                let instances: Vec<String> = (0..count)
                    .map(|_| {
                        let mut boot = self.rng.gen_range(self.boot_ms.clone());
                        if self.stuck_boots > 0 {
                            self.stuck_boots -= 1;
                            boot = 86_400_000;
                        }
                        self.boot_machine(&type_name, &zone, spot, boot)
                    })
                    .collect();
                self.instance_requests.insert(name, instances.clone());
                CloudResponse::Provisioned(instances)
            }
            CloudOperation::Delete { machines } => {
                for name in machines {
                    self.all_off(&name);
                    if self.workers.remove(&name).is_some() {
                        self.capacity += 1;
                    }
                    self.deleted.insert(name);
                }
                CloudResponse::Deleted
            }
            CloudOperation::List { .. } => {
                let instances = self
                    .workers
                    .values()
                    .map(|w| CloudInstance {
                        name: w.name.clone(),
                        address: String::new(),
                        type_name: w.type_name.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: CloudInstanceState::Running,
                        age_s: 100.0,
                    })
                    .collect();
                CloudResponse::Instances {
                    instances: self.limited.list(self.now, instances),
                    more: false,
                }
            }
        }
    }
}
