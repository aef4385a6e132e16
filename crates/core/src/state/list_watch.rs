//! Lists and watches the shared records in the state store, applies each change to the state cache,
//! and tracks up to which revision the cache is known to be current.

use crate::constants::{PEER_JOB_SCHEDULING_DELAY_MS, REVISION_TIMES_KEPT};
use crate::controller::{
    Controller, Effect, PendingOperation, RequestClass, StateOperation, StateResponse,
};
use crate::model::{Millis, TaskId};
use crate::state::{ChunkRecord, JobPhase, Key, Record};
use std::collections::{BTreeSet, VecDeque};

/// Interval between the scheduling passes that successive controllers make for the same change.
const PASS_STAGGER_MS: Millis = 100;

/// Progress of a list of all records, which the controller reads page by page.
#[derive(Default)]
pub(crate) struct ListProgress {
    /// Number of this list; the controller ignores pages of an earlier one.
    pub(crate) round: u64,
    /// Keys read so far.
    pub(crate) listed: BTreeSet<Key>,
    /// The revision of the first page, from which the watch starts; 0 before that page.
    pub(crate) revision: u64,
    /// The highest modification revision among the records read. Until the watch has reached it,
    /// the cache may lack changes that were committed between the reads of two pages.
    pub(crate) max_mod_revision: u64,
    /// Whether a request for a page is outstanding.
    pub(crate) in_flight: bool,
}

/// The state of the list and the watch, and the evidence that the state cache is current.
pub(crate) struct ListWatch {
    /// Whether a list of all records is complete, and the watch continues from its revision.
    pub(crate) has_listed: bool,
    /// The list in progress.
    pub(crate) list: ListProgress,
    /// Time of the last response of the state store to a request that this controller sent after
    /// its last pause.
    pub(crate) last_response_at: Option<Millis>,
    /// Time since which the watch is behind a revision that a linearizable read returned.
    pub(crate) watch_lag_since: Option<Millis>,
    /// Time at which the watch was last opened.
    pub(crate) watch_opened_at: Millis,
    /// Recent revisions and the time at which this controller learned of each.
    pub(crate) revision_times: VecDeque<(u64, Millis)>,
}

impl ListWatch {
    /// Returns the state before the first list; `now` is the start time of the controller.
    pub(crate) fn new(now: Millis) -> ListWatch {
        ListWatch {
            has_listed: false,
            list: ListProgress::default(),
            last_response_at: None,
            watch_lag_since: None,
            watch_opened_at: now,
            revision_times: VecDeque::new(),
        }
    }

    fn record_revision(&mut self, revision: u64, now: Millis) {
        self.revision_times.push_back((revision, now));
        if self.revision_times.len() > REVISION_TIMES_KEPT {
            self.revision_times.pop_front();
        }
    }
}

/// The source from which this controller learned of a change to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// The response to a transaction of this controller.
    OwnTransaction,
    /// The watch; any controller may have made the change.
    Watch,
}

impl Controller {
    /// Starts a new list of all records, from the first page on.
    pub(crate) fn start_list(&mut self) {
        self.list_watch.has_listed = false;
        self.list_watch.list.round += 1;
        self.list_watch.list.listed.clear();
        self.list_watch.list.revision = 0;
        self.request_list_page(None);
    }

    fn request_list_page(&mut self, after: Option<String>) {
        self.list_watch.list.in_flight = true;
        let round = self.list_watch.list.round;
        let token = self.track_operation(PendingOperation::List { round }, None);
        self.emit(Effect::State {
            operation_id: token,
            operation: StateOperation::List { after },
            request_class: RequestClass::User,
        });
    }

    /// Applies a page of a list, and requests the next page or completes the list.
    pub(super) fn list_page_received(&mut self, round: u64, response: StateResponse) {
        if round != self.list_watch.list.round {
            return;
        }
        self.list_watch.list.in_flight = false;
        let StateResponse::Listed {
            items,
            last,
            more,
            revision,
        } = response
        else {
            return; // the next tick restarts the list
        };
        if self.list_watch.list.revision == 0 {
            self.list_watch.list.revision = revision;
        }
        let last_key = last.as_deref().unwrap_or_default();
        let records = items.len();
        tracing::debug!(
            round,
            records,
            last_key,
            revision,
            more,
            "page of records read"
        );
        for (key, mod_revision, record) in items {
            let list = &mut self.list_watch.list;
            list.max_mod_revision = list.max_mod_revision.max(mod_revision);
            list.listed.insert(key.clone());
            self.cache.put(key, mod_revision, record);
        }
        if more && last.is_some() {
            self.request_list_page(last);
            return;
        }
        self.list_completed();
    }

    fn list_completed(&mut self) {
        if self.machine_types.is_empty() {
            if let Some(record) = self.cache.machine_types().cloned() {
                self.set_machine_types(&record.machine_types);
            }
        }
        let revision = self.list_watch.list.revision;
        let listed = std::mem::take(&mut self.list_watch.list.listed);
        self.cache.retain_listed(&listed, revision);
        self.cache.revision = revision;
        self.apply_all_run_times_records();
        self.list_watch.has_listed = true;
        self.apply_stored_configuration();
        self.cache_changed = true;
        self.scheduling.pass_requested = true;
        tracing::info!(records = self.cache.len(), revision, "state list completed");
        self.emit(Effect::Watch { since: revision });
    }

