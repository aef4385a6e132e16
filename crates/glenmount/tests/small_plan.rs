//! The scale run's small plan: all troubles within some twenty seconds, real processes on loopback. No
//! timings: only that no rule is broken, nobody ends by itself, and work is done.

use glenmount_loadtest::measurement::latencies::LatencyKind;
use glenmount_loadtest::plan::Plan;
use glenmount_loadtest::run::{run_alone, Options};
use std::path::PathBuf;

const PLAN: &str = include_str!("../../loadtest/plans/small.toml");

fn options(name: &str) -> Options {
    let folder = format!("glenmount-{name}-{}", std::process::id());
    Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_glenmount")),
        folder: std::env::temp_dir().join(folder),
        log_level: "error".into(),
        progress: false,
    }
}

#[test]
fn the_small_plan_breaks_no_rule_and_comes_to_its_end() {
    let plan = Plan::parse(PLAN, &[]).unwrap();
    let options = options("small");
    let result = run_alone(plan, &options).unwrap();
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    assert!(
        result.exited_controllers.is_empty(),
        "{:?}",
        result.exited_controllers
    );
    assert!(result.is_good());
    let done = result.figures.latencies[&LatencyKind::CompletionReported].count;
    assert!(done > 0, "{}", result.figures);
    let in_force = result.figures.latencies[&LatencyKind::ConfigurationInForce].count;
    assert!(in_force > 0, "{}", result.figures);
    std::fs::remove_dir_all(&options.folder).unwrap();
}

/// Workers and users of a run that was over went on and reported to the next one's controllers, at the same
/// addresses and under the same names: tasks "ran twice", jobs were "done" before they were.
#[test]
fn nothing_of_a_run_is_left_for_the_next_one() {
    let options = options("twice");
    let changes = [
        "troubles=[]",
        "warm_up_s=4.0",
        "seconds=5.0",
        "settle_s=0.0",
    ];
    let changes = changes.map(String::from);
    for _ in 0..2 {
        let plan = Plan::parse(PLAN, &changes).unwrap();
        let result = run_alone(plan, &options).unwrap();
        assert!(result.is_good(), "{:?}", result.violations);
    }
    std::fs::remove_dir_all(&options.folder).unwrap();
}
