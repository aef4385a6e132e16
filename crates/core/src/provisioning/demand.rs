//! Demand for machines: which instances to provision for work that no machine, present or on its way, can take.

use crate::constants::{
    BOOT_LATE, BOOT_LATE_SPARE_MS, LATE_FEW, LATE_PART, PROVISION_MAX_INSTANCES,
    PROVISION_REQUESTS_AT_ONCE,
};
use crate::model::{JobSpec, MachineType, Resources, WallMs};
use crate::scheduling::claims::zone_room;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{offer_key, MachinePhase, ProvisioningRecord, StateCache, ZoneSpreadRecord};
use foldhash::HashMap;

/// Prices per task that differ by less count as equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// Machines of one offer to provision.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceDemand {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// What demand is worked out from.
pub struct ProvisioningView<'a> {
    pub cache: &'a StateCache,
    /// The cloud's machine types by name.
    pub machine_types: &'a HashMap<String, MachineType>,
    /// Whether a machine that an instance request brought is still on its way.
    pub is_on_its_way: &'a dyn Fn(&str) -> bool,
    /// Whether a zone can't be reached: what is provisioned there would come up unheard.
    pub is_zone_unreachable: &'a dyn Fn(&str) -> bool,
    /// The time of day.
    pub wall: WallMs,
}

/// A machine that could be provisioned, or one that is on its way.
#[derive(Clone, Debug, PartialEq)]
struct PlannedInstance {
    type_name: String,
    zone: String,
    spot: bool,
    free: Resources,
}

/// Machines of one offer that are on their way.
struct ExpectedInstances<'a> {
    type_name: &'a str,
    zone: &'a str,
    spot: bool,
    count: u32,
    is_late: bool,
}

/// One job's tasks that still need a machine.
struct UnplacedTasks<'a> {
    spec: &'a JobSpec,
    /// The job's tasks by zone, with those that have been assigned to planned instances.
    zones: ZoneSpreadRecord,
    count: u64,
}

impl UnplacedTasks<'_> {
    /// Assigns as many as fit to an instance.
    fn assign_to(&mut self, instance: &mut PlannedInstance) {
        while self.count > 0
            && instance.free.fits(&self.spec.resources)
            && self
                .spec
                .allows(&instance.type_name, &instance.zone, instance.spot)
            && zone_room(self.spec, &self.zones, &instance.zone) > 0
        {
            instance.free = instance.free.less(&self.spec.resources);
            let zone = instance.zone.clone();
            *self.zones.zones.entry(zone).or_default() += 1;
            self.count -= 1;
        }
    }
}

