//! Shared records: their keys, values, a copy of them, and conditional transactions.

use crate::constants::*;
use crate::model::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// All keys of the project stand under this prefix; one watch follows them all.
pub const PREFIX: &str = "g/";

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    Term,
    Fleet,
    Job(String),
    Chunk(String, u32),
    Place(String),
    Machine(String),
    Team(String),
    Hire(u64),
}

fn escape(s: &str) -> String {
    let mut out = String::with_capacity(s.len());
    for b in s.bytes() {
        if b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.' {
            out.push(b as char);
        } else {
            out.push_str(&format!("~{b:02x}"));
        }
    }
    out
}

fn unescape(s: &str) -> Option<String> {
    let mut out = Vec::with_capacity(s.len());
    let mut bytes = s.bytes();
    while let Some(b) = bytes.next() {
        if b == b'~' {
            let hi = (bytes.next()? as char).to_digit(16)?;
            let lo = (bytes.next()? as char).to_digit(16)?;
            out.push((hi * 16 + lo) as u8);
        } else {
            out.push(b);
        }
    }
    String::from_utf8(out).ok()
}

impl Key {
    pub fn path(&self) -> String {
        match self {
            Key::Term => "g/term".into(),
            Key::Fleet => "g/fleet".into(),
            Key::Job(id) => format!("g/job/{id}"),
            Key::Chunk(id, n) => format!("g/chunk/{id}/{n:04}"),
            Key::Place(id) => format!("g/place/{id}"),
            Key::Machine(id) => format!("g/machine/{}", escape(id)),
            Key::Team(name) => format!("g/team/{}", escape(name)),
            Key::Hire(n) => format!("g/hire/{n:08}"),
        }
    }

