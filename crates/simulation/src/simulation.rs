//! The simulation: its parts, and how one is set up.

use crate::event_loop::EventQueue;
use crate::requests::Asked;
use crate::rules::Rules;
use crate::service::Limited;
use crate::workers::SentReport;
use crate::{digest, operator};
use crate::{kind, settings, Act, ControllerSlot, Mishaps, Overlaps, Told, Worker};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::{JobSpec, MachineType, TaskId, WorkerHeartbeat};
use glenmount_core::settings::Settings;
use glenmount_core::state::{Key, Record};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const WALL0: u64 = 1_700_000_000_000;

/// One process of a controller. What was meant for an earlier one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ProcessId {
    pub controller: usize,
    pub incarnation: u32,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub(crate) queue: EventQueue,
    pub controllers: Vec<ControllerSlot>,
    pub settings: Settings,
    /// The zones that have controllers, in turn; empty for all.
    pub controllers_in: Vec<String>,
    pub machine_types: Vec<MachineType>,
    // State service
    pub store: BTreeMap<Key, (Record, u64)>,
    pub(crate) log: Vec<(u64, Key, Option<Record>)>,
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
    pub(crate) zone_cut: Option<(String, BTreeSet<usize>)>,
    pub(crate) held_back: Vec<Act>,
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
    pub(crate) progress: HashMap<TaskId, (u64, u64)>,
    /// Jobs submitted with a mistake: they fail on every machine.
    pub mistaken: BTreeSet<String>,
    pub answers: BTreeMap<RequestId, UserReply>,
    /// Where a request was sent, about what, and when.
    pub(crate) asked: HashMap<RequestId, Asked>,
    pub(crate) checkins: HashMap<(ProcessId, RequestId), SentReport>,
    pub(crate) next_request: u64,
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
    pub(crate) ran_since: HashMap<(TaskId, u64), u64>,
    /// Tasks that ended with their worker's lease.
    pub killed: u32,
    pub(crate) rules: Rules,
    /// Keys in the order of their paths, as of a revision.
    pub(crate) listing: (u64, Vec<(String, Key)>),
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
    pub(crate) kept_reports: Vec<WorkerHeartbeat>,
    /// What operators have put on record.
    pub configured: operator::Configured,
    /// Hashes what controllers do, if wanted.
    pub digest: Option<digest::EffectDigest>,
}

impl World {
    pub fn new(seed: u64, controllers: usize, machines: usize) -> World {
        let mut w = World {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: EventQueue::default(),
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
            w.controllers.push(ControllerSlot::default());
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
}
