//! Interface for workers: heartbeats, and the commands of controllers.

use super::jobs::TaskId;
use serde::{Deserialize, Serialize};

/// Path at which controllers accept heartbeats.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path at which workers accept commands; at all other paths they answer with their status.
pub const COMMAND_PATH: &str = "/do";

/// The action of a command for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandAction {
    /// Pull the image and run the task.
    Start,
    /// Stop the task.
    #[serde(rename = "halt")]
    Stop,
    /// Forget the exited task, whose result is recorded.
    Forget,
    /// An unknown action, which the worker ignores.
    #[serde(other)]
    Unknown,
}

/// A command for one attempt of a task.
#[derive(Debug, Clone, Deserialize)]
pub struct TaskCommand {
    /// Action to execute.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// The task.
    #[serde(rename = "drop")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Deserialize)]
pub struct HeartbeatAnswer {
    /// Fencing token of the controller.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// Commands to execute, in order.
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
    /// Name of the controller that should receive the worker's heartbeats.
    #[serde(rename = "steward")]
    pub redirect_to: Option<String>,
}

/// Commands that a controller sends to a worker's address.
#[derive(Debug, Clone, Deserialize)]
pub struct DirectCommand {
    /// Fencing token of the controller.
    #[serde(rename = "fence")]
    pub fencing_token: Option<u64>,
    /// Incarnation of the worker to which the commands apply.
    #[serde(rename = "tenure")]
    pub incarnation: Option<u64>,
    /// Commands to execute, in order.
    #[serde(default, rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// The state of a task on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The worker pulls the image.
    Fetching,
    /// The task runs.
    Running,
    /// The task has exited, or could not be started.
    Exited,
}

/// The cause of a task's exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ExitCause {
    /// The task completed.
    #[serde(rename = "done")]
    Completed,
    /// A command stopped the task.
    #[serde(rename = "stopped")]
    Stopped,
    /// The worker lacks the resources that the task requests.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Another attempt of the task is live on the worker.
    #[serde(rename = "in_use")]
    OtherAttemptRuns,
    /// The job has no such task.
    #[serde(rename = "no_such")]
    UnknownTask,
}

/// The status of one attempt in a heartbeat.
#[derive(Debug, Clone, Serialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "drop")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Cause of the exit; `None` before the exit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
}

/// A worker's heartbeat with the status of all its tasks.
#[derive(Debug, Clone, Serialize)]
pub struct WorkerHeartbeat {
    /// Name of the worker.
    #[serde(rename = "host")]
    pub worker: String,
    /// Address at which the worker accepts direct commands.
    pub address: String,
    /// Machine type of the worker.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Zone of the worker.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the worker is a spot instance.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Incarnation of the agent, which increases with each restart.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number, which increases with each heartbeat.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has accepted.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Seconds until the cloud evicts the machine, once it has announced the eviction.
    #[serde(rename = "warningS")]
    pub eviction_warning_s: Option<f64>,
    /// Status of all attempts that the worker has not forgotten.
    #[serde(rename = "drops")]
    pub tasks: Vec<TaskStatus>,
}
