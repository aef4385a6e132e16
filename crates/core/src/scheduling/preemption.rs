//! Preemption: chooses the tasks to stop so that pending work gets capacity. Victims are tasks of lower priority
//! and, for work within its team's guarantee, tasks that other teams run beyond their guarantees.

use crate::constants::{PREEMPT_MAX_TASKS, PREEMPT_MAX_WASTE_MS};
use crate::model::{JobKind, JobPriority, JobSpec, Millis, Resources, TaskId};
use crate::scheduling::claims::remaining_zone_tasks;
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::stops::{Stop, StopReason};
use crate::state::{MachinePhase, MachineRecord, ZoneSpreadRecord};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Information about machines, jobs and attempts that is not in the state cache.
pub struct PreemptionContext<'a> {
    /// Returns whether pending work may use a machine.
    pub is_usable: &'a dyn Fn(&str) -> bool,
    /// Returns the priority of a running job, including the priority inherited from jobs that depend on it.
    pub priority: &'a dyn Fn(&str, &JobSpec) -> JobPriority,
    /// Returns the milliseconds since an attempt was assigned.
    pub assigned_for_ms: &'a dyn Fn(u64) -> Millis,
    /// Returns whether an attempt of a task is about to end without being stopped.
    pub is_about_to_end: &'a dyn Fn(&TaskId, u64) -> bool,
}

/// A machine in the state that it will have after the stops in progress.
struct PreemptionTarget<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    /// The resources that will be free on it.
    available: Resources,
    /// The part of `available` that is free now.
    free: Resources,
    /// Tasks that may be stopped on it, those that waste the least work first.
    victims: Vec<Victim<'a>>,
}

impl PreemptionTarget<'_> {
    /// Returns the resources available on the machine to a preemptor. Resources that are free now on on-demand
    /// machines don't count for urgent work that can't use spot machines: the placement step has just denied
    /// them to that work because they are reserved for services, and would deny them again.
    fn available_to(&self, preemptor: &Preemptor) -> Resources {
        let is_denied_reserve =
            preemptor.priority == JobPriority::High && !preemptor.is_service_reserve_open;
        match is_denied_reserve && !preemptor.spec.spot && !self.record.spot {
            true => self.available.saturating_sub(&self.free),
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
    /// Milliseconds of work lost by stopping it.
    wasted_ms: Millis,
}

/// Thousandths of processors that each team uses beyond its guarantee, without tasks that are being stopped.
type BorrowedCpus<'a> = BTreeMap<&'a str, u64>;

/// Pending work for which running tasks may be preempted.
struct Preemptor<'a> {
    work: &'a PendingWork,
    spec: &'a JobSpec,
    priority: JobPriority,
    /// The most milliseconds of work that one stop for it may waste.
    max_wasted_ms: Millis,
    is_service_reserve_open: bool,
    /// The number of its job's tasks per zone, including the tasks that capacity has been found for.
    zone_spread: ZoneSpreadRecord,
}

impl Preemptor<'_> {
    /// Returns whether a task may be stopped for it, either because of its priority or to reclaim capacity that
    /// the task's team has borrowed.
    fn may_preempt(&self, victim: &Victim, borrowed: &BorrowedCpus) -> bool {
        victim.wasted_ms <= self.max_wasted_ms
            && (victim.priority < self.priority && !self.would_be_reclaimed(victim, borrowed)
                || self.may_reclaim(victim, borrowed))
    }

    /// Returns whether it may reclaim a victim's capacity: work within its team's guarantee may reclaim what
    /// other teams have borrowed. Services are exempt, since they would be down while they migrate.
    fn may_reclaim(&self, victim: &Victim, borrowed: &BorrowedCpus) -> bool {
        self.work.is_within_guarantee
            && !victim.is_service
            && victim.team != self.spec.team
            && is_borrowed(victim, borrowed)
    }

    /// Returns whether the victim's team would reclaim the capacity at once. Batches beyond their own team's
    /// guarantee therefore don't preempt tasks that run within another team's guarantee: each team would
    /// preempt the other in turn.
    fn would_be_reclaimed(&self, victim: &Victim, borrowed: &BorrowedCpus) -> bool {
        self.work.urgency.is_borrowed
            && self.priority != JobPriority::Production
            && victim.team != self.spec.team
            && !is_borrowed(victim, borrowed)
    }

    /// Returns whether its tasks may run on a machine, regardless of what runs on it now.
    fn may_run_on(&self, view: &ClusterView, machine: &PreemptionTarget) -> bool {
        let record = machine.record;
        self.spec
            .allows(&record.type_name, &record.zone, record.spot)
            && remaining_zone_tasks(self.spec, &self.zone_spread, &record.zone) > 0
            && (!self.work.requires_cached_image
                || view.cache.has_image(machine.id, &self.spec.image))
    }

    /// Counts one of its tasks as placed on a machine.
    fn assign(&mut self, machine: &mut PreemptionTarget) {
        machine.available = machine.available.saturating_sub(&self.spec.task_request());
        let zone = machine.record.zone.clone();
        *self.zone_spread.zones.entry(zone).or_default() += 1;
    }
}

