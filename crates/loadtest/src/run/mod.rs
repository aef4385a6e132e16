//! One run: everything is started, troubles are played, figures are taken, and all of it is ended.

use crate::environment::World;
use crate::faults::{self, Struck};
use crate::measurement::counters::{Kind, Traffic};
use crate::measurement::result::{ControllerUse, Figures, Records, RunResult, Starts, WorkerBytes};
use crate::network::partitions::{lock, Site};
use crate::network::peer_links::Links;
use crate::plan::{Plan, ZoneIndex};
use crate::processes::controllers::{free_addresses, Addresses, Controllers, Launch};
use crate::processes::usage::{machine_memory_mb, usage, Usage};
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::{StateService, OPERATORS};
use crate::stand_ins::worker_fleet::Fleet;
use crate::users::load_balancer::Balancer;
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
    traffic: BTreeMap<Kind, Traffic>,
    changes: BTreeMap<String, u64>,
    transactions: BTreeMap<String, u64>,
    bytes: HashMap<String, u64>,
}

/// A process from second to second, across its restarts.
#[derive(Default)]
struct Account {
    last: Usage,
    pid: Option<u32>,
    cpu_s: f64,
    cpu_peak: f64,
    peak_mb: f64,
    sockets: usize,
}

impl Account {
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

    fn used(&self, seconds: f64) -> ControllerUse {
        ControllerUse {
            cpu: self.cpu_s / seconds,
            cpu_peak: self.cpu_peak,
            resident_mb: self.last.resident_mb,
            peak_mb: self.peak_mb,
            sockets: self.sockets,
        }
    }
}

/// All parts of a run.
struct Scene {
    world: Arc<World>,
    state: Arc<StateService>,
    fleet: Arc<Fleet>,
    controllers: Arc<Controllers>,
}

async fn set_up(plan: Plan, launch: Launch) -> std::io::Result<Scene> {
    let world = Arc::new(World::new(plan));
    let plan = &world.plan;
    let state = StateService::new(world.clone());
    let fleet = Fleet::new(world.clone()).await?;
    let cloud = Cloud::new(world.clone(), fleet.clone());
    let zones: Vec<ZoneIndex> = (0..plan.controllers.count)
        .map(|n| plan.controller_zone(n))
        .collect();
    let free = free_addresses(plan.controllers.count).await?;
    let siblings: Vec<SocketAddr> = free.iter().map(|(_, siblings)| *siblings).collect();
    let links = Links::open(&world, &siblings, &zones).await?;
    let mut addresses = Vec::new();
    for (n, (clients, siblings)) in free.into_iter().enumerate() {
        addresses.push(Addresses {
            clients,
            siblings,
            state: state.listen(n as u32, Site::Zone(zones[n])).await?,
            cloud: cloud.listen(zones[n]).await?,
        });
    }
    let controllers = Controllers::start(&world, launch, &addresses, &links)?;
    fleet.controllers_are(controllers.clone());
    cloud.start_with(plan.workers.count);
    let balancer = Balancer::start(&world, &controllers);
    Users::start(world.clone(), balancer, controllers.clone());
    if plan.configuration_changes_per_minute > 0.0 {
        let address = state.listen(OPERATORS, Site::Outside).await?;
        tokio::spawn(operator::play(world.clone(), address));
    }
    faults::play(&Struck {
        world: world.clone(),
        fleet: fleet.clone(),
        cloud: cloud.clone(),
        state: state.clone(),
        controllers: controllers.clone(),
    });
    Ok(Scene {
        world,
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
    let launch = Launch {
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

impl Scene {
    fn snapshot(&self) -> Snapshot {
        Snapshot {
            at: Instant::now(),
            traffic: self.world.traffic.now(),
            changes: self.world.changes.now(),
            transactions: self.world.transactions.now(),
            bytes: self.fleet.bytes(),
        }
    }

    async fn measure(&self, progress: bool) -> Result<RunResult, RunError> {
        let plan = &self.world.plan;
        let allowed_mb = machine_memory_mb() * MEMORY_PART;
        let mut accounts: Vec<Account> = Vec::new();
        accounts.resize_with(self.controllers.count(), Account::default);
        let mut own = Account::default();
        let mut before = None;
        let mut running = Vec::new();
        let begin = plan.warm_up_s.ceil() as u64;
        let end = begin + plan.seconds.ceil() as u64;
        let last = end + plan.settle_s.ceil() as u64;
        let mut figures = Figures::default();
        for second in 0..=last {
            sleep_until(self.world.instant(second * 1_000)).await;
            let now_ms = self.world.now_ms();
            lock(&self.world.rules).sweep(now_ms);
            for (account, pid) in accounts.iter_mut().zip(self.controllers.pids()) {
                account.sample(pid);
            }
            own.sample(Some(std::process::id()));
            let all = accounts.iter().chain([&own]);
            let taken_mb: f64 = all.map(|account| account.last.resident_mb).sum();
            if taken_mb > allowed_mb {
                return Err(RunError::Memory(taken_mb, allowed_mb));
            }
            let tasks = lock(&self.world.rules).running();
            if progress {
                self.print_progress(second, begin, tasks, &accounts);
            }
            if second == begin {
                self.world.times.clear();
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
        figures.times = self.world.times.now();
        Ok(RunResult {
            plan: plan.clone(),
            figures,
            breaches: lock(&self.world.rules).breaches().to_vec(),
            ended: self.controllers.ended_by_themselves(),
            finished: true,
        })
    }

    fn print_progress(&self, second: u64, begin: u64, running: usize, accounts: &[Account]) {
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
                .hosts()
                .iter()
                .filter(|host| host.is_powered())
                .count(),
            before(self.world.asked.now()),
            before(self.world.started.now()),
            lock(&self.world.rules).breaches().len(),
        );
    }

    fn figures(
        &self,
        before: &Snapshot,
        accounts: &[Account],
        own: &Account,
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
            .map(|(kind, (count, bytes))| (kind, Records { count, bytes }));
        let span = begin as usize..end as usize;
        let asked = &self.world.asked.now()[span.clone()];
        let started = &self.world.started.now()[span];
        Figures {
            seconds,
            workers: self
                .fleet
                .hosts()
                .iter()
                .filter(|host| host.is_powered())
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
            user_answers: self.world.user_answers.now(),
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
