//! Registry of all submitted jobs, for lookups by workers and measurements.

use crate::protocol::jobs::{Submission, TaskId};
use crate::stand_ins::hollow_worker::{JobDescription, JobLookup};
use crate::sync::lock;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// A job and the times from which its latencies are computed.
pub struct Job {
    /// Submission as its user sends it.
    pub submission: Arc<Submission>,
    /// Run time of each task.
    pub run_ms: u64,
    /// Time of its user's first attempt to submit it.
    pub submitted_ms: u64,
    /// Latest completion time of a task; 0 before the first.
    pub last_completion_ms: AtomicU64,
    /// Tasks that have started at least once, by index.
    tasks: Mutex<BTreeMap<u32, StartedTask>>,
}

/// A task that has started at least once.
struct StartedTask {
    /// Time at which the task was stopped or lost; `None` after the next start.
    lost_ms: Option<u64>,
}

/// The kind of a task's start, with the time from which its latency counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStart {
    /// First start of the task.
    First {
        /// Submission time of the job.
        since_ms: u64,
    },
    /// Start after the task was stopped, or lost with its worker.
    Restart {
        /// Time of the stop or loss.
        since_ms: u64,
    },
}

impl Job {
    /// Records the start of a task and returns its kind.
    pub fn task_started(&self, index: u32) -> TaskStart {
        let previous = lock(&self.tasks).insert(index, StartedTask { lost_ms: None });
        match previous {
            None => TaskStart::First {
                since_ms: self.submitted_ms,
            },
            Some(task) => TaskStart::Restart {
                since_ms: task.lost_ms.unwrap_or(self.submitted_ms),
            },
        }
    }

    fn task_lost(&self, index: u32, at_ms: u64) {
        let lost_ms = Some(at_ms);
        lock(&self.tasks).insert(index, StartedTask { lost_ms });
    }
}

/// The submitted jobs by id.
#[derive(Default)]
pub struct JobRegistry {
    jobs: RwLock<HashMap<Arc<str>, Arc<Job>>>,
}

impl JobRegistry {
    /// Adds a job whose user is about to submit it.
    pub fn add(&self, submission: Arc<Submission>, run_ms: u64, now_ms: u64) -> Arc<Job> {
        let job = Arc::new(Job {
            submission: submission.clone(),
            run_ms,
            submitted_ms: now_ms,
            last_completion_ms: AtomicU64::new(0),
            tasks: Mutex::default(),
        });
        let mut jobs = self.jobs.write().unwrap_or_else(PoisonError::into_inner);
        jobs.insert(submission.id.clone(), job.clone());
        job
    }

    /// Returns the job with an id.
    pub fn get(&self, id: &str) -> Option<Arc<Job>> {
        let jobs = self.jobs.read().unwrap_or_else(PoisonError::into_inner);
        jobs.get(id).cloned()
    }

    /// Records that a task no longer runs.
    pub fn task_ended(&self, task: &TaskId, completed: bool, at_ms: u64) {
        let Some(job) = self.get(&task.job) else {
            return;
        };
        if completed {
            job.last_completion_ms.fetch_max(at_ms, Relaxed);
        } else {
            job.task_lost(task.index, at_ms);
        }
    }
}

impl JobLookup for JobRegistry {
    fn find(&self, id: &str) -> Option<JobDescription> {
        let job = self.get(id)?;
        Some(JobDescription {
            submission: job.submission.clone(),
            run_ms: job.run_ms,
        })
    }
}
