//! Users: submit jobs, ask how they stand, call some off, and check what they are told.

pub mod job_registry;
pub mod load_balancer;
pub mod operator;

use crate::environment::Environment;
use crate::measurement::counters::{ExchangeKind, LatencyKind};
use crate::network::http::{Client, Reply};
use crate::network::partitions::{lock, Site};
use crate::plan::JobClass;
use crate::processes::controllers::{team_name, Controllers};
use crate::protocol::{JobStatus, JobStatusAnswer, Submission};
use crate::users::job_registry::Job;
use crate::users::load_balancer::{ConnectionSlot, LoadBalancer};
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// How long users wait for an answer to a submission or a cancellation, and to a question, by protocol.
const SUBMIT_WITHIN: Duration = Duration::from_secs(5);
const POLL_WITHIN: Duration = Duration::from_secs(2);
/// Least and most wait before a retry, and the time after which a user gives up, by protocol.
const RETRY_S: u64 = 1;
const MOST_RETRY_S: u64 = 30;
const GIVE_UP_MS: u64 = 60_000;
/// Between two questions, by protocol.
const POLL: Duration = Duration::from_secs(5);
/// A user asks once more after the final answer.
const ASKED_AGAIN: Duration = Duration::from_secs(7);
/// A connection that is not taken up in this time is tried at another controller, by protocol.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const CONTROLLERS_TRIED: usize = 3;
/// When jobs are called off, after their acceptance.
const CANCELLED_AFTER_MS: std::ops::Range<u64> = 500..15_000;
/// Between two questions about jobs that nobody has submitted.
const ODD_QUESTION: Duration = Duration::from_secs(1);
/// The first jobs are submitted within this part of the warm-up.
const FIRST_JOBS_PART: f64 = 0.4;

/// Makes jobs of a plan's classes and plays their users.
pub struct Users {
    environment: Arc<Environment>,
    balancer: Arc<LoadBalancer>,
    controllers: Arc<Controllers>,
    next: AtomicU64,
}

impl Users {
    pub fn start(
        environment: Arc<Environment>,
        balancer: Arc<LoadBalancer>,
        controllers: Arc<Controllers>,
    ) -> Arc<Users> {
        let users = Arc::new(Users {
            balancer,
            controllers,
            next: AtomicU64::new(1),
            environment,
        });
        for (n, class) in users.environment.plan.jobs.iter().enumerate() {
            let seed = users
                .environment
                .plan
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(n as u64);
            let random = SmallRng::seed_from_u64(seed);
            tokio::spawn(users.clone().arrivals(class.clone(), random));
        }
        tokio::spawn(users.clone().odd_questions());
        users
    }

    /// Submits the jobs of one class when they are due.
    async fn arrivals(self: Arc<Self>, class: JobClass, mut random: SmallRng) {
        let plan = &self.environment.plan;
        let (warm_up_s, seconds) = (plan.warm_up_s, plan.seconds);
        let first = warm_up_s * FIRST_JOBS_PART;
        for n in 0..class.initial {
            let at_s = first * f64::from(n) / f64::from(class.initial);
            sleep_until(self.environment.instant_at((at_s * 1_000.0) as u64)).await;
            self.submit(&class, &mut random);
        }
        if class.rate == 0.0 {
            return;
        }
        let until_s = warm_up_s + class.until_s.unwrap_or(seconds);
        let mut at_s = warm_up_s + class.from_s;
        loop {
            let gap: f64 = random.gen_range(1e-9..1.0_f64);
            at_s += -gap.ln() / class.rate;
            if at_s > until_s {
                return;
            }
            sleep_until(self.environment.instant_at((at_s * 1_000.0) as u64)).await;
            self.submit(&class, &mut random);
        }
    }

    fn submit(self: &Arc<Self>, class: &JobClass, random: &mut SmallRng) {
        let id = format!("j-{:06}", self.next.fetch_add(1, Relaxed));
        let submission = Arc::new(self.submission(id.into(), class, random));
        let now_ms = self.environment.now_ms();
        let run_ms = class.run_s * random.gen_range(0.7..1.3) * 1_000.0;
        let (jobs, invariants) = (&self.environment.jobs, &self.environment.invariants);
        let job = jobs.add(submission.clone(), run_ms as u64, now_ms);
        lock(invariants).job_submitted(submission.clone(), now_ms);
        self.environment
            .tasks_submitted
            .add(now_ms, u64::from(submission.task_count));
        let called_off = random.gen_bool(class.cancelled);
        let called_off = called_off.then(|| random.gen_range(CANCELLED_AFTER_MS));
        let user = User {
            users: self.clone(),
            job,
            connection: None,
        };
        tokio::spawn(user.play(called_off));
    }

