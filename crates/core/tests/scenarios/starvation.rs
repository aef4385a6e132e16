//! Starvation: no job waits for long while there is capacity for it.

use crate::common::{is_cancel_confirmed, is_over};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobKind, JobPriority, JobSpec};
use glenmount_simulation::{
    job, limited_team, service, use_long_leases, FaultRates, Simulation, StarvationTracker,
};
use rand::Rng;

/// Jobs of several priorities exceed the capacity over slow links and under faults. After the faults no job may wait
/// for 90 s while a suitable machine has capacity and its team is below its limit, by the simulation's own count of the
/// running tasks.
#[test]
fn no_job_waits_despite_capacity_after_faults() {
    let mut longest = (0, 0);
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in std::env::var("FROM")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)..seeds.unwrap_or(10_u64)
    {
        let mut sim = Simulation::new(3_700 + seed, 3, 12);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.run(15_000);
        (sim.cloud.capacity, sim.network.max_extra_latency_ms) = (4, 400);
        sim.network.faults.answer_slow = 0.3;
        let mut ids = Vec::new();
        for j in 0..50 {
            let id = format!("j-{j:02}");
            let tasks = sim.rng.gen_range(1..9);
            let mut spec = match j % 7 {
                0 => service(&id, 1 + tasks % 3),
                _ => job(&id, tasks),
            };
            spec.priority =
                [spec.priority, JobPriority::High, JobPriority::Low][sim.rng.gen_range(0..3)];
            if spec.kind == JobKind::Service {
                spec.priority = JobPriority::Production;
            }
            if sim.rng.gen_bool(0.4) {
                spec = limited_team(spec);
            }
            spec.zone = sim.rng.gen_bool(0.2).then(|| "west".to_string());
            sim.workload
                .job_run_ms
                .insert(id.clone(), sim.rng.clone().gen_range(4_000..40_000));
            let request = sim.submit(j % 3, spec);
            sim.run(1_200);
            // A submission that is not accepted is not repeated.
            if matches!(sim.answers.get(&request), Some(UserReply::Accepted { .. })) {
                ids.push(id);
            }
            match j {
                10 => sim
                    .workers
                    .values_mut()
                    .take(3)
                    .for_each(|x| x.outbound_lost = true),
                16 => sim.network.faults.transaction_late = 0.2,
                20 => sim.crash(seed as usize % 3, 900),
                25 => sim
                    .workers
                    .values_mut()
                    .skip(4)
                    .take(3)
                    .for_each(|x| x.inbound_lost = true),
                28 => sim.state.is_down = true,
                34 => sim.state.is_down = false,
                38 => {
                    let names: Vec<String> = sim.workers.keys().cloned().collect();
                    names
                        .iter()
                        .skip(2)
                        .take(2)
                        .for_each(|n| sim.stall(n, 20_000));
                }
                _ => {}
            }
        }
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.network.max_extra_latency_ms = 0;
        // Includes services whose users did not learn in time that they are accepted.
        let all_services = sim
            .job_specs
            .values()
            .filter(|s| s.kind == JobKind::Service);
        let services: Vec<String> = all_services.map(|s| s.id.clone()).collect();
        // In a third of the seeds the services keep running, and capacity stays reserved for them.
        let services_stay = seed % 3 == 0;
        for id in &services {
            if sim.job_phase(id).is_none() || services_stay {
                continue;
            }
            assert!(is_cancel_confirmed(&mut sim, id), "{id}");
        }
        let mut starvation = StarvationTracker::default();
        let deadline_ms = sim.now_ms + 600_000;
        while !ids.iter().all(|id| is_over(&sim, id)) && sim.now_ms < deadline_ms {
            sim.run(500);
            starvation.observe(&sim);
        }
        let must_end = |id: &&String| !services_stay || sim.job_specs[*id].team == "red";
        let arrays = ids
            .iter()
            .filter(|id| sim.job_specs[*id].kind == JobKind::Array);
        let unfinished: Vec<&String> = arrays
            .filter(must_end)
            .filter(|id| !is_over(&sim, id))
            .collect();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
        if starvation.longest_ms > 20_000 {
            eprintln!("seed {seed}: {starvation:?}");
        }
        longest = longest.max((starvation.longest_ms, seed));
        assert!(
            starvation.longest_ms < 90_000,
            "seed {seed}: {starvation:?}"
        );
        sim.check_records();
    }
    eprintln!(
        "longest wait despite capacity: {} ms, seed {}",
        longest.0, longest.1
    );
}

/// Urgent jobs of several teams permanently exceed the capacity. Other jobs must still start within four minutes, and
/// their tasks must not be preempted again and again.
#[test]
fn jobs_crowded_out_by_urgent_work_start_within_four_minutes() {
    for seed in 0..3_u64 {
        let mut sim = Simulation::new(4_000 + seed, 3, 5);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 20_000);
        let urgent = |id: String, tasks| JobSpec {
            priority: JobPriority::High,
            ..job(&id, tasks)
        };
        let mut normal_priority = Vec::new();
        for i in 0..180 {
            let spec = urgent(format!("j-1{i:03}"), 4);
            sim.submit(i % 3, if i % 3 == 0 { limited_team(spec) } else { spec });
            if (10..40).contains(&i) && i % 5 == 0 {
                let id = format!("j-9{i:03}");
                sim.submit(i % 3, job(&id, 1 + i as u32));
                normal_priority.push((id, sim.now_ms));
            }
            sim.run(2_000);
        }
        for (id, submitted_ms) in &normal_priority {
            let wait_ms = sim.metrics.first_run_ms.get(id).map(|ms| ms - submitted_ms);
            assert!(
                wait_ms.is_some_and(|ms| ms <= 240_000),
                "seed {seed}: {id}: {wait_ms:?}"
            );
        }
        let stops = sim.metrics.stops.get("preempted").map_or(0, |s| s.0);
        assert!(stops <= 60, "seed {seed}: {stops} preemptions");
        sim.check_records();
    }
}
