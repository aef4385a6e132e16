//! One controller node: takes events, keeps the copy of the records, and emits effects.

use crate::capacity;
use crate::constants::*;
use crate::jobs::Ask;
use crate::lookup::{self, Candidate};
use crate::machines::Held;
use crate::model::*;
use crate::preempt;
use crate::records::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

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
pub struct Beat {
    pub node: String,
    /// Whether it reaches the state service and holds current records.
    pub state_ok: bool,
    /// Machines it heard of: name, session, tally, milliseconds ago.
    pub heard: Vec<(String, u64, u64, u64)>,
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
    /// Changes up to a revision, in order.
    Watched {
        epoch: u64,
        changes: Vec<(Key, u64, Option<Record>)>,
    },
    /// The watch can't go on from where it stood: the records must be read again.
    WatchGap,
    Cloud {
        token: Token,
        answer: CloudAnswer,
    },
    Beat(Beat),
    /// A worker did not take a direct command, or its answer was lost.
    CommandFailed {
        machine: String,
        /// It answered, but refused: the machine lives.
        refused: bool,
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
    Beat(Beat),
    /// One direct command to a worker, never repeated.
    Command {
        machine: String,
        address: String,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    },
}

/// What an outstanding operation is for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Proof,
    Load { round: u64 },
    Ask(RequestId),
    Reconcile(Vec<String>),
    Lookup(Vec<(TaskId, String)>),
    NewHires(Vec<u64>),
    Hire(u64),
    HireDone(u64),
    Stop(Vec<(String, TaskId)>),
    Condemn(String),
    Delete(Vec<String>),
    Bury(String),
    Finish(String),
    Sweep,
    Types,
    Hosts,
    Term,
}

pub(crate) struct Sibling {
    pub at: Millis,
    pub beat: Beat,
}

pub(crate) struct Heard {
    pub at: Millis,
    pub session: u64,
    pub tally: u64,
}

pub struct Node {
    pub settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) wall: WallMs,
    pub(crate) started: Millis,
    pub cache: Cache,
    pub(crate) loaded: bool,
    load_round: u64,
    load_listed: BTreeSet<Key>,
    load_epoch: u64,
    load_busy: bool,
    pub(crate) changed: bool,
    out: Vec<Effect>,
    next_token: Token,
    pub(crate) pending: HashMap<Token, (Purpose, Option<Txn>)>,
    // Proof of freshness
    pub(crate) last_ok: Option<Millis>,
    last_beat_read: Millis,
    proof_busy: bool,
    last_proof: Millis,
    pub(crate) unproven: Vec<RequestId>,
    proving: Vec<RequestId>,
    catching: Vec<(u64, Vec<RequestId>)>,
    trailing_since: Option<Millis>,
    pub(crate) asks: BTreeMap<RequestId, Ask>,
    // Machines
    pub types: HashMap<String, MachineType>,
    types_at: Option<Millis>,
    types_busy: bool,
    pub(crate) held: BTreeMap<String, Held>,
    pub(crate) heard: HashMap<String, Heard>,
    /// What siblings said they heard of machines.
    pub(crate) told: HashMap<String, Heard>,
    pub(crate) siblings: BTreeMap<String, Sibling>,
    pub(crate) gone: VecDeque<String>,
    pub(crate) idle_since: HashMap<String, Millis>,
    pub(crate) seen_since: HashMap<Key, Millis>,
    /// When each machine was first seen up here.
    pub(crate) up_since: HashMap<String, Millis>,
    pub(crate) busy_machines: BTreeSet<String>,
    pub(crate) deleted: BTreeSet<String>,
    delete_tried: HashMap<String, Millis>,
    hire_tried: HashMap<u64, Millis>,
    /// Machines that did not take a direct command, and when.
    pub(crate) command_failed: HashMap<String, Millis>,
    /// Machines that did not even answer one.
    pub(crate) unreached: HashMap<String, Millis>,
    /// Machines whose check-ins were overdue and that were asked directly, and when.
    pub(crate) asked_at: HashMap<String, Millis>,
    /// Since when a directly commanded start has been missing from its machine's reports.
    pub(crate) missing_since: HashMap<(String, TaskId, u64), Millis>,
    hire_busy: bool,
    finishing: BTreeSet<String>,
    list_at: Millis,
    list_busy: bool,
    sweep_busy: bool,
    pub(crate) term_busy: bool,
    // Lookup
    /// Whether the last lookup found anything waiting.
    waiting_work: bool,
    preempted_at: Millis,
    /// Revisions and when they became known here.
    epochs: VecDeque<(u64, Millis)>,
    quiet_since: Millis,
    moved_at: Millis,
    pub(crate) lookup_wanted: bool,
    lookup_at: Millis,
    /// A transaction on bookings is on its way.
    pub(crate) writing: bool,
    /// After a lost one: the revision the copy must have reached before the next try, and
    /// a time after which to try in any case.
    write_retry: Option<(u64, Millis)>,
    last_beat: Millis,
    last_house: Millis,
    forgot_at: Millis,
}

