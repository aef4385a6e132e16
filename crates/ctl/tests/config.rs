//! `glenmountctl config` against a state service in memory: changes, refusals, conflicts, lost answers.

use glenmount_core::configuration::{
    ConfigurationEnabledRecord, ObservedVersionRecord, PolicySettings,
};
use glenmount_core::model::{JobKind, JobPriority, JobSpec, Resources};
use glenmount_core::state::formats::{FormatRecord, LATEST};
use glenmount_core::state::{Assignment, ChunkRecord, JobPhase, JobRecord, Key, Record, TaskState};
use glenmountctl::config::{self, Change, ConfigFailure, ConfigurationFile, FileLimits, Records};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Keys with their values and revisions, and what goes wrong with the next transactions.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, (Value, u64)>,
    /// So many transactions take effect without an answer.
    unanswered: u32,
    /// Put on record just before the next transaction, as if somebody else had been first.
    meanwhile: Vec<(String, Value)>,
    transactions: u32,
}

impl Store {
    fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.items.insert(key.to_string(), (value, self.revision));
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        self.transactions += 1;
        for (key, value) in std::mem::take(&mut self.meanwhile) {
            self.put(&key, value);
        }
        let mod_revision = |key: &Value| {
            let item = self.items.get(key.as_str().unwrap());
            item.map_or(0, |(_, mod_revision)| *mod_revision)
        };
        let conditions = body["if"].as_array().unwrap();
        if conditions
            .iter()
            .any(|c| mod_revision(&c["k"]) != c["stamp"].as_u64().unwrap())
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
        let item = |(key, (value, mod_revision)): (&String, &(Value, u64))| json!({"k": key, "v": value, "stamp": mod_revision});
        if let Some(words) = path.strip_prefix("/keys?under=") {
            let under = words.split('&').next().unwrap();
            let under = self.items.iter().filter(|(key, _)| key.starts_with(under));
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

fn answer(stream: TcpStream, store: &Mutex<Store>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
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
    let path = first.split(' ').nth(1).unwrap_or("");
    let mut store = store.lock().unwrap();
    let (status, body) = match path {
        "/txn" => {
            let told = store.transact(&serde_json::from_slice(&body).unwrap());
            if store.unanswered > 0 {
                store.unanswered -= 1;
                return;
            }
            told
        }
        path => store.get(path),
    };
    let body = body.to_string();
    let mut stream = stream;
    let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n");
    let _ = write!(stream, "{head}content-length: {}\r\n\r\n{body}", body.len());
}

/// A state service of a site whose two controllers read configurations.
fn service() -> (Records, Arc<Mutex<Store>>) {
    let store = Arc::new(Mutex::new(Store::default()));
    for controller in ["a-0", "a-1"] {
        let record = Record::Format(FormatRecord { version: LATEST });
        put(&store, &Key::Format(controller.into()), &record);
    }
    let record = Record::ConfigurationEnabled(ConfigurationEnabledRecord { version: LATEST });
    put(&store, &Key::ConfigurationEnabled, &record);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let records = Records::new(&listener.local_addr().unwrap().to_string());
    let served = store.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            answer(stream, &served);
        }
    });
    (records, store)
}

fn put(store: &Mutex<Store>, key: &Key, record: &Record) {
    store.lock().unwrap().put(&key.path(), record.value(LATEST));
}

