//! The stand-ins keep to the protocol: the store, the rates, the workers.

mod common;

use glenmount_loadtest::protocol::{CommandAction, TaskCommand, TaskId};
use glenmount_loadtest::stand_ins::hollow_worker::{
    Capacity, CommandOutcome, HollowWorker, Identity, JobDescription, JobLookup, WorkerEvent,
};
use glenmount_loadtest::stand_ins::state_store::key_value_store::{
    KeyValueStore, SizeLimits, Transaction, TransactionOutcome,
};
use glenmount_loadtest::stand_ins::token_bucket::TokenBucket;
use std::sync::Arc;

const SIZES: SizeLimits = SizeLimits {
    value_bytes: 64,
    changes: 3,
};

fn transact(store: &mut KeyValueStore, text: &str) -> TransactionOutcome {
    let transaction: Transaction = serde_json::from_str(text).unwrap();
    store.transact(transaction, text.len(), SIZES)
}

#[test]
fn a_transaction_takes_effect_only_on_what_it_rests_on() {
    let mut store = KeyValueStore::default();
    let first =
        r#"{"if":[{"k":"c/a","stamp":0}],"apply":[{"put":"c/a","v":1},{"put":"d/b","v":2}]}"#;
    assert_eq!(
        transact(&mut store, first),
        TransactionOutcome::Committed(1)
    );
    let failed = vec!["c/a".to_string()];
    assert_eq!(
        transact(&mut store, first),
        TransactionOutcome::Conflict {
            failed,
            revision: 1
        }
    );
    let again = r#"{"if":[{"k":"c/a","stamp":1}],"apply":[{"put":"c/a","v":1}]}"#;
    assert_eq!(
        transact(&mut store, again),
        TransactionOutcome::Committed(2)
    );
    let page = store.list("c/", "", 10);
    assert_eq!((page.items.len(), page.more), (1, false));
    assert!(store.list("c/", "c/a", 10).items.is_empty());
    let gone = r#"{"if":[{"k":"c/a","stamp":2}],"apply":[{"remove":"c/a"}]}"#;
    assert_eq!(transact(&mut store, gone), TransactionOutcome::Committed(3));
    assert!(store.get("c/a").is_none() && store.revision() == 3);
    assert_eq!(store.changes_since("c/", 2).unwrap().len(), 1);
    assert_eq!(store.changes_since("", 0).unwrap().len(), 4);
    assert_eq!((store.records(), store.bytes()), (1, 4));
}

