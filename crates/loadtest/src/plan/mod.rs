//! The plan file of a scale run: sizes, limits, arrivals and troubles, checked when it is read.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

/// Bytes of a plan file at most.
const PLAN_BYTES: u64 = 256 * 1024;
/// Machines that one process of hollow workers has sockets for.
const MOST_WORKERS: u32 = 5_000;
const MOST_TEAMS: u32 = 10_000;
/// Each controller is a process; fewer than twenty processes run.
const MOST_CONTROLLERS: u32 = 8;
const MOST_SECONDS: f64 = 1_200.0;
const MOST_ENTRIES: usize = 200;
/// Jobs that a plan may bring, so that a run stays within its memory.
const MOST_JOBS: f64 = 50_000.0;
/// Ended jobs on record at the start: some 300 bytes each in the stand-in's memory.
const MOST_ENDED_JOBS: u32 = 4_000_000;
/// Tasks of a job at most, by protocol.
const MOST_TASKS: u32 = 100_000;

/// Why a plan can't be played: the field and what is wrong with it, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanError {
    pub field: String,
    pub problem: String,
}

impl PlanError {
    fn new(field: impl Into<String>, problem: impl Into<String>) -> PlanError {
        PlanError {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for PlanError {}

/// What is played, by size.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Seed of arrivals, sizes and luck.
    pub seed: u64,
    /// Seconds before anything is measured: records are read, machines taken up, services started.
    pub warm_up_s: f64,
    /// Seconds that are measured; times of arrivals and troubles count from their begin.
    pub seconds: f64,
    /// Seconds of operation whose troubles are played in `seconds`.
    pub stands_for_s: f64,
    /// Tasks that take this long at most after the end count as still under way.
    #[serde(default)]
    pub settle_s: f64,
    pub regions: Vec<Region>,
    pub controllers: Controllers,
    pub workers: Workers,
    pub state: StateStoreLimits,
    pub cloud: CloudLimits,
    pub teams: Teams,
    /// Changes of the configuration on record, evenly over the run; the first one adopts the settings.
    #[serde(default)]
    pub configuration_changes_per_minute: f64,
    /// Only so many of the zones, the first ones, are there.
    #[serde(default = "all_zones")]
    pub most_zones: usize,
    /// Jobs that ended before the run and are on record.
    #[serde(default)]
    pub ended_jobs: u32,
    #[serde(default)]
    pub jobs: Vec<JobClass>,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// Zones that share a network; the first region holds the state service, the cloud and the users.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Controllers {
    pub count: u32,
    /// The quota that the settings name, not one that is enforced.
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub sockets: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    pub count: u32,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub cpus: f64,
    pub ram_gb: f64,
    pub image_gb_per_s: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "StateLimits")]
pub struct StateStoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
    pub latency_ms: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub rps: f64,
    pub latency_ms: f64,
    pub list_lag_s: f64,
    pub boot_s: f64,
    /// Machines that can be rented beyond those that are up at the start.
    pub spare: u32,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    pub count: u32,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// Jobs of one kind and when they come.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub class: String,
    pub shape: JobShape,
    #[serde(rename = "rank")]
    pub priority: JobPriority,
    /// Least and most tasks; sizes between are spread evenly by their logarithm.
    pub tasks: [u32; 2],
    pub cpus: f64,
    pub ram_gb: f64,
    /// Seconds that a task runs; 0 for services.
    pub run_s: f64,
    /// Images that jobs of this class draw from, and the size of each.
    pub images: u32,
    pub image_gb: f64,
    #[serde(default)]
    pub initial: u32,
    /// Jobs a second between `from_s` and `until_s`.
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub from_s: f64,
    #[serde(default)]
    pub until_s: Option<f64>,
    /// Share that is called off some seconds after it was accepted.
    #[serde(default)]
    pub cancelled: f64,
    /// Share bound to one zone.
    #[serde(default)]
    pub zone_bound: f64,
    #[serde(default, rename = "scatter")]
    pub topology_spread: bool,
    #[serde(default)]
    pub spot: bool,
    #[serde(default, rename = "due_s")]
    pub deadline_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", rename = "Shape")]
pub enum JobShape {
    Array,
    Daemon,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", rename = "Rank")]
pub enum JobPriority {
    Critical,
    High,
    Standard,
    Low,
}

impl JobPriority {
    /// Whether its starts are held against the bound for urgent work.
    pub fn is_urgent(self) -> bool {
        matches!(self, JobPriority::Critical | JobPriority::High)
    }
}

fn all_zones() -> usize {
    usize::MAX
}

/// Something that goes wrong `at_s` seconds into what is measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Trouble")]
pub struct Fault {
    pub at_s: f64,
    pub kind: FaultKind,
    /// Machines, for those kinds that strike some.
    #[serde(default)]
    pub count: u32,
    /// How long it lasts, or the time over which `count` machines are struck one after another.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Zone or region by name.
    #[serde(default, rename = "place")]
    pub location: Option<String>,
    /// Controller by number.
    #[serde(default)]
    pub controller: Option<u32>,
    /// How slow the state service gets.
    #[serde(default)]
    pub latency_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "TroubleKind")]
pub enum FaultKind {
    /// Machines lose power for good, one after another within `for_s`.
    #[serde(rename = "machines_fail")]
    WorkerFailures,
    /// Machines start again at once with a new session, within `for_s`.
    #[serde(rename = "machines_restart")]
    WorkerRestarts,
    /// Machines are taken by the cloud, within `for_s`.
    #[serde(rename = "machines_replaced")]
    WorkerReplacements,
    /// Machines of one zone lose power at once.
    #[serde(rename = "rack_fail")]
    RackFailure,
    /// Machines of one zone reach nobody for `for_s`.
    #[serde(rename = "rack_cut")]
    RackPartition,
    /// A zone with its controllers reaches only itself.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// All machines of a zone lose power, and its controllers end; these are back after `for_s`.
    #[serde(rename = "zone_fail")]
    ZoneFailure,
    /// A region reaches only itself.
    #[serde(rename = "region_cut")]
    RegionPartition,
    /// A controller is killed and back after `for_s`.
    #[serde(rename = "controller_end")]
    ControllerCrash,
    #[serde(rename = "state_slow")]
    StateStoreLatency,
    #[serde(rename = "state_down")]
    StateStoreOutage,
    /// The state service answers 503 to one controller.
    #[serde(rename = "state_refuses")]
    StateStoreRejection,
    #[serde(rename = "cloud_down")]
    CloudOutage,
}

impl FaultKind {
    fn strikes_machines(self) -> bool {
        matches!(
            self,
            FaultKind::WorkerFailures
                | FaultKind::WorkerRestarts
                | FaultKind::WorkerReplacements
                | FaultKind::RackFailure
                | FaultKind::RackPartition
        )
    }

