//! Runs the small plan of the load test: all faults within some twenty seconds, with real processes on loopback.
//! Checks no timings, only that no rule is violated, no controller exits by itself and jobs complete.

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
fn small_plan_violates_no_rule_and_completes() {
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
    let completed_jobs = result.figures.latencies[&LatencyKind::CompletionReported].count;
    assert!(completed_jobs > 0, "{}", result.figures);
    let applied_configurations = result.figures.latencies[&LatencyKind::ConfigurationInForce].count;
    assert!(applied_configurations > 0, "{}", result.figures);
    std::fs::remove_dir_all(&options.folder).unwrap();
}

/// Guards against simulated workers and users that outlive their run. They reported to the controllers of the next
/// run, which has the same addresses and names, so that tasks seemed to run twice and jobs to complete early.
#[test]
fn consecutive_runs_do_not_interfere() {
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

/// Half of all direct commands arrive again, beside controllers that end and are back within 0.3 s.
#[test]
fn copies_of_direct_commands_start_no_attempt_again() {
    let options = options("copies");
    let changes = [
        "troubles=[{at_s=0.0, kind=\"commands_repeat\", share=0.5, for_s=25.0}, \
         {at_s=4.0, kind=\"controller_end\", controller=0, for_s=0.3}, \
         {at_s=9.0, kind=\"controller_end\", controller=1, for_s=0.3}]",
        "seconds=20.0",
    ];
    let plan = Plan::parse(PLAN, &changes.map(String::from)).unwrap();
    let result = run_alone(plan, &options).unwrap();
    assert!(result.is_good(), "{:?}", result.violations);
    let copies_refused = result.figures.worker_messages.get("copies refused");
    assert!(
        copies_refused.is_some_and(|count| *count > 0),
        "{}",
        result.figures
    );
    std::fs::remove_dir_all(&options.folder).unwrap();
}
