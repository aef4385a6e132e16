//! Messages between workers and the controller: heartbeats, their answers, and direct commands.

use super::{to_json, ErrorBody, Reply, TEXT_BYTES};
use glenmount_core::constants::{HEARTBEAT_MAX_TASKS, MAX_INCARNATION, MAX_SEQUENCE};
use glenmount_core::controller::WorkerReply;
use glenmount_core::model::{
    ExitCause, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat,
};
use serde::{Deserialize, Serialize, Serializer};
use std::borrow::Cow;
use thiserror::Error;

/// Bytes of a machine's name or address at most.
const MACHINE_TEXT_BYTES: usize = 100;

/// Why a heartbeat is refused. Workers and the log see the text.
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
    #[error("too many drops")]
    TooManyTasks,
    #[error("a drop is malformed")]
    MalformedTask,
}

/// A worker's heartbeat. The struct's name is the protocol's: it stands in the texts of errors.
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
    /// Seconds until the spot machine is taken, once that is announced.
    #[serde(rename = "warningS", default)]
    termination_notice_s: Option<f64>,
    #[serde(rename = "drops", default, borrow)]
    tasks: Vec<Drop<'a>>,
}

/// One task of a heartbeat. The struct's name is the protocol's, as above.
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

/// Reads and checks a worker's heartbeat, or its answer to a command, which has the same form.
///
/// # Errors
/// The first field that is missing, malformed or out of range.
pub fn read_heartbeat(body: &[u8]) -> Result<WorkerHeartbeat, HeartbeatError> {
    let heartbeat: CheckIn = serde_json::from_slice(body)?;
    heartbeat.check()?;
    let tasks = heartbeat.tasks.into_iter().map(Drop::into_report);
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
    fn check(&self) -> Result<(), HeartbeatError> {
        if self.machine.is_empty()
            || self.machine.len() > MACHINE_TEXT_BYTES
            || self.address.len() > MACHINE_TEXT_BYTES
        {
            return Err(HeartbeatError::Address);
        }
        // A machine that counted wrongly once would make all its later heartbeats look old.
        if self.incarnation == 0 || self.incarnation > MAX_INCARNATION {
            return Err(HeartbeatError::Incarnation(self.incarnation));
        }
        if self.sequence > MAX_SEQUENCE {
            return Err(HeartbeatError::Sequence(self.sequence));
        }
        // Both are stored in the machine's record.
        if self.machine_type.len() > TEXT_BYTES || self.zone.len() > TEXT_BYTES {
            return Err(HeartbeatError::Placement);
        }
        if self.tasks.len() > HEARTBEAT_MAX_TASKS {
            return Err(HeartbeatError::TooManyTasks);
        }
        Ok(())
    }
}

impl Drop<'_> {
    fn into_report(self) -> Result<TaskStatus, HeartbeatError> {
        Ok(TaskStatus {
            task: TaskId::parse(&self.task).ok_or(HeartbeatError::MalformedTask)?,
            attempt: self.attempt,
            phase: self.phase(),
        })
    }

    /// A phase that is not known counts as running: the task certainly has not ended.
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

fn as_text<S: Serializer>(task: &TaskId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(task)
}

/// One thing that a worker is told to do.
#[derive(Serialize)]
struct Command<'a> {
    verb: &'static str,
    #[serde(rename = "drop", serialize_with = "as_text")]
    task: &'a TaskId,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    grace_period_s: Option<f64>,
}

impl Command<'_> {
    fn of(order: &WorkerCommand) -> Command<'_> {
        let (verb, task, attempt, grace_period_s) = match order {
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

/// What a worker is told to do: in a direct command with its incarnation, in the answer to a
/// heartbeat without.
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
        commands: commands.iter().map(Command::of).collect(),
    }
}

/// The body of a direct command: the incarnation of the worker that it is for, the controller's
/// fencing token and what is to be done.
pub fn write_command(incarnation: u64, fencing_token: u64, commands: &[WorkerCommand]) -> String {
    to_json(&command_message(fencing_token, Some(incarnation), commands))
}

/// Sends a worker to the controller that is in charge of it, where that one is known.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none")]
    controller: Option<&'a str>,
}

/// Writes the answer to a heartbeat.
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