impl Node {
    pub fn new(settings: Settings, seed: u64, now: Millis, wall: WallMs) -> Node {
        Node {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall,
            started: now,
            cache: Cache::default(),
            loaded: false,
            load_round: 0,
            load_listed: BTreeSet::new(),
            load_epoch: 0,
            load_busy: false,
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
            asks: BTreeMap::new(),
            types: HashMap::new(),
            types_at: None,
            types_busy: false,
            held: BTreeMap::new(),
            heard: HashMap::new(),
            told: HashMap::new(),
            siblings: BTreeMap::new(),
            gone: VecDeque::new(),
            idle_since: HashMap::new(),
            seen_since: HashMap::new(),
            up_since: HashMap::new(),
            busy_machines: BTreeSet::new(),
            deleted: BTreeSet::new(),
            delete_tried: HashMap::new(),
            hire_tried: HashMap::new(),
            command_failed: HashMap::new(),
            unreached: HashMap::new(),
            asked_at: HashMap::new(),
            missing_since: HashMap::new(),
            hire_busy: false,
            finishing: BTreeSet::new(),
            list_at: now + LIST_MS,
            list_busy: false,
            sweep_busy: false,
            term_busy: false,
            waiting_work: false,
            preempted_at: now,
            epochs: VecDeque::new(),
            quiet_since: now,
            moved_at: now,
            lookup_wanted: false,
            lookup_at: now,
            writing: false,
            write_retry: None,
            last_beat: 0,
            last_house: 0,
            forgot_at: 0,
        }
    }

