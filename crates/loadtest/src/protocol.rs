//! The messages of the published protocol that the stand-ins send and take, under its field names.

use crate::plan::{JobPriority, JobShape};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// A task: its job and its number, as in `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: Arc<str>,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = String;
    fn from_str(text: &str) -> Result<TaskId, String> {
        let bad = || format!("{text} is no task");
        let (job, index) = text.split_once('/').ok_or_else(bad)?;
        Ok(TaskId {
            job: job.into(),
            index: index.parse().map_err(|_| bad())?,
        })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<TaskId, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A job as a user submits it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Submission {
    #[serde(rename = "nameId")]
    pub id: Arc<str>,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: JobShape,
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    #[serde(rename = "drops")]
    pub task_count: u32,
    pub vcpus: f64,
    pub accelerators: f64,
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "flavours")]
    pub machine_types: Option<Vec<String>>,
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "expectS")]
    pub expected_run_s: f64,
    #[serde(rename = "snapshotS")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "flushS")]
    pub checkpoint_write_s: f64,
    #[serde(rename = "dueS")]
    pub deadline_s: Option<f64>,
}

/// What a user is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Aborted,
}

#[derive(Debug, Clone, Deserialize)]
pub struct JobStatusAnswer {
    #[serde(rename = "standing")]
    pub status: JobStatus,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAction {
    Start,
    #[serde(rename = "halt")]
    Stop,
    Forget,
    #[serde(other)]
    Unknown,
}

#[derive(Debug, Clone, Deserialize)]
pub struct TaskCommand {
    #[serde(rename = "verb")]
    pub action: CommandAction,
    #[serde(rename = "drop")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// The answer to a report.
#[derive(Debug, Clone, Deserialize)]
pub struct HeartbeatAnswer {
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
    /// The controller to report to instead.
    #[serde(rename = "steward")]
    pub redirect_to: Option<String>,
}

/// Commands that a controller sends to a worker's address.
#[derive(Debug, Clone, Deserialize)]
pub struct DirectCommand {
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    #[serde(rename = "tenure")]
    pub incarnation: Option<u64>,
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Running,
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Completed,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "no_room")]
    InsufficientResources,
    #[serde(rename = "in_use")]
    OtherAttemptRuns,
    #[serde(rename = "no_such")]
    UnknownTask,
}

#[derive(Debug, Clone, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "drop")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerHeartbeat {
    #[serde(rename = "host")]
    pub worker: String,
    pub address: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    #[serde(rename = "warningS")]
    pub eviction_warning_s: Option<f64>,
    #[serde(rename = "drops")]
    pub tasks: Vec<TaskStatus>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedInstance {
    #[serde(rename = "nameId")]
    pub name: String,
    pub address: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: InstanceState,
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    Starting,
    Running,
    Failed,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ProvisionRequest {
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Clone, Deserialize)]
pub struct DeleteRequest {
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}
