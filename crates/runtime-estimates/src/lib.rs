//! Estimates the run times of tasks from past runs, without access to a clock or a file. All times are in seconds, or
//! natural logarithms of seconds where a name says `ln`.
//!
//! A [`history::History`] holds the latest jobs of a class, an [`estimator::RunTimeEstimator`] the histories of all
//! classes and the priors of new ones. An estimate is a [`mixture::Mixture`]. The design is described in
//! `docs/run-times.md`.

#![warn(missing_docs)]

mod bias;
pub mod constants;
pub mod estimator;
pub mod history;
pub mod machine_speeds;
pub mod mixture;

use constants::{MAX_RUN_S, MIN_RUN_S};
use serde::{Deserialize, Serialize};

/// The outcome of a run with respect to the task's run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task completed: the run time is exact.
    #[serde(rename = "Done")]
    Completed,
    /// The run was stopped or lost, or its start was not observed: the elapsed time is a lower bound of the run time.
    #[serde(rename = "AtLeast")]
    LowerBound,
}

/// One run of one task. The fetch of its image does not count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The team that owns the job.
    pub team: String,
    /// The job's class.
    pub class: String,
    /// The job's image.
    pub image: String,
    /// The job's id.
    pub job: String,
    /// The owner's estimate in seconds, or 0 if there is none.
    #[serde(rename = "expect_s")]
    pub owner_estimate_s: f64,
    /// Elapsed time in seconds.
    #[serde(rename = "secs")]
    pub run_time_s: f64,
    /// Whether the run time is exact.
    #[serde(rename = "end")]
    pub outcome: RunOutcome,
}

impl Run {
    /// Returns the logarithm of the run time.
    pub fn ln_run_time(&self) -> f64 {
        ln_run_time(self.run_time_s)
    }
}

/// Returns the logarithm of a run time, which is limited to the range from `MIN_RUN_S` to `MAX_RUN_S`.
pub fn ln_run_time(run_time_s: f64) -> f64 {
    let run_time_s = if run_time_s.is_finite() {
        run_time_s
    } else {
        0.0
    };
    run_time_s.clamp(MIN_RUN_S, MAX_RUN_S).ln()
}

/// Returns the logarithm of the owner's estimate, or `None` if there is no estimate.
pub fn ln_owner_estimate(owner_estimate_s: f64) -> Option<f64> {
    (owner_estimate_s.is_finite() && owner_estimate_s > 0.0).then(|| ln_run_time(owner_estimate_s))
}

/// Returns a hash that is the same on every controller and in every version. It identifies records, images and jobs.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        // The length prefix keeps different lists of parts apart.
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    twox_hash::XxHash3_64::oneshot(&bytes)
}
