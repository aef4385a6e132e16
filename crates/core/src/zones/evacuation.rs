//! Evacuation of unreachable zones: which of their machines are deleted so that their tasks are placed
//! elsewhere, and in which order. The decision for each machine is `failures::evacuation_reason`.

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
    evacuation_reason, AssignedWork, EvacuationReason, ZoneFailureKind, ZoneOutage,
};
use foldhash::{HashMap, HashMapExt};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// What is free on one reachable machine, and what jobs may ask of that machine.
struct FreeCapacity {
    machine_type: String,
    zone: String,
    spot: bool,
    resources: Resources,
}

/// Capacity on reachable machines that is not reserved for tasks of machines looked at before.
struct ReachableCapacity {
    free: Vec<FreeCapacity>,
    /// Jobs whose tasks fit nowhere.
    jobs_without_capacity: BTreeSet<String>,
    /// How many tasks of a job are in each zone, reserved capacity included.
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
    /// Reserves capacity for a task of a job outside its present zone, if there is any that its job
    /// allows.
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
            resources.fits(&spec.resources)
                && spec.allows(machine_type, zone, *spot)
                && zone != present_zone
                && claims::remaining_zone_tasks(spec, spread, zone) > 0
        };
        let Some(index) = self.free.iter().position(allowed) else {
            self.jobs_without_capacity.insert(spec.id.clone());
            return None;
        };
        let capacity = &mut self.free[index];
        capacity.resources = capacity.resources.saturating_sub(&spec.resources);
        *spread.zones.entry(capacity.zone.clone()).or_default() += 1;
        Some(Reservation {
            job: job.to_string(),
            index,
            resources: spec.resources,
        })
    }

    /// Gives reserved capacity back.
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

/// A machine that is to be deleted. Candidates are ordered by what decides which go first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvacuationCandidate {
    urgency: Urgency,
    machine: String,
    reason: EvacuationReason,
}

/// How urgent the most urgent task of a machine is; the most urgent is the least.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    priority: Reverse<JobPriority>,
    /// Whether all its tasks belong to teams that use more than their guaranteed share.
    beyond_quota: bool,
    /// The earliest time of day by which a task is to be done.
    deadline: WallMs,
}

impl Urgency {
    /// Less urgent than any task.
    const NONE: Urgency = Urgency {
        priority: Reverse(JobPriority::Low),
        beyond_quota: true,
        deadline: WallMs::MAX,
    };

    /// The more urgent in each respect.
    fn merge(&mut self, other: Urgency) {
        self.priority = self.priority.min(other.priority);
        self.beyond_quota &= other.beyond_quota;
        self.deadline = self.deadline.min(other.deadline);
    }
}

/// What a machine of an unreachable zone holds.
struct MachineWork {
    tasks: Vec<AssignedWork>,
    reservations: Vec<Reservation>,
    urgency: Urgency,
}

/// Which machines of unreachable zones are to be deleted.
#[derive(Default)]
struct EvacuationPlan {
    /// The most urgent first.
    candidates: Vec<EvacuationCandidate>,
    /// Machines that are to be deleted once there is capacity for what they hold.
    provision_for: Vec<String>,
    /// Number of machines that are marked for termination already.
    already_marked: usize,
}

