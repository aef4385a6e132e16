//! Stand-ins of workers: each reports, keeps its lease and token, and runs tasks that only take time.

use crate::http::{answer, call, serve};
use hyper::client::HttpConnector;
use hyper::Client;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout_at, Duration, Instant};

struct Task {
    attempt: u64,
    ends: Option<Instant>,
    stopped: bool,
}

struct Machine {
    name: String,
    address: SocketAddr,
    flavour: String,
    yard: String,
    spot: bool,
    tally: u64,
    fence: u64,
    tasks: BTreeMap<String, Task>,
}

impl Machine {
    fn report(&mut self) -> Value {
        self.tally += 1;
        let now = Instant::now();
        let drops: Vec<Value> = (self.tasks.iter())
            .map(|(id, t)| {
                let done = t.ends.is_some_and(|at| at <= now);
                match (t.stopped, done) {
                    (true, _) => json!({"drop": id, "try": t.attempt, "standing": "exited",
                        "cause": "stopped"}),
                    (_, true) => json!({"drop": id, "try": t.attempt, "standing": "exited",
                        "cause": "done"}),
                    _ => json!({"drop": id, "try": t.attempt, "standing": "running"}),
                }
            })
            .collect();
        json!({"host": self.name, "address": self.address.to_string(), "flavour": self.flavour,
            "yard": self.yard, "reclaimable": self.spot, "tenure": 1, "tally": self.tally,
            "fence": self.fence, "warningS": null, "drops": drops})
    }

    fn carry_out(&mut self, orders: &Value, runs: &dyn Fn(&str) -> Option<Duration>) {
        for order in orders.as_array().into_iter().flatten() {
            let id = order["drop"].as_str().unwrap_or("").to_string();
            let attempt = order["try"].as_u64().unwrap_or(0);
            let ours = self.tasks.get(&id).is_some_and(|t| t.attempt == attempt);
            match order["verb"].as_str() {
                Some("start") if !self.tasks.contains_key(&id) => {
                    let ends = runs(&id).map(|takes| Instant::now() + takes);
                    let stopped = false;
                    self.tasks.insert(
                        id,
                        Task {
                            attempt,
                            ends,
                            stopped,
                        },
                    );
                }
                Some("halt") if ours => {
                    if let Some(task) = self.tasks.get_mut(&id) {
                        task.stopped = true;
                    }
                }
                Some("forget") if ours => {
                    self.tasks.remove(&id);
                }
                _ => {}
            }
        }
    }
}

type Known = (Arc<Mutex<Machine>>, Arc<Notify>);

/// All machines; shared with the cloud's stand-in, which makes them.
#[derive(Clone)]
pub struct Workers {
    machines: Arc<Mutex<HashMap<Ipv4Addr, Known>>>,
    nodes: Arc<Vec<SocketAddr>>,
    report: Duration,
    /// How long a batch's tasks run; jobs whose number is below this are services.
    runs: Duration,
    services: u64,
    pub reports: Arc<AtomicU64>,
    pub refused: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    port: u16,
}

/// One address of the loopback range for each machine.
fn address(n: u64) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        1 + (n / 62_500) as u8,
        (n / 250 % 250) as u8,
        (1 + n % 250) as u8,
    )
}

impl Workers {
    pub async fn start(
        nodes: Vec<SocketAddr>,
        report: Duration,
        runs: Duration,
        services: u64,
    ) -> std::io::Result<Workers> {
        let listener = TcpListener::bind("0.0.0.0:0").await?;
        let workers = Workers {
            port: listener.local_addr()?.port(),
            machines: Arc::default(),
            nodes: Arc::new(nodes),
            report,
            runs,
            services,
            reports: Arc::default(),
            refused: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
        };
        let handle = workers.clone();
        serve(listener, move |to, _, path, body| {
            let handle = handle.clone();
            async move { handle.command(to, &path, &body) }
        });
        Ok(workers)
    }

