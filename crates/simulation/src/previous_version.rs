//! Storage formats of the previous version, which supports only format 1. Records that a controller of that version
//! reads or writes are converted through these types: it ignores unknown fields, and drops them when it writes the
//! record again.
//!
//! The types are copies of that version's. They don't share code with the core's, so that they stay as they were when
//! the core's change.

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
    #[serde(rename = "c")]
    cpus: u64,
    #[serde(rename = "g", default)]
    gpus: u64,
    #[serde(rename = "r")]
    ram: u64,
}

#[derive(Serialize, Deserialize)]
struct JobSpec {
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
    #[serde(rename = "chunk")]
    tasks_per_chunk: u32,
    #[serde(rename = "at")]
    accepted_at: u64,
    #[serde(rename = "ended", default)]
    ended_at: u64,
    spec: Option<Box<JobSpec>>,
}

#[derive(Serialize, Deserialize)]
struct Assignment {
    #[serde(rename = "m")]
    machine: String,
    #[serde(rename = "a")]
    attempt: u64,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    reply_start: Option<(u64, u64)>,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    direct_start: Option<(u64, u64)>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    stop_reason: Option<String>,
}

#[derive(Serialize, Deserialize)]
enum TaskState {
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "b")]
    Assigned(Assignment),
}

#[derive(Serialize, Deserialize)]
struct Chunk {
    #[serde(rename = "i", default)]
    first: u32,
    #[serde(rename = "t")]
    tasks: Vec<TaskState>,
    #[serde(rename = "o", default)]
    team: String,
    #[serde(rename = "u", default)]
    resources: Resources,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed_on: Vec<String>,
    #[serde(rename = "n", default)]
    failure_count: u32,
    #[serde(rename = "p", default)]
    pause_until: u64,
}

#[derive(Serialize, Deserialize)]
struct ZoneSpread {
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
    #[serde(rename = "at")]
    created_at: u64,
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
struct InstanceRequest {
    #[serde(rename = "type")]
    type_name: String,
    zone: String,
    spot: bool,
    count: u32,
    #[serde(rename = "node")]
    controller: String,
    #[serde(rename = "at")]
    created_at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hosts")]
    instances: Option<Vec<String>>,
}

#[derive(Serialize, Deserialize)]
struct Provisioning {
    #[serde(rename = "next")]
    next_request_number: u64,
    #[serde(default)]
    refused: BTreeMap<String, u64>,
}

#[derive(Serialize, Deserialize)]
struct Term {
    term: u64,
}

#[derive(Serialize, Deserialize)]
struct MachineTypes {
    #[serde(rename = "types")]
    machine_types: Vec<MachineType>,
}

#[derive(Serialize, Deserialize)]
struct MachineType {
    name: String,
    #[serde(rename = "room")]
    capacity: Resources,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    price: f64,
    spot_price: f64,
    boot_s: f64,
    zones: Vec<String>,
}

/// Converts a value through a type of the previous version. Returns `None` if that version can't read it.
fn through<T: Serialize + DeserializeOwned>(value: Value) -> Option<Value> {
    let record: T = serde_json::from_value(value).ok()?;
    serde_json::to_value(record).ok()
}

/// Returns a value as the previous version reads it and writes it again, or `None` if that version can't read it.
pub fn value(key: &Key, value: Value) -> Option<Value> {
    match key {
        Key::Term => through::<Term>(value),
        Key::MachineTypes => through::<MachineTypes>(value),
        Key::Provisioning => through::<Provisioning>(value),
        Key::Job(_) => through::<Job>(value),
        Key::Chunk(..) => through::<Chunk>(value),
        Key::ZoneSpread(_) => through::<ZoneSpread>(value),
        Key::Machine(_) => through::<Machine>(value),
        Key::Team(_) => through::<Team>(value),
        Key::InstanceRequest(_) => through::<InstanceRequest>(value),
        // The previous version does not know these keys.
        Key::Format(_)
        | Key::CancellationConfirmation
        | Key::RunTimes(_)
        | Key::Configuration
        | Key::ConfigurationPage(..)
        | Key::ConfigurationEnabled
        | Key::ObservedVersion(_) => None,
    }
}

/// Returns a record as the previous version reads it and writes it again, or `None` if that version can't read it.
pub fn record(key: &Key, record: &Record) -> Option<Record> {
    Record::from_value(key, value(key, record.value(OLDEST))?)
}

/// Returns an event as a controller of the previous version reads it, without the records that it can't read.
pub(crate) fn event_as_read(event: Event) -> Event {
    match event {
        Event::WatchUpdate { revision, changes } => {
            let read = |(key, mod_revision, record): (Key, u64, Option<Record>)| match record {
                Some(record) => Some((
                    key.clone(),
                    mod_revision,
                    Some(self::record(&key, &record)?),
                )),
                None => Some((key, mod_revision, None)),
            };
            let changes = changes.into_iter().filter_map(read).collect();
            Event::WatchUpdate { revision, changes }
        }
        Event::State {
            operation_id,
            response:
                StateResponse::Listed {
                    items,
                    last,
                    more,
                    revision,
                },
        } => {
            let read = |(key, mod_revision, record): (Key, u64, Record)| {
                let record = self::record(&key, &record)?;
                Some((key, mod_revision, record))
            };
            let response = StateResponse::Listed {
                items: items.into_iter().filter_map(read).collect(),
                last,
                more,
                revision,
            };
            Event::State {
                operation_id,
                response,
            }
        }
        event => event,
    }
}

/// Returns an operation as a controller of the previous version sends it, with records in its format, or `None` if
/// the operation writes the supported format, which that version does not do.
pub(crate) fn operation_as_written(operation: StateOperation) -> Option<StateOperation> {
    let StateOperation::Transaction(mut transaction) = operation else {
        return Some(operation);
    };
    let writes_format = |(key, _): &(Key, Option<Record>)| matches!(key, Key::Format(_));
    if transaction.changes.iter().any(writes_format) {
        return None;
    }
    transaction
        .conditions
        .retain(|(key, _)| *key != Key::CancellationConfirmation);
    transaction.format = OLDEST;
    for (key, record) in &mut transaction.changes {
        if let Some(record) = record {
            *record = self::record(key, record).expect("a record in the previous format");
        }
    }
    Some(StateOperation::Transaction(transaction))
}
