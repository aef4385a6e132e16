//! One run: everything is started, troubles are played, figures are taken, and all of it is ended.

use crate::environment::Environment;
use crate::faults::{self, FaultInjector};
use crate::measurement::counters::{ExchangeKind, Traffic};
use crate::measurement::result::{
    Figures, ProcessUsage, RecordUsage, RunResult, Starts, WorkerBytes,
};
use crate::network::partitions::{lock, Site};
use crate::network::peer_links::PeerLinks;
use crate::plan::{Plan, ZoneIndex};
use crate::processes::controllers::{
    free_addresses, ControllerAddresses, Controllers, LaunchOptions,
};
use crate::processes::usage::{machine_memory_mb, usage, Usage};
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::{StateStoreServer, OPERATORS};
use crate::stand_ins::worker_fleet::WorkerFleet;
use crate::users::load_balancer::LoadBalancer;
use crate::users::operator;
use crate::users::Users;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::time::{sleep_until, Duration, Instant};

/// Part of the machine's memory that a run may take.
const MEMORY_PART: f64 = 0.5;
/// Seconds that are looked at together for the best rate.
const BEST_OF_S: usize = 10;

/// How a run ended before its time.
#[derive(Debug)]
pub enum RunError {
    Io(std::io::Error),
    /// MB taken and allowed.
    Memory(f64, f64),
    /// Asked to end.
    Interrupted,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            RunError::Io(error) => write!(f, "{error}"),
            RunError::Memory(taken, most) => {
                write!(f, "memory: {taken:.0} MB taken, {most:.0} MB allowed")
            }
            RunError::Interrupted => write!(f, "interrupted"),
        }
    }
}

impl From<std::io::Error> for RunError {
    fn from(error: std::io::Error) -> RunError {
        RunError::Io(error)
    }
}

/// What all that is measured stood at one moment.
struct Snapshot {
    at: Instant,
    traffic: BTreeMap<ExchangeKind, Traffic>,
    changes: BTreeMap<String, u64>,
    transactions: BTreeMap<String, u64>,
    bytes: HashMap<String, u64>,
}

/// A process from second to second, across its restarts.
#[derive(Default)]
struct UsageRecorder {
    last: Usage,
    pid: Option<u32>,
    cpu_s: f64,
    cpu_peak: f64,
    peak_mb: f64,
    sockets: usize,
}

impl UsageRecorder {
    fn sample(&mut self, pid: Option<u32>) {
        let Some(id) = pid else {
            self.pid = None;
            return;
        };
        let now = usage(id);
        let before = match self.pid == pid {
            true => self.last.cpu_s,
            false => 0.0,
        };
        let spent = (now.cpu_s - before).max(0.0);
        self.cpu_s += spent;
        self.cpu_peak = self.cpu_peak.max(spent);
        self.peak_mb = self.peak_mb.max(now.peak_mb);
        self.sockets = self.sockets.max(now.sockets);
        self.last = now;
        self.pid = pid;
    }

    fn used(&self, seconds: f64) -> ProcessUsage {
        ProcessUsage {
            cpu: self.cpu_s / seconds,
            cpu_peak: self.cpu_peak,
            resident_mb: self.last.resident_mb,
            peak_mb: self.peak_mb,
            sockets: self.sockets,
        }
    }
}

/// All parts of a run.
struct LoadTest {
    environment: Arc<Environment>,
    state: Arc<StateStoreServer>,
    fleet: Arc<WorkerFleet>,
    controllers: Arc<Controllers>,
}

async fn set_up(plan: Plan, launch: LaunchOptions) -> std::io::Result<LoadTest> {
    let environment = Arc::new(Environment::new(plan));
    let plan = &environment.plan;
    let state = StateStoreServer::new(environment.clone());
    let fleet = WorkerFleet::new(environment.clone()).await?;
    let cloud = Cloud::new(environment.clone(), fleet.clone());
    let zones: Vec<ZoneIndex> = (0..plan.controllers.count)
        .map(|n| plan.controller_zone(n))
        .collect();
    let free = free_addresses(plan.controllers.count).await?;
    let peers: Vec<SocketAddr> = free.iter().map(|(_, peers)| *peers).collect();
    let links = PeerLinks::open(&environment, &peers, &zones).await?;
    let mut addresses = Vec::new();
    for (n, (clients, peers)) in free.into_iter().enumerate() {
        addresses.push(ControllerAddresses {
            clients,
            peers,
            state: state.listen(n as u32, Site::Zone(zones[n])).await?,
            cloud: cloud.listen(zones[n]).await?,
        });
    }
    let controllers = Controllers::start(&environment, launch, &addresses, &links)?;
    fleet.controllers_are(controllers.clone());
    cloud.start_with(plan.workers.count);
    let balancer = LoadBalancer::start(&environment, &controllers);
    Users::start(environment.clone(), balancer, controllers.clone());
    if plan.configuration_changes_per_minute > 0.0 {
        let address = state.listen(OPERATORS, Site::Outside).await?;
        tokio::spawn(operator::play(environment.clone(), address));
    }
    faults::play(&FaultInjector {
        environment: environment.clone(),
        fleet: fleet.clone(),
        cloud: cloud.clone(),
        state: state.clone(),
        controllers: controllers.clone(),
    });
    Ok(LoadTest {
        environment,
        state,
        fleet,
        controllers,
    })
}

