//! Simulated state store: records, compare-and-swap transactions, lists and watches.

use crate::{Action, ProcessId, Simulation};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{Event, OperationId, StateOperation, StateResponse};
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::{CasTransaction, Key, Record};
use rand::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Delay after which a throttled request is retried.
const THROTTLE_RETRY_MS: u64 = 150;
/// Latency of an answer.
const ANSWER_LATENCY_MS: u64 = 3;
/// Delay after which an unreachable watch is retried.
const WATCH_RETRY_MS: u64 = 200;
/// Delay after which a copy of a committed transaction arrives.
const TRANSACTION_COPY_DELAY_MS: Range<u64> = 1..120_000;
/// Maximum number of conditions in a transaction for each change of its limit.
const CONDITIONS_PER_CHANGE: usize = 4;

/// The fate of a request to the state store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestFate {
    /// The state store executes and answers the request.
    Normal,
    /// The state store executes the request, but the answer is lost.
    AnswerLost,
    /// The state store executes the request after these milliseconds, when the controller has timed out.
    Late(u64),
    /// The request is a copy of a transaction that has committed.
    Copy,
}

/// A request of a controller to the state store.
#[derive(Clone, Debug)]
pub(crate) struct StateRequest {
    pub process: ProcessId,
    pub operation_id: OperationId,
    pub operation: StateOperation,
    pub fate: RequestFate,
}

/// Limits of a transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Size limit of a value in bytes.
    pub max_value_bytes: u64,
    /// Maximum number of changes.
    pub changes: usize,
}

/// Keys of all records in the order of their paths, cached for a revision.
#[derive(Default)]
struct Listing {
    revision: u64,
    keys: Vec<(String, Key)>,
}

/// The state store: its records, its faults and counts of its requests.
pub struct StateStore {
    /// Each record and the revision of its last change.
    pub records: BTreeMap<Key, (Record, u64)>,
    /// Revision of the last change.
    pub revision: u64,
    /// All changes with their revisions.
    log: Vec<(u64, Key, Option<Record>)>,
    listing: Listing,
    /// Records per page of a list.
    pub page_size: usize,
    /// Whether it answers all requests with 503.
    pub is_down: bool,
    /// Limits in force, if they differ from those announced to the sender.
    pub limits: Option<TransactionLimits>,
    /// Limits announced to controllers of the previous version.
    pub previous_limits: TransactionLimits,
    /// Number of transactions beyond the limits in force.
    pub too_large: u32,
    /// Number of transactions, committed or not.
    pub transactions: u32,
    /// Number of changes in transactions, committed or not.
    pub changes: u32,
    /// Number of transactions with a conflict.
    pub conflicts: u32,
    /// Number of reads of the current revision.
    pub linearizable_reads: u32,
    /// Number of pages of lists that were read.
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
    /// Writes a record on behalf of another client.
    pub fn put_record(&mut self, key: Key, record: Record) {
        self.commit_single(key, Some(record));
    }

    /// Removes a record on behalf of another client.
    pub fn remove_record(&mut self, key: Key) {
        self.commit_single(key, None);
    }

    /// Commits one change without conditions.
    fn commit_single(&mut self, key: Key, record: Option<Record>) {
        self.state.revision += 1;
        self.store_change(key, record);
        for controller in 0..self.controllers.len() {
            self.schedule(3, Action::NotifyWatch(self.process(controller)));
        }
    }

    /// Stores a change at the current revision.
    fn store_change(&mut self, key: Key, record: Option<Record>) {
        match &record {
            Some(record) => self
                .state
                .records
                .insert(key.clone(), (record.clone(), self.state.revision)),
            None => self.state.records.remove(&key),
        };
        self.state.log.push((self.state.revision, key, record));
    }

    /// Lowers the limits in force to those announced.
    pub fn lower_limits(&mut self) {
        self.state.limits = None;
    }

