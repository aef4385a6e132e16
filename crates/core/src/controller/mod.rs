//! A controller: takes events, keeps the state cache, and emits effects.

mod readiness;

use crate::configuration::Configuration;
use crate::constants::*;
use crate::jobs::admission::AdmissionControl;
use crate::jobs::requests::UserRequest;
use crate::metrics::Stats;
use crate::model::*;
use crate::peers::tracker::{Peer, PeerTracker};
use crate::run_times::Learned;
use crate::scheduling::placement::CachedQueueOrder;
use crate::scheduling::rescheduling::Moves;
use crate::settings::*;
use crate::state::formats::{self, FormatRecord};
use crate::state::sync::ListProgress;
use crate::state::*;
use crate::token_bucket::TokenBucket;
use crate::workers::heartbeats::{HeldHeartbeat, MachineUpdate};
use crate::workers::observations::MachineObservations;
use crate::workers::reachability::WorkerReachability;
use crate::workers::results::EndedAttempt;
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
pub type OperationId = u64;

/// Ranks work for the state service, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    User,
    Result,
    Claim,
    Housekeeping,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateOperation {
    Transaction(CasTransaction),
    /// A cheap read that tells the current revision.
    ReadIndex,
    List {
        after: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateResponse {
    Committed {
        revision: u64,
    },
    Conflict {
        revision: u64,
    },
    ReadIndex {
        revision: u64,
    },
    Listed {
        items: Vec<(Key, u64, Record)>,
        last: Option<String>,
        more: bool,
        revision: u64,
    },
    /// Malformed: a fault of this program.
    Refused,
    /// Certainly not executed.
    Unavailable,
    /// May have been executed, or may yet be.
    NoAnswer,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudOperation {
    Types,
    Provision {
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
pub enum CloudResponse {
    Types(Vec<MachineType>),
    Provisioned(Vec<String>),
    NoCapacity,
    Deleted,
    Instances {
        instances: Vec<CloudInstance>,
        more: bool,
    },
    Failed,
}

/// What controllers tell one another, twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    #[serde(rename = "node")]
    pub controller: String,
    /// The time of day at which it was made.
    pub at: WallMs,
    /// Whether it reaches the state service and holds current records.
    #[serde(rename = "state_ok")]
    pub has_current_state: bool,
    /// Whether workers reach it, as far as it knows.
    #[serde(rename = "workers_ok")]
    pub workers_reachable: bool,
    /// Machines it heard of: name, incarnation, sequence number, milliseconds ago.
    pub heard: Vec<(String, u64, u64, u64)>,
    /// It has just started: peers tell it, once, what they remember of images.
    #[serde(rename = "young")]
    pub just_started: bool,
    pub images: Vec<(String, Vec<(String, f64)>)>,
    /// Left out until every controller reads frames that are longer than those of format 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ControllerStatus>,
}

/// What a controller says of itself beyond that.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The time of day at which its process began: tells its lives apart.
    pub life: WallMs,
    /// Counts its heartbeats.
    pub count: u64,
    /// The revision that its copy has reached, and its term.
    pub revision: u64,
    pub term: u64,
    /// Operations without an answer.
    pub under_way: u32,
    /// Milliseconds by which its clock ticks late, on the whole.
    #[serde(rename = "late_ms")]
    pub tick_delay_ms: u32,
    /// Machines that report to it.
    pub reports: u32,
    /// Peers whose last heartbeats it has not missed.
    #[serde(rename = "hears")]
    pub heard_peers: Vec<String>,
    /// The version of the configuration that it decides by; 0: that of the settings file.
    pub configuration: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Accepted,
    /// It answered, but refused: the machine lives.
    Refused,
    /// There was no answer in time.
    NoAnswer,
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
    WorkerHeartbeat {
        request: RequestId,
        report: Box<WorkerHeartbeat>,
    },
    State {
        token: OperationId,
        answer: StateResponse,
    },
    /// A transaction was sent a good while ago and has no answer, though one may yet come.
    StateTimeout {
        token: OperationId,
    },
    /// Changes up to a revision, in order.
    WatchUpdate {
        revision: u64,
        changes: Vec<(Key, u64, Option<Record>)>,
    },
    /// The state service refused something for being asked too much; it will be sent again.
    Throttled,
    /// The watch can't go on from where it stood: the records must be read again.
    WatchGap,
    Cloud {
        token: OperationId,
        answer: CloudResponse,
    },
    PeerHeartbeat(PeerHeartbeat),
    /// The connection by which a peer told its heartbeats ended, and it has no other.
    LinkEnded {
        controller: String,
    },
    /// The process is asked to end.
    Shutdown,
    /// What became of a direct command.
    CommandResult {
        machine: String,
        reach: CommandOutcome,
        /// The worker's report after the commands, where it was read.
        report: Option<Box<WorkerHeartbeat>>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum UserReply {
    Accepted {
        job: String,
    },
    Status {
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
    Rejected(String),
    RetryAfter {
        after_s: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    Commands {
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    Redirect {
        controller: Option<String>,
    },
    Unavailable,
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
        token: OperationId,
        op: StateOperation,
        request_class: RequestClass,
    },
    Cloud {
        token: OperationId,
        op: CloudOperation,
    },
    /// Follow changes from this revision on, giving up any watch that is open.
    Watch {
        since: u64,
    },
    PeerHeartbeat(PeerHeartbeat),
    /// One direct command to a worker, never repeated.
    Command {
        machine: String,
        address: String,
        incarnation: u64,
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// Nothing is left to do before the process ends.
    Exit,
}

/// What an outstanding operation is for.
#[derive(Clone, Debug)]
pub(crate) enum PendingOperation {
    ReadIndex,
    List {
        round: u64,
    },
    UserRequest(RequestId),
    WriteResults {
        reply_start: Vec<String>,
        returning: bool,
        /// Attempts whose end it records.
        released: Vec<(TaskId, u64)>,
    },
    /// Records runs of a class.
    RecordRunTimes(ClassId, Vec<Batch>),
    Claim(Vec<ClaimedTask>),
    CreateInstanceRequests(Vec<u64>),
    Provision(u64),
    RecordProvisioned(u64),
    RemoveInstanceRequest(u64),
    Stop(Vec<(String, TaskId)>),
    Deprovision(Vec<String>),
    FinishJob(String),
    /// Cancels jobs that need a cancelled one.
    CancelDependents(Vec<String>),
    RecordFormat,
    ConfirmCancellations,
    EnableConfiguration,
    /// Says which configuration this controller follows.
    RecordObservedVersion,
    RemoveObsolete,
    MachineTypes,
    Instances,
    Term,
}

/// A task that a transaction claims: under which attempt, for which machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub machine: String,
}

#[derive(Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub at: Millis,
    pub incarnation: u64,
    pub sequence: u64,
}

/// Machines that were deleted lately, so that a late report does not bring them back.
#[derive(Default)]
pub(crate) struct RecentlyDeleted {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl RecentlyDeleted {
    pub fn contains(&self, id: &str) -> bool {
        self.names.contains(id)
    }
    pub fn push(&mut self, id: String) {
        if self.names.insert(id.clone()) {
            self.order.push_back(id);
        }
        if self.order.len() > DELETED_MACHINES_KEPT {
            if let Some(old) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
    }
}

/// What a controller still has to put on record after an upgrade, and whether it is on its way.
#[derive(Debug, Default)]
pub(crate) struct Upgrade {
    pub format_busy: bool,
    pub settle_busy: bool,
    pub configurable_busy: bool,
    /// The common format, and the controllers that lack the latest, as last logged.
    pub format_logged: Option<(u32, usize)>,
}

pub struct Controller {
    pub settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) wall: WallMs,
    pub(crate) started: Millis,
    /// When it last went on after a pause; its start, if it never did.
    pub(crate) resumed_at: Millis,
    /// Its view dates from before that: no proof has been asked for and reached since.
    pub(crate) view_predates_resume: bool,
    /// Operations with lower tokens began before that: their answers say nothing of now.
    pub(crate) first_operation_since_resume: OperationId,
    pub cache: StateCache,
    pub(crate) has_listed: bool,
    pub(crate) list_progress: ListProgress,
    pub(crate) state_changed: bool,
    pub(crate) out: Vec<Effect>,
    pub(crate) next_token: OperationId,
    pub(crate) pending: HashMap<OperationId, (PendingOperation, Option<CasTransaction>)>,
    // Proof of freshness
    pub(crate) last_state_response_at: Option<Millis>,
    pub(crate) last_read_requested_at: Millis,
    pub(crate) read_index_in_flight: bool,
    pub(crate) last_read_index_at: Millis,
    pub(crate) unissued_reads: Vec<RequestId>,
    pub(crate) issued_reads: Vec<RequestId>,
    pub(crate) reads_behind_watch: Vec<(u64, OperationId, Vec<RequestId>)>,
    pub(crate) watch_lag_since: Option<Millis>,
    pub(crate) watch_opened_at: Millis,
    pub(crate) user_requests: BTreeMap<RequestId, UserRequest>,
    pub(crate) admission: AdmissionControl,
    /// Those of them that wait for the last tasks of a cancelled job to go.
    pub(crate) requests_awaiting_cancellation: BTreeSet<RequestId>,
    /// Workers that were sent to look for another controller while this one is cut off, and when.
    pub(crate) redirected_at: HashMap<String, Millis>,
    /// Zones whose machines report to this controller, and when one last did.
    pub(crate) zones_heard_at: BTreeMap<String, Millis>,
    // Machines
    pub machine_types: HashMap<String, MachineType>,
    pub(crate) machine_types_read_at: Option<Millis>,
    pub(crate) machine_types_in_flight: bool,
    pub(crate) held_heartbeats: BTreeMap<String, HeldHeartbeat>,
    pub(crate) last_heartbeats: HashMap<String, ReceivedHeartbeat>,
    pub(crate) observations: MachineObservations,
    pub(crate) peer_tracker: PeerTracker,
    pub(crate) starts_in_flight: Starts,
    /// Since when it has been asked to end.
    pub(crate) shutting_down_since: Option<Millis>,
    pub(crate) worker_reachability: WorkerReachability,
    /// When the state service last said that it was asked too much.
    pub(crate) throttled_at: Option<Millis>,
    /// Why this controller was not ready, and since when; and the same of cuts: for the log.
    pub(crate) ongoing_problems: BTreeMap<&'static str, Millis>,
    pub(crate) recently_deleted: RecentlyDeleted,
    // Zones
    pub(crate) zone_detector: Zones,
    // What waits to be recorded: see `results`
    pub(crate) results: BTreeMap<(TaskId, u64), EndedAttempt>,
    /// Tasks to be stopped so that they save, since their machine is about to be taken.
    pub(crate) checkpoints_due: BTreeSet<(TaskId, u64)>,
    pub(crate) machine_updates: BTreeMap<String, MachineUpdate>,
    pub(crate) marked_for_termination: BTreeMap<String, &'static str>,
    pub(crate) metrics: Stats,
    pub(crate) run_times: Learned,
    pub(crate) results_written_at: Millis,
    pub(crate) failures_detected_at: Millis,
    pub(crate) write_budget: TokenBucket,
    /// The next changes are a scheduling pass's: flushes and scheduling passes take turns when changes are short.
    pub(crate) pass_goes_first: bool,
    /// Changes that a flush may hold: halved by each conflict, since a failed transaction
    /// costs as many as one that took effect.
    pub(crate) max_result_changes: usize,
    /// When a task was last placed on a machine, as far as seen here.
    pub(crate) last_assigned_at: HashMap<String, Millis>,
    /// Until when machines fetch images for tasks that this controller placed there, about.
    pub(crate) fetching_until: HashMap<String, Millis>,
    pub(crate) request_known_since: HashMap<u64, Millis>,
    pub(crate) removing_requests: BTreeSet<u64>,
    /// Rental requests whose answer is awaited.
    pub(crate) requests_in_flight: BTreeSet<u64>,
    pub(crate) deletion_confirmed: BTreeSet<String>,
    pub(crate) deletion_tried_at: HashMap<String, Millis>,
    pub(crate) deletion_in_flight: bool,
    /// Listed machines that no record names, and when they were first seen.
    pub(crate) unmanaged: HashMap<String, Millis>,
    pub(crate) request_tried_at: HashMap<u64, Millis>,
    pub(crate) request_creation_in_flight: bool,
    pub(crate) finishing_jobs: BTreeSet<String>,
    // Pipelines and formats
    /// Jobs that need a cancelled one, since when that is known here, by steady time.
    pub(crate) cancelled_dependency_since: BTreeMap<String, Millis>,
    pub(crate) dependents_cancellation_in_flight: bool,
    pub(crate) upgrade: Upgrade,
    pub(crate) configuration: Configuration,
    /// Records logged as too large for a value.
    pub(crate) oversized_logged: BTreeSet<Key>,
    pub(crate) refused_records_retried_at: Millis,
    pub(crate) next_instance_list_at: Millis,
    pub(crate) instance_list_in_flight: bool,
    pub(crate) removal_in_flight: bool,
    pub(crate) term_in_flight: bool,
    // Lookup
    pub(crate) queue_order: CachedQueueOrder,
    /// Whether the last scheduling pass found anything waiting.
    pub(crate) has_pending_work: bool,
    pub(crate) last_preemption_at: Millis,
    /// Revisions and when they became known here.
    pub(crate) revision_times: VecDeque<(u64, Millis)>,
    pub(crate) idle_since: Millis,
    pub(crate) moves: Moves,
    pub(crate) pass_requested: bool,
    pub(crate) next_pass_at: Millis,
    /// The latest transaction on assignments that is on its way.
    pub(crate) assignment_write: Option<OperationId>,
    /// After a lost one: the revision the cache must have reached before the next try, and
    /// a time after which to try in any case.
    pub(crate) assignment_retry: Option<(u64, Millis)>,
    pub(crate) last_housekeeping_at: Option<Millis>,
    pub(crate) last_tick_at: Millis,
    pub(crate) last_cleanup_at: Millis,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Millis, wall: WallMs) -> Controller {
        let write_budget = TokenBucket::new(settings.write_rps, WRITE_BURST_S, now);
        let max_result_changes = settings.max_transaction_changes;
        let admitted = settings.write_rps.min(settings.next_write_rps);
        let admission = AdmissionControl::new(admitted, now);
        let mut cache = StateCache::default();
        cache.members = match settings.checks.format {
            true => settings.controllers.clone(),
            false => vec![settings.controller.clone()],
        };
        let peer_tracker = PeerTracker::new(&settings, wall);
        let configuration = Configuration::new(settings.policy.clone());
        Controller {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall,
            started: now,
            resumed_at: now,
            view_predates_resume: false,
            first_operation_since_resume: 0,
            cache,
            has_listed: false,
            list_progress: ListProgress::default(),
            state_changed: false,
            out: Vec::new(),
            next_token: 1,
            pending: HashMap::new(),
            last_state_response_at: None,
            last_read_requested_at: 0,
            read_index_in_flight: false,
            last_read_index_at: 0,
            unissued_reads: Vec::new(),
            issued_reads: Vec::new(),
            reads_behind_watch: Vec::new(),
            watch_lag_since: None,
            watch_opened_at: now,
            user_requests: BTreeMap::new(),
            admission,
            requests_awaiting_cancellation: BTreeSet::new(),
            redirected_at: HashMap::new(),
            zones_heard_at: BTreeMap::new(),
            machine_types: HashMap::new(),
            machine_types_read_at: None,
            machine_types_in_flight: false,
            held_heartbeats: BTreeMap::new(),
            last_heartbeats: HashMap::new(),
            observations: MachineObservations::new(),
            peer_tracker,
            starts_in_flight: Starts::default(),
            shutting_down_since: None,
            worker_reachability: WorkerReachability::new(now),
            throttled_at: None,
            ongoing_problems: BTreeMap::new(),
            recently_deleted: RecentlyDeleted::default(),
            zone_detector: Zones::default(),
            results: BTreeMap::new(),
            checkpoints_due: BTreeSet::new(),
            machine_updates: BTreeMap::new(),
            marked_for_termination: BTreeMap::new(),
            metrics: Stats::new(now),
            run_times: Learned::default(),
            results_written_at: 0,
            failures_detected_at: 0,
            write_budget,
            pass_goes_first: false,
            max_result_changes,
            last_assigned_at: HashMap::new(),
            fetching_until: HashMap::new(),
            request_known_since: HashMap::new(),
            removing_requests: BTreeSet::new(),
            requests_in_flight: BTreeSet::new(),
            deletion_confirmed: BTreeSet::new(),
            deletion_tried_at: HashMap::new(),
            request_tried_at: HashMap::new(),
            deletion_in_flight: false,
            unmanaged: HashMap::new(),
            request_creation_in_flight: false,
            finishing_jobs: BTreeSet::new(),
            cancelled_dependency_since: BTreeMap::new(),
            dependents_cancellation_in_flight: false,
            upgrade: Upgrade::default(),
            configuration,
            oversized_logged: BTreeSet::new(),
            refused_records_retried_at: now,
            next_instance_list_at: now + INSTANCE_LIST_INTERVAL_MS,
            instance_list_in_flight: false,
            removal_in_flight: false,
            term_in_flight: false,
            queue_order: CachedQueueOrder::default(),
            has_pending_work: false,
            last_preemption_at: now,
            revision_times: VecDeque::new(),
            idle_since: now,
            moves: Moves::new(now),
            pass_requested: false,
            next_pass_at: now,
            assignment_write: None,
            assignment_retry: None,
            last_housekeeping_at: None,
            last_tick_at: now,
            last_cleanup_at: 0,
        }
    }

    /// Takes one event at a steady time and a time of day; returns what is to be done.
    pub fn handle(&mut self, now: Millis, wall: WallMs, event: Event) -> Vec<Effect> {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.wall = wall;
        if gap >= PAUSE_MS && self.settings.checks.gap {
            self.reset_after_pause(gap);
        }
        match event {
            Event::Tick => self.tick(),
            Event::Submit { request, spec } => self.handle_submit(request, *spec),
            Event::Status { request, job } => self.handle_status(request, job),
            Event::Cancel { request, job } => self.handle_cancel(request, job),
            Event::WorkerHeartbeat { request, report } => {
                self.receive_worker_heartbeat(request, *report)
            }
            Event::State { token, answer } => self.handle_state_response(token, answer),
            Event::StateTimeout { token } => self.handle_state_timeout(token),
            Event::WatchUpdate { revision, changes } => self.watched(revision, changes),
            Event::WatchGap => self.start_list(),
            Event::Throttled => self.throttled(),
            Event::Cloud { token, answer } => self.handle_cloud_response(token, answer),
            Event::CommandResult {
                machine,
                reach,
                report,
            } => {
                self.handle_command_result(machine, reach);
                if let Some(report) = report {
                    self.process_command_response(&report);
                }
            }
            Event::PeerHeartbeat(heartbeat) => self.receive_heartbeat(heartbeat),
            Event::LinkEnded { controller } => self.link_ended(&controller),
            Event::Shutdown => self.begin_shutdown(),
        }
        self.issue_read_index();
        if std::mem::take(&mut self.state_changed) {
            self.process_early_heartbeats();
            self.confirm_cancellations();
        }
        self.write_results();
        self.run_scheduling_pass();
        std::mem::take(&mut self.out)
    }

    /// After a pause: what was held before is old, and nothing is done on the strength
    /// of it. The view counts again once a proof asked for from now on has been reached;
    /// machines are judged and placed on after a round of reports, as after a start.
    fn reset_after_pause(&mut self, gap: Millis) {
        tracing::info!(ms = gap, asks = self.user_requests.len(), "stood still");
        self.resumed_at = self.now;
        self.first_operation_since_resume = self.next_token;
        self.view_predates_resume = true;
        self.last_state_response_at = None;
        self.last_read_requested_at = 0;
        // Those who asked have given up, or are about to: they are told to come back.
        for request in self.user_requests.keys().copied().collect::<Vec<_>>() {
            let reply = self.later();
            self.answer(request, reply);
        }
        self.unissued_reads.clear();
        for (_, held) in std::mem::take(&mut self.held_heartbeats) {
            self.worker(held.request, WorkerReply::Unavailable);
        }
        // Proofs of what ended stay true. What gave reason to act on machines does not.
        self.marked_for_termination.clear();
        self.machine_updates.clear();
        self.checkpoints_due.clear();
        self.observations.reset_after_pause();
        self.starts_in_flight.reset_after_pause();
        self.unmanaged.clear();
        self.zone_detector.reset_after_pause();
        self.peer_tracker.reset_after_pause(self.now);
        self.worker_reachability.reset_after_pause();
    }

    /// The state service was asked too much. Once all controllers are upgraded its announced limits may
    /// be in force any time: from the first such answer on this controller keeps to them.
    fn throttled(&mut self) {
        self.throttled_at = Some(self.now);
        if self.cache.format() == formats::LATEST {
            self.write_budget.slow_down(self.settings.next_write_rps);
        }
    }

    /// Says once of each record that it does not fit into a value any more.
    pub(crate) fn log_oversized(&mut self, records: Vec<(Key, usize)>) {
        for (key, bytes) in records {
            if self.oversized_logged.len() < REFUSED_RECORDS_KEPT
                && self.oversized_logged.insert(key.clone())
            {
                let (key, limit) = (key.path(), self.settings.max_value_bytes);
                tracing::error!(key, bytes, limit, "a record is too large to be written");
            }
        }
    }

    /// Records which format this controller reads, and logs how far a rolling upgrade is.
    fn record_format(&mut self) {
        let format = self.cache.format();
        let old = |controller: &&String| self.cache.format_of(controller) < formats::LATEST;
        let old: Vec<&str> = (self.settings.controllers.iter().filter(old))
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
        let known = self.cache.format_of(&self.settings.controller);
        if known < formats::LATEST && !self.upgrade.format_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            let version = formats::LATEST;
            let key = Key::Format(self.settings.controller.clone());
            draft.put(key, Record::Format(FormatRecord { version }));
            let transaction = draft.finish();
            self.upgrade.format_busy = true;
            self.commit(
                transaction,
                PendingOperation::RecordFormat,
                RequestClass::User,
            );
        }
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    pub(crate) fn token(
        &mut self,
        purpose: PendingOperation,
        transaction: Option<CasTransaction>,
    ) -> OperationId {
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, (purpose, transaction));
        token
    }

    /// Commits changes of assignments, one transaction after another.
    pub(crate) fn commit_assignments(
        &mut self,
        transaction: CasTransaction,
        purpose: PendingOperation,
        request_class: RequestClass,
    ) {
        self.assignment_write = Some(self.commit(transaction, purpose, request_class));
    }

    pub(crate) fn commit(
        &mut self,
        transaction: CasTransaction,
        purpose: PendingOperation,
        request_class: RequestClass,
    ) -> OperationId {
        self.write_budget.take(transaction.changes.len());
        self.metrics.sent(&purpose, &transaction);
        let token = self.token(purpose, Some(transaction.clone()));
        self.emit(Effect::State {
            token,
            op: StateOperation::Transaction(transaction),
            request_class,
        });
        token
    }

    pub(crate) fn cloud(&mut self, op: CloudOperation, purpose: PendingOperation) {
        self.metrics.cloud += 1;
        let token = self.token(purpose, None);
        self.emit(Effect::Cloud { token, op });
    }

    /// Whether the records are known and current, and the state service answered lately.
    pub fn has_current_state(&self) -> bool {
        let trails = |at| self.now >= at + WATCH_LOST_MS;
        self.has_listed
            && !self.view_predates_resume
            && !self.watch_lag_since.is_some_and(trails)
            && self
                .last_state_response_at
                .is_some_and(|at| self.now.saturating_sub(at) <= STATE_LOST_MS)
    }

    pub(crate) fn state_age(&self) -> Millis {
        self.now - self.last_state_response_at.unwrap_or(self.started)
    }

    /// Whether sending users here helps them.
    pub fn ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// What keeps users from being sent here. While every controller has lost the state service none
    /// is better than another: leaving the balancer would only prolong the outage, and here
    /// they are at least told when to come back.
    fn not_ready(&self) -> Option<&'static str> {
        if self.shutting_down_since.is_some() {
            Some("it is about to end")
        } else if !self.has_listed {
            Some("records are not read")
        } else if self.machine_types.is_empty() {
            Some("machine types are not known")
        } else if self.cache.term().is_none() {
            Some("there is no term")
        } else if self.has_current_state() {
            let better = |s: &Peer| s.heartbeat.has_current_state && s.heartbeat.workers_reachable;
            let elsewhere = self.fresh_peers().any(better);
            (!self.workers_reachable() && elsewhere).then_some("workers do not reach it")
        } else if self.peer_with_state().is_some() {
            Some("the state service is not reached")
        } else if self.is_alone() {
            Some("neither the state service nor a sibling is reached")
        } else {
            let waking = self.view_predates_resume && self.now < self.resumed_at + PAUSE_READY_MS;
            waking.then_some("it stood still")
        }
    }

    /// Cut off from the state service and from all peers, and for longer than both may hesitate:
    /// most likely others serve users, who would poll here in vain for as long as the cut lasts.
    fn is_alone(&self) -> bool {
        self.settings.checks.alone
            && self.settings.controllers.len() > 1
            && self.fresh_peers().next().is_none()
            && self.state_age() >= ISOLATED_MS
    }

    /// Logs when a trouble that operators ask about begins and ends.
    fn log_problems(&mut self) {
        let not_ready = self.not_ready();
        let cut = self.has_listed && !self.has_current_state();
        let reasons = [
            Some("the state service is not reached").filter(|_| cut),
            Some("workers do not reach it").filter(|_| !self.workers_reachable()),
            not_ready,
        ];
        for what in reasons.into_iter().flatten() {
            if !self.ongoing_problems.contains_key(what) {
                let ready = not_ready.is_none();
                tracing::info!(what, ready, "trouble begins");
                self.ongoing_problems.insert(what, self.now);
            }
        }
        let now = self.now;
        self.ongoing_problems.retain(|what, since| {
            let lasts = reasons.contains(&Some(*what));
            if !lasts {
                tracing::info!(what, ms = now - *since, "trouble ends");
            }
            lasts
        });
    }

    pub(crate) fn fresh_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peer_tracker.fresh(self.now)
    }

    pub(crate) fn peer_with_state(&self) -> Option<String> {
        self.fresh_peers()
            .find(|s| s.heartbeat.has_current_state)
            .map(|s| s.heartbeat.controller.clone())
    }

    /// The first controller, in order of names, that reaches the state service does the
    /// housekeeping. Two doing it at once is wasteful, not wrong.
    pub(crate) fn on_duty(&self) -> bool {
        let before = self.settings.controllers.iter();
        let mut before = before.take_while(|n| **n != self.settings.controller);
        self.has_current_state() && !before.any(|n| self.peer_tracker.is_on_duty(self.now, n))
    }

    /// Changes that may be sent to the state service now. The share of peers that do not
    /// reach it goes to the others.
    pub(crate) fn changes_left(&mut self) -> usize {
        let all = self.settings.controllers.len();
        // A silent peer most likely is paused or is down. Should it only be the link that
        // is cut, the service says that too much is asked, and its share is its own again.
        let silent = match self.throttled_at {
            Some(at) if self.now < at + THROTTLED_MS => 0,
            _ => all - 1 - self.peer_tracker.serving(self.now).min(all - 1),
        };
        let cut = self
            .fresh_peers()
            .filter(|s| !s.heartbeat.has_current_state)
            .count();
        let idle = cut + silent;
        let times = all as f64 / all.saturating_sub(idle).max(1) as f64;
        self.write_budget.left(self.now, times)
    }

    // ---- Time ----------------------------------------------------------------------

    fn tick(&mut self) {
        self.peer_tracker.ticked(self.now - self.last_tick_at);
        self.last_tick_at = self.now;
        self.expire_user_requests();
        self.reply_to_held_heartbeats();
        // The first tick does all: users wait for the records to be read.
        if self
            .last_housekeeping_at
            .is_some_and(|at| self.now < at + TICK_MS)
        {
            return;
        }
        self.last_housekeeping_at = Some(self.now);
        self.log_problems();
        self.probe_partition();
        self.judge_peers();
        self.send_heartbeat();
        self.exit_if_drained();
        if !self.has_listed && !self.list_progress.busy {
            self.start_list();
        }
        if !self.machine_types_in_flight {
            let due = match self.machine_types_read_at {
                Some(at) => self.now >= at + MACHINE_TYPES_INTERVAL_MS,
                None => true,
            };
            if due
                && (self.machine_types_read_at.is_some()
                    || self.now >= self.last_machine_types_attempt())
            {
                self.machine_types_in_flight = true;
                self.cloud(CloudOperation::Types, PendingOperation::MachineTypes);
            }
        }
        let trails = self.watch_lag_since.map(|at| at.max(self.watch_opened_at));
        if self.has_listed && trails.is_some_and(|at| self.now >= at + WATCH_TRAIL_MS) {
            tracing::info!(
                revision = self.cache.revision,
                "the watch trails: opened anew"
            );
            self.watch_opened_at = self.now;
            self.emit(Effect::Watch {
                since: self.cache.revision,
            });
        }
        if !self.has_current_state() {
            return;
        }
        if self.cache.term().is_none() && !self.term_in_flight {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.put(Key::Term, Record::Term(TermRecord { term: 1 }));
            let transaction = draft.finish();
            self.term_in_flight = true;
            self.commit(transaction, PendingOperation::Term, RequestClass::User);
        }
        self.record_format();
        self.record_cancellation_confirmation();
        self.record_observed_version();
        if self.now >= self.refused_records_retried_at + REFUSED_RECORDS_RETRY_MS {
            self.refused_records_retried_at = self.now;
            self.cache.retry_refused();
        }
        if self.now >= self.last_cleanup_at + FORGET_MS {
            self.last_cleanup_at = self.now;
            if self.now >= self.started + STATS_MS {
                let (records, held) = (self.cache.len(), self.held_heartbeats.len());
                self.metrics.report(self.now, records, held);
            }
            self.forget_deleted_machines();
            self.forget_old_runs();
            for (why, heartbeats) in self.peer_tracker.dropped(self.now) {
                tracing::info!(?why, heartbeats, "beats dropped");
            }
        }
        if self.now >= self.failures_detected_at + FAILURE_DETECTION_INTERVAL_MS {
            self.failures_detected_at = self.now;
            self.detect_machine_failures();
            self.finish_jobs();
            self.cancel_overdue_dependents();
            if self.on_duty() {
                self.remove_obsolete_records();
            }
        }
        self.check_starts_of_lost_peers();
        self.fence_uncertain_claims();
        self.record_run_times();
        self.retry_instance_requests();
        self.remove_completed_requests();
        if self.on_duty() {
            self.evict_over_limits();
            self.send_deletions();
            if self.now >= self.next_instance_list_at && !self.instance_list_in_flight {
                self.next_instance_list_at = self.now + INSTANCE_LIST_INTERVAL_MS;
                self.instance_list_in_flight = true;
                self.cloud(
                    CloudOperation::List { after: None },
                    PendingOperation::Instances,
                );
            }
            self.move_services();
        }
    }

    fn last_machine_types_attempt(&self) -> Millis {
        // The client answers `Failed` after its own pause, so tries are spaced there.
        self.started
    }
}
