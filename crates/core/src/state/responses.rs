//! Handles the responses of the state store, by the kind of the pending operation.

use crate::constants::{PROVISION_FAST_RETRY_MS, PROVISION_RETRY_MS};
use crate::controller::{
    ClaimedTask, Controller, OperationId, PendingOperation, RequestId, StateResponse,
};
use crate::model::Millis;
use crate::state::formats;
use crate::state::list_watch::ChangeOrigin;
use crate::state::{CasTransaction, JobPhase, Key, Record};
use crate::workers::starts::Attempt;

/// Delay of the next scheduling pass after a transaction with instance requests that did not
/// commit.
const INSTANCE_REQUEST_RETRY_PASS_MS: Millis = 200;

impl Controller {
    /// Handles the response to an operation of the state store. Ignores a response to an operation
    /// that is no longer outstanding.
    pub(crate) fn handle_state_response(
        &mut self,
        operation: OperationId,
        response: StateResponse,
    ) {
        let Some((purpose, transaction)) = self.operations.outstanding.remove(&operation) else {
            return;
        };
        self.record_response_time(operation, &response);
        if let Some(transaction) = &transaction {
            self.apply_outcome(&purpose, transaction, &response);
        }
        self.complete_operation(operation, purpose, response);
    }

    /// Records that the state store responded now, unless the controller sent the operation before
    /// its last pause.
    fn record_response_time(&mut self, operation: OperationId, response: &StateResponse) {
        match response {
            StateResponse::Unavailable | StateResponse::NoAnswer => {}
            _ if operation < self.lifecycle.first_operation_since_resume => {}
            _ => self.list_watch.last_response_at = Some(self.now),
        }
    }

    /// Handles the outcome of a transaction as far as it is the same for all purposes: applies a
    /// committed one to the cache, counts a conflict, and handles a refusal.
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
        // The watch has already applied this transaction and all later changes up to its revision.
        // If the transaction were applied again, a record that was removed since would return to
        // the cache and stay there.
        let is_applied_by_watch = revision <= self.cache.revision;
        for (key, record) in &transaction.changes {
            if let (Key::Job(job), Some(Record::Job(record))) = (key, record) {
                if record.phase == JobPhase::Done {
                    let duration_ms = self.wall_time.saturating_sub(record.accepted_at);
                    tracing::info!(job, tasks = record.tasks, duration_ms, "job completed");
                }
            }
        }
        if is_applied_by_watch {
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
                machines_to_start,
                deprovisions_machines,
                ended_attempts,
            } => {
                self.assignment_write_finished(operation, &response);
                self.log_recorded_results(&ended_attempts, &response);
                if committed {
                    self.count_recorded_runs(ended_attempts);
                }
                self.handle_results_response(machines_to_start, deprovisions_machines, committed);
            }
            PendingOperation::Claim(claimed) => {
                self.assignment_write_finished(operation, &response);
                self.claim_written(&claimed, &response);
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
                self.finish_recording_run_times(class, batches, &response);
            }
            PendingOperation::FinishJob(job) => {
                self.cleanup.finishing_jobs.remove(&job);
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
            PendingOperation::RaiseTerm => self.workers.forgetting.raise_in_flight = false,
            // Cloud operations: the controller handles their responses elsewhere.
            PendingOperation::Provision(_)
            | PendingOperation::Deprovision(_)
            | PendingOperation::MachineTypes
            | PendingOperation::Instances => {}
        }
    }

    fn user_request_written(&mut self, request: RequestId, response: &StateResponse) {
        if *response == StateResponse::Refused {
            let reply = self.retry_later_reply();
            self.reply_to_user(request, reply);
            return;
        }
        let committed = matches!(response, StateResponse::Committed { .. });
        self.handle_request_response(request, committed);
    }

    fn log_recorded_results(&self, ended_attempts: &[Attempt], response: &StateResponse) {
        if let StateResponse::Committed { revision } = response {
            for (task, attempt) in ended_attempts {
                tracing::debug!(%task, attempt, revision, "result recorded");
            }
        }
    }

    fn claim_written(&mut self, claimed: &[ClaimedTask], response: &StateResponse) {
        if let StateResponse::Committed { revision } = response {
            for claim in claimed {
                let (task, machine) = (&claim.task, &claim.machine);
                self.workers
                    .starts
                    .record_claim_response(task, claim.attempt);
                let attempt = claim.attempt;
                tracing::info!(%task, attempt, machine, revision, "task claimed");
                let accepted_at = self
                    .cache
                    .job(&task.job)
                    .map_or(self.wall_time, |job| job.accepted_at);
                let waited_ms = self.wall_time.saturating_sub(accepted_at);
                self.metrics
                    .record_claim(task, claim.attempt, waited_ms, self.now);
            }
            self.send_starts(claimed);
        } else {
            // Another controller's transaction conflicted, or the outcome is unknown: the next pass
            // decides again, once the watch shows which.
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
        // The watch may have delivered some of the records before this response, and the controller
        // has then already sent their requests to the cloud.
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
            // A new pass requests the instances that the cloud refused from another offer.
            self.scheduling.pass_requested = true;
            return;
        }
        // Retries soon: the cloud responds to a repeated request of the same name as to the first
        // time. The subtraction saturates because shortly after a start `now` is less than the
        // usual retry interval.
        let tried_at = (self.now + PROVISION_FAST_RETRY_MS).saturating_sub(PROVISION_RETRY_MS);
        self.provisioning.request_tried_at.insert(number, tried_at);
    }

    fn dependents_cancellation_written(&mut self, jobs: &[String], committed: bool) {
        self.cleanup.dependents_cancellation_in_flight = false;
        for job in jobs.iter().filter(|_| committed) {
            tracing::info!(job, "job cancelled with its dependency");
        }
    }

    /// Handles a transaction that the state store refused as malformed, most likely because a
    /// record exceeds the size limit. Logs the largest record, and doesn't write it again until it
    /// has changed on record: otherwise the controller would send the same transaction forever, and
    /// would never write the other records in it.
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

    /// Handles an operation that had no response before its timeout. The state store may still
    /// commit it seconds later, but the controller doesn't wait: it writes assignments again, and
    /// decides a user's request again after another read. The new transaction is conditional on the
    /// same revisions, so at most one of the two commits.
    pub(crate) fn handle_state_timeout(&mut self, operation: OperationId) {
        if !self.settings.checks.unanswered_transactions {
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
                    starts.record_uncertain_claim(
                        self.now,
                        &claim.task,
                        claim.attempt,
                        &claim.machine,
                    );
                }
            }
            _ => {}
        }
        if self.writes.assignment_write == Some(operation) {
            self.writes.assignment_write = None;
        }
    }
}