impl ProvisioningView<'_> {
    /// What to provision for pending work that no machine, present or on its way, can take: per job the
    /// cheapest way to serve it, offers refused lately passed over.
    pub fn demand(&self, work: &[PendingWork]) -> Vec<InstanceDemand> {
        let offers = self.cache.provisioning_record();
        let mut instances = self.instances_on_their_way();
        let on_their_way = instances.len();
        let max = PROVISION_MAX_INSTANCES as usize * PROVISION_REQUESTS_AT_ONCE;
        for work in work {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let mut tasks = UnplacedTasks {
                spec,
                zones: work.zones.clone(),
                count: work.indices.len() as u64,
            };
            for instance in &mut instances {
                tasks.assign_to(instance);
            }
            while tasks.count > 0 {
                let Some(mut instance) = self.cheapest_offer(&offers, &tasks) else {
                    break;
                };
                tasks.assign_to(&mut instance);
                instances.push(instance);
                if instances.len() - on_their_way >= max {
                    break;
                }
            }
        }
        by_offer(instances.split_off(on_their_way))
    }

    /// Machines that are waited for. One that is late may never come: a few such are not waited for. When many
    /// are late it is the cloud that is slow, and more of them would only cost more.
    fn instances_on_their_way(&self) -> Vec<PlannedInstance> {
        let expected = self.expected_instances();
        let all: u32 = expected.iter().map(|e| e.count).sum();
        let late: u32 = (expected.iter().filter(|e| e.is_late))
            .map(|e| e.count)
            .sum();
        let only_few_are_late = late <= LATE_FEW || late * LATE_PART <= all;
        let mut instances = Vec::new();
        for expected in expected {
            let is_given_up = expected.is_late && only_few_are_late;
            if is_given_up || (self.is_zone_unreachable)(expected.zone) {
                continue;
            }
            let Some(machine_type) = self.machine_types.get(expected.type_name) else {
                continue;
            };
            let instance = PlannedInstance {
                type_name: expected.type_name.to_string(),
                zone: expected.zone.to_string(),
                spot: expected.spot,
                free: machine_type.room,
            };
            instances.extend(std::iter::repeat_n(instance, expected.count as usize));
        }
        instances
    }

    /// Machines that boot, then those that instance requests are to bring or have brought.
    fn expected_instances(&self) -> Vec<ExpectedInstances<'_>> {
        let booting = self.cache.machines();
        let booting = booting.filter(|(_, m, _)| m.phase == MachinePhase::Booting);
        let booting = booting.map(|(_, m, _)| ExpectedInstances {
            type_name: &m.type_name,
            zone: &m.zone,
            spot: m.spot,
            count: 1,
            is_late: self.is_late(&m.type_name, m.created_at),
        });
        let requests = self.cache.instance_requests();
        let requested = requests.map(|(_, request, _)| ExpectedInstances {
            type_name: &request.type_name,
            zone: &request.zone,
            spot: request.spot,
            count: match &request.instances {
                Some(instances) => {
                    let on_their_way = instances.iter().filter(|id| (self.is_on_its_way)(id));
                    on_their_way.count() as u32
                }
                None => request.count,
            },
            is_late: request.instances.is_some()
                && self.is_late(&request.type_name, request.created_at),
        });
        booting.chain(requested).collect()
    }

    /// Whether a machine of a type that was requested then should have come by now.
    fn is_late(&self, type_name: &str, requested_at: WallMs) -> bool {
        let boot_s = self.machine_types.get(type_name).map_or(0.0, |t| t.boot_s);
        let boot_ms = (boot_s * 1_000.0 * BOOT_LATE) as u64;
        self.wall > requested_at + boot_ms + BOOT_LATE_SPARE_MS
    }

    /// The offer that serves the tasks at the lowest price per task.
    fn cheapest_offer(
        &self,
        offers: &ProvisioningRecord,
        tasks: &UnplacedTasks,
    ) -> Option<PlannedInstance> {
        let mut best: Option<(f64, PlannedInstance)> = None;
        for machine_type in self.machine_types.values() {
            let zones = machine_type.zones.iter();
            for zone in zones.filter(|zone| !(self.is_zone_unreachable)(zone)) {
                for spot in [false, true] {
                    let Some(price) = self.price_per_task(offers, tasks, machine_type, zone, spot)
                    else {
                        continue;
                    };
                    let instance = PlannedInstance {
                        type_name: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                        free: machine_type.room,
                    };
                    let is_better = match &best {
                        None => true,
                        Some((best_price, best)) => {
                            let name = (&instance.type_name, &instance.zone);
                            price < best_price - PRICE_TOLERANCE
                                || price <= best_price + PRICE_TOLERANCE
                                    && name < (&best.type_name, &best.zone)
                        }
                    };
                    if is_better {
                        best = Some((price, instance));
                    }
                }
            }
        }
        best.map(|(_, instance)| instance)
    }

    /// The price of an offer for each task that it would serve; none if it serves none, was refused lately, or
    /// does not exist.
    fn price_per_task(
        &self,
        offers: &ProvisioningRecord,
        tasks: &UnplacedTasks,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
    ) -> Option<f64> {
        let price = match spot {
            true => machine_type.spot_price,
            false => machine_type.price,
        };
        let is_refused = offers
            .refused
            .get(&offer_key(&machine_type.name, zone, spot))
            .is_some_and(|until| *until > self.wall);
        let in_zone = u64::from(zone_room(tasks.spec, &tasks.zones, zone));
        let fits = machine_type.room.count(&tasks.spec.resources);
        let served = fits.min(tasks.count).min(in_zone);
        let is_offered = !is_refused
            && price.is_finite()
            && (price > 0.0 || !spot)
            && tasks.spec.allows(&machine_type.name, zone, spot);
        (is_offered && served > 0).then(|| price / served as f64)
    }
}

/// Counts instances by offer, in the order in which offers first appear.
fn by_offer(instances: Vec<PlannedInstance>) -> Vec<InstanceDemand> {
    let mut demand: Vec<InstanceDemand> = Vec::new();
    for instance in instances {
        let known = demand.iter_mut().find(|known| {
            known.type_name == instance.type_name
                && known.zone == instance.zone
                && known.spot == instance.spot
        });
        match known {
            Some(known) => known.count += 1,
            None => demand.push(InstanceDemand {
                type_name: instance.type_name,
                zone: instance.zone,
                spot: instance.spot,
                count: 1,
            }),
        }
    }
    demand
}
