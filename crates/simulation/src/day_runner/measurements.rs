//! Measurements of a day: replicas of services once a second, and jobs at its end.

use super::{to_ms, DayRun};
use crate::outcome::Served;
use crate::users::User;
use glenmount_core::model::{JobKind, JobSpec, TaskPhase};
use std::collections::HashMap;
use std::time::Duration;

/// Time after a service's acceptance from which on its replicas should run.
const REPLICA_START_MS: u64 = 15_000;
/// Window of the worst replica availability, in samples of one second.
const WORST_WINDOW_S: usize = 30;
/// Time that a user may learn of a completion later than the goal, because users poll.
const GOAL_SLACK_MS: u64 = 5_000;

/// Returns the share of the expected replicas that were running.
fn availability(samples: &[(u64, u64)]) -> f64 {
    let (running, expected) = samples.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    running as f64 / expected.max(1) as f64
}

/// Returns whether the user cancels a job before it can complete. Such jobs are not counted.
fn is_cancelled_early(user: &User, spec: &JobSpec) -> bool {
    spec.kind == JobKind::Array && user.cancels()
}

/// The outcome of a job.
struct JobOutcome {
    /// Whether one of its tasks ran.
    ran: bool,
    /// Number of its completed tasks.
    tasks_done: u64,
    /// Time after its submission by which it should have completed.
    goal_ms: Option<u64>,
}

/// Adds a job to the counts of its class or team.
fn count_job(served: &mut Served, user: &User, spec: &JobSpec, outcome: &JobOutcome) {
    let is_service = spec.kind == JobKind::Service;
    served.jobs += 1;
    served.accepted += u32::from(user.accepted_ms.is_some());
    served.started += u32::from(outcome.ran);
    served.done += u32::from(user.completed_ms.is_some());
    served.tasks += u64::from(spec.tasks);
    served.tasks_done += outcome.tasks_done;
    served.tasks_started += match (is_service, outcome.ran) {
        (true, true) => u64::from(spec.tasks),
        (true, false) => 0,
        (false, ran) => outcome.tasks_done.max(u64::from(ran)),
    };
    if let Some(goal_ms) = outcome.goal_ms.filter(|_| !is_service) {
        let due_ms = user.submitted_ms + goal_ms + GOAL_SLACK_MS;
        served.with_objective += 1;
        served.in_time += u32::from(user.completed_ms.is_some_and(|at| at <= due_ms));
    }
}

