//! Versions of the storage format, which allow controllers of two program versions to work on the
//! same stored data.
//!
//! Each controller records the latest format that it reads under `g/format/NODE`. Controllers write
//! data that an older version can't read, or would drop when it rewrites a record, only in a format
//! that every controller named in the settings has recorded. Heartbeats, or missing heartbeats,
//! prove nothing here: a controller that stops before its upgrade restarts with the old version.
//! Controllers are never downgraded, so the common format never decreases.
//!
//! | format | introduced | when support for the replaced form may be removed |
//! |---|---|---|
//! | 1 | all records as JSON objects | when no site has chunks from before format 2; a chunk is removed with its job's last assignment, so this is a day after an upgrade |
//! | 2 | compact chunks; jobs with dependencies | |
//! | 3 | cancellations are confirmed when all tasks have ended (`g/settled`); records as in 2 | |
//! | 4 | stored configurations (`g/configurable`); team records in a form that earlier versions can't read | |
//!
//! A compact chunk stores its tasks as words: `=N` stands for N pending tasks, `+N` for N done
//! tasks, and `MACHINE:ATTEMPT[:START][!STOP][*N]` for an assignment. MACHINE is the machine's name
//! without the common prefix of all names in the chunk. ATTEMPT is the difference to the lowest
//! attempt, in base 36. START is omitted if it is the most frequent one of the chunk; otherwise it
//! is `n` for none, `sINCARNATION.SEQUENCE` for the reply to a heartbeat, or `dINCARNATION.TOKEN`
//! for a direct command. STOP is the index of a stop reason. `*N` means that N consecutive tasks have this word.
//! A task takes about 8 bytes instead of about 45, so a hundred of them fit into 2 KiB.

use crate::constants::{
    ASSIGNMENT_BYTES, ASSIGNMENT_EDIT_BYTES, CHUNK_BASE_BYTES, CHUNK_MAX_TASKS, CHUNK_TASK_BYTES,
    COMPACT_ASSIGNMENT_BYTES, COMPACT_TASK_BYTES, JOB_MAX_TASKS, VALUE_MARGIN_BYTES,
};
use crate::model::{Resources, WallMs};
use crate::state::StartDelivery;
use crate::state::{escape, unescape, Assignment, ChunkRecord, Record, TaskState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The format of versions that don't record one.
pub const OLDEST: u32 = 1;
/// The first format with compact chunks and jobs with dependencies.
pub const COMPACT_CHUNKS_AND_DEPENDENCIES: u32 = 2;
/// The first format in which cancellations are confirmed when all tasks have ended.
pub const CONFIRMED_CANCELLATION: u32 = 3;
/// The first format with stored configurations.
pub const STORED_CONFIGURATION: u32 = 4;
/// The latest format that this program version reads and writes.
pub const LATEST: u32 = STORED_CONFIGURATION;

/// The latest format that a controller reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    #[serde(rename = "v")]
    pub version: u32,
}

/// The stored form of a [`ChunkRecord`] from format 2 on.
#[derive(Serialize, Deserialize)]
pub(crate) struct CompactChunk {
    #[serde(rename = "i", default)]
    first: u32,
    /// The tasks as words, separated by spaces.
    #[serde(rename = "z")]
    task_words: String,
    /// Common prefix of the escaped names of all machines in the chunk.
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    machine_prefix: String,
    /// The lowest attempt.
    #[serde(rename = "a", default)]
    lowest_attempt: u64,
    /// The most frequent start delivery, as a word.
    #[serde(rename = "s", default, skip_serializing_if = "String::is_empty")]
    common_delivery: String,
    /// Distinct stop reasons, in order.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    stop_reasons: Vec<String>,
    #[serde(rename = "o", default)]
    team: String,
    #[serde(rename = "u", default)]
    resources: Resources,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed_on: Vec<String>,
    #[serde(rename = "n", default)]
    failure_count: u32,
    #[serde(rename = "p", default)]
    pause_until: WallMs,
}

/// Encodes a start delivery as a word: `n` for none, else `s` and the position of the heartbeat, `d`
/// and the pair of numbers of the direct command, or both in this order.
fn delivery_word(delivery: StartDelivery) -> String {
    let part = |kind: char, numbers: Option<(u64, u64)>| {
        numbers.map_or(String::new(), |(a, b)| format!("{kind}{a}.{b}"))
    };
    match (delivery.reply, delivery.direct) {
        (None, None) => "n".into(),
        (reply, direct) => part('s', reply.map(Into::into)) + &part('d', direct.map(Into::into)),
    }
}

