//! Requests of users: submissions, repeats, status and cancellation, and that no answer goes back behind an earlier
//! one.

use crate::common::{is_done, is_over, started};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobSpec, JobState, Resources};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, limited_team, service, FaultRates, Overlaps, Simulation};

/// What else happens while users look closely.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    SlowAnswers,
    LostAnswers,
    LateWrites,
    NodesEnd,
    StandsStill,
    RefusedAlone,
}

#[test]
fn a_job_runs_from_submission_to_completion() {
    let mut sim = started(1, 3, 2);
    let r = sim.submit(0, job("j-1", 4));
    assert_eq!(
        sim.await_answer(r),
        UserReply::Accepted { job: "j-1".into() }
    );
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.run(100);
    for n in 0..3 {
        let r = sim.status(n, "j-1");
        assert!(matches!(
            sim.await_answer(r),
            UserReply::Status {
                state: JobState::Done,
                done: 4,
                ..
            }
        ));
    }
    sim.run(3_000);
    sim.check_records();
    assert!(
        sim.workers.values().all(|worker| worker.tasks.is_empty()),
        "forgotten at the workers"
    );
}

#[test]
fn a_repeated_submission_is_idempotent() {
    let mut sim = started(2, 2, 2);
    let (a, b) = (sim.submit(0, job("j-1", 1)), sim.submit(1, job("j-1", 1)));
    let (a, b) = (sim.await_answer(a), sim.await_answer(b));
    let fresh = |r: &UserReply| matches!(r, UserReply::Accepted { .. });
    assert!(fresh(&a) != fresh(&b), "one of them was first: {a:?} {b:?}");
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    let r = sim.submit(1, job("j-1", 1));
    assert!(matches!(
        sim.await_answer(r),
        UserReply::Status {
            state: JobState::Done,
            ..
        }
    ));
    assert_eq!(sim.metrics.starts, 1);
}

#[test]
fn infeasible_jobs_are_rejected_and_unknown_jobs_are_not_found() {
    let mut sim = started(3, 2, 1);
    let mut unknown_team = job("j-1", 1);
    unknown_team.team = "green".into();
    let mut huge = job("j-2", 1);
    huge.resources.cpus = 99_000;
    let mut over = service("j-3", 7);
    over.team = "blue".into();
    for spec in [unknown_team, huge, over] {
        let r = sim.submit(0, spec.clone());
        assert!(
            matches!(sim.await_answer(r), UserReply::Rejected(_)),
            "{}",
            spec.id
        );
    }
    let r = sim.status(1, "j-9");
    assert_eq!(sim.await_answer(r), UserReply::NotFound);
    let r = sim.cancel(1, "j-9");
    assert_eq!(sim.await_answer(r), UserReply::NotFound);
}

#[test]
fn a_status_is_never_older_than_an_answer_of_another_controller() {
    // The watch of controller 1 is stalled while controller 0 accepts and cancels: controller 1 must not answer
    // from its old copy, neither 404 nor running.
    let mut sim = started(4, 2, 2);
    sim.controllers[1].cut_from_state = true;
    let r = sim.submit(0, job("j-1", 1));
    sim.await_answer(r);
    let r = sim.status(1, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    sim.controllers[1].cut_from_state = false;
    sim.run(3_000);
    let r = sim.status(1, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::Status { .. }));
}

