//! Requests of users and workers, and the answers to them.

use super::{check_lines, in_time, show_report};
use crate::http_server::{routes, Api, CoreReply, PendingRequest};
use glenmount_core::controller::{Event, UserReply, WorkerReply};
use glenmount_core::model::{JobState, TaskId, WorkerCommand};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::mpsc;

/// What becomes of a request that reaches the scheduler.
enum Answer {
    Of(CoreReply),
    /// The scheduler drops it.
    None,
    /// Too many requests wait for the scheduler.
    Busy,
}

fn user(reply: UserReply) -> Answer {
    Answer::Of(CoreReply::User(reply))
}

fn worker(reply: WorkerReply) -> Answer {
    Answer::Of(CoreReply::Worker(reply))
}

/// The event that a request becomes, if it is not refused before, and the response to it.
async fn exchange(
    (method, path, body): (&str, &str, &str),
    answer: Answer,
    is_ready: bool,
) -> (Option<Event>, String) {
    let (request_sender, mut requests) = mpsc::channel::<PendingRequest>(1);
    if matches!(answer, Answer::Busy) {
        requests.close();
    }
    let api = Api::new(request_sender, Arc::new(AtomicBool::new(is_ready)));
    let scheduler = tokio::spawn(async move {
        let request = requests.recv().await?;
        if let Answer::Of(reply) = answer {
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
    let shown = format!(
        "{} {} {} {}",
        response.status().as_u16(),
        header("content-type"),
        header("retry-after"),
        String::from_utf8_lossy(response.body()),
    );
    let event = in_time(scheduler).await.expect("the scheduler ends");
    (event, shown)
}

/// `@N` at the end of a body's line in a sample stands for so many bytes of spaces before it.
fn padded(body: &str) -> String {
    match body.rsplit_once('@') {
        Some((body, bytes)) => " ".repeat(bytes.parse().expect("bytes")) + body,
        None => body.to_string(),
    }
}

#[tokio::test]
async fn submissions_are_read_with_all_their_fields() {
    let sample = include_str!("../../tests/samples/submissions.tsv");
    check_lines("submissions.tsv", sample, |columns| async move {
        let request = ("POST", "/v2/runs", columns[0]);
        match exchange(request, Answer::None, true).await {
            (Some(Event::Submit { spec, .. }), _) => {
                let stored = serde_json::to_value(&spec).expect("JSON");
                stored.to_string()
            }
            (_, response) => response,
        }
    })
    .await;
}

#[tokio::test]
async fn faulty_submissions_are_refused_with_their_fault() {
    let sample = include_str!("../../tests/samples/refused_submissions.tsv");
    check_lines("refused_submissions.tsv", sample, |columns| async move {
        let body = padded(columns[0]);
        let request = ("POST", "/v2/runs", body.as_str());
        match exchange(request, Answer::None, true).await {
            (None, response) => response,
            (Some(_), _) => "read".to_string(),
        }
    })
    .await;
}

#[tokio::test]
async fn check_ins_are_read_with_all_their_fields() {
    let sample = include_str!("../../tests/samples/check_ins.tsv");
    check_lines("check_ins.tsv", sample, |columns| async move {
        let request = ("POST", "/checkin", columns[0]);
        match exchange(request, Answer::None, true).await {
            (
                Some(Event::WorkerHeartbeat {
                    heartbeat: report, ..
                }),
                _,
            ) => show_report(&report),
            (_, response) => response,
        }
    })
    .await;
}

#[tokio::test]
async fn faulty_check_ins_are_refused_with_their_fault() {
    let sample = include_str!("../../tests/samples/refused_check_ins.tsv");
    check_lines("refused_check_ins.tsv", sample, |columns| async move {
        let body = padded(columns[0]);
        let request = ("POST", "/checkin", body.as_str());
        match exchange(request, Answer::None, true).await {
            (None, response) => response,
            (Some(_), _) => "read".to_string(),
        }
    })
    .await;
}

#[tokio::test]
async fn requests_are_told_apart_by_method_and_path() {
    let sample = include_str!("../../tests/samples/requests.tsv");
    check_lines("requests.tsv", sample, |columns| async move {
        let request = (columns[0], columns[1], columns[3]);
        let is_ready = columns[2] == "ready";
        match exchange(request, Answer::None, is_ready).await {
            (Some(Event::Submit { spec, .. }), _) => format!("submission of {}", spec.id),
            (Some(Event::Status { job, .. }), _) => format!("status of {job}"),
            (Some(Event::Cancel { job, .. }), _) => format!("cancellation of {job}"),
            (
                Some(Event::WorkerHeartbeat {
                    heartbeat: report, ..
                }),
                _,
            ) => {
                format!("check-in of {}", report.machine)
            }
            (Some(other), _) => format!("{other:?}"),
            (None, response) => response,
        }
    })
    .await;
}

fn answer(name: &str) -> Answer {
    let job = || "j-000412".to_string();
    let state = |state, done, running| {
        user(UserReply::Status {
            job: job(),
            state,
            done,
            running,
        })
    };
    let cancelled = |state| user(UserReply::Cancelled { job: job(), state });
    let task = || TaskId {
        job: job(),
        index: 4,
    };
    let away = |controller: Option<&str>| {
        worker(WorkerReply::Redirect {
            controller: controller.map(str::to_string),
        })
    };
    match name {
        "accepted" => user(UserReply::Accepted { job: job() }),
        "queued" => state(JobState::Pending, 0, 0),
        "running" => state(JobState::Running, 3, 13),
        "done" => state(JobState::Done, u32::MAX, 0),
        "cancelled" => state(JobState::Cancelled, 3, 2),
        "cancellation of a queued job" => cancelled(JobState::Pending),
        "cancellation of a running job" => cancelled(JobState::Running),
        "cancellation of a job that is done" => cancelled(JobState::Done),
        "cancellation" => cancelled(JobState::Cancelled),
        "no such job" => user(UserReply::NotFound),
        "never" => user(UserReply::Rejected("no \"team\" é\n".into())),
        "later" => user(UserReply::RetryAfter { after_s: 5 }),
        "no orders" => worker(WorkerReply::Commands {
            token: 0,
            commands: Vec::new(),
        }),
        "orders" => worker(WorkerReply::Commands {
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
        "another controller" => away(Some("b-\"2\"")),
        "any other controller" => away(None),
        "not now" => worker(WorkerReply::Unavailable),
        "dropped" => Answer::None,
        "too busy" => Answer::Busy,
        other => panic!("no such answer: {other}"),
    }
}

#[tokio::test]
async fn users_and_workers_get_status_body_and_time_to_retry() {
    let sample = include_str!("../../tests/samples/answers.tsv");
    check_lines("answers.tsv", sample, |columns| async move {
        let request = ("GET", "/v2/runs/j-000412", "");
        exchange(request, answer(columns[0]), true).await.1
    })
    .await;
}
