//! Validation of a plan: sizes within the capacity of one machine, and consistent fields.

use super::{Fault, FaultKind, JobClass, JobShape, Plan, PlanError};
use std::collections::BTreeSet;

/// Largest number of workers for which one process of stand-ins has enough sockets.
const MAX_WORKERS: u32 = 5_000;
const MAX_TEAMS: u32 = 10_000;
/// Each controller is a process, and a run must stay below twenty processes.
const MAX_CONTROLLERS: u32 = 8;
/// Upper bound of the measured phase, and of the duration of a fault.
const MAX_DURATION_S: f64 = 1_200.0;
/// Upper bound of the number of job classes, and of faults.
const MAX_LIST_ENTRIES: usize = 200;
/// Upper bound of the expected number of jobs, which bounds the memory of a run.
const MAX_JOBS: f64 = 50_000.0;
/// Upper bound of recorded ended jobs, each of which uses about 300 bytes in the stand-in's memory.
const MAX_ENDED_JOBS: u32 = 4_000_000;
/// Upper bound of the tasks of a job, by protocol.
const MAX_TASKS: u32 = 100_000;
const MAX_REGIONS: usize = 16;
/// Upper bound of the number of regions and zones together.
const MAX_LOCATIONS: usize = 80;
const MAX_IMAGES: u32 = 10_000;

impl Plan {
    pub(super) fn validate(&self) -> Result<(), PlanError> {
        self.validate_regions()?;
        self.validate_counts()?;
        self.validate_amounts()?;
        self.validate_jobs()?;
        self.validate_faults()
    }

    pub(super) fn validate_regions(&self) -> Result<(), PlanError> {
        require(self.max_zones > 0, "most_zones", "from 1")?;
        let is_in_range = (1..=MAX_REGIONS).contains(&self.regions.len());
        require(is_in_range, "regions", "from 1 to 16")?;
        let mut names = BTreeSet::new();
        for region in &self.regions {
            let has_zones = !region.zones.is_empty();
            require(has_zones, "regions.zones", "must not be empty")?;
            let is_unique = names.insert(region.name.as_str());
            require(is_unique, "regions.name", "stands twice")?;
            for zone in &region.zones {
                let is_unique = names.insert(zone.as_str());
                require(is_unique, "regions.zones", "a zone stands twice")?;
            }
        }
        let is_within_limit = names.len() <= MAX_LOCATIONS;
        require(is_within_limit, "regions.zones", "too many zones")
    }

    fn validate_counts(&self) -> Result<(), PlanError> {
        let (controllers, workers, teams) = (&self.controllers, &self.workers, &self.teams);
        let (state, cloud) = (&self.state, &self.cloud);
        require_count("controllers.count", controllers.count, 1, MAX_CONTROLLERS)?;
        require_count("controllers.sockets", controllers.sockets, 32, 100_000)?;
        require_count("workers.count", workers.count, 1, MAX_WORKERS)?;
        require_count("state.txn_ops", state.max_changes, 4, 1_000)?;
        require_count("cloud.spare", cloud.spare_instances, 0, MAX_WORKERS)?;
        require_count("ended_jobs", self.ended_jobs, 0, MAX_ENDED_JOBS)?;
        require_count("teams.count", teams.count, 1, MAX_TEAMS)
    }

    fn validate_amounts(&self) -> Result<(), PlanError> {
        let (controllers, workers, teams) = (&self.controllers, &self.workers, &self.teams);
        let (state, cloud) = (&self.state, &self.cloud);
        let changes_per_minute = self.configuration_changes_per_minute;
        let amounts = [
            ("warm_up_s", self.warm_up_s, 0.0, 300.0),
            ("seconds", self.seconds, 1.0, MAX_DURATION_S),
            ("settle_s", self.settle_s, 0.0, 300.0),
            ("stands_for_s", self.represents_s, 1.0, 1e8),
            ("controllers.cpu_share", controllers.cpu_share, 0.01, 64.0),
            ("controllers.ram_mb", controllers.ram_mb, 16.0, 1e6),
            ("workers.report_s", workers.heartbeat_interval_s, 0.5, 60.0),
            ("workers.lease_s", workers.lease_s, 2.0, 600.0),
            ("workers.cancel_s", workers.cancel_within_s, 5.0, 600.0),
            ("workers.cpus", workers.cpus, 0.1, 1e4),
            ("workers.ram_gb", workers.ram_gb, 0.1, 1e5),
            ("workers.image_gb_per_s", workers.image_gb_per_s, 0.01, 1e3),
            ("state.rps", state.requests_per_s, 10.0, 1e5),
            ("state.write_rps", state.changes_per_s, 5.0, 1e5),
            ("state.value_kb", state.max_value_kb, 1.0, 64.0),
            ("state.latency_ms", state.latency_ms, 0.0, 5e3),
            (
                "configuration_changes_per_minute",
                changes_per_minute,
                0.0,
                600.0,
            ),
            ("cloud.rps", cloud.requests_per_s, 1.0, 1e4),
            ("cloud.latency_ms", cloud.latency_ms, 0.0, 1e4),
            ("cloud.list_lag_s", cloud.list_lag_s, 0.0, 60.0),
            ("cloud.boot_s", cloud.boot_s, 0.0, 300.0),
            ("teams.cpus", teams.guaranteed_cpus, 0.0, 1e7),
            ("teams.cpus_max", teams.cpu_limit, 0.0, 1e7),
        ];
        for (field, value, min, max) in amounts {
            require_amount(field, value, min, max)?;
        }
        let is_within = teams.guaranteed_cpus <= teams.cpu_limit || teams.cpu_limit == 0.0;
        require(is_within, "teams.cpus", "a guarantee above its limit")
    }

