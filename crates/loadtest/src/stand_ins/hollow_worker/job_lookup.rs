//! Lookup of job descriptions by workers.

use crate::protocol::jobs::Submission;
use std::sync::Arc;

/// A job's description, which workers look up without a controller, and the run time of its tasks.
#[derive(Debug, Clone)]
pub struct JobDescription {
    /// Submission as its user sends it.
    pub submission: Arc<Submission>,
    /// Run time of each task.
    pub run_ms: u64,
}

/// A source of job descriptions.
pub trait JobLookup {
    /// Returns the description of the job with an id.
    fn find(&self, job: &str) -> Option<JobDescription>;
}
