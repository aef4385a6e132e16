//! Interface for users: submission, poll and cancellation of jobs.

use crate::plan::{JobPriority, JobShape};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Path to which jobs are submitted.
pub const SUBMIT_PATH: &str = "/v2/runs";
/// Path at which a controller reports its readiness.
pub const READY_PATH: &str = "/ready";

/// Returns the path at which a job is polled.
pub fn poll_path(id: &str) -> String {
    format!("{SUBMIT_PATH}/{id}")
}

/// Returns the path at which a job is cancelled.
pub fn cancel_path(id: &str) -> String {
    format!("{SUBMIT_PATH}/{id}/withdraw")
}

/// The id of a task: its job and its index in the job, as in `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: Arc<str>,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

/// An error for a text that isn't of the form `job/index`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text} is no task")]
pub struct InvalidTaskId {
    text: String,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<TaskId, InvalidTaskId> {
        let invalid = || InvalidTaskId {
            text: text.to_string(),
        };
        let (job, index) = text.split_once('/').ok_or_else(invalid)?;
        Ok(TaskId {
            job: job.into(),
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TaskId, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The submission of a job by a user.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Submission {
    /// Id of the job, which is also the idempotency key of the submission.
    #[serde(rename = "nameId")]
    pub id: Arc<str>,
    /// Class of the job, by which controllers learn run times.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "owner")]
    pub team: String,
    /// Whether the tasks end by themselves.
    pub shape: JobShape,
    /// Priority relative to other jobs.
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    /// Number of tasks.
    #[serde(rename = "drops")]
    pub task_count: u32,
    /// Processors of each task.
    pub vcpus: f64,
    /// Accelerators of each task.
    pub accelerators: f64,
    /// Memory of each task.
    pub ram_gb: f64,
    /// Image that a worker pulls before it runs a task.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Machine types on which tasks may run; `None` for any.
    #[serde(rename = "flavours")]
    pub machine_types: Option<Vec<String>>,
    /// Only zone in which tasks may run; `None` for any.
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone, as a gang.
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    /// Whether no zone may run more than half of the tasks.
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Run time of a task as expected by the user.
    #[serde(rename = "expectS")]
    pub expected_run_s: f64,
    /// Interval between two checkpoints of a task.
    #[serde(rename = "snapshotS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task takes to write a checkpoint.
    #[serde(rename = "flushS")]
    pub checkpoint_write_s: f64,
    /// Seconds between the submission and the deadline of the job.
    #[serde(rename = "dueS")]
    pub deadline_s: Option<f64>,
}

/// The status of a job in answers to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// The job is accepted and no task runs.
    Pending,
    /// At least one task runs.
    Running,
    /// All tasks have completed.
    Done,
    /// The job is cancelled.
    Aborted,
}

impl JobStatus {
    /// Returns whether the status can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Aborted)
    }
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, Deserialize)]
pub struct JobStatusAnswer {
    /// Status of the job.
    #[serde(rename = "standing")]
    pub status: JobStatus,
}
