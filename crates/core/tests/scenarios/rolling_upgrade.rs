//! Rolling upgrades: controllers of the previous version beside new ones, on the same records, and limits of the
//! state service that are lowered afterwards. The simulation lets the previous version read and write only the
//! forms that it knows, and checks that nothing else is written until all controllers are new.

use crate::common::has_phase;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_core::state::formats::{self};
use glenmount_core::state::{JobPhase, Key};
use glenmount_simulation::{
    dependent_job, job, service, FaultRates, Simulation, TransactionLimits,
};
use rand::Rng;

fn upgraded(sim: &Simulation) -> bool {
    let formats = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::Format(_)));
    formats.count() == sim.controllers.len()
}

/// Upgrades one controller after another, `gap` milliseconds apart.
fn upgrade_all(sim: &mut Simulation, gap: u64) {
    for n in 0..sim.controllers.len() {
        sim.upgrade(n, 2_000);
        sim.run(gap);
    }
    sim.run_until(10_000, "upgraded", upgraded);
}

/// A simulation in which old controllers have stored a chunk of 100 tasks with 80 assignments: twice the size
/// that a value may have later.
fn with_a_large_chunk(seed: u64) -> Simulation {
    let mut sim = Simulation::previous_version(seed, 3, 40);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.workload.run_ms = 25_000;
    sim.submit(0, job("j-1", 100));
    sim.run_until(10_000, "80 run", |sim| sim.running("j-1") == 80);
    let (chunk, _) = &sim.state.records[&Key::Chunk("j-1".into(), 0)];
    let bytes = formats::stored_bytes(chunk, formats::OLDEST) as u64;
    assert!(bytes > 3 * 1024, "{bytes} bytes");
    sim
}

#[test]
fn work_continues_through_an_upgrade_with_crashes_to_the_previous_version() {
    for seed in 0..6 {
        let mut sim = Simulation::previous_version(seed, 3, 6);
        sim.run(4_000);
        let r = sim.submit(0, service("j-1", 3));
        sim.await_answer(r);
        for i in 2..8 {
            let r = sim.submit(i % 3, job(&format!("j-{i}"), 4));
            sim.await_answer(r);
        }
        sim.upgrade(0, 2_000);
        sim.run(9_000);
        // Not its turn yet: it comes back old.
        sim.crash(2, 2_000);
        sim.run(9_000);
        let r = sim.submit(0, dependent_job("j-8", 1, &["j-2"]));
        assert!(
            matches!(sim.await_answer(r), UserReply::RetryAfter { after_s } if after_s > 1),
            "an old node would start it at once"
        );
        sim.upgrade(1, 2_000);
        sim.run(1_000);
        sim.crash(1, 2_000);
        sim.run(9_000);
        assert!(!upgraded(&sim));
        sim.upgrade(2, 2_000);
        sim.run_until(15_000, "upgraded", upgraded);
        sim.run(500);
        assert_eq!(sim.running("j-1"), 3, "services stay up");
        let r = sim.submit(1, dependent_job("j-8", 1, &["j-2"]));
        assert!(matches!(sim.await_answer(r), UserReply::Accepted { .. }));
        sim.lower_limits();
        sim.run_until(60_000, "done", |sim| {
            (2..9).all(|i| has_phase(sim, &format!("j-{i}"), JobPhase::Done))
        });
        assert_eq!(
            (sim.metrics.starts, sim.state.too_large),
            (3 + 24 + 1, 0),
            "seed {seed}"
        );
        sim.check_records();
    }
}

