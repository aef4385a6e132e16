//! The platform's settings file (TOML) and the operators' own (XML), checked on reading.

use glenmount_core::configuration::{ObjectiveSettings, PolicySettings, TeamSettings};
use glenmount_core::constants::*;
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::{LearnedUse, Settings};
use glenmount_core::tuning::Tuning;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Debug, Deserialize)]
struct File {
    member: String,
    /// The zone it stands in.
    location: Option<String>,
    client_listen: SocketAddr,
    cluster_listen: SocketAddr,
    #[serde(default)]
    #[serde(rename = "siblings")]
    peers: Vec<SiblingFile>,
    outside: Outside,
    settings: Params,
}

#[derive(Debug, Deserialize)]
struct SiblingFile {
    member: String,
    location: Option<String>,
    peer_addr: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Outside {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Params {
    count: u32,
    zones: Vec<String>,
    clock_off_ms: f64,
    teams: Vec<TeamSettings>,
    #[serde(default)]
    objectives: Vec<ObjectiveSettings>,
    workers: Workers,
    state: StateLimits,
    cloud: CloudLimits,
    quota: Quota,
}

#[derive(Debug, Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Debug, Deserialize)]
struct StateLimits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: u32,
    /// Limits announced for some moment after an upgrade.
    next: Option<NextLimits>,
}

#[derive(Debug, Deserialize)]
struct NextLimits {
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct CloudLimits {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Debug, Deserialize)]
struct Quota {
    sockets: u32,
    cpu_share: Option<f64>,
    ram_mb: Option<f64>,
}

/// Cores and MB beyond which a quota is a mistake.
const QUOTA_MOST: f64 = 1e6;
/// MB that a controller takes with its records and some hundred machines, and share of a core that so few
/// take: with less it serves what it can, and says so.
const RAM_SCARCE_MB: f64 = 16.0;
const CPU_SCARCE: f64 = 0.01;

impl Quota {
    fn check(&self) -> Result<(), String> {
        check(
            self.sockets >= 32,
            "settings.quota.sockets",
            "must be at least 32",
        )?;
        let parts = [
            ("settings.quota.cpu_share", self.cpu_share),
            ("settings.quota.ram_mb", self.ram_mb),
        ];
        for (field, value) in parts {
            let sane = value.is_none_or(|v| v > 0.0 && v <= QUOTA_MOST);
            check(sane, field, "must be above 0 and at most a million")?;
        }
        Ok(())
    }

    /// Fields by which this controller is smaller than it needs to be, each with what it needs.
    fn scarce(&self) -> Vec<(&'static str, f64, f64)> {
        let parts = [
            ("settings.quota.cpu_share", self.cpu_share, CPU_SCARCE),
            ("settings.quota.ram_mb", self.ram_mb, RAM_SCARCE_MB),
        ];
        let less = |(field, value, least): (&'static str, Option<f64>, f64)| {
            let value = value.filter(|v| *v < least)?;
            Some((field, value, least))
        };
        parts.into_iter().filter_map(less).collect()
    }
}

/// Operators' own settings. Every one has a default; see `deploy/operator-settings.xml`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename = "operator-settings")]
pub struct Operator {
    #[serde(rename = "idle-return-s")]
    idle_return_s: Option<f64>,
    #[serde(rename = "learned-run-times")]
    learned_run_times: Option<LearnedXml>,
    /// Whether machines of lost zones are ended for what they hold.
    #[serde(rename = "end-machines-of-lost-zones")]
    lost_zones: Option<bool>,
    /// Whether services are spread evenly over zones, and moved back to that after one was lost.
    #[serde(rename = "even-spread-over-zones")]
    even_spread: Option<bool>,
    /// Whether the largest jobs are put off when not all can be in time.
    #[serde(rename = "put-off-jobs")]
    put_off: Option<bool>,
    /// The share of a service's tasks that one machine gets while others serve it as well.
    #[serde(rename = "service-share-per-machine")]
    machine_share_of_service: Option<f64>,
}

/// The newer parts' switches; the rest of what experiments vary stays as it is.
fn tuning(operator: &Operator) -> Result<Tuning, String> {
    let usual = Tuning::default();
    let machine_share_of_service = operator
        .machine_share_of_service
        .unwrap_or(usual.machine_share_of_service);
    check(
        machine_share_of_service > 0.0 && machine_share_of_service <= 1.0,
        "operator-settings.service-share-per-machine",
        "must be above 0 and at most 1",
    )?;
    Ok(Tuning {
        lost_zones: operator.lost_zones.unwrap_or(usual.lost_zones),
        put_off: operator.put_off.unwrap_or(usual.put_off),
        even_spread: operator.even_spread.unwrap_or(usual.even_spread),
        machine_share_of_service,
        ..usual
    })
}

/// Run times are learned where this stands, and used for what it names.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LearnedXml {
    #[serde(rename = "for")]
    uses: Vec<String>,
}

