//! Stand-in for the state service: a store of records, compare-and-swap transactions, lists and watches.

use crate::{Action, ProcessId, Simulation};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, OperationId, StateOperation, StateResponse};
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::{CasTransaction, Key, Record};
use rand::Rng;
use std::collections::BTreeMap;

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
pub(crate) enum RequestFate {
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
    pub fate: RequestFate,
}

/// Largest value in bytes, and most changes of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Largest value in bytes.
    pub max_value_bytes: u64,
    /// Changes of one transaction.
    pub changes: usize,
}

/// Keys of all records in the order of their paths, as of a revision.
#[derive(Default)]
struct Listing {
    revision: u64,
    keys: Vec<(String, Key)>,
}

/// The records, and counts of what was asked of them.
pub struct StateStore {
    /// Each record and the revision of its last change.
    pub records: BTreeMap<Key, (Record, u64)>,
    /// Revision of the last change.
    pub revision: u64,
    log: Vec<(u64, Key, Option<Record>)>,
    listing: Listing,
    /// Records per page of a list.
    pub page_size: usize,
    /// All requests are answered with 503.
    pub is_down: bool,
    /// Limits in force, if not those that controllers keep to.
    pub limits: Option<TransactionLimits>,
    /// Limits that controllers of the previous version keep to.
    pub previous_limits: TransactionLimits,
    /// Transactions beyond the limits in force.
    pub too_large: u32,
    /// Transactions, and changes in them, whether they were committed or not.
    pub transactions: u32,
    /// Changes of one transaction.
    pub changes: u32,
    /// Transactions of which a condition did not hold.
    pub conflicts: u32,
    /// Reads of the current revision.
    pub linearizable_reads: u32,
    /// Pages of lists that were read.
    pub list_requests: u32,
}

impl Default for StateStore {
    fn default() -> StateStore {
        StateStore {
            records: BTreeMap::new(),
            revision: 0,
            log: Vec::new(),
            listing: Listing::default(),
            page_size: 40,
            is_down: false,
            limits: None,
            previous_limits: TransactionLimits {
                max_value_bytes: 8 * 1024,
                changes: 16,
            },
            too_large: 0,
            transactions: 0,
            changes: 0,
            conflicts: 0,
            linearizable_reads: 0,
            list_requests: 0,
        }
    }
}

impl Simulation {
    /// Somebody else changes a record.
    pub fn put_record(&mut self, key: Key, record: Record) {
        self.commit_single(key, Some(record));
    }

    /// Somebody else removes a record.
    pub fn remove_record(&mut self, key: Key) {
        self.commit_single(key, None);
    }

    fn commit_single(&mut self, key: Key, record: Option<Record>) {
        self.state.revision += 1;
        self.store_change(key, record);
        for controller in 0..self.controllers.len() {
            self.schedule(3, Action::NotifyWatch(self.process(controller)));
        }
    }

    /// Takes a change up at the current revision.
    fn store_change(&mut self, key: Key, record: Option<Record>) {
        match &record {
            Some(r) => self
                .state
                .records
                .insert(key.clone(), (r.clone(), self.state.revision)),
            None => self.state.records.remove(&key),
        };
        self.state.log.push((self.state.revision, key, record));
    }

    /// The limits of the state service fall to those announced.
    pub fn lower_limits(&mut self) {
        self.state.limits = None;
    }

    /// A request arrives.
    pub(crate) fn execute_state_request(&mut self, request: StateRequest) {
        let (process, token) = (request.process, request.token);
        let changes = match &request.op {
            StateOperation::Transaction(transaction) => transaction.changes.len(),
            _ => 0,
        };
        if !self.state.is_down
            && !self
                .service_limits
                .admit_state_request(self.now_ms, changes)
        {
            self.deliver(ANSWER_MS, process, Event::Throttled);
            self.schedule(TOO_MANY_PAUSE_MS, Action::ExecuteStateRequest(request));
            return;
        }
        let answer = match self.state.is_down {
            true => StateResponse::Unavailable,
            false => self.execute_state_operation(request.op, self.is_previous_version(process)),
        };
        if request.fate != RequestFate::Normal {
            return;
        }
        let delay = match self.chance(self.network.faults.answer_slow) {
            true => self.rng.gen_range(ANSWER_MS..1_000),
            false => ANSWER_MS,
        };
        if delay > STATE_TIMEOUT_MS && changes > 0 {
            self.deliver(
                STATE_TIMEOUT_MS,
                process,
                Event::StateTimeout {
                    operation_id: token,
                },
            );
        }
        self.deliver(
            delay,
            process,
            Event::State {
                operation_id: token,
                response: answer,
            },
        );
    }

    pub(crate) fn execute_state_operation(
        &mut self,
        op: StateOperation,
        old: bool,
    ) -> StateResponse {
        match op {
            StateOperation::ReadIndex => {
                self.state.linearizable_reads += 1;
                StateResponse::ReadIndex {
                    revision: self.state.revision,
                }
            }
            StateOperation::List { after } => self.list_records(after.as_ref()),
            StateOperation::Transaction(transaction) => self.commit_transaction(transaction, old),
        }
    }

