//! Zones that are lost and recover: which tasks stay, which move elsewhere, and in which order.

use crate::common::is_done;
use glenmount_core::model::JobSpec;
use glenmount_simulation::{job, service, Simulation};

fn fleet(seed: u64, machines: usize, controller_zones: &[&str]) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 0);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.controller_zones = controller_zones.iter().map(|z| z.to_string()).collect();
    sim.cloud.capacity = 0;
    for i in 0..machines {
        let zone = ["east", "west"][i % 2];
        sim.boot_machine("small", zone, false, 10 + i as u64 * 13);
    }
    sim.run(9_000);
    sim
}

fn running_in_zone(sim: &Simulation, job: &str, zone: &str) -> usize {
    let workers = sim.workers.values().filter(|m| m.zone == zone);
    workers
        .flat_map(|m| m.live_tasks())
        .filter(|(t, _)| t.job == job)
        .count()
}

/// Fills the east zone, which stays reachable, with a service.
fn fill_east_zone(sim: &mut Simulation, tasks: u32) {
    let filler = JobSpec {
        zone: Some("east".into()),
        ..service("j-90", tasks)
    };
    sim.submit(0, filler);
    sim.run_until(20_000, "full", |sim| sim.running("j-90") == tasks as usize);
}

/// Starts a fleet whose services are spread evenly over the zones.
fn fleet_with_even_spread(seed: u64, machines: usize) -> Simulation {
    let mut sim = fleet(seed, 0, &["east"]);
    sim.settings.tuning.even_zone_spread = true;
    for n in 0..3 {
        sim.crash(n, 100);
    }
    for i in 0..machines {
        sim.boot_machine("small", ["east", "west"][i % 2], false, 200 + i as u64 * 13);
    }
    sim.run(9_000);
    sim
}

/// A service whose first start command was lost in a zone partition waited for the end of the partition, up to 307 s.
#[test]
fn undelivered_starts_move_to_other_zones_within_seconds() {
    for seed in 0..4 {
        let mut sim = fleet(1 + seed, 40, &["east", "west"]);
        sim.run(seed * 400);
        // Controllers claim these tasks before they have detected the partition.
        sim.partition_zone("west", &[1]);
        for i in 0..6 {
            sim.submit(0, service(&format!("j-{i}"), 6));
            sim.run(100);
        }
        let partitioned_ms = sim.now_ms;
        let all_running = |sim: &Simulation| (0..6).all(|i| sim.running(&format!("j-{i}")) == 6);
        sim.run_until(30_000, "running outside the zone", all_running);
        assert!(
            sim.now_ms < partitioned_ms + 25_000,
            "{} ms",
            sim.now_ms - partitioned_ms
        );
        sim.heal_zone();
        sim.run(20_000);
        sim.run_until(20_000, "up", all_running);
        sim.check_records();
    }
}

/// In a zone partition of minutes, batch tasks restart elsewhere if they can still meet their objective there. Services
/// in the zone keep running.
#[test]
fn batches_move_if_waiting_would_miss_their_objective_and_services_stay() {
    let mut sim = fleet(10, 40, &["east", "west"]);
    sim.settings.policy.completion_goals_ms.clear();
    let spread_service = JobSpec {
        topology_spread: true,
        ..service("j-1", 12)
    };
    sim.submit(0, spread_service);
    sim.run_until(20_000, "up", |sim| sim.running("j-1") == 12);
    // The service and the batch share no machine.
    sim.workload.run_ms = 20_000;
    let batch = JobSpec {
        deadline_s: Some(120.0),
        estimate_s: 20.0,
        zone: None,
        ..job("j-2", 50)
    };
    sim.submit(1, batch);
    sim.run_until(10_000, "runs", |sim| sim.running("j-2") > 30);
    let partitioned_tasks = running_in_zone(&sim, "j-2", "west");
    assert!(partitioned_tasks > 5);
    let partitioned_ms = sim.now_ms;
    sim.partition_zone("west", &[1]);
    sim.run_until(115_000, "done in time", |sim| is_done(sim, "j-2"));
    assert!(sim.now_ms < partitioned_ms + 115_000);
    assert_eq!(sim.running("j-1"), 12, "the service in the zone runs on");
    let deleted = sim.cloud.deleted.len();
    assert!(
        deleted > 0 && deleted <= partitioned_tasks,
        "{deleted} machines deleted"
    );
    sim.heal_zone();
    sim.run(30_000);
    assert_eq!((sim.running("j-1"), sim.metrics.killed_by_lease), (12, 0));
    sim.check_records();
}

