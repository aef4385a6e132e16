//! Runs a scenario with all safety checks, and with one check disabled.

use glenmount_core::safety_checks::Checks;
use glenmount_simulation::day::disable_check;
use glenmount_simulation::Simulation;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The cost of a scenario in its own unit, or the message of the invariant violation.
pub type Cost = Result<u64, String>;

/// Runs the scenario and turns a panic into its message.
pub fn run_scenario(checks: &Checks, scenario: impl Fn(&Checks) -> u64) -> Cost {
    let result = catch_unwind(AssertUnwindSafe(|| scenario(checks)));
    result.map_err(|panic| match panic.downcast_ref::<String>() {
        Some(message) => message.clone(),
        None => panic.downcast_ref::<&str>().unwrap_or(&"").to_string(),
    })
}

/// Asserts that the scenario costs at most `max_cost` with all checks, and that it violates an invariant or costs more
/// with the named check disabled. Returns the cost without that check.
pub fn assert_check_needed(check: &str, max_cost: u64, scenario: impl Fn(&Checks) -> u64) -> Cost {
    let with = run_scenario(&Checks::default(), &scenario);
    assert!(
        with.as_ref().is_ok_and(|c| *c <= max_cost),
        "{check}: {with:?}"
    );
    let mut checks = Checks::default();
    disable_check(&mut checks, check).unwrap();
    let without = run_scenario(&checks, &scenario);
    assert!(
        !without.as_ref().is_ok_and(|c| *c <= max_cost),
        "the scenario does not need check {check}: {with:?} with it, {without:?} without"
    );
    without
}

/// Asserts that the scenario ended with a violation whose message contains `violation`.
pub fn assert_violates(cost: Cost, violation: &str) {
    let message = cost.expect_err("an invariant is violated");
    assert!(message.contains(violation), "{message}");
}

/// A simulation with the given checks whose idle machines are never deprovisioned.
pub fn simulation_with_checks(
    checks: &Checks,
    seed: u64,
    controllers: usize,
    machines: usize,
) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.checks = *checks;
    sim.settings.idle_timeout_ms = 3_600_000;
    sim
}
