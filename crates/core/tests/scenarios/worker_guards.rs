//! The same for guards that concern workers and their machines.

use crate::guard_harness::{assert_needed, assert_violates, guarded};
use glenmount_core::controller::{Controller, UserReply};
use glenmount_core::state::Record;
use glenmount_simulation::{job, service, Simulation};

/// Half of the machines die while all controllers are away. Which, a controller that comes back can't know.
#[test]
fn without_liveness_dead_machines_are_assigned_tasks() {
    let cost = assert_needed("heard", 6_000, |checks| {
        let mut sim = guarded(checks, 980, 3, 30);
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.cloud.capacity = 0;
        sim.run(9_000);
        for n in 0..3 {
            sim.crash(n, 3_000);
        }
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        for name in names.iter().skip(8) {
            sim.kill_machine(name);
        }
        sim.run(3_500);
        let r = sim.submit(0, service("j-1", 16));
        sim.await_answer(r);
        let at = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 16);
        sim.now_ms - at
    });
    assert!(cost.is_ok_and(|ms| ms > 6_000));
}

#[test]
fn without_zone_failure_detection_work_waits_in_a_partitioned_zone() {
    let cost = assert_needed("zones", 2_500, |checks| {
        let mut sim = guarded(checks, 995, 3, 40);
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.settings.cancellation_timeout_ms = 51_500;
        sim.cloud.capacity = 0;
        sim.run(9_000);
        sim.partition_zone("west", &[1]);
        sim.run(4_500);
        let r = sim.submit(0, service("j-1", 30));
        sim.await_answer(r);
        let at = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 30);
        sim.now_ms - at
    });
    assert!(cost.is_ok_and(|ms| ms > 2_500));
}

/// Each claim that goes nowhere costs its machine a raised token, and its task the time for that.
#[test]
fn without_worker_reachability_claims_are_not_delivered() {
    let cost = assert_needed("workers", 12, |checks| {
        let mut token_offset = 0;
        for seed in 0..4 {
            let mut sim = guarded(checks, 1_000 + seed, 3, 12);
            sim.run(6_000);
            sim.controllers[0].cut_from_workers = true;
            for i in 0..10 {
                sim.submit(0, job(&format!("j-{i}"), 2));
                sim.run(3_000);
            }
            let machines = sim.state.records.values().filter_map(|(r, _)| match r {
                Record::Machine(m) => Some(m.token_offset),
                _ => None,
            });
            token_offset += machines.sum::<u64>();
        }
        token_offset
    });
    assert!(cost.is_ok_and(|token_offset| token_offset > 12));
}

/// The state service refuses a controller alone, a peer confirms a cancellation, then it is down for all; the
/// stops were lost, and the worker reports to the refused one. Both old and new versions serve.
#[test]
fn without_a_bound_tasks_cancelled_by_the_previous_version_run_on() {
    let cost = assert_needed("bounded", 0, |checks| {
        let mut sim = Simulation::previous_version(43, 3, 4);
        sim.settings.checks = *checks;
        sim.run(9_000);
        sim.upgrade(0, 500);
        sim.run(4_000);
        sim.upgrade(1, 500);
        (sim.workload.run_ms, sim.cloud.capacity) = (600_000, 0);
        sim.run(9_000);
        let r = sim.submit(1, job("j-1", 4));
        sim.await_answer(r);
        sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 4);
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(3_000);
        sim.controllers[0].refused_by_state = true;
        for n in 1..3 {
            sim.controllers[n].cut_from_workers = true;
        }
        sim.run(100);
        let r = sim.cancel(1, "j-1");
        assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
        sim.state.is_down = true;
        for _ in 0..100 {
            for worker in sim.workers.values_mut() {
                worker.controller = 0;
            }
            sim.run(500);
        }
        0
    });
    assert_violates(cost, "ran_cancelled");
}

