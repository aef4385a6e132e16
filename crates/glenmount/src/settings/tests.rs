//! Both settings files: what is read, and what is refused.

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
    let c = read_config(SAMPLE, &OperatorSettings::default()).unwrap();
    assert_eq!(c.core.controllers, ["a-0", "a-1"]);
    assert_eq!(c.core.policy.teams["t"].cpus_max, 4000);
    assert_eq!(c.state_rates.requests_per_s, 50.0);
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
            let error = quota(field, absurd).check().unwrap_err().to_string();
            assert!(error.contains(field), "{absurd}: {error}");
        }
        let scarce = quota(field, 0.005);
        assert!(scarce.check().is_ok());
        assert!(scarce.scarce()[0].field.ends_with(field));
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
    assert!(none.check().unwrap_err().to_string().contains("sockets"));
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
        let error = read_config(&SAMPLE.replace(from, to), &OperatorSettings::default())
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'));
    }
}

#[test]
fn announced_limits_count_from_the_start_where_they_are_smaller() {
    let next = "value_kb = 8.0\n next = { value_kb = 2.0, txn_ops = 40, write_rps = 30.0 }";
    let c = read_config(
        &SAMPLE.replace("value_kb = 8.0", next),
        &OperatorSettings::default(),
    )
    .unwrap();
    assert_eq!(
        (c.core.max_value_bytes, c.core.max_transaction_changes),
        (2_048, 16)
    );
    assert_eq!((c.core.write_rps, c.core.announced_write_rps), (20.0, 15.0));
}

#[test]
fn operators_settings_are_xml_and_checked() {
    let xml = "<operator-settings><idle-return-s>90</idle-return-s></operator-settings>";
    let c = read_config(SAMPLE, &read_operator_settings(xml).unwrap()).unwrap();
    assert_eq!(c.core.idle_timeout_ms, 90_000);
    assert!(!c.core.runtime_estimates.enabled);
    let xml = "<operator-settings><learned-run-times><for>due</for><for>notice</for>\
               </learned-run-times></operator-settings>";
    let c = read_config(SAMPLE, &read_operator_settings(xml).unwrap()).unwrap();
    let learned = c.core.runtime_estimates;
    assert!(
        learned.enabled && learned.due_times && learned.termination_notice && !learned.preemption
    );
    let file = include_str!("../../../../deploy/learned-run-times.xml");
    let c = read_config(SAMPLE, &read_operator_settings(file).unwrap()).unwrap();
    assert!(
        c.core.runtime_estimates.enabled
            && c.core.runtime_estimates.queue_order
            && c.core.runtime_estimates.due_times
    );
    let none = "<operator-settings><learned-run-times/></operator-settings>";
    let c = read_config(SAMPLE, &read_operator_settings(none).unwrap()).unwrap();
    assert!(c.core.runtime_estimates.enabled && !c.core.runtime_estimates.due_times);
    let error = read_config(
        SAMPLE,
        &read_operator_settings(&xml.replace("due", "everything")).unwrap(),
    );
    assert!(error
        .unwrap_err()
        .to_string()
        .contains("learned-run-times.for"));
    // The shown file has the defaults.
    let shown = include_str!("../../../../deploy/operator-settings.xml");
    let c = read_config(SAMPLE, &read_operator_settings(shown).unwrap()).unwrap();
    assert_eq!(c.core.tuning, Tuning::default());
    let off = shown.replace(">true<", ">false<").replace(">0.5<", ">1<");
    let c = read_config(SAMPLE, &read_operator_settings(&off).unwrap()).unwrap();
    let t = c.core.tuning;
    let file = include_str!("../../../../deploy/even-spread.xml");
    let c = read_config(SAMPLE, &read_operator_settings(file).unwrap()).unwrap();
    assert!(c.core.tuning.even_zone_spread && c.core.tuning.defer_jobs);
    assert!(!t.evacuate_zones && !t.defer_jobs && t.machine_share_of_service == 1.0);
    let error = read_config(
        SAMPLE,
        &read_operator_settings(&shown.replace(">0.5<", ">0<")).unwrap(),
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
