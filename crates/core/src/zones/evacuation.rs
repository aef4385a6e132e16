//! Evacuation of unreachable zones: selects the machines to delete, so that their tasks can be placed elsewhere,
//! and their order. `failures::evacuation_reason` decides for each machine.

use crate::constants::{
    ZONE_ABANDON_MS, ZONE_EVACUATION_INTERVAL_MS, ZONE_OVERDUE_WORK_MS, ZONE_PROVISION_AHEAD_MS,
};
use crate::controller::Controller;
use crate::jobs::dependencies;
use crate::model::{JobKind, JobPriority, JobSpec, Resources, TaskId, WallMs};
use crate::scheduling::claims;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{
    AssignedTask, Assignment, JobRecord, MachinePhase, MachineRecord, TransactionBuilder,
    ZoneSpreadRecord,
};
use crate::workers::termination::TerminationReason;
use crate::zones::failures::{
    evacuation_reason, EvacuationReason, EvacuationTask, ZoneFailureKind, ZoneOutage,
};
use foldhash::{HashMap, HashMapExt};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Free resources of a reachable machine, and the properties that jobs may require of it.
struct FreeCapacity {
    machine_type: String,
    zone: String,
    spot: bool,
    resources: Resources,
}

/// Capacity on reachable machines that is not reserved for tasks of machines considered before.
struct ReachableCapacity {
    free: Vec<FreeCapacity>,
    /// Jobs whose tasks do not fit on any reachable machine.
    jobs_without_capacity: BTreeSet<String>,
    /// Number of tasks of a job in each zone, including reserved capacity.
    zone_spread: HashMap<String, ZoneSpreadRecord>,
}

/// Capacity reserved for one task.
struct Reservation {
    job: String,
    /// Index in `ReachableCapacity::free`.
    index: usize,
    resources: Resources,
}

impl ReachableCapacity {
    /// Reserves capacity for a task outside its present zone, if there is any that its job allows.
    fn reserve(&mut self, job: &str, spec: &JobSpec, present_zone: &str) -> Option<Reservation> {
        if self.jobs_without_capacity.contains(&spec.id) {
            return None;
        }
        let spread = self.zone_spread.entry(job.to_string()).or_default();
        let allowed = |capacity: &FreeCapacity| {
            let FreeCapacity {
                machine_type,
                zone,
                spot,
                resources,
            } = capacity;
            resources.fits(&spec.task_request())
                && spec.allows(machine_type, zone, *spot)
                && zone != present_zone
                && claims::remaining_zone_tasks(spec, spread, zone) > 0
        };
        let Some(index) = self.free.iter().position(allowed) else {
            self.jobs_without_capacity.insert(spec.id.clone());
            return None;
        };
        let capacity = &mut self.free[index];
        capacity.resources = capacity.resources.saturating_sub(&spec.task_request());
        *spread.zones.entry(capacity.zone.clone()).or_default() += 1;
        Some(Reservation {
            job: job.to_string(),
            index,
            resources: spec.task_request(),
        })
    }

    /// Releases reserved capacity.
    fn release(&mut self, reservation: &Reservation) {
        let Some(capacity) = self.free.get_mut(reservation.index) else {
            return;
        };
        capacity.resources = capacity.resources.saturating_add(&reservation.resources);
        if let Some(spread) = self.zone_spread.get_mut(&reservation.job) {
            let count = spread.zones.entry(capacity.zone.clone()).or_default();
            *count = count.saturating_sub(1);
        }
    }
}

/// A machine that is to be deleted. Candidates are ordered by urgency, then by name.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvacuationCandidate {
    urgency: Urgency,
    machine: String,
    reason: EvacuationReason,
}

/// Urgency of a machine's tasks: for each field that of the most urgent task. Lower values are more urgent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    priority: Reverse<JobPriority>,
    /// Whether all tasks belong to teams that use more than their guaranteed share.
    beyond_guaranteed_share: bool,
    /// The earliest deadline of a task, in wall-clock time.
    deadline: WallMs,
}

