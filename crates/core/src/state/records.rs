//! What the shared records hold, and how each is stored.

use super::Key;
use crate::configuration::{ConfigurableRecord, FollowingRecord, PageRecord, VersionRecord};
use crate::constants::*;
use crate::model::*;
use crate::state::formats::{self, CompactChunk, FormatRecord};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

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
    /// Dropped once the job is over. Apart, so that the many that are over take little room.
    pub spec: Option<Box<JobSpec>>,
}

impl JobRecord {
    pub fn open(&self) -> Option<&JobSpec> {
        match self.phase {
            Phase::Open => self.spec.as_deref(),
            _ => None,
        }
    }
    pub fn chunks(&self) -> u32 {
        self.tasks.div_ceil(self.chunk.max(1))
    }
    /// The number of the chunk that holds a task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk.max(1)
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

/// A task's claim on a machine. It stands in the task's chunk from the claim until its
/// attempt is proven gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "a")]
    pub attempt: u64,
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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "w")]
    Waiting,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "b")]
    Booked(Booking),
}

impl TaskState {
    pub fn booking(&self) -> Option<&Booking> {
        match self {
            TaskState::Booked(b) => Some(b),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Number of the first task in it.
    #[serde(rename = "i", default)]
    pub first: u32,
    #[serde(rename = "t")]
    pub tasks: Vec<TaskState>,
    /// What its tasks use and of whose limit: stays known after the job is over.
    #[serde(rename = "o", default)]
    pub team: String,
    #[serde(rename = "u", default)]
    pub need: Room,
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
    pub fn fresh(job: &JobRecord, spec: &JobSpec, n: u32) -> ChunkRecord {
        let first = n.saturating_mul(job.chunk);
        let len = job.tasks.saturating_sub(first).min(job.chunk);
        ChunkRecord {
            first,
            tasks: vec![TaskState::Waiting; len as usize],
            team: spec.team.clone(),
            need: spec.need,
            ..ChunkRecord::default()
        }
    }
    pub fn done(&self) -> u32 {
        self.tasks.iter().filter(|t| **t == TaskState::Done).count() as u32
    }
    /// Tasks that are booked, by their number in the job.
    pub fn booked(&self) -> impl Iterator<Item = (u32, &Booking)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(i, t)| Some((self.first + i as u32, t.booking()?)))
    }
    pub fn booking(&self, index: u32) -> Option<&Booking> {
        let slot = index.checked_sub(self.first)?;
        self.tasks.get(slot as usize)?.booking()
    }
    pub fn booking_mut(&mut self, index: u32) -> Option<&mut Booking> {
        let slot = index.checked_sub(self.first)?;
        match self.tasks.get_mut(slot as usize)? {
            TaskState::Booked(b) => Some(b),
            _ => None,
        }
    }
    /// Bytes its value takes at most.
    pub fn size(&self) -> usize {
        let tasks: usize = (self.tasks.iter())
            .map(|t| t.booking().map_or(4, booking_size))
            .sum();
        let failed: usize = self.failed_on.iter().map(|m| m.len() + 3).sum();
        CHUNK_BASE_BYTES + self.team.len() + failed + tasks
    }
}

fn booking_size(b: &Booking) -> usize {
    BOOKING_BYTES + b.machine.len() + b.stop.as_ref().map_or(0, |why| why.len() + 7)
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
    /// Jobs that failed on it since its last success.
    #[serde(default)]
    pub faults: Vec<String>,
    /// By how much this machine's token stands above the shared term.
    #[serde(default)]
    pub raised: u64,
}

impl PlaceRecord {
    /// Live tasks in a zone.
    pub fn count(&self, zone: &str) -> u32 {
        self.zones.get(zone).copied().unwrap_or(0)
    }
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
            faults: Vec::new(),
            raised: 0,
        }
    }
    /// Heard of, and not about to be deleted.
    pub fn is_up(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }
}

/// Processors and GPUs in use. As a record it is what each claim of a team with a limit
/// writes, so that two of them can't both fit into what only one of them may take; what is in
/// use is counted from the bookings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    #[serde(alias = "c")]
    pub cpus: u64,
    #[serde(alias = "g")]
    pub gpus: u64,
}

/// The same from format 4 on. Versions that know limits from the settings file only can't read it: they
/// keep to their older copy, and their claims for that team conflict for ever.
#[derive(Serialize)]
struct FencedTeam {
    #[serde(rename = "c")]
    cpus: u64,
    #[serde(rename = "g")]
    gpus: u64,
}

