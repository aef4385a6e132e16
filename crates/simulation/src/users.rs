//! Users of a played day, and the balancer between them and the controllers, by the protocol: probes once
//! a second, a pause that doubles for a controller that was removed, retries, and polls every 5 s.

use crate::Simulation;
use glenmount_core::controller::{Controller, RequestId, UserReply};
use glenmount_core::model::{JobSpec, JobState};
use std::collections::BTreeMap;

/// Milliseconds between two steps of users and balancer.
pub const STEP_MS: u64 = 20;
const PROBE_MS: u64 = 1_000;
/// Milliseconds for which a controller that was removed stays out, which doubles each time.
const PAUSE_LEAST_MS: u64 = 3_000;
const PAUSE_MOST_MS: u64 = 60_000;
/// Milliseconds within which a removal counts as one more of the same.
const REMOVED_AGAIN_MS: u64 = 120_000;
const PASS_INTERVAL_MS: u64 = 5_000;
/// Milliseconds after which a request that got no answer is sent again.
const RETRY_MS: u64 = 1_000;
const SUBMIT_WAITS_MS: u64 = 5_000;
const POLL_WAITS_MS: u64 = 2_000;
/// A submission is repeated for so long.
const GIVES_UP_MS: u64 = 60_000;

/// One controller, as the balancer sees it.
#[derive(Clone, Debug, Default)]
struct Backend {
    healthy: bool,
    was_healthy: bool,
    failures: u32,
    successes: u32,
    removed_ms: u64,
    pause_ms: u64,
}

impl Backend {
    fn probe_succeeded(&mut self, now: u64) {
        self.failures = 0;
        self.successes += 1;
        let paused = now < self.removed_ms + self.pause_ms;
        if !self.healthy && (!self.was_healthy || self.successes >= 2 && !paused) {
            (self.healthy, self.was_healthy) = (true, true);
        }
    }

    fn probe_failed(&mut self, now: u64) {
        self.successes = 0;
        self.failures += 1;
        if self.healthy && self.failures >= 2 {
            self.healthy = false;
            let again = now < self.removed_ms + REMOVED_AGAIN_MS;
            self.pause_ms = match again {
                true => (self.pause_ms * 2).clamp(PAUSE_LEAST_MS, PAUSE_MOST_MS),
                false => PAUSE_LEAST_MS,
            };
            self.removed_ms = now;
        }
    }
}

/// The load balancer between users and controllers.
pub struct LoadBalancer {
    backends: Vec<Backend>,
    next_probe: Vec<u64>,
    open_requests: Vec<usize>,
}

impl LoadBalancer {
    fn new(controllers: usize) -> LoadBalancer {
        LoadBalancer {
            backends: vec![Backend::default(); controllers],
            next_probe: (0..controllers as u64).map(|n| n * 300).collect(),
            open_requests: vec![0; controllers],
        }
    }

    fn probe(&mut self, sim: &Simulation) {
        for n in 0..self.backends.len() {
            if sim.now_ms < self.next_probe[n] {
                continue;
            }
            self.next_probe[n] = sim.now_ms + PROBE_MS;
            let controller = sim.controllers[n].controller.as_ref();
            let ok = !sim.is_paused(n)
                && controller.is_some_and(Controller::ready)
                && !sim.is_unreachable(n);
            match ok {
                true => self.backends[n].probe_succeeded(sim.now_ms),
                false => self.backends[n].probe_failed(sim.now_ms),
            }
        }
    }

    /// A healthy controller that takes the connection.
    fn pick(&mut self, sim: &Simulation) -> Option<usize> {
        let mut those: Vec<usize> = (0..self.backends.len())
            .filter(|n| self.backends[*n].healthy)
            .collect();
        those.sort_by_key(|n| self.open_requests[*n]);
        let n = *those
            .iter()
            .take(3)
            .find(|n| sim.controllers[**n].controller.is_some() && !sim.is_unreachable(**n))?;
        self.open_requests[n] += 1;
        Some(n)
    }

    /// Whether users are sent to any controller.
    pub fn any_healthy(&self) -> bool {
        self.backends.iter().any(|s| s.healthy)
    }
}

/// One job's user.
#[derive(Clone, Debug)]
pub struct User {
    /// Index of the job's class.
    pub class: usize,
    /// The job's team.
    pub team: String,
    /// When the job was first submitted.
    pub submitted_ms: u64,
    /// When its user was told that it is accepted.
    pub accepted_ms: Option<u64>,
    /// When a poll first said that it is done.
    pub completed_ms: Option<u64>,
    /// Its user has given up.
    pub gave_up: bool,
    cancel_at_ms: Option<u64>,
    /// Its user was told that it is cancelled.
    pub cancelled: bool,
    request: Option<(RequestId, u64, usize)>,
    next_request_ms: u64,
    /// Submissions of it that got no answer in time, and those told to come back.
    pub unanswered: u32,
    /// Submissions that were told to retry later.
    pub retry_replies: u32,
}

