//! Compares sample entries with a baseline: noise passes, and each kind of failure fails.

use proptest::prelude::*;
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;
use xtask::baseline::Baseline;
use xtask::comparison::{compare, table, ComparisonRow, DEFAULT_TEMPLATE};
use xtask::journal::{parse, Entry, HashedEntry};

fn day(name: &str, score: f64) -> Value {
    json!({"name": name, "score": score, "rules": {}, "fault": null, "restarts": 0.0, "G": score})
}

fn entry(id: &str, site: &str, score: f64, days: Vec<Value>) -> Value {
    json!({"v": 1, "id": id, "cmd": "score", "argv": ["x.toml"], "site": site, "ok": true,
        "error": null, "score": score, "days": days, "edited_meanwhile": false, "seal": "00"})
}

fn read(value: &Value) -> Entry {
    parse(value.to_string().as_bytes()).unwrap()
}

fn baseline() -> Baseline {
    let runs = [
        entry(
            "a1",
            "south",
            0.80,
            vec![day("calm", 0.9), day("rough", 0.70)],
        ),
        entry(
            "a2",
            "south",
            0.84,
            vec![day("calm", 0.9), day("rough", 0.76), day("fresh-1", 0.1)],
        ),
    ];
    let runs = runs.iter().map(|r| HashedEntry {
        entry: read(r),
        sha256: "00".into(),
    });
    Baseline::from_entries(&runs.collect::<Vec<_>>()).unwrap()
}

fn compared(value: &Value) -> Vec<ComparisonRow> {
    compare(&baseline(), &["south".into()], &[read(value)])
}

fn failures(rows: &[ComparisonRow]) -> Vec<(&str, &str)> {
    let failed = rows.iter().filter_map(|r| Some((r, r.failure.as_ref()?)));
    failed
        .map(|(r, failure)| (r.name.as_str(), failure.as_str()))
        .collect()
}

#[test]
fn a_decrease_beyond_noise_fails() {
    let fine = entry(
        "b",
        "south",
        0.775,
        vec![day("calm", 0.9), day("rough", 0.67)],
    );
    assert_eq!(failures(&compared(&fine)), []);
    let decreased = entry(
        "b",
        "south",
        0.769,
        vec![day("calm", 0.87), day("rough", 0.66)],
    );
    let rows = compared(&decreased);
    let why = "fell by more than 0.03";
    assert_eq!(failures(&rows), [("score", why), ("rough", why)]);
    assert!(rows.iter().all(|r| r.has_decreased == r.failure.is_some()));
}

#[test]
fn a_day_fails_if_less_than_half_of_a_class_or_team_was_served() {
    let served = |share: f64| {
        let mut rough = day("rough", 0.76);
        rough["served"] = json!([["router", 0.8, 1.0], ["team red", 0.2, share]]);
        entry("b", "south", 0.8, vec![day("calm", 0.9), rough])
    };
    assert_eq!(failures(&compared(&served(0.5))), []);
    let rows = compared(&served(0.49));
    assert_eq!(
        failures(&rows),
        [("rough", "only 0.49 of team red was served")]
    );
    let out_of_range = parse(served(1.5).to_string().as_bytes());
    assert!(out_of_range
        .unwrap_err()
        .to_string()
        .contains("served, team red"));
}

#[test]
fn repeated_runs_of_a_day_count_by_their_mean() {
    let low = entry("b", "south", 0.8, vec![day("rough", 0.60)]);
    let mut again = entry("c", "south", 0.0, vec![day("rough", 0.75)]);
    (again["cmd"], again["score"]) = ("run".into(), Value::Null);
    let both = compare(&baseline(), &["south".into()], &[read(&low), read(&again)]);
    let rough = both.iter().find(|r| r.name == "rough").unwrap();
    assert_eq!((rough.runs, rough.failure.as_ref()), (2, None));
}

