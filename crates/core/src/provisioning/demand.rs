//! Demand for machines: chooses the instances to provision for work that no present or expected machine can take.

use crate::constants::{
    BOOT_LATE_FACTOR, BOOT_LATE_MARGIN_MS, LATE_BOOTS_DIVISOR, LATE_BOOTS_MIN,
    PROVISION_MAX_INSTANCES, PROVISION_MAX_REQUESTS_PER_STEP,
};
use crate::model::{JobSpec, MachineType, Resources, WallMs};
use crate::scheduling::claims::remaining_zone_tasks;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{offer_key, MachinePhase, ProvisioningRecord, StateCache, ZoneSpreadRecord};
use foldhash::HashMap;

/// Prices per task that differ by less than this count as equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// The number of machines to provision of one offer: machine type, zone, and spot or on-demand.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceDemand {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// The inputs from which demand is computed.
pub struct ProvisioningView<'a> {
    pub cache: &'a StateCache,
    /// The cloud's machine types by name.
    pub machine_types: &'a HashMap<String, MachineType>,
    /// Returns whether a machine that an instance request provisioned is still expected to come up.
    pub is_expected: &'a dyn Fn(&str) -> bool,
    /// Returns whether a zone is unreachable, so that no heartbeat of a machine provisioned there would arrive.
    pub is_zone_unreachable: &'a dyn Fn(&str) -> bool,
    /// The current wall-clock time.
    pub wall_time: WallMs,
}

/// A machine that could be provisioned, or one that is expected.
#[derive(Clone, Debug, PartialEq)]
struct PlannedInstance {
    type_name: String,
    zone: String,
    spot: bool,
    free: Resources,
}

/// Expected machines of one offer.
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
    /// The number of the job's tasks per zone, including those assigned to planned instances.
    zone_spread: ZoneSpreadRecord,
    count: u64,
}

impl UnplacedTasks<'_> {
    /// Assigns as many of the tasks to an instance as fit.
    fn assign_to(&mut self, instance: &mut PlannedInstance) {
        while self.count > 0
            && instance.free.fits(&self.spec.task_request())
            && self
                .spec
                .allows(&instance.type_name, &instance.zone, instance.spot)
            && remaining_zone_tasks(self.spec, &self.zone_spread, &instance.zone) > 0
        {
            instance.free = instance.free.saturating_sub(&self.spec.task_request());
            let zone = instance.zone.clone();
            *self.zone_spread.zones.entry(zone).or_default() += 1;
            self.count -= 1;
        }
    }
}

impl ProvisioningView<'_> {
    /// Returns the instances to provision for pending work that no present or expected machine can take. Uses the
    /// cheapest offer for each job and skips offers that the cloud refused recently.
    pub fn demand(&self, work: &[PendingWork]) -> Vec<InstanceDemand> {
        let offers = self.cache.provisioning_record();
        let mut instances = self.awaited_instances();
        let awaited = instances.len();
        let max = PROVISION_MAX_INSTANCES as usize * PROVISION_MAX_REQUESTS_PER_STEP;
        for work in work {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let mut tasks = UnplacedTasks {
                spec,
                zone_spread: work.zone_spread.clone(),
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
                if instances.len() - awaited >= max {
                    break;
                }
            }
        }
        count_by_offer(instances.split_off(awaited))
    }

    /// Returns the expected machines that pending work waits for. A late machine may never come up, so if only a few
    /// are late, work does not wait for these. If many are late, the cloud is slow, and requesting replacements
    /// would only cost more.
    fn awaited_instances(&self) -> Vec<PlannedInstance> {
        let expected = self.expected_instances();
        let all_count: u32 = expected.iter().map(|e| e.count).sum();
        let late_count: u32 = (expected.iter().filter(|e| e.is_late))
            .map(|e| e.count)
            .sum();
        let only_few_are_late =
            late_count <= LATE_BOOTS_MIN || late_count * LATE_BOOTS_DIVISOR <= all_count;
        let mut instances = Vec::new();
        for expected in expected {
            let is_not_awaited = expected.is_late && only_few_are_late;
            if is_not_awaited || (self.is_zone_unreachable)(expected.zone) {
                continue;
            }
            let Some(machine_type) = self.machine_types.get(expected.type_name) else {
                continue;
            };
            let instance = PlannedInstance {
                type_name: expected.type_name.to_string(),
                zone: expected.zone.to_string(),
                spot: expected.spot,
                free: machine_type.task_capacity(),
            };
            instances.extend(std::iter::repeat_n(instance, expected.count as usize));
        }
        instances
    }

    /// Returns the booting machines, followed by the machines of open instance requests that have not come up.
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
                    let expected = instances.iter().filter(|id| (self.is_expected)(id));
                    expected.count() as u32
                }
                None => request.count,
            },
            is_late: request.instances.is_some()
                && self.is_late(&request.type_name, request.created_at),
        });
        booting.chain(requested).collect()
    }

    /// Returns whether a machine of a type that was requested at `requested_at` should have come up by now.
    fn is_late(&self, type_name: &str, requested_at: WallMs) -> bool {
        let boot_s = self.machine_types.get(type_name).map_or(0.0, |t| t.boot_s);
        let boot_ms = (boot_s * 1_000.0 * BOOT_LATE_FACTOR) as u64;
        self.wall_time > requested_at + boot_ms + BOOT_LATE_MARGIN_MS
    }

    /// Returns an instance of the offer that serves the tasks at the lowest price per task.
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
                        free: machine_type.task_capacity(),
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

    /// Returns the price of an offer per task that it would serve, or `None` if it serves no task, was refused
    /// recently, or does not exist.
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
            .is_some_and(|until| *until > self.wall_time);
        let allowed_in_zone = u64::from(remaining_zone_tasks(tasks.spec, &tasks.zone_spread, zone));
        let fits = machine_type
            .task_capacity()
            .max_tasks(&tasks.spec.task_request());
        let served_tasks = fits.min(tasks.count).min(allowed_in_zone);
        let is_offered = !is_refused
            && price.is_finite()
            && (price > 0.0 || !spot)
            && tasks.spec.allows(&machine_type.name, zone, spot);
        (is_offered && served_tasks > 0).then(|| price / served_tasks as f64)
    }
}

/// Counts instances by offer, in the order in which the offers first appear.
fn count_by_offer(instances: Vec<PlannedInstance>) -> Vec<InstanceDemand> {
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
