//! Jobs that depend on other jobs. The simulation checks at every step that no task starts before the dependencies of
//! its job are complete, and that a dependent of a cancelled job is not reported as pending or running for longer than
//! a cancellation may take.

use crate::common::{has_phase, started_cluster, submit_accepted};
use glenmount_core::controller::UserReply;
use glenmount_core::jobs::dependencies;
use glenmount_core::model::{JobPriority, JobSpec, JobState};
use glenmount_core::state::{JobPhase, JobRecord, Key, Record, StateCache};
use glenmount_simulation::{dependent_job, job, service, Simulation};

fn job_state(sim: &mut Simulation, controller: usize, id: &str) -> JobState {
    let request = sim.status(controller, id);
    match sim.await_answer(request) {
        UserReply::Status { state, .. } => state,
        other => panic!("{id}: {other:?}"),
    }
}

/// Submits j-1, then j-2 and j-3, which depend on it, then j-4, which depends on both.
fn submit_diamond(sim: &mut Simulation) {
    submit_accepted(sim, 0, job("j-1", 2));
    submit_accepted(sim, 1, dependent_job("j-2", 3, &["j-1"]));
    submit_accepted(sim, 2, dependent_job("j-3", 1, &["j-1"]));
    submit_accepted(sim, 0, dependent_job("j-4", 2, &["j-2", "j-3"]));
}

/// Returns a cache that holds the given open jobs with their acceptance times.
fn cache_with_jobs(jobs: &[(JobSpec, u64)]) -> StateCache {
    let mut cache = StateCache::default();
    for (i, (spec, accepted_at)) in jobs.iter().enumerate() {
        let record = JobRecord {
            phase: JobPhase::Open,
            tasks: spec.tasks,
            tasks_per_chunk: 10,
            accepted_at: *accepted_at,
            ended_at: 0,
            spec: Some(Box::new(spec.clone())),
        };
        cache.put(Key::Job(spec.id.clone()), i as u64 + 1, Record::Job(record));
    }
    cache
}

#[test]
fn a_diamond_of_jobs_completes_in_order() {
    let mut sim = started_cluster(1, 3, 4);
    submit_diamond(&mut sim);
    assert_eq!(job_state(&mut sim, 1, "j-4"), JobState::Pending);
    sim.run_until(60_000, "done", |sim| has_phase(sim, "j-4", JobPhase::Done));
    let ended_at = |sim: &Simulation, id: &str| match &sim.state.records[&Key::Job(id.into())] {
        (Record::Job(j), _) => j.ended_at,
        _ => 0,
    };
    assert!(ended_at(&sim, "j-1") < ended_at(&sim, "j-2").min(ended_at(&sim, "j-3")));
    assert!(ended_at(&sim, "j-4") > ended_at(&sim, "j-2").max(ended_at(&sim, "j-3")));
    assert_eq!(sim.metrics.starts, 8, "each task starts once");
    sim.check_records();
}

