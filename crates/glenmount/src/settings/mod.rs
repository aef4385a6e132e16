//! The platform's settings file (TOML) and the operators' own (XML), checked on reading.

mod checks;
mod file;
mod operator;
mod quota;

pub use checks::SettingsError;
pub use operator::{read_operator_settings, OperatorSettings};
pub use quota::ScarceResource;

use crate::state_client::Rates;
use checks::{check, rate, seconds_as_ms};
use file::{Params, SettingsFile};
use glenmount_core::configuration::{Policy, PolicySettings};
use glenmount_core::constants::CLOUD_MIN_RATE_SHARE;
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::Settings;
use std::net::SocketAddr;

/// Milliseconds that clocks may differ by at most.
const CLOCK_OFF_MOST_MS: f64 = 3.6e6;

/// All that the program needs to know to run.
#[derive(Debug)]
pub struct Config {
    /// What the core needs to know.
    pub core: Settings,
    /// Where users, workers and health checks connect to.
    pub client_listen: SocketAddr,
    /// Where peers connect to.
    pub cluster_listen: SocketAddr,
    /// The peers' names, and where they listen.
    pub peers: Vec<(String, SocketAddr)>,
    /// The cloud's address.
    pub cloud: SocketAddr,
    /// The state store's address.
    pub state: SocketAddr,
    /// The rates at which the state store may be asked. Of requests this is this controller's share,
    /// of changes that of all: the core keeps its share, and takes that of peers that can't use theirs.
    pub state_rates: Rates,
    /// This controller's share of the cloud's rate.
    pub cloud_requests_per_s: f64,
    /// Sockets that may be open.
    pub sockets: u32,
    /// What this controller has less of than it needs.
    pub scarce: Vec<ScarceResource>,
}

/// Reads and checks the platform's settings file.
///
/// # Errors
/// The first setting that is missing or out of range, in this file or in the operators' own.
pub fn read_config(text: &str, operator: &OperatorSettings) -> Result<Config, SettingsError> {
    let file = SettingsFile::parse(text)?;
    let params = &file.settings;
    let controllers = file.controllers()?;
    let policy = policy(params)?;
    let intervals = params.workers.check()?;
    check_clock(params.clock_off_ms)?;
    let limits = params.state.check()?;
    params.quota.check()?;
    let instance_list_lag_ms =
        seconds_as_ms("settings.cloud.list_lag_s", params.cloud.list_lag_s, 0.0)?;
    let idle_timeout_ms = operator.idle_return_ms()?;
    let runtime_estimates = operator.learned_use()?;
    let share = 1.0 / params.count as f64;
    Ok(Config {
        core: Settings {
            checks: Checks::default(),
            tuning: operator.tuning()?,
            controller: file.member.clone(),
            controllers,
            zones: params.zones.clone(),
            zone: file.location.clone().unwrap_or_default(),
            controller_zones: file.zones_by_controller(),
            policy,
            heartbeat_interval_ms: intervals.report_ms,
            lease_ms: intervals.lease_ms,
            cancellation_timeout_ms: intervals.cancel_ms,
            max_value_bytes: limits.max_value_bytes,
            max_transaction_changes: limits.transaction_ops,
            write_rps: limits.changes_per_s * share,
            announced_write_rps: limits.next_changes_per_s * share,
            clock_skew_ms: params.clock_off_ms as u64,
            idle_timeout_ms,
            instance_list_lag_ms,
            runtime_estimates,
        },
        client_listen: file.client_listen,
        cluster_listen: file.cluster_listen,
        peers: file.peers(),
        cloud: file.outside.cloud,
        state: file.outside.state,
        state_rates: Rates {
            requests_per_s: rate("settings.state.rps", params.state.rps)? * share,
            changes_per_s: limits.changes_per_s,
        },
        // Mostly a single controller deals with the cloud; when several do, a refusal is asked again.
        cloud_requests_per_s: rate("settings.cloud.rps", params.cloud.rps)?
            * share.max(CLOUD_MIN_RATE_SHARE),
        sockets: params.quota.sockets,
        scarce: params.quota.scarce(),
    })
}

/// Teams and objectives, which hold until others are on record.
fn policy(params: &Params) -> Result<Policy, SettingsError> {
    let settings = PolicySettings {
        idle_return_s: None,
        teams: params.teams.clone(),
        objectives: params.objectives.clone(),
    };
    let policy = settings.policy();
    policy.map_err(|error| SettingsError::Field {
        field: error.field,
        rule: error.problem,
    })
}

fn check_clock(clock_off_ms: f64) -> Result<(), SettingsError> {
    check(
        (0.0..=CLOCK_OFF_MOST_MS).contains(&clock_off_ms),
        "settings.clock_off_ms",
        "must be between 0 and 3600000",
    )
}

#[cfg(test)]
mod tests;
