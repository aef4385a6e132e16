//! Versions of what controllers store, so that two versions of the program serve on the same data.
//!
//! Each controller records the latest format that it reads under `g/format/NODE`. What an older one
//! would not read, or would drop when it writes a record anew, is written only in a format that
//! every member named by the settings has on record. Heartbeats and silence prove nothing here: a
//! controller that ends before it is upgraded comes back old. A controller is upgraded once, so the common
//! format never falls.
//!
//! | format | what came with it | when what it replaced may be dropped |
//! |---|---|---|
//! | 1 | records as JSON objects throughout | once no site has chunks from before format 2: every chunk is gone with its job's last assignment, so a day after an upgrade |
//! | 2 | compact chunks; jobs with dependencies | |
//! | 3 | cancellations are confirmed when all tasks are gone (`g/settled`); records as in 2 | |
//! | 4 | configurations on record (`g/configurable`); teams in a form that earlier versions can't read | |
//!
//! A compact chunk writes its tasks as words: `=N` tasks wait, `+N` are done, and an assignment is
//! `MACHINE:ATTEMPT[:START][!STOP][*N]`. The machine's name lacks what all have in common, the
//! attempt is counted from the lowest, in base 36. START is left out if it is the usual one of
//! the chunk, `n` for none, `sSESSION.TALLY` for a heartbeat's answer, `dSESSION.TOKEN` for a
//! direct command. STOP is the number of a reason, and N repeats the word for tasks that follow.
//! A task takes some 8 bytes so instead of some 45, and a hundred of them fit into 2 KiB.

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

/// The format of a version that records none.
pub const OLDEST: u32 = 1;
/// From this one on chunks are compact and jobs may have dependencies.
pub const PIPELINES: u32 = 2;
/// From this one on cancellations are confirmed when all tasks are gone.
pub const CONFIRMED_CANCELLATION: u32 = 3;
/// From this one on configurations may be on record.
pub const STORED_CONFIGURATION: u32 = 4;
/// The latest format that this version reads and writes.
pub const LATEST: u32 = STORED_CONFIGURATION;

/// The latest format that a controller reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    #[serde(rename = "v")]
    pub version: u32,
}

/// A chunk's record in format 2.
#[derive(Serialize, Deserialize)]
pub(crate) struct CompactChunk {
    #[serde(rename = "i", default)]
    first: u32,
    #[serde(rename = "z")]
    tasks: String,
    /// The common prefix of the names of all its machines.
    #[serde(rename = "m", default, skip_serializing_if = "String::is_empty")]
    prefix: String,
    /// The lowest of its attempts.
    #[serde(rename = "a", default)]
    attempt: u64,
    /// The most frequent start delivery.
    #[serde(rename = "s", default, skip_serializing_if = "String::is_empty")]
    start: String,
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    stops: Vec<String>,
    #[serde(rename = "o", default)]
    team: String,
    #[serde(rename = "u", default)]
    resources: Resources,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failed_on: Vec<String>,
    #[serde(rename = "n", default)]
    fails: u32,
    #[serde(rename = "p", default)]
    pause_until: WallMs,
}

/// A start's delivery as a word: `n`, or `s` and the heartbeat's position, then `d` and the direct command's pair.
fn delivery_word(delivery: StartDelivery) -> String {
    let part = |kind: char, pair: Option<(u64, u64)>| {
        pair.map_or(String::new(), |(a, b)| format!("{kind}{a}.{b}"))
    };
    match (delivery.reply, delivery.direct) {
        (None, None) => "n".into(),
        (reply, direct) => part('s', reply.map(Into::into)) + &part('d', direct.map(Into::into)),
    }
}

/// The delivery that a word stands for; none for what no version has written.
fn read_delivery(word: &str) -> Option<StartDelivery> {
    if word == "n" {
        return Some(StartDelivery::default());
    }
    let pair = |s: &str| -> Option<(u64, u64)> {
        let (a, b) = s.split_once('.')?;
        Some((a.parse().ok()?, b.parse().ok()?))
    };
    let (reply, direct) = match word.split_once('d') {
        Some((reply, direct)) => (reply, Some(pair(direct)?.into())),
        None => (word, None),
    };
    let reply = match reply.strip_prefix('s') {
        Some(reply) => Some(pair(reply)?.into()),
        None if reply.is_empty() && direct.is_some() => None,
        None => return None,
    };
    Some(StartDelivery { reply, direct })
}

fn base36(mut n: u64) -> String {
    let mut digits = Vec::new();
    loop {
        digits.push(char::from_digit((n % 36) as u32, 36).unwrap_or('0'));
        n /= 36;
        if n == 0 {
            return digits.iter().rev().collect();
        }
    }
}

/// What all these names begin with.
fn common_prefix<'a>(mut names: impl Iterator<Item = &'a str>) -> &'a str {
    let Some(mut prefix) = names.next() else {
        return "";
    };
    for name in names {
        let same = prefix.bytes().zip(name.bytes());
        let len = same.take_while(|(a, b)| a == b).count();
        prefix = &prefix[..len];
    }
    prefix
}

