//! Deferral: chooses, priority by priority, the pending jobs to defer when not all can be done in time. This
//! module collects the inputs, and `queue_order` implements the rule.

use crate::constants::{CHANGES_PER_TASK, NEW_JOB_MS, QUEUE_ORDER_CACHE_MS};
use crate::jobs::dependencies;
use crate::model::{JobKind, JobPriority, JobSpec, WallMs};
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::queue_order::{self, Capacity, QueuePlace, QueuedJob};
use crate::settings::Settings;
use crate::state::StateCache;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// For each job that can meet a goal, the wall-clock time by which it should start to meet its next later goal, if
/// it has one.
pub type NextGoals = HashMap<String, Option<WallMs>>;

/// A cache of which jobs are deferred. Computing it in each of the frequent scheduling passes would be too costly
/// during a burst, when hundreds of jobs wait.
#[derive(Default)]
pub struct CachedQueueOrder {
    /// The wall-clock time at which the cache expires.
    expires_at: WallMs,
    places: HashMap<String, CachedPlace>,
}

/// The cached result for one job.
struct CachedPlace {
    is_deferred: bool,
    due: WallMs,
}

impl CachedQueueOrder {
    /// Returns whether the order has to be computed again, which is also the case if the clock was set back.
    pub fn has_expired(&self, wall_time: WallMs) -> bool {
        wall_time >= self.expires_at || wall_time + QUEUE_ORDER_CACHE_MS < self.expires_at
    }

    /// Stores the result for each job.
    pub fn store(&mut self, queue: &[PendingWork], wall_time: WallMs) {
        self.expires_at = wall_time + QUEUE_ORDER_CACHE_MS;
        let place = |work: &PendingWork| {
            let (is_deferred, due) = (work.urgency.is_deferred, work.urgency.due);
            (work.job.clone(), CachedPlace { is_deferred, due })
        };
        self.places = queue.iter().map(place).collect();
    }

    /// Applies the stored results to the jobs that have one.
    pub fn apply(&self, queue: &mut [PendingWork]) {
        for work in queue {
            if let Some(place) = self.places.get(&work.job) {
                work.urgency.is_deferred = place.is_deferred;
                work.urgency.due = place.due;
            }
        }
    }
}

/// The inputs of deferral.
pub struct Deferral<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    /// The processors, in thousandths, of all machines that work can be placed on.
    pub usable_cpus: u64,
    /// The current wall-clock time.
    pub wall_time: WallMs,
}

/// The remaining work of the running batches of one priority.
#[derive(Default)]
struct RunningWork {
    cpu_work: u128,
    tasks: u64,
}

/// The services and batches that are running.
#[derive(Default)]
struct Running<'a> {
    /// Thousandths of processors that all services hold.
    service_cpus: u64,
    /// Thousandths of processors that the services of each team hold.
    service_cpus_by_team: BTreeMap<&'a str, u64>,
    batches: BTreeMap<JobPriority, RunningWork>,
}

