//! Stand-in for the state service: a store of records, compare-and-swap transactions, lists and watches.

use crate::{Act, ProcessId, World};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, OperationId, StateOperation, StateResponse};
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::{CasTransaction, Key, Record};
use rand::Rng;

/// Milliseconds after which what the state service refused for being too much is sent again.
const TOO_MANY_PAUSE_MS: u64 = 150;
/// Milliseconds that an answer is on its way.
const ANSWER_MS: u64 = 3;
/// Milliseconds after which a watch is tried again.
const WATCH_RETRY_MS: u64 = 200;
/// Conditions that a transaction may have for each of the changes that it may make.
const CONDITIONS_PER_CHANGE: usize = 4;

/// What becomes of a request to the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Normal,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Given up by the controller, executed later.
    Late(u64),
}

/// A request of a controller to the state service.
#[derive(Clone, Debug)]
pub(crate) struct StateRequest {
    pub process: ProcessId,
    pub token: OperationId,
    pub op: StateOperation,
    pub fate: Fate,
}

impl World {
    /// Somebody else changes a record.
    pub fn put_record(&mut self, key: Key, record: Record) {
        self.change(key, Some(record));
    }

    pub fn remove_record(&mut self, key: Key) {
        self.change(key, None);
    }

    fn change(&mut self, key: Key, record: Option<Record>) {
        self.revision += 1;
        self.store_change(key, record);
        for n in 0..self.controllers.len() {
            self.at(3, Act::Watch(self.process(n)));
        }
    }

    /// Takes a change up at the current revision.
    fn store_change(&mut self, key: Key, record: Option<Record>) {
        match &record {
            Some(r) => self.store.insert(key.clone(), (r.clone(), self.revision)),
            None => self.store.remove(&key),
        };
        self.log.push((self.revision, key, record));
    }

    /// The limits of the state service fall to those announced.
    pub fn limits_fall(&mut self) {
        self.limits = None;
    }

    /// A request arrives.
    pub(crate) fn execute_request(&mut self, request: StateRequest) {
        let (process, token) = (request.process, request.token);
        let changes = match &request.op {
            StateOperation::Transaction(transaction) => transaction.changes.len(),
            _ => 0,
        };
        if !self.state_down && !self.limited.state_takes(self.now, changes) {
            self.deliver(ANSWER_MS, process, Event::Throttled);
            self.at(TOO_MANY_PAUSE_MS, Act::State(request));
            return;
        }
        let answer = match self.state_down {
            true => StateResponse::Unavailable,
            false => self.execute(request.op, self.is_old(process)),
        };
        if request.fate != Fate::Normal {
            return;
        }
        let delay = match self.chance(self.mishaps.answer_slow) {
            true => self.rng.gen_range(ANSWER_MS..1_000),
            false => ANSWER_MS,
        };
        if delay > STATE_TIMEOUT_MS && changes > 0 {
            self.deliver(STATE_TIMEOUT_MS, process, Event::StateTimeout { token });
        }
        self.deliver(delay, process, Event::State { token, answer });
    }

    pub(crate) fn execute(&mut self, op: StateOperation, old: bool) -> StateResponse {
        match op {
            StateOperation::ReadIndex => {
                self.proofs += 1;
                StateResponse::ReadIndex {
                    revision: self.revision,
                }
            }
            StateOperation::List { after } => self.list(after.as_ref()),
            StateOperation::Transaction(transaction) => self.commit(transaction, old),
        }
    }

    /// A page of records, in the order of their paths.
    fn list(&mut self, after: Option<&String>) -> StateResponse {
        self.lists += 1;
        if self.listing.0 != self.revision {
            let mut keys: Vec<_> = self.store.keys().map(|k| (k.path(), k.clone())).collect();
            keys.sort();
            self.listing = (self.revision, keys);
        }
        let keys = &self.listing.1;
        let from = keys.partition_point(|(path, _)| Some(path) <= after);
        let page = &keys[from..keys.len().min(from + self.page)];
        let items = page.iter().map(|(_, k)| {
            let (r, mod_revision) = &self.store[k];
            (k.clone(), *mod_revision, r.clone())
        });
        StateResponse::Listed {
            items: items.collect(),
            last: page.last().map(|(path, _)| path.clone()),
            more: from + page.len() < keys.len(),
            revision: self.revision,
        }
    }

