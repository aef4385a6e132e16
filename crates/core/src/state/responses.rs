//! Responses of the state service: each kind of pending operation handles its own.

use crate::constants::{PROVISION_RETRY_MS, PROVISION_RETRY_SOON_MS};
use crate::controller::{
    ClaimedTask, Controller, OperationId, PendingOperation, RequestId, StateResponse,
};
use crate::model::Millis;
use crate::state::formats;
use crate::state::list_watch::ChangeOrigin;
use crate::state::{CasTransaction, JobPhase, Key, Record};

/// After instance requests that could not be written: milliseconds until the next scheduling pass.
const INSTANCE_REQUEST_RETRY_PASS_MS: Millis = 200;

impl Controller {
    /// Handles the outcome of an operation that was sent to the state service. One that is not
    /// outstanding any more is ignored.
    pub(crate) fn handle_state_response(
        &mut self,
        operation: OperationId,
        response: StateResponse,
    ) {
        let Some((purpose, transaction)) = self.operations.outstanding.remove(&operation) else {
            return;
        };
        self.note_response_time(operation, &response);
        if let Some(transaction) = &transaction {
            self.apply_outcome(&purpose, transaction, &response);
        }
        self.complete_operation(operation, purpose, response);
    }

    /// The state service was reached, unless the operation is older than the last pause.
    fn note_response_time(&mut self, operation: OperationId, response: &StateResponse) {
        match response {
            StateResponse::Unavailable | StateResponse::NoAnswer => {}
            _ if operation < self.lifecycle.first_operation_since_resume => {}
            _ => self.list_watch.last_response_at = Some(self.now),
        }
    }

    /// What holds for each transaction, whatever it was for.
    fn apply_outcome(
        &mut self,
        purpose: &PendingOperation,
        transaction: &CasTransaction,
        response: &StateResponse,
    ) {
        match response {
            StateResponse::Committed { revision } => {
                self.apply_committed(transaction, *revision);
                return;
            }
            StateResponse::Refused => self.handle_refused_transaction(purpose, transaction),
            StateResponse::Conflict { .. } => self.metrics.conflicts += 1,
            _ => {}
        }
        tracing::debug!(?purpose, ?response, "transaction not committed");
    }

    fn apply_committed(&mut self, transaction: &CasTransaction, revision: u64) {
        // What the watch has passed is in the cache, with all later changes. Applied once more, a
        // record that was removed since would be in the cache again, for good.
        let is_behind_watch = revision <= self.cache.revision;
        for (key, record) in &transaction.changes {
            if let (Key::Job(job), Some(Record::Job(record))) = (key, record) {
                if record.phase == JobPhase::Done {
                    let duration_ms = self.wall.saturating_sub(record.at);
                    tracing::info!(job, tasks = record.tasks, duration_ms, "job completed");
                }
            }
        }
        if is_behind_watch {
            return;
        }
        for (key, record) in &transaction.changes {
            self.apply(
                key.clone(),
                revision,
                record.clone(),
                ChangeOrigin::OwnTransaction,
            );
        }
    }

    fn complete_operation(
        &mut self,
        operation: OperationId,
        purpose: PendingOperation,
        response: StateResponse,
    ) {
        let committed = matches!(response, StateResponse::Committed { .. });
        match purpose {
            PendingOperation::ReadIndex => self.read_index_completed(operation, response),
            PendingOperation::List { round } => self.list_page_received(round, response),
            PendingOperation::UserRequest(request) => {
                self.user_request_written(request, &response);
            }
            PendingOperation::WriteResults {
                machines_to_start: reply_start,
                deprovisions_machines: returning,
                ended_attempts: released,
            } => {
                self.assignment_write_finished(operation, &response);
                if committed {
                    self.count_runs(released);
                }
                self.results_written(reply_start, returning, committed);
            }
            PendingOperation::Claim(claimed) => {
                self.assignment_write_finished(operation, &response);
                self.claim_written(&claimed, committed);
            }
            PendingOperation::Stop(stops) => {
                self.assignment_write_finished(operation, &response);
                for (machine, task) in stops.iter().filter(|_| committed) {
                    self.send_stop(machine, task);
                }
            }
            PendingOperation::CreateInstanceRequests(numbers) => {
                self.instance_requests_written(numbers, committed);
            }
            PendingOperation::RecordProvisioned(number) => {
                self.provisioned_written(number, committed);
            }
            PendingOperation::RemoveInstanceRequest(number) => {
                self.provisioning.removing_requests.remove(&number);
            }
            PendingOperation::RecordRunTimes(class, batches) => {
                self.run_times_recorded(class, batches, &response);
            }
            PendingOperation::FinishJob(job) => {
                self.cleanup.finishing.remove(&job);
            }
            PendingOperation::CancelDependents(jobs) => {
                self.dependents_cancellation_written(&jobs, committed);
            }
            PendingOperation::RecordFormat => self.upgrade.format_in_flight = false,
            PendingOperation::ConfirmCancellations => self.upgrade.confirmation_in_flight = false,
            PendingOperation::EnableConfiguration => {
                self.upgrade.configuration_enabling_in_flight = false
            }
            PendingOperation::RecordObservedVersion => {
                self.configuration.version_recording_finished()
            }
            PendingOperation::RemoveObsolete => self.cleanup.removal_in_flight = false,
            PendingOperation::Term => self.upgrade.term_in_flight = false,
            // Operations of the cloud: they have responses of their own.
            PendingOperation::Provision(_)
            | PendingOperation::Deprovision(_)
            | PendingOperation::MachineTypes
            | PendingOperation::Instances => {}
        }
    }

