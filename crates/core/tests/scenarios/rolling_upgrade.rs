//! Rolling upgrades: controllers of the previous version and of the new one share the records, and the limits of the
//! state service are lowered afterwards. The simulation lets the previous version read and write only the formats that
//! it knows, and checks that no other format is written until all controllers are upgraded.

use crate::common::has_phase;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_core::state::formats::{self};
use glenmount_core::state::{JobPhase, Key};
use glenmount_simulation::{
    dependent_job, job, service, FaultRates, Simulation, TransactionLimits,
};
use rand::Rng;

/// Returns whether every controller has recorded its format.
fn is_upgraded(sim: &Simulation) -> bool {
    let formats = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::Format(_)));
    formats.count() == sim.controllers.len()
}

/// Upgrades one controller after another, `gap_ms` apart.
fn upgrade_all(sim: &mut Simulation, gap_ms: u64) {
    for n in 0..sim.controllers.len() {
        sim.upgrade(n, 2_000);
        sim.run(gap_ms);
    }
    sim.run_until(10_000, "upgraded", is_upgraded);
}

/// A simulation in which controllers of the previous version have stored a chunk of 100 tasks with 80 assignments,
/// about twice the size that the lowered limit allows for a value.
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
        let request = sim.submit(0, service("j-1", 3));
        sim.await_answer(request);
        for i in 2..8 {
            let request = sim.submit(i % 3, job(&format!("j-{i}"), 4));
            sim.await_answer(request);
        }
        sim.upgrade(0, 2_000);
        sim.run(9_000);
        // Controller 2 restarts with the previous version, since it is not upgraded yet.
        sim.crash(2, 2_000);
        sim.run(9_000);
        let request = sim.submit(0, dependent_job("j-8", 1, &["j-2"]));
        assert!(
            matches!(sim.await_answer(request), UserReply::RetryAfter { after_s } if after_s > 1),
            "a controller of the previous version would start the job at once"
        );
        sim.upgrade(1, 2_000);
        sim.run(1_000);
        sim.crash(1, 2_000);
        sim.run(9_000);
        assert!(!is_upgraded(&sim));
        sim.upgrade(2, 2_000);
        sim.run_until(15_000, "upgraded", is_upgraded);
        sim.run(500);
        assert_eq!(sim.running("j-1"), 3, "services keep running");
        let request = sim.submit(1, dependent_job("j-8", 1, &["j-2"]));
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Accepted { .. }
        ));
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
    // The last controller of the previous version stays down; its peers record the results meanwhile.
    sim.crash(2, 60_000);
    sim.run_until(40_000, "all have started", |sim| sim.metrics.starts == 100);
    sim.run_until(45_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
    assert!(!is_upgraded(&sim));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_large_chunk_is_cancelled_under_lowered_limits() {
    let mut sim = with_a_large_chunk(5);
    sim.workload.run_ms = 3_600_000;
    upgrade_all(&mut sim, 9_000);
    sim.lower_limits();
    // A job of higher priority first preempts some tasks, each with a stop reason on record.
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..job("j-2", 10)
    };
    sim.submit(1, urgent);
    sim.run_until(15_000, "the urgent job runs", |sim| {
        sim.running("j-2") == 10
    });
    let request = sim.cancel(2, "j-1");
    sim.await_answer(request);
    sim.run_until(30_000, "no task or chunk is left", |sim| {
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
    sim.run_until(10_000, "upgraded", is_upgraded);
    sim.lower_limits();
    sim.run_until(120_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
    assert_eq!(sim.state.too_large, 0);
    sim.check_records();
}

#[test]
fn a_record_rejected_by_the_state_service_blocks_no_other() {
    // The limits of the state service are smaller than configured, so a chunk with all assignments is rejected.
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
    let request = sim.submit(0, spec);
    sim.await_answer(request);
    sim.run(1_000);
    let request = sim.submit(1, job("j-2", 1));
    sim.await_answer(request);
    sim.run_until(20_000, "the other job is done", |sim| {
        has_phase(sim, "j-2", JobPhase::Done)
    });
    sim.run(60_000);
    assert!(
        (1..20).contains(&sim.state.too_large),
        "{} rejected attempts",
        sim.state.too_large
    );
    sim.state.limits = None;
    sim.run_until(90_000, "done without the limit", |sim| {
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
        let mut upgraded = 0;
        for step in 0..120 {
            let n = sim.rng.gen_range(0..3);
            match sim.rng.gen_range(0..12) {
                0..=3 => {
                    let mut spec = job(&format!("j-{step}"), sim.rng.gen_range(1..6));
                    for _ in 0..sim.rng.gen_range(0..3) {
                        if !jobs.is_empty() && is_upgraded(&sim) {
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
                    let request = sim.submit(n, spec.clone());
                    sim.run(400);
                    // Only accepted jobs can be dependencies.
                    let accepted = |sim: &Simulation| {
                        sim.state.records.contains_key(&Key::Job(spec.id.clone()))
                    };
                    if sim.answers.contains_key(&request) && accepted(&sim) {
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
                9 if upgraded < 3 && step > 20 => {
                    sim.upgrade(upgraded, 4_000);
                    upgraded += 1;
                }
                _ => {
                    for id in jobs.clone() {
                        let n = sim.rng.gen_range(0..3);
                        sim.status(n, &id);
                    }
                }
            }
            if is_upgraded(&sim) && sim.rng.gen_bool(0.1) {
                sim.lower_limits();
            }
            let step_ms = sim.rng.gen_range(100..2_000);
            sim.run(step_ms);
            if sim.rng.gen_bool(0.3) {
                sim.heal_all();
            }
        }
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.cloud.capacity += 6;
        for n in upgraded..3 {
            sim.upgrade(n, 1_000);
        }
        sim.run_until(30_000, "upgraded", is_upgraded);
        sim.lower_limits();
        let all_over = |sim: &Simulation| jobs.iter().all(|id| !has_phase(sim, id, JobPhase::Open));
        sim.run_until(400_000, "all jobs end", all_over);
        sim.run(3_000);
        sim.check_records();
        // A single seed may draw few jobs but never almost none; all seeds together start many tasks.
        let tasks: u32 = jobs.iter().map(|id| sim.job_specs[id].tasks).sum();
        let counts = format!("seed {seed}: {} starts, {tasks} tasks", sim.metrics.starts);
        assert!(
            sim.metrics.starts > 10 && sim.metrics.starts * 2 >= tasks,
            "{counts}"
        );
        starts += sim.metrics.starts;
    }
    assert!(starts > 400, "{starts} starts");
}

/// Guards against a cancellation that an upgraded controller confirms only after its tasks have ended, although the
/// other controllers still call the job cancelled from the commit on: answers would differ.
#[test]
fn a_cancellation_is_confirmed_at_its_commit_until_every_controller_is_upgraded() {
    for upgraded in [&[1][..], &[1, 2]] {
        let mut sim = Simulation::previous_version(7, 3, 2);
        sim.workload.run_ms = 600_000;
        sim.run(4_000);
        let request = sim.submit(0, job("j-1", 1));
        sim.await_answer(request);
        sim.run_until(20_000, "the task runs", |sim| sim.running("j-1") == 1);
        for n in upgraded {
            sim.upgrade(*n, 500);
            sim.run(4_000);
        }
        let machine = sim.machine_of("j-1").expect("the task runs");
        sim.workers.get_mut(&machine).unwrap().disconnected = true;
        sim.run(2_500);
        // The answer doesn't wait until the watch has delivered the cancellation.
        let (watch_delay_ms, asked_ms) = (500, sim.now_ms);
        sim.delay_watch(1, watch_delay_ms);
        let request = sim.cancel(1, "j-1");
        let reply = sim.await_answer(request);
        assert!(matches!(reply, UserReply::Cancelled { .. }), "{reply:?}");
        assert!(sim.now_ms < asked_ms + watch_delay_ms, "answered late");
        for _ in 0..200 {
            for n in 0..3 {
                sim.status(n, "j-1");
            }
            sim.run(5);
        }
        sim.run(sim.settings.cancellation_timeout_ms);
        assert_eq!(sim.running("j-1"), 0);
    }
}
