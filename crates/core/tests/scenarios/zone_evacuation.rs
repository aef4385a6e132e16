//! Zones that are lost and return: what stays there, what moves elsewhere, and in which order.

use crate::common::is_done;
use glenmount_core::model::JobSpec;
use glenmount_simulation::{job, service, Simulation};

fn fleet(seed: u64, machines: usize, controllers_in: &[&str]) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 0);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.controller_zones = controllers_in.iter().map(|z| z.to_string()).collect();
    sim.cloud.capacity = 0;
    for i in 0..machines {
        let zone = ["east", "west"][i % 2];
        sim.boot_machine("small", zone, false, 10 + i as u64 * 13);
    }
    sim.run(9_000);
    sim
}

fn in_zone(sim: &Simulation, job: &str, zone: &str) -> usize {
    let there = sim.workers.values().filter(|m| m.zone == zone);
    there
        .flat_map(|m| m.live_tasks())
        .filter(|(t, _)| t.job == job)
        .count()
}

fn outside_is_full(sim: &mut Simulation, tasks: u32) {
    let filler = JobSpec {
        zone: Some("east".into()),
        ..service("j-90", tasks)
    };
    sim.submit(0, filler);
    sim.run_until(20_000, "full", |sim| sim.running("j-90") == tasks as usize);
}

fn even(seed: u64, machines: usize) -> Simulation {
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

/// A service whose first start was on its way into the cut used to wait for its end: up to 307 s.
#[test]
fn undelivered_starts_move_to_other_zones_within_seconds() {
    for seed in 0..4 {
        let mut sim = fleet(1 + seed, 40, &["east", "west"]);
        sim.run(seed * 400);
        // Claimed in the moments in which nobody knows of the cut yet.
        sim.partition_zone("west", &[1]);
        for i in 0..6 {
            sim.submit(0, service(&format!("j-{i}"), 6));
            sim.run(100);
        }
        let lost = sim.now_ms;
        let up = |sim: &Simulation| (0..6).all(|i| sim.running(&format!("j-{i}")) == 6);
        sim.run_until(30_000, "up outside", up);
        assert!(sim.now_ms < lost + 25_000, "{} ms", sim.now_ms - lost);
        sim.heal_zone();
        sim.run(20_000);
        sim.run_until(20_000, "up", up);
        sim.check_records();
    }
}

/// Batches behind a cut of minutes are run anew where they can still be in time; what serves inside is
/// left alone.
#[test]
fn batches_move_if_waiting_would_miss_their_objective_and_services_stay() {
    let mut sim = fleet(10, 40, &["east", "west"]);
    sim.settings.policy.completion_goals_ms.clear();
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-1", 12)
    };
    sim.submit(0, scattered);
    sim.run_until(20_000, "up", |sim| sim.running("j-1") == 12);
    // Full machines, so that no batch shares one with the service.
    sim.workload.run_ms = 20_000;
    let batch = JobSpec {
        deadline_s: Some(120.0),
        estimate_s: 20.0,
        zone: None,
        ..job("j-2", 50)
    };
    sim.submit(1, batch);
    sim.run_until(10_000, "runs", |sim| sim.running("j-2") > 30);
    let behind = in_zone(&sim, "j-2", "west");
    assert!(behind > 5);
    let asked = sim.now_ms;
    sim.partition_zone("west", &[1]);
    sim.run_until(115_000, "done in time", |sim| is_done(sim, "j-2"));
    assert!(sim.now_ms < asked + 115_000);
    assert_eq!(sim.running("j-1"), 12, "what serves inside goes on");
    let ended = sim.cloud.deleted.len();
    assert!(ended > 0 && ended <= behind, "{ended}");
    sim.heal_zone();
    sim.run(30_000);
    assert_eq!((sim.running("j-1"), sim.metrics.killed_by_lease), (12, 0));
    sim.check_records();
}

