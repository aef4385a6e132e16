//! Requests of users, and the check of each answer against all earlier answers.

use crate::Simulation;
use glenmount_core::controller::{Event, RequestId, UserReply};
use glenmount_core::model::{JobSpec, JobState};
use std::collections::BTreeSet;

/// The answers that users have received about a job.
#[derive(Default)]
pub struct UserView {
    /// Whether users were told that it is accepted.
    pub accepted: bool,
    /// Time at which users were first told that it is accepted.
    pub accepted_ms: Option<u64>,
    /// Time at which users were first told that it is cancelled.
    pub cancelled_ms: Option<u64>,
    /// Whether users were told that it is done.
    pub completed: bool,
    /// Time at which users were first told that it is done.
    pub completed_ms: Option<u64>,
    /// Whether a user requested its cancellation.
    pub cancel_requested: bool,
}

/// The states of a job that users have been told.
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

/// A request that waits for its answer.
pub(crate) struct PendingRequest {
    job: String,
    sent_ms: u64,
}

/// Counts of outdated answers: requested before another controller gave a newer answer, and given after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overlaps {
    /// Number of outdated answers.
    pub answers: u32,
    /// Longest time from a newer answer to an outdated one.
    pub longest_ms: u64,
}

impl Overlaps {
    /// Counts an answer that is behind an earlier one, and checks that this is allowed: its request was sent before
    /// the earlier answer was given. The two requests then overlapped, and no controller can know the answer that
    /// another one is about to give.
    fn record_outdated_answer(&mut self, sent_ms: u64, told_ms: u64, now_ms: u64, violation: &str) {
        assert!(
            sent_ms < told_ms,
            "{violation}, requested at {sent_ms}, told at {told_ms}"
        );
        assert!(
            now_ms - told_ms <= MAX_OVERLAP_MS,
            "{violation}, {} ms later",
            now_ms - told_ms
        );
        self.answers += 1;
        self.longest_ms = self.longest_ms.max(now_ms - told_ms);
    }
}

/// Maximum time that an answer may be in flight: users wait as long for the answer to a status request.
const MAX_OVERLAP_MS: u64 = 1_500;

impl Simulation {
    /// Sends a user's request about a job to a controller. It is lost if the controller is partitioned.
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

    /// Submits a job to a controller for a user.
    pub fn submit(&mut self, controller: usize, spec: JobSpec) -> RequestId {
        let id = spec.id.clone();
        self.job_specs.insert(id.clone(), spec.clone());
        self.request(controller, &id, |request| Event::Submit {
            request,
            spec: Box::new(spec),
        })
    }

    /// Requests the status of a job from a controller for a user.
    pub fn status(&mut self, controller: usize, id: &str) -> RequestId {
        let job = id.to_string();
        self.request(controller, id, |request| Event::Status { request, job })
    }

    /// Requests the cancellation of a job from a controller for a user.
    pub fn cancel(&mut self, controller: usize, id: &str) -> RequestId {
        self.user_views
            .entry(id.to_string())
            .or_default()
            .cancel_requested = true;
        let job = id.to_string();
        self.request(controller, id, |request| Event::Cancel { request, job })
    }

    /// Runs until a request is answered, and returns the answer.
    pub fn await_answer(&mut self, request: RequestId) -> UserReply {
        for _ in 0..6_000 {
            if let Some(reply) = self.answers.get(&request) {
                return reply.clone();
            }
            self.run(1);
        }
        panic!("request {request} was never answered");
    }

    /// Returns all jobs that a job depends on, directly or through others.
    fn all_dependencies(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut pending = vec![id.to_string()];
        while let Some(id) = pending.pop() {
            for dependency in self.job_specs.get(&id).iter().flat_map(|s| &s.dependencies) {
                if found.insert(dependency.clone()) {
                    pending.push(dependency.clone());
                }
            }
        }
        found
    }