    /// Takes one event at a steady time and a time of day; returns what is to be done.
    pub fn handle(&mut self, now: Millis, wall: WallMs, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        match event {
            Event::Tick => self.tick(),
            Event::Submit { request, spec } => self.ask_submit(request, *spec),
            Event::Status { request, job } => self.ask_status(request, job),
            Event::Cancel { request, job } => self.ask_cancel(request, job),
            Event::CheckIn { request, report } => self.check_in(request, *report),
            Event::State { token, answer } => self.state_answer(token, answer),
            Event::Watched { epoch, changes } => self.watched(epoch, changes),
            Event::WatchGap => self.reload(),
            Event::Cloud { token, answer } => self.cloud_answer(token, answer),
            Event::CommandFailed { machine, refused } => {
                tracing::debug!(machine, refused, "direct command failed");
                if !refused {
                    self.unreached.insert(machine.clone(), self.now);
                }
                self.command_failed.insert(machine, self.now);
            }
            Event::Beat(beat) => {
                if beat.node != self.settings.node {
                    self.told_of(&beat);
                    self.siblings
                        .insert(beat.node.clone(), Sibling { at: self.now, beat });
                }
            }
        }
        self.start_proof();
        if self.changed {
            self.changed = false;
            self.advance_held();
        }
        self.look_up();
        std::mem::take(&mut self.out)
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

    pub(crate) fn commit(&mut self, txn: Txn, purpose: Purpose, priority: Priority) {
        let token = self.token(purpose, Some(txn.clone()));
        self.emit(Effect::State {
            token,
            op: StateOp::Txn(txn),
            priority,
        });
    }

    fn cloud(&mut self, op: CloudOp, purpose: Purpose) {
        let token = self.token(purpose, None);
        self.emit(Effect::Cloud { token, op });
    }

    /// Whether the records are known and the state service answered lately.
    pub fn state_ok(&self) -> bool {
        self.loaded
            && self
                .last_ok
                .is_some_and(|at| self.now.saturating_sub(at) <= STATE_LOST_MS)
    }

    pub(crate) fn state_age(&self) -> Millis {
        self.now - self.last_ok.unwrap_or(self.started)
    }

    /// Whether sending users here helps them. While every node has lost the state service
    /// none is better than another, and leaving the balancer would only prolong the outage.
    pub fn ready(&self) -> bool {
        self.loaded
            && !self.types.is_empty()
            && self.cache.term().is_some()
            && (self.state_ok() || self.sibling_with_state().is_none())
    }

    pub(crate) fn fresh_siblings(&self) -> impl Iterator<Item = &Sibling> {
        self.siblings
            .values()
            .filter(|s| self.now.saturating_sub(s.at) <= PEER_FRESH_MS)
    }

    pub(crate) fn sibling_with_state(&self) -> Option<String> {
        self.fresh_siblings()
            .find(|s| s.beat.state_ok)
            .map(|s| s.beat.node.clone())
    }

    /// The first node, in order of names, that reaches the state service does the
    /// housekeeping. Two doing it at once is wasteful, not wrong.
    fn on_duty(&self) -> bool {
        let me = self.settings.node_index();
        self.state_ok()
            && !self.fresh_siblings().any(|s| {
                s.beat.state_ok
                    && self.settings.nodes.iter().position(|n| *n == s.beat.node)
                        < Some(me as usize)
            })
    }

    /// After a start, one round of reports comes in before anything is placed or judged.
    pub(crate) fn settled(&self) -> bool {
        self.now - self.started >= self.settings.report_ms * 5 / 4
    }

    // ---- State service -------------------------------------------------------------

    fn start_proof(&mut self) {
        let wanted = !self.unproven.is_empty()
            || (self.loaded && self.now >= self.last_beat_read + STATE_BEAT_MS);
        if !wanted || self.proof_busy || !self.loaded || self.now < self.last_proof + PROOF_GAP_MS {
            return;
        }
        self.proof_busy = true;
        self.last_proof = self.now;
        self.last_beat_read = self.now;
        self.proving = std::mem::take(&mut self.unproven);
        let token = self.token(Purpose::Proof, None);
        self.emit(Effect::State {
            token,
            op: StateOp::Proof,
            priority: Priority::User,
        });
    }

    fn reload(&mut self) {
        self.loaded = false;
        self.load_round += 1;
        self.load_listed.clear();
        self.load_epoch = 0;
        self.load_page(None);
    }

    fn load_page(&mut self, after: Option<String>) {
        self.load_busy = true;
        let token = self.token(
            Purpose::Load {
                round: self.load_round,
            },
            None,
        );
        self.emit(Effect::State {
            token,
            op: StateOp::List { after },
            priority: Priority::User,
        });
    }

    fn loaded_page(&mut self, answer: StateAnswer) {
        self.load_busy = false;
        let StateAnswer::Listed {
            items,
            last,
            more,
            epoch,
        } = answer
        else {
            return; // the tick tries again
        };
        if self.load_epoch == 0 {
            // The first page's revision: whatever changed since is in the watch.
            self.load_epoch = epoch;
        }
        for (key, stamp, record) in items {
            self.load_listed.insert(key.clone());
            self.cache.put(key, stamp, record);
        }
        if more && last.is_some() {
            self.load_page(last);
            return;
        }
        let listed = std::mem::take(&mut self.load_listed);
        self.cache.retain_listed(&listed, self.load_epoch);
        self.cache.epoch = self.load_epoch;
        self.loaded = true;
        self.changed = true;
        self.lookup_wanted = true;
        tracing::info!(
            records = self.cache.len(),
            epoch = self.load_epoch,
            "records read"
        );
        self.emit(Effect::Watch {
            since: self.load_epoch,
        });
    }

    fn watched(&mut self, epoch: u64, changes: Vec<(Key, u64, Option<Record>)>) {
        for (key, stamp, record) in changes {
            tracing::debug!(
                ?key,
                stamp,
                cached = self.cache.stamp(&key),
                put = record.is_some(),
                "news"
            );
            self.apply(key, stamp, record, false);
        }
        self.cache.epoch = self.cache.epoch.max(epoch);
        self.epochs.push_back((self.cache.epoch, self.now));
        if self.epochs.len() > EPOCHS_REMEMBERED {
            self.epochs.pop_front();
        }
        self.changed = true;
        self.caught_up();
    }

    fn apply(&mut self, key: Key, stamp: u64, record: Option<Record>, own: bool) {
        match record {
            Some(record) => {
                if let (Key::Job(id), Record::Job(job)) = (&key, &record) {
                    if job.phase == Phase::Open && self.cache.job(id).is_none() {
                        self.want_lookup(own);
                    }
                }
                if let Key::Machine(_) | Key::Chunk(..) = &key {
                    self.want_lookup(own);
                }
                self.cache.put(key, stamp, record);
            }
            None => {
                if let Key::Machine(id) = &key {
                    if self.cache.machine(id).is_some() && self.cache.stamp(&key) < stamp {
                        self.gone.push_back(id.clone());
                        if self.gone.len() > GONE_REMEMBERED {
                            self.gone.pop_front();
                        }
                    }
                }
                self.cache.remove(&key, stamp);
            }
        }
        self.changed = true;
    }

    /// A change of this node's own is looked at now; a sibling's a little later, since the
    /// node that made it looks first.
    fn want_lookup(&mut self, own: bool) {
        if own {
            self.lookup_wanted = true;
        } else {
            let at = self.now + FOREIGN_LOOKUP_MS + self.settings.node_index() * 100;
            self.lookup_at = self.lookup_at.min(at);
        }
    }

    fn caught_up(&mut self) {
        let epoch = self.cache.epoch;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.catching)
            .into_iter()
            .partition(|(e, _)| *e <= epoch);
        self.catching = waiting;
        if self.catching.is_empty() {
            self.trailing_since = None;
        }
        for (_, requests) in ready {
            for request in requests {
                self.proven(request);
            }
        }
    }