/// A cancellation, a question, a repeated submission at every few milliseconds around the end of a job's last
/// task, with no other fault.
#[test]
fn requests_at_the_completion_of_the_last_task_are_consistent() {
    let (mut done, mut cancelled) = (0, 0);
    for what in 0..3 {
        let mut sim = Simulation::new(3_200 + what, 3, 24);
        sim.run(9_000);
        sim.follow_up_requests = true;
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 1_000);
        for j in 0..60_u64 {
            let early = j * 10;
            let id = format!("j-{j}");
            let r = sim.submit(j as usize % 3, job(&id, 1 + j as u32 % 2));
            sim.await_answer(r);
            // Some are called off as soon as they are accepted.
            let begun =
                |sim: &Simulation| sim.metrics.first_run_ms.contains_key(&id) || is_over(sim, &id);
            sim.run_until(20_000, "begins", begun);
            sim.run(700 + early);
            for n in 0..3 {
                match what {
                    0 => sim.cancel(n, &id),
                    1 => sim.status(n, &id),
                    _ => sim.submit(n, job(&id, 1 + j as u32 % 2)),
                };
                sim.run(1);
            }
            sim.run_until(20_000, "over", |sim| is_over(sim, &id));
            for n in 0..3 {
                // Cancelled is told when nothing is left of it.
                let from = sim.now_ms;
                loop {
                    let r = sim.status(n, &id);
                    let reply = sim.await_answer(r);
                    let ended = [JobState::Done, JobState::Cancelled];
                    if matches!(&reply, UserReply::Status { state, .. } if ended.contains(state)) {
                        break;
                    }
                    assert!(sim.now_ms < from + 5_000, "{id}: {reply:?}");
                    sim.run(100);
                }
            }
            done += u32::from(sim.user_views[&id].completed);
            cancelled += u32::from(sim.user_views[&id].cancelled_ms.is_some());
        }
        sim.run(20_000);
        sim.check_records();
    }
    assert_eq!(
        done + cancelled,
        180,
        "each is told one of the two, everywhere"
    );
    assert!(
        done > 100 && cancelled > 5,
        "{done} done, {cancelled} cancelled"
    );
}

/// Odd requests at every controller: repeats of unfinished jobs say their state, cancelling what is done says done,
/// what can never run is refused and stays unknown, whatever else happens.
#[test]
fn unusual_requests_get_the_answers_of_the_protocol() {
    for seed in 0..4_u64 {
        let mut sim = Simulation::new(3_800 + seed, 3, 8);
        sim.run(9_000);
        sim.workload.run_ms = 3_000;
        let r = sim.submit(0, job("j-1", 2));
        sim.await_answer(r);
        let r = sim.submit(0, job("j-2", 1));
        sim.await_answer(r);
        sim.run_until(20_000, "done", |sim| {
            sim.job_phase("j-2") == Some(JobPhase::Done)
        });
        sim.run(100);
        if seed % 2 == 1 {
            sim.network.faults.transaction_answer_lost = 0.3;
            sim.crash(2, 300);
        }
        let done = JobState::Done;
        for n in 0..2 {
            let r = sim.cancel(n, "j-2");
            let reply = sim.await_answer(r);
            assert!(matches!(reply, UserReply::Cancelled { state, .. } if state == done));
            let r = sim.submit(n, job("j-2", 1));
            assert!(
                matches!(sim.await_answer(r), UserReply::Status { state, .. } if state == done)
            );
            let nobody = JobSpec {
                team: "green".into(),
                ..job("j-90", 1)
            };
            let huge = JobSpec {
                resources: Resources {
                    cpus: 64_000,
                    gpus: 0,
                    ram: 1_000,
                },
                ..job("j-91", 1)
            };
            let typeless = JobSpec {
                machine_types: Some(vec!["other".into()]),
                ..job("j-92", 1)
            };
            let elsewhere = JobSpec {
                zone: Some("north".into()),
                ..job("j-93", 1)
            };
            let beyond = limited_team(service("j-94", 7));
            for spec in [nobody, huge, typeless, elsewhere, beyond] {
                let id = spec.id.clone();
                let r = sim.submit(n, spec);
                assert!(
                    matches!(sim.await_answer(r), UserReply::Rejected(_)),
                    "{id}"
                );
                let r = sim.status(n, &id);
                assert!(matches!(sim.await_answer(r), UserReply::NotFound), "{id}");
                let r = sim.cancel(n, &id);
                assert!(matches!(sim.await_answer(r), UserReply::NotFound), "{id}");
            }
            // Within the limit, as far as that goes: an array by its single tasks.
            let r = sim.submit(n, limited_team(job(&format!("j-95{n}"), 7)));
            let reply = sim.await_answer(r);
            let taken = matches!(reply, UserReply::Accepted { .. } | UserReply::Status { .. });
            assert!(taken, "{reply:?}");
        }
        sim.run_until(120_000, "over", |sim| {
            is_over(sim, "j-950") && is_over(sim, "j-951")
        });
        sim.check_records();
    }
}

