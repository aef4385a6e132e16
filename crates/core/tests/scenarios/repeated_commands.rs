//! Direct commands that a worker has executed and answered arrive again, up to minutes later, while their fencing
//! token and incarnation may still match. No copy of a start may begin an attempt once more.

use crate::common::{fixed_fleet, is_running};
use glenmount_core::model::JobSpec;
use glenmount_simulation::{job, Simulation};

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
