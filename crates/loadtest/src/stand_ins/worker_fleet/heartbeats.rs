//! The heartbeats of workers, and which controllers these go to.

use super::{Worker, WorkerFleet};
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{Client, OutgoingRequest, Reply};
use crate::network::partitions::Site;
use crate::processes::controllers::Controllers;
use crate::processes::settings::controller_index;
use crate::protocol::workers::{HeartbeatAnswer, HEARTBEAT_PATH};
use crate::stand_ins::hollow_worker::SentHeartbeat;
use crate::sync::lock;
use hyper::Method;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, timeout_at, Duration};

/// How long a worker waits for an answer, by protocol.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next controller is tried, by protocol.
const NEXT_CONTROLLER_PAUSE: Duration = Duration::from_secs(1);
/// Least time between two heartbeats, by protocol.
const MIN_INTERVAL_MS: u64 = 500;
/// How far a heartbeat's time is off, as a part of the interval, by protocol.
const JITTER: f64 = 0.25;

/// Where a worker's next heartbeat goes.
enum NextController {
    /// To the same controller.
    Same,
    /// To the one with this index, which the last one named.
    Redirected(usize),
    /// To the following one, since the last one gave no usable answer.
    Following,
}

/// The controller that a worker talks to, and the connection to it.
struct HeartbeatTarget {
    controllers: Arc<Controllers>,
    controller: usize,
    client: Client,
}

impl HeartbeatTarget {
    fn new(controllers: Arc<Controllers>, controller: usize) -> HeartbeatTarget {
        HeartbeatTarget {
            client: Client::new(controllers.client_addresses[controller]),
            controllers,
            controller,
        }
    }

    fn switch_to(&mut self, controller: usize) {
        self.controller = controller;
        self.client = Client::new(self.controllers.client_addresses[controller]);
    }

    fn following(&self) -> usize {
        (self.controller + 1) % self.controllers.count()
    }

    fn site(&self) -> Site {
        Site::Zone(self.controllers.zones[self.controller])
    }

    /// Where an answer sends the worker that doesn't come from its controller.
    fn redirection(&self, answer: &HeartbeatAnswer) -> NextController {
        let named = answer.redirect_to.as_deref().and_then(controller_index);
        match named {
            Some(index) if index != self.controller && index < self.controllers.count() => {
                NextController::Redirected(index)
            }
            _ => NextController::Following,
        }
    }
}

impl WorkerFleet {
    /// Sends heartbeats as long as the worker has power.
    pub(super) async fn send_heartbeats(self: Arc<Self>, worker: Arc<Worker>) {
        let environment = &self.environment;
        let interval_ms = environment.plan.workers.heartbeat_interval_s * 1_000.0;
        let first_ms = environment.draw(0.0..interval_ms);
        sleep(Duration::from_millis(first_ms as u64)).await;
        let Some(controllers) = self.controllers.get().cloned() else {
            return;
        };
        let controller = environment.draw(0..controllers.count());
        let mut target = HeartbeatTarget::new(controllers, controller);
        while worker.is_powered() {
            let sent_ms = environment.now_ms();
            match self.send_heartbeat(&worker, &mut target).await {
                NextController::Same => {
                    let jitter = environment.draw(1.0 - JITTER..1.0 + JITTER);
                    let due = environment.instant_at(sent_ms + (interval_ms * jitter) as u64);
                    let _ = timeout_at(due, worker.heartbeat_requested.notified()).await;
                    sleep_until(environment.instant_at(sent_ms + MIN_INTERVAL_MS)).await;
                }
                NextController::Redirected(controller) => {
                    target.switch_to(controller);
                    let pause_ms = environment.draw(0..MIN_INTERVAL_MS);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                NextController::Following => {
                    target.switch_to(target.following());
                    sleep(NEXT_CONTROLLER_PAUSE).await;
                }
            }
        }
    }

    async fn send_heartbeat(
        &self,
        worker: &Worker,
        target: &mut HeartbeatTarget,
    ) -> NextController {
        let (own, other) = (Site::Zone(worker.zone), target.site());
        let network = &self.environment.network;
        if worker.is_silent() || !network.is_reachable(own, other) {
            sleep(ANSWER_TIMEOUT).await;
            return NextController::Following;
        }
        let (heartbeat, incarnation) = {
            let mut state = lock(&worker.state);
            (state.heartbeat(), state.incarnation())
        };
        let sent = SentHeartbeat {
            incarnation,
            sent_ms: self.environment.now_ms(),
        };
        let request = OutgoingRequest {
            method: Method::POST,
            path: HEARTBEAT_PATH,
            body: serde_json::to_vec(&heartbeat).unwrap_or_default(),
            timeout: ANSWER_TIMEOUT,
        };
        let Some(reply) = target.client.call(request).await else {
            return NextController::Following;
        };
        let (request_bytes, answer_bytes) = (reply.request_bytes, reply.answer_bytes);
        let kind = ExchangeKind::WorkerHeartbeat;
        self.count(worker, kind, request_bytes, answer_bytes);
        if worker.is_silent() || !network.is_reachable(other, own) {
            return NextController::Following;
        }
        self.take_reply(worker, target, &reply, sent)
    }

    fn take_reply(
        &self,
        worker: &Worker,
        target: &HeartbeatTarget,
        reply: &Reply,
        sent: SentHeartbeat,
    ) -> NextController {
        let answer = serde_json::from_slice::<HeartbeatAnswer>(&reply.body).ok();
        match (reply.status, answer) {
            (200, Some(answer)) => {
                self.take_answer(worker, &answer, sent);
                NextController::Same
            }
            (421, Some(answer)) => target.redirection(&answer),
            _ => NextController::Following,
        }
    }

    fn take_answer(&self, worker: &Worker, answer: &HeartbeatAnswer, sent: SentHeartbeat) {
        let mut state = lock(&worker.state);
        if !worker.is_powered() {
            return;
        }
        let environment = &self.environment;
        let now_ms = environment.now_ms();
        let events = state.apply_heartbeat_answer(answer, sent, &environment.jobs, now_ms);
        environment.record_worker_events(&worker.placement, events);
        if !answer.commands.is_empty() {
            worker.wake();
        }
    }
}
