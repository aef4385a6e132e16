//! Plays one case: real controllers, with stand-ins of all that is outside of them, on loopback
//! addresses and the real clock. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run.
//!
//!     world CASE RECORD FOLDER TROUBLE PROGRAM [ARGUMENT...]

mod base;
mod cases;
mod services;
mod worker;

use base::{Client, Json, Record};
use services::{Cloud, MachineType, StateLimits};
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use worker::Worker;

/// Returns a number from 0 to 1.
pub fn random() -> f64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// A job as its user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub owner: &'static str,
    pub rank: &'static str,
    pub drops: u32,
    pub vcpus: f64,
    pub ram_gb: f64,
    pub bundle: String,
    pub pull_gb: f64,
    pub flavours: Option<Vec<&'static str>>,
    /// Run time of a task; none for a daemon.
    pub run_s: Option<f64>,
    /// Whether its tasks fail on every machine.
    pub has_mistake: bool,
}

impl Job {
    fn body(&self) -> String {
        let flavours = match &self.flavours {
            Some(names) => format!("[{}]", names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",")),
            None => "null".into(),
        };
        let shape = if self.run_s.is_some() { "array" } else { "daemon" };
        format!(
            "{{\"nameId\":\"{}\",\"jobclass\":\"{}\",\"owner\":\"{}\",\"shape\":\"{shape}\",\"rank\":\"{}\",\"drops\":{},\"vcpus\":{:?},\"accelerators\":0.0,\"ramGb\":{:?},\"bundle\":\"{}\",\"pullGb\":{:?},\"flavours\":{flavours},\"yard\":null,\"together\":false,\"scatter\":false,\"reclaimable\":false,\"expectS\":{:?},\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}}",
            self.id, self.class, self.owner, self.rank, self.drops, self.vcpus, self.ram_gb, self.bundle, self.pull_gb, self.run_s.unwrap_or(0.0)
        )
    }
}

/// All that is outside of the controllers.
pub struct World {
    pub record: Arc<Record>,
    pub nodes: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
    jobs: Mutex<HashMap<String, Job>>,
    starts: Mutex<HashMap<String, usize>>,
    on_machines: Mutex<HashMap<String, String>>,
    results: Mutex<HashSet<String>>,
    pub ran_twice: AtomicUsize,
    turn: AtomicUsize,
}

