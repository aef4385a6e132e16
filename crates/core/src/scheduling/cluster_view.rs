//! The read-only inputs of the steps of a scheduling pass.

use crate::model::{MachineType, WallMs};
use crate::settings::Settings;
use crate::state::StateCache;
use foldhash::HashMap;

/// The state of the cluster that a scheduling pass works from.
#[derive(Clone, Copy)]
pub struct ClusterView<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    /// The cloud's machine types by name.
    pub machine_types: &'a HashMap<String, MachineType>,
    /// The current wall-clock time.
    pub wall_time: WallMs,
}
