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

/// How far a job is. `Done` and `Cancelled` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted, with tasks to run.
    Open,
    /// All its tasks are done.
    Done,
    /// Cancelled by its user, or with a dependency.
    Cancelled,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// How far it is.
    pub phase: JobPhase,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks per chunk; the same for all controllers and for the job's whole life.
    pub chunk: u32,
    /// Time of day at which it was accepted.
    pub at: WallMs,
    /// Time of day at which it was done or cancelled; 0 before.
    #[serde(default)]
    pub ended: WallMs,
    /// What its user submitted; dropped once the job is over. Boxed, so that the many jobs that are
    /// over take little memory.
    pub spec: Option<Box<JobSpec>>,
}

impl JobRecord {
    /// What an open job asks for; none once it is over.
    pub fn open(&self) -> Option<&JobSpec> {
        match self.phase {
            JobPhase::Open => self.spec.as_deref(),
            _ => None,
        }
    }
    /// Into how many chunks its tasks are divided.
    pub fn chunks(&self) -> u32 {
        self.tasks.div_ceil(self.chunk.max(1))
    }
    /// The number of the chunk that holds a task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk.max(1)
    }
    /// The record of the job when it ends in this phase, at time of day `wall`.
    pub fn over(&self, phase: JobPhase, wall: WallMs) -> JobRecord {
        JobRecord {
            phase,
            ended: wall,
            spec: None,
            ..self.clone()
        }
    }
}

/// A task's assignment to a machine. It is in the task's chunk from the claim until its attempt is
/// proven gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The machine's name.
    #[serde(rename = "m")]
    pub machine: String,
    /// The attempt: the revision that the claim was conditional on.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The heartbeat whose answer contains the start.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub reply_start: Option<HeartbeatPosition>,
    /// The direct command that contains the start. One is sent at most.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub direct_start: Option<DirectStart>,
    /// Set once the task is to be stopped: the reason.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<String>,
}

/// How the start of an assigned task is delivered to its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartDelivery {
    /// In the answer to this heartbeat.
    pub reply: Option<HeartbeatPosition>,
    /// By this direct command.
    pub direct: Option<DirectStart>,
}

impl Assignment {
    /// How its start is delivered to its worker.
    pub fn delivery(&self) -> StartDelivery {
        StartDelivery {
            reply: self.reply_start,
            direct: self.direct_start,
        }
    }
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for a machine.
    #[serde(rename = "w")]
    Pending,
    /// Has succeeded; final.
    #[serde(rename = "d")]
    Done,
    /// Is assigned to a machine.
    #[serde(rename = "b")]
    Assigned(Assignment),
}

impl TaskState {
    /// The assignment of an assigned task.
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            TaskState::Assigned(b) => Some(b),
            _ => None,
        }
    }
}

/// Consecutive tasks of a job, stored as one record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Number of the first task in it.
    #[serde(rename = "i", default)]
    pub first: u32,
    /// The state of each task, from the first on.
    #[serde(rename = "t")]
    pub tasks: Vec<TaskState>,
    /// The job's team, whose quota its tasks use: known after the job is over, as `resources` are.
    #[serde(rename = "o", default)]
    pub team: String,
    /// What each task uses.
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
    /// Chunk `n` before it is on record: all its tasks are pending.
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
    /// How many of its tasks are done.
    pub fn done(&self) -> u32 {
        self.tasks.iter().filter(|t| **t == TaskState::Done).count() as u32
    }
    /// Tasks that are assigned, by their number in the job.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(i, t)| Some((self.first + i as u32, t.assignment()?)))
    }
    /// The assignment of a task, by its number in the job.
    pub fn assignment(&self, index: u32) -> Option<&Assignment> {
        let slot = index.checked_sub(self.first)?;
        self.tasks.get(slot as usize)?.assignment()
    }
    /// The same, to be changed.
    pub fn assignment_mut(&mut self, index: u32) -> Option<&mut Assignment> {
        let slot = index.checked_sub(self.first)?;
        match self.tasks.get_mut(slot as usize)? {
            TaskState::Assigned(b) => Some(b),
            _ => None,
        }
    }
    /// Bytes that its value takes at most.
    pub fn size(&self) -> usize {
        let tasks: usize = (self.tasks.iter())
            .map(|t| t.assignment().map_or(4, assignment_size))
            .sum();
        let failed: usize = self.failed_on.iter().map(|m| m.len() + 3).sum();
        CHUNK_BASE_BYTES + self.team.len() + failed + tasks
    }
}