    /// Applies the changes that the watch delivered, which are complete up to `revision`. A change
    /// without a record is a removal. Changes that arrive during a list are of an earlier watch: they
    /// are dropped, since they don't complete the cache, and the next watch delivers them again.
    pub(crate) fn handle_watch_update(
        &mut self,
        revision: u64,
        changes: Vec<(Key, u64, Option<Record>)>,
    ) {
        if !self.list_watch.has_listed {
            return;
        }
        for (key, mod_revision, record) in changes {
            tracing::debug!(
                ?key,
                mod_revision,
                cached_revision = self.cache.mod_revision(&key),
                is_put = record.is_some(),
                "watch event"
            );
            self.apply(key, mod_revision, record, ChangeOrigin::Watch);
        }
        self.cache.revision = self.cache.revision.max(revision);
        self.list_watch
            .record_revision(self.cache.revision, self.now);
        self.cache_changed = true;
        self.apply_stored_configuration();
        self.serve_caught_up_reads();
    }

    /// Applies one change to the cache and triggers the actions that depend on it, such as a
    /// scheduling pass. A change without a record is a removal.
    pub(super) fn apply(
        &mut self,
        key: Key,
        mod_revision: u64,
        record: Option<Record>,
        origin: ChangeOrigin,
    ) {
        match record {
            Some(record) => self.apply_put(key, mod_revision, record, origin),
            None => self.apply_removal(&key, mod_revision),
        }
        self.cache_changed = true;
    }

    fn apply_put(&mut self, key: Key, mod_revision: u64, record: Record, origin: ChangeOrigin) {
        if self.requires_pass(&key, &record) {
            self.request_pass(origin);
        }
        if let (Key::Chunk(job, chunk_number), Record::Chunk(chunk)) = (&key, &record) {
            self.record_new_claims(job, *chunk_number, chunk);
            self.observe_assignment_changes(job, *chunk_number, chunk);
        }
        let run_times_class = match &key {
            Key::RunTimes(class) => Some(*class),
            _ => None,
        };
        if let (Key::Term, Record::Term(changed)) = (&key, &record) {
            if self.cache.term() != Some(changed.term) {
                tracing::debug!(term = changed.term, mod_revision, "term changed");
                self.workers.forgetting.record_term_change(self.now);
            }
        }
        let fenced_machine = self.machine_with_raised_token(&key, &record);
        self.cache.put(key, mod_revision, record);
        if let Some(machine) = fenced_machine {
            // An empty command delivers the higher fencing token; the worker responds to it with a
            // heartbeat at once.
            self.send_command(machine, Vec::new());
        }
        if let Some(class) = run_times_class {
            self.apply_run_times_record(class);
        }
    }

    fn apply_removal(&mut self, key: &Key, mod_revision: u64) {
        if let Key::Machine(id) = key {
            if self.cache.mod_revision(key) < mod_revision {
                self.workers.recently_deleted.push(id.clone());
            }
        }
        self.cache.remove(key, mod_revision);
        if let Key::RunTimes(class) = key {
            self.apply_run_times_record(*class);
        }
    }

    /// Returns whether a change that is not in the cache yet may allow the scheduler to place a
    /// task.
    fn requires_pass(&self, key: &Key, record: &Record) -> bool {
        match (key, record) {
            (Key::Machine(_) | Key::Chunk(..), _) => true,
            (Key::Job(id), Record::Job(job)) => {
                let is_new = job.phase == JobPhase::Open && self.cache.job(id).is_none();
                let has_dependents = || !self.cache.dependents().of(id).is_empty();
                is_new || job.phase == JobPhase::Done && has_dependents()
            }
            _ => false,
        }
    }

    /// Starts tracking the task starts of the claims that a chunk's change adds, whichever
    /// controller made them.
    fn record_new_claims(&mut self, job: &str, chunk_number: u32, chunk: &ChunkRecord) {
        let claim_revision = self.cache.claim_revision(job, chunk_number);
        for (index, assignment) in chunk.assigned() {
            if assignment.attempt != claim_revision {
                continue;
            }
            let job = job.to_string();
            let task = TaskId { job, index };
            let machine = &assignment.machine;
            self.workers
                .starts
                .record_claim(self.now, &task, claim_revision, machine);
            self.workers
                .last_assigned_at
                .insert(machine.clone(), self.now);
        }
    }

    /// Returns the machine whose fencing token a change raises, if this controller requested the
    /// raise.
    fn machine_with_raised_token(&mut self, key: &Key, record: &Record) -> Option<String> {
        let (Key::Machine(id), Record::Machine(machine)) = (key, record) else {
            return None;
        };
        let cached_offset = self.cache.machine(id).map_or(0, |m| m.token_offset);
        let is_raised = machine.token_offset > cached_offset;
        (is_raised && self.workers.starts.take_token_raise(id)).then(|| id.clone())
    }

    /// Requests a scheduling pass: at once for a change of this controller, and after a delay for a
    /// change from the watch, because the controller that made the change schedules first.
    fn request_pass(&mut self, origin: ChangeOrigin) {
        match origin {
            ChangeOrigin::OwnTransaction => self.scheduling.pass_requested = true,
            ChangeOrigin::Watch => {
                let stagger_ms = self.settings.controller_index() * PASS_STAGGER_MS;
                let at = self.now + PEER_JOB_SCHEDULING_DELAY_MS + stagger_ms;
                self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(at);
            }
        }
    }
}