/// All users of a day.
pub struct Users {
    /// The load balancer.
    pub balancer: LoadBalancer,
    /// Users by the names of their jobs.
    pub users: BTreeMap<String, User>,
    open: Vec<String>,
    /// Steps in which no controller was healthy.
    pub no_healthy_controller_ms: u64,
}

impl User {
    /// Whether its user means to cancel it.
    pub fn cancels(&self) -> bool {
        self.cancel_at_ms.is_some()
    }

    /// Milliseconds for which it waits for an answer.
    fn patience_ms(&self) -> u64 {
        match self.accepted_ms {
            None => SUBMIT_WAITS_MS,
            Some(_) => POLL_WAITS_MS,
        }
    }

    /// What it makes of an answer, or of none.
    fn take_answer(&mut self, now: u64, reply: Option<UserReply>) {
        self.next_request_ms = now + RETRY_MS;
        match reply {
            Some(UserReply::Accepted { .. }) => {
                self.accepted_ms.get_or_insert(now);
                self.next_request_ms = now + PASS_INTERVAL_MS;
            }
            Some(UserReply::Status { state, .. } | UserReply::Cancelled { state, .. }) => {
                self.accepted_ms.get_or_insert(now);
                self.next_request_ms = now + PASS_INTERVAL_MS;
                match state {
                    JobState::Done => self.completed_ms = Some(now),
                    JobState::Cancelled => self.cancelled = true,
                    JobState::Pending | JobState::Running => {}
                }
            }
            Some(UserReply::RetryAfter { after_s }) => {
                self.retry_replies += u32::from(self.accepted_ms.is_none());
                self.next_request_ms = now + 1_000 * u64::from(after_s.max(1));
            }
            Some(UserReply::NotFound | UserReply::Rejected(_)) => self.gave_up = true,
            None => self.unanswered += u32::from(self.accepted_ms.is_none()),
        }
    }
}

impl Users {
    /// No users yet.
    pub fn new(controllers: usize) -> Users {
        Users {
            balancer: LoadBalancer::new(controllers),
            users: BTreeMap::new(),
            open: Vec::new(),
            no_healthy_controller_ms: 0,
        }
    }

    /// A user comes who submits a job, and cancels it at a time if one is given.
    pub fn add_user(
        &mut self,
        sim: &mut Simulation,
        class: usize,
        spec: JobSpec,
        cancel_at_ms: Option<u64>,
    ) {
        let id = spec.id.clone();
        let user = User {
            class,
            team: spec.team.clone(),
            submitted_ms: sim.now_ms,
            accepted_ms: None,
            completed_ms: None,
            gave_up: false,
            cancel_at_ms,
            cancelled: false,
            request: None,
            next_request_ms: sim.now_ms,
            unanswered: 0,
            retry_replies: 0,
        };
        sim.job_specs.insert(id.clone(), spec);
        self.users.insert(id.clone(), user);
        self.open.push(id);
    }

    /// Whether there was a healthy controller since a time: what nobody could have taken is counted apart.
    pub fn step(&mut self, sim: &mut Simulation) {
        self.balancer.probe(sim);
        self.no_healthy_controller_ms += STEP_MS * u64::from(!self.balancer.any_healthy());
        let mut open = std::mem::take(&mut self.open);
        open.retain(|id| {
            let user = self.users.get_mut(id).expect("it is known");
            step(sim, &mut self.balancer, id, user);
            !(user.gave_up || user.cancelled || user.completed_ms.is_some())
        });
        self.open = open;
    }
}

fn step(sim: &mut Simulation, balancer: &mut LoadBalancer, id: &str, user: &mut User) {
    match user.request {
        Some((request, sent, n)) => {
            let reply = sim.answers.remove(&request);
            let ended = sim.controllers[n].controller.is_none()
                || sim.controllers[n].last_stopped_ms > sent;
            if reply.is_none() && !ended && sim.now_ms < sent + user.patience_ms() {
                return;
            }
            balancer.open_requests[n] = balancer.open_requests[n].saturating_sub(1);
            user.request = None;
            user.take_answer(sim.now_ms, reply);
        }
        None if sim.now_ms >= user.next_request_ms => send_next(sim, balancer, id, user),
        None => {}
    }
}

/// A user's next request, if a controller takes it.
fn send_next(sim: &mut Simulation, balancer: &mut LoadBalancer, id: &str, user: &mut User) {
    if user.accepted_ms.is_none() && sim.now_ms > user.submitted_ms + GIVES_UP_MS {
        user.gave_up = true;
        return;
    }
    let Some(n) = balancer.pick(sim) else {
        user.next_request_ms = sim.now_ms + RETRY_MS;
        return;
    };
    let cancels = user.cancel_at_ms.is_some_and(|at| sim.now_ms >= at);
    let request = match user.accepted_ms {
        None => {
            let spec = sim.job_specs[id].clone();
            sim.submit(n, spec)
        }
        Some(_) if cancels => sim.cancel(n, id),
        Some(_) => sim.status(n, id),
    };
    user.request = Some((request, sim.now_ms, n));
}
