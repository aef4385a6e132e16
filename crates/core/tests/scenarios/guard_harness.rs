//! Runs a scenario with all safety guards, and with one left out.

use glenmount_core::safety_checks::Checks;
use glenmount_simulation::day::disable_check;
use glenmount_simulation::Simulation;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What a scenario cost, or the rule that it broke.
pub type Cost = Result<u64, String>;

pub fn outcome_of(checks: &Checks, story: impl Fn(&Checks) -> u64) -> Cost {
    let played = catch_unwind(AssertUnwindSafe(|| story(checks)));
    played.map_err(|panic| match panic.downcast_ref::<String>() {
        Some(why) => why.clone(),
        None => panic.downcast_ref::<&str>().unwrap_or(&"").to_string(),
    })
}

/// With all checks the scenario costs at most so much; without the one it breaks an invariant or costs more.
pub fn assert_needed(check: &str, most: u64, story: impl Fn(&Checks) -> u64) -> Cost {
    let with = outcome_of(&Checks::default(), &story);
    assert!(with.as_ref().is_ok_and(|c| *c <= most), "{check}: {with:?}");
    let mut checks = Checks::default();
    disable_check(&mut checks, check).unwrap();
    let without = outcome_of(&checks, &story);
    assert!(
        !without.as_ref().is_ok_and(|c| *c <= most),
        "nothing happens without {check}: {with:?} and {without:?}"
    );
    without
}

pub fn assert_violates(cost: Cost, rule: &str) {
    let why = cost.expect_err("a rule is broken");
    assert!(why.contains(rule), "{why}");
}

pub fn guarded(checks: &Checks, seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.checks = *checks;
    sim.settings.idle_timeout_ms = 3_600_000;
    sim
}
