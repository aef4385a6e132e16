//! The state service's responses: what each kind of pending operation does with its own.

use crate::constants::{PENDING_READS_MAX, PROVISION_RETRY_MS, PROVISION_RETRY_SOON_MS};
use crate::controller::{Controller, OperationId, PendingOperation, StateResponse};
use crate::state::formats;
use crate::state::{CasTransaction, JobPhase, Key, Record};

impl Controller {
    pub(crate) fn handle_state_response(&mut self, token: OperationId, answer: StateResponse) {
        let Some((purpose, transaction)) = self.operations.outstanding.remove(&token) else {
            return;
        };
        match &answer {
            StateResponse::Unavailable | StateResponse::NoAnswer => {}
            _ if token < self.lifecycle.first_operation_since_resume => {}
            _ => self.sync.last_response_at = Some(self.now),
        }
        let committed = matches!(answer, StateResponse::Committed { .. });
        // What the watch has passed is in the cache, as is all that became of it since: a record
        // removed meanwhile would stand there again, for good.
        if let (StateResponse::Committed { revision }, Some(transaction)) = (&answer, &transaction)
        {
            let overtaken = *revision <= self.cache.revision;
            for (key, record) in &transaction.changes {
                if let (Key::Job(job), Some(Record::Job(r))) = (key, record) {
                    if r.phase == JobPhase::Done {
                        let ms = self.wall.saturating_sub(r.at);
                        tracing::info!(job, tasks = r.tasks, ms, "done");
                    }
                }
            }
            for (key, record) in transaction.changes.iter().filter(|_| !overtaken) {
                self.apply(key.clone(), *revision, record.clone(), true);
            }
        }
        if let (StateResponse::Refused, Some(transaction)) = (&answer, &transaction) {
            self.refused(&purpose, transaction);
        }
        if let (StateResponse::Conflict { .. }, true) = (&answer, transaction.is_some()) {
            self.metrics.conflicts += 1;
        }
        if transaction.is_some() && !committed {
            tracing::debug!(?purpose, ?answer, "transaction lost");
        }
        match purpose {
            PendingOperation::ReadIndex => {
                self.reads.in_flight = false;
                let requests = std::mem::take(&mut self.reads.issued);
                let waiting = self.reads.behind_watch.len();
                match answer {
                    // Read before this controller was paused: its view may have changed since.
                    _ if token < self.lifecycle.first_operation_since_resume => {}
                    StateResponse::ReadIndex { revision } => {
                        if revision > self.cache.revision && self.sync.watch_lag_since.is_none() {
                            self.sync.watch_lag_since = Some(self.now);
                        }
                        match self.reads.behind_watch.last_mut() {
                            Some(last) if last.0 == revision || waiting >= PENDING_READS_MAX => {
                                (last.0, last.1) = (last.0.max(revision), token);
                                last.2.extend(requests);
                            }
                            _ => self.reads.behind_watch.push((revision, token, requests)),
                        }
                        self.serve_caught_up_reads();
                    }
                    _ => {
                        for request in requests {
                            self.retry_read(request);
                        }
                    }
                }
            }
            PendingOperation::List { round } => {
                if round == self.sync.list.round {
                    self.take_list_page(answer);
                }
            }
            PendingOperation::UserRequest(request) if answer == StateResponse::Refused => {
                let reply = self.later();
                self.answer(request, reply);
            }
            PendingOperation::UserRequest(request) => self.request_committed(request, committed),
            PendingOperation::WriteResults {
                reply_start,
                returning,
                released,
            } => {
                self.assignment_write_finished(token, &answer);
                if committed {
                    self.count_runs(released);
                }
                self.results_written(reply_start, returning, committed);
            }
            PendingOperation::Claim(claimed) => {
                self.assignment_write_finished(token, &answer);
                if committed {
                    for c in &claimed {
                        let (task, machine) = (&c.task, &c.machine);
                        self.workers.starts.answered(task, c.attempt);
                        tracing::info!(%task, machine, "claimed");
                        let at = self.cache.job(&task.job).map_or(self.wall, |j| j.at);
                        let waited = self.wall.saturating_sub(at);
                        self.metrics.claimed(task, c.attempt, waited, self.now);
                    }
                    self.send_starts(&claimed);
                    self.scheduling.pass_requested = true;
                } else {
                    // Another controller won, or the outcome is unknown: look again once the
                    // watch has told what is true.
                    tracing::debug!(tasks = claimed.len(), "claim lost");
                    self.scheduling.pass_requested = true;
                }
            }
            PendingOperation::CreateInstanceRequests(instance_requests) => {
                self.provisioning.request_creation_in_flight = false;
                if committed {
                    // The copy may have shown it first.
                    let asked = &self.provisioning.requests_in_flight;
                    let due: Vec<u64> = instance_requests
                        .into_iter()
                        .filter(|n| !asked.contains(n))
                        .collect();
                    for n in due {
                        self.send_instance_request(n);
                    }
                } else {
                    self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(self.now + 200);
                }
            }
            PendingOperation::RemoveInstanceRequest(n) => {
                self.provisioning.removing_requests.remove(&n);
            }
            PendingOperation::RecordProvisioned(n) => {
                if committed {
                    // What was refused here is wanted elsewhere.
                    self.scheduling.pass_requested = true;
                } else {
                    // The cloud answers the same name the same way: ask it again.
                    // In its first seconds a controller's time is less than that pause.
                    let tried =
                        (self.now + PROVISION_RETRY_SOON_MS).saturating_sub(PROVISION_RETRY_MS);
                    self.provisioning.request_tried_at.insert(n, tried);
                }
            }
            PendingOperation::Stop(stops) => {
                self.assignment_write_finished(token, &answer);
                for (id, task) in stops.iter().filter(|_| committed) {
                    self.send_stop(id, task);
                }
            }
            PendingOperation::RecordRunTimes(class, batches) => {
                self.run_times_recorded(class, batches, &answer)
            }
            PendingOperation::FinishJob(id) => {
                self.cleanup.finishing.remove(&id);
            }
            PendingOperation::CancelDependents(jobs) => {
                self.cleanup.dependents_cancellation_in_flight = false;
                for id in jobs.iter().filter(|_| committed) {
                    tracing::info!(job = id, "cancelled with a job that it needs");
                }
            }
            PendingOperation::RecordFormat => self.upgrade.format_busy = false,
            PendingOperation::ConfirmCancellations => self.upgrade.settle_busy = false,
            PendingOperation::EnableConfiguration => self.upgrade.configurable_busy = false,
            PendingOperation::RecordObservedVersion => self.configuration.told(),
            PendingOperation::RemoveObsolete => self.cleanup.removal_in_flight = false,
            PendingOperation::Term => self.upgrade.term_in_flight = false,
            PendingOperation::Provision(_)
            | PendingOperation::Deprovision(_)
            | PendingOperation::MachineTypes
            | PendingOperation::Instances => {}
        }
    }

