//! The user of one job, who submits, polls and optionally cancels it and checks the answers.

use super::connections::{Connector, UserConnection};
use crate::environment::Environment;
use crate::job_registry::Job;
use crate::measurement::latencies::LatencyKind;
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{OutgoingRequest, Reply};
use crate::protocol::jobs::{cancel_path, poll_path, JobStatus, JobStatusAnswer, SUBMIT_PATH};
use crate::sync::lock;
use hyper::Method;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Timeouts of submissions and cancellations, and of polls, by protocol.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
pub(super) const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest delay before a retry, and the time after which a user stops retrying, by protocol.
const MIN_RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 30;
const RETRY_TIME_LIMIT_MS: u64 = 60_000;
/// Interval between two polls, by protocol.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay between the final answer and the user's repeated poll and submission.
const RECHECK_DELAY: Duration = Duration::from_secs(7);

/// The user of one job.
pub struct User {
    environment: Arc<Environment>,
    connector: Arc<Connector>,
    job: Arc<Job>,
    connection: Option<UserConnection>,
}

/// A request of a user and the kind under which it is counted.
struct UserRequest<'a> {
    kind: ExchangeKind,
    http: OutgoingRequest<'a>,
}

impl User {
    /// Creates a user who has not submitted the job yet.
    pub fn new(environment: Arc<Environment>, connector: Arc<Connector>, job: Arc<Job>) -> User {
        User {
            environment,
            connector,
            job,
            connection: None,
        }
    }

    /// Acts as the user until the job has a final status. The user cancels the job `cancel_after_ms` after its
    /// acceptance, if set.
    pub async fn run(mut self, cancel_after_ms: Option<u64>) {
        if !self.submit().await {
            return;
        }
        let accepted_ms = self.environment.now_ms();
        self.poll_until_final(cancel_after_ms.map(|after_ms| accepted_ms + after_ms))
            .await;
        // A new connection may lead to another controller, which must give the same final status, also to a
        // repeated submission.
        sleep(RECHECK_DELAY).await;
        self.connection = None;
        self.poll().await;
        self.submit_once().await;
    }

    /// Polls until the job's status is final, or cancels the job at `cancel_ms`.
    async fn poll_until_final(&mut self, cancel_ms: Option<u64>) {
        loop {
            let environment = &self.environment;
            let next_poll = environment.instant_at(environment.now_ms()) + POLL_INTERVAL;
            let cancel_at = cancel_ms.map(|at_ms| environment.instant_at(at_ms));
            let next = cancel_at.map_or(next_poll, |at| at.min(next_poll));
            sleep_until(next).await;
            let is_cancellation_due = cancel_ms.is_some_and(|at_ms| at_ms <= environment.now_ms());
            let status = match is_cancellation_due {
                true => self.cancel().await,
                false => self.poll().await,
            };
            if is_cancellation_due || status.is_some_and(JobStatus::is_final) {
                return;
            }
        }
    }

    /// Submits the job with retries until a controller accepts or rejects it; returns whether one accepted it.
    async fn submit(&mut self) -> bool {
        let started_ms = self.job.submitted_ms;
        loop {
            let reply = self.submit_once().await;
            match reply.as_ref().map(|reply| reply.status) {
                Some(200 | 201) => {
                    self.record_latency(LatencyKind::Acceptance, started_ms);
                    return true;
                }
                Some(400 | 422) => return false,
                _ => {}
            }
            if !self.wait_for_retry(reply.as_ref(), started_ms).await {
                self.count_unexpected("submission given up");
                return false;
            }
        }
    }

    async fn submit_once(&mut self) -> Option<Reply> {
        let submission = self.job.submission.clone();
        let sent_ms = self.environment.now_ms();
        let request = UserRequest {
            kind: ExchangeKind::UserSubmit,
            http: OutgoingRequest {
                method: Method::POST,
                path: SUBMIT_PATH,
                body: serde_json::to_vec(&*submission).unwrap_or_default(),
                timeout: SUBMIT_TIMEOUT,
            },
        };
        let reply = self.call(request).await;
        let now_ms = self.environment.now_ms();
        let mut invariants = lock(&self.environment.invariants);
        match reply.as_ref().map(|reply| reply.status) {
            Some(200 | 201) => invariants.job_accepted(&submission.id, now_ms),
            Some(400 | 422) => invariants.job_rejected(&submission.id, now_ms),
            _ => {}
        }
        if let Some(status) = reply.as_ref().and_then(job_status) {
            invariants.job_status_answered(&submission.id, status, sent_ms, now_ms);
        }
        drop(invariants);
        reply
    }

