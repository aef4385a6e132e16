//! Short scenarios of zones that are lost and come back: what is left there, what goes elsewhere, and in
//! which order. The world checks every rule at each step.

use glenmount_core::model::*;
use glenmount_core::state::JobPhase;
use glenmount_simulation::*;

fn fleet(seed: u64, machines: usize, controllers_in: &[&str]) -> World {
    let mut w = World::new(seed, 3, 0);
    w.settings.idle_return_ms = 3_600_000;
    w.settings.report_ms = 5_000;
    w.settings.lease_ms = 26_500;
    w.settings.cancel_ms = 51_500;
    w.controllers_in = controllers_in.iter().map(|z| z.to_string()).collect();
    w.capacity = 0;
    for i in 0..machines {
        let zone = ["east", "west"][i % 2];
        w.boot_machine("small", zone, false, 10 + i as u64 * 13);
    }
    w.run(9_000);
    w
}

fn done(w: &World, id: &str) -> bool {
    w.job_phase(id) == Some(JobPhase::Done)
}

fn in_zone(w: &World, job: &str, zone: &str) -> usize {
    let there = w.workers.values().filter(|m| m.zone == zone);
    there
        .flat_map(|m| m.live())
        .filter(|(t, _)| t.job == job)
        .count()
}

fn outside_is_full(w: &mut World, tasks: u32) {
    let filler = JobSpec {
        zone: Some("east".into()),
        ..service("j-90", tasks)
    };
    w.submit(0, filler);
    w.until(20_000, "full", |w| w.running("j-90") == tasks as usize);
}

/// A service whose first start was on its way into the cut used to wait for its end: up to 307 s.
#[test]
fn starts_that_never_arrived_go_elsewhere_within_seconds() {
    for seed in 0..4 {
        let mut w = fleet(1 + seed, 40, &["east", "west"]);
        w.run(seed * 400);
        // Claimed in the moments in which nobody knows of the cut yet.
        w.cut_zone("west", &[1]);
        for i in 0..6 {
            w.submit(0, service(&format!("j-{i}"), 6));
            w.run(100);
        }
        let lost = w.now;
        let up = |w: &World| (0..6).all(|i| w.running(&format!("j-{i}")) == 6);
        w.until(30_000, "up outside", up);
        assert!(w.now < lost + 25_000, "{} ms", w.now - lost);
        w.join_zone();
        w.run(20_000);
        w.until(20_000, "up", up);
        w.check_records();
    }
}

/// Batches behind a cut of minutes are run anew where they can still be in time; what serves inside is
/// left alone.
#[test]
fn batches_move_when_waiting_would_miss_their_goal_and_services_stay() {
    let mut w = fleet(10, 40, &["east", "west"]);
    w.settings.policy.goals.clear();
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-1", 12)
    };
    w.submit(0, scattered);
    w.until(20_000, "up", |w| w.running("j-1") == 12);
    // Full machines, so that no batch shares one with the service.
    w.run_ms = 20_000;
    let batch = JobSpec {
        deadline_s: Some(120.0),
        estimate_s: 20.0,
        zone: None,
        ..job("j-2", 50)
    };
    w.submit(1, batch);
    w.until(10_000, "runs", |w| w.running("j-2") > 30);
    let behind = in_zone(&w, "j-2", "west");
    assert!(behind > 5);
    let asked = w.now;
    w.cut_zone("west", &[1]);
    w.until(115_000, "done in time", |w| done(w, "j-2"));
    assert!(w.now < asked + 115_000);
    assert_eq!(w.running("j-1"), 12, "what serves inside goes on");
    let ended = w.deleted.len();
    assert!(ended > 0 && ended <= behind, "{ended}");
    w.join_zone();
    w.run(30_000);
    assert_eq!((w.running("j-1"), w.killed), (12, 0));
    w.check_records();
}