    /// The state service took a transaction for malformed: a record has most likely outgrown its
    /// limit. The largest is named and left alone until somebody has changed it, so that the same
    /// transaction is not sent for ever and the others in it go ahead.
    fn refused(&mut self, purpose: &PendingOperation, transaction: &CasTransaction) {
        let size = |record: &Option<Record>| {
            let record = record.as_ref();
            record.map_or(0, |r| formats::stored_bytes(r, transaction.format))
        };
        let sized = transaction.changes.iter().map(|(key, r)| (size(r), key));
        let Some((bytes, key)) = sized.max_by_key(|(bytes, _)| *bytes) else {
            return;
        };
        let (changes, path) = (transaction.changes.len(), key.path());
        tracing::error!(?purpose, changes, key = path, bytes, "transaction refused");
        if matches!(key, Key::Chunk(..) | Key::Machine(_)) {
            self.cache.fence_start(key.clone());
        }
    }

    /// It may be carried out seconds later, and what waits does not wait for that: assignments are written
    /// anew, and a user's request is read and decided anew. Whatever is sent instead rests on the same
    /// revisions, so only one of them takes effect.
    pub(crate) fn handle_state_timeout(&mut self, token: OperationId) {
        if !self.settings.checks.unanswered {
            return;
        }
        if let Some((PendingOperation::UserRequest(request), _)) =
            self.operations.outstanding.get(&token)
        {
            let request = *request;
            if self.requests.open.contains_key(&request) && !self.reads.unissued.contains(&request)
            {
                self.reads.unissued.push(request);
            }
        }
        if let Some((PendingOperation::Claim(claimed), _)) = self.operations.outstanding.get(&token)
        {
            for c in claimed {
                self.workers
                    .starts
                    .doubt(self.now, &c.task, c.attempt, &c.machine);
            }
        }
        if self.writes.assignment_write == Some(token) {
            self.writes.assignment_write = None;
        }
    }
}
