//! Described days: what is read, what is refused, and that a play measures what happened.

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
    let read = Experiment::read(DAY).unwrap();
    let once = || run_day(&read.days[0], &read.variants[0], 3).unwrap();
    let (a, b) = (once(), once());
    assert_eq!((a.starts, a.changes), (b.starts, b.changes), "it repeats");
    assert!(a.failed().is_empty(), "{:?}", a.failed());
    let noticed = a.failure_detection.summary();
    assert!(noticed.count == 1 && noticed.max <= 60, "{noticed:?}");
    let heard = a.worker_reconnection.summary();
    assert!(heard.count >= 8 && heard.p99 < 4_500, "{heard:?}");
    assert_eq!((a.duty_takeover.summary().count, a.killed_by_lease), (1, 0));
    assert!(a.replica_availability > 0.95 && a.submissions > 20);
    let sort = &a.classes["sort"].1;
    assert_eq!(sort.jobs, sort.done);
    let mut sum = a.clone();
    sum.add(&b);
    assert_eq!((sum.plays, sum.starts), (2, 2 * a.starts));
    assert_eq!(sum.failure_detection.summary().count, 2);
}

/// An instance request whose outcome could not be recorded in a controller's first seconds was asked again at a time
/// before its start, which the subtraction did not allow for.
#[test]
fn a_day_of_which_less_than_half_is_served_fails() {
    let flood = DAY
        .replace("rate = 1.0", "rate = 6.0")
        .replace("run_s = 4.0", "run_s = 200.0");
    let read = Experiment::read(&flood).unwrap();
    let outcome = run_day(&read.days[0], &read.variants[0], 3).unwrap();
    assert_eq!(outcome.failed(), ["class sort", "team red"]);
    assert!(outcome.replica_availability > 0.95, "services go on");
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
    for (from, to, named) in cases {
        let text = DAY.replace(from, to);
        assert_ne!(text, DAY);
        let error = Experiment::read(&text).unwrap_err().to_string();
        assert!(error.contains(named), "{to}: {error}");
    }
    let variant = format!("{DAY}\n[[variant]]\nname = \"x\"\nwithout = [\"all\"]\n");
    let error = Experiment::read(&variant).unwrap_err().to_string();
    assert!(error.contains("no check \"all\""), "{error}");
}
