//! The plan file of a run: sizes, limits, arrivals of jobs and faults, checked when it is read.
//!
//! Fields keep the names of the file for those who write plans; serde maps them where the code's names
//! differ.

mod faults;
mod jobs;
mod overrides;
mod validation;

pub use faults::{Fault, FaultKind};
pub use jobs::{JobClass, JobPriority, JobShape};

use overrides::apply_override;
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::fs;
use std::path::Path;

/// Bytes of a plan file at most.
const MAX_PLAN_BYTES: u64 = 256 * 1024;

/// Why a plan can't be played: the field, and what is wrong with it, in one line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct PlanError {
    /// The field of the plan, or the file.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl PlanError {
    fn new(field: impl Into<String>, problem: impl Into<String>) -> PlanError {
        PlanError {
            field: field.into(),
            problem: problem.into(),
        }
    }

    /// An error of the whole text, on one line.
    fn in_text(error: &impl Display) -> PlanError {
        PlanError::new("plan", error.to_string().trim().replace('\n', " "))
    }
}

/// What is played, by size.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Seconds before anything is measured: records are read, workers taken up, services started.
    pub warm_up_s: f64,
    /// Seconds that are measured; times of arrivals and faults count from their begin.
    pub seconds: f64,
    /// Seconds of operation whose faults are played in `seconds`.
    #[serde(rename = "stands_for_s")]
    pub represents_s: f64,
    /// Seconds after the end in which tasks that are still under way may end.
    #[serde(default)]
    pub settle_s: f64,
    /// Regions with their zones.
    pub regions: Vec<Region>,
    /// The controllers.
    pub controllers: ControllerSizes,
    /// The workers.
    pub workers: WorkerSizes,
    /// The state store.
    pub state: StateStoreLimits,
    /// The cloud.
    pub cloud: CloudLimits,
    /// The teams.
    pub teams: TeamSizes,
    /// Changes of the configuration on record, evenly over the run; the first one adopts the settings.
    #[serde(default)]
    pub configuration_changes_per_minute: f64,
    /// Only so many of the zones, the first ones, are there.
    #[serde(default = "all_zones", rename = "most_zones")]
    pub max_zones: usize,
    /// Jobs that ended before the run and are on record.
    #[serde(default)]
    pub ended_jobs: u32,
    /// Jobs that users submit.
    #[serde(default)]
    pub jobs: Vec<JobClass>,
    /// Faults that are injected.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// Zones that share a network; the first region holds the state store, the cloud and the users.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Names of its zones.
    pub zones: Vec<String>,
}

/// How many controllers there are, and the resources that their settings say they have. Nothing here
/// enforces these.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Controllers")]
pub struct ControllerSizes {
    /// Number of controllers.
    pub count: u32,
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory.
    pub ram_mb: f64,
    /// Open sockets.
    pub sockets: u32,
}

/// How many workers are up at the start, their resources and their intervals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Workers")]
pub struct WorkerSizes {
    /// Number of workers.
    pub count: u32,
    /// Seconds between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Seconds that a worker's lease lasts.
    pub lease_s: f64,
    /// Seconds within which the tasks of a cancelled job must be gone.
    #[serde(rename = "cancel_s")]
    pub cancel_within_s: f64,
    /// Processors of each worker.
    pub cpus: f64,
    /// Memory of each worker.
    pub ram_gb: f64,
    /// Rate at which a worker pulls images.
    pub image_gb_per_s: f64,
}

/// Limits and latency of the state store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct StateLimits")]
pub struct StateStoreLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Changes of keys a second.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// KiB of a value at most.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// Changes of one transaction at most.
    #[serde(rename = "txn_ops")]
    pub max_changes: u32,
    /// Mean latency of an answer.
    pub latency_ms: f64,
}

/// Limits and latencies of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Latency of an answer.
    pub latency_ms: f64,
    /// How old a list may be.
    pub list_lag_s: f64,
    /// Seconds from a request for an instance to its worker's first heartbeat, in the mean.
    pub boot_s: f64,
    /// Instances that can be provisioned beyond those that are up at the start.
    #[serde(rename = "spare")]
    pub spare_instances: u32,
}

