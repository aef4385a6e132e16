//! The measured outcome of a day: work served per class and team, availability of services' replicas, and the
//! durations of failovers and starts.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// A distribution of durations in milliseconds, with two significant digits.
#[derive(Clone)]
pub struct Durations(Histogram<u32>);

impl Default for Durations {
    fn default() -> Durations {
        Durations(Histogram::new_with_bounds(1, 3_600_000, 2).expect("valid bounds"))
    }
}

/// Count and percentiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DurationSummary {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Longest.
    pub max: u64,
}

impl Serialize for Durations {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.summary().serialize(s)
    }
}

impl Durations {
    /// Records a duration in milliseconds.
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms.max(1));
    }
    /// Adds all durations of another distribution.
    pub fn merge(&mut self, other: &Durations) {
        self.0.add(&other.0).expect("the bounds are the same");
    }
    /// Returns the count and the percentiles.
    pub fn summary(&self) -> DurationSummary {
        let quantile = |share| self.0.value_at_quantile(share);
        if self.0.is_empty() {
            return DurationSummary::default();
        }
        DurationSummary {
            count: self.0.len(),
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            max: self.0.max(),
        }
    }
    /// Returns pairs of a duration in milliseconds and the share of durations up to it, for plots.
    pub fn cumulative_distribution(&self) -> Vec<(f64, f64)> {
        let total = self.0.len().max(1) as f64;
        let mut count = 0;
        let mut curve = vec![(0.0, 0.0)];
        for value in self.0.iter_recorded() {
            count += value.count_since_last_iteration();
            curve.push((value.value_iterated_to() as f64, count as f64 / total));
        }
        curve
    }
}

/// Counts of the jobs and tasks of a class or a team.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Served {
    /// Submitted jobs.
    pub jobs: u32,
    /// Accepted jobs.
    pub accepted: u32,
    /// Jobs of which a task ran.
    pub started: u32,
    /// Jobs of which users were told that they are done.
    pub done: u32,
    /// Jobs that were done within the first goal of their class.
    pub in_time: u32,
    /// Jobs that have a goal.
    #[serde(rename = "with_goal")]
    pub with_objective: u32,
    /// Tasks of these jobs.
    pub tasks: u64,
    /// Tasks that ran.
    pub tasks_started: u64,
    /// Tasks that completed.
    pub tasks_done: u64,
}

impl Served {
    fn add(&mut self, other: &Served) {
        self.jobs += other.jobs;
        self.accepted += other.accepted;
        self.started += other.started;
        self.done += other.done;
        self.in_time += other.in_time;
        self.with_objective += other.with_objective;
        self.tasks += other.tasks;
        self.tasks_started += other.tasks_started;
        self.tasks_done += other.tasks_done;
    }

    /// Returns the share of the tasks that were served: started tasks of services, completed tasks of other jobs.
    pub fn share(&self, service: bool) -> f64 {
        let (served, total) = match service {
            true => (self.tasks_started, self.tasks),
            false => (self.tasks_done, self.tasks),
        };
        match total {
            0 => 1.0,
            _ => served as f64 / total as f64,
        }
    }
}

/// The outcome of one run of a day, or the sum of several.
#[derive(Clone, Default, Serialize)]
pub struct Outcome {
    /// Number of runs.
    #[serde(rename = "plays")]
    pub runs: u32,
    /// Counts by class, and whether the class is a service.
    pub classes: BTreeMap<String, (bool, Served)>,
    /// Counts by team.
    pub teams: BTreeMap<String, Served>,
    /// Share of the expected replicas of services that were running.
    #[serde(rename = "up")]
    pub replica_availability: f64,
    /// The same in the worst 30 s.
    #[serde(rename = "up_worst")]
    pub worst_replica_availability: f64,
    /// Time from a job's submission to its acceptance.
    #[serde(rename = "submitted")]
    pub time_to_acceptance: Durations,
    /// Number of submitted jobs.
    pub submissions: u32,
    /// Number of submissions without an answer in time.
    pub unanswered: u32,
    /// Number of submissions that were told to retry later.
    #[serde(rename = "told_later")]
    pub retry_replies: u32,
    /// Milliseconds in which the load balancer had no healthy controller.
    #[serde(rename = "blind_ms")]
    pub no_healthy_controller_ms: u64,
    /// Time from a controller's failure to its detection by a peer.
    #[serde(rename = "noticed")]
    pub failure_detection: Durations,
    /// Time from a controller's failure to the next heartbeat of each of its workers.
    #[serde(rename = "heard")]
    pub worker_reconnection: Durations,
    /// Time from a controller's failure to the first start command on a worker.
    #[serde(rename = "first_claim")]
    pub first_start_after_failure: Durations,
    /// Time from a controller's failure until a peer has taken over its duties.
    #[serde(rename = "duty")]
    pub duty_takeover: Durations,
    /// Time from a process's start until it was ready.
    #[serde(rename = "ready")]
    pub time_to_ready: Durations,
    /// Time from a process's start until it accepted a job.
    #[serde(rename = "accepted")]
    pub time_to_first_acceptance: Durations,
    /// Time from a process's start until it sent a start command.
    #[serde(rename = "claimed")]
    pub time_to_first_start: Durations,
    /// Time from a job's submission to the run of its first task, by class.
    #[serde(rename = "waits")]
    pub time_to_first_task: BTreeMap<String, Durations>,
    /// Number of tasks killed because a lease expired.
    pub killed_by_lease: u32,
    /// Number of started tasks.
    pub starts: u32,
    /// Number of completed tasks.
    pub tasks_done: u64,
    /// Number of stopped tasks by reason, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    /// Number of deleted machines.
    pub deleted: u32,
    /// Number of changes in transactions.
    pub changes: u32,
    /// Number of transactions with a conflict.
    pub conflicts: u32,
    /// Number of requests refused by a rate limit.
    pub throttled: u32,
    /// Number of workers' heartbeats refused for lack of a free connection.
    #[serde(rename = "no_socket")]
    pub connections_refused: u32,
    /// Largest share of the workers that sent heartbeats to one controller.
    #[serde(rename = "crowded")]
    pub max_worker_share: f64,
    /// Microseconds of real time that a controller took per event.
    pub us_per_event: f64,
    /// Size of a heartbeat between controllers in KiB.
    #[serde(rename = "beat_kb")]
    pub heartbeat_kb: f64,
    /// Seconds of real time that the runs took.
    pub seconds: u64,
}