/// Users ask at all controllers, again and again within milliseconds, and repeat the submission, right after a
/// job was accepted, ended or confirmed as cancelled; some cancel at once, or at the very end. The simulation
/// holds each answer, at the moment it is given, against all that any controller gave before.
#[test]
fn no_controller_gives_an_older_answer() {
    let all = [
        Beside::Nothing,
        Beside::SlowAnswers,
        Beside::LostAnswers,
        Beside::LateWrites,
        Beside::NodesEnd,
        Beside::StandsStill,
        Beside::RefusedAlone,
    ];
    for (i, beside) in all.into_iter().enumerate() {
        let (mut given, mut overlaps) = (0, Overlaps::default());
        for seed in 0..4 {
            let mut sim = Simulation::new(2_000 + 10 * i as u64 + seed, 3, 10);
            sim.run(9_000);
            (
                sim.workload.run_ms,
                sim.follow_up_requests,
                sim.cancel_at_completion,
            ) = (1_500, true, 0.4);
            match beside {
                Beside::SlowAnswers => sim.network.faults.answer_slow = 0.5,
                Beside::LostAnswers => sim.network.faults.transaction_answer_lost = 0.3,
                Beside::LateWrites => sim.network.faults.transaction_late = 0.3,
                _ => {}
            }
            for j in 0..40 {
                let id = format!("j-{j}");
                sim.submit(j % 3, job(&id, 1 + j as u32 % 3));
                sim.run(200);
                if j % 5 == 4 {
                    // All controllers are asked to cancel, and the submission is repeated at once.
                    for n in 0..3 {
                        sim.cancel(n, &id);
                        sim.submit(n, job(&id, 1 + j as u32 % 3));
                    }
                }
                match (beside, j % 10) {
                    (Beside::NodesEnd, 5) => sim.crash(j / 10 % 3, 300),
                    (Beside::StandsStill, 5) => sim.pause(j / 10 % 3, 600 + 900 * (j as u64 / 10)),
                    (Beside::RefusedAlone, 5) => {
                        sim.controllers[j / 10 % 3].refused_by_state = true
                    }
                    (Beside::RefusedAlone, 9) => {
                        sim.controllers[j / 10 % 3].refused_by_state = false
                    }
                    _ => {}
                }
                sim.run(200);
            }
            sim.heal_all();
            sim.run_until(90_000, "all over", |sim| {
                (0..40).all(|j| {
                    is_over(sim, &format!("j-{j}")) || sim.job_phase(&format!("j-{j}")).is_none()
                })
            });
            sim.network.faults = FaultRates::default();
            // Each is asked about once more, at all controllers.
            for j in 0..40 {
                for n in 0..3 {
                    sim.status(n, &format!("j-{j}"));
                }
                sim.run(20);
            }
            sim.run(30_000);
            sim.check_records();
            let done = sim.user_views.values().filter(|t| t.completed).count();
            let cancelled = sim.user_views.values().filter(|t| t.cancelled_ms.is_some());
            let cancelled = cancelled.count();
            given += sim.answers.len();
            overlaps.answers += sim.metrics.overlaps.answers;
            overlaps.longest_ms = overlaps.longest_ms.max(sim.metrics.overlaps.longest_ms);
            let told = format!("{beside:?}: {done} done, {cancelled} cancelled");
            assert!(
                done >= 4 && cancelled >= 6 && done + cancelled >= 35,
                "{told}"
            );
        }
        eprintln!("{beside:?}: of {given} answers {overlaps:?}");
    }
}
