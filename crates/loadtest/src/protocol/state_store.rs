//! The state store's interface: compare-and-swap transactions, reads, lists, watches and leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// Path to which transactions are posted.
pub const TRANSACTION_PATH: &str = "/txn";
/// Path of watches.
pub const WATCH_PATH: &str = "/watch";
/// Path of lists; a key's own path is under it.
pub const KEYS_PATH: &str = "/keys";
/// Path to which requests for leases are posted; a lease's own path is under it.
pub const LEASES_PATH: &str = "/leases";
/// Last part of the path at which a lease is renewed.
pub const RENEW_SEGMENT: &str = "touch";

/// A stored value: its JSON text, shared by all that read it.
pub type Value = Arc<RawValue>;

/// A condition of a transaction: the key was last changed at this revision, or is absent for 0.
#[derive(Debug, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A put if it names `put`, else a removal.
#[derive(Debug, Deserialize)]
pub struct RecordChange {
    /// The key to put.
    pub put: Option<String>,
    /// The value to put.
    #[serde(rename = "v")]
    pub value: Option<Box<RawValue>>,
    /// The lease that the key goes with.
    #[serde(rename = "tenancy")]
    pub lease: Option<u64>,
    /// The key to remove.
    pub remove: Option<String>,
}

impl RecordChange {
    /// The key that is put or removed; empty if the change names none.
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.remove.as_ref());
        key.map_or("", String::as_str)
    }
}

/// Changes that take effect together if all conditions hold.
#[derive(Debug, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default, rename = "if")]
    pub conditions: Vec<Condition>,
    /// What is changed then.
    #[serde(default, rename = "apply")]
    pub changes: Vec<RecordChange>,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One page of a list.
#[derive(Debug, Serialize)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether another page follows.
    pub more: bool,
    /// The store's revision when it was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One change as a watch delivers it.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeEvent {
    /// The key that was put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// The value that was put.
    #[serde(rename = "v", skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// The key that was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// What a watch found.
#[derive(Debug, Serialize)]
pub struct WatchAnswer {
    /// The store's revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes after the revision that was asked for.
    #[serde(rename = "news")]
    pub events: Vec<ChangeEvent>,
}

/// An answer that only tells the store's revision.
#[derive(Debug, Serialize)]
pub struct RevisionAnswer {
    /// The store's revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The answer to a transaction whose conditions don't hold.
#[derive(Debug, Serialize)]
pub struct ConflictAnswer<'a> {
    /// Keys whose conditions failed.
    #[serde(rename = "failed")]
    pub failed_keys: &'a [String],
    /// The store's revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseRequest {
    /// Time to live after each renewal.
    #[serde(rename = "lifeMs")]
    pub time_to_live_ms: u64,
}

/// A lease that was granted, renewed or ended.
#[derive(Debug, Serialize)]
pub struct LeaseAnswer {
    /// Its id.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
