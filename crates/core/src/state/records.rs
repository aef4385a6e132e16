//! Types of the shared records, and their conversion to and from stored values.

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

/// The phase of a job. `Done` and `Cancelled` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted and not finished yet.
    Open,
    /// All tasks are done.
    Done,
    /// Cancelled by its user, or because a dependency was cancelled.
    Cancelled,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's phase.
    pub phase: JobPhase,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks per chunk; the same for all controllers, and constant as long as the job exists.
    #[serde(rename = "chunk")]
    pub tasks_per_chunk: u32,
    /// Wall-clock time at which a controller accepted the job.
    #[serde(rename = "at")]
    pub accepted_at: WallMs,
    /// Wall-clock time at which the job was done or cancelled; 0 before.
    #[serde(rename = "ended", default)]
    pub ended_at: WallMs,
    /// The user's specification, removed when the job ends. Boxed so ended jobs use little memory.
    pub spec: Option<Box<JobSpec>>,
}

impl JobRecord {
    /// Returns the specification of an open job, or none once it is done or cancelled.
    pub fn open_spec(&self) -> Option<&JobSpec> {
        match self.phase {
            JobPhase::Open => self.spec.as_deref(),
            _ => None,
        }
    }
    /// Returns the number of chunks that hold the tasks.
    pub fn chunk_count(&self) -> u32 {
        self.tasks.div_ceil(self.tasks_per_chunk.max(1))
    }
    /// Returns the number of the chunk that holds a task.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.tasks_per_chunk.max(1)
    }
    /// Returns the record of the job after it ends in a final phase at `ended_at`.
    pub fn with_final_phase(&self, phase: JobPhase, ended_at: WallMs) -> JobRecord {
        JobRecord {
            phase,
            ended_at,
            spec: None,
            ..self.clone()
        }
    }
}

/// A task's assignment to a machine, kept from the claim until it is proven that the attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The machine's name.
    #[serde(rename = "m")]
    pub machine: String,
    /// The attempt's number, which is the revision that the claim was conditional on.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The heartbeat whose reply contains the start.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub reply_start: Option<HeartbeatPosition>,
    /// The direct command that contains the start; a controller sends at most one.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub direct_start: Option<DirectStart>,
    /// The reason to stop the task, once a controller has decided to stop it.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub stop_reason: Option<String>,
}

/// The way in which the start of an assigned task is delivered to its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartDelivery {
    /// The heartbeat whose reply contains the start.
    pub reply: Option<HeartbeatPosition>,
    /// The direct command that contains the start.
    pub direct: Option<DirectStart>,
}

impl Assignment {
    /// Returns how the start is delivered to the worker.
    pub fn delivery(&self) -> StartDelivery {
        StartDelivery {
            reply: self.reply_start,
            direct: self.direct_start,
        }
    }
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for a machine.
    #[serde(rename = "w")]
    Pending,
    /// Succeeded; final.
    #[serde(rename = "d")]
    Done,
    /// Assigned to a machine.
    #[serde(rename = "b")]
    Assigned(Assignment),
}

impl TaskState {
    /// Returns the assignment of an assigned task.
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            TaskState::Assigned(assignment) => Some(assignment),
            _ => None,
        }
    }
}

/// Consecutive tasks of a job, stored as one record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Index in the job of the first task.
    #[serde(rename = "i", default)]
    pub first: u32,
    /// State of each task, in order of the task index.
    #[serde(rename = "t")]
    pub tasks: Vec<TaskState>,
    /// Team whose quota the tasks use. The chunk keeps it, like `resources`, after the job has ended.
    #[serde(rename = "o", default)]
    pub team: String,
    /// Resources that each task uses.
    #[serde(rename = "u", default)]
    pub resources: Resources,
    /// Distinct machines on which tasks of this chunk failed.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
    /// Number of failures, from which the backoff follows.
    #[serde(rename = "n", default)]
    pub failure_count: u32,
    /// Wall-clock time until which controllers start no task of this chunk again.
    #[serde(rename = "p", default)]
    pub pause_until: WallMs,
}

