//! Plan of a run with sizes, limits, job arrivals and faults, validated when the file is read. Serde attributes
//! map the names of the plan file where the names in the code differ.

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

/// Upper bound of the size of a plan file.
const MAX_PLAN_BYTES: u64 = 256 * 1024;

/// An error of one line that names an invalid field of a plan and the problem.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct PlanError {
    /// Field of the plan, or the path of the file.
    pub field: String,
    /// Problem with the field or the file.
    pub problem: String,
}

impl PlanError {
    fn new(field: impl Into<String>, problem: impl Into<String>) -> PlanError {
        PlanError {
            field: field.into(),
            problem: problem.into(),
        }
    }

    /// Creates an error of the whole text, as one line.
    fn in_text(error: &impl Display) -> PlanError {
        PlanError::new("plan", error.to_string().trim().replace('\n', " "))
    }
}

/// The plan of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Length of the warm-up before the measured phase, in which controllers read records, register workers and
    /// start services.
    pub warm_up_s: f64,
    /// Length of the measured phase; the times of arrivals and faults are relative to its start.
    pub seconds: f64,
    /// Length of real operation whose faults are injected within `seconds`.
    #[serde(rename = "stands_for_s")]
    pub represents_s: f64,
    /// Time after the measured phase in which running tasks may end.
    #[serde(default)]
    pub settle_s: f64,
    /// Regions with their zones.
    pub regions: Vec<Region>,
    /// Number and resources of the controllers.
    pub controllers: ControllerSizes,
    /// Number, resources and intervals of the workers.
    pub workers: WorkerSizes,
    /// Limits and latency of the state store.
    pub state: StateStoreLimits,
    /// Limits and latencies of the cloud.
    pub cloud: CloudLimits,
    /// Number and quotas of the teams.
    pub teams: TeamSizes,
    /// Rate of changes of the recorded configuration, evenly over the run; the first change records the
    /// settings.
    #[serde(default)]
    pub configuration_changes_per_minute: f64,
    /// Number of zones in use; later zones of the plan are ignored.
    #[serde(default = "all_zones", rename = "most_zones")]
    pub max_zones: usize,
    /// Number of recorded jobs that ended before the run.
    #[serde(default)]
    pub ended_jobs: u32,
    /// Classes of the jobs that users submit.
    #[serde(default)]
    pub jobs: Vec<JobClass>,
    /// Faults to inject.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// A group of zones; the first region also contains the state store, the cloud and the users.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Names of its zones.
    pub zones: Vec<String>,
}

/// The number of controllers and the resources in their settings, which the load test doesn't enforce.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Controllers")]
pub struct ControllerSizes {
    /// Number of controllers.
    pub count: u32,
    /// Processor share, in cores.
    pub cpu_share: f64,
    /// Amount of memory.
    pub ram_mb: f64,
    /// Number of open sockets.
    pub sockets: u32,
}

/// The number of workers at the start of the run, their resources and their intervals.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Workers")]
pub struct WorkerSizes {
    /// Number of workers.
    pub count: u32,
    /// Interval between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must end.
    #[serde(rename = "cancel_s")]
    pub cancel_within_s: f64,
    /// Processors of each worker.
    pub cpus: f64,
    /// Memory of each worker.
    pub ram_gb: f64,
    /// Rate at which a worker pulls images.
    pub image_gb_per_s: f64,
}

/// The limits and the latency of the state store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct StateLimits")]
pub struct StateStoreLimits {
    /// Rate limit of requests.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Rate limit of changes of keys.
    #[serde(rename = "write_rps")]
    pub changes_per_s: f64,
    /// Upper bound of the size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// Upper bound of the changes of one transaction.
    #[serde(rename = "txn_ops")]
    pub max_changes: u32,
    /// Mean latency of an answer.
    pub latency_ms: f64,
}

/// The limits and the latencies of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    /// Rate limit of requests.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Latency of an answer.
    pub latency_ms: f64,
    /// Largest age of the state in an instance list.
    pub list_lag_s: f64,
    /// Typical time from a request for an instance to the boot of its worker, which then sends its first
    /// heartbeat.
    pub boot_s: f64,
    /// Number of instances that can be provisioned in addition to those at the start of the run.
    #[serde(rename = "spare")]
    pub spare_instances: u32,
}

/// The number of teams and the quota of each.
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

/// The index of a zone in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneIndex(pub usize);

/// A zone and its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Zone<'a> {
    /// Name of the zone.
    pub name: &'a str,
    /// Index of the region.
    pub region: usize,
}

impl Plan {
    /// Reads and validates a plan file; `overrides` are as for [`Plan::parse`].
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

    /// Parses and validates a plan; overrides of the form `workers.count=4000` replace values of the plan.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Plan, PlanError> {
        let mut table: toml::Table = text
            .parse()
            .map_err(|error: toml::de::Error| PlanError::in_text(&error))?;
        for text in overrides {
            apply_override(&mut table, text)?;
        }
        let mut plan: Plan = toml::Value::Table(table)
            .try_into()
            .map_err(|error: toml::de::Error| PlanError::in_text(&error))?;
        plan.validate_regions()?;
        plan.truncate_zones();
        plan.validate()?;
        Ok(plan)
    }

    fn truncate_zones(&mut self) {
        let mut remaining = self.max_zones;
        for region in &mut self.regions {
            region.zones.truncate(remaining);
            remaining -= region.zones.len();
        }
        self.regions.retain(|region| !region.zones.is_empty());
    }

    /// Returns all zones in the order of their indices.
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

    /// Returns the name of a zone.
    pub fn zone_name(&self, zone: ZoneIndex) -> &str {
        self.zones()[zone.0].name
    }

    /// Returns the index of the zone with a name.
    pub fn zone(&self, name: &str) -> Option<ZoneIndex> {
        let zones = self.zones();
        let position = zones.iter().position(|zone| zone.name == name);
        position.map(ZoneIndex)
    }

    /// Returns the zones of the region with a name.
    pub fn zones_of(&self, region: &str) -> Vec<ZoneIndex> {
        let region_index = self
            .regions
            .iter()
            .position(|candidate| candidate.name == region);
        let zones = self.zones().into_iter().enumerate();
        zones
            .filter(|(_, zone)| Some(zone.region) == region_index)
            .map(|(index, _)| ZoneIndex(index))
            .collect()
    }

    /// Returns the zone of a controller; controllers rotate through the regions, and through the zones of each
    /// region.
    pub fn controller_zone(&self, controller: u32) -> ZoneIndex {
        let regions = self.regions.len();
        let region = &self.regions[controller as usize % regions];
        let zone = &region.zones[controller as usize / regions % region.zones.len()];
        self.zone(zone).unwrap_or(ZoneIndex(0))
    }

    /// Returns the zones of all controllers, by index.
    pub fn controller_zones(&self) -> Vec<ZoneIndex> {
        let controllers = 0..self.controllers.count;
        controllers
            .map(|index| self.controller_zone(index))
            .collect()
    }
}