    fn validate_jobs(&self) -> Result<(), PlanError> {
        let is_within_limit = self.jobs.len() <= MAX_LIST_ENTRIES;
        require(is_within_limit, "jobs", "too many classes")?;
        let mut names = BTreeSet::new();
        let mut expected_jobs = 0.0;
        for class in &self.jobs {
            let is_unique = names.insert(class.name.as_str());
            require(is_unique, "jobs.class", "stands twice")?;
            self.validate_job_class(class)?;
            let until_s = class.until_s.unwrap_or(self.seconds);
            expected_jobs += f64::from(class.initial) + class.jobs_per_s * (until_s - class.from_s);
        }
        let is_within_limit = expected_jobs <= MAX_JOBS;
        require(is_within_limit, "jobs.rate", "brings more than 50,000 jobs")
    }

    fn validate_job_class(&self, class: &JobClass) -> Result<(), PlanError> {
        let [min, max] = class.task_range;
        let is_range = min >= 1 && min <= max && max <= MAX_TASKS;
        require(is_range, "jobs.tasks", "least and most, from 1 to 100,000")?;
        let has_images = (1..=MAX_IMAGES).contains(&class.image_count);
        require(has_images, "jobs.images", "from 1 to 10,000")?;
        let until_s = class.until_s.unwrap_or(self.seconds);
        let amounts = [
            ("jobs.cpus", class.cpus, 0.001, self.workers.cpus),
            ("jobs.ram_gb", class.ram_gb, 0.0, self.workers.ram_gb),
            ("jobs.run_s", class.run_s, 0.0, 1e5),
            ("jobs.image_gb", class.image_gb, 0.0, 1e3),
            ("jobs.rate", class.jobs_per_s, 0.0, 1e3),
            ("jobs.cancelled", class.cancelled_share, 0.0, 1.0),
            ("jobs.zone_bound", class.zone_bound_share, 0.0, 1.0),
            ("jobs.from_s", class.from_s, -self.warm_up_s, self.seconds),
            ("jobs.until_s", until_s, class.from_s, self.seconds),
        ];
        for (field, value, min, max) in amounts {
            require_amount(field, value, min, max)?;
        }
        let is_service = class.shape == JobShape::Daemon;
        let is_endless = class.run_s == 0.0;
        require(
            is_service == is_endless,
            "jobs.run_s",
            "0 for services only",
        )
    }

    fn validate_faults(&self) -> Result<(), PlanError> {
        let is_within_limit = self.faults.len() <= MAX_LIST_ENTRIES;
        require(is_within_limit, "troubles", "too many")?;
        self.faults
            .iter()
            .try_for_each(|fault| self.validate_fault(fault))
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), PlanError> {
        require_amount("troubles.at_s", fault.at_s, 0.0, self.seconds)?;
        require_amount("troubles.for_s", fault.duration_s, 0.0, MAX_DURATION_S)?;
        require_amount("troubles.latency_ms", fault.latency_ms, 0.0, 1e4)?;
        require_amount("troubles.share", fault.share, 0.0, 1.0)?;
        let has_share = fault.kind != FaultKind::RepeatedCommands || fault.share > 0.0;
        require(has_share, "troubles.share", "which share of the commands")?;
        let has_count = !fault.kind.needs_count() || fault.count > 0;
        require(has_count, "troubles.count", "how many machines")?;
        let location = fault.location.as_deref();
        if fault.kind.needs_zone() {
            let is_known = location.is_some_and(|zone| self.zone(zone).is_some());
            require(is_known, "troubles.place", "no such zone")?;
        }
        if fault.kind == FaultKind::RegionPartition {
            let is_known = location.is_some_and(|region| !self.zones_of(region).is_empty());
            require(is_known, "troubles.place", "no such region")?;
        }
        if fault.kind.needs_controller() {
            let count = self.controllers.count;
            let is_known = fault.controller.is_some_and(|index| index < count);
            require(is_known, "troubles.controller", "no such controller")?;
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

fn require_count(field: &str, value: u32, min: u32, max: u32) -> Result<(), PlanError> {
    let is_in_range = (min..=max).contains(&value);
    require(is_in_range, field, &format!("from {min} to {max}"))
}

fn require_amount(field: &str, value: f64, min: f64, max: f64) -> Result<(), PlanError> {
    let is_in_range = value.is_finite() && value >= min && value <= max;
    let problem = format!("{value} is not from {min} to {max}");
    require(is_in_range, field, &problem)
}
