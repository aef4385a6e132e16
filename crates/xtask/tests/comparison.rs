//! Journal-like samples against a base: each way to fail must fail, noise must not.

use proptest::prelude::*;
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;
use xtask::baseline::Base;
use xtask::comparison::{rows, table, ComparisonRow, TABLE};
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

fn base() -> Base {
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
    Base::of(&runs.collect::<Vec<_>>()).unwrap()
}

fn against(value: &Value) -> Vec<ComparisonRow> {
    rows(&base(), &["south".into()], &[read(value)])
}

fn fails(rows: &[ComparisonRow]) -> Vec<(&str, &str)> {
    let failed = rows.iter().filter_map(|r| Some((r, r.fails.as_ref()?)));
    failed
        .map(|(r, why)| (r.what.as_str(), why.as_str()))
        .collect()
}

#[test]
fn noise_passes_and_a_fall_does_not() {
    let fine = entry(
        "b",
        "south",
        0.775,
        vec![day("calm", 0.9), day("rough", 0.67)],
    );
    assert_eq!(fails(&against(&fine)), []);
    let fell = entry(
        "b",
        "south",
        0.769,
        vec![day("calm", 0.87), day("rough", 0.66)],
    );
    let rows = against(&fell);
    let why = "fell by more than 0.03";
    assert_eq!(fails(&rows), [("score", why), ("rough", why)]);
    assert!(rows.iter().all(|r| r.fell == r.fails.is_some()));
}

#[test]
fn a_class_or_team_of_which_less_than_half_is_served_fails_its_day() {
    let served = |share: f64| {
        let mut rough = day("rough", 0.76);
        rough["served"] = json!([["router", 0.8, 1.0], ["team red", 0.2, share]]);
        entry("b", "south", 0.8, vec![day("calm", 0.9), rough])
    };
    assert_eq!(fails(&against(&served(0.5))), []);
    let rows = against(&served(0.49));
    assert_eq!(
        fails(&rows),
        [("rough", "only 0.49 of team red was served")]
    );
    let absurd = parse(served(1.5).to_string().as_bytes());
    assert!(absurd.unwrap_err().to_string().contains("served, team red"));
}

#[test]
fn a_day_played_again_counts_by_its_mean() {
    let low = entry("b", "south", 0.8, vec![day("rough", 0.60)]);
    let mut again = entry("c", "south", 0.0, vec![day("rough", 0.75)]);
    (again["cmd"], again["score"]) = ("run".into(), Value::Null);
    let both = rows(&base(), &["south".into()], &[read(&low), read(&again)]);
    let rough = both.iter().find(|r| r.what == "rough").unwrap();
    assert_eq!((rough.plays, rough.fails.as_ref()), (2, None));
}

#[test]
fn broken_rules_ended_controllers_and_days_not_played_fail_whatever_the_figure() {
    let with = |field: &str, value: Value| {
        let mut bad = day("rough", 0.9);
        bad[field] = value;
        entry("b", "south", 0.9, vec![day("calm", 0.9), bad])
    };
    for (field, value, said) in [
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
        assert_eq!(fails(&against(&with(field, value))), [("rough", said)]);
    }
    // Drawn days have no base, but break rules all the same.
    let mut drawn = day("hunt-9-1", 0.2);
    drawn["rules"] = json!({"quota": 1});
    let hunted = entry("b", "south", 0.9, vec![day("hunt-9-0", 0.1), drawn]);
    let rows = against(&hunted);
    assert_eq!(fails(&rows), [("drawn", "hunt-9-1: rules broken: 1 quota")]);
}

#[test]
fn runs_that_did_not_end_or_that_nobody_asked_for_fail() {
    let mut cut = entry("b", "south", 0.9, vec![]);
    (cut["ok"], cut["error"]) = (false.into(), "the run did not finish".into());
    assert_eq!(fails(&against(&cut)), [("all", "the run did not finish")]);
    let mut edited = entry("b", "south", 0.9, vec![]);
    edited["edited_meanwhile"] = true.into();
    assert_eq!(fails(&against(&edited)).len(), 1);
    assert_eq!(
        fails(&rows(&base(), &["south".into()], &[])),
        [("score", "not played")]
    );
    let mut none = entry("b", "south", 0.9, vec![]);
    none["site"] = Value::Null;
    assert_eq!(fails(&against(&none)).len(), 2);
    let rows = rows(&base(), &["south".into()], &[read(&none)]);
    let text = table(&rows, TABLE).unwrap();
    assert!(
        text.contains("not played") && text.ends_with("2 of 2 failed\n"),
        "{text}"
    );
}

