//! Preemption: which tasks to stop so that pending work gets capacity: those of lower priority, and, for work
//! within its team's guarantee, what other teams run beyond theirs.

use crate::constants::{PREEMPT_TASKS, PREEMPT_WASTE_MS};
use crate::model::{JobKind, JobPriority, JobSpec, Millis, Resources, TaskId};
use crate::scheduling::claims::zone_room;
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::stops::{Stop, StopReason};
use crate::state::{MachinePhase, MachineRecord, ZoneSpreadRecord};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// What a controller knows of machines, jobs and attempts beside the records.
pub struct Observations<'a> {
    /// Whether a machine may be counted on for pending work.
    pub is_usable: &'a dyn Fn(&str) -> bool,
    /// What a job counts as for the sake of those that depend on it.
    pub priority: &'a dyn Fn(&str, &JobSpec) -> JobPriority,
    /// Milliseconds since an attempt was assigned.
    pub assigned_for: &'a dyn Fn(u64) -> Millis,
    /// Whether an attempt of a task is about to end by itself.
    pub is_about_to_end: &'a dyn Fn(&TaskId, u64) -> bool,
}

/// A machine as it will be once the stops under way have taken effect.
struct PreemptionTarget<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    /// What will be free on it.
    available: Resources,
    /// What of that is free already.
    free: Resources,
    /// Tasks that may be stopped there, the least wasteful first.
    victims: Vec<Victim<'a>>,
}

impl PreemptionTarget<'_> {
    /// What is available there to a preemptor. What is free now on ordinary machines was denied to urgent work
    /// that uses no others: it is kept for services, and waiting for it would be in vain.
    fn available_to(&self, preemptor: &Preemptor) -> Resources {
        let is_urgent =
            preemptor.priority == JobPriority::High && !preemptor.service_reserve_is_open;
        match is_urgent && !preemptor.spec.spot && !self.record.spot {
            true => self.available.less(&self.free),
            false => self.available,
        }
    }
}

/// A task that may be stopped.
struct Victim<'a> {
    task: TaskId,
    attempt: u64,
    team: &'a str,
    resources: Resources,
    priority: JobPriority,
    is_service: bool,
    /// Milliseconds of work that stopping it wastes.
    wasted_ms: Millis,
}

/// Thousandths of processors that teams run beyond their guarantees, apart from what is being stopped.
type Borrowed<'a> = BTreeMap<&'a str, u64>;

/// Pending work for which capacity is made.
struct Preemptor<'a> {
    work: &'a PendingWork,
    spec: &'a JobSpec,
    priority: JobPriority,
    /// Most milliseconds of work that a stop for it may waste.
    max_wasted_ms: Millis,
    service_reserve_is_open: bool,
    /// Its job's tasks by zone, with those that capacity has been found for.
    zones: ZoneSpreadRecord,
}

impl Preemptor<'_> {
    /// Whether a task may be stopped for it, by priority or since the task's team gives back what it borrowed.
    fn may_preempt(&self, victim: &Victim, borrowed: &Borrowed) -> bool {
        victim.wasted_ms <= self.max_wasted_ms
            && (victim.priority < self.priority && !self.would_bounce(victim, borrowed)
                || self.may_reclaim(victim, borrowed))
    }

    /// Work within its guarantee reclaims what other teams have borrowed. Services are not moved about for
    /// that: they are down meanwhile.
    fn may_reclaim(&self, victim: &Victim, borrowed: &Borrowed) -> bool {
        self.work.is_within_guarantee
            && !victim.is_service
            && victim.team != self.spec.team
            && is_borrowed(victim, borrowed)
    }

    /// Beyond its own guarantee a team's batches stop nothing of what others are guaranteed: those would get
    /// the capacity back by the same right, and so on.
    fn would_bounce(&self, victim: &Victim, borrowed: &Borrowed) -> bool {
        self.work.urgency.borrowed
            && self.priority != JobPriority::Production
            && victim.team != self.spec.team
            && !is_borrowed(victim, borrowed)
    }

    /// Whether its tasks may run on a machine, whatever runs there now.
    fn may_run_on(&self, view: &ClusterView, machine: &PreemptionTarget) -> bool {
        let record = machine.record;
        self.spec
            .allows(&record.type_name, &record.zone, record.spot)
            && zone_room(self.spec, &self.zones, &record.zone) > 0
            && (!self.work.requires_cached_image
                || view.cache.has_image(machine.id, &self.spec.image))
    }

    /// Counts one of its tasks on a machine.
    fn assign(&mut self, machine: &mut PreemptionTarget) {
        machine.available = machine.available.less(&self.spec.resources);
        let zone = machine.record.zone.clone();
        *self.zones.zones.entry(zone).or_default() += 1;
    }
}

