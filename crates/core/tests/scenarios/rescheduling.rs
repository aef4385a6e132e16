//! Rescheduling: controllers drain machines whose tasks fit elsewhere.

use crate::common::started_cluster;
use glenmount_core::model::{JobSpec, Resources};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, Simulation};

#[test]
fn an_expensive_machine_is_drained_and_deprovisioned_when_its_services_fit_elsewhere() {
    let mut sim = started_cluster(28, 3, 0);
    sim.cloud.capacity = 0;
    for controller in 0..3 {
        sim.crash(controller, 10);
    }
    sim.settings.idle_timeout_ms = 600_000;
    let expensive = sim.boot_machine("large", "east", false, 10);
    sim.run(4_000);
    let mut small = service("j-1", 1);
    small.resources.cpus = 500;
    sim.submit(0, small);
    sim.run_until(10_000, "runs", |sim| {
        sim.machine_of("j-1").as_deref() == Some(expensive.as_str())
    });
    for i in 0..2 {
        sim.boot_machine("small", "east", false, 10 + i);
    }
    // A short-lived service on each small machine caches the image there.
    sim.run(3_000);
    for worker in 1..3 {
        let mut filler = service(&format!("j-{}", worker + 1), 1);
        filler.resources.cpus = 3_500;
        filler.machine_types = Some(vec!["small".into()]);
        sim.submit(0, filler);
    }
    sim.run(5_000);
    sim.cancel(0, "j-2");
    sim.cancel(0, "j-3");
    sim.run_until(200_000, "moved", |sim| {
        sim.cloud.deleted.contains(&expensive) && sim.running("j-1") == 1
    });
    sim.check_records();
}

/// Consolidation moved one task every two seconds whatever the fleet size, so services of a large fleet stayed spread
/// over hundreds of machines for as long as they ran. That was a fifth of a day's cost.
#[test]
fn a_large_fleet_is_consolidated_as_quickly_as_a_small_one() {
    let mut sim = Simulation::new(77, 2, 160);
    sim.skip_invariants = true;
    sim.settings.write_rps = 100.0;
    sim.settings.announced_write_rps = 100.0;
    sim.cloud.capacity = 0;
    sim.workload.class_run_ms.insert("long".into(), 40_000);
    sim.run(5_000);
    let resources = |cpus: u64| Resources {
        cpus,
        gpus: 0,
        ram: 1_000,
        ..Resources::default()
    };
    for n in 0..2 {
        let spec = JobSpec {
            class: "long".into(),
            resources: resources(3_000),
            ..job(&format!("j-{}", n + 1), 80)
        };
        sim.submit(n, spec);
    }
    sim.run_until(20_000, "each machine is in use", |sim| {
        sim.running("j-1") + sim.running("j-2") == 160
    });
    for n in 0..160 {
        let spec = JobSpec {
            resources: resources(1_000),
            ..service(&format!("j-{}", 100 + n), 1)
        };
        sim.submit(n % 2, spec);
    }
    let running_services = |sim: &Simulation| {
        (0..160)
            .filter(|n| sim.running(&format!("j-{}", 100 + n)) > 0)
            .count()
    };
    sim.run_until(30_000, "each machine has a service", |sim| {
        running_services(sim) == 160
    });
    sim.run_until(60_000, "the batch jobs are done", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done)
    });
    sim.run(75_000);
    let machines_before = sim.workers.len();
    let mut min_running = usize::MAX;
    for _ in 0..60 {
        sim.run(1_000);
        min_running = min_running.min(running_services(&sim));
    }
    let removed = machines_before - sim.workers.len();
    assert!(
        removed >= 24,
        "{removed} of {machines_before} machines removed in a minute"
    );
    // About eight services move at a time at this fleet size; the others keep running.
    assert!(min_running >= 140, "{min_running} services run");
    sim.run_until(30_000, "the services run again", |sim| {
        running_services(sim) >= 156
    });
}
