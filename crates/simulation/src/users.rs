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
    ever: bool,
    failures: u32,
    successes: u32,
    removed_at: u64,
    pause_ms: u64,
}

impl Backend {
    fn probe_succeeded(&mut self, now: u64) {
        self.failures = 0;
        self.successes += 1;
        let paused = now < self.removed_at + self.pause_ms;
        if !self.healthy && (!self.ever || self.successes >= 2 && !paused) {
            (self.healthy, self.ever) = (true, true);
        }
    }

    fn probe_failed(&mut self, now: u64) {
        self.successes = 0;
        self.failures += 1;
        if self.healthy && self.failures >= 2 {
            self.healthy = false;
            let again = now < self.removed_at + REMOVED_AGAIN_MS;
            self.pause_ms = match again {
                true => (self.pause_ms * 2).clamp(PAUSE_LEAST_MS, PAUSE_MOST_MS),
                false => PAUSE_LEAST_MS,
            };
            self.removed_at = now;
        }
    }
}

pub struct LoadBalancer {
    controllers: Vec<Backend>,
    next_probe: Vec<u64>,
    open: Vec<usize>,
}

impl LoadBalancer {
    fn new(controllers: usize) -> LoadBalancer {
        LoadBalancer {
            controllers: vec![Backend::default(); controllers],
            next_probe: (0..controllers as u64).map(|n| n * 300).collect(),
            open: vec![0; controllers],
        }
    }

    fn probe(&mut self, sim: &Simulation) {
        for n in 0..self.controllers.len() {
            if sim.now_ms < self.next_probe[n] {
                continue;
            }
            self.next_probe[n] = sim.now_ms + PROBE_MS;
            let controller = sim.controllers[n].controller.as_ref();
            let ok = !sim.is_paused(n)
                && controller.is_some_and(Controller::ready)
                && !sim.is_unreachable(n);
            match ok {
                true => self.controllers[n].probe_succeeded(sim.now_ms),
                false => self.controllers[n].probe_failed(sim.now_ms),
            }
        }
    }

    /// A healthy controller that takes the connection.
    fn pick(&mut self, sim: &Simulation) -> Option<usize> {
        let mut those: Vec<usize> = (0..self.controllers.len())
            .filter(|n| self.controllers[*n].healthy)
            .collect();
        those.sort_by_key(|n| self.open[*n]);
        let n = *those
            .iter()
            .take(3)
            .find(|n| sim.controllers[**n].controller.is_some() && !sim.is_unreachable(**n))?;
        self.open[n] += 1;
        Some(n)
    }

    pub fn any_healthy(&self) -> bool {
        self.controllers.iter().any(|s| s.healthy)
    }
}

/// One job's user.
#[derive(Clone, Debug)]
pub struct User {
    pub class: usize,
    pub team: String,
    pub asked_at: u64,
    pub accepted_at: Option<u64>,
    /// When a poll first said that it is done.
    pub done_at: Option<u64>,
    pub gave_up: bool,
    cancel_at: Option<u64>,
    pub cancelled: bool,
    request: Option<(RequestId, u64, usize)>,
    next_at: u64,
    /// Submissions of it that got no answer in time, and those told to come back.
    pub unanswered: u32,
    pub told_later: u32,
}

pub struct Users {
    pub balancer: LoadBalancer,
    pub users: BTreeMap<String, User>,
    open: Vec<String>,
    /// Steps in which no controller was healthy.
    pub blind_ms: u64,
}

impl User {
    /// Whether its user means to cancel it.
    pub fn cancels(&self) -> bool {
        self.cancel_at.is_some()
    }

    /// Milliseconds for which it waits for an answer.
    fn patience_ms(&self) -> u64 {
        match self.accepted_at {
            None => SUBMIT_WAITS_MS,
            Some(_) => POLL_WAITS_MS,
        }
    }

    /// What it makes of an answer, or of none.
    fn take_answer(&mut self, now: u64, reply: Option<UserReply>) {
        self.next_at = now + RETRY_MS;
        match reply {
            Some(UserReply::Accepted { .. }) => {
                self.accepted_at.get_or_insert(now);
                self.next_at = now + PASS_INTERVAL_MS;
            }
            Some(UserReply::Status { state, .. } | UserReply::Cancelled { state, .. }) => {
                self.accepted_at.get_or_insert(now);
                self.next_at = now + PASS_INTERVAL_MS;
                match state {
                    JobState::Done => self.done_at = Some(now),
                    JobState::Cancelled => self.cancelled = true,
                    JobState::Pending | JobState::Running => {}
                }
            }
            Some(UserReply::RetryAfter { after_s }) => {
                self.told_later += u32::from(self.accepted_at.is_none());
                self.next_at = now + 1_000 * u64::from(after_s.max(1));
            }
            Some(UserReply::NotFound | UserReply::Rejected(_)) => self.gave_up = true,
            None => self.unanswered += u32::from(self.accepted_at.is_none()),
        }
    }
}

impl Users {
    pub fn new(controllers: usize) -> Users {
        Users {
            balancer: LoadBalancer::new(controllers),
            users: BTreeMap::new(),
            open: Vec::new(),
            blind_ms: 0,
        }
    }

    pub fn wants(
        &mut self,
        sim: &mut Simulation,
        class: usize,
        spec: JobSpec,
        cancel_at: Option<u64>,
    ) {
        let id = spec.id.clone();
        let user = User {
            class,
            team: spec.team.clone(),
            asked_at: sim.now_ms,
            accepted_at: None,
            done_at: None,
            gave_up: false,
            cancel_at,
            cancelled: false,
            request: None,
            next_at: sim.now_ms,
            unanswered: 0,
            told_later: 0,
        };
        sim.job_specs.insert(id.clone(), spec);
        self.users.insert(id.clone(), user);
        self.open.push(id);
    }

    /// Whether there was a healthy controller since a time: what nobody could have taken is counted apart.
    pub fn step(&mut self, sim: &mut Simulation) {
        self.balancer.probe(sim);
        self.blind_ms += STEP_MS * u64::from(!self.balancer.any_healthy());
        let mut open = std::mem::take(&mut self.open);
        open.retain(|id| {
            let user = self.users.get_mut(id).expect("it is known");
            step(sim, &mut self.balancer, id, user);
            !(user.gave_up || user.cancelled || user.done_at.is_some())
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
            balancer.open[n] = balancer.open[n].saturating_sub(1);
            user.request = None;
            user.take_answer(sim.now_ms, reply);
        }
        None if sim.now_ms >= user.next_at => send_next(sim, balancer, id, user),
        None => {}
    }
}

/// A user's next request, if a controller takes it.
fn send_next(sim: &mut Simulation, balancer: &mut LoadBalancer, id: &str, user: &mut User) {
    if user.accepted_at.is_none() && sim.now_ms > user.asked_at + GIVES_UP_MS {
        user.gave_up = true;
        return;
    }
    let Some(n) = balancer.pick(sim) else {
        user.next_at = sim.now_ms + RETRY_MS;
        return;
    };
    let cancels = user.cancel_at.is_some_and(|at| sim.now_ms >= at);
    let request = match user.accepted_at {
        None => {
            let spec = sim.job_specs[id].clone();
            sim.submit(n, spec)
        }
        Some(_) if cancels => sim.cancel(n, id),
        Some(_) => sim.status(n, id),
    };
    user.request = Some((request, sim.now_ms, n));
}
