//! Heartbeats of workers, and the commands that controllers answer or send.

use super::jobs::TaskId;
use serde::{Deserialize, Serialize};

/// Path at which controllers take heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which workers take commands; at all others they tell their status.
pub const COMMAND_PATH: &str = "/do";

/// What a controller asks a worker to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAction {
    /// Pull the image and run the task.
    Start,
    /// Stop the task.
    #[serde(rename = "halt")]
    Stop,
    /// Drop the exited task: its result is on record.
    Forget,
    /// An action that this worker doesn't know; it is skipped.
    #[serde(other)]
    Unknown,
}

/// One command for one attempt of a task.
#[derive(Debug, Clone, Deserialize)]
pub struct TaskCommand {
    /// What to do.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// The task.
    #[serde(rename = "drop")]
    pub task: TaskId,
    /// The attempt of the task that is meant.
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Deserialize)]
pub struct HeartbeatAnswer {
    /// The controller's fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// Commands to execute, in order.
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
    /// Name of the controller to send heartbeats to instead.
    #[serde(rename = "steward")]
    pub redirect_to: Option<String>,
}

/// Commands that a controller sends to a worker's address.
#[derive(Debug, Clone, Deserialize)]
pub struct DirectCommand {
    /// The controller's fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// The incarnation of the worker that is meant.
    #[serde(rename = "tenure")]
    pub incarnation: Option<u64>,
    /// Commands to execute, in order.
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Where a task stands on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being pulled.
    Fetching,
    /// It runs.
    Running,
    /// It has exited, or could not be started.
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ExitCause {
    /// It completed.
    #[serde(rename = "done")]
    Completed,
    /// A command stopped it.
    #[serde(rename = "stopped")]
    Stopped,
    /// The worker had not the resources that it requests.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Another attempt of the task is on the worker.
    #[serde(rename = "in_use")]
    OtherAttemptRuns,
    /// The job has no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// One attempt of a task, as a heartbeat lists it.
#[derive(Debug, Clone, Serialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "drop")]
    pub task: TaskId,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Where it stands.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it has exited, once it has.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
}

/// A worker's heartbeat with the status of all its tasks.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerHeartbeat {
    /// Name of the worker.
    #[serde(rename = "host")]
    pub worker: String,
    /// Address at which it takes direct commands.
    pub address: String,
    /// Its machine type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Incarnation of the agent; grows when it starts anew.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Number of this heartbeat; grows with each.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has taken.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine, once it has said so.
    #[serde(rename = "warningS")]
    pub eviction_warning_s: Option<f64>,
    /// All tasks that the worker holds.
    #[serde(rename = "drops")]
    pub tasks: Vec<TaskStatus>,
}