    pub fn parse(path: &str) -> Option<Key> {
        let mut parts = path.strip_prefix(PREFIX)?.split('/');
        let kind = parts.next()?;
        let key = match (kind, parts.next(), parts.next()) {
            ("term", None, None) => Key::Term,
            ("fleet", None, None) => Key::Fleet,
            ("job", Some(id), None) => Key::Job(id.into()),
            ("chunk", Some(id), Some(n)) => Key::Chunk(id.into(), n.parse().ok()?),
            ("place", Some(id), None) => Key::Place(id.into()),
            ("machine", Some(id), None) => Key::Machine(unescape(id)?),
            ("team", Some(name), None) => Key::Team(unescape(name)?),
            ("hire", Some(n), None) => Key::Hire(n.parse().ok()?),
            _ => return None,
        };
        Some(key)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Open,
    Done,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub phase: Phase,
    pub tasks: u32,
    /// Tasks per chunk; the same for all nodes and for the job's whole life.
    pub chunk: u32,
    /// Time of day at which it was accepted.
    pub at: WallMs,
    /// Time of day at which it was done or cancelled; 0 before.
    #[serde(default)]
    pub ended: WallMs,
    /// Dropped once the job is over.
    pub spec: Option<JobSpec>,
}

impl JobRecord {
    pub fn open(&self) -> Option<&JobSpec> {
        match self.phase {
            Phase::Open => self.spec.as_ref(),
            _ => None,
        }
    }
    pub fn chunks(&self) -> u32 {
        self.tasks.div_ceil(self.chunk.max(1))
    }
    pub fn over(&self, phase: Phase, wall: WallMs) -> JobRecord {
        JobRecord {
            phase,
            ended: wall,
            spec: None,
            ..self.clone()
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
    /// Booked on a machine, as an attempt, in a zone.
    #[serde(rename = "b")]
    Booked(String, u64, String),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    #[serde(rename = "t")]
    pub tasks: Vec<TaskState>,
    /// Machines on which tasks of this chunk failed, without repeats.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
    #[serde(rename = "n", default)]
    pub fails: u32,
    /// Time of day before which nothing of this chunk is started again.
    #[serde(rename = "p", default)]
    pub pause_until: WallMs,
}

impl ChunkRecord {
    /// What an absent record of chunk `n` means: all its tasks wait.
    pub fn fresh(job: &JobRecord, n: u32) -> ChunkRecord {
        let first = n.saturating_mul(job.chunk);
        let len = job.tasks.saturating_sub(first).min(job.chunk);
        ChunkRecord {
            tasks: vec![TaskState::Waiting; len as usize],
            ..ChunkRecord::default()
        }
    }
    pub fn done(&self) -> u32 {
        self.tasks.iter().filter(|t| **t == TaskState::Done).count() as u32
    }
    pub fn booked(&self) -> impl Iterator<Item = (&String, u64, &String)> {
        self.tasks.iter().filter_map(|t| match t {
            TaskState::Booked(m, a, z) => Some((m, *a, z)),
            _ => None,
        })
    }
}

/// Live tasks per zone, for jobs of several chunks whose zones depend on one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceRecord {
    pub zones: BTreeMap<String, u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// Rented, not heard of yet.
    Booting,
    Up,
    /// Takes no new work: spot notice, sick, or about to be returned.
    Draining,
    /// Its deletion was committed; bookings stay until the cloud has answered 200.
    Returning,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Booking {
    #[serde(rename = "j")]
    pub job: String,
    #[serde(rename = "i")]
    pub index: u32,
    #[serde(rename = "a")]
    pub attempt: u64,
    #[serde(rename = "t")]
    pub team: String,
    #[serde(rename = "n")]
    pub need: Room,
    /// (session, tally) of the check-in whose answer carries the start.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub armed: Option<(u64, u64)>,
    /// (session, token) of the direct command that carries the start. One is sent at most.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<(u64, u64)>,
    /// To be stopped, with this reason.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<String>,
}

impl Booking {
    pub fn task(&self) -> TaskId {
        TaskId {
            job: self.job.clone(),
            index: self.index,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub phase: MachinePhase,
    /// Time of day at which the record was made.
    pub at: WallMs,
    #[serde(default)]
    pub address: String,
    #[serde(default)]
    pub bookings: Vec<Booking>,
    /// Images it has had, latest last, with their size in GB.
    #[serde(default)]
    pub images: Vec<(String, f64)>,
    /// Jobs that failed on it since its last success.
    #[serde(default)]
    pub faults: Vec<String>,
    /// By how much this machine's token stands above the shared term.
    #[serde(default)]
    pub raised: u64,
}

impl MachineRecord {
    pub fn new(
        type_name: &str,
        zone: &str,
        spot: bool,
        phase: MachinePhase,
        at: WallMs,
    ) -> MachineRecord {
        MachineRecord {
            type_name: type_name.to_string(),
            zone: zone.to_string(),
            spot,
            phase,
            at,
            address: String::new(),
            bookings: Vec::new(),
            images: Vec::new(),
            faults: Vec::new(),
            raised: 0,
        }
    }
    /// Heard of, and not about to be deleted.
    pub fn is_up(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }
    pub fn used(&self) -> Room {
        self.bookings
            .iter()
            .fold(Room::default(), |sum, b| sum.plus(&b.need))
    }
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }
    pub fn note_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_string(), gb));
        while self.images.len() > 1
            && (self.images.len() > MACHINE_IMAGES
                || self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb)
        {
            self.images.remove(0);
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    pub cpus: u64,
    pub gpus: u64,
}

/// A rental request under way: committed before its name is used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HireRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub node: String,
    pub at: WallMs,
}

impl HireRecord {
    pub fn offer(&self) -> String {
        offer_key(&self.type_name, &self.zone, self.spot)
    }
}

/// Names a type, zone and kind of machine that the cloud may offer.
pub fn offer_key(type_name: &str, zone: &str, spot: bool) -> String {
    format!(
        "{type_name}|{zone}|{}",
        if spot { "spot" } else { "ordinary" }
    )
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Number of the next rental request; numbers are never used twice.
    pub next: u64,
    /// Offers refused lately, until a time of day.
    #[serde(default)]
    pub refused: BTreeMap<String, WallMs>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Term(TermRecord),
    Fleet(FleetRecord),
    Job(JobRecord),
    Chunk(ChunkRecord),
    Place(PlaceRecord),
    Machine(MachineRecord),
    Team(TeamRecord),
    Hire(HireRecord),
}

impl Record {
    pub fn value(&self) -> Value {
        let value = match self {
            Record::Term(r) => serde_json::to_value(r),
            Record::Fleet(r) => serde_json::to_value(r),
            Record::Job(r) => serde_json::to_value(r),
            Record::Chunk(r) => serde_json::to_value(r),
            Record::Place(r) => serde_json::to_value(r),
            Record::Machine(r) => serde_json::to_value(r),
            Record::Team(r) => serde_json::to_value(r),
            Record::Hire(r) => serde_json::to_value(r),
        };
        value.unwrap_or(Value::Null)
    }

