//! Compares requests of users and workers and the responses to them with samples.

use super::{check_lines, format_heartbeat, in_time};
use crate::http_server::{routes, Api, CoreReply, PendingRequest};
use glenmount_core::constants::messages::REQUEST_BODY_MAX_BYTES;
use glenmount_core::controller::{Event, UserReply, WorkerReply};
use glenmount_core::model::{JobState, TaskId, WorkerCommand};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The simulated behavior of the core for a request.
enum CoreBehavior {
    Reply(CoreReply),
    /// The core drops the request without a reply.
    Drop,
    /// Too many requests wait for the core.
    Overloaded,
}

fn user_reply(reply: UserReply) -> CoreBehavior {
    CoreBehavior::Reply(CoreReply::User(reply))
}

fn worker_reply(reply: WorkerReply) -> CoreBehavior {
    CoreBehavior::Reply(CoreReply::Worker(reply))
}

/// Sends a request. Returns its event, if the server passed one to the core, and the response.
async fn exchange(
    (method, path, body): (&str, &str, &str),
    behavior: CoreBehavior,
    is_ready: bool,
) -> (Option<Event>, String) {
    let (request_sender, mut requests) = mpsc::channel::<PendingRequest>(1);
    if matches!(behavior, CoreBehavior::Overloaded) {
        requests.close();
    }
    let api = Api::new(request_sender, Arc::new(AtomicBool::new(is_ready)));
    let core = tokio::spawn(async move {
        let request = requests.recv().await?;
        if let CoreBehavior::Reply(reply) = behavior {
            let _ = request.reply.send(reply);
        }
        Some(request.event)
    });
    let request = warp::test::request().method(method).path(path).body(body);
    let response = in_time(request.reply(&routes(api))).await;
    let header = |name: &str| match response.headers().get(name) {
        Some(value) => value.to_str().expect("text").to_string(),
        None => "-".to_string(),
    };
    let response_text = format!(
        "{} {} {} {}",
        response.status().as_u16(),
        header("content-type"),
        header("retry-after"),
        String::from_utf8_lossy(response.body()),
    );
    let event = in_time(core).await.expect("the core's task ends");
    (event, response_text)
}

/// Replaces `@N` at the end of a body in a sample by N leading spaces.
fn padded(body: &str) -> String {
    match body.rsplit_once('@') {
        Some((body, bytes)) => " ".repeat(bytes.parse().expect("bytes")) + body,
        None => body.to_string(),
    }
}

#[tokio::test]
async fn submissions_are_read_with_all_fields() {
    let sample = include_str!("../../tests/samples/submissions.tsv");
    check_lines("submissions.tsv", sample, |columns| async move {
        let request = ("POST", "/v2/runs", columns[0]);
        match exchange(request, CoreBehavior::Drop, true).await {
            (Some(Event::Submit { spec, .. }), _) => {
                let json = serde_json::to_value(&spec).expect("JSON");
                json.to_string()
            }
            (_, response) => response,
        }
    })
    .await;
}

#[tokio::test]
async fn faulty_submissions_are_rejected_with_the_reason() {
    let sample = include_str!("../../tests/samples/refused_submissions.tsv");
    check_lines("refused_submissions.tsv", sample, |columns| async move {
        let body = padded(columns[0]);
        let request = ("POST", "/v2/runs", body.as_str());
        match exchange(request, CoreBehavior::Drop, true).await {
            (None, response) => response,
            (Some(_), _) => "read".to_string(),
        }
    })
    .await;
}

#[tokio::test]
async fn heartbeats_are_read_with_all_fields() {
    let sample = include_str!("../../tests/samples/check_ins.tsv");
    check_lines("check_ins.tsv", sample, |columns| async move {
        let request = ("POST", "/checkin", columns[0]);
        match exchange(request, CoreBehavior::Drop, true).await {
            (Some(Event::WorkerHeartbeat { heartbeat, .. }), _) => format_heartbeat(&heartbeat),
            (_, response) => response,
        }
    })
    .await;
}

#[tokio::test]
async fn faulty_heartbeats_are_rejected_with_the_reason() {
    let sample = include_str!("../../tests/samples/refused_check_ins.tsv");
    check_lines("refused_check_ins.tsv", sample, |columns| async move {
        let body = padded(columns[0]);
        let request = ("POST", "/checkin", body.as_str());
        match exchange(request, CoreBehavior::Drop, true).await {
            (None, response) => response,
            (Some(_), _) => "read".to_string(),
        }
    })
    .await;
}

