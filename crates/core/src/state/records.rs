//! What the shared records hold, and how each is stored.

use super::Key;
use crate::configuration::{
    ConfigurationEnabledRecord, ConfigurationPageRecord, ConfigurationVersionRecord,
    ObservedVersionRecord,
};
use crate::constants::{ASSIGNMENT_BYTES, CHUNK_BASE_BYTES};
use crate::model::{DirectStart, HeartbeatPosition, JobSpec, MachineType, Resources, WallMs};
use crate::state::formats::{self, CompactChunk, FormatRecord};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    Open,
    Done,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub phase: JobPhase,
    pub tasks: u32,
    /// Tasks per chunk; the same for all controllers and for the job's whole life.
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
            JobPhase::Open => self.spec.as_deref(),
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
    pub fn over(&self, phase: JobPhase, wall: WallMs) -> JobRecord {
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
pub struct Assignment {
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The heartbeat whose answer carries the start.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub reply_start: Option<HeartbeatPosition>,
    /// The direct command that carries the start. One is sent at most.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub direct_start: Option<DirectStart>,
    /// To be stopped, with this reason.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<String>,
}

/// How an assignment's start gets to its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartDelivery {
    /// In the answer to this heartbeat.
    pub reply: Option<HeartbeatPosition>,
    /// By this direct command.
    pub direct: Option<DirectStart>,
}

impl Assignment {
    /// How its start gets to its worker.
    pub fn delivery(&self) -> StartDelivery {
        StartDelivery {
            reply: self.reply_start,
            direct: self.direct_start,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "w")]
    Pending,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "b")]
    Assigned(Assignment),
}

impl TaskState {
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            TaskState::Assigned(b) => Some(b),
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
    pub resources: Resources,
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
            tasks: vec![TaskState::Pending; len as usize],
            team: spec.team.clone(),
            resources: spec.resources,
            ..ChunkRecord::default()
        }
    }
    pub fn done(&self) -> u32 {
        self.tasks.iter().filter(|t| **t == TaskState::Done).count() as u32
    }
    /// Tasks that are assigned, by their number in the job.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(i, t)| Some((self.first + i as u32, t.assignment()?)))
    }
    pub fn assignment(&self, index: u32) -> Option<&Assignment> {
        let slot = index.checked_sub(self.first)?;
        self.tasks.get(slot as usize)?.assignment()
    }
    pub fn assignment_mut(&mut self, index: u32) -> Option<&mut Assignment> {
        let slot = index.checked_sub(self.first)?;
        match self.tasks.get_mut(slot as usize)? {
            TaskState::Assigned(b) => Some(b),
            _ => None,
        }
    }
    /// Bytes its value takes at most.
    pub fn size(&self) -> usize {
        let tasks: usize = (self.tasks.iter())
            .map(|t| t.assignment().map_or(4, assignment_size))
            .sum();
        let failed: usize = self.failed_on.iter().map(|m| m.len() + 3).sum();
        CHUNK_BASE_BYTES + self.team.len() + failed + tasks
    }
}

fn assignment_size(b: &Assignment) -> usize {
    ASSIGNMENT_BYTES + b.machine.len() + b.stop.as_ref().map_or(0, |why| why.len() + 7)
}

/// Live tasks per zone, for jobs of several chunks whose zones depend on one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneSpreadRecord {
    pub zones: BTreeMap<String, u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// Provisioned, not heard of yet.
    Booting,
    Up,
    /// Takes no new work: spot notice, sick, or about to be returned.
    Draining,
    /// Its deletion was committed; assignments stay until the cloud has answered 200.
    #[serde(rename = "Returning")]
    Deprovisioning,
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
    #[serde(rename = "raised")]
    pub token_offset: u64,
}

impl ZoneSpreadRecord {
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
            token_offset: 0,
        }
    }
    /// Heard of, and not about to be deleted.
    pub fn is_up(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }
}

/// Processors and GPUs in use. As a record it is what each claim of a team with a limit
/// writes, so that two of them can't both fit into what only one of them may take; what is in
/// use is counted from the assignments.
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

/// An instance request request under way: committed before its name is used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRequestRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    #[serde(rename = "node")]
    pub controller: String,
    pub at: WallMs,
    /// The machines it brought. The record goes once each of them has one of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hosts")]
    pub instances: Option<Vec<String>>,
}