    /// Executes a request that arrives, unless the rate limits refuse it, and sends the answer.
    pub(crate) fn execute_state_request(&mut self, request: StateRequest) {
        let (process, operation_id) = (request.process, request.operation_id);
        let changes = match &request.operation {
            StateOperation::Transaction(transaction) => transaction.changes.len(),
            _ => 0,
        };
        if !self.state.is_down
            && !self
                .service_limits
                .admit_state_request(self.now_ms, changes)
        {
            self.deliver(ANSWER_LATENCY_MS, process, Event::Throttled);
            self.schedule(THROTTLE_RETRY_MS, Action::ExecuteStateRequest(request));
            return;
        }
        let copy = self.draw_transaction_copy(&request);
        let response = match self.state.is_down {
            true => StateResponse::Unavailable,
            false => {
                self.execute_state_operation(request.operation, self.is_previous_version(process))
            }
        };
        let is_committed = matches!(response, StateResponse::Committed { .. });
        if request.fate == RequestFate::Copy {
            self.metrics.repeated_transactions += 1;
            self.metrics.repeated_commits += u32::from(is_committed);
        } else if let Some(copy) = copy.filter(|_| is_committed) {
            let delay_ms = self.rng.gen_range(TRANSACTION_COPY_DELAY_MS);
            self.schedule(delay_ms, Action::ExecuteStateRequest(copy));
        }
        if request.fate != RequestFate::Normal {
            return;
        }
        let delay_ms = match self.chance(self.network.faults.answer_slow) {
            true => self.rng.gen_range(ANSWER_LATENCY_MS..1_000),
            false => ANSWER_LATENCY_MS,
        };
        if delay_ms > STATE_TIMEOUT_MS && changes > 0 {
            self.deliver(
                STATE_TIMEOUT_MS,
                process,
                Event::StateTimeout { operation_id },
            );
        }
        self.deliver(
            delay_ms,
            process,
            Event::State {
                operation_id,
                response,
            },
        );
    }

    /// Returns a copy of a transaction with changes that arrives again once it has committed, if the fault draws it.
    fn draw_transaction_copy(&mut self, request: &StateRequest) -> Option<StateRequest> {
        let has_changes = matches!(&request.operation,
            StateOperation::Transaction(transaction) if !transaction.changes.is_empty());
        let is_repeated = has_changes
            && request.fate != RequestFate::Copy
            && self.chance(self.network.faults.transaction_repeated);
        is_repeated.then(|| StateRequest {
            fate: RequestFate::Copy,
            ..request.clone()
        })
    }

    /// Executes an operation of a controller of the current or the previous version.
    pub(crate) fn execute_state_operation(
        &mut self,
        operation: StateOperation,
        is_previous_version: bool,
    ) -> StateResponse {
        match operation {
            StateOperation::ReadIndex => {
                self.state.linearizable_reads += 1;
                StateResponse::ReadIndex {
                    revision: self.state.revision,
                }
            }
            StateOperation::List { after } => self.list_records(after.as_ref()),
            StateOperation::Transaction(transaction) => {
                self.commit_transaction(transaction, is_previous_version)
            }
        }
    }

    /// Returns a page of records, in the order of their paths.
    fn list_records(&mut self, after: Option<&String>) -> StateResponse {
        self.state.list_requests += 1;
        if self.state.listing.revision != self.state.revision {
            let mut keys: Vec<_> = self
                .state
                .records
                .keys()
                .map(|key| (key.path(), key.clone()))
                .collect();
            keys.sort();
            self.state.listing = Listing {
                revision: self.state.revision,
                keys,
            };
        }
        let keys = &self.state.listing.keys;
        let first = keys.partition_point(|(path, _)| Some(path) <= after);
        let page = &keys[first..keys.len().min(first + self.state.page_size)];
        let items = page.iter().map(|(_, key)| {
            let (record, mod_revision) = &self.state.records[key];
            (key.clone(), *mod_revision, record.clone())
        });
        StateResponse::Listed {
            items: items.collect(),
            last: page.last().map(|(path, _)| path.clone()),
            more: first + page.len() < keys.len(),
            revision: self.state.revision,
        }
    }

