//! Messages between workers and the controller.

use super::{text, Told};
use glenmount_core::constants::{HEARTBEAT_MAX_TASKS, MAX_INCARNATION, MAX_SEQUENCE};
use glenmount_core::controller::WorkerReply;
use glenmount_core::model::{
    ExitCause, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat,
};
use serde::{Deserialize, Serialize, Serializer};
use std::borrow::Cow;

#[derive(Deserialize)]
struct CheckIn<'a> {
    #[serde(rename = "host")]
    instance: String,
    address: String,
    flavour: String,
    yard: String,
    reclaimable: bool,
    tenure: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(default)]
    fence: u64,
    #[serde(rename = "warningS", default)]
    warning_s: Option<f64>,
    #[serde(default, borrow)]
    drops: Vec<Drop<'a>>,
}

#[derive(Deserialize)]
struct Drop<'a> {
    #[serde(borrow)]
    drop: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(borrow)]
    standing: Cow<'a, str>,
    #[serde(default)]
    cause: Option<String>,
}

pub fn report(body: &[u8]) -> Result<WorkerHeartbeat, String> {
    let c: CheckIn = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if c.instance.is_empty() || c.instance.len() > 100 || c.address.len() > 100 {
        return Err("host or address is empty or too long".into());
    }
    // One that counted wrongly would make all that come after it look old.
    if c.tenure == 0 || c.tenure > MAX_INCARNATION {
        return Err(format!("tenure: {} is absurd", c.tenure));
    }
    if c.sequence > MAX_SEQUENCE {
        return Err(format!("tally: {} is absurd", c.sequence));
    }
    // They stand in the machine's record.
    if c.flavour.len() > 200 || c.yard.len() > 200 {
        return Err("flavour or yard is too long".into());
    }
    if c.drops.len() > HEARTBEAT_MAX_TASKS {
        return Err("too many drops".into());
    }
    let mut tasks = Vec::with_capacity(c.drops.len());
    for d in c.drops {
        tasks.push(TaskStatus {
            task: TaskId::parse(&d.drop).ok_or("a drop is malformed")?,
            attempt: d.attempt,
            phase: match d.standing.as_ref() {
                "fetching" => TaskPhase::Fetching,
                "flushing" => TaskPhase::Checkpointing,
                "exited" => TaskPhase::Exited(match d.cause.as_deref() {
                    Some("done") => ExitCause::Done,
                    Some("stopped") => ExitCause::Stopped,
                    Some("error") => ExitCause::Error,
                    Some("no_room") => ExitCause::NoResources,
                    Some("in_use") => ExitCause::Busy,
                    Some("no_such") => ExitCause::Unknown,
                    _ => ExitCause::Other,
                }),
                _ => TaskPhase::Running,
            },
        });
    }
    Ok(WorkerHeartbeat {
        machine: c.instance,
        address: c.address,
        type_name: c.flavour,
        zone: c.yard,
        spot: c.reclaimable,
        incarnation: c.tenure,
        sequence: c.sequence,
        token: c.fence,
        notice_s: c.warning_s,
        tasks,
    })
}

fn shown<S: Serializer>(task: &TaskId, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(task)
}

#[derive(Serialize)]
struct Verb<'a> {
    verb: &'static str,
    #[serde(serialize_with = "shown")]
    drop: &'a TaskId,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    leeway_s: Option<f64>,
}

fn order(o: &WorkerCommand) -> Verb<'_> {
    let (verb, drop, attempt, leeway_s) = match o {
        WorkerCommand::Start { task, attempt } => ("start", task, *attempt, None),
        WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        } => ("halt", task, *attempt, Some(*grace_s)),
        WorkerCommand::Forget { task, attempt } => ("forget", task, *attempt, None),
    };
    Verb {
        verb,
        drop,
        attempt,
        leeway_s,
    }
}

/// What a worker is told to do: in a command with its incarnation, in an answer without.
#[derive(Serialize)]
struct Orders<'a> {
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    tenure: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<Verb<'a>>,
}

fn command_body(token: u64, incarnation: Option<u64>, commands: &[WorkerCommand]) -> String {
    text(&Orders {
        fence: token,
        tenure: incarnation,
        commands: commands.iter().map(order).collect(),
    })
}

pub fn command(incarnation: u64, token: u64, commands: &[WorkerCommand]) -> String {
    command_body(token, Some(incarnation), commands)
}

#[derive(Serialize)]
struct Elsewhere<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    steward: Option<&'a str>,
}

pub fn worker_reply(reply: &WorkerReply) -> (u16, String) {
    match reply {
        WorkerReply::Commands {
            token,
            commands: told,
        } => (200, command_body(*token, None, told)),
        WorkerReply::Redirect { controller } => {
            let steward = controller.as_deref();
            (421, text(&Elsewhere { steward }))
        }
        WorkerReply::Unavailable => (503, text(&Told::Error { error: "not now" })),
    }
}
