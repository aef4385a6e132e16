//! Job arrivals: generates the jobs of a plan's classes at their times, and a user for each job.

use super::connections::Connector;
use super::load_balancer::LoadBalancer;
use super::user::{User, POLL_TIMEOUT};
use crate::environment::Environment;
use crate::network::http::OutgoingRequest;
use crate::plan::JobClass;
use crate::processes::controllers::Controllers;
use crate::processes::settings::team_name;
use crate::protocol::jobs::{poll_path, JobStatus, Submission};
use crate::sync::lock;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Range of the delay between the acceptance of a job and its cancellation.
const CANCELLATION_DELAY_MS: Range<u64> = 500..15_000;
/// Interval between two polls of jobs that no user has submitted.
const UNKNOWN_JOB_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the warm-up, from its start, in which the initial jobs are submitted.
const INITIAL_JOBS_WARM_UP_SHARE: f64 = 0.4;
/// Range of the run times of a class's jobs, relative to the class's run time.
const RUN_TIME_FACTORS: Range<f64> = 0.7..1.3;
/// Range of the random number whose logarithm gives the time between two arrivals; it excludes 0, which has
/// no logarithm.
const INTERARRIVAL_RANDOM: Range<f64> = 1e-9..1.0;
/// Distance between the seed ranges of plans with consecutive seeds, so that no class of one plan has the
/// seed of a class of another.
const SEEDS_PER_PLAN: u64 = 1_000;

/// Generates jobs and starts their users.
pub struct JobArrivals {
    environment: Arc<Environment>,
    connector: Arc<Connector>,
    next_job: AtomicU64,
}

impl JobArrivals {
    /// Starts the arrivals of all classes, which end when the run's runtime is shut down.
    pub fn start(
        environment: Arc<Environment>,
        balancer: Arc<LoadBalancer>,
        controllers: Arc<Controllers>,
    ) {
        let connector = Connector::new(environment.clone(), balancer, controllers);
        let arrivals = Arc::new(JobArrivals {
            connector: Arc::new(connector),
            next_job: AtomicU64::new(1),
            environment,
        });
        let plan = &arrivals.environment.plan;
        for (index, class) in plan.jobs.iter().enumerate() {
            let plan_seed = plan.seed.wrapping_mul(SEEDS_PER_PLAN);
            let random = SmallRng::seed_from_u64(plan_seed.wrapping_add(index as u64));
            tokio::spawn(arrivals.clone().submit_class(class.clone(), random));
        }
        tokio::spawn(arrivals.clone().poll_unknown_jobs());
    }

    /// Submits the jobs of one class at their times.
    async fn submit_class(self: Arc<Self>, class: JobClass, mut random: SmallRng) {
        let plan = &self.environment.plan;
        let initial_s = plan.warm_up_s * INITIAL_JOBS_WARM_UP_SHARE;
        for index in 0..class.initial {
            let at_s = initial_s * f64::from(index) / f64::from(class.initial);
            self.sleep_until(at_s).await;
            self.submit(&class, &mut random);
        }
        if class.jobs_per_s == 0.0 {
            return;
        }
        let until_s = plan.warm_up_s + class.until_s.unwrap_or(plan.seconds);
        let mut at_s = plan.warm_up_s + class.from_s;
        loop {
            // Times between the arrivals of a Poisson process are exponentially distributed.
            at_s += -random.gen_range(INTERARRIVAL_RANDOM).ln() / class.jobs_per_s;
            if at_s > until_s {
                return;
            }
            self.sleep_until(at_s).await;
            self.submit(&class, &mut random);
        }
    }

    async fn sleep_until(&self, at_s: f64) {
        sleep_until(self.environment.instant_at((at_s * 1_000.0) as u64)).await;
    }

    fn submit(&self, class: &JobClass, random: &mut SmallRng) {
        let id = format!("j-{:06}", self.next_job.fetch_add(1, Relaxed));
        let submission = Arc::new(self.submission(id.into(), class, random));
        let environment = &self.environment;
        let now_ms = environment.now_ms();
        let run_ms = class.run_s * random.gen_range(RUN_TIME_FACTORS) * 1_000.0;
        let job = environment
            .jobs
            .add(submission.clone(), run_ms as u64, now_ms);
        lock(&environment.invariants).job_submitted(submission.clone(), now_ms);
        let tasks = u64::from(submission.task_count);
        environment.tasks_submitted.add(now_ms, tasks);
        let is_cancelled = random.gen_bool(class.cancelled_share);
        let cancel_after_ms = is_cancelled.then(|| random.gen_range(CANCELLATION_DELAY_MS));
        let user = User::new(environment.clone(), self.connector.clone(), job);
        // The task ends when the user has learned the job's final status, at the latest with the run.
        tokio::spawn(user.run(cancel_after_ms));
    }

    fn submission(&self, id: Arc<str>, class: &JobClass, random: &mut SmallRng) -> Submission {
        let plan = &self.environment.plan;
        let [min_tasks, max_tasks] = class.task_range;
        let size_ratio = f64::from(max_tasks) / f64::from(min_tasks);
        let task_count = f64::from(min_tasks) * size_ratio.powf(random.gen_range(0.0..=1.0));
        let zones = plan.zones();
        let is_zone_bound = random.gen_bool(class.zone_bound_share);
        let zone = zones[random.gen_range(0..zones.len())].name.to_string();
        Submission {
            id,
            class: class.name.clone(),
            team: team_name(random.gen_range(0..plan.teams.count)),
            shape: class.shape,
            priority: class.priority,
            task_count: (task_count.round() as u32).clamp(min_tasks, max_tasks),
            vcpus: class.cpus,
            accelerators: 0.0,
            ram_gb: class.ram_gb,
            image: format!("{}-{}", class.name, random.gen_range(0..class.image_count)),
            image_gb: class.image_gb,
            machine_types: None,
            zone: is_zone_bound.then_some(zone),
            zone_affinity: false,
            topology_spread: class.topology_spread && !is_zone_bound,
            spot: class.spot,
            expected_run_s: class.run_s,
            checkpoint_interval_s: 0.0,
            checkpoint_write_s: 0.0,
            deadline_s: class.deadline_s,
        }
    }

    /// Polls jobs that no user has submitted; an answer of 200 violates an invariant.
    async fn poll_unknown_jobs(self: Arc<Self>) {
        for index in 1_u64.. {
            sleep(UNKNOWN_JOB_POLL_INTERVAL).await;
            let id = format!("j-9{index:05}");
            let Some(mut connection) = self.connector.connect().await else {
                continue;
            };
            let request = OutgoingRequest {
                method: Method::GET,
                path: &poll_path(&id),
                body: Vec::new(),
                timeout: POLL_TIMEOUT,
            };
            let reply = connection.client.call(request).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                let now_ms = self.environment.now_ms();
                let mut invariants = lock(&self.environment.invariants);
                invariants.job_status_answered(&id, JobStatus::Pending, now_ms, now_ms);
            }
        }
    }
}