#[test]
fn nothing_is_stopped_without_capacity_in_other_zones() {
    let mut sim = fleet(20, 24, &["east", "west"]);
    sim.workload.run_ms = 10_000;
    outside_is_full(&mut sim, 24);
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
    // The results from inside count: nothing ran twice.
    sim.run_until(10_000, "done", |sim| is_done(sim, "j-2"));
    assert_eq!(sim.metrics.starts, 24 + 12);
    sim.check_records();
}

/// No controller is inside: all ends with its leases. What may be elsewhere starts there; what may not is back
/// when the zone is, on the machines that are still there.
#[test]
fn a_partitioned_zone_without_a_controller_loses_only_its_own_tasks() {
    let mut sim = fleet(30, 40, &["east"]);
    sim.submit(0, service("j-1", 24));
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-2", 8)
    };
    sim.submit(1, scattered);
    sim.run_until(20_000, "up", |sim| {
        sim.running("j-1") == 24 && sim.running("j-2") == 8
    });
    assert!(in_zone(&sim, "j-1", "west") > 0);
    sim.partition_zone("west", &[]);
    sim.run(26_000);
    assert!(sim.cloud.deleted.is_empty(), "what may still run is left");
    sim.run_until(20_000, "elsewhere", |sim| in_zone(sim, "j-1", "east") == 24);
    assert_eq!(
        in_zone(&sim, "j-2", "east"),
        4,
        "half of it may not be there"
    );
    sim.run(30_000);
    sim.heal_zone();
    sim.run_until(20_000, "whole again", |sim| sim.running("j-2") == 8);
    assert_eq!(sim.running("j-1"), 24);
    sim.check_records();
}

/// What will be dead when its leases end is provisioned for before that: a boot takes as long.
#[test]
fn capacity_is_provisioned_before_the_leases_of_a_zone_expire() {
    let mut sim = fleet(35, 40, &["east"]);
    sim.submit(1, service("j-1", 20));
    sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
    let east = 40 - in_zone(&sim, "j-1", "east") as u32;
    outside_is_full(&mut sim, east);
    sim.cloud.capacity = 30;
    sim.partition_zone("west", &[]);
    let lost = sim.now_ms;
    sim.run(20_000);
    assert!(sim.cloud.provisioned > 40, "rented ahead");
    assert!(
        sim.cloud.provisioned < 40 + 20,
        "no more than needed: {}",
        sim.cloud.provisioned - 40
    );
    sim.run_until(30_000, "whole", |sim| in_zone(sim, "j-1", "east") == 20);
    assert!(sim.now_ms < lost + 40_000, "{} ms", sim.now_ms - lost);
    sim.heal_zone();
    sim.run(10_000);
    sim.check_records();
}

/// Usage stays assigned until it is proven gone: a team at its limit would wait for the end of the cut.
#[test]
fn a_team_at_its_limit_recovers_its_quota() {
    let mut sim = fleet(40, 24, &["east"]);
    let blue = |id: &str, tasks| JobSpec {
        team: "blue".into(),
        ..service(id, tasks)
    };
    // Its limit is six such tasks.
    let west = JobSpec {
        zone: Some("west".into()),
        ..blue("j-1", 3)
    };
    sim.submit(0, west);
    sim.submit(0, blue("j-2", 3));
    sim.run_until(20_000, "up", |sim| {
        sim.running("j-1") == 3 && sim.running("j-2") == 3
    });
    sim.partition_zone("west", &[]);
    sim.run(1_000);
    sim.submit(0, blue("j-3", 3));
    sim.run(60_000);
    let moved = in_zone(&sim, "j-2", "west") + in_zone(&sim, "j-1", "east");
    assert_eq!(moved, 0, "each is where it may be");
    sim.heal_zone();
    sim.run(20_000);
    assert_eq!(sim.running("j-1"), 3);
    sim.check_records();
}