    /// A page of records, in the order of their paths.
    fn list_records(&mut self, after: Option<&String>) -> StateResponse {
        self.state.list_requests += 1;
        if self.state.listing.revision != self.state.revision {
            let mut keys: Vec<_> = self
                .state
                .records
                .keys()
                .map(|k| (k.path(), k.clone()))
                .collect();
            keys.sort();
            self.state.listing = Listing {
                revision: self.state.revision,
                keys,
            };
        }
        let keys = &self.state.listing.keys;
        let from = keys.partition_point(|(path, _)| Some(path) <= after);
        let page = &keys[from..keys.len().min(from + self.state.page_size)];
        let items = page.iter().map(|(_, k)| {
            let (r, mod_revision) = &self.state.records[k];
            (k.clone(), *mod_revision, r.clone())
        });
        StateResponse::Listed {
            items: items.collect(),
            last: page.last().map(|(path, _)| path.clone()),
            more: from + page.len() < keys.len(),
            revision: self.state.revision,
        }
    }

    /// Carries out a transaction if all its conditions hold.
    fn commit_transaction(&mut self, transaction: CasTransaction, old: bool) -> StateResponse {
        self.state.transactions += 1;
        self.state.changes += transaction.changes.len() as u32;
        let announced = match old {
            true => self.state.previous_limits,
            false => TransactionLimits {
                max_value_bytes: self.settings.max_value_bytes,
                changes: self.settings.max_transaction_changes,
            },
        };
        let largest = self.check_limits_and_format(&transaction, announced);
        let in_force = self.state.limits.unwrap_or(announced);
        if transaction.changes.len() > in_force.changes || largest > in_force.max_value_bytes {
            self.state.too_large += 1;
            return StateResponse::Refused;
        }
        let stamp_of = |key: &Key| {
            self.state
                .records
                .get(key)
                .map_or(0, |(_, mod_revision)| *mod_revision)
        };
        if !(transaction.conditions.iter())
            .all(|(key, mod_revision)| stamp_of(key) == *mod_revision)
        {
            self.state.conflicts += 1;
            return StateResponse::Conflict {
                revision: self.state.revision,
            };
        }
        self.check_claims(&transaction);
        self.state.revision += 1;
        for (key, record) in transaction.changes {
            // Through JSON, as on the wire.
            if let Some(r) = &record {
                let back = Record::from_value(&key, r.value(transaction.format));
                assert_eq!(back.as_ref(), Some(r), "a record reads back");
            }
            self.store_change(key, record);
        }
        for controller in 0..self.controllers.len() {
            let delay = self.rng.gen_range(2..8);
            self.schedule(delay, Action::NotifyWatch(self.process(controller)));
        }
        StateResponse::Committed {
            revision: self.state.revision,
        }
    }

    /// Checks that a transaction keeps to the limits that its sender was told, and that while one controller has
    /// the previous version all is written in the old shape. Returns the bytes of its largest value.
    fn check_limits_and_format(
        &self,
        transaction: &CasTransaction,
        limits: TransactionLimits,
    ) -> u64 {
        assert!(
            transaction.changes.len() <= limits.changes,
            "too many changes"
        );
        let most = limits.changes * CONDITIONS_PER_CHANGE;
        assert!(transaction.conditions.len() <= most, "too many conditions");
        let all_new = !(0..self.controllers.len())
            .any(|controller| self.is_previous_version(self.process(controller)));
        let mut largest = 0;
        for (key, record) in &transaction.changes {
            let Some(record) = record else { continue };
            let value = record.value(transaction.format);
            let size = value.to_string().len() as u64;
            let before = (self.state.records.get(key))
                .map_or(0, |(r, _)| r.value(OLDEST).to_string().len() as u64);
            // A chunk of the previous version's may be written as large as it is.
            let shrinks = transaction.format == OLDEST && size <= before;
            assert!(
                size <= limits.max_value_bytes || shrinks,
                "{key:?} has {size} bytes, had {before}"
            );
            largest = largest.max(size);
            let plain = crate::previous_version::value(key, value.clone()) == Some(value);
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
    pub(crate) fn notify_watch(&mut self, process: ProcessId) {
        let controller = process.controller;
        let slot = &self.controllers[controller];
        let Some(since) = slot.watched_revision.filter(|_| self.is_current(process)) else {
            return;
        };
        let lags = self.now_ms < slot.watch_delayed_until_ms;
        if slot.cut_from_state
            || slot.refused_by_state
            || self.state.is_down
            || self.is_partitioned(controller)
            || lags
        {
            self.schedule(WATCH_RETRY_MS, Action::NotifyWatch(process));
            return;
        }
        let from = self.state.log.partition_point(|(e, ..)| *e <= since);
        let changes: Vec<_> = self.state.log[from..]
            .iter()
            .map(|(e, k, r)| (k.clone(), *e, r.clone()))
            .collect();
        if !changes.is_empty() {
            let revision = self.state.revision;
            self.controllers[controller].watched_revision = Some(revision);
            self.handle(controller, Event::WatchUpdate { revision, changes });
        }
    }
}
