//! The platform's settings file as it is written.

use super::quota::Quota;
use glenmount_core::configuration::{ObjectiveSettings, TeamSettings};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Debug, Deserialize)]
pub(super) struct File {
    pub(super) member: String,
    /// The zone it stands in.
    pub(super) location: Option<String>,
    pub(super) client_listen: SocketAddr,
    pub(super) cluster_listen: SocketAddr,
    #[serde(default)]
    #[serde(rename = "siblings")]
    pub(super) peers: Vec<SiblingFile>,
    pub(super) outside: Outside,
    pub(super) settings: Params,
}

#[derive(Debug, Deserialize)]
pub(super) struct SiblingFile {
    pub(super) member: String,
    pub(super) location: Option<String>,
    pub(super) peer_addr: SocketAddr,
}

#[derive(Debug, Deserialize)]
pub(super) struct Outside {
    pub(super) cloud: SocketAddr,
    pub(super) state: SocketAddr,
}

#[derive(Debug, Deserialize)]
pub(super) struct Params {
    pub(super) count: u32,
    pub(super) zones: Vec<String>,
    pub(super) clock_off_ms: f64,
    pub(super) teams: Vec<TeamSettings>,
    #[serde(default)]
    pub(super) objectives: Vec<ObjectiveSettings>,
    pub(super) workers: Workers,
    pub(super) state: StateLimits,
    pub(super) cloud: CloudLimits,
    pub(super) quota: Quota,
}

#[derive(Debug, Deserialize)]
pub(super) struct Workers {
    pub(super) report_s: f64,
    pub(super) lease_s: f64,
    pub(super) cancel_s: f64,
}

#[derive(Debug, Deserialize)]
pub(super) struct StateLimits {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub(super) max_transaction_changes: u32,
    /// Limits announced for some moment after an upgrade.
    pub(super) next: Option<NextLimits>,
}

#[derive(Debug, Deserialize)]
pub(super) struct NextLimits {
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub(super) max_transaction_changes: Option<u32>,
}

#[derive(Debug, Deserialize)]
pub(super) struct CloudLimits {
    pub(super) rps: f64,
    pub(super) list_lag_s: f64,
}