#[test]
fn what_exceeds_the_limits_is_refused_and_leaves_no_trace() {
    let mut store = KeyValueStore::default();
    let large = format!(r#"{{"apply":[{{"put":"c/a","v":"{}"}}]}}"#, "x".repeat(70));
    let many = r#"{"apply":[{"remove":"a"},{"remove":"b"},{"remove":"c"},{"remove":"d"}]}"#;
    let spaces = r#"{"apply":[{"put":"a b","v":1}]}"#;
    let lease = r#"{"apply":[{"put":"a","v":1,"tenancy":9}]}"#;
    for text in [large.as_str(), many, spaces, lease] {
        let outcome = transact(&mut store, text);
        assert!(
            matches!(outcome, TransactionOutcome::Malformed(_)),
            "{text}: {outcome:?}"
        );
    }
    assert_eq!((store.revision(), store.records()), (0, 0));
}

#[test]
fn keys_go_with_their_lease_and_a_watch_too_old_is_told_so() {
    let mut store = KeyValueStore::default();
    let lease = store.grant(1_000, 0);
    let put = format!(r#"{{"apply":[{{"put":"a","v":1,"tenancy":{lease}}}]}}"#);
    assert_eq!(transact(&mut store, &put), TransactionOutcome::Committed(1));
    assert!(store.renew(lease, 900) && !store.expire(1_800) && store.expire(2_000));
    assert_eq!((store.records(), store.revision()), (0, 2));
    for n in 0..10_001 {
        transact(
            &mut store,
            &format!(r#"{{"apply":[{{"put":"k","v":{n}}}]}}"#),
        );
    }
    assert!(store.changes_since("", 1).is_none());
    assert_eq!(store.changes_since("", 10_000).unwrap().len(), 3);
}

#[test]
fn a_rate_allows_its_burst_and_then_its_rate() {
    let mut limit = TokenBucket::new(10.0, 2.0);
    assert!((0..20).all(|_| limit.take(1.0, 0)));
    assert!(!limit.take(1.0, 0) && limit.take(1.0, 100) && !limit.take(1.0, 150));
}

struct OneJob;

impl JobLookup for OneJob {
    fn find(&self, id: &str) -> Option<JobDescription> {
        let submission = common::submission(id, 4, 2.0);
        (id == "j-000001").then(|| JobDescription {
            submission: Arc::new(submission),
            run_ms: 1_000,
        })
    }
}

fn machine() -> HollowWorker {
    let identity = Identity {
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

fn order(action: CommandAction, index: u32, attempt: u64) -> TaskCommand {
    let job = "j-000001".into();
    let task = TaskId { job, index };
    TaskCommand {
        action,
        task,
        attempt,
    }
}

#[test]
fn a_worker_fetches_runs_reports_and_forgets() {
    let mut machine = machine();
    let start = [order(CommandAction::Start, 0, 5)];
    let changes = machine.apply_heartbeat_answer(Some(3), &start, 1, 0, &OneJob, 100);
    assert_eq!((changes, machine.next_change_ms()), (vec![], Some(1_100)));
    let task = start[0].task.clone();
    assert_eq!(
        machine.advance(1_100),
        [WorkerEvent::TaskStarted(task.clone())]
    );
    let ended = WorkerEvent::TaskEnded {
        task: task.clone(),
        completed: true,
        at_ms: 2_100,
    };
    assert_eq!(machine.advance(2_100), [ended]);
    let forget = [order(CommandAction::Forget, 0, 5)];
    let (accepted, changes) = machine.apply_direct_command(3, 1, &forget, &OneJob, 2_500);
    assert_eq!(accepted, CommandOutcome::Executed);
    let ended_ms = 2_100;
    assert_eq!(changes, [WorkerEvent::ResultRecorded { task, ended_ms }]);
    assert!(machine.heartbeat().tasks.is_empty());
}

#[test]
fn a_worker_drops_older_tokens_and_sessions_and_refuses_what_has_no_room() {
    let mut machine = machine();
    let both = [
        order(CommandAction::Start, 0, 5),
        order(CommandAction::Start, 1, 5),
    ];
    machine.apply_heartbeat_answer(Some(3), &both, 1, 0, &OneJob, 0);
    let third = [
        order(CommandAction::Start, 2, 5),
        order(CommandAction::Start, 0, 6),
    ];
    assert_eq!(
        machine.apply_direct_command(2, 1, &third, &OneJob, 0).0,
        CommandOutcome::Rejected
    );
    assert_eq!(
        machine.apply_direct_command(3, 2, &third, &OneJob, 0).0,
        CommandOutcome::Rejected
    );
    assert_eq!(machine.heartbeat().tasks.len(), 2);
    machine.apply_direct_command(3, 1, &third, &OneJob, 0);
    let heartbeat = serde_json::to_string(&machine.heartbeat()).unwrap();
    assert!(
        heartbeat.contains("no_room") && heartbeat.contains("in_use"),
        "{heartbeat}"
    );
}

#[test]
fn a_worker_whose_lease_is_over_begins_a_new_session_without_tasks() {
    let mut machine = machine();
    machine.apply_heartbeat_answer(
        Some(3),
        &[order(CommandAction::Start, 0, 5)],
        1,
        500,
        &OneJob,
        500,
    );
    machine.advance(1_500);
    assert!(!machine.is_lease_expired(2_000, 2_500) && machine.is_lease_expired(2_000, 2_501));
    assert_eq!(machine.begin_incarnation(2_501).len(), 1);
    // An answer to a report of the session before has no effect.
    machine.apply_heartbeat_answer(
        Some(4),
        &[order(CommandAction::Start, 1, 5)],
        1,
        2_400,
        &OneJob,
        2_600,
    );
    let heartbeat = machine.heartbeat();
    assert_eq!(
        (
            heartbeat.incarnation,
            heartbeat.fencing_token,
            heartbeat.tasks.len()
        ),
        (2, 3, 0)
    );
}
