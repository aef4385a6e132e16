//! The domain model: jobs, tasks, machines, machine types, heartbeats and commands.

use crate::constants::messages::{HEARTBEAT_ASSIGNED_BYTES, HEARTBEAT_TASK_BYTES};
use serde::{Deserialize, Serialize};

/// Milliseconds of the monotonic clock since the start of the process.
pub type Millis = u64;
/// Milliseconds of the time of day. The clocks of two controllers differ by up to `clock_skew_ms`.
pub type WallMs = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    Array,
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobPriority {
    Low,
    Normal,
    High,
    Production,
}

/// An amount of resources, those of a machine's hardware in thousandths, so that sums stay exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resources {
    #[serde(rename = "c")]
    pub cpus: u64,
    #[serde(rename = "g", default)]
    pub gpus: u64,
    #[serde(rename = "r")]
    pub ram: u64,
    /// Bytes of task entries in a machine's heartbeats, whose size is limited. Not stored or sent: it is set by
    /// [`Resources::with_task_entry`] and [`MachineType::task_capacity`].
    #[serde(skip)]
    pub heartbeat_bytes: u64,
}

/// Returns the most bytes that the entry of a task of this job takes in a heartbeat.
pub fn heartbeat_task_bytes(job: &str) -> u64 {
    HEARTBEAT_TASK_BYTES + job.len() as u64
}

/// Returns a resource request in thousandths, rounded up.
pub fn ceil_milli(amount: f64) -> u64 {
    (amount * 1000.0 - 1e-6).ceil().max(0.0) as u64
}

/// Returns a capacity or limit in thousandths, rounded down.
pub fn floor_milli(amount: f64) -> u64 {
    (amount * 1000.0 + 1e-6).floor().max(0.0) as u64
}

impl Resources {
    /// Returns whether these resources cover the requested ones.
    pub fn fits(&self, resources: &Resources) -> bool {
        resources.cpus <= self.cpus
            && resources.gpus <= self.gpus
            && resources.ram <= self.ram
            && resources.heartbeat_bytes <= self.heartbeat_bytes
    }
    /// Returns the difference, at least zero in each dimension.
    pub fn saturating_sub(&self, resources: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(resources.cpus),
            gpus: self.gpus.saturating_sub(resources.gpus),
            ram: self.ram.saturating_sub(resources.ram),
            heartbeat_bytes: (self.heartbeat_bytes).saturating_sub(resources.heartbeat_bytes),
        }
    }
    /// Returns the sum.
    pub fn saturating_add(&self, resources: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(resources.cpus),
            gpus: self.gpus.saturating_add(resources.gpus),
            ram: self.ram.saturating_add(resources.ram),
            heartbeat_bytes: (self.heartbeat_bytes).saturating_add(resources.heartbeat_bytes),
        }
    }
    /// Returns, for each resource, the smaller amount.
    pub fn component_min(&self, resources: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(resources.cpus),
            gpus: self.gpus.min(resources.gpus),
            ram: self.ram.min(resources.ram),
            heartbeat_bytes: self.heartbeat_bytes.min(resources.heartbeat_bytes),
        }
    }
    /// Returns what a task of a job with this resource request takes of a machine: the resources and the task's
    /// entry in heartbeats.
    pub fn with_task_entry(self, job: &str) -> Resources {
        Resources {
            heartbeat_bytes: heartbeat_task_bytes(job),
            ..self
        }
    }
    /// Returns the number of tasks with this resource request that fit.
    pub fn max_tasks(&self, resources: &Resources) -> u64 {
        let fitting =
            |available: u64, requested: u64| available.checked_div(requested).unwrap_or(u64::MAX);
        fitting(self.cpus, resources.cpus)
            .min(fitting(self.gpus, resources.gpus))
            .min(fitting(self.ram, resources.ram))
            .min(fitting(self.heartbeat_bytes, resources.heartbeat_bytes))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: String,
    pub class: String,
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    pub tasks: u32,
    #[serde(rename = "need")]
    pub resources: Resources,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub zone_affinity: bool,
    #[serde(rename = "scatter")]
    pub topology_spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "save_s")]
    pub checkpoint_duration_s: f64,
    pub deadline_s: Option<f64>,
    /// Jobs that must be complete before any task of this job starts, without duplicates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<String>,
}

impl JobSpec {
    /// Returns what one of its tasks takes of a machine: its resources and its entry in heartbeats.
    pub fn task_request(&self) -> Resources {
        self.resources.with_task_entry(&self.id)
    }
    /// Returns whether tasks of the job may run on a machine of this type, zone and pricing.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == type_name))
    }
    /// Returns the limit of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.topology_spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "room")]
    pub capacity: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns what a machine of this type offers to tasks: its resources and the space in its heartbeats.
    pub fn task_capacity(&self) -> Resources {
        Resources {
            heartbeat_bytes: HEARTBEAT_ASSIGNED_BYTES,
            ..self.capacity
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: u64,
    pub cpus_max: u64,
    pub gpus: u64,
    pub gpus_max: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    Fetching,
    Running,
    Checkpointing,
    Exited(ExitCause),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    Stopped,
    Error,
    NoResources,
    Busy,
    Unknown,
    Other,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: String,
    pub index: u32,
}

impl TaskId {
    pub fn parse(s: &str) -> Option<TaskId> {
        let (job, index) = s.rsplit_once('/')?;
        Some(TaskId {
            job: job.to_string(),
            index: index.parse().ok()?,
        })
    }
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

/// The position of a heartbeat among all of its worker, by incarnation and sequence number. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatPosition {
    /// Number of starts of the worker's process.
    pub incarnation: u64,
    /// Number of heartbeats, and of responses to commands, in the incarnation.
    pub sequence: u64,
}

impl From<(u64, u64)> for HeartbeatPosition {
    fn from((incarnation, sequence): (u64, u64)) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation,
            sequence,
        }
    }
}

impl From<HeartbeatPosition> for (u64, u64) {
    fn from(position: HeartbeatPosition) -> (u64, u64) {
        (position.incarnation, position.sequence)
    }
}

/// The incarnation of the worker and the fencing token of a start that is sent by a direct command. Stored as a
/// pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct DirectStart {
    /// The worker rejects the command in any other incarnation.
    pub incarnation: u64,
    /// The worker rejects the command once it has received a higher token.
    pub token: u64,
}

impl From<(u64, u64)> for DirectStart {
    fn from((incarnation, token): (u64, u64)) -> DirectStart {
        DirectStart { incarnation, token }
    }
}

impl From<DirectStart> for (u64, u64) {
    fn from(start: DirectStart) -> (u64, u64) {
        (start.incarnation, start.token)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct WorkerHeartbeat {
    pub machine: String,
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<TaskStatus>,
}

impl WorkerHeartbeat {
    /// Returns the position of this heartbeat among all of its worker.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
    /// Returns the most bytes that the entries of its tasks take in a heartbeat.
    pub fn task_bytes(&self) -> u64 {
        let tasks = self.tasks.iter();
        tasks.map(|task| heartbeat_task_bytes(&task.task.job)).sum()
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    Start {
        task: TaskId,
        attempt: u64,
    },
    Stop {
        task: TaskId,
        attempt: u64,
        grace_s: f64,
    },
    Forget {
        task: TaskId,
        attempt: u64,
    },
}

/// The state of a job as reported to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Pending,
    Running,
    Done,
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudInstanceState {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CloudInstance {
    pub name: String,
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub state: CloudInstanceState,
    pub age_s: f64,
}
