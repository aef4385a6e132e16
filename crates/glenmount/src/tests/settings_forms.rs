//! Compares the reading of both settings files with samples.

use super::check_lines;
use crate::settings::{self, Config, OperatorSettings};

const ALL_SETTINGS: &str = include_str!("../../tests/samples/settings_all.toml");
const REQUIRED_SETTINGS: &str = include_str!("../../tests/samples/settings_least.toml");

/// Formats all values read from the settings, one per line.
fn format_config(config: &Config) -> String {
    let core = &config.core;
    let (uses, tuning, policy) = (&core.runtime_estimates, &core.tuning, &core.policy);
    let scarce = config.scarce_resources.iter();
    let scarce: Vec<_> = scarce.map(|s| (s.field, s.value, s.required)).collect();
    let mut lines = vec![
        format!("member: {:?}", core.controller),
        format!("members: {:?}", core.controllers),
        format!("zone: {:?}", core.zone),
        format!("zones: {:?}", core.zones),
        format!("zones of members: {:?}", core.controller_zones),
        format!("listens to clients at: {}", config.client_listen),
        format!("listens to siblings at: {}", config.cluster_listen),
        format!("siblings: {:?}", config.peers),
        format!("cloud: {}", config.cloud_address),
        format!("state service: {}", config.state_store_address),
        format!(
            "requests to the state service: {:?}/s",
            config.state_rates.requests_per_s
        ),
        format!(
            "changes to the state service: {:?}/s",
            config.state_rates.changes_per_s
        ),
        format!("requests to the cloud: {:?}/s", config.cloud_requests_per_s),
        format!("sockets: {}", config.max_sockets),
        format!("scarce: {scarce:?}"),
        format!("report: {} ms", core.heartbeat_interval_ms),
        format!("lease: {} ms", core.lease_ms),
        format!("cancel: {} ms", core.cancellation_timeout_ms),
        format!("value: {} bytes", core.max_value_bytes),
        format!("changes of a transaction: {}", core.max_transaction_changes),
        format!("own changes: {:?}/s", core.write_rps),
        format!("own changes later: {:?}/s", core.announced_write_rps),
        format!("clocks off by: {} ms", core.clock_skew_ms),
        format!("idle return: {} ms", core.idle_timeout_ms),
        format!("lag of the cloud's list: {} ms", core.instance_list_lag_ms),
        format!("run times learned: {}", uses.enabled),
        format!("run times used for order: {}", uses.queue_order),
        format!("run times used for due: {}", uses.due_times),
        format!("run times used for stops: {}", uses.preemption),
        format!("run times used for notice: {}", uses.termination_notice),
        format!("machines of lost zones ended: {}", tuning.evacuate_zones),
        format!("services spread evenly: {}", tuning.even_zone_spread),
        format!("jobs put off: {}", tuning.defer_jobs),
        format!(
            "service's share per machine: {:?}",
            tuning.machine_share_of_service
        ),
        format!("configuration's version: {}", policy.version),
        format!("finished within: {:?}", policy.completion_goals_ms),
        format!("started within: {:?}", policy.start_goals_ms),
        format!("configured idle return: {:?}", policy.idle_timeout_ms),
    ];
    for (name, team) in &policy.teams {
        let cpus = (team.cpus, team.cpus_max);
        let gpus = (team.gpus, team.gpus_max);
        lines.push(format!("team {name:?}: cpus {cpus:?}, gpus {gpus:?}"));
    }
    lines.join("\n") + "\n"
}

#[test]
fn settings_files_are_read_with_all_fields() {
    for (text, expected) in [
        (
            ALL_SETTINGS,
            include_str!("../../tests/samples/settings_all.txt"),
        ),
        (
            REQUIRED_SETTINGS,
            include_str!("../../tests/samples/settings_least.txt"),
        ),
    ] {
        let config = settings::read_config(text, &OperatorSettings::default()).expect("settings");
        assert_eq!(format_config(&config), expected);
    }
}

#[tokio::test]
async fn faulty_settings_files_are_rejected_with_the_reason() {
    let sample = include_str!("../../tests/samples/refused_settings.tsv");
    check_lines("refused_settings.tsv", sample, |columns| async move {
        assert!(ALL_SETTINGS.contains(columns[0]), "{}", columns[0]);
        let text = ALL_SETTINGS.replacen(columns[0], &columns[1].replace("\\n", "\n"), 1);
        match settings::read_config(&text, &OperatorSettings::default()) {
            Ok(_) => "read".to_string(),
            Err(error) => error.to_string(),
        }
    })
    .await;
}

/// Returns the text of a deployment file, or the argument itself if it is the text.
fn operator_xml(file: &'static str) -> &'static str {
    match file {
        "deploy/even-spread.xml" => include_str!("../../../../deploy/even-spread.xml"),
        "deploy/learned-run-times.xml" => include_str!("../../../../deploy/learned-run-times.xml"),
        "deploy/operator-settings.xml" => include_str!("../../../../deploy/operator-settings.xml"),
        xml => xml,
    }
}

/// Compares the values that operators' settings change, or the reason for rejecting them.
#[tokio::test]
async fn operator_settings_are_applied_or_rejected_with_the_reason() {
    let sample = include_str!("../../tests/samples/operator_settings.tsv");
    check_lines("operator_settings.tsv", sample, |columns| async move {
        let default = settings::read_config(REQUIRED_SETTINGS, &OperatorSettings::default())
            .expect("settings");
        let read = settings::read_operator_settings(operator_xml(columns[0]));
        match read.and_then(|operator| settings::read_config(REQUIRED_SETTINGS, &operator)) {
            Ok(config) => {
                let (default, changed) = (format_config(&default), format_config(&config));
                let pairs = default.lines().zip(changed.lines());
                let changes = pairs.filter(|(before, after)| before != after);
                let changes: Vec<&str> = changes.map(|(_, after)| after).collect();
                format!("read; {}", changes.join("; "))
            }
            Err(error) => error.to_string().replace('\n', "\\n"),
        }
    })
    .await;
}
