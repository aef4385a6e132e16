//! Work that goes on through repeated or simultaneous failures of controllers.

use crate::common::{is_answered, is_cancel_confirmed, is_over, is_running};
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobSpec;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, limited_team, service, use_long_leases, Simulation};

/// Jobs of two or three tasks that end far apart, while controllers hand over and back, all end, and one of
/// them is back within a second.
#[test]
fn results_survive_controller_changes_between_tasks_of_a_job() {
    for seed in 0..4 {
        let mut sim = Simulation::new(120 + seed, 3, 6);
        sim.run(9_000);
        sim.workload.class_run_ms.insert("long".into(), 40_000);
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-{i}"), 2 + i as u32 % 2));
        }
        // One task of each goes to a machine that takes three times as long.
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

/// Jobs bound to one zone, arrays too, lose machines there, with and without room left in the zone, and with
/// new machines to be had there only.
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
        let east = |spec: JobSpec| JobSpec {
            zone: Some("east".into()),
            ..spec
        };
        let tasks = if seed % 3 == 2 { 12 } else { 8 };
        sim.submit(0, east(job("j-a", tasks)));
        sim.submit(1, east(service("j-s", 3)));
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
        let there: Vec<String> = sim
            .machines_of("j-s")
            .into_iter()
            .chain(sim.machines_of("j-a"))
            .collect();
        for (i, name) in there.iter().enumerate().take(4) {
            match (i + seed as usize) % 3 {
                0 => sim.kill_machine(name),
                1 => sim.stall(name, 40_000),
                _ => sim.restart_machine(name, 300),
            }
        }
        if seed % 3 == 1 {
            sim.crash(seed as usize % 3, 400);
        }
        sim.run_until(200_000, "served", |sim| {
            is_running(sim, "j-s")
                && is_running(sim, "j-t")
                && is_over(sim, "j-a")
                && is_over(sim, "j-b")
        });
        sim.run(20_000);
        sim.check_records();
    }
}

/// All controllers are away for longer than a lease: what ran has ended, and is run once more; nothing that was
/// accepted is forgotten, nothing that was cancelled runs.
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
        let away = sim.settings.lease_ms + 4_000 + 1_000 * seed;
        for n in 0..3 {
            sim.crash(n, away + 300 * n as u64);
        }
        let holders = sim.machines_of("j-s");
        sim.stall(&holders[0], away - 2_000);
        sim.kill_machine(&holders[1]);
        sim.run(away + 2_000);
        sim.run_until(40_000, "up again", |sim| is_running(sim, "j-s"));
        let over = |sim: &Simulation| (0..5).all(|j| is_over(sim, &format!("j-{j}")));
        sim.run_until(400_000, "over", over);
        for j in 0..5 {
            let r = sim.status(j % 3, &format!("j-{j}"));
            assert!(matches!(sim.await_answer(r), UserReply::Status { .. }));
        }
        sim.check_records();
    }
}

/// Controllers end ten times in two minutes, one after another, also inside an outage, while jobs of two or three
/// tasks end far apart and some are called off.
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
        for end in 0..10_u64 {
            sim.state.is_down = (4..6).contains(&end);
            let back = [300, 900, 4_000, 9_000][(end + seed) as usize % 4];
            sim.crash((end + seed) as usize % 3, back);
            sim.run(3_000);
            sim.cancel(end as usize % 3, &format!("j-{end}"));
            sim.run(9_000);
        }
        sim.heal_all();
        for end in 0..10 {
            let id = format!("j-{end}");
            assert!(
                is_over(&sim, &id) || is_cancel_confirmed(&mut sim, &id),
                "{id}"
            );
        }
        sim.run_until(150_000, "over", |sim| {
            (0..12).all(|j| is_over(sim, &format!("j-{j}")))
        });
        sim.run_until(60_000, "up", |sim| {
            is_running(sim, "j-s") || sim.user_views["j-s"].cancel_requested
        });
        sim.run(10_000);
        sim.check_records();
    }
}
