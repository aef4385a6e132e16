//! Heartbeats of workers and the choice of the controller that receives them.

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
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, timeout_at, Duration};

/// Time that a worker waits for the answer to a heartbeat, by protocol.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker tries the next controller, by protocol.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);
/// Shortest interval between two heartbeats, by protocol.
const MIN_INTERVAL_MS: u64 = 500;
/// Random deviation of the heartbeat interval in both directions, relative to the interval, by protocol.
const INTERVAL_JITTER: f64 = 0.25;

/// The controller that receives a worker's next heartbeat.
enum NextController {
    /// The same controller.
    Same,
    /// The controller with this index, to which the current one redirected the worker.
    Redirected(usize),
    /// The next controller by index, since the current one gave no usable answer.
    Following,
}

/// The controller that receives a worker's heartbeats, and the connection to it.
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

    fn following_controller(&self) -> usize {
        (self.controller + 1) % self.controllers.count()
    }

    fn site(&self) -> Site {
        Site::Zone(self.controllers.zones[self.controller])
    }

    /// Returns the next controller after an answer from a controller that doesn't own the worker.
    fn redirected(&self, answer: &HeartbeatAnswer) -> NextController {
        let redirect_index = answer.redirect_to.as_deref().and_then(controller_index);
        match redirect_index {
            Some(index) if index != self.controller && index < self.controllers.count() => {
                NextController::Redirected(index)
            }
            _ => NextController::Following,
        }
    }
}

impl WorkerFleet {
    /// Sends heartbeats while the worker has power.
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
                    let jitter = environment.draw(1.0 - INTERVAL_JITTER..1.0 + INTERVAL_JITTER);
                    let due = environment.instant_at(sent_ms + (interval_ms * jitter) as u64);
                    let _ = timeout_at(due, worker.heartbeat_requested.notified()).await;
                    sleep_until(environment.instant_at(sent_ms + MIN_INTERVAL_MS)).await;
                }
                NextController::Redirected(controller) => {
                    target.switch_to(controller);
                    let delay_ms = environment.draw(0..MIN_INTERVAL_MS);
                    sleep(Duration::from_millis(delay_ms)).await;
                }
                NextController::Following => {
                    target.switch_to(target.following_controller());
                    sleep(NEXT_CONTROLLER_DELAY).await;
                }
            }
        }
    }

    async fn send_heartbeat(
        &self,
        worker: &Worker,
        target: &mut HeartbeatTarget,
    ) -> NextController {
        let (worker_site, controller_site) = (Site::Zone(worker.zone), target.site());
        let network = &self.environment.network;
        if worker.is_unreachable() || !network.is_reachable(worker_site, controller_site) {
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
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let largest_bytes = &self.environment.largest_heartbeat_bytes;
        largest_bytes.fetch_max(body.len() as u64, Relaxed);
        let request = OutgoingRequest {
            method: Method::POST,
            path: HEARTBEAT_PATH,
            body,
            timeout: ANSWER_TIMEOUT,
        };
        let Some(reply) = target.client.call(request).await else {
            return NextController::Following;
        };
        let (request_bytes, answer_bytes) = (reply.request_bytes, reply.answer_bytes);
        let kind = ExchangeKind::WorkerHeartbeat;
        self.count(worker, kind, request_bytes, answer_bytes);
        if worker.is_unreachable() || !network.is_reachable(controller_site, worker_site) {
            return NextController::Following;
        }
        self.handle_reply(worker, target, &reply, sent)
    }

    fn handle_reply(
        &self,
        worker: &Worker,
        target: &HeartbeatTarget,
        reply: &Reply,
        sent: SentHeartbeat,
    ) -> NextController {
        let name = format!("heartbeats answered {}", reply.status);
        self.environment.worker_messages.add(&name, 1);
        let answer = serde_json::from_slice::<HeartbeatAnswer>(&reply.body).ok();
        match (reply.status, answer) {
            (200, Some(answer)) => {
                self.apply_answer(worker, &answer, sent);
                NextController::Same
            }
            (421, Some(answer)) => target.redirected(&answer),
            _ => NextController::Following,
        }
    }

    fn apply_answer(&self, worker: &Worker, answer: &HeartbeatAnswer, sent: SentHeartbeat) {
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
