//! Described days: reading, rejection of invalid days, and the measured outcome of a run.

use glenmount_simulation::day::Experiment;
use glenmount_simulation::day_runner::run_day;

const DAY: &str = r#"
[[day]]
name = "small"
seconds = 60
warm_s = 10
machines = 40
nodes = 3
zones = ["east", "west"]
limits = { state_rps = 200.0, write_rps = 90.0, cloud_rps = 6.0, list_lag_s = 4.0, value_kb = 8.0, txn_ops = 16, sockets = 500 }
workers = { report_s = 2.0, lease_s = 12.0, cancel_s = 40.0 }
team = [ { name = "red", cpus = 40.0, cpus_max = 0.0 } ]
trouble = [ { at_s = 30.0, kind = "end", count = 1, back_s = 4.0 } ]

[[day.class]]
name = "sort"
teams = ["red"]
rank = "standard"
tasks = 4.0
run_s = 4.0
cpus = 1.0
rate = 1.0

[[day.class]]
name = "push"
teams = ["red"]
service = true
rank = "critical"
tasks = 3.0
run_s = 60.0
cpus = 1.0
rate = 0.2
initial = 5
"#;

#[test]
fn a_small_day_is_run_and_measured() {
    let experiment = Experiment::read(DAY).unwrap();
    let run = || run_day(&experiment.days[0], &experiment.variants[0], 3).unwrap();
    let (first, second) = (run(), run());
    assert_eq!(
        (first.starts, first.changes),
        (second.starts, second.changes),
        "two runs are equal"
    );
    assert!(first.failed().is_empty(), "{:?}", first.failed());
    let detection = first.failure_detection.summary();
    assert!(detection.count == 1 && detection.max <= 60, "{detection:?}");
    let reconnection = first.worker_reconnection.summary();
    assert!(
        reconnection.count >= 8 && reconnection.p99 < 4_500,
        "{reconnection:?}"
    );
    assert_eq!(
        (first.duty_takeover.summary().count, first.killed_by_lease),
        (1, 0)
    );
    assert!(first.replica_availability > 0.95 && first.submissions > 20);
    let sort = &first.classes["sort"].1;
    assert_eq!(sort.jobs, sort.done);
    let mut sum = first.clone();
    sum.add(&second);
    assert_eq!((sum.runs, sum.starts), (2, 2 * first.starts));
    assert_eq!(sum.failure_detection.summary().count, 2);
}

/// Also guards against an arithmetic underflow: a controller that could not record the outcome of an instance request
/// in its first seconds scheduled the retry at a time before its own start.
#[test]
fn a_day_of_which_less_than_half_is_served_fails() {
    let overloaded = DAY
        .replace("rate = 1.0", "rate = 6.0")
        .replace("run_s = 4.0", "run_s = 200.0");
    let experiment = Experiment::read(&overloaded).unwrap();
    let outcome = run_day(&experiment.days[0], &experiment.variants[0], 3).unwrap();
    assert_eq!(outcome.failed(), ["class sort", "team red"]);
    assert!(
        outcome.replica_availability > 0.95,
        "replicas of services keep running"
    );
}

#[test]
fn invalid_days_are_rejected_by_field() {
    let cases = [
        ("machines = 40", "machines = 0", "machines"),
        ("nodes = 3", "nodes = 9", "nodes"),
        ("rank = \"standard\"", "rank = \"first\"", "rank"),
        ("teams = [\"red\"]", "teams = [\"blue\"]", "unknown team"),
        ("cpus = 1.0", "cpus = 64.0", "cpus"),
        ("seconds = 60", "sconds = 60", "sconds"),
        (
            "kind = \"end\", count = 1, back_s = 4.0",
            "kind = \"zone_cut\", zone = \"north\", for_s = 1.0",
            "unknown zone",
        ),
    ];
    for (from, to, expected) in cases {
        let text = DAY.replace(from, to);
        assert_ne!(text, DAY);
        let error = Experiment::read(&text).unwrap_err().to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
    let variant = format!("{DAY}\n[[variant]]\nname = \"x\"\nwithout = [\"all\"]\n");
    let error = Experiment::read(&variant).unwrap_err().to_string();
    assert!(error.contains("no check \"all\""), "{error}");
}
