//! What the state service tells: the first reading, the watch, proofs of freshness, and the
//! outcomes of transactions.

use crate::constants::{
    CONFLICT_PAUSE_MS, PEER_CHANGE_PASS_DELAY_MS, PENDING_READS_MAX, PROVISION_RETRY_MS,
    PROVISION_RETRY_SOON_MS, READ_INDEX_INTERVAL_MS, REVISION_TIMES_KEPT, STATE_PROBE_INTERVAL_MS,
};
use crate::controller::{
    Controller, Effect, OperationId, PendingOperation, RequestClass, StateOperation, StateResponse,
};
use crate::model::{Millis, TaskId};
use crate::state::formats;
use crate::state::{CasTransaction, JobPhase, Key, Record};
use std::collections::BTreeSet;

/// The reading of all records, page by page.
#[derive(Default)]
pub(crate) struct ListProgress {
    pub round: u64,
    pub listed: BTreeSet<Key>,
    /// The first page's revision.
    pub revision: u64,
    /// Latest revision that the reading met: until the watch has reached it the cache may lack
    /// what was written while it was read page by page.
    pub high: u64,
    pub busy: bool,
}

impl Controller {
    pub(crate) fn issue_read_index(&mut self) {
        let wanted = !self.reads.unissued.is_empty()
            || (self.sync.has_listed
                && self.now >= self.reads.last_requested_at + STATE_PROBE_INTERVAL_MS);
        if !wanted
            || self.reads.in_flight
            || !self.sync.has_listed
            || self.now < self.reads.last_issued_at + READ_INDEX_INTERVAL_MS
        {
            return;
        }
        self.reads.in_flight = true;
        self.reads.last_issued_at = self.now;
        self.reads.last_requested_at = self.now;
        self.reads.issued = std::mem::take(&mut self.reads.unissued);
        let token = self.track_operation(PendingOperation::ReadIndex, None);
        self.emit(Effect::State {
            token,
            op: StateOperation::ReadIndex,
            request_class: RequestClass::User,
        });
    }

    pub(crate) fn start_list(&mut self) {
        self.sync.has_listed = false;
        self.sync.list.round += 1;
        self.sync.list.listed.clear();
        self.sync.list.revision = 0;
        self.request_list_page(None);
    }

    fn request_list_page(&mut self, after: Option<String>) {
        self.sync.list.busy = true;
        let token = self.track_operation(
            PendingOperation::List {
                round: self.sync.list.round,
            },
            None,
        );
        self.emit(Effect::State {
            token,
            op: StateOperation::List { after },
            request_class: RequestClass::User,
        });
    }

    fn take_list_page(&mut self, answer: StateResponse) {
        self.sync.list.busy = false;
        let StateResponse::Listed {
            items,
            last,
            more,
            revision,
        } = answer
        else {
            return; // the tick tries again
        };
        if self.sync.list.revision == 0 {
            // The first page's revision: whatever changed since is in the watch.
            self.sync.list.revision = revision;
        }
        for (key, mod_revision, record) in items {
            self.sync.list.high = self.sync.list.high.max(mod_revision);
            self.sync.list.listed.insert(key.clone());
            self.cache.put(key, mod_revision, record);
        }
        if more && last.is_some() {
            self.request_list_page(last);
            return;
        }
        if let Some(record) = self
            .cache
            .machine_types()
            .filter(|_| self.machine_types.is_empty())
            .cloned()
        {
            self.use_machine_types(&record.machine_types);
        }
        let listed = std::mem::take(&mut self.sync.list.listed);
        self.cache.retain_listed(&listed, self.sync.list.revision);
        self.cache.revision = self.sync.list.revision;
        self.run_times_listed();
        self.sync.has_listed = true;
        self.apply_stored_configuration();
        self.state_changed = true;
        self.scheduling.pass_requested = true;
        tracing::info!(
            records = self.cache.len(),
            revision = self.sync.list.revision,
            "records read"
        );
        self.emit(Effect::Watch {
            since: self.sync.list.revision,
        });
    }

    pub(crate) fn watched(&mut self, revision: u64, changes: Vec<(Key, u64, Option<Record>)>) {
        for (key, mod_revision, record) in changes {
            tracing::debug!(
                ?key,
                mod_revision,
                cached = self.cache.mod_revision(&key),
                put = record.is_some(),
                "news"
            );
            self.apply(key, mod_revision, record, false);
        }
        self.cache.revision = self.cache.revision.max(revision);
        self.sync
            .revision_times
            .push_back((self.cache.revision, self.now));
        if self.sync.revision_times.len() > REVISION_TIMES_KEPT {
            self.sync.revision_times.pop_front();
        }
        self.state_changed = true;
        self.apply_stored_configuration();
        self.serve_caught_up_reads();
    }

