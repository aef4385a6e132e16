//! A stand-in of the cloud: one type of machine, rentals by name, lists that lag, a limit of calls.

use crate::environment::Environment;
use crate::measurement::counters::ExchangeKind;
use crate::network::http::{serve, Answer, Incoming};
use crate::network::partitions::{lock, Site};
use crate::plan::ZoneIndex;
use crate::protocol::{DeleteRequest, InstanceState, ListedInstance, ProvisionRequest};
use crate::stand_ins::token_bucket::TokenBucket;
use crate::stand_ins::worker_fleet::{WorkerFleet, MACHINE_TYPE};
use hyper::Method;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::time::{sleep, Duration};

/// Seconds' worth of calls that may come at once, by protocol.
const BURST_S: f64 = 2.0;
/// Machines of one rental, names of one deletion and entries of one page at most, by protocol.
const MOST_RENTED: u32 = 50;
const MOST_DELETED: usize = 100;
const MOST_LISTED: usize = 500;
/// A machine that lost power is listed as running for so long.
const DYING_MS: u64 = 30_000;
/// Boot times, as parts of the usual one.
const BOOT_SPREAD: std::ops::Range<f64> = 0.6..1.5;
/// Age of the machines that are up at the start.
const OLD_MS: u64 = 600_000;
const HOURLY: f64 = 0.8;
const SPOT_HOURLY: f64 = 0.3;
const LOCAL_GB: f64 = 60.0;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct MachineType<'a> {
    name: &'a str,
    vcpus: f64,
    accelerators: f64,
    ram_gb: f64,
    local_gb: f64,
    pull_gb_per_s: f64,
    hourly: f64,
    market_price: f64,
    ready_s: f64,
    yards: Vec<&'a str>,
}

#[derive(Serialize)]
struct Catalog<'a> {
    flavours: Vec<MachineType<'a>>,
}

#[derive(Serialize)]
struct Page {
    hosts: Vec<ListedInstance>,
    more: bool,
}

#[derive(Serialize)]
struct ProvisionAnswer {
    hosts: Vec<String>,
}

#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

#[derive(Serialize)]
struct Nothing {}

/// A machine and the times at which it changed, since lists describe the past.
struct Instance {
    address: SocketAddr,
    zone: ZoneIndex,
    spot: bool,
    rented_ms: i64,
    up_ms: Option<i64>,
    failed_ms: Option<i64>,
    gone_ms: Option<i64>,
}

#[derive(Default)]
struct Machines {
    all: BTreeMap<String, Instance>,
    rentals: HashMap<String, Vec<String>>,
}

/// The cloud and its troubles.
pub struct Cloud {
    environment: Arc<Environment>,
    fleet: Arc<WorkerFleet>,
    machines: Mutex<Machines>,
    limit: Mutex<TokenBucket>,
    down: AtomicBool,
}

impl Cloud {
    pub fn new(environment: Arc<Environment>, fleet: Arc<WorkerFleet>) -> Arc<Cloud> {
        let limit = TokenBucket::new(environment.plan.cloud.rps, BURST_S);
        Arc::new(Cloud {
            fleet,
            machines: Mutex::default(),
            limit: Mutex::new(limit),
            down: AtomicBool::new(false),
            environment,
        })
    }

