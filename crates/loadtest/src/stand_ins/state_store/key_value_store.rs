//! The state store in memory: keys, compare-and-swap transactions, lists, leases and recent changes.

use crate::measurement::figures::RecordUsage;
use crate::protocol::state_store::{
    ChangeEvent, Condition, Item, Page, RecordChange, Transaction, Value,
};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Changes that a watch can go back to, by protocol.
const CHANGES_KEPT: usize = 10_000;
/// Items and bytes of one page at most, by protocol.
const MAX_PAGE_ITEMS: usize = 1_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Bytes of an item on a page beyond its key and value.
const ITEM_OVERHEAD_BYTES: usize = 40;
/// Bytes of a transaction at most, by protocol.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Conditions of a transaction for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;
const MAX_KEY_BYTES: usize = 200;

/// How a transaction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It took effect at this revision.
    Committed(u64),
    /// Some conditions don't hold; nothing was changed.
    Conflict {
        /// Keys of the conditions that don't hold.
        failed_keys: Vec<String>,
        /// The store's revision.
        revision: u64,
    },
    /// It exceeds a limit or names what is not there, as the text says.
    Malformed(&'static str),
}

/// Sizes that the store accepts.
#[derive(Debug, Clone, Copy)]
pub struct SizeLimits {
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Changes of one transaction.
    pub changes: usize,
}

struct StoredValue {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    time_to_live_ms: u64,
    expires_ms: u64,
    keys: BTreeSet<String>,
}

/// All keys, leases and recent changes.
#[derive(Default)]
pub struct KeyValueStore {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    /// Bytes of all keys and values.
    bytes: usize,
    /// Oldest first.
    recent_changes: VecDeque<ChangeEvent>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl KeyValueStore {
    /// Revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.items.len()
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| stored.item(key))
    }

    /// Keys and bytes by kind of record.
    pub fn usage_by_kind(&self) -> BTreeMap<String, RecordUsage> {
        let mut kinds: BTreeMap<String, RecordUsage> = BTreeMap::new();
        for (key, stored) in &self.items {
            let usage = kinds.entry(record_kind(key)).or_default();
            usage.count += 1;
            usage.bytes += stored.bytes(key);
        }
        kinds
    }

    /// Stores a value as if a transaction had, long before anybody watches.
    pub fn preload(&mut self, key: String, value: Value) {
        self.revision += 1;
        let stored = StoredValue {
            value,
            mod_revision: self.revision,
            lease: None,
        };
        self.bytes += stored.bytes(&key);
        self.items.insert(key, stored);
    }

    /// Executes a transaction that came as so many bytes.
    pub fn transact(
        &mut self,
        transaction: Transaction,
        bytes: usize,
        limits: SizeLimits,
    ) -> TransactionOutcome {
        if let Some(problem) = limits.problem_of(&transaction, bytes) {
            return TransactionOutcome::Malformed(problem);
        }
        if transaction.changes.iter().any(|c| !self.has_lease_of(c)) {
            return TransactionOutcome::Malformed("no such lease");
        }
        let failed_keys: Vec<String> = (transaction.conditions.iter())
            .filter(|condition| !self.holds(condition))
            .map(|condition| condition.key.clone())
            .collect();
        if !failed_keys.is_empty() {
            return TransactionOutcome::Conflict {
                failed_keys,
                revision: self.revision,
            };
        }
        if !transaction.changes.is_empty() {
            self.revision += 1;
        }
        for change in transaction.changes {
            self.apply(change);
        }
        TransactionOutcome::Committed(self.revision)
    }

    fn has_lease_of(&self, change: &RecordChange) -> bool {
        change.lease.is_none_or(|id| self.leases.contains_key(&id))
    }

    fn holds(&self, condition: &Condition) -> bool {
        let stored = self.items.get(&condition.key);
        stored.map_or(0, |stored| stored.mod_revision) == condition.mod_revision
    }

    fn apply(&mut self, change: RecordChange) {
        match change.put {
            Some(key) => {
                let value = change.value.map(Arc::from);
                self.put(key, value.unwrap_or_else(null), change.lease);
            }
            None => self.remove(&change.remove.unwrap_or_default()),
        }
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        self.drop_item(&key);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.clone());
        }
        let stored = StoredValue {
            value: value.clone(),
            mod_revision: self.revision,
            lease,
        };
        self.bytes += stored.bytes(&key);
        self.items.insert(key.clone(), stored);
        self.publish(ChangeEvent {
            put: Some(key),
            value: Some(value),
            remove: None,
            mod_revision: self.revision,
        });
    }

    fn remove(&mut self, key: &str) {
        self.drop_item(key);
        self.publish(ChangeEvent {
            put: None,
            value: None,
            remove: Some(key.to_string()),
            mod_revision: self.revision,
        });
    }

    fn drop_item(&mut self, key: &str) {
        let Some(old) = self.items.remove(key) else {
            return;
        };
        self.bytes -= old.bytes(key);
        if let Some(lease) = old.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn publish(&mut self, event: ChangeEvent) {
        self.recent_changes.push_back(event);
        if self.recent_changes.len() > CHANGES_KEPT {
            self.recent_changes.pop_front();
        }
    }

    /// One page of the keys with a prefix after `after`, of `max_items` items at most.
    pub fn list(&self, prefix: &str, after: &str, max_items: usize) -> Page {
        let from = after.max(prefix);
        let mut remaining = (self.items.range(from.to_string()..))
            .skip_while(|(key, _)| key.as_str() == after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .peekable();
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some((key, stored)) = remaining.peek() {
            bytes += stored.bytes(key) + ITEM_OVERHEAD_BYTES;
            let is_full = items.len() >= max_items.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES;
            if is_full && !items.is_empty() {
                break;
            }
            items.push(stored.item(key));
            remaining.next();
        }
        Page {
            items,
            more: remaining.peek().is_some(),
            revision: self.revision,
        }
    }

    /// Changes of keys with a prefix after a revision; `None` if these are no longer kept.
    pub fn changes_since(&self, prefix: &str, since: u64) -> Option<Vec<ChangeEvent>> {
        let changes = &self.recent_changes;
        let oldest = changes.front().map_or(0, |event| event.mod_revision);
        let is_complete = changes.len() < CHANGES_KEPT || oldest <= since + 1;
        if !is_complete {
            return None;
        }
        let from = changes.partition_point(|event| event.mod_revision <= since);
        let events = changes.range(from..).filter(|event| {
            let key = event.put.as_ref().or(event.remove.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        });
        Some(events.cloned().collect())
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, time_to_live_ms: u64, now_ms: u64) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            time_to_live_ms,
            expires_ms: now_ms + time_to_live_ms,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Gives a lease its full time back; false if there is no such lease.
    pub fn renew_lease(&mut self, id: u64, now_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.renew(now_ms);
        true
    }

    /// Gives all leases their full time back.
    pub fn renew_all_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.renew(now_ms);
        }
    }

    /// Ends a lease and removes its keys; false if there is no such lease.
    pub fn end_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.remove(&key);
        }
        true
    }

    /// Ends leases whose time is over; true if any did.
    pub fn expire_leases(&mut self, now_ms: u64) -> bool {
        let expired: Vec<u64> = (self.leases.iter())
            .filter(|(_, lease)| lease.expires_ms < now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }
}