#[test]
fn without_room_outside_nothing_is_ended() {
    let mut w = fleet(20, 24, &["east", "west"]);
    w.run_ms = 10_000;
    outside_is_full(&mut w, 24);
    let batch = JobSpec {
        deadline_s: Some(100.0),
        ..job("j-2", 12)
    };
    w.submit(1, batch);
    w.until(10_000, "runs", |w| w.running("j-2") == 12);
    w.cut_zone("west", &[1]);
    w.run(90_000);
    assert!(w.deleted.is_empty(), "{:?}", w.deleted);
    w.join_zone();
    // The results from inside count: nothing ran twice.
    w.until(10_000, "done", |w| done(w, "j-2"));
    assert_eq!(w.starts, 24 + 12);
    w.check_records();
}

/// No controller is inside: all ends with its leases. What may be elsewhere starts there; what may not is back
/// when the zone is, on the machines that are still there.
#[test]
fn a_zone_without_a_node_loses_what_runs_there_and_no_more() {
    let mut w = fleet(30, 40, &["east"]);
    w.submit(0, service("j-1", 24));
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-2", 8)
    };
    w.submit(1, scattered);
    w.until(20_000, "up", |w| {
        w.running("j-1") == 24 && w.running("j-2") == 8
    });
    assert!(in_zone(&w, "j-1", "west") > 0);
    w.cut_zone("west", &[]);
    w.run(26_000);
    assert!(w.deleted.is_empty(), "what may still run is left");
    w.until(20_000, "elsewhere", |w| in_zone(w, "j-1", "east") == 24);
    assert_eq!(in_zone(&w, "j-2", "east"), 4, "half of it may not be there");
    w.run(30_000);
    w.join_zone();
    w.until(20_000, "whole again", |w| w.running("j-2") == 8);
    assert_eq!(w.running("j-1"), 24);
    w.check_records();
}

/// What will be dead when its leases end is provisioned for before that: a boot takes as long.
#[test]
fn room_is_rented_ahead_of_its_need() {
    let mut w = fleet(35, 40, &["east"]);
    w.submit(1, service("j-1", 20));
    w.until(20_000, "up", |w| w.running("j-1") == 20);
    let east = 40 - in_zone(&w, "j-1", "east") as u32;
    outside_is_full(&mut w, east);
    w.capacity = 30;
    w.cut_zone("west", &[]);
    let lost = w.now;
    w.run(20_000);
    assert!(w.rented > 40, "rented ahead");
    assert!(w.rented < 40 + 20, "no more than needed: {}", w.rented - 40);
    w.until(30_000, "whole", |w| in_zone(w, "j-1", "east") == 20);
    assert!(w.now < lost + 40_000, "{} ms", w.now - lost);
    w.join_zone();
    w.run(10_000);
    w.check_records();
}

/// Usage stays assigned until it is proven gone: a team at its limit would wait for the end of the cut.
#[test]
fn a_team_at_its_limit_gets_its_room_back() {
    let mut w = fleet(40, 24, &["east"]);
    let blue = |id: &str, tasks| JobSpec {
        team: "blue".into(),
        ..service(id, tasks)
    };
    // Its limit is six such tasks.
    let west = JobSpec {
        zone: Some("west".into()),
        ..blue("j-1", 3)
    };
    w.submit(0, west);
    w.submit(0, blue("j-2", 3));
    w.until(20_000, "up", |w| {
        w.running("j-1") == 3 && w.running("j-2") == 3
    });
    w.cut_zone("west", &[]);
    w.run(1_000);
    w.submit(0, blue("j-3", 3));
    w.run(60_000);
    let moved = in_zone(&w, "j-2", "west") + in_zone(&w, "j-1", "east");
    assert_eq!(moved, 0, "each is where it may be");
    w.join_zone();
    w.run(20_000);
    assert_eq!(w.running("j-1"), 3);
    w.check_records();
}

/// Cut for 35 s, back for 15, again and again: each time the same is found to be there.
#[test]
fn a_zone_that_flaps_costs_few_machines() {
    let mut w = fleet(50, 40, &["east", "west"]);
    w.run_ms = 15_000;
    let scattered = JobSpec {
        topology_spread: true,
        ..service("j-1", 20)
    };
    w.submit(0, scattered);
    w.until(20_000, "up", |w| w.running("j-1") == 20);
    for round in 0..3 {
        for i in 0..4 {
            w.submit(i % 3, job(&format!("j-{round}{i}"), 6));
            w.run(1_000);
        }
        w.cut_zone("west", &[1]);
        w.run(35_000);
        w.join_zone();
        w.run(15_000);
    }
    w.run(20_000);
    assert_eq!(w.running("j-1"), 20);
    assert!((0..3).all(|r| (0..4).all(|i| done(&w, &format!("j-{r}{i}")))));
    assert!(w.deleted.len() <= 6, "{:?}", w.deleted);
    w.check_records();
}