fn is_borrowed(victim: &Victim, borrowed: &Borrowed) -> bool {
    borrowed
        .get(victim.team)
        .is_some_and(|cpus| *cpus >= victim.resources.cpus)
}

fn give_back(borrowed: &mut Borrowed, victim: &Victim) {
    if let Some(cpus) = borrowed.get_mut(victim.team) {
        *cpus = cpus.saturating_sub(victim.resources.cpus);
    }
}

/// Tasks of a job that could soon be on machines with its image, if work of lower priority there is stopped.
pub fn preemptible_capacity_with_image(
    view: &ClusterView,
    work: &PendingWork,
    is_usable: impl Fn(&str) -> bool,
    priority: impl Fn(&str, &JobSpec) -> JobPriority,
) -> u64 {
    let Some(spec) = view.cache.open_job(&work.job) else {
        return 0;
    };
    let mut tasks = 0;
    for (id, machine, _) in view.cache.machines() {
        let may_run_on = machine.phase == MachinePhase::Up
            && view.cache.has_image(id, &spec.image)
            && spec.allows(&machine.type_name, &machine.zone, machine.spot)
            && zone_room(spec, &work.zones, &machine.zone) > 0
            && is_usable(id);
        let machine_type = view.machine_types.get(&machine.type_name);
        let Some(machine_type) = machine_type.filter(|_| may_run_on) else {
            continue;
        };
        let mut staying = Resources::default();
        for (task, placed) in view.cache.assignments(id) {
            let is_preemptible = |other: &JobSpec| {
                other.kind == JobKind::Array && priority(&task.job, other) < work.own_priority
            };
            if !view.cache.open_job(&task.job).is_some_and(is_preemptible) {
                staying = staying.plus(&placed.resources);
            }
        }
        tasks += machine_type.room.less(&staying).count(&spec.resources);
    }
    tasks
}

/// Attempts to stop so that pending work gets started. The service reserve is open to priorities above
/// `reserve_open_to`.
pub fn choose_stops(
    view: ClusterView,
    work: &[PendingWork],
    observations: &Observations,
    reserve_open_to: Option<JobPriority>,
) -> Vec<Stop> {
    let mut plan = PreemptionPlan::new(view, observations);
    for work in work {
        let Some(spec) = view.cache.open_job(&work.job) else {
            continue;
        };
        let priority = work.own_priority;
        if !plan.has_victims_for(work) {
            continue;
        }
        plan.preempt_for(Preemptor {
            work,
            spec,
            priority,
            max_wasted_ms: match priority {
                JobPriority::Production => Millis::MAX,
                JobPriority::High | JobPriority::Normal | JobPriority::Low => PREEMPT_WASTE_MS,
            },
            service_reserve_is_open: reserve_open_to.is_some_and(|lowest| priority > lowest),
            zones: work.zones.clone(),
        });
    }
    plan.stops
}

/// Stops chosen so far, and the cluster as it will be after them.
struct PreemptionPlan<'a> {
    view: ClusterView<'a>,
    machines: Vec<PreemptionTarget<'a>>,
    borrowed: Borrowed<'a>,
    /// The lowest priority of what runs.
    lowest_priority: JobPriority,
    stops: Vec<Stop>,
}

