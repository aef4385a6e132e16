//! Deferral: which pending jobs are put off, priority by priority, when not all of them can be done in time.
//! The rule itself is in `queue_order`; here are the figures that it works on.

use crate::constants::{CHANGES_PER_TASK, FRESH_MS, QUEUE_ORDER_CACHE_MS};
use crate::jobs::dependencies;
use crate::model::{JobKind, JobPriority, JobSpec, WallMs};
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::queue_order::{self, Capacity, QueuePlace, QueuedJob};
use crate::settings::Settings;
use crate::state::StateCache;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// For each job that can meet a goal: by when it should start to meet the goal after its first, if any.
pub type NextGoals = HashMap<String, Option<WallMs>>;

/// Which jobs are deferred, worked out now and then: hundreds of jobs wait in a burst, and scheduling
/// passes are many.
#[derive(Default)]
pub struct CachedQueueOrder {
    /// The time of day until which it is used.
    expires_at: WallMs,
    places: HashMap<String, CachedPlace>,
}

/// What was found for one job.
struct CachedPlace {
    is_deferred: bool,
    due: WallMs,
}

impl CachedQueueOrder {
    /// Whether it has to be worked out anew; also when the time of day was set back.
    pub fn has_expired(&self, wall: WallMs) -> bool {
        wall >= self.expires_at || wall + QUEUE_ORDER_CACHE_MS < self.expires_at
    }

    /// Remembers what was found for each job.
    pub fn store(&mut self, queue: &[PendingWork], wall: WallMs) {
        self.expires_at = wall + QUEUE_ORDER_CACHE_MS;
        let place = |work: &PendingWork| {
            let (is_deferred, due) = (work.urgency.is_deferred, work.urgency.due);
            (work.job.clone(), CachedPlace { is_deferred, due })
        };
        self.places = queue.iter().map(place).collect();
    }

    /// Applies what was found before to the jobs that it was found for.
    pub fn apply(&self, queue: &mut [PendingWork]) {
        for work in queue {
            if let Some(place) = self.places.get(&work.job) {
                work.urgency.is_deferred = place.is_deferred;
                work.urgency.due = place.due;
            }
        }
    }
}

/// What deferral is worked out from.
pub struct Deferral<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    /// Thousandths of processors of all machines that work can be placed on.
    pub usable_cpus: u64,
    /// The time of day.
    pub wall: WallMs,
}

/// Work of running batches of one priority.
#[derive(Default)]
struct RunningWork {
    cpu_work: u128,
    tasks: u64,
}

/// What runs already.
#[derive(Default)]
struct Running<'a> {
    /// Thousandths of processors that services hold, in all and by team.
    service_cpus: u64,
    service_cpus_by_team: BTreeMap<&'a str, u64>,
    batches: BTreeMap<JobPriority, RunningWork>,
}

