//! State that all stand-ins of a run share: clock, random numbers, network, jobs, invariants and counters.

use crate::invariants::{InvariantChecker, Placement};
use crate::job_registry::{JobRegistry, TaskStart};
use crate::measurement::counters::{NamedCounters, PerSecondCounter};
use crate::measurement::latencies::{Latencies, LatencyKind};
use crate::measurement::traffic::TrafficCounters;
use crate::network::partitions::Network;
use crate::plan::Plan;
use crate::protocol::jobs::TaskId;
use crate::stand_ins::hollow_worker::WorkerEvent;
use crate::sync::lock;
use rand::distributions::uniform::{SampleRange, SampleUniform};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::AtomicU64;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds after the planned end of a run that the counters per second still cover.
const EXTRA_COUNTED_S: usize = 60;

/// The state that all parts of one run share.
pub struct Environment {
    /// Plan of the run.
    pub plan: Plan,
    started: Instant,
    random: Mutex<SmallRng>,
    /// Network with its partitions.
    pub network: Network,
    /// Jobs that users have submitted.
    pub jobs: JobRegistry,
    /// Checker of the events of workers and the answers to users.
    pub invariants: Mutex<InvariantChecker>,
    /// Counters of exchanges by kind.
    pub traffic: TrafficCounters,
    /// Latencies by kind.
    pub latencies: Latencies,
    /// Counters of transactions by the kinds of records that they change and their outcome.
    pub transactions: NamedCounters,
    /// Counters of puts and removals by kind of record and the transaction's outcome.
    pub record_changes: NamedCounters,
    /// Counters of answers to users other than 200 and 201, and of missing answers.
    pub unexpected_answers: NamedCounters,
    /// Counters of direct commands, their copies and answered heartbeats, by outcome.
    pub worker_messages: NamedCounters,
    /// Size of the largest heartbeat of a worker, in bytes.
    pub largest_heartbeat_bytes: AtomicU64,
    /// Number of task starts by second of the run.
    pub tasks_started: PerSecondCounter,
    /// Number of submitted tasks by second of the run.
    pub tasks_submitted: PerSecondCounter,
}

impl Environment {
    /// Creates the environment of a run that begins now.
    pub fn new(plan: Plan) -> Environment {
        let seconds = (plan.warm_up_s + plan.seconds + plan.settle_s).ceil() as usize;
        let seconds = seconds + EXTRA_COUNTED_S;
        let cancel_within_s = plan.workers.cancel_within_s;
        let checker = InvariantChecker::new(cancel_within_s, plan.teams.cpu_limit);
        Environment {
            invariants: Mutex::new(checker),
            started: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            network: Network::default(),
            jobs: JobRegistry::default(),
            traffic: TrafficCounters::default(),
            latencies: Latencies::default(),
            transactions: NamedCounters::default(),
            record_changes: NamedCounters::default(),
            unexpected_answers: NamedCounters::default(),
            worker_messages: NamedCounters::default(),
            largest_heartbeat_bytes: AtomicU64::new(0),
            tasks_started: PerSecondCounter::new(seconds),
            tasks_submitted: PerSecondCounter::new(seconds),
            plan,
        }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the instant `at_ms` milliseconds after the start of the run.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.started + Duration::from_millis(at_ms)
    }

    /// Draws a random number from a range.
    pub fn draw<T: SampleUniform>(&self, range: impl SampleRange<T>) -> T {
        lock(&self.random).gen_range(range)
    }

    /// Calls a function with the random number generator and returns its result.
    pub fn with_random<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut lock(&self.random))
    }

    /// Records the events of a worker. The caller holds the worker's lock, so that the events of one worker
    /// are recorded in order.
    pub fn record_worker_events(&self, placement: &Placement, events: Vec<WorkerEvent>) {
        if events.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut invariants = lock(&self.invariants);
        for event in events {
            match event {
                WorkerEvent::TaskStarted(task) => {
                    invariants.task_started(&task, placement, now_ms);
                    self.record_start(&task, now_ms);
                }
                WorkerEvent::AttemptRestarted { task, attempt } => {
                    invariants.attempt_restarted(&task, attempt, &placement.worker, now_ms);
                }
                WorkerEvent::TaskEnded {
                    task,
                    completed,
                    at_ms,
                } => {
                    invariants.task_ended(&task, &placement.worker, completed);
                    self.jobs.task_ended(&task, completed, at_ms);
                }
                WorkerEvent::ResultRecorded { ended_ms, .. } => {
                    let latency_ms = now_ms.saturating_sub(ended_ms);
                    self.latencies
                        .record(LatencyKind::ResultRecorded, latency_ms);
                }
            }
        }
    }

    fn record_start(&self, task: &TaskId, now_ms: u64) {
        self.tasks_started.add(now_ms, 1);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let is_urgent = job.submission.priority.is_urgent();
        let (kind, since_ms) = match (job.task_started(task.index), is_urgent) {
            (TaskStart::First { since_ms }, true) => (LatencyKind::UrgentStart, since_ms),
            (TaskStart::First { since_ms }, false) => (LatencyKind::StandardStart, since_ms),
            (TaskStart::Restart { since_ms }, true) => (LatencyKind::UrgentRestart, since_ms),
            (TaskStart::Restart { since_ms }, false) => (LatencyKind::StandardRestart, since_ms),
        };
        self.latencies.record(kind, now_ms.saturating_sub(since_ms));
    }
}
