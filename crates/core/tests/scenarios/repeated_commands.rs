//! Direct commands that a worker has executed and answered arrive again, up to minutes later, while their fencing
//! token and incarnation may still match. No copy of a start may begin an attempt once more.

use crate::common::{fixed_fleet, is_cancel_confirmed, is_done, is_running};
use glenmount_core::model::{JobSpec, TaskPhase};
use glenmount_core::state::Key;
use glenmount_simulation::{job, limited_team, service, Simulation};

/// Time between two deliveries of all copies, which is less than any step of an attempt takes.
const COPY_INTERVAL_MS: u64 = 50;
/// Time after the end of an attempt in which copies still arrive.
const LONG_AFTER_MS: u64 = 40_000;

/// A started simulation whose fleet neither grows nor shrinks, and whose network keeps copies of direct commands.
fn fleet_with_copies(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = fixed_fleet(seed, controllers, machines);
    sim.network.keeps_commands = true;
    sim
}

/// Runs the simulation, with copies of all executed direct commands arriving again and again.
fn run_with_copies(sim: &mut Simulation, duration_ms: u64) {
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        sim.repeat_commands();
        sim.run(COPY_INTERVAL_MS);
    }
}

/// Runs the simulation with copies until a condition holds, and for a long time after.
fn run_with_copies_until(
    sim: &mut Simulation,
    description: &str,
    condition: impl Fn(&Simulation) -> bool,
) {
    let end_ms = sim.now_ms + 120_000;
    while !condition(sim) {
        assert!(sim.now_ms < end_ms, "timed out: {description}");
        run_with_copies(sim, COPY_INTERVAL_MS);
    }
    run_with_copies(sim, LONG_AFTER_MS);
}

/// Submits a job and waits until all its tasks run.
fn run_job(sim: &mut Simulation, spec: JobSpec) -> String {
    let id = spec.id.clone();
    let request = sim.submit(0, spec);
    sim.await_answer(request);
    sim.run_until(30_000, "runs", |sim| is_running(sim, &id));
    id
}

#[test]
fn a_copy_of_a_start_does_not_run_a_completed_task_again() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(300 + seed, 3, 3);
        sim.submit(0, job("j-1", 5));
        run_with_copies_until(&mut sim, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
    }
}

/// A machine that is about to be reclaimed gives its tasks up, which then run on another one.
#[test]
fn a_copy_of_a_start_does_not_run_a_moved_task_on_two_machines() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(320 + seed, 3, 2);
        sim.workload.run_ms = 60_000;
        let mut spec = job("j-1", 1);
        (spec.checkpoint_interval_s, spec.checkpoint_duration_s) = (1.0, 0.1);
        let id = run_job(&mut sim, spec);
        let first = sim.machine_of(&id).expect("a machine with the task");
        let worker = sim.workers.get_mut(&first).expect("the worker");
        worker.termination_notice_s = Some(300.0);
        run_with_copies_until(&mut sim, "moved", |sim| {
            sim.machine_of(&id)
                .is_some_and(|machine| machine != first && is_running(sim, &id))
        });
        sim.check_records();
    }
}

/// Urgent work takes a machine of two, so that a task of the batch waits and later runs on the other one.
#[test]
fn a_copy_of_a_start_does_not_run_a_preempted_task_again() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(340 + seed, 3, 2);
        sim.workload.run_ms = 12_000;
        let id = run_job(&mut sim, job("j-1", 4));
        let request = sim.submit(1, service("j-2", 2));
        sim.await_answer(request);
        run_with_copies_until(&mut sim, "preempted", |sim| is_running(sim, "j-2"));
        run_with_copies_until(&mut sim, "done", |sim| is_done(sim, &id));
        sim.check_records();
    }
}

#[test]
fn a_copy_of_a_start_does_not_run_a_cancelled_task_again() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(360 + seed, 3, 3);
        let id = run_job(&mut sim, service("j-1", 4));
        assert!(is_cancel_confirmed(&mut sim, &id));
        run_with_copies(&mut sim, LONG_AFTER_MS + 40_000);
        assert_eq!(sim.running(&id), 0);
        sim.check_records();
    }
}

#[test]
fn a_copy_of_a_start_does_not_run_a_failed_attempt_again_beside_its_successor() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(380 + seed, 2, 1);
        let failing = sim.workers.keys().next().expect("a machine").clone();
        sim.workers
            .get_mut(&failing)
            .expect("its worker")
            .fails_tasks = true;
        sim.submit(0, job("j-1", 2));
        run_with_copies(&mut sim, 8_000);
        sim.workers
            .get_mut(&failing)
            .expect("its worker")
            .fails_tasks = false;
        run_with_copies_until(&mut sim, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
    }
}

