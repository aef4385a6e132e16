//! Faults that a plan injects.

use serde::{Deserialize, Serialize};

/// Something that goes wrong `at_s` seconds into what is measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Trouble")]
pub struct Fault {
    /// When it happens.
    pub at_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// Workers, for those kinds that strike some.
    #[serde(default)]
    pub count: u32,
    /// How long it lasts, or the time over which `count` workers are struck one after another.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Zone or region by name.
    #[serde(default, rename = "place")]
    pub location: Option<String>,
    /// Controller by index.
    #[serde(default)]
    pub controller: Option<u32>,
    /// How slow the state store gets.
    #[serde(default)]
    pub latency_ms: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// Workers lose power for good, one after another.
    #[serde(rename = "machines_fail")]
    WorkerFailures,
    /// Workers start again at once with a new incarnation, one after another.
    #[serde(rename = "machines_restart")]
    WorkerRestarts,
    /// Workers are taken by the cloud, one after another.
    #[serde(rename = "machines_replaced")]
    WorkerReplacements,
    /// Workers of one zone lose power at once.
    #[serde(rename = "rack_fail")]
    RackFailure,
    /// Workers of one zone reach nobody for a time.
    #[serde(rename = "rack_cut")]
    RackPartition,
    /// A zone with its controllers reaches only itself.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// All workers of a zone lose power, and its controllers are killed; these are back after the duration.
    #[serde(rename = "zone_fail")]
    ZoneFailure,
    /// A region reaches only itself.
    #[serde(rename = "region_cut")]
    RegionPartition,
    /// A controller is killed and back after the duration.
    #[serde(rename = "controller_end")]
    ControllerCrash,
    /// The state store answers slowly.
    #[serde(rename = "state_slow")]
    StateStoreLatency,
    /// The state store answers 503 to everybody.
    #[serde(rename = "state_down")]
    StateStoreOutage,
    /// The state store answers 503 to one controller.
    #[serde(rename = "state_refuses")]
    StateStoreRejection,
    /// The cloud answers 503 to everybody.
    #[serde(rename = "cloud_down")]
    CloudOutage,
}

impl FaultKind {
    /// Whether it strikes a number of workers.
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

    /// Whether it strikes a zone.
    pub fn needs_zone(self) -> bool {
        matches!(
            self,
            FaultKind::RackFailure
                | FaultKind::RackPartition
                | FaultKind::ZonePartition
                | FaultKind::ZoneFailure
        )
    }

    /// Whether it strikes one controller.
    pub fn needs_controller(self) -> bool {
        matches!(
            self,
            FaultKind::ControllerCrash | FaultKind::StateStoreRejection
        )
    }
}
