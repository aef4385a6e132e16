//! All hollow workers: each reports to a controller, takes commands at an address of its own, and keeps
//! its lease, as the protocol asks.

use crate::environment::World;
use crate::invariants::Place;
use crate::measurement::counters::Kind;
use crate::network::http::{serve, Answer, Client, Incoming};
use crate::network::partitions::{lock, Site};
use crate::plan::ZoneIndex;
use crate::processes::controllers::{number, Controllers};
use crate::protocol::{CheckinAnswer, DirectCommand};
use crate::stand_ins::hollow_worker::{Accepted, Capacity, Identity, Machine};
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
pub struct Host {
    pub name: String,
    pub zone: ZoneIndex,
    machine: Mutex<Machine>,
    place: Place,
    powered: AtomicBool,
    /// Reaches nobody, by itself.
    isolated: AtomicBool,
    changed: Notify,
    woken: Notify,
    /// Bytes that it has sent and received for control.
    bytes: AtomicU64,
}

impl Host {
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
pub struct Fleet {
    world: Arc<World>,
    hosts: Mutex<HashMap<Ipv4Addr, Arc<Host>>>,
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

impl Fleet {
    /// Listens for commands on all addresses of the loopback range.
    pub async fn new(world: Arc<World>) -> std::io::Result<Arc<Fleet>> {
        let listener = TcpListener::bind("0.0.0.0:0").await?;
        let fleet = Arc::new(Fleet {
            world,
            hosts: Mutex::default(),
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

    pub fn hosts(&self) -> Vec<Arc<Host>> {
        let mut hosts: Vec<Arc<Host>> = lock(&self.hosts).values().cloned().collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// Bytes for control of each worker so far.
    pub fn bytes(&self) -> HashMap<String, u64> {
        let hosts = lock(&self.hosts);
        let each = hosts.values();
        each.map(|host| (host.name.clone(), host.bytes.load(Relaxed)))
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
        let zones = self.world.plan.zones();
        let identity = Identity {
            name: name.to_string(),
            address: at.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: zones[zone.0].0.to_string(),
            spot,
        };
        let place = Place {
            machine: identity.name.clone(),
            machine_type: identity.machine_type.clone(),
            zone: identity.zone.clone(),
            spot,
        };
        let workers = &self.world.plan.workers;
        let capacity = Capacity {
            cpus: workers.cpus,
            ram_gb: workers.ram_gb,
            image_gb_per_s: workers.image_gb_per_s,
        };
        let machine = Machine::new(identity, capacity, self.world.now_ms());
        let host = Arc::new(Host {
            name: name.to_string(),
            zone,
            machine: Mutex::new(machine),
            place,
            powered: AtomicBool::new(true),
            isolated: AtomicBool::new(false),
            changed: Notify::new(),
            woken: Notify::new(),
            bytes: AtomicU64::new(0),
        });
        lock(&self.hosts).insert(ip, host.clone());
        tokio::spawn(self.clone().progress(host.clone()));
        tokio::spawn(self.clone().report(host));
    }

    /// A machine loses power; nothing answers at its address any more.
    pub fn power_off(&self, host: &Host) {
        let mut machine = lock(&host.machine);
        host.powered.store(false, Relaxed);
        let changes = machine.stop_all(self.world.now_ms());
        self.world.happened(&host.place, changes);
        host.woken.notify_one();
        host.changed.notify_one();
    }

    /// A machine starts anew at once, with its next session.
    pub fn restart(&self, host: &Host) {
        let mut machine = lock(&host.machine);
        let changes = machine.restart(self.world.now_ms());
        self.world.happened(&host.place, changes);
        host.changed.notify_one();
        host.woken.notify_one();
    }

    /// A machine is gone: power off, and its address is nobody's.
    pub fn remove(&self, name: &str) {
        let found = {
            let hosts = lock(&self.hosts);
            hosts
                .iter()
                .find(|(_, host)| host.name == name)
                .map(|(ip, host)| (*ip, host.clone()))
        };
        if let Some((ip, host)) = found {
            self.power_off(&host);
            lock(&self.hosts).remove(&ip);
        }
    }

    /// Lets time pass on a machine: images arrive, tasks end, the lease runs out.
    async fn progress(self: Arc<Self>, host: Arc<Host>) {
        let lease_ms = (self.world.plan.workers.lease_s * 1_000.0) as u64;
        while host.is_powered() {
            let next_ms = {
                let mut machine = lock(&host.machine);
                let now_ms = self.world.now_ms();
                let mut changes = Vec::new();
                if machine.lease_is_over(lease_ms, now_ms) {
                    changes = machine.next_session(now_ms);
                    host.changed.notify_one();
                }
                changes.extend(machine.advance(now_ms));
                if !changes.is_empty() {
                    host.changed.notify_one();
                }
                if host.is_powered() {
                    self.world.happened(&host.place, changes);
                }
                let lease_ms = lease_ms / 4 + now_ms;
                machine
                    .next_change_ms()
                    .map_or(lease_ms, |at| at.min(lease_ms))
            };
            let at = self.world.instant(next_ms + 1);
            let _ = timeout_at(at, host.woken.notified()).await;
        }
    }

    async fn report(self: Arc<Self>, host: Arc<Host>) {
        let report_ms = self.world.plan.workers.report_s * 1_000.0;
        let first = self.world.draw(0.0..report_ms);
        sleep(Duration::from_millis(first as u64)).await;
        let Some(controllers) = self.controllers.get().cloned() else {
            return;
        };
        let mut controller = self.world.draw(0..controllers.count());
        let mut client = Client::new(controllers.clients[controller]);
        while host.is_powered() {
            let sent_ms = self.world.now_ms();
            match self
                .report_once(&host, controller, &controllers, &mut client)
                .await
            {
                Next::Stay => {
                    let off = self.world.draw(1.0 - REPORT_OFF..1.0 + REPORT_OFF);
                    let due = self.world.instant(sent_ms + (report_ms * off) as u64);
                    let _ = timeout_at(due, host.changed.notified()).await;
                    sleep_until(self.world.instant(sent_ms + LEAST_REPORT_MS)).await;
                }
                Next::At(other) => {
                    controller = other;
                    client = Client::new(controllers.clients[controller]);
                    let wait = self.world.draw(0..LEAST_REPORT_MS);
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
        host: &Host,
        controller: usize,
        controllers: &Controllers,
        client: &mut Client,
    ) -> Next {
        let (own, other) = (
            Site::Zone(host.zone),
            Site::Zone(controllers.zones[controller]),
        );
        let network = &self.world.network;
        if host.is_silent() || !network.reaches(own, other) {
            sleep(ANSWER_WITHIN).await;
            return Next::Following;
        }
        let (report, session) = {
            let mut machine = lock(&host.machine);
            (machine.report(), machine.session())
        };
        let sent_ms = self.world.now_ms();
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let reply = client
            .call(Method::POST, "/checkin", body, ANSWER_WITHIN)
            .await;
        let Some(reply) = reply else {
            return Next::Following;
        };
        self.count(
            host,
            Kind::WorkerReport,
            reply.request_bytes,
            reply.answer_bytes,
        );
        if host.is_silent() || !network.reaches(other, own) {
            return Next::Following;
        }
        let answer = serde_json::from_slice::<CheckinAnswer>(&reply.body).ok();
        match (reply.status, answer) {
            (200, Some(answer)) => {
                self.take_answer(host, &answer, session, sent_ms);
                Next::Stay
            }
            (421, Some(answer)) => {
                let named = answer.steward.as_deref().and_then(number);
                let named = named.filter(|n| *n != controller && *n < controllers.count());
                named.map_or(Next::Following, Next::At)
            }
            _ => Next::Following,
        }
    }

    fn take_answer(&self, host: &Host, answer: &CheckinAnswer, session: u64, sent_ms: u64) {
        let mut machine = lock(&host.machine);
        if !host.is_powered() {
            return;
        }
        let now_ms = self.world.now_ms();
        let (token, orders) = (answer.fence, &answer.orders);
        let jobs = &self.world.jobs;
        let changes = machine.take_answer(token, orders, session, sent_ms, jobs, now_ms);
        self.world.happened(&host.place, changes);
        if !orders.is_empty() {
            host.changed.notify_one();
            host.woken.notify_one();
        }
    }

    async fn command(&self, request: Incoming) -> Answer {
        let host = match request.connection.local.ip() {
            IpAddr::V4(ip) => lock(&self.hosts).get(&ip).cloned(),
            IpAddr::V6(_) => None,
        };
        let Some(host) = host.filter(|host| !host.is_silent()) else {
            sleep(SILENCE).await;
            return Answer::text(503, "");
        };
        if !self.world.network.is_whole() {
            self.hold(&request, &host).await;
        }
        let kind = match request.path.as_str() {
            "/do" => Kind::WorkerCommand,
            _ => Kind::WorkerStatus,
        };
        let answer = self.answer(&request, &host);
        self.count(&host, kind, request.bytes, answer.bytes());
        answer
    }

    /// Holds a command up until the network between its sender and the machine is whole.
    async fn hold(&self, request: &Incoming, host: &Host) {
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
            let network = &self.world.network;
            let (from, to) = (Site::Zone(*zone), Site::Zone(host.zone));
            network.until_reached(from, to).await;
        }
    }

    fn answer(&self, request: &Incoming, host: &Host) -> Answer {
        let mut machine = lock(&host.machine);
        if request.path != "/do" {
            return Answer::json(200, &machine.report());
        }
        let command = serde_json::from_slice::<DirectCommand>(&request.body).ok();
        let named = command.as_ref().and_then(|c| Some((c.fence?, c.tenure?)));
        let (Some(command), Some((token, session))) = (&command, named) else {
            return Answer::text(400, "");
        };
        let now_ms = self.world.now_ms();
        let jobs = &self.world.jobs;
        let (accepted, changes) =
            machine.take_command(token, session, &command.orders, jobs, now_ms);
        self.world.happened(&host.place, changes);
        host.woken.notify_one();
        host.changed.notify_one();
        let status = match accepted {
            Accepted::Executed => 200,
            Accepted::Refused => 409,
        };
        Answer::json(status, &machine.report())
    }

    fn count(&self, host: &Host, kind: Kind, request_bytes: u64, answer_bytes: u64) {
        self.world.traffic.count(kind, request_bytes, answer_bytes);
        host.bytes.fetch_add(request_bytes + answer_bytes, Relaxed);
    }
}

/// Where a worker's next report goes.
enum Next {
    Stay,
    At(usize),
    Following,
}
