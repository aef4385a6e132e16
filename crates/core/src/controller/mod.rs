//! One controller node: takes events, keeps the copy of the records, and emits effects.

mod readiness;

use crate::configuration::Configuration;
use crate::constants::*;
use crate::jobs::admission::AdmissionControl;
use crate::jobs::requests::Ask;
use crate::metrics::Stats;
use crate::model::*;
use crate::peers::tracker::{Sibling, Standby};
use crate::run_times::Learned;
use crate::scheduling::placement::KeptTurns;
use crate::scheduling::rescheduling::Moves;
use crate::settings::*;
use crate::state::formats::{self, FormatRecord};
use crate::state::sync::Reading;
use crate::state::*;
use crate::token_bucket::Allowance;
use crate::workers::heartbeats::{Held, Seen};
use crate::workers::observations::Signs;
use crate::workers::reachability::Hearing;
use crate::workers::results::Ended;
use crate::workers::starts::Starts;
use crate::zones::failures::Zones;
use foldhash::{HashMap, HashMapExt, HashSet};
use glenmount_runtime_estimates::book::ClassId;
use glenmount_runtime_estimates::history::Batch;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Names a request that waits for an answer outside the core.
pub type RequestId = u64;
/// Names an operation of the core that waits for an outcome.
pub type Token = u64;