/// Copies of a dead machine's last report go on arriving.
#[test]
fn without_duplicate_detection_a_dead_machine_stays_alive() {
    let cost = assert_needed("copies", 15_000, |checks| {
        let mut sim = guarded(checks, 990, 3, 6);
        sim.run(9_000);
        sim.submit(0, service("j-1", 2));
        sim.run_until(10_000, "up", |sim| sim.running("j-1") == 2);
        sim.run(3_000);
        let id = sim.machine_of("j-1").unwrap();
        let last = sim.heartbeat_of(&id);
        sim.kill_machine(&id);
        let from = sim.now_ms;
        while sim.running("j-1") < 2 && sim.now_ms < from + 60_000 {
            (0..3).for_each(|n| sim.inject_heartbeat(n, &last));
            sim.run(700);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 60_000));
}

/// Half of the machines hear nothing, and look free once their leases have ended.
#[test]
fn without_confirmed_delivery_workers_without_inbound_messages_get_tasks() {
    let cost = assert_needed("hears", 12_000, |checks| {
        let mut sim = guarded(checks, 991, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let up = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", up);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let deaf: Vec<String> = busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in deaf {
            sim.workers.get_mut(&name).unwrap().inbound_lost = true;
        }
        sim.run_until(40_000, "leases end", |sim| !up(sim));
        let from = sim.now_ms;
        while !up(&sim) && sim.now_ms < from + 60_000 {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms > 12_000));
}

/// Milliseconds in which a controller that is cut off alone goes on drawing users.
#[test]
fn without_isolation_detection_a_controller_keeps_its_users() {
    let cost = assert_needed("alone", 6_000, |checks| {
        let mut sim = guarded(checks, 992, 3, 4);
        sim.run(9_000);
        (
            sim.controllers[0].cut_from_state,
            sim.controllers[0].cut_from_peers,
        ) = (true, true);
        let from = sim.now_ms;
        while sim.controllers[0]
            .controller
            .as_ref()
            .is_some_and(Controller::ready)
            && sim.now_ms < from + 90_000
        {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 90_000));
}

/// Half of the machines reach no controller for much longer than a lease, which are too many to be moved off.
#[test]
fn without_incarnations_in_answers_expired_tasks_stay_assigned() {
    let cost = assert_needed("session", 50_000, |checks| {
        let mut sim = guarded(checks, 997, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let up = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", up);
        let busy: Vec<String> = sim.machines_of("j-1").into_iter().take(5).collect();
        for name in busy {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let from = sim.now_ms;
        sim.run_until(40_000, "leases end", |sim| !up(sim));
        while !up(&sim) && sim.now_ms < from + 120_000 {
            sim.run(100);
        }
        sim.now_ms - from
    });
    assert!(cost.is_ok_and(|ms| ms >= 120_000));
}

/// Some machines reach no controller. Milliseconds in which a service lacks a task.
#[test]
fn without_moves_off_workers_with_lost_heartbeats_services_end_with_their_leases() {
    let cost = assert_needed("mute", 3_000, |checks| {
        let mut sim = guarded(checks, 998, 3, 14);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        for i in 0..3 {
            sim.submit(i % 3, service(&format!("j-{i}"), 3));
        }
        let up = |sim: &Simulation| (0..3).all(|i| sim.running(&format!("j-{i}")) == 3);
        sim.run_until(20_000, "up", up);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let mute: Vec<String> = busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in mute {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let mut down = 0;
        for _ in 0..600 {
            sim.run(100);
            down += if up(&sim) { 0 } else { 100 };
        }
        down
    });
    assert!(cost.is_ok_and(|ms| ms > 3_000));
}

/// Reports of machines that died, and were deleted, reach controllers that have just started. Milliseconds until a
/// service is up that needs most of what there is.
#[test]
fn without_probing_unknown_machines_work_goes_to_deleted_ones() {
    let cost = assert_needed("strangers", 9_000, |checks| {
        let mut slowest = 0;
        for seed in 0..4 {
            let mut sim = guarded(checks, 1_300 + seed, 3, 12);
            (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
            sim.cloud.capacity = 0;
            sim.run(15_000);
            sim.network.faults.heartbeat_kept = 1.0;
            sim.run(10_000);
            sim.network.faults.heartbeat_kept = 0.0;
            let names: Vec<String> = sim.workers.keys().take(3).cloned().collect();
            for name in &names {
                sim.kill_machine(name);
            }
            let gone = |sim: &Simulation| names.iter().all(|n| sim.cloud.deleted.contains(n));
            sim.run_until(60_000, "deleted", gone);
            sim.cloud.capacity = 0;
            sim.run(3_000);
            for n in 0..3 {
                sim.crash(n, 400);
            }
            sim.run(1_500);
            let from = sim.now_ms;
            sim.submit(0, service("j-1", 17));
            sim.run_until(90_000, "up", |sim| sim.running("j-1") == 17);
            slowest = slowest.max(sim.now_ms - from);
        }
        slowest
    });
    assert!(cost.is_ok_and(|ms| ms > 9_000));
}
