//! Random faults of all kinds at once. The simulation checks the invariants at every step.

use crate::common::{is_answered, started_cluster};
use glenmount_core::model::JobKind;
use glenmount_core::state::JobPhase;
use glenmount_simulation::random_faults::{self, RandomFaults, STEPS};
use glenmount_simulation::{all_estimate_uses, job, service, FaultRates, Simulation};
use rand::Rng;

/// The number of seeds to run, from the environment variable SEEDS. Each covers some minutes of simulated time.
fn seeds() -> u64 {
    let requested = std::env::var("SEEDS").ok();
    requested.and_then(|n| n.parse().ok()).unwrap_or(12)
}

/// Message faults, crashes, partitions, outages and user requests occur at random and overlap.
#[test]
fn random_message_faults_break_no_invariant() {
    for seed in 0..20 {
        let mut sim = started_cluster(1_000 + seed, 3, 4);
        sim.cloud.capacity = 4;
        if seed % 2 == 1 {
            // Each controller uses run-time estimates from its next start on, beside others that do not yet.
            sim.settings.runtime_estimates = all_estimate_uses();
        }
        sim.network.faults = FaultRates {
            transaction_answer_lost: 0.03,
            transaction_late: 0.03,
            answer_slow: 0.05,
            heartbeat_lost: 0.03,
            heartbeat_late: 0.03,
            heartbeat_duplicated: 0.05,
            heartbeat_kept: 0.01,
            reply_lost: 0.03,
            cloud_answer_lost: 0.2,
            command_lost: 0.05,
            command_late: 0.05,
            command_repeated: 0.05,
            transaction_repeated: 0.05,
        };
        let mut jobs: Vec<String> = Vec::new();
        for step in 0..150 {
            match sim.rng.gen_range(0..19) {
                0..=3 => {
                    let id = format!("j-{step}");
                    let tasks = sim.rng.gen_range(1..5);
                    let mut spec = match sim.rng.gen_bool(0.3) {
                        true => service(&id, tasks),
                        false => job(&id, tasks),
                    };
                    if sim.rng.gen_bool(0.5) {
                        spec.team = "blue".into();
                    }
                    spec.topology_spread = sim.rng.gen_bool(0.3);
                    spec.zone_affinity = !spec.topology_spread && sim.rng.gen_bool(0.2);
                    spec.spot = sim.rng.gen_bool(0.4);
                    sim.submit(step % 3, spec);
                    jobs.push(id);
                }
                4 if !jobs.is_empty() => {
                    let id = jobs[sim.rng.gen_range(0..jobs.len())].clone();
                    sim.cancel(step % 3, &id);
                }
                5 => {
                    let n = sim.rng.gen_range(0..3);
                    sim.crash(n, 4_000);
                }
                6 => {
                    let n = sim.rng.gen_range(0..3);
                    let slot = &mut sim.controllers[n];
                    slot.cut_from_state = !slot.cut_from_state;
                }
                7 => {
                    let n = sim.rng.gen_range(0..3);
                    let slot = &mut sim.controllers[n];
                    slot.cut_from_workers = !slot.cut_from_workers;
                }
                8 => {
                    let n = sim.rng.gen_range(0..3);
                    let slot = &mut sim.controllers[n];
                    slot.cut_from_peers = !slot.cut_from_peers;
                }
                9 => sim.state.is_down = !sim.state.is_down,
                10 => {
                    let names: Vec<String> = sim.workers.keys().cloned().collect();
                    if !names.is_empty() {
                        let name = &names[sim.rng.gen_range(0..names.len())];
                        let disconnected = !sim.workers[name].disconnected;
                        sim.workers.get_mut(name).unwrap().disconnected = disconnected;
                    }
                }
                11 => {
                    let names: Vec<String> = sim.workers.keys().cloned().collect();
                    if names.len() > 2 {
                        let name = names[sim.rng.gen_range(0..names.len())].clone();
                        sim.kill_machine(&name);
                    }
                }
                12 => sim.cloud.is_down = !sim.cloud.is_down,
                13 => {
                    let n = sim.rng.gen_range(0..3);
                    let ms = [1_500, 5_000, 20_000, 70_000][sim.rng.gen_range(0..4)];
                    sim.pause(n, ms);
                }
                14 => {
                    let n = sim.rng.gen_range(0..3);
                    sim.controllers[n].outbound_lost = !sim.controllers[n].outbound_lost;
                }
                15 => match sim.rng.gen_range(0..4) {
                    0 => sim.partition_zone("west", &[1]),
                    1 => sim.partition_zone("east", &[0, 2]),
                    // A zone without a controller.
                    2 => sim.partition_zone("west", &[]),
                    _ => sim.heal_zone(),
                },
                _ => {
                    for id in jobs.clone() {
                        let n = sim.rng.gen_range(0..3);
                        sim.status(n, &id);
                    }
                }
            }
            let step_ms = sim.rng.gen_range(100..2_500);
            sim.run(step_ms);
            // Occasionally the faults last for longer than a cancellation may take.
            if sim.rng.gen_bool(0.03) {
                let fault_ms = sim.settings.cancellation_timeout_ms + 10_000;
                sim.run(fault_ms);
            }
            if sim.rng.gen_bool(0.2) {
                sim.heal_all();
            }
        }
        // Without faults all remaining work must complete.
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.cloud.capacity += 4;
        sim.run_until(75_000, "resumed", |sim| (0..3).all(|n| !sim.is_paused(n)));
        sim.run(5_000);
        // Running services use their team's quota until they are cancelled.
        for id in jobs
            .iter()
            .filter(|id| sim.job_specs[*id].kind == JobKind::Service)
            .cloned()
            .collect::<Vec<_>>()
        {
            sim.cancel(0, &id);
        }
        sim.run(45_000);
        sim.check_records();
        let open = |sim: &Simulation, id: &String| {
            sim.job_phase(id) == Some(JobPhase::Open) && sim.job_specs[id].kind == JobKind::Array
        };
        let all_jobs = jobs.clone();
        sim.run_until(200_000, "arrays end", |sim| {
            !all_jobs.iter().any(|id| open(sim, id))
        });
        sim.check_records();
        assert!(
            sim.metrics.starts > 20,
            "seed {seed}: {} starts",
            sim.metrics.starts
        );
    }
}

