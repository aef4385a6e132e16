//! Published formats don't change: JSON results, printed tables, error texts, names on the wire.

mod common;

use glenmount_loadtest::invariants::{Invariant, InvariantChecker, Placement, Violation};
use glenmount_loadtest::measurement::comparison;
use glenmount_loadtest::measurement::figures::{
    Figures, ProcessUsage, RecordUsage, StartRates, WorkerBandwidth,
};
use glenmount_loadtest::measurement::latencies::{Latencies, LatencyKind};
use glenmount_loadtest::measurement::result::RunResult;
use glenmount_loadtest::measurement::traffic::{ExchangeKind, TrafficCounters};
use glenmount_loadtest::plan::Plan;
use glenmount_loadtest::protocol::cloud::{
    Catalog, InstancePage, InstanceState, ListedInstance, MachineType, ProvisionAnswer,
    ProvisionRequest,
};
use glenmount_loadtest::protocol::jobs::{JobStatus, JobStatusAnswer, Submission, TaskId};
use glenmount_loadtest::protocol::state_store::{
    ChangeEvent, ConflictAnswer, Item, LeaseAnswer, LeaseRequest, Page, Transaction, WatchAnswer,
};
use glenmount_loadtest::protocol::workers::{
    CommandAction, DirectCommand, ExitCause, HeartbeatAnswer, TaskState, TaskStatus,
    WorkerHeartbeat,
};
use serde::Serialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::sync::Arc;

const TARGET: &str = include_str!("../plans/target.toml");
const STEADY: &str = include_str!("../plans/steady.toml");

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap() + "\n"
}

fn traffic() -> TrafficCounters {
    let traffic = TrafficCounters::default();
    for (index, kind) in ExchangeKind::ALL.into_iter().enumerate() {
        traffic.count(kind, 100 + index as u64, 7 * index as u64);
    }
    traffic
}

fn latencies() -> Latencies {
    let latencies = Latencies::default();
    for (index, kind) in LatencyKind::ALL.into_iter().enumerate() {
        latencies.record(kind, 100 * index as u64 + 3);
        latencies.record(kind, 5);
    }
    latencies
}

fn figures() -> Figures {
    let usage = ProcessUsage {
        mean_cpu: 0.5,
        peak_cpu: 0.75,
        resident_mb: 30.0,
        peak_mb: 31.0,
        max_sockets: 9,
    };
    let records = RecordUsage {
        count: 3,
        bytes: 900,
    };
    Figures {
        seconds: 10.0,
        workers: 3,
        mean_running_tasks: 4.5,
        max_running_tasks: 9,
        controllers: vec![usage, ProcessUsage::default()],
        stand_ins: ProcessUsage::default(),
        traffic: traffic().totals(),
        record_changes: BTreeMap::from([("team".to_string(), 3.5)]),
        transactions: BTreeMap::from([("chunk+team".to_string(), 2.5)]),
        records: BTreeMap::from([("job".to_string(), records)]),
        starts: StartRates {
            requested: 1.0,
            requested_best_10s: 2.0,
            started: 3.0,
            started_best_10s: 4.0,
        },
        latencies: latencies().quantiles(),
        worker_bandwidth: WorkerBandwidth {
            mean: 1.0,
            p99: 2.0,
            max: 3.0,
        },
        unexpected_answers: BTreeMap::from([("UserPoll: 503".to_string(), 2)]),
        worker_messages: BTreeMap::new(),
        largest_heartbeat_bytes: None,
    }
}

#[test]
fn a_result_keeps_its_json_names() {
    let invariants = [
        Invariant::DuplicateExecution,
        Invariant::QuotaExceeded,
        Invariant::PlacementConstraint,
        Invariant::RunAfterCancellation,
        Invariant::JobLost,
        Invariant::UnknownJob,
        Invariant::IncompleteJobDone,
        Invariant::FinalStatusChanged,
    ];
    let violations = invariants.map(|invariant| Violation {
        invariant,
        detail: invariant.to_string(),
        at_ms: 5,
    });
    let result = RunResult {
        plan: Plan::parse(STEADY, &[]).unwrap(),
        figures: figures(),
        violations: violations.to_vec(),
        exited_controllers: vec![1],
        finished: true,
    };
    assert_eq!(json(&result), include_str!("forms/result.json"));
}