impl Deferral<'_> {
    /// Defers, priority by priority, the jobs that can't be done in time, and sets the due times of the others.
    pub fn defer_excess(&self, queue: &mut [PendingWork], next_goals: &NextGoals) {
        queue.sort_by(PendingWork::compare);
        let mut running = self.running();
        let mut capacity = self.capacity(&running);
        let exempt = self.new_jobs_within_guarantee(queue);
        let tuning = &self.settings.tuning;
        let (threshold, share) = (tuning.defer_overload_factor, tuning.defer_capacity_share);
        for group in queue.chunk_by_mut(|a, b| a.urgency.priority == b.urgency.priority) {
            let priority = group
                .first()
                .map_or(JobPriority::Low, |work| work.urgency.priority.0);
            // Running batches of this or a higher priority are work ahead of it. Those of lower priority are not,
            // since they are preempted for it.
            for running_work in running.batches.split_off(&priority).into_values() {
                capacity.cpu_work_ahead += running_work.cpu_work;
                capacity.tasks_ahead += running_work.tasks;
            }
            let jobs: Vec<QueuedJob> = group
                .iter()
                .map(|work| self.queued_job(work, next_goals, &exempt))
                .collect();
            let places = queue_order::places_with_hysteresis(
                &jobs,
                &capacity,
                threshold,
                share,
                self.wall_time,
            );
            for (work, place) in group.iter_mut().zip(places) {
                match place {
                    QueuePlace::Due(due) => work.urgency.due = due,
                    // Overdue work is not deferred, so that no work is deferred forever.
                    QueuePlace::Deferred => {
                        let is_overdue = work.urgency.due <= self.wall_time;
                        work.urgency.is_deferred = !is_overdue && !exempt.contains(&work.job);
                    }
                }
            }
            capacity.cpu_work_ahead += jobs.iter().map(|job| job.cpu_work).sum::<u128>();
            capacity.tasks_ahead += jobs.iter().map(|job| job.tasks).sum::<u64>();
        }
    }

    /// Returns the running services, which keep running, and the remaining work of the running batches, which are
    /// assumed to be half done, as they are on average.
    fn running(&self) -> Running<'_> {
        let mut running = Running::default();
        for (id, _, spec) in self.cache.open_jobs() {
            let assigned = self.cache.task_counts(id).assigned;
            let cpus = u64::from(assigned) * spec.resources.cpus;
            match spec.kind {
                JobKind::Service => {
                    running.service_cpus += cpus;
                    *running.service_cpus_by_team.entry(&spec.team).or_default() += cpus;
                }
                JobKind::Array => {
                    let batches = running.batches.entry(spec.priority).or_default();
                    batches.cpu_work +=
                        queue_order::cpu_work(1, cpus, dependencies::estimated_run_ms(spec) / 2);
                    // A running task counts as half a task: its start is recorded, and only its result is still to
                    // be written.
                    batches.tasks += u64::from(assigned / 2);
                }
            }
        }
        running
    }

    /// Returns the capacity that the running services leave.
    fn capacity(&self, running: &Running) -> Capacity {
        let settings = self.settings;
        let team_limits = settings.policy.teams.iter().map(|(name, team)| {
            let service_cpus = running.service_cpus_by_team.get(name.as_str());
            match team.cpus_max {
                0 => 0,
                limit => limit
                    .saturating_sub(service_cpus.copied().unwrap_or(0))
                    .max(1),
            }
        });
        Capacity {
            cpus: self.usable_cpus.saturating_sub(running.service_cpus),
            tasks_per_s: settings.write_rps * settings.controllers.len() as f64 / CHANGES_PER_TASK,
            cpu_work_ahead: 0,
            tasks_ahead: 0,
            team_limits: team_limits.collect(),
        }
    }

    fn queued_job(
        &self,
        work: &PendingWork,
        next_goals: &NextGoals,
        exempt: &BTreeSet<String>,
    ) -> QueuedJob {
        let spec = self.cache.open_job(&work.job);
        let mut teams = self.settings.policy.teams.keys();
        let team = spec.and_then(|spec| teams.position(|name| *name == spec.team));
        let run_ms = spec.map_or(0, dependencies::estimated_run_ms);
        let tasks = work.indices.len() as u64;
        let goals = next_goals.get(&work.job);
        QueuedJob {
            cpu_work: queue_order::cpu_work(tasks, work.resources.cpus, run_ms),
            tasks,
            team: team.unwrap_or(0),
            due: goals.map(|_| work.urgency.due),
            next_due: goals.copied().flatten(),
            is_exempt: exempt.contains(&work.job),
        }
    }

    /// Returns the jobs that have just arrived and fit into their team's guarantee together with all earlier jobs
    /// of the team. These jobs are exempt from deferral.
    fn new_jobs_within_guarantee(&self, queue: &[PendingWork]) -> BTreeSet<String> {
        let has_just_arrived = |ready_at: WallMs| self.wall_time < ready_at + NEW_JOB_MS;
        if !queue.iter().any(|work| has_just_arrived(work.ready_at)) {
            return BTreeSet::new();
        }
        let mut open_jobs: Vec<(WallMs, &str, &JobSpec)> = self
            .cache
            .open_jobs()
            .map(|(id, job, spec)| (self.cache.ready_at(job), id, spec))
            .collect();
        open_jobs.sort_by_key(|(ready_at, id, _)| (*ready_at, *id));
        let mut usage: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let mut new_jobs = BTreeSet::new();
        for (ready_at, id, spec) in open_jobs {
            let Some(team) = self.settings.policy.teams.get(&spec.team) else {
                continue;
            };
            let unfinished_tasks =
                u64::from(spec.tasks.saturating_sub(self.cache.task_counts(id).done));
            let (cpus, gpus) = usage.entry(&spec.team).or_default();
            *cpus += unfinished_tasks * spec.resources.cpus;
            *gpus += unfinished_tasks * spec.resources.gpus;
            if has_just_arrived(ready_at) && *cpus <= team.cpus && *gpus <= team.gpus {
                new_jobs.insert(id.to_string());
            }
        }
        new_jobs
    }
}
