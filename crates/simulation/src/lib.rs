//! A world in memory for scenarios and measurements: controllers, state service, cloud, workers and users
//! in simulated time, with seeded chance. It checks the rules of the protocol at every step, and
//! plays fleets of thousands of machines in seconds.

pub mod day;
pub mod digest;
pub mod measure;
pub mod old;
pub mod operator;
pub mod play;
pub mod random_faults;
mod rules;
pub mod service;
pub mod troubles;
pub mod users;

use glenmount_core::configuration::Policy;
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::*;
use glenmount_core::model::*;
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::*;
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::*;
use glenmount_core::tuning::Tuning;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rules::Rules;
use service::Limited;
use std::collections::{BTreeMap, BTreeSet, HashMap};
pub use troubles::Waits;

pub const WALL0: u64 = 1_700_000_000_000;
/// Milliseconds after which what the state service refused for being too much is sent again.
const TOO_MANY_PAUSE_MS: u64 = 150;

#[derive(Clone, Debug)]
enum Act {
    Tick(usize, u32),
    Controller(usize, u32, Event),
    State(usize, u32, OperationId, StateOperation, Fate),
    Watch(usize, u32),
    Report(String),
    Arrive(usize, WorkerHeartbeat, u64),
    Reply(String, u64, u64, WorkerReply),
    GaveUp(String, u64),
    Lease(String),
    Phase(String, TaskId, u64, TaskPhase),
    Cloud(usize, u32, OperationId, CloudOperation, bool),
    Boot(String),
    Command(usize, u32, String, u64, u64, Vec<WorkerCommand>, bool),
    Restart(usize),
    Thaw(usize, u32),
    /// A controller that was asked to end has nothing left to do.
    End(usize, u32, u64),
    /// A machine that hung goes on.
    GoesOn(String),
    /// Users look at a job that was just accepted, cancelled or done.
    Look(usize, String, troubles::Look),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Normal,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Given up by the controller, executed later.
    Late(u64),
}

pub struct ControllerSlot {
    pub controller: Option<Controller>,
    pub life: u32,
    /// From this life on it has the new version; before, one that knows only format 1.
    new_from: u32,
    pub cut_from_state: bool,
    /// The state service answers it alone with 503.
    pub refused: bool,
    pub cut_from_workers: bool,
    pub cut_from_peers: bool,
    /// What the controller sends does not get through, to workers and peers; what it gets does.
    pub mute: bool,
    watching: Option<u64>,
    /// Until when its watch tells nothing.
    watch_lags_until: u64,
    /// Until when it is paused, and what comes in meanwhile.
    frozen_until: u64,
    backlog: Vec<Event>,
    /// Commands and transactions that it has sent.
    pub sent: u32,
    /// Milliseconds after its end at which it is back, once it was asked to end.
    back_after: u64,
    /// When its process began, and from when on it was ready, accepted a job, and sent a start.
    pub began: u64,
    pub first_ready: Option<u64>,
    pub first_accepted: Option<u64>,
    pub first_start: Option<u64>,
}

pub struct Task {
    pub phase: TaskPhase,
}

pub struct Worker {
    pub name: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    /// When it last told a higher token.
    token_said: Option<u64>,
    pub lease_from: u64,
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    in_flight: Option<u64>,
    sent_at: u64,
    serial: u64,
    pub controller: usize,
    pub alive: bool,
    /// When a controller last got a heartbeat of it, and which.
    pub heard: (u64, usize),
    /// When it was last told to start something.
    pub told_start: u64,
    pub cut: bool,
    /// Its reports arrive; answers and commands to it are lost.
    pub deaf: bool,
    /// Its reports reach no controller; commands to it arrive, and so do their answers.
    pub mute: bool,
    /// Until when it hangs, and what comes to it meanwhile.
    hangs_until: u64,
    hung: Vec<Act>,
    pub fails_all: bool,
    pub notice_s: Option<f64>,
}

impl Worker {
    pub fn live(&self) -> impl Iterator<Item = &(TaskId, u64)> {
        self.tasks
            .iter()
            .filter(|(_, t)| !matches!(t.phase, TaskPhase::Exited(_)))
            .map(|(k, _)| k)
    }
}

#[derive(Default)]
pub struct Told {
    pub accepted: bool,
    pub accepted_at: Option<u64>,
    pub cancelled_at: Option<u64>,
    pub done: bool,
    pub done_at: Option<u64>,
    pub asked_cancel: bool,
}

/// Answers that were older than another which a controller gave while they were on their way: asked before it,
/// given after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overlaps {
    pub answers: u32,
    /// Milliseconds at most by which the newer one was given earlier.
    pub longest: u64,
}

/// Chances of faults per message, between 0 and 1.
#[derive(Default, Clone)]
pub struct Mishaps {
    pub txn_answer_lost: f64,
    pub txn_late: f64,
    /// An answer is overtaken by the watch, by up to a second.
    pub answer_slow: f64,
    pub report_lost: f64,
    pub report_late: f64,
    pub report_twice: f64,
    /// A copy is kept for the next controller that begins: all controllers get it then.
    pub report_kept: f64,
    pub reply_lost: f64,
    pub cloud_lost: f64,
    pub command_lost: f64,
    pub command_late: f64,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    queue: BTreeMap<(u64, u64), Act>,
    sequence: u64,
    pub controllers: Vec<ControllerSlot>,
    pub settings: Settings,
    /// The zones that have controllers, in turn; empty for all.
    pub controllers_in: Vec<String>,
    pub machine_types: Vec<MachineType>,
    // State service
    pub store: BTreeMap<Key, (Record, u64)>,
    log: Vec<(u64, Key, Option<Record>)>,
    pub revision: u64,
    pub state_down: bool,
    pub conflicts: u32,
    /// What the state service takes now, if not what the controllers keep to: bytes of a value and changes
    /// of a transaction.
    pub limits: Option<(u64, usize)>,
    /// What controllers of the old version keep to.
    pub old_limits: (u64, usize),
    /// Transactions that were larger.
    pub refused: u32,
    /// Transactions, and changes in them, whether they took effect or not.
    pub transactions: u32,
    pub changes: u32,
    // Cloud
    pub instance_requests: HashMap<String, Vec<String>>,
    pub rented: u32,
    pub capacity: u32,
    /// So many of the next machines provisioned never come up.
    pub stuck_boots: u32,
    /// Milliseconds in which provisioned machines come up.
    pub boot_ms: std::ops::Range<u64>,
    /// Reads that proved a revision.
    pub proofs: u32,
    pub cloud_down: bool,
    /// A zone that nothing gets into or out of, and the controllers inside; what is sent across waits for
    /// the end of the cut.
    zone_cut: Option<(String, BTreeSet<usize>)>,
    held_back: Vec<Act>,
    pub deleted: BTreeSet<String>,
    // Workers, users
    pub workers: BTreeMap<String, Worker>,
    pub specs: BTreeMap<String, JobSpec>,
    pub told: BTreeMap<String, Told>,
    pub done_tasks: BTreeSet<TaskId>,
    /// When each job's first task ran.
    pub ran_at: HashMap<String, u64>,
    pub run_ms: u64,
    /// Of single jobs whose tasks take another time.
    pub job_ms: HashMap<String, u64>,
    /// Of classes whose tasks take another time.
    pub class_ms: BTreeMap<String, u64>,
    /// By how many milliseconds each controller's time of day is ahead.
    pub clock_ahead: Vec<u64>,
    /// Machines that take three times as long.
    pub slow: BTreeSet<String>,
    /// Of tasks that save, what they have done before, in milliseconds.
    progress: HashMap<TaskId, (u64, u64)>,
    /// Jobs submitted with a mistake: they fail on every machine.
    pub mistaken: BTreeSet<String>,
    pub answers: BTreeMap<RequestId, UserReply>,
    /// Where a request was sent, about what, and when.
    asked: HashMap<RequestId, (usize, String, u64)>,
    checkins: HashMap<(usize, u32, RequestId), (String, u64, u64)>,
    next_request: u64,
    pub mishaps: Mishaps,
    pub starts: u32,
    /// For measurements: the rules are not checked, which takes longer than all else.
    pub unchecked: bool,
    /// Events that controllers handled, and the time this took.
    pub events: u64,
    pub spent: std::time::Duration,
    /// Of these, heartbeats.
    pub heartbeats: u64,
    pub spent_on_beats: std::time::Duration,
    /// Bytes, about, of the last heartbeat.
    pub beat_bytes: usize,
    /// Replies with starts that workers never saw.
    pub lost_starts: u32,
    /// Tasks that were stopped, by the reason on record, and the milliseconds that they had run.
    pub stops: BTreeMap<String, (u32, u64)>,
    ran_since: HashMap<(TaskId, u64), u64>,
    /// Tasks that ended with their worker's lease.
    pub killed: u32,
    rules: Rules,
    /// Keys in the order of their paths, as of a revision.
    listing: (u64, Vec<(String, Key)>),
    /// Records per page of a list, and pages that were read.
    pub page: usize,
    pub lists: u32,
    /// What the outside services take, where that is limited.
    pub limited: Limited,
    /// What requests that overlapped were told.
    pub overlaps: Overlaps,
    /// When each controller was ended last.
    pub ended_at: Vec<u64>,
    /// Milliseconds at most that a message between controllers and workers takes longer.
    pub slow_links_ms: u64,
    /// The lease of a machine that hangs ends in time; else it holds its tasks until it goes on, which is
    /// more than the protocol says of it, and nothing that is told may rest on the former.
    pub hung_leases_end: bool,
    /// Users ask at all controllers within milliseconds whenever a job was accepted, cancelled or done.
    pub close_looks: bool,
    /// Of jobs whose last task ends, those that are called off at that moment.
    pub cancelled_at_end: f64,
    /// Copies of reports for the next controller that begins.
    kept_reports: Vec<WorkerHeartbeat>,
    /// What operators have put on record.
    pub configured: operator::Configured,
    /// Hashes what controllers do, if wanted.
    pub digest: Option<digest::EffectDigest>,
}

