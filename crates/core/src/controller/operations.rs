//! Outstanding operations on the state store and the cloud.

use crate::constants::THROTTLE_PERIOD_MS;
use crate::controller::{
    CloudOperation, Controller, Effect, OperationId, RequestClass, RequestId, StateOperation,
};
use crate::model::TaskId;
use crate::state::CasTransaction;
use foldhash::{HashMap, HashMapExt};
use glenmount_runtime_estimates::estimator::ClassId;
use glenmount_runtime_estimates::history::RunBatch;

/// The purpose of an outstanding operation.
#[derive(Clone, Debug)]
pub(crate) enum PendingOperation {
    /// Reads the state store's current revision, so that requests awaiting a linearizable read can be answered.
    ReadIndex,
    /// Reads a page of the list of all records.
    List {
        /// The list that the page belongs to. Pages of an earlier list are dropped.
        round: u64,
    },
    /// Commits a submission or cancellation.
    UserRequest(RequestId),
    /// Records observations from heartbeats: ends of attempts, starts to be sent in replies, machines.
    WriteResults {
        /// Machines whose held heartbeats get a start with the reply once the transaction has committed.
        machines_to_start: Vec<String>,
        /// Whether the transaction marks machines for deprovisioning.
        deprovisions_machines: bool,
        /// Attempts whose end the transaction records.
        ended_attempts: Vec<(TaskId, u64)>,
    },
    /// Records run times of a job class.
    RecordRunTimes(ClassId, Vec<RunBatch>),
    /// Claims tasks for machines.
    Claim(Vec<ClaimedTask>),
    /// Records instance requests before they are sent to the cloud under their names.
    CreateInstanceRequests(Vec<u64>),
    /// Requests the instances of a recorded instance request from the cloud.
    Provision(u64),
    /// Records which instances the cloud created for a request.
    RecordProvisioned(u64),
    /// Removes an instance request whose instances all have machine records.
    RemoveInstanceRequest(u64),
    /// Marks tasks to be stopped, with their machines.
    Stop(Vec<(String, TaskId)>),
    /// Requests the deletion of machines from the cloud.
    Deprovision(Vec<String>),
    /// Records that a job is done.
    FinishJob(String),
    /// Cancels jobs that depend on a cancelled job.
    CancelDependents(Vec<String>),
    /// Records the storage format that this controller reads.
    RecordFormat,
    /// Records that controllers confirm a cancellation only after all tasks of the job have ended.
    ConfirmCancellations,
    /// Records that configurations may be stored.
    EnableConfiguration,
    /// Records the configuration version that this controller applies.
    RecordObservedVersion,
    /// Removes obsolete records.
    RemoveObsolete,
    /// Reads the cloud's machine types, or records them.
    MachineTypes,
    /// Lists the cloud's instances.
    Instances,
    /// Records the first term.
    Term,
    /// Raises the term, so that ended attempts may be forgotten.
    RaiseTerm,
}

/// A task that a transaction claims for a machine, and the attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub machine: String,
}

/// Outstanding operations on the state store and the cloud.
pub(crate) struct OperationTracker {
    /// ID of the next operation.
    pub(crate) next_id: OperationId,
    /// Outstanding operations by ID, with the transaction of those that commit one.
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

impl Controller {
    /// Adds an effect to those of the current event.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Assigns an ID to a new operation and keeps its purpose until the response arrives.
    pub(crate) fn track_operation(
        &mut self,
        pending: PendingOperation,
        transaction: Option<CasTransaction>,
    ) -> OperationId {
        let id = self.operations.next_id;
        self.operations.next_id += 1;
        self.operations
            .outstanding
            .insert(id, (pending, transaction));
        id
    }

    /// Commits changes of assignments. One such transaction is in flight at a time.
    pub(crate) fn commit_assignments(
        &mut self,
        transaction: CasTransaction,
        pending: PendingOperation,
        request_class: RequestClass,
    ) {
        self.writes.assignment_write = Some(self.commit(transaction, pending, request_class));
    }

    /// Sends a transaction to the state store.
    pub(crate) fn commit(
        &mut self,
        transaction: CasTransaction,
        pending: PendingOperation,
        request_class: RequestClass,
    ) -> OperationId {
        self.writes.budget.consume(transaction.changes.len());
        self.metrics.record_transaction(&pending, &transaction);
        let id = self.track_operation(pending, Some(transaction.clone()));
        self.emit(Effect::State {
            operation_id: id,
            operation: StateOperation::Transaction(transaction),
            request_class,
        });
        id
    }

    /// Sends a request to the cloud.
    pub(crate) fn send_to_cloud(&mut self, operation: CloudOperation, pending: PendingOperation) {
        self.metrics.cloud_requests += 1;
        let id = self.track_operation(pending, None);
        self.emit(Effect::Cloud {
            operation_id: id,
            operation,
        });
    }

    /// Returns the number of changes that the write budget allows now. Peers that do not reach the state
    /// store leave their share of its rate limit to the others.
    pub(crate) fn changes_left(&mut self) -> usize {
        let controllers = self.settings.controllers.len();
        // A silent peer is most likely paused or down. If only the link to it is cut, both use its share
        // and the state store throttles: then this controller keeps to its own share again.
        let silent = match self.writes.throttled_at {
            Some(at) if self.now < at + THROTTLE_PERIOD_MS => 0,
            _ => controllers - 1 - self.peers.heard_count(self.now).min(controllers - 1),
        };
        let without_state = self
            .live_peers()
            .filter(|peer| !peer.heartbeat.has_current_state)
            .count();
        let not_writing = without_state + silent;
        let share_factor =
            controllers as f64 / controllers.saturating_sub(not_writing).max(1) as f64;
        self.writes.budget.available(self.now, share_factor)
    }
}
