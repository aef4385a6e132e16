//! Compares direct commands to workers and the interpretation of their responses with samples.

use super::{check_lines, format_heartbeat, in_time, listener, respond_once};
use crate::wire;
use crate::worker_client::{Command, CommandKind, WorkerClient};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::{TaskId, WorkerCommand};
use tokio::sync::mpsc;

fn worker_commands(names: &str) -> Vec<WorkerCommand> {
    let task = TaskId {
        job: "j-000412".into(),
        index: 99_999,
    };
    let command = |name: &str| match name {
        "start" => WorkerCommand::Start {
            task: task.clone(),
            attempt: 2,
        },
        "stop" => WorkerCommand::Stop {
            task: task.clone(),
            attempt: 3,
            grace_s: 4.5,
        },
        "forget" => WorkerCommand::Forget {
            task: task.clone(),
            attempt: 4,
        },
        other => panic!("no such command: {other}"),
    };
    names.split_whitespace().map(command).collect()
}

/// Sends commands to a worker with this response. Returns the request and the outcome.
async fn send_commands(names: &str, status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let address = listener.local_addr().expect("an address").to_string();
    let (core, mut events) = mpsc::channel(1);
    let commands = worker_commands(names);
    WorkerClient::new(core).send(Command {
        machine: "n-1".into(),
        address,
        body: wire::write_command(7, 41, &commands),
        kind: CommandKind::of(&commands),
    });
    let request = in_time(respond_once(&listener, status, body)).await;
    let Some(Event::CommandResult {
        machine,
        outcome,
        heartbeat,
    }) = in_time(events.recv()).await
    else {
        panic!("not the outcome of a command")
    };
    let outcome = match outcome {
        CommandOutcome::Accepted => "taken",
        CommandOutcome::Refused => "refused",
        CommandOutcome::NoAnswer => "silent",
        CommandOutcome::NotSent => "not sent",
    };
    let heartbeat = heartbeat.map_or("no report".to_string(), |h| format_heartbeat(&h));
    (request, format!("{machine}: {outcome}, {heartbeat}"))
}

#[tokio::test]
async fn commands_to_workers_have_the_published_form() {
    let sample = include_str!("../../tests/samples/commands.tsv");
    check_lines("commands.tsv", sample, |columns| async move {
        send_commands(columns[0], "200", "{}").await.0
    })
    .await;
}

#[tokio::test]
async fn responses_to_commands_are_interpreted_by_status_and_kind() {
    let sample = include_str!("../../tests/samples/answers_to_commands.tsv");
    check_lines("answers_to_commands.tsv", sample, |columns| async move {
        send_commands(columns[0], columns[1], columns[2]).await.1
    })
    .await;
}
