//! What a played day is measured by: what was served per class and team, services' replicas, and
//! how long each failover and each start took.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Milliseconds, told apart to a hundredth.
#[derive(Clone)]
pub struct Durations(Histogram<u32>);

impl Default for Durations {
    fn default() -> Durations {
        Durations(Histogram::new_with_bounds(1, 3_600_000, 2).expect("the bounds are fixed"))
    }
}

/// What of them is written down, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DurationSummary {
    /// How many.
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
    /// Adds one, in milliseconds.
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms.max(1));
    }
    /// Adds all of another distribution.
    pub fn merge(&mut self, other: &Durations) {
        self.0.add(&other.0).expect("the bounds are the same");
    }
    /// Count and percentiles.
    pub fn summary(&self) -> DurationSummary {
        let at = |q| self.0.value_at_quantile(q);
        if self.0.is_empty() {
            return DurationSummary::default();
        }
        DurationSummary {
            count: self.0.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: self.0.max(),
        }
    }
    /// Pairs of milliseconds and the share that took no longer, for plots.
    pub fn cumulative_distribution(&self) -> Vec<(f64, f64)> {
        let all = self.0.len().max(1) as f64;
        let mut sum = 0;
        let mut curve = vec![(0.0, 0.0)];
        for v in self.0.iter_recorded() {
            sum += v.count_since_last_iteration();
            curve.push((v.value_iterated_to() as f64, sum as f64 / all));
        }
        curve
    }
}

/// Of a class, or a team.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Served {
    /// Jobs submitted.
    pub jobs: u32,
    /// Jobs accepted.
    pub accepted: u32,
    /// A task of it ran.
    pub started: u32,
    /// Jobs that users were told to be done.
    pub done: u32,
    /// Done within the first of its goals, of those that have one.
    pub in_time: u32,
    /// Jobs that have an objective.
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

    /// The share that was served: of services those started, of others those done.
    pub fn share(&self, service: bool) -> f64 {
        let (n, of) = match service {
            true => (self.tasks_started, self.tasks),
            false => (self.tasks_done, self.tasks),
        };
        match of {
            0 => 1.0,
            _ => n as f64 / of as f64,
        }
    }
}

/// A day that was played, or several of the same kind added up.
#[derive(Clone, Default, Serialize)]
pub struct Outcome {
    /// Runs that are added up.
    pub plays: u32,
    /// By class: whether it is a service, and what was served.
    pub classes: BTreeMap<String, (bool, Served)>,
    /// What was served by team.
    pub teams: BTreeMap<String, Served>,
    /// Replicas of services that ran, of those that should have; and in the worst 30 s.
    #[serde(rename = "up")]
    pub replica_availability: f64,
    /// The same in the worst 30 s.
    #[serde(rename = "up_worst")]
    pub worst_replica_availability: f64,
    /// From a submission to its acceptance.
    #[serde(rename = "submitted")]
    pub time_to_acceptance: Durations,
    /// Jobs that were counted.
    pub submissions: u32,
    /// Submissions without an answer in time.
    pub unanswered: u32,
    /// Submissions that were told to retry later.
    #[serde(rename = "told_later")]
    pub retry_replies: u32,
    /// Milliseconds in which the balancer had no healthy controller.
    #[serde(rename = "blind_ms")]
    pub no_healthy_controller_ms: u64,
    // From a controller's end
    /// From a controller's failure to its detection by a peer.
    #[serde(rename = "noticed")]
    pub failure_detection: Durations,
    /// From a controller's failure to the next heartbeat of each of its workers.
    #[serde(rename = "heard")]
    pub worker_reconnection: Durations,
    /// From a controller's failure to the first start on one of its workers.
    #[serde(rename = "first_claim")]
    pub first_start_after_failure: Durations,
    /// From a controller's failure until a peer has taken over its duties.
    #[serde(rename = "duty")]
    pub duty_takeover: Durations,
    // From a process's start
    /// From a process's start until it was ready.
    #[serde(rename = "ready")]
    pub time_to_ready: Durations,
    /// From a process's start until it accepted a job.
    #[serde(rename = "accepted")]
    pub time_to_first_acceptance: Durations,
    /// From a process's start until it sent a start.
    #[serde(rename = "claimed")]
    pub time_to_first_start: Durations,
    /// From a job's submission to its first task, per class.
    #[serde(rename = "waits")]
    pub time_to_first_task: BTreeMap<String, Durations>,
    /// Tasks that ended because a lease expired.
    pub killed_by_lease: u32,
    /// Tasks that were started.
    pub starts: u32,
    /// Tasks that completed.
    pub tasks_done: u64,
    /// Tasks that were stopped by reason, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    /// Machines that were deleted.
    pub deleted: u32,
    /// Changes in transactions.
    pub changes: u32,
    /// Transactions of which a condition did not hold.
    pub conflicts: u32,
    /// Requests beyond a rate limit.
    pub throttled: u32,
    /// Heartbeats that found no free connection.
    #[serde(rename = "no_socket")]
    pub connections_refused: u32,
    /// Most workers that one controller had, of all.
    #[serde(rename = "crowded")]
    pub max_worker_share: f64,
    /// Microseconds of real time per event of a controller.
    pub us_per_event: f64,
    /// KiB of a heartbeat between controllers.
    #[serde(rename = "beat_kb")]
    pub heartbeat_kb: f64,
    /// Seconds of real time.
    pub seconds: u64,
}

impl Outcome {
    /// Classes and teams of which less than half was served: they fail the day.
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

    /// Another play of the same day.
    pub fn add(&mut self, other: &Outcome) {
        self.add_means(other);
        self.add_served(other);
        self.add_times(other);
        self.plays += other.plays;
        self.seconds += other.seconds;
        self.submissions += other.submissions;
        self.unanswered += other.unanswered;
        self.retry_replies += other.retry_replies;
        self.no_healthy_controller_ms += other.no_healthy_controller_ms;
        self.killed_by_lease += other.killed_by_lease;
        self.starts += other.starts;
        self.tasks_done += other.tasks_done;
        for (why, (count, ms)) in &other.stops {
            let sum = self.stops.entry(why.clone()).or_default();
            (sum.0, sum.1) = (sum.0 + count, sum.1 + ms);
        }
        self.deleted += other.deleted;
        self.changes += other.changes;
        self.conflicts += other.conflicts;
        self.throttled += other.throttled;
        self.connections_refused += other.connections_refused;
    }

    /// Figures of which the mean, the least or the most is told.
    fn add_means(&mut self, other: &Outcome) {
        let (n, m) = (f64::from(self.plays), f64::from(other.plays));
        let mean = |a: f64, b: f64| (a * n + b * m) / (n + m);
        self.replica_availability = mean(self.replica_availability, other.replica_availability);
        self.worst_replica_availability = match self.plays {
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
            let of_class = self.classes.entry(name.clone());
            let of_class = of_class.or_insert((*service, Served::default()));
            of_class.1.add(served);
        }
        for (name, served) in &other.teams {
            self.teams.entry(name.clone()).or_default().add(served);
        }
    }

    fn add_times(&mut self, other: &Outcome) {
        for (name, times) in &other.time_to_first_task {
            self.time_to_first_task
                .entry(name.clone())
                .or_default()
                .merge(times);
        }
        for (a, b) in [
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
            a.merge(b);
        }
    }
}