/// Run times learned, and used for all that they can be.
pub fn every_use() -> LearnedUse {
    LearnedUse {
        learn: true,
        order: true,
        due: true,
        stops: true,
        notice: true,
    }
}

pub fn settings(controller: &str, count: usize) -> Settings {
    let mut teams = BTreeMap::new();
    for (name, max) in [("blue", 12_000), ("red", 0)] {
        teams.insert(
            name.to_string(),
            Team {
                name: name.into(),
                cpus: 8_000,
                cpus_max: max,
                gpus: 0,
                gpus_max: 0,
            },
        );
    }
    Settings {
        controller: controller.into(),
        controllers: (0..count).map(|i| format!("node-{i}")).collect(),
        zones: vec!["east".into(), "west".into()],
        zone: "east".into(),
        controller_zones: BTreeMap::new(),
        policy: Policy {
            teams,
            goals: BTreeMap::from([("quick".to_string(), vec![60_000])]),
            ..Policy::default()
        },
        report_ms: 1_500,
        lease_ms: 10_000,
        cancel_ms: 35_000,
        max_value_bytes: 8 * 1024,
        max_transaction_changes: 16,
        write_rps: 50.0 / count as f64,
        next_write_rps: 35.0 / count as f64,
        clock_off_ms: 1_000,
        idle_return_ms: 30_000,
        list_lag_ms: 4_000,
        learned: LearnedUse::default(),
        checks: Checks::default(),
        tuning: Tuning::default(),
    }
}

pub fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "batch".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: JobPriority::Normal,
        tasks,
        resources: Resources {
            cpus: 2_000,
            gpus: 0,
            ram: 1_000,
        },
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        topology_spread: false,
        spot: false,
        estimate_s: 5.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// A job that awaits others.
pub fn after(id: &str, tasks: u32, dependencies: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: dependencies.iter().map(|a| a.to_string()).collect(),
        ..job(id, tasks)
    }
}

pub fn service(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: JobPriority::Production,
        ..job(id, tasks)
    }
}

/// The same, of the team that has a limit.
pub fn blue(spec: JobSpec) -> JobSpec {
    JobSpec {
        team: "blue".into(),
        ..spec
    }
}

/// Reports, leases and cancellations take as long as on the large fleets.
pub fn long_leases(w: &mut World) {
    let s = &mut w.settings;
    (s.report_ms, s.lease_ms, s.cancel_ms) = (5_000, 26_500, 51_500);
}

fn kind(name: &str, cpus: u64) -> MachineType {
    MachineType {
        name: name.into(),
        room: Resources {
            cpus: cpus * 1_000,
            gpus: 0,
            ram: cpus * 4_000,
        },
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: cpus as f64 * 0.05,
        spot_price: cpus as f64 * 0.01,
        boot_s: 3.0,
        zones: vec!["east".into(), "west".into()],
    }
}

fn slot_cut(slot: &ControllerSlot) -> bool {
    slot.cut_from_workers || slot.mute
}

fn no_answer(machine: String, reach: CommandOutcome) -> Event {
    Event::CommandResult {
        machine,
        reach,
        report: None,
    }
}

/// What a controller of the old version makes of records.
fn seen_by_old(event: Event) -> Event {
    match event {
        Event::WatchUpdate { revision, changes } => {
            let seen = |(key, mod_revision, record): (Key, u64, Option<Record>)| match record {
                Some(r) => Some((key.clone(), mod_revision, Some(old::record(&key, &r)?))),
                None => Some((key, mod_revision, None)),
            };
            let changes = changes.into_iter().filter_map(seen).collect();
            Event::WatchUpdate { revision, changes }
        }
        Event::State {
            token,
            answer:
                StateResponse::Listed {
                    items,
                    last,
                    more,
                    revision,
                },
        } => {
            let seen = |(key, mod_revision, r): (Key, u64, Record)| {
                let record = old::record(&key, &r)?;
                Some((key, mod_revision, record))
            };
            let answer = StateResponse::Listed {
                items: items.into_iter().filter_map(seen).collect(),
                last,
                more,
                revision,
            };
            Event::State { token, answer }
        }
        event => event,
    }
}

/// What a controller of the old version sends: nothing of formats, and records in their old shape.
fn sent_by_old(op: StateOperation) -> Option<StateOperation> {
    let StateOperation::Transaction(mut transaction) = op else {
        return Some(op);
    };
    let format = |(key, _): &(Key, Option<Record>)| matches!(key, Key::Format(_));
    if transaction.changes.iter().any(format) {
        return None;
    }
    transaction
        .conditions
        .retain(|(key, _)| *key != Key::CancellationConfirmation);
    transaction.format = OLDEST;
    for (key, record) in &mut transaction.changes {
        if let Some(r) = record {
            *r = old::record(key, r).expect("what it writes is in its shape");
        }
    }
    Some(StateOperation::Transaction(transaction))
}

impl World {
    pub fn new(seed: u64, controllers: usize, machines: usize) -> World {
        let mut w = World {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            controllers: Vec::new(),
            settings: settings("", controllers),
            controllers_in: Vec::new(),
            machine_types: vec![kind("small", 4), kind("large", 8)],
            store: BTreeMap::new(),
            log: Vec::new(),
            revision: 0,
            state_down: false,
            conflicts: 0,
            limits: None,
            old_limits: (8 * 1024, 16),
            refused: 0,
            transactions: 0,
            changes: 0,
            instance_requests: HashMap::new(),
            rented: 0,
            capacity: 6,
            stuck_boots: 0,
            boot_ms: 1_000..5_000,
            proofs: 0,
            cloud_down: false,
            zone_cut: None,
            held_back: Vec::new(),
            deleted: BTreeSet::new(),
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            told: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            ran_at: HashMap::new(),
            run_ms: 5_000,
            job_ms: HashMap::new(),
            class_ms: BTreeMap::new(),
            clock_ahead: vec![0; controllers],
            slow: BTreeSet::new(),
            progress: HashMap::new(),
            mistaken: BTreeSet::new(),
            answers: BTreeMap::new(),
            asked: HashMap::new(),
            checkins: HashMap::new(),
            next_request: 1,
            mishaps: Mishaps::default(),
            starts: 0,
            unchecked: false,
            events: 0,
            spent: std::time::Duration::ZERO,
            heartbeats: 0,
            spent_on_beats: std::time::Duration::ZERO,
            beat_bytes: 0,
            lost_starts: 0,
            stops: BTreeMap::new(),
            ran_since: HashMap::new(),
            killed: 0,
            rules: Rules::default(),
            listing: (0, Vec::new()),
            page: 40,
            lists: 0,
            limited: Limited::default(),
            ended_at: vec![0; controllers],
            slow_links_ms: 0,
            overlaps: Overlaps::default(),
            hung_leases_end: false,
            close_looks: false,
            cancelled_at_end: 0.0,
            kept_reports: Vec::new(),
            configured: operator::Configured::default(),
            digest: None,
        };
        for i in 0..controllers {
            w.controllers.push(ControllerSlot {
                controller: None,
                life: 0,
                new_from: 0,
                cut_from_state: false,
                refused: false,
                cut_from_workers: false,
                cut_from_peers: false,
                mute: false,
                watching: None,
                watch_lags_until: 0,
                frozen_until: 0,
                backlog: Vec::new(),
                sent: 0,
                back_after: 0,
                began: 0,
                first_ready: None,
                first_accepted: None,
                first_start: None,
            });
            w.at(i as u64 * 7, Act::Restart(i));
        }
        for i in 0..machines {
            let zone = ["east", "west"][i % 2];
            w.boot_machine("small", zone, false, 10 + i as u64 * 13);
        }
        w
    }