    fn needs_zone(self) -> bool {
        matches!(
            self,
            FaultKind::RackFailure
                | FaultKind::RackPartition
                | FaultKind::ZonePartition
                | FaultKind::ZoneFailure
        )
    }

    fn needs_controller(self) -> bool {
        matches!(
            self,
            FaultKind::ControllerCrash | FaultKind::StateStoreRejection
        )
    }
}

/// A zone by its place in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneIndex(pub usize);

impl Plan {
    /// Reads a plan and checks it.
    pub fn read(path: &Path, changes: &[String]) -> Result<Plan, PlanError> {
        let name = path.display().to_string();
        let size = std::fs::metadata(path).map_err(|e| PlanError::new(&name, e.to_string()))?;
        if size.len() > PLAN_BYTES {
            return Err(PlanError::new(name, "larger than 256 KiB"));
        }
        let text =
            std::fs::read_to_string(path).map_err(|e| PlanError::new(&name, e.to_string()))?;
        Plan::parse(&text, changes)
    }

    /// Parses a plan; `changes` of the form `workers.count=4000` take the place of its own values.
    pub fn parse(text: &str, changes: &[String]) -> Result<Plan, PlanError> {
        let one_line = |e: &dyn fmt::Display| e.to_string().trim().replace('\n', " ");
        let mut table: toml::Table =
            (text.parse()).map_err(|e: toml::de::Error| PlanError::new("plan", one_line(&e)))?;
        for change in changes {
            replace(&mut table, change)?;
        }
        let mut plan: Plan = (toml::Value::Table(table).try_into())
            .map_err(|e: toml::de::Error| PlanError::new("plan", one_line(&e)))?;
        plan.check_places()?;
        plan.leave_zones_out();
        plan.check()?;
        Ok(plan)
    }

    fn leave_zones_out(&mut self) {
        let mut left = self.most_zones;
        for region in &mut self.regions {
            region.zones.truncate(left);
            left -= region.zones.len();
        }
        self.regions.retain(|region| !region.zones.is_empty());
    }

    /// All zones with the region of each.
    pub fn zones(&self) -> Vec<(&str, usize)> {
        (self.regions.iter().enumerate())
            .flat_map(|(n, region)| region.zones.iter().map(move |zone| (zone.as_str(), n)))
            .collect()
    }

    pub fn zone(&self, name: &str) -> Option<ZoneIndex> {
        let zones = self.zones();
        zones
            .iter()
            .position(|(zone, _)| *zone == name)
            .map(ZoneIndex)
    }

