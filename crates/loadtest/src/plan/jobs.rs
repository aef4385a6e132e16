//! Classes of jobs that a plan's users submit.

use serde::{Deserialize, Serialize};

/// Jobs of one kind and when they come.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Name of the class.
    #[serde(rename = "class")]
    pub name: String,
    /// Whether tasks end by themselves.
    pub shape: JobShape,
    /// Urgency against other jobs.
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    /// Least and most tasks; sizes between are spread evenly by their logarithm.
    #[serde(rename = "tasks")]
    pub task_range: [u32; 2],
    /// Processors of each task.
    pub cpus: f64,
    /// Memory of each task.
    pub ram_gb: f64,
    /// Seconds that a task runs; 0 for services.
    pub run_s: f64,
    /// Number of images that jobs of this class draw from.
    #[serde(rename = "images")]
    pub image_count: u32,
    /// Size of each image.
    pub image_gb: f64,
    /// Jobs that are submitted during the warm-up.
    #[serde(default)]
    pub initial: u32,
    /// Jobs a second between `from_s` and `until_s`.
    #[serde(default, rename = "rate")]
    pub jobs_per_s: f64,
    /// When its jobs begin to come.
    #[serde(default)]
    pub from_s: f64,
    /// When its jobs cease to come; the end of what is measured by default.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// Share that is cancelled some seconds after it was accepted.
    #[serde(default, rename = "cancelled")]
    pub cancelled_share: f64,
    /// Share that must run in one zone, which is drawn at random.
    #[serde(default, rename = "zone_bound")]
    pub zone_bound_share: f64,
    /// Whether no zone may hold more than half of a job's tasks.
    #[serde(default, rename = "scatter")]
    pub topology_spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(default)]
    pub spot: bool,
    /// Seconds after the submission by which a job should be done.
    #[serde(default, rename = "due_s")]
    pub deadline_s: Option<f64>,
}

/// Whether a job's tasks end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobShape {
    /// Each task runs once to its end.
    Array,
    /// Tasks are replicas of a service and run until the job is cancelled.
    Daemon,
}

/// Urgency of a job against others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPriority {
    /// Before everything else.
    Critical,
    /// Before usual work.
    High,
    /// Usual work.
    Standard,
    /// Behind usual work.
    Low,
}

impl JobPriority {
    /// Whether its starts are held against the objective for urgent work.
    pub fn is_urgent(self) -> bool {
        matches!(self, JobPriority::Critical | JobPriority::High)
    }
}
