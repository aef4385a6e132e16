//! Jobs as users submit and poll them.

use crate::plan::{JobPriority, JobShape};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Path to which jobs are submitted.
pub const SUBMIT_PATH: &str = "/v2/runs";
/// Path at which a controller tells whether it is ready.
pub const READY_PATH: &str = "/ready";

/// Path at which a job is polled.
pub fn poll_path(id: &str) -> String {
    format!("{SUBMIT_PATH}/{id}")
}

/// Path at which a job is cancelled.
pub fn cancel_path(id: &str) -> String {
    format!("{SUBMIT_PATH}/{id}/withdraw")
}

/// A task: its job and its index in that job, written as in `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: Arc<str>,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

/// A text that is not of the form `job/index`.
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

/// A job as a user submits it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Submission {
    /// Idempotency key and name of the job.
    #[serde(rename = "nameId")]
    pub id: Arc<str>,
    /// Kind of work, by which run times are learned.
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "owner")]
    pub team: String,
    /// Whether its tasks end by themselves.
    pub shape: JobShape,
    /// Urgency against other jobs.
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
    /// Machine types that tasks may run on; any if there are none.
    #[serde(rename = "flavours")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that tasks may run in, if there is one.
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks run in one zone, as a gang.
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    /// Whether no zone may hold more than half of the tasks.
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The run time of a task that the user expects.
    #[serde(rename = "expectS")]
    pub expected_run_s: f64,
    /// Seconds between two checkpoints of a task.
    #[serde(rename = "snapshotS")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task takes to write a checkpoint.
    #[serde(rename = "flushS")]
    pub checkpoint_write_s: f64,
    /// Seconds after the submission by which the job should be done.
    #[serde(rename = "dueS")]
    pub deadline_s: Option<f64>,
}

/// The status of a job that a user is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// Accepted; no task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks have completed.
    Done,
    /// Cancelled.
    Aborted,
}

impl JobStatus {
    /// Whether the job's status can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Aborted)
    }
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, Deserialize)]
pub struct JobStatusAnswer {
    /// The job's status.
    #[serde(rename = "standing")]
    pub status: JobStatus,
}