impl Outcome {
    /// Returns the classes and teams of which less than half was served. The day fails if there are any.
    pub fn failed(&self) -> Vec<String> {
        let classes = self.classes.iter();
        let classes = classes.filter(|(_, (service, s))| s.share(*service) < 0.5);
        let teams = self.teams.iter().filter(|(_, s)| {
            let started = s.tasks_started as f64;
            s.tasks > 0 && started / (s.tasks as f64) < 0.5
        });
        let names = classes.map(|(name, _)| format!("class {name}"));
        names
            .chain(teams.map(|(name, _)| format!("team {name}")))
            .collect()
    }

    /// Adds the outcome of other runs of the same day.
    pub fn add(&mut self, other: &Outcome) {
        self.combine_means(other);
        self.add_served(other);
        self.add_durations(other);
        self.runs += other.runs;
        self.seconds += other.seconds;
        self.submissions += other.submissions;
        self.unanswered += other.unanswered;
        self.retry_replies += other.retry_replies;
        self.no_healthy_controller_ms += other.no_healthy_controller_ms;
        self.killed_by_lease += other.killed_by_lease;
        self.starts += other.starts;
        self.tasks_done += other.tasks_done;
        for (reason, (count, ms)) in &other.stops {
            let sum = self.stops.entry(reason.clone()).or_default();
            (sum.0, sum.1) = (sum.0 + count, sum.1 + ms);
        }
        self.deleted += other.deleted;
        self.changes += other.changes;
        self.conflicts += other.conflicts;
        self.throttled += other.throttled;
        self.connections_refused += other.connections_refused;
    }

    /// Combines the values of which an outcome has the mean, the minimum or the maximum.
    fn combine_means(&mut self, other: &Outcome) {
        let (runs, other_runs) = (f64::from(self.runs), f64::from(other.runs));
        let mean = |a: f64, b: f64| (a * runs + b * other_runs) / (runs + other_runs);
        self.replica_availability = mean(self.replica_availability, other.replica_availability);
        self.worst_replica_availability = match self.runs {
            0 => other.worst_replica_availability,
            _ => self
                .worst_replica_availability
                .min(other.worst_replica_availability),
        };
        self.us_per_event = mean(self.us_per_event, other.us_per_event);
        self.heartbeat_kb = mean(self.heartbeat_kb, other.heartbeat_kb);
        self.max_worker_share = self.max_worker_share.max(other.max_worker_share);
    }

    fn add_served(&mut self, other: &Outcome) {
        for (name, (service, served)) in &other.classes {
            let entry = self.classes.entry(name.clone());
            let (_, sum) = entry.or_insert((*service, Served::default()));
            sum.add(served);
        }
        for (name, served) in &other.teams {
            self.teams.entry(name.clone()).or_default().add(served);
        }
    }

    fn add_durations(&mut self, other: &Outcome) {
        for (name, durations) in &other.time_to_first_task {
            self.time_to_first_task
                .entry(name.clone())
                .or_default()
                .merge(durations);
        }
        for (durations, others) in [
            (&mut self.time_to_acceptance, &other.time_to_acceptance),
            (&mut self.failure_detection, &other.failure_detection),
            (&mut self.worker_reconnection, &other.worker_reconnection),
            (
                &mut self.first_start_after_failure,
                &other.first_start_after_failure,
            ),
            (&mut self.duty_takeover, &other.duty_takeover),
            (&mut self.time_to_ready, &other.time_to_ready),
            (
                &mut self.time_to_first_acceptance,
                &other.time_to_first_acceptance,
            ),
            (&mut self.time_to_first_start, &other.time_to_first_start),
        ] {
            durations.merge(others);
        }
    }
}
