//! The invariants of the protocol, and their violations.

use serde::Serialize;
use std::fmt;

/// What must hold at all times, as workers and users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Invariant {
    /// No task runs on two workers at once.
    #[serde(rename = "ran_twice")]
    DuplicateExecution,
    /// No team uses more than its limit.
    #[serde(rename = "quota")]
    QuotaExceeded,
    /// Tasks run only where their job allows it.
    #[serde(rename = "wrong_place")]
    PlacementConstraint,
    /// No task of a cancelled job runs after the time for its end.
    #[serde(rename = "ran_cancelled")]
    RunAfterCancellation,
    /// An accepted job stays known.
    #[serde(rename = "forgotten")]
    JobLost,
    /// Nothing runs or has a status that nobody submitted.
    #[serde(rename = "invented")]
    UnknownJob,
    /// A job is done only when all its tasks have completed.
    #[serde(rename = "not_done")]
    IncompleteJobDone,
    /// A final status stays, and jobs are aborted only when their user asked for it.
    #[serde(rename = "went_back")]
    FinalStatusChanged,
}

/// The name that runs print.
impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::DuplicateExecution => "RanTwice",
            Invariant::QuotaExceeded => "Quota",
            Invariant::PlacementConstraint => "WrongPlace",
            Invariant::RunAfterCancellation => "RanCancelled",
            Invariant::JobLost => "Forgotten",
            Invariant::UnknownJob => "Invented",
            Invariant::IncompleteJobDone => "NotDone",
            Invariant::FinalStatusChanged => "WentBack",
        })
    }
}

/// A violation of an invariant.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// The invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// The job, task or team, and what was seen of it.
    #[serde(rename = "what")]
    pub detail: String,
    /// When it was seen, in milliseconds of the run.
    pub at_ms: u64,
}
