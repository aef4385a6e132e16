//! All jobs that users have submitted: what workers and measurements look up by a job's id.

use crate::network::partitions::lock;
use crate::protocol::Submission;
use crate::stand_ins::hollow_worker::{JobDescription, JobLookup};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// A job and the times that are needed to measure it.
pub struct Job {
    pub submission: Arc<Submission>,
    pub run_ms: u64,
    pub submitted_ms: u64,
    /// When the last of its tasks so far has completed.
    pub last_end_ms: AtomicU64,
    /// Tasks that have started once, and when each was last lost, if it waits again for that.
    tasks: Mutex<BTreeMap<u32, Option<u64>>>,
}

/// What a start of a task is, and since when it was waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartKind {
    First {
        since_ms: u64,
    },
    /// After it was stopped or lost with its machine.
    Again {
        since_ms: u64,
    },
}

impl Job {
    pub fn started(&self, index: u32) -> StartKind {
        let mut tasks = lock(&self.tasks);
        let since_ms = self.submitted_ms;
        match tasks.insert(index, None) {
            None => StartKind::First { since_ms },
            Some(lost_ms) => StartKind::Again {
                since_ms: lost_ms.unwrap_or(since_ms),
            },
        }
    }

    pub fn lost(&self, index: u32, at_ms: u64) {
        lock(&self.tasks).insert(index, Some(at_ms));
    }
}

#[derive(Default)]
pub struct JobRegistry(RwLock<HashMap<Arc<str>, Arc<Job>>>);

impl JobRegistry {
    pub fn add(&self, submission: Arc<Submission>, run_ms: u64, now_ms: u64) -> Arc<Job> {
        let job = Arc::new(Job {
            submission: submission.clone(),
            run_ms,
            submitted_ms: now_ms,
            last_end_ms: AtomicU64::new(0),
            tasks: Mutex::default(),
        });
        let mut jobs = self.0.write().unwrap_or_else(PoisonError::into_inner);
        jobs.insert(submission.id.clone(), job.clone());
        job
    }

    pub fn get(&self, id: &str) -> Option<Arc<Job>> {
        let jobs = self.0.read().unwrap_or_else(PoisonError::into_inner);
        jobs.get(id).cloned()
    }

    pub fn task_ended(&self, id: &str, index: u32, completed: bool, at_ms: u64) {
        let Some(job) = self.get(id) else {
            return;
        };
        match completed {
            true => {
                job.last_end_ms.fetch_max(at_ms, Relaxed);
            }
            false => job.lost(index, at_ms),
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
