//! How long it takes until controllers follow a version of the configuration, read from transactions.

use crate::measurement::latencies::{Latencies, LatencyKind};
use crate::protocol::state_store::Transaction;
use crate::sync::lock;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::Mutex;

const CONFIGURATION_KEY: &str = "g/configuration";
/// Under it each controller writes the version that it follows.
const FOLLOWED_PREFIX: &str = "g/following/";

/// The part of a configuration's records that is looked at here.
#[derive(Deserialize)]
struct VersionedRecord {
    #[serde(rename = "v")]
    version: u64,
}

/// What a transaction says of a version of the configuration.
pub enum VersionChange {
    /// The version was committed.
    Committed(u64),
    /// A controller follows the version.
    Followed(u64),
}

/// All that a transaction says of versions of the configuration.
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

/// When versions of the configuration were committed.
#[derive(Default)]
pub struct ConfigurationVersions {
    committed_ms: Mutex<BTreeMap<u64, u64>>,
}

impl ConfigurationVersions {
    /// Takes note of a committed transaction's changes, and records how long a version took until a
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