#[test]
fn completion_of_a_chunked_job_starts_its_dependents() {
    // With a single controller no other event triggers a scheduling pass, so the completion itself must trigger one, or
    // the next stage waits for the periodic poll.
    for seed in 0..5 {
        let mut sim = Simulation::new(30 + seed, 1, 4);
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.cloud.capacity = 0;
        sim.run(4_000);
        sim.workload.run_ms = 300;
        let mut first = job("j-1", 250);
        first.resources.cpus = 100;
        submit_accepted(&mut sim, 0, first);
        submit_accepted(&mut sim, 0, dependent_job("j-2", 1, &["j-1"]));
        sim.run_until(60_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
        // Fetching the image takes up to 0.9 s; the poll interval is 5 s.
        sim.run_until(2_000, "the dependent runs", |sim| sim.running("j-2") == 1);
    }
}

#[test]
fn a_job_just_accepted_by_another_controller_can_be_a_dependency() {
    // The second controller does not know the dependency yet. It must read the state store rather than reject the job.
    for seed in 0..10 {
        let mut sim = started_cluster(20 + seed, 2, 2);
        let first = sim.submit(0, job("j-1", 1));
        sim.await_answer(first);
        submit_accepted(&mut sim, 1, dependent_job("j-2", 1, &["j-1"]));
        sim.run_until(30_000, "done", |sim| has_phase(sim, "j-2", JobPhase::Done));
    }
}

#[test]
fn unknown_unending_and_own_dependencies_are_rejected() {
    let mut sim = started_cluster(2, 2, 2);
    submit_accepted(&mut sim, 0, job("j-1", 1));
    sim.run_until(20_000, "done", |sim| has_phase(sim, "j-1", JobPhase::Done));
    submit_accepted(&mut sim, 0, service("j-2", 1));
    let infeasible = [
        dependent_job("j-8", 1, &["j-7"]),
        dependent_job("j-8", 1, &["j-1", "j-2"]),
        dependent_job("j-8", 1, &["j-8"]),
    ];
    for spec in infeasible {
        let request = sim.submit(1, spec.clone());
        let reply = sim.await_answer(request);
        assert!(
            matches!(reply, UserReply::Rejected(_)),
            "{:?}",
            spec.dependencies
        );
    }
    submit_accepted(&mut sim, 1, dependent_job("j-3", 1, &["j-1"]));
    sim.run_until(20_000, "done", |sim| has_phase(sim, "j-3", JobPhase::Done));
    // A repeated submission returns the status of the known job, whatever dependencies it names.
    let request = sim.submit(0, dependent_job("j-3", 1, &["j-7"]));
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Status { .. }
    ));
    // Without a current read the controller cannot know that a dependency was never accepted, so it rejects nothing.
    sim.controllers[1].cut_from_state = true;
    let request = sim.submit(1, dependent_job("j-4", 1, &["j-6"]));
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
}

#[test]
fn a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() {
    let mut sim = started_cluster(3, 3, 2);
    submit_accepted(&mut sim, 0, job("j-1", 1));
    let request = sim.cancel(0, "j-1");
    sim.await_answer(request);
    submit_accepted(&mut sim, 1, dependent_job("j-2", 1, &["j-1"]));
    assert_eq!(job_state(&mut sim, 2, "j-2"), JobState::Cancelled);
    submit_accepted(&mut sim, 2, dependent_job("j-3", 1, &["j-2"]));
    assert_eq!(job_state(&mut sim, 0, "j-3"), JobState::Cancelled);
    sim.run_until(10_000, "on record", |sim| {
        has_phase(sim, "j-3", JobPhase::Cancelled)
    });
}

#[test]
fn a_cancellation_cascades_although_its_controller_dies() {
    for seed in 0..8 {
        let mut sim = started_cluster(40 + seed, 3, 3);
        submit_accepted(&mut sim, 0, job("j-1", 1));
        submit_accepted(&mut sim, 1, dependent_job("j-2", 1, &["j-1"]));
        submit_accepted(&mut sim, 2, dependent_job("j-3", 1, &["j-2"]));
        submit_accepted(&mut sim, 0, dependent_job("j-4", 1, &["j-3", "j-1"]));
        submit_accepted(&mut sim, 1, dependent_job("j-5", 1, &["j-1"]));
        let request = sim.cancel(0, "j-2");
        sim.await_answer(request);
        sim.crash(0, 30_000);
        // Peers report the cancellation before it is on record for the dependents.
        assert_eq!(job_state(&mut sim, 1, "j-4"), JobState::Cancelled);
        sim.run_until(10_000, "cancelled on record", |sim| {
            has_phase(sim, "j-3", JobPhase::Cancelled) && has_phase(sim, "j-4", JobPhase::Cancelled)
        });
        sim.run_until(30_000, "the other dependent completes", |sim| {
            has_phase(sim, "j-5", JobPhase::Done)
        });
        sim.check_records();
    }
}

