//! The state service's keys, conditional transactions, lists, leases and recent changes, in memory.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Changes that a watch can go back to, by protocol.
const CHANGES_KEPT: usize = 10_000;
/// Items and bytes of one page at most, by protocol.
const PAGE_ITEMS: usize = 1_000;
const PAGE_BYTES: usize = 512 * 1024;
/// Bytes of a transaction at most, by protocol.
const TRANSACTION_BYTES: usize = 64 * 1024;
/// Conditions of a transaction for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;
const KEY_BYTES: usize = 200;

/// A stored value: its JSON text, shared by all that read it.
pub type Value = Arc<RawValue>;

#[derive(Debug, Deserialize)]
pub struct Condition {
    pub k: String,
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A put if it names `put`, else a removal.
#[derive(Debug, Deserialize)]
pub struct RecordChange {
    pub put: Option<String>,
    pub v: Option<Box<RawValue>>,
    pub tenancy: Option<u64>,
    pub remove: Option<String>,
}

impl RecordChange {
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.remove.as_ref());
        key.map_or("", String::as_str)
    }
}

#[derive(Debug, Deserialize)]
pub struct Transaction {
    #[serde(default, rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(default)]
    pub apply: Vec<RecordChange>,
}

#[derive(Debug, Clone, Serialize)]
pub struct Item {
    pub k: String,
    pub v: Value,
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One change as the watch tells it.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeEvent {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub v: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

#[derive(Debug, Serialize)]
pub struct Page {
    pub items: Vec<Item>,
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// How a transaction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    Committed(u64),
    Conflict { failed: Vec<String>, revision: u64 },
    Malformed(&'static str),
}

/// Sizes that the state service accepts.
#[derive(Debug, Clone, Copy)]
pub struct SizeLimits {
    pub value_bytes: usize,
    pub changes: usize,
}

struct StoredValue {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    life_ms: u64,
    ends_ms: u64,
    keys: BTreeSet<String>,
}

#[derive(Default)]
pub struct KeyValueStore {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    bytes: usize,
    changes: VecDeque<ChangeEvent>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl KeyValueStore {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn records(&self) -> usize {
        self.items.len()
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, key: &str) -> Option<Item> {
        let stored = self.items.get(key)?;
        Some(Item {
            k: key.to_string(),
            v: stored.value.clone(),
            mod_revision: stored.mod_revision,
        })
    }

    /// Keys, and bytes of their values, by the first two parts of the key.
    pub fn by_kind(&self) -> BTreeMap<String, (usize, usize)> {
        let mut kinds: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for (key, stored) in &self.items {
            let (count, bytes) = kinds.entry(kind_of(key)).or_default();
            *count += 1;
            *bytes += key.len() + stored.value.get().len();
        }
        kinds
    }

    /// Puts a value there as if a transaction had, long before anybody watches.
    pub fn preload(&mut self, key: String, value: Value) {
        self.revision += 1;
        self.bytes += key.len() + value.get().len();
        let stored = StoredValue {
            value,
            mod_revision: self.revision,
            lease: None,
        };
        self.items.insert(key, stored);
    }

    pub fn transact(
        &mut self,
        transaction: Transaction,
        bytes: usize,
        sizes: SizeLimits,
    ) -> TransactionOutcome {
        if let Some(problem) = malformed(&transaction, bytes, sizes) {
            return TransactionOutcome::Malformed(problem);
        }
        let unknown = |c: &RecordChange| c.tenancy.is_some_and(|id| !self.leases.contains_key(&id));
        if transaction.apply.iter().any(unknown) {
            return TransactionOutcome::Malformed("no such lease");
        }
        let revision_of = |key: &str| self.items.get(key).map_or(0, |stored| stored.mod_revision);
        let failed: Vec<String> = (transaction.conditions.iter())
            .filter(|c| revision_of(&c.k) != c.mod_revision)
            .map(|c| c.k.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return TransactionOutcome::Conflict { failed, revision };
        }
        if !transaction.apply.is_empty() {
            self.revision += 1;
        }
        for change in transaction.apply {
            match change.put {
                Some(key) => {
                    let value = change.v.map(Arc::from);
                    self.put(key, value.unwrap_or_else(null), change.tenancy);
                }
                None => self.remove(&change.remove.unwrap_or_default()),
            }
        }
        TransactionOutcome::Committed(self.revision)
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        let mod_revision = self.revision;
        self.forget(&key);
        self.bytes += key.len() + value.get().len();
        if let Some(held) = lease.and_then(|id| self.leases.get_mut(&id)) {
            held.keys.insert(key.clone());
        }
        let stored = StoredValue {
            value: value.clone(),
            mod_revision,
            lease,
        };
        self.items.insert(key.clone(), stored);
        self.tell(ChangeEvent {
            put: Some(key),
            v: Some(value),
            remove: None,
            mod_revision,
        });
    }

    fn remove(&mut self, key: &str) {
        self.forget(key);
        self.tell(ChangeEvent {
            put: None,
            v: None,
            remove: Some(key.to_string()),
            mod_revision: self.revision,
        });
    }

    fn forget(&mut self, key: &str) {
        let Some(old) = self.items.remove(key) else {
            return;
        };
        self.bytes -= key.len() + old.value.get().len();
        if let Some(held) = old.lease.and_then(|id| self.leases.get_mut(&id)) {
            held.keys.remove(key);
        }
    }

    fn tell(&mut self, news: ChangeEvent) {
        self.changes.push_back(news);
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    pub fn list(&self, under: &str, since: &str, most: usize) -> Page {
        let from = if since > under { since } else { under };
        let mut items = (self.items.range(from.to_string()..))
            .skip_while(|(key, _)| key.as_str() == since)
            .take_while(|(key, _)| key.starts_with(under))
            .peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while let Some((key, stored)) = items.peek() {
            bytes += key.len() + stored.value.get().len() + 40;
            let full = page.len() >= most.min(PAGE_ITEMS) || bytes > PAGE_BYTES;
            if full && !page.is_empty() {
                break;
            }
            page.push(Item {
                k: key.to_string(),
                v: stored.value.clone(),
                mod_revision: stored.mod_revision,
            });
            items.next();
        }
        Page {
            items: page,
            more: items.peek().is_some(),
            revision: self.revision,
        }
    }

    /// Changes of keys with a prefix after a revision; `None` if these are no longer kept.
    pub fn changes_since(&self, under: &str, since: u64) -> Option<Vec<ChangeEvent>> {
        let oldest = self.changes.front().map_or(0, |news| news.mod_revision);
        let complete = self.changes.len() < CHANGES_KEPT || oldest <= since + 1;
        if !complete {
            return None;
        }
        let from = self
            .changes
            .partition_point(|news| news.mod_revision <= since);
        let news = self.changes.range(from..).filter(|news| {
            let key = news.put.as_ref().or(news.remove.as_ref());
            key.is_some_and(|key| key.starts_with(under))
        });
        Some(news.cloned().collect())
    }

    pub fn grant(&mut self, life_ms: u64, now_ms: u64) -> u64 {
        self.next_lease += 1;
        let lease = Lease {
            life_ms,
            ends_ms: now_ms + life_ms,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Whether there is such a lease; it gets its full time back.
    pub fn renew(&mut self, lease: u64, now_ms: u64) -> bool {
        let held = self.leases.get_mut(&lease);
        held.map(|held| held.ends_ms = now_ms + held.life_ms)
            .is_some()
    }

    pub fn renew_all(&mut self, now_ms: u64) {
        for held in self.leases.values_mut() {
            held.ends_ms = now_ms + held.life_ms;
        }
    }

    pub fn end(&mut self, lease: u64) -> bool {
        let Some(held) = self.leases.remove(&lease) else {
            return false;
        };
        if !held.keys.is_empty() {
            self.revision += 1;
        }
        for key in held.keys {
            self.remove(&key);
        }
        true
    }

    /// Ends leases whose time is over; says whether any did.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let over: Vec<u64> = (self.leases.iter())
            .filter(|(_, held)| held.ends_ms < now_ms)
            .map(|(id, _)| *id)
            .collect();
        for lease in &over {
            self.end(*lease);
        }
        !over.is_empty()
    }
}

fn null() -> Value {
    Arc::from(RawValue::NULL.to_owned())
}

/// The kind of record that a key holds: `chunk` for `g/chunk/j-000412/0`.
pub fn kind_of(key: &str) -> String {
    key.split('/').nth(1).unwrap_or(key).to_string()
}

fn malformed(transaction: &Transaction, bytes: usize, sizes: SizeLimits) -> Option<&'static str> {
    let bad_key = |key: &str| key.is_empty() || key.len() > KEY_BYTES || key.contains(' ');
    let large = |change: &RecordChange| {
        let value = change.v.as_ref();
        value.is_some_and(|v| v.get().len() > sizes.value_bytes)
    };
    let changes = &transaction.apply;
    if bytes > TRANSACTION_BYTES {
        return Some("larger than 64 KiB");
    }
    if changes.len() > sizes.changes {
        return Some("too many changes");
    }
    if transaction.conditions.len() > sizes.changes * CONDITIONS_PER_CHANGE {
        return Some("too many conditions");
    }
    if changes.iter().any(|change| bad_key(change.key())) {
        return Some("bad key");
    }
    changes.iter().any(large).then_some("value too large")
}