impl Controller {
    /// Deletes machines of unreachable zones whose tasks are better off elsewhere, a limited number at a
    /// time, and provisions for what lacks capacity elsewhere.
    pub(crate) fn evacuate_zones(&mut self) {
        if !self.settings.tuning.evacuate_zones
            || !self.zones.has_unreachable()
            || self.now < self.zones.evacuation_checked_at + ZONE_EVACUATION_INTERVAL_MS
        {
            return;
        }
        self.zones.evacuation_checked_at = self.now;
        if !self.has_heard_full_round() || !self.workers_reachable() {
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

    /// Decides for each machine of an unreachable zone whether it is to be deleted.
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
            if self.is_left_to_serve(id, outage) {
                continue;
            }
            let work = self.work_on_machine(id, machine, outage, &mut capacity);
            let lease_ms = self.settings.lease_ms;
            match evacuation_reason(outage, &work.tasks, lease_ms, tuning, self.wall) {
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

    /// Outages of zones that have been known for long enough to act on them.
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

    /// Whether a machine is left alone for the service that it runs inside a partitioned zone: nothing
    /// needs to be worked out for it then.
    fn is_left_to_serve(&self, id: &str, outage: &ZoneOutage) -> bool {
        let serves = |(task, placed): (&TaskId, &AssignedTask)| {
            let spec = self.cache.open_job(&task.job);
            spec.is_some_and(|spec| spec.kind == JobKind::Service)
                && !self.is_start_in_flight(id, task, &placed.assignment)
        };
        outage.kind == ZoneFailureKind::WithControllers
            && outage.duration_ms <= ZONE_ABANDON_MS
            && self.cache.assignments(id).any(serves)
    }

    /// Whether a machine would be deleted if there were capacity for its tasks elsewhere, now or by the time
    /// that newly provisioned capacity is up.
    fn lacks_only_capacity(&self, outage: &ZoneOutage, tasks: &[AssignedWork]) -> bool {
        let outage = ZoneOutage {
            duration_ms: outage.duration_ms + ZONE_PROVISION_AHEAD_MS,
            ..*outage
        };
        let fitting = |task: &AssignedWork| AssignedWork {
            fits_elsewhere: true,
            ..task.clone()
        };
        let tasks: Vec<AssignedWork> = tasks.iter().map(fitting).collect();
        let (lease_ms, tuning) = (self.settings.lease_ms, &self.settings.tuning);
        let wall = self.wall + ZONE_PROVISION_AHEAD_MS;
        evacuation_reason(&outage, &tasks, lease_ms, tuning, wall).is_some()
    }

    /// The tasks of machines that are to be deleted once there is capacity for them, as if they were
    /// pending: what is provisioned for them now is up by then.
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

    /// What a machine holds, with capacity reserved elsewhere for what fits.
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
                beyond_quota: self.is_beyond_quota(&spec.team),
                deadline: deadlines.first().copied().unwrap_or(WallMs::MAX),
            });
            work.tasks.push(AssignedWork {
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

    /// How a job's tasks are spread over zones, if that restricts where they may go.
    fn zone_spread_of(&self, id: &str, job: &JobRecord, spec: &JobSpec) -> ZoneSpreadRecord {
        // A job with zone affinity moves as a whole: its other tasks are unreachable as well.
        if !spec.topology_spread || job.tasks <= 1 {
            return ZoneSpreadRecord::default();
        }
        let draft = TransactionBuilder::new(&self.cache);
        claims::zone_spread_of(&draft, job, id, &self.settings.zones)
    }

    /// Times of day by which a job is to be done, in ascending order: its class's service-level objectives
    /// and its own deadline.
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

    /// Whether a team uses more than its guaranteed share.
    fn is_beyond_quota(&self, team: &str) -> bool {
        let used = self.cache.usage(team);
        let quota = self.settings.policy.teams.get(team);
        quota.is_none_or(|quota| used.cpus > quota.cpus)
    }

    /// Whether a task's start was on its way when its machine last gave a sign of life.
    fn is_start_in_flight(&self, id: &str, task: &TaskId, assignment: &Assignment) -> bool {
        let last_sign_at = self.last_sign(id).unwrap_or(0);
        let attempt = (task.clone(), assignment.attempt);
        self.workers.starts.is_in_flight(&attempt, last_sign_at)
    }

    /// What is free on machines that can be reached.
    fn reachable_capacity(&self) -> ReachableCapacity {
        let mut free = Vec::new();
        for (id, machine, _) in self.cache.machines() {
            let usable = machine.phase == MachinePhase::Up && self.reachable(id, &machine.zone);
            let machine_type = self.machine_types.get(&machine.type_name);
            let Some(machine_type) = machine_type.filter(|_| usable) else {
                continue;
            };
            let resources = machine_type
                .capacity
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

/// Whether a task gets capacity elsewhere by preempting tasks of lower priority.
fn may_preempt_elsewhere(spec: &JobSpec, outage: &ZoneOutage) -> bool {
    !spec.zone_affinity
        && !spec.topology_spread
        && spec.priority >= JobPriority::High
        && outage.duration_ms > ZONE_OVERDUE_WORK_MS
        && spec.zone.is_none()
}
