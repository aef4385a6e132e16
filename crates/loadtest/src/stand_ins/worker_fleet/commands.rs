//! Handling of requests that controllers send to workers' addresses.

use super::{Worker, WorkerFleet};
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{Answer, IncomingRequest};
use crate::network::partitions::Site;
use crate::protocol::workers::{DirectCommand, COMMAND_PATH};
use crate::sync::lock;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::time::{sleep, Duration};

/// Time after which a request to an unreachable worker fails.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

impl WorkerFleet {
    pub(super) async fn serve_command(self: &Arc<Self>, request: IncomingRequest) -> Answer {
        let worker = self.worker_at(request.connection.local.ip());
        let Some(worker) = worker.filter(|worker| !worker.is_unreachable()) else {
            sleep(UNREACHABLE_TIMEOUT).await;
            return Answer::empty(503);
        };
        if !self.environment.network.is_fully_connected() {
            self.wait_until_reachable(&request, &worker).await;
        }
        let kind = match request.path.as_str() {
            COMMAND_PATH => ExchangeKind::WorkerCommand,
            _ => ExchangeKind::WorkerStatus,
        };
        let answer = self.answer(&request, &worker);
        self.count(&worker, kind, request.bytes, answer.bytes());
        answer
    }

    fn worker_at(&self, ip: IpAddr) -> Option<Arc<Worker>> {
        match ip {
            IpAddr::V4(ip) => lock(&self.workers).get(&ip).cloned(),
            IpAddr::V6(_) => None,
        }
    }

    /// Delays a command until no partition separates its sender from the worker.
    async fn wait_until_reachable(&self, request: &IncomingRequest, worker: &Worker) {
        let connection = &request.connection;
        let Some(controllers) = self.controllers.get() else {
            return;
        };
        let sender = connection
            .controller
            .get_or_init(|| controllers.owner_of(connection.peer));
        let zone = sender.and_then(|index| controllers.zones.get(index));
        if let Some(zone) = zone {
            let (from, to) = (Site::Zone(*zone), Site::Zone(worker.zone));
            self.environment
                .network
                .wait_until_reachable(from, to)
                .await;
        }
    }

    fn answer(self: &Arc<Self>, request: &IncomingRequest, worker: &Arc<Worker>) -> Answer {
        let mut state = lock(&worker.state);
        if request.path != COMMAND_PATH {
            return Answer::json(200, &state.heartbeat());
        }
        let Ok(command) = serde_json::from_slice::<DirectCommand>(&request.body) else {
            return Answer::empty(400);
        };
        let (Some(token), Some(incarnation)) = (command.fencing_token, command.incarnation) else {
            return Answer::empty(400);
        };
        let environment = &self.environment;
        let (jobs, now_ms) = (&environment.jobs, environment.now_ms());
        let outcome =
            state.apply_direct_command(token, incarnation, &command.commands, jobs, now_ms);
        let status = match outcome {
            Ok(events) => {
                environment.record_worker_events(&worker.placement, events);
                environment.worker_messages.add("commands executed", 1);
                self.repeat_later(worker, command);
                200
            }
            Err(_) => {
                environment.worker_messages.add("commands refused", 1);
                409
            }
        };
        worker.wake();
        Answer::json(status, &state.heartbeat())
    }
}