#[test]
fn random_combined_faults_break_no_invariant() {
    let from: u64 = std::env::var("FROM")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let mut starts = 0;
    for seed in from..from + seeds() {
        eprintln!("seed {seed}");
        let RandomFaults {
            simulation: mut sim,
            jobs,
            rolling_upgrade,
        } = random_faults::run(seed, 6, STEPS);
        sim.network.faults = FaultRates::default();
        (
            sim.cancel_at_completion,
            sim.follow_up_requests,
            sim.network.max_extra_latency_ms,
        ) = (0.0, false, 0);
        sim.heal_all();
        sim.cloud.capacity += 6;
        sim.run_until(75_000, "resumed", |sim| (0..3).all(|n| !sim.is_paused(n)));
        for n in (0..3).filter(|_| rolling_upgrade) {
            sim.upgrade(n, 500);
            sim.run(3_000);
        }
        sim.run_until(10_000, "back", |sim| {
            sim.controllers.iter().all(|n| n.controller.is_some())
        });
        // Every accepted job stays known: any controller answers for it within 75 s.
        let accepted: Vec<String> = jobs
            .iter()
            .filter(|id| sim.user_views.get(*id).is_some_and(|t| t.accepted))
            .cloned()
            .collect();
        for (i, id) in accepted.iter().enumerate() {
            let deadline_ms = sim.now_ms + 75_000;
            while !is_answered(&mut sim, i % 3, id) {
                sim.run(1_000);
                assert!(sim.now_ms < deadline_ms, "seed {seed}: no answer for {id}");
            }
        }
        for id in &jobs {
            if sim.job_specs[id].kind == JobKind::Service {
                sim.cancel(0, id);
            }
        }
        sim.run(60_000);
        sim.check_records();
        let open = |sim: &Simulation, id: &String| {
            sim.job_phase(id) == Some(JobPhase::Open) && sim.job_specs[id].kind == JobKind::Array
        };
        let all_jobs = jobs.clone();
        sim.run_until(400_000, "arrays end", |sim| {
            !all_jobs.iter().any(|id| open(sim, id))
        });
        sim.run(5_000);
        sim.check_records();
        starts += sim.metrics.starts;
    }
    assert!(u64::from(starts) > 20 * seeds(), "{starts} starts");
}
