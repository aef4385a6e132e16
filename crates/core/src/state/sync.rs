//! What the state service tells: the first reading, the watch, proofs of freshness, and the
//! outcomes of transactions.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::state::formats;
use crate::state::*;
use std::collections::BTreeSet;

/// The reading of all records, page by page.
#[derive(Default)]
pub(crate) struct Reading {
    pub round: u64,
    pub listed: BTreeSet<Key>,
    /// The first page's revision.
    pub epoch: u64,
    /// Latest revision that the reading met: until the watch has reached it the copy may lack
    /// what was written while it was read page by page.
    pub high: u64,
    pub busy: bool,
}

impl Node {
    pub(crate) fn start_proof(&mut self) {
        let wanted = !self.unproven.is_empty()
            || (self.loaded && self.now >= self.last_beat_read + STATE_BEAT_MS);
        if !wanted || self.proof_busy || !self.loaded || self.now < self.last_proof + PROOF_GAP_MS {
            return;
        }
        self.proof_busy = true;
        self.last_proof = self.now;
        self.last_beat_read = self.now;
        self.proving = std::mem::take(&mut self.unproven);
        let token = self.token(Purpose::Proof, None);
        self.emit(Effect::State {
            token,
            op: StateOp::Proof,
            priority: Priority::User,
        });
    }

    pub(crate) fn reload(&mut self) {
        self.loaded = false;
        self.reading.round += 1;
        self.reading.listed.clear();
        self.reading.epoch = 0;
        self.load_page(None);
    }

    fn load_page(&mut self, after: Option<String>) {
        self.reading.busy = true;
        let token = self.token(
            Purpose::Load {
                round: self.reading.round,
            },
            None,
        );
        self.emit(Effect::State {
            token,
            op: StateOp::List { after },
            priority: Priority::User,
        });
    }

    fn loaded_page(&mut self, answer: StateAnswer) {
        self.reading.busy = false;
        let StateAnswer::Listed {
            items,
            last,
            more,
            epoch,
        } = answer
        else {
            return; // the tick tries again
        };
        if self.reading.epoch == 0 {
            // The first page's revision: whatever changed since is in the watch.
            self.reading.epoch = epoch;
        }
        for (key, stamp, record) in items {
            self.reading.high = self.reading.high.max(stamp);
            self.reading.listed.insert(key.clone());
            self.cache.put(key, stamp, record);
        }
        if more && last.is_some() {
            self.load_page(last);
            return;
        }
        if let Some(record) = self
            .cache
            .types()
            .filter(|_| self.types.is_empty())
            .cloned()
        {
            self.use_types(&record.types);
        }
        let listed = std::mem::take(&mut self.reading.listed);
        self.cache.retain_listed(&listed, self.reading.epoch);
        self.cache.epoch = self.reading.epoch;
        self.runs_loaded();
        self.loaded = true;
        self.follow_configuration();
        self.changed = true;
        self.lookup_wanted = true;
        tracing::info!(
            records = self.cache.len(),
            epoch = self.reading.epoch,
            "records read"
        );
        self.emit(Effect::Watch {
            since: self.reading.epoch,
        });
    }

    pub(crate) fn watched(&mut self, epoch: u64, changes: Vec<(Key, u64, Option<Record>)>) {
        for (key, stamp, record) in changes {
            tracing::debug!(
                ?key,
                stamp,
                cached = self.cache.stamp(&key),
                put = record.is_some(),
                "news"
            );
            self.apply(key, stamp, record, false);
        }
        self.cache.epoch = self.cache.epoch.max(epoch);
        self.epochs.push_back((self.cache.epoch, self.now));
        if self.epochs.len() > EPOCHS_REMEMBERED {
            self.epochs.pop_front();
        }
        self.changed = true;
        self.follow_configuration();
        self.caught_up();
    }

    fn apply(&mut self, key: Key, stamp: u64, record: Option<Record>, own: bool) {
        match record {
            Some(record) => {
                if let (Key::Job(id), Record::Job(job)) = (&key, &record) {
                    let new = job.phase == Phase::Open && self.cache.job(id).is_none();
                    let awaited = || !self.cache.dependents().of(id).is_empty();
                    if new || job.phase == Phase::Done && awaited() {
                        self.want_lookup(own);
                    }
                }
                if let Key::Machine(_) | Key::Chunk(..) = &key {
                    self.want_lookup(own);
                }
                if let (Key::Chunk(job, n), Record::Chunk(chunk)) = (&key, &record) {
                    let before = self.cache.claim_stamp(job, *n);
                    for (index, b) in chunk.booked() {
                        if b.attempt == before {
                            let job = job.clone();
                            let task = TaskId { job, index };
                            self.starts.claimed(self.now, &task, before, &b.machine);
                            self.used_at.insert(b.machine.clone(), self.now);
                        }
                    }
                    self.bookings_changed(job, *n, chunk);
                }
                let learned = match &key {
                    Key::Runs(class) => Some(*class),
                    _ => None,
                };
                let raised = match (&key, &record) {
                    (Key::Machine(id), Record::Machine(m)) => {
                        let before = self.cache.machine(id).map_or(0, |m| m.raised);
                        let raised = m.raised > before && self.starts.raised(id);
                        raised.then(|| id.clone())
                    }
                    _ => None,
                };
                self.cache.put(key, stamp, record);
                if let Some(id) = raised {
                    // Its worker reports as soon as it has seen the higher token.
                    self.command_now(id, Vec::new());
                }
                if let Some(class) = learned {
                    self.runs_changed(class);
                }
            }
            None => {
                if let Key::Machine(id) = &key {
                    if self.cache.stamp(&key) < stamp {
                        self.gone.push(id.clone());
                    }
                }
                self.cache.remove(&key, stamp);
                if let Key::Runs(class) = &key {
                    self.runs_changed(*class);
                }
            }
        }
        self.changed = true;
    }

