//! Descriptions of jobs, as workers fetch them.

use crate::protocol::jobs::Submission;
use std::sync::Arc;

/// A job's description, which workers fetch by themselves, and how long its tasks run.
#[derive(Debug, Clone)]
pub struct JobDescription {
    /// As its user submits it.
    pub submission: Arc<Submission>,
    /// How long each task runs.
    pub run_ms: u64,
}

/// Finds a job's description.
pub trait JobLookup {
    /// The description of the job with an id.
    fn find(&self, job: &str) -> Option<JobDescription>;
}