/// Ranks work for the state service, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    User,
    Result,
    Claim,
    Housekeeping,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateOp {
    Txn(Txn),
    /// A cheap read that tells the current revision.
    Proof,
    List {
        after: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateAnswer {
    Committed {
        epoch: u64,
    },
    Conflict {
        epoch: u64,
    },
    Proof {
        epoch: u64,
    },
    Listed {
        items: Vec<(Key, u64, Record)>,
        last: Option<String>,
        more: bool,
        epoch: u64,
    },
    /// Malformed: a fault of this program.
    Refused,
    /// Certainly not executed.
    Unavailable,
    /// May have been executed, or may yet be.
    NoAnswer,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudOp {
    Types,
    Hire {
        name: String,
        type_name: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    Delete {
        machines: Vec<String>,
    },
    List {
        after: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudAnswer {
    Types(Vec<MachineType>),
    Hired(Vec<String>),
    NoCapacity,
    Deleted,
    Hosts { hosts: Vec<Host>, more: bool },
    Failed,
}

/// What nodes tell one another, twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub node: String,
    /// The time of day at which it was made.
    pub at: WallMs,
    /// Whether it reaches the state service and holds current records.
    pub state_ok: bool,
    /// Whether workers reach it, as far as it knows.
    pub workers_ok: bool,
    /// Machines it heard of: name, session, tally, milliseconds ago.
    pub heard: Vec<(String, u64, u64, u64)>,
    /// It has just started: siblings tell it, once, what they remember of images.
    pub young: bool,
    pub images: Vec<(String, Vec<(String, f64)>)>,
    /// Left out until every node reads frames that are longer than those of format 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub said: Option<Said>,
}

/// What a node says of itself beyond that.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Said {
    /// The time of day at which its process began: tells its lives apart.
    pub life: WallMs,
    /// Counts its beats.
    pub count: u64,
    /// The revision that its copy has reached, and its term.
    pub revision: u64,
    pub term: u64,
    /// Operations without an answer.
    pub under_way: u32,
    /// Milliseconds by which its clock ticks late, on the whole.
    pub late_ms: u32,
    /// Machines that report to it.
    pub reports: u32,
    /// Siblings whose last beats it has not missed.
    pub hears: Vec<String>,
    /// The version of the configuration that it decides by; 0: that of the settings file.
    pub configuration: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Took,
    /// It answered, but refused: the machine lives.
    Refused,
    /// There was no answer in time.
    Silent,
    /// It was never sent: says nothing of the machine.
    NotSent,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Submit {
        request: RequestId,
        spec: Box<JobSpec>,
    },
    Status {
        request: RequestId,
        job: String,
    },
    Cancel {
        request: RequestId,
        job: String,
    },
    CheckIn {
        request: RequestId,
        report: Box<Report>,
    },
    State {
        token: Token,
        answer: StateAnswer,
    },
    /// A transaction was sent a good while ago and has no answer, though one may yet come.
    Unanswered {
        token: Token,
    },
    /// Changes up to a revision, in order.
    Watched {
        epoch: u64,
        changes: Vec<(Key, u64, Option<Record>)>,
    },
    /// The state service refused something for being asked too much; it will be sent again.
    Throttled,
    /// The watch can't go on from where it stood: the records must be read again.
    WatchGap,
    Cloud {
        token: Token,
        answer: CloudAnswer,
    },
    Heartbeat(Heartbeat),
    /// The connection by which a sibling told its beats ended, and it has no other.
    LinkEnded {
        node: String,
    },
    /// The process is asked to end.
    Leave,
    /// What became of a direct command.
    Commanded {
        machine: String,
        reach: Reach,
        /// The worker's report after the commands, where it was read.
        report: Option<Box<Report>>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum UserReply {
    Accepted {
        job: String,
    },
    State {
        job: String,
        state: JobState,
        done: u32,
        running: u32,
    },
    Cancelled {
        job: String,
        state: JobState,
    },
    NotFound,
    Never(String),
    Later {
        after_s: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    Orders { token: u64, orders: Vec<Order> },
    Elsewhere { node: Option<String> },
    NotNow,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    User {
        request: RequestId,
        reply: UserReply,
    },
    Worker {
        request: RequestId,
        reply: WorkerReply,
    },
    State {
        token: Token,
        op: StateOp,
        priority: Priority,
    },
    Cloud {
        token: Token,
        op: CloudOp,
    },
    /// Follow changes from this revision on, giving up any watch that is open.
    Watch {
        since: u64,
    },
    Heartbeat(Heartbeat),
    /// One direct command to a worker, never repeated.
    Command {
        machine: String,
        address: String,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    },
    /// Nothing is left to do before the process ends.
    End,
}

/// What an outstanding operation is for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Proof,
    Load {
        round: u64,
    },
    Ask(RequestId),
    Flush {
        armed: Vec<String>,
        returning: bool,
        /// Attempts whose end it records.
        released: Vec<(TaskId, u64)>,
    },
    /// Records runs of a class.
    Learn(ClassId, Vec<Batch>),
    Lookup(Vec<Claimed>),
    NewHires(Vec<u64>),
    Hire(u64),
    HireDone(u64),
    Tidy(u64),
    Stop(Vec<(String, TaskId)>),
    Delete(Vec<String>),
    Finish(String),
    /// Cancels jobs that need a cancelled one.
    Cascade(Vec<String>),
    Format,
    Settle,
    Configurable,
    /// Says which configuration this node follows.
    Following,
    Sweep,
    Types,
    Hosts,
    Term,
}

/// A task that a transaction claims: under which attempt, for which machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claimed {
    pub task: TaskId,
    pub attempt: u64,
    pub machine: String,
}

#[derive(Debug)]
pub(crate) struct Heard {
    pub at: Millis,
    pub session: u64,
    pub tally: u64,
}

/// Machines that were deleted lately, so that a late report does not bring them back.
#[derive(Default)]
pub(crate) struct Gone {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl Gone {
    pub fn contains(&self, id: &str) -> bool {
        self.names.contains(id)
    }
    pub fn push(&mut self, id: String) {
        if self.names.insert(id.clone()) {
            self.order.push_back(id);
        }
        if self.order.len() > GONE_REMEMBERED {
            if let Some(old) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
    }
}

/// What a node still has to put on record after an upgrade, and whether it is on its way.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    pub format_busy: bool,
    pub settle_busy: bool,
    pub configurable_busy: bool,
    /// The common format, and the nodes that lack the latest, as last logged.
    pub format_logged: Option<(u32, usize)>,
}

pub struct Node {
    pub settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) wall: WallMs,
    pub(crate) started: Millis,
    /// When it last went on after standing still; its start, if it never did.
    pub(crate) woke: Millis,
    /// Its view dates from before that: no proof has been asked for and reached since.
    pub(crate) stale: bool,
    /// Operations with lower tokens began before that: their answers say nothing of now.
    pub(crate) woke_token: Token,
    pub cache: Cache,
    pub(crate) loaded: bool,
    pub(crate) reading: Reading,
    pub(crate) changed: bool,
    pub(crate) out: Vec<Effect>,
    pub(crate) next_token: Token,
    pub(crate) pending: HashMap<Token, (Purpose, Option<Txn>)>,
    // Proof of freshness
    pub(crate) last_ok: Option<Millis>,
    pub(crate) last_beat_read: Millis,
    pub(crate) proof_busy: bool,
    pub(crate) last_proof: Millis,
    pub(crate) unproven: Vec<RequestId>,
    pub(crate) proving: Vec<RequestId>,
    pub(crate) catching: Vec<(u64, Token, Vec<RequestId>)>,
    pub(crate) trailing_since: Option<Millis>,
    pub(crate) watch_opened: Millis,
    pub(crate) asks: BTreeMap<RequestId, Ask>,
    pub(crate) admission: AdmissionControl,
    /// Those of them that wait for the last tasks of a cancelled job to go.
    pub(crate) ending_asks: BTreeSet<RequestId>,
    /// Workers that were sent to look for another node while this one is cut off, and when.
    pub(crate) turned_away: HashMap<String, Millis>,
    /// Zones whose machines report to this node, and when one last did.
    pub(crate) reporting: BTreeMap<String, Millis>,
    // Machines
    pub types: HashMap<String, MachineType>,
    pub(crate) types_at: Option<Millis>,
    pub(crate) types_busy: bool,
    pub(crate) held: BTreeMap<String, Held>,
    pub(crate) heard: HashMap<String, Heard>,
    pub(crate) signs: Signs,
    pub(crate) standby: Standby,
    pub(crate) starts: Starts,
    /// Since when it has been asked to end.
    pub(crate) leaving: Option<Millis>,
    pub(crate) hearing: Hearing,
    /// When the state service last said that it was asked too much.
    pub(crate) throttled_at: Option<Millis>,
    /// Why this node was not ready, and since when; and the same of cuts: for the log.
    pub(crate) troubles: BTreeMap<&'static str, Millis>,
    pub(crate) gone: Gone,
    // Zones
    pub(crate) zones: Zones,
    // What waits to be recorded: see `results`
    pub(crate) results: BTreeMap<(TaskId, u64), Ended>,
    /// Tasks to be stopped so that they save, since their machine is about to be taken.
    pub(crate) saves: BTreeSet<(TaskId, u64)>,
    pub(crate) seen: BTreeMap<String, Seen>,
    pub(crate) condemned: BTreeMap<String, &'static str>,
    pub(crate) stats: Stats,
    pub(crate) learned: Learned,
    pub(crate) flushed_at: Millis,
    pub(crate) judged_at: Millis,
    pub(crate) writes: Allowance,
    /// The next changes are a lookup's: flushes and lookups take turns when changes are short.
    pub(crate) lookup_next: bool,
    /// Changes that a flush may hold: halved by each conflict, since a failed transaction
    /// costs as many as one that took effect.
    pub(crate) flush_ops: usize,
    /// When a task was last placed on a machine, as far as seen here.
    pub(crate) used_at: HashMap<String, Millis>,
    /// Until when machines fetch images for tasks that this node placed there, about.
    pub(crate) fetching: HashMap<String, Millis>,
    pub(crate) hire_since: HashMap<u64, Millis>,
    pub(crate) tidying: BTreeSet<u64>,
    /// Rental requests whose answer is awaited.
    pub(crate) hires_asked: BTreeSet<u64>,
    pub(crate) deleted: BTreeSet<String>,
    pub(crate) delete_tried: HashMap<String, Millis>,
    pub(crate) delete_busy: bool,
    /// Listed machines that no record names, and when they were first seen.
    pub(crate) strange: HashMap<String, Millis>,
    pub(crate) hire_tried: HashMap<u64, Millis>,
    pub(crate) hire_busy: bool,
    pub(crate) finishing: BTreeSet<String>,
    // Pipelines and formats
    /// Jobs that need a cancelled one, since when that is known here, by steady time.
    pub(crate) doomed_since: BTreeMap<String, Millis>,
    pub(crate) cascade_busy: bool,
    pub(crate) upgrade: Upgrade,
    pub(crate) configuration: Configuration,
    /// Records logged as too large for a value.
    pub(crate) large_logged: BTreeSet<Key>,
    pub(crate) unbarred_at: Millis,
    pub(crate) list_at: Millis,
    pub(crate) list_busy: bool,
    pub(crate) sweep_busy: bool,
    pub(crate) term_busy: bool,
    // Lookup
    pub(crate) turns: KeptTurns,
    /// Whether the last lookup found anything waiting.
    pub(crate) waiting_work: bool,
    pub(crate) preempted_at: Millis,
    /// Revisions and when they became known here.
    pub(crate) epochs: VecDeque<(u64, Millis)>,
    pub(crate) quiet_since: Millis,
    pub(crate) moves: Moves,
    pub(crate) lookup_wanted: bool,
    pub(crate) lookup_at: Millis,
    /// The latest transaction on bookings that is on its way.
    pub(crate) writing: Option<Token>,
    /// After a lost one: the revision the copy must have reached before the next try, and
    /// a time after which to try in any case.
    pub(crate) write_retry: Option<(u64, Millis)>,
    pub(crate) last_house: Option<Millis>,
    pub(crate) ticked_at: Millis,
    pub(crate) forgot_at: Millis,
}

impl Node {
    pub fn new(settings: Settings, seed: u64, now: Millis, wall: WallMs) -> Node {
        let writes = Allowance::new(settings.write_rps, WRITE_BURST_S, now);
        let flush_ops = settings.txn_ops;
        let admitted = settings.write_rps.min(settings.next_write_rps);
        let admission = AdmissionControl::new(admitted, now);
        let mut cache = Cache::default();
        cache.members = match settings.checks.format {
            true => settings.nodes.clone(),
            false => vec![settings.node.clone()],
        };
        let standby = Standby::new(&settings, wall);
        let configuration = Configuration::new(settings.policy.clone());
        Node {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall,
            started: now,
            woke: now,
            stale: false,
            woke_token: 0,
            cache,
            loaded: false,
            reading: Reading::default(),
            changed: false,
            out: Vec::new(),
            next_token: 1,
            pending: HashMap::new(),
            last_ok: None,
            last_beat_read: 0,
            proof_busy: false,
            last_proof: 0,
            unproven: Vec::new(),
            proving: Vec::new(),
            catching: Vec::new(),
            trailing_since: None,
            watch_opened: now,
            asks: BTreeMap::new(),
            admission,
            ending_asks: BTreeSet::new(),
            turned_away: HashMap::new(),
            reporting: BTreeMap::new(),
            types: HashMap::new(),
            types_at: None,
            types_busy: false,
            held: BTreeMap::new(),
            heard: HashMap::new(),
            signs: Signs::new(),
            standby,
            starts: Starts::default(),
            leaving: None,
            hearing: Hearing::new(now),
            throttled_at: None,
            troubles: BTreeMap::new(),
            gone: Gone::default(),
            zones: Zones::default(),
            results: BTreeMap::new(),
            saves: BTreeSet::new(),
            seen: BTreeMap::new(),
            condemned: BTreeMap::new(),
            stats: Stats::new(now),
            learned: Learned::default(),
            flushed_at: 0,
            judged_at: 0,
            writes,
            lookup_next: false,
            flush_ops,
            used_at: HashMap::new(),
            fetching: HashMap::new(),
            hire_since: HashMap::new(),
            tidying: BTreeSet::new(),
            hires_asked: BTreeSet::new(),
            deleted: BTreeSet::new(),
            delete_tried: HashMap::new(),
            hire_tried: HashMap::new(),
            delete_busy: false,
            strange: HashMap::new(),
            hire_busy: false,
            finishing: BTreeSet::new(),
            doomed_since: BTreeMap::new(),
            cascade_busy: false,
            upgrade: Upgrade::default(),
            configuration,
            large_logged: BTreeSet::new(),
            unbarred_at: now,
            list_at: now + LIST_MS,
            list_busy: false,
            sweep_busy: false,
            term_busy: false,
            turns: KeptTurns::default(),
            waiting_work: false,
            preempted_at: now,
            epochs: VecDeque::new(),
            quiet_since: now,
            moves: Moves::new(now),
            lookup_wanted: false,
            lookup_at: now,
            writing: None,
            write_retry: None,
            last_house: None,
            ticked_at: now,
            forgot_at: 0,
        }
    }

    /// Takes one event at a steady time and a time of day; returns what is to be done.
    pub fn handle(&mut self, now: Millis, wall: WallMs, event: Event) -> Vec<Effect> {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.wall = wall;
        if gap >= GAP_MS && self.settings.checks.gap {
            self.wake(gap);
        }
        match event {
            Event::Tick => self.tick(),
            Event::Submit { request, spec } => self.ask_submit(request, *spec),
            Event::Status { request, job } => self.ask_status(request, job),
            Event::Cancel { request, job } => self.ask_cancel(request, job),
            Event::CheckIn { request, report } => self.check_in(request, *report),
            Event::State { token, answer } => self.state_answer(token, answer),
            Event::Unanswered { token } => self.unanswered(token),
            Event::Watched { epoch, changes } => self.watched(epoch, changes),
            Event::WatchGap => self.reload(),
            Event::Throttled => self.throttled(),
            Event::Cloud { token, answer } => self.cloud_answer(token, answer),
            Event::Commanded {
                machine,
                reach,
                report,
            } => {
                self.commanded(machine, reach);
                if let Some(report) = report {
                    self.heed_answer(&report);
                }
            }
            Event::Heartbeat(beat) => self.heed(beat),
            Event::LinkEnded { node } => self.link_ended(&node),
            Event::Leave => self.leave(),
        }
        self.start_proof();
        if std::mem::take(&mut self.changed) {
            self.take_early();
            self.tell_ended();
        }
        self.flush();
        self.look_up();
        std::mem::take(&mut self.out)
    }

    /// After standing still: what was held before is old, and nothing is done on the strength
    /// of it. The view counts again once a proof asked for from now on has been reached;
    /// machines are judged and placed on after a round of reports, as after a start.
    fn wake(&mut self, gap: Millis) {
        tracing::info!(ms = gap, asks = self.asks.len(), "stood still");
        self.woke = self.now;
        self.woke_token = self.next_token;
        self.stale = true;
        self.last_ok = None;
        self.last_beat_read = 0;
        // Those who asked have given up, or are about to: they are told to come back.
        for request in self.asks.keys().copied().collect::<Vec<_>>() {
            let reply = self.later();
            self.answer(request, reply);
        }
        self.unproven.clear();
        for (_, held) in std::mem::take(&mut self.held) {
            self.worker(held.request, WorkerReply::NotNow);
        }
        // Proofs of what ended stay true. What gave reason to act on machines does not.
        self.condemned.clear();
        self.seen.clear();
        self.saves.clear();
        self.signs.wake();
        self.starts.wake();
        self.strange.clear();
        self.zones.wake();
        self.standby.wake(self.now);
        self.hearing.wake();
    }

    /// The state service was asked too much. Once all nodes are upgraded its announced limits may
    /// be in force any time: from the first such answer on this node keeps to them.
    fn throttled(&mut self) {
        self.throttled_at = Some(self.now);
        if self.cache.format() == formats::LATEST {
            self.writes.slow_down(self.settings.next_write_rps);
        }
    }

    /// Says once of each record that it does not fit into a value any more.
    pub(crate) fn too_large(&mut self, records: Vec<(Key, usize)>) {
        for (key, bytes) in records {
            if self.large_logged.len() < BARRED_KEPT && self.large_logged.insert(key.clone()) {
                let (key, limit) = (key.path(), self.settings.value_bytes);
                tracing::error!(key, bytes, limit, "a record is too large to be written");
            }
        }
    }

    /// Records which format this node reads, and logs how far a rolling upgrade is.
    fn note_format(&mut self) {
        let format = self.cache.format();
        let old = |node: &&String| self.cache.format_of(node) < formats::LATEST;
        let old: Vec<&str> = (self.settings.nodes.iter().filter(old))
            .map(String::as_str)
            .collect();
        if self.upgrade.format_logged != Some((format, old.len())) {
            match old.is_empty() {
                true => tracing::info!(format, "every node has the latest format"),
                false => {
                    let waits_for = old.join(" ");
                    tracing::info!(format, waits_for, "rolling upgrade: old format in use");
                }
            }
            self.upgrade.format_logged = Some((format, old.len()));
        }
        let known = self.cache.format_of(&self.settings.node);
        if known < formats::LATEST && !self.upgrade.format_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            let version = formats::LATEST;
            let key = Key::Format(self.settings.node.clone());
            draft.put(key, Record::Format(FormatRecord { version }));
            let txn = draft.finish();
            self.upgrade.format_busy = true;
            self.commit(txn, Purpose::Format, Priority::User);
        }
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    pub(crate) fn token(&mut self, purpose: Purpose, txn: Option<Txn>) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, (purpose, txn));
        token
    }

    /// Commits changes of bookings, one transaction after another.
    pub(crate) fn commit_bookings(&mut self, txn: Txn, purpose: Purpose, priority: Priority) {
        self.writing = Some(self.commit(txn, purpose, priority));
    }

    pub(crate) fn commit(&mut self, txn: Txn, purpose: Purpose, priority: Priority) -> Token {
        self.writes.take(txn.changes.len());
        self.stats.sent(&purpose, &txn);
        let token = self.token(purpose, Some(txn.clone()));
        self.emit(Effect::State {
            token,
            op: StateOp::Txn(txn),
            priority,
        });
        token
    }

    pub(crate) fn cloud(&mut self, op: CloudOp, purpose: Purpose) {
        self.stats.cloud += 1;
        let token = self.token(purpose, None);
        self.emit(Effect::Cloud { token, op });
    }

    /// Whether the records are known and current, and the state service answered lately.
    pub fn state_ok(&self) -> bool {
        let trails = |at| self.now >= at + WATCH_LOST_MS;
        self.loaded
            && !self.stale
            && !self.trailing_since.is_some_and(trails)
            && self
                .last_ok
                .is_some_and(|at| self.now.saturating_sub(at) <= STATE_LOST_MS)
    }

    pub(crate) fn state_age(&self) -> Millis {
        self.now - self.last_ok.unwrap_or(self.started)
    }

    /// Whether sending users here helps them.
    pub fn ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// What keeps users from being sent here. While every node has lost the state service none
    /// is better than another: leaving the balancer would only prolong the outage, and here
    /// they are at least told when to come back.
    fn not_ready(&self) -> Option<&'static str> {
        if self.leaving.is_some() {
            Some("it is about to end")
        } else if !self.loaded {
            Some("records are not read")
        } else if self.types.is_empty() {
            Some("machine types are not known")
        } else if self.cache.term().is_none() {
            Some("there is no term")
        } else if self.state_ok() {
            let better = |s: &Sibling| s.beat.state_ok && s.beat.workers_ok;
            let elsewhere = self.fresh_siblings().any(better);
            (!self.workers_ok() && elsewhere).then_some("workers do not reach it")
        } else if self.sibling_with_state().is_some() {
            Some("the state service is not reached")
        } else if self.is_alone() {
            Some("neither the state service nor a sibling is reached")
        } else {
            let waking = self.stale && self.now < self.woke + GAP_READY_MS;
            waking.then_some("it stood still")
        }
    }

    /// Cut off from the state service and from all siblings, and for longer than both may hesitate:
    /// most likely others serve users, who would poll here in vain for as long as the cut lasts.
    fn is_alone(&self) -> bool {
        self.settings.checks.alone
            && self.settings.nodes.len() > 1
            && self.fresh_siblings().next().is_none()
            && self.state_age() >= ALONE_MS
    }

    /// Logs when a trouble that operators ask about begins and ends.
    fn note_troubles(&mut self) {
        let not_ready = self.not_ready();
        let cut = self.loaded && !self.state_ok();
        let reasons = [
            Some("the state service is not reached").filter(|_| cut),
            Some("workers do not reach it").filter(|_| !self.workers_ok()),
            not_ready,
        ];
        for what in reasons.into_iter().flatten() {
            if !self.troubles.contains_key(what) {
                let ready = not_ready.is_none();
                tracing::info!(what, ready, "trouble begins");
                self.troubles.insert(what, self.now);
            }
        }
        let now = self.now;
        self.troubles.retain(|what, since| {
            let lasts = reasons.contains(&Some(*what));
            if !lasts {
                tracing::info!(what, ms = now - *since, "trouble ends");
            }
            lasts
        });
    }

    pub(crate) fn fresh_siblings(&self) -> impl Iterator<Item = &Sibling> {
        self.standby.fresh(self.now)
    }

    pub(crate) fn sibling_with_state(&self) -> Option<String> {
        self.fresh_siblings()
            .find(|s| s.beat.state_ok)
            .map(|s| s.beat.node.clone())
    }

    /// The first node, in order of names, that reaches the state service does the
    /// housekeeping. Two doing it at once is wasteful, not wrong.
    pub(crate) fn on_duty(&self) -> bool {
        let before = self.settings.nodes.iter();
        let mut before = before.take_while(|n| **n != self.settings.node);
        self.state_ok() && !before.any(|n| self.standby.does_duty(self.now, n))
    }

    /// Changes that may be sent to the state service now. The share of siblings that do not
    /// reach it goes to the others.
    pub(crate) fn writes_left(&mut self) -> usize {
        let all = self.settings.nodes.len();
        // A silent sibling most likely stands still or is down. Should it only be the link that
        // is cut, the service says that too much is asked, and its share is its own again.
        let silent = match self.throttled_at {
            Some(at) if self.now < at + THROTTLED_MS => 0,
            _ => all - 1 - self.standby.serving(self.now).min(all - 1),
        };
        let cut = self.fresh_siblings().filter(|s| !s.beat.state_ok).count();
        let idle = cut + silent;
        let times = all as f64 / all.saturating_sub(idle).max(1) as f64;
        self.writes.left(self.now, times)
    }

    // ---- Time ----------------------------------------------------------------------

    fn tick(&mut self) {
        self.standby.ticked(self.now - self.ticked_at);
        self.ticked_at = self.now;
        self.tick_asks();
        self.tick_held();
        // The first tick does all: users wait for the records to be read.
        if self.last_house.is_some_and(|at| self.now < at + TICK_MS) {
            return;
        }
        self.last_house = Some(self.now);
        self.note_troubles();
        self.probe_cut();
        self.judge_siblings();
        self.say();
        self.end_if_left();
        if !self.loaded && !self.reading.busy {
            self.reload();
        }
        if !self.types_busy {
            let due = match self.types_at {
                Some(at) => self.now >= at + CATALOG_MS,
                None => true,
            };
            if due && (self.types_at.is_some() || self.now >= self.last_types_try()) {
                self.types_busy = true;
                self.cloud(CloudOp::Types, Purpose::Types);
            }
        }
        let trails = self.trailing_since.map(|at| at.max(self.watch_opened));
        if self.loaded && trails.is_some_and(|at| self.now >= at + WATCH_TRAIL_MS) {
            tracing::info!(epoch = self.cache.epoch, "the watch trails: opened anew");
            self.watch_opened = self.now;
            self.emit(Effect::Watch {
                since: self.cache.epoch,
            });
        }
        if !self.state_ok() {
            return;
        }
        if self.cache.term().is_none() && !self.term_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.put(Key::Term, Record::Term(TermRecord { term: 1 }));
            let txn = draft.finish();
            self.term_busy = true;
            self.commit(txn, Purpose::Term, Priority::User);
        }
        self.note_format();
        self.note_settled();
        self.note_configuration();
        if self.now >= self.unbarred_at + BARRED_MS {
            self.unbarred_at = self.now;
            self.cache.unbar();
        }
        if self.now >= self.forgot_at + FORGET_MS {
            self.forgot_at = self.now;
            if self.now >= self.started + STATS_MS {
                let (records, held) = (self.cache.len(), self.held.len());
                self.stats.report(self.now, records, held);
            }
            self.forget_old();
            self.forget_runs();
            for (why, beats) in self.standby.dropped(self.now) {
                tracing::info!(?why, beats, "beats dropped");
            }
        }
        if self.now >= self.judged_at + JUDGE_MS {
            self.judged_at = self.now;
            self.judge_machines();
            self.finish_jobs();
            self.cascade();
            if self.on_duty() {
                self.sweep();
            }
        }
        self.carry_on_starts();
        self.bar_doubtful();
        self.record_runs();
        self.retry_hires();
        self.tidy_hires();
        if self.on_duty() {
            self.evict_over_limits();
            self.send_delete();
            if self.now >= self.list_at && !self.list_busy {
                self.list_at = self.now + LIST_MS;
                self.list_busy = true;
                self.cloud(CloudOp::List { after: None }, Purpose::Hosts);
            }
            self.move_services();
        }
    }

    fn last_types_try(&self) -> Millis {
        // The client answers `Failed` after its own pause, so tries are spaced there.
        self.started
    }
}
