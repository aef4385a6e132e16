//! Machines that are slow: their runs say nothing of the work.

use crate::constants::{MACHINES_MAX, SLOW_MIN_EXCESS, SLOW_MIN_RUNS, SPEED_LATEST_SHARE};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    runs: f64,
    /// Mean logarithm by which runs exceeded their estimates.
    excess: f64,
}

/// How runs on each machine compare with their estimates.
#[derive(Debug, Default)]
pub struct MachineSpeeds {
    known: HashMap<String, Speed>,
    /// The same over all: when everything takes longer it is not the machines.
    all: Speed,
}

/// Counts a run; the first ones by their mean.
fn update(speed: &mut Speed, excess: f64, latest_share: f64) {
    speed.runs += 1.0;
    let latest_share = latest_share.max(1.0 / speed.runs);
    speed.excess += (excess - speed.excess) * latest_share;
}

impl MachineSpeeds {
    /// A run took so much longer than its estimate, in logarithms. Says whether it counts: not on a
    /// machine that is slow.
    pub fn add_run(&mut self, machine: &str, excess: f64) -> bool {
        let excess = excess.clamp(-3.0, 3.0);
        let slow = self.is_slow(machine);
        if self.known.len() < MACHINES_MAX || self.known.contains_key(machine) {
            let speed = self.known.entry(machine.to_string()).or_default();
            update(speed, excess, SPEED_LATEST_SHARE);
        }
        if !slow {
            update(&mut self.all, excess, SPEED_LATEST_SHARE / 10.0);
        }
        !self.is_slow(machine)
    }

    /// Whether runs take much longer on it than on all machines.
    pub fn is_slow(&self, machine: &str) -> bool {
        let known = self.known.get(machine).filter(|s| s.runs >= SLOW_MIN_RUNS);
        known.is_some_and(|s| s.excess - self.all.excess > SLOW_MIN_EXCESS)
    }

    /// Forgets machines that are not known any more.
    pub fn retain(&mut self, mut known: impl FnMut(&str) -> bool) {
        self.known.retain(|id, _| known(id));
    }

    /// Machines that are followed.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is followed.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
