//! Records that are in the store before a run begins.

use crate::protocol::state_store::Value;
use glenmount_core::state::formats::LATEST;
use glenmount_core::state::{JobPhase, JobRecord, Key, Record};
use serde_json::value::RawValue;
use std::sync::Arc;

/// Time of day at which preloaded jobs were accepted, and how long they ran.
const ACCEPTED_AT_MS: u64 = 1_700_000_000_000;
const RAN_FOR_MS: u64 = 60_000;
/// Preloaded jobs have up to this many tasks, in chunks of this many.
const MAX_TASKS: u32 = 700;
const CHUNK_TASKS: u32 = 100;

/// Key and value of the record of a job that ended long ago, as controllers write it.
pub fn ended_job(index: u32) -> (String, Value) {
    let id = format!("j-8{index:07}");
    let accepted_ms = ACCEPTED_AT_MS + u64::from(index);
    let record = Record::Job(JobRecord {
        phase: JobPhase::Done,
        tasks: 1 + index % MAX_TASKS,
        tasks_per_chunk: CHUNK_TASKS,
        accepted_at: accepted_ms,
        ended_at: accepted_ms + RAN_FOR_MS,
        spec: None,
    });
    let text = record.value(LATEST).to_string();
    let value = RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned());
    (Key::Job(id).path(), Arc::from(value))
}
