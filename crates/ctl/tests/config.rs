//! `glenmountctl config` against a state store in memory: changes, rejections, conflicts, lost responses.

use glenmount_core::configuration::{
    ConfigurationEnabledRecord, ObservedVersionRecord, PolicySettings,
};
use glenmount_core::model::{JobKind, JobPriority, JobSpec, Resources};
use glenmount_core::state::formats::{FormatRecord, LATEST};
use glenmount_core::state::{Assignment, ChunkRecord, JobPhase, JobRecord, Key, Record, TaskState};
use glenmountctl::config::{
    self, ConfigFailure, ConfigurationChange, ConfigurationFile, ConfigurationStore, FileLimits,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A state store in memory, with faults for the next transactions.
#[derive(Default)]
struct FakeStateStore {
    revision: u64,
    items: BTreeMap<String, (Value, u64)>,
    /// Number of next transactions that take effect without a response.
    unanswered_transactions: u32,
    /// Items written just before the next transaction, as by a concurrent client.
    concurrent_writes: Vec<(String, Value)>,
    transactions: u32,
}

impl FakeStateStore {
    fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.items.insert(key.to_string(), (value, self.revision));
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        self.transactions += 1;
        for (key, value) in std::mem::take(&mut self.concurrent_writes) {
            self.put(&key, value);
        }
        let revision = |key: &Value| {
            let item = self.items.get(key.as_str().unwrap());
            item.map_or(0, |(_, revision)| *revision)
        };
        let conditions = body["if"].as_array().unwrap();
        if conditions
            .iter()
            .any(|c| revision(&c["k"]) != c["stamp"].as_u64().unwrap())
        {
            return (409, json!({"failed": [], "epoch": self.revision}));
        }
        self.revision += 1;
        for change in body["apply"].as_array().unwrap() {
            match change["put"].as_str() {
                Some(key) => {
                    let row = (change["v"].clone(), self.revision);
                    self.items.insert(key.to_string(), row);
                }
                None => {
                    self.items.remove(change["remove"].as_str().unwrap());
                }
            }
        }
        (200, json!({"epoch": self.revision}))
    }

    fn get(&self, path: &str) -> (u16, Value) {
        let item = |(key, (value, revision)): (&String, &(Value, u64))| json!({"k": key, "v": value, "stamp": revision});
        if let Some(query) = path.strip_prefix("/keys?under=") {
            let prefix = query.split('&').next().unwrap();
            let under = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
            let items: Vec<Value> = under.map(item).collect();
            return (
                200,
                json!({"items": items, "more": false, "epoch": self.revision}),
            );
        }
        let key = path.trim_start_matches("/keys/").to_string();
        match self.items.get_key_value(&key) {
            Some(found) => (200, item(found)),
            None => (404, json!({"epoch": self.revision})),
        }
    }
}

fn answer(stream: TcpStream, state_store: &Mutex<FakeStateStore>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut request_line = String::new();
    reader.read_line(&mut request_line).unwrap();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let path = request_line.split(' ').nth(1).unwrap_or("");
    let mut state_store = state_store.lock().unwrap();
    let (status, body) = match path {
        "/txn" => {
            let response = state_store.transact(&serde_json::from_slice(&body).unwrap());
            if state_store.unanswered_transactions > 0 {
                state_store.unanswered_transactions -= 1;
                return;
            }
            response
        }
        path => state_store.get(path),
    };
    let body = body.to_string();
    let mut stream = stream;
    let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
    let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
}

/// Starts a state store of a site whose two controllers read configurations.
fn start_state_store() -> (ConfigurationStore, Arc<Mutex<FakeStateStore>>) {
    let state_store = Arc::new(Mutex::new(FakeStateStore::default()));
    for controller in ["a-0", "a-1"] {
        let record = Record::Format(FormatRecord { version: LATEST });
        put(&state_store, &Key::Format(controller.into()), &record);
    }
    let record = Record::ConfigurationEnabled(ConfigurationEnabledRecord { version: LATEST });
    put(&state_store, &Key::ConfigurationEnabled, &record);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = ConfigurationStore::new(&listener.local_addr().unwrap().to_string());
    let shared = state_store.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            answer(stream, &shared);
        }
    });
    (store, state_store)
}

fn put(state_store: &Mutex<FakeStateStore>, key: &Key, record: &Record) {
    state_store
        .lock()
        .unwrap()
        .put(&key.path(), record.value(LATEST));
}

fn settings(text: &str) -> PolicySettings {
    ConfigurationFile::parse(text).unwrap().policy
}

