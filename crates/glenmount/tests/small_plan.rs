//! The scale run's small plan: all troubles within some twenty seconds, real processes on loopback. No
//! timings: only that no rule is broken, nobody ends by itself, and work is done.

use glenmount_edge::counters::Timed;
use glenmount_edge::plan::Plan;
use glenmount_edge::run::{run, Options};
use std::path::PathBuf;

const PLAN: &str = include_str!("../../edge/plans/small.toml");

#[tokio::test(flavor = "multi_thread")]
async fn the_small_plan_breaks_no_rule_and_comes_to_its_end() {
    let plan = Plan::parse(PLAN, &[]).unwrap();
    let folder = std::env::temp_dir().join(format!("glenmount-small-{}", std::process::id()));
    let options = Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_glenmount")),
        folder: folder.clone(),
        log_level: "error".into(),
        progress: false,
    };
    let result = run(plan, &options).await.unwrap();
    assert!(result.breaches.is_empty(), "{:?}", result.breaches);
    assert!(result.ended.is_empty(), "{:?}", result.ended);
    assert!(result.is_good());
    let done = result.figures.times[&Timed::DoneTold].count;
    assert!(done > 0, "{}", result.figures.table());
    std::fs::remove_dir_all(&folder).unwrap();
}