#[test]
fn a_plan_keeps_its_json_names() {
    let plan = Plan::parse(TARGET, &[]).unwrap();
    assert_eq!(json(&plan), include_str!("forms/plan.json"));
}

#[test]
fn tables_keep_their_format() {
    let figures = figures();
    let table = figures.to_string();
    assert_eq!(table, include_str!("forms/table.txt"));
    let comparison = comparison::table(&figures, &figures);
    assert_eq!(comparison, include_str!("forms/comparison.txt"));
}

#[test]
fn errors_of_a_plan_keep_their_text() {
    let expected = include_str!("forms/plan_errors.txt");
    assert!(expected.lines().count() > 40);
    for line in expected.lines() {
        let (change, text) = line.split_once(" -> ").unwrap();
        let error = Plan::parse(TARGET, &[change.to_string()]).unwrap_err();
        assert_eq!(error.to_string(), text, "{change}");
    }
}

#[test]
fn violations_keep_their_text() {
    let mut job = common::submission("j-000001", 4, 2.5);
    job.zone = Some("z".into());
    (job.zone_affinity, job.topology_spread) = (true, true);
    let mut checker = InvariantChecker::new(20.0, 4.0);
    checker.job_submitted(Arc::new(job), 0);
    checker.job_accepted("j-000001", 1);
    let placement = |worker: &str, zone: &str| Placement {
        worker: worker.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
    };
    let task = |job: &str, index| TaskId {
        job: job.into(),
        index,
    };
    checker.task_started(&task("j-000001", 0), &placement("n-1", "a"), 5);
    checker.task_started(&task("j-000001", 0), &placement("n-2", "a"), 5);
    checker.task_started(&task("j-000001", 1), &placement("n-2", "b"), 5);
    checker.task_started(&task("q", 3), &placement("n-2", "b"), 5);
    checker.job_status_answered("j-000001", JobStatus::Done, 6, 7);
    checker.job_status_answered("j-000001", JobStatus::Running, 8, 9);
    checker.job_status_answered("q", JobStatus::Running, 8, 9);
    checker.job_status_answered("j-000001", JobStatus::Aborted, 8, 9);
    checker.job_not_found("j-000001", 9, 10);
    checker.job_rejected("j-000001", 11);
    checker.poll_unanswered("j-000001", 99_999_999);
    let expected = include_str!("forms/violations.json");
    assert_eq!(json(&checker.violations()), expected);
}

fn heartbeat() -> WorkerHeartbeat {
    let exited = [
        ExitCause::Completed,
        ExitCause::Stopped,
        ExitCause::InsufficientResources,
        ExitCause::OtherAttemptRuns,
        ExitCause::UnknownTask,
    ];
    let exited = exited.map(|cause| (TaskState::Exited, Some(cause)));
    let live = [(TaskState::Fetching, None), (TaskState::Running, None)];
    let tasks = live
        .into_iter()
        .chain(exited)
        .map(|(state, cause)| TaskStatus {
            task: "j-000001/1".parse().unwrap(),
            attempt: 2,
            state,
            cause,
        });
    WorkerHeartbeat {
        worker: "n-1".into(),
        address: "127.1.0.1:1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 1,
        sequence: 2,
        fencing_token: 3,
        eviction_warning_s: None,
        tasks: tasks.collect(),
    }
}

fn submission() -> Submission {
    Submission {
        machine_types: Some(vec!["m".into()]),
        zone: Some("a".into()),
        deadline_s: Some(4.0),
        ..common::submission("j-000001", 4, 2.5)
    }
}

