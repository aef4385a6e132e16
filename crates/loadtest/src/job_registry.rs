//! All jobs that users have submitted: what workers and measurements look up by a job's id.

use crate::protocol::jobs::{Submission, TaskId};
use crate::stand_ins::hollow_worker::{JobDescription, JobLookup};
use crate::sync::lock;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// A job and the times that are needed to measure it.
pub struct Job {
    /// As its user submits it.
    pub submission: Arc<Submission>,
    /// How long each of its tasks runs.
    pub run_ms: u64,
    /// When its user tried to submit it for the first time.
    pub submitted_ms: u64,
    /// When the last of its tasks so far has completed.
    pub last_completion_ms: AtomicU64,
    /// Tasks that have started once.
    tasks: Mutex<BTreeMap<u32, StartedTask>>,
}

/// A task that has started once.
struct StartedTask {
    /// When it was last stopped or lost, if it waits for its next start since.
    lost_ms: Option<u64>,
}

/// What a start of a task is, and since when it was waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStart {
    /// Its first start.
    First {
        /// When the job was submitted.
        since_ms: u64,
    },
    /// Its start after it was stopped, or lost with its worker.
    Restart {
        /// When it was stopped or lost.
        since_ms: u64,
    },
}

impl Job {
    /// Takes note of a task's start.
    pub fn task_started(&self, index: u32) -> TaskStart {
        let before = lock(&self.tasks).insert(index, StartedTask { lost_ms: None });
        match before {
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

/// Jobs by id.
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

    /// The job with an id.
    pub fn get(&self, id: &str) -> Option<Arc<Job>> {
        let jobs = self.jobs.read().unwrap_or_else(PoisonError::into_inner);
        jobs.get(id).cloned()
    }

    /// Takes note that a task no longer runs.
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
