//! The form of the platform's settings file.
//!
//! The structs of sections keep their names because error texts that operators see contain them.

use super::checks::{check, check_rate, seconds_as_ms, SettingsError};
use super::quota::Quota;
use glenmount_core::configuration::{ObjectiveSettings, TeamSettings};
use glenmount_core::constants::{REQUIRED_TRANSACTION_CHANGES, REQUIRED_VALUE_KIB};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::iter::once;
use std::net::SocketAddr;

/// Most controllers of a cluster.
const MAX_CONTROLLERS: u32 = 64;
/// Largest size limit of a value in the state store that may be set; a larger one is a mistake.
const MAX_VALUE_LIMIT_KIB: f64 = 1024.0;

/// The whole file. Unknown settings are ignored.
#[derive(Debug, Deserialize)]
pub struct SettingsFile {
    /// Name of this controller.
    #[serde(rename = "member")]
    pub controller: String,
    /// Zone of this controller.
    #[serde(rename = "location")]
    pub zone: Option<String>,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    #[serde(default, rename = "siblings")]
    peers: Vec<SiblingFile>,
    #[serde(rename = "outside")]
    pub external_services: Outside,
    pub settings: Params,
}

/// A peer.
#[derive(Debug, Deserialize)]
struct SiblingFile {
    #[serde(rename = "member")]
    controller: String,
    #[serde(rename = "location")]
    zone: Option<String>,
    #[serde(rename = "peer_addr")]
    address: SocketAddr,
}

/// The addresses of services outside the cluster.
#[derive(Debug, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    #[serde(rename = "state")]
    pub state_store: SocketAddr,
}

/// The settings that are the same for all controllers, except for the quota.
#[derive(Debug, Deserialize)]
pub struct Params {
    /// Number of all controllers.
    #[serde(rename = "count")]
    pub controller_count: u32,
    pub zones: Vec<String>,
    /// Largest difference between the clocks of two controllers.
    #[serde(rename = "clock_off_ms")]
    pub clock_skew_ms: f64,
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

/// The intervals of workers as set in the file.
#[derive(Debug, Deserialize)]
pub struct Workers {
    #[serde(rename = "report_s")]
    heartbeat_interval_s: f64,
    lease_s: f64,
    #[serde(rename = "cancel_s")]
    cancellation_timeout_s: f64,
}

/// The validated intervals of workers.
pub struct WorkerIntervals {
    pub heartbeat_interval_ms: u64,
    pub lease_ms: u64,
    pub cancellation_timeout_ms: u64,
}

/// The limits of the state store as set in the file.
#[derive(Debug, Deserialize)]
pub struct StateLimits {
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    #[serde(rename = "write_rps")]
    changes_per_s: f64,
    #[serde(rename = "value_kb")]
    max_value_kib: f64,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: u32,
    /// Limits that the store announced for an unspecified time after an upgrade.
    #[serde(rename = "next")]
    announced: Option<NextLimits>,
}

/// The announced limits. An absent limit doesn't change.
#[derive(Debug, Deserialize)]
struct NextLimits {
    #[serde(rename = "write_rps")]
    changes_per_s: Option<f64>,
    #[serde(rename = "value_kb")]
    max_value_kib: Option<f64>,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: Option<u32>,
}

/// The validated limits of the state store. Each is the smaller of the current and the announced one, except for
/// the current rate of changes: the announced rate applies only once it is in force.
pub struct CheckedStateLimits {
    pub max_transaction_changes: usize,
    pub max_value_bytes: u64,
    pub changes_per_s: f64,
    pub announced_changes_per_s: f64,
}

/// The limits of the cloud.
#[derive(Debug, Deserialize)]
pub struct CloudLimits {
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Usual lag of the cloud's instance list.
    #[serde(rename = "list_lag_s")]
    pub instance_list_lag_s: f64,
}

impl SettingsFile {
    /// Parses the file without validating the values.
    pub fn parse(text: &str) -> Result<SettingsFile, SettingsError> {
        toml::from_str(text).map_err(|error| {
            let text = error.to_string();
            SettingsError::Toml(text.replace('\n', " "))
        })
    }