    /// One whose controllers all have the old version, on limits that will fall after an upgrade.
    pub fn old(seed: u64, controllers: usize, machines: usize) -> World {
        let mut w = World::new(seed, controllers, machines);
        for slot in &mut w.controllers {
            slot.new_from = u32::MAX;
        }
        // Cancellations that the old version tells at their commit rest on leases.
        w.hung_leases_end = true;
        w.limits = Some(w.old_limits);
        (
            w.settings.max_value_bytes,
            w.settings.max_transaction_changes,
        ) = (2 * 1024, 5);
        w
    }

    /// Somebody else changes a record.
    pub fn put_record(&mut self, key: Key, record: Record) {
        self.change(key, Some(record));
    }

    pub fn remove_record(&mut self, key: Key) {
        self.change(key, None);
    }

    fn change(&mut self, key: Key, record: Option<Record>) {
        self.revision += 1;
        match &record {
            Some(r) => self.store.insert(key.clone(), (r.clone(), self.revision)),
            None => self.store.remove(&key),
        };
        self.log.push((self.revision, key, record));
        for n in 0..self.controllers.len() {
            let life = self.controllers[n].life;
            self.at(3, Act::Watch(n, life));
        }
    }

    /// Whether a controller has the old version in that life.
    fn is_old(&self, n: usize, life: u32) -> bool {
        life < self.controllers[n].new_from
    }

    /// Ends a controller, which comes back with the new version.
    pub fn upgrade(&mut self, n: usize, back_after: u64) {
        self.crash(n, back_after);
        self.controllers[n].new_from = self.controllers[n].life.min(self.controllers[n].new_from);
    }

    /// The limits of the state service fall to those announced.
    pub fn limits_fall(&mut self) {
        self.limits = None;
    }