/// What a run is asked to do besides its plan.
pub struct Options {
    pub binary: PathBuf,
    pub folder: PathBuf,
    pub log_level: String,
    /// Prints a line a second.
    pub progress: bool,
}

/// Time that tasks of a run get to end when it is over.
const TASKS_END: std::time::Duration = std::time::Duration::from_secs(1);

/// Plays a plan in a runtime of its own. Nothing of a run is left for the next one: workers and users that
/// went on would report to the next run's controllers, under the same names.
pub fn run_alone(plan: Plan, options: &Options) -> Result<RunResult, RunError> {
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(run(plan, options));
    runtime.shutdown_timeout(TASKS_END);
    outcome
}

/// Plays a plan to its end; all processes that it started have ended when it returns.
pub async fn run(plan: Plan, options: &Options) -> Result<RunResult, RunError> {
    let launch = LaunchOptions {
        binary: options.binary.clone(),
        folder: options.folder.clone(),
        log_level: options.log_level.clone(),
    };
    let scene = set_up(plan, launch).await?;
    end_with_panics(&scene.controllers);
    let outcome = tokio::select! {
        outcome = scene.measure(options.progress) => outcome,
        _ = interrupted() => Err(RunError::Interrupted),
    };
    scene.controllers.end();
    outcome
}

/// A panic anywhere ends the controllers as well, since the process then aborts.
fn end_with_panics(controllers: &Arc<Controllers>) {
    let before = std::panic::take_hook();
    let controllers = Arc::downgrade(controllers);
    std::panic::set_hook(Box::new(move |info| {
        if let Some(controllers) = controllers.upgrade() {
            for pid in controllers.pids().into_iter().flatten() {
                kill(pid);
            }
        }
        before(info);
    }));
}

fn kill(pid: u32) {
    let pid = i32::try_from(pid)
        .ok()
        .and_then(rustix::process::Pid::from_raw);
    if let Some(pid) = pid {
        let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
    }
}

async fn interrupted() {
    use tokio::signal::unix::{signal, SignalKind};
    let terminate = signal(SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = terminate.recv() => {}
            }
        }
        Err(_) => {
            let _ = tokio::signal::ctrl_c().await;
        }
    }
}

impl LoadTest {
    fn snapshot(&self) -> Snapshot {
        Snapshot {
            at: Instant::now(),
            traffic: self.environment.traffic.now(),
            changes: self.environment.record_changes.now(),
            transactions: self.environment.transactions.now(),
            bytes: self.fleet.bytes(),
        }
    }

    async fn measure(&self, progress: bool) -> Result<RunResult, RunError> {
        let plan = &self.environment.plan;
        let allowed_mb = machine_memory_mb() * MEMORY_PART;
        let mut accounts: Vec<UsageRecorder> = Vec::new();
        accounts.resize_with(self.controllers.count(), UsageRecorder::default);
        let mut own = UsageRecorder::default();
        let mut before = None;
        let mut running = Vec::new();
        let begin = plan.warm_up_s.ceil() as u64;
        let end = begin + plan.seconds.ceil() as u64;
        let last = end + plan.settle_s.ceil() as u64;
        let mut figures = Figures::default();
        for second in 0..=last {
            sleep_until(self.environment.instant_at(second * 1_000)).await;
            let now_ms = self.environment.now_ms();
            lock(&self.environment.invariants).check_cancelled_jobs(now_ms);
            for (account, pid) in accounts.iter_mut().zip(self.controllers.pids()) {
                account.sample(pid);
            }
            own.sample(Some(std::process::id()));
            let all = accounts.iter().chain([&own]);
            let taken_mb: f64 = all.map(|account| account.last.resident_mb).sum();
            if taken_mb > allowed_mb {
                return Err(RunError::Memory(taken_mb, allowed_mb));
            }
            let tasks = lock(&self.environment.invariants).running_tasks();
            if progress {
                self.print_progress(second, begin, tasks, &accounts);
            }
            if second == begin {
                self.environment.latencies.clear();
                for account in accounts.iter_mut().chain([&mut own]) {
                    account.cpu_s = 0.0;
                    account.cpu_peak = 0.0;
                }
                before = Some(self.snapshot());
            }
            if second >= begin && second <= end {
                running.push(tasks);
            }
            if second == end {
                if let Some(before) = &before {
                    figures = self.figures(before, &accounts, &own, &running, (begin, end));
                }
            }
        }
        figures.times = self.environment.latencies.now();
        Ok(RunResult {
            plan: plan.clone(),
            figures,
            violations: lock(&self.environment.invariants).violations().to_vec(),
            ended: self.controllers.ended_by_themselves(),
            finished: true,
        })
    }

