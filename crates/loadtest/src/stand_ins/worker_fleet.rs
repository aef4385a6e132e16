//! All hollow workers: each reports to a controller, takes commands at an address of its own, and keeps
//! its lease, as the protocol asks.

use crate::environment::Environment;
use crate::invariants::Placement;
use crate::measurement::counters::ExchangeKind;
use crate::network::http::{serve, Answer, Client, Incoming};
use crate::network::partitions::{lock, Site};
use crate::plan::ZoneIndex;
use crate::processes::controllers::{controller_index, Controllers};
use crate::protocol::{DirectCommand, HeartbeatAnswer};
use crate::stand_ins::hollow_worker::{Capacity, CommandOutcome, HollowWorker, Identity};
use hyper::Method;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout_at, Duration};

/// The one type of machine.
pub const MACHINE_TYPE: &str = "standard-16";
/// How long a worker waits for an answer, by protocol.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// Pause before the next controller is tried, by protocol.
const NEXT_CONTROLLER: Duration = Duration::from_secs(1);
/// Least time between two reports, by protocol.
const LEAST_REPORT_MS: u64 = 500;
/// How far a report's time is off, by protocol.
const REPORT_OFF: f64 = 0.25;
/// A message to a machine without power gets no answer for so long, and then a failure.
const SILENCE: Duration = Duration::from_secs(30);
/// Machines in an address's last two parts.
const ADDRESSES_PER_BLOCK: u64 = 62_500;
const ADDRESSES_PER_ROW: u64 = 250;

/// One worker's machine.
pub struct Worker {
    pub name: String,
    pub zone: ZoneIndex,
    state: Mutex<HollowWorker>,
    place: Placement,
    powered: AtomicBool,
    /// Reaches nobody, by itself.
    isolated: AtomicBool,
    changed: Notify,
    woken: Notify,
    /// Bytes that it has sent and received for control.
    bytes: AtomicU64,
}

impl Worker {
    fn is_silent(&self) -> bool {
        !self.powered.load(Relaxed) || self.isolated.load(Relaxed)
    }

    pub fn is_powered(&self) -> bool {
        self.powered.load(Relaxed)
    }

    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Relaxed);
    }
}

/// The workers that are up, by their addresses.
pub struct WorkerFleet {
    environment: Arc<Environment>,
    workers: Mutex<HashMap<Ipv4Addr, Arc<Worker>>>,
    controllers: OnceLock<Arc<Controllers>>,
    next: AtomicU64,
    port: u16,
}

fn address(n: u64) -> Ipv4Addr {
    let block = 1 + n / ADDRESSES_PER_BLOCK;
    let row = n / ADDRESSES_PER_ROW % ADDRESSES_PER_ROW;
    let place = 1 + n % ADDRESSES_PER_ROW;
    Ipv4Addr::new(127, block as u8, row as u8, place as u8)
}

impl WorkerFleet {
    /// Listens for commands on all addresses of the loopback range.
    pub async fn new(environment: Arc<Environment>) -> std::io::Result<Arc<WorkerFleet>> {
        let listener = TcpListener::bind("0.0.0.0:0").await?;
        let fleet = Arc::new(WorkerFleet {
            environment,
            workers: Mutex::default(),
            controllers: OnceLock::new(),
            next: AtomicU64::new(1),
            port: listener.local_addr()?.port(),
        });
        let serving = fleet.clone();
        serve(listener, move |request| {
            let fleet = serving.clone();
            async move { fleet.command(request).await }
        });
        Ok(fleet)
    }

    /// Workers may report from now on.
    pub fn controllers_are(&self, controllers: Arc<Controllers>) {
        let _ = self.controllers.set(controllers);
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let mut workers: Vec<Arc<Worker>> = lock(&self.workers).values().cloned().collect();
        workers.sort_by(|a, b| a.name.cmp(&b.name));
        workers
    }

    /// Bytes for control of each worker so far.
    pub fn bytes(&self) -> HashMap<String, u64> {
        let workers = lock(&self.workers);
        let each = workers.values();
        each.map(|worker| (worker.name.clone(), worker.bytes.load(Relaxed)))
            .collect()
    }

    /// A name and an address for a machine to come; names follow the order of creation.
    pub fn reserve(&self) -> (String, SocketAddr) {
        let n = self.next.fetch_add(1, Relaxed);
        let address = SocketAddr::from((address(n), self.port));
        (format!("n-{n:06}"), address)
    }