    /// An address of its own for a controller, by which that one is known.
    pub async fn listen(self: &Arc<Self>, zone: ZoneIndex) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cloud = self.clone();
        serve(listener, move |request| {
            let cloud = cloud.clone();
            async move { cloud.serve(request, zone).await }
        });
        Ok(address)
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Relaxed);
    }

    /// Machines that are up before the run begins, evenly over the zones.
    pub fn start_with(&self, count: u32) {
        let zones = self.environment.plan.zones().len();
        for n in 0..count as usize {
            let zone = ZoneIndex(n % zones);
            let (name, address) = self.fleet.reserve();
            let machine = Instance {
                address,
                zone,
                spot: false,
                rented_ms: -(OLD_MS as i64),
                up_ms: Some(-(OLD_MS as i64)),
                failed_ms: None,
                gone_ms: None,
            };
            lock(&self.machines).all.insert(name.clone(), machine);
            self.fleet.boot(&name, address, zone, false);
        }
    }

    /// A machine lost power by itself: some time later it is listed as failed.
    pub fn has_failed(&self, name: &str) {
        let now_ms = self.environment.now_ms() as i64;
        if let Some(machine) = lock(&self.machines).all.get_mut(name) {
            machine.failed_ms.get_or_insert(now_ms + DYING_MS as i64);
        }
    }

    /// The cloud takes a machine back.
    pub fn take(&self, name: &str) {
        self.fleet.remove(name);
        let now_ms = self.environment.now_ms() as i64;
        if let Some(machine) = lock(&self.machines).all.get_mut(name) {
            machine.gone_ms.get_or_insert(now_ms);
        }
    }

    async fn serve(self: Arc<Self>, request: Incoming, zone: ZoneIndex) -> Answer {
        let network = &self.environment.network;
        network.until_reached(Site::Zone(zone), Site::Outside).await;
        let latency = self.environment.plan.cloud.latency_ms;
        sleep(Duration::from_secs_f64(latency / 1_000.0)).await;
        let (kind, answer) = self.clone().answer(&request);
        network.until_reached(Site::Outside, Site::Zone(zone)).await;
        let traffic = &self.environment.traffic;
        traffic.count(kind, request.bytes, answer.bytes());
        answer
    }

    fn answer(self: Arc<Self>, request: &Incoming) -> (ExchangeKind, Answer) {
        let kind = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/catalog") => ExchangeKind::CloudCatalog,
            (&Method::GET, _) => ExchangeKind::CloudList,
            (_, "/hosts/delete") => ExchangeKind::CloudDelete,
            _ => ExchangeKind::CloudProvision,
        };
        if self.down.load(Relaxed) {
            return (kind, problem(503, "trouble"));
        }
        if !lock(&self.limit).take(1.0, self.environment.now_ms()) {
            return (kind, problem(429, "too many calls"));
        }
        let answer = match kind {
            ExchangeKind::CloudCatalog => self.catalog(),
            ExchangeKind::CloudList => self.list(request),
            ExchangeKind::CloudDelete => self.delete(request),
            _ => self.rent(request),
        };
        (kind, answer)
    }

    fn catalog(&self) -> Answer {
        let (plan, zones) = (&self.environment.plan, self.environment.plan.zones());
        let flavour = MachineType {
            name: MACHINE_TYPE,
            vcpus: plan.workers.cpus,
            accelerators: 0.0,
            ram_gb: plan.workers.ram_gb,
            local_gb: LOCAL_GB,
            pull_gb_per_s: plan.workers.image_gb_per_s,
            hourly: HOURLY,
            market_price: SPOT_HOURLY,
            ready_s: plan.cloud.boot_s,
            yards: zones.iter().map(|(zone, _)| *zone).collect(),
        };
        let flavours = vec![flavour];
        Answer::json(200, &Catalog { flavours })
    }

    fn list(&self, request: &Incoming) -> Answer {
        let lag_ms = self.environment.plan.cloud.list_lag_s * 1_000.0;
        let lag_ms = self.environment.draw(0.0..=lag_ms.max(1.0)) as i64;
        let seen_ms = self.environment.now_ms() as i64 - lag_ms;
        let since = request.word("since").to_string();
        let most = request.number("most").unwrap_or(MOST_LISTED as u64) as usize;
        let machines = lock(&self.machines);
        let from = std::ops::Bound::Excluded(since);
        let mut listed = (machines.all.range((from, std::ops::Bound::Unbounded)))
            .filter_map(|(name, machine)| self.listed(name, machine, seen_ms));
        let hosts: Vec<ListedInstance> = listed.by_ref().take(most.min(MOST_LISTED)).collect();
        let more = listed.next().is_some();
        Answer::json(200, &Page { hosts, more })
    }

    fn listed(&self, name: &str, machine: &Instance, seen_ms: i64) -> Option<ListedInstance> {
        let before = |at: Option<i64>| at.is_some_and(|at| at <= seen_ms);
        if machine.rented_ms > seen_ms || before(machine.gone_ms) {
            return None;
        }
        let state = match (before(machine.failed_ms), before(machine.up_ms)) {
            (true, _) => InstanceState::Failed,
            (_, true) => InstanceState::Running,
            _ => InstanceState::Starting,
        };
        let zones = self.environment.plan.zones();
        Some(ListedInstance {
            name: name.to_string(),
            address: machine.address.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: zones[machine.zone.0].0.to_string(),
            spot: machine.spot,
            state,
            age_s: (seen_ms - machine.rented_ms) as f64 / 1_000.0,
        })
    }

    fn rent(self: Arc<Self>, request: &Incoming) -> Answer {
        let plan = &self.environment.plan;
        let asked = serde_json::from_slice::<ProvisionRequest>(&request.body).ok();
        let asked = asked.filter(|asked| (1..=MOST_RENTED).contains(&asked.count));
        let zone = asked.as_ref().and_then(|asked| plan.zone(&asked.zone));
        let (Some(asked), Some(zone)) = (asked, zone) else {
            return problem(400, "malformed");
        };
        if asked.machine_type != MACHINE_TYPE {
            return problem(400, "flavour");
        }
        let mut machines = lock(&self.machines);
        if let Some(hosts) = machines.rentals.get(&asked.name).cloned() {
            return Answer::json(200, &ProvisionAnswer { hosts });
        }
        let zones = plan.zones().len();
        let room = ((plan.workers.count + plan.cloud.spare) as usize).div_ceil(zones);
        let there = machines.all.values();
        let there =
            there.filter(|m| m.zone == zone && m.gone_ms.is_none() && m.failed_ms.is_none());
        let number = room.saturating_sub(there.count()).min(asked.count as usize);
        if number == 0 {
            return problem(503, "no capacity");
        }
        let hosts: Vec<String> = (0..number)
            .map(|_| self.hire(&mut machines, zone, asked.spot))
            .collect();
        machines.rentals.insert(asked.name, hosts.clone());
        Answer::json(200, &ProvisionAnswer { hosts })
    }

    fn hire(self: &Arc<Self>, machines: &mut Machines, zone: ZoneIndex, spot: bool) -> String {
        let (name, address) = self.fleet.reserve();
        let machine = Instance {
            address,
            zone,
            spot,
            rented_ms: self.environment.now_ms() as i64,
            up_ms: None,
            failed_ms: None,
            gone_ms: None,
        };
        machines.all.insert(name.clone(), machine);
        let boot_s = self.environment.plan.cloud.boot_s * self.environment.draw(BOOT_SPREAD);
        let (cloud, booting) = (self.clone(), name.clone());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(boot_s)).await;
            cloud.comes_up(&booting);
        });
        name
    }

    fn comes_up(&self, name: &str) {
        let now_ms = self.environment.now_ms() as i64;
        let mut machines = lock(&self.machines);
        let machine = machines.all.get_mut(name);
        let Some(machine) = machine.filter(|machine| machine.gone_ms.is_none()) else {
            return;
        };
        machine.up_ms = Some(now_ms);
        self.fleet
            .boot(name, machine.address, machine.zone, machine.spot);
    }

    fn delete(&self, request: &Incoming) -> Answer {
        let asked = serde_json::from_slice::<DeleteRequest>(&request.body).ok();
        let Some(asked) = asked.filter(|asked| asked.names.len() <= MOST_DELETED) else {
            return problem(400, "malformed");
        };
        for name in &asked.names {
            self.take(name);
        }
        Answer::json(200, &Nothing {})
    }
}

fn problem(status: u16, error: &str) -> Answer {
    Answer::json(status, &Problem { error })
}
