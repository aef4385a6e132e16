//! Evidence that waits to be written to the state service.

use crate::model::{Millis, TaskId};
use crate::workers::machine_updates::MachineUpdate;
use crate::workers::results::EndedAttempt;
use std::collections::{BTreeMap, BTreeSet};

/// Evidence that waits to be written to the state service.
pub(crate) struct WriteBack {
    /// Attempts that have ended.
    pub(crate) results: BTreeMap<(TaskId, u64), EndedAttempt>,
    /// Tasks to be stopped so that they save, since their machine is about to be taken.
    pub(crate) checkpoints_due: BTreeSet<(TaskId, u64)>,
    /// What heartbeats give reason to change in machines' records.
    pub(crate) machine_updates: BTreeMap<String, MachineUpdate>,
    /// When results were last written, 0 if more are waiting.
    pub(crate) written_at: Millis,
}

impl WriteBack {
    pub(crate) fn new() -> WriteBack {
        WriteBack {
            results: BTreeMap::new(),
            checkpoints_due: BTreeSet::new(),
            machine_updates: BTreeMap::new(),
            written_at: 0,
        }
    }
}