impl DayRun<'_> {
    /// Samples the running and the expected replicas of services, once a second during the day.
    pub(super) fn sample_replicas(&mut self, is_during_day: bool) {
        if !self.is_measuring() || !is_during_day {
            return;
        }
        let mut running: HashMap<&str, u64> = HashMap::new();
        let mut workers_per_controller = vec![0usize; self.day.controllers];
        for worker in self.sim.workers.values() {
            workers_per_controller[worker.controller] += usize::from(worker.alive);
            for ((id, _), task) in &worker.tasks {
                if task.phase == TaskPhase::Running {
                    *running.entry(id.job.as_str()).or_default() += 1;
                }
            }
        }
        let all: usize = workers_per_controller.iter().sum();
        let max_share =
            workers_per_controller.iter().max().copied().unwrap_or(0) as f64 / all.max(1) as f64;
        self.outcome.max_worker_share = self.outcome.max_worker_share.max(max_share);
        let (mut available, mut expected) = (0, 0);
        for (id, user) in &self.users.users {
            if self.should_run(id, user) {
                expected += u64::from(self.sim.job_specs[id].tasks);
                available += running.get(id.as_str()).copied().unwrap_or(0);
            }
        }
        self.replica_samples.push((available, expected));
    }

    /// Returns whether a job is a service all of whose replicas should run.
    fn should_run(&self, id: &str, user: &User) -> bool {
        let is_service = self.sim.job_specs[id].kind == JobKind::Service;
        let is_started = |at: u64| self.sim.now_ms > at + REPLICA_START_MS;
        let cancel_requested = self
            .sim
            .user_views
            .get(id)
            .is_some_and(|view| view.cancel_requested);
        is_service
            && user.accepted_ms.is_some_and(is_started)
            && !cancel_requested
            && !user.cancelled
    }

    /// Computes the outcome at the day's end.
    pub(super) fn compute_outcome(&mut self, real_time: Duration) {
        self.count_jobs();
        let outcome = &mut self.outcome;
        (
            outcome.replica_availability,
            outcome.worst_replica_availability,
        ) = match self
            .replica_samples
            .iter()
            .any(|(_, expected)| *expected > 0)
        {
            true => {
                let worst = self
                    .replica_samples
                    .windows(WORST_WINDOW_S)
                    .map(availability)
                    .fold(1.0, f64::min);
                (availability(&self.replica_samples), worst)
            }
            false => (1.0, 1.0),
        };
        outcome.no_healthy_controller_ms = self.users.no_healthy_controller_ms;
        outcome.killed_by_lease = self.sim.metrics.killed_by_lease;
        outcome.starts = self.sim.metrics.starts;
        outcome.tasks_done = self.sim.completed_tasks.len() as u64;
        outcome.stops = self.sim.metrics.stops.clone();
        outcome.deleted = self.sim.cloud.deleted.len() as u32;
        outcome.changes = self.sim.state.changes;
        outcome.conflicts = self.sim.state.conflicts;
        outcome.throttled = self.sim.service_limits.throttled;
        outcome.connections_refused = self.sim.service_limits.connections_refused;
        outcome.us_per_event =
            self.sim.metrics.event_time.as_secs_f64() * 1e6 / self.sim.metrics.events.max(1) as f64;
        outcome.heartbeat_kb = self.sim.metrics.heartbeat_bytes as f64 / 1024.0;
        outcome.seconds = real_time.as_secs();
    }

    /// Counts the jobs submitted after the warm-up, and records their times.
    fn count_jobs(&mut self) {
        let warmup_ms = self.day.warmup_s * 1_000;
        let mut tasks_done: HashMap<&str, u64> = HashMap::new();
        for task in &self.sim.completed_tasks {
            *tasks_done.entry(task.job.as_str()).or_default() += 1;
        }
        let outcome = &mut self.outcome;
        for (id, user) in &self.users.users {
            let spec = &self.sim.job_specs[id];
            if user.submitted_ms < warmup_ms || is_cancelled_early(user, spec) {
                continue;
            }
            let class = &self.day.classes[user.class];
            outcome.submissions += 1;
            outcome.unanswered += user.unanswered;
            outcome.retry_replies += user.retry_replies;
            if let Some(accepted_ms) = user.accepted_ms {
                outcome
                    .time_to_acceptance
                    .record(accepted_ms - user.submitted_ms);
            }
            let first_run_ms = self.sim.metrics.first_run_ms.get(id);
            if let Some(first_run_ms) = first_run_ms {
                let durations = outcome
                    .time_to_first_task
                    .entry(class.name.clone())
                    .or_default();
                durations.record(first_run_ms.saturating_sub(user.submitted_ms));
            }
            let first_goal_ms = class.objectives_s.first().map(|seconds| to_ms(*seconds));
            let job_outcome = JobOutcome {
                ran: first_run_ms.is_some(),
                tasks_done: tasks_done.get(id.as_str()).copied().unwrap_or(0),
                goal_ms: first_goal_ms.or(spec.deadline_s.map(to_ms)),
            };
            let is_service = spec.kind == JobKind::Service;
            let class_entry = outcome.classes.entry(class.name.clone());
            let class_served = &mut class_entry.or_insert((is_service, Served::default())).1;
            let team_served = outcome.teams.entry(user.team.clone()).or_default();
            for served in [class_served, team_served] {
                count_job(served, user, spec, &job_outcome);
            }
        }
    }
}