/// Cut for 35 s, back for 15, again and again: each time the same is found to be there.
#[test]
fn a_flapping_zone_costs_few_machines() {
    let mut sim = fleet(50, 40, &["east", "west"]);
    sim.workload.run_ms = 15_000;
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-1", 20)
    };
    sim.submit(0, scattered);
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

/// The other zone is lost while the first comes back.
#[test]
fn the_loss_of_a_second_zone_during_recovery_is_survived() {
    for seed in 0..3 {
        let mut sim = fleet(60 + seed, 40, &["east", "west"]);
        sim.workload.run_ms = 15_000;
        let scattered = JobSpec {
            topology_spread: true,
            ..service("j-1", 20)
        };
        sim.submit(0, scattered);
        sim.submit(1, job("j-2", 30));
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 20);
        sim.partition_zone("west", &[1]);
        sim.run(40_000);
        sim.heal_zone();
        sim.run(500 + seed * 1_500);
        sim.partition_zone("east", &[0, 2]);
        sim.run(40_000);
        sim.heal_zone();
        sim.run_until(40_000, "all is there", |sim| {
            sim.running("j-1") == 20 && is_done(sim, "j-2")
        });
        sim.run(10_000);
        sim.check_records();
    }
}

/// What matters most goes first, and the others' changes are not starved by it.
#[test]
fn services_of_a_failed_zone_precede_its_batches() {
    let mut sim = fleet(70, 60, &["east"]);
    sim.workload.run_ms = 60_000;
    sim.submit(0, job("j-1", 30));
    sim.run(2_000);
    sim.submit(1, service("j-2", 16));
    sim.run_until(20_000, "up", |sim| sim.running("j-2") == 16);
    sim.partition_zone("west", &[]);
    sim.run_until(50_000, "the service is whole", |sim| {
        in_zone(sim, "j-2", "east") == 16
    });
    let r = sim.submit(0, job("j-3", 2));
    sim.await_answer(r);
    sim.run(20_000);
    sim.heal_zone();
    sim.run_until(120_000, "done", |sim| {
        is_done(sim, "j-1") && is_done(sim, "j-3")
    });
    sim.check_records();
}

/// After a zone was lost its services all run in the other: they go back a few at a time, and none is ever
/// short of more than one task.
#[test]
fn services_return_to_an_even_spread_one_task_at_a_time() {
    let mut sim = even(80, 60);
    for i in 0..5 {
        sim.submit(i % 3, service(&format!("j-{i}"), 4));
        sim.run(100);
    }
    let whole = |sim: &Simulation| (0..5).all(|i| sim.running(&format!("j-{i}")) == 4);
    sim.run_until(20_000, "up", whole);
    for i in 0..5 {
        assert_eq!(
            in_zone(&sim, &format!("j-{i}"), "west"),
            2,
            "spread from the start"
        );
    }
    sim.partition_zone("west", &[]);
    sim.run_until(60_000, "all in the other", |sim| {
        whole(sim) && (0..5).all(|i| in_zone(sim, &format!("j-{i}"), "east") == 4)
    });
    sim.heal_zone();
    // Some machines there are left: those that held nothing.
    let even = |sim: &Simulation| (0..5).all(|i| in_zone(sim, &format!("j-{i}"), "west") == 2);
    let mut least = 4;
    for _ in 0..2_000 {
        sim.run(100);
        let running = (0..5).map(|i| sim.running(&format!("j-{i}")));
        least = least.min(running.min().unwrap());
        if even(&sim) && whole(&sim) {
            break;
        }
    }
    assert!(even(&sim) && whole(&sim), "even again");
    assert!(least >= 3, "never short of more than one");
    let moved = sim.metrics.stops.get("spread").map_or(0, |s| s.0);
    assert_eq!(moved, 10, "each moved once, for nothing none");
    sim.run(60_000);
    assert_eq!(
        sim.metrics.stops.get("spread").map_or(0, |s| s.0),
        10,
        "and stays"
    );
    sim.check_records();
}
