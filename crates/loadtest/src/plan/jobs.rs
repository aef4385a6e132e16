//! Job classes of a plan.

use serde::{Deserialize, Serialize};

/// A class of similar jobs and the times of their arrivals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Name of the class.
    #[serde(rename = "class")]
    pub name: String,
    /// Whether the tasks end by themselves.
    pub shape: JobShape,
    /// Priority relative to other jobs.
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    /// Smallest and largest number of tasks; the logarithm of the number is distributed uniformly.
    #[serde(rename = "tasks")]
    pub task_range: [u32; 2],
    /// Processors of each task.
    pub cpus: f64,
    /// Memory of each task.
    pub ram_gb: f64,
    /// Run time of a task; 0 for services.
    pub run_s: f64,
    /// Number of images from which the image of each job is drawn.
    #[serde(rename = "images")]
    pub image_count: u32,
    /// Size of each image.
    pub image_gb: f64,
    /// Number of jobs submitted during the warm-up.
    #[serde(default)]
    pub initial: u32,
    /// Jobs per second between `from_s` and `until_s`.
    #[serde(default, rename = "rate")]
    pub jobs_per_s: f64,
    /// Start of the arrivals, relative to the start of the measured phase.
    #[serde(default)]
    pub from_s: f64,
    /// End of the arrivals; by default the end of the measured phase.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// Share of jobs that their users cancel some seconds after the acceptance.
    #[serde(default, rename = "cancelled")]
    pub cancelled_share: f64,
    /// Share of jobs that must run in one randomly drawn zone.
    #[serde(default, rename = "zone_bound")]
    pub zone_bound_share: f64,
    /// Whether no zone may run more than half of a job's tasks.
    #[serde(default, rename = "scatter")]
    pub topology_spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(default)]
    pub spot: bool,
    /// Seconds between the submission of a job and its deadline.
    #[serde(default, rename = "due_s")]
    pub deadline_s: Option<f64>,
}

/// Whether a job's tasks end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobShape {
    /// Each task runs to completion once.
    Array,
    /// Tasks are replicas of a service that run until the job is cancelled.
    Daemon,
}

/// The priority of a job relative to other jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPriority {
    /// Above all other priorities.
    Critical,
    /// Above standard priority.
    High,
    /// Standard priority.
    Standard,
    /// Below standard priority.
    Low,
}

impl JobPriority {
    /// Returns whether starts of the job count for the latency objective of urgent work.
    pub fn is_urgent(self) -> bool {
        matches!(self, JobPriority::Critical | JobPriority::High)
    }
}