    fn submission(&self, id: Arc<str>, class: &JobClass, random: &mut SmallRng) -> Submission {
        let plan = &self.environment.plan;
        let [least, most] = class.tasks;
        let span = f64::from(most) / f64::from(least);
        let tasks = f64::from(least) * span.powf(random.gen_range(0.0..=1.0));
        let zones = plan.zones();
        let bound = random.gen_bool(class.zone_bound);
        let zone = zones[random.gen_range(0..zones.len())].0.to_string();
        Submission {
            id,
            class: class.class.clone(),
            team: team_name(random.gen_range(0..plan.teams.count)),
            shape: class.shape,
            priority: class.priority,
            task_count: (tasks.round() as u32).clamp(least, most),
            vcpus: class.cpus,
            accelerators: 0.0,
            ram_gb: class.ram_gb,
            image: format!("{}-{}", class.class, random.gen_range(0..class.images)),
            image_gb: class.image_gb,
            machine_types: None,
            zone: bound.then_some(zone),
            zone_affinity: false,
            topology_spread: class.topology_spread && !bound,
            spot: class.spot,
            expected_run_s: class.run_s,
            checkpoint_interval_s: 0.0,
            checkpoint_write_s: 0.0,
            deadline_s: class.deadline_s,
        }
    }

    /// Asks about jobs that nobody has submitted.
    async fn odd_questions(self: Arc<Self>) {
        let mut n = 0_u64;
        loop {
            sleep(ODD_QUESTION).await;
            n += 1;
            let id = format!("j-9{n:05}");
            let Some(mut connection) = self.connect().await else {
                continue;
            };
            let path = format!("/v2/runs/{id}");
            let reply = connection
                .client
                .call(Method::GET, &path, Vec::new(), POLL_WITHIN);
            if reply.await.is_some_and(|reply| reply.status == 200) {
                let now_ms = self.environment.now_ms();
                lock(&self.environment.invariants).job_status_answered(
                    &id,
                    JobStatus::Pending,
                    now_ms,
                    now_ms,
                );
            }
        }
    }

    /// A connection that a controller has taken up; another is tried when one refuses.
    async fn connect(&self) -> Option<Connection> {
        let mut tried = Vec::new();
        for _ in 0..CONTROLLERS_TRIED {
            let slot = self.balancer.pick(&tried)?;
            tried.push(slot.controller);
            let mut client = Client::new(slot.address());
            let taken = match self.reaches(slot.controller) {
                true => client.connect(CONNECT_WITHIN).await,
                false => {
                    sleep(CONNECT_WITHIN).await;
                    false
                }
            };
            if taken {
                return Some(Connection { client, slot });
            }
        }
        None
    }

    fn reaches(&self, controller: usize) -> bool {
        let site = Site::Zone(self.controllers.zones[controller]);
        self.environment.network.reaches(Site::Outside, site)
    }
}

struct Connection {
    client: Client,
    slot: ConnectionSlot,
}

/// One job's user.
struct User {
    users: Arc<Users>,
    job: Arc<Job>,
    connection: Option<Connection>,
}

impl User {
    async fn play(mut self, called_off_after_ms: Option<u64>) {
        if !self.submit().await {
            return;
        }
        let now_ms = self.environment().now_ms();
        let called_off_ms = called_off_after_ms.map(|after| now_ms + after);
        loop {
            let next = self.environment().instant_at(self.environment().now_ms()) + POLL;
            let called_off = called_off_ms.map(|at| self.environment().instant_at(at));
            let next = called_off.map_or(next, |at| at.min(next));
            sleep_until(next).await;
            let due = called_off_ms.is_some_and(|at| at <= self.environment().now_ms());
            let status = match due {
                true => self.cancel().await,
                false => self.poll().await,
            };
            if matches!(status, Some(JobStatus::Done | JobStatus::Aborted)) || due {
                break;
            }
        }
        // What was told must still hold at another controller, also for a repeated submission.
        sleep(ASKED_AGAIN).await;
        self.connection = None;
        self.poll().await;
        self.submit_once().await;
    }

    fn environment(&self) -> &Environment {
        &self.users.environment
    }

    async fn submit(&mut self) -> bool {
        let begun_ms = self.job.submitted_ms;
        loop {
            let reply = self.submit_once().await;
            let now_ms = self.environment().now_ms();
            match reply.as_ref().map(|reply| reply.status) {
                Some(200 | 201) => {
                    let took = now_ms.saturating_sub(begun_ms);
                    self.environment()
                        .latencies
                        .record(LatencyKind::Acceptance, took);
                    return true;
                }
                Some(400 | 422) => return false,
                _ => {}
            }
            if !self.pause(reply.as_ref(), begun_ms).await {
                self.note("submission given up");
                return false;
            }
        }
    }