#[test]
fn nothing_is_stopped_without_capacity_in_other_zones() {
    let mut sim = fleet(20, 24, &["east", "west"]);
    sim.workload.run_ms = 10_000;
    fill_east_zone(&mut sim, 24);
    let batch = JobSpec {
        deadline_s: Some(100.0),
        ..job("j-2", 12)
    };
    sim.submit(1, batch);
    sim.run_until(10_000, "runs", |sim| sim.running("j-2") == 12);
    sim.partition_zone("west", &[1]);
    sim.run(90_000);
    assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
    sim.heal_zone();
    // The results from the partitioned zone count, so no task ran twice.
    sim.run_until(10_000, "done", |sim| is_done(sim, "j-2"));
    assert_eq!(sim.metrics.starts, 24 + 12);
    sim.check_records();
}

/// A zone without a controller is partitioned, so all its leases expire. Tasks that may run elsewhere start there;
/// the others start again on the remaining machines once the zone recovers.
#[test]
fn a_partitioned_zone_without_a_controller_loses_only_its_own_tasks() {
    let mut sim = fleet(30, 40, &["east"]);
    sim.submit(0, service("j-1", 24));
    let spread_service = JobSpec {
        topology_spread: true,
        ..service("j-2", 8)
    };
    sim.submit(1, spread_service);
    sim.run_until(20_000, "up", |sim| {
        sim.running("j-1") == 24 && sim.running("j-2") == 8
    });
    assert!(running_in_zone(&sim, "j-1", "west") > 0);
    sim.partition_zone("west", &[]);
    sim.run(26_000);
    assert!(
        sim.cloud.deleted.is_empty(),
        "no machine whose lease may still hold is deleted"
    );
    sim.run_until(20_000, "running in the other zone", |sim| {
        running_in_zone(sim, "j-1", "east") == 24
    });
    assert_eq!(
        running_in_zone(&sim, "j-2", "east"),
        4,
        "the topology spread keeps half of the service out of the east zone"
    );
    sim.run(30_000);
    sim.heal_zone();
    sim.run_until(20_000, "all tasks run again", |sim| sim.running("j-2") == 8);
    assert_eq!(sim.running("j-1"), 24);
    sim.check_records();
}

/// Controllers provision replacements before the leases of a partitioned zone expire, since a boot takes about as long
/// as a lease.
#[test]
fn capacity_is_provisioned_before_the_leases_of_a_zone_expire() {
    let mut sim = fleet(35, 40, &["east"]);
    sim.submit(1, service("j-1", 20));
    sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
    let free_east = 40 - running_in_zone(&sim, "j-1", "east") as u32;
    fill_east_zone(&mut sim, free_east);
    sim.cloud.capacity = 30;
    sim.partition_zone("west", &[]);
    let partitioned_ms = sim.now_ms;
    sim.run(20_000);
    assert!(sim.cloud.provisioned > 40, "machines are provisioned ahead");
    assert!(
        sim.cloud.provisioned < 40 + 20,
        "no more than needed: {}",
        sim.cloud.provisioned - 40
    );
    sim.run_until(30_000, "all tasks run", |sim| {
        running_in_zone(sim, "j-1", "east") == 20
    });
    assert!(
        sim.now_ms < partitioned_ms + 40_000,
        "{} ms",
        sim.now_ms - partitioned_ms
    );
    sim.heal_zone();
    sim.run(10_000);
    sim.check_records();
}

/// Usage counts until its tasks are proven to have ended. A team at its limit must not wait for the end of a partition.
#[test]
fn a_team_at_its_limit_recovers_its_quota() {
    let mut sim = fleet(40, 24, &["east"]);
    let blue_service = |id: &str, tasks| JobSpec {
        team: "blue".into(),
        ..service(id, tasks)
    };
    // The team's limit is six such tasks.
    let west_service = JobSpec {
        zone: Some("west".into()),
        ..blue_service("j-1", 3)
    };
    sim.submit(0, west_service);
    sim.submit(0, blue_service("j-2", 3));
    sim.run_until(20_000, "up", |sim| {
        sim.running("j-1") == 3 && sim.running("j-2") == 3
    });
    sim.partition_zone("west", &[]);
    sim.run(1_000);
    sim.submit(0, blue_service("j-3", 3));
    sim.run(60_000);
    let moved = running_in_zone(&sim, "j-2", "west") + running_in_zone(&sim, "j-1", "east");
    assert_eq!(moved, 0, "each service runs only in an allowed zone");
    sim.heal_zone();
    sim.run(20_000);
    assert_eq!(sim.running("j-1"), 3);
    sim.check_records();
}