impl InstanceRequestRecord {
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
pub struct ProvisioningRecord {
    /// Number of the next instance request request; numbers are never used twice.
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
pub struct CancellationConfirmationRecord {
    /// The format that brought it.
    #[serde(rename = "v")]
    pub version: u32,
}

/// What is learned of a class's run times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimesRecord {
    /// As far as it fits; the key tells classes apart.
    pub team: String,
    pub class: String,
    /// Time of day of the latest change, by which the least used go first.
    pub at: WallMs,
    #[serde(flatten)]
    pub packed: glenmount_runtime_estimates::history::Packed,
}

/// The cloud's machine types as last read: a controller that starts while the cloud is down knows
/// what jobs can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    #[serde(rename = "types")]
    pub machine_types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Term(TermRecord),
    MachineTypes(MachineTypesRecord),
    Provisioning(ProvisioningRecord),
    Job(JobRecord),
    Chunk(ChunkRecord),
    ZoneSpread(ZoneSpreadRecord),
    Machine(MachineRecord),
    Team(TeamRecord),
    InstanceRequest(InstanceRequestRecord),
    Format(FormatRecord),
    CancellationConfirmation(CancellationConfirmationRecord),
    RunTimes(RunTimesRecord),
    Configuration(ConfigurationVersionRecord),
    ConfigurationPage(ConfigurationPageRecord),
    ConfigurationEnabled(ConfigurationEnabledRecord),
    ObservedVersion(ObservedVersionRecord),
}

/// Reads a record by its key's kind.
macro_rules! read_as {
    ($key:expr, $compact:expr, $read:expr) => {
        match $key {
            Key::Term => $read.ok().map(Record::Term),
            Key::MachineTypes => $read.ok().map(Record::MachineTypes),
            Key::Provisioning => $read.ok().map(Record::Provisioning),
            Key::Job(_) => $read.ok().map(Record::Job),
            Key::Chunk(..) if $compact => {
                let chunk: Option<CompactChunk> = $read.ok();
                chunk?.read().map(Record::Chunk)
            }
            Key::Chunk(..) => $read.ok().map(Record::Chunk),
            Key::ZoneSpread(_) => $read.ok().map(Record::ZoneSpread),
            Key::Machine(_) => $read.ok().map(Record::Machine),
            Key::Team(_) => $read.ok().map(Record::Team),
            Key::InstanceRequest(_) => $read.ok().map(Record::InstanceRequest),
            Key::Format(_) => $read.ok().map(Record::Format),
            Key::CancellationConfirmation => $read.ok().map(Record::CancellationConfirmation),
            Key::RunTimes(_) => $read.ok().map(Record::RunTimes),
            Key::Configuration => $read.ok().map(Record::Configuration),
            Key::ConfigurationPage(..) => $read.ok().map(Record::ConfigurationPage),
            Key::ConfigurationEnabled => $read.ok().map(Record::ConfigurationEnabled),
            Key::ObservedVersion(_) => $read.ok().map(Record::ObservedVersion),
        }
    };
}

impl Record {
    /// As it is stored in a format.
    pub fn value(&self, format: u32) -> Value {
        let value = match self {
            Record::Term(r) => serde_json::to_value(r),
            Record::MachineTypes(r) => serde_json::to_value(r),
            Record::Provisioning(r) => serde_json::to_value(r),
            Record::Job(r) => serde_json::to_value(r),
            Record::Chunk(r) if format < formats::PIPELINES => serde_json::to_value(r),
            Record::Chunk(r) => serde_json::to_value(CompactChunk::of(r)),
            Record::ZoneSpread(r) => serde_json::to_value(r),
            Record::Machine(r) => serde_json::to_value(r),
            Record::Team(r) if format < formats::STORED_CONFIGURATION => serde_json::to_value(r),
            Record::Team(r) => serde_json::to_value(FencedTeam::of(r)),
            Record::InstanceRequest(r) => serde_json::to_value(r),
            Record::Format(r) => serde_json::to_value(r),
            Record::CancellationConfirmation(r) => serde_json::to_value(r),
            Record::RunTimes(r) => serde_json::to_value(r),
            Record::Configuration(r) => serde_json::to_value(r),
            Record::ConfigurationPage(r) => serde_json::to_value(r),
            Record::ConfigurationEnabled(r) => serde_json::to_value(r),
            Record::ObservedVersion(r) => serde_json::to_value(r),
        };
        value.unwrap_or(Value::Null)
    }

    pub fn read(key: &Key, value: Value) -> Option<Record> {
        let compact = value.get("z").is_some();
        read_as!(key, compact, serde_json::from_value(value))
    }

    /// The same from its text: without a tree of values between, since controllers read every change that
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
