//! Run times of tasks, and jobs whose tasks fail.

use glenmount_core::model::TaskId;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Run times of tasks, and faults that prolong or fail them.
pub struct Workload {
    /// Default run time of tasks.
    pub run_ms: u64,
    /// Run times of tasks by job, which take precedence.
    pub job_run_ms: HashMap<String, u64>,
    /// Run times of tasks by class of their job.
    pub class_run_ms: BTreeMap<String, u64>,
    /// Machines on which tasks take three times as long.
    pub slow_machines: BTreeSet<String>,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Milliseconds that earlier attempts of checkpointed tasks have run, and the start of the latest attempt.
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
