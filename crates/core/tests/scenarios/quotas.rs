//! Quotas: limits and guaranteed shares of teams.

use crate::common::{is_done, is_over, started_cluster, time_to_confirm_cancel, without_scale_in};
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_simulation::{job, limited_team, use_long_leases, Simulation, StarvationTracker};

#[test]
fn a_team_never_exceeds_its_limit() {
    for seed in 0..8 {
        let mut sim = started_cluster(300 + seed, 3, 6);
        for i in 0..6 {
            let mut spec = job(&format!("j-{i}"), 3);
            spec.team = "blue".into();
            sim.submit(i % 3, spec);
        }
        sim.run_until(90_000, "all done", |sim| {
            (0..6).all(|i| is_done(sim, &format!("j-{i}")))
        });
        sim.run(3_000);
        sim.check_records();
    }
}

/// A team without a guaranteed share fills the fleet. A team within its own share must not wait for that work, must not
/// preempt more of it than needed, and the borrowing team must preempt no one.
#[test]
fn a_team_within_its_guaranteed_share_reclaims_borrowed_capacity() {
    let mut sim = without_scale_in(67, 3, 4);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 40_000;
    sim.settings.policy.teams.get_mut("red").unwrap().cpus = 0;
    for slot in &mut sim.controllers {
        slot.controller.as_mut().unwrap().settings.policy.teams = sim.settings.policy.teams.clone();
    }
    sim.submit(0, job("j-1", 8));
    sim.run_until(8_000, "all machines are full", |sim| {
        sim.running("j-1") == 8
    });
    let mut within_share = job("j-2", 3);
    within_share.team = "blue".into();
    sim.submit(1, within_share);
    sim.run_until(9_000, "runs", |sim| sim.running("j-2") == 3);
    assert_eq!(
        sim.running("j-1"),
        5,
        "no more tasks are preempted than needed"
    );
    sim.submit(2, job("j-3", 2));
    sim.run(6_000);
    assert_eq!(sim.running("j-2"), 3, "a borrowing team preempts no one");
    let mut beyond_share = job("j-4", 2);
    beyond_share.team = "blue".into();
    sim.submit(2, beyond_share);
    sim.run(6_000);
    assert_eq!(sim.running("j-4"), 0, "a job beyond the share waits");
    sim.run_until(200_000, "all done", |sim| {
        (1..5).all(|i| is_done(sim, &format!("j-{i}")))
    });
    sim.check_records();
}

/// Under overload a team's urgent jobs use another team's guaranteed share, and that team submits a job that is not
/// urgent. The capacity preempted for it must go to it; if urgent tasks retake the capacity, they are preempted again
/// and again.
#[test]
fn tasks_preempted_for_a_guaranteed_share_do_not_retake_the_capacity() {
    for seed in 0..6_u64 {
        let mut sim = Simulation::new(3_900 + seed, 3, 4);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 120_000);
        let urgent = |id: &str, tasks| JobSpec {
            priority: JobPriority::High,
            ..job(id, tasks)
        };
        // 16 CPUs, of which eight are guaranteed to each team.
        sim.submit(0, urgent("j-1", 12));
        sim.submit(1, urgent("j-2", 12));
        sim.run_until(20_000, "the fleet is full", |sim| {
            sim.running("j-1") + sim.running("j-2") == 8
        });
        let starts_before = sim.metrics.starts;
        sim.submit(2, limited_team(job("j-3", 3)));
        sim.run_until(15_000, "the job within the share runs", |sim| {
            sim.running("j-3") == 3
        });
        sim.run(30_000);
        assert_eq!(
            sim.running("j-3"),
            3,
            "the job within the share is not preempted"
        );
        let stops = sim.metrics.stops.get("preempted").map_or(0, |s| s.0);
        let starts = sim.metrics.starts - starts_before;
        assert!(
            stops <= 6 && starts <= 9,
            "seed {seed}: {stops} stops, {starts} starts"
        );
        sim.check_records();
    }
}

/// A team is at its limit while its users cancel jobs whose machines stall or lose connections, and controllers crash.
/// The simulation checks the running tasks against the limit at each start. After the faults no job may wait despite
/// capacity for longer than a heartbeat round and a few seconds.
#[test]
fn quota_of_cancelled_jobs_on_stalled_workers_is_released_in_time() {
    for seed in 0..8_u64 {
        let mut sim = Simulation::new(2_200 + seed, 3, 14);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 25_000);
        // The limit of 12 CPUs is six tasks; six jobs ask for three tasks each.
        for j in 0..6 {
            sim.submit(j % 3, limited_team(job(&format!("j-{j}"), 3)));
        }
        sim.run_until(20_000, "at the limit", |sim| {
            (0..6)
                .map(|j| sim.running(&format!("j-{j}")))
                .sum::<usize>()
                == 6
        });
        let busy: Vec<String> = (0..6).map(|j| format!("j-{j}")).collect();
        let busy: Vec<String> = busy.into_iter().filter(|id| sim.running(id) > 0).collect();
        for (i, id) in busy.iter().enumerate() {
            for machine in sim.machines_of(id) {
                match (i as u64 + seed) % 3 {
                    0 => sim.stall(&machine, [4_000, 9_000, 30_000][seed as usize % 3]),
                    1 => sim.workers.get_mut(&machine).unwrap().disconnected = true,
                    _ => sim.workers.get_mut(&machine).unwrap().inbound_lost = true,
                }
            }
            for n in 0..3 {
                sim.cancel(n, id);
            }
            sim.run(150);
        }
        sim.crash(seed as usize % 3, [200, 4_000][seed as usize / 2 % 2]);
        if seed % 4 >= 2 {
            sim.run(400);
            sim.crash((seed as usize + 1) % 3, 300);
        }
        sim.run(5_000);
        for j in 6..9 {
            sim.submit(j % 3, limited_team(job(&format!("j-{j}"), 2)));
        }
        sim.run(8_000);
        sim.heal_all();
        for id in &busy {
            assert!(time_to_confirm_cancel(&mut sim, 1, id).is_some(), "{id}");
        }
        let mut waits = StarvationTracker::default();
        let open = |sim: &Simulation| (0..9).any(|j| !is_over(sim, &format!("j-{j}")));
        let deadline_ms = sim.now_ms + 300_000;
        while open(&sim) && sim.now_ms < deadline_ms {
            sim.run(500);
            waits.observe(&sim);
        }
        assert!(!open(&sim), "seed {seed}: all jobs end");
        let max_ms = sim.settings.heartbeat_due_ms() + 8_000;
        assert!(waits.longest_ms <= max_ms, "seed {seed}: {waits:?}");
        sim.check_records();
    }
}
