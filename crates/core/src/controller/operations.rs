//! Operations outside of the core that wait for an outcome.

use crate::controller::{OperationId, RequestId};
use crate::model::TaskId;
use crate::state::CasTransaction;
use foldhash::{HashMap, HashMapExt};
use glenmount_runtime_estimates::book::ClassId;
use glenmount_runtime_estimates::history::Batch;

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

/// Operations outside of the core that wait for an outcome.
pub(crate) struct OperationTracker {
    /// The id of the next operation.
    pub(crate) next_id: OperationId,
    /// Operations by id, with the transaction where one was sent.
    pub(crate) outstanding: HashMap<OperationId, (PendingOperation, Option<CasTransaction>)>,
}

impl OperationTracker {
    pub(crate) fn new() -> OperationTracker {
        OperationTracker {
            next_id: 1,
            outstanding: HashMap::new(),
        }
    }
}
