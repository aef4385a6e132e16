//! Stand-in of a worker, as PROTOCOL has it: reports, sessions, tokens, commands and tasks.

use crate::base::{serve, Client, Json, Request};
use crate::services::MachineType;
use crate::World;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Milliunits, so that sums are exact.
fn milli(amount: f64) -> u64 {
    (amount * 1000.0).round() as u64
}

#[derive(Clone, PartialEq)]
enum Phase {
    Fetching { until: Instant },
    Running { since: Instant },
    Exited { why: &'static str },
}

struct Task {
    phase: Phase,
    cpus: u64,
    ram: u64,
    run: Option<Duration>,
    is_daemon: bool,
}

impl Task {
    fn takes_room(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }
}

struct State {
    tenure: u64,
    tally: u64,
    fence: u64,
    /// Tasks by name and attempt.
    tasks: BTreeMap<(String, u64), Task>,
    images: HashSet<String>,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    changed: bool,
    ended: bool,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub kind: MachineType,
    state: Mutex<State>,
    world: Arc<World>,
}

impl Worker {
    pub fn start(world: &Arc<World>, name: &str, kind: &MachineType) -> Arc<Worker> {
        let slot: Arc<Mutex<Option<Arc<Worker>>>> = Arc::new(Mutex::new(None));
        let served = slot.clone();
        let address = serve(move |request| {
            let worker = served.lock().unwrap().clone();
            worker.map_or((503, "{}".into()), |worker| worker.handle(&request))
        });
        let state = State {
            tenure: 1,
            tally: 0,
            fence: 0,
            tasks: BTreeMap::new(),
            images: HashSet::new(),
            renewed: Instant::now(),
            changed: true,
            ended: false,
        };
        let worker = Arc::new(Worker {
            name: name.to_string(),
            address,
            kind: kind.clone(),
            state: Mutex::new(state),
            world: world.clone(),
        });
        *slot.lock().unwrap() = Some(worker.clone());
        world.record.line(&format!("{name}: up, {} in {}", kind.name, kind.zone));
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_for_ever());
        let ticking = worker.clone();
        thread::spawn(move || ticking.tick_for_ever());
        worker
    }

    pub fn end(&self) {
        let mut state = self.state.lock().unwrap();
        state.ended = true;
        let tasks: Vec<(String, u64)> = state.tasks.iter().filter(|(_, t)| t.takes_room()).map(|(k, _)| k.clone()).collect();
        state.tasks.clear();
        self.world.record.line(&format!("{}: gone, with {} tasks", self.name, tasks.len()));
        for (task, attempt) in tasks {
            self.world.task_ended(&task, attempt, &self.name, "gone");
        }
    }

    /// Returns the free processors and memory, in thousandths, and how many tasks are on the machine.
    pub fn free(&self) -> (u64, u64, usize) {
        let state = self.state.lock().unwrap();
        let used = state.tasks.values().filter(|t| t.takes_room());
        let (cpus, ram) = used.fold((0, 0), |(c, r), t| (c + t.cpus, r + t.ram));
        let count = state.tasks.values().filter(|t| t.takes_room()).count();
        (milli(self.kind.vcpus) - cpus, milli(self.kind.ram_gb) - ram, count)
    }

    /// Returns how many tasks of a job run here.
    pub fn running(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let prefix = format!("{job}/");
        let mine = state.tasks.iter().filter(|((t, _), _)| t.starts_with(&prefix));
        mine.filter(|(_, t)| matches!(t.phase, Phase::Running { .. })).count()
    }

    pub fn has_ended(&self) -> bool {
        self.state.lock().unwrap().ended
    }

