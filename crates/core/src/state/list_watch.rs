//! The controller's list and watch of the shared records, and how far its cache is known to be
//! current.

use crate::constants::{PEER_CHANGE_PASS_DELAY_MS, REVISION_TIMES_KEPT};
use crate::controller::{
    Controller, Effect, PendingOperation, RequestClass, StateOperation, StateResponse,
};
use crate::model::{Millis, TaskId};
use crate::state::{ChunkRecord, JobPhase, Key, Record};
use std::collections::{BTreeSet, VecDeque};

/// Between the passes that the controllers, in order, make for the same change: milliseconds.
const PASS_STAGGER_MS: Millis = 100;

/// The list of all records, read page by page.
#[derive(Default)]
pub(crate) struct ListProgress {
    /// Counts the lists; pages of an earlier one are ignored.
    pub(crate) round: u64,
    /// Keys read so far.
    pub(crate) listed: BTreeSet<Key>,
    /// The first page's revision, from which the watch goes on; 0 before that page.
    pub(crate) revision: u64,
    /// The latest revision among the records read: until the watch has reached it, the cache may
    /// lack what was written between two pages.
    pub(crate) max_mod_revision: u64,
    /// A page is being read.
    pub(crate) in_flight: bool,
}

/// How far the state cache is known to be current: the list, the watch, and the responses of the
/// state service.
pub(crate) struct ListWatch {
    /// All records were read once, and the watch goes on from there.
    pub(crate) has_listed: bool,
    /// The list under way.
    pub(crate) list: ListProgress,
    /// When the state service last answered a request that was sent since the last pause.
    pub(crate) last_response_at: Option<Millis>,
    /// Since when the watch is behind a revision that a read proved.
    pub(crate) watch_lag_since: Option<Millis>,
    /// When the watch was last opened.
    pub(crate) watch_opened_at: Millis,
    /// Revisions and when they became known here.
    pub(crate) revision_times: VecDeque<(u64, Millis)>,
}

impl ListWatch {
    /// Before the first list. `now`: when the controller starts.
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

    fn note_revision(&mut self, revision: u64, now: Millis) {
        self.revision_times.push_back((revision, now));
        if self.revision_times.len() > REVISION_TIMES_KEPT {
            self.revision_times.pop_front();
        }
    }
}

/// Who made a change that the cache takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// A transaction of this controller, known by its response.
    OwnTransaction,
    /// Any controller: the change came with the watch.
    Watch,
}

impl Controller {
    /// Reads all records anew, from the first page on.
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

    /// Takes up a page of a list; the last one completes it.
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
            return; // the next tick starts the list anew
        };
        if self.list_watch.list.revision == 0 {
            self.list_watch.list.revision = revision;
        }
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
                self.use_machine_types(&record.machine_types);
            }
        }
        let revision = self.list_watch.list.revision;
        let listed = std::mem::take(&mut self.list_watch.list.listed);
        self.cache.retain_listed(&listed, revision);
        self.cache.revision = revision;
        self.run_times_listed();
        self.list_watch.has_listed = true;
        self.apply_stored_configuration();
        self.cache_changed = true;
        self.scheduling.pass_requested = true;
        tracing::info!(records = self.cache.len(), revision, "state list completed");
        self.emit(Effect::Watch { since: revision });
    }

    /// Takes up changes that the watch brought, all of them up to `revision`. A change without a
    /// record is a removal.
    pub(crate) fn watched(&mut self, revision: u64, changes: Vec<(Key, u64, Option<Record>)>) {
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
        self.list_watch.note_revision(self.cache.revision, self.now);
        self.cache_changed = true;
        self.apply_stored_configuration();
        self.serve_caught_up_reads();
    }

    /// Applies one change to the cache, and has all that follows from it done. Without a record it
    /// is a removal.
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
        if self.calls_for_pass(&key, &record) {
            self.request_pass(origin);
        }
        if let (Key::Chunk(job, n), Record::Chunk(chunk)) = (&key, &record) {
            self.note_new_claims(job, *n, chunk);
            self.assignments_changed(job, *n, chunk);
        }
        let run_times_class = match &key {
            Key::RunTimes(class) => Some(*class),
            _ => None,
        };
        let fenced_machine = self.machine_with_raised_token(&key, &record);
        self.cache.put(key, mod_revision, record);
        if let Some(machine) = fenced_machine {
            // An empty command: the worker sends a heartbeat as soon as it has seen the higher
            // token.
            self.send_command(machine, Vec::new());
        }
        if let Some(class) = run_times_class {
            self.run_times_changed(class);
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
            self.run_times_changed(*class);
        }
    }

    /// Whether a change that is not in the cache yet may let something be placed.
    fn calls_for_pass(&self, key: &Key, record: &Record) -> bool {
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

    /// Follows the starts of tasks that a chunk's change claims, whoever claimed them.
    fn note_new_claims(&mut self, job: &str, n: u32, chunk: &ChunkRecord) {
        let claim_revision = self.cache.claim_revision(job, n);
        for (index, assignment) in chunk.assigned() {
            if assignment.attempt != claim_revision {
                continue;
            }
            let job = job.to_string();
            let task = TaskId { job, index };
            let machine = &assignment.machine;
            self.workers
                .starts
                .claimed(self.now, &task, claim_revision, machine);
            self.workers
                .last_assigned_at
                .insert(machine.clone(), self.now);
        }
    }

    /// The machine whose fencing token a change raises, if this controller asked for that.
    fn machine_with_raised_token(&mut self, key: &Key, record: &Record) -> Option<String> {
        let (Key::Machine(id), Record::Machine(machine)) = (key, record) else {
            return None;
        };
        let before = self.cache.machine(id).map_or(0, |m| m.token_offset);
        let is_raised = machine.token_offset > before;
        (is_raised && self.workers.starts.take_token_raise(id)).then(|| id.clone())
    }

    /// An own change calls for a pass at once; another's for a later one, as the controller that
    /// made the change goes first.
    fn request_pass(&mut self, origin: ChangeOrigin) {
        match origin {
            ChangeOrigin::OwnTransaction => self.scheduling.pass_requested = true,
            ChangeOrigin::Watch => {
                let stagger_ms = self.settings.controller_index() * PASS_STAGGER_MS;
                let at = self.now + PEER_CHANGE_PASS_DELAY_MS + stagger_ms;
                self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(at);
            }
        }
    }
}