#[tokio::test]
async fn requests_are_dispatched_by_method_and_path() {
    let sample = include_str!("../../tests/samples/requests.tsv");
    check_lines("requests.tsv", sample, |columns| async move {
        let request = (columns[0], columns[1], columns[3]);
        let is_ready = columns[2] == "ready";
        match exchange(request, CoreBehavior::Drop, is_ready).await {
            (Some(Event::Submit { spec, .. }), _) => format!("submission of {}", spec.id),
            (Some(Event::Status { job, .. }), _) => format!("status of {job}"),
            (Some(Event::Cancel { job, .. }), _) => format!("cancellation of {job}"),
            (Some(Event::WorkerHeartbeat { heartbeat, .. }), _) => {
                format!("check-in of {}", heartbeat.machine)
            }
            (Some(other), _) => format!("{other:?}"),
            (None, response) => response,
        }
    })
    .await;
}

fn core_behavior(name: &str) -> CoreBehavior {
    let job = || "j-000412".to_string();
    let status = |state, done, running| {
        user_reply(UserReply::Status {
            job: job(),
            state,
            done,
            running,
        })
    };
    let cancelled = |state| user_reply(UserReply::Cancelled { job: job(), state });
    let task = || TaskId {
        job: job(),
        index: 4,
    };
    let redirect = |controller: Option<&str>| {
        worker_reply(WorkerReply::Redirect {
            controller: controller.map(str::to_string),
        })
    };
    match name {
        "accepted" => user_reply(UserReply::Accepted { job: job() }),
        "queued" => status(JobState::Pending, 0, 0),
        "running" => status(JobState::Running, 3, 13),
        "done" => status(JobState::Done, u32::MAX, 0),
        "cancelled" => status(JobState::Cancelled, 3, 2),
        "cancellation of a queued job" => cancelled(JobState::Pending),
        "cancellation of a running job" => cancelled(JobState::Running),
        "cancellation of a job that is done" => cancelled(JobState::Done),
        "cancellation" => cancelled(JobState::Cancelled),
        "no such job" => user_reply(UserReply::NotFound),
        "never" => user_reply(UserReply::Rejected("no \"team\" é\n".into())),
        "later" => user_reply(UserReply::RetryAfter { after_s: 5 }),
        "no orders" => worker_reply(WorkerReply::Commands {
            token: 0,
            commands: Vec::new(),
        }),
        "orders" => worker_reply(WorkerReply::Commands {
            token: u64::MAX,
            commands: vec![
                WorkerCommand::Start {
                    task: task(),
                    attempt: 2,
                },
                WorkerCommand::Stop {
                    task: task(),
                    attempt: u64::MAX,
                    grace_s: 10.0,
                },
                WorkerCommand::Stop {
                    task: task(),
                    attempt: 3,
                    grace_s: 0.25,
                },
                WorkerCommand::Forget {
                    task: task(),
                    attempt: 1,
                },
            ],
        }),
        "another controller" => redirect(Some("b-\"2\"")),
        "any other controller" => redirect(None),
        "not now" => worker_reply(WorkerReply::Unavailable),
        "dropped" => CoreBehavior::Drop,
        "too busy" => CoreBehavior::Overloaded,
        other => panic!("no such behavior of the core: {other}"),
    }
}

#[tokio::test]
async fn responses_have_the_published_status_headers_and_body() {
    let sample = include_str!("../../tests/samples/answers.tsv");
    check_lines("answers.tsv", sample, |columns| async move {
        let request = ("GET", "/v2/runs/j-000412", "");
        exchange(request, core_behavior(columns[0]), true).await.1
    })
    .await;
}

/// Error texts quote the value of a field that has the wrong type. Escaped twice, a value of 60 KB made a line of the
/// response longer than the 64 KiB that the protocol allows.
#[tokio::test]
async fn an_error_that_quotes_a_long_value_keeps_the_limit_of_a_response_line() {
    let quotes = r#"\""#.repeat(30_000);
    for (path, body) in [
        ("/v2/runs", format!("{{\"together\":\"{quotes}\"}}")),
        ("/checkin", format!("{{\"tenure\":\"{quotes}\"}}")),
    ] {
        assert!(body.len() as u64 <= REQUEST_BODY_MAX_BYTES);
        let request = ("POST", path, body.as_str());
        let (event, response) = exchange(request, CoreBehavior::Drop, true).await;
        assert!(event.is_none() && response.starts_with("400 "), "{path}");
        assert!(
            response.len() as u64 <= REQUEST_BODY_MAX_BYTES,
            "{path}: {}",
            response.len()
        );
    }
}
