//! Workers that can send and not receive, or receive and not send.

use crate::common::{is_over, is_running, led};
use glenmount_core::controller::UserReply;
use glenmount_simulation::{job, service, use_long_leases, Simulation};

/// Machines whose reports arrive and that hear nothing lose their leases, look free, and have the
/// images: what is placed there does not start. Others have room, so all is up soon after the leases
/// have ended, and nothing waits for them.
#[test]
fn tasks_of_workers_without_inbound_messages_restart_elsewhere() {
    let mut worst = 0;
    for seed in 0..6 {
        let mut sim = Simulation::new(60 + seed, 3, 12);
        use_long_leases(&mut sim);
        sim.run(15_000);
        sim.cloud.capacity = 0;
        for i in 0..4 {
            sim.submit(i % 3, service(&format!("j-{i}"), 3));
        }
        let all_up = |sim: &Simulation| (0..4).all(|i| is_running(sim, &format!("j-{i}")));
        sim.run_until(20_000, "up", all_up);
        // All that run something, but one in three of the machines at most.
        let busy = sim
            .workers
            .values()
            .filter(|worker| worker.live_tasks().count() > 0);
        let deaf: Vec<String> = busy.map(|worker| worker.name.clone()).take(4).collect();
        for name in &deaf {
            sim.workers.get_mut(name).unwrap().inbound_lost = true;
        }
        let from = sim.now_ms;
        sim.run_until(40_000, "leases end", |sim| !all_up(sim));
        let ended = sim.now_ms;
        sim.run_until(60_000, "up elsewhere", all_up);
        worst = worst.max(sim.now_ms - ended);
        assert!(ended >= from + 12_000, "nothing ends before its lease");
        for name in &deaf {
            if let Some(worker) = sim.workers.get_mut(name) {
                worker.inbound_lost = false;
            }
        }
        // They are used again once they answer.
        sim.run(8_000);
        sim.submit(0, service("j-9", 24 - 12));
        sim.run_until(20_000, "used again", |sim| is_running(sim, "j-9"));
        sim.check_records();
    }
    assert!(worst <= 12_000, "{worst} ms");
}

/// The controller that all machines report to ends while half of them can't be reached, or do not hear the
/// next one's answer, for less than their leases allow: nothing that runs there ends, or runs twice.
#[test]
fn a_controller_fails_while_workers_with_long_tasks_receive_nothing() {
    for (seed, deaf) in (0..6).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut sim = Simulation::new(150 + seed, 3, 8);
        use_long_leases(&mut sim);
        let mut sim = led(sim, 12);
        let names: Vec<String> = sim.workers.keys().take(4).cloned().collect();
        let sets = |sim: &mut Simulation, on: bool| {
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    match deaf {
                        true => worker.inbound_lost = on,
                        false => worker.disconnected = on,
                    }
                }
            }
        };
        sim.crash(0, [200, 8_000][seed as usize % 2]);
        sets(&mut sim, true);
        sim.run(5_000);
        sets(&mut sim, false);
        sim.run(40_000);
        assert_eq!(
            (
                sim.metrics.starts,
                sim.running("j-1"),
                sim.metrics.killed_by_lease
            ),
            (12, 12, 0),
            "deaf {deaf}"
        );
        sim.check_records();
    }
}

/// Machines whose reports reach nobody answer direct commands all the same. They get no work that their
/// lease would end; what they serve is up elsewhere before that, and what they run is known to be over.
#[test]
fn services_move_off_workers_whose_heartbeats_are_lost() {
    let mut worst = 0;
    for seed in 0..6_u64 {
        let mut sim = Simulation::new(3_000 + seed, 3, 16);
        use_long_leases(&mut sim);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 8_000);
        for j in 0..4 {
            sim.submit(j % 3, service(&format!("j-{j}"), 3));
        }
        let all_up = |sim: &Simulation| (0..4).all(|j| is_running(sim, &format!("j-{j}")));
        sim.run_until(20_000, "up", all_up);
        let busy = sim.workers.values().filter(|x| x.live_tasks().count() > 0);
        let mute: Vec<String> = busy.map(|x| x.name.clone()).take(3).collect();
        for name in &mute {
            sim.workers.get_mut(name).unwrap().outbound_lost = true;
        }
        let from = sim.now_ms;
        let mut down = 0;
        for j in 0..60 {
            sim.submit(j % 3, job(&format!("j-9{j}"), 1));
            sim.run(1_000);
            down += if all_up(&sim) { 0 } else { 1_000 };
            let told = |name: &String| sim.workers.get(name).map_or(0, |x| x.last_start_ms);
            let late = mute.iter().map(told).max().unwrap_or(0);
            assert!(
                late <= from + 13_500,
                "seed {seed}: one is told to start something at {late}"
            );
        }
        worst = worst.max(down);
        sim.heal_all();
        sim.run(15_000);
        sim.run_until(60_000, "done", |sim| {
            (0..60).all(|j| is_over(sim, &format!("j-9{j}")))
        });
        assert!(all_up(&sim));
        sim.check_records();
    }
    eprintln!("services were short of a task for {worst} ms at most");
    assert!(worst <= 8_000, "{worst} ms");
}

/// A whole part of the fleet, or all of it, reaches nobody for longer than a lease: what is provisioned meanwhile
/// stays within what the lost work needs, and all is served after.
#[test]
fn lost_heartbeats_of_a_fleet_lead_to_bounded_provisioning() {
    for (seed, share) in (0..6_u64).flat_map(|seed| [(seed, 2), (seed, 1)]) {
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
        let before = sim.cloud.provisioned;
        for (i, worker) in sim.workers.values_mut().enumerate() {
            worker.outbound_lost = i % share == 0;
        }
        sim.run(45_000);
        // 40 tasks of two processors, on machines of four or eight.
        let rented = sim.cloud.provisioned - before;
        assert!(rented <= 40, "seed {seed}, one in {share}: {rented} rented");
        sim.heal_all();
        sim.run_until(120_000, "served", |sim| {
            (0..4).all(|j| is_running(sim, &format!("j-{j}")) && is_over(sim, &format!("j-9{j}")))
        });
        sim.run(20_000);
        sim.check_records();
    }
}

/// Jobs on machines whose reports reach nobody are called off: stops reach these, and their answers show what has
/// ended, so users are told as soon as anywhere.
#[test]
fn cancellations_on_workers_with_lost_heartbeats_are_confirmed_as_fast() {
    let mut waits = Vec::new();
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
            let at = sim.now_ms;
            let r = sim.cancel(j % 3, &format!("j-{j}"));
            let reply = sim.await_answer(r);
            assert!(matches!(reply, UserReply::Cancelled { .. }), "{reply:?}");
            waits.push(sim.now_ms - at);
            sim.run(200);
        }
        sim.heal_all();
        sim.run(20_000);
        sim.check_records();
    }
    assert!(waits.iter().all(|ms| *ms <= 1_500), "{waits:?}");
}
