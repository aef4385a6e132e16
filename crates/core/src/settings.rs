//! A controller's settings: the platform's and the operators' own, read at its start.

use crate::configuration::Policy;
use crate::model::Millis;
use crate::safety_checks::Checks;
use crate::tuning::Tuning;
use std::collections::BTreeMap;

/// A controller's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub controller: String,
    /// Names of all controllers, this one included, in order.
    pub controllers: Vec<String>,
    /// Names of all zones.
    pub zones: Vec<String>,
    /// The zone of this controller.
    pub zone: String,
    /// Zones by controller, as far as they are known.
    pub controller_zones: BTreeMap<String, String>,
    /// Teams and objectives: from the settings file until others are on record.
    pub policy: Policy,
    /// Milliseconds between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Milliseconds after which a worker's lease expires, unless a controller renews it.
    pub lease_ms: u64,
    /// Milliseconds after which nothing of a job may be left that a user was told is cancelled.
    pub cancellation_timeout_ms: u64,
    /// Bytes of a value at most: the smaller of the state service's present limit and the announced
    /// one, as is `max_transaction_changes`.
    pub max_value_bytes: u64,
    /// Changes of a transaction at most.
    pub max_transaction_changes: usize,
    /// Changes a second that this controller may make to the state service now, ...
    pub write_rps: f64,
    /// ... and once the announced limits apply.
    pub announced_write_rps: f64,
    /// Milliseconds by which the times of day of two controllers may differ.
    pub clock_skew_ms: u64,
    /// Milliseconds after which an idle machine is deprovisioned, unless the policy says otherwise.
    pub idle_timeout_ms: u64,
    /// Milliseconds by which the cloud's list of instances may lag; at times it is twice that.
    pub instance_list_lag_ms: u64,
    /// What run times are learned and used for.
    pub runtime_estimates: RuntimeEstimateUse,
    /// Safety checks: all of them are on, except in scenarios that show what one is for.
    pub checks: Checks,
    /// What experiments vary.
    pub tuning: Tuning,
}

/// Whether run times are learned, and what estimates are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuntimeEstimateUse {
    /// Runs are observed and recorded.
    pub enabled: bool,
    /// The order in which jobs are served: by the latest start with which they are done when due.
    pub queue_order: bool,
    /// When jobs are due, and which goals and deadlines are out of reach.
    pub due_times: bool,
    /// Which tasks are stopped for others: not those about to end.
    pub preemption: bool,
    /// Whether a task ends before its spot machine is taken.
    pub termination_notice: bool,
}

impl Settings {
    /// Milliseconds after which a worker's next heartbeat is overdue.
    pub fn heartbeat_due_ms(&self) -> Millis {
        self.heartbeat_interval_ms * 5 / 4
    }
    /// Milliseconds after which an idle machine is deprovisioned.
    pub fn idle_timeout_ms(&self) -> Millis {
        self.policy.idle_timeout_ms.unwrap_or(self.idle_timeout_ms)
    }
    /// This controller's position among all, from 0.
    pub fn controller_index(&self) -> u64 {
        self.controllers
            .iter()
            .position(|n| *n == self.controller)
            .unwrap_or(0) as u64
    }
}