#[test]
fn a_large_chunk_of_the_previous_version_completes_under_lowered_limits() {
    for seed in 0..4 {
        let mut sim = with_a_large_chunk(seed);
        upgrade_all(&mut sim, 9_000);
        sim.lower_limits();
        sim.run_until(90_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
        assert_eq!((sim.metrics.starts, sim.state.too_large), (100, 0));
        sim.check_records();
    }
}

#[test]
fn results_of_a_large_chunk_are_recorded_while_both_versions_run() {
    let mut sim = with_a_large_chunk(9);
    sim.upgrade(0, 2_000);
    sim.run(9_000);
    sim.upgrade(1, 2_000);
    sim.run(9_000);
    // The last old controller stays away: its peers record what ends meanwhile.
    sim.crash(2, 60_000);
    sim.run_until(40_000, "all have started", |sim| sim.metrics.starts == 100);
    sim.run_until(45_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
    assert!(!upgraded(&sim));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_large_chunk_is_cancelled_under_lowered_limits() {
    let mut sim = with_a_large_chunk(5);
    sim.workload.run_ms = 3_600_000;
    upgrade_all(&mut sim, 9_000);
    sim.lower_limits();
    // First some are stopped for work of higher rank, each with a reason on record.
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..job("j-2", 10)
    };
    sim.submit(1, urgent);
    sim.run_until(15_000, "room is made", |sim| sim.running("j-2") == 10);
    let r = sim.cancel(2, "j-1");
    sim.await_answer(r);
    sim.run_until(30_000, "gone", |sim| {
        sim.running("j-1") == 0 && !sim.state.records.contains_key(&Key::Chunk("j-1".into(), 0))
    });
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn the_last_controller_of_the_previous_version_stores_a_large_chunk_before_it_ends() {
    let mut sim = Simulation::previous_version(3, 3, 40);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.workload.run_ms = 25_000;
    for n in [0, 1] {
        sim.upgrade(n, 2_000);
        sim.run(9_000);
    }
    sim.submit(2, job("j-1", 100));
    sim.run_until(15_000, "most run", |sim| sim.running("j-1") > 60);
    sim.upgrade(2, 2_000);
    sim.run_until(10_000, "upgraded", upgraded);
    sim.lower_limits();
    sim.run_until(120_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_record_rejected_by_the_state_service_blocks_no_other() {
    // Its limits are smaller than announced: so many assignments at once don't fit.
    let mut sim = Simulation::new(7, 2, 82);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.max_value_bytes = 2 * 1024;
    sim.cloud.capacity = 0;
    sim.run(4_000);
    sim.state.limits = Some(TransactionLimits {
        max_value_bytes: 420,
        changes: 16,
    });
    let mut spec = job("j-1", 80);
    spec.resources.cpus = 4_000;
    let r = sim.submit(0, spec);
    sim.await_answer(r);
    sim.run(1_000);
    let r = sim.submit(1, job("j-2", 1));
    sim.await_answer(r);
    sim.run_until(20_000, "the other is done", |sim| {
        has_phase(sim, "j-2", JobPhase::Done)
    });
    sim.run(60_000);
    assert!(
        (1..20).contains(&sim.state.too_large),
        "{} tries",
        sim.state.too_large
    );
    sim.state.limits = None;
    sim.run_until(90_000, "done after all", |sim| {
        has_phase(sim, "j-1", JobPhase::Done)
    });
}

#[test]
fn an_upgrade_under_random_faults_breaks_no_invariant() {
    let mut starts = 0;
    for seed in 0..10 {
        let mut sim = Simulation::previous_version(3_000 + seed, 3, 6);
        sim.cloud.capacity = 4;
        sim.run(4_000);
        sim.network.faults = FaultRates {
            transaction_answer_lost: 0.03,
            transaction_late: 0.03,
            answer_slow: 0.05,
            heartbeat_lost: 0.03,
            reply_lost: 0.03,
            cloud_answer_lost: 0.1,
            command_lost: 0.05,
            command_late: 0.05,
            ..FaultRates::default()
        };
        let mut jobs: Vec<String> = Vec::new();
        let mut turn = 0;
        for step in 0..120 {
            let n = sim.rng.gen_range(0..3);
            match sim.rng.gen_range(0..12) {
                0..=3 => {
                    let mut spec = job(&format!("j-{step}"), sim.rng.gen_range(1..6));
                    for _ in 0..sim.rng.gen_range(0..3) {
                        if !jobs.is_empty() && upgraded(&sim) {
                            spec.dependencies
                                .push(jobs[sim.rng.gen_range(0..jobs.len())].clone());
                        }
                    }
                    spec.dependencies.sort();
                    spec.dependencies.dedup();
                    spec.spot = sim.rng.gen_bool(0.5);
                    spec.topology_spread = sim.rng.gen_bool(0.2);
                    if sim.rng.gen_bool(0.4) {
                        spec.team = "blue".into();
                    }
                    let r = sim.submit(n, spec.clone());
                    sim.run(400);
                    // Only accepted jobs are named.
                    let accepted = |sim: &Simulation| {
                        sim.state.records.contains_key(&Key::Job(spec.id.clone()))
                    };
                    if sim.answers.contains_key(&r) && accepted(&sim) {
                        jobs.push(spec.id);
                    }
                }
                4 if !jobs.is_empty() => {
                    let id = jobs[sim.rng.gen_range(0..jobs.len())].clone();
                    sim.cancel(n, &id);
                }
                5 => sim.crash(n, 4_000),
                6 => sim.controllers[n].cut_from_state = !sim.controllers[n].cut_from_state,
                7 => sim.state.is_down = !sim.state.is_down,
                8 => sim.pause(n, 5_000),
                9 if turn < 3 && step > 20 => {
                    sim.upgrade(turn, 4_000);
                    turn += 1;
                }
                _ => {
                    for id in jobs.clone() {
                        let n = sim.rng.gen_range(0..3);
                        sim.status(n, &id);
                    }
                }
            }
            if upgraded(&sim) && sim.rng.gen_bool(0.1) {
                sim.lower_limits();
            }
            let pause = sim.rng.gen_range(100..2_000);
            sim.run(pause);
            if sim.rng.gen_bool(0.3) {
                sim.heal_all();
            }
        }
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.cloud.capacity += 6;
        for n in turn..3 {
            sim.upgrade(n, 1_000);
        }
        sim.run_until(30_000, "upgraded", upgraded);
        sim.lower_limits();
        let over = |sim: &Simulation| jobs.iter().all(|id| !has_phase(sim, id, JobPhase::Open));
        sim.run_until(400_000, "all end", over);
        sim.run(3_000);
        sim.check_records();
        // A seed may draw few jobs; none draws hardly any, and together they start many.
        let tasks: u32 = jobs.iter().map(|id| sim.job_specs[id].tasks).sum();
        let drawn = format!("seed {seed}: {} starts, {tasks} tasks", sim.metrics.starts);
        assert!(
            sim.metrics.starts > 10 && sim.metrics.starts * 2 >= tasks,
            "{drawn}"
        );
        starts += sim.metrics.starts;
    }
    assert!(starts > 400, "{starts} starts");
}