/// The other zone is lost while the first comes back.
#[test]
fn a_second_loss_during_the_return_is_ridden_out() {
    for seed in 0..3 {
        let mut w = fleet(60 + seed, 40, &["east", "west"]);
        w.run_ms = 15_000;
        let scattered = JobSpec {
            topology_spread: true,
            ..service("j-1", 20)
        };
        w.submit(0, scattered);
        w.submit(1, job("j-2", 30));
        w.until(20_000, "up", |w| w.running("j-1") == 20);
        w.cut_zone("west", &[1]);
        w.run(40_000);
        w.join_zone();
        w.run(500 + seed * 1_500);
        w.cut_zone("east", &[0, 2]);
        w.run(40_000);
        w.join_zone();
        w.until(40_000, "all is there", |w| {
            w.running("j-1") == 20 && done(w, "j-2")
        });
        w.run(10_000);
        w.check_records();
    }
}

/// What matters most goes first, and the others' changes are not starved by it.
#[test]
fn services_of_a_dead_zone_go_before_its_batches() {
    let mut w = fleet(70, 60, &["east"]);
    w.run_ms = 60_000;
    w.submit(0, job("j-1", 30));
    w.run(2_000);
    w.submit(1, service("j-2", 16));
    w.until(20_000, "up", |w| w.running("j-2") == 16);
    w.cut_zone("west", &[]);
    w.until(50_000, "the service is whole", |w| {
        in_zone(w, "j-2", "east") == 16
    });
    let r = w.submit(0, job("j-3", 2));
    w.answer(r);
    w.run(20_000);
    w.join_zone();
    w.until(120_000, "done", |w| done(w, "j-1") && done(w, "j-3"));
    w.check_records();
}

fn even(seed: u64, machines: usize) -> World {
    let mut w = fleet(seed, 0, &["east"]);
    w.settings.tuning.even_spread = true;
    for n in 0..3 {
        w.crash(n, 100);
    }
    for i in 0..machines {
        w.boot_machine("small", ["east", "west"][i % 2], false, 200 + i as u64 * 13);
    }
    w.run(9_000);
    w
}

/// After a zone was lost its services all run in the other: they go back a few at a time, and none is ever
/// short of more than one task.
#[test]
fn services_go_back_to_an_even_spread_one_task_at_a_time() {
    let mut w = even(80, 60);
    for i in 0..5 {
        w.submit(i % 3, service(&format!("j-{i}"), 4));
        w.run(100);
    }
    let whole = |w: &World| (0..5).all(|i| w.running(&format!("j-{i}")) == 4);
    w.until(20_000, "up", whole);
    for i in 0..5 {
        assert_eq!(
            in_zone(&w, &format!("j-{i}"), "west"),
            2,
            "spread from the start"
        );
    }
    w.cut_zone("west", &[]);
    w.until(60_000, "all in the other", |w| {
        whole(w) && (0..5).all(|i| in_zone(w, &format!("j-{i}"), "east") == 4)
    });
    w.join_zone();
    // Some machines there are left: those that held nothing.
    let even = |w: &World| (0..5).all(|i| in_zone(w, &format!("j-{i}"), "west") == 2);
    let mut least = 4;
    for _ in 0..2_000 {
        w.run(100);
        let running = (0..5).map(|i| w.running(&format!("j-{i}")));
        least = least.min(running.min().unwrap());
        if even(&w) && whole(&w) {
            break;
        }
    }
    assert!(even(&w) && whole(&w), "even again");
    assert!(least >= 3, "never short of more than one");
    let moved = w.stops.get("spread").map_or(0, |s| s.0);
    assert_eq!(moved, 10, "each moved once, for nothing none");
    w.run(60_000);
    assert_eq!(w.stops.get("spread").map_or(0, |s| s.0), 10, "and stays");
    w.check_records();
}