impl Urgency {
    /// Urgency of a machine without tasks.
    const NONE: Urgency = Urgency {
        priority: Reverse(JobPriority::Low),
        beyond_guaranteed_share: true,
        deadline: WallMs::MAX,
    };

    /// Merges another task's urgency: each field takes the more urgent value.
    fn merge(&mut self, other: Urgency) {
        self.priority = self.priority.min(other.priority);
        self.beyond_guaranteed_share &= other.beyond_guaranteed_share;
        self.deadline = self.deadline.min(other.deadline);
    }
}

/// The tasks of a machine in an unreachable zone, and the capacity reserved for them elsewhere.
struct MachineWork {
    tasks: Vec<EvacuationTask>,
    reservations: Vec<Reservation>,
    urgency: Urgency,
}

/// The machines of unreachable zones that are to be deleted.
#[derive(Default)]
struct EvacuationPlan {
    /// Machines to delete, most urgent first.
    candidates: Vec<EvacuationCandidate>,
    /// Machines that are to be deleted once there is capacity for their tasks.
    provision_for: Vec<String>,
    /// Number of machines that are already marked for termination.
    already_marked: usize,
}

impl Controller {
    /// Marks machines of unreachable zones for termination if their tasks should run elsewhere, a limited number at
    /// a time. Provisions machines for tasks that lack only capacity elsewhere.
    pub(crate) fn evacuate_failed_zones(&mut self) {
        if !self.settings.tuning.evacuate_zones
            || !self.zones.has_unreachable()
            || self.now < self.zones.evacuation_checked_at + ZONE_EVACUATION_INTERVAL_MS
        {
            return;
        }
        self.zones.evacuation_checked_at = self.now;
        if !self.has_completed_heartbeat_round() || !self.workers_reachable() {
            return;
        }
        let plan = self.plan_evacuation();
        let limit = self.settings.tuning.zone_terminations_max;
        let limit = limit.saturating_sub(plan.already_marked);
        for candidate in plan.candidates.into_iter().take(limit) {
            let reason = TerminationReason::ZoneEvacuation(candidate.reason);
            self.mark_for_termination(&candidate.machine, reason);
        }
        let work = self.pending_work_of(&plan.provision_for);
        self.scale_out(&work);
    }

    /// Plans which machines of unreachable zones to delete.
    fn plan_evacuation(&self) -> EvacuationPlan {
        let tuning = &self.settings.tuning;
        let outages = self.confirmed_outages();
        let mut capacity = self.reachable_capacity();
        let mut plan = EvacuationPlan::default();
        for (id, machine, _) in self.cache.machines() {
            let Some(outage) = outages.get(&machine.zone).filter(|_| machine.is_up()) else {
                continue;
            };
            if self.workers.marked_for_termination.contains_key(id) {
                plan.already_marked += 1;
                continue;
            }
            if self.is_kept_for_services(id, outage) {
                continue;
            }
            let work = self.work_on_machine(id, machine, outage, &mut capacity);
            let lease_ms = self.settings.lease_ms;
            match evacuation_reason(outage, &work.tasks, lease_ms, tuning, self.wall_time) {
                Some(reason) => plan.candidates.push(EvacuationCandidate {
                    urgency: work.urgency,
                    machine: id.to_string(),
                    reason,
                }),
                None => {
                    if plan.provision_for.len() < tuning.zone_terminations_max
                        && self.lacks_only_capacity(outage, &work.tasks)
                    {
                        plan.provision_for.push(id.to_string());
                    }
                    for reservation in &work.reservations {
                        capacity.release(reservation);
                    }
                }
            }
        }
        plan.candidates.sort();
        plan
    }

