//! Settings, jobs and machine types for tests.

use crate::Simulation;
use glenmount_core::configuration::Policy;
use glenmount_core::model::{JobKind, JobPriority, JobSpec, MachineType, Resources, Team};
use glenmount_core::safety_checks::Checks;
use glenmount_core::settings::{RuntimeEstimateUse, Settings};
use glenmount_core::tuning::Tuning;
use std::collections::BTreeMap;

/// Returns settings that enable every use of run-time estimates.
pub fn all_estimate_uses() -> RuntimeEstimateUse {
    RuntimeEstimateUse {
        enabled: true,
        queue_order: true,
        due_times: true,
        preemption: true,
        termination_notice: true,
    }
}

/// Returns the settings of one of several controllers, with a limited team `blue` and an unlimited team `red`.
pub fn settings(controller: &str, controller_count: usize) -> Settings {
    let mut teams = BTreeMap::new();
    for (name, cpus_max) in [("blue", 12_000), ("red", 0)] {
        teams.insert(
            name.to_string(),
            Team {
                name: name.into(),
                cpus: 8_000,
                cpus_max,
                gpus: 0,
                gpus_max: 0,
            },
        );
    }
    Settings {
        controller: controller.into(),
        controllers: (0..controller_count).map(|i| format!("node-{i}")).collect(),
        zones: vec!["east".into(), "west".into()],
        zone: "east".into(),
        controller_zones: BTreeMap::new(),
        policy: Policy {
            teams,
            completion_goals_ms: BTreeMap::from([("quick".to_string(), vec![60_000])]),
            ..Policy::default()
        },
        heartbeat_interval_ms: 1_500,
        lease_ms: 10_000,
        cancellation_timeout_ms: 35_000,
        max_value_bytes: 8 * 1024,
        max_transaction_changes: 16,
        write_rps: 50.0 / controller_count as f64,
        announced_write_rps: 35.0 / controller_count as f64,
        clock_skew_ms: 1_000,
        idle_timeout_ms: 30_000,
        instance_list_lag_ms: 4_000,
        runtime_estimates: RuntimeEstimateUse::default(),
        checks: Checks::default(),
        tuning: Tuning::default(),
    }
}

/// Returns an array job of team `red`, whose tasks take two processors each.
pub fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "batch".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: JobPriority::Normal,
        tasks,
        resources: Resources {
            cpus: 2_000,
            gpus: 0,
            ram: 1_000,
            ..Resources::default()
        },
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        topology_spread: false,
        spot: false,
        estimate_s: 5.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns an array job with dependencies.
pub fn dependent_job(id: &str, tasks: u32, dependencies: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: dependencies.iter().map(|id| id.to_string()).collect(),
        ..job(id, tasks)
    }
}

/// Returns a service of team `red`.
pub fn service(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: JobPriority::Production,
        ..job(id, tasks)
    }
}

/// Returns a job with the limited team `blue` as its team.
pub fn limited_team(spec: JobSpec) -> JobSpec {
    JobSpec {
        team: "blue".into(),
        ..spec
    }
}

/// Sets the heartbeat interval, the lease and the cancellation timeout of large fleets.
pub fn use_long_leases(sim: &mut Simulation) {
    let settings = &mut sim.settings;
    (
        settings.heartbeat_interval_ms,
        settings.lease_ms,
        settings.cancellation_timeout_ms,
    ) = (5_000, 26_500, 51_500);
}

/// Returns a machine type with a number of processors.
pub(crate) fn machine_type(name: &str, cpus: u64) -> MachineType {
    MachineType {
        name: name.into(),
        capacity: Resources {
            cpus: cpus * 1_000,
            gpus: 0,
            ram: cpus * 4_000,
            ..Resources::default()
        },
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: cpus as f64 * 0.05,
        spot_price: cpus as f64 * 0.01,
        boot_s: 3.0,
        zones: vec!["east".into(), "west".into()],
    }
}