impl World {
    pub fn job_of(&self, task: &str) -> Option<Job> {
        let (job, index) = task.split_once('/')?;
        let job = self.jobs.lock().unwrap().get(job).cloned()?;
        (index.parse::<u32>().ok()? < job.drops).then_some(job)
    }
    pub fn task_started(&self, task: &str, attempt: u64, machine: &str) {
        self.record.line(&format!("{machine}: {task} try {attempt} started"));
        let job = task.split('/').next().unwrap_or("").to_string();
        *self.starts.lock().unwrap().entry(job).or_default() += 1;
        let mut on_machines = self.on_machines.lock().unwrap();
        if let Some(other) = on_machines.insert(task.to_string(), machine.to_string()) {
            self.record.line(&format!("ran_twice: {task} is on {other} and on {machine}"));
            self.ran_twice.fetch_add(1, Ordering::Relaxed);
        }
    }
    pub fn task_ended(&self, task: &str, attempt: u64, machine: &str, why: &str) {
        self.record.line(&format!("{machine}: {task} try {attempt} ended: {why}"));
        let mut on_machines = self.on_machines.lock().unwrap();
        if on_machines.get(task).is_some_and(|m| m == machine) {
            on_machines.remove(task);
        }
    }
    /// Returns whether a task has completed; its result is kept.
    pub fn has_result(&self, task: &str) -> bool {
        self.results.lock().unwrap().contains(task)
    }
    pub fn task_done(&self, task: &str, attempt: u64, machine: &str) {
        self.results.lock().unwrap().insert(task.to_string());
        self.task_ended(task, attempt, machine, "done");
    }
    pub fn checkin_refused(&self, machine: &str, node: &str, status: u16, tasks: usize, bytes: usize) {
        self.record.line(&format!("{machine}: check-in at {node} with {tasks} tasks, {bytes} bytes: answer {status}"));
    }
    /// Returns how many tasks of a job have started so far, repeats included.
    pub fn starts(&self, job: &str) -> usize {
        self.starts.lock().unwrap().get(job).copied().unwrap_or(0)
    }
    fn node(&self) -> SocketAddr {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.nodes[turn % self.nodes.len()].1
    }
    /// Repeats a request as users do until it is answered for good. Returns the status and the body.
    fn insist(&self, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let from = Instant::now();
        loop {
            let answer = Client::new(self.node()).call(method, path, body, Duration::from_secs(5));
            let status = answer.as_ref().map_or(0, |a| a.status);
            let text = answer.as_ref().map_or(String::new(), |a| String::from_utf8_lossy(&a.body).into_owned());
            self.record.line(&format!("user: {method} {path} {}: {status} {text}", id_of(body)));
            if matches!(status, 200 | 201 | 400 | 404 | 422) {
                return Some((status, Json::parse(text.as_bytes())?));
            }
            let retry_s = answer.map_or(0.0, |a| a.retry_after_s).clamp(1.0, 30.0);
            if from.elapsed() > Duration::from_secs(60) {
                return None;
            }
            thread::sleep(Duration::from_secs_f64(retry_s));
        }
    }
    /// Submits a job; returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        self.jobs.lock().unwrap().insert(job.id.clone(), job.clone());
        let answer = self.insist("POST", "/v2/runs", &job.body());
        answer.is_some_and(|(status, _)| status == 200 || status == 201)
    }
    /// Submits many jobs at a time; returns whether all were accepted.
    pub fn submit_all(self: &Arc<World>, jobs: Vec<Job>, threads: usize) -> bool {
        let jobs = Arc::new(Mutex::new(jobs.into_iter()));
        let users: Vec<_> = (0..threads)
            .map(|_| {
                let (world, jobs) = (self.clone(), jobs.clone());
                thread::spawn(move || {
                    let mut all = true;
                    loop {
                        let next = jobs.lock().unwrap().next();
                        let Some(job) = next else { return all };
                        all &= world.submit(&job);
                    }
                })
            })
            .collect();
        users.into_iter().all(|user| user.join().unwrap_or(false))
    }
    pub fn withdraw(&self, job: &str) -> bool {
        let answer = self.insist("POST", &format!("/v2/runs/{job}/withdraw"), "");
        answer.is_some_and(|(status, _)| status == 200)
    }
    /// Asks about a job once; returns its standing.
    pub fn poll(&self, job: &str) -> Option<(u16, String)> {
        let answer = Client::new(self.node()).call("GET", &format!("/v2/runs/{job}"), "", Duration::from_secs(2));
        let answer = answer?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        self.record.line(&format!("user: GET {job}: {} {text}", answer.status));
        let body = Json::parse(text.as_bytes())?;
        let standing = body.get("standing").and_then(Json::text).unwrap_or("").to_string();
        Some((answer.status, standing))
    }
    /// Waits until a job is said to be done, or until the time is over.
    pub fn await_done(&self, job: &str, until: Instant) -> bool {
        loop {
            if self.poll(job).is_some_and(|(status, standing)| status == 200 && standing == "done") {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_secs(2));
        }
    }
}

fn id_of(body: &str) -> String {
    let body = Json::parse(body.as_bytes());
    let id = body.as_ref().and_then(|b| b.get("nameId")).and_then(Json::text);
    id.unwrap_or("").to_string()
}

/// The settings of a deployment.
pub struct Deployment {
    pub zone: &'static str,
    /// Name, `cpus` and `cpus_max` of each team.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub types: Vec<MachineType>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub ram_mb: f64,
}

/// A case under way.
pub struct Stage {
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    pub trouble: bool,
    children: Mutex<Vec<Child>>,
}

/// Returns addresses for the controllers, whose ports are free.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listen = || TcpListener::bind((base::host(true), 0)).expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(|_| listen()).collect();
    listeners.iter().filter_map(|listener| listener.local_addr().ok()).collect()
}

