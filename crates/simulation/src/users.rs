//! Users of a day, and the load balancer between them and the controllers. The balancer probes each controller once
//! a second and keeps a removed one out for a time that doubles with each removal. Users retry, and poll every 5 s.

use crate::Simulation;
use glenmount_core::controller::{Controller, RequestId, UserReply};
use glenmount_core::model::{JobSpec, JobState};
use std::collections::BTreeMap;

/// Interval between two steps of the users and the load balancer.
pub const STEP_MS: u64 = 20;
/// Interval between two probes of a controller.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Shortest time for which a removed controller stays out. It doubles with each repeated removal.
const REMOVAL_MIN_MS: u64 = 3_000;
/// Longest time for which a removed controller stays out.
const REMOVAL_MAX_MS: u64 = 60_000;
/// Time after a removal within which the next one counts as repeated.
const REPEATED_REMOVAL_MS: u64 = 120_000;
/// Interval between two polls of a user.
const POLL_INTERVAL_MS: u64 = 5_000;
/// Delay after which a user repeats a request that got no answer.
const RETRY_MS: u64 = 1_000;
/// Time that a user waits for the answer to a submission.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;
/// Time that a user waits for the answer to a status request or cancellation.
const POLL_TIMEOUT_MS: u64 = 2_000;
/// Time after which a user gives up on a submission.
const GIVE_UP_MS: u64 = 60_000;

/// A controller as the load balancer sees it.
#[derive(Clone, Debug, Default)]
struct Backend {
    healthy: bool,
    was_healthy: bool,
    failures: u32,
    successes: u32,
    removed_ms: u64,
    /// Time for which it stays out after its removal.
    removal_ms: u64,
}

impl Backend {
    /// Records a successful probe. A removed controller returns after two successes, once its time is over.
    fn probe_succeeded(&mut self, now_ms: u64) {
        self.failures = 0;
        self.successes += 1;
        let stays_out = now_ms < self.removed_ms + self.removal_ms;
        if !self.healthy && (!self.was_healthy || self.successes >= 2 && !stays_out) {
            (self.healthy, self.was_healthy) = (true, true);
        }
    }

    /// Records a failed probe. The second failure in a row removes the controller.
    fn probe_failed(&mut self, now_ms: u64) {
        self.successes = 0;
        self.failures += 1;
        if self.healthy && self.failures >= 2 {
            self.healthy = false;
            let is_repeated = now_ms < self.removed_ms + REPEATED_REMOVAL_MS;
            self.removal_ms = match is_repeated {
                true => (self.removal_ms * 2).clamp(REMOVAL_MIN_MS, REMOVAL_MAX_MS),
                false => REMOVAL_MIN_MS,
            };
            self.removed_ms = now_ms;
        }
    }
}

/// The load balancer between users and controllers.
pub struct LoadBalancer {
    backends: Vec<Backend>,
    next_probe_ms: Vec<u64>,
    open_requests: Vec<usize>,
}

impl LoadBalancer {
    fn new(controllers: usize) -> LoadBalancer {
        LoadBalancer {
            backends: vec![Backend::default(); controllers],
            next_probe_ms: (0..controllers as u64).map(|index| index * 300).collect(),
            open_requests: vec![0; controllers],
        }
    }

    /// Probes the controllers that are due.
    fn probe(&mut self, sim: &Simulation) {
        for index in 0..self.backends.len() {
            if sim.now_ms < self.next_probe_ms[index] {
                continue;
            }
            self.next_probe_ms[index] = sim.now_ms + PROBE_INTERVAL_MS;
            let controller = sim.controllers[index].controller.as_ref();
            let is_ready = !sim.is_paused(index)
                && controller.is_some_and(Controller::ready)
                && !sim.is_unreachable(index);
            match is_ready {
                true => self.backends[index].probe_succeeded(sim.now_ms),
                false => self.backends[index].probe_failed(sim.now_ms),
            }
        }
    }

    /// Picks a healthy controller that accepts a connection, of the three with the fewest open requests.
    fn pick(&mut self, sim: &Simulation) -> Option<usize> {
        let mut healthy: Vec<usize> = (0..self.backends.len())
            .filter(|index| self.backends[*index].healthy)
            .collect();
        healthy.sort_by_key(|index| self.open_requests[*index]);
        let controller = *healthy.iter().take(3).find(|index| {
            sim.controllers[**index].controller.is_some() && !sim.is_unreachable(**index)
        })?;
        self.open_requests[controller] += 1;
        Some(controller)
    }

    /// Returns whether any controller is healthy.
    pub fn any_healthy(&self) -> bool {
        self.backends.iter().any(|backend| backend.healthy)
    }
}

/// The user of one job.
#[derive(Clone, Debug)]
pub struct User {
    /// Index of the job's class.
    pub class: usize,
    /// Team of the job.
    pub team: String,
    /// Time of the first submission.
    pub submitted_ms: u64,
    /// Time at which the user was told that the job is accepted.
    pub accepted_ms: Option<u64>,
    /// Time at which the user was told that the job is done.
    pub completed_ms: Option<u64>,
    /// Whether the user has given up.
    pub gave_up: bool,
    /// Time at which the user cancels the job.
    cancel_at_ms: Option<u64>,
    /// Whether the user was told that the job is cancelled.
    pub cancelled: bool,
    /// Open request, the time at which it was sent, and its controller.
    request: Option<(RequestId, u64, usize)>,
    next_request_ms: u64,
    /// Number of submissions without an answer in time.
    pub unanswered: u32,
    /// Number of submissions that were told to retry later.
    pub retry_replies: u32,
}