impl<'a> PreemptionPlan<'a> {
    fn new(view: ClusterView<'a>, observations: &Observations) -> PreemptionPlan<'a> {
        let mut plan = PreemptionPlan {
            view,
            machines: Vec::new(),
            borrowed: Borrowed::new(),
            lowest_priority: JobPriority::Production,
            stops: Vec::new(),
        };
        for (id, record, _) in view.cache.machines() {
            let machine_type = view
                .machine_types
                .get(&record.type_name)
                .filter(|_| record.phase == MachinePhase::Up && (observations.is_usable)(id));
            if let Some(machine_type) = machine_type {
                plan.add_machine(id, record, machine_type.room, observations);
            }
        }
        for (team, cpus) in &mut plan.borrowed {
            let team = view.settings.policy.teams.get(*team);
            *cpus = cpus.saturating_sub(team.map_or(0, |team| team.cpus));
        }
        plan
    }

    /// Adds a machine of a type with these resources. Until all are added, `borrowed` counts all that teams run.
    fn add_machine(
        &mut self,
        id: &'a str,
        record: &'a MachineRecord,
        total: Resources,
        observations: &Observations,
    ) {
        let cache = self.view.cache;
        let mut staying = Resources::default();
        let mut victims = Vec::new();
        let running = cache
            .assignments(id)
            .filter(|(_, placed)| placed.assignment.stop_reason.is_none());
        for (task, placed) in running {
            staying = staying.plus(&placed.resources);
            let Some(spec) = cache.open_job(&task.job) else {
                continue;
            };
            *self.borrowed.entry(&spec.team).or_default() += placed.resources.cpus;
            let priority = (observations.priority)(&task.job, spec);
            self.lowest_priority = self.lowest_priority.min(priority);
            let attempt = placed.assignment.attempt;
            if (observations.is_about_to_end)(task, attempt) {
                continue;
            }
            let has_checkpoints = spec.checkpoint_interval_s > 0.0;
            victims.push(Victim {
                task: task.clone(),
                attempt,
                team: &spec.team,
                resources: placed.resources,
                priority,
                is_service: spec.kind == JobKind::Service,
                wasted_ms: match has_checkpoints {
                    true => 0,
                    false => (observations.assigned_for)(attempt),
                },
            });
        }
        victims.sort_by_key(|victim| victim.wasted_ms);
        self.machines.push(PreemptionTarget {
            id,
            record,
            available: total.less(&staying),
            free: total.less(&cache.used_resources(id)),
            victims,
        });
    }

    /// Whether anything that runs might be stopped for the work.
    fn has_victims_for(&self, work: &PendingWork) -> bool {
        let may_reclaim = work.is_within_guarantee && self.borrowed.values().any(|cpus| *cpus > 0);
        self.lowest_priority < work.own_priority || may_reclaim
    }

    /// Finds capacity for the preemptor's tasks: what is available already or being freed, else by stops.
    fn preempt_for(&mut self, mut preemptor: Preemptor) {
        let tasks = preemptor.work.indices.len().min(PREEMPT_TASKS);
        let resources = &preemptor.spec.resources;
        for _ in 0..tasks {
            let available = self.machines.iter_mut().find(|machine| {
                preemptor.may_run_on(&self.view, machine)
                    && machine.available_to(&preemptor).fits(resources)
            });
            if let Some(machine) = available {
                preemptor.assign(machine);
                continue;
            }
            if self.stops.len() >= PREEMPT_TASKS {
                break;
            }
            let Some((machine, victims)) = self.cheapest_stop(&preemptor) else {
                break;
            };
            self.stop_on(machine, victims, &preemptor);
            preemptor.assign(&mut self.machines[machine]);
        }
    }

    /// The machine, by its position, where one task of the preemptor costs least, and how many victims it
    /// takes there: first machines with its image, then those where less work is wasted by fewer stops.
    fn cheapest_stop(&self, preemptor: &Preemptor) -> Option<(usize, usize)> {
        let cache = self.view.cache;
        let costs = self.machines.iter().enumerate();
        let costs = costs.filter(|(_, machine)| preemptor.may_run_on(&self.view, machine));
        let costs = costs.filter_map(|(position, machine)| {
            let cost = stop_cost(machine, preemptor, &self.borrowed)?;
            let lacks_image = !cache.has_image(machine.id, &preemptor.spec.image);
            Some((lacks_image, cost.wasted_ms, cost.victims, position))
        });
        let (_, _, victims, position) = costs.min()?;
        Some((position, victims))
    }

    /// Stops the first so many victims on a machine that may be stopped for the preemptor.
    fn stop_on(&mut self, machine: usize, victims: usize, preemptor: &Preemptor) {
        let machine = &mut self.machines[machine];
        let mut stopped = 0;
        for victim in std::mem::take(&mut machine.victims) {
            if stopped >= victims || !preemptor.may_preempt(&victim, &self.borrowed) {
                machine.victims.push(victim);
                continue;
            }
            stopped += 1;
            give_back(&mut self.borrowed, &victim);
            machine.available = machine.available.plus(&victim.resources);
            self.stops.push(Stop {
                machine: machine.id.to_string(),
                task: victim.task,
                attempt: victim.attempt,
                reason: StopReason::Preempted,
            });
        }
    }
}

/// What it costs to make a machine take one more task.
struct StopCost {
    victims: usize,
    wasted_ms: Millis,
}

/// How many victims, the least wasteful first, free enough on a machine, and what that wastes.
fn stop_cost(
    machine: &PreemptionTarget,
    preemptor: &Preemptor,
    borrowed: &Borrowed,
) -> Option<StopCost> {
    let mut available = machine.available_to(preemptor);
    let mut cost = StopCost {
        victims: 0,
        wasted_ms: 0,
    };
    let mut borrowed = Cow::Borrowed(borrowed);
    for victim in &machine.victims {
        if !preemptor.may_preempt(victim, &borrowed) {
            continue;
        }
        if borrowed.contains_key(victim.team) {
            give_back(borrowed.to_mut(), victim);
        }
        available = available.plus(&victim.resources);
        cost.wasted_ms = cost.wasted_ms.saturating_add(victim.wasted_ms);
        cost.victims += 1;
        if available.fits(&preemptor.spec.resources) {
            return Some(cost);
        }
    }
    None
}
