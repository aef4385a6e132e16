//! Stand-ins of the state service and the cloud, as PROTOCOL has them.

use crate::base::{serve, Bucket, Json, Record, Request};
use crate::worker::Worker;
use crate::World;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;

pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (String, u64)>,
    epoch: u64,
    changes: VecDeque<(u64, String, Option<String>)>,
    first_kept: u64,
}

/// Starts the state service.
pub fn state_service(limits: StateLimits) -> SocketAddr {
    let store = Arc::new((Mutex::new(Store::default()), Condvar::new()));
    let requests = Mutex::new(Bucket::new(limits.rps, 1.0));
    let writes = Mutex::new(Bucket::new(limits.write_rps, 1.0));
    serve(move |request| {
        if !requests.lock().unwrap().take(1.0) {
            return (429, "{\"error\":\"too many requests\"}".into());
        }
        thread::sleep(Duration::from_millis(2));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/keys") => list(&store.0.lock().unwrap(), &request),
            ("GET", "/watch") => watch(&store, &request),
            ("POST", "/txn") => transaction(&store, &limits, &writes, &request),
            ("GET", path) if path.starts_with("/keys/") => {
                let store = store.0.lock().unwrap();
                match store.keys.get(&path[6..]) {
                    Some((v, stamp)) => {
                        let k = Json::Text(path[6..].into()).to_text();
                        (200, format!("{{\"k\":{k},\"v\":{v},\"stamp\":{stamp}}}"))
                    }
                    None => (404, format!("{{\"epoch\":{}}}", store.epoch)),
                }
            }
            _ => (400, "{\"error\":\"malformed\"}".into()),
        }
    })
}

fn list(store: &Store, request: &Request) -> (u16, String) {
    let under = request.query.get("under").cloned().unwrap_or_default();
    let since = request.query.get("since").cloned().unwrap_or_default();
    let most = request.query.get("most").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
    let mut out = String::from("{\"items\":[");
    let (mut n, mut more) = (0, false);
    for (k, (v, stamp)) in store.keys.range(under.clone()..) {
        if !k.starts_with(&under) {
            break;
        }
        if *k <= since {
            continue;
        }
        if n >= most || out.len() > 500_000 {
            more = true;
            break;
        }
        if n > 0 {
            out.push(',');
        }
        n += 1;
        let k = Json::Text(k.clone()).to_text();
        out.push_str(&format!("{{\"k\":{k},\"v\":{v},\"stamp\":{stamp}}}"));
    }
    out.push_str(&format!("],\"more\":{more},\"epoch\":{}}}", store.epoch));
    (200, out)
}