/// Parses the word of a start delivery; returns none if the word is invalid.
fn parse_delivery(word: &str) -> Option<StartDelivery> {
    if word == "n" {
        return Some(StartDelivery::default());
    }
    let parse_pair = |text: &str| -> Option<(u64, u64)> {
        let (first, second) = text.split_once('.')?;
        Some((first.parse().ok()?, second.parse().ok()?))
    };
    let (reply, direct) = match word.split_once('d') {
        Some((reply, direct)) => (reply, Some(parse_pair(direct)?.into())),
        None => (word, None),
    };
    let reply = match reply.strip_prefix('s') {
        Some(reply) => Some(parse_pair(reply)?.into()),
        None if reply.is_empty() && direct.is_some() => None,
        None => return None,
    };
    Some(StartDelivery { reply, direct })
}

fn base36(mut number: u64) -> String {
    let mut digits = Vec::new();
    loop {
        digits.push(char::from_digit((number % 36) as u32, 36).unwrap_or('0'));
        number /= 36;
        if number == 0 {
            return digits.iter().rev().collect();
        }
    }
}

/// Returns the longest common prefix of the names.
fn common_prefix<'a>(mut names: impl Iterator<Item = &'a str>) -> &'a str {
    let Some(mut prefix) = names.next() else {
        return "";
    };
    for name in names {
        let byte_pairs = prefix.bytes().zip(name.bytes());
        let common_bytes = byte_pairs.take_while(|(a, b)| a == b).count();
        prefix = &prefix[..common_bytes];
    }
    prefix
}

impl CompactChunk {
    /// Encodes a chunk in the compact form.
    pub(crate) fn encode(chunk: &ChunkRecord) -> CompactChunk {
        let assignments = || chunk.assigned().map(|(_, assignment)| assignment);
        let escaped_names: BTreeMap<&str, String> = assignments()
            .map(|a| (a.machine.as_str(), escape(&a.machine)))
            .collect();
        // Escaped names are ASCII, so a name can be cut at any byte.
        let prefix = common_prefix(escaped_names.values().map(String::as_str));
        let lowest_attempt = assignments().map(|a| a.attempt).min().unwrap_or(0);
        let mut delivery_counts: BTreeMap<StartDelivery, usize> = BTreeMap::new();
        for assignment in assignments() {
            *delivery_counts.entry(assignment.delivery()).or_default() += 1;
        }
        let most_frequent = delivery_counts.iter().max_by_key(|(_, count)| **count);
        let common_delivery = most_frequent.map(|(delivery, _)| *delivery);
        let reasons = assignments().filter_map(|a| a.stop_reason.as_ref());
        let reasons: BTreeSet<&String> = reasons.collect();
        let stop_reasons: Vec<String> = reasons.into_iter().cloned().collect();
        let mut words = String::new();
        for equal_tasks in chunk.tasks.chunk_by(|a, b| a == b) {
            if !words.is_empty() {
                words.push(' ');
            }
            let count = equal_tasks.len();
            let _ = match &equal_tasks[0] {
                TaskState::Pending => write!(words, "={count}"),
                TaskState::Done => write!(words, "+{count}"),
                TaskState::Assigned(assignment) => {
                    let name = escaped_names.get(assignment.machine.as_str());
                    let name = name.and_then(|name| name.get(prefix.len()..));
                    let attempt_offset = assignment.attempt - lowest_attempt;
                    let mut word = format!("{}:{}", name.unwrap_or(""), base36(attempt_offset));
                    if Some(assignment.delivery()) != common_delivery {
                        word += &format!(":{}", delivery_word(assignment.delivery()));
                    }
                    let reason = assignment.stop_reason.as_ref();
                    let position = |reason: &String| stop_reasons.iter().position(|r| r == reason);
                    if let Some(index) = reason.and_then(position) {
                        word += &format!("!{index}");
                    }
                    if count > 1 {
                        word += &format!("*{count}");
                    }
                    write!(words, "{word}")
                }
            };
        }
        CompactChunk {
            first: chunk.first,
            task_words: words,
            machine_prefix: prefix.to_string(),
            lowest_attempt,
            common_delivery: common_delivery.map_or(String::new(), delivery_word),
            stop_reasons,
            team: chunk.team.clone(),
            resources: chunk.resources,
            failed_on: chunk.failed_on.clone(),
            failure_count: chunk.failure_count,
            pause_until: chunk.pause_until,
        }
    }

