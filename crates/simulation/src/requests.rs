//! Requests of users, and the check of every answer against all that users were told before.

use crate::Simulation;
use glenmount_core::controller::{Event, RequestId, UserReply};
use glenmount_core::model::{JobSpec, JobState};
use std::collections::BTreeSet;

/// What users were told about a job.
#[derive(Default)]
pub struct UserView {
    /// Whether it was accepted.
    pub accepted: bool,
    /// When users were first told that it is accepted.
    pub accepted_ms: Option<u64>,
    /// When users were first told that it is cancelled.
    pub cancelled_ms: Option<u64>,
    /// Whether users were told that it is done.
    pub completed: bool,
    /// When users were first told that it is done.
    pub completed_ms: Option<u64>,
    /// Whether a user asked to cancel it.
    pub cancel_requested: bool,
}

/// What of a job's life users were told.
#[derive(Clone, Copy, PartialEq)]
struct Milestones {
    accepted: bool,
    cancelled: bool,
    done: bool,
}

impl UserView {
    fn milestones(&self) -> Milestones {
        Milestones {
            accepted: self.accepted,
            cancelled: self.cancelled_ms.is_some(),
            done: self.completed,
        }
    }
}

/// A request that waits for its answer: about which job, and when it was sent.
pub(crate) struct PendingRequest {
    job: String,
    sent_ms: u64,
}

/// Answers that were older than another which a controller gave while they were on their way: asked before it,
/// given after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overlaps {
    /// How many.
    pub answers: u32,
    /// Milliseconds at most by which the newer one was given earlier.
    pub longest_ms: u64,
}

impl Overlaps {
    /// An answer says less than one that was given before. It may only if it was asked for before that:
    /// the two were on their way together, and no controller can know what another is just about to say.
    fn note_older_answer(&mut self, asked_at: u64, told_at: u64, now: u64, why: &str) {
        assert!(
            asked_at < told_at,
            "{why}, asked at {asked_at}, told at {told_at}"
        );
        assert!(
            now - told_at <= OVERLAP_MOST_MS,
            "{why}, {} ms later",
            now - told_at
        );
        self.answers += 1;
        self.longest_ms = self.longest_ms.max(now - told_at);
    }
}

/// Milliseconds that an answer may be on its way: users wait as long for the answer to a status request.
const OVERLAP_MOST_MS: u64 = 1_500;

impl Simulation {
    pub(crate) fn request(
        &mut self,
        controller: usize,
        id: &str,
        event: impl FnOnce(RequestId) -> Event,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let (job, sent_ms) = (id.to_string(), self.now_ms);
        self.pending_requests
            .insert(request, PendingRequest { job, sent_ms });
        if !self.is_partitioned(controller) {
            self.deliver(2, self.process(controller), event(request));
        }
        request
    }

    /// A user submits a job to a controller.
    pub fn submit(&mut self, controller: usize, spec: JobSpec) -> RequestId {
        let id = spec.id.clone();
        self.job_specs.insert(id.clone(), spec.clone());
        self.request(controller, &id, |request| Event::Submit {
            request,
            spec: Box::new(spec),
        })
    }

    /// A user asks a controller for the status of a job.
    pub fn status(&mut self, controller: usize, id: &str) -> RequestId {
        let job = id.to_string();
        self.request(controller, id, |request| Event::Status { request, job })
    }

    /// A user asks a controller to cancel a job.
    pub fn cancel(&mut self, controller: usize, id: &str) -> RequestId {
        self.user_views
            .entry(id.to_string())
            .or_default()
            .cancel_requested = true;
        let job = id.to_string();
        self.request(controller, id, |request| Event::Cancel { request, job })
    }

    /// Sends a request and runs until it is answered.
    pub fn await_answer(&mut self, request: RequestId) -> UserReply {
        for _ in 0..6_000 {
            if let Some(reply) = self.answers.get(&request) {
                return reply.clone();
            }
            self.run(1);
        }
        panic!("request {request} was never answered");
    }