fn watch(shared: &(Mutex<Store>, Condvar), request: &Request) -> (u16, String) {
    let under = request.query.get("under").cloned().unwrap_or_default();
    let since: u64 = request.query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
    let hold: u64 = request.query.get("holdMs").and_then(|s| s.parse().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(hold.min(60_000));
    let mut store = shared.0.lock().unwrap();
    loop {
        if since < store.first_kept {
            return (410, "{\"error\":\"too old\"}".into());
        }
        let mut out = String::new();
        // Changes are in the order of their revisions.
        for (stamp, k, v) in store.changes.iter().rev().take_while(|(s, ..)| *s > since).collect::<Vec<_>>().into_iter().rev() {
            if !k.starts_with(&under) {
                continue;
            }
            if !out.is_empty() {
                out.push(',');
            }
            let k = Json::Text(k.clone()).to_text();
            match v {
                Some(v) => out.push_str(&format!("{{\"put\":{k},\"v\":{v},\"stamp\":{stamp}}}")),
                None => out.push_str(&format!("{{\"remove\":{k},\"stamp\":{stamp}}}")),
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if !out.is_empty() || left.is_zero() {
            return (200, format!("{{\"epoch\":{},\"news\":[{out}]}}", store.epoch));
        }
        store = shared.1.wait_timeout(store, left).unwrap().0;
    }
}

fn transaction(
    shared: &(Mutex<Store>, Condvar),
    limits: &StateLimits,
    writes: &Mutex<Bucket>,
    request: &Request,
) -> (u16, String) {
    let malformed = || (400, "{\"error\":\"malformed\"}".to_string());
    let Some(txn) = Json::parse(&request.body).filter(|_| request.body.len() <= 65_536) else {
        return malformed();
    };
    let empty = Json::List(Vec::new());
    let conditions = txn.get("if").unwrap_or(&empty).items();
    let changes = txn.get("apply").unwrap_or(&empty).items();
    if changes.len() > limits.txn_ops || conditions.len() > 4 * limits.txn_ops {
        return malformed();
    }
    let mut puts = Vec::new();
    for change in changes {
        let Some(key) = change.get("put").or(change.get("remove")).and_then(Json::text) else {
            return malformed();
        };
        if key.is_empty() || key.len() > 200 || key.contains(' ') {
            return malformed();
        }
        let value = match change.get("put") {
            Some(_) => match change.get("v") {
                Some(v) => Some(v.to_text()),
                None => return malformed(),
            },
            None => None,
        };
        if value.as_ref().is_some_and(|v| v.len() as f64 > limits.value_kb * 1024.0) {
            return malformed();
        }
        puts.push((key.to_string(), value));
    }
    if !writes.lock().unwrap().take(puts.len() as f64) {
        return (429, "{\"error\":\"too many changes\"}".into());
    }
    let mut store = shared.0.lock().unwrap();
    let mut failed = Vec::new();
    for condition in conditions {
        let (Some(key), Some(stamp)) =
            (condition.get("k").and_then(Json::text), condition.get("stamp").and_then(Json::count))
        else {
            return malformed();
        };
        if store.keys.get(key).map_or(0, |(_, s)| *s) != stamp {
            failed.push(Json::Text(key.into()));
        }
    }
    if !failed.is_empty() {
        let failed = Json::List(failed).to_text();
        return (409, format!("{{\"failed\":{failed},\"epoch\":{}}}", store.epoch));
    }
    if !puts.is_empty() {
        store.epoch += 1;
    }
    let epoch = store.epoch;
    for (key, value) in puts {
        match &value {
            Some(value) => drop(store.keys.insert(key.clone(), (value.clone(), epoch))),
            None => drop(store.keys.remove(&key)),
        }
        store.changes.push_back((epoch, key, value));
    }
    while store.changes.len() > KEPT_CHANGES {
        if let Some((stamp, ..)) = store.changes.pop_front() {
            store.first_kept = stamp;
        }
    }
    drop(store);
    shared.1.notify_all();
    (200, format!("{{\"epoch\":{epoch}}}"))
}

/// A machine type of the catalog, and how many machines of it the cloud has.
#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub ready_s: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub zone: &'static str,
    /// Ordinary machines; there are no spot machines.
    pub capacity: usize,
}

pub struct Machine {
    pub name: String,
    pub kind: MachineType,
    pub created: Instant,
    pub up_at: Instant,
    pub gone: Option<Instant>,
    pub worker: Option<Arc<Worker>>,
}

pub struct Cloud {
    pub types: Vec<MachineType>,
    pub machines: Mutex<Vec<Machine>>,
    pub record: Arc<Record>,
    hires: Mutex<HashMap<String, String>>,
    rate: Mutex<Bucket>,
    lag: Duration,
}

impl Cloud {
    pub fn new(types: Vec<MachineType>, rps: f64, lag_s: f64, record: Arc<Record>) -> Arc<Cloud> {
        Arc::new(Cloud {
            types,
            machines: Mutex::new(Vec::new()),
            record,
            hires: Mutex::new(HashMap::new()),
            rate: Mutex::new(Bucket::new(rps, 2.0)),
            lag: Duration::from_secs_f64(lag_s),
        })
    }

    /// Rents a machine that is up after `boot`.
    pub fn rent(self: &Arc<Cloud>, world: &Arc<World>, kind: &MachineType, boot: Duration) -> String {
        let mut machines = self.machines.lock().unwrap();
        let name = format!("n-{:06}", machines.len() + 1);
        let now = Instant::now();
        let (created, up_at) = (now, now + boot);
        let kind = kind.clone();
        machines.push(Machine { name: name.clone(), kind, created, up_at, gone: None, worker: None });
        drop(machines);
        let (cloud, world, started) = (self.clone(), world.clone(), name.clone());
        thread::spawn(move || {
            thread::sleep(boot);
            let mut machines = cloud.machines.lock().unwrap();
            let machine = machines.iter_mut().find(|m| m.name == started).unwrap();
            if machine.gone.is_none() {
                machine.worker = Some(Worker::start(&world, &machine.name, &machine.kind));
            }
        });
        name
    }

    pub fn serve(self: &Arc<Cloud>, world: &Arc<World>) -> SocketAddr {
        let (cloud, world) = (self.clone(), world.clone());
        serve(move |request| {
            if !cloud.rate.lock().unwrap().take(1.0) {
                return (429, "{\"error\":\"too many requests\"}".into());
            }
            thread::sleep(Duration::from_millis(20));
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/catalog") => cloud.catalog(),
                ("POST", "/hosts") => cloud.hire(&world, &request),
                ("POST", "/hosts/delete") => cloud.delete(&request),
                ("GET", "/hosts") => cloud.list(&request),
                _ => (400, "{\"error\":\"malformed\"}".into()),
            }
        })
    }

    fn catalog(&self) -> (u16, String) {
        let types = self.types.iter().map(|t| {
            format!(
                "{{\"name\":\"{}\",\"vcpus\":{:?},\"accelerators\":0,\"ramGb\":{:?},\"localGb\":200,\"pullGbPerS\":{:?},\"hourly\":{:?},\"marketPrice\":{:?},\"readyS\":{:?},\"yards\":[\"{}\"]}}",
                t.name, t.vcpus, t.ram_gb, t.pull_gb_per_s, t.hourly, t.hourly / 3.0, t.ready_s, t.zone
            )
        });
        (200, format!("{{\"flavours\":[{}]}}", types.collect::<Vec<_>>().join(",")))
    }

    fn hire(self: &Arc<Cloud>, world: &Arc<World>, request: &Request) -> (u16, String) {
        let none = || (503, "{\"error\":\"no capacity\"}".to_string());
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{\"error\":\"malformed\"}".into());
        };
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or("").to_string();
        let (hire, flavour, yard) = (text("hire"), text("flavour"), text("yard"));
        let number = body.get("number").and_then(Json::count).unwrap_or(0).min(50) as usize;
        let mut hires = self.hires.lock().unwrap();
        if let Some(answer) = hires.get(&hire) {
            return (200, answer.clone());
        }
        let kind = self.types.iter().find(|t| t.name == flavour && t.zone == yard).cloned();
        let is_spot = body.get("reclaimable") == Some(&Json::Bool(true));
        let Some(kind) = kind.filter(|_| !is_spot) else {
            self.record.line(&format!("cloud: {hire} {number} {flavour} spot={is_spot}: no capacity"));
            return none();
        };
        let used = self.machines.lock().unwrap().iter().filter(|m| m.kind.name == kind.name && m.gone.is_none()).count();
        let count = number.min(kind.capacity.saturating_sub(used));
        if count == 0 {
            self.record.line(&format!("cloud: {hire} {number} {flavour}: no capacity"));
            return none();
        }
        let boot = Duration::from_secs_f64(kind.ready_s);
        let names: Vec<Json> = (0..count).map(|_| Json::Text(self.rent(world, &kind, boot))).collect();
        let answer = format!("{{\"hosts\":{}}}", Json::List(names).to_text());
        self.record.line(&format!("cloud: {hire} {number} {flavour}: 200 {answer}"));
        hires.insert(hire, answer.clone());
        (200, answer)
    }

    fn delete(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{\"error\":\"malformed\"}".into());
        };
        let names = body.get("hosts").cloned().unwrap_or(Json::Null);
        self.record.line(&format!("cloud: delete {}", names.to_text()));
        for machine in self.machines.lock().unwrap().iter_mut() {
            let is_named = names.items().iter().any(|n| n.text() == Some(&machine.name));
            if is_named && machine.gone.is_none() {
                machine.gone = Some(Instant::now());
                if let Some(worker) = &machine.worker {
                    worker.end();
                }
            }
        }
        (200, "{}".into())
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let since = request.query.get("since").cloned().unwrap_or_default();
        let most = request.query.get("most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
        let Some(at) = Instant::now().checked_sub(self.lag) else {
            return (200, "{\"hosts\":[],\"more\":false}".into());
        };
        let machines = self.machines.lock().unwrap();
        let listed: Vec<&Machine> = machines
            .iter()
            .filter(|m| m.created <= at && m.gone.is_none_or(|gone| gone > at) && m.name > since)
            .collect();
        let more = listed.len() > most;
        let hosts = listed.iter().take(most).map(|m| {
            let address = m.worker.as_ref().map_or(String::new(), |w| w.address.to_string());
            let standing = if m.up_at <= at { "running" } else { "starting" };
            format!(
                "{{\"nameId\":\"{}\",\"address\":\"{}\",\"flavour\":\"{}\",\"yard\":\"{}\",\"reclaimable\":false,\"standing\":\"{}\",\"ageS\":{:.1}}}",
                m.name, address, m.kind.name, m.kind.zone, standing, (at - m.created).as_secs_f64()
            )
        });
        let hosts = hosts.collect::<Vec<_>>().join(",");
        (200, format!("{{\"hosts\":[{hosts}],\"more\":{more}}}"))
    }
}
