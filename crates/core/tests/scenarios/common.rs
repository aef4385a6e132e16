//! Helpers that several scenarios share.

use glenmount_core::configuration::TeamSettings;
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobSpec;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, Simulation};

pub fn started(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.run(4_000);
    sim
}

/// The same, with machines that are never returned for having nothing to do.
pub fn without_scale_in(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.run(5_000);
    sim
}

pub fn is_done(sim: &Simulation, id: &str) -> bool {
    sim.job_phase(id) == Some(JobPhase::Done)
}

/// Long tasks on machines that all report to controller 0.
pub fn led(mut sim: Simulation, tasks: u32) -> Simulation {
    sim.workload.run_ms = 600_000;
    sim.cloud.capacity = 0;
    sim.run(9_000);
    let r = sim.submit(1, job("j-1", tasks));
    sim.await_answer(r);
    sim.run_until(20_000, "runs", |sim| sim.running("j-1") == tasks as usize);
    for worker in sim.workers.values_mut() {
        worker.controller = 0;
    }
    sim.run(3_000);
    sim
}

/// Lets its user ask at a controller until it is told, for as long as users repeat their request.
pub fn cancel_until_confirmed(
    sim: &mut Simulation,
    n: usize,
    id: &str,
    for_ms: u64,
) -> Option<u64> {
    let end = sim.now_ms + for_ms;
    while sim.now_ms < end {
        let r = sim.cancel(n, id);
        if matches!(sim.await_answer(r), UserReply::Cancelled { .. }) {
            return Some(sim.now_ms);
        }
        sim.run(2_000);
    }
    None
}

/// Whether a poll is answered with the job's state, as long as users wait for it.
pub fn is_answered(sim: &mut Simulation, n: usize, id: &str) -> bool {
    let r = sim.status(n, id);
    sim.run(2_000);
    matches!(sim.answers.get(&r), Some(UserReply::Status { .. }))
}

pub fn is_running(sim: &Simulation, id: &str) -> bool {
    sim.running(id) == sim.job_specs[id].tasks as usize
}

pub fn is_over(sim: &Simulation, id: &str) -> bool {
    matches!(
        sim.job_phase(id),
        Some(JobPhase::Done | JobPhase::Cancelled)
    )
}

pub fn is_cancel_confirmed(sim: &mut Simulation, id: &str) -> bool {
    let from = sim.now_ms;
    let mut n = 0;
    while sim.now_ms < from + 60_000 {
        let controllers = sim.controllers.len();
        let r = sim.cancel(n % controllers, id);
        sim.run(2_500);
        if matches!(sim.answers.get(&r), Some(UserReply::Cancelled { .. })) {
            return true;
        }
        n += 1;
    }
    false
}

/// The value below which so many in a hundred lie.
pub fn percentile(values: &mut [u64], share: usize) -> u64 {
    assert!(!values.is_empty());
    values.sort_unstable();
    values[(values.len() * share / 100).min(values.len() - 1)]
}

/// Asks until it is told, as users do; milliseconds it took, if it was within a minute.
pub fn time_to_confirm_cancel(sim: &mut Simulation, n: usize, id: &str) -> Option<u64> {
    let from = sim.now_ms;
    while sim.now_ms < from + 60_000 {
        let controllers = sim.controllers.len();
        let r = sim.cancel(n % controllers, id);
        let sent = sim.now_ms;
        while !sim.answers.contains_key(&r) && sim.now_ms < sent + 5_000 {
            sim.run(5);
        }
        match sim.answers.get(&r) {
            Some(UserReply::Cancelled { .. }) => return Some(sim.now_ms - from),
            Some(UserReply::RetryAfter { after_s }) => sim.run(u64::from(*after_s) * 1_000),
            _ => sim.run(1_000),
        }
    }
    None
}

pub fn has_phase(sim: &Simulation, id: &str, phase: JobPhase) -> bool {
    sim.job_phase(id) == Some(phase)
}

pub fn fixed_fleet(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
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

pub fn is_accepted(sim: &mut Simulation, n: usize, spec: JobSpec) -> bool {
    let r = sim.submit(n, spec);
    matches!(sim.await_answer(r), UserReply::Accepted { .. })
}
