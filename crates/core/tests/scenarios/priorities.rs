//! Scheduling order: priorities, preemption, objectives and capacity reserved for services.

use crate::common::{is_done, started_cluster, without_scale_in};
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, Simulation};

#[test]
fn tasks_of_lower_priority_are_preempted_for_pending_ones() {
    let mut sim = started_cluster(29, 3, 3);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 60_000;
    sim.submit(0, job("j-1", 6));
    sim.run_until(6_000, "all machines are full", |sim| {
        sim.running("j-1") == 6
    });
    let mut urgent = job("j-2", 2);
    urgent.priority = JobPriority::High;
    sim.submit(1, urgent);
    sim.run_until(4_000, "the urgent job runs", |sim| sim.running("j-2") == 2);
    assert_eq!(
        sim.running("j-1"),
        4,
        "no more tasks are preempted than needed"
    );
    let mut equal = job("j-3", 2);
    equal.priority = JobPriority::High;
    sim.submit(2, equal);
    sim.run(4_000);
    assert_eq!(
        sim.running("j-2"),
        2,
        "a job of equal priority is not preempted"
    );
    sim.run_until(300_000, "all done", |sim| {
        ["j-1", "j-2", "j-3"].iter().all(|id| is_done(sim, id))
    });
    sim.check_records();
}

#[test]
fn jobs_that_can_still_meet_their_objective_precede_late_ones() {
    let mut sim = started_cluster(31, 1, 1);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 20_000;
    for (i, pause_ms) in [(0, 0), (1, 0), (2, 0), (3, 62_000), (4, 100)] {
        sim.run(pause_ms);
        let mut spec = job(&format!("j-{i}"), 2);
        spec.class = "quick".into();
        spec.tasks = if i < 3 { 4 } else { 1 };
        sim.submit(0, spec);
    }
    // The third job can no longer meet its objective of a minute; the fourth, accepted later, can.
    sim.run_until(60_000, "the fourth job is done", |sim| is_done(sim, "j-3"));
    assert!(!is_done(&sim, "j-2"));
}

#[test]
fn a_batch_leaves_capacity_for_the_next_service() {
    let mut sim = started_cluster(26, 3, 10);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 40_000;
    let mut small = service("j-1", 2);
    small.resources.cpus = 1_000;
    sim.submit(0, small.clone());
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 2);
    sim.submit(1, job("j-2", 40));
    sim.run(5_000);
    assert!(sim.running("j-2") >= 14, "the batch uses most machines");
    small.id = "j-3".into();
    sim.submit(2, small);
    sim.run_until(1_500, "the next service starts at once", |sim| {
        sim.running("j-3") == 2
    });
}

#[test]
fn urgent_jobs_do_not_wait_for_capacity_reserved_for_services() {
    // The free capacity is reserved for services. It counted as available to the urgent job, so nothing was preempted
    // for it and it waited for two minutes.
    let mut sim = started_cluster(26, 3, 10);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 100_000;
    let mut small = service("j-1", 2);
    small.resources.cpus = 1_000;
    sim.submit(0, small.clone());
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 2);
    sim.submit(1, job("j-2", 40));
    sim.run(4_000);
    assert!(sim.running("j-2") < 19, "some capacity is reserved");
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..job("j-3", 2)
    };
    sim.submit(2, urgent);
    sim.run_until(4_000, "the urgent job runs", |sim| sim.running("j-3") == 2);
    small.id = "j-4".into();
    sim.submit(0, small);
    sim.run_until(1_500, "a service starts too", |sim| sim.running("j-4") == 2);
    sim.check_records();
}

#[test]
fn a_small_site_reserves_no_capacity() {
    let mut sim = started_cluster(27, 1, 1);
    sim.cloud.capacity = 0;
    sim.submit(0, service("j-1", 1));
    sim.submit(0, job("j-2", 1));
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-2"));
}