/// How many teams there are, and the quota of each.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Teams")]
pub struct TeamSizes {
    /// Number of teams.
    pub count: u32,
    /// Guaranteed share, in processors.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Limit, in processors; 0 for none.
    #[serde(rename = "cpus_max")]
    pub cpu_limit: f64,
}

fn all_zones() -> usize {
    usize::MAX
}

/// A zone by its place in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneIndex(pub usize);

/// A zone and its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Zone<'a> {
    /// Its name.
    pub name: &'a str,
    /// Index of its region.
    pub region: usize,
}

impl Plan {
    /// Reads a plan file and checks it; `overrides` are as for [`Plan::parse`].
    pub fn read(path: &Path, overrides: &[String]) -> Result<Plan, PlanError> {
        let file = path.display().to_string();
        let unreadable = |error: std::io::Error| PlanError::new(&file, error.to_string());
        let size = fs::metadata(path).map_err(unreadable)?;
        if size.len() > MAX_PLAN_BYTES {
            return Err(PlanError::new(file, "larger than 256 KiB"));
        }
        let text = fs::read_to_string(path).map_err(unreadable)?;
        Plan::parse(&text, overrides)
    }

    /// Parses and checks a plan; overrides of the form `workers.count=4000` take the place of its own values.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Plan, PlanError> {
        let mut table: toml::Table = text
            .parse()
            .map_err(|error: toml::de::Error| PlanError::in_text(&error))?;
        for change in overrides {
            apply_override(&mut table, change)?;
        }
        let mut plan: Plan = toml::Value::Table(table)
            .try_into()
            .map_err(|error: toml::de::Error| PlanError::in_text(&error))?;
        plan.check_regions()?;
        plan.leave_zones_out();
        plan.check()?;
        Ok(plan)
    }

    fn leave_zones_out(&mut self) {
        let mut left = self.max_zones;
        for region in &mut self.regions {
            region.zones.truncate(left);
            left -= region.zones.len();
        }
        self.regions.retain(|region| !region.zones.is_empty());
    }

    /// All zones, by index.
    pub fn zones(&self) -> Vec<Zone<'_>> {
        let regions = self.regions.iter().enumerate();
        regions
            .flat_map(|(index, region)| {
                let names = region.zones.iter();
                names.map(move |name| Zone {
                    name,
                    region: index,
                })
            })
            .collect()
    }

    /// Name of a zone.
    pub fn zone_name(&self, zone: ZoneIndex) -> &str {
        self.zones()[zone.0].name
    }

    /// The zone with a name.
    pub fn zone(&self, name: &str) -> Option<ZoneIndex> {
        let zones = self.zones();
        let position = zones.iter().position(|zone| zone.name == name);
        position.map(ZoneIndex)
    }

    /// Zones of a region by its name.
    pub fn zones_of(&self, region: &str) -> Vec<ZoneIndex> {
        let wanted = self.regions.iter().position(|r| r.name == region);
        let zones = self.zones().into_iter().enumerate();
        zones
            .filter(|(_, zone)| Some(zone.region) == wanted)
            .map(|(index, _)| ZoneIndex(index))
            .collect()
    }

    /// The zone that a controller stands in: regions in turn, and their zones in turn.
    pub fn controller_zone(&self, controller: u32) -> ZoneIndex {
        let regions = self.regions.len();
        let region = &self.regions[controller as usize % regions];
        let zone = &region.zones[controller as usize / regions % region.zones.len()];
        self.zone(zone).unwrap_or(ZoneIndex(0))
    }

    /// The zones of all controllers, by controller.
    pub fn controller_zones(&self) -> Vec<ZoneIndex> {
        let controllers = 0..self.controllers.count;
        controllers
            .map(|index| self.controller_zone(index))
            .collect()
    }
}