    async fn poll(&mut self) -> Option<JobStatus> {
        let id = self.job.submission.id.clone();
        let sent_ms = self.environment.now_ms();
        let request = UserRequest {
            kind: ExchangeKind::UserPoll,
            http: OutgoingRequest {
                method: Method::GET,
                path: &poll_path(&id),
                body: Vec::new(),
                timeout: POLL_TIMEOUT,
            },
        };
        let reply = self.call(request).await;
        let now_ms = self.environment.now_ms();
        let status = reply.as_ref().and_then(job_status);
        let mut invariants = lock(&self.environment.invariants);
        match (reply.as_ref().map(|reply| reply.status), status) {
            (Some(404), _) => invariants.job_not_found(&id, sent_ms, now_ms),
            (_, Some(status)) => invariants.job_status_answered(&id, status, sent_ms, now_ms),
            _ => invariants.poll_unanswered(&id, now_ms),
        }
        drop(invariants);
        if status == Some(JobStatus::Done) {
            let ended_ms = self.job.last_completion_ms.load(Relaxed);
            let latency_ms = now_ms.saturating_sub(ended_ms);
            let latencies = &self.environment.latencies;
            latencies.record(LatencyKind::CompletionReported, latency_ms);
        }
        status
    }

    /// Cancels the job with retries and returns the answered status.
    async fn cancel(&mut self) -> Option<JobStatus> {
        let id = self.job.submission.id.clone();
        let path = cancel_path(&id);
        let started_ms = self.environment.now_ms();
        lock(&self.environment.invariants).cancellation_requested(&id);
        loop {
            let sent_ms = self.environment.now_ms();
            let request = UserRequest {
                kind: ExchangeKind::UserCancel,
                http: OutgoingRequest {
                    method: Method::POST,
                    path: &path,
                    body: Vec::new(),
                    timeout: SUBMIT_TIMEOUT,
                },
            };
            let reply = self.call(request).await;
            if let Some(status) = reply.as_ref().and_then(job_status) {
                let now_ms = self.environment.now_ms();
                lock(&self.environment.invariants)
                    .job_status_answered(&id, status, sent_ms, now_ms);
                self.record_latency(LatencyKind::CancellationReported, started_ms);
                return Some(status);
            }
            if !self.wait_for_retry(reply.as_ref(), started_ms).await {
                self.count_unexpected("cancellation given up");
                return None;
            }
        }
    }

    /// Waits before a retry; returns false without a wait if the time limit for retries would pass.
    async fn wait_for_retry(&self, reply: Option<&Reply>, started_ms: u64) -> bool {
        let requested_s = reply.and_then(|reply| reply.retry_after_s).unwrap_or(0);
        let wait_s = requested_s.clamp(MIN_RETRY_S, MAX_RETRY_S);
        let retry_ms = self.environment.now_ms() + wait_s * 1_000;
        if retry_ms > started_ms + RETRY_TIME_LIMIT_MS {
            return false;
        }
        sleep(Duration::from_secs(wait_s)).await;
        true
    }

    async fn call(&mut self, request: UserRequest<'_>) -> Option<Reply> {
        let UserRequest { kind, http } = request;
        if self.connection.is_none() {
            self.connection = self.connector.connect().await;
        }
        let connection = self.connection.as_mut()?;
        let reply = match self.connector.is_reachable(connection.slot.controller) {
            true => connection.client.call(http).await,
            false => {
                sleep(http.timeout).await;
                None
            }
        };
        let Some(reply) = reply else {
            self.connection = None;
            self.count_unexpected(&format!("{kind}: no answer"));
            return None;
        };
        let traffic = &self.environment.traffic;
        traffic.count(kind, reply.request_bytes, reply.answer_bytes);
        if !matches!(reply.status, 200 | 201) {
            self.count_unexpected(&format!("{kind}: {}", reply.status));
        }
        Some(reply)
    }

    fn record_latency(&self, kind: LatencyKind, started_ms: u64) {
        let latency_ms = self.environment.now_ms().saturating_sub(started_ms);
        self.environment.latencies.record(kind, latency_ms);
    }

    fn count_unexpected(&self, name: &str) {
        self.environment.unexpected_answers.add(name, 1);
    }
}

/// Returns the job's status in a successful reply.
fn job_status(reply: &Reply) -> Option<JobStatus> {
    if !matches!(reply.status, 200 | 201) {
        return None;
    }
    let answer = serde_json::from_slice::<JobStatusAnswer>(&reply.body).ok()?;
    Some(answer.status)
}
