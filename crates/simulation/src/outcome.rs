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
    pub count: u64,
    pub p50: u64,
    pub p90: u64,
    pub p99: u64,
    pub max: u64,
}

impl Serialize for Durations {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.spread().serialize(s)
    }
}

impl Durations {
    pub fn note(&mut self, ms: u64) {
        self.0.saturating_record(ms.max(1));
    }
    pub fn add(&mut self, other: &Durations) {
        self.0.add(&other.0).expect("the bounds are the same");
    }
    pub fn spread(&self) -> DurationSummary {
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
    pub fn curve(&self) -> Vec<(f64, f64)> {
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
    pub jobs: u32,
    pub accepted: u32,
    /// A task of it ran.
    pub started: u32,
    pub done: u32,
    /// Done within the first of its goals, of those that have one.
    pub in_time: u32,
    pub with_goal: u32,
    pub tasks: u64,
    pub tasks_started: u64,
    pub tasks_done: u64,
}

impl Served {
    fn add(&mut self, other: &Served) {
        self.jobs += other.jobs;
        self.accepted += other.accepted;
        self.started += other.started;
        self.done += other.done;
        self.in_time += other.in_time;
        self.with_goal += other.with_goal;
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
    pub plays: u32,
    pub classes: BTreeMap<String, (bool, Served)>,
    pub teams: BTreeMap<String, Served>,
    /// Replicas of services that ran, of those that should have; and in the worst 30 s.
    pub up: f64,
    pub up_worst: f64,
    pub submitted: Durations,
    pub submissions: u32,
    pub unanswered: u32,
    pub told_later: u32,
    /// Milliseconds in which the balancer had no healthy controller.
    pub blind_ms: u64,
    // From a controller's end
    pub noticed: Durations,
    pub heard: Durations,
    pub first_claim: Durations,
    pub duty: Durations,
    // From a process's start
    pub ready: Durations,
    pub accepted: Durations,
    pub claimed: Durations,
    /// From a job's submission to its first task, per class.
    pub waits: BTreeMap<String, Durations>,
    pub killed_by_lease: u32,
    pub starts: u32,
    pub tasks_done: u64,
    /// Tasks that were stopped by reason, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    pub deleted: u32,
    pub changes: u32,
    pub conflicts: u32,
    pub throttled: u32,
    pub no_socket: u32,
    /// Most workers that one controller had, of all.
    pub crowded: f64,
    pub us_per_event: f64,
    pub beat_kb: f64,
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
        self.told_later += other.told_later;
        self.blind_ms += other.blind_ms;
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
        self.no_socket += other.no_socket;
    }

    /// Figures of which the mean, the least or the most is told.
    fn add_means(&mut self, other: &Outcome) {
        let (n, m) = (f64::from(self.plays), f64::from(other.plays));
        let mean = |a: f64, b: f64| (a * n + b * m) / (n + m);
        self.up = mean(self.up, other.up);
        self.up_worst = match self.plays {
            0 => other.up_worst,
            _ => self.up_worst.min(other.up_worst),
        };
        self.us_per_event = mean(self.us_per_event, other.us_per_event);
        self.beat_kb = mean(self.beat_kb, other.beat_kb);
        self.crowded = self.crowded.max(other.crowded);
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
        for (name, times) in &other.waits {
            self.waits.entry(name.clone()).or_default().add(times);
        }
        for (a, b) in [
            (&mut self.submitted, &other.submitted),
            (&mut self.noticed, &other.noticed),
            (&mut self.heard, &other.heard),
            (&mut self.first_claim, &other.first_claim),
            (&mut self.duty, &other.duty),
            (&mut self.ready, &other.ready),
            (&mut self.accepted, &other.accepted),
            (&mut self.claimed, &other.claimed),
        ] {
            a.add(b);
        }
    }
}