/// A replica of a service, an array in one zone and an array over both zones end and begin again by turns.
#[test]
fn copies_of_starts_harm_no_kind_of_job() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(400 + seed, 3, 6);
        sim.workload.run_ms = 2_500;
        let mut in_one_zone = job("j-2", 3);
        in_one_zone.zone_affinity = true;
        let mut spread = job("j-3", 4);
        spread.topology_spread = true;
        for (controller, spec) in [service("j-1", 2), in_one_zone, spread]
            .into_iter()
            .enumerate()
        {
            sim.submit(controller, spec);
        }
        run_with_copies_until(&mut sim, "done", |sim| {
            is_done(sim, "j-2") && is_done(sim, "j-3") && is_running(sim, "j-1")
        });
        let machine = sim.machine_of("j-1").expect("a machine with a replica");
        sim.restart_machine(&machine, 300);
        run_with_copies_until(&mut sim, "runs again", |sim| is_running(sim, "j-1"));
        sim.check_records();
    }
}

/// The copies arrive at one moment only: before the end of the attempt, before the commit of its result, before the
/// worker forgets it, or long after.
#[test]
fn a_copy_of_a_start_is_harmless_at_every_stage_of_its_attempt() {
    let exited = |sim: &Simulation| {
        let mut tasks = sim
            .workers
            .values()
            .flat_map(|worker| worker.tasks.values());
        tasks.any(|task| matches!(task.phase, TaskPhase::Exited(_)))
    };
    let forgotten = |sim: &Simulation| sim.workers.values().all(|worker| worker.tasks.is_empty());
    for seed in 0..4 {
        for stage in 0..4 {
            let mut sim = fleet_with_copies(420 + seed, 3, 1);
            let id = run_job(&mut sim, job("j-1", 1));
            match stage {
                0 => {}
                1 => sim.run_until(30_000, "exited", exited),
                2 => sim.run_until(30_000, "recorded", |sim| is_done(sim, &id)),
                _ => {
                    sim.run_until(30_000, "forgotten", forgotten);
                    sim.run(100_000);
                }
            }
            assert!(sim.repeat_commands() > 0);
            sim.run(LONG_AFTER_MS);
            assert!(is_done(&sim, &id), "stage {stage}");
            sim.check_records();
        }
    }
}

/// One command starts several tasks, of which some still run when the copy arrives.
#[test]
fn a_copy_with_several_starts_begins_none_that_has_ended() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(440 + seed, 2, 1);
        sim.workload.run_ms = 60_000;
        sim.workload.job_run_ms.insert("j-2".into(), 1_500);
        let mut small = [job("j-1", 2), job("j-2", 2)];
        for spec in &mut small {
            (spec.resources.cpus, spec.resources.ram) = (500, 500);
        }
        for spec in small {
            sim.submit(0, spec);
        }
        sim.run_until(30_000, "done", |sim| is_done(sim, "j-2"));
        run_with_copies(&mut sim, LONG_AFTER_MS);
        assert_eq!(sim.running("j-1"), 2);
        run_with_copies_until(&mut sim, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
    }
}

#[test]
fn copies_of_starts_use_no_quota_that_is_not_on_record() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(460 + seed, 3, 6);
        sim.workload.run_ms = 2_000;
        for i in 0..4 {
            sim.submit(i % 3, limited_team(job(&format!("j-{i}"), 6)));
        }
        run_with_copies_until(&mut sim, "done", |sim| {
            (0..4).all(|i| is_done(sim, &format!("j-{i}")))
        });
        sim.check_records();
    }
}

/// All controllers end and are back within half a second; none of them remembers which starts it sent.
#[test]
fn a_controller_that_has_just_started_lets_no_copy_run() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(480 + seed, 3, 4);
        sim.workload.run_ms = 2_000;
        for round in 0..8 {
            let request = sim.submit(round % 3, job(&format!("j-{round}"), 4));
            sim.await_answer(request);
            run_with_copies(&mut sim, 1_000 + 150 * round as u64);
            for controller in 0..3 {
                sim.crash(controller, 100 + 130 * controller as u64);
            }
            run_with_copies(&mut sim, 1_500);
        }
        run_with_copies_until(&mut sim, "done", |sim| {
            (0..8).all(|round| is_done(sim, &format!("j-{round}")))
        });
        sim.check_records();
    }
}

/// A controller loses the state service and its peers, not its workers, while their tasks end.
#[test]
fn a_controller_that_was_cut_off_lets_no_copy_run() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(500 + seed, 3, 4);
        sim.workload.run_ms = 3_000;
        for round in 0..4 {
            let request = sim.submit(0, job(&format!("j-{round}"), 6));
            sim.await_answer(request);
            run_with_copies(&mut sim, 1_500);
            let slot = &mut sim.controllers[round % 3];
            (slot.cut_from_state, slot.cut_from_peers) = (true, true);
            run_with_copies(&mut sim, 6_000);
            sim.heal_all();
            run_with_copies(&mut sim, 2_000);
        }
        run_with_copies_until(&mut sim, "done", |sim| {
            (0..4).all(|round| is_done(sim, &format!("j-{round}")))
        });
        sim.check_records();
    }
}