    /// Commits a transaction if it keeps to the limits in force and all its conditions hold.
    fn commit_transaction(
        &mut self,
        transaction: CasTransaction,
        is_previous_version: bool,
    ) -> StateResponse {
        self.state.transactions += 1;
        self.state.changes += transaction.changes.len() as u32;
        let announced = match is_previous_version {
            true => self.state.previous_limits,
            false => TransactionLimits {
                max_value_bytes: self.settings.max_value_bytes,
                changes: self.settings.max_transaction_changes,
            },
        };
        let largest_value_bytes = self.check_limits_and_format(&transaction, announced);
        let in_force = self.state.limits.unwrap_or(announced);
        if transaction.changes.len() > in_force.changes
            || largest_value_bytes > in_force.max_value_bytes
        {
            self.state.too_large += 1;
            return StateResponse::Refused;
        }
        let current_revision = |key: &Key| {
            self.state
                .records
                .get(key)
                .map_or(0, |(_, mod_revision)| *mod_revision)
        };
        if !(transaction.conditions.iter())
            .all(|(key, mod_revision)| current_revision(key) == *mod_revision)
        {
            self.state.conflicts += 1;
            return StateResponse::Conflict {
                revision: self.state.revision,
            };
        }
        self.check_claims(&transaction);
        self.state.revision += 1;
        for (key, record) in transaction.changes {
            // On the wire a record is JSON, and must survive the conversion.
            if let Some(record) = &record {
                let decoded = Record::from_value(&key, record.value(transaction.format));
                assert_eq!(decoded.as_ref(), Some(record), "decoded record");
            }
            self.store_change(key, record);
        }
        for controller in 0..self.controllers.len() {
            let delay_ms = self.rng.gen_range(2..8);
            self.schedule(delay_ms, Action::NotifyWatch(self.process(controller)));
        }
        StateResponse::Committed {
            revision: self.state.revision,
        }
    }

    /// Checks that a transaction keeps to the limits announced to its sender, and that all records have the previous
    /// format while a controller runs the previous version. Returns the size of the largest value in bytes.
    fn check_limits_and_format(
        &self,
        transaction: &CasTransaction,
        limits: TransactionLimits,
    ) -> u64 {
        assert!(
            transaction.changes.len() <= limits.changes,
            "too many changes"
        );
        let max_conditions = limits.changes * CONDITIONS_PER_CHANGE;
        assert!(
            transaction.conditions.len() <= max_conditions,
            "too many conditions"
        );
        let is_upgraded = !(0..self.controllers.len())
            .any(|controller| self.is_previous_version(self.process(controller)));
        let mut largest_bytes = 0;
        for (key, record) in &transaction.changes {
            let Some(record) = record else { continue };
            let value = record.value(transaction.format);
            let size_bytes = value.to_string().len() as u64;
            let previous_bytes = (self.state.records.get(key)).map_or(0, |(record, _)| {
                record.value(OLDEST).to_string().len() as u64
            });
            // A chunk of the previous version may exceed the limit as long as it does not grow.
            let shrinks = transaction.format == OLDEST && size_bytes <= previous_bytes;
            assert!(
                size_bytes <= limits.max_value_bytes || shrinks,
                "{key:?} has {size_bytes} bytes, had {previous_bytes}"
            );
            largest_bytes = largest_bytes.max(size_bytes);
            let is_unchanged = crate::previous_version::value(key, value.clone()) == Some(value);
            let is_allowed = is_unchanged
                || matches!(
                    key,
                    Key::Format(_) | Key::CancellationConfirmation | Key::RunTimes(_)
                );
            assert!(
                is_upgraded || is_allowed,
                "{key:?} is not in the previous format"
            );
        }
        largest_bytes
    }

    /// Delivers the changes since its last update to a controller's watch, or retries later if it is unreachable.
    pub(crate) fn notify_watch(&mut self, process: ProcessId) {
        let controller = process.controller;
        let slot = &self.controllers[controller];
        let Some(since) = slot.watched_revision.filter(|_| self.is_current(process)) else {
            return;
        };
        let is_delayed = self.now_ms < slot.watch_delayed_until_ms;
        if slot.cut_from_state
            || slot.refused_by_state
            || self.state.is_down
            || self.is_partitioned(controller)
            || is_delayed
        {
            self.schedule(WATCH_RETRY_MS, Action::NotifyWatch(process));
            return;
        }
        let first = self
            .state
            .log
            .partition_point(|(revision, ..)| *revision <= since);
        let changes: Vec<_> = self.state.log[first..]
            .iter()
            .map(|(revision, key, record)| (key.clone(), *revision, record.clone()))
            .collect();
        if !changes.is_empty() {
            let revision = self.state.revision;
            self.controllers[controller].watched_revision = Some(revision);
            self.handle(controller, Event::WatchUpdate { revision, changes });
        }
    }
}