    fn state_answer(&mut self, token: Token, answer: StateAnswer) {
        let Some((purpose, txn)) = self.pending.remove(&token) else {
            return;
        };
        match &answer {
            StateAnswer::Unavailable | StateAnswer::NoAnswer => {}
            _ => self.last_ok = Some(self.now),
        }
        let committed = matches!(answer, StateAnswer::Committed { .. });
        if let (StateAnswer::Committed { epoch }, Some(txn)) = (&answer, &txn) {
            for (key, record) in &txn.changes {
                self.apply(key.clone(), *epoch, record.clone(), true);
            }
        }
        if let (StateAnswer::Refused, Some(txn)) = (&answer, &txn) {
            tracing::error!(
                ?purpose,
                changes = txn.changes.len(),
                "transaction was malformed"
            );
        }
        if txn.is_some() && !committed {
            tracing::debug!(?purpose, ?answer, "transaction lost");
        }
        match purpose {
            Purpose::Proof => {
                self.proof_busy = false;
                let requests = std::mem::take(&mut self.proving);
                match answer {
                    StateAnswer::Proof { epoch } => {
                        if epoch > self.cache.epoch && self.trailing_since.is_none() {
                            self.trailing_since = Some(self.now);
                        }
                        self.catching.push((epoch, requests));
                        self.caught_up();
                    }
                    _ => {
                        for request in requests {
                            self.unproved(request);
                        }
                    }
                }
            }
            Purpose::Load { round } => {
                if round == self.load_round {
                    self.loaded_page(answer);
                }
            }
            Purpose::Ask(request) => self.ask_committed(request, committed),
            Purpose::Reconcile(machines) => {
                self.written(&answer);
                self.reconciled(machines, committed);
            }
            Purpose::Lookup(claimed) => {
                self.written(&answer);
                if committed {
                    for (task, machine) in &claimed {
                        tracing::info!(%task, machine, "claimed");
                    }
                    self.command_starts(&claimed);
                    self.lookup_wanted = true;
                } else {
                    // Another node won, or the outcome is unknown: look again once the
                    // watch has told what is true.
                    tracing::debug!(tasks = claimed.len(), "claim lost");
                    self.lookup_wanted = true;
                }
            }
            Purpose::NewHires(hires) => {
                self.hire_busy = false;
                if committed {
                    for n in hires {
                        self.send_hire(n);
                    }
                } else {
                    self.lookup_at = self.lookup_at.min(self.now + 200);
                }
            }
            Purpose::HireDone(n) => {
                if committed {
                    // What was refused here is wanted elsewhere.
                    self.lookup_wanted = true;
                } else {
                    // The cloud answers the same name the same way: ask it again.
                    self.hire_tried
                        .insert(n, self.now + HIRE_AGAIN_MS - HIRE_RETRY_MS);
                }
            }
            Purpose::Stop(stops) => {
                self.written(&answer);
                for (id, task) in stops.iter().filter(|_| committed) {
                    self.command_stop(id, task);
                }
            }
            Purpose::Condemn(id) => {
                self.busy_machines.remove(&id);
                if committed {
                    self.send_delete();
                }
            }
            Purpose::Bury(id) => {
                self.busy_machines.remove(&id);
                if committed && self.cache.machine(&id).is_none() {
                    self.deleted.remove(&id);
                }
            }
            Purpose::Finish(id) => {
                self.finishing.remove(&id);
            }
            Purpose::Sweep => self.sweep_busy = false,
            Purpose::Term => self.term_busy = false,
            Purpose::Hire(_) | Purpose::Delete(_) | Purpose::Types | Purpose::Hosts => {}
        }
    }

    /// When to try again what did not commit: once the watch has brought what stood in the
    /// way. Trying at once would only meet the same conflict, and conflicts cost budget.
    fn written(&mut self, answer: &StateAnswer) {
        self.writing = false;
        self.write_retry = self.retry_after(answer);
        self.changed = true;
    }

    /// Whether a transaction on bookings may be sent now.
    pub(crate) fn may_write(&self) -> bool {
        !self.writing
            && self
                .write_retry
                .is_none_or(|(epoch, at)| self.cache.epoch >= epoch || self.now >= at)
    }

    fn retry_after(&self, answer: &StateAnswer) -> Option<(u64, Millis)> {
        match answer {
            StateAnswer::Committed { .. } => None,
            StateAnswer::Conflict { epoch } => Some((*epoch, self.now + CONFLICT_PAUSE_MS)),
            _ => Some((u64::MAX, self.now + CONFLICT_PAUSE_MS)),
        }
    }

    // ---- Cloud ---------------------------------------------------------------------