    fn print_progress(&self, second: u64, begin: u64, running: usize, accounts: &[UsageRecorder]) {
        let before = |counts: Vec<u64>| {
            let index = (second as usize).checked_sub(1);
            index.and_then(|n| counts.get(n).copied()).unwrap_or(0)
        };
        let most = accounts
            .iter()
            .map(|a| a.last.resident_mb)
            .fold(0.0, f64::max);
        eprintln!(
            "{:>4} s  workers {:5}  running {running:6}  asked {:5}/s  started {:5}/s  \
             controller memory {most:.0} MB  breaches {}",
            second as i64 - begin as i64,
            self.fleet
                .workers()
                .iter()
                .filter(|worker| worker.is_powered())
                .count(),
            before(self.environment.tasks_submitted.now()),
            before(self.environment.tasks_started.now()),
            lock(&self.environment.invariants).violations().len(),
        );
    }

    fn figures(
        &self,
        before: &Snapshot,
        accounts: &[UsageRecorder],
        own: &UsageRecorder,
        running: &[usize],
        (begin, end): (u64, u64),
    ) -> Figures {
        let now = self.snapshot();
        let seconds = (now.at - before.at)
            .max(Duration::from_millis(1))
            .as_secs_f64();
        let traffic = now.traffic.iter().map(|(kind, traffic)| {
            let earlier = before.traffic.get(kind).copied().unwrap_or_default();
            (*kind, traffic.minus(earlier).per(seconds))
        });
        let records = self.state.read(|store| store.by_kind());
        let records = records
            .into_iter()
            .map(|(kind, (count, bytes))| (kind, RecordUsage { count, bytes }));
        let span = begin as usize..end as usize;
        let asked = &self.environment.tasks_submitted.now()[span.clone()];
        let started = &self.environment.tasks_started.now()[span];
        Figures {
            seconds,
            workers: self
                .fleet
                .workers()
                .iter()
                .filter(|worker| worker.is_powered())
                .count(),
            running: running.iter().sum::<usize>() as f64 / running.len().max(1) as f64,
            running_most: running.iter().copied().max().unwrap_or(0),
            controllers: accounts.iter().map(|a| a.used(seconds)).collect(),
            stand_ins: own.used(seconds),
            traffic: traffic.collect(),
            changes: rates(&before.changes, &now.changes, seconds),
            transactions: rates(&before.transactions, &now.transactions, seconds),
            records: records.collect(),
            starts: Starts {
                asked: mean(asked),
                asked_best_10s: best(asked),
                reached: mean(started),
                reached_best_10s: best(started),
            },
            times: BTreeMap::new(),
            worker_bytes: worker_bytes(&before.bytes, &now.bytes, seconds),
            user_answers: self.environment.unexpected_answers.now(),
        }
    }
}

fn rates(
    before: &BTreeMap<String, u64>,
    now: &BTreeMap<String, u64>,
    seconds: f64,
) -> BTreeMap<String, f64> {
    let each = now.iter().map(|(name, count)| {
        let earlier = before.get(name).copied().unwrap_or(0);
        (name.clone(), (count - earlier) as f64 / seconds)
    });
    each.filter(|(_, rate)| *rate > 0.0).collect()
}

fn mean(counts: &[u64]) -> f64 {
    counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64
}

fn best(counts: &[u64]) -> f64 {
    let spans = counts.windows(BEST_OF_S.min(counts.len()).max(1));
    spans.map(mean).fold(0.0, f64::max)
}

fn worker_bytes(
    before: &HashMap<String, u64>,
    now: &HashMap<String, u64>,
    seconds: f64,
) -> WorkerBytes {
    // Only workers that were there all the time.
    let mut rates: Vec<f64> = (now.iter())
        .filter_map(|(name, bytes)| Some((bytes - before.get(name)?) as f64 / seconds))
        .collect();
    rates.sort_by(f64::total_cmp);
    let last = rates.len().saturating_sub(1);
    let at = |part: f64| {
        rates
            .get((last as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    WorkerBytes {
        mean: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
        p99: at(0.99),
        max: at(1.0),
    }
}