/// A zone is repeatedly partitioned for 35 s and back for 15 s. Each time the same machines and tasks must be found
/// there rather than replaced.
#[test]
fn a_flapping_zone_costs_few_machines() {
    let mut sim = fleet(50, 40, &["east", "west"]);
    sim.workload.run_ms = 15_000;
    let spread_service = JobSpec {
        topology_spread: true,
        ..service("j-1", 20)
    };
    sim.submit(0, spread_service);
    sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
    for round in 0..3 {
        for i in 0..4 {
            sim.submit(i % 3, job(&format!("j-{round}{i}"), 6));
            sim.run(1_000);
        }
        sim.partition_zone("west", &[1]);
        sim.run(35_000);
        sim.heal_zone();
        sim.run(15_000);
    }
    sim.run(20_000);
    assert_eq!(sim.running("j-1"), 20);
    assert!((0..3).all(|r| (0..4).all(|i| is_done(&sim, &format!("j-{r}{i}")))));
    assert!(sim.cloud.deleted.len() <= 6, "{:?}", sim.cloud.deleted);
    sim.check_records();
}

/// The second zone is partitioned while the first one recovers.
#[test]
fn the_loss_of_a_second_zone_during_recovery_is_survived() {
    for seed in 0..3 {
        let mut sim = fleet(60 + seed, 40, &["east", "west"]);
        sim.workload.run_ms = 15_000;
        let spread_service = JobSpec {
            topology_spread: true,
            ..service("j-1", 20)
        };
        sim.submit(0, spread_service);
        sim.submit(1, job("j-2", 30));
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
        sim.partition_zone("west", &[1]);
        sim.run(40_000);
        sim.heal_zone();
        sim.run(500 + seed * 1_500);
        sim.partition_zone("east", &[0, 2]);
        sim.run(40_000);
        sim.heal_zone();
        sim.run_until(40_000, "all work runs or is done", |sim| {
            sim.running("j-1") == 20 && is_done(sim, "j-2")
        });
        sim.run(10_000);
        sim.check_records();
    }
}

/// Services of a failed zone restart before its batch tasks, without starving the writes of other requests.
#[test]
fn services_of_a_failed_zone_precede_its_batches() {
    let mut sim = fleet(70, 60, &["east"]);
    sim.workload.run_ms = 60_000;
    sim.submit(0, job("j-1", 30));
    sim.run(2_000);
    sim.submit(1, service("j-2", 16));
    sim.run_until(20_000, "up", |sim| sim.running("j-2") == 16);
    sim.partition_zone("west", &[]);
    sim.run_until(50_000, "all service tasks run", |sim| {
        running_in_zone(sim, "j-2", "east") == 16
    });
    let request = sim.submit(0, job("j-3", 2));
    sim.await_answer(request);
    sim.run(20_000);
    sim.heal_zone();
    sim.run_until(120_000, "done", |sim| {
        is_done(sim, "j-1") && is_done(sim, "j-3")
    });
    sim.check_records();
}

/// After the recovery of a zone its services run in the other zone. They must return a few tasks at a time, and none
/// may lack more than one task.
#[test]
fn services_return_to_an_even_spread_one_task_at_a_time() {
    let mut sim = fleet_with_even_spread(80, 60);
    for i in 0..5 {
        sim.submit(i % 3, service(&format!("j-{i}"), 4));
        sim.run(100);
    }
    let all_running = |sim: &Simulation| (0..5).all(|i| sim.running(&format!("j-{i}")) == 4);
    sim.run_until(20_000, "up", all_running);
    for i in 0..5 {
        assert_eq!(
            running_in_zone(&sim, &format!("j-{i}"), "west"),
            2,
            "services are spread from the start"
        );
    }
    sim.partition_zone("west", &[]);
    sim.run_until(60_000, "all tasks run in the other zone", |sim| {
        all_running(sim) && (0..5).all(|i| running_in_zone(sim, &format!("j-{i}"), "east") == 4)
    });
    sim.heal_zone();
    // Machines of the zone that held no task are still there.
    let is_even =
        |sim: &Simulation| (0..5).all(|i| running_in_zone(sim, &format!("j-{i}"), "west") == 2);
    let mut min_running = 4;
    for _ in 0..2_000 {
        sim.run(100);
        let running = (0..5).map(|i| sim.running(&format!("j-{i}")));
        min_running = min_running.min(running.min().unwrap());
        if is_even(&sim) && all_running(&sim) {
            break;
        }
    }
    assert!(
        is_even(&sim) && all_running(&sim),
        "services are evenly spread again"
    );
    assert!(min_running >= 3, "a service never lacks more than one task");
    let moved = sim.metrics.stops.get("spread").map_or(0, |s| s.0);
    assert_eq!(moved, 10, "each task moves once");
    sim.run(60_000);
    assert_eq!(
        sim.metrics.stops.get("spread").map_or(0, |s| s.0),
        10,
        "no task moves again"
    );
    sim.check_records();
}