    fn cloud_answer(&mut self, token: Token, answer: CloudAnswer) {
        let Some((purpose, _)) = self.pending.remove(&token) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Types, answer) => {
                self.types_busy = false;
                if let CloudAnswer::Types(types) = answer {
                    self.types_at = Some(self.now);
                    self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
                    self.lookup_wanted = true;
                }
            }
            (Purpose::Hosts, answer) => {
                self.list_busy = false;
                if let CloudAnswer::Hosts { hosts, more } = answer {
                    let last = hosts.last().map(|h| h.name.clone());
                    self.listed(hosts);
                    if more {
                        self.list_busy = true;
                        self.cloud(CloudOp::List { after: last }, Purpose::Hosts);
                    }
                }
            }
            (Purpose::Hire(n), answer) => {
                self.hire_tried.insert(n, self.now);
                match answer {
                    CloudAnswer::Hired(hosts) => self.hired(n, hosts),
                    CloudAnswer::NoCapacity => self.hired(n, Vec::new()),
                    _ => {}
                }
            }
            (Purpose::Delete(machines), CloudAnswer::Deleted) => {
                for id in machines {
                    tracing::info!(machine = id, "deleted");
                    self.deleted.insert(id);
                }
                self.bury();
            }
            _ => {}
        }
    }

    fn send_hire(&mut self, n: u64) {
        let Some(h) = self.cache.hire(&n).cloned() else {
            return;
        };
        self.hire_tried.insert(n, self.now + HIRE_RETRY_MS);
        self.cloud(
            CloudOp::Hire {
                name: format!("g-{n}"),
                type_name: h.type_name,
                zone: h.zone,
                spot: h.spot,
                count: h.count,
            },
            Purpose::Hire(n),
        );
    }

    /// Records what a rental brought; an empty or partial answer bars the offer for a while.
    fn hired(&mut self, n: u64, hosts: Vec<String>) {
        let Some(hire) = self.cache.hire(&n).cloned() else {
            return;
        };
        tracing::info!(
            type_name = hire.type_name,
            zone = hire.zone,
            spot = hire.spot,
            wanted = hire.count,
            got = hosts.len(),
            "rented"
        );
        let wall = self.wall;
        let mut draft = Draft::new(&self.cache);
        let mut whole = true;
        for host in &hosts {
            if self.cache.machine(host).is_some() || self.gone.contains(host) {
                continue;
            }
            if draft.ops() + 3 > self.settings.txn_ops {
                whole = false;
                break;
            }
            draft.put(
                Key::Machine(host.clone()),
                Record::Machine(MachineRecord::new(
                    &hire.type_name,
                    &hire.zone,
                    hire.spot,
                    MachinePhase::Booting,
                    wall,
                )),
            );
        }
        if whole {
            draft.remove(Key::Hire(n));
            if (hosts.len() as u32) < hire.count {
                let mut fleet = match draft.read(&Key::Fleet) {
                    Some(Record::Fleet(f)) => f,
                    _ => FleetRecord::default(),
                };
                fleet.refused.retain(|_, until| *until > wall);
                fleet.refused.insert(hire.offer(), wall + REFUSED_MS);
                draft.put(Key::Fleet, Record::Fleet(fleet));
            }
        }
        let txn = draft.finish();
        self.commit(txn, Purpose::HireDone(n), Priority::Housekeeping);
    }

    /// Deletes machines whose deletion is committed, as long as their records stand.
    fn send_delete(&mut self) {
        let now = self.now;
        let due: Vec<String> = self
            .cache
            .machines()
            .filter(|(id, m, _)| {
                m.phase == MachinePhase::Returning
                    && !self.deleted.contains(*id)
                    && self
                        .delete_tried
                        .get(*id)
                        .is_none_or(|at| now >= at + DELETE_RETRY_MS)
            })
            .map(|(id, _, _)| id.to_string())
            .take(DELETE_MAX)
            .collect();
        if due.is_empty() {
            return;
        }
        for id in &due {
            self.delete_tried.insert(id.clone(), now);
        }
        let purpose = Purpose::Delete(due.clone());
        self.cloud(CloudOp::Delete { machines: due }, purpose);
    }

    /// The cloud's 200 to a deletion proves that everything on the machine is gone.
    fn bury(&mut self) {
        for id in self.deleted.clone() {
            if self.busy_machines.contains(&id) {
                continue;
            }
            let Some(machine) = self.cache.machine(&id).cloned() else {
                self.deleted.remove(&id);
                continue;
            };
            let mut draft = Draft::new(&self.cache);
            let mut left = machine.bookings.len();
            for b in &machine.bookings {
                let mark = draft.save();
                crate::claims::release(
                    &mut draft,
                    &id,
                    &b.task(),
                    b.attempt,
                    crate::claims::Outcome::Gone,
                    self.wall,
                );
                if !draft.within(self.settings.txn_ops) {
                    draft.restore(mark);
                    break;
                }
                left -= 1;
            }
            if left == 0 {
                draft.remove(Key::Machine(id.clone()));
            }
            let txn = draft.finish();
            self.busy_machines.insert(id.clone());
            self.commit(txn, Purpose::Bury(id), Priority::Result);
        }
    }

    fn listed(&mut self, hosts: Vec<Host>) {
        for host in hosts {
            match self.cache.machine(&host.name) {
                None => {
                    // Rented by a request that nobody remembers. A machine that is up
                    // reports by itself; one that never comes up is found here.
                    let known_hire = self.cache.hires().next().is_some();
                    let old = host.age_s * 1000.0 > 60_000.0;
                    if old && !known_hire && !self.gone.contains(&host.name) {
                        let mut draft = Draft::new(&self.cache);
                        draft.put(
                            Key::Machine(host.name.clone()),
                            Record::Machine(MachineRecord::new(
                                &host.type_name,
                                &host.zone,
                                host.spot,
                                MachinePhase::Booting,
                                self.wall,
                            )),
                        );
                        tracing::info!(machine = host.name, "listed machine taken up");
                        let txn = draft.finish();
                        self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
                    }
                }
                Some(m)
                    if host.state == HostState::Failed && m.phase != MachinePhase::Returning =>
                {
                    self.condemn(&host.name, "the cloud lists it as failed");
                }
                _ => {}
            }
        }
    }

    /// Commits that a machine is to be deleted. Its bookings stay until that is proven.
    pub(crate) fn condemn(&mut self, id: &str, why: &str) {
        if self.busy_machines.contains(id) {
            return;
        }
        let mut draft = Draft::new(&self.cache);
        let Some(mut machine) = draft.machine(id) else {
            return;
        };
        if machine.phase == MachinePhase::Returning {
            return;
        }
        tracing::info!(
            machine = id,
            bookings = machine.bookings.len(),
            why,
            "deleting"
        );
        machine.phase = MachinePhase::Returning;
        draft.put(Key::Machine(id.to_string()), Record::Machine(machine));
        let txn = draft.finish();
        self.busy_machines.insert(id.to_string());
        self.commit(txn, Purpose::Condemn(id.to_string()), Priority::Claim);
    }

    /// Empties dear machines whose services fit elsewhere, one task at a time, and takes the
    /// services off machines that are being drained.
    fn move_services(&mut self) {
        let moving = self
            .cache
            .machines()
            .any(|(_, m, _)| m.bookings.iter().any(|b| b.stop.is_some()));
        if self.waiting_work || self.cache.hires().next().is_some() {
            self.quiet_since = self.now;
        }
        if moving
            || self.waiting_work
            || !self.may_write()
            || self.now < self.moved_at + MOVE_GAP_MS
        {
            return;
        }
        self.moved_at = self.now;
        let draining = self
            .cache
            .machines()
            .find(|(_, m, _)| {
                m.phase == MachinePhase::Draining && m.bookings.iter().any(|b| self.movable(b))
            })
            .map(|(id, _, _)| id.to_string());
        let mut draft = Draft::new(&self.cache);
        if let Some(id) = draining {
            let Some(mut machine) = draft.machine(&id) else {
                return;
            };
            let Some(at) = machine.bookings.iter().position(|b| self.movable(b)) else {
                return;
            };
            machine.bookings[at].stop = Some("moved".into());
            let task = machine.bookings[at].task();
            draft.put(Key::Machine(id.clone()), Record::Machine(machine));
            let txn = draft.finish();
            self.writing = true;
            self.commit(txn, Purpose::Stop(vec![(id, task)]), Priority::Claim);
        } else if self.now >= self.quiet_since + DISPENSABLE_AFTER_MS {
            let now = self.now;
            let old = |id: &str| {
                self.up_since
                    .get(id)
                    .is_some_and(|at| now >= at + DISPENSABLE_AFTER_MS)
            };
            let Some(id) = capacity::dispensable(&self.cache, &self.types, old) else {
                return;
            };
            let Some(mut machine) = draft.machine(&id) else {
                return;
            };
            tracing::info!(machine = id, bookings = machine.bookings.len(), "emptying");
            machine.phase = MachinePhase::Draining;
            draft.put(Key::Machine(id), Record::Machine(machine));
            let txn = draft.finish();
            self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
        }
    }

    fn movable(&self, b: &Booking) -> bool {
        b.stop.is_none()
            && self
                .cache
                .open_job(&b.job)
                .is_some_and(|s| s.shape == Shape::Service)
    }

    // ---- Lookup --------------------------------------------------------------------

    fn look_up(&mut self) {
        let due = self.lookup_wanted || self.now >= self.lookup_at;
        if !due || !self.may_write() || !self.state_ok() || !self.settled() || self.types.is_empty()
        {
            return;
        }
        self.lookup_wanted = false;
        let jitter = self.rng.gen_range(0..POLL_MS / 4);
        self.lookup_at = self.now + POLL_MS + jitter;
        let mut work = lookup::waiting(&self.cache, &self.settings, self.wall);
        self.waiting_work = !work.is_empty();
        if work.is_empty() {
            return;
        }
        let mut machines: Vec<Candidate> = Vec::new();
        for (id, m, stamp) in self.cache.machines() {
            if m.phase != MachinePhase::Up
                || self.busy_machines.contains(id)
                || !self.recently_heard(id)
            {
                continue;
            }
            let Some(kind) = self.types.get(&m.type_name) else {
                continue;
            };
            machines.push(Candidate {
                id: id.to_string(),
                room: kind.room.less(&m.used()),
                stamp,
                carrier: self.carrier(id, m),
            });
        }
        let plan = lookup::plan(
            &self.cache,
            &self.settings,
            &self.types,
            &mut work,
            &mut machines,
            self.wall,
        );
        let full = plan.full;
        if !plan.claimed.is_empty() {
            self.writing = true;
            self.commit(plan.txn, Purpose::Lookup(plan.claimed), Priority::Claim);
        }
        if !full {
            work.retain(|w| !w.indices.is_empty());
            self.preempt(&work);
            self.rent(&work);
        }
    }

    /// Stops work of lower rank for what found no room.
    fn preempt(&mut self, work: &[lookup::Waiting]) {
        if work.is_empty() || !self.may_write() || self.now < self.preempted_at + PREEMPT_GAP_MS {
            return;
        }
        let ripe: Vec<lookup::Waiting> = work
            .iter()
            .filter(|w| self.wall >= w.at + PREEMPT_AFTER_MS)
            .cloned()
            .collect();
        if ripe.is_empty() {
            // What is too fresh is looked at again soon.
            self.lookup_at = self.lookup_at.min(self.now + PREEMPT_AFTER_MS);
            return;
        }
        let now = self.now;
        let age = |attempt: u64| {
            let at = self.epochs.partition_point(|(e, _)| *e <= attempt);
            match self.epochs.get(at) {
                _ if at == 0 => Millis::MAX,
                Some((_, t)) => now - t,
                None => 0,
            }
        };
        let usable = |id: &str| self.recently_heard(id) && !self.busy_machines.contains(id);
        let stops = preempt::victims(&self.cache, &self.types, &ripe, usable, age);
        let mut draft = Draft::new(&self.cache);
        let mut chosen = Vec::new();
        for (id, task) in stops {
            let mark = draft.save();
            let Some(mut machine) = draft.machine(&id) else {
                continue;
            };
            let Some(b) = machine.bookings.iter_mut().find(|b| b.task() == task) else {
                continue;
            };
            b.stop = Some("preempted".into());
            draft.put(Key::Machine(id.clone()), Record::Machine(machine));
            if !draft.within(self.settings.txn_ops) {
                draft.restore(mark);
                break;
            }
            chosen.push((id, task));
        }
        if chosen.is_empty() {
            return;
        }
        self.preempted_at = self.now;
        let txn = draft.finish();
        self.writing = true;
        self.commit(txn, Purpose::Stop(chosen), Priority::Claim);
    }

    fn rent(&mut self, work: &[lookup::Waiting]) {
        if work.is_empty() || self.hire_busy {
            return;
        }
        let wishes = capacity::wishes(&self.cache, &self.types, work, self.wall);
        if wishes.is_empty() {
            for w in work.iter().take(3) {
                tracing::debug!(job = w.job, tasks = w.indices.len(), "waits for a machine");
            }
            return;
        }
        let mut draft = Draft::new(&self.cache);
        let mut fleet = match draft.read(&Key::Fleet) {
            Some(Record::Fleet(f)) => f,
            _ => FleetRecord::default(),
        };
        let mut hires = Vec::new();
        for wish in wishes.into_iter().take(HIRES_AT_ONCE) {
            let n = fleet.next;
            fleet.next += 1;
            hires.push(n);
            draft.put(
                Key::Hire(n),
                Record::Hire(HireRecord {
                    type_name: wish.type_name,
                    zone: wish.zone,
                    spot: wish.spot,
                    count: wish.count.min(HIRE_MAX),
                    node: self.settings.node.clone(),
                    at: self.wall,
                }),
            );
        }
        draft.put(Key::Fleet, Record::Fleet(fleet));
        let txn = draft.finish();
        self.hire_busy = true;
        self.commit(txn, Purpose::NewHires(hires), Priority::Claim);
    }

    // ---- Time ----------------------------------------------------------------------

    fn tick(&mut self) {
        self.tick_asks();
        self.tick_held();
        if self.now < self.last_house + TICK_MS {
            return;
        }
        self.last_house = self.now;
        if self.now >= self.last_beat + PEER_BEAT_MS {
            self.last_beat = self.now;
            let heard = self
                .heard
                .iter()
                .filter(|(_, h)| self.now - h.at < self.settings.lease_ms * 2)
                .map(|(id, h)| (id.clone(), h.session, h.tally, self.now - h.at))
                .collect();
            self.emit(Effect::Beat(Beat {
                node: self.settings.node.clone(),
                state_ok: self.state_ok(),
                heard,
            }));
        }
        if !self.loaded && !self.load_busy {
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
        if !self.state_ok() {
            return;
        }
        if self
            .trailing_since
            .is_some_and(|at| self.now >= at + WATCH_TRAIL_MS)
        {
            tracing::info!(epoch = self.cache.epoch, "the watch trails: opened anew");
            self.trailing_since = Some(self.now);
            self.emit(Effect::Watch {
                since: self.cache.epoch,
            });
        }
        if self.cache.term().is_none() && !self.term_busy {
            let mut draft = Draft::new(&self.cache);
            draft.put(Key::Term, Record::Term(TermRecord { term: 1 }));
            let txn = draft.finish();
            self.term_busy = true;
            self.commit(txn, Purpose::Term, Priority::User);
        }
        if self.now >= self.forgot_at + FORGET_MS {
            self.forgot_at = self.now;
            self.forget_old();
        }
        self.bury();
        self.judge_machines();
        self.finish_jobs();
        self.retry_hires();
        if self.on_duty() {
            self.send_delete();
            if self.now >= self.list_at && !self.list_busy {
                self.list_at = self.now + LIST_MS;
                self.list_busy = true;
                self.cloud(CloudOp::List { after: None }, Purpose::Hosts);
            }
            self.sweep();
            self.move_services();
        }
    }

    fn last_types_try(&self) -> Millis {
        // The client answers `Failed` after its own pause, so tries are spaced there.
        self.started
    }

    fn retry_hires(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let live: BTreeSet<u64> = self.cache.hires().map(|(n, _, _)| *n).collect();
        self.hire_tried.retain(|n, _| live.contains(n));
        for (n, h, _) in self.cache.hires() {
            let patience = if h.node == self.settings.node {
                HIRE_RETRY_MS
            } else {
                HIRE_RETRY_MS * 2 + self.settings.node_index() * NODE_STAGGER_MS
            };
            let since = *self.seen_since.entry(Key::Hire(*n)).or_insert(now);
            let last = self.hire_tried.get(n).copied().unwrap_or(since);
            if now >= last + patience {
                due.push(*n);
            }
        }
        for n in due {
            self.send_hire(n);
        }
    }

    /// A job of several chunks is done once all of them are; a done chunk never changes.
    fn finish_jobs(&mut self) {
        let mut due = Vec::new();
        for (id, job, _) in self.cache.jobs() {
            if job.phase != Phase::Open || job.chunks() <= 1 || self.finishing.contains(id) {
                continue;
            }
            let mut chunks = 0;
            let all = self.cache.chunks_of(id).all(|(_, c)| {
                chunks += 1;
                c.tasks.iter().all(|t| *t == TaskState::Done)
            });
            if all && chunks == job.chunks() {
                due.push((id.to_string(), job.over(Phase::Done, self.wall)));
            }
        }
        for (id, over) in due {
            let mut draft = Draft::new(&self.cache);
            draft.put(Key::Job(id.clone()), Record::Job(over));
            let txn = draft.finish();
            self.finishing.insert(id.clone());
            self.commit(txn, Purpose::Finish(id), Priority::Result);
        }
    }

    /// Removes chunks and places of jobs that are over.
    fn sweep(&mut self) {
        if self.sweep_busy {
            return;
        }
        let mut draft = Draft::new(&self.cache);
        for (job, n) in self.cache.chunk_keys() {
            if draft.ops() >= self.settings.txn_ops / 2 {
                break;
            }
            if self.cache.job(job).is_some_and(|j| j.phase != Phase::Open) {
                draft.remove(Key::Chunk(job.clone(), n));
            }
        }
        for (job, _, _) in self.cache.places() {
            if draft.ops() < self.settings.txn_ops / 2
                && self.cache.job(job).is_some_and(|j| j.phase != Phase::Open)
            {
                draft.remove(Key::Place(job.to_string()));
            }
        }
        if !draft.is_empty() {
            let txn = draft.finish();
            self.sweep_busy = true;
            self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
        }
    }

    /// Forgets what belongs to machines that are gone.
    fn forget_old(&mut self) {
        let cache = &self.cache;
        self.seen_since.retain(|k, _| cache.get(k).is_some());
        self.heard
            .retain(|id, h| cache.machine(id).is_some() || self.now.saturating_sub(h.at) < 60_000);
        self.told.retain(|id, _| cache.machine(id).is_some());
        self.idle_since.retain(|id, _| cache.machine(id).is_some());
        self.up_since.retain(|id, _| cache.machine(id).is_some());
        self.command_failed
            .retain(|id, _| cache.machine(id).is_some());
        self.unreached.retain(|id, _| cache.machine(id).is_some());
        self.asked_at.retain(|id, _| cache.machine(id).is_some());
        self.missing_since
            .retain(|(id, ..), _| cache.machine(id).is_some());
        self.delete_tried
            .retain(|id, _| cache.machine(id).is_some());
    }
}