fn file(text: &str) -> PolicySettings {
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

fn apply(records: &Records, settings: &PolicySettings) -> Result<u64, ConfigFailure> {
    apply_if(records, settings, None)
}

fn apply_if(
    records: &Records,
    settings: &PolicySettings,
    expect: Option<u64>,
) -> Result<u64, ConfigFailure> {
    let change = Change {
        settings,
        limits: FileLimits::default(),
        expect,
        note: "why",
    };
    config::apply(records, &change).map(|applied| applied.version)
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

fn accepted(spec: &JobSpec) -> Record {
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
fn a_change_is_put_on_record_shown_told_apart_and_gone_back_from() {
    let (records, _) = service();
    assert!(records.current().unwrap().is_none());
    let first = file(FIRST);
    assert_eq!(apply(&records, &first), Ok(1));
    let second = file(&FIRST.replace("cpus_max = 8.0", "cpus_max = 6.0"));
    let differences = config::differences(&first, &second);
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].field, "settings.teams.red");
    assert_eq!(apply_if(&records, &second, Some(1)), Ok(2));
    let current = records.current().unwrap().unwrap();
    assert_eq!((current.record.version, current.settings), (2, second));
    let back = config::rollback(&records, 1, FileLimits::default()).unwrap();
    assert_eq!(back.version, 3);
    let current = records.current().unwrap().unwrap();
    assert_eq!(current.settings, first);
    let history = config::history(&current.record);
    let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
    assert_eq!(
        (versions, history[0].note.as_str()),
        (vec![3, 2, 1], "back to 1")
    );
    let unknown = config::rollback(&records, 9, FileLimits::default());
    assert_eq!(unknown.unwrap_err().status(), 2);
}

#[test]
fn of_two_changes_one_wins_and_the_other_is_told() {
    let (records, store) = service();
    let first = file(FIRST);
    assert_eq!(apply(&records, &first), Ok(1));
    let expected = apply_if(&records, &first, Some(4)).unwrap_err();
    assert_eq!(expected.status(), 3);
    let current = store.lock().unwrap().items[&Key::Configuration.path()]
        .0
        .clone();
    let record = (Key::Configuration.path(), current);
    store.lock().unwrap().meanwhile.push(record);
    let second = file(&FIRST.replace("cpus_max = 8.0", "cpus_max = 9.0"));
    let lost = apply(&records, &second).unwrap_err();
    assert_eq!(lost.status(), 3, "{lost:?}");
}

#[test]
fn a_lost_answer_is_looked_up() {
    let (records, store) = service();
    store.lock().unwrap().unanswered = 1;
    assert_eq!(apply(&records, &file(FIRST)), Ok(1));
    assert_eq!(store.lock().unwrap().transactions, 1);
}

#[test]
fn jobs_that_were_accepted_keep_their_teams_and_their_room() {
    let (records, store) = service();
    assert_eq!(apply(&records, &file(FIRST)), Ok(1));
    let spec = job("j-1", "red", JobKind::Service, 3);
    put(&store, &Key::Job("j-1".into()), &accepted(&spec));
    let lower = file(&FIRST.replace("cpus_max = 8.0", "cpus_max = 4.0"));
    let refused = apply(&records, &lower).unwrap_err();
    assert_eq!(refused.status(), 2);
    assert!(
        refused
            .to_string()
            .starts_with("settings.teams.red.cpus_max: "),
        "{refused:?}"
    );
    let mut without = file(FIRST);
    without.teams.retain(|team| team.name != "red");
    let refused = apply(&records, &without).unwrap_err();
    assert!(refused.to_string().contains("j-1"), "{refused:?}");
    // Accepted between the look and the change: its team is put back.
    let late = job("j-2", "blue", JobKind::Array, 1);
    let row = (Key::Job("j-2".into()).path(), accepted(&late).value(LATEST));
    store.lock().unwrap().meanwhile.push(row);
    let mut without = file(FIRST);
    without.teams.retain(|team| team.name != "blue");
    let conflict = apply(&records, &without).unwrap_err();
    assert_eq!(conflict.status(), 3, "{conflict:?}");
    let current = records.current().unwrap().unwrap();
    assert!(current
        .settings
        .teams
        .iter()
        .any(|team| team.name == "blue"));
    assert_eq!(current.record.version, 3);
}

#[test]
fn a_dry_run_names_what_would_be_stopped() {
    let (records, store) = service();
    assert_eq!(apply(&records, &file(FIRST)), Ok(1));
    let spec = job("j-1", "red", JobKind::Array, 3);
    put(&store, &Key::Job("j-1".into()), &accepted(&spec));
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
    put(&store, &Key::Chunk("j-1".into(), 0), &Record::Chunk(chunk));
    let lower = file(&FIRST.replace("cpus_max = 8.0", "cpus_max = 4.0"));
    let effects = config::effects(&records, &lower).unwrap();
    assert_eq!(effects.len(), 1);
    assert_eq!(
        (effects[0].cpus, effects[0].stopped.as_slice()),
        (6.0, &["j-1/2".to_string()][..])
    );
    assert_eq!(store.lock().unwrap().transactions, 1);
}

#[test]
fn waiting_names_those_that_do_not_follow() {
    let (records, store) = service();
    assert_eq!(apply(&records, &file(FIRST)), Ok(1));
    let follows = Record::ObservedVersion(ObservedVersionRecord { version: 1 });
    put(&store, &Key::ObservedVersion("a-0".into()), &follows);
    let late = config::wait(&records, 1, Duration::from_millis(150)).unwrap_err();
    assert_eq!(late.status(), 4);
    assert!(late.to_string().ends_with("by: a-1"), "{late:?}");
    put(&store, &Key::ObservedVersion("a-1".into()), &follows);
    let followers = config::wait(&records, 1, Duration::from_secs(5)).unwrap();
    assert_eq!(followers.follow, ["a-0", "a-1"]);
}

#[test]
fn a_site_that_is_being_upgraded_or_damaged_is_left_alone() {
    let (records, store) = service();
    store
        .lock()
        .unwrap()
        .items
        .remove(&Key::ConfigurationEnabled.path());
    let refused = apply(&records, &file(FIRST)).unwrap_err();
    assert_eq!(refused.status(), 2);
    assert!(refused.to_string().contains("upgrade"), "{refused:?}");
    let damaged = [
        json!({"f": 9, "v": 1, "p": 0, "t": 0, "o": 0, "a": 1}),
        json!("x"),
    ];
    for value in damaged {
        store.lock().unwrap().put(&Key::Configuration.path(), value);
        assert_eq!(records.current().unwrap_err().status(), 1);
    }
    assert_eq!(store.lock().unwrap().transactions, 0);
}

#[test]
fn files_that_make_no_sense_are_refused_by_the_field() {
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
        let said = ConfigurationFile::parse(text).unwrap_err().to_string();
        assert!(said.contains(field) && !said.contains('\n'), "{said}");
    }
    let next = "[settings]\nteams = []\n[settings.state]\nvalue_kb = 16.0\ntxn_ops = 40\n\
                next = { value_kb = 2.0, txn_ops = 5 }";
    let limits = ConfigurationFile::parse(next).unwrap().limits;
    assert_eq!((limits.value_kb, limits.max_transaction_changes), (2.0, 5));
}
