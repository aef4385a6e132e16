//! Interface of the state store: compare-and-swap transactions, reads, lists, watches and leases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// Path to which transactions are posted.
pub const TRANSACTION_PATH: &str = "/txn";
/// Path of watches.
pub const WATCH_PATH: &str = "/watch";
/// Path of lists, and prefix of the path of each key.
pub const KEYS_PATH: &str = "/keys";
/// Path to which requests for leases are posted, and prefix of the path of each lease.
pub const LEASES_PATH: &str = "/leases";
/// Last segment of the path at which a lease is renewed.
pub const RENEW_SEGMENT: &str = "touch";

/// The JSON text of a stored value, shared among readers.
pub type Value = Arc<RawValue>;

/// A condition of a transaction: the latest change of the key has this revision, or the key is absent if it is
/// 0.
#[derive(Debug, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Revision of the latest change of the key.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// A change of one key: a put if `put` is set, otherwise a removal.
#[derive(Debug, Deserialize)]
pub struct RecordChange {
    /// Key to put.
    pub put: Option<String>,
    /// Value to put.
    #[serde(rename = "v")]
    pub value: Option<Box<RawValue>>,
    /// Lease whose end removes the key.
    #[serde(rename = "tenancy")]
    pub lease: Option<u64>,
    /// Key to remove.
    pub remove: Option<String>,
}

impl RecordChange {
    /// Returns the key that is put or removed; empty if the change names none.
    pub fn key(&self) -> &str {
        let key = self.put.as_ref().or(self.remove.as_ref());
        key.map_or("", String::as_str)
    }
}

/// A transaction, whose changes take effect atomically if all conditions hold.
#[derive(Debug, Deserialize)]
pub struct Transaction {
    /// Conditions of the transaction.
    #[serde(default, rename = "if")]
    pub conditions: Vec<Condition>,
    /// Changes of the transaction.
    #[serde(default, rename = "apply")]
    pub changes: Vec<RecordChange>,
}

/// A key with its value.
#[derive(Debug, Clone, Serialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the latest change of the key.
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
    /// Revision of the store at the time of the read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change as reported by a watch.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeEvent {
    /// Key that was put.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Value that was put.
    #[serde(rename = "v", skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Key that was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// The answer to a watch.
#[derive(Debug, Serialize)]
pub struct WatchAnswer {
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes after the requested revision.
    #[serde(rename = "news")]
    pub events: Vec<ChangeEvent>,
}

/// An answer that contains only the store's revision.
#[derive(Debug, Serialize)]
pub struct RevisionAnswer {
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The answer to a transaction whose conditions don't hold.
#[derive(Debug, Serialize)]
pub struct ConflictAnswer<'a> {
    /// Keys whose conditions failed.
    #[serde(rename = "failed")]
    pub failed_keys: &'a [String],
    /// Revision of the store.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseRequest {
    /// Time to live after the grant and after each renewal.
    #[serde(rename = "lifeMs")]
    pub time_to_live_ms: u64,
}

/// The answer to the grant, renewal or end of a lease.
#[derive(Debug, Serialize)]
pub struct LeaseAnswer {
    /// Id of the lease.
    #[serde(rename = "tenancy")]
    pub lease: u64,
}
