//! Queue of evidence that is to be written to the state store.

use crate::model::{Millis, TaskId};
use crate::workers::machine_updates::MachineUpdate;
use crate::workers::results::EndedAttempt;
use std::collections::{BTreeMap, BTreeSet};

/// Evidence that is to be written to the state store.
pub(crate) struct WriteBack {
    /// Attempts that have ended.
    pub(crate) results: BTreeMap<(TaskId, u64), EndedAttempt>,
    /// Tasks to be stopped so that they save a checkpoint, since their machine is about to be
    /// reclaimed.
    pub(crate) checkpoints_due: BTreeSet<(TaskId, u64)>,
    /// Changes to machine records that heartbeats gave evidence of.
    pub(crate) machine_updates: BTreeMap<String, MachineUpdate>,
    /// When results were last written, 0 if more are queued.
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
