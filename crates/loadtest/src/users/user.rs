//! One job's user: submits it, polls it, may cancel it, and checks what it is answered.

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

/// How long users wait for an answer to a submission or a cancellation, and to a poll, by protocol.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
pub(super) const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Least and most wait before a retry, and the time after which a user gives up, by protocol.
const MIN_RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 30;
const GIVE_UP_MS: u64 = 60_000;
/// Between two polls, by protocol.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// A user polls once more this long after the final answer.
const RECHECK_PAUSE: Duration = Duration::from_secs(7);

/// One job's user.
pub struct User {
    environment: Arc<Environment>,
    connector: Arc<Connector>,
    job: Arc<Job>,
    connection: Option<UserConnection>,
}

/// A request of a user, and how it is counted.
struct UserRequest<'a> {
    kind: ExchangeKind,
    http: OutgoingRequest<'a>,
}

impl User {
    /// A user who has not submitted the job yet.
    pub fn new(environment: Arc<Environment>, connector: Arc<Connector>, job: Arc<Job>) -> User {
        User {
            environment,
            connector,
            job,
            connection: None,
        }
    }

    /// Plays the user to the job's end; cancels it this long after its acceptance, if at all.
    pub async fn play(mut self, cancel_after_ms: Option<u64>) {
        if !self.submit().await {
            return;
        }
        let accepted_ms = self.environment.now_ms();
        self.until_final(cancel_after_ms.map(|after_ms| accepted_ms + after_ms))
            .await;
        // What was answered must still hold at another controller, also for a repeated submission.
        sleep(RECHECK_PAUSE).await;
        self.connection = None;
        self.poll().await;
        self.submit_once().await;
    }

    /// Polls until the job's status is final, or until it was time to cancel it.
    async fn until_final(&mut self, cancel_ms: Option<u64>) {
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

    /// Submits the job until it is answered; true if it was accepted.
    async fn submit(&mut self) -> bool {
        let begun_ms = self.job.submitted_ms;
        loop {
            let reply = self.submit_once().await;
            match reply.as_ref().map(|reply| reply.status) {
                Some(200 | 201) => {
                    self.record_latency(LatencyKind::Acceptance, begun_ms);
                    return true;
                }
                Some(400 | 422) => return false,
                _ => {}
            }
            if !self.wait_for_retry(reply.as_ref(), begun_ms).await {
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
            let took_ms = now_ms.saturating_sub(ended_ms);
            let latencies = &self.environment.latencies;
            latencies.record(LatencyKind::CompletionReported, took_ms);
        }
        status
    }

    /// Cancels the job until it is answered.
    async fn cancel(&mut self) -> Option<JobStatus> {
        let id = self.job.submission.id.clone();
        let path = cancel_path(&id);
        let begun_ms = self.environment.now_ms();
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
                self.record_latency(LatencyKind::CancellationReported, begun_ms);
                return Some(status);
            }
            if !self.wait_for_retry(reply.as_ref(), begun_ms).await {
                self.count_unexpected("cancellation given up");
                return None;
            }
        }
    }

    /// Waits before a retry; false if it is too late for one.
    async fn wait_for_retry(&self, reply: Option<&Reply>, begun_ms: u64) -> bool {
        let wanted_s = reply.and_then(|reply| reply.retry_after_s).unwrap_or(0);
        let wait_s = wanted_s.clamp(MIN_RETRY_S, MAX_RETRY_S);
        let retry_ms = self.environment.now_ms() + wait_s * 1_000;
        if retry_ms > begun_ms + GIVE_UP_MS {
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

    fn record_latency(&self, kind: LatencyKind, begun_ms: u64) {
        let took_ms = self.environment.now_ms().saturating_sub(begun_ms);
        self.environment.latencies.record(kind, took_ms);
    }

    fn count_unexpected(&self, what: &str) {
        self.environment.unexpected_answers.add(what, 1);
    }
}

/// The job's status that a reply tells, if it is a success.
fn job_status(reply: &Reply) -> Option<JobStatus> {
    if !matches!(reply.status, 200 | 201) {
        return None;
    }
    let answer = serde_json::from_slice::<JobStatusAnswer>(&reply.body).ok()?;
    Some(answer.status)
}