    fn report(&self, state: &mut State) -> String {
        state.tally += 1;
        let mut drops = String::new();
        for ((task, attempt), t) in &state.tasks {
            if !drops.is_empty() {
                drops.push(',');
            }
            let standing = match t.phase {
                Phase::Fetching { .. } => "\"fetching\"".to_string(),
                Phase::Running { .. } => "\"running\"".to_string(),
                Phase::Exited { why } => format!("\"exited\",\"cause\":\"{why}\""),
            };
            drops.push_str(&format!("{{\"drop\":\"{task}\",\"try\":{attempt},\"standing\":{standing}}}"));
        }
        format!(
            "{{\"host\":\"{}\",\"address\":\"{}\",\"flavour\":\"{}\",\"yard\":\"{}\",\"reclaimable\":false,\"tenure\":{},\"tally\":{},\"fence\":{},\"warningS\":null,\"drops\":[{drops}]}}",
            self.name, self.address, self.kind.name, self.kind.zone, state.tenure, state.tally, state.fence
        )
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return (0, String::new());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => (200, self.report(&mut state)),
            ("POST", "/do") => {
                if request.body.len() > 65_536 {
                    self.world.record.line(&format!("{}: /do of {} bytes: 400", self.name, request.body.len()));
                    return (400, "{\"error\":\"the body is longer than 64 KiB\"}".into());
                }
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let number = |name: &str| body.get(name).and_then(Json::count);
                let (Some(fence), Some(tenure)) = (number("fence"), number("tenure")) else {
                    return (400, "{\"error\":\"fence or tenure is missing\"}".into());
                };
                if fence < state.fence || tenure != state.tenure {
                    return (409, self.report(&mut state));
                }
                self.see(&mut state, fence);
                self.execute(&mut state, body.get("orders").unwrap_or(&Json::Null));
                (200, self.report(&mut state))
            }
            _ => (404, "{}".into()),
        }
    }

    fn see(&self, state: &mut State, fence: u64) {
        if fence > state.fence {
            state.fence = fence;
            state.changed = true;
        }
    }

    fn execute(&self, state: &mut State, orders: &Json) {
        for order in orders.items() {
            let text = |name: &str| order.get(name).and_then(Json::text).unwrap_or("").to_string();
            let key = (text("drop"), order.get("try").and_then(Json::count).unwrap_or(0));
            match text("verb").as_str() {
                "start" => self.start_task(state, key),
                "halt" => {
                    if let Some(task) = state.tasks.get_mut(&key).filter(|t| t.takes_room()) {
                        task.phase = Phase::Exited { why: "stopped" };
                        state.changed = true;
                        self.world.task_ended(&key.0, key.1, &self.name, "stopped");
                    }
                }
                "forget" => {
                    if state.tasks.get(&key).is_some_and(|t| !t.takes_room()) {
                        state.tasks.remove(&key);
                        state.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start_task(&self, state: &mut State, key: (String, u64)) {
        if state.tasks.contains_key(&key) {
            return;
        }
        state.changed = true;
        let refused = |why| Task { phase: Phase::Exited { why }, cpus: 0, ram: 0, run: None, is_daemon: false };
        let Some(job) = self.world.job_of(&key.0) else {
            state.tasks.insert(key, refused("no_such"));
            return;
        };
        if state.tasks.iter().any(|((task, _), t)| *task == key.0 && t.takes_room()) {
            state.tasks.insert(key, refused("in_use"));
            return;
        }
        let used = state.tasks.values().filter(|t| t.takes_room());
        let (cpus, ram) = used.fold((0, 0), |(c, r), t| (c + t.cpus, r + t.ram));
        let task = Task {
            phase: Phase::Fetching { until: Instant::now() },
            cpus: milli(job.vcpus),
            ram: milli(job.ram_gb),
            run: job.run_s.map(Duration::from_secs_f64),
            is_daemon: job.run_s.is_none(),
        };
        if cpus + task.cpus > milli(self.kind.vcpus) || ram + task.ram > milli(self.kind.ram_gb) {
            state.tasks.insert(key, refused("no_room"));
            return;
        }
        let fetch_s = match state.images.insert(job.bundle.clone()) {
            true => job.pull_gb / self.kind.pull_gb_per_s,
            false => 0.0,
        };
        let until = Instant::now() + Duration::from_secs_f64(fetch_s);
        state.tasks.insert(key, Task { phase: Phase::Fetching { until }, ..task });
    }

    /// Lets tasks go on, and ends the session when its lease has run out.
    fn tick_for_ever(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = self.state.lock().unwrap();
            if state.ended {
                return;
            }
            let now = Instant::now();
            if now > state.renewed + Duration::from_secs_f64(self.world.lease_s) {
                let tasks: Vec<(String, u64)> = state.tasks.iter().filter(|(_, t)| t.takes_room()).map(|(k, _)| k.clone()).collect();
                self.world.record.line(&format!(
                    "{}: LEASE ENDED, session {} over, {} tasks killed", self.name, state.tenure, tasks.len()
                ));
                for (task, attempt) in tasks {
                    self.world.task_ended(&task, attempt, &self.name, "killed: lease ended");
                }
                state.tasks.clear();
                state.tenure += 1;
                state.renewed = now;
                state.changed = true;
            }
            let mut changed = false;
            for ((name, attempt), task) in state.tasks.iter_mut() {
                match task.phase {
                    Phase::Fetching { until } if now >= until => {
                        task.phase = Phase::Running { since: now };
                        changed = true;
                        self.world.task_started(name, *attempt, &self.name);
                    }
                    Phase::Running { since } => {
                        let fails = self.world.job_of(name).is_some_and(|job| job.has_mistake);
                        let is_done = task.run.is_some_and(|run| now >= since + run) || self.world.has_result(name);
                        if fails && now >= since + Duration::from_millis(500) {
                            task.phase = Phase::Exited { why: "error" };
                            self.world.task_ended(name, *attempt, &self.name, "error");
                            changed = true;
                        } else if is_done && !task.is_daemon {
                            task.phase = Phase::Exited { why: "done" };
                            self.world.task_done(name, *attempt, &self.name);
                            changed = true;
                        }
                    }
                    _ => {}
                }
            }
            state.changed |= changed;
        }
    }

    fn report_for_ever(&self) {
        let nodes = &self.world.nodes;
        let mut at = self.name.bytes().last().unwrap_or(0) as usize % nodes.len();
        let mut clients: Vec<Client> = nodes.iter().map(|(_, address)| Client::new(*address)).collect();
        let mut last = Instant::now() - Duration::from_secs(60);
        loop {
            let interval = Duration::from_secs_f64(self.world.report_s * (0.75 + 0.5 * crate::random()));
            loop {
                thread::sleep(Duration::from_millis(20));
                let state = self.state.lock().unwrap();
                if state.ended {
                    return;
                }
                if last.elapsed() >= interval || state.changed && last.elapsed() >= Duration::from_millis(500) {
                    break;
                }
            }
            let (body, tenure, count) = {
                let mut state = self.state.lock().unwrap();
                state.changed = false;
                (self.report(&mut state), state.tenure, state.tasks.len())
            };
            let sent = Instant::now();
            last = sent;
            let answer = clients[at].call("POST", "/checkin", &body, Duration::from_secs(4));
            let status = answer.as_ref().map_or(0, |a| a.status);
            let body_json = answer.and_then(|a| Json::parse(&a.body));
            match status {
                200 => {
                    let mut state = self.state.lock().unwrap();
                    let fence = body_json.as_ref().and_then(|b| b.get("fence")).and_then(Json::count);
                    if let (Some(fence), true) = (fence, tenure == state.tenure) {
                        if fence >= state.fence {
                            self.see(&mut state, fence);
                            state.renewed = state.renewed.max(sent);
                            let orders = body_json.as_ref().and_then(|b| b.get("orders")).cloned();
                            self.execute(&mut state, &orders.unwrap_or(Json::Null));
                        }
                    }
                }
                421 => {
                    let steward = body_json.as_ref().and_then(|b| b.get("steward")).and_then(Json::text);
                    let next = steward.and_then(|s| nodes.iter().position(|(n, _)| n == s));
                    match next.filter(|n| *n != at) {
                        Some(next) => at = next,
                        None => {
                            at = (at + 1) % nodes.len();
                            thread::sleep(Duration::from_secs(1));
                        }
                    }
                    self.state.lock().unwrap().changed = true;
                }
                _ => {
                    self.world.checkin_refused(&self.name, &nodes[at].0, status, count, body.len());
                    at = (at + 1) % nodes.len();
                    thread::sleep(Duration::from_secs(1));
                    self.state.lock().unwrap().changed = true;
                }
            }
        }
    }
}