const FIRST: &str = r#"
    member = "a-0"
    [[settings.teams]]
    name = "red"
    cpus = 2.0
    cpus_max = 8.0
    [[settings.teams]]
    name = "blue"
    [[settings.objectives]]
    kind = "wait"
    class = "router"
    within_s = 1.0
"#;

fn apply(store: &ConfigurationStore, settings: &PolicySettings) -> Result<u64, ConfigFailure> {
    apply_if(store, settings, None)
}

fn apply_if(
    store: &ConfigurationStore,
    settings: &PolicySettings,
    expected_version: Option<u64>,
) -> Result<u64, ConfigFailure> {
    let change = ConfigurationChange {
        settings,
        limits: FileLimits::default(),
        expected_version,
        note: "why",
    };
    config::apply(store, &change).map(|applied| applied.version)
}

fn job(id: &str, team: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: team.into(),
        kind,
        priority: JobPriority::Normal,
        tasks,
        resources: Resources {
            cpus: 2_000,
            gpus: 0,
            ram: 1_000,
            ..Resources::default()
        },
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        topology_spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn open_job_record(spec: &JobSpec) -> Record {
    Record::Job(JobRecord {
        phase: JobPhase::Open,
        tasks: spec.tasks,
        tasks_per_chunk: 100,
        accepted_at: 1,
        ended_at: 0,
        spec: Some(Box::new(spec.clone())),
    })
}

#[test]
fn a_configuration_is_applied_compared_and_rolled_back() {
    let (store, _) = start_state_store();
    assert!(store.current().unwrap().is_none());
    let first = settings(FIRST);
    assert_eq!(apply(&store, &first), Ok(1));
    let second = settings(&FIRST.replace("cpus_max = 8.0", "cpus_max = 6.0"));
    let differences = config::differences(&first, &second);
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].field, "settings.teams.red");
    assert_eq!(apply_if(&store, &second, Some(1)), Ok(2));
    let current = store.current().unwrap().unwrap();
    assert_eq!((current.record.version, current.settings), (2, second));
    let back = config::rollback(&store, 1, FileLimits::default()).unwrap();
    assert_eq!(back.version, 3);
    let current = store.current().unwrap().unwrap();
    assert_eq!(current.settings, first);
    let history = config::version_history(&current.record);
    let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
    assert_eq!(
        (versions, history[0].note.as_str()),
        (vec![3, 2, 1], "back to 1")
    );
    let unknown = config::rollback(&store, 9, FileLimits::default());
    assert_eq!(unknown.unwrap_err().status(), 2);
}

#[test]
fn one_of_two_concurrent_changes_conflicts() {
    let (store, state_store) = start_state_store();
    let first = settings(FIRST);
    assert_eq!(apply(&store, &first), Ok(1));
    let expected = apply_if(&store, &first, Some(4)).unwrap_err();
    assert_eq!(expected.status(), 3);
    let current = state_store.lock().unwrap().items[&Key::Configuration.path()]
        .0
        .clone();
    let record = (Key::Configuration.path(), current);
    state_store.lock().unwrap().concurrent_writes.push(record);
    let second = settings(&FIRST.replace("cpus_max = 8.0", "cpus_max = 9.0"));
    let lost = apply(&store, &second).unwrap_err();
    assert_eq!(lost.status(), 3, "{lost:?}");
}

#[test]
fn a_transaction_without_response_is_checked_before_a_retry() {
    let (store, state_store) = start_state_store();
    state_store.lock().unwrap().unanswered_transactions = 1;
    assert_eq!(apply(&store, &settings(FIRST)), Ok(1));
    assert_eq!(state_store.lock().unwrap().transactions, 1);
}

#[test]
fn accepted_jobs_keep_their_team_and_a_sufficient_limit() {
    let (store, state_store) = start_state_store();
    assert_eq!(apply(&store, &settings(FIRST)), Ok(1));
    let spec = job("j-1", "red", JobKind::Service, 3);
    put(
        &state_store,
        &Key::Job("j-1".into()),
        &open_job_record(&spec),
    );
    let lower = settings(&FIRST.replace("cpus_max = 8.0", "cpus_max = 4.0"));
    let refused = apply(&store, &lower).unwrap_err();
    assert_eq!(refused.status(), 2);
    assert!(
        refused
            .to_string()
            .starts_with("settings.teams.red.cpus_max: "),
        "{refused:?}"
    );
    let mut without = settings(FIRST);
    without.teams.retain(|team| team.name != "red");
    let refused = apply(&store, &without).unwrap_err();
    assert!(refused.to_string().contains("j-1"), "{refused:?}");
    // The job is accepted between the check and the change, so its team is restored.
    let late = job("j-2", "blue", JobKind::Array, 1);
    let row = (
        Key::Job("j-2".into()).path(),
        open_job_record(&late).value(LATEST),
    );
    state_store.lock().unwrap().concurrent_writes.push(row);
    let mut without = settings(FIRST);
    without.teams.retain(|team| team.name != "blue");
    let conflict = apply(&store, &without).unwrap_err();
    assert_eq!(conflict.status(), 3, "{conflict:?}");
    let current = store.current().unwrap().unwrap();
    assert!(current
        .settings
        .teams
        .iter()
        .any(|team| team.name == "blue"));
    assert_eq!(current.record.version, 3);
}

