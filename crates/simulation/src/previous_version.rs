//! The shapes in which the version before format 2 stores records, copied as it had them. What a
//! controller of that version reads and writes goes through them: it passes over fields it does not know
//! and drops them when it writes a record anew.

use glenmount_core::controller::{Event, StateOperation, StateResponse};
use glenmount_core::state::formats::OLDEST;
use glenmount_core::state::{Key, Record};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
enum JobPhase {
    Open,
    Done,
    Cancelled,
}

#[derive(Serialize, Deserialize)]
enum JobKind {
    Array,
    Service,
}

#[derive(Serialize, Deserialize)]
enum JobPriority {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Default, Serialize, Deserialize)]
struct Resources {
    c: u64,
    #[serde(default)]
    g: u64,
    r: u64,
}

#[derive(Serialize, Deserialize)]
struct Spec {
    id: String,
    class: String,
    team: String,
    #[serde(rename = "shape")]
    kind: JobKind,
    #[serde(rename = "rank")]
    priority: JobPriority,
    tasks: u32,
    #[serde(rename = "need")]
    resources: Resources,
    image: String,
    image_gb: f64,
    #[serde(rename = "types")]
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    #[serde(rename = "together")]
    zone_affinity: bool,
    #[serde(rename = "scatter")]
    topology_spread: bool,
    spot: bool,
    estimate_s: f64,
    #[serde(rename = "checkpoint_s")]
    checkpoint_interval_s: f64,
    #[serde(rename = "save_s")]
    checkpoint_duration_s: f64,
    deadline_s: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct Job {
    phase: JobPhase,
    tasks: u32,
    chunk: u32,
    at: u64,
    #[serde(default)]
    ended: u64,
    spec: Option<Box<Spec>>,
}

#[derive(Serialize, Deserialize)]
struct Assignment {
    m: String,
    a: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    s: Option<(u64, u64)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    d: Option<(u64, u64)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    x: Option<String>,
}

#[derive(Serialize, Deserialize)]
enum Task {
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "b")]
    Assigned(Assignment),
}

#[derive(Serialize, Deserialize)]
struct Chunk {
    #[serde(default)]
    i: u32,
    t: Vec<Task>,
    #[serde(default)]
    o: String,
    #[serde(default)]
    u: Resources,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    f: Vec<String>,
    #[serde(default)]
    n: u32,
    #[serde(default)]
    p: u64,
}

#[derive(Serialize, Deserialize)]
struct Place {
    zones: BTreeMap<String, u32>,
}

#[derive(Serialize, Deserialize)]
enum MachinePhase {
    Booting,
    Up,
    Draining,
    #[serde(rename = "Returning")]
    Deprovisioning,
}

#[derive(Serialize, Deserialize)]
struct Machine {
    #[serde(rename = "type")]
    type_name: String,
    zone: String,
    spot: bool,
    phase: MachinePhase,
    at: u64,
    #[serde(default)]
    address: String,
    #[serde(default)]
    faults: Vec<String>,
    #[serde(default)]
    #[serde(rename = "raised")]
    token_offset: u64,
}

#[derive(Serialize, Deserialize)]
struct Team {
    cpus: u64,
    gpus: u64,
}

#[derive(Serialize, Deserialize)]
struct Hire {
    #[serde(rename = "type")]
    type_name: String,
    zone: String,
    spot: bool,
    count: u32,
    #[serde(rename = "node")]
    controller: String,
    at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hosts")]
    instances: Option<Vec<String>>,
}

#[derive(Serialize, Deserialize)]
struct Fleet {
    next: u64,
    #[serde(default)]
    refused: BTreeMap<String, u64>,
}

#[derive(Serialize, Deserialize)]
struct Term {
    term: u64,
}

#[derive(Serialize, Deserialize)]
struct Types {
    #[serde(rename = "types")]
    machine_types: Vec<Type>,
}

#[derive(Serialize, Deserialize)]
struct Type {
    name: String,
    room: Resources,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    price: f64,
    spot_price: f64,
    boot_s: f64,
    zones: Vec<String>,
}

fn through<T: Serialize + DeserializeOwned>(value: Value) -> Option<Value> {
    let old: T = serde_json::from_value(value).ok()?;
    serde_json::to_value(old).ok()
}

/// A value as that version reads it and would write it again; none for what it can't read.
pub fn value(key: &Key, value: Value) -> Option<Value> {
    match key {
        Key::Term => through::<Term>(value),
        Key::MachineTypes => through::<Types>(value),
        Key::Provisioning => through::<Fleet>(value),
        Key::Job(_) => through::<Job>(value),
        Key::Chunk(..) => through::<Chunk>(value),
        Key::ZoneSpread(_) => through::<Place>(value),
        Key::Machine(_) => through::<Machine>(value),
        Key::Team(_) => through::<Team>(value),
        Key::InstanceRequest(_) => through::<Hire>(value),
        // A kind of key that it does not know is none of its records.
        Key::Format(_)
        | Key::CancellationConfirmation
        | Key::RunTimes(_)
        | Key::Configuration
        | Key::ConfigurationPage(..)
        | Key::ConfigurationEnabled
        | Key::ObservedVersion(_) => None,
    }
}

/// A record as that version reads it and would write it again; none for what it cannot read.
pub fn record(key: &Key, record: &Record) -> Option<Record> {
    Record::from_value(key, value(key, record.value(OLDEST))?)
}

/// What a controller of the previous version makes of records.
pub(crate) fn event_as_read(event: Event) -> Event {
    match event {
        Event::WatchUpdate { revision, changes } => {
            let seen = |(key, mod_revision, record): (Key, u64, Option<Record>)| match record {
                Some(r) => Some((key.clone(), mod_revision, Some(self::record(&key, &r)?))),
                None => Some((key, mod_revision, None)),
            };
            let changes = changes.into_iter().filter_map(seen).collect();
            Event::WatchUpdate { revision, changes }
        }
        Event::State {
            operation_id: token,
            response:
                StateResponse::Listed {
                    items,
                    last,
                    more,
                    revision,
                },
        } => {
            let seen = |(key, mod_revision, r): (Key, u64, Record)| {
                let record = self::record(&key, &r)?;
                Some((key, mod_revision, record))
            };
            let answer = StateResponse::Listed {
                items: items.into_iter().filter_map(seen).collect(),
                last,
                more,
                revision,
            };
            Event::State {
                operation_id: token,
                response: answer,
            }
        }
        event => event,
    }
}

/// What a controller of the previous version sends: nothing of formats, and records in their old shape.
pub(crate) fn operation_as_written(op: StateOperation) -> Option<StateOperation> {
    let StateOperation::Transaction(mut transaction) = op else {
        return Some(op);
    };
    let format = |(key, _): &(Key, Option<Record>)| matches!(key, Key::Format(_));
    if transaction.changes.iter().any(format) {
        return None;
    }
    transaction
        .conditions
        .retain(|(key, _)| *key != Key::CancellationConfirmation);
    transaction.format = OLDEST;
    for (key, record) in &mut transaction.changes {
        if let Some(r) = record {
            *r = self::record(key, r).expect("what it writes is in its shape");
        }
    }
    Some(StateOperation::Transaction(transaction))
}
