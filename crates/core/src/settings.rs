//! What a controller is told at its start: the platform's settings and the operators' own.

use crate::configuration::Policy;
use crate::model::Millis;
use crate::safety_checks::Checks;
use crate::tuning::Tuning;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Settings {
    pub controller: String,
    /// Names of all controllers, this one included, in order.
    pub controllers: Vec<String>,
    pub zones: Vec<String>,
    /// That of this controller.
    pub zone: String,
    /// Those of all controllers, as far as they are known.
    pub controller_zones: BTreeMap<String, String>,
    /// Teams and objectives: from the settings file until others are on record.
    pub policy: Policy,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
    /// The smaller of the state service's present limits and those announced, as is `max_transaction_changes`.
    pub max_value_bytes: u64,
    pub max_transaction_changes: usize,
    /// Changes a second that this controller may make to the state service, ...
    pub write_rps: f64,
    /// ... and once the announced limits are in force.
    pub next_write_rps: f64,
    pub clock_off_ms: u64,
    pub idle_return_ms: u64,
    /// How far the cloud's list may lag; at times it is twice that.
    pub list_lag_ms: u64,
    pub learned: LearnedUse,
    /// All of them hold, except in scenarios that show what one is for.
    pub checks: Checks,
    /// What experiments vary.
    pub tuning: Tuning,
}

/// Whether run times are learned, and what estimates are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnedUse {
    /// Runs are observed and recorded.
    pub learn: bool,
    /// The order in which jobs are served: by the latest start with which they are done when due.
    pub order: bool,
    /// When jobs are due, and which goals and deadlines are out of reach.
    pub due: bool,
    /// Which tasks are stopped for others: not those about to end.
    pub stops: bool,
    /// Whether a task ends before its spot machine is taken.
    pub notice: bool,
}

impl Settings {
    /// Milliseconds after which a machine's next report is overdue.
    pub fn report_due_ms(&self) -> Millis {
        self.report_ms * 5 / 4
    }
    /// Milliseconds after which a machine with nothing to do is returned.
    pub fn idle_return_ms(&self) -> Millis {
        self.policy.idle_return_ms.unwrap_or(self.idle_return_ms)
    }
    pub fn controller_index(&self) -> u64 {
        self.controllers
            .iter()
            .position(|n| *n == self.controller)
            .unwrap_or(0) as u64
    }
}
