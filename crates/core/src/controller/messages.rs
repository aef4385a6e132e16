//! What a controller is told, and what it asks for: events go in, effects come out.

use crate::model::{
    CloudInstance, HeartbeatPosition, JobSpec, JobState, MachineType, Millis, WallMs,
    WorkerCommand, WorkerHeartbeat,
};
use crate::state::{CasTransaction, Key, Record};
use serde::{Deserialize, Serialize};

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
    /// Workers whose heartbeats it got lately.
    #[serde(rename = "heard")]
    pub workers: Vec<HeardWorker>,
    /// It has just started: peers tell it, once, what they remember of images.
    #[serde(rename = "young")]
    pub just_started: bool,
    pub images: Vec<(String, Vec<(String, f64)>)>,
    /// Left out until every controller reads frames that are longer than those of format 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ControllerStatus>,
}

/// A worker that a controller got a heartbeat of: the latest one, and how long ago. Four elements on the wire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(String, u64, u64, u64)")]
pub struct HeardWorker {
    pub machine: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub age_ms: Millis,
}

impl From<(String, u64, u64, u64)> for HeardWorker {
    fn from((machine, incarnation, sequence, age_ms): (String, u64, u64, u64)) -> HeardWorker {
        HeardWorker {
            machine,
            incarnation,
            sequence,
            age_ms,
        }
    }
}

impl HeardWorker {
    /// Where the heartbeat stands among its worker's.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
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
