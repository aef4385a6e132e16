//! Helpers that several scenarios share.

use glenmount_core::configuration::TeamSettings;
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobSpec;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, Simulation};

/// A simulation that has run for 4 s, so that controllers and workers are up.
pub fn started_cluster(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.run(4_000);
    sim
}

/// A started simulation whose idle machines are never deprovisioned during a test.
pub fn without_scale_in(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.run(5_000);
    sim
}

/// Submits a job and asserts that it is accepted.
pub fn submit_accepted(sim: &mut Simulation, controller: usize, spec: JobSpec) {
    let request = sim.submit(controller, spec.clone());
    let reply = sim.await_answer(request);
    assert!(matches!(reply, UserReply::Accepted { .. }), "{reply:?}");
}

pub fn is_done(sim: &Simulation, id: &str) -> bool {
    sim.job_phase(id) == Some(JobPhase::Done)
}

/// Runs job `j-1` with long tasks and lets all workers report to controller 0.
pub fn with_workers_on_controller_0(mut sim: Simulation, tasks: u32) -> Simulation {
    sim.workload.run_ms = 600_000;
    sim.cloud.capacity = 0;
    sim.run(9_000);
    let request = sim.submit(1, job("j-1", tasks));
    sim.await_answer(request);
    sim.run_until(20_000, "runs", |sim| sim.running("j-1") == tasks as usize);
    for worker in sim.workers.values_mut() {
        worker.controller = 0;
    }
    sim.run(3_000);
    sim
}

/// Repeats a cancellation at one controller until it is confirmed or `for_ms` have passed. Returns the time of the
/// confirmation.
pub fn cancel_until_confirmed(
    sim: &mut Simulation,
    controller: usize,
    id: &str,
    for_ms: u64,
) -> Option<u64> {
    let end_ms = sim.now_ms + for_ms;
    while sim.now_ms < end_ms {
        let request = sim.cancel(controller, id);
        if matches!(sim.await_answer(request), UserReply::Cancelled { .. }) {
            return Some(sim.now_ms);
        }
        sim.run(2_000);
    }
    None
}

/// Returns whether a status request is answered with the job's state within 2 s, the time that users wait.
pub fn is_answered(sim: &mut Simulation, controller: usize, id: &str) -> bool {
    let request = sim.status(controller, id);
    sim.run(2_000);
    matches!(sim.answers.get(&request), Some(UserReply::Status { .. }))
}

/// Returns whether all tasks of the job run.
pub fn is_running(sim: &Simulation, id: &str) -> bool {
    sim.running(id) == sim.job_specs[id].tasks as usize
}

/// Returns whether the job is done or cancelled on record.
pub fn is_over(sim: &Simulation, id: &str) -> bool {
    matches!(
        sim.job_phase(id),
        Some(JobPhase::Done | JobPhase::Cancelled)
    )
}

/// Returns whether a cancellation, repeated at one controller after another, is confirmed within a minute.
pub fn is_cancel_confirmed(sim: &mut Simulation, id: &str) -> bool {
    let start_ms = sim.now_ms;
    let mut attempt = 0;
    while sim.now_ms < start_ms + 60_000 {
        let controllers = sim.controllers.len();
        let request = sim.cancel(attempt % controllers, id);
        sim.run(2_500);
        if matches!(sim.answers.get(&request), Some(UserReply::Cancelled { .. })) {
            return true;
        }
        attempt += 1;
    }
    false
}

/// Returns the given percentile of the values.
pub fn percentile(values: &mut [u64], percent: usize) -> u64 {
    assert!(!values.is_empty());
    values.sort_unstable();
    values[(values.len() * percent / 100).min(values.len() - 1)]
}

/// Repeats a cancellation as users do until it is confirmed. Returns the milliseconds that took, or `None` after a
/// minute.
pub fn time_to_confirm_cancel(sim: &mut Simulation, controller: usize, id: &str) -> Option<u64> {
    let start_ms = sim.now_ms;
    while sim.now_ms < start_ms + 60_000 {
        let controllers = sim.controllers.len();
        let request = sim.cancel(controller % controllers, id);
        let sent_ms = sim.now_ms;
        while !sim.answers.contains_key(&request) && sim.now_ms < sent_ms + 5_000 {
            sim.run(5);
        }
        match sim.answers.get(&request) {
            Some(UserReply::Cancelled { .. }) => return Some(sim.now_ms - start_ms),
            Some(UserReply::RetryAfter { after_s }) => sim.run(u64::from(*after_s) * 1_000),
            _ => sim.run(1_000),
        }
    }
    None
}

pub fn has_phase(sim: &Simulation, id: &str, phase: JobPhase) -> bool {
    sim.job_phase(id) == Some(phase)
}

/// A started simulation whose fleet neither grows nor shrinks.
pub fn fixed_fleet(seed: u64, controllers: usize, machines: usize) -> Simulation {
    fixed_fleet_with(seed, controllers, machines, |_| {})
}

/// The same with settings that differ from the usual ones.
pub fn fixed_fleet_with(
    seed: u64,
    controllers: usize,
    machines: usize,
    configure: impl FnOnce(&mut Simulation),
) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    configure(&mut sim);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(6_000);
    sim
}

pub fn team_settings(name: &str, cpus_max: f64) -> TeamSettings {
    TeamSettings {
        name: name.into(),
        cpus: 1.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

/// Submits a job and returns whether the controller accepts it.
pub fn is_accepted(sim: &mut Simulation, controller: usize, spec: JobSpec) -> bool {
    let request = sim.submit(controller, spec);
    matches!(sim.await_answer(request), UserReply::Accepted { .. })
}
