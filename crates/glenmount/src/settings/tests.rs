//! Tests of reading and validating both settings files.

use super::quota::Quota;
use super::{read_config, read_operator_settings, OperatorSettings};
use glenmount_core::tuning::Tuning;

const SAMPLE: &str = r#"
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
    let config = read_config(SAMPLE, &OperatorSettings::default()).unwrap();
    assert_eq!(config.core.controllers, ["a-0", "a-1"]);
    assert_eq!(config.core.policy.teams["t"].cpus_max, 4000);
    assert_eq!(config.state_rates.requests_per_s, 50.0);
}

#[test]
fn out_of_range_quota_is_rejected_by_name_and_scarce_quota_is_reported() {
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
        for value in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
            let error = quota(field, value).check().unwrap_err().to_string();
            assert!(error.contains(field), "{value}: {error}");
        }
        let scarce = quota(field, 0.005);
        assert!(scarce.check().is_ok());
        assert!(scarce.scarce_resources()[0].field.ends_with(field));
        let unlimited = Quota {
            sockets: 100,
            cpu_share: None,
            ram_mb: None,
        };
        assert!(unlimited.check().is_ok() && unlimited.scarce_resources().is_empty());
        assert!(quota(field, 42.0).scarce_resources().is_empty());
    }
    let no_sockets = Quota {
        sockets: 0,
        cpu_share: None,
        ram_mb: None,
    };
    assert!(no_sockets
        .check()
        .unwrap_err()
        .to_string()
        .contains("sockets"));
}

#[test]
fn errors_name_the_field_that_is_missing_or_out_of_range() {
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
    for (setting, replacement, field) in cases {
        let error = read_config(
            &SAMPLE.replace(setting, replacement),
            &OperatorSettings::default(),
        )
        .unwrap_err()
        .to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'));
    }
}

#[test]
fn smaller_announced_limits_apply_from_the_start() {
    let announced = "value_kb = 8.0\n next = { value_kb = 2.0, txn_ops = 40, write_rps = 30.0 }";
    let config = read_config(
        &SAMPLE.replace("value_kb = 8.0", announced),
        &OperatorSettings::default(),
    )
    .unwrap();
    assert_eq!(
        (
            config.core.max_value_bytes,
            config.core.max_transaction_changes
        ),
        (2_048, 16)
    );
    assert_eq!(
        (config.core.write_rps, config.core.announced_write_rps),
        (20.0, 15.0)
    );
}

#[test]
fn operator_settings_are_read_from_xml_and_validated() {
    let xml = "<operator-settings><idle-return-s>90</idle-return-s></operator-settings>";
    let config = read_config(SAMPLE, &read_operator_settings(xml).unwrap()).unwrap();
    assert_eq!(config.core.idle_timeout_ms, 90_000);
    assert!(!config.core.runtime_estimates.enabled);
    let xml = "<operator-settings><learned-run-times><for>due</for><for>notice</for>\
               </learned-run-times></operator-settings>";
    let config = read_config(SAMPLE, &read_operator_settings(xml).unwrap()).unwrap();
    let uses = config.core.runtime_estimates;
    assert!(uses.enabled && uses.due_times && uses.termination_notice && !uses.preemption);
    let file = include_str!("../../../../deploy/learned-run-times.xml");
    let config = read_config(SAMPLE, &read_operator_settings(file).unwrap()).unwrap();
    assert!(
        config.core.runtime_estimates.enabled
            && config.core.runtime_estimates.queue_order
            && config.core.runtime_estimates.due_times
    );
    let no_uses = "<operator-settings><learned-run-times/></operator-settings>";
    let config = read_config(SAMPLE, &read_operator_settings(no_uses).unwrap()).unwrap();
    assert!(config.core.runtime_estimates.enabled && !config.core.runtime_estimates.due_times);
    let error = read_config(
        SAMPLE,
        &read_operator_settings(&xml.replace("due", "everything")).unwrap(),
    );
    assert!(error
        .unwrap_err()
        .to_string()
        .contains("learned-run-times.for"));
    // The example file contains the defaults.
    let example = include_str!("../../../../deploy/operator-settings.xml");
    let config = read_config(SAMPLE, &read_operator_settings(example).unwrap()).unwrap();
    assert_eq!(config.core.tuning, Tuning::default());
    let changed = example.replace(">true<", ">false<").replace(">0.5<", ">1<");
    let config = read_config(SAMPLE, &read_operator_settings(&changed).unwrap()).unwrap();
    let tuning = config.core.tuning;
    let file = include_str!("../../../../deploy/even-spread.xml");
    let config = read_config(SAMPLE, &read_operator_settings(file).unwrap()).unwrap();
    assert!(config.core.tuning.even_zone_spread && config.core.tuning.defer_jobs);
    assert!(!tuning.evacuate_zones && !tuning.defer_jobs && tuning.machine_share_of_service == 1.0);
    let error = read_config(
        SAMPLE,
        &read_operator_settings(&example.replace(">0.5<", ">0<")).unwrap(),
    );
    assert!(error
        .unwrap_err()
        .to_string()
        .contains("service-share-per-machine"));
    let xml = "<operator-settings><idle-return-s>-1</idle-return-s></operator-settings>";
    let error = read_config(SAMPLE, &read_operator_settings(xml).unwrap())
        .unwrap_err()
        .to_string();
    assert!(error.contains("idle-return-s"), "{error}");
    assert!(read_operator_settings(
        "<operator-settings><idle-return-s>x</idle-return-s></operator-settings>"
    )
    .is_err());
}