impl CompactChunk {
    pub(crate) fn of(chunk: &ChunkRecord) -> CompactChunk {
        let assigned = || chunk.assigned().map(|(_, b)| b);
        let names: BTreeMap<&str, String> = assigned()
            .map(|b| (b.machine.as_str(), escape(&b.machine)))
            .collect();
        // Escaped names are plain ASCII: any byte is a place to cut.
        let prefix = common_prefix(names.values().map(String::as_str));
        let attempt = assigned().map(|b| b.attempt).min().unwrap_or(0);
        let mut starts: BTreeMap<StartDelivery, usize> = BTreeMap::new();
        for b in assigned() {
            *starts.entry(b.delivery()).or_default() += 1;
        }
        let usual = starts.iter().max_by_key(|(_, n)| **n).map(|(s, _)| *s);
        let stops: BTreeSet<&String> = assigned().filter_map(|b| b.stop.as_ref()).collect();
        let stops: Vec<String> = stops.into_iter().cloned().collect();
        let mut words = String::new();
        for same in chunk.tasks.chunk_by(|a, b| a == b) {
            if !words.is_empty() {
                words.push(' ');
            }
            let n = same.len();
            let _ = match &same[0] {
                TaskState::Pending => write!(words, "={n}"),
                TaskState::Done => write!(words, "+{n}"),
                TaskState::Assigned(assignment) => {
                    let name = names.get(assignment.machine.as_str());
                    let name = name.and_then(|name| name.get(prefix.len()..));
                    let attempts_above = assignment.attempt - attempt;
                    let mut word = format!("{}:{}", name.unwrap_or(""), base36(attempts_above));
                    if Some(assignment.delivery()) != usual {
                        word += &format!(":{}", delivery_word(assignment.delivery()));
                    }
                    let stop = assignment.stop.as_ref();
                    if let Some(at) = stop.and_then(|s| stops.iter().position(|x| x == s)) {
                        word += &format!("!{at}");
                    }
                    if n > 1 {
                        word += &format!("*{n}");
                    }
                    write!(words, "{word}")
                }
            };
        }
        CompactChunk {
            first: chunk.first,
            tasks: words,
            prefix: prefix.to_string(),
            attempt,
            start: usual.map_or(String::new(), delivery_word),
            stops,
            team: chunk.team.clone(),
            resources: chunk.resources,
            failed_on: chunk.failed_on.clone(),
            fails: chunk.fails,
            pause_until: chunk.pause_until,
        }
    }

    fn assignment(&self, word: &str) -> Option<(Assignment, usize)> {
        let (word, n) = match word.split_once('*') {
            Some((word, n)) => (word, n.parse().ok()?),
            None => (word, 1),
        };
        let (word, stop) = match word.split_once('!') {
            Some((word, at)) => (word, Some(self.stops.get(at.parse::<usize>().ok()?)?)),
            None => (word, None),
        };
        let mut parts = word.split(':');
        let machine = unescape(&format!("{}{}", self.prefix, parts.next()?))?;
        let attempt = u64::from_str_radix(parts.next()?, 36).ok()?;
        let delivery = read_delivery(parts.next().unwrap_or(&self.start))?;
        let assignment = Assignment {
            machine,
            attempt: self.attempt.checked_add(attempt)?,
            reply_start: delivery.reply,
            direct_start: delivery.direct,
            stop: stop.cloned(),
        };
        Some((assignment, n))
    }

    /// The chunk that it stands for; none for what no version has written.
    pub(crate) fn read(self) -> Option<ChunkRecord> {
        let mut tasks = Vec::new();
        for word in self.tasks.split_ascii_whitespace() {
            let (state, n): (TaskState, usize) = match word.split_at_checked(1)? {
                ("=", n) => (TaskState::Pending, n.parse().ok()?),
                ("+", n) => (TaskState::Done, n.parse().ok()?),
                _ => {
                    let (assignment, n) = self.assignment(word)?;
                    (TaskState::Assigned(assignment), n)
                }
            };
            if n > JOB_MAX_TASKS as usize - tasks.len() {
                return None;
            }
            tasks.extend(std::iter::repeat_n(state, n));
        }
        Some(ChunkRecord {
            first: self.first,
            tasks,
            team: self.team,
            resources: self.resources,
            failed_on: self.failed_on,
            fails: self.fails,
            pause_until: self.pause_until,
        })
    }
}

/// Bytes that a record takes in a format, spaces between its fields allowed for.
pub fn stored_bytes(record: &Record, format: u32) -> usize {
    record.value(format).to_string().len() + VALUE_MARGIN_BYTES
}

/// Tasks per chunk of a new job: as many as fit into a value when all are assigned.
pub fn chunk_tasks(format: u32, max_value_bytes: u64) -> u32 {
    let fit = match format {
        OLDEST => max_value_bytes / CHUNK_TASK_BYTES,
        _ => max_value_bytes.saturating_sub(CHUNK_BASE_BYTES as u64 * 2) / COMPACT_TASK_BYTES,
    };
    fit.clamp(1, CHUNK_MAX_TASKS as u64) as u32
}

/// Whether a chunk can hold one more assignment, even if all of them get another start delivery or a
/// reason to stop later.
pub fn takes_one_more(
    chunk: &ChunkRecord,
    machine: &str,
    format: u32,
    max_value_bytes: u64,
) -> bool {
    let max_bytes = max_value_bytes as usize;
    let later = (chunk.assigned().count() + 1) * ASSIGNMENT_EDIT_BYTES;
    let plain = chunk.size() + ASSIGNMENT_BYTES + machine.len() + VALUE_MARGIN_BYTES + later;
    if plain <= max_bytes || format == OLDEST {
        return plain <= max_bytes;
    }
    let now = stored_bytes(&Record::Chunk(chunk.clone()), format);
    now + machine.len() + COMPACT_ASSIGNMENT_BYTES + later <= max_bytes
}
