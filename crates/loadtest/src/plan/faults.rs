//! Faults of a plan.

use serde::{Deserialize, Serialize};

/// A fault that is injected `at_s` seconds after the start of the measured phase.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Trouble")]
pub struct Fault {
    /// Time of the injection.
    pub at_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of affected workers, for the kinds that affect a number of workers.
    #[serde(default)]
    pub count: u32,
    /// Duration, or the time over which `count` workers are affected one after another.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Name of the affected zone or region.
    #[serde(default, rename = "place")]
    pub location: Option<String>,
    /// Index of the affected controller.
    #[serde(default)]
    pub controller: Option<u32>,
    /// Mean latency of the state store during the fault.
    #[serde(default)]
    pub latency_ms: f64,
    /// Share of the direct commands of which copies arrive, from 0 to 1.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub share: f64,
}

fn is_zero(share: &f64) -> bool {
    *share == 0.0
}

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// Workers lose power permanently, one after another.
    #[serde(rename = "machines_fail")]
    WorkerFailures,
    /// Workers restart at once with a new incarnation, one after another.
    #[serde(rename = "machines_restart")]
    WorkerRestarts,
    /// The cloud deletes workers, one after another.
    #[serde(rename = "machines_replaced")]
    WorkerReplacements,
    /// Workers of one zone lose power at the same time.
    #[serde(rename = "rack_fail")]
    RackFailure,
    /// Workers of one zone are isolated from the network for the duration.
    #[serde(rename = "rack_cut")]
    RackPartition,
    /// A zone, including its controllers, is separated from all other sites for the duration.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// All workers of a zone lose power and its controllers are killed; the controllers restart after the
    /// duration.
    #[serde(rename = "zone_fail")]
    ZoneFailure,
    /// A region is separated from all other sites for the duration.
    #[serde(rename = "region_cut")]
    RegionPartition,
    /// A controller is killed and restarts after the duration.
    #[serde(rename = "controller_end")]
    ControllerCrash,
    /// The state store answers with a higher latency for the duration.
    #[serde(rename = "state_slow")]
    StateStoreLatency,
    /// The state store answers 503 to all clients for the duration.
    #[serde(rename = "state_down")]
    StateStoreOutage,
    /// The state store answers 503 to one controller for the duration.
    #[serde(rename = "state_refuses")]
    StateStoreRejection,
    /// The cloud answers 503 to all controllers for the duration.
    #[serde(rename = "cloud_down")]
    CloudOutage,
    /// Copies of a share of the direct commands that workers execute for the duration arrive again, from at once
    /// to a minute later.
    #[serde(rename = "commands_repeat")]
    RepeatedCommands,
}

impl FaultKind {
    /// Returns whether the fault affects a number of workers.
    pub fn needs_count(self) -> bool {
        matches!(
            self,
            FaultKind::WorkerFailures
                | FaultKind::WorkerRestarts
                | FaultKind::WorkerReplacements
                | FaultKind::RackFailure
                | FaultKind::RackPartition
        )
    }

    /// Returns whether the fault affects one zone.
    pub fn needs_zone(self) -> bool {
        matches!(
            self,
            FaultKind::RackFailure
                | FaultKind::RackPartition
                | FaultKind::ZonePartition
                | FaultKind::ZoneFailure
        )
    }

    /// Returns whether the fault affects one controller.
    pub fn needs_controller(self) -> bool {
        matches!(
            self,
            FaultKind::ControllerCrash | FaultKind::StateStoreRejection
        )
    }
}