    fn apply(&mut self, key: Key, mod_revision: u64, record: Option<Record>, own: bool) {
        match record {
            Some(record) => {
                if let (Key::Job(id), Record::Job(job)) = (&key, &record) {
                    let new = job.phase == JobPhase::Open && self.cache.job(id).is_none();
                    let dependency = || !self.cache.dependents().of(id).is_empty();
                    if new || job.phase == JobPhase::Done && dependency() {
                        self.request_pass(own);
                    }
                }
                if let Key::Machine(_) | Key::Chunk(..) = &key {
                    self.request_pass(own);
                }
                if let (Key::Chunk(job, n), Record::Chunk(chunk)) = (&key, &record) {
                    let before = self.cache.claim_revision(job, *n);
                    for (index, b) in chunk.assigned() {
                        if b.attempt == before {
                            let job = job.clone();
                            let task = TaskId { job, index };
                            self.workers
                                .starts
                                .claimed(self.now, &task, before, &b.machine);
                            self.workers
                                .last_assigned_at
                                .insert(b.machine.clone(), self.now);
                        }
                    }
                    self.assignments_changed(job, *n, chunk);
                }
                let learned = match &key {
                    Key::RunTimes(class) => Some(*class),
                    _ => None,
                };
                let token_offset = match (&key, &record) {
                    (Key::Machine(id), Record::Machine(m)) => {
                        let before = self.cache.machine(id).map_or(0, |m| m.token_offset);
                        let token_offset =
                            m.token_offset > before && self.workers.starts.token_offset(id);
                        token_offset.then(|| id.clone())
                    }
                    _ => None,
                };
                self.cache.put(key, mod_revision, record);
                if let Some(id) = token_offset {
                    // Its worker reports as soon as it has seen the higher token.
                    self.send_command(id, Vec::new());
                }
                if let Some(class) = learned {
                    self.run_times_changed(class);
                }
            }
            None => {
                if let Key::Machine(id) = &key {
                    if self.cache.mod_revision(&key) < mod_revision {
                        self.workers.recently_deleted.push(id.clone());
                    }
                }
                self.cache.remove(&key, mod_revision);
                if let Key::RunTimes(class) = &key {
                    self.run_times_changed(*class);
                }
            }
        }
        self.state_changed = true;
    }

    /// A change of this controller's own is looked at now; a peer's a little later, since the
    /// controller that made it looks first.
    fn request_pass(&mut self, own: bool) {
        if own {
            self.scheduling.pass_requested = true;
        } else {
            let at = self.now + PEER_CHANGE_PASS_DELAY_MS + self.settings.controller_index() * 100;
            self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(at);
        }
    }

    fn serve_caught_up_reads(&mut self) {
        let revision = self.cache.revision;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reads.behind_watch)
            .into_iter()
            .partition(|(e, ..)| *e <= revision);
        self.reads.behind_watch = waiting;
        if self.reads.behind_watch.is_empty() {
            self.sync.watch_lag_since = None;
        }
        for (_, token, requests) in ready {
            if self.lifecycle.view_predates_resume
                && self.sync.has_listed
                && token >= self.lifecycle.first_operation_since_resume
            {
                self.lifecycle.view_predates_resume = false;
                self.state_changed = true;
                self.scheduling.pass_requested = true;
            }
            for request in requests {
                self.serve_with_current_state(request);
            }
        }
    }

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

    /// When to try again what did not commit: once the watch has brought what stood in the
    /// way. Trying at once would only meet the same conflict, and conflicts cost budget.
    fn assignment_write_finished(&mut self, token: OperationId, answer: &StateResponse) {
        self.state_changed = true;
        // It counted as unanswered, and held up nothing since.
        if self.writes.assignment_write != Some(token) {
            return;
        }
        self.writes.assignment_write = None;
        self.writes.assignment_retry = self.retry_after(answer);
    }

    /// Whether a transaction on assignments may be sent now.
    pub(crate) fn may_write(&self) -> bool {
        self.writes.assignment_write.is_none()
            && self
                .writes
                .assignment_retry
                .is_none_or(|(revision, at)| self.cache.revision >= revision || self.now >= at)
    }

    fn retry_after(&self, answer: &StateResponse) -> Option<(u64, Millis)> {
        match answer {
            StateResponse::Committed { .. } => None,
            StateResponse::Conflict { revision } => Some((*revision, self.now + CONFLICT_PAUSE_MS)),
            _ => Some((u64::MAX, self.now + CONFLICT_PAUSE_MS)),
        }
    }
}