/// Returns whether a victim runs on capacity that its team has borrowed.
fn is_borrowed(victim: &Victim, borrowed: &BorrowedCpus) -> bool {
    borrowed
        .get(victim.team)
        .is_some_and(|cpus| *cpus >= victim.resources.cpus)
}

/// Subtracts a stopped victim from the processors that its team has borrowed.
fn subtract_borrowed(borrowed: &mut BorrowedCpus, victim: &Victim) {
    if let Some(cpus) = borrowed.get_mut(victim.team) {
        *cpus = cpus.saturating_sub(victim.resources.cpus);
    }
}

/// Returns how many tasks of a job would fit on machines that cache its image if batch tasks of lower priority
/// there were preempted.
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
            && remaining_zone_tasks(spec, &work.zone_spread, &machine.zone) > 0
            && is_usable(id);
        let machine_type = view.machine_types.get(&machine.type_name);
        let Some(machine_type) = machine_type.filter(|_| may_run_on) else {
            continue;
        };
        let mut retained = Resources::default();
        for (task, placed) in view.cache.assignments(id) {
            let is_preemptible = |other: &JobSpec| {
                other.kind == JobKind::Array && priority(&task.job, other) < work.own_priority
            };
            if !view.cache.open_job(&task.job).is_some_and(is_preemptible) {
                retained = retained.saturating_add(&placed.resources);
            }
        }
        tasks += machine_type
            .task_capacity()
            .saturating_sub(&retained)
            .max_tasks(&spec.task_request());
    }
    tasks
}

/// Chooses the attempts to stop so that pending work can start. The service reserve is open to work of a
/// priority above `reserve_open_to`.
pub fn choose_stops(
    view: ClusterView,
    work: &[PendingWork],
    context: &PreemptionContext,
    reserve_open_to: Option<JobPriority>,
) -> Vec<Stop> {
    let mut plan = PreemptionPlan::new(view, context);
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
                JobPriority::High | JobPriority::Normal | JobPriority::Low => PREEMPT_MAX_WASTE_MS,
            },
            is_service_reserve_open: reserve_open_to.is_some_and(|lowest| priority > lowest),
            zone_spread: work.zone_spread.clone(),
        });
    }
    plan.stops
}

/// The stops chosen so far and the cluster in the state that it will have after them.
struct PreemptionPlan<'a> {
    view: ClusterView<'a>,
    machines: Vec<PreemptionTarget<'a>>,
    borrowed: BorrowedCpus<'a>,
    /// The lowest priority of any running task.
    lowest_priority: JobPriority,
    stops: Vec<Stop>,
}

