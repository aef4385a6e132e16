//! Tests of reading and writing the published messages.

use super::{read_heartbeat, read_submission, write_command, write_user_reply, write_worker_reply};
use glenmount_core::constants::messages::REQUEST_BODY_MAX_BYTES;
use glenmount_core::controller::{UserReply, WorkerReply};
use glenmount_core::model::{ExitCause, JobPriority, JobState, TaskId, TaskPhase, WorkerCommand};
use glenmount_core::workers::command_size::count_fitting;
use serde_json::{json, Value};

fn valid_submission() -> Value {
    json!({"nameId":"j-000412","jobclass":"train","owner":"vision","shape":"array",
        "rank":"high","drops":16,"vcpus":8.0,"accelerators":1.0,"ramGb":64.0,
        "bundle":"img-07","pullGb":6.2,"flavours":["g8"],"yard":null,"together":true,
        "scatter":false,"reclaimable":true,"expectS":240.0,"snapshotS":30.0,"flushS":4.0,
        "dueS":900.0,"unheard":1})
}

#[test]
fn valid_submission_is_read_and_faulty_ones_are_rejected() {
    let spec = read_submission(valid_submission().to_string().as_bytes()).unwrap();
    assert_eq!(
        (spec.tasks, spec.resources.cpus, spec.priority),
        (16, 8000, JobPriority::High)
    );
    let faults = [
        ("nameId", json!("x-1")),
        ("nameId", Value::Null),
        ("vcpus", json!(0.0)),
        ("vcpus", json!(-1)),
        ("ramGb", json!(0)),
        ("accelerators", json!(-0.5)),
        ("drops", json!(1.5)),
        ("drops", json!(0)),
        ("drops", json!(100_001)),
        ("shape", json!("group")),
        ("rank", json!("top")),
        ("together", Value::Null),
        ("expectS", Value::Null),
        ("flavours", json!("g8")),
        ("dueS", json!("soon")),
        ("awaits", json!("j-1")),
        ("awaits", json!([1])),
        ("awaits", json!(["j-1", "x-2"])),
    ];
    for (field, value) in faults {
        let mut body = valid_submission();
        body[field] = value.clone();
        assert!(
            read_submission(body.to_string().as_bytes()).is_err(),
            "{field} = {value}"
        );
    }
    for body in ["", "[]", "7", "{", "null"] {
        assert!(read_submission(body.as_bytes()).is_err(), "{body}");
    }
    for field in ["pullGb", "accelerators", "expectS", "snapshotS", "flushS"] {
        let mut body = valid_submission();
        body[field] = json!(0);
        assert!(
            read_submission(body.to_string().as_bytes()).is_ok(),
            "{field}"
        );
    }
    let dependencies = |value: Value| {
        let mut body = valid_submission();
        body["awaits"] = value;
        read_submission(body.to_string().as_bytes())
            .unwrap()
            .dependencies
    };
    assert!(spec.dependencies.is_empty() && dependencies(Value::Null).is_empty());
    assert!(dependencies(json!([])).is_empty());
    assert_eq!(dependencies(json!(["j-2", "j-1", "j-2"])), ["j-1", "j-2"]);
    for field in ["nameId", "drops", "scatter", "flushS"] {
        let mut body = valid_submission();
        body.as_object_mut().unwrap().remove(field);
        assert!(
            read_submission(body.to_string().as_bytes()).is_err(),
            "{field}"
        );
    }
}