    /// Zones of a region by its name.
    pub fn zones_of(&self, region: &str) -> Vec<ZoneIndex> {
        let wanted = self.regions.iter().position(|r| r.name == region);
        let zones = self.zones();
        let indexed = zones.iter().enumerate();
        indexed
            .filter(|(_, (_, of))| Some(*of) == wanted)
            .map(|(n, _)| ZoneIndex(n))
            .collect()
    }

    /// The zone that a controller stands in: regions in turn, and their zones in turn.
    pub fn controller_zone(&self, controller: u32) -> ZoneIndex {
        let regions = self.regions.len();
        let region = &self.regions[controller as usize % regions];
        let zone = &region.zones[controller as usize / regions % region.zones.len()];
        self.zone(zone).unwrap_or(ZoneIndex(0))
    }

    fn check(&self) -> Result<(), PlanError> {
        self.check_places()?;
        self.check_sizes()?;
        self.check_jobs()?;
        self.check_faults()
    }

    fn check_places(&self) -> Result<(), PlanError> {
        require(self.most_zones > 0, "most_zones", "from 1")?;
        require(
            (1..=16).contains(&self.regions.len()),
            "regions",
            "from 1 to 16",
        )?;
        let mut names = BTreeSet::new();
        for region in &self.regions {
            require(
                !region.zones.is_empty(),
                "regions.zones",
                "must not be empty",
            )?;
            let new = names.insert(region.name.as_str());
            require(new, "regions.name", "stands twice")?;
            for zone in &region.zones {
                let new = names.insert(zone.as_str());
                require(new, "regions.zones", "a zone stands twice")?;
            }
        }
        require(names.len() <= 80, "regions.zones", "too many zones")
    }

    fn check_sizes(&self) -> Result<(), PlanError> {
        let counts = [
            (
                "controllers.count",
                self.controllers.count,
                1,
                MOST_CONTROLLERS,
            ),
            ("controllers.sockets", self.controllers.sockets, 32, 100_000),
            ("workers.count", self.workers.count, 1, MOST_WORKERS),
            ("state.txn_ops", self.state.txn_ops, 4, 1_000),
            ("cloud.spare", self.cloud.spare, 0, MOST_WORKERS),
            ("ended_jobs", self.ended_jobs, 0, MOST_ENDED_JOBS),
            ("teams.count", self.teams.count, 1, MOST_TEAMS),
        ];
        for (field, value, least, most) in counts {
            let sane = (least..=most).contains(&value);
            require(sane, field, &format!("from {least} to {most}"))?;
        }
        let amounts = [
            ("warm_up_s", self.warm_up_s, 0.0, 300.0),
            ("seconds", self.seconds, 1.0, MOST_SECONDS),
            ("settle_s", self.settle_s, 0.0, 300.0),
            ("stands_for_s", self.stands_for_s, 1.0, 1e8),
            (
                "controllers.cpu_share",
                self.controllers.cpu_share,
                0.01,
                64.0,
            ),
            ("controllers.ram_mb", self.controllers.ram_mb, 16.0, 1e6),
            ("workers.report_s", self.workers.report_s, 0.5, 60.0),
            ("workers.lease_s", self.workers.lease_s, 2.0, 600.0),
            ("workers.cancel_s", self.workers.cancel_s, 5.0, 600.0),
            ("workers.cpus", self.workers.cpus, 0.1, 1e4),
            ("workers.ram_gb", self.workers.ram_gb, 0.1, 1e5),
            (
                "workers.image_gb_per_s",
                self.workers.image_gb_per_s,
                0.01,
                1e3,
            ),
            ("state.rps", self.state.rps, 10.0, 1e5),
            ("state.write_rps", self.state.write_rps, 5.0, 1e5),
            ("state.value_kb", self.state.value_kb, 1.0, 64.0),
            ("state.latency_ms", self.state.latency_ms, 0.0, 5e3),
            (
                "configuration_changes_per_minute",
                self.configuration_changes_per_minute,
                0.0,
                600.0,
            ),
            ("cloud.rps", self.cloud.rps, 1.0, 1e4),
            ("cloud.latency_ms", self.cloud.latency_ms, 0.0, 1e4),
            ("cloud.list_lag_s", self.cloud.list_lag_s, 0.0, 60.0),
            ("cloud.boot_s", self.cloud.boot_s, 0.0, 300.0),
            ("teams.cpus", self.teams.cpus, 0.0, 1e7),
            ("teams.cpus_max", self.teams.cpus_max, 0.0, 1e7),
        ];
        for (field, value, least, most) in amounts {
            require_amount(value, field, least, most)?;
        }
        let fits = self.teams.cpus <= self.teams.cpus_max || self.teams.cpus_max == 0.0;
        require(fits, "teams.cpus", "a guarantee above its limit")
    }