fn learned(xml: &LearnedXml) -> Result<LearnedUse, String> {
    let mut learned = LearnedUse {
        learn: true,
        ..LearnedUse::default()
    };
    for what in &xml.uses {
        match what.as_str() {
            "order" => learned.order = true,
            "due" => learned.due = true,
            "stops" => learned.stops = true,
            "notice" => learned.notice = true,
            _ => {
                return Err(format!(
                    "operator-settings.learned-run-times.for: must be order, due, stops or notice, not {what:?}"
                ))
            }
        }
    }
    Ok(learned)
}

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

fn check(ok: bool, field: &str, rule: &str) -> Result<(), String> {
    if ok {
        Ok(())
    } else {
        Err(format!("{field}: {rule}"))
    }
}

fn seconds(field: &str, value: f64, least: f64) -> Result<u64, String> {
    check(
        value.is_finite() && value >= least && value <= 86_400.0,
        field,
        &format!("must be between {least} and 86400 seconds, not {value}"),
    )?;
    Ok((value * 1000.0).round() as u64)
}

fn rate(field: &str, value: f64) -> Result<f64, String> {
    check(
        value.is_finite() && (0.1..=1e6).contains(&value),
        field,
        &format!("must be between 0.1 and 1e6 a second, not {value}"),
    )?;
    Ok(value)
}

