//! Invariants of the protocol and their violations.

use serde::Serialize;
use std::fmt;

/// An invariant of the protocol that workers and users can observe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Invariant {
    /// No task runs on two workers at once.
    #[serde(rename = "ran_twice")]
    DuplicateExecution,
    /// No team uses more processors than its limit.
    #[serde(rename = "quota")]
    QuotaExceeded,
    /// Tasks run only at placements that their job allows.
    #[serde(rename = "wrong_place")]
    PlacementConstraint,
    /// No task of a cancelled job runs after the time limit for cancellations.
    #[serde(rename = "ran_cancelled")]
    RunAfterCancellation,
    /// Controllers never lose an accepted job.
    #[serde(rename = "forgotten")]
    JobLost,
    /// No worker begins an attempt of a task again after it has forgotten it.
    #[serde(rename = "started_again")]
    AttemptRestarted,
    /// Only submitted jobs have running tasks or a status.
    #[serde(rename = "invented")]
    UnknownJob,
    /// A job is done only when all its tasks have completed.
    #[serde(rename = "not_done")]
    IncompleteJobDone,
    /// A final status doesn't change, and only jobs that their user has cancelled are aborted.
    #[serde(rename = "went_back")]
    FinalStatusChanged,
}

/// Prints the name that the output of a run uses.
impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::DuplicateExecution => "RanTwice",
            Invariant::QuotaExceeded => "Quota",
            Invariant::PlacementConstraint => "WrongPlace",
            Invariant::RunAfterCancellation => "RanCancelled",
            Invariant::JobLost => "Forgotten",
            Invariant::AttemptRestarted => "StartedAgain",
            Invariant::UnknownJob => "Invented",
            Invariant::IncompleteJobDone => "NotDone",
            Invariant::FinalStatusChanged => "WentBack",
        })
    }
}

/// A violation of an invariant.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// Violated invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// Affected job, task or team, and the observation.
    #[serde(rename = "what")]
    pub detail: String,
    /// Time of the observation, in milliseconds of the run.
    pub at_ms: u64,
}
