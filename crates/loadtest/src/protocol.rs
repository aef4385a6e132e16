//! The messages of the published protocol that the stand-ins send and take, under its field names.

use crate::plan::{Rank, Shape};
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
    pub shape: Shape,
    pub rank: Rank,
    #[serde(rename = "drops")]
    pub tasks: u32,
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
    pub together: bool,
    pub scatter: bool,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub expect_s: f64,
    pub snapshot_s: f64,
    pub flush_s: f64,
    pub due_s: Option<f64>,
}

/// What a user is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    Pending,
    Running,
    Done,
    Aborted,
}

#[derive(Debug, Clone, Deserialize)]
pub struct JobAnswer {
    pub standing: Standing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    Start,
    Halt,
    Forget,
    #[serde(other)]
    Unknown,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Order {
    pub verb: Verb,
    #[serde(rename = "drop")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// The answer to a report.
#[derive(Debug, Clone, Deserialize)]
pub struct CheckinAnswer {
    pub fence: Option<u64>,
    #[serde(default)]
    pub orders: Vec<Order>,
    /// The controller to report to instead.
    pub steward: Option<String>,
}

/// Commands that a controller sends to a worker's address.
#[derive(Debug, Clone, Deserialize)]
pub struct DirectCommand {
    pub fence: Option<u64>,
    pub tenure: Option<u64>,
    #[serde(default)]
    pub orders: Vec<Order>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Running,
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    NoRoom,
    InUse,
    NoSuch,
}

#[derive(Debug, Clone, Serialize)]
pub struct TaskReport {
    #[serde(rename = "drop")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub standing: TaskState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    pub host: String,
    pub address: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub tenure: u64,
    pub tally: u64,
    pub fence: u64,
    #[serde(rename = "warningS")]
    pub warning_s: Option<f64>,
    #[serde(rename = "drops")]
    pub tasks: Vec<TaskReport>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub name: String,
    pub address: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub standing: MachineStanding,
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStanding {
    Starting,
    Running,
    Failed,
}

#[derive(Debug, Clone, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub number: u32,
}

#[derive(Debug, Clone, Deserialize)]
pub struct DeleteRequest {
    pub hosts: Vec<String>,
}
