//! Workers whose inbound or outbound messages are lost while the other direction works.

use crate::common::{is_over, is_running, with_workers_on_controller_0};
use glenmount_core::controller::UserReply;
use glenmount_simulation::{job, service, use_long_leases, Simulation};

/// Workers whose heartbeats arrive but that receive nothing lose their leases, then look idle and have the images
/// cached, so controllers may place tasks there that never start. Other machines have capacity: all services must run
/// there soon after the leases have expired.
#[test]
fn tasks_of_workers_without_inbound_messages_restart_elsewhere() {
    let mut slowest_ms = 0;
    for seed in 0..6 {
        let mut sim = Simulation::new(60 + seed, 3, 12);
        use_long_leases(&mut sim);
        sim.run(15_000);
        sim.cloud.capacity = 0;
        for i in 0..4 {
            sim.submit(i % 3, service(&format!("j-{i}"), 3));
        }
        let all_running = |sim: &Simulation| (0..4).all(|i| is_running(sim, &format!("j-{i}")));
        sim.run_until(20_000, "up", all_running);
        // Machines that run tasks, at most a third of all.
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let without_inbound: Vec<String> = busy.map(|worker| worker.name.clone()).take(4).collect();
        for name in &without_inbound {
            sim.workers.get_mut(name).unwrap().inbound_lost = true;
        }
        let fault_ms = sim.now_ms;
        sim.run_until(40_000, "leases expire", |sim| !all_running(sim));
        let expired_ms = sim.now_ms;
        sim.run_until(60_000, "up elsewhere", all_running);
        slowest_ms = slowest_ms.max(sim.now_ms - expired_ms);
        assert!(
            expired_ms >= fault_ms + 12_000,
            "no task ends before its lease"
        );
        for name in &without_inbound {
            if let Some(worker) = sim.workers.get_mut(name) {
                worker.inbound_lost = false;
            }
        }
        // The machines are used again once they answer.
        sim.run(8_000);
        sim.submit(0, service("j-9", 24 - 12));
        sim.run_until(20_000, "used again", |sim| is_running(sim, "j-9"));
        sim.check_records();
    }
    assert!(slowest_ms <= 12_000, "{slowest_ms} ms");
}

/// The controller that all workers report to crashes while half of the workers are disconnected, or do not receive the
/// answers of the next controller, for less than their leases. No task may end or run twice.
#[test]
fn a_controller_fails_while_workers_with_long_tasks_receive_nothing() {
    for (seed, inbound_only) in (0..6).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut sim = Simulation::new(150 + seed, 3, 8);
        use_long_leases(&mut sim);
        let mut sim = with_workers_on_controller_0(sim, 12);
        let names: Vec<String> = sim.workers.keys().take(4).cloned().collect();
        let set_fault = |sim: &mut Simulation, on: bool| {
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    match inbound_only {
                        true => worker.inbound_lost = on,
                        false => worker.disconnected = on,
                    }
                }
            }
        };
        sim.crash(0, [200, 8_000][seed as usize % 2]);
        set_fault(&mut sim, true);
        sim.run(5_000);
        set_fault(&mut sim, false);
        sim.run(40_000);
        assert_eq!(
            (
                sim.metrics.starts,
                sim.running("j-1"),
                sim.metrics.killed_by_lease
            ),
            (12, 12, 0),
            "inbound only: {inbound_only}"
        );
        sim.check_records();
    }
}

