//! How long tasks run, and which fail.

use glenmount_core::model::TaskId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Run times of tasks, in milliseconds.
pub struct Workload {
    /// Run time of tasks for which there is no other.
    pub run_ms: u64,
    /// Run time of the tasks of single jobs.
    pub job_run_ms: HashMap<String, u64>,
    /// Run time of the tasks of classes.
    pub class_run_ms: BTreeMap<String, u64>,
    /// Machines on which tasks take three times as long.
    pub slow_machines: BTreeSet<String>,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Milliseconds that checkpointed tasks had run in earlier attempts, and when the latest began.
    pub(crate) progress: HashMap<TaskId, (u64, u64)>,
}

impl Default for Workload {
    fn default() -> Workload {
        Workload {
            run_ms: 5_000,
            job_run_ms: HashMap::new(),
            class_run_ms: BTreeMap::new(),
            slow_machines: BTreeSet::new(),
            failing_jobs: BTreeSet::new(),
            progress: HashMap::new(),
        }
    }
}