impl Deferral<'_> {
    /// Defers, priority by priority, the jobs that cannot be done in time, and sets when the others are due.
    pub fn defer_excess(&self, queue: &mut [PendingWork], next_goals: &NextGoals) {
        queue.sort_by(PendingWork::compare);
        let mut running = self.running();
        let mut capacity = self.capacity(&running);
        let arrived = self.within_guarantee_on_arrival(queue);
        let tuning = &self.settings.tuning;
        let (threshold, share) = (tuning.put_off_from, tuning.put_off_share);
        for group in queue.chunk_by_mut(|a, b| a.urgency.priority == b.urgency.priority) {
            let priority = group
                .first()
                .map_or(JobPriority::Low, |work| work.urgency.priority.0);
            // Running batches of lower priority are preempted for it, the others come before it.
            for work in running.batches.split_off(&priority).into_values() {
                capacity.work_ahead += work.cpu_work;
                capacity.tasks_ahead += work.tasks;
            }
            let jobs: Vec<QueuedJob> = group
                .iter()
                .map(|work| self.queued_job(work, next_goals, &arrived))
                .collect();
            let places =
                queue_order::places_if_short(&jobs, &capacity, threshold, share, self.wall);
            for (work, place) in group.iter_mut().zip(places) {
                match place {
                    QueuePlace::Due(due) => work.urgency.due = due,
                    // What has been overdue for long comes first: nothing is deferred for ever.
                    QueuePlace::Deferred => {
                        let is_overdue = work.urgency.due <= self.wall;
                        work.urgency.is_deferred = !is_overdue && !arrived.contains(&work.job);
                    }
                }
            }
            capacity.work_ahead += jobs.iter().map(|job| job.cpu_work).sum::<u128>();
            capacity.tasks_ahead += jobs.iter().map(|job| job.tasks).sum::<u64>();
        }
    }

    /// Running services, which stay, and batches, which are half done on average.
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
                        queue_order::cpu_work(1, cpus, dependencies::run_ms(spec) / 2);
                    // They have been started: only the changes for their results are still to be made.
                    batches.tasks += u64::from(assigned / 2);
                }
            }
        }
        running
    }

    /// What is left beside the services that run.
    fn capacity(&self, running: &Running) -> Capacity {
        let settings = self.settings;
        let team_limits = settings.policy.teams.iter().map(|(name, team)| {
            let services = running.service_cpus_by_team.get(name.as_str());
            match team.cpus_max {
                0 => 0,
                limit => limit.saturating_sub(services.copied().unwrap_or(0)).max(1),
            }
        });
        Capacity {
            cpus: self.usable_cpus.saturating_sub(running.service_cpus),
            tasks_per_s: settings.write_rps * settings.controllers.len() as f64 / CHANGES_PER_TASK,
            work_ahead: 0,
            tasks_ahead: 0,
            team_limits: team_limits.collect(),
        }
    }

    fn queued_job(
        &self,
        work: &PendingWork,
        next_goals: &NextGoals,
        arrived: &BTreeSet<String>,
    ) -> QueuedJob {
        let spec = self.cache.open_job(&work.job);
        let mut teams = self.settings.policy.teams.keys();
        let team = spec.and_then(|spec| teams.position(|name| *name == spec.team));
        let run_ms = spec.map_or(0, dependencies::run_ms);
        let tasks = work.indices.len() as u64;
        let goals = next_goals.get(&work.job);
        QueuedJob {
            cpu_work: queue_order::cpu_work(tasks, work.resources.cpus, run_ms),
            tasks,
            team: team.unwrap_or(0),
            due: goals.map(|_| work.urgency.due),
            next_due: goals.copied().flatten(),
            is_firm: arrived.contains(&work.job),
        }
    }

    /// Jobs that have just arrived and that fit into their team's guarantee together with all that the team
    /// had before: they need not wait for anybody.
    fn within_guarantee_on_arrival(&self, queue: &[PendingWork]) -> BTreeSet<String> {
        let has_just_arrived = |ready_at: WallMs| self.wall < ready_at + FRESH_MS;
        if !queue.iter().any(|work| has_just_arrived(work.ready_at)) {
            return BTreeSet::new();
        }
        let mut open: Vec<(WallMs, &str, &JobSpec)> = self
            .cache
            .open_jobs()
            .map(|(id, job, spec)| (self.cache.ready_at(job), id, spec))
            .collect();
        open.sort_by_key(|(ready_at, id, _)| (*ready_at, *id));
        let mut usage: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (ready_at, id, spec) in open {
            let Some(team) = self.settings.policy.teams.get(&spec.team) else {
                continue;
            };
            let unfinished = u64::from(spec.tasks.saturating_sub(self.cache.task_counts(id).done));
            let (cpus, gpus) = usage.entry(&spec.team).or_default();
            *cpus += unfinished * spec.resources.cpus;
            *gpus += unfinished * spec.resources.gpus;
            if has_just_arrived(ready_at) && *cpus <= team.cpus && *gpus <= team.gpus {
                within.insert(id.to_string());
            }
        }
        within
    }
}
