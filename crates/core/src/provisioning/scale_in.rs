//! Scale-in: drains expensive machines whose services fit on others, so that they can be returned when empty.

use crate::constants::{RESERVE_SERVICES, SCALE_IN_AFTER_MS, SCALE_IN_PRICE_FACTOR};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::{JobKind, MachineType, Resources};
use crate::state::{
    AssignedTask, Key, MachinePhase, MachineRecord, Record, StateCache, TransactionBuilder,
};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// Drains at most `max` machines that are expensive for the services that they still run.
    pub(crate) fn drain_for_scale_in(&mut self, max: usize) {
        let is_old_enough = |id: &str| {
            let up_since = self.workers.observations.get(id).up_since;
            up_since.is_some_and(|at| self.now >= at + SCALE_IN_AFTER_MS)
        };
        let candidates = scale_in_candidates(&self.cache, &self.machine_types, is_old_enough, max);
        let mut draft = TransactionBuilder::new(&self.cache);
        for id in candidates {
            let Some(mut machine) = draft.machine(&id) else {
                continue;
            };
            let assignments = self.cache.assigned_task_count(&id);
            tracing::info!(machine = id, assignments, "machine drained for scale-in");
            machine.phase = MachinePhase::Draining;
            draft.put(Key::Machine(id), Record::Machine(machine));
        }
        if !draft.is_empty() {
            let transaction = draft.finish();
            self.commit(
                transaction,
                PendingOperation::RemoveObsolete,
                RequestClass::Housekeeping,
            );
        }
    }
}

/// Returns at most `max` machines that are expensive for the services that they still run and whose services all
/// fit on other machines that cache their images. Once drained, they can be returned. Tasks of machines that are
/// already draining count as migrated.
pub fn scale_in_candidates(
    cache: &StateCache,
    machine_types: &HashMap<String, MachineType>,
    is_old_enough: impl Fn(&str) -> bool,
    max: usize,
) -> Vec<String> {
    let cheapest_per_cpu = machine_types
        .values()
        .map(|t| t.price / t.capacity.cpus.max(1) as f64)
        .fold(f64::INFINITY, f64::min);
    let mut candidates: Vec<(f64, &str)> = Vec::new();
    for (id, record, _) in cache.machines() {
        let Some(machine_type) = machine_types.get(&record.type_name) else {
            continue;
        };
        let price = match record.spot {
            true => machine_type.spot_price,
            false => machine_type.price,
        };
        let used_cpus = cache.used_resources(id).cpus.max(1) as f64;
        if record.phase == MachinePhase::Up
            && cache.assigned_task_count(id) > 0
            && runs_services_only(cache, id)
            && price / used_cpus >= cheapest_per_cpu * SCALE_IN_PRICE_FACTOR
            && is_old_enough(id)
        {
            candidates.push((price, id));
        }
    }
    candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    let mut targets = MigrationTargets::new(cache, machine_types);
    for (id, record, _) in cache.machines() {
        if record.phase == MachinePhase::Draining {
            targets.try_migrate_all(id);
        }
    }
    let mut chosen = Vec::new();
    for (_, id) in candidates {
        if chosen.len() >= max {
            break;
        }
        if targets.try_migrate_all(id) {
            chosen.push(id.to_string());
        }
    }
    chosen
}

fn runs_services_only(cache: &StateCache, id: &str) -> bool {
    cache.assignments(id).all(|(task, _)| {
        let spec = cache.open_job(&task.job);
        spec.is_some_and(|spec| spec.kind == JobKind::Service)
    })
}

/// An on-demand machine that is up.
struct MigrationTarget<'a> {
    record: &'a MachineRecord,
    free: Resources,
}

/// Machines that services may migrate to.
struct MigrationTargets<'a> {
    cache: &'a StateCache,
    machines: BTreeMap<&'a str, MigrationTarget<'a>>,
    /// Machines that receive tasks of other machines and so are not drained.
    receiving: BTreeSet<&'a str>,
    /// Thousandths of processors that must stay free so that a new service of the largest size starts at once.
    reserved_cpus: u64,
}

impl<'a> MigrationTargets<'a> {
    fn new(
        cache: &'a StateCache,
        machine_types: &HashMap<String, MachineType>,
    ) -> MigrationTargets<'a> {
        let largest_service_cpus = cache
            .open_jobs()
            .filter(|(_, _, spec)| spec.kind == JobKind::Service)
            .map(|(_, _, spec)| spec.resources.cpus.saturating_mul(spec.tasks as u64))
            .max()
            .unwrap_or(0);
        let mut machines = BTreeMap::new();
        for (id, record, _) in cache.machines() {
            if record.phase != MachinePhase::Up || record.spot {
                continue;
            }
            if let Some(machine_type) = machine_types.get(&record.type_name) {
                let free = machine_type
                    .task_capacity()
                    .saturating_sub(&cache.used_resources(id));
                machines.insert(id, MigrationTarget { record, free });
            }
        }
        MigrationTargets {
            cache,
            machines,
            receiving: BTreeSet::new(),
            reserved_cpus: largest_service_cpus * RESERVE_SERVICES,
        }
    }

    /// Finds targets for all tasks of a machine and counts the tasks there. Returns whether this succeeded; if not,
    /// nothing changes.
    fn try_migrate_all(&mut self, id: &'a str) -> bool {
        let record = self.cache.machine(id);
        let Some(source) = record.filter(|_| !self.receiving.contains(id)) else {
            return false;
        };
        let mut planned: BTreeMap<&'a str, Resources> = BTreeMap::new();
        for (task, placed) in self.cache.assignments(id) {
            let Some(target) = self.target(id, &source.zone, &task.job, placed, &planned) else {
                return false;
            };
            let sum = planned.entry(target).or_default();
            *sum = sum.saturating_add(&placed.resources);
        }
        // The free capacity that remains must still take a new service of the largest size at once.
        let others = self.machines.iter().filter(|(other, _)| **other != id);
        let free_cpus: u64 = others.map(|(_, target)| target.free.cpus).sum();
        let planned_cpus: u64 = planned.values().map(|resources| resources.cpus).sum();
        if free_cpus < self.reserved_cpus + planned_cpus && source.phase == MachinePhase::Up {
            return false;
        }
        for (other, resources) in planned {
            if let Some(target) = self.machines.get_mut(other) {
                target.free = target.free.saturating_sub(&resources);
            }
            self.receiving.insert(other);
        }
        self.machines.remove(id);
        true
    }

    /// Returns the machine that a task of a job may migrate to from the machine `source`, in addition to the
    /// resources already `planned` for the source's other tasks. Chooses the fullest machine that takes the task,
    /// since emptier ones may be drained as well. Only machines in the same zone are considered, so that the job's
    /// spread over zones does not change.
    fn target(
        &self,
        source: &str,
        zone: &str,
        job: &str,
        placed: &AssignedTask,
        planned: &BTreeMap<&'a str, Resources>,
    ) -> Option<&'a str> {
        let spec = self.cache.open_job(job)?;
        let fitting = self.machines.iter().filter(|(id, target)| {
            let record = target.record;
            let planned = planned.get(*id).copied().unwrap_or_default();
            **id != source
                && record.zone == zone
                && target.free.saturating_sub(&planned).fits(&placed.resources)
                && self.cache.has_image(id, &spec.image)
                && spec.allows(&record.type_name, &record.zone, record.spot)
        });
        let fullest = fitting.min_by_key(|(id, target)| (target.free.cpus, **id));
        fullest.map(|(id, _)| *id)
    }
}