impl StoredValue {
    fn bytes(&self, key: &str) -> usize {
        key.len() + self.value.get().len()
    }

    fn item(&self, key: &str) -> Item {
        Item {
            key: key.to_string(),
            value: self.value.clone(),
            mod_revision: self.mod_revision,
        }
    }
}

impl Lease {
    fn renew(&mut self, now_ms: u64) {
        self.expires_ms = now_ms + self.time_to_live_ms;
    }
}

impl SizeLimits {
    /// What is wrong with a transaction by its sizes and keys.
    fn problem_of(self, transaction: &Transaction, bytes: usize) -> Option<&'static str> {
        let changes = &transaction.changes;
        let is_large = |change: &RecordChange| {
            let value = change.value.as_ref();
            value.is_some_and(|value| value.get().len() > self.value_bytes)
        };
        if bytes > MAX_TRANSACTION_BYTES {
            return Some("larger than 64 KiB");
        }
        if changes.len() > self.changes {
            return Some("too many changes");
        }
        if transaction.conditions.len() > self.changes * CONDITIONS_PER_CHANGE {
            return Some("too many conditions");
        }
        if changes.iter().any(|change| !is_valid_key(change.key())) {
            return Some("bad key");
        }
        changes.iter().any(is_large).then_some("value too large")
    }
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.contains(' ')
}

fn null() -> Value {
    Arc::from(RawValue::NULL.to_owned())
}

/// The kind of record that a key holds: `chunk` for `g/chunk/j-000412/0`.
pub fn record_kind(key: &str) -> String {
    key.split('/').nth(1).unwrap_or(key).to_string()
}
