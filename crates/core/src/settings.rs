//! The settings of a controller, which it reads at its start from the platform's file and the operators' file.

use crate::configuration::Policy;
use crate::model::Millis;
use crate::safety_checks::Checks;
use crate::tuning::Tuning;
use std::collections::BTreeMap;

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this controller.
    pub controller: String,
    /// Names of all controllers including this one, in order.
    pub controllers: Vec<String>,
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Zone of this controller.
    pub zone: String,
    /// Zone of each controller, where it is known.
    pub controller_zones: BTreeMap<String, String>,
    /// Teams and objectives, from the settings file until a configuration is on record.
    pub policy: Policy,
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Time after which a worker's lease expires unless a controller renews it.
    pub lease_ms: u64,
    /// Time after the confirmation of a cancellation within which all tasks of the job must have ended.
    pub cancellation_timeout_ms: u64,
    /// Limit of the size of a value. Like `max_transaction_changes`, the smaller of the state store's
    /// current limit and its announced one.
    pub max_value_bytes: u64,
    /// Limit of changes per transaction.
    pub max_transaction_changes: usize,
    /// Changes per second that this controller may currently make to the state store.
    pub write_rps: f64,
    /// Changes per second once the announced limits apply.
    pub announced_write_rps: f64,
    /// Largest difference between the times of day of two controllers.
    pub clock_skew_ms: u64,
    /// Time after which an idle machine is deleted, unless the policy sets another one.
    pub idle_timeout_ms: u64,
    /// Usual lag of the cloud's instance list; the lag may be twice as long.
    pub instance_list_lag_ms: u64,
    /// Whether run times are estimated, and the uses of the estimates.
    pub runtime_estimates: RuntimeEstimateUse,
    /// Safety checks, all enabled except in scenarios that show the effect of one.
    pub checks: Checks,
    /// Constants that experiments vary.
    pub tuning: Tuning,
}

/// Whether run times are estimated from past runs, and the uses of the estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuntimeEstimateUse {
    /// Runs are observed and recorded.
    pub enabled: bool,
    /// Jobs are served in the order of the latest start with which they finish by their due time.
    pub queue_order: bool,
    /// Estimates decide when jobs are due, and which goals and deadlines are out of reach.
    pub due_times: bool,
    /// Tasks that are about to end are not preempted.
    pub preemption: bool,
    /// A task that is likely to end before its spot machine is reclaimed keeps running.
    pub termination_notice: bool,
}

impl Settings {
    /// Returns the time after which the next heartbeat of a worker is overdue.
    pub fn heartbeat_due_ms(&self) -> Millis {
        self.heartbeat_interval_ms * 5 / 4
    }
    /// Returns the time after which an idle machine is deleted.
    pub fn idle_timeout_ms(&self) -> Millis {
        self.policy.idle_timeout_ms.unwrap_or(self.idle_timeout_ms)
    }
    /// Returns the position of this controller among all, from 0.
    pub fn controller_index(&self) -> u64 {
        self.controllers
            .iter()
            .position(|n| *n == self.controller)
            .unwrap_or(0) as u64
    }
}
