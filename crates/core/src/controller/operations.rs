//! Operations outside of the core that wait for an outcome.

use crate::constants::THROTTLE_PERIOD_MS;
use crate::controller::{
    CloudOperation, Controller, Effect, OperationId, RequestClass, RequestId, StateOperation,
};
use crate::model::TaskId;
use crate::state::CasTransaction;
use foldhash::{HashMap, HashMapExt};
use glenmount_runtime_estimates::book::ClassId;
use glenmount_runtime_estimates::history::Batch;

/// What an outstanding operation is for.
#[derive(Clone, Debug)]
pub(crate) enum PendingOperation {
    /// Reads the state service's current revision, so that what waits for a linearizable read can be answered.
    ReadIndex,
    /// Reads a page of all records.
    List {
        /// Which list the page belongs to: pages of an earlier one are dropped.
        round: u64,
    },
    /// Commits a submission or cancellation.
    UserRequest(RequestId),
    /// Writes evidence back: ends of attempts, starts in replies, machines.
    WriteResults {
        /// Machines whose held heartbeats are answered with a start once it has committed.
        reply_start: Vec<String>,
        /// It marks machines for deprovisioning.
        returning: bool,
        /// Attempts whose end it records.
        released: Vec<(TaskId, u64)>,
    },
    /// Records runs of a class.
    RecordRunTimes(ClassId, Vec<Batch>),
    /// Claims tasks for machines.
    Claim(Vec<ClaimedTask>),
    /// Records instance requests before their names are used.
    CreateInstanceRequests(Vec<u64>),
    /// Asks the cloud for the instances of a recorded request.
    Provision(u64),
    /// Records which instances a request brought.
    RecordProvisioned(u64),
    /// Removes a request whose instances all have records of their own.
    RemoveInstanceRequest(u64),
    /// Marks tasks to be stopped, by machine.
    Stop(Vec<(String, TaskId)>),
    /// Asks the cloud to delete machines.
    Deprovision(Vec<String>),
    /// Records that a job is done.
    FinishJob(String),
    /// Cancels jobs that need a cancelled one.
    CancelDependents(Vec<String>),
    /// Records which storage format this controller reads.
    RecordFormat,
    /// Records that cancellations are confirmed from now on only when nothing is left of the job.
    ConfirmCancellations,
    /// Records that configurations may be on record.
    EnableConfiguration,
    /// Records which configuration this controller follows.
    RecordObservedVersion,
    /// Removes records that nothing needs any more.
    RemoveObsolete,
    /// Reads the cloud's machine types, or records them.
    MachineTypes,
    /// Lists the cloud's instances.
    Instances,
    /// Records the first term.
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

impl Controller {
    /// Adds an effect to those of the event that is handled.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    /// Gives a new operation its id, and keeps what its outcome is for.
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

    /// Commits changes of assignments, one transaction after another.
    pub(crate) fn commit_assignments(
        &mut self,
        transaction: CasTransaction,
        pending: PendingOperation,
        request_class: RequestClass,
    ) {
        self.writes.assignment_write = Some(self.commit(transaction, pending, request_class));
    }

    /// Sends a transaction to the state service.
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
            token: id,
            op: StateOperation::Transaction(transaction),
            request_class,
        });
        id
    }

    /// Sends a request to the cloud.
    pub(crate) fn send_to_cloud(&mut self, op: CloudOperation, pending: PendingOperation) {
        self.metrics.cloud_requests += 1;
        let id = self.track_operation(pending, None);
        self.emit(Effect::Cloud { token: id, op });
    }

    /// Changes that may be sent to the state service now. The share of peers that do not
    /// reach it goes to the others.
    pub(crate) fn changes_left(&mut self) -> usize {
        let all = self.settings.controllers.len();
        // A silent peer most likely is paused or is down. Should it only be the link that
        // is cut, the service says that too much is asked, and its share is its own again.
        let silent = match self.writes.throttled_at {
            Some(at) if self.now < at + THROTTLE_PERIOD_MS => 0,
            _ => all - 1 - self.peers.serving(self.now).min(all - 1),
        };
        let cut = self
            .fresh_peers()
            .filter(|s| !s.heartbeat.has_current_state)
            .count();
        let idle = cut + silent;
        let times = all as f64 / all.saturating_sub(idle).max(1) as f64;
        self.writes.budget.available(self.now, times)
    }
}
