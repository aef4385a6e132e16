//! Sizes of the messages between workers and controllers in the JSON form of the protocol, without spaces.
//! They are computed here independently of the core's bounds, so that a wrong bound is found.

use glenmount_core::constants::messages::REQUEST_BODY_MAX_BYTES;
use glenmount_core::model::{ExitCause, TaskId, TaskPhase, WorkerCommand, WorkerHeartbeat};

/// Returns whether the receiver of a request of this size, or of a response line, rejects it.
pub(crate) fn is_oversized(bytes: usize) -> bool {
    bytes as u64 > REQUEST_BODY_MAX_BYTES
}

/// Returns the size in bytes of a worker's heartbeat.
pub(crate) fn heartbeat_bytes(heartbeat: &WorkerHeartbeat) -> usize {
    let WorkerHeartbeat {
        machine,
        address,
        type_name,
        zone,
        spot,
        incarnation,
        sequence,
        token,
        notice_s,
        tasks,
    } = heartbeat;
    let notice = notice_s.map_or("null".to_string(), |seconds| seconds.to_string());
    let header = format!(
        "{{\"host\":\"{machine}\",\"address\":\"{address}\",\"flavour\":\"{type_name}\",\"yard\":\"{zone}\",\
         \"reclaimable\":{spot},\"tenure\":{incarnation},\"tally\":{sequence},\"fence\":{token},\
         \"warningS\":{notice},\"drops\":[]}}"
    );
    let entries = tasks.iter().map(|status| {
        r#"{"drop":"","try":,"standing":""},"#.len()
            + task_id_bytes(&status.task)
            + digits(status.attempt)
            + phase_bytes(status.phase)
    });
    header.len() + entries.sum::<usize>()
}

/// Returns the size in bytes of a direct command or of the reply to a heartbeat.
pub(crate) fn commands_bytes(commands: &[WorkerCommand]) -> usize {
    let envelope = format!("{{\"fence\":{0},\"tenure\":{0},\"orders\":[]}}", u64::MAX);
    envelope.len() + commands.iter().map(command_bytes).sum::<usize>()
}

fn command_bytes(command: &WorkerCommand) -> usize {
    let (fixed_bytes, task, attempt) = match command {
        WorkerCommand::Start { task, attempt } => {
            let form = r#"{"verb":"start","drop":"","try":},"#;
            (form.len(), task, attempt)
        }
        WorkerCommand::Forget { task, attempt } => {
            let form = r#"{"verb":"forget","drop":"","try":},"#;
            (form.len(), task, attempt)
        }
        WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        } => {
            let form = format!(r#"{{"verb":"halt","drop":"","try":,"leewayS":{grace_s:?}}},"#);
            (form.len(), task, attempt)
        }
    };
    fixed_bytes + task_id_bytes(task) + digits(*attempt)
}

fn task_id_bytes(task: &TaskId) -> usize {
    task.job.len() + "/".len() + digits(u64::from(task.index))
}

/// Returns the bytes of a task's state, and of the further fields of an exited task.
fn phase_bytes(phase: TaskPhase) -> usize {
    let cause = match phase {
        TaskPhase::Fetching => return "fetching".len(),
        TaskPhase::Running => return "running".len(),
        TaskPhase::Checkpointing => return "flushing".len(),
        TaskPhase::Exited(ExitCause::Done) => r#","cause":"done""#,
        TaskPhase::Exited(ExitCause::Stopped) => r#","cause":"stopped","stored":true"#,
        TaskPhase::Exited(ExitCause::Error) => r#","cause":"error""#,
        TaskPhase::Exited(ExitCause::NoResources) => r#","cause":"no_room""#,
        TaskPhase::Exited(ExitCause::Busy) => r#","cause":"in_use""#,
        TaskPhase::Exited(ExitCause::Unknown) => r#","cause":"no_such""#,
        TaskPhase::Exited(ExitCause::Other) => "",
    };
    "exited".len() + cause.len()
}

/// Returns the number of decimal digits.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}
