//! Records that the store holds before a run begins.

use crate::protocol::state_store::Value;
use glenmount_core::state::formats::LATEST;
use glenmount_core::state::{JobPhase, JobRecord, Key, Record};
use serde_json::value::RawValue;
use std::sync::Arc;

/// Acceptance time (Unix time) and run time of preloaded jobs.
const ACCEPTED_AT_UNIX_MS: u64 = 1_700_000_000_000;
const RUN_TIME_MS: u64 = 60_000;
/// Upper bound of the tasks of a preloaded job, and the tasks per chunk record.
const MAX_TASKS: u32 = 700;
const CHUNK_TASKS: u32 = 100;

/// Returns key and value of the record of an ended job in the format that controllers write.
pub fn ended_job(index: u32) -> (String, Value) {
    let id = format!("j-8{index:07}");
    let accepted_ms = ACCEPTED_AT_UNIX_MS + u64::from(index);
    let record = Record::Job(JobRecord {
        phase: JobPhase::Done,
        tasks: 1 + index % MAX_TASKS,
        tasks_per_chunk: CHUNK_TASKS,
        accepted_at: accepted_ms,
        ended_at: accepted_ms + RUN_TIME_MS,
        spec: None,
    });
    let text = record.value(LATEST).to_string();
    let value = RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned());
    (Key::Job(id).path(), Arc::from(value))
}
