//! Requests of users, and what they were told.

use crate::World;
use glenmount_core::controller::{Event, RequestId, UserReply};
use glenmount_core::model::{JobSpec, JobState};
use std::collections::BTreeSet;

#[derive(Default)]
pub struct Told {
    pub accepted: bool,
    pub accepted_at: Option<u64>,
    pub cancelled_at: Option<u64>,
    pub done: bool,
    pub done_at: Option<u64>,
    pub asked_cancel: bool,
}

/// What of a job's life users were told.
#[derive(Clone, Copy, PartialEq)]
struct Milestones {
    accepted: bool,
    cancelled: bool,
    done: bool,
}

impl Told {
    fn milestones(&self) -> Milestones {
        Milestones {
            accepted: self.accepted,
            cancelled: self.cancelled_at.is_some(),
            done: self.done,
        }
    }
}

/// A request that waits for its answer: about which job, and when it was sent.
pub(crate) struct Asked {
    job: String,
    at: u64,
}

/// Answers that were older than another which a controller gave while they were on their way: asked before it,
/// given after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overlaps {
    pub answers: u32,
    /// Milliseconds at most by which the newer one was given earlier.
    pub longest: u64,
}

impl Overlaps {
    /// An answer says less than one that was given before. It may only if it was asked for before that:
    /// the two were on their way together, and no controller can know what another is just about to say.
    pub(crate) fn older(&mut self, asked_at: u64, told_at: u64, now: u64, why: &str) {
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
        self.longest = self.longest.max(now - told_at);
    }
}

/// Milliseconds for which an answer may be on its way: controllers give up on polls after as many.
pub(crate) const OVERLAP_MOST_MS: u64 = 1_500;

impl World {
    pub(crate) fn request(
        &mut self,
        n: usize,
        id: &str,
        event: impl FnOnce(RequestId) -> Event,
    ) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        let (job, at) = (id.to_string(), self.now);
        self.asked.insert(request, Asked { job, at });
        if !self.inside(n) {
            self.deliver(2, self.process(n), event(request));
        }
        request
    }

    pub fn submit(&mut self, n: usize, spec: JobSpec) -> RequestId {
        let id = spec.id.clone();
        self.specs.insert(id.clone(), spec.clone());
        self.request(n, &id, |request| Event::Submit {
            request,
            spec: Box::new(spec),
        })
    }

    pub fn status(&mut self, n: usize, id: &str) -> RequestId {
        let job = id.to_string();
        self.request(n, id, |request| Event::Status { request, job })
    }

    pub fn cancel(&mut self, n: usize, id: &str) -> RequestId {
        self.told.entry(id.to_string()).or_default().asked_cancel = true;
        let job = id.to_string();
        self.request(n, id, |request| Event::Cancel { request, job })
    }

    /// Sends a request and runs until it is answered.
    pub fn answer(&mut self, request: RequestId) -> UserReply {
        for _ in 0..6_000 {
            if let Some(reply) = self.answers.get(&request) {
                return reply.clone();
            }
            self.run(1);
        }
        panic!("request {request} was never answered");
    }

    /// All jobs that a job needs, directly or through others.
    pub(crate) fn upstream(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            for dependency in self.specs.get(&id).iter().flat_map(|s| &s.dependencies) {
                if found.insert(dependency.clone()) {
                    next.push(dependency.clone());
                }
            }
        }
        found
    }

    /// A user gets an answer: it is held against all that users were told before.
    pub(crate) fn user_told(&mut self, request: RequestId, reply: UserReply) {
        let Some(asked) = self.asked.remove(&request) else {
            return;
        };
        let id = &asked.job;
        let before = self.told.entry(id.clone()).or_default().milestones();
        match &reply {
            UserReply::Status { state, .. } | UserReply::Cancelled { state, .. } => {
                assert!(self.specs.contains_key(id), "invented: {id}");
                self.check_state(&asked, *state);
            }
            UserReply::NotFound | UserReply::Rejected(_) => {
                if let Some(at) = self.told[id].accepted_at {
                    let why = format!("forgotten: {id}: {reply:?}");
                    self.overlaps.older(asked.at, at, self.now, &why);
                }
            }
            UserReply::Accepted { .. } | UserReply::RetryAfter { .. } => {}
        }
        let known = matches!(
            reply,
            UserReply::Accepted { .. } | UserReply::Status { .. } | UserReply::Cancelled { .. }
        );
        let now = self.now;
        let told = self.told.entry(id.clone()).or_default();
        if known {
            told.accepted = true;
            told.accepted_at.get_or_insert(now);
        }
        let after = told.milestones();
        self.answers.insert(request, reply);
        if self.close_looks && after != before {
            self.look_closely(id, !before.accepted);
        }
    }

    /// Checks a state that a user is told, and keeps it in mind.
    fn check_state(&mut self, asked: &Asked, state: JobState) {
        match state {
            JobState::Done => self.check_done(&asked.job),
            JobState::Cancelled => self.check_cancelled(&asked.job),
            JobState::Pending | JobState::Running => self.check_open(asked, state),
        }
        if state != JobState::Cancelled {
            let id = &asked.job;
            let upstream = self.upstream(id);
            let told = upstream.iter().filter_map(|a| self.told.get(a));
            let cancelled_above = told.filter_map(|t| t.cancelled_at).min();
            let late = |at: u64| self.now > at + self.settings.cancel_ms;
            let orphaned = cancelled_above.is_some_and(late);
            assert!(!orphaned, "orphaned: {id} is called {state:?}");
        }
    }

    fn check_done(&mut self, id: &str) {
        assert!(self.all_done(id), "not_done: {id} called done");
        let now = self.now;
        let told = self.told.entry(id.to_string()).or_default();
        assert!(told.cancelled_at.is_none(), "went_back: {id}");
        told.done = true;
        told.done_at.get_or_insert(now);
    }

    fn check_cancelled(&mut self, id: &str) {
        let upstream = self.upstream(id);
        let mut above = upstream.iter().filter_map(|a| self.told.get(a));
        let asked_above = above.any(|t| t.asked_cancel);
        let (now, state) = (self.now, JobState::Cancelled);
        let told = self.told.entry(id.to_string()).or_default();
        assert!(!told.done, "went_back: {id} was done, now {state:?}");
        let asked = told.asked_cancel || asked_above;
        assert!(asked, "went_back: {id} cancelled by nobody");
        if told.cancelled_at.is_none() {
            told.cancelled_at = Some(now);
            self.rules.is_cancelled(id, now + self.settings.cancel_ms);
        }
    }

    fn check_open(&mut self, asked: &Asked, state: JobState) {
        let (id, now) = (&asked.job, self.now);
        let told = &self.told[id];
        if let Some(at) = told.done_at {
            let why = format!("went_back: {id} was done, now {state:?}");
            self.overlaps.older(asked.at, at, now, &why);
        }
        if let Some(at) = told.cancelled_at {
            let why = format!("went_back: {id} was cancelled, now {state:?}");
            self.overlaps.older(asked.at, at, now, &why);
        }
    }
}
