//! The controller's list and watch of the shared records, and how far its cache is known to be current.

use crate::constants::{PEER_CHANGE_PASS_DELAY_MS, REVISION_TIMES_KEPT};
use crate::controller::{
    Controller, Effect, PendingOperation, RequestClass, StateOperation, StateResponse,
};
use crate::model::{Millis, TaskId};
use crate::state::{JobPhase, Key, Record};
use std::collections::{BTreeSet, VecDeque};

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

/// How far the state cache is known to be current: the list, the watch, and answers of the state service.
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
}

impl Controller {
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

    pub(super) fn take_list_page(&mut self, answer: StateResponse) {
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

    pub(super) fn apply(&mut self, key: Key, mod_revision: u64, record: Option<Record>, own: bool) {
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
}
