//! Messages between workers and the controller: heartbeats, replies to them and direct commands.

use super::{to_json, ErrorBody, Reply, MAX_TEXT_BYTES};
use glenmount_core::constants::{MAX_INCARNATION, MAX_SEQUENCE};
use glenmount_core::controller::WorkerReply;
use glenmount_core::model::{
    ExitCause, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat,
};
use serde::{Deserialize, Serialize, Serializer};
use std::borrow::Cow;
use thiserror::Error;

/// Size limit of a machine's name and of its address.
const MAX_MACHINE_TEXT_BYTES: usize = 100;

/// The reason why a heartbeat is rejected. The text goes to the worker and to the log.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("host or address is empty or too long")]
    Address,
    #[error("tenure: {0} is absurd")]
    Incarnation(u64),
    #[error("tally: {0} is absurd")]
    Sequence(u64),
    #[error("flavour or yard is too long")]
    Placement,
    #[error("a drop is malformed")]
    MalformedTask,
}

/// A worker's heartbeat. The struct has the protocol's name because error texts contain it.
#[derive(Deserialize)]
struct CheckIn<'a> {
    #[serde(rename = "host")]
    machine: String,
    address: String,
    #[serde(rename = "flavour")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "reclaimable")]
    is_spot: bool,
    #[serde(rename = "tenure")]
    incarnation: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(rename = "fence", default)]
    fencing_token: u64,
    /// Time until the cloud preempts the spot machine, once the cloud has announced it.
    #[serde(rename = "warningS", default)]
    termination_notice_s: Option<f64>,
    #[serde(rename = "drops", default, borrow)]
    tasks: Vec<Drop<'a>>,
}

/// A task in a heartbeat. The struct has the protocol's name because error texts contain it.
#[derive(Deserialize)]
struct Drop<'a> {
    #[serde(rename = "drop", borrow)]
    task: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "standing", borrow)]
    phase: Cow<'a, str>,
    #[serde(rename = "cause", default)]
    exit_cause: Option<String>,
}

/// Parses and validates a worker's heartbeat or its response to a command, which has the same form.
///
/// # Errors
/// Names the first field that is missing, malformed or out of range.
pub fn read_heartbeat(body: &[u8]) -> Result<WorkerHeartbeat, HeartbeatError> {
    let heartbeat: CheckIn = serde_json::from_slice(body)?;
    heartbeat.validate()?;
    let tasks = heartbeat.tasks.into_iter().map(Drop::into_status);
    Ok(WorkerHeartbeat {
        tasks: tasks.collect::<Result<_, _>>()?,
        machine: heartbeat.machine,
        address: heartbeat.address,
        type_name: heartbeat.machine_type,
        zone: heartbeat.zone,
        spot: heartbeat.is_spot,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        token: heartbeat.fencing_token,
        notice_s: heartbeat.termination_notice_s,
    })
}

impl CheckIn<'_> {
    fn validate(&self) -> Result<(), HeartbeatError> {
        if self.machine.is_empty()
            || self.machine.len() > MAX_MACHINE_TEXT_BYTES
            || self.address.len() > MAX_MACHINE_TEXT_BYTES
        {
            return Err(HeartbeatError::Address);
        }
        // After one excessive value, all later heartbeats of the machine would look outdated.
        if self.incarnation == 0 || self.incarnation > MAX_INCARNATION {
            return Err(HeartbeatError::Incarnation(self.incarnation));
        }
        if self.sequence > MAX_SEQUENCE {
            return Err(HeartbeatError::Sequence(self.sequence));
        }
        // The machine's record contains both texts.
        if self.machine_type.len() > MAX_TEXT_BYTES || self.zone.len() > MAX_TEXT_BYTES {
            return Err(HeartbeatError::Placement);
        }
        Ok(())
    }
}

impl Drop<'_> {
    fn into_status(self) -> Result<TaskStatus, HeartbeatError> {
        Ok(TaskStatus {
            task: TaskId::parse(&self.task).ok_or(HeartbeatError::MalformedTask)?,
            attempt: self.attempt,
            phase: self.phase(),
        })
    }

    /// Returns the task's phase. An unknown phase counts as running because the task has certainly not ended.
    fn phase(&self) -> TaskPhase {
        match self.phase.as_ref() {
            "fetching" => TaskPhase::Fetching,
            "flushing" => TaskPhase::Checkpointing,
            "exited" => TaskPhase::Exited(self.exit_cause()),
            _ => TaskPhase::Running,
        }
    }

    fn exit_cause(&self) -> ExitCause {
        match self.exit_cause.as_deref() {
            Some("done") => ExitCause::Done,
            Some("stopped") => ExitCause::Stopped,
            Some("error") => ExitCause::Error,
            Some("no_room") => ExitCause::NoResources,
            Some("in_use") => ExitCause::Busy,
            Some("no_such") => ExitCause::Unknown,
            _ => ExitCause::Other,
        }
    }
}

/// Serializes the identifier of a task as text.
fn serialize_as_text<S: Serializer>(task: &TaskId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(task)
}

/// A command to a worker.
#[derive(Serialize)]
struct Command<'a> {
    verb: &'static str,
    #[serde(rename = "drop", serialize_with = "serialize_as_text")]
    task: &'a TaskId,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    grace_period_s: Option<f64>,
}

impl Command<'_> {
    fn from_worker_command(command: &WorkerCommand) -> Command<'_> {
        let (verb, task, attempt, grace_period_s) = match command {
            WorkerCommand::Start { task, attempt } => ("start", task, *attempt, None),
            WorkerCommand::Stop {
                task,
                attempt,
                grace_s,
            } => ("halt", task, *attempt, Some(*grace_s)),
            WorkerCommand::Forget { task, attempt } => ("forget", task, *attempt, None),
        };
        Command {
            verb,
            task,
            attempt,
            grace_period_s,
        }
    }
}

/// The commands to a worker. A direct command states the worker's incarnation, a reply to a heartbeat doesn't.
#[derive(Serialize)]
struct Commands<'a> {
    #[serde(rename = "fence")]
    fencing_token: u64,
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
    incarnation: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<Command<'a>>,
}

fn command_message(
    fencing_token: u64,
    incarnation: Option<u64>,
    commands: &[WorkerCommand],
) -> Commands<'_> {
    Commands {
        fencing_token,
        incarnation,
        commands: commands.iter().map(Command::from_worker_command).collect(),
    }
}

/// Serializes the body of a direct command: the incarnation of the addressed worker, the controller's fencing
/// token and the commands.
pub fn write_command(incarnation: u64, fencing_token: u64, commands: &[WorkerCommand]) -> String {
    to_json(&command_message(fencing_token, Some(incarnation), commands))
}

/// The body that redirects a worker to the controller that owns it, if that one is known.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none")]
    controller: Option<&'a str>,
}

/// Serializes the reply to a heartbeat.
pub fn write_worker_reply(reply: &WorkerReply) -> Reply {
    match reply {
        WorkerReply::Commands { token, commands } => {
            Reply::new(200, &command_message(*token, None, commands))
        }
        WorkerReply::Redirect { controller } => {
            let controller = controller.as_deref();
            Reply::new(421, &Redirect { controller })
        }
        WorkerReply::Unavailable => Reply::new(503, &ErrorBody { error: "not now" }),
    }
}
