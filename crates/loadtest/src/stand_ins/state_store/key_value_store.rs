//! In-memory key-value store with compare-and-swap transactions, lists, leases and recent changes for
//! watches.

use crate::measurement::figures::RecordUsage;
use crate::protocol::state_store::{
    ChangeEvent, Condition, Item, Page, RecordChange, Transaction, Value,
};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of recent changes that a watch can replay, by protocol.
const MAX_RECENT_CHANGES: usize = 10_000;
/// Upper bounds of the items and bytes of one page, by protocol.
const MAX_PAGE_ITEMS: usize = 1_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Bytes of an item on a page in addition to its key and value.
const ITEM_OVERHEAD_BYTES: usize = 40;
/// Upper bound of the bytes of a transaction, by protocol.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Upper bound of the conditions of a transaction, per change that a transaction may have.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
const MAX_KEY_BYTES: usize = 200;

/// The outcome of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect at this revision.
    Committed(u64),
    /// Some conditions don't hold; the transaction had no effect.
    Conflict {
        /// Keys of the conditions that don't hold.
        failed_keys: Vec<String>,
        /// The store's revision.
        revision: u64,
    },
    /// The transaction exceeds a limit, or names an invalid key or an unknown lease; the text is the error
    /// answer.
    Malformed(&'static str),
}

/// The size limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct SizeLimits {
    /// Upper bound of the bytes of one value.
    pub value_bytes: usize,
    /// Upper bound of the changes of one transaction.
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

/// The keys, leases and recent changes.
#[derive(Default)]
pub struct KeyValueStore {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    /// Bytes of all keys and values.
    bytes: usize,
    /// The latest changes, oldest first.
    recent_changes: VecDeque<ChangeEvent>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl KeyValueStore {
    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.items.len()
    }

    /// Returns the bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the item of a key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| stored.item(key))
    }

    /// Returns the number of keys and their bytes by kind of record.
    pub fn usage_by_kind(&self) -> BTreeMap<String, RecordUsage> {
        let mut kinds: BTreeMap<String, RecordUsage> = BTreeMap::new();
        for (key, stored) in &self.items {
            let usage = kinds.entry(record_kind(key)).or_default();
            usage.count += 1;
            usage.bytes += stored.bytes(key);
        }
        kinds
    }

    /// Stores a value that was committed before any watch began, so the change isn't published.
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

    /// Executes a transaction whose request body has `bytes` bytes.
    pub fn transact(
        &mut self,
        transaction: Transaction,
        bytes: usize,
        limits: SizeLimits,
    ) -> TransactionOutcome {
        if let Some(problem) = limits.problem_of(&transaction, bytes) {
            return TransactionOutcome::Malformed(problem);
        }
        if transaction
            .changes
            .iter()
            .any(|change| !self.has_valid_lease(change))
        {
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

    fn has_valid_lease(&self, change: &RecordChange) -> bool {
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
                self.put(key, value.unwrap_or_else(null_value), change.lease);
            }
            None => self.remove(&change.remove.unwrap_or_default()),
        }
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        self.drop_stored(&key);
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
        self.drop_stored(key);
        self.publish(ChangeEvent {
            put: None,
            value: None,
            remove: Some(key.to_string()),
            mod_revision: self.revision,
        });
    }

    fn drop_stored(&mut self, key: &str) {
        let Some(removed) = self.items.remove(key) else {
            return;
        };
        self.bytes -= removed.bytes(key);
        if let Some(lease) = removed.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn publish(&mut self, event: ChangeEvent) {
        self.recent_changes.push_back(event);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Returns one page of the keys with a prefix that follow `after`, with at most `max_items` items.
    pub fn list(&self, prefix: &str, after: &str, max_items: usize) -> Page {
        let first_key = after.max(prefix);
        let mut remaining = (self.items.range(first_key.to_string()..))
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

    /// Returns the changes of keys with a prefix after a revision; `None` if the store no longer holds all of
    /// them.
    pub fn changes_since(&self, prefix: &str, since: u64) -> Option<Vec<ChangeEvent>> {
        let changes = &self.recent_changes;
        let oldest_revision = changes.front().map_or(0, |event| event.mod_revision);
        let is_complete = changes.len() < MAX_RECENT_CHANGES || oldest_revision <= since + 1;
        if !is_complete {
            return None;
        }
        let first_index = changes.partition_point(|event| event.mod_revision <= since);
        let events = changes.range(first_index..).filter(|event| {
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

    /// Renews a lease for its full time to live; returns false if there is no such lease.
    pub fn renew_lease(&mut self, id: u64, now_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.renew(now_ms);
        true
    }

    /// Renews all leases for their full time to live.
    pub fn renew_all_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.renew(now_ms);
        }
    }

    /// Ends a lease and removes its keys; returns false if there is no such lease.
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

    /// Ends the leases whose time to live has passed; returns whether there was any.
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
    /// Returns the error text for a transaction that exceeds a limit or has an invalid key.
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
        if transaction.conditions.len() > self.changes * MAX_CONDITIONS_PER_CHANGE {
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

fn null_value() -> Value {
    Arc::from(RawValue::NULL.to_owned())
}

/// Returns the kind of record that a key holds: `chunk` for `g/chunk/j-000412/0`.
pub fn record_kind(key: &str) -> String {
    key.split('/').nth(1).unwrap_or(key).to_string()
}