    /// A machine comes up.
    pub fn boot(self: &Arc<Self>, name: &str, at: SocketAddr, zone: ZoneIndex, spot: bool) {
        let IpAddr::V4(ip) = at.ip() else {
            return;
        };
        let zones = self.environment.plan.zones();
        let identity = Identity {
            name: name.to_string(),
            address: at.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: zones[zone.0].0.to_string(),
            spot,
        };
        let place = Placement {
            machine: identity.name.clone(),
            machine_type: identity.machine_type.clone(),
            zone: identity.zone.clone(),
            spot,
        };
        let workers = &self.environment.plan.workers;
        let capacity = Capacity {
            cpus: workers.cpus,
            ram_gb: workers.ram_gb,
            image_gb_per_s: workers.image_gb_per_s,
        };
        let state = HollowWorker::new(identity, capacity, self.environment.now_ms());
        let worker = Arc::new(Worker {
            name: name.to_string(),
            zone,
            state: Mutex::new(state),
            place,
            powered: AtomicBool::new(true),
            isolated: AtomicBool::new(false),
            changed: Notify::new(),
            woken: Notify::new(),
            bytes: AtomicU64::new(0),
        });
        lock(&self.workers).insert(ip, worker.clone());
        tokio::spawn(self.clone().progress(worker.clone()));
        tokio::spawn(self.clone().heartbeat(worker));
    }

    /// A machine loses power; nothing answers at its address any more.
    pub fn power_off(&self, worker: &Worker) {
        let mut state = lock(&worker.state);
        worker.powered.store(false, Relaxed);
        let changes = state.stop_all(self.environment.now_ms());
        self.environment
            .record_worker_events(&worker.place, changes);
        worker.woken.notify_one();
        worker.changed.notify_one();
    }

    /// A machine starts anew at once, with its next session.
    pub fn restart(&self, worker: &Worker) {
        let mut state = lock(&worker.state);
        let changes = state.restart(self.environment.now_ms());
        self.environment
            .record_worker_events(&worker.place, changes);
        worker.changed.notify_one();
        worker.woken.notify_one();
    }

    /// A machine is gone: power off, and its address is nobody's.
    pub fn remove(&self, name: &str) {
        let found = {
            let workers = lock(&self.workers);
            workers
                .iter()
                .find(|(_, worker)| worker.name == name)
                .map(|(ip, worker)| (*ip, worker.clone()))
        };
        if let Some((ip, worker)) = found {
            self.power_off(&worker);
            lock(&self.workers).remove(&ip);
        }
    }

    /// Lets time pass on a machine: images arrive, tasks end, the lease runs out.
    async fn progress(self: Arc<Self>, worker: Arc<Worker>) {
        let lease_ms = (self.environment.plan.workers.lease_s * 1_000.0) as u64;
        while worker.is_powered() {
            let next_ms = {
                let mut state = lock(&worker.state);
                let now_ms = self.environment.now_ms();
                let mut changes = Vec::new();
                if state.is_lease_expired(lease_ms, now_ms) {
                    changes = state.begin_incarnation(now_ms);
                    worker.changed.notify_one();
                }
                changes.extend(state.advance(now_ms));
                if !changes.is_empty() {
                    worker.changed.notify_one();
                }
                if worker.is_powered() {
                    self.environment
                        .record_worker_events(&worker.place, changes);
                }
                let lease_ms = lease_ms / 4 + now_ms;
                state
                    .next_change_ms()
                    .map_or(lease_ms, |at| at.min(lease_ms))
            };
            let at = self.environment.instant_at(next_ms + 1);
            let _ = timeout_at(at, worker.woken.notified()).await;
        }
    }

    async fn heartbeat(self: Arc<Self>, worker: Arc<Worker>) {
        let report_ms = self.environment.plan.workers.report_s * 1_000.0;
        let first = self.environment.draw(0.0..report_ms);
        sleep(Duration::from_millis(first as u64)).await;
        let Some(controllers) = self.controllers.get().cloned() else {
            return;
        };
        let mut controller = self.environment.draw(0..controllers.count());
        let mut client = Client::new(controllers.clients[controller]);
        while worker.is_powered() {
            let sent_ms = self.environment.now_ms();
            match self
                .report_once(&worker, controller, &controllers, &mut client)
                .await
            {
                Next::Stay => {
                    let off = self.environment.draw(1.0 - REPORT_OFF..1.0 + REPORT_OFF);
                    let due = self
                        .environment
                        .instant_at(sent_ms + (report_ms * off) as u64);
                    let _ = timeout_at(due, worker.changed.notified()).await;
                    sleep_until(self.environment.instant_at(sent_ms + LEAST_REPORT_MS)).await;
                }
                Next::At(other) => {
                    controller = other;
                    client = Client::new(controllers.clients[controller]);
                    let wait = self.environment.draw(0..LEAST_REPORT_MS);
                    sleep(Duration::from_millis(wait)).await;
                }
                Next::Following => {
                    controller = (controller + 1) % controllers.count();
                    client = Client::new(controllers.clients[controller]);
                    sleep(NEXT_CONTROLLER).await;
                }
            }
        }
    }

