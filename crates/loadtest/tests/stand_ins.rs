//! The stand-ins keep to the protocol: the store, the rates, the workers.

mod common;

use glenmount_loadtest::protocol::{Order, TaskId, Verb};
use glenmount_loadtest::stand_ins::hollow_worker::{
    Accepted, Capacity, Change, Described, Descriptions, Identity, Machine,
};
use glenmount_loadtest::stand_ins::state_store::key_value_store::{
    Outcome, Sizes, Store, Transaction,
};
use glenmount_loadtest::stand_ins::token_bucket::RateLimit;
use std::sync::Arc;

const SIZES: Sizes = Sizes {
    value_bytes: 64,
    changes: 3,
};

fn transact(store: &mut Store, text: &str) -> Outcome {
    let transaction: Transaction = serde_json::from_str(text).unwrap();
    store.transact(transaction, text.len(), SIZES)
}

#[test]
fn a_transaction_takes_effect_only_on_what_it_rests_on() {
    let mut store = Store::default();
    let first =
        r#"{"if":[{"k":"c/a","stamp":0}],"apply":[{"put":"c/a","v":1},{"put":"d/b","v":2}]}"#;
    assert_eq!(transact(&mut store, first), Outcome::Committed(1));
    let failed = vec!["c/a".to_string()];
    assert_eq!(
        transact(&mut store, first),
        Outcome::Conflict { failed, epoch: 1 }
    );
    let again = r#"{"if":[{"k":"c/a","stamp":1}],"apply":[{"put":"c/a","v":1}]}"#;
    assert_eq!(transact(&mut store, again), Outcome::Committed(2));
    let page = store.list("c/", "", 10);
    assert_eq!((page.items.len(), page.more), (1, false));
    assert!(store.list("c/", "c/a", 10).items.is_empty());
    let gone = r#"{"if":[{"k":"c/a","stamp":2}],"apply":[{"remove":"c/a"}]}"#;
    assert_eq!(transact(&mut store, gone), Outcome::Committed(3));
    assert!(store.get("c/a").is_none() && store.epoch() == 3);
    assert_eq!(store.news("c/", 2).unwrap().len(), 1);
    assert_eq!(store.news("", 0).unwrap().len(), 4);
    assert_eq!((store.records(), store.bytes()), (1, 4));
}

#[test]
fn what_exceeds_the_limits_is_refused_and_leaves_no_trace() {
    let mut store = Store::default();
    let large = format!(r#"{{"apply":[{{"put":"c/a","v":"{}"}}]}}"#, "x".repeat(70));
    let many = r#"{"apply":[{"remove":"a"},{"remove":"b"},{"remove":"c"},{"remove":"d"}]}"#;
    let spaces = r#"{"apply":[{"put":"a b","v":1}]}"#;
    let lease = r#"{"apply":[{"put":"a","v":1,"tenancy":9}]}"#;
    for text in [large.as_str(), many, spaces, lease] {
        let outcome = transact(&mut store, text);
        assert!(
            matches!(outcome, Outcome::Malformed(_)),
            "{text}: {outcome:?}"
        );
    }
    assert_eq!((store.epoch(), store.records()), (0, 0));
}

#[test]
fn keys_go_with_their_lease_and_a_watch_too_old_is_told_so() {
    let mut store = Store::default();
    let lease = store.grant(1_000, 0);
    let put = format!(r#"{{"apply":[{{"put":"a","v":1,"tenancy":{lease}}}]}}"#);
    assert_eq!(transact(&mut store, &put), Outcome::Committed(1));
    assert!(store.renew(lease, 900) && !store.expire(1_800) && store.expire(2_000));
    assert_eq!((store.records(), store.epoch()), (0, 2));
    for n in 0..10_001 {
        transact(
            &mut store,
            &format!(r#"{{"apply":[{{"put":"k","v":{n}}}]}}"#),
        );
    }
    assert!(store.news("", 1).is_none());
    assert_eq!(store.news("", 10_000).unwrap().len(), 3);
}

#[test]
fn a_rate_allows_its_burst_and_then_its_rate() {
    let mut limit = RateLimit::new(10.0, 2.0);
    assert!((0..20).all(|_| limit.take(1.0, 0)));
    assert!(!limit.take(1.0, 0) && limit.take(1.0, 100) && !limit.take(1.0, 150));
}

struct OneJob;

impl Descriptions for OneJob {
    fn find(&self, id: &str) -> Option<Described> {
        let submission = common::submission(id, 4, 2.0);
        (id == "j-000001").then(|| Described {
            submission: Arc::new(submission),
            run_ms: 1_000,
        })
    }
}

fn machine() -> Machine {
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
    Machine::new(identity, capacity, 0)
}

fn order(verb: Verb, index: u32, attempt: u64) -> Order {
    let job = "j-000001".into();
    let task = TaskId { job, index };
    Order {
        verb,
        task,
        attempt,
    }
}

#[test]
fn a_worker_fetches_runs_reports_and_forgets() {
    let mut machine = machine();
    let start = [order(Verb::Start, 0, 5)];
    let changes = machine.take_answer(Some(3), &start, 1, 0, &OneJob, 100);
    assert_eq!((changes, machine.next_change_ms()), (vec![], Some(1_100)));
    let task = start[0].task.clone();
    assert_eq!(machine.advance(1_100), [Change::Started(task.clone())]);
    let ended = Change::Ended {
        task: task.clone(),
        completed: true,
        at_ms: 2_100,
    };
    assert_eq!(machine.advance(2_100), [ended]);
    let forget = [order(Verb::Forget, 0, 5)];
    let (accepted, changes) = machine.take_command(3, 1, &forget, &OneJob, 2_500);
    assert_eq!(accepted, Accepted::Executed);
    let ended_ms = 2_100;
    assert_eq!(changes, [Change::Recorded { task, ended_ms }]);
    assert!(machine.report().tasks.is_empty());
}

#[test]
fn a_worker_drops_older_tokens_and_sessions_and_refuses_what_has_no_room() {
    let mut machine = machine();
    let both = [order(Verb::Start, 0, 5), order(Verb::Start, 1, 5)];
    machine.take_answer(Some(3), &both, 1, 0, &OneJob, 0);
    let third = [order(Verb::Start, 2, 5), order(Verb::Start, 0, 6)];
    assert_eq!(
        machine.take_command(2, 1, &third, &OneJob, 0).0,
        Accepted::Refused
    );
    assert_eq!(
        machine.take_command(3, 2, &third, &OneJob, 0).0,
        Accepted::Refused
    );
    assert_eq!(machine.report().tasks.len(), 2);
    machine.take_command(3, 1, &third, &OneJob, 0);
    let report = serde_json::to_string(&machine.report()).unwrap();
    assert!(
        report.contains("no_room") && report.contains("in_use"),
        "{report}"
    );
}

#[test]
fn a_worker_whose_lease_is_over_begins_a_new_session_without_tasks() {
    let mut machine = machine();
    machine.take_answer(Some(3), &[order(Verb::Start, 0, 5)], 1, 500, &OneJob, 500);
    machine.advance(1_500);
    assert!(!machine.lease_is_over(2_000, 2_500) && machine.lease_is_over(2_000, 2_501));
    assert_eq!(machine.next_session(2_501).len(), 1);
    // An answer to a report of the session before has no effect.
    machine.take_answer(
        Some(4),
        &[order(Verb::Start, 1, 5)],
        1,
        2_400,
        &OneJob,
        2_600,
    );
    let report = machine.report();
    assert_eq!((report.tenure, report.fence, report.tasks.len()), (2, 3, 0));
}
