//! Run times, learned from past runs. Pure: runs go in, distributions come out; nothing here reads
//! a clock or a file. All times are seconds, or their natural logarithms where a name says `ln`.
//!
//! A [`history::History`] holds a class's latest jobs, [`estimator::RunTimeEstimator`] all classes with what stands
//! in for them while they are new, [`mixture::Mixture`] is what an estimate is. The design note is
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

/// How a task's run ended, as far as it tells how long the task takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It completed.
    #[serde(rename = "Done")]
    Completed,
    /// It was stopped, lost, or its beginning was not heard: it takes at least that long.
    #[serde(rename = "AtLeast")]
    LowerBound,
}

/// One run of one task, without the fetch of its image.
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
    /// The owner's estimate in seconds; 0 if there is none.
    #[serde(rename = "expect_s")]
    pub owner_estimate_s: f64,
    /// How long it ran, in seconds.
    #[serde(rename = "secs")]
    pub run_time_s: f64,
    /// Whether it completed.
    #[serde(rename = "end")]
    pub outcome: RunOutcome,
}

impl Run {
    /// The logarithm of its run time.
    pub fn ln_run_time(&self) -> f64 {
        ln_run_time(self.run_time_s)
    }
}

/// The logarithm of a time, kept within what run times can be.
pub fn ln_run_time(run_time_s: f64) -> f64 {
    let run_time_s = if run_time_s.is_finite() {
        run_time_s
    } else {
        0.0
    };
    run_time_s.clamp(MIN_RUN_S, MAX_RUN_S).ln()
}

/// The logarithm of the owner's estimate, none if there is no estimate.
pub fn ln_owner_estimate(owner_estimate_s: f64) -> Option<f64> {
    (owner_estimate_s.is_finite() && owner_estimate_s > 0.0).then(|| ln_run_time(owner_estimate_s))
}

/// A hash that is the same on every controller and version: names records, images and jobs.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        // The length goes first, so that no two lists of parts run together.
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    twox_hash::XxHash3_64::oneshot(&bytes)
}