    /// Returns the confirmed outages by zone.
    fn confirmed_outages(&self) -> BTreeMap<String, ZoneOutage> {
        let zones = self.zones.observations.keys();
        zones
            .filter_map(|zone| {
                let since = self.zones.confirmed_unreachable_since(self.now, zone)?;
                let outage = ZoneOutage {
                    kind: self.failure_kind(zone),
                    duration_ms: self.now - since,
                };
                Some((zone.clone(), outage))
            })
            .collect()
    }

    /// Returns whether a machine is kept because it runs a service inside a partitioned zone. It is kept
    /// during at most `ZONE_ABANDON_MS` of the outage, and no capacity needs to be reserved for its tasks.
    fn is_kept_for_services(&self, id: &str, outage: &ZoneOutage) -> bool {
        let serves = |(task, placed): (&TaskId, &AssignedTask)| {
            let spec = self.cache.open_job(&task.job);
            spec.is_some_and(|spec| spec.kind == JobKind::Service)
                && !self.is_start_in_flight(id, task, &placed.assignment)
        };
        outage.kind == ZoneFailureKind::WithControllers
            && outage.duration_ms <= ZONE_ABANDON_MS
            && self.cache.assignments(id).any(serves)
    }

    /// Returns whether a machine would be deleted if there were capacity for its tasks elsewhere, by the time that
    /// machines provisioned now are up.
    fn lacks_only_capacity(&self, outage: &ZoneOutage, tasks: &[EvacuationTask]) -> bool {
        let outage = ZoneOutage {
            duration_ms: outage.duration_ms + ZONE_PROVISION_AHEAD_MS,
            ..*outage
        };
        let with_capacity = |task: &EvacuationTask| EvacuationTask {
            fits_elsewhere: true,
            ..task.clone()
        };
        let tasks: Vec<EvacuationTask> = tasks.iter().map(with_capacity).collect();
        let (lease_ms, tuning) = (self.settings.lease_ms, &self.settings.tuning);
        let wall_time = self.wall_time + ZONE_PROVISION_AHEAD_MS;
        evacuation_reason(&outage, &tasks, lease_ms, tuning, wall_time).is_some()
    }

    /// Returns the tasks of machines as if they were pending, so that capacity is provisioned for them before the
    /// machines are deleted.
    fn pending_work_of(&self, machines: &[String]) -> Vec<PendingWork> {
        let mut jobs: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for id in machines {
            for (task, _) in self.cache.assignments(id) {
                jobs.entry(&task.job).or_default().push(task.index);
            }
        }
        let pending = |(id, indices): (&str, Vec<u32>)| {
            let job = self.cache.job(id)?;
            let spec = job.open_spec()?;
            let mut work = PendingWork::new(&self.cache, &self.settings, id, job, spec);
            work.indices = indices.into();
            Some(work)
        };
        let mut work: Vec<PendingWork> = jobs.into_iter().filter_map(pending).collect();
        work.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
        work
    }

    /// Returns the tasks of a machine, and reserves capacity elsewhere for those that fit.
    fn work_on_machine(
        &self,
        id: &str,
        machine: &MachineRecord,
        outage: &ZoneOutage,
        capacity: &mut ReachableCapacity,
    ) -> MachineWork {
        let mut work = MachineWork {
            tasks: Vec::new(),
            reservations: Vec::new(),
            urgency: Urgency::NONE,
        };
        for (task, placed) in self.cache.assignments(id) {
            let job = self.cache.job(&task.job);
            let (Some(job), Some(spec)) = (job, self.cache.open_job(&task.job)) else {
                continue;
            };
            if !capacity.zone_spread.contains_key(&task.job) {
                let spread = self.zone_spread_of(&task.job, job, spec);
                capacity.zone_spread.insert(task.job.clone(), spread);
            }
            let reservation = capacity.reserve(&task.job, spec, &machine.zone);
            let deadlines = self.deadlines_of(job, spec);
            work.urgency.merge(Urgency {
                priority: Reverse(spec.priority),
                beyond_guaranteed_share: self.is_beyond_guaranteed_share(&spec.team),
                deadline: deadlines.first().copied().unwrap_or(WallMs::MAX),
            });
            work.tasks.push(EvacuationTask {
                priority: spec.priority,
                is_service: spec.kind == JobKind::Service,
                start_in_flight: self.is_start_in_flight(id, task, &placed.assignment),
                fits_elsewhere: reservation.is_some() || may_preempt_elsewhere(spec, outage),
                deadlines,
                run_ms: dependencies::estimated_run_ms(spec),
            });
            work.reservations.extend(reservation);
        }
        work
    }