#[test]
fn quick_scores_do_not_compare_with_full_ones() {
    let mut quick = entry("b", "south", 0.1, vec![day("rough", 0.72)]);
    quick["argv"] = json!(["x.toml", "--quick"]);
    assert_eq!(fails(&against(&quick)), []);
}

#[test]
fn what_must_not_be_a_base_is_refused() {
    let run = |value: &Value| HashedEntry {
        entry: read(value),
        sha256: "00".into(),
    };
    let mut broken = day("rough", 0.0);
    broken["rules"] = json!({"quota": 1});
    let broken = run(&entry("a", "south", 0.5, vec![broken]));
    assert!(Base::of(&[broken])
        .unwrap_err()
        .to_string()
        .contains("rough"));
    let fine = run(&entry("a", "south", 0.5, vec![]));
    assert!(Base::of(&[fine.clone(), fine])
        .unwrap_err()
        .to_string()
        .contains("twice"));
    for bad in [json!({"id": "a"}), entry("a", "south", 1.5, vec![])] {
        assert!(parse(bad.to_string().as_bytes()).is_err());
    }
}

#[test]
fn the_committed_base_is_what_the_committed_journal_says() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let base = Base::read(&root.join("regression/base.json")).unwrap();
    base.confirm(&root.join("journal")).unwrap();
    assert!(!base.sites.is_empty());
}

/// A bench that writes what it is told to into the journal.
#[test]
fn the_command_plays_compares_plays_again_and_says_so_by_its_exit_code() {
    let dir = tempfile::tempdir().unwrap();
    let at = |name: &str| dir.path().join(name);
    for folder in ["journal", "kit/more/fleet", "told"] {
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
        n=$(wc -l < calls)\ncp told/$n-* journal/\n";
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
    let tell = |call: usize, value: &Value| {
        let id = value["id"].as_str().unwrap();
        std::fs::write(at(&format!("told/{call}-{id}.json")), value.to_string()).unwrap();
    };
    let regress = [
        "regress", "fleet", "--bench", "./bench", "--kit", "kit", "--why", "noise", "--quick",
    ];
    // One day falls, and is luck: played again it is as before.
    tell(1, &entry("c0", sites[0], 0.8, vec![day("rough", 0.7)]));
    tell(1, &entry("c1", sites[1], 0.8, vec![day("rough", 0.8)]));
    tell(2, &entry("d0", sites[0], 0.8, vec![day("rough", 0.9)]));
    let (code, text) = xtask(&regress);
    assert_eq!(code, Some(0), "{text}");
    let calls = std::fs::read_to_string(at("calls")).unwrap();
    assert_eq!(calls.lines().count(), 2, "{calls}");
    assert!(
        calls.contains("rutazona-central-fleet.toml rough --why noise"),
        "{calls}"
    );
    // It falls and stays so.
    for call in 3..=5 {
        let low = entry(&format!("e{call}"), sites[0], 0.8, vec![day("rough", 0.7)]);
        tell(call, &low);
    }
    tell(3, &entry("e1", sites[1], 0.8, vec![day("rough", 0.8)]));
    let (code, text) = xtask(&regress);
    assert_eq!(code, Some(1), "{text}");
    assert!(
        text.contains("fell by more than 0.03") && text.contains("1 of 4 failed"),
        "{text}"
    );
    // A base whose entry has changed is no base.
    std::fs::write(at("journal/0-melekt-shared-fleet.json"), "{}").unwrap();
    assert_eq!(xtask(&["compare", "e1"]).0, Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_text_makes_the_reader_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse(&bytes);
    }

    /// Entries bent in one place: read or refused, and what is read has figures from 0 to 1.
    #[test]
    fn bent_entries_are_refused_or_make_sense(at in 0usize..400, byte in any::<u8>()) {
        let mut text = entry("b", "south", 0.9, vec![day("rough", 0.9)]).to_string().into_bytes();
        let n = text.len();
        text[at % n] = byte;
        if let Ok(entry) = parse(&text) {
            prop_assert!(entry.score.is_none_or(|s| (0.0..=1.0).contains(&s)));
            let rows = rows(&base(), &["south".into()], &[entry]);
            prop_assert!(table(&rows, TABLE).is_ok());
        }
    }
}
