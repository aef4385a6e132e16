//! Work that continues through repeated or simultaneous failures of controllers.

use crate::common::{is_answered, is_cancel_confirmed, is_over, is_running};
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobSpec;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, limited_team, service, use_long_leases, Simulation};

/// The tasks of a job end far apart, while controllers shut down, all crash, and one of them is back within a second.
/// No result may be lost between them.
#[test]
fn results_survive_controller_changes_between_tasks_of_a_job() {
    for seed in 0..4 {
        let mut sim = Simulation::new(120 + seed, 3, 6);
        sim.run(9_000);
        sim.workload.class_run_ms.insert("long".into(), 40_000);
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-{i}"), 2 + i as u32 % 2));
        }
        // Tasks on three of the machines take three times as long, so the tasks of a job end far apart.
        sim.workload.slow_machines = sim.workers.keys().take(3).cloned().collect();
        sim.workload.run_ms = 12_000;
        sim.run(4_000);
        sim.shut_down(0, 700);
        sim.run(6_000);
        sim.shut_down(1, 700);
        sim.run(3_000);
        sim.crash(0, 500);
        sim.run(400);
        for n in 0..3 {
            sim.crash(n, [200, 4_000, 9_000][(n + seed as usize) % 3]);
        }
        sim.run(1_500);
        sim.crash(seed as usize % 3, 600);
        let done = |sim: &Simulation| {
            (0..6).all(|i| sim.job_phase(&format!("j-{i}")) == Some(JobPhase::Done))
        };
        sim.run_until(120_000, "done", done);
        sim.run(10_000);
        assert!((0..6).all(|i| is_answered(&mut sim, i % 3, &format!("j-{i}"))));
        sim.check_records();
    }
}

/// Services and arrays bound to one zone lose machines there, with and without remaining capacity in the zone, and with
/// new machines available.
#[test]
fn jobs_bound_to_a_zone_survive_the_loss_of_machines() {
    for seed in 0..9_u64 {
        let mut sim = Simulation::new(3_300 + seed, 3, 16);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = ([0, 6, 6][seed as usize % 3], 15_000);
        let in_east = |spec: JobSpec| JobSpec {
            zone: Some("east".into()),
            ..spec
        };
        let tasks = if seed % 3 == 2 { 12 } else { 8 };
        sim.submit(0, in_east(job("j-a", tasks)));
        sim.submit(1, in_east(service("j-s", 3)));
        sim.submit(
            2,
            JobSpec {
                zone_affinity: true,
                ..service("j-t", 2)
            },
        );
        sim.submit(2, job("j-b", 6));
        sim.run_until(30_000, "up", |sim| {
            is_running(sim, "j-s") && is_running(sim, "j-t")
        });
        let machines: Vec<String> = sim
            .machines_of("j-s")
            .into_iter()
            .chain(sim.machines_of("j-a"))
            .collect();
        for (i, name) in machines.iter().enumerate().take(4) {
            match (i + seed as usize) % 3 {
                0 => sim.kill_machine(name),
                1 => sim.stall(name, 40_000),
                _ => sim.restart_machine(name, 300),
            }
        }
        if seed % 3 == 1 {
            sim.crash(seed as usize % 3, 400);
        }
        sim.run_until(200_000, "services run and arrays are over", |sim| {
            is_running(sim, "j-s")
                && is_running(sim, "j-t")
                && is_over(sim, "j-a")
                && is_over(sim, "j-b")
        });
        sim.run(20_000);
        sim.check_records();
    }
}

/// All controllers are down for longer than a lease. Ended tasks must run again, no accepted job may be lost, and no
/// task of a cancelled job may run.
#[test]
fn work_recovers_after_all_controllers_were_down_longer_than_a_lease() {
    for seed in 0..6_u64 {
        let mut sim = Simulation::new(3_400 + seed, 3, 12);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 60_000);
        sim.submit(0, service("j-s", 5));
        for j in 0..5 {
            sim.submit(j % 3, limited_team(job(&format!("j-{j}"), 2)));
        }
        sim.run_until(30_000, "up", |sim| is_running(sim, "j-s"));
        sim.cancel(1, "j-4");
        let downtime_ms = sim.settings.lease_ms + 4_000 + 1_000 * seed;
        for n in 0..3 {
            sim.crash(n, downtime_ms + 300 * n as u64);
        }
        let holders = sim.machines_of("j-s");
        sim.stall(&holders[0], downtime_ms - 2_000);
        sim.kill_machine(&holders[1]);
        sim.run(downtime_ms + 2_000);
        sim.run_until(40_000, "up again", |sim| is_running(sim, "j-s"));
        let all_over = |sim: &Simulation| (0..5).all(|j| is_over(sim, &format!("j-{j}")));
        sim.run_until(400_000, "all jobs are over", all_over);
        for j in 0..5 {
            let request = sim.status(j % 3, &format!("j-{j}"));
            assert!(matches!(
                sim.await_answer(request),
                UserReply::Status { .. }
            ));
        }
        sim.check_records();
    }
}

/// Controllers crash ten times in two minutes, one after another, also during an outage of the state service, while the
/// tasks of jobs end far apart and users cancel some jobs. All work must still complete.
#[test]
fn work_completes_while_controllers_fail_ten_times_in_two_minutes() {
    for seed in 0..5_u64 {
        let mut sim = Simulation::new(3_500 + seed, 3, 12);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        sim.cloud.capacity = 0;
        sim.follow_up_requests = seed % 2 == 1;
        for j in 0..12 {
            let id = format!("j-{j}");
            sim.workload
                .job_run_ms
                .insert(id.clone(), 3_000 + 9_000 * j);
            let spec = job(&id, 1 + j as u32 % 3);
            sim.submit(
                j as usize % 3,
                if j % 2 == 0 { limited_team(spec) } else { spec },
            );
        }
        sim.submit(0, service("j-s", 4));
        sim.run(5_000);
        for crash in 0..10_u64 {
            sim.state.is_down = (4..6).contains(&crash);
            let downtime_ms = [300, 900, 4_000, 9_000][(crash + seed) as usize % 4];
            sim.crash((crash + seed) as usize % 3, downtime_ms);
            sim.run(3_000);
            sim.cancel(crash as usize % 3, &format!("j-{crash}"));
            sim.run(9_000);
        }
        sim.heal_all();
        for j in 0..10 {
            let id = format!("j-{j}");
            assert!(
                is_over(&sim, &id) || is_cancel_confirmed(&mut sim, &id),
                "{id}"
            );
        }
        sim.run_until(150_000, "all jobs are over", |sim| {
            (0..12).all(|j| is_over(sim, &format!("j-{j}")))
        });
        sim.run_until(60_000, "up", |sim| {
            is_running(sim, "j-s") || sim.user_views["j-s"].cancel_requested
        });
        sim.run(10_000);
        sim.check_records();
    }
}