#[test]
fn a_dry_run_lists_the_tasks_that_would_be_stopped() {
    let (store, state_store) = start_state_store();
    assert_eq!(apply(&store, &settings(FIRST)), Ok(1));
    let spec = job("j-1", "red", JobKind::Array, 3);
    put(
        &state_store,
        &Key::Job("j-1".into()),
        &open_job_record(&spec),
    );
    let assigned = |attempt| {
        TaskState::Assigned(Assignment {
            machine: "n-1".into(),
            attempt,
            reply_start: None,
            direct_start: None,
            stop_reason: None,
        })
    };
    let chunk = ChunkRecord {
        tasks: vec![assigned(5), assigned(6), assigned(7)],
        team: "red".into(),
        resources: spec.resources,
        ..ChunkRecord::default()
    };
    put(
        &state_store,
        &Key::Chunk("j-1".into(), 0),
        &Record::Chunk(chunk),
    );
    let lower = settings(&FIRST.replace("cpus_max = 8.0", "cpus_max = 4.0"));
    let effects = config::quota_effects(&store, &lower).unwrap();
    assert_eq!(effects.len(), 1);
    assert_eq!(
        (effects[0].cpus, effects[0].stopped.as_slice()),
        (6.0, &["j-1/2".to_string()][..])
    );
    assert_eq!(state_store.lock().unwrap().transactions, 1);
}

#[test]
fn a_timed_out_wait_names_the_outdated_controllers() {
    let (store, state_store) = start_state_store();
    assert_eq!(apply(&store, &settings(FIRST)), Ok(1));
    let observed = Record::ObservedVersion(ObservedVersionRecord { version: 1 });
    put(&state_store, &Key::ObservedVersion("a-0".into()), &observed);
    let late = config::wait_for_rollout(&store, 1, Duration::from_millis(150)).unwrap_err();
    assert_eq!(late.status(), 4);
    assert!(late.to_string().ends_with("by: a-1"), "{late:?}");
    put(&state_store, &Key::ObservedVersion("a-1".into()), &observed);
    let rollout = config::wait_for_rollout(&store, 1, Duration::from_secs(5)).unwrap();
    assert_eq!(rollout.up_to_date, ["a-0", "a-1"]);
}

#[test]
fn no_change_during_an_upgrade_or_with_a_damaged_record() {
    let (store, state_store) = start_state_store();
    state_store
        .lock()
        .unwrap()
        .items
        .remove(&Key::ConfigurationEnabled.path());
    let refused = apply(&store, &settings(FIRST)).unwrap_err();
    assert_eq!(refused.status(), 2);
    assert!(refused.to_string().contains("upgrade"), "{refused:?}");
    let damaged = [
        json!({"f": 9, "v": 1, "p": 0, "t": 0, "o": 0, "a": 1}),
        json!("x"),
    ];
    for value in damaged {
        state_store
            .lock()
            .unwrap()
            .put(&Key::Configuration.path(), value);
        assert_eq!(store.current().unwrap_err().status(), 1);
    }
    assert_eq!(state_store.lock().unwrap().transactions, 0);
}

#[test]
fn invalid_files_are_rejected_with_the_field() {
    for (text, field) in [
        ("", "settings"),
        ("[settings]\nteams = 3", "teams"),
        (
            "[settings]\nteams = []\n[settings.state]\nvalue_kb = 0.1",
            "value_kb",
        ),
        (
            "[settings]\nteams = []\n[settings.state]\ntxn_ops = 0",
            "txn_ops",
        ),
        ("[settings]\nteams = [{ cpus = 1.0 }]", "name"),
        ("[settings", "settings"),
    ] {
        let message = ConfigurationFile::parse(text).unwrap_err().to_string();
        assert!(
            message.contains(field) && !message.contains('\n'),
            "{message}"
        );
    }
    let next = "[settings]\nteams = []\n[settings.state]\nvalue_kb = 16.0\ntxn_ops = 40\n\
                next = { value_kb = 2.0, txn_ops = 5 }";
    let limits = ConfigurationFile::parse(next).unwrap().limits;
    assert_eq!((limits.value_kb, limits.max_transaction_changes), (2.0, 5));
}
