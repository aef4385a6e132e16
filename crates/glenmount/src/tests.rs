//! Compares the interfaces to users, workers, the cloud, the state store, peers and operators with samples,
//! byte for byte.
//!
//! The samples under `tests/samples/` are lines of tab-separated columns: the inputs and, in the last column, the
//! expected outcome. Other programs rely on these interfaces, so the samples are never regenerated.

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

/// Time after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn in_time<T>(outcome: impl Future<Output = T>) -> T {
    let outcome = tokio::time::timeout(TEST_TIMEOUT, outcome).await;
    outcome.expect("an outcome in time")
}

/// Compares the outcome for each line's first columns with its last column.
async fn check_lines<F, O>(file: &str, sample: &'static str, outcome: F)
where
    F: Fn(Vec<&'static str>) -> O,
    O: Future<Output = String> + Send + 'static,
{
    let outcomes = sample.lines().map(|line| {
        let mut columns: Vec<&str> = line.split('\t').collect();
        let expected = columns.pop().expect("columns");
        (line, expected, tokio::spawn(outcome(columns)))
    });
    let mut differences = Vec::new();
    for (line, expected, outcome) in outcomes.collect::<Vec<_>>() {
        let outcome = in_time(outcome).await.expect("an outcome");
        if outcome != expected {
            differences.push(format!("{line}\nresulted in\n{outcome}\n"));
        }
    }
    assert!(
        differences.is_empty(),
        "{file}:\n{}",
        differences.join("\n")
    );
}

/// Responds to one request. Returns the request without the `host` header and with `|` between its lines.
async fn respond_once(listener: &TcpListener, status: &str, body: &str) -> String {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut stream = BufReader::new(stream);
    let mut request_lines = Vec::new();
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
            request_lines.push(line.to_string());
        }
    }
    let mut request_body = vec![0; length];
    stream.read_exact(&mut request_body).await.expect("a body");
    request_lines.push(String::from_utf8(request_body).expect("text"));
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let response = head + body;
    stream.write_all(response.as_bytes()).await.expect("sent");
    request_lines.join("|")
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

/// Formats a worker's heartbeat as in the samples.
fn format_heartbeat(heartbeat: &WorkerHeartbeat) -> String {
    let tasks = heartbeat.tasks.iter().map(|status| {
        let phase = match status.phase {
            TaskPhase::Fetching => "fetching".to_string(),
            TaskPhase::Running => "running".to_string(),
            TaskPhase::Checkpointing => "saving".to_string(),
            TaskPhase::Exited(cause) => format!("exited: {}", cause_name(cause)),
        };
        format!(
            "[task {}, attempt {}, {phase}]",
            status.task, status.attempt
        )
    });
    format!(
        "machine {:?} at {:?}, type {:?}, zone {:?}, spot {}, incarnation {}, sequence {}, fencing token {}, \
         notice {:?}, tasks {}",
        heartbeat.machine,
        heartbeat.address,
        heartbeat.type_name,
        heartbeat.zone,
        heartbeat.spot,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.token,
        heartbeat.notice_s,
        tasks.collect::<String>(),
    )
}
