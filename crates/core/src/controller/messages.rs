//! The interface of a controller: the events that it handles and the effects that it emits.

use crate::model::{
    CloudInstance, HeartbeatPosition, JobSpec, JobState, MachineType, Millis, WallMs,
    WorkerCommand, WorkerHeartbeat,
};
use crate::state::{CasTransaction, Key, Record};
use serde::{Deserialize, Serialize};

/// Identifies a user's or worker's request that awaits an answer or a reply.
pub type RequestId = u64;
/// Identifies an operation on the state store or the cloud that awaits a response.
pub type OperationId = u64;

/// Priority classes of requests to the state store, most urgent first.
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
    /// Reads the current revision only, which is cheap.
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
    /// The state store rejected the request as malformed, which is a bug of this program.
    Refused,
    /// The request was certainly not executed.
    Unavailable,
    /// The request may have been executed, or may still be.
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

/// The heartbeat that a controller sends to every peer twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    #[serde(rename = "node")]
    pub controller: String,
    /// Wall-clock time at which the sender created it.
    #[serde(rename = "at")]
    pub sent_at: WallMs,
    /// Whether the sender reaches the state store and its cache is current.
    #[serde(rename = "state_ok")]
    pub has_current_state: bool,
    /// Whether workers reach the sender, as far as it knows.
    #[serde(rename = "workers_ok")]
    pub workers_reachable: bool,
    /// Workers whose heartbeats the sender received recently.
    #[serde(rename = "heard")]
    pub workers: Vec<HeardWorker>,
    /// Whether the sender has just started. Peers then send it the images cached on machines, once.
    #[serde(rename = "young")]
    pub just_started: bool,
    /// Images cached on machines, with their sizes in GB, by machine.
    #[serde(rename = "images")]
    pub cached_images: Vec<(String, Vec<(String, f64)>)>,
    /// Omitted until every controller reads frames longer than those of format 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ControllerStatus>,
}

/// The latest heartbeat that a controller received from a worker. Encoded as an array of four elements.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(String, u64, u64, u64)")]
pub struct HeardWorker {
    pub machine: String,
    pub incarnation: u64,
    pub sequence: u64,
    /// Milliseconds since the controller received the heartbeat.
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
    /// Returns the position of the heartbeat in the sequence of its worker's heartbeats.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// The status of a controller, sent with its heartbeat from storage format 2 on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerStatus {
    /// Wall-clock time at which the process started. It identifies the process among those of the controller.
    #[serde(rename = "life")]
    pub process_started_at: WallMs,
    /// Sequence number of the heartbeat within the process.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// The revision of its state cache.
    pub revision: u64,
    /// The term in its state cache.
    pub term: u64,
    /// Number of operations that await a response.
    #[serde(rename = "under_way")]
    pub outstanding_operations: u32,
    /// Moving average of the delay of its ticks, in milliseconds.
    #[serde(rename = "late_ms")]
    pub tick_delay_ms: u32,
    /// Number of workers that send their heartbeats to it.
    #[serde(rename = "reports")]
    pub reporting_workers: u32,
    /// Peers whose heartbeats arrive on time.
    #[serde(rename = "hears")]
    pub heard_peers: Vec<String>,
    /// Version of the configuration in force; 0 for the one of the settings file.
    pub configuration: u64,
}

/// The outcome of a direct command to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Accepted,
    /// The worker refused the command, so the machine is up.
    Refused,
    /// The worker did not respond before the timeout.
    NoAnswer,
    /// The command was not sent, so its failure is no evidence about the machine.
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
        heartbeat: Box<WorkerHeartbeat>,
    },
    State {
        operation_id: OperationId,
        response: StateResponse,
    },
    /// A transaction got no response within the timeout. A response may still arrive.
    StateTimeout {
        operation_id: OperationId,
    },
    /// The watch delivered changes up to a revision, in order.
    WatchUpdate {
        revision: u64,
        changes: Vec<(Key, u64, Option<Record>)>,
    },
    /// The state store rejected a request because of its rate limit. The client retries it.
    Throttled,
    /// The watch can't resume from its revision, so all records must be listed again.
    WatchGap,
    Cloud {
        operation_id: OperationId,
        response: CloudResponse,
    },
    PeerHeartbeat(PeerHeartbeat),
    /// The last connection over which a peer sent heartbeats was closed.
    LinkEnded {
        controller: String,
    },
    /// The process received a request to shut down.
    Shutdown,
    /// The outcome of a direct command.
    CommandResult {
        machine: String,
        outcome: CommandOutcome,
        /// The worker's heartbeat in its response, if it was readable.
        heartbeat: Option<Box<WorkerHeartbeat>>,
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
        operation_id: OperationId,
        operation: StateOperation,
        request_class: RequestClass,
    },
    Cloud {
        operation_id: OperationId,
        operation: CloudOperation,
    },
    /// Opens a watch from this revision on and closes any watch that is open.
    Watch {
        since: u64,
    },
    PeerHeartbeat(PeerHeartbeat),
    /// Sends one request with direct commands to a worker. It is not retried.
    Command {
        machine: String,
        address: String,
        incarnation: u64,
        token: u64,
        commands: Vec<WorkerCommand>,
    },
    /// Ends the process: the graceful shutdown is complete.
    Exit,
}
