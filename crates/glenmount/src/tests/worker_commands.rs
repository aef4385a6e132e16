//! Direct commands to workers and their answers.

use super::{answer_once, check_lines, in_time, listener, show_report};
use crate::wire;
use crate::worker_client::{Command, CommandKind, WorkerClient};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::{TaskId, WorkerCommand};
use tokio::sync::mpsc;

fn command_body(names: &str) -> Vec<WorkerCommand> {
    let task = TaskId {
        job: "j-000412".into(),
        index: 99_999,
    };
    let order = |name: &str| match name {
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
        other => panic!("no such order: {other}"),
    };
    names.split_whitespace().map(order).collect()
}

/// Sends orders to a worker that answers so: its request, and what comes of the command.
async fn commanded(names: &str, status: &str, body: &str) -> (String, String) {
    let listener = listener().await;
    let address = listener.local_addr().expect("an address").to_string();
    let (core, mut events) = mpsc::channel(1);
    let commands = command_body(names);
    WorkerClient::new(core).send(Command {
        machine: "n-1".into(),
        address,
        body: wire::write_command(7, 41, &commands),
        kind: CommandKind::of(&commands),
    });
    let asked = in_time(answer_once(&listener, status, body)).await;
    let Some(Event::CommandResult {
        machine,
        outcome: reach,
        heartbeat: report,
    }) = in_time(events.recv()).await
    else {
        panic!("not what becomes of a command")
    };
    let reach = match reach {
        CommandOutcome::Accepted => "taken",
        CommandOutcome::Refused => "refused",
        CommandOutcome::NoAnswer => "silent",
        CommandOutcome::NotSent => "not sent",
    };
    let report = report.map_or("no report".to_string(), |report| show_report(&report));
    (asked, format!("{machine}: {reach}, {report}"))
}

#[tokio::test]
async fn commands_are_sent_to_workers_as_published() {
    let sample = include_str!("../../tests/samples/commands.tsv");
    check_lines("commands.tsv", sample, |columns| async move {
        commanded(columns[0], "200", "{}").await.0
    })
    .await;
}

#[tokio::test]
async fn answers_to_commands_are_read_by_status_and_kind_of_command() {
    let sample = include_str!("../../tests/samples/answers_to_commands.tsv");
    check_lines("answers_to_commands.tsv", sample, |columns| async move {
        commanded(columns[0], columns[1], columns[2]).await.1
    })
    .await;
}