    /// A change of this node's own is looked at now; a sibling's a little later, since the
    /// node that made it looks first.
    fn want_lookup(&mut self, own: bool) {
        if own {
            self.lookup_wanted = true;
        } else {
            let at = self.now + FOREIGN_LOOKUP_MS + self.settings.node_index() * 100;
            self.lookup_at = self.lookup_at.min(at);
        }
    }

    fn caught_up(&mut self) {
        let epoch = self.cache.epoch;
        let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.catching)
            .into_iter()
            .partition(|(e, ..)| *e <= epoch);
        self.catching = waiting;
        if self.catching.is_empty() {
            self.trailing_since = None;
        }
        for (_, token, requests) in ready {
            if self.stale && self.loaded && token >= self.woke_token {
                self.stale = false;
                self.changed = true;
                self.lookup_wanted = true;
            }
            for request in requests {
                self.proven(request);
            }
        }
    }

    pub(crate) fn state_answer(&mut self, token: Token, answer: StateAnswer) {
        let Some((purpose, txn)) = self.pending.remove(&token) else {
            return;
        };
        match &answer {
            StateAnswer::Unavailable | StateAnswer::NoAnswer => {}
            _ if token < self.woke_token => {}
            _ => self.last_ok = Some(self.now),
        }
        let committed = matches!(answer, StateAnswer::Committed { .. });
        // What the watch has passed is in the copy, as is all that became of it since: a record
        // removed meanwhile would stand there again, for good.
        if let (StateAnswer::Committed { epoch }, Some(txn)) = (&answer, &txn) {
            let overtaken = *epoch <= self.cache.epoch;
            for (key, record) in &txn.changes {
                if let (Key::Job(job), Some(Record::Job(r))) = (key, record) {
                    if r.phase == Phase::Done {
                        let ms = self.wall.saturating_sub(r.at);
                        tracing::info!(job, tasks = r.tasks, ms, "done");
                    }
                }
            }
            for (key, record) in txn.changes.iter().filter(|_| !overtaken) {
                self.apply(key.clone(), *epoch, record.clone(), true);
            }
        }
        if let (StateAnswer::Refused, Some(txn)) = (&answer, &txn) {
            self.refused(&purpose, txn);
        }
        if let (StateAnswer::Conflict { .. }, true) = (&answer, txn.is_some()) {
            self.stats.conflicts += 1;
        }
        if txn.is_some() && !committed {
            tracing::debug!(?purpose, ?answer, "transaction lost");
        }
        match purpose {
            Purpose::Proof => {
                self.proof_busy = false;
                let requests = std::mem::take(&mut self.proving);
                let waiting = self.catching.len();
                match answer {
                    // Read before this node stood still: its view may have changed since.
                    _ if token < self.woke_token => {}
                    StateAnswer::Proof { epoch } => {
                        if epoch > self.cache.epoch && self.trailing_since.is_none() {
                            self.trailing_since = Some(self.now);
                        }
                        match self.catching.last_mut() {
                            Some(last) if last.0 == epoch || waiting >= PROOFS_KEPT => {
                                (last.0, last.1) = (last.0.max(epoch), token);
                                last.2.extend(requests);
                            }
                            _ => self.catching.push((epoch, token, requests)),
                        }
                        self.caught_up();
                    }
                    _ => {
                        for request in requests {
                            self.unproved(request);
                        }
                    }
                }
            }
            Purpose::Load { round } => {
                if round == self.reading.round {
                    self.loaded_page(answer);
                }
            }
            Purpose::Ask(request) if answer == StateAnswer::Refused => {
                let reply = self.later();
                self.answer(request, reply);
            }
            Purpose::Ask(request) => self.ask_committed(request, committed),
            Purpose::Flush {
                armed,
                returning,
                released,
            } => {
                self.written(token, &answer);
                if committed {
                    self.count_runs(released);
                }
                self.flushed(armed, returning, committed);
            }
            Purpose::Lookup(claimed) => {
                self.written(token, &answer);
                if committed {
                    for c in &claimed {
                        let (task, machine) = (&c.task, &c.machine);
                        self.starts.answered(task, c.attempt);
                        tracing::info!(%task, machine, "claimed");
                        let at = self.cache.job(&task.job).map_or(self.wall, |j| j.at);
                        let waited = self.wall.saturating_sub(at);
                        self.stats.claimed(task, c.attempt, waited, self.now);
                    }
                    self.command_starts(&claimed);
                    self.lookup_wanted = true;
                } else {
                    // Another node won, or the outcome is unknown: look again once the
                    // watch has told what is true.
                    tracing::debug!(tasks = claimed.len(), "claim lost");
                    self.lookup_wanted = true;
                }
            }
            Purpose::NewHires(hires) => {
                self.hire_busy = false;
                if committed {
                    // The copy may have shown it first.
                    let asked = &self.hires_asked;
                    let due: Vec<u64> = hires.into_iter().filter(|n| !asked.contains(n)).collect();
                    for n in due {
                        self.send_hire(n);
                    }
                } else {
                    self.lookup_at = self.lookup_at.min(self.now + 200);
                }
            }
            Purpose::Tidy(n) => {
                self.tidying.remove(&n);
            }
            Purpose::HireDone(n) => {
                if committed {
                    // What was refused here is wanted elsewhere.
                    self.lookup_wanted = true;
                } else {
                    // The cloud answers the same name the same way: ask it again.
                    // In its first seconds a node's time is less than that pause.
                    let tried = (self.now + HIRE_AGAIN_MS).saturating_sub(HIRE_RETRY_MS);
                    self.hire_tried.insert(n, tried);
                }
            }
            Purpose::Stop(stops) => {
                self.written(token, &answer);
                for (id, task) in stops.iter().filter(|_| committed) {
                    self.command_stop(id, task);
                }
            }
            Purpose::Learn(class, batches) => self.runs_recorded(class, batches, &answer),
            Purpose::Finish(id) => {
                self.finishing.remove(&id);
            }
            Purpose::Cascade(jobs) => {
                self.cascade_busy = false;
                for id in jobs.iter().filter(|_| committed) {
                    tracing::info!(job = id, "cancelled with a job that it needs");
                }
            }
            Purpose::Format => self.upgrade.format_busy = false,
            Purpose::Settle => self.upgrade.settle_busy = false,
            Purpose::Configurable => self.upgrade.configurable_busy = false,
            Purpose::Following => self.configuration.told(),
            Purpose::Sweep => self.sweep_busy = false,
            Purpose::Term => self.term_busy = false,
            Purpose::Hire(_) | Purpose::Delete(_) | Purpose::Types | Purpose::Hosts => {}
        }
    }

    /// The state service took a transaction for malformed: a record has most likely outgrown its
    /// limit. The largest is named and left alone until somebody has changed it, so that the same
    /// transaction is not sent for ever and the others in it go ahead.
    fn refused(&mut self, purpose: &Purpose, txn: &Txn) {
        let size = |record: &Option<Record>| {
            let record = record.as_ref();
            record.map_or(0, |r| formats::stored_bytes(r, txn.format))
        };
        let sized = txn.changes.iter().map(|(key, r)| (size(r), key));
        let Some((bytes, key)) = sized.max_by_key(|(bytes, _)| *bytes) else {
            return;
        };
        let (changes, path) = (txn.changes.len(), key.path());
        tracing::error!(?purpose, changes, key = path, bytes, "transaction refused");
        if matches!(key, Key::Chunk(..) | Key::Machine(_)) {
            self.cache.bar(key.clone());
        }
    }

    /// It may be carried out seconds later, and what waits does not wait for that: bookings are written
    /// anew, and a user's request is read and decided anew. Whatever is sent instead rests on the same
    /// revisions, so only one of them takes effect.
    pub(crate) fn unanswered(&mut self, token: Token) {
        if !self.settings.checks.unanswered {
            return;
        }
        if let Some((Purpose::Ask(request), _)) = self.pending.get(&token) {
            let request = *request;
            if self.asks.contains_key(&request) && !self.unproven.contains(&request) {
                self.unproven.push(request);
            }
        }
        if let Some((Purpose::Lookup(claimed), _)) = self.pending.get(&token) {
            for c in claimed {
                self.starts.doubt(self.now, &c.task, c.attempt, &c.machine);
            }
        }
        if self.writing == Some(token) {
            self.writing = None;
        }
    }

    /// When to try again what did not commit: once the watch has brought what stood in the
    /// way. Trying at once would only meet the same conflict, and conflicts cost budget.
    fn written(&mut self, token: Token, answer: &StateAnswer) {
        self.changed = true;
        // It counted as unanswered, and held up nothing since.
        if self.writing != Some(token) {
            return;
        }
        self.writing = None;
        self.write_retry = self.retry_after(answer);
    }

    /// Whether a transaction on bookings may be sent now.
    pub(crate) fn may_write(&self) -> bool {
        self.writing.is_none()
            && self
                .write_retry
                .is_none_or(|(epoch, at)| self.cache.epoch >= epoch || self.now >= at)
    }

    fn retry_after(&self, answer: &StateAnswer) -> Option<(u64, Millis)> {
        match answer {
            StateAnswer::Committed { .. } => None,
            StateAnswer::Conflict { epoch } => Some((*epoch, self.now + CONFLICT_PAUSE_MS)),
            _ => Some((u64::MAX, self.now + CONFLICT_PAUSE_MS)),
        }
    }
}
