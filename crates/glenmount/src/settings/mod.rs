//! The platform's settings file (TOML) and the operators' own (XML), checked on reading.

mod checks;
mod file;
mod operator;
mod quota;

pub use operator::{operator, Operator};

use checks::{check, rate, seconds};
use file::File;
use glenmount_core::configuration::PolicySettings;
use glenmount_core::constants::{CLOUD_SHARE, IDLE_RETURN_MS, TXN_OPS_LEAST, VALUE_KB_LEAST};
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::{LearnedUse, Settings};
use operator::{learned, tuning};
use std::net::SocketAddr;

/// All that the program needs to know to run.
#[derive(Debug)]
pub struct Config {
    pub core: Settings,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    /// Other controllers' names and addresses.
    pub peers: Vec<(String, SocketAddr)>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    /// This controller's shares of the services' budgets, per second.
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub cloud_rps: f64,
    pub sockets: u32,
    /// Fields by which this controller is smaller than it needs to be: value and need of each.
    pub scarce: Vec<(&'static str, f64, f64)>,
}

pub fn config(text: &str, operator: &Operator) -> Result<Config, String> {
    let file: File = toml::from_str(text).map_err(|e| e.to_string().replace('\n', " "))?;
    let p = &file.settings;
    check(!file.member.is_empty(), "member", "must not be empty")?;
    check(
        (1..=64).contains(&p.count),
        "settings.count",
        "must be between 1 and 64",
    )?;
    check(!p.zones.is_empty(), "settings.zones", "must name a zone")?;
    let mut controllers: Vec<String> = file.peers.iter().map(|s| s.member.clone()).collect();
    check(
        !controllers.contains(&file.member),
        "siblings.member",
        "must not name this node itself",
    )?;
    controllers.push(file.member.clone());
    controllers.sort();
    controllers.dedup();
    check(
        controllers.len() == p.count as usize,
        "siblings",
        "must name settings.count - 1 different nodes",
    )?;
    let policy = PolicySettings {
        idle_return_s: None,
        teams: p.teams.clone(),
        objectives: p.objectives.clone(),
    };
    let policy = policy.policy()?;
    let report_ms = seconds("settings.workers.report_s", p.workers.report_s, 0.1)?;
    let lease_ms = seconds("settings.workers.lease_s", p.workers.lease_s, 1.0)?;
    let cancel_ms = seconds("settings.workers.cancel_s", p.workers.cancel_s, 1.0)?;
    check(
        lease_ms > report_ms,
        "settings.workers.lease_s",
        "must be longer than report_s",
    )?;
    check(
        p.clock_off_ms.is_finite() && (0.0..=3.6e6).contains(&p.clock_off_ms),
        "settings.clock_off_ms",
        "must be between 0 and 3600000",
    )?;
    let ops = |field: &str, ops: u32| {
        let rule = format!("must be at least {TXN_OPS_LEAST}: a claim writes three records");
        check(ops >= TXN_OPS_LEAST, field, &rule)
    };
    let kib = |field: &str, kb: f64| {
        let rule = format!("must be between {VALUE_KB_LEAST} and 1024");
        let ok = kb.is_finite() && (VALUE_KB_LEAST..=1024.0).contains(&kb);
        check(ok, field, &rule)
    };
    let now = &p.state;
    ops("settings.state.txn_ops", now.max_transaction_changes)?;
    kib("settings.state.value_kb", now.value_kb)?;
    let write_rps = rate("settings.state.write_rps", now.write_rps)?;
    let (mut max_transaction_changes, mut value_kb, mut next_rps) =
        (now.max_transaction_changes, now.value_kb, write_rps);
    if let Some(next) = &now.next {
        if let Some(n) = next.max_transaction_changes {
            ops("settings.state.next.txn_ops", n)?;
            max_transaction_changes = max_transaction_changes.min(n);
        }
        if let Some(kb) = next.value_kb {
            kib("settings.state.next.value_kb", kb)?;
            value_kb = value_kb.min(kb);
        }
        if let Some(rps) = next.write_rps {
            next_rps = next_rps.min(rate("settings.state.next.write_rps", rps)?);
        }
    }
    p.quota.check()?;
    let list_lag_ms = seconds("settings.cloud.list_lag_s", p.cloud.list_lag_s, 0.0)?;
    let idle_return_ms = match operator.idle_return_s {
        Some(s) => seconds("operator-settings.idle-return-s", s, 1.0)?,
        None => IDLE_RETURN_MS,
    };
    let learned_use = match &operator.learned_run_times {
        Some(xml) => learned(xml)?,
        None => LearnedUse::default(),
    };
    let share = 1.0 / p.count as f64;
    let here = file
        .location
        .iter()
        .map(|z| (file.member.clone(), z.clone()));
    let there = file.peers.iter();
    let there = there.filter_map(|s| Some((s.member.clone(), s.location.clone()?)));
    let controller_zones = here.chain(there).collect();
    Ok(Config {
        core: Settings {
            checks: Checks::default(),
            tuning: tuning(operator)?,
            controller: file.member,
            controllers,
            zones: p.zones.clone(),
            zone: file.location.unwrap_or_default(),
            controller_zones,
            policy,
            report_ms,
            lease_ms,
            cancel_ms,
            max_value_bytes: (value_kb * 1024.0) as u64,
            max_transaction_changes: max_transaction_changes as usize,
            write_rps: write_rps * share,
            next_write_rps: next_rps * share,
            clock_off_ms: p.clock_off_ms as u64,
            idle_return_ms,
            list_lag_ms,
            learned: learned_use,
        },
        client_listen: file.client_listen,
        cluster_listen: file.cluster_listen,
        peers: file
            .peers
            .into_iter()
            .map(|s| (s.member, s.peer_addr))
            .collect(),
        cloud: file.outside.cloud,
        state: file.outside.state,
        state_rps: rate("settings.state.rps", p.state.rps)? * share,
        // The core keeps its share, and takes that of peers that can't use theirs.
        state_write_rps: write_rps,
        // Mostly a single controller deals with the cloud; when several do, a refusal is asked again.
        cloud_rps: rate("settings.cloud.rps", p.cloud.rps)? * share.max(CLOUD_SHARE),
        sockets: p.quota.sockets,
        scarce: p.quota.scarce(),
    })
}

#[cfg(test)]
mod tests;