pub fn operator(xml: &str) -> Result<Operator, String> {
    quick_xml::de::from_str(xml).map_err(|e| format!("operator settings: {e}"))
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
pub mod tests {
    use super::*;

    pub const SAMPLE: &str = r#"
        member = "a-0"
        location = "z1"
        client_listen = "127.0.0.1:8080"
        cluster_listen = "127.0.0.1:8081"
        unheard_of = 3
        [[siblings]]
        member = "a-1"
        peer_addr = "127.0.0.2:8081"
        [outside]
        cloud = "127.0.0.3:1"
        state = "127.0.0.3:2"
        [settings]
        count = 2
        zones = ["z1"]
        clock_off_ms = 5.0
        [[settings.teams]]
        name = "t"
        cpus = 2.0
        cpus_max = 4.0
        [settings.workers]
        report_s = 2.0
        lease_s = 12.0
        cancel_s = 40.0
        [settings.state]
        rps = 100.0
        write_rps = 40.0
        value_kb = 8.0
        txn_ops = 16
        [settings.cloud]
        rps = 4.0
        list_lag_s = 4.0
        [settings.quota]
        cpu_share = 0.5
        ram_mb = 64.0
        sockets = 100
    "#;

    #[test]
    fn reads_settings_and_ignores_unknown_fields() {
        let c = config(SAMPLE, &Operator::default()).unwrap();
        assert_eq!(c.core.controllers, ["a-0", "a-1"]);
        assert_eq!(c.core.policy.teams["t"].cpus_max, 4000);
        assert_eq!(c.state_rps, 50.0);
    }

    #[test]
    fn a_quota_is_named_where_it_is_absurd_and_served_where_it_is_scarce() {
        let quota = |field: &str, value: f64| {
            let mut quota = Quota {
                sockets: 100,
                cpu_share: Some(0.1),
                ram_mb: Some(42.0),
            };
            match field {
                "cpu_share" => quota.cpu_share = Some(value),
                _ => quota.ram_mb = Some(value),
            }
            quota
        };
        for field in ["cpu_share", "ram_mb"] {
            for absurd in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
                let error = quota(field, absurd).check().unwrap_err();
                assert!(error.contains(field), "{absurd}: {error}");
            }
            let scarce = quota(field, 0.005);
            assert!(scarce.check().is_ok());
            assert!(scarce.scarce()[0].0.ends_with(field));
            let missing = Quota {
                sockets: 100,
                cpu_share: None,
                ram_mb: None,
            };
            assert!(missing.check().is_ok() && missing.scarce().is_empty());
            assert!(quota(field, 42.0).scarce().is_empty());
        }
        let none = Quota {
            sockets: 0,
            cpu_share: None,
            ram_mb: None,
        };
        assert!(none.check().unwrap_err().contains("sockets"));
    }

    #[test]
    fn names_the_field_that_is_missing_or_absurd() {
        let cases = [
            ("rps = 100.0", "", "rps"),
            ("lease_s = 12.0", "lease_s = -1.0", "lease_s"),
            ("count = 2", "count = 3", "siblings"),
            ("txn_ops = 16", "txn_ops = 2", "settings.state.txn_ops"),
            (
                "value_kb = 8.0",
                "value_kb = 8.0\n next = { value_kb = 0.5 }",
                "settings.state.next.value_kb",
            ),
            (
                "value_kb = 8.0",
                "value_kb = 8.0\n next = { txn_ops = 2 }",
                "settings.state.next.txn_ops",
            ),
            (
                "cpus_max = 4.0",
                "cpus_max = nan",
                "settings.teams.t.cpus_max",
            ),
        ];
        for (from, to, field) in cases {
            let error = config(&SAMPLE.replace(from, to), &Operator::default()).unwrap_err();
            assert!(error.contains(field), "{error}");
            assert!(!error.contains('\n'));
        }
    }

    #[test]
    fn announced_limits_count_from_the_start_where_they_are_smaller() {
        let next = "value_kb = 8.0\n next = { value_kb = 2.0, txn_ops = 40, write_rps = 30.0 }";
        let c = config(
            &SAMPLE.replace("value_kb = 8.0", next),
            &Operator::default(),
        )
        .unwrap();
        assert_eq!(
            (c.core.max_value_bytes, c.core.max_transaction_changes),
            (2_048, 16)
        );
        assert_eq!((c.core.write_rps, c.core.next_write_rps), (20.0, 15.0));
    }

    #[test]
    fn operators_settings_are_xml_and_checked() {
        let xml = "<operator-settings><idle-return-s>90</idle-return-s></operator-settings>";
        let c = config(SAMPLE, &operator(xml).unwrap()).unwrap();
        assert_eq!(c.core.idle_return_ms, 90_000);
        assert!(!c.core.learned.learn);
        let xml = "<operator-settings><learned-run-times><for>due</for><for>notice</for>\
                   </learned-run-times></operator-settings>";
        let c = config(SAMPLE, &operator(xml).unwrap()).unwrap();
        let learned = c.core.learned;
        assert!(learned.learn && learned.due && learned.notice && !learned.stops);
        let file = include_str!("../../../deploy/learned-run-times.xml");
        let c = config(SAMPLE, &operator(file).unwrap()).unwrap();
        assert!(c.core.learned.learn && c.core.learned.order && c.core.learned.due);
        let none = "<operator-settings><learned-run-times/></operator-settings>";
        let c = config(SAMPLE, &operator(none).unwrap()).unwrap();
        assert!(c.core.learned.learn && !c.core.learned.due);
        let error = config(
            SAMPLE,
            &operator(&xml.replace("due", "everything")).unwrap(),
        );
        assert!(error.unwrap_err().contains("learned-run-times.for"));
        // The shown file has the defaults.
        let shown = include_str!("../../../deploy/operator-settings.xml");
        let c = config(SAMPLE, &operator(shown).unwrap()).unwrap();
        assert_eq!(c.core.tuning, Tuning::default());
        let off = shown.replace(">true<", ">false<").replace(">0.5<", ">1<");
        let c = config(SAMPLE, &operator(&off).unwrap()).unwrap();
        let t = c.core.tuning;
        let file = include_str!("../../../deploy/even-spread.xml");
        let c = config(SAMPLE, &operator(file).unwrap()).unwrap();
        assert!(c.core.tuning.even_spread && c.core.tuning.put_off);
        assert!(!t.lost_zones && !t.put_off && t.machine_share_of_service == 1.0);
        let error = config(SAMPLE, &operator(&shown.replace(">0.5<", ">0<")).unwrap());
        assert!(error.unwrap_err().contains("service-share-per-machine"));
        let xml = "<operator-settings><idle-return-s>-1</idle-return-s></operator-settings>";
        let error = config(SAMPLE, &operator(xml).unwrap()).unwrap_err();
        assert!(error.contains("idle-return-s"), "{error}");
        assert!(operator(
            "<operator-settings><idle-return-s>x</idle-return-s></operator-settings>"
        )
        .is_err());
    }
}