/// All users of a day.
pub struct Users {
    /// The load balancer.
    pub balancer: LoadBalancer,
    /// Users by the names of their jobs.
    pub users: BTreeMap<String, User>,
    /// Jobs whose users still send requests.
    open: Vec<String>,
    /// Time in which no controller was healthy.
    pub no_healthy_controller_ms: u64,
}

impl User {
    /// Returns whether the user cancels the job at some time.
    pub fn cancels(&self) -> bool {
        self.cancel_at_ms.is_some()
    }

    /// Returns the time that the user waits for an answer.
    fn timeout_ms(&self) -> u64 {
        match self.accepted_ms {
            None => SUBMIT_TIMEOUT_MS,
            Some(_) => POLL_TIMEOUT_MS,
        }
    }

    /// Records an answer, or its absence, and schedules the next request.
    fn record_answer(&mut self, now_ms: u64, reply: Option<UserReply>) {
        self.next_request_ms = now_ms + RETRY_MS;
        match reply {
            Some(UserReply::Accepted { .. }) => {
                self.accepted_ms.get_or_insert(now_ms);
                self.next_request_ms = now_ms + POLL_INTERVAL_MS;
            }
            Some(UserReply::Status { state, .. } | UserReply::Cancelled { state, .. }) => {
                self.accepted_ms.get_or_insert(now_ms);
                self.next_request_ms = now_ms + POLL_INTERVAL_MS;
                match state {
                    JobState::Done => self.completed_ms = Some(now_ms),
                    JobState::Cancelled => self.cancelled = true,
                    JobState::Pending | JobState::Running => {}
                }
            }
            Some(UserReply::RetryAfter { after_s }) => {
                self.retry_replies += u32::from(self.accepted_ms.is_none());
                self.next_request_ms = now_ms + 1_000 * u64::from(after_s.max(1));
            }
            Some(UserReply::NotFound | UserReply::Rejected(_)) => self.gave_up = true,
            None => self.unanswered += u32::from(self.accepted_ms.is_none()),
        }
    }
}

impl Users {
    /// Creates a load balancer without users.
    pub fn new(controllers: usize) -> Users {
        Users {
            balancer: LoadBalancer::new(controllers),
            users: BTreeMap::new(),
            open: Vec::new(),
            no_healthy_controller_ms: 0,
        }
    }

    /// Adds a user who submits a job, and cancels it at a time if one is given.
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

    /// Runs one step of the load balancer and of all users, and counts the time without a healthy controller.
    pub fn step(&mut self, sim: &mut Simulation) {
        self.balancer.probe(sim);
        self.no_healthy_controller_ms += STEP_MS * u64::from(!self.balancer.any_healthy());
        let mut open = std::mem::take(&mut self.open);
        open.retain(|id| {
            let user = self.users.get_mut(id).expect("every open job has a user");
            step_user(sim, &mut self.balancer, id, user);
            !(user.gave_up || user.cancelled || user.completed_ms.is_some())
        });
        self.open = open;
    }
}

/// Handles the answer or the timeout of a user's request, or sends the next request.
fn step_user(sim: &mut Simulation, balancer: &mut LoadBalancer, id: &str, user: &mut User) {
    match user.request {
        Some((request, sent_ms, controller)) => {
            let reply = sim.answers.remove(&request);
            let slot = &sim.controllers[controller];
            let is_closed = slot.controller.is_none() || slot.last_stopped_ms > sent_ms;
            if reply.is_none() && !is_closed && sim.now_ms < sent_ms + user.timeout_ms() {
                return;
            }
            let open_requests = &mut balancer.open_requests[controller];
            *open_requests = open_requests.saturating_sub(1);
            user.request = None;
            user.record_answer(sim.now_ms, reply);
        }
        None if sim.now_ms >= user.next_request_ms => send_next(sim, balancer, id, user),
        None => {}
    }
}

/// Sends a user's next request if the load balancer finds a controller.
fn send_next(sim: &mut Simulation, balancer: &mut LoadBalancer, id: &str, user: &mut User) {
    if user.accepted_ms.is_none() && sim.now_ms > user.submitted_ms + GIVE_UP_MS {
        user.gave_up = true;
        return;
    }
    let Some(controller) = balancer.pick(sim) else {
        user.next_request_ms = sim.now_ms + RETRY_MS;
        return;
    };
    let is_cancellation = user.cancel_at_ms.is_some_and(|at| sim.now_ms >= at);
    let request = match user.accepted_ms {
        None => {
            let spec = sim.job_specs[id].clone();
            sim.submit(controller, spec)
        }
        Some(_) if is_cancellation => sim.cancel(controller, id),
        Some(_) => sim.status(controller, id),
    };
    user.request = Some((request, sim.now_ms, controller));
}
