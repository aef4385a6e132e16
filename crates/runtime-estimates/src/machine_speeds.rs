//! Detects slow machines, whose run times are not representative of their tasks.

use crate::constants::{MACHINES_MAX, SLOW_MIN_EXCESS, SLOW_MIN_RUNS, SPEED_LATEST_SHARE};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    runs: f64,
    /// Mean logarithm by which runs exceed their estimates.
    mean_excess: f64,
}

/// The run times on each machine relative to their estimates.
#[derive(Debug, Default)]
pub struct MachineSpeeds {
    by_machine: HashMap<String, Speed>,
    /// Over all machines. If all runs take longer, the machines are not the cause.
    overall: Speed,
}

/// Adds a run to the moving average. The first runs have equal weights.
fn update(speed: &mut Speed, excess: f64, latest_share: f64) {
    speed.runs += 1.0;
    let latest_share = latest_share.max(1.0 / speed.runs);
    speed.mean_excess += (excess - speed.mean_excess) * latest_share;
}

impl MachineSpeeds {
    /// Records a run that exceeded its estimate by the logarithm `excess`. Returns whether the run is representative:
    /// runs on slow machines are not.
    pub fn add_run(&mut self, machine: &str, excess: f64) -> bool {
        let excess = excess.clamp(-3.0, 3.0);
        let was_slow = self.is_slow(machine);
        if self.by_machine.len() < MACHINES_MAX || self.by_machine.contains_key(machine) {
            let speed = self.by_machine.entry(machine.to_string()).or_default();
            update(speed, excess, SPEED_LATEST_SHARE);
        }
        if !was_slow {
            update(&mut self.overall, excess, SPEED_LATEST_SHARE / 10.0);
        }
        !self.is_slow(machine)
    }

    /// Returns whether runs take much longer on this machine than on all machines.
    pub fn is_slow(&self, machine: &str) -> bool {
        let known = self
            .by_machine
            .get(machine)
            .filter(|s| s.runs >= SLOW_MIN_RUNS);
        known.is_some_and(|s| s.mean_excess - self.overall.mean_excess > SLOW_MIN_EXCESS)
    }

    /// Removes the machines for which `is_known` returns false.
    pub fn retain(&mut self, mut is_known: impl FnMut(&str) -> bool) {
        self.by_machine.retain(|id, _| is_known(id));
    }

    /// Returns the number of tracked machines.
    pub fn len(&self) -> usize {
        self.by_machine.len()
    }

    /// Returns whether no machine is tracked.
    pub fn is_empty(&self) -> bool {
        self.by_machine.is_empty()
    }
}