impl FencedTeam {
    fn of(team: &TeamRecord) -> FencedTeam {
        FencedTeam {
            cpus: team.cpus,
            gpus: team.gpus,
        }
    }
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
    /// The machines it brought. The record goes once each of them has one of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<String>>,
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

/// From this record's revision on cancellations are told only when all tasks are gone. Written once,
/// never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// The format that brought it.
    #[serde(rename = "v")]
    pub version: u32,
}

/// What is learned of a class's run times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunsRecord {
    /// As far as it fits; the key tells classes apart.
    pub team: String,
    pub class: String,
    /// Time of day of the latest change, by which the least used go first.
    pub at: WallMs,
    #[serde(flatten)]
    pub packed: glenmount_runtime_estimates::history::Packed,
}

/// The cloud's machine types as last read: a node that starts while the cloud is down knows
/// what jobs can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TypesRecord {
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Term(TermRecord),
    Types(TypesRecord),
    Fleet(FleetRecord),
    Job(JobRecord),
    Chunk(ChunkRecord),
    Place(PlaceRecord),
    Machine(MachineRecord),
    Team(TeamRecord),
    Hire(HireRecord),
    Format(FormatRecord),
    Settled(SettledRecord),
    Runs(RunsRecord),
    Configuration(VersionRecord),
    ConfigurationPage(PageRecord),
    Configurable(ConfigurableRecord),
    Following(FollowingRecord),
}

/// Reads a record by its key's kind.
macro_rules! read_as {
    ($key:expr, $compact:expr, $read:expr) => {
        match $key {
            Key::Term => $read.ok().map(Record::Term),
            Key::Types => $read.ok().map(Record::Types),
            Key::Fleet => $read.ok().map(Record::Fleet),
            Key::Job(_) => $read.ok().map(Record::Job),
            Key::Chunk(..) if $compact => {
                let chunk: Option<CompactChunk> = $read.ok();
                chunk?.read().map(Record::Chunk)
            }
            Key::Chunk(..) => $read.ok().map(Record::Chunk),
            Key::Place(_) => $read.ok().map(Record::Place),
            Key::Machine(_) => $read.ok().map(Record::Machine),
            Key::Team(_) => $read.ok().map(Record::Team),
            Key::Hire(_) => $read.ok().map(Record::Hire),
            Key::Format(_) => $read.ok().map(Record::Format),
            Key::Settled => $read.ok().map(Record::Settled),
            Key::Runs(_) => $read.ok().map(Record::Runs),
            Key::Configuration => $read.ok().map(Record::Configuration),
            Key::ConfigurationPage(..) => $read.ok().map(Record::ConfigurationPage),
            Key::Configurable => $read.ok().map(Record::Configurable),
            Key::Following(_) => $read.ok().map(Record::Following),
        }
    };
}

impl Record {
    /// As it is stored in a format.
    pub fn value(&self, format: u32) -> Value {
        let value = match self {
            Record::Term(r) => serde_json::to_value(r),
            Record::Types(r) => serde_json::to_value(r),
            Record::Fleet(r) => serde_json::to_value(r),
            Record::Job(r) => serde_json::to_value(r),
            Record::Chunk(r) if format < formats::PIPELINES => serde_json::to_value(r),
            Record::Chunk(r) => serde_json::to_value(CompactChunk::of(r)),
            Record::Place(r) => serde_json::to_value(r),
            Record::Machine(r) => serde_json::to_value(r),
            Record::Team(r) if format < formats::CONFIGURABLE => serde_json::to_value(r),
            Record::Team(r) => serde_json::to_value(FencedTeam::of(r)),
            Record::Hire(r) => serde_json::to_value(r),
            Record::Format(r) => serde_json::to_value(r),
            Record::Settled(r) => serde_json::to_value(r),
            Record::Runs(r) => serde_json::to_value(r),
            Record::Configuration(r) => serde_json::to_value(r),
            Record::ConfigurationPage(r) => serde_json::to_value(r),
            Record::Configurable(r) => serde_json::to_value(r),
            Record::Following(r) => serde_json::to_value(r),
        };
        value.unwrap_or(Value::Null)
    }

    pub fn read(key: &Key, value: Value) -> Option<Record> {
        let compact = value.get("z").is_some();
        read_as!(key, compact, serde_json::from_value(value))
    }

    /// The same from its text: without a tree of values between, since nodes read every change that
    /// any of them makes.
    pub fn read_text(key: &Key, text: &str) -> Option<Record> {
        #[derive(Deserialize)]
        struct Form {
            z: Option<IgnoredAny>,
        }
        let form = |text| serde_json::from_str::<Form>(text).ok();
        let compact = matches!(key, Key::Chunk(..)) && form(text).is_some_and(|f| f.z.is_some());
        read_as!(key, compact, serde_json::from_str(text))
    }
}
