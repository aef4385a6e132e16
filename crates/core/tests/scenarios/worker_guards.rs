//! One scenario for each safety check that concerns workers and their machines, as in `safety_guards`.

use crate::guard_harness::{assert_check_needed, assert_violates, simulation_with_checks};
use glenmount_core::controller::{Controller, UserReply};
use glenmount_core::state::Record;
use glenmount_simulation::{job, service, Simulation};

/// Most machines die while all controllers are down. A restarted controller cannot know which ones, so it must wait
/// for heartbeats before it assigns tasks. The cost is the milliseconds until a service runs.
#[test]
fn without_liveness_dead_machines_are_assigned_tasks() {
    let cost = assert_check_needed("heard", 6_000, |checks| {
        let mut sim = simulation_with_checks(checks, 980, 3, 30);
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
        let request = sim.submit(0, service("j-1", 16));
        sim.await_answer(request);
        let submitted_ms = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 16);
        sim.now_ms - submitted_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 6_000));
}

/// A zone is cut off. The cost is the milliseconds until a service runs outside that zone.
#[test]
fn without_zone_failure_detection_work_waits_in_a_partitioned_zone() {
    let cost = assert_check_needed("zones", 2_500, |checks| {
        let mut sim = simulation_with_checks(checks, 995, 3, 40);
        sim.settings.heartbeat_interval_ms = 5_000;
        sim.settings.lease_ms = 26_500;
        sim.settings.cancellation_timeout_ms = 51_500;
        sim.cloud.capacity = 0;
        sim.run(9_000);
        sim.partition_zone("west", &[1]);
        sim.run(4_500);
        let request = sim.submit(0, service("j-1", 30));
        sim.await_answer(request);
        let submitted_ms = sim.now_ms;
        sim.run_until(90_000, "up", |sim| sim.running("j-1") == 30);
        sim.now_ms - submitted_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 2_500));
}

