//! What is measured of a day: replicas each second, jobs at its end.

use super::{to_ms, DayRun};
use crate::outcome::Served;
use crate::users::User;
use glenmount_core::model::{JobKind, JobSpec, TaskPhase};
use std::collections::HashMap;
use std::time::Duration;

/// Milliseconds after which a service's replica should run.
const UP_AFTER_MS: u64 = 15_000;
/// Seconds of which the worst are told.
const WORST_S: usize = 30;
/// Milliseconds by which a job may be known to be done later than its goal.
const GOAL_SLACK_MS: u64 = 5_000;

/// The share of replicas that ran.
fn share(of: &[(u64, u64)]) -> f64 {
    let (up, wanted) = of.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    up as f64 / wanted.max(1) as f64
}

/// Cancelled before it could be done: counts for nothing.
fn is_cancelled_early(user: &User, spec: &JobSpec) -> bool {
    spec.kind == JobKind::Array && user.cancels()
}

/// What became of a job.
struct JobOutcome {
    ran: bool,
    tasks_done: u64,
    /// Milliseconds within which it should have been done.
    goal: Option<u64>,
}

/// Counts a job.
fn count_job(served: &mut Served, user: &User, spec: &JobSpec, fate: &JobOutcome) {
    let service = spec.kind == JobKind::Service;
    served.jobs += 1;
    served.accepted += u32::from(user.accepted_ms.is_some());
    served.started += u32::from(fate.ran);
    served.done += u32::from(user.completed_ms.is_some());
    served.tasks += u64::from(spec.tasks);
    served.tasks_done += fate.tasks_done;
    served.tasks_started += match (service, fate.ran) {
        (true, true) => u64::from(spec.tasks),
        (true, false) => 0,
        (false, ran) => fate.tasks_done.max(u64::from(ran)),
    };
    if let Some(goal) = fate.goal.filter(|_| !service) {
        let due = user.submitted_ms + goal + GOAL_SLACK_MS;
        served.with_objective += 1;
        served.in_time += u32::from(user.completed_ms.is_some_and(|at| at <= due));
    }
}

impl DayRun<'_> {
    /// Once a second: replicas that run, of those that should.
    pub(super) fn sample_replicas(&mut self, day: bool) {
        if !self.counted() || !day {
            return;
        }
        let mut running: HashMap<&str, u64> = HashMap::new();
        let mut load = vec![0usize; self.day.controllers];
        for worker in self.sim.workers.values() {
            load[worker.controller] += usize::from(worker.alive);
            for ((task, _), state) in &worker.tasks {
                if state.phase == TaskPhase::Running {
                    *running.entry(task.job.as_str()).or_default() += 1;
                }
            }
        }
        let all: usize = load.iter().sum();
        let most = load.iter().max().copied().unwrap_or(0) as f64 / all.max(1) as f64;
        self.outcome.max_worker_share = self.outcome.max_worker_share.max(most);
        let (mut up, mut wanted) = (0, 0);
        for (id, user) in &self.users.users {
            if self.should_run(id, user) {
                wanted += u64::from(self.sim.job_specs[id].tasks);
                up += running.get(id.as_str()).copied().unwrap_or(0);
            }
        }
        self.replica_samples.push((up, wanted));
    }

    /// Whether a job is a service all of whose replicas should run.
    fn should_run(&self, id: &str, user: &User) -> bool {
        let service = self.sim.job_specs[id].kind == JobKind::Service;
        let due = |at: u64| self.sim.now_ms > at + UP_AFTER_MS;
        let asked = self
            .sim
            .user_views
            .get(id)
            .is_some_and(|t| t.cancel_requested);
        service && user.accepted_ms.is_some_and(due) && !asked && !user.cancelled
    }

    /// Adds all up at the day's end.
    pub(super) fn compute_outcome(&mut self, spent: Duration) {
        self.count_jobs();
        let out = &mut self.outcome;
        (out.replica_availability, out.worst_replica_availability) =
            match self.replica_samples.iter().any(|(_, wanted)| *wanted > 0) {
                true => {
                    let worst = self
                        .replica_samples
                        .windows(WORST_S)
                        .map(share)
                        .fold(1.0, f64::min);
                    (share(&self.replica_samples), worst)
                }
                false => (1.0, 1.0),
            };
        out.no_healthy_controller_ms = self.users.no_healthy_controller_ms;
        out.killed_by_lease = self.sim.metrics.killed_by_lease;
        out.starts = self.sim.metrics.starts;
        out.tasks_done = self.sim.completed_tasks.len() as u64;
        out.stops = self.sim.metrics.stops.clone();
        out.deleted = self.sim.cloud.deleted.len() as u32;
        out.changes = self.sim.state.changes;
        out.conflicts = self.sim.state.conflicts;
        out.throttled = self.sim.service_limits.throttled;
        out.connections_refused = self.sim.service_limits.connections_refused;
        out.us_per_event =
            self.sim.metrics.event_time.as_secs_f64() * 1e6 / self.sim.metrics.events.max(1) as f64;
        out.heartbeat_kb = self.sim.metrics.heartbeat_bytes as f64 / 1024.0;
        out.seconds = spent.as_secs();
    }

    fn count_jobs(&mut self) {
        let warm = self.day.warmup_s * 1_000;
        let mut tasks_done: HashMap<&str, u64> = HashMap::new();
        for task in &self.sim.completed_tasks {
            *tasks_done.entry(task.job.as_str()).or_default() += 1;
        }
        let out = &mut self.outcome;
        for (id, user) in &self.users.users {
            let spec = &self.sim.job_specs[id];
            if user.submitted_ms < warm || is_cancelled_early(user, spec) {
                continue;
            }
            let class = &self.day.classes[user.class];
            out.submissions += 1;
            out.unanswered += user.unanswered;
            out.retry_replies += user.retry_replies;
            if let Some(at) = user.accepted_ms {
                out.time_to_acceptance.record(at - user.submitted_ms);
            }
            let ran_at = self.sim.metrics.first_run_ms.get(id);
            if let Some(at) = ran_at {
                let times = out
                    .time_to_first_task
                    .entry(class.name.clone())
                    .or_default();
                times.record(at.saturating_sub(user.submitted_ms));
            }
            let first_goal = class.objectives_s.first().map(|s| to_ms(*s));
            let fate = JobOutcome {
                ran: ran_at.is_some(),
                tasks_done: tasks_done.get(id.as_str()).copied().unwrap_or(0),
                goal: first_goal.or(spec.deadline_s.map(to_ms)),
            };
            let service = spec.kind == JobKind::Service;
            let of_class = out.classes.entry(class.name.clone());
            let of_class = &mut of_class.or_insert((service, Served::default())).1;
            let of_team = out.teams.entry(user.team.clone()).or_default();
            for served in [of_class, of_team] {
                count_job(served, user, spec, &fate);
            }
        }
    }
}