/// Jobs that had waited for two minutes took the capacity freed by preemption for urgent work, which then preempted
/// more tasks, repeatedly: docs/incidents/stops-for-nothing.md.
#[test]
fn capacity_freed_by_preemption_is_not_taken_by_other_jobs() {
    let mut sim = without_scale_in(1_400, 3, 24);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 20_000;
    // A service for which capacity is reserved, and far more batch work than capacity.
    sim.submit(0, service("j-1", 2));
    sim.run(2_000);
    for i in 0..14 {
        sim.submit(i % 3, job(&format!("j-1{i:02}"), 40));
    }
    sim.run(135_000);
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..job("j-2", 6)
    };
    let submitted_ms = sim.now_ms;
    let request = sim.submit(1, urgent);
    sim.await_answer(request);
    sim.run_until(60_000, "runs", |sim| sim.running("j-2") == 6);
    assert!(
        sim.now_ms < submitted_ms + 8_000,
        "{} ms",
        sim.now_ms - submitted_ms
    );
    sim.run(10_000);
    let preemptions = sim.metrics.stops.get("preempted").map_or(0, |s| s.0);
    assert!(preemptions <= 12, "{preemptions} preemptions for 6 tasks");
    sim.check_records();
}

/// Jobs that can meet their objective keep arriving beyond the capacity. A job without an objective must still run.
#[test]
fn no_job_is_deferred_forever() {
    let mut sim = without_scale_in(1_410, 3, 4);
    sim.cloud.capacity = 0;
    sim.workload.run_ms = 10_000;
    let urgent = |i: u64| JobSpec {
        deadline_s: Some(120.0),
        estimate_s: 10.0,
        ..job(&format!("j-1{i:04}"), 6)
    };
    for i in 0..10 {
        sim.submit(0, urgent(i));
    }
    sim.run(1_000);
    sim.submit(1, job("j-2", 2));
    for i in 10..200 {
        sim.submit((i % 3) as usize, urgent(i));
        sim.run(5_000);
        if is_done(&sim, "j-2") {
            break;
        }
    }
    assert!(
        is_done(&sim, "j-2"),
        "the deferred job still waits at {} ms",
        sim.now_ms
    );
    let started_ms = sim.metrics.first_run_ms["j-2"];
    assert!(
        started_ms < 240_000,
        "its first task starts earlier: {started_ms} ms"
    );
    assert!(
        sim.now_ms > 600_000,
        "the other jobs did not exceed the capacity: {} ms",
        sim.now_ms
    );
}

/// A class demands far more than the capacity for minutes. Its small jobs go first, since most of them then meet their
/// objective, but its largest jobs must start within four minutes too.
#[test]
fn the_largest_jobs_start_under_permanent_overload() {
    for seed in 0..3 {
        let mut sim = Simulation::new(130 + seed, 3, 6);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 10_000);
        let quick_job = |id: String, tasks: u32| JobSpec {
            class: "quick".into(),
            estimate_s: 10.0,
            ..job(&id, tasks)
        };
        let mut large = Vec::new();
        for i in 0..120 {
            if i % 12 == 0 && i < 60 {
                large.push((format!("j-9{i:03}"), sim.now_ms));
                sim.submit(0, quick_job(format!("j-9{i:03}"), 60));
            }
            sim.submit(i % 3, quick_job(format!("j-1{i:03}"), 6));
            sim.run(3_000);
        }
        for (id, submitted_ms) in &large {
            let started_ms = sim.metrics.first_run_ms.get(id).copied();
            let wait_ms = started_ms.map(|ms| ms - submitted_ms);
            assert!(wait_ms.is_some_and(|ms| ms <= 240_000), "{id}: {wait_ms:?}");
        }
        let small_done =
            (0..120).filter(|i| sim.job_phase(&format!("j-1{i:03}")) == Some(JobPhase::Done));
        let small_done = small_done.count();
        assert!(
            (30..120).contains(&small_done),
            "{small_done} small jobs are done"
        );
    }
}
