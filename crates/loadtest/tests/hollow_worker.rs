//! Conformance of hollow workers to the protocol.

mod common;

use glenmount_loadtest::protocol::jobs::TaskId;
use glenmount_loadtest::protocol::workers::{CommandAction, HeartbeatAnswer, TaskCommand};
use glenmount_loadtest::stand_ins::hollow_worker::{
    Capacity, CommandFenced, HollowWorker, JobDescription, JobLookup, SentHeartbeat, WorkerEvent,
    WorkerIdentity,
};
use std::sync::Arc;

struct SingleJobLookup;

impl JobLookup for SingleJobLookup {
    fn find(&self, id: &str) -> Option<JobDescription> {
        let submission = common::submission(id, 4, 2.0);
        (id == "j-000001").then(|| JobDescription {
            submission: Arc::new(submission),
            run_ms: 1_000,
        })
    }
}

fn worker() -> HollowWorker {
    let identity = WorkerIdentity {
        name: "n-1".into(),
        address: "127.1.0.1:1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
    };
    let capacity = Capacity {
        cpus: 4.0,
        ram_gb: 8.0,
        image_gb_per_s: 1.0,
    };
    HollowWorker::new(identity, capacity, 0)
}

fn command(action: CommandAction, index: u32, attempt: u64) -> TaskCommand {
    let job = "j-000001".into();
    let task = TaskId { job, index };
    TaskCommand {
        action,
        task,
        attempt,
    }
}

/// Returns an answer to a heartbeat with a fencing token and commands.
fn answer(fencing_token: u64, commands: &[TaskCommand]) -> HeartbeatAnswer {
    HeartbeatAnswer {
        fencing_token: Some(fencing_token),
        commands: commands.to_vec(),
        redirect_to: None,
    }
}

/// Returns a heartbeat of the first incarnation that was sent at `sent_ms`.
fn sent(sent_ms: u64) -> SentHeartbeat {
    SentHeartbeat {
        incarnation: 1,
        sent_ms,
    }
}

#[test]
fn a_worker_pulls_an_image_runs_the_task_and_forgets_it_on_command() {
    let mut worker = worker();
    let start = [command(CommandAction::Start, 0, 5)];
    let events = worker.apply_heartbeat_answer(&answer(3, &start), sent(0), &SingleJobLookup, 100);
    assert_eq!((events, worker.next_change_ms()), (vec![], Some(1_100)));
    let task = start[0].task.clone();
    assert_eq!(
        worker.advance(1_100),
        [WorkerEvent::TaskStarted(task.clone())]
    );
    let ended = WorkerEvent::TaskEnded {
        task: task.clone(),
        completed: true,
        at_ms: 2_100,
    };
    assert_eq!(worker.advance(2_100), [ended]);
    let forget = [command(CommandAction::Forget, 0, 5)];
    let outcome = worker.apply_direct_command(3, 1, &forget, &SingleJobLookup, 2_500);
    assert!(outcome.is_ok(), "{outcome:?}");
    let ended_ms = 2_100;
    assert_eq!(
        outcome.unwrap(),
        [WorkerEvent::ResultRecorded { task, ended_ms }]
    );
    assert!(worker.heartbeat().tasks.is_empty());
}

#[test]
fn a_worker_rejects_outdated_tokens_other_incarnations_and_tasks_above_its_resources() {
    let mut worker = worker();
    let first_starts = [
        command(CommandAction::Start, 0, 5),
        command(CommandAction::Start, 1, 5),
    ];
    worker.apply_heartbeat_answer(&answer(3, &first_starts), sent(0), &SingleJobLookup, 0);
    let further_starts = [
        command(CommandAction::Start, 2, 5),
        command(CommandAction::Start, 0, 6),
    ];
    assert_eq!(
        worker.apply_direct_command(2, 1, &further_starts, &SingleJobLookup, 0),
        Err(CommandFenced)
    );
    assert_eq!(
        worker.apply_direct_command(3, 2, &further_starts, &SingleJobLookup, 0),
        Err(CommandFenced)
    );
    assert_eq!(worker.heartbeat().tasks.len(), 2);
    worker
        .apply_direct_command(3, 1, &further_starts, &SingleJobLookup, 0)
        .unwrap();
    let heartbeat = serde_json::to_string(&worker.heartbeat()).unwrap();
    assert!(
        heartbeat.contains("no_room") && heartbeat.contains("in_use"),
        "{heartbeat}"
    );
}

#[test]
fn a_worker_whose_lease_expires_begins_an_incarnation_without_tasks() {
    let mut worker = worker();
    let start = [command(CommandAction::Start, 0, 5)];
    worker.apply_heartbeat_answer(&answer(3, &start), sent(500), &SingleJobLookup, 500);
    worker.advance(1_500);
    assert!(!worker.is_lease_expired(2_000, 2_500) && worker.is_lease_expired(2_000, 2_501));
    assert_eq!(worker.begin_incarnation(2_501).len(), 1);
    // An answer to a heartbeat of the previous incarnation has no effect.
    let late_start = [command(CommandAction::Start, 1, 5)];
    worker.apply_heartbeat_answer(
        &answer(4, &late_start),
        sent(2_400),
        &SingleJobLookup,
        2_600,
    );
    let heartbeat = worker.heartbeat();
    assert_eq!(
        (
            heartbeat.incarnation,
            heartbeat.fencing_token,
            heartbeat.tasks.len()
        ),
        (2, 3, 0)
    );
}

/// The worker itself begins a forgotten attempt again: only a higher token keeps a copy of its start away.
#[test]
fn a_copy_of_a_start_restarts_a_forgotten_attempt_unless_a_higher_token_was_seen() {
    for (forget_token, is_restarted) in [(5, true), (6, false)] {
        let mut worker = worker();
        let start = [command(CommandAction::Start, 0, 1)];
        let jobs = &SingleJobLookup;
        worker.apply_direct_command(5, 1, &start, jobs, 0).unwrap();
        worker.advance(10_000);
        worker.advance(20_000);
        let forget = answer(forget_token, &[command(CommandAction::Forget, 0, 1)]);
        worker.apply_heartbeat_answer(&forget, sent(20_000), jobs, 20_000);
        let copy = worker.apply_direct_command(5, 1, &start, jobs, 30_000);
        match is_restarted {
            true => assert!(matches!(
                copy.unwrap()[0],
                WorkerEvent::AttemptRestarted { attempt: 1, .. }
            )),
            false => assert_eq!(copy, Err(CommandFenced)),
        }
    }
}