#[test]
fn broken_rules_controller_exits_and_aborted_days_fail_regardless_of_the_figure() {
    let with = |field: &str, value: Value| {
        let mut bad = day("rough", 0.9);
        bad[field] = value;
        entry("b", "south", 0.9, vec![day("calm", 0.9), bad])
    };
    for (field, value, failure) in [
        (
            "rules",
            json!({"ran_twice": 2}),
            "rules broken: 2 ran_twice",
        ),
        (
            "fault",
            json!("over its time"),
            "not played to its end: \"over its time\"",
        ),
        ("restarts", json!(1.0), "1 controllers ended by themselves"),
        ("score", Value::Null, "it has no figure"),
    ] {
        assert_eq!(
            failures(&compared(&with(field, value))),
            [("rough", failure)]
        );
    }
    // Randomly drawn days have no baseline, but broken rules fail them, too.
    let mut drawn = day("hunt-9-1", 0.2);
    drawn["rules"] = json!({"quota": 1});
    let hunted = entry("b", "south", 0.9, vec![day("hunt-9-0", 0.1), drawn]);
    let rows = compared(&hunted);
    assert_eq!(
        failures(&rows),
        [("drawn", "hunt-9-1: rules broken: 1 quota")]
    );
}

#[test]
fn aborted_runs_and_sites_that_were_not_requested_fail() {
    let mut aborted = entry("b", "south", 0.9, vec![]);
    (aborted["ok"], aborted["error"]) = (false.into(), "the run did not finish".into());
    assert_eq!(
        failures(&compared(&aborted)),
        [("all", "the run did not finish")]
    );
    let mut edited = entry("b", "south", 0.9, vec![]);
    edited["edited_meanwhile"] = true.into();
    assert_eq!(failures(&compared(&edited)).len(), 1);
    assert_eq!(
        failures(&compare(&baseline(), &["south".into()], &[])),
        [("score", "not played")]
    );
    let mut without_site = entry("b", "south", 0.9, vec![]);
    without_site["site"] = Value::Null;
    assert_eq!(failures(&compared(&without_site)).len(), 2);
    let rows = compare(&baseline(), &["south".into()], &[read(&without_site)]);
    let text = table(&rows, DEFAULT_TEMPLATE).unwrap();
    assert!(
        text.contains("not played") && text.ends_with("2 of 2 failed\n"),
        "{text}"
    );
}

#[test]
fn scores_of_quick_runs_are_not_compared() {
    let mut quick = entry("b", "south", 0.1, vec![day("rough", 0.72)]);
    quick["argv"] = json!(["x.toml", "--quick"]);
    assert_eq!(failures(&compared(&quick)), []);
}

#[test]
fn invalid_entries_are_rejected_in_a_baseline() {
    let run = |value: &Value| HashedEntry {
        entry: read(value),
        sha256: "00".into(),
    };
    let mut broken = day("rough", 0.0);
    broken["rules"] = json!({"quota": 1});
    let broken = run(&entry("a", "south", 0.5, vec![broken]));
    assert!(Baseline::from_entries(&[broken])
        .unwrap_err()
        .to_string()
        .contains("rough"));
    let fine = run(&entry("a", "south", 0.5, vec![]));
    assert!(Baseline::from_entries(&[fine.clone(), fine])
        .unwrap_err()
        .to_string()
        .contains("twice"));
    for bad in [json!({"id": "a"}), entry("a", "south", 1.5, vec![])] {
        assert!(parse(bad.to_string().as_bytes()).is_err());
    }
}

#[test]
fn the_committed_baseline_matches_the_committed_journal() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let baseline = Baseline::read(&root.join("regression/base.json")).unwrap();
    baseline.verify(&root.join("journal")).unwrap();
    assert!(!baseline.sites.is_empty());
}