    async fn submit_once(&mut self) -> Option<Reply> {
        let submission = self.job.submission.clone();
        let body = serde_json::to_vec(&*submission).unwrap_or_default();
        let asked_ms = self.environment().now_ms();
        let reply = self
            .call(
                ExchangeKind::UserSubmit,
                Method::POST,
                "/v2/runs",
                body,
                SUBMIT_WITHIN,
            )
            .await;
        let now_ms = self.environment().now_ms();
        let mut invariants = lock(&self.environment().invariants);
        match reply.as_ref().map(|reply| reply.status) {
            Some(200 | 201) => invariants.job_accepted(&submission.id, now_ms),
            Some(400 | 422) => invariants.job_rejected(&submission.id, now_ms),
            _ => {}
        }
        let status = reply.as_ref().and_then(status);
        if let Some(status) = status {
            invariants.job_status_answered(&submission.id, status, asked_ms, now_ms);
        }
        drop(invariants);
        reply
    }

    async fn poll(&mut self) -> Option<JobStatus> {
        let id = self.job.submission.id.clone();
        let path = format!("/v2/runs/{id}");
        let asked_ms = self.environment().now_ms();
        let reply = self
            .call(
                ExchangeKind::UserPoll,
                Method::GET,
                &path,
                Vec::new(),
                POLL_WITHIN,
            )
            .await;
        let now_ms = self.environment().now_ms();
        let mut invariants = lock(&self.environment().invariants);
        let status = reply.as_ref().and_then(status);
        match (reply.as_ref().map(|reply| reply.status), status) {
            (Some(404), _) => invariants.job_not_found(&id, asked_ms, now_ms),
            (_, Some(status)) => invariants.job_status_answered(&id, status, asked_ms, now_ms),
            _ => invariants.poll_unanswered(&id, now_ms),
        }
        drop(invariants);
        if status == Some(JobStatus::Done) {
            let ended_ms = self.job.last_end_ms.load(Relaxed);
            let took = now_ms.saturating_sub(ended_ms);
            self.environment()
                .latencies
                .record(LatencyKind::CompletionReported, took);
        }
        status
    }

    async fn cancel(&mut self) -> Option<JobStatus> {
        let id = self.job.submission.id.clone();
        let path = format!("/v2/runs/{id}/withdraw");
        let begun_ms = self.environment().now_ms();
        lock(&self.environment().invariants).cancellation_requested(&id);
        loop {
            let asked_ms = self.environment().now_ms();
            let reply = self
                .call(
                    ExchangeKind::UserCancel,
                    Method::POST,
                    &path,
                    Vec::new(),
                    SUBMIT_WITHIN,
                )
                .await;
            let now_ms = self.environment().now_ms();
            if let Some(status) = reply.as_ref().and_then(status) {
                lock(&self.environment().invariants)
                    .job_status_answered(&id, status, asked_ms, now_ms);
                let took = now_ms.saturating_sub(begun_ms);
                self.environment()
                    .latencies
                    .record(LatencyKind::CancellationReported, took);
                return Some(status);
            }
            if !self.pause(reply.as_ref(), begun_ms).await {
                self.note("cancellation given up");
                return None;
            }
        }
    }

    /// Waits before a retry; false if it is too late for one.
    async fn pause(&self, reply: Option<&Reply>, begun_ms: u64) -> bool {
        let wanted = reply.and_then(|reply| reply.retry_after_s).unwrap_or(0);
        let wait = wanted.clamp(RETRY_S, MOST_RETRY_S);
        let late = self.environment().now_ms() + wait * 1_000 > begun_ms + GIVE_UP_MS;
        if !late {
            sleep(Duration::from_secs(wait)).await;
        }
        !late
    }

    async fn call(
        &mut self,
        kind: ExchangeKind,
        method: Method,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Option<Reply> {
        let users = self.users.clone();
        if self.connection.is_none() {
            self.connection = users.connect().await;
        }
        let connection = self.connection.as_mut()?;
        if !users.reaches(connection.slot.controller) {
            sleep(within).await;
            self.connection = None;
            self.note(&format!("{kind}: no answer"));
            return None;
        }
        let reply = connection.client.call(method, path, body, within).await;
        match &reply {
            None => {
                self.connection = None;
                self.note(&format!("{kind}: no answer"));
            }
            Some(reply) => {
                let (sent, came) = (reply.request_bytes, reply.answer_bytes);
                self.environment().traffic.count(kind, sent, came);
                if !matches!(reply.status, 200 | 201) {
                    self.note(&format!("{kind}: {}", reply.status));
                }
            }
        }
        reply
    }

    fn note(&self, what: &str) {
        self.environment().unexpected_answers.add(what, 1);
    }
}

fn status(reply: &Reply) -> Option<JobStatus> {
    if !matches!(reply.status, 200 | 201) {
        return None;
    }
    let answer = serde_json::from_slice::<JobStatusAnswer>(&reply.body).ok()?;
    Some(answer.status)
}