    fn command(&self, to: SocketAddr, path: &str, body: &[u8]) -> crate::http::Answer {
        let SocketAddr::V4(to) = to else {
            return answer(400, &Value::Null);
        };
        let found = self
            .machines
            .lock()
            .ok()
            .and_then(|m| m.get(to.ip()).cloned());
        let Some((machine, changed)) = found else {
            return answer(404, &Value::Null);
        };
        let Ok(mut machine) = machine.lock() else {
            return answer(503, &Value::Null);
        };
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let fence = body["fence"].as_u64().unwrap_or(0);
        if path != "/do" {
            return answer(200, &machine.report());
        }
        if fence < machine.fence || body["tenure"] != 1 {
            return answer(409, &machine.report());
        }
        machine.fence = fence;
        machine.carry_out(&body["orders"], &|id| self.runs(id));
        changed.notify_one();
        answer(200, &machine.report())
    }

    fn runs(&self, id: &str) -> Option<Duration> {
        let number = id.strip_prefix("j-").and_then(|n| n.split('/').next());
        let number = number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        (number >= self.services).then_some(self.runs)
    }

    /// A machine that is up at once; returns its name and address.
    pub fn boot(&self, flavour: &str, yard: &str, spot: bool) -> (String, String) {
        let n = self.next.fetch_add(1, Relaxed);
        let ip = address(n);
        let machine = Machine {
            name: format!("n-{n:06}"),
            address: SocketAddr::from((ip, self.port)),
            flavour: flavour.into(),
            yard: yard.into(),
            spot,
            tally: 0,
            fence: 0,
            tasks: BTreeMap::new(),
        };
        let told = (machine.name.clone(), machine.address.to_string());
        let machine = Arc::new(Mutex::new(machine));
        let changed = Arc::new(Notify::new());
        if let Ok(mut machines) = self.machines.lock() {
            machines.insert(ip, (machine.clone(), changed.clone()));
        }
        tokio::spawn(self.clone().report(machine, changed, n as usize));
        told
    }

    async fn report(self, machine: Arc<Mutex<Machine>>, changed: Arc<Notify>, n: usize) {
        let mut node = n % self.nodes.len();
        let client: Client<HttpConnector> = Client::builder().build_http();
        // Reports come evenly spread, not all at once.
        sleep(self.report.mul_f64(n as f64 * 0.618 % 1.0)).await;
        loop {
            let Ok(report) = machine.lock().map(|mut m| m.report()) else {
                return;
            };
            let url = format!("http://{}/checkin", self.nodes[node]);
            let sent = Instant::now();
            self.reports.fetch_add(1, Relaxed);
            match call(&client, true, url, Some(report)).await {
                Some((200, reply)) => {
                    if let Ok(mut m) = machine.lock() {
                        let fence = reply["fence"].as_u64().unwrap_or(0);
                        if fence >= m.fence {
                            m.fence = fence;
                            m.carry_out(&reply["orders"], &|id| self.runs(id));
                        }
                    }
                }
                _ => {
                    self.refused.fetch_add(1, Relaxed);
                    node = (node + 1) % self.nodes.len();
                    sleep(Duration::from_secs(1)).await;
                    continue;
                }
            }
            // The next task to end is a change too.
            let ends = machine.lock().ok().and_then(|m| {
                let left = m.tasks.values().filter_map(|t| t.ends);
                left.filter(|at| *at > Instant::now()).min()
            });
            let due = sent + self.report.mul_f64(0.75 + 0.5 * (n as f64 * 0.377 % 1.0));
            let wake = ends.map_or(due, |at| at.min(due));
            let _ = timeout_at(wake, changed.notified()).await;
            sleep_until(sent + Duration::from_millis(500).min(self.report / 2)).await;
        }
    }

    pub fn running(&self) -> usize {
        let machines = self.machines.lock();
        let all = machines.iter().flat_map(|m| m.values());
        all.filter_map(|(m, _)| m.lock().ok().map(|m| m.tasks.len()))
            .sum()
    }
}