    fn at(&mut self, delay: u64, act: Act) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), act);
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.gen_bool(p)
    }

    pub fn boot_machine(&mut self, type_name: &str, zone: &str, spot: bool, delay: u64) -> String {
        let name = format!("n-{:06}", self.rented);
        self.rented += 1;
        let controller = self.rng.gen_range(0..self.settings.controllers.len());
        self.workers.insert(
            name.clone(),
            Worker {
                name: name.clone(),
                type_name: type_name.into(),
                zone: zone.into(),
                spot,
                incarnation: 1,
                sequence: 0,
                token: 0,
                token_said: None,
                lease_from: self.now + delay,
                tasks: BTreeMap::new(),
                in_flight: None,
                sent_at: 0,
                serial: 0,
                controller,
                alive: false,
                heard: (0, 0),
                told_start: 0,
                cut: false,
                deaf: false,
                mute: false,
                hangs_until: 0,
                hung: Vec::new(),
                fails_all: false,
                notice_s: None,
            },
        );
        self.at(delay, Act::Boot(name.clone()));
        name
    }

    pub fn crash(&mut self, n: usize, back_after: u64) {
        let slot = &mut self.controllers[n];
        slot.controller = None;
        slot.life += 1;
        slot.watching = None;
        slot.frozen_until = 0;
        slot.backlog.clear();
        self.ended_at[n] = self.now;
        self.at(back_after, Act::Restart(n));
        // Its connections end with it.
        let cut = slot_cut(&self.controllers[n]);
        let waiting: Vec<_> = (self.workers.values())
            .filter(|w| w.controller == n && !w.cut && !cut && self.reaches(n, &w.name))
            .filter_map(|w| Some((w.name.clone(), w.in_flight?)))
            .collect();
        for (name, serial) in waiting {
            let delay = self.rng.gen_range(1..4);
            self.at(delay, Act::GaveUp(name, serial));
        }
        for m in (0..self.controllers.len()).filter(|m| *m != n) {
            if self.linked(n, m) {
                let life = self.controllers[m].life;
                let controller = self.settings.controllers[n].clone();
                let delay = self.rng.gen_range(1..4);
                self.at(
                    delay,
                    Act::Controller(m, life, Event::LinkEnded { controller }),
                );
            }
        }
    }

    /// Asks a controller to end in good order; it is back so long after it has.
    pub fn leave(&mut self, n: usize, back_after: u64) {
        self.controllers[n].back_after = back_after;
        let life = self.controllers[n].life;
        self.at(1, Act::Controller(n, life, Event::Shutdown));
    }

    /// Lets a heartbeat arrive at a controller, whoever made it.
    pub fn beat_to(&mut self, n: usize, heartbeat: PeerHeartbeat) {
        let life = self.controllers[n].life;
        self.at(1, Act::Controller(n, life, Event::PeerHeartbeat(heartbeat)));
    }

    /// Whether what a controller sends to a peer gets there.
    fn linked(&self, n: usize, m: usize) -> bool {
        let cut = |n: usize| self.controllers[n].cut_from_peers;
        m != n
            && !cut(n)
            && !cut(m)
            && !self.controllers[n].mute
            && self.inside(n) == self.inside(m)
    }

    /// The controller is paused, its clocks running on; what comes in waits for it.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        let slot = &mut self.controllers[n];
        slot.frozen_until = slot.frozen_until.max(self.now + ms);
        let life = slot.life;
        self.at(ms, Act::Thaw(n, life));
    }

    pub fn frozen(&self, n: usize) -> bool {
        self.now < self.controllers[n].frozen_until
    }

    /// Cuts a zone off with these controllers inside.
    pub fn cut_zone(&mut self, zone: &str, inside: &[usize]) {
        self.zone_cut = Some((zone.into(), inside.iter().copied().collect()));
    }

    /// Ends the cut: what was sent across arrives now.
    pub fn join_zone(&mut self) {
        self.zone_cut = None;
        for act in std::mem::take(&mut self.held_back) {
            let delay = self.rng.gen_range(1..60);
            self.at(delay, act);
        }
    }

    /// Where a controller stands: in the zones in turn, unless said otherwise.
    pub fn zone_of_controller(&self, n: usize) -> String {
        let zones = match self.controllers_in.is_empty() {
            true => &self.settings.zones,
            false => &self.controllers_in,
        };
        zones[n % zones.len()].clone()
    }

    /// Whether a controller is cut off, with its zone, from all that belongs to the region.
    fn inside(&self, n: usize) -> bool {
        let cut = self.zone_cut.as_ref();
        cut.is_some_and(|(_, inside)| inside.contains(&n))
    }

    /// Whether users do not reach a controller.
    pub fn unreachable(&self, n: usize) -> bool {
        self.inside(n) || self.controllers[n].mute
    }

    fn reaches(&self, n: usize, machine: &str) -> bool {
        let Some((zone, inside)) = &self.zone_cut else {
            return true;
        };
        let there = self.workers.get(machine).map(|w| w.zone == *zone);
        there == Some(inside.contains(&n))
    }

    /// Ends all outages and cuts.
    pub fn heal(&mut self) {
        self.join_zone();
        (self.state_down, self.cloud_down) = (false, false);
        for slot in &mut self.controllers {
            slot.cut_from_state = false;
            slot.refused = false;
            slot.cut_from_workers = false;
            slot.cut_from_peers = false;
            slot.mute = false;
        }
        for worker in self.workers.values_mut() {
            (worker.cut, worker.deaf, worker.mute) = (false, false, false);
        }
    }

    /// A machine's process ends, with all its tasks, and is back so long after, as a newer incarnation.
    pub fn restart_machine(&mut self, name: &str, back_after: u64) {
        self.all_off(name);
        if let Some(w) = self.workers.get_mut(name) {
            w.incarnation += 1;
            w.tasks.clear();
            w.in_flight = None;
            w.lease_from = self.now + back_after;
            self.at(back_after, Act::Report(name.to_string()));
        }
    }

    pub fn kill_machine(&mut self, name: &str) {
        self.all_off(name);
        if let Some(w) = self.workers.get_mut(name) {
            w.alive = false;
            w.tasks.clear();
        }
    }

    // ---- Users ---------------------------------------------------------------------

    fn request(&mut self, n: usize, id: &str, event: impl FnOnce(RequestId) -> Event) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        self.asked.insert(request, (n, id.to_string(), self.now));
        let life = self.controllers[n].life;
        if !self.inside(n) {
            self.at(2, Act::Controller(n, life, event(request)));
        }
        request
    }

    pub fn submit(&mut self, n: usize, spec: JobSpec) -> RequestId {
        let id = spec.id.clone();
        self.specs.insert(id.clone(), spec.clone());
        self.request(n, &id, |request| Event::Submit {
            request,
            spec: Box::new(spec),
        })
    }

    pub fn status(&mut self, n: usize, id: &str) -> RequestId {
        let job = id.to_string();
        self.request(n, id, |request| Event::Status { request, job })
    }

    pub fn cancel(&mut self, n: usize, id: &str) -> RequestId {
        self.told.entry(id.to_string()).or_default().asked_cancel = true;
        let job = id.to_string();
        self.request(n, id, |request| Event::Cancel { request, job })
    }

    /// Sends a request and runs until it is answered.
    pub fn answer(&mut self, request: RequestId) -> UserReply {
        for _ in 0..6_000 {
            if let Some(reply) = self.answers.get(&request) {
                return reply.clone();
            }
            self.run(1);
        }
        panic!("request {request} was never answered");
    }

    /// All jobs that a job needs, directly or through others.
    fn upstream(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            for dependency in self.specs.get(&id).iter().flat_map(|s| &s.dependencies) {
                if found.insert(dependency.clone()) {
                    next.push(dependency.clone());
                }
            }
        }
        found
    }

    fn user_told(&mut self, request: RequestId, reply: UserReply) {
        let Some((_, id, asked_at)) = self.asked.remove(&request) else {
            return;
        };
        let all_done = self.all_done(&id);
        let upstream = self.upstream(&id);
        let above = || upstream.iter().filter_map(|a| self.told.get(a));
        let asked_above = above().any(|t| t.asked_cancel);
        let cancelled_above = above().filter_map(|t| t.cancelled_at).min();
        let (now, cancel_ms) = (self.now, self.settings.cancel_ms);
        let told = self.told.entry(id.clone()).or_default();
        let before = (told.accepted, told.cancelled_at.is_some(), told.done);
        match &reply {
            UserReply::Accepted { .. } => {}
            UserReply::Status { state, .. } | UserReply::Cancelled { state, .. } => {
                assert!(self.specs.contains_key(&id), "invented: {id}");
                if *state == JobState::Done {
                    assert!(all_done, "not_done: {id} called done");
                    assert!(told.cancelled_at.is_none(), "went_back: {id}");
                    told.done = true;
                    told.done_at.get_or_insert(now);
                } else if *state == JobState::Cancelled {
                    assert!(!told.done, "went_back: {id} was done, now {state:?}");
                } else if let Some(at) = told.done_at {
                    let why = format!("went_back: {id} was done, now {state:?}");
                    self.overlaps.older(asked_at, at, now, &why);
                }
                if *state == JobState::Cancelled {
                    let asked = told.asked_cancel || asked_above;
                    assert!(asked, "went_back: {id} cancelled by nobody");
                    if told.cancelled_at.is_none() {
                        told.cancelled_at = Some(now);
                        self.rules.is_cancelled(&id, now + cancel_ms);
                    }
                } else {
                    if let Some(at) = told.cancelled_at {
                        let why = format!("went_back: {id} was cancelled, now {state:?}");
                        self.overlaps.older(asked_at, at, now, &why);
                    }
                    let orphaned = cancelled_above.is_some_and(|at| now > at + cancel_ms);
                    assert!(!orphaned, "orphaned: {id} is called {state:?}");
                }
            }
            UserReply::NotFound | UserReply::Rejected(_) => {
                if let Some(at) = told.accepted_at {
                    let why = format!("forgotten: {id}: {reply:?}");
                    self.overlaps.older(asked_at, at, now, &why);
                }
            }
            UserReply::RetryAfter { .. } => {}
        }
        let known = matches!(
            reply,
            UserReply::Accepted { .. } | UserReply::Status { .. } | UserReply::Cancelled { .. }
        );
        if known {
            told.accepted = true;
            told.accepted_at.get_or_insert(now);
        }
        let after = (told.accepted, told.cancelled_at.is_some(), told.done);
        self.answers.insert(request, reply);
        if self.close_looks && after != before {
            self.look_closely(&id, !before.0);
        }
    }

    // ---- Rules ---------------------------------------------------------------------

    fn check_start(&self, machine: &str, task: &TaskId) {
        let spec = &self.specs[&task.job];
        let w = &self.workers[machine];
        if let Some(other) = self.rules.place(task) {
            assert_eq!(other, machine, "ran_twice: {task} on {machine} and {other}");
        }
        for dependency in &spec.dependencies {
            let tasks = self.specs.get(dependency).map_or(0, |s| s.tasks);
            let done = (0..tasks).all(|index| {
                let job = dependency.clone();
                self.done_tasks.contains(&TaskId { job, index })
            });
            assert!(tasks > 0 && done, "too_early: {task} before {dependency}");
        }
        assert!(
            spec.allows(&w.type_name, &w.zone, w.spot),
            "wrong_place: {task} on {machine}"
        );
        let in_zone = |zone: &str| {
            let others = self.rules.places(&task.job);
            let others = others.filter(|(index, _)| *index != task.index);
            others
                .filter(|(_, m)| self.workers[*m].zone == zone)
                .count() as u32
        };
        if spec.topology_spread {
            assert!(
                in_zone(&w.zone) < spec.tasks.div_ceil(2),
                "wrong_place: {task} crowds {}",
                w.zone
            );
        }
        if spec.zone_affinity {
            for zone in &self.settings.zones {
                assert!(
                    *zone == w.zone || in_zone(zone) == 0,
                    "wrong_place: {task} apart from its job"
                );
            }
        }
    }

    /// A task is on its machine from now on.
    fn goes_on(&mut self, machine: &str, task: &TaskId) {
        let spec = &self.specs[&task.job];
        self.rules.goes_on(machine, task, spec);
        self.check_quota(&spec.team, self.rules.used(&spec.team));
        if self.rules.cancelled(&task.job) {
            self.check_rules();
        }
    }

    fn goes_off(&mut self, machine: &str, task: &TaskId) {
        self.rules.goes_off(machine, task, &self.specs[&task.job]);
    }

    fn all_off(&mut self, machine: &str) {
        let live: Vec<TaskId> = (self.workers.get(machine).into_iter())
            .flat_map(|w| w.live().map(|(t, _)| t.clone()))
            .collect();
        for task in live {
            self.goes_off(machine, &task);
        }
    }

    fn check_rules(&self) {
        if let Some((task, machine)) = self.rules.outlives(self.now) {
            panic!("ran_cancelled: {task} on {machine}");
        }
    }

    /// What must hold among the records themselves at any time.
    pub fn check_records(&self) {
        for (key, (record, _)) in &self.store {
            let (Key::Chunk(id, _), Record::Chunk(c)) = (key, record) else {
                continue;
            };
            let Some((Record::Job(j), _)) = self.store.get(&Key::Job(id.clone())) else {
                panic!("a chunk of an unknown job {id}");
            };
            assert!(
                c.first + c.tasks.len() as u32 <= j.tasks,
                "{id}: too many tasks"
            );
            for (index, b) in c.assigned() {
                assert!(
                    self.store.contains_key(&Key::Machine(b.machine.clone())),
                    "{id}/{index} is booked on {}, which is not on record",
                    b.machine
                );
            }
        }
        for slot in self
            .controllers
            .iter()
            .filter_map(|s| s.controller.as_ref())
        {
            if slot.cache.revision == self.revision && slot.has_current_state() {
                for (key, (_, mod_revision)) in &self.store {
                    assert_eq!(
                        slot.cache.mod_revision(key),
                        *mod_revision,
                        "copy of {key:?}"
                    );
                }
                assert_eq!(
                    slot.cache.len(),
                    self.store.len(),
                    "what is gone is not in a copy"
                );
            }
            for (team, used) in &self.assigned_cpus() {
                if slot.cache.revision == self.revision {
                    assert_eq!(slot.cache.usage(team).cpus, *used, "usage of {team}");
                }
            }
        }
    }

    fn assigned_cpus(&self) -> BTreeMap<String, u64> {
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        for team in self.settings.policy.teams.keys() {
            used.insert(team.clone(), 0);
        }
        for (record, _) in self.store.values() {
            if let Record::Chunk(c) = record {
                *used.entry(c.team.clone()).or_default() +=
                    c.assigned().count() as u64 * c.resources.cpus;
            }
        }
        used
    }

    // ---- Time ----------------------------------------------------------------------

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, n), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let act = self.queue.remove(&(at, n)).unwrap();
            self.now = at;
            self.act(act);
            if !self.unchecked {
                self.check_rules();
            }
        }
        self.now = end;
    }

    /// Runs until something holds, or fails after so many milliseconds.
    pub fn until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&World) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "in vain at {}: {what}", self.now);
            self.run(10);
        }
    }

    pub fn running(&self, job: &str) -> usize {
        self.workers
            .values()
            .flat_map(|w| w.tasks.iter())
            .filter(|((t, _), s)| t.job == job && s.phase == TaskPhase::Running)
            .count()
    }

    pub fn machine_of(&self, job: &str) -> Option<String> {
        self.workers
            .values()
            .find(|w| w.live().any(|(t, _)| t.job == job))
            .map(|w| w.name.clone())
    }

    pub fn job_phase(&self, id: &str) -> Option<JobPhase> {
        match self.store.get(&Key::Job(id.into())) {
            Some((Record::Job(j), _)) => Some(j.phase),
            _ => None,
        }
    }

    fn controller(&mut self, n: usize, event: Event) {
        let (now, wall) = (self.now, WALL0 + self.now + self.clock_ahead[n]);
        if self.frozen(n) {
            self.controllers[n].backlog.push(event);
            return;
        }
        let slot = &mut self.controllers[n];
        let (life, old) = (slot.life, slot.life < slot.new_from);
        let Some(controller) = slot.controller.as_mut() else {
            return;
        };
        let event = match old {
            true => seen_by_old(event),
            false => event,
        };
        let heartbeat = matches!(event, Event::PeerHeartbeat(_));
        let begun = std::time::Instant::now();
        let effects = controller.handle(now, wall, event);
        let took = begun.elapsed();
        self.spent += took;
        if heartbeat {
            self.heartbeats += 1;
            self.spent_on_beats += took;
        }
        self.events += 1;
        if slot.first_ready.is_none() && controller.ready() {
            slot.first_ready = Some(now);
        }
        if let Some(digest) = &mut self.digest {
            let ready = controller.ready();
            for effect in &effects {
                digest.add(n, now, effect, ready);
            }
        }
        for effect in effects {
            match effect {
                Effect::User { request, reply } => {
                    if matches!(reply, UserReply::Accepted { .. }) {
                        self.controllers[n].first_accepted.get_or_insert(now);
                    }
                    self.user_told(request, reply);
                }
                Effect::Worker { request, reply } => {
                    let key = (n, life, request);
                    if let Some((w, incarnation, serial)) = self.checkins.remove(&key) {
                        let lost = self.mishaps.reply_lost;
                        let slot = &self.controllers[n];
                        let deaf = self.workers.get(&w).is_some_and(|w| w.deaf);
                        let cut =
                            slot.cut_from_workers || slot.mute || deaf || !self.reaches(n, &w);
                        if cut || self.chance(lost) {
                            if matches!(&reply, WorkerReply::Commands { commands, .. }
                                if commands.iter().any(|o| matches!(o, WorkerCommand::Start { .. })))
                            {
                                self.lost_starts += 1;
                            }
                            continue;
                        }
                        let delay = self.rng.gen_range(1..6) + self.link_ms();
                        self.at(delay, Act::Reply(w, incarnation, serial, reply));
                    }
                }
                Effect::State { token, op, .. } => {
                    let Some(op) = (if old { sent_by_old(op) } else { Some(op) }) else {
                        let answer = StateResponse::Unavailable;
                        self.at(5, Act::Controller(n, life, Event::State { token, answer }));
                        continue;
                    };
                    if self.controllers[n].refused {
                        let answer = StateResponse::Unavailable;
                        self.at(5, Act::Controller(n, life, Event::State { token, answer }));
                        continue;
                    }
                    self.controllers[n].sent +=
                        u32::from(matches!(op, StateOperation::Transaction(_)));
                    let transaction = matches!(op, StateOperation::Transaction(_));
                    if self.controllers[n].cut_from_state || self.inside(n) {
                        if self.inside(n) && transaction {
                            let late = Act::State(n, life, token, op, Fate::Late(0));
                            self.held_back.push(late);
                        }
                        if transaction {
                            let event = Event::StateTimeout { token };
                            self.at(STATE_TIMEOUT_MS, Act::Controller(n, life, event));
                        }
                        let event = Event::State {
                            token,
                            answer: StateResponse::NoAnswer,
                        };
                        self.at(1_200, Act::Controller(n, life, event));
                        continue;
                    }
                    let mut fate = Fate::Normal;
                    if transaction {
                        let (lost, late) = (self.mishaps.txn_answer_lost, self.mishaps.txn_late);
                        if self.chance(lost) {
                            fate = Fate::AnswerLost;
                        } else if self.chance(late) {
                            fate = Fate::Late(self.rng.gen_range(1_300..20_000));
                        }
                    }
                    self.state_request(n, life, token, op, fate);
                }
                Effect::Cloud { token, op } => {
                    let lost = self.mishaps.cloud_lost;
                    let lost = self.chance(lost);
                    if self.inside(n) {
                        let answer = CloudResponse::Failed;
                        self.at(
                            1_500,
                            Act::Controller(n, life, Event::Cloud { token, answer }),
                        );
                        continue;
                    }
                    let delay = self.rng.gen_range(30..200);
                    self.at(delay, Act::Cloud(n, life, token, op, lost));
                }
                Effect::Watch { since } => {
                    self.controllers[n].watching = Some(since);
                    self.at(3, Act::Watch(n, life));
                }
                Effect::Command {
                    machine,
                    incarnation,
                    token,
                    commands,
                    ..
                } => {
                    let (lost, late) = (self.mishaps.command_lost, self.mishaps.command_late);
                    let slot = &mut self.controllers[n];
                    slot.sent += u32::from(!commands.is_empty());
                    if commands
                        .iter()
                        .any(|o| matches!(o, WorkerCommand::Start { .. }))
                    {
                        slot.first_start.get_or_insert(now);
                    }
                    if !self.reaches(n, &machine) {
                        let act = Act::Command(
                            n,
                            life,
                            machine.clone(),
                            incarnation,
                            token,
                            commands,
                            true,
                        );
                        self.held_back.push(act);
                        let event = no_answer(machine, CommandOutcome::NoAnswer);
                        self.at(1_200, Act::Controller(n, life, event));
                        continue;
                    }
                    let slot = &self.controllers[n];
                    let deaf = self.workers.get(&machine).is_some_and(|w| w.deaf);
                    if slot.cut_from_workers || slot.mute || deaf || self.chance(lost) {
                        let event = no_answer(machine, CommandOutcome::NoAnswer);
                        self.at(2_000, Act::Controller(n, life, event));
                        continue;
                    }
                    let is_late = self.chance(late);
                    let delay = match is_late {
                        true => self.rng.gen_range(2_000..60_000),
                        false => self.rng.gen_range(1..5) + self.link_ms(),
                    };
                    if is_late {
                        let event = no_answer(machine.clone(), CommandOutcome::NoAnswer);
                        self.at(2_000, Act::Controller(n, life, event));
                    }
                    let act = Act::Command(n, life, machine, incarnation, token, commands, is_late);
                    self.at(delay, act);
                }
                Effect::Exit => {
                    let back_after = self.controllers[n].back_after;
                    self.at(2, Act::End(n, life, back_after));
                }
                Effect::PeerHeartbeat(heartbeat) => {
                    self.beat_bytes = heartbeat
                        .workers
                        .iter()
                        .map(|worker| worker.machine.len() + 12)
                        .sum();
                    for m in 0..self.controllers.len() {
                        if self.linked(n, m) {
                            let life = self.controllers[m].life;
                            self.at(
                                3,
                                Act::Controller(m, life, Event::PeerHeartbeat(heartbeat.clone())),
                            );
                        }
                    }
                }
            }
        }
    }

    pub fn state_request(
        &mut self,
        n: usize,
        life: u32,
        token: OperationId,
        op: StateOperation,
        fate: Fate,
    ) {
        let delay = match fate {
            Fate::Late(ms) => ms,
            _ => self.rng.gen_range(2..10),
        };
        if fate != Fate::Normal {
            self.at(
                STATE_TIMEOUT_MS,
                Act::Controller(n, life, Event::StateTimeout { token }),
            );
            let event = Event::State {
                token,
                answer: StateResponse::NoAnswer,
            };
            self.at(1_200, Act::Controller(n, life, event));
        }
        self.at(delay, Act::State(n, life, token, op, fate));
    }

    fn execute(&mut self, op: StateOperation, old: bool) -> StateResponse {
        match op {
            StateOperation::ReadIndex => {
                self.proofs += 1;
                StateResponse::ReadIndex {
                    revision: self.revision,
                }
            }
            StateOperation::List { after } => {
                self.lists += 1;
                if self.listing.0 != self.revision {
                    let mut keys: Vec<_> =
                        self.store.keys().map(|k| (k.path(), k.clone())).collect();
                    keys.sort();
                    self.listing = (self.revision, keys);
                }
                let keys = &self.listing.1;
                let from = keys.partition_point(|(path, _)| Some(path) <= after.as_ref());
                let page = &keys[from..keys.len().min(from + self.page)];
                let items = page.iter().map(|(_, k)| {
                    let (r, mod_revision) = &self.store[k];
                    (k.clone(), *mod_revision, r.clone())
                });
                StateResponse::Listed {
                    items: items.collect(),
                    last: page.last().map(|(path, _)| path.clone()),
                    more: from + page.len() < keys.len(),
                    revision: self.revision,
                }
            }
            StateOperation::Transaction(transaction) => {
                self.transactions += 1;
                self.changes += transaction.changes.len() as u32;
                let (max_value_bytes, max_transaction_changes) = match old {
                    true => self.old_limits,
                    false => (
                        self.settings.max_value_bytes,
                        self.settings.max_transaction_changes,
                    ),
                };
                assert!(
                    transaction.changes.len() <= max_transaction_changes,
                    "too many changes"
                );
                assert!(
                    transaction.conditions.len() <= max_transaction_changes * 4,
                    "too many conditions"
                );
                let all_new =
                    !(0..self.controllers.len()).any(|n| self.is_old(n, self.controllers[n].life));
                let (most, most_ops) = self
                    .limits
                    .unwrap_or((max_value_bytes, max_transaction_changes));
                let mut refused = transaction.changes.len() > most_ops;
                for (key, record) in &transaction.changes {
                    let Some(record) = record else { continue };
                    let value = record.value(transaction.format);
                    let size = value.to_string().len() as u64;
                    let before = self
                        .store
                        .get(key)
                        .map_or(0, |(r, _)| r.value(OLDEST).to_string().len() as u64);
                    // A chunk of the old version's may be written as large as it is.
                    let shrinks = transaction.format == OLDEST && size <= before;
                    assert!(
                        size <= max_value_bytes || shrinks,
                        "{key:?} has {size} bytes, had {before}"
                    );
                    refused |= size > most;
                    let plain = old::value(key, value.clone()) == Some(value);
                    let kept = plain
                        || matches!(
                            key,
                            Key::Format(_) | Key::CancellationConfirmation | Key::RunTimes(_)
                        );
                    assert!(all_new || kept, "{key:?} is not in the old shape");
                }
                if refused {
                    self.refused += 1;
                    return StateResponse::Refused;
                }
                let holds = transaction.conditions.iter().all(|(k, mod_revision)| {
                    self.store
                        .get(k)
                        .map_or(0, |(_, mod_revision)| *mod_revision)
                        == *mod_revision
                });
                if !holds {
                    self.conflicts += 1;
                    return StateResponse::Conflict {
                        revision: self.revision,
                    };
                }
                self.check_claims(&transaction);
                self.revision += 1;
                let revision = self.revision;
                for (key, record) in transaction.changes {
                    // Through JSON, as on the wire.
                    if let Some(r) = &record {
                        let back = Record::read(&key, r.value(transaction.format));
                        assert_eq!(back.as_ref(), Some(r), "a record reads back");
                    }
                    match &record {
                        Some(r) => {
                            self.store.insert(key.clone(), (r.clone(), revision));
                        }
                        None => {
                            self.store.remove(&key);
                        }
                    }
                    self.log.push((revision, key, record));
                }
                for n in 0..self.controllers.len() {
                    let life = self.controllers[n].life;
                    let delay = self.rng.gen_range(2..8);
                    self.at(delay, Act::Watch(n, life));
                }
                StateResponse::Committed { revision }
            }
        }
    }

    fn act(&mut self, act: Act) {
        let Some(act) = self.unless_hung(act) else {
            return;
        };
        match act {
            Act::GoesOn(name) => self.goes_on_after_hang(&name),
            Act::Look(n, id, look) => self.look(n, &id, look),
            Act::Restart(n) => {
                self.send_kept_reports();
                let mut settings = self.settings.clone();
                settings.controller = self.settings.controllers[n].clone();
                settings.zone = self.zone_of_controller(n);
                let zone = |n: usize| {
                    (
                        self.settings.controllers[n].clone(),
                        self.zone_of_controller(n),
                    )
                };
                settings.controller_zones = (0..self.controllers.len()).map(zone).collect();
                if self.is_old(n, self.controllers[n].life) {
                    (settings.max_value_bytes, settings.max_transaction_changes) = self.old_limits;
                    settings.learned = LearnedUse::default();
                }
                let seed = self.rng.gen();
                let controller = Controller::new(
                    settings,
                    seed,
                    self.now,
                    WALL0 + self.now + self.clock_ahead[n],
                );
                let slot = &mut self.controllers[n];
                slot.controller = Some(controller);
                slot.began = self.now;
                (slot.first_ready, slot.first_accepted, slot.first_start) = (None, None, None);
                let life = slot.life;
                self.at(1, Act::Tick(n, life));
            }
            Act::Tick(n, life) => {
                if self.controllers[n].life == life && self.controllers[n].controller.is_some() {
                    // A clock that was paused ticks once for all it missed.
                    if !self.frozen(n) {
                        self.controller(n, Event::Tick);
                    }
                    self.at(50, Act::Tick(n, life));
                }
            }
            Act::End(n, life, back_after) => {
                if self.controllers[n].life == life {
                    self.crash(n, back_after);
                }
            }
            Act::Thaw(n, life) => {
                if self.controllers[n].life == life && !self.frozen(n) {
                    // Each of its connections is read in order, but any of them first.
                    let mut backlog = std::mem::take(&mut self.controllers[n].backlog);
                    let start = self.rng.gen_range(0..8);
                    let turn = |e: &Event| match e {
                        Event::WatchUpdate { .. } | Event::WatchGap => 0,
                        Event::State { .. } => 3,
                        Event::PeerHeartbeat(_) => 5,
                        Event::WorkerHeartbeat { .. } => 6,
                        _ => 7,
                    };
                    backlog.sort_by_key(|e| (turn(e) + start) % 8);
                    for event in backlog {
                        self.controller(n, event);
                    }
                }
            }
            Act::Controller(n, life, event) => {
                if self.controllers[n].life == life {
                    self.controller(n, event);
                }
            }
            Act::State(n, life, token, op, fate) => {
                let down = self.state_down;
                let changes = match &op {
                    StateOperation::Transaction(transaction) => transaction.changes.len(),
                    _ => 0,
                };
                if !down && !self.limited.state_takes(self.now, changes) {
                    self.at(3, Act::Controller(n, life, Event::Throttled));
                    self.at(TOO_MANY_PAUSE_MS, Act::State(n, life, token, op, fate));
                    return;
                }
                let answer = match down {
                    true => StateResponse::Unavailable,
                    false => self.execute(op, self.is_old(n, life)),
                };
                if fate == Fate::Normal {
                    let event = Event::State { token, answer };
                    let slow = self.mishaps.answer_slow;
                    let delay = match self.chance(slow) {
                        true => self.rng.gen_range(3..1_000),
                        false => 3,
                    };
                    if delay > STATE_TIMEOUT_MS && changes > 0 {
                        let event = Event::StateTimeout { token };
                        self.at(STATE_TIMEOUT_MS, Act::Controller(n, life, event));
                    }
                    self.at(delay, Act::Controller(n, life, event));
                }
            }
            Act::Watch(n, life) => {
                let slot = &self.controllers[n];
                let Some(since) = slot.watching.filter(|_| slot.life == life) else {
                    return;
                };
                let lags = self.now < slot.watch_lags_until;
                if slot.cut_from_state || slot.refused || self.state_down || self.inside(n) || lags
                {
                    self.at(200, Act::Watch(n, life));
                    return;
                }
                let from = self.log.partition_point(|(e, ..)| *e <= since);
                let changes: Vec<_> = self.log[from..]
                    .iter()
                    .map(|(e, k, r)| (k.clone(), *e, r.clone()))
                    .collect();
                if !changes.is_empty() {
                    let revision = self.revision;
                    self.controllers[n].watching = Some(revision);
                    self.controller(n, Event::WatchUpdate { revision, changes });
                }
            }
            Act::Boot(name) => {
                let now = self.now;
                if let Some(w) = self.workers.get_mut(&name) {
                    w.alive = true;
                    w.lease_from = now;
                    self.at(1, Act::Report(name.clone()));
                    let lease = self.settings.lease_ms;
                    self.at(lease + 1, Act::Lease(name));
                }
            }
            Act::Lease(name) => {
                let (now, lease) = (self.now, self.settings.lease_ms);
                let Some(w) = self.workers.get(&name).filter(|w| w.alive) else {
                    return;
                };
                let ends = w.lease_from + lease;
                if now > ends {
                    self.killed += w.live().count() as u32;
                    self.all_off(&name);
                    let w = self.workers.get_mut(&name).unwrap();
                    w.incarnation += 1;
                    w.tasks.clear();
                    w.lease_from = now;
                    w.in_flight = None;
                    self.at(1, Act::Report(name.clone()));
                    self.at(lease + 1, Act::Lease(name));
                } else {
                    self.at(ends + 1 - now, Act::Lease(name));
                }
            }
            Act::Report(name) => self.send_report(&name),
            Act::Arrive(n, report, serial) => {
                let slot = &self.controllers[n];
                if slot.cut_from_workers {
                    return;
                }
                let here = |w: &&Worker| w.alive && w.controller == n;
                let full = (self.limited.sockets)
                    .is_some_and(|most| self.workers.values().filter(here).count() > most);
                self.limited.no_socket += u32::from(full);
                if slot.controller.is_none() || full {
                    // Its host refuses the connection.
                    self.at(1, Act::GaveUp(report.machine, serial));
                    return;
                }
                let (now, frozen) = (self.now, self.frozen(n));
                if let Some(w) = self.workers.get_mut(&report.machine).filter(|_| !frozen) {
                    w.heard = (now, n);
                }
                let request = self.next_request;
                self.next_request += 1;
                let mark = (report.machine.clone(), report.incarnation, serial);
                self.checkins.insert((n, slot.life, request), mark);
                let report = Box::new(report);
                self.controller(n, Event::WorkerHeartbeat { request, report });
            }
            Act::Reply(name, incarnation, serial, reply) => {
                self.reply(&name, incarnation, serial, reply);
            }
            Act::GaveUp(name, serial) => {
                let count = self.controllers.len();
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                if w.in_flight == Some(serial) {
                    w.in_flight = None;
                    w.controller = (w.controller + 1) % count;
                    self.at(1_000, Act::Report(name));
                }
            }
            Act::Phase(name, task, attempt, phase) => {
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                let class = &self.specs[&task.job].class;
                let known = self.job_ms.get(&task.job).or(self.class_ms.get(class));
                let mut run_ms = known.copied().unwrap_or(self.run_ms);
                if self.slow.contains(&name) {
                    run_ms *= 3;
                }
                let fails = w.fails_all || self.mistaken.contains(&task.job);
                if !w.alive {
                    return;
                }
                let Some(t) = w.tasks.get_mut(&(task.clone(), attempt)) else {
                    return;
                };
                if matches!(t.phase, TaskPhase::Exited(_)) {
                    return;
                }
                t.phase = phase;
                if matches!(phase, TaskPhase::Exited(_)) {
                    self.goes_off(&name, &task);
                }
                if phase == TaskPhase::Exited(ExitCause::Done) {
                    self.done_tasks.insert(task.clone());
                    self.ends(&task.job);
                }
                if phase == TaskPhase::Running {
                    let now = self.now;
                    self.ran_at.entry(task.job.clone()).or_insert(now);
                    self.ran_since.insert((task.clone(), attempt), now);
                    let spec = &self.specs[&task.job];
                    if fails {
                        let exit = TaskPhase::Exited(ExitCause::Error);
                        self.at(300, Act::Phase(name.clone(), task, attempt, exit));
                    } else if spec.kind == JobKind::Array {
                        if spec.checkpoint_interval_s > 0.0 {
                            let now = self.now;
                            let done = self.progress.entry(task.clone()).or_insert((0, now));
                            done.1 = now;
                            run_ms = run_ms.saturating_sub(done.0);
                        }
                        let exit = TaskPhase::Exited(ExitCause::Done);
                        self.at(run_ms, Act::Phase(name.clone(), task, attempt, exit));
                    }
                }
                self.at(5, Act::Report(name));
            }
            Act::Command(n, life, machine, incarnation, token, commands, late) => {
                let w = self.workers.get_mut(&machine);
                let Some(w) = w.filter(|w| w.alive && (late || !w.cut)) else {
                    let event = no_answer(machine, CommandOutcome::NoAnswer);
                    self.at(2_000, Act::Controller(n, life, event));
                    return;
                };
                if token < w.token || incarnation != w.incarnation {
                    if late {
                        return; // nobody waits for its answer any more
                    }
                    w.sequence += 1;
                    let event = Event::CommandResult {
                        report: Some(Box::new(self.report_of(&machine))),
                        machine,
                        reach: CommandOutcome::Refused,
                    };
                    self.at(2, Act::Controller(n, life, event));
                    return;
                }
                let pause = self.settings.lease_ms / 2;
                let may = w.token_said.is_none_or(|at| self.now >= at + pause);
                if token > w.token && may {
                    // It tells a higher token, now and then.
                    w.token_said = Some(self.now);
                    self.at(500, Act::Report(machine.clone()));
                }
                let w = self.workers.get_mut(&machine).unwrap();
                w.token = token;
                let probe = commands.is_empty();
                let stops = commands
                    .iter()
                    .any(|o| matches!(o, WorkerCommand::Stop { .. }));
                for order in commands {
                    self.order(&machine, order);
                }
                if !late {
                    self.workers.get_mut(&machine).unwrap().sequence += 1;
                    let report = (stops || probe).then(|| Box::new(self.report_of(&machine)));
                    let event = Event::CommandResult {
                        machine,
                        reach: CommandOutcome::Accepted,
                        report,
                    };
                    self.at(2, Act::Controller(n, life, event));
                }
            }
            Act::Cloud(n, life, token, op, lost) => {
                let answer = match self.limited.cloud_takes(self.now) {
                    true => self.cloud(op),
                    false => CloudResponse::Failed,
                };
                let event = Event::Cloud {
                    token,
                    answer: if lost { CloudResponse::Failed } else { answer },
                };
                self.at(20, Act::Controller(n, life, event));
            }
        }
    }

    /// What a machine would report now.
    pub fn report_of(&self, machine: &str) -> WorkerHeartbeat {
        let w = &self.workers[machine];
        WorkerHeartbeat {
            machine: w.name.clone(),
            address: "10.0.0.9:9000".into(),
            type_name: w.type_name.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            incarnation: w.incarnation,
            sequence: w.sequence,
            token: w.token,
            notice_s: w.notice_s,
            tasks: w
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                })
                .collect(),
        }
    }

    /// Lets an old report of a machine, without tasks, arrive at a controller now.
    pub fn old_report(&mut self, n: usize, machine: &str, sequence: u64) {
        let report = WorkerHeartbeat {
            sequence,
            notice_s: None,
            tasks: Vec::new(),
            ..self.report_of(machine)
        };
        self.report_again(n, &report);
    }

    /// Lets a report arrive at a controller once more, as it was.
    pub fn report_again(&mut self, n: usize, report: &WorkerHeartbeat) {
        self.at(1, Act::Arrive(n, report.clone(), 0));
    }

    fn send_report(&mut self, name: &str) {
        let mishaps = self.mishaps.clone();
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if !w.alive || w.in_flight.is_some() {
            return;
        }
        if w.hangs_until > 0 {
            w.hung.push(Act::Report(name.to_string()));
            return;
        }
        w.sequence += 1;
        w.serial += 1;
        let serial = w.serial;
        w.in_flight = Some(serial);
        w.sent_at = self.now;
        let (n, cut) = (w.controller, w.cut || w.mute);
        let report = self.report_of(name);
        self.at(4_000, Act::GaveUp(name.to_string(), serial));
        if !self.reaches(n, name) {
            self.held_back.push(Act::Arrive(n, report, serial));
            return;
        }
        if cut || self.chance(mishaps.report_lost) {
            return;
        }
        if self.chance(mishaps.report_kept) {
            self.kept_reports.push(report.clone());
        }
        if self.chance(mishaps.report_twice) {
            let late = self.rng.gen_range(500..30_000);
            self.at(late, Act::Arrive(n, report.clone(), serial));
        }
        let delay = match self.chance(mishaps.report_late) {
            true => self.rng.gen_range(3_000..40_000),
            false => self.rng.gen_range(1..5) + self.link_ms(),
        };
        self.at(delay, Act::Arrive(n, report, serial));
    }

    fn reply(&mut self, name: &str, incarnation: u64, serial: u64, reply: WorkerReply) {
        let names = self.settings.controllers.clone();
        let report_ms = self.settings.report_ms;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // The worker drops what comes after it gave up, or from an earlier incarnation.
        if !w.alive || w.cut || w.in_flight != Some(serial) || w.incarnation != incarnation {
            return;
        }
        w.in_flight = None;
        match reply {
            WorkerReply::Commands { token, commands } => {
                if token < w.token {
                    return;
                }
                w.token = token;
                // The lease counts from when the answered report was sent.
                w.lease_from = w.sent_at;
                for order in commands {
                    self.order(name, order);
                }
                let wait = self.rng.gen_range(report_ms * 3 / 4..report_ms * 5 / 4);
                self.at(wait, Act::Report(name.to_string()));
            }
            WorkerReply::Redirect {
                controller: Some(controller),
            } => {
                if let Some(i) = names.iter().position(|n| *n == controller) {
                    w.controller = i;
                }
                self.at(100, Act::Report(name.to_string()));
            }
            _ => {
                w.controller = (w.controller + 1) % names.len();
                self.at(1_000, Act::Report(name.to_string()));
            }
        }
    }

    fn order(&mut self, name: &str, order: WorkerCommand) {
        match order {
            WorkerCommand::Start { task, attempt } => {
                let key = (task.clone(), attempt);
                if self.workers[name].tasks.contains_key(&key) {
                    return;
                }
                let spec = self.specs[&task.job].clone();
                if let Some(told) = self.told.get(&task.job) {
                    let over = self.settings.cancel_ms;
                    assert!(
                        told.cancelled_at.is_none_or(|at| self.now <= at + over),
                        "ran_cancelled: {task} starts"
                    );
                }
                let w = &self.workers[name];
                let kind = self
                    .machine_types
                    .iter()
                    .find(|t| t.name == w.type_name)
                    .unwrap();
                let used = w.live().fold(Resources::default(), |sum, (t, _)| {
                    sum.plus(&self.specs[&t.job].resources)
                });
                let phase = if w.tasks.keys().any(|(t, _)| *t == task) {
                    TaskPhase::Exited(ExitCause::Busy)
                } else if !kind.room.less(&used).fits(&spec.resources) {
                    TaskPhase::Exited(ExitCause::NoResources)
                } else {
                    self.check_start(name, &task);
                    self.starts += 1;
                    TaskPhase::Fetching
                };
                let now = self.now;
                let w = self.workers.get_mut(name).unwrap();
                w.tasks.insert(key, Task { phase });
                w.told_start = now;
                if phase == TaskPhase::Fetching {
                    self.goes_on(name, &task);
                    let fetch = self.rng.gen_range(50..900);
                    let run = TaskPhase::Running;
                    self.at(fetch, Act::Phase(name.to_string(), task, attempt, run));
                }
                self.at(500, Act::Report(name.to_string()));
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                let now = self.now;
                let w = self.workers.get_mut(name).unwrap();
                let key = (task.clone(), attempt);
                if let Some(t) = w.tasks.get_mut(&key) {
                    if t.phase == TaskPhase::Running {
                        if let Some(done) = self.progress.get_mut(&task) {
                            done.0 += now - done.1;
                        }
                    }
                    if !matches!(t.phase, TaskPhase::Exited(_)) {
                        t.phase = TaskPhase::Exited(ExitCause::Stopped);
                        self.goes_off(name, &task);
                        self.stopped(&task, attempt);
                    }
                }
                self.at(500, Act::Report(name.to_string()));
            }
            WorkerCommand::Forget { task, attempt } => {
                let w = self.workers.get_mut(name).unwrap();
                let key = (task, attempt);
                if let Some(t) = w.tasks.get(&key) {
                    assert!(matches!(t.phase, TaskPhase::Exited(_)));
                    w.tasks.remove(&key);
                }
            }
        }
    }

    /// Notes why a task was stopped.
    fn stopped(&mut self, task: &TaskId, attempt: u64) {
        let ran = self.ran_since.remove(&(task.clone(), attempt));
        let ran = ran.map_or(0, |at| self.now - at);
        let job = match self.store.get(&Key::Job(task.job.clone())) {
            Some((Record::Job(job), _)) => job,
            _ => return,
        };
        let why = match self
            .store
            .get(&Key::Chunk(task.job.clone(), job.chunk_of(task.index)))
        {
            _ if job.phase == JobPhase::Cancelled => Some("cancelled"),
            Some((Record::Chunk(c), _)) => c.assignment(task.index).and_then(|b| b.stop.as_deref()),
            _ => None,
        };
        let (count, ms) = self
            .stops
            .entry(why.unwrap_or("other").to_string())
            .or_default();
        (*count, *ms) = (*count + 1, *ms + ran);
    }

    fn cloud(&mut self, op: CloudOperation) -> CloudResponse {
        if self.cloud_down {
            return CloudResponse::Failed;
        }
        match op {
            CloudOperation::Types => CloudResponse::Types(self.machine_types.clone()),
            CloudOperation::Provision {
                name,
                type_name,
                zone,
                spot,
                count,
            } => {
                if let Some(instances) = self.instance_requests.get(&name) {
                    return CloudResponse::Provisioned(instances.clone());
                }
                let count = count.min(self.capacity);
                if count == 0 {
                    return CloudResponse::NoCapacity;
                }
                self.capacity -= count;
                let instances: Vec<String> = (0..count)
                    .map(|_| {
                        let mut boot = self.rng.gen_range(self.boot_ms.clone());
                        if self.stuck_boots > 0 {
                            self.stuck_boots -= 1;
                            boot = 86_400_000;
                        }
                        self.boot_machine(&type_name, &zone, spot, boot)
                    })
                    .collect();
                self.instance_requests.insert(name, instances.clone());
                CloudResponse::Provisioned(instances)
            }
            CloudOperation::Delete { machines } => {
                for name in machines {
                    self.all_off(&name);
                    if self.workers.remove(&name).is_some() {
                        self.capacity += 1;
                    }
                    self.deleted.insert(name);
                }
                CloudResponse::Deleted
            }
            CloudOperation::List { .. } => {
                let instances = self
                    .workers
                    .values()
                    .map(|w| CloudInstance {
                        name: w.name.clone(),
                        address: String::new(),
                        type_name: w.type_name.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: CloudInstanceState::Running,
                        age_s: 100.0,
                    })
                    .collect();
                CloudResponse::Instances {
                    instances: self.limited.list(self.now, instances),
                    more: false,
                }
            }
        }
    }
}
