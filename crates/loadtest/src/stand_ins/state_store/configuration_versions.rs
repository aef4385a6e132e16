//! Measures how long controllers take to follow a configuration version, from the transactions that pass
//! through the state store.

use crate::measurement::latencies::{Latencies, LatencyKind};
use crate::protocol::state_store::Transaction;
use crate::sync::lock;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::Mutex;

const CONFIGURATION_KEY: &str = "g/configuration";
/// Prefix of the keys at which each controller writes the version that it follows.
const FOLLOWED_PREFIX: &str = "g/following/";

/// The version field of a configuration record.
#[derive(Deserialize)]
struct VersionedRecord {
    #[serde(rename = "v")]
    version: u64,
}

/// A change of a transaction that concerns a configuration version.
pub enum VersionChange {
    /// An operator committed the version.
    Committed(u64),
    /// A controller recorded that it follows the version.
    Followed(u64),
}

/// Returns the changes of a transaction that concern configuration versions.
pub fn version_changes(transaction: &Transaction) -> Vec<VersionChange> {
    let changes = transaction.changes.iter().filter_map(|change| {
        let key = change.put.as_deref()?;
        let is_versioned = key == CONFIGURATION_KEY || key.starts_with(FOLLOWED_PREFIX);
        let value = change.value.as_ref().filter(|_| is_versioned)?;
        let record = serde_json::from_str::<VersionedRecord>(value.get()).ok()?;
        Some(match key {
            CONFIGURATION_KEY => VersionChange::Committed(record.version),
            _ => VersionChange::Followed(record.version),
        })
    });
    changes.collect()
}

/// The commit times of configuration versions.
#[derive(Default)]
pub struct ConfigurationVersions {
    /// Commit time by version.
    committed_ms: Mutex<BTreeMap<u64, u64>>,
}

impl ConfigurationVersions {
    /// Records the commit times in a committed transaction, and the latency from a version's commit until a
    /// controller follows it.
    pub fn record(&self, changes: Vec<VersionChange>, now_ms: u64, latencies: &Latencies) {
        let mut committed_ms = lock(&self.committed_ms);
        for change in changes {
            match change {
                VersionChange::Committed(version) => {
                    committed_ms.insert(version, now_ms);
                }
                VersionChange::Followed(version) => {
                    if let Some(at_ms) = committed_ms.get(&version) {
                        latencies.record(LatencyKind::ConfigurationInForce, now_ms - at_ms);
                    }
                }
            }
        }
    }
}