    /// Carries out a transaction if all its conditions hold.
    fn commit(&mut self, transaction: CasTransaction, old: bool) -> StateResponse {
        self.transactions += 1;
        self.changes += transaction.changes.len() as u32;
        let announced = match old {
            true => self.old_limits,
            false => (
                self.settings.max_value_bytes,
                self.settings.max_transaction_changes,
            ),
        };
        let largest = self.check_form(&transaction, announced);
        let (most_bytes, most_ops) = self.limits.unwrap_or(announced);
        if transaction.changes.len() > most_ops || largest > most_bytes {
            self.refused += 1;
            return StateResponse::Refused;
        }
        let stamp_of = |key: &Key| {
            self.store
                .get(key)
                .map_or(0, |(_, mod_revision)| *mod_revision)
        };
        if !(transaction.conditions.iter())
            .all(|(key, mod_revision)| stamp_of(key) == *mod_revision)
        {
            self.conflicts += 1;
            return StateResponse::Conflict {
                revision: self.revision,
            };
        }
        self.check_claims(&transaction);
        self.revision += 1;
        for (key, record) in transaction.changes {
            // Through JSON, as on the wire.
            if let Some(r) = &record {
                let back = Record::read(&key, r.value(transaction.format));
                assert_eq!(back.as_ref(), Some(r), "a record reads back");
            }
            self.store_change(key, record);
        }
        for n in 0..self.controllers.len() {
            let delay = self.rng.gen_range(2..8);
            self.at(delay, Act::Watch(self.process(n)));
        }
        StateResponse::Committed {
            revision: self.revision,
        }
    }

    /// Checks that a transaction keeps to the limits that its sender was told, and that while one controller has
    /// the old version all is written in the old shape. Returns the bytes of its largest value.
    fn check_form(
        &self,
        transaction: &CasTransaction,
        (max_value_bytes, max_transaction_changes): (u64, usize),
    ) -> u64 {
        assert!(
            transaction.changes.len() <= max_transaction_changes,
            "too many changes"
        );
        let most = max_transaction_changes * CONDITIONS_PER_CHANGE;
        assert!(transaction.conditions.len() <= most, "too many conditions");
        let all_new = !(0..self.controllers.len()).any(|n| self.is_old(self.process(n)));
        let mut largest = 0;
        for (key, record) in &transaction.changes {
            let Some(record) = record else { continue };
            let value = record.value(transaction.format);
            let size = value.to_string().len() as u64;
            let before =
                (self.store.get(key)).map_or(0, |(r, _)| r.value(OLDEST).to_string().len() as u64);
            // A chunk of the old version's may be written as large as it is.
            let shrinks = transaction.format == OLDEST && size <= before;
            assert!(
                size <= max_value_bytes || shrinks,
                "{key:?} has {size} bytes, had {before}"
            );
            largest = largest.max(size);
            let plain = crate::old::value(key, value.clone()) == Some(value);
            let kept = plain
                || matches!(
                    key,
                    Key::Format(_) | Key::CancellationConfirmation | Key::RunTimes(_)
                );
            assert!(all_new || kept, "{key:?} is not in the old shape");
        }
        largest
    }

    /// Tells a controller's watch what has changed since it was told last.
    pub(crate) fn tell_watch(&mut self, process: ProcessId) {
        let n = process.controller;
        let slot = &self.controllers[n];
        let Some(since) = slot.watching.filter(|_| self.runs(process)) else {
            return;
        };
        let lags = self.now < slot.watch_lags_until;
        if slot.cut_from_state || slot.refused || self.state_down || self.inside(n) || lags {
            self.at(WATCH_RETRY_MS, Act::Watch(process));
            return;
        }
        let from = self.log.partition_point(|(e, ..)| *e <= since);
        let changes: Vec<_> = self.log[from..]
            .iter()
            .map(|(e, k, r)| (k.clone(), *e, r.clone()))
            .collect();
        if !changes.is_empty() {
            let revision = self.revision;
            self.controllers[n].watching = Some(revision);
            self.controller(n, Event::WatchUpdate { revision, changes });
        }
    }
}