/// Workers whose heartbeats are lost still answer direct commands. They must get no task that their lease would end;
/// their services move before the leases expire, and the results of their tasks become known.
#[test]
fn services_move_off_workers_whose_heartbeats_are_lost() {
    let mut longest_degraded_ms = 0;
    for seed in 0..6_u64 {
        let mut sim = Simulation::new(3_000 + seed, 3, 16);
        use_long_leases(&mut sim);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 8_000);
        for j in 0..4 {
            sim.submit(j % 3, service(&format!("j-{j}"), 3));
        }
        let all_running = |sim: &Simulation| (0..4).all(|j| is_running(sim, &format!("j-{j}")));
        sim.run_until(20_000, "up", all_running);
        let busy = sim.workers.values().filter(|x| x.live_tasks().count() > 0);
        let without_outbound: Vec<String> = busy.map(|x| x.name.clone()).take(3).collect();
        for name in &without_outbound {
            sim.workers.get_mut(name).unwrap().outbound_lost = true;
        }
        let fault_ms = sim.now_ms;
        let mut degraded_ms = 0;
        for j in 0..60 {
            sim.submit(j % 3, job(&format!("j-9{j}"), 1));
            sim.run(1_000);
            degraded_ms += if all_running(&sim) { 0 } else { 1_000 };
            let last_start = |name: &String| sim.workers.get(name).map_or(0, |x| x.last_start_ms);
            let last_start_ms = without_outbound.iter().map(last_start).max().unwrap_or(0);
            assert!(
                last_start_ms <= fault_ms + 13_500,
                "seed {seed}: a worker without outbound messages gets a start at {last_start_ms}"
            );
        }
        longest_degraded_ms = longest_degraded_ms.max(degraded_ms);
        sim.heal_all();
        sim.run(15_000);
        sim.run_until(60_000, "done", |sim| {
            (0..60).all(|j| is_over(sim, &format!("j-9{j}")))
        });
        assert!(all_running(&sim));
        sim.check_records();
    }
    eprintln!("a service lacked a task for {longest_degraded_ms} ms at most");
    assert!(longest_degraded_ms <= 8_000, "{longest_degraded_ms} ms");
}

/// The heartbeats of half of the fleet, or all of it, are lost for longer than a lease. The machines provisioned
/// meanwhile must not exceed the demand of the lost work, and all work runs afterwards.
#[test]
fn lost_heartbeats_of_a_fleet_lead_to_bounded_provisioning() {
    for (seed, one_in) in (0..6_u64).flat_map(|seed| [(seed, 2), (seed, 1)]) {
        let mut sim = Simulation::new(3_100 + seed, 3, 24);
        use_long_leases(&mut sim);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (200, 20_000);
        for j in 0..4 {
            sim.submit(j % 3, service(&format!("j-{j}"), 4));
        }
        for j in 0..4 {
            sim.submit(j % 3, job(&format!("j-9{j}"), 6));
        }
        sim.run_until(30_000, "up", |sim| {
            (0..4).all(|j| is_running(sim, &format!("j-{j}")))
        });
        let provisioned_before = sim.cloud.provisioned;
        for (i, worker) in sim.workers.values_mut().enumerate() {
            worker.outbound_lost = i % one_in == 0;
        }
        sim.run(45_000);
        // 40 tasks of two CPUs, on machines with four or eight.
        let provisioned = sim.cloud.provisioned - provisioned_before;
        assert!(
            provisioned <= 40,
            "seed {seed}, one worker in {one_in}: {provisioned} machines provisioned"
        );
        sim.heal_all();
        sim.run_until(120_000, "all work runs or is over", |sim| {
            (0..4).all(|j| is_running(sim, &format!("j-{j}")) && is_over(sim, &format!("j-9{j}")))
        });
        sim.run(20_000);
        sim.check_records();
    }
}

/// Users cancel jobs on workers whose heartbeats are lost. Stop commands reach the workers and the answers prove that
/// the tasks have ended, so cancellations must be confirmed as fast as elsewhere.
#[test]
fn cancellations_on_workers_with_lost_heartbeats_are_confirmed_as_fast() {
    let mut waits_ms = Vec::new();
    for seed in 0..4_u64 {
        let mut sim = Simulation::new(4_100 + seed, 3, 12);
        use_long_leases(&mut sim);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 600_000);
        for j in 0..6 {
            sim.submit(j % 3, job(&format!("j-{j}"), 2));
        }
        sim.run_until(20_000, "up", |sim| {
            (0..6).all(|j| is_running(sim, &format!("j-{j}")))
        });
        sim.workers
            .values_mut()
            .for_each(|x| x.outbound_lost = true);
        sim.run(14_000);
        for j in 0..6 {
            let cancelled_ms = sim.now_ms;
            let request = sim.cancel(j % 3, &format!("j-{j}"));
            let reply = sim.await_answer(request);
            assert!(matches!(reply, UserReply::Cancelled { .. }), "{reply:?}");
            waits_ms.push(sim.now_ms - cancelled_ms);
            sim.run(200);
        }
        sim.heal_all();
        sim.run(20_000);
        sim.check_records();
    }
    assert!(waits_ms.iter().all(|ms| *ms <= 1_500), "{waits_ms:?}");
}