    fn check_jobs(&self) -> Result<(), PlanError> {
        require(self.jobs.len() <= MOST_ENTRIES, "jobs", "too many classes")?;
        let mut classes = BTreeSet::new();
        let mut all = 0.0;
        for job in &self.jobs {
            let new = classes.insert(job.class.as_str());
            require(new, "jobs.class", "stands twice")?;
            let [least, most] = job.tasks;
            let sane = least >= 1 && least <= most && most <= MOST_TASKS;
            require(sane, "jobs.tasks", "least and most, from 1 to 100,000")?;
            require(
                (1..=10_000).contains(&job.images),
                "jobs.images",
                "from 1 to 10,000",
            )?;
            require_amount(job.cpus, "jobs.cpus", 0.001, self.workers.cpus)?;
            require_amount(job.ram_gb, "jobs.ram_gb", 0.0, self.workers.ram_gb)?;
            require_amount(job.run_s, "jobs.run_s", 0.0, 1e5)?;
            require_amount(job.image_gb, "jobs.image_gb", 0.0, 1e3)?;
            require_amount(job.rate, "jobs.rate", 0.0, 1e3)?;
            require_amount(job.cancelled, "jobs.cancelled", 0.0, 1.0)?;
            require_amount(job.zone_bound, "jobs.zone_bound", 0.0, 1.0)?;
            require_amount(job.from_s, "jobs.from_s", -self.warm_up_s, self.seconds)?;
            let until = job.until_s.unwrap_or(self.seconds);
            require_amount(until, "jobs.until_s", job.from_s, self.seconds)?;
            let endless = job.shape == JobShape::Daemon;
            require(
                endless == (job.run_s == 0.0),
                "jobs.run_s",
                "0 for services only",
            )?;
            all += f64::from(job.initial) + job.rate * (until - job.from_s);
        }
        require(
            all <= MOST_JOBS,
            "jobs.rate",
            "brings more than 50,000 jobs",
        )
    }

    fn check_faults(&self) -> Result<(), PlanError> {
        let few = self.faults.len() <= MOST_ENTRIES;
        require(few, "troubles", "too many")?;
        for fault in &self.faults {
            require_amount(fault.at_s, "troubles.at_s", 0.0, self.seconds)?;
            require_amount(fault.duration_s, "troubles.for_s", 0.0, MOST_SECONDS)?;
            require_amount(fault.latency_ms, "troubles.latency_ms", 0.0, 1e4)?;
            let counted = !fault.kind.strikes_machines() || fault.count > 0;
            require(counted, "troubles.count", "how many machines")?;
            let place = fault.location.as_deref();
            if fault.kind.needs_zone() {
                let known = place.is_some_and(|zone| self.zone(zone).is_some());
                require(known, "troubles.place", "no such zone")?;
            }
            if fault.kind == FaultKind::RegionPartition {
                let known = place.is_some_and(|region| !self.zones_of(region).is_empty());
                require(known, "troubles.place", "no such region")?;
            }
            if fault.kind.needs_controller() {
                let known = fault.controller.is_some_and(|n| n < self.controllers.count);
                require(known, "troubles.controller", "no such controller")?;
            }
        }
        Ok(())
    }
}

fn require(holds: bool, field: &str, problem: &str) -> Result<(), PlanError> {
    match holds {
        true => Ok(()),
        false => Err(PlanError::new(field, problem)),
    }
}

fn require_amount(value: f64, field: &str, least: f64, most: f64) -> Result<(), PlanError> {
    let sane = value.is_finite() && value >= least && value <= most;
    require(
        sane,
        field,
        &format!("{value} is not from {least} to {most}"),
    )
}

/// Puts the value of a change like `workers.count=4000` or `jobs.0.rate=3.5` into the table.
fn replace(table: &mut toml::Table, change: &str) -> Result<(), PlanError> {
    let (path, text) = change
        .split_once('=')
        .ok_or_else(|| PlanError::new(change, "not of the form field=value"))?;
    let parsed: toml::Table = (format!("value = {text}").parse())
        .map_err(|_| PlanError::new(path, format!("{text} is no value")))?;
    let missing = || PlanError::new(path, "no such field");
    let mut names = path.split('.');
    let first = names.next().ok_or_else(missing)?;
    let mut place = table.get_mut(first).ok_or_else(missing)?;
    for name in names {
        let index = name.parse::<usize>().ok();
        place = match (place, index) {
            (toml::Value::Table(inner), _) => inner.get_mut(name).ok_or_else(missing)?,
            (toml::Value::Array(list), Some(n)) => list.get_mut(n).ok_or_else(missing)?,
            _ => return Err(missing()),
        };
    }
    let value = parsed.get("value").cloned().ok_or_else(missing)?;
    *place = match (&*place, value) {
        (toml::Value::Float(_), toml::Value::Integer(n)) => toml::Value::Float(n as f64),
        (_, value) => value,
    };
    Ok(())
}