impl ChunkRecord {
    /// Creates a chunk of a job, with all tasks pending.
    pub fn new(job: &JobRecord, spec: &JobSpec, chunk_number: u32) -> ChunkRecord {
        let first = chunk_number.saturating_mul(job.tasks_per_chunk);
        let task_count = job.tasks.saturating_sub(first).min(job.tasks_per_chunk);
        ChunkRecord {
            first,
            tasks: vec![TaskState::Pending; task_count as usize],
            team: spec.team.clone(),
            resources: spec.resources,
            ..ChunkRecord::default()
        }
    }
    /// Returns the number of tasks that are done.
    pub fn done(&self) -> u32 {
        self.tasks.iter().filter(|t| **t == TaskState::Done).count() as u32
    }
    /// Returns the assigned tasks by their index in the job.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(i, t)| Some((self.first + i as u32, t.assignment()?)))
    }
    /// Returns the assignment of a task, by its index in the job.
    pub fn assignment(&self, index: u32) -> Option<&Assignment> {
        let offset = index.checked_sub(self.first)?;
        self.tasks.get(offset as usize)?.assignment()
    }
    /// Returns the assignment of a task for modification, by its index in the job.
    pub fn assignment_mut(&mut self, index: u32) -> Option<&mut Assignment> {
        let offset = index.checked_sub(self.first)?;
        match self.tasks.get_mut(offset as usize)? {
            TaskState::Assigned(assignment) => Some(assignment),
            _ => None,
        }
    }
    /// Returns an upper bound of the size of the stored value in format 1, in bytes.
    pub fn max_json_bytes(&self) -> usize {
        let task_bytes: usize = (self.tasks.iter())
            .map(|t| t.assignment().map_or(4, assignment_bytes))
            .sum();
        let failed_on_bytes: usize = self.failed_on.iter().map(|m| m.len() + 3).sum();
        CHUNK_BASE_BYTES + self.team.len() + failed_on_bytes + task_bytes
    }
}

fn assignment_bytes(assignment: &Assignment) -> usize {
    let stop = assignment.stop_reason.as_ref();
    ASSIGNMENT_BYTES + assignment.machine.len() + stop.map_or(0, |reason| reason.len() + 7)
}

/// Live tasks per zone, for jobs of several chunks where each task's zone depends on the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneSpreadRecord {
    /// Number of live tasks by zone.
    pub zones: BTreeMap<String, u32>,
}

/// The lifecycle phase of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// Provisioned; no controller has received a heartbeat yet.
    Booting,
    /// The worker has sent heartbeats.
    Up,
    /// Gets no new tasks, because of a spot notice or faults, or before it is deprovisioned.
    Draining,
    /// Its deletion is committed; its assignments stay until the cloud has responded with 200.
    #[serde(rename = "Returning")]
    Deprovisioning,
}

/// A machine of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of the machine type.
    #[serde(rename = "type")]
    pub type_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The lifecycle phase.
    pub phase: MachinePhase,
    /// Wall-clock time at which a controller created the record.
    #[serde(rename = "at")]
    pub created_at: WallMs,
    /// Address of the worker; empty before the first heartbeat.
    #[serde(default)]
    pub address: String,
    /// Jobs that failed on the machine since the last success of a task on it.
    #[serde(default)]
    pub faults: Vec<String>,
    /// Difference between this machine's fencing token and the shared term.
    #[serde(rename = "raised", default)]
    pub token_offset: u64,
}

impl ZoneSpreadRecord {
    /// Returns the number of live tasks in a zone.
    pub fn count(&self, zone: &str) -> u32 {
        self.zones.get(zone).copied().unwrap_or(0)
    }
}

impl MachineRecord {
    /// Creates the record of a machine without faults and with no known address.
    pub fn new(
        type_name: &str,
        zone: &str,
        spot: bool,
        phase: MachinePhase,
        created_at: WallMs,
    ) -> MachineRecord {
        MachineRecord {
            type_name: type_name.to_string(),
            zone: zone.to_string(),
            spot,
            phase,
            created_at,
            address: String::new(),
            faults: Vec::new(),
            token_offset: 0,
        }
    }
    /// Returns whether the worker has sent heartbeats and the machine's deletion isn't committed.
    pub fn is_up(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }
}

/// CPUs and GPUs in use, as counted from the assignments. Each claim of a team with a limit writes
/// the record, so that of two concurrent claims that together exceed the limit one conflicts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// CPUs, in thousandths.
    #[serde(alias = "c")]
    pub cpus: u64,
    /// GPUs, in thousandths.
    #[serde(alias = "g")]
    pub gpus: u64,
}

/// The stored form of a [`TeamRecord`] from format 4 on. Versions that read limits only from the
/// settings can't parse it: they keep an outdated record cached, so their claims always conflict.
#[derive(Serialize)]
struct FencedTeamValue {
    #[serde(rename = "c")]
    cpus: u64,
    #[serde(rename = "g")]
    gpus: u64,
}

impl FencedTeamValue {
    fn of(team: &TeamRecord) -> FencedTeamValue {
        FencedTeamValue {
            cpus: team.cpus,
            gpus: team.gpus,
        }
    }
}

/// A request for new instances, committed before a controller uses its name with the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRequestRecord {
    #[serde(rename = "type")]
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(rename = "at")]
    pub created_at: WallMs,
    /// Names of the machines that the cloud created for the request. A controller removes the
    /// request once each of them has a machine record.
    #[serde(rename = "hosts", default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Vec<String>>,
}

impl InstanceRequestRecord {
    /// Returns the key of the requested offer.
    pub fn offer(&self) -> String {
        offer_key(&self.type_name, &self.zone, self.spot)
    }
}

