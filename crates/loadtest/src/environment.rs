//! What all stand-ins share: clock, network, jobs, rules and counters.

use crate::invariants::{InvariantChecker, Placement};
use crate::measurement::counters::{
    Latencies, LatencyKind, NamedCounters, PerSecondCounter, TrafficCounters,
};
use crate::network::partitions::{lock, Network};
use crate::plan::Plan;
use crate::stand_ins::hollow_worker::WorkerEvent;
use crate::users::job_registry::{JobRegistry, StartKind};
use rand::distributions::uniform::{SampleRange, SampleUniform};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Mutex;
use tokio::time::Instant;

/// Shared by everything that one run plays.
pub struct Environment {
    pub plan: Plan,
    begun: Instant,
    random: Mutex<SmallRng>,
    pub network: Network,
    pub jobs: JobRegistry,
    pub invariants: Mutex<InvariantChecker>,
    pub traffic: TrafficCounters,
    pub latencies: Latencies,
    /// Transactions by the kinds of records that they change, and how they ended.
    pub transactions: NamedCounters,
    /// Puts and removals by kind of record.
    pub record_changes: NamedCounters,
    /// Answers to users that were neither of the expected ones.
    pub unexpected_answers: NamedCounters,
    pub tasks_started: PerSecondCounter,
    pub tasks_submitted: PerSecondCounter,
}

impl Environment {
    pub fn new(plan: Plan) -> Environment {
        let seconds = (plan.warm_up_s + plan.seconds + plan.settle_s).ceil() as usize + 60;
        Environment {
            invariants: Mutex::new(InvariantChecker::new(
                plan.workers.cancel_s,
                plan.teams.cpus_max,
            )),
            begun: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            network: Network::default(),
            jobs: JobRegistry::default(),
            traffic: TrafficCounters::default(),
            latencies: Latencies::default(),
            transactions: NamedCounters::default(),
            record_changes: NamedCounters::default(),
            unexpected_answers: NamedCounters::default(),
            tasks_started: PerSecondCounter::new(seconds),
            tasks_submitted: PerSecondCounter::new(seconds),
            plan,
        }
    }

    /// Milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// A number drawn from a range.
    pub fn draw<T: SampleUniform>(&self, range: impl SampleRange<T>) -> T {
        lock(&self.random).gen_range(range)
    }

    /// Something that needs the source of random numbers itself.
    pub fn with_random<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut lock(&self.random))
    }

    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.begun + std::time::Duration::from_millis(at_ms)
    }

    /// Takes note of what happened on a machine; its lock is held, so that the order is right.
    pub fn record_worker_events(&self, place: &Placement, events: Vec<WorkerEvent>) {
        if events.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut invariants = lock(&self.invariants);
        for event in events {
            match event {
                WorkerEvent::TaskStarted(task) => {
                    invariants.task_started(&task, place, now_ms);
                    self.tasks_started.add(now_ms, 1);
                    if let Some(job) = self.jobs.get(&task.job) {
                        let urgent = job.submission.priority.is_urgent();
                        let (what, since_ms) = match (job.started(task.index), urgent) {
                            (StartKind::First { since_ms }, true) => {
                                (LatencyKind::UrgentStart, since_ms)
                            }
                            (StartKind::First { since_ms }, _) => {
                                (LatencyKind::StandardStart, since_ms)
                            }
                            (StartKind::Again { since_ms }, true) => {
                                (LatencyKind::UrgentRestart, since_ms)
                            }
                            (StartKind::Again { since_ms }, _) => {
                                (LatencyKind::StandardRestart, since_ms)
                            }
                        };
                        self.latencies.record(what, now_ms.saturating_sub(since_ms));
                    }
                }
                WorkerEvent::TaskEnded {
                    task,
                    completed,
                    at_ms,
                } => {
                    invariants.task_ended(&task, &place.machine, completed);
                    let (job, index) = (&task.job, task.index);
                    self.jobs.task_ended(job, index, completed, at_ms);
                }
                WorkerEvent::ResultRecorded { ended_ms, .. } => {
                    let took = now_ms.saturating_sub(ended_ms);
                    self.latencies.record(LatencyKind::ResultRecorded, took);
                }
            }
        }
    }
}