/// Uses a benchmark that copies prepared entries to the journal.
#[test]
fn regress_repeats_decreased_days_and_sets_the_exit_code() {
    let dir = tempfile::tempdir().unwrap();
    let at = |name: &str| dir.path().join(name);
    for folder in ["journal", "kit/more/fleet", "prepared"] {
        std::fs::create_dir_all(at(folder)).unwrap();
    }
    let sites = ["rutazona-central-fleet", "melekt-shared-fleet"];
    for site in sites {
        std::fs::write(at(&format!("kit/more/fleet/{site}.toml")), "").unwrap();
        let first = entry(site, site, 0.8, vec![day("rough", 0.8)]);
        std::fs::write(at(&format!("journal/0-{site}.json")), first.to_string()).unwrap();
    }
    let bench = at("bench");
    let script = "#!/bin/sh\ncd \"$(dirname \"$0\")\"\necho \"$@\" >> calls\n\
        n=$(wc -l < calls)\ncp prepared/$n-* journal/\n";
    std::fs::write(&bench, script).unwrap();
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755)).unwrap();
    let xtask = |args: &[&str]| {
        let run = Command::new(env!("CARGO_BIN_EXE_xtask"))
            .current_dir(dir.path())
            .args(args)
            .args(["--base", "base.json"])
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&run.stdout).into_owned();
        (
            run.status.code(),
            text + &String::from_utf8_lossy(&run.stderr),
        )
    };
    assert_eq!(xtask(&["base", sites[0], sites[1]]).0, Some(0));
    let prepare = |call: usize, value: &Value| {
        let id = value["id"].as_str().unwrap();
        std::fs::write(at(&format!("prepared/{call}-{id}.json")), value.to_string()).unwrap();
    };
    let regress = [
        "regress", "fleet", "--bench", "./bench", "--kit", "kit", "--why", "noise", "--quick",
    ];
    // The figure of one day decreases by chance. A second run is as good as before.
    prepare(1, &entry("c0", sites[0], 0.8, vec![day("rough", 0.7)]));
    prepare(1, &entry("c1", sites[1], 0.8, vec![day("rough", 0.8)]));
    prepare(2, &entry("d0", sites[0], 0.8, vec![day("rough", 0.9)]));
    let (code, text) = xtask(&regress);
    assert_eq!(code, Some(0), "{text}");
    let calls = std::fs::read_to_string(at("calls")).unwrap();
    assert_eq!(calls.lines().count(), 2, "{calls}");
    assert!(
        calls.contains("rutazona-central-fleet.toml rough --why noise"),
        "{calls}"
    );
    // The figure decreases in all runs.
    for call in 3..=5 {
        let low = entry(&format!("e{call}"), sites[0], 0.8, vec![day("rough", 0.7)]);
        prepare(call, &low);
    }
    prepare(3, &entry("e1", sites[1], 0.8, vec![day("rough", 0.8)]));
    let (code, text) = xtask(&regress);
    assert_eq!(code, Some(1), "{text}");
    assert!(
        text.contains("fell by more than 0.03") && text.contains("1 of 4 failed"),
        "{text}"
    );
    // A baseline whose entry has changed is rejected.
    std::fs::write(at("journal/0-melekt-shared-fleet.json"), "{}").unwrap();
    assert_eq!(xtask(&["compare", "e1"]).0, Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse(&bytes);
    }

    /// An entry with one changed byte is rejected, or has figures from 0 to 1.
    #[test]
    fn damaged_entries_are_rejected_or_have_valid_figures(at in 0usize..400, byte in any::<u8>()) {
        let mut text = entry("b", "south", 0.9, vec![day("rough", 0.9)]).to_string().into_bytes();
        let n = text.len();
        text[at % n] = byte;
        if let Ok(entry) = parse(&text) {
            prop_assert!(entry.score.is_none_or(|s| (0.0..=1.0).contains(&s)));
            let rows = compare(&baseline(), &["south".into()], &[entry]);
            prop_assert!(table(&rows, DEFAULT_TEMPLATE).is_ok());
        }
    }
}