/// A controller cannot reach its workers. Each claim that it cannot deliver raises the fencing token of the machine and
/// delays the task. The cost is the sum of the token offsets.
#[test]
fn without_worker_reachability_claims_are_not_delivered() {
    let cost = assert_check_needed("workers", 12, |checks| {
        let mut token_offset = 0;
        for seed in 0..4 {
            let mut sim = simulation_with_checks(checks, 1_000 + seed, 3, 12);
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

/// During an upgrade the state service refuses one controller, a peer confirms a cancellation, then the state service
/// is down for all. The stop commands are lost and the workers report to the refused controller, which must not renew
/// their leases without bound.
#[test]
fn without_a_bound_tasks_cancelled_by_the_previous_version_run_on() {
    let cost = assert_check_needed("bounded", 0, |checks| {
        let mut sim = Simulation::previous_version(43, 3, 4);
        sim.settings.checks = *checks;
        sim.run(9_000);
        sim.upgrade(0, 500);
        sim.run(4_000);
        sim.upgrade(1, 500);
        (sim.workload.run_ms, sim.cloud.capacity) = (600_000, 0);
        sim.run(9_000);
        let request = sim.submit(1, job("j-1", 4));
        sim.await_answer(request);
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
        let request = sim.cancel(1, "j-1");
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Cancelled { .. }
        ));
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

/// Copies of a dead machine's last heartbeat keep arriving. The cost is the milliseconds until its service runs
/// elsewhere.
#[test]
fn without_duplicate_detection_a_dead_machine_stays_alive() {
    let cost = assert_check_needed("copies", 15_000, |checks| {
        let mut sim = simulation_with_checks(checks, 990, 3, 6);
        sim.run(9_000);
        sim.submit(0, service("j-1", 2));
        sim.run_until(10_000, "up", |sim| sim.running("j-1") == 2);
        sim.run(3_000);
        let id = sim.machine_of("j-1").unwrap();
        let last = sim.heartbeat_of(&id);
        sim.kill_machine(&id);
        let start_ms = sim.now_ms;
        while sim.running("j-1") < 2 && sim.now_ms < start_ms + 60_000 {
            (0..3).for_each(|n| sim.inject_heartbeat(n, &last));
            sim.run(700);
        }
        sim.now_ms - start_ms
    });
    assert!(cost.is_ok_and(|ms| ms >= 60_000));
}

/// Some workers send heartbeats but receive nothing, and look idle once their leases have expired. The cost is the
/// milliseconds until their service runs elsewhere.
#[test]
fn without_confirmed_delivery_workers_without_inbound_messages_get_tasks() {
    let cost = assert_check_needed("hears", 12_000, |checks| {
        let mut sim = simulation_with_checks(checks, 991, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let all_running = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", all_running);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let without_inbound: Vec<String> = busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in without_inbound {
            sim.workers.get_mut(&name).unwrap().inbound_lost = true;
        }
        sim.run_until(40_000, "leases expire", |sim| !all_running(sim));
        let start_ms = sim.now_ms;
        while !all_running(&sim) && sim.now_ms < start_ms + 60_000 {
            sim.run(100);
        }
        sim.now_ms - start_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 12_000));
}

/// A controller is cut off from the state service and its peers. The cost is the milliseconds in which it still
/// reports ready to the load balancer.
#[test]
fn without_isolation_detection_a_controller_keeps_its_users() {
    let cost = assert_check_needed("alone", 6_000, |checks| {
        let mut sim = simulation_with_checks(checks, 992, 3, 4);
        sim.run(9_000);
        (
            sim.controllers[0].cut_from_state,
            sim.controllers[0].cut_from_peers,
        ) = (true, true);
        let start_ms = sim.now_ms;
        while sim.controllers[0]
            .controller
            .as_ref()
            .is_some_and(Controller::ready)
            && sim.now_ms < start_ms + 90_000
        {
            sim.run(100);
        }
        sim.now_ms - start_ms
    });
    assert!(cost.is_ok_and(|ms| ms >= 90_000));
}

/// Nearly half of the machines reach no controller for much longer than a lease, which is too many to move the work
/// off them. The cost is the milliseconds until the service runs again.
#[test]
fn without_incarnations_in_answers_expired_tasks_stay_assigned() {
    let cost = assert_check_needed("session", 50_000, |checks| {
        let mut sim = simulation_with_checks(checks, 997, 3, 12);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        sim.submit(0, service("j-1", 10));
        let all_running = |sim: &Simulation| sim.running("j-1") == 10;
        sim.run_until(20_000, "up", all_running);
        let busy: Vec<String> = sim.machines_of("j-1").into_iter().take(5).collect();
        for name in busy {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let start_ms = sim.now_ms;
        sim.run_until(40_000, "leases expire", |sim| !all_running(sim));
        while !all_running(&sim) && sim.now_ms < start_ms + 120_000 {
            sim.run(100);
        }
        sim.now_ms - start_ms
    });
    assert!(cost.is_ok_and(|ms| ms >= 120_000));
}

/// The heartbeats of some workers are lost. The cost is the milliseconds in which a service lacks a task.
#[test]
fn without_moves_off_workers_with_lost_heartbeats_services_end_with_their_leases() {
    let cost = assert_check_needed("mute", 3_000, |checks| {
        let mut sim = simulation_with_checks(checks, 998, 3, 14);
        (sim.settings.heartbeat_interval_ms, sim.settings.lease_ms) = (5_000, 26_500);
        sim.cloud.capacity = 0;
        sim.run(15_000);
        for i in 0..3 {
            sim.submit(i % 3, service(&format!("j-{i}"), 3));
        }
        let all_running = |sim: &Simulation| (0..3).all(|i| sim.running(&format!("j-{i}")) == 3);
        sim.run_until(20_000, "up", all_running);
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let without_outbound: Vec<String> =
            busy.map(|worker| worker.name.clone()).take(3).collect();
        for name in without_outbound {
            sim.workers.get_mut(&name).unwrap().outbound_lost = true;
        }
        let mut degraded_ms = 0;
        for _ in 0..600 {
            sim.run(100);
            degraded_ms += if all_running(&sim) { 0 } else { 100 };
        }
        degraded_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 3_000));
}

/// Heartbeats of machines that died and were deleted reach controllers that have just started. The cost is the
/// milliseconds until a service runs that needs most of the fleet.
#[test]
fn without_probing_unknown_machines_work_goes_to_deleted_ones() {
    let cost = assert_check_needed("strangers", 9_000, |checks| {
        let mut slowest_ms = 0;
        for seed in 0..4 {
            let mut sim = simulation_with_checks(checks, 1_300 + seed, 3, 12);
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
            let deleted = |sim: &Simulation| names.iter().all(|n| sim.cloud.deleted.contains(n));
            sim.run_until(60_000, "deleted", deleted);
            sim.cloud.capacity = 0;
            sim.run(3_000);
            for n in 0..3 {
                sim.crash(n, 400);
            }
            sim.run(1_500);
            let start_ms = sim.now_ms;
            sim.submit(0, service("j-1", 17));
            sim.run_until(90_000, "up", |sim| sim.running("j-1") == 17);
            slowest_ms = slowest_ms.max(sim.now_ms - start_ms);
        }
        slowest_ms
    });
    assert!(cost.is_ok_and(|ms| ms > 9_000));
}
