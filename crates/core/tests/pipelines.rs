//! Stories of jobs that await other jobs. The world checks at every step that no task starts before
//! the jobs that its job needs are done, and that what needs a cancelled job is not called pending
//! or running for longer than a cancellation may take.

use glenmount_core::controller::*;
use glenmount_core::jobs::dependencies;
use glenmount_core::model::*;
use glenmount_core::state::*;
use glenmount_simulation::*;

fn settled(seed: u64, controllers: usize, machines: usize) -> World {
    let mut w = World::new(seed, controllers, machines);
    w.run(4_000);
    w
}

fn phase(w: &World, id: &str, phase: JobPhase) -> bool {
    w.job_phase(id) == Some(phase)
}

fn state(w: &mut World, n: usize, id: &str) -> JobState {
    let request = w.status(n, id);
    match w.answer(request) {
        UserReply::Status { state, .. } => state,
        other => panic!("{id}: {other:?}"),
    }
}

fn accept(w: &mut World, n: usize, spec: JobSpec) {
    let request = w.submit(n, spec.clone());
    let reply = w.answer(request);
    assert!(matches!(reply, UserReply::Accepted { .. }), "{reply:?}");
}

/// j-1, then j-2 and j-3, then j-4.
fn diamond(w: &mut World) {
    accept(w, 0, job("j-1", 2));
    accept(w, 1, after("j-2", 3, &["j-1"]));
    accept(w, 2, after("j-3", 1, &["j-1"]));
    accept(w, 0, after("j-4", 2, &["j-2", "j-3"]));
}

#[test]
fn a_diamond_is_done_in_order() {
    let mut w = settled(1, 3, 4);
    diamond(&mut w);
    assert_eq!(state(&mut w, 1, "j-4"), JobState::Pending);
    w.until(60_000, "done", |w| phase(w, "j-4", JobPhase::Done));
    let ends = |w: &World, id: &str| match &w.store[&Key::Job(id.into())] {
        (Record::Job(j), _) => j.ended,
        _ => 0,
    };
    assert!(ends(&w, "j-1") < ends(&w, "j-2").min(ends(&w, "j-3")));
    assert!(ends(&w, "j-4") > ends(&w, "j-2").max(ends(&w, "j-3")));
    assert_eq!(w.starts, 8, "each task once");
    w.check_records();
}

#[test]
fn the_end_of_a_job_of_several_chunks_starts_what_awaits_it() {
    // On a single controller nothing else causes a scheduling pass then: the next stage would wait for the poll.
    for seed in 0..5 {
        let mut w = World::new(30 + seed, 1, 4);
        w.settings.idle_return_ms = 3_600_000;
        w.capacity = 0;
        w.run(4_000);
        w.run_ms = 300;
        let mut first = job("j-1", 250);
        first.resources.cpus = 100;
        accept(&mut w, 0, first);
        accept(&mut w, 0, after("j-2", 1, &["j-1"]));
        w.until(60_000, "done", |w| phase(w, "j-1", JobPhase::Done));
        // A fetch takes up to 0.9 s, the poll that it must not wait for 5.
        w.until(2_000, "the next runs", |w| w.running("j-2") == 1);
    }
}

#[test]
fn a_job_just_accepted_elsewhere_may_be_named() {
    // The other controller has not heard of it when it is asked: it must find out, not refuse.
    for seed in 0..10 {
        let mut w = settled(20 + seed, 2, 2);
        let first = w.submit(0, job("j-1", 1));
        w.answer(first);
        accept(&mut w, 1, after("j-2", 1, &["j-1"]));
        w.until(30_000, "done", |w| phase(w, "j-2", JobPhase::Done));
    }
}

#[test]
fn what_may_be_named_and_what_not() {
    let mut w = settled(2, 2, 2);
    accept(&mut w, 0, job("j-1", 1));
    w.until(20_000, "done", |w| phase(w, "j-1", JobPhase::Done));
    accept(&mut w, 0, service("j-2", 1));
    let never = [
        after("j-8", 1, &["j-7"]),
        after("j-8", 1, &["j-1", "j-2"]),
        after("j-8", 1, &["j-8"]),
    ];
    for spec in never {
        let request = w.submit(1, spec.clone());
        let reply = w.answer(request);
        assert!(
            matches!(reply, UserReply::Rejected(_)),
            "{:?}",
            spec.dependencies
        );
    }
    accept(&mut w, 1, after("j-3", 1, &["j-1"]));
    w.until(20_000, "done", |w| phase(w, "j-3", JobPhase::Done));
    // Asked once more it is known, whatever it names now.
    let request = w.submit(0, after("j-3", 1, &["j-7"]));
    assert!(matches!(w.answer(request), UserReply::Status { .. }));
    // Without a proof that a job was never accepted, nothing is said.
    w.controllers[1].cut_from_state = true;
    let request = w.submit(1, after("j-4", 1, &["j-6"]));
    assert!(matches!(w.answer(request), UserReply::RetryAfter { .. }));
}