#[test]
fn a_cancellation_concurrent_with_the_last_result_is_atomic() {
    let (mut done, mut cancelled) = (0, 0);
    for delay_ms in (4_800..5_100).step_by(5) {
        let mut sim = started_cluster(60, 2, 2);
        submit_accepted(&mut sim, 0, job("j-1", 1));
        submit_accepted(&mut sim, 1, dependent_job("j-2", 1, &["j-1"]));
        sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 1);
        sim.run(delay_ms);
        let request = sim.cancel(1, "j-1");
        match sim.await_answer(request) {
            UserReply::Cancelled {
                state: JobState::Done,
                ..
            } => {
                done += 1;
                sim.run_until(20_000, "done", |sim| has_phase(sim, "j-2", JobPhase::Done));
            }
            UserReply::Cancelled { .. } => {
                cancelled += 1;
                sim.run_until(20_000, "cancelled", |sim| {
                    has_phase(sim, "j-2", JobPhase::Cancelled)
                });
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(
        done > 0 && cancelled > 0,
        "{done} done, {cancelled} cancelled"
    );
}

#[test]
fn a_waiting_job_uses_no_quota() {
    let mut sim = started_cluster(4, 2, 6);
    sim.workload.run_ms = 8_000;
    let blue_job = |spec: JobSpec| JobSpec {
        team: "blue".into(),
        ..spec
    };
    // The limit of 12 CPUs is six of these tasks.
    submit_accepted(&mut sim, 0, blue_job(job("j-1", 1)));
    submit_accepted(&mut sim, 1, blue_job(dependent_job("j-2", 6, &["j-1"])));
    submit_accepted(&mut sim, 0, blue_job(job("j-3", 5)));
    sim.run_until(4_000, "the limit is used", |sim| {
        sim.running("j-1") + sim.running("j-3") == 6
    });
    sim.run_until(60_000, "done", |sim| has_phase(sim, "j-2", JobPhase::Done));
    sim.check_records();
}

#[test]
fn late_and_lost_transactions_break_no_dependency() {
    for seed in 0..12 {
        let mut sim = started_cluster(80 + seed, 3, 4);
        sim.network.faults.transaction_answer_lost = 0.2;
        sim.network.faults.transaction_late = 0.2;
        sim.network.faults.answer_slow = 0.3;
        for (i, dependencies) in [&[][..], &["j-0"], &["j-0"], &["j-1", "j-2"], &["j-1"]]
            .iter()
            .enumerate()
        {
            let spec = dependent_job(&format!("j-{i}"), 2, dependencies);
            loop {
                let request = sim.submit(i % 3, spec.clone());
                match sim.await_answer(request) {
                    UserReply::RetryAfter { .. } => sim.run(1_000),
                    UserReply::Rejected(reason) => panic!("{reason}"),
                    _ => break,
                }
            }
        }
        let request = sim.cancel(seed as usize % 3, "j-4");
        sim.await_answer(request);
        sim.run_until(120_000, "done", |sim| has_phase(sim, "j-3", JobPhase::Done));
        sim.check_records();
    }
}

#[test]
fn a_wide_tree_is_cancelled_with_few_writes_after_an_outage() {
    let mut sim = started_cluster(5, 3, 2);
    sim.workload.run_ms = 3_600_000;
    submit_accepted(&mut sim, 0, job("j-1", 1));
    for i in 10..40 {
        let dependency = match i {
            10..20 => "j-1".to_string(),
            _ => format!("j-{}", i - 10),
        };
        submit_accepted(
            &mut sim,
            i % 3,
            dependent_job(&format!("j-{i}"), 4, &[&dependency]),
        );
    }
    let request = sim.cancel(1, "j-1");
    let changes_before = sim.state.changes;
    sim.await_answer(request);
    sim.state.is_down = true;
    sim.run(15_000);
    sim.state.is_down = false;
    sim.run(3_000);
    for i in 10..40 {
        assert_eq!(
            job_state(&mut sim, i % 3, &format!("j-{i}")),
            JobState::Cancelled
        );
    }
    sim.run_until(10_000, "on record", |sim| {
        (10..40).all(|i| has_phase(sim, &format!("j-{i}"), JobPhase::Cancelled))
    });
    let changes = sim.state.changes - changes_before;
    assert!(changes < 80, "{changes} changes for 31 jobs");
    sim.check_records();
}

#[test]
fn earlier_stages_inherit_the_priority_of_the_last() {
    // There is one machine; the first job of the pipeline has low priority and was submitted last.
    let mut sim = started_cluster(6, 1, 1);
    sim.cloud.capacity = 0;
    sim.submit(0, job("j-1", 2));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 2);
    let low_priority = |spec: JobSpec| JobSpec {
        priority: JobPriority::Low,
        ..spec
    };
    submit_accepted(&mut sim, 0, job("j-2", 2));
    submit_accepted(&mut sim, 0, low_priority(job("j-3", 1)));
    submit_accepted(&mut sim, 0, low_priority(dependent_job("j-4", 1, &["j-3"])));
    let last = JobSpec {
        priority: JobPriority::High,
        deadline_s: Some(60.0),
        ..dependent_job("j-5", 1, &["j-4"])
    };
    submit_accepted(&mut sim, 0, last);
    let first_done = |sim: &Simulation| {
        has_phase(sim, "j-3", JobPhase::Done) || has_phase(sim, "j-2", JobPhase::Done)
    };
    sim.run_until(40_000, "one of the two is done", first_done);
    assert!(
        has_phase(&sim, "j-3", JobPhase::Done),
        "the pipeline goes first"
    );
    sim.run_until(60_000, "all jobs are done", |sim| {
        has_phase(sim, "j-5", JobPhase::Done) && has_phase(sim, "j-2", JobPhase::Done)
    });
}

#[test]
fn priority_and_deadline_are_inherited_along_every_path() {
    let last = JobSpec {
        priority: JobPriority::High,
        deadline_s: Some(100.0),
        ..dependent_job("j-4", 1, &["j-2", "j-3"])
    };
    let slow = JobSpec {
        estimate_s: 50.0,
        ..dependent_job("j-3", 1, &["j-1"])
    };
    let quick = dependent_job("j-2", 1, &["j-1"]);
    let cache = cache_with_jobs(&[
        (job("j-1", 1), 0),
        (quick, 1_000),
        (slow, 2_000),
        (last, 3_000),
    ]);
    let inherited = dependencies::inherited_priorities(&cache, &|_, spec| {
        dependencies::min_estimated_run_ms(spec)
    });
    // The inherited deadlines reserve six tenths of the estimated run times of 5 s and 50 s.
    let due = |id: &str| inherited[id].due.unwrap();
    assert_eq!((due("j-2"), due("j-3")), (100_000, 100_000));
    assert_eq!(due("j-1"), 70_000);
    assert!(inherited.values().all(|p| p.priority == JobPriority::High));
    assert!(
        !inherited.contains_key("j-4"),
        "no job depends on the last one"
    );
}

#[test]
fn cyclic_records_are_not_scheduled_and_do_no_harm() {
    // Users cannot submit a cycle. If one is on record, no loop may run forever.
    let mut cache = cache_with_jobs(&[
        (dependent_job("j-1", 1, &["j-3"]), 0),
        (dependent_job("j-2", 1, &["j-1"]), 0),
        (dependent_job("j-3", 1, &["j-2"]), 0),
        (dependent_job("j-4", 1, &["j-3"]), 0),
    ]);
    assert!(cache.is_blocked("j-1") && cache.waiting_jobs().next().is_none());
    assert!(!dependencies::inherited_priorities(&cache, &|_, spec| {
        dependencies::min_estimated_run_ms(spec)
    })
    .contains_key("j-2"));
    let cancelled = cache
        .job("j-1")
        .unwrap()
        .with_final_phase(JobPhase::Cancelled, 9);
    cache.put(Key::Job("j-1".into()), 9, Record::Job(cancelled));
    assert!(
        !cache.depends_on_cancelled("j-2"),
        "claims before the cancellation may be missing"
    );
    cache.revision = 9;
    assert!(
        cache.depends_on_cancelled("j-2")
            && cache.depends_on_cancelled("j-3")
            && cache.depends_on_cancelled("j-4")
    );
}