/// The record of a machine is removed although its worker is still up.
#[test]
fn a_copy_of_a_start_does_not_run_on_a_machine_without_a_record() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(520 + seed, 3, 2);
        let id = run_job(&mut sim, job("j-1", 4));
        let machine = sim.machine_of(&id).expect("a machine with a task");
        sim.run_until(30_000, "done", |sim| is_done(sim, &id));
        sim.run(10_000);
        sim.remove_record(Key::Machine(machine));
        run_with_copies(&mut sim, LONG_AFTER_MS);
        sim.submit(0, job("j-2", 2));
        run_with_copies_until(&mut sim, "done", |sim| is_done(sim, "j-2"));
        sim.check_records();
    }
}

/// The previous version tells workers to forget attempts under the token of their starts.
fn use_previous_forgets(sim: &mut Simulation, controller: usize) {
    sim.settings.checks.fenced_forget = false;
    sim.crash(controller, 100);
    sim.run(1_000);
    sim.settings.checks.fenced_forget = true;
}

/// Beside a controller of the previous version work goes on as ever, and no lease ends. Once all controllers have the
/// new version and a task has run on each machine, no copy of any command begins an attempt again.
#[test]
fn a_fleet_of_two_versions_works_and_refuses_copies_after_the_upgrade() {
    for seed in 0..4 {
        let mut sim = fleet_with_copies(540 + seed, 3, 4);
        sim.workload.run_ms = 1_500;
        use_previous_forgets(&mut sim, seed as usize % 3);
        use_previous_forgets(&mut sim, (seed as usize + 1) % 3);
        for i in 0..30 {
            sim.submit(i % 3, job(&format!("j-1{i}"), 4));
            sim.run(1_000);
        }
        sim.run_until(30_000, "done", |sim| {
            (0..30).all(|i| is_done(sim, &format!("j-1{i}")))
        });
        assert_eq!(sim.metrics.killed_by_lease, 0, "seed {seed}");
        for controller in 0..3 {
            sim.crash(controller, 100);
            sim.run(2_000);
        }
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-2{i}"), 8));
            sim.run(2_000);
        }
        sim.run_until(60_000, "done", |sim| {
            (0..6).all(|i| is_done(sim, &format!("j-2{i}")))
        });
        sim.run(20_000);
        run_with_copies(&mut sim, LONG_AFTER_MS);
        sim.check_records();
    }
}

/// Commands take up to 1.5 s, so that some starts meet a worker that was told to forget others under a raised token.
/// Such a task begins with the reply to a later heartbeat.
#[test]
fn a_start_that_meets_a_raised_token_waits_for_two_heartbeats_at_most() {
    let mut refused = 0;
    for seed in 0..6 {
        let mut sim = fixed_fleet(560 + seed, 3, 8);
        sim.workload.run_ms = 700;
        sim.network.max_extra_latency_ms = 1_500;
        let interval_ms = sim.settings.heartbeat_interval_ms;
        for i in 0..120 {
            let id = format!("j-{i}");
            let submitted_ms = sim.now_ms;
            sim.submit(i % 3, job(&id, 1));
            let running = |sim: &Simulation| sim.metrics.first_run_ms.contains_key(&id);
            sim.run_until(30_000, "runs", running);
            let waited_ms = sim.metrics.first_run_ms[&id] - submitted_ms;
            let limit_ms = 2 * (interval_ms * 5 / 4) + 4 * sim.network.max_extra_latency_ms;
            assert!(
                waited_ms < limit_ms,
                "seed {seed}: {id} waited {waited_ms} ms"
            );
        }
        refused += sim.metrics.refused_starts;
    }
    assert!(refused > 0, "no start met a raised token");
}

/// Each transaction that the state service has carried out arrives again, up to minutes later.
#[test]
fn a_copy_of_a_transaction_changes_nothing() {
    for seed in 0..6 {
        let mut sim = fixed_fleet(580 + seed, 3, 4);
        sim.cloud.capacity = 4;
        sim.network.faults.transaction_repeated = 0.5;
        for i in 0..12 {
            let spec = match i % 3 {
                0 => service(&format!("j-{i}"), 1),
                _ => limited_team(job(&format!("j-{i}"), 3)),
            };
            sim.submit(i % 3, spec);
            sim.run(1_000);
        }
        assert!(is_cancel_confirmed(&mut sim, "j-0"));
        sim.run_until(120_000, "done", |sim| {
            (0..12).all(|i| i % 3 == 0 || is_done(sim, &format!("j-{i}")))
        });
        sim.run(200_000);
        assert!(sim.metrics.repeated_transactions > 20, "seed {seed}");
        assert_eq!(sim.metrics.repeated_commits, 0, "seed {seed}");
        sim.check_records();
    }
}