#[test]
fn replies_and_commands_have_the_published_form() {
    let read = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    let task = TaskId::parse("j-000412/4").unwrap();
    let attempt = 2;
    let commands = [
        WorkerCommand::Start {
            task: task.clone(),
            attempt,
        },
        WorkerCommand::Stop {
            task: task.clone(),
            attempt,
            grace_s: 10.0,
        },
        WorkerCommand::Forget { task, attempt },
    ];
    let verbs = json!([{"verb":"start","drop":"j-000412/4","try":2},
        {"verb":"halt","drop":"j-000412/4","try":2,"leewayS":10.0},
        {"verb":"forget","drop":"j-000412/4","try":2}]);
    assert_eq!(
        read(&write_command(1, 41, &commands)),
        json!({"fence":41,"tenure":1,"orders":verbs})
    );
    let worker_reply = |reply| {
        let reply = write_worker_reply(&reply);
        assert_eq!(reply.retry_after_s, None);
        (reply.status, read(&reply.body))
    };
    let with_commands = WorkerReply::Commands {
        token: 41,
        commands: commands.to_vec(),
    };
    assert_eq!(
        worker_reply(with_commands),
        (200, json!({"fence":41,"orders":verbs}))
    );
    let redirect = |controller: Option<&str>| WorkerReply::Redirect {
        controller: controller.map(Into::into),
    };
    assert_eq!(
        worker_reply(redirect(Some("b-2"))),
        (421, json!({"steward":"b-2"}))
    );
    assert_eq!(worker_reply(redirect(None)), (421, json!({})));
    assert_eq!(worker_reply(WorkerReply::Unavailable).0, 503);
    let user_reply = |reply| {
        let reply = write_user_reply(&reply);
        (reply.status, read(&reply.body), reply.retry_after_s)
    };
    let job = || "j-000412".to_string();
    let status = UserReply::Status {
        job: job(),
        state: JobState::Running,
        done: 3,
        running: 13,
    };
    assert_eq!(
        user_reply(status),
        (
            200,
            json!({"nameId":"j-000412","standing":"running","done":3,"running":13}),
            None
        )
    );
    let accepted = UserReply::Accepted { job: job() };
    assert_eq!(
        user_reply(accepted),
        (201, json!({"nameId":"j-000412","standing":"pending"}), None)
    );
    let cancelled = UserReply::Cancelled {
        job: job(),
        state: JobState::Cancelled,
    };
    assert_eq!(
        user_reply(cancelled),
        (200, json!({"nameId":"j-000412","standing":"aborted"}), None)
    );
    let rejected = UserReply::Rejected("no \"team\"".into());
    assert_eq!(
        user_reply(rejected),
        (422, json!({"error":"no \"team\""}), None)
    );
    assert_eq!(user_reply(UserReply::RetryAfter { after_s: 5 }).2, Some(5));
}

#[test]
fn heartbeat_is_read_with_exit_causes_and_out_of_range_counts_are_rejected() {
    let body = json!({"host":"n-1","address":"10.1.0.2:9000","flavour":"g8","yard":"a",
        "reclaimable":true,"tenure":1,"tally":88,"fence":41,
        "drops":[{"drop":"j-000412/3","try":2,"standing":"running"},
                 {"drop":"j-000398/0","try":1,"standing":"exited","cause":"no_room"}]});
    let heartbeat = read_heartbeat(body.to_string().as_bytes()).unwrap();
    assert_eq!(heartbeat.tasks[0].task.index, 3);
    assert_eq!(
        heartbeat.tasks[1].phase,
        TaskPhase::Exited(ExitCause::NoResources)
    );
    assert!(read_heartbeat(b"{}").is_err());
    // After one excessive value, all later heartbeats of the machine would look outdated.
    for (field, value) in [("tenure", 0), ("tenure", u64::MAX), ("tally", u64::MAX)] {
        let mut body = body.clone();
        body[field] = value.into();
        let error = read_heartbeat(body.to_string().as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(field), "{error}");
    }
}

/// Heartbeats with more than 1,000 tasks were rejected although they kept the size limit of a request body. The
/// machine's lease expired, and all its tasks were killed.
#[test]
fn heartbeat_may_list_as_many_tasks_as_fit_into_a_request_body() {
    let drops: Vec<Value> = (0..1_300)
        .map(|n| json!({"drop":format!("j-1/{n}"),"try":1,"standing":"running"}))
        .collect();
    let body = json!({"host":"n-1","address":"10.1.0.2:9000","flavour":"g8","yard":"a",
        "reclaimable":true,"tenure":1,"tally":88,"fence":41,"drops":drops})
    .to_string();
    assert!(
        body.len() as u64 <= REQUEST_BODY_MAX_BYTES,
        "{}",
        body.len()
    );
    let heartbeat = read_heartbeat(body.as_bytes()).unwrap();
    assert_eq!(heartbeat.tasks.len(), 1_300);
}

/// Direct commands had no size limit, and workers rejected those above 64 KiB. The core's bound must cover the longest ids,
/// attempts and durations that the protocol allows. Starts and `forget` take less than stops.
#[test]
fn the_longest_commands_that_count_as_fitting_keep_the_size_limit() {
    let stop = |index| WorkerCommand::Stop {
        task: TaskId {
            job: "j-999999999999999999".into(),
            index,
        },
        attempt: u64::MAX,
        grace_s: 1.0e9 / 3.0 + 0.1,
    };
    let mut commands: Vec<WorkerCommand> = (99_000..100_000).map(stop).collect();
    commands.truncate(count_fitting(&commands));
    assert!(commands.len() > 500, "{}", commands.len());
    let reply = WorkerReply::Commands {
        token: u64::MAX,
        commands: commands.clone(),
    };
    for message in [
        write_worker_reply(&reply).body,
        write_command(u64::MAX, u64::MAX, &commands),
    ] {
        assert!(
            message.len() as u64 <= REQUEST_BODY_MAX_BYTES,
            "{}",
            message.len()
        );
    }
}
