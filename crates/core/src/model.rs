//! The domain model: jobs, tasks, machines, machine types, heartbeats, commands.

use serde::{Deserialize, Serialize};

/// Milliseconds of the monotonic clock, since the process began.
pub type Millis = u64;
/// Milliseconds of the time of day. Differs between controllers by up to `clock_skew_ms`.
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

/// An amount of a machine in thousandths, so that sums stay exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resources {
    #[serde(rename = "c")]
    pub cpus: u64,
    #[serde(rename = "g", default)]
    pub gpus: u64,
    #[serde(rename = "r")]
    pub ram: u64,
}

/// A resource request in thousandths, rounded up.
pub fn ceil_milli(x: f64) -> u64 {
    (x * 1000.0 - 1e-6).ceil().max(0.0) as u64
}

/// A capacity or limit in thousandths, rounded down.
pub fn floor_milli(x: f64) -> u64 {
    (x * 1000.0 + 1e-6).floor().max(0.0) as u64
}

impl Resources {
    /// Whether so much is available here.
    pub fn fits(&self, resources: &Resources) -> bool {
        resources.cpus <= self.cpus && resources.gpus <= self.gpus && resources.ram <= self.ram
    }
    /// What is left without so much.
    pub fn saturating_sub(&self, resources: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(resources.cpus),
            gpus: self.gpus.saturating_sub(resources.gpus),
            ram: self.ram.saturating_sub(resources.ram),
        }
    }
    /// The sum of both.
    pub fn saturating_add(&self, more: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(more.cpus),
            gpus: self.gpus.saturating_add(more.gpus),
            ram: self.ram.saturating_add(more.ram),
        }
    }
    /// How many tasks of this resource request fit.
    pub fn max_tasks(&self, resources: &Resources) -> u64 {
        let part = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        part(self.cpus, resources.cpus)
            .min(part(self.gpus, resources.gpus))
            .min(part(self.ram, resources.ram))
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
    /// Jobs that must be done before any task of this one starts, without repeats.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<String>,
}

impl JobSpec {
    /// Whether its tasks may run on such machines.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.iter().any(|t| t == type_name))
    }
    /// Tasks that may be in one zone at most.
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

/// Where a heartbeat stands among all of its worker's: by incarnation, then by sequence number. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HeartbeatPosition {
    /// Counts the lives of the worker's process.
    pub incarnation: u64,
    /// Counts the heartbeats, and the answers to commands, of one incarnation.
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

/// A start that goes by a direct command: to which incarnation of the worker, under which fencing token. Stored as a
/// pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct DirectStart {
    /// The worker refuses the command in any other incarnation.
    pub incarnation: u64,
    /// The worker refuses the command once it has seen a higher token.
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
    /// Where it stands among its worker's heartbeats.
    pub fn position(&self) -> HeartbeatPosition {
        HeartbeatPosition {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
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

/// What a user is told about a job.
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