    fn user_request_written(&mut self, request: RequestId, response: &StateResponse) {
        if *response == StateResponse::Refused {
            let reply = self.later();
            self.answer(request, reply);
            return;
        }
        let committed = matches!(response, StateResponse::Committed { .. });
        self.request_committed(request, committed);
    }

    fn claim_written(&mut self, claimed: &[ClaimedTask], committed: bool) {
        if committed {
            for claim in claimed {
                let (task, machine) = (&claim.task, &claim.machine);
                self.workers.starts.answered(task, claim.attempt);
                tracing::info!(%task, machine, "task claimed");
                let accepted_at = self.cache.job(&task.job).map_or(self.wall, |job| job.at);
                let waited_ms = self.wall.saturating_sub(accepted_at);
                self.metrics
                    .claimed(task, claim.attempt, waited_ms, self.now);
            }
            self.send_starts(claimed);
        } else {
            // Another controller won, or the outcome is unknown: the next pass decides anew, once
            // the watch shows which.
            tracing::debug!(tasks = claimed.len(), "claim not committed");
        }
        self.scheduling.pass_requested = true;
    }

    fn instance_requests_written(&mut self, numbers: Vec<u64>, committed: bool) {
        self.provisioning.request_creation_in_flight = false;
        if !committed {
            let at = self.now + INSTANCE_REQUEST_RETRY_PASS_MS;
            self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(at);
            return;
        }
        // The watch may have shown some of them before this response; these are under way.
        let in_flight = &self.provisioning.requests_in_flight;
        let unsent: Vec<u64> = numbers
            .into_iter()
            .filter(|number| !in_flight.contains(number))
            .collect();
        for number in unsent {
            self.send_instance_request(number);
        }
    }

    fn provisioned_written(&mut self, number: u64, committed: bool) {
        if committed {
            // What the cloud refused for this request is to be requested elsewhere.
            self.scheduling.pass_requested = true;
            return;
        }
        // The cloud answers a repeated request of the same name as it did the first: it is sent
        // again soon. Shortly after a start the time is less than the usual pause.
        let tried_at = (self.now + PROVISION_RETRY_SOON_MS).saturating_sub(PROVISION_RETRY_MS);
        self.provisioning.request_tried_at.insert(number, tried_at);
    }

    fn dependents_cancellation_written(&mut self, jobs: &[String], committed: bool) {
        self.cleanup.dependents_cancellation_in_flight = false;
        for job in jobs.iter().filter(|_| committed) {
            tracing::info!(job, "job cancelled with its dependency");
        }
    }

    /// The state service refused a transaction as malformed: a record has most likely outgrown its
    /// limit. The largest one is logged and not written again until somebody has changed it, so
    /// that the same transaction is not sent for ever, and the others in it are written.
    fn handle_refused_transaction(
        &mut self,
        purpose: &PendingOperation,
        transaction: &CasTransaction,
    ) {
        let stored_bytes = |record: &Option<Record>| {
            let record = record.as_ref();
            record.map_or(0, |r| formats::stored_bytes(r, transaction.format))
        };
        let sizes = transaction.changes.iter();
        let sizes = sizes.map(|(key, record)| (stored_bytes(record), key));
        let Some((bytes, key)) = sizes.max_by_key(|(bytes, _)| *bytes) else {
            return;
        };
        let (changes, path) = (transaction.changes.len(), key.path());
        tracing::error!(?purpose, changes, key = path, bytes, "transaction refused");
        if matches!(key, Key::Chunk(..) | Key::Machine(_)) {
            self.cache.mark_refused(key.clone());
        }
    }

    /// An operation has had no response for long. It may take effect seconds later, and nothing
    /// waits for that: assignments are written anew, and a user's request is read and decided anew.
    /// Whatever is sent instead is conditional on the same revisions, so only one of them commits.
    pub(crate) fn handle_state_timeout(&mut self, operation: OperationId) {
        if !self.settings.checks.unanswered {
            return;
        }
        match self.operations.outstanding.get(&operation) {
            Some((PendingOperation::UserRequest(request), _)) => {
                let request = *request;
                let is_open = self.requests.open.contains_key(&request);
                if is_open && !self.reads.unissued.contains(&request) {
                    self.reads.unissued.push(request);
                }
            }
            Some((PendingOperation::Claim(claimed), _)) => {
                for claim in claimed {
                    let starts = &mut self.workers.starts;
                    starts.doubt(self.now, &claim.task, claim.attempt, &claim.machine);
                }
            }
            _ => {}
        }
        if self.writes.assignment_write == Some(operation) {
            self.writes.assignment_write = None;
        }
    }
}
