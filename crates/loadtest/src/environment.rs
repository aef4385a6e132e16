//! What all stand-ins share: clock, network, jobs, rules and counters.

use crate::invariants::{Place, Rules};
use crate::measurement::counters::{NamedCounters, PerSecond, Timed, Times, TrafficCounters};
use crate::network::partitions::{lock, Network};
use crate::plan::Plan;
use crate::stand_ins::hollow_worker::Change;
use crate::users::job_registry::{Jobs, StartOf};
use rand::distributions::uniform::{SampleRange, SampleUniform};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Mutex;
use tokio::time::Instant;

/// Shared by everything that one run plays.
pub struct World {
    pub plan: Plan,
    begun: Instant,
    random: Mutex<SmallRng>,
    pub network: Network,
    pub jobs: Jobs,
    pub rules: Mutex<Rules>,
    pub traffic: TrafficCounters,
    pub times: Times,
    /// Transactions by the kinds of records that they change, and how they ended.
    pub transactions: NamedCounters,
    /// Puts and removals by kind of record.
    pub changes: NamedCounters,
    /// Answers to users that were neither of the expected ones.
    pub user_answers: NamedCounters,
    pub started: PerSecond,
    pub asked: PerSecond,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let seconds = (plan.warm_up_s + plan.seconds + plan.settle_s).ceil() as usize + 60;
        World {
            rules: Mutex::new(Rules::new(plan.workers.cancel_s, plan.teams.cpus_max)),
            begun: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            network: Network::default(),
            jobs: Jobs::default(),
            traffic: TrafficCounters::default(),
            times: Times::default(),
            transactions: NamedCounters::default(),
            changes: NamedCounters::default(),
            user_answers: NamedCounters::default(),
            started: PerSecond::new(seconds),
            asked: PerSecond::new(seconds),
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

    pub fn instant(&self, at_ms: u64) -> Instant {
        self.begun + std::time::Duration::from_millis(at_ms)
    }

    /// Takes note of what happened on a machine; its lock is held, so that the order is right.
    pub fn happened(&self, place: &Place, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut rules = lock(&self.rules);
        for change in changes {
            match change {
                Change::Started(task) => {
                    rules.started(&task, place, now_ms);
                    self.started.add(now_ms, 1);
                    if let Some(job) = self.jobs.get(&task.job) {
                        let urgent = job.submission.rank.is_urgent();
                        let (what, since_ms) = match (job.started(task.index), urgent) {
                            (StartOf::First { since_ms }, true) => (Timed::UrgentStart, since_ms),
                            (StartOf::First { since_ms }, _) => (Timed::StandardStart, since_ms),
                            (StartOf::Again { since_ms }, true) => (Timed::UrgentRestart, since_ms),
                            (StartOf::Again { since_ms }, _) => (Timed::StandardRestart, since_ms),
                        };
                        self.times.record(what, now_ms.saturating_sub(since_ms));
                    }
                }
                Change::Ended {
                    task,
                    completed,
                    at_ms,
                } => {
                    rules.ended(&task, &place.machine, completed);
                    let (job, index) = (&task.job, task.index);
                    self.jobs.task_ended(job, index, completed, at_ms);
                }
                Change::Recorded { ended_ms, .. } => {
                    let took = now_ms.saturating_sub(ended_ms);
                    self.times.record(Timed::ResultRecorded, took);
                }
            }
        }
    }
}