fn assignment_size(assignment: &Assignment) -> usize {
    let stop = assignment.stop.as_ref();
    ASSIGNMENT_BYTES + assignment.machine.len() + stop.map_or(0, |reason| reason.len() + 7)
}

/// Live tasks per zone, for jobs of several chunks whose zones depend on one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneSpreadRecord {
    /// Tasks by zone.
    pub zones: BTreeMap<String, u32>,
}

/// Where a machine is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// Provisioned; no heartbeat received yet.
    Booting,
    /// Its worker has sent heartbeats.
    Up,
    /// Gets no new tasks: spot notice, faulty, or about to be deprovisioned.
    Draining,
    /// Its deletion was committed; assignments stay until the cloud has answered 200.
    #[serde(rename = "Returning")]
    Deprovisioning,
}

/// A machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its machine type.
    #[serde(rename = "type")]
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Where it is in its life.
    pub phase: MachinePhase,
    /// Time of day at which the record was made.
    pub at: WallMs,
    /// The address of its worker; empty before the first heartbeat.
    #[serde(default)]
    pub address: String,
    /// Jobs that failed on it since its last success.
    #[serde(default)]
    pub faults: Vec<String>,
    /// By how much this machine's fencing token exceeds the shared term.
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
    /// A machine without faults, whose address is not known yet.
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
    /// Whether its worker has sent heartbeats, and its deletion is not committed.
    pub fn is_up(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }
}

/// Processors and GPUs in use. Each claim of a team with a limit writes it as a record, so that of
/// two claims that don't both fit into the limit one conflicts. What is in use is counted from the
/// assignments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Thousandths of processors.
    #[serde(alias = "c")]
    pub cpus: u64,
    /// Thousandths of GPUs.
    #[serde(alias = "g")]
    pub gpus: u64,
}

/// The same from format 4 on. Versions that know limits from the settings file only can't read it:
/// they keep the record that they had, and their claims for that team always conflict.
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

/// A request for new instances: committed before its name is used with the cloud.
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
    /// The machines that it created. The record is removed once each of them has one of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "hosts")]
    pub instances: Option<Vec<String>>,
}

impl InstanceRequestRecord {
    /// The key of the offer that it asks for.
    pub fn offer(&self) -> String {
        offer_key(&self.type_name, &self.zone, self.spot)
    }
}

/// The key of an offer of the cloud: machine type, zone, spot or ordinary.
pub fn offer_key(type_name: &str, zone: &str, spot: bool) -> String {
    format!(
        "{type_name}|{zone}|{}",
        if spot { "spot" } else { "ordinary" }
    )
}

/// What controllers share about provisioning.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Number of the next instance request; numbers are never used twice.
    pub next: u64,
    /// Offers that the cloud refused lately, each with the time of day until which it is not asked
    /// for again.
    #[serde(default)]
    pub refused: BTreeMap<String, WallMs>,
}

/// The shared term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The base of all fencing tokens; only ever raised.
    pub term: u64,
}

/// From this record's revision on cancellations are confirmed only once all tasks are gone. Written
/// once, never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancellationConfirmationRecord {
    /// The format that introduced it.
    #[serde(rename = "v")]
    pub version: u32,
}

/// What is known of a class's run times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimesRecord {
    /// As far as it fits; the key tells classes apart.
    pub team: String,
    pub class: String,
    /// Time of day of the latest change: when too many are kept, the one unchanged for longest is
    /// removed.
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

/// A shared record of any kind; its key says which.
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

/// Parses a record as the kind that its key says.
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
    /// The value as it is stored in a format.
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

    /// Parses a stored value; none if it is not a record of its key's kind.
    pub fn read(key: &Key, value: Value) -> Option<Record> {
        let compact = value.get("z").is_some();
        read_as!(key, compact, serde_json::from_value(value))
    }

    /// The same from the value's text, without a tree of JSON values between: every controller reads
    /// every change that any of them makes.
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