    pub fn read(key: &Key, value: Value) -> Option<Record> {
        fn get<T: for<'a> Deserialize<'a>>(v: Value) -> Option<T> {
            serde_json::from_value(v).ok()
        }
        match key {
            Key::Term => get(value).map(Record::Term),
            Key::Fleet => get(value).map(Record::Fleet),
            Key::Job(_) => get(value).map(Record::Job),
            Key::Chunk(..) => get(value).map(Record::Chunk),
            Key::Place(_) => get(value).map(Record::Place),
            Key::Machine(_) => get(value).map(Record::Machine),
            Key::Team(_) => get(value).map(Record::Team),
            Key::Hire(_) => get(value).map(Record::Hire),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Row {
    pub stamp: u64,
    pub record: Record,
}

/// This node's copy of the records, with the revision up to which it is complete.
#[derive(Debug, Default)]
pub struct Cache {
    rows: BTreeMap<Key, Row>,
    pub epoch: u64,
}

macro_rules! accessors {
    ($one:ident, $all:ident, $variant:ident, $record:ty, $key:ty) => {
        pub fn $one(&self, key: &$key) -> Option<&$record> {
            match self.rows.get(&Key::$variant(key.to_owned())) {
                Some(Row {
                    record: Record::$variant(r),
                    ..
                }) => Some(r),
                _ => None,
            }
        }
        pub fn $all(&self) -> impl Iterator<Item = (&$key, &$record, u64)> {
            let first = Key::$variant(<$key as ToOwned>::Owned::default());
            self.rows
                .range((Bound::Included(first), Bound::Unbounded))
                .map_while(|(k, row)| match (k, &row.record) {
                    (Key::$variant(k), Record::$variant(r)) => {
                        let k: &$key = k;
                        Some((k, r, row.stamp))
                    }
                    _ => None,
                })
        }
    };
}

impl Cache {
    /// What an open job asks for.
    pub fn open_job(&self, id: &str) -> Option<&JobSpec> {
        self.job(id).and_then(|j| j.open())
    }

    accessors!(job, jobs, Job, JobRecord, str);
    accessors!(machine, machines, Machine, MachineRecord, str);
    accessors!(team, teams, Team, TeamRecord, str);
    accessors!(place, places, Place, PlaceRecord, str);
    accessors!(hire, hires, Hire, HireRecord, u64);

    pub fn stamp(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |r| r.stamp)
    }
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.rows.get(key).map(|r| &r.record)
    }
    pub fn chunk(&self, job: &str, n: u32) -> Option<&ChunkRecord> {
        match self.get(&Key::Chunk(job.to_string(), n)) {
            Some(Record::Chunk(r)) => Some(r),
            _ => None,
        }
    }
    pub fn chunks_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (u32, &'a ChunkRecord)> {
        self.rows
            .range(Key::Chunk(job.to_string(), 0)..)
            .map_while(move |(k, row)| match (k, &row.record) {
                (Key::Chunk(j, n), Record::Chunk(r)) if j == job => Some((*n, r)),
                _ => None,
            })
    }
    pub fn chunk_keys(&self) -> impl Iterator<Item = (&String, u32)> {
        self.rows
            .range(Key::Chunk(String::new(), 0)..)
            .map_while(|(k, _)| match k {
                Key::Chunk(j, n) => Some((j, *n)),
                _ => None,
            })
    }
    pub fn fleet(&self) -> FleetRecord {
        match self.get(&Key::Fleet) {
            Some(Record::Fleet(f)) => f.clone(),
            _ => FleetRecord::default(),
        }
    }
    pub fn term(&self) -> Option<u64> {
        match self.get(&Key::Term) {
            Some(Record::Term(t)) => Some(t.term),
            _ => None,
        }
    }

    /// Takes up a record unless a later state of it is known already.
    pub fn put(&mut self, key: Key, stamp: u64, record: Record) {
        match self.rows.get_mut(&key) {
            Some(row) if row.stamp >= stamp => {}
            Some(row) => *row = Row { stamp, record },
            None => {
                self.rows.insert(key, Row { stamp, record });
            }
        }
    }
    pub fn remove(&mut self, key: &Key, stamp: u64) {
        if self.rows.get(key).is_some_and(|row| row.stamp < stamp) {
            self.rows.remove(key);
        }
    }
    /// After a full reading that began at `epoch`: what it did not hold is gone, unless it
    /// was written later.
    pub fn retain_listed(&mut self, listed: &BTreeSet<Key>, epoch: u64) {
        self.rows
            .retain(|k, row| listed.contains(k) || row.stamp > epoch);
    }
    pub fn len(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// A transaction: all conditions must hold, then all changes take effect as one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    pub conditions: Vec<(Key, u64)>,
    /// `None` removes the key.
    pub changes: Vec<(Key, Option<Record>)>,
}

/// Builds a transaction over the cached records. Whatever is read through it becomes a
/// condition, so that the outcome rests on nothing that has changed meanwhile.
pub struct Draft<'a> {
    pub cache: &'a Cache,
    conditions: BTreeMap<Key, u64>,
    changes: BTreeMap<Key, Option<Record>>,
}

macro_rules! draft_reader {
    ($name:ident, $variant:ident, $record:ty) => {
        pub fn $name(&mut self, id: &str) -> Option<$record> {
            match self.read(&Key::$variant(id.to_string())) {
                Some(Record::$variant(r)) => Some(r),
                _ => None,
            }
        }
    };
}

impl<'a> Draft<'a> {
    pub fn new(cache: &'a Cache) -> Draft<'a> {
        Draft {
            cache,
            conditions: BTreeMap::new(),
            changes: BTreeMap::new(),
        }
    }
    pub fn read(&mut self, key: &Key) -> Option<Record> {
        self.conditions
            .entry(key.clone())
            .or_insert_with(|| self.cache.stamp(key));
        match self.changes.get(key) {
            Some(changed) => changed.clone(),
            None => self.cache.get(key).cloned(),
        }
    }
    draft_reader!(job, Job, JobRecord);
    draft_reader!(machine, Machine, MachineRecord);
    draft_reader!(team, Team, TeamRecord);
    draft_reader!(place, Place, PlaceRecord);

    pub fn chunk(&mut self, job: &JobRecord, id: &str, n: u32) -> ChunkRecord {
        match self.read(&Key::Chunk(id.to_string(), n)) {
            Some(Record::Chunk(r)) => r,
            _ => ChunkRecord::fresh(job, n),
        }
    }
    pub fn put(&mut self, key: Key, record: Record) {
        self.conditions
            .entry(key.clone())
            .or_insert_with(|| self.cache.stamp(&key));
        self.changes.insert(key, Some(record));
    }
    pub fn remove(&mut self, key: Key) {
        self.conditions
            .entry(key.clone())
            .or_insert_with(|| self.cache.stamp(&key));
        self.changes.insert(key, None);
    }
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
    pub fn touches(&self, key: &Key) -> bool {
        self.changes.contains_key(key)
    }
    pub fn ops(&self) -> usize {
        self.changes.len()
    }
    /// Whether the transaction keeps the state service's limits.
    pub fn within(&self, txn_ops: usize) -> bool {
        self.changes.len() <= txn_ops && self.conditions.len() <= txn_ops * CONDITIONS_PER_OP
    }
    pub fn bytes(&self) -> usize {
        self.changes
            .values()
            .flatten()
            .map(|r| r.value().to_string().len() + 64)
            .sum()
    }
    /// State to return to with `restore`, when a step does not fit any more.
    pub fn save(&self) -> DraftMark {
        (self.conditions.clone(), self.changes.clone())
    }
    pub fn restore(&mut self, mark: DraftMark) {
        (self.conditions, self.changes) = mark;
    }
    pub fn finish(self) -> Txn {
        Txn {
            conditions: self.conditions.into_iter().collect(),
            changes: self.changes.into_iter().collect(),
        }
    }
}

pub type DraftMark = (BTreeMap<Key, u64>, BTreeMap<Key, Option<Record>>);