impl<'a> PreemptionPlan<'a> {
    fn new(view: ClusterView<'a>, context: &PreemptionContext) -> PreemptionPlan<'a> {
        let mut plan = PreemptionPlan {
            view,
            machines: Vec::new(),
            borrowed: BorrowedCpus::new(),
            lowest_priority: JobPriority::Production,
            stops: Vec::new(),
        };
        for (id, record, _) in view.cache.machines() {
            let machine_type = view
                .machine_types
                .get(&record.type_name)
                .filter(|_| record.phase == MachinePhase::Up && (context.is_usable)(id));
            if let Some(machine_type) = machine_type {
                plan.add_machine(id, record, machine_type.task_capacity(), context);
            }
        }
        for (team, cpus) in &mut plan.borrowed {
            let team = view.settings.policy.teams.get(*team);
            *cpus = cpus.saturating_sub(team.map_or(0, |team| team.cpus));
        }
        plan
    }

    /// Adds a machine with `total` resources. Until all machines are added, `borrowed` holds the whole usage of
    /// each team.
    fn add_machine(
        &mut self,
        id: &'a str,
        record: &'a MachineRecord,
        total: Resources,
        context: &PreemptionContext,
    ) {
        let cache = self.view.cache;
        let mut retained = Resources::default();
        let mut victims = Vec::new();
        let running = cache
            .assignments(id)
            .filter(|(_, placed)| placed.assignment.stop_reason.is_none());
        for (task, placed) in running {
            retained = retained.saturating_add(&placed.resources);
            let Some(spec) = cache.open_job(&task.job) else {
                continue;
            };
            *self.borrowed.entry(&spec.team).or_default() += placed.resources.cpus;
            let priority = (context.priority)(&task.job, spec);
            self.lowest_priority = self.lowest_priority.min(priority);
            let attempt = placed.assignment.attempt;
            if (context.is_about_to_end)(task, attempt) {
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
                    false => (context.assigned_for_ms)(attempt),
                },
            });
        }
        victims.sort_by_key(|victim| victim.wasted_ms);
        self.machines.push(PreemptionTarget {
            id,
            record,
            available: total.saturating_sub(&retained),
            free: total.saturating_sub(&cache.used_resources(id)),
            victims,
        });
    }

    /// Returns whether any running task might be stopped for the work.
    fn has_victims_for(&self, work: &PendingWork) -> bool {
        let may_reclaim = work.is_within_guarantee && self.borrowed.values().any(|cpus| *cpus > 0);
        self.lowest_priority < work.own_priority || may_reclaim
    }

    /// Finds capacity for the preemptor's tasks: first capacity that is available or being freed, otherwise by
    /// stopping victims.
    fn preempt_for(&mut self, mut preemptor: Preemptor) {
        let tasks = preemptor.work.indices.len().min(PREEMPT_MAX_TASKS);
        let request = preemptor.spec.task_request();
        for _ in 0..tasks {
            let available = self.machines.iter_mut().find(|machine| {
                preemptor.may_run_on(&self.view, machine)
                    && machine.available_to(&preemptor).fits(&request)
            });
            if let Some(machine) = available {
                preemptor.assign(machine);
                continue;
            }
            if self.stops.len() >= PREEMPT_MAX_TASKS {
                break;
            }
            let Some((position, victims)) = self.cheapest_stop(&preemptor) else {
                break;
            };
            self.stop_victims(position, victims, &preemptor);
            preemptor.assign(&mut self.machines[position]);
        }
    }

    /// Returns the position of the machine on which capacity for one task of the preemptor costs least, and the
    /// number of victims to stop there. Machines that cache its image come first, then those on which less work
    /// is wasted, then those with fewer victims.
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

    /// Stops the first `victims` tasks that the preemptor may preempt on the machine at `position`.
    fn stop_victims(&mut self, position: usize, victims: usize, preemptor: &Preemptor) {
        let machine = &mut self.machines[position];
        let mut stopped = 0;
        for victim in std::mem::take(&mut machine.victims) {
            if stopped >= victims || !preemptor.may_preempt(&victim, &self.borrowed) {
                machine.victims.push(victim);
                continue;
            }
            stopped += 1;
            subtract_borrowed(&mut self.borrowed, &victim);
            machine.available = machine.available.saturating_add(&victim.resources);
            self.stops.push(Stop {
                machine: machine.id.to_string(),
                task: victim.task,
                attempt: victim.attempt,
                reason: StopReason::Preempted,
            });
        }
    }
}

/// The cost of freeing capacity for one task on a machine.
struct StopCost {
    victims: usize,
    wasted_ms: Millis,
}

/// Returns how many victims, those that waste the least work first, free enough capacity on a machine, and how
/// much work that wastes. Returns `None` if all victims together don't free enough.
fn stop_cost(
    machine: &PreemptionTarget,
    preemptor: &Preemptor,
    borrowed: &BorrowedCpus,
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
            subtract_borrowed(borrowed.to_mut(), victim);
        }
        available = available.saturating_add(&victim.resources);
        cost.wasted_ms = cost.wasted_ms.saturating_add(victim.wasted_ms);
        cost.victims += 1;
        if available.fits(&preemptor.spec.task_request()) {
            return Some(cost);
        }
    }
    None
}