    /// Records an answer that a user gets, and checks it against all earlier answers.
    pub(crate) fn record_answer(&mut self, request: RequestId, reply: UserReply) {
        let Some(pending) = self.pending_requests.remove(&request) else {
            return;
        };
        let id = &pending.job;
        let before = self.user_views.entry(id.clone()).or_default().milestones();
        match &reply {
            UserReply::Status { state, .. } | UserReply::Cancelled { state, .. } => {
                assert!(self.job_specs.contains_key(id), "invented: {id}");
                self.check_state(&pending, *state);
            }
            UserReply::NotFound | UserReply::Rejected(_) => {
                if let Some(accepted_ms) = self.user_views[id].accepted_ms {
                    let violation = format!("forgotten: {id}: {reply:?}");
                    self.metrics.overlaps.record_outdated_answer(
                        pending.sent_ms,
                        accepted_ms,
                        self.now_ms,
                        &violation,
                    );
                }
            }
            UserReply::Accepted { .. } | UserReply::RetryAfter { .. } => {}
        }
        let is_accepted = matches!(
            reply,
            UserReply::Accepted { .. } | UserReply::Status { .. } | UserReply::Cancelled { .. }
        );
        let now_ms = self.now_ms;
        let view = self.user_views.entry(id.clone()).or_default();
        if is_accepted {
            view.accepted = true;
            view.accepted_ms.get_or_insert(now_ms);
        }
        let after = view.milestones();
        self.answers.insert(request, reply);
        if self.follow_up_requests && after != before {
            self.schedule_follow_ups(id, !before.accepted);
        }
    }

    /// Checks and records a state that a user is told.
    fn check_state(&mut self, request: &PendingRequest, state: JobState) {
        match state {
            JobState::Done => self.check_done(&request.job),
            JobState::Cancelled => self.check_cancelled(&request.job),
            JobState::Pending | JobState::Running => self.check_open(request, state),
        }
        if state != JobState::Cancelled {
            let id = &request.job;
            let dependencies = self.all_dependencies(id);
            let views = dependencies
                .iter()
                .filter_map(|dependency| self.user_views.get(dependency));
            let dependency_cancelled_ms = views.filter_map(|view| view.cancelled_ms).min();
            let is_overdue = |at: u64| self.now_ms > at + self.settings.cancellation_timeout_ms;
            let orphaned = dependency_cancelled_ms.is_some_and(is_overdue);
            assert!(!orphaned, "orphaned: {id} is reported {state:?}");
        }
    }

    /// Checks and records that a user is told that a job is done.
    fn check_done(&mut self, id: &str) {
        assert!(self.is_complete(id), "not_done: {id} is reported done");
        let now_ms = self.now_ms;
        let view = self.user_views.entry(id.to_string()).or_default();
        assert!(view.cancelled_ms.is_none(), "went_back: {id}");
        view.completed = true;
        view.completed_ms.get_or_insert(now_ms);
    }

    /// Checks and records that a user is told that a job is cancelled. Its tasks must end within the cancellation
    /// timeout from the first such answer.
    fn check_cancelled(&mut self, id: &str) {
        let dependencies = self.all_dependencies(id);
        let mut dependency_views = dependencies
            .iter()
            .filter_map(|dependency| self.user_views.get(dependency));
        let dependency_cancel_requested = dependency_views.any(|view| view.cancel_requested);
        let (now_ms, state) = (self.now_ms, JobState::Cancelled);
        let view = self.user_views.entry(id.to_string()).or_default();
        assert!(!view.completed, "went_back: {id} was done, now {state:?}");
        let requested = view.cancel_requested || dependency_cancel_requested;
        assert!(requested, "went_back: {id} was cancelled without a request");
        if view.cancelled_ms.is_none() {
            view.cancelled_ms = Some(now_ms);
            self.placements
                .add_cancelled_job(id, now_ms + self.settings.cancellation_timeout_ms);
        }
    }

    /// Checks that a user is told an unfinished state of a job only if no final state was told before, or by a request
    /// that overlapped with that answer.
    fn check_open(&mut self, request: &PendingRequest, state: JobState) {
        let (id, now_ms) = (&request.job, self.now_ms);
        let view = &self.user_views[id];
        let final_states = [
            (view.completed_ms, "done"),
            (view.cancelled_ms, "cancelled"),
        ];
        for (told_ms, final_state) in final_states {
            let Some(told_ms) = told_ms else {
                continue;
            };
            let violation = format!("went_back: {id} was {final_state}, now {state:?}");
            self.metrics.overlaps.record_outdated_answer(
                request.sent_ms,
                told_ms,
                now_ms,
                &violation,
            );
        }
    }
}