    async fn report_once(
        &self,
        worker: &Worker,
        controller: usize,
        controllers: &Controllers,
        client: &mut Client,
    ) -> Next {
        let (own, other) = (
            Site::Zone(worker.zone),
            Site::Zone(controllers.zones[controller]),
        );
        let network = &self.environment.network;
        if worker.is_silent() || !network.reaches(own, other) {
            sleep(ANSWER_WITHIN).await;
            return Next::Following;
        }
        let (heartbeat, incarnation) = {
            let mut state = lock(&worker.state);
            (state.heartbeat(), state.incarnation())
        };
        let sent_ms = self.environment.now_ms();
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let reply = client
            .call(Method::POST, "/checkin", body, ANSWER_WITHIN)
            .await;
        let Some(reply) = reply else {
            return Next::Following;
        };
        self.count(
            worker,
            ExchangeKind::WorkerHeartbeat,
            reply.request_bytes,
            reply.answer_bytes,
        );
        if worker.is_silent() || !network.reaches(other, own) {
            return Next::Following;
        }
        let answer = serde_json::from_slice::<HeartbeatAnswer>(&reply.body).ok();
        match (reply.status, answer) {
            (200, Some(answer)) => {
                self.apply_heartbeat_answer(worker, &answer, incarnation, sent_ms);
                Next::Stay
            }
            (421, Some(answer)) => {
                let named = answer.redirect_to.as_deref().and_then(controller_index);
                let named = named.filter(|n| *n != controller && *n < controllers.count());
                named.map_or(Next::Following, Next::At)
            }
            _ => Next::Following,
        }
    }

    fn apply_heartbeat_answer(
        &self,
        worker: &Worker,
        answer: &HeartbeatAnswer,
        incarnation: u64,
        sent_ms: u64,
    ) {
        let mut state = lock(&worker.state);
        if !worker.is_powered() {
            return;
        }
        let now_ms = self.environment.now_ms();
        let (fencing_token, commands) = (answer.fencing_token, &answer.commands);
        let jobs = &self.environment.jobs;
        let changes = state.apply_heartbeat_answer(
            fencing_token,
            commands,
            incarnation,
            sent_ms,
            jobs,
            now_ms,
        );
        self.environment
            .record_worker_events(&worker.place, changes);
        if !commands.is_empty() {
            worker.changed.notify_one();
            worker.woken.notify_one();
        }
    }

    async fn command(&self, request: Incoming) -> Answer {
        let worker = match request.connection.local.ip() {
            IpAddr::V4(ip) => lock(&self.workers).get(&ip).cloned(),
            IpAddr::V6(_) => None,
        };
        let Some(worker) = worker.filter(|worker| !worker.is_silent()) else {
            sleep(SILENCE).await;
            return Answer::text(503, "");
        };
        if !self.environment.network.is_whole() {
            self.hold(&request, &worker).await;
        }
        let kind = match request.path.as_str() {
            "/do" => ExchangeKind::WorkerCommand,
            _ => ExchangeKind::WorkerStatus,
        };
        let answer = self.answer(&request, &worker);
        self.count(&worker, kind, request.bytes, answer.bytes());
        answer
    }

    /// Holds a command up until the network between its sender and the machine is whole.
    async fn hold(&self, request: &Incoming, worker: &Worker) {
        let connection = &request.connection;
        let Some(controllers) = self.controllers.get() else {
            return;
        };
        let owner = connection.owner.get_or_init(|| {
            let number = controllers.at(connection.peer);
            number.map(|n| n as u32)
        });
        let zone = owner.and_then(|n| controllers.zones.get(n as usize));
        if let Some(zone) = zone {
            let network = &self.environment.network;
            let (from, to) = (Site::Zone(*zone), Site::Zone(worker.zone));
            network.until_reached(from, to).await;
        }
    }

    fn answer(&self, request: &Incoming, worker: &Worker) -> Answer {
        let mut state = lock(&worker.state);
        if request.path != "/do" {
            return Answer::json(200, &state.heartbeat());
        }
        let command = serde_json::from_slice::<DirectCommand>(&request.body).ok();
        let named = command
            .as_ref()
            .and_then(|c| Some((c.fencing_token?, c.incarnation?)));
        let (Some(command), Some((fencing_token, incarnation))) = (&command, named) else {
            return Answer::text(400, "");
        };
        let now_ms = self.environment.now_ms();
        let jobs = &self.environment.jobs;
        let (accepted, changes) =
            state.apply_direct_command(fencing_token, incarnation, &command.commands, jobs, now_ms);
        self.environment
            .record_worker_events(&worker.place, changes);
        worker.woken.notify_one();
        worker.changed.notify_one();
        let status = match accepted {
            CommandOutcome::Executed => 200,
            CommandOutcome::Rejected => 409,
        };
        Answer::json(status, &state.heartbeat())
    }

    fn count(&self, worker: &Worker, kind: ExchangeKind, request_bytes: u64, answer_bytes: u64) {
        self.environment
            .traffic
            .count(kind, request_bytes, answer_bytes);
        worker
            .bytes
            .fetch_add(request_bytes + answer_bytes, Relaxed);
    }
}

/// Where a worker's next report goes.
enum Next {
    Stay,
    At(usize),
    Following,
}