fn instances() -> InstancePage {
    let states = [
        InstanceState::Starting,
        InstanceState::Running,
        InstanceState::Failed,
    ];
    let instances = states.map(|state| ListedInstance {
        name: "n-1".into(),
        address: "127.1.0.1:1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 4.0,
    });
    InstancePage {
        instances: instances.to_vec(),
        more: false,
    }
}

fn catalog() -> Catalog<'static> {
    let machine_type = MachineType {
        name: "m",
        vcpus: 1.0,
        accelerators: 2.0,
        ram_gb: 3.0,
        local_gb: 4.0,
        pull_gb_per_s: 5.0,
        hourly_price: 6.0,
        spot_hourly_price: 7.0,
        ready_s: 8.0,
        zones: vec!["a"],
    };
    Catalog {
        machine_types: vec![machine_type],
    }
}

#[test]
fn outgoing_messages_keep_their_wire_names() {
    let value: Arc<RawValue> = Arc::from(RawValue::from_string("7".into()).unwrap());
    let item = Item {
        key: "c/a".into(),
        value: value.clone(),
        mod_revision: 4,
    };
    let page = Page {
        items: vec![item],
        more: true,
        revision: 9,
    };
    let event = ChangeEvent {
        put: Some("c/a".into()),
        value: Some(value),
        remove: None,
        mod_revision: 4,
    };
    let watch = WatchAnswer {
        revision: 9,
        events: vec![event],
    };
    let conflict = ConflictAnswer {
        failed_keys: &["c/a".to_string()],
        revision: 9,
    };
    let names = vec!["n-1".to_string()];
    let messages = [
        json(&submission()),
        json(&heartbeat()),
        json(&instances()),
        json(&catalog()),
        json(&ProvisionAnswer { names }),
        json(&page),
        json(&watch),
        json(&conflict),
        json(&LeaseAnswer { lease: 5 }),
    ];
    assert_eq!(messages.concat(), include_str!("forms/sent.json"));
}

#[test]
fn incoming_messages_keep_their_wire_names() {
    let command = r#"{"verb":"halt","drop":"j-000001/1","try":2}"#;
    let answer = format!(r#"{{"fence":3,"orders":[{command}],"steward":"controller-1"}}"#);
    let answer: HeartbeatAnswer = serde_json::from_str(&answer).unwrap();
    assert_eq!(answer.fencing_token, Some(3));
    assert_eq!(answer.redirect_to.as_deref(), Some("controller-1"));
    assert_eq!(answer.commands[0].action, CommandAction::Stop);
    let direct = format!(r#"{{"fence":3,"tenure":1,"orders":[{command}]}}"#);
    let direct: DirectCommand = serde_json::from_str(&direct).unwrap();
    assert_eq!(
        (direct.fencing_token, direct.incarnation),
        (Some(3), Some(1))
    );
    assert_eq!(
        (direct.commands[0].task.index, direct.commands[0].attempt),
        (1, 2)
    );
    let status: JobStatusAnswer = serde_json::from_str(r#"{"standing":"aborted"}"#).unwrap();
    assert_eq!(status.status, JobStatus::Aborted);
    let request = r#"{"hire":"r-1","flavour":"m","yard":"a","reclaimable":true,"number":4}"#;
    let request: ProvisionRequest = serde_json::from_str(request).unwrap();
    assert_eq!((request.name.as_str(), request.count), ("r-1", 4));
    let lease: LeaseRequest = serde_json::from_str(r#"{"lifeMs":100}"#).unwrap();
    assert_eq!(lease.time_to_live_ms, 100);
    let transaction = r#"{"if":[{"k":"c/a","stamp":4}],"apply":[{"put":"c/a","v":1,"tenancy":5}]}"#;
    let transaction: Transaction = serde_json::from_str(transaction).unwrap();
    assert_eq!(transaction.conditions[0].mod_revision, 4);
    assert_eq!(transaction.changes[0].lease, Some(5));
}