    /// Parses the word of an assignment, and the number of consecutive tasks that have it.
    fn parse_assignment(&self, word: &str) -> Option<(Assignment, usize)> {
        let (word, count) = match word.split_once('*') {
            Some((word, count)) => (word, count.parse().ok()?),
            None => (word, 1),
        };
        let (word, stop_reason) = match word.split_once('!') {
            Some((word, index)) => {
                let index = index.parse::<usize>().ok()?;
                (word, Some(self.stop_reasons.get(index)?))
            }
            None => (word, None),
        };
        let mut parts = word.split(':');
        let machine = unescape(&format!("{}{}", self.machine_prefix, parts.next()?))?;
        let attempt_offset = u64::from_str_radix(parts.next()?, 36).ok()?;
        let delivery = parse_delivery(parts.next().unwrap_or(&self.common_delivery))?;
        let assignment = Assignment {
            machine,
            attempt: self.lowest_attempt.checked_add(attempt_offset)?,
            reply_start: delivery.reply,
            direct_start: delivery.direct,
            stop_reason: stop_reason.cloned(),
        };
        Some((assignment, count))
    }

    /// Decodes the chunk; returns none if the stored value is invalid.
    pub(crate) fn decode(self) -> Option<ChunkRecord> {
        let mut tasks = Vec::new();
        for word in self.task_words.split_ascii_whitespace() {
            let (state, count): (TaskState, usize) = match word.split_at_checked(1)? {
                ("=", count) => (TaskState::Pending, count.parse().ok()?),
                ("+", count) => (TaskState::Done, count.parse().ok()?),
                _ => {
                    let (assignment, count) = self.parse_assignment(word)?;
                    (TaskState::Assigned(assignment), count)
                }
            };
            if count > JOB_MAX_TASKS as usize - tasks.len() {
                return None;
            }
            tasks.extend(std::iter::repeat_n(state, count));
        }
        Some(ChunkRecord {
            first: self.first,
            tasks,
            team: self.team,
            resources: self.resources,
            failed_on: self.failed_on,
            failure_count: self.failure_count,
            pause_until: self.pause_until,
        })
    }
}

/// Returns the size in bytes of a record in a format, with an allowance for spaces between the
/// fields.
pub fn stored_bytes(record: &Record, format: u32) -> usize {
    record.value(format).to_string().len() + VALUE_MARGIN_BYTES
}

/// Returns the number of tasks per chunk for a new job: as many as fit into a value when all of
/// them are assigned.
pub fn tasks_per_chunk(format: u32, max_value_bytes: u64) -> u32 {
    let max_tasks = match format {
        OLDEST => max_value_bytes / CHUNK_TASK_BYTES,
        _ => max_value_bytes.saturating_sub(CHUNK_BASE_BYTES as u64 * 2) / COMPACT_TASK_BYTES,
    };
    max_tasks.clamp(1, CHUNK_MAX_TASKS as u64) as u32
}

/// Returns whether a chunk can hold one more assignment, even if each assignment later gets another
/// start delivery or a stop reason.
pub fn fits_another_assignment(
    chunk: &ChunkRecord,
    machine: &str,
    format: u32,
    max_value_bytes: u64,
) -> bool {
    let max_bytes = max_value_bytes as usize;
    let edit_bytes = (chunk.assigned().count() + 1) * ASSIGNMENT_EDIT_BYTES;
    let json_bytes =
        chunk.max_json_bytes() + ASSIGNMENT_BYTES + machine.len() + VALUE_MARGIN_BYTES + edit_bytes;
    if json_bytes <= max_bytes || format == OLDEST {
        return json_bytes <= max_bytes;
    }
    let compact_bytes = stored_bytes(&Record::Chunk(chunk.clone()), format);
    compact_bytes + machine.len() + COMPACT_ASSIGNMENT_BYTES + edit_bytes <= max_bytes
}
