//! Reads and validates the platform's settings file (TOML) and the operators' settings file (XML).

mod checks;
mod file;
mod operator;
mod quota;

pub use checks::SettingsError;
pub use operator::{read_operator_settings, OperatorSettings};
pub use quota::ScarceResource;

use crate::state_client::Rates;
use checks::{check, check_rate, seconds_as_ms};
use file::{Params, SettingsFile};
use glenmount_core::configuration::{Policy, PolicySettings};
use glenmount_core::constants::CLOUD_MIN_RATE_SHARE;
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::Settings;
use std::net::SocketAddr;

/// Largest clock skew that may be set: an hour.
const MAX_CLOCK_SKEW_MS: f64 = 3.6e6;

/// The validated settings of the program.
#[derive(Debug)]
pub struct Config {
    /// Settings of the core.
    pub core: Settings,
    /// Address that users, workers and health checks connect to.
    pub client_listen: SocketAddr,
    /// Address that peers connect to.
    pub cluster_listen: SocketAddr,
    /// Names and addresses of the peers.
    pub peers: Vec<(String, SocketAddr)>,
    /// Address of the cloud.
    pub cloud_address: SocketAddr,
    /// Address of the state store.
    pub state_store_address: SocketAddr,
    /// Rate limits of the state store. The limit of requests is this controller's share. The limit of changes is
    /// that of all controllers together: the core keeps to its share and uses that of peers that can't use theirs.
    pub state_rates: Rates,
    /// This controller's share of the cloud's rate limit.
    pub cloud_requests_per_s: f64,
    /// Most sockets that may be open.
    pub max_sockets: u32,
    /// Resources of which the quota grants less than a controller needs.
    pub scarce_resources: Vec<ScarceResource>,
}

/// Parses and validates the platform's settings file and applies the operators' settings.
///
/// # Errors
/// Names the first setting that is missing or out of range, in either file.
pub fn read_config(text: &str, operator: &OperatorSettings) -> Result<Config, SettingsError> {
    let file = SettingsFile::parse(text)?;
    let params = &file.settings;
    let controllers = file.controllers()?;
    let policy = policy(params)?;
    let intervals = params.workers.check()?;
    check_clock_skew(params.clock_skew_ms)?;
    let limits = params.state.check()?;
    params.quota.check()?;
    let list_lag_s = params.cloud.instance_list_lag_s;
    let instance_list_lag_ms = seconds_as_ms("settings.cloud.list_lag_s", list_lag_s, 0.0)?;
    let idle_timeout_ms = operator.idle_timeout_ms()?;
    let runtime_estimates = operator.runtime_estimate_use()?;
    let share = 1.0 / params.controller_count as f64;
    Ok(Config {
        core: Settings {
            checks: Checks::default(),
            tuning: operator.tuning()?,
            controller: file.controller.clone(),
            controllers,
            zones: params.zones.clone(),
            zone: file.zone.clone().unwrap_or_default(),
            controller_zones: file.zones_by_controller(),
            policy,
            heartbeat_interval_ms: intervals.heartbeat_interval_ms,
            lease_ms: intervals.lease_ms,
            cancellation_timeout_ms: intervals.cancellation_timeout_ms,
            max_value_bytes: limits.max_value_bytes,
            max_transaction_changes: limits.max_transaction_changes,
            write_rps: limits.changes_per_s * share,
            announced_write_rps: limits.announced_changes_per_s * share,
            clock_skew_ms: params.clock_skew_ms as u64,
            idle_timeout_ms,
            instance_list_lag_ms,
            runtime_estimates,
        },
        client_listen: file.client_listen,
        cluster_listen: file.cluster_listen,
        peers: file.peers(),
        cloud_address: file.external_services.cloud,
        state_store_address: file.external_services.state_store,
        state_rates: Rates {
            requests_per_s: check_rate("settings.state.rps", params.state.requests_per_s)? * share,
            changes_per_s: limits.changes_per_s,
        },
        // Usually a single controller uses the cloud, so its share has a lower bound. When several do, the cloud
        // may reject requests above its limit, and these are retried.
        cloud_requests_per_s: check_rate("settings.cloud.rps", params.cloud.requests_per_s)?
            * share.max(CLOUD_MIN_RATE_SHARE),
        max_sockets: params.quota.sockets,
        scarce_resources: params.quota.scarce_resources(),
    })
}

/// Returns the teams and objectives of the file, which apply until a configuration is on record.
fn policy(params: &Params) -> Result<Policy, SettingsError> {
    let settings = PolicySettings {
        idle_return_s: None,
        teams: params.teams.clone(),
        objectives: params.objectives.clone(),
    };
    settings.policy().map_err(|error| SettingsError::Field {
        field: error.field,
        rule: error.problem,
    })
}

fn check_clock_skew(clock_skew_ms: f64) -> Result<(), SettingsError> {
    check(
        (0.0..=MAX_CLOCK_SKEW_MS).contains(&clock_skew_ms),
        "settings.clock_off_ms",
        "must be between 0 and 3600000",
    )
}

#[cfg(test)]
mod tests;