    /// Returns the spread of a job's tasks over zones, if it restricts their placement.
    fn zone_spread_of(&self, id: &str, job: &JobRecord, spec: &JobSpec) -> ZoneSpreadRecord {
        // A job with zone affinity has all its tasks in the unreachable zone and moves as a whole.
        if !spec.topology_spread || job.tasks <= 1 {
            return ZoneSpreadRecord::default();
        }
        let draft = TransactionBuilder::new(&self.cache);
        claims::zone_spread_of(&draft, job, id, &self.settings.zones)
    }

    /// Returns the deadlines of a job in wall-clock time, in ascending order: those by the service-level objectives
    /// of its class and its own.
    fn deadlines_of(&self, job: &JobRecord, spec: &JobSpec) -> Vec<WallMs> {
        let ready_at = self.cache.ready_at(job);
        let objectives_ms = self.settings.policy.completion_goals_ms.get(&spec.class);
        let objectives_ms = objectives_ms.into_iter().flatten();
        let deadlines = objectives_ms.map(|ms| ready_at + ms);
        let mut deadlines: Vec<WallMs> = deadlines
            .chain(dependencies::own_deadline(job, spec))
            .collect();
        deadlines.sort();
        deadlines
    }

    /// Returns whether a team uses more than its guaranteed share.
    fn is_beyond_guaranteed_share(&self, team: &str) -> bool {
        let usage = self.cache.usage(team);
        let team = self.settings.policy.teams.get(team);
        team.is_none_or(|team| usage.cpus > team.cpus)
    }

    /// Returns whether a task's start was in flight at the last contact with its machine.
    fn is_start_in_flight(&self, id: &str, task: &TaskId, assignment: &Assignment) -> bool {
        let last_contact_at = self.last_contact_at(id).unwrap_or(0);
        let attempt = (task.clone(), assignment.attempt);
        self.workers.starts.is_in_flight(&attempt, last_contact_at)
    }

    /// Returns the free capacity of reachable machines.
    fn reachable_capacity(&self) -> ReachableCapacity {
        let mut free = Vec::new();
        for (id, machine, _) in self.cache.machines() {
            let is_usable =
                machine.phase == MachinePhase::Up && self.is_reachable(id, &machine.zone);
            let machine_type = self.machine_types.get(&machine.type_name);
            let Some(machine_type) = machine_type.filter(|_| is_usable) else {
                continue;
            };
            let resources = machine_type
                .task_capacity()
                .saturating_sub(&self.cache.used_resources(id));
            if resources.cpus > 0 && !self.workers.marked_for_termination.contains_key(id) {
                free.push(FreeCapacity {
                    machine_type: machine.type_name.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    resources,
                });
            }
        }
        ReachableCapacity {
            free,
            jobs_without_capacity: BTreeSet::new(),
            zone_spread: HashMap::new(),
        }
    }
}

/// Returns whether a task may get capacity elsewhere by preempting tasks of lower priority.
fn may_preempt_elsewhere(spec: &JobSpec, outage: &ZoneOutage) -> bool {
    !spec.zone_affinity
        && !spec.topology_spread
        && spec.priority >= JobPriority::High
        && outage.duration_ms > ZONE_OVERDUE_WORK_MS
        && spec.zone.is_none()
}