#[test]
fn a_job_that_names_a_cancelled_one_is_accepted_and_cancelled() {
    let mut w = settled(3, 3, 2);
    accept(&mut w, 0, job("j-1", 1));
    let request = w.cancel(0, "j-1");
    w.answer(request);
    accept(&mut w, 1, after("j-2", 1, &["j-1"]));
    assert_eq!(state(&mut w, 2, "j-2"), JobState::Cancelled);
    accept(&mut w, 2, after("j-3", 1, &["j-2"]));
    assert_eq!(state(&mut w, 0, "j-3"), JobState::Cancelled);
    w.until(10_000, "on record", |w| {
        phase(w, "j-3", JobPhase::Cancelled)
    });
}

#[test]
fn a_cancellation_half_way_takes_what_needs_it_though_its_node_dies() {
    for seed in 0..8 {
        let mut w = settled(40 + seed, 3, 3);
        accept(&mut w, 0, job("j-1", 1));
        accept(&mut w, 1, after("j-2", 1, &["j-1"]));
        accept(&mut w, 2, after("j-3", 1, &["j-2"]));
        accept(&mut w, 0, after("j-4", 1, &["j-3", "j-1"]));
        accept(&mut w, 1, after("j-5", 1, &["j-1"]));
        let request = w.cancel(0, "j-2");
        w.answer(request);
        w.crash(0, 30_000);
        // Others say so before their own records do.
        assert_eq!(state(&mut w, 1, "j-4"), JobState::Cancelled);
        w.until(10_000, "cancelled on record", |w| {
            phase(w, "j-3", JobPhase::Cancelled) && phase(w, "j-4", JobPhase::Cancelled)
        });
        w.until(30_000, "others go on", |w| phase(w, "j-5", JobPhase::Done));
        w.check_records();
    }
}

