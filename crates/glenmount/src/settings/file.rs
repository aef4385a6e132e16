//! The platform's settings file as it is written.
//!
//! The names of the sections' structs stand in the texts of errors that operators see.

use super::checks::{check, rate, seconds_as_ms, SettingsError};
use super::quota::Quota;
use glenmount_core::configuration::{ObjectiveSettings, TeamSettings};
use glenmount_core::constants::{REQUIRED_TRANSACTION_CHANGES, REQUIRED_VALUE_KIB};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::iter::once;
use std::net::SocketAddr;

/// Controllers of a cluster at most.
const CONTROLLERS_MOST: u32 = 64;
/// Limit of a value in the state store beyond which it is a mistake, in KiB.
const VALUE_KB_MOST: f64 = 1024.0;

/// The whole file. Settings that are not known here are passed over.
#[derive(Debug, Deserialize)]
pub struct SettingsFile {
    /// The name of this controller.
    pub member: String,
    /// The zone that it runs in.
    pub location: Option<String>,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    #[serde(default)]
    #[serde(rename = "siblings")]
    peers: Vec<SiblingFile>,
    pub outside: Outside,
    pub settings: Params,
}

/// A peer.
#[derive(Debug, Deserialize)]
struct SiblingFile {
    member: String,
    location: Option<String>,
    peer_addr: SocketAddr,
}

/// Services outside the cluster.
#[derive(Debug, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// What holds for all controllers alike, except for the quota.
#[derive(Debug, Deserialize)]
pub struct Params {
    /// Controllers in all.
    pub count: u32,
    pub zones: Vec<String>,
    /// Milliseconds by which the clocks of controllers may differ.
    pub clock_off_ms: f64,
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

/// Intervals of workers, in seconds.
#[derive(Debug, Deserialize)]
pub struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

/// Intervals of workers, in milliseconds.
pub struct WorkerIntervals {
    pub report_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
}

/// Limits of the state store.
#[derive(Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    write_rps: f64,
    value_kb: f64,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: u32,
    /// Limits announced for some moment after an upgrade.
    next: Option<NextLimits>,
}

/// Announced limits; those left out stay as they are.
#[derive(Debug, Deserialize)]
struct NextLimits {
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: Option<u32>,
}

/// The limits of the state store to keep within: the smaller of the present ones and those announced,
/// except for the rate, which is followed when it comes into force.
pub struct CheckedStateLimits {
    pub transaction_ops: usize,
    pub max_value_bytes: u64,
    pub changes_per_s: f64,
    pub next_changes_per_s: f64,
}

/// Limits of the cloud.
#[derive(Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    /// Seconds that its list of instances may lag.
    pub list_lag_s: f64,
}

impl SettingsFile {
    /// Reads the file, without checking the values.
    pub fn parse(text: &str) -> Result<SettingsFile, SettingsError> {
        toml::from_str(text).map_err(|error| {
            let lines = error.to_string();
            SettingsError::Toml(lines.replace('\n', " "))
        })
    }

    /// The names of all controllers, this one included, in order.
    ///
    /// # Errors
    /// A name is empty or stands among the peers' too, they are not `settings.count` different ones, or
    /// no zone is named.
    pub fn controllers(&self) -> Result<Vec<String>, SettingsError> {
        let params = &self.settings;
        check(!self.member.is_empty(), "member", "must not be empty")?;
        check(
            (1..=CONTROLLERS_MOST).contains(&params.count),
            "settings.count",
            "must be between 1 and 64",
        )?;
        check(
            !params.zones.is_empty(),
            "settings.zones",
            "must name a zone",
        )?;
        let peers = self.peers.iter().map(|peer| peer.member.clone());
        let mut controllers: Vec<String> = peers.collect();
        check(
            !controllers.contains(&self.member),
            "siblings.member",
            "must not name this node itself",
        )?;
        controllers.push(self.member.clone());
        controllers.sort();
        controllers.dedup();
        check(
            controllers.len() == params.count as usize,
            "siblings",
            "must name settings.count - 1 different nodes",
        )?;
        Ok(controllers)
    }

    /// The peers' names, and where they listen.
    pub fn peers(&self) -> Vec<(String, SocketAddr)> {
        let peers = self.peers.iter();
        peers
            .map(|peer| (peer.member.clone(), peer.peer_addr))
            .collect()
    }

    /// The zones of all controllers, as far as they are known.
    pub fn zones_by_controller(&self) -> BTreeMap<String, String> {
        let own = (&self.member, &self.location);
        let peers = self.peers.iter().map(|peer| (&peer.member, &peer.location));
        let all = once(own).chain(peers);
        all.filter_map(|(controller, zone)| Some((controller.clone(), zone.clone()?)))
            .collect()
    }
}

impl Workers {
    /// The intervals, if each is in range and a lease outlives a missed report.
    pub fn check(&self) -> Result<WorkerIntervals, SettingsError> {
        let report_ms = seconds_as_ms("settings.workers.report_s", self.report_s, 0.1)?;
        let lease_ms = seconds_as_ms("settings.workers.lease_s", self.lease_s, 1.0)?;
        let cancel_ms = seconds_as_ms("settings.workers.cancel_s", self.cancel_s, 1.0)?;
        check(
            lease_ms > report_ms,
            "settings.workers.lease_s",
            "must be longer than report_s",
        )?;
        Ok(WorkerIntervals {
            report_ms,
            lease_ms,
            cancel_ms,
        })
    }
}

impl StateLimits {
    /// The limits to keep within.
    pub fn check(&self) -> Result<CheckedStateLimits, SettingsError> {
        check_transaction_ops("settings.state.txn_ops", self.max_transaction_changes)?;
        check_value_kb("settings.state.value_kb", self.value_kb)?;
        let changes_per_s = rate("settings.state.write_rps", self.write_rps)?;
        let mut transaction_ops = self.max_transaction_changes;
        let mut value_kb = self.value_kb;
        let mut next_changes_per_s = changes_per_s;
        if let Some(next) = &self.next {
            if let Some(ops) = next.max_transaction_changes {
                check_transaction_ops("settings.state.next.txn_ops", ops)?;
                transaction_ops = transaction_ops.min(ops);
            }
            if let Some(kb) = next.value_kb {
                check_value_kb("settings.state.next.value_kb", kb)?;
                value_kb = value_kb.min(kb);
            }
            if let Some(per_s) = next.write_rps {
                let per_s = rate("settings.state.next.write_rps", per_s)?;
                next_changes_per_s = next_changes_per_s.min(per_s);
            }
        }
        Ok(CheckedStateLimits {
            transaction_ops: transaction_ops as usize,
            max_value_bytes: (value_kb * 1024.0) as u64,
            changes_per_s,
            next_changes_per_s,
        })
    }
}

fn check_transaction_ops(field: &str, ops: u32) -> Result<(), SettingsError> {
    let rule =
        format!("must be at least {REQUIRED_TRANSACTION_CHANGES}: a claim writes three records");
    check(ops >= REQUIRED_TRANSACTION_CHANGES, field, &rule)
}

fn check_value_kb(field: &str, kb: f64) -> Result<(), SettingsError> {
    let rule = format!("must be between {REQUIRED_VALUE_KIB} and 1024");
    check(
        (REQUIRED_VALUE_KIB..=VALUE_KB_MOST).contains(&kb),
        field,
        &rule,
    )
}
