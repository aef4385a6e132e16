//! The forms in which this program speaks with users, workers, the cloud, the state service, peers
//! and operators, byte for byte.
//!
//! The samples under `tests/samples/` are lines of columns parted by tabs: what is read, and last what
//! comes of it. Other programs rely on these forms, so the samples are never made anew.

mod cloud_forms;
mod command_line;
mod command_line_surface;
mod peer_frames;
mod public_protocol;
mod settings_forms;
mod state_forms;
mod worker_commands;

use glenmount_core::model::{ExitCause, TaskPhase, WorkerHeartbeat};
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;

/// Time after which a test has failed.
const PATIENCE: Duration = Duration::from_secs(30);

async fn in_time<T>(outcome: impl Future<Output = T>) -> T {
    let outcome = tokio::time::timeout(PATIENCE, outcome).await;
    outcome.expect("an outcome in time")
}

/// Compares what comes of each line's first columns with its last one.
async fn check_lines<F, O>(file: &str, sample: &'static str, outcome: F)
where
    F: Fn(Vec<&'static str>) -> O,
    O: Future<Output = String> + Send + 'static,
{
    let lines = sample.lines().map(|line| {
        let mut columns: Vec<&str> = line.split('\t').collect();
        let expected = columns.pop().expect("columns");
        (line, expected, tokio::spawn(outcome(columns)))
    });
    let mut differences = Vec::new();
    for (line, expected, outcome) in lines.collect::<Vec<_>>() {
        let outcome = in_time(outcome).await.expect("an outcome");
        if outcome != expected {
            differences.push(format!("{line}\nbecame\n{outcome}\n"));
        }
    }
    assert!(
        differences.is_empty(),
        "{file}:\n{}",
        differences.join("\n")
    );
}

/// Answers one request; what was asked, without the address and with `|` between its lines.
async fn answer_once(listener: &TcpListener, status: &str, body: &str) -> String {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = BufReader::new(stream);
    let mut asked = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a line");
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some(bytes) = line.strip_prefix("content-length: ") {
            length = bytes.parse().expect("a length");
        }
        if !line.starts_with("host: ") {
            asked.push(line.to_string());
        }
    }
    let mut request_body = vec![0; length];
    stream.read_exact(&mut request_body).await.expect("a body");
    asked.push(String::from_utf8(request_body).expect("text"));
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let answer = head + body;
    stream.write_all(answer.as_bytes()).await.expect("sent");
    asked.join("|")
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

fn cause_name(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "stopped",
        ExitCause::Error => "error",
        ExitCause::NoResources => "no room",
        ExitCause::Busy => "in use",
        ExitCause::Unknown => "unknown task",
        ExitCause::Other => "other",
    }
}

/// What was read of a worker's heartbeat.
fn show_report(report: &WorkerHeartbeat) -> String {
    let tasks = report.tasks.iter().map(|t| {
        let phase = match t.phase {
            TaskPhase::Fetching => "fetching".to_string(),
            TaskPhase::Running => "running".to_string(),
            TaskPhase::Checkpointing => "saving".to_string(),
            TaskPhase::Exited(cause) => format!("exited: {}", cause_name(cause)),
        };
        format!("[task {}, attempt {}, {phase}]", t.task, t.attempt)
    });
    format!(
        "machine {:?} at {:?}, type {:?}, zone {:?}, spot {}, incarnation {}, sequence {}, fencing token {}, \
         notice {:?}, tasks {}",
        report.machine,
        report.address,
        report.type_name,
        report.zone,
        report.spot,
        report.incarnation,
        report.sequence,
        report.token,
        report.notice_s,
        tasks.collect::<String>(),
    )
}