#[test]
fn a_cancellation_that_meets_the_last_result_is_one_or_the_other() {
    let (mut done, mut cancelled) = (0, 0);
    for ms in (4_800..5_100).step_by(5) {
        let mut w = settled(60, 2, 2);
        accept(&mut w, 0, job("j-1", 1));
        accept(&mut w, 1, after("j-2", 1, &["j-1"]));
        w.until(20_000, "runs", |w| w.running("j-1") == 1);
        w.run(ms);
        let request = w.cancel(1, "j-1");
        match w.answer(request) {
            UserReply::Cancelled {
                state: JobState::Done,
                ..
            } => {
                done += 1;
                w.until(20_000, "done", |w| phase(w, "j-2", JobPhase::Done));
            }
            UserReply::Cancelled { .. } => {
                cancelled += 1;
                w.until(20_000, "cancelled", |w| {
                    phase(w, "j-2", JobPhase::Cancelled)
                });
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(done > 0 && cancelled > 0, "{done} done, {cancelled} not");
}

#[test]
fn a_job_that_waits_holds_nothing_of_its_teams_limit() {
    let mut w = settled(4, 2, 6);
    w.run_ms = 8_000;
    let blue = |spec: JobSpec| JobSpec {
        team: "blue".into(),
        ..spec
    };
    // The limit of 12 processors is six of these tasks.
    accept(&mut w, 0, blue(job("j-1", 1)));
    accept(&mut w, 1, blue(after("j-2", 6, &["j-1"])));
    accept(&mut w, 0, blue(job("j-3", 5)));
    w.until(4_000, "the limit is used", |w| {
        w.running("j-1") + w.running("j-3") == 6
    });
    w.until(60_000, "done", |w| phase(w, "j-2", JobPhase::Done));
    w.check_records();
}

#[test]
fn late_and_lost_answers_of_the_state_service_break_no_pipeline() {
    for seed in 0..12 {
        let mut w = settled(80 + seed, 3, 4);
        w.mishaps.txn_answer_lost = 0.2;
        w.mishaps.txn_late = 0.2;
        w.mishaps.answer_slow = 0.3;
        for (i, dependencies) in [&[][..], &["j-0"], &["j-0"], &["j-1", "j-2"], &["j-1"]]
            .iter()
            .enumerate()
        {
            let spec = after(&format!("j-{i}"), 2, dependencies);
            loop {
                let request = w.submit(i % 3, spec.clone());
                match w.answer(request) {
                    UserReply::RetryAfter { .. } => w.run(1_000),
                    UserReply::Rejected(why) => panic!("{why}"),
                    _ => break,
                }
            }
        }
        let request = w.cancel(seed as usize % 3, "j-4");
        w.answer(request);
        w.until(120_000, "done", |w| phase(w, "j-3", JobPhase::Done));
        w.check_records();
    }
}

#[test]
fn a_wide_tree_is_cancelled_with_few_changes_after_an_outage() {
    let mut w = settled(5, 3, 2);
    w.run_ms = 3_600_000;
    accept(&mut w, 0, job("j-1", 1));
    for i in 10..40 {
        let before = match i {
            10..20 => "j-1".to_string(),
            _ => format!("j-{}", i - 10),
        };
        accept(&mut w, i % 3, after(&format!("j-{i}"), 4, &[&before]));
    }
    let request = w.cancel(1, "j-1");
    let changes = w.changes;
    w.answer(request);
    w.state_down = true;
    w.run(15_000);
    w.state_down = false;
    w.run(3_000);
    for i in 10..40 {
        assert_eq!(state(&mut w, i % 3, &format!("j-{i}")), JobState::Cancelled);
    }
    w.until(10_000, "on record", |w| {
        (10..40).all(|i| phase(w, &format!("j-{i}"), JobPhase::Cancelled))
    });
    let spent = w.changes - changes;
    assert!(spent < 80, "{spent} changes for 31 jobs");
    w.check_records();
}

#[test]
fn earlier_stages_count_as_urgent_as_the_last() {
    // One machine; the pipeline's first job is of low rank and came last.
    let mut w = settled(6, 1, 1);
    w.capacity = 0;
    w.submit(0, job("j-1", 2));
    w.until(10_000, "runs", |w| w.running("j-1") == 2);
    let low = |spec: JobSpec| JobSpec {
        priority: JobPriority::Low,
        ..spec
    };
    accept(&mut w, 0, job("j-2", 2));
    accept(&mut w, 0, low(job("j-3", 1)));
    accept(&mut w, 0, low(after("j-4", 1, &["j-3"])));
    let last = JobSpec {
        priority: JobPriority::High,
        deadline_s: Some(60.0),
        ..after("j-5", 1, &["j-4"])
    };
    accept(&mut w, 0, last);
    let first = |w: &World| phase(w, "j-3", JobPhase::Done) || phase(w, "j-2", JobPhase::Done);
    w.until(40_000, "one of them", first);
    assert!(phase(&w, "j-3", JobPhase::Done), "the pipeline goes first");
    w.until(60_000, "all", |w| {
        phase(w, "j-5", JobPhase::Done) && phase(w, "j-2", JobPhase::Done)
    });
}

fn copy_of(jobs: &[(JobSpec, u64)]) -> StateCache {
    let mut cache = StateCache::default();
    for (i, (spec, at)) in jobs.iter().enumerate() {
        let record = JobRecord {
            phase: JobPhase::Open,
            tasks: spec.tasks,
            chunk: 10,
            at: *at,
            ended: 0,
            spec: Some(Box::new(spec.clone())),
        };
        cache.put(Key::Job(spec.id.clone()), i as u64 + 1, Record::Job(record));
    }
    cache
}

#[test]
fn rank_and_deadline_are_passed_upstream_by_every_way() {
    let last = JobSpec {
        priority: JobPriority::High,
        deadline_s: Some(100.0),
        ..after("j-4", 1, &["j-2", "j-3"])
    };
    let slow = JobSpec {
        estimate_s: 50.0,
        ..after("j-3", 1, &["j-1"])
    };
    let quick = after("j-2", 1, &["j-1"]);
    let cache = copy_of(&[
        (job("j-1", 1), 0),
        (quick, 1_000),
        (slow, 2_000),
        (last, 3_000),
    ]);
    let pulls = dependencies::pulls(&cache, &|_, spec| dependencies::least_run_ms(spec));
    // Of 5 and 50 s that a job is estimated to run, six tenths must do.
    let due = |id: &str| pulls[id].due.unwrap();
    assert_eq!((due("j-2"), due("j-3")), (100_000, 100_000));
    assert_eq!(due("j-1"), 70_000);
    assert!(pulls.values().all(|p| p.priority == JobPriority::High));
    assert!(!pulls.contains_key("j-4"), "nothing needs the last");
}

#[test]
fn records_in_a_circle_are_not_served_and_do_no_harm() {
    // Users can't make one; were it on record all the same, nothing may go round for ever.
    let mut cache = copy_of(&[
        (after("j-1", 1, &["j-3"]), 0),
        (after("j-2", 1, &["j-1"]), 0),
        (after("j-3", 1, &["j-2"]), 0),
        (after("j-4", 1, &["j-3"]), 0),
    ]);
    assert!(cache.blocked("j-1") && cache.waiting_jobs().next().is_none());
    assert!(
        !dependencies::pulls(&cache, &|_, spec| dependencies::least_run_ms(spec))
            .contains_key("j-2")
    );
    let over = cache.job("j-1").unwrap().over(JobPhase::Cancelled, 9);
    cache.put(Key::Job("j-1".into()), 9, Record::Job(over));
    assert!(cache.doomed("j-2") && cache.doomed("j-3") && cache.doomed("j-4"));
}