    /// Returns the names of all controllers including this one, in order.
    ///
    /// # Errors
    /// This controller's name is empty or also names a peer, the number of different controllers is not
    /// `settings.count`, or no zone is named.
    pub fn controllers(&self) -> Result<Vec<String>, SettingsError> {
        let params = &self.settings;
        check(!self.controller.is_empty(), "member", "must not be empty")?;
        check(
            (1..=MAX_CONTROLLERS).contains(&params.controller_count),
            "settings.count",
            "must be between 1 and 64",
        )?;
        check(
            !params.zones.is_empty(),
            "settings.zones",
            "must name a zone",
        )?;
        let peers = self.peers.iter().map(|peer| peer.controller.clone());
        let mut controllers: Vec<String> = peers.collect();
        check(
            !controllers.contains(&self.controller),
            "siblings.member",
            "must not name this node itself",
        )?;
        controllers.push(self.controller.clone());
        controllers.sort();
        controllers.dedup();
        check(
            controllers.len() == params.controller_count as usize,
            "siblings",
            "must name settings.count - 1 different nodes",
        )?;
        Ok(controllers)
    }

    /// Returns the names and addresses of the peers.
    pub fn peers(&self) -> Vec<(String, SocketAddr)> {
        let peers = self.peers.iter();
        peers
            .map(|peer| (peer.controller.clone(), peer.address))
            .collect()
    }

    /// Returns the zones of all controllers whose zone is known.
    pub fn zones_by_controller(&self) -> BTreeMap<String, String> {
        let own = (&self.controller, &self.zone);
        let peers = self.peers.iter().map(|peer| (&peer.controller, &peer.zone));
        let all = once(own).chain(peers);
        all.filter_map(|(controller, zone)| Some((controller.clone(), zone.clone()?)))
            .collect()
    }
}

impl Workers {
    /// Returns the intervals if each of them is in range and the lease is longer than the heartbeat interval.
    pub fn check(&self) -> Result<WorkerIntervals, SettingsError> {
        let heartbeat_interval_ms =
            seconds_as_ms("settings.workers.report_s", self.heartbeat_interval_s, 0.1)?;
        let lease_ms = seconds_as_ms("settings.workers.lease_s", self.lease_s, 1.0)?;
        let cancellation_timeout_ms = seconds_as_ms(
            "settings.workers.cancel_s",
            self.cancellation_timeout_s,
            1.0,
        )?;
        check(
            lease_ms > heartbeat_interval_ms,
            "settings.workers.lease_s",
            "must be longer than report_s",
        )?;
        Ok(WorkerIntervals {
            heartbeat_interval_ms,
            lease_ms,
            cancellation_timeout_ms,
        })
    }
}

impl StateLimits {
    /// Validates the limits and combines them with the announced ones.
    pub fn check(&self) -> Result<CheckedStateLimits, SettingsError> {
        check_transaction_changes("settings.state.txn_ops", self.max_transaction_changes)?;
        check_value_limit("settings.state.value_kb", self.max_value_kib)?;
        let changes_per_s = check_rate("settings.state.write_rps", self.changes_per_s)?;
        let mut max_transaction_changes = self.max_transaction_changes;
        let mut max_value_kib = self.max_value_kib;
        let mut announced_changes_per_s = changes_per_s;
        if let Some(announced) = &self.announced {
            if let Some(changes) = announced.max_transaction_changes {
                check_transaction_changes("settings.state.next.txn_ops", changes)?;
                max_transaction_changes = max_transaction_changes.min(changes);
            }
            if let Some(kib) = announced.max_value_kib {
                check_value_limit("settings.state.next.value_kb", kib)?;
                max_value_kib = max_value_kib.min(kib);
            }
            if let Some(per_s) = announced.changes_per_s {
                let per_s = check_rate("settings.state.next.write_rps", per_s)?;
                announced_changes_per_s = announced_changes_per_s.min(per_s);
            }
        }
        Ok(CheckedStateLimits {
            max_transaction_changes: max_transaction_changes as usize,
            max_value_bytes: (max_value_kib * 1024.0) as u64,
            changes_per_s,
            announced_changes_per_s,
        })
    }
}

fn check_transaction_changes(field: &str, changes: u32) -> Result<(), SettingsError> {
    let rule =
        format!("must be at least {REQUIRED_TRANSACTION_CHANGES}: a claim writes three records");
    check(changes >= REQUIRED_TRANSACTION_CHANGES, field, &rule)
}

fn check_value_limit(field: &str, limit_kib: f64) -> Result<(), SettingsError> {
    let rule = format!("must be between {REQUIRED_VALUE_KIB} and 1024");
    check(
        (REQUIRED_VALUE_KIB..=MAX_VALUE_LIMIT_KIB).contains(&limit_kib),
        field,
        &rule,
    )
}