impl Stage {
    /// Starts the services outside and three controllers.
    fn start(deployment: &Deployment, arguments: &[String]) -> Stage {
        let record = Arc::new(Record::new(&arguments[0]));
        let (folder, trouble, program) = (&arguments[1], arguments[2] != "0", &arguments[3..]);
        let members = ["bothy-0", "bothy-1", "bothy-2"];
        let free = free_addresses(2 * members.len());
        let addresses: Vec<(SocketAddr, SocketAddr)> = free.chunks(2).map(|pair| (pair[0], pair[1])).collect();
        let nodes = members.iter().zip(&addresses).map(|(m, (client, _))| (m.to_string(), *client)).collect();
        let world = Arc::new(World {
            record: record.clone(),
            nodes,
            report_s: deployment.report_s,
            lease_s: deployment.lease_s,
            jobs: Default::default(),
            starts: Default::default(),
            on_machines: Default::default(),
            results: Default::default(),
            ran_twice: AtomicUsize::new(0),
            turn: AtomicUsize::new(0),
        });
        let state = services::state_service(StateLimits {
            rps: 150.0,
            write_rps: 50.0,
            value_kb: deployment.value_kb,
            txn_ops: deployment.txn_ops,
        });
        let cloud = Cloud::new(deployment.types.clone(), deployment.cloud_rps, deployment.list_lag_s, record);
        let cloud_address = cloud.serve(&world);
        let mut children = Vec::new();
        for (n, member) in members.iter().enumerate() {
            let (client, cluster) = addresses[n];
            let zone = deployment.zone;
            let mut text = format!(
                "member = \"{member}\"\nlocation = \"{zone}\"\nclient_listen = \"{client}\"\ncluster_listen = \"{cluster}\"\n"
            );
            for (m, sibling) in members.iter().enumerate().filter(|(m, _)| *m != n) {
                text.push_str(&format!(
                    "[[siblings]]\nmember = \"{sibling}\"\nlocation = \"{zone}\"\npeer_addr = \"{}\"\n",
                    addresses[m].1
                ));
            }
            text.push_str(&format!(
                "[outside]\ncloud = \"{cloud_address}\"\nstate = \"{state}\"\n[settings]\ncount = 3\nzones = [\"{zone}\"]\nclock_off_ms = 1000.0\n"
            ));
            for (name, cpus, cpus_max) in &deployment.teams {
                text.push_str(&format!(
                    "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = 0.0\n"
                ));
            }
            text.push_str(&format!(
                "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = {:?}\n[settings.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = {:?}\ntxn_ops = {}\n[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n[settings.quota]\ncpu_share = {:?}\nram_mb = {:?}\nsockets = 1200\n",
                deployment.report_s, deployment.lease_s, deployment.cancel_s, deployment.value_kb, deployment.txn_ops,
                deployment.cloud_rps, deployment.list_lag_s, deployment.cpu_share, deployment.ram_mb
            ));
            let path = format!("{folder}/{member}.toml");
            std::fs::write(&path, text).expect("the settings can be written");
            let log = File::create(format!("{folder}/{member}.log")).expect("the log can be written");
            let child = Command::new(&program[0])
                .args(&program[1..])
                .arg(&path)
                .env("LOG_LEVEL", "info")
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn();
            match child {
                Ok(child) => children.push(child),
                Err(error) => {
                    eprintln!("a controller can't be started: {error}");
                    children.iter_mut().for_each(|c| drop(c.kill()));
                    exit(2);
                }
            }
        }
        Stage { world, cloud, trouble, children: Mutex::new(children) }
    }

    /// Waits until all controllers are ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for (member, address) in &self.world.nodes {
            loop {
                let answer = Client::new(*address).call("GET", "/ready", "", Duration::from_secs(1));
                if answer.is_some_and(|a| a.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{member} doesn't become ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.world.record.line("all controllers are ready");
        Ok(())
    }

    /// Returns the workers that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.cloud.machines.lock().unwrap();
        let workers = machines.iter().filter(|m| m.gone.is_none()).filter_map(|m| m.worker.clone());
        workers.filter(|w| !w.has_ended()).collect()
    }

    /// Waits until a condition holds, or until the time is over.
    pub fn wait_for(&self, limit_s: f64, condition: impl Fn() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        while Instant::now() < until {
            if condition() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        condition()
    }

    /// Sleeps until this many seconds of the case are over.
    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.world.record.seconds();
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    }

    fn end(&self) -> usize {
        let mut ended = 0;
        for child in self.children.lock().unwrap().iter_mut() {
            ended += usize::from(matches!(child.try_wait(), Ok(Some(_))));
            let _ = child.kill();
            let _ = child.wait();
        }
        ended
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.len() < 5 {
        eprintln!("usage: world CASE RECORD FOLDER TROUBLE PROGRAM [ARGUMENT...]");
        exit(2);
    }
    let Some((deployment, play)) = cases::find(&arguments[0]) else {
        eprintln!("no such case");
        exit(2);
    };
    let stage = Arc::new(Stage::start(&deployment, &arguments[1..]));
    let guarded = stage.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(118));
        guarded.world.record.line("verdict: the case took too long");
        guarded.end();
        exit(2);
    });
    let verdict = stage.await_ready().and_then(|()| play(&stage));
    let ended = stage.end();
    if ended > 0 {
        stage.world.record.line(&format!("{ended} controllers had ended by themselves"));
    }
    let (text, code) = match verdict {
        Ok(None) => ("the rule held".to_string(), 0),
        Ok(Some(what)) => (format!("the rule was broken: {what}"), 1),
        Err(why) => (format!("the case couldn't run: {why}"), 2),
    };
    stage.world.record.line(&format!("verdict: {text}"));
    println!("{text}");
    exit(code);
}