/// Returns the key of an offer of the cloud: machine type, zone, and whether spot or on-demand.
pub fn offer_key(type_name: &str, zone: &str, spot: bool) -> String {
    format!(
        "{type_name}|{zone}|{}",
        if spot { "spot" } else { "ordinary" }
    )
}

/// The provisioning state that all controllers share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Number of the next instance request; a number is never reused.
    #[serde(rename = "next")]
    pub next_request_number: u64,
    /// Offers that the cloud refused, and the wall-clock time until which none is requested again.
    #[serde(default)]
    pub refused: BTreeMap<String, WallMs>,
}

/// The shared term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The base of all fencing tokens; it never decreases.
    pub term: u64,
}

/// A marker: controllers confirm each cancellation that is committed after this record's revision
/// only once all tasks of the job have ended. Written once and never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancellationConfirmationRecord {
    /// The format that introduced it.
    #[serde(rename = "v")]
    pub version: u32,
}

/// The run-time statistics of a job class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimesRecord {
    /// Name of the team, truncated to the space available; the key identifies the class.
    pub team: String,
    /// Name of the class, truncated to the space available.
    pub class: String,
    /// Wall-clock time of the latest change. The oldest record is removed if there are too many.
    #[serde(rename = "at")]
    pub updated_at: WallMs,
    /// The statistics in packed form.
    #[serde(flatten)]
    pub packed: glenmount_runtime_estimates::history::Packed,
}

/// The cloud's machine types as last read, for a controller that starts while the cloud is down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    #[serde(rename = "types")]
    pub machine_types: Vec<MachineType>,
}

/// A shared record of any kind; the key determines the kind.
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

/// Parses a record of the kind that its key determines.
macro_rules! parse_as_kind_of {
    ($key:expr, $is_compact:expr, $parse:expr) => {
        match $key {
            Key::Term => $parse.ok().map(Record::Term),
            Key::MachineTypes => $parse.ok().map(Record::MachineTypes),
            Key::Provisioning => $parse.ok().map(Record::Provisioning),
            Key::Job(_) => $parse.ok().map(Record::Job),
            Key::Chunk(..) if $is_compact => {
                let chunk: Option<CompactChunk> = $parse.ok();
                chunk?.decode().map(Record::Chunk)
            }
            Key::Chunk(..) => $parse.ok().map(Record::Chunk),
            Key::ZoneSpread(_) => $parse.ok().map(Record::ZoneSpread),
            Key::Machine(_) => $parse.ok().map(Record::Machine),
            Key::Team(_) => $parse.ok().map(Record::Team),
            Key::InstanceRequest(_) => $parse.ok().map(Record::InstanceRequest),
            Key::Format(_) => $parse.ok().map(Record::Format),
            Key::CancellationConfirmation => $parse.ok().map(Record::CancellationConfirmation),
            Key::RunTimes(_) => $parse.ok().map(Record::RunTimes),
            Key::Configuration => $parse.ok().map(Record::Configuration),
            Key::ConfigurationPage(..) => $parse.ok().map(Record::ConfigurationPage),
            Key::ConfigurationEnabled => $parse.ok().map(Record::ConfigurationEnabled),
            Key::ObservedVersion(_) => $parse.ok().map(Record::ObservedVersion),
        }
    };
}

impl Record {
    /// Returns the value that is stored in a format.
    pub fn value(&self, format: u32) -> Value {
        let value = match self {
            Record::Term(r) => serde_json::to_value(r),
            Record::MachineTypes(r) => serde_json::to_value(r),
            Record::Provisioning(r) => serde_json::to_value(r),
            Record::Job(r) => serde_json::to_value(r),
            Record::Chunk(r) if format < formats::COMPACT_CHUNKS_AND_DEPENDENCIES => {
                serde_json::to_value(r)
            }
            Record::Chunk(r) => serde_json::to_value(CompactChunk::encode(r)),
            Record::ZoneSpread(r) => serde_json::to_value(r),
            Record::Machine(r) => serde_json::to_value(r),
            Record::Team(r) if format < formats::STORED_CONFIGURATION => serde_json::to_value(r),
            Record::Team(r) => serde_json::to_value(FencedTeamValue::of(r)),
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

    /// Parses a stored value; returns none if it isn't a record of the key's kind.
    pub fn from_value(key: &Key, value: Value) -> Option<Record> {
        let is_compact = value.get("z").is_some();
        parse_as_kind_of!(key, is_compact, serde_json::from_value(value))
    }

    /// Parses the JSON text of a stored value, like [`Record::from_value`], without an intermediate
    /// tree of JSON values, because every controller parses every change of all controllers.
    pub fn parse(key: &Key, text: &str) -> Option<Record> {
        #[derive(Deserialize)]
        struct CompactTasks {
            z: Option<IgnoredAny>,
        }
        let read = |text| serde_json::from_str::<CompactTasks>(text).ok();
        let is_compact = matches!(key, Key::Chunk(..)) && read(text).is_some_and(|c| c.z.is_some());
        parse_as_kind_of!(key, is_compact, serde_json::from_str(text))
    }
}