    /// All jobs that a job needs, directly or through others.
    fn upstream(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            for dependency in self.job_specs.get(&id).iter().flat_map(|s| &s.dependencies) {
                if found.insert(dependency.clone()) {
                    next.push(dependency.clone());
                }
            }
        }
        found
    }

    /// A user gets an answer: it is held against all that users were told before.
    pub(crate) fn record_answer(&mut self, request: RequestId, reply: UserReply) {
        let Some(asked) = self.pending_requests.remove(&request) else {
            return;
        };
        let id = &asked.job;
        let before = self.user_views.entry(id.clone()).or_default().milestones();
        match &reply {
            UserReply::Status { state, .. } | UserReply::Cancelled { state, .. } => {
                assert!(self.job_specs.contains_key(id), "invented: {id}");
                self.check_state(&asked, *state);
            }
            UserReply::NotFound | UserReply::Rejected(_) => {
                if let Some(at) = self.user_views[id].accepted_ms {
                    let why = format!("forgotten: {id}: {reply:?}");
                    self.metrics
                        .overlaps
                        .note_older_answer(asked.sent_ms, at, self.now_ms, &why);
                }
            }
            UserReply::Accepted { .. } | UserReply::RetryAfter { .. } => {}
        }
        let known = matches!(
            reply,
            UserReply::Accepted { .. } | UserReply::Status { .. } | UserReply::Cancelled { .. }
        );
        let now = self.now_ms;
        let told = self.user_views.entry(id.clone()).or_default();
        if known {
            told.accepted = true;
            told.accepted_ms.get_or_insert(now);
        }
        let after = told.milestones();
        self.answers.insert(request, reply);
        if self.follow_up_requests && after != before {
            self.schedule_follow_ups(id, !before.accepted);
        }
    }

    /// Checks a state that a user is told, and keeps it in mind.
    fn check_state(&mut self, asked: &PendingRequest, state: JobState) {
        match state {
            JobState::Done => self.check_done(&asked.job),
            JobState::Cancelled => self.check_cancelled(&asked.job),
            JobState::Pending | JobState::Running => self.check_open(asked, state),
        }
        if state != JobState::Cancelled {
            let id = &asked.job;
            let upstream = self.upstream(id);
            let told = upstream.iter().filter_map(|a| self.user_views.get(a));
            let cancelled_above = told.filter_map(|t| t.cancelled_ms).min();
            let late = |at: u64| self.now_ms > at + self.settings.cancellation_timeout_ms;
            let orphaned = cancelled_above.is_some_and(late);
            assert!(!orphaned, "orphaned: {id} is called {state:?}");
        }
    }

    fn check_done(&mut self, id: &str) {
        assert!(self.is_complete(id), "not_done: {id} called done");
        let now = self.now_ms;
        let told = self.user_views.entry(id.to_string()).or_default();
        assert!(told.cancelled_ms.is_none(), "went_back: {id}");
        told.completed = true;
        told.completed_ms.get_or_insert(now);
    }

    fn check_cancelled(&mut self, id: &str) {
        let upstream = self.upstream(id);
        let mut above = upstream.iter().filter_map(|a| self.user_views.get(a));
        let asked_above = above.any(|t| t.cancel_requested);
        let (now, state) = (self.now_ms, JobState::Cancelled);
        let told = self.user_views.entry(id.to_string()).or_default();
        assert!(!told.completed, "went_back: {id} was done, now {state:?}");
        let asked = told.cancel_requested || asked_above;
        assert!(asked, "went_back: {id} cancelled by nobody");
        if told.cancelled_ms.is_none() {
            told.cancelled_ms = Some(now);
            self.placements
                .add_cancelled_job(id, now + self.settings.cancellation_timeout_ms);
        }
    }

    fn check_open(&mut self, asked: &PendingRequest, state: JobState) {
        let (id, now) = (&asked.job, self.now_ms);
        let told = &self.user_views[id];
        if let Some(at) = told.completed_ms {
            let why = format!("went_back: {id} was done, now {state:?}");
            self.metrics
                .overlaps
                .note_older_answer(asked.sent_ms, at, now, &why);
        }
        if let Some(at) = told.cancelled_ms {
            let why = format!("went_back: {id} was cancelled, now {state:?}");
            self.metrics
                .overlaps
                .note_older_answer(asked.sent_ms, at, now, &why);
        }
    }
}
