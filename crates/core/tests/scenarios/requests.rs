//! Requests of users: submissions, repeats, status and cancellation. No answer may be older than an earlier one.

use crate::common::{is_done, is_over, started_cluster};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobSpec, JobState, Resources};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, limited_team, service, FaultRates, Overlaps, Simulation};

/// A fault that occurs while users send requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConcurrentFault {
    None,
    SlowAnswers,
    LostAnswers,
    LateTransactions,
    ControllersCrash,
    ControllersPause,
    StateRefusesOne,
}

#[test]
fn a_job_runs_from_submission_to_completion() {
    let mut sim = started_cluster(1, 3, 2);
    let request = sim.submit(0, job("j-1", 4));
    assert_eq!(
        sim.await_answer(request),
        UserReply::Accepted { job: "j-1".into() }
    );
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.run(100);
    for n in 0..3 {
        let request = sim.status(n, "j-1");
        assert!(matches!(
            sim.await_answer(request),
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
        "the workers have dropped the ended tasks"
    );
}

#[test]
fn a_repeated_submission_is_idempotent() {
    let mut sim = started_cluster(2, 2, 2);
    let (first, second) = (sim.submit(0, job("j-1", 1)), sim.submit(1, job("j-1", 1)));
    let (first, second) = (sim.await_answer(first), sim.await_answer(second));
    let is_new = |r: &UserReply| matches!(r, UserReply::Accepted { .. });
    assert!(
        is_new(&first) != is_new(&second),
        "exactly one submission is new: {first:?} {second:?}"
    );
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    let request = sim.submit(1, job("j-1", 1));
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Status {
            state: JobState::Done,
            ..
        }
    ));
    assert_eq!(sim.metrics.starts, 1);
}

#[test]
fn infeasible_jobs_are_rejected_and_unknown_jobs_are_not_found() {
    let mut sim = started_cluster(3, 2, 1);
    let mut unknown_team = job("j-1", 1);
    unknown_team.team = "green".into();
    let mut huge = job("j-2", 1);
    huge.resources.cpus = 99_000;
    let mut over_limit = service("j-3", 7);
    over_limit.team = "blue".into();
    for spec in [unknown_team, huge, over_limit] {
        let request = sim.submit(0, spec.clone());
        assert!(
            matches!(sim.await_answer(request), UserReply::Rejected(_)),
            "{}",
            spec.id
        );
    }
    let request = sim.status(1, "j-9");
    assert_eq!(sim.await_answer(request), UserReply::NotFound);
    let request = sim.cancel(1, "j-9");
    assert_eq!(sim.await_answer(request), UserReply::NotFound);
}

#[test]
fn a_status_is_never_older_than_an_answer_of_another_controller() {
    // The watch of controller 1 is stalled while controller 0 accepts a job. Controller 1 must not answer from its
    // stale cache, with "not found" or any state.
    let mut sim = started_cluster(4, 2, 2);
    sim.controllers[1].cut_from_state = true;
    let request = sim.submit(0, job("j-1", 1));
    sim.await_answer(request);
    let request = sim.status(1, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
    sim.controllers[1].cut_from_state = false;
    sim.run(3_000);
    let request = sim.status(1, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Status { .. }
    ));
}

/// Users cancel a job, request its status or repeat its submission every few milliseconds around the end of its last
/// task, without other faults. All controllers must then give the same final answer.
#[test]
fn requests_at_the_completion_of_the_last_task_are_consistent() {
    let (mut done, mut cancelled) = (0, 0);
    for request_kind in 0..3 {
        let mut sim = Simulation::new(3_200 + request_kind, 3, 24);
        sim.run(9_000);
        sim.follow_up_requests = true;
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 1_000);
        for j in 0..60_u64 {
            let offset_ms = j * 10;
            let id = format!("j-{j}");
            let request = sim.submit(j as usize % 3, job(&id, 1 + j as u32 % 2));
            sim.await_answer(request);
            // A job may end before its first start is observed.
            let has_started =
                |sim: &Simulation| sim.metrics.first_run_ms.contains_key(&id) || is_over(sim, &id);
            sim.run_until(20_000, "starts", has_started);
            sim.run(700 + offset_ms);
            for n in 0..3 {
                match request_kind {
                    0 => sim.cancel(n, &id),
                    1 => sim.status(n, &id),
                    _ => sim.submit(n, job(&id, 1 + j as u32 % 2)),
                };
                sim.run(1);
            }
            sim.run_until(20_000, "over", |sim| is_over(sim, &id));
            for n in 0..3 {
                // A cancellation is confirmed only once no task of the job is left.
                let start_ms = sim.now_ms;
                loop {
                    let request = sim.status(n, &id);
                    let reply = sim.await_answer(request);
                    let ended = [JobState::Done, JobState::Cancelled];
                    if matches!(&reply, UserReply::Status { state, .. } if ended.contains(state)) {
                        break;
                    }
                    assert!(sim.now_ms < start_ms + 5_000, "{id}: {reply:?}");
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
        "each job is confirmed as done or cancelled"
    );
    assert!(
        done > 100 && cancelled > 5,
        "{done} done, {cancelled} cancelled"
    );
}

/// Unusual requests at several controllers: a repeated submission returns the state of the job, cancelling a done job
/// returns done, and an infeasible job is rejected and stays unknown, also while answers are lost and a controller
/// restarts.
#[test]
fn unusual_requests_get_the_answers_of_the_protocol() {
    for seed in 0..4_u64 {
        let mut sim = Simulation::new(3_800 + seed, 3, 8);
        sim.run(9_000);
        sim.workload.run_ms = 3_000;
        let request = sim.submit(0, job("j-1", 2));
        sim.await_answer(request);
        let request = sim.submit(0, job("j-2", 1));
        sim.await_answer(request);
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
            let request = sim.cancel(n, "j-2");
            let reply = sim.await_answer(request);
            assert!(matches!(reply, UserReply::Cancelled { state, .. } if state == done));
            let request = sim.submit(n, job("j-2", 1));
            assert!(
                matches!(sim.await_answer(request), UserReply::Status { state, .. } if state == done)
            );
            let unknown_team = JobSpec {
                team: "green".into(),
                ..job("j-90", 1)
            };
            let huge = JobSpec {
                resources: Resources {
                    cpus: 64_000,
                    gpus: 0,
                    ram: 1_000,
                    ..Resources::default()
                },
                ..job("j-91", 1)
            };
            let unknown_type = JobSpec {
                machine_types: Some(vec!["other".into()]),
                ..job("j-92", 1)
            };
            let unknown_zone = JobSpec {
                zone: Some("north".into()),
                ..job("j-93", 1)
            };
            let over_limit = limited_team(service("j-94", 7));
            for spec in [unknown_team, huge, unknown_type, unknown_zone, over_limit] {
                let id = spec.id.clone();
                let request = sim.submit(n, spec);
                assert!(
                    matches!(sim.await_answer(request), UserReply::Rejected(_)),
                    "{id}"
                );
                let request = sim.status(n, &id);
                assert!(
                    matches!(sim.await_answer(request), UserReply::NotFound),
                    "{id}"
                );
                let request = sim.cancel(n, &id);
                assert!(
                    matches!(sim.await_answer(request), UserReply::NotFound),
                    "{id}"
                );
            }
            // An array above the team's limit is accepted, since each of its tasks fits.
            let request = sim.submit(n, limited_team(job(&format!("j-95{n}"), 7)));
            let reply = sim.await_answer(request);
            let is_accepted =
                matches!(reply, UserReply::Accepted { .. } | UserReply::Status { .. });
            assert!(is_accepted, "{reply:?}");
        }
        sim.run_until(120_000, "over", |sim| {
            is_over(sim, "j-950") && is_over(sim, "j-951")
        });
        sim.check_records();
    }
}

/// Users request the status at all controllers within milliseconds and repeat the submission, right after a job is
/// accepted, ends or is confirmed as cancelled; some cancel at once or at the end of the last task. The simulation
/// compares each answer with all earlier answers of any controller.
#[test]
fn no_controller_gives_an_older_answer() {
    let all_faults = [
        ConcurrentFault::None,
        ConcurrentFault::SlowAnswers,
        ConcurrentFault::LostAnswers,
        ConcurrentFault::LateTransactions,
        ConcurrentFault::ControllersCrash,
        ConcurrentFault::ControllersPause,
        ConcurrentFault::StateRefusesOne,
    ];
    for (i, fault) in all_faults.into_iter().enumerate() {
        let (mut answers, mut overlaps) = (0, Overlaps::default());
        for seed in 0..4 {
            let mut sim = Simulation::new(2_000 + 10 * i as u64 + seed, 3, 10);
            sim.run(9_000);
            (
                sim.workload.run_ms,
                sim.follow_up_requests,
                sim.cancel_at_completion,
            ) = (1_500, true, 0.4);
            match fault {
                ConcurrentFault::SlowAnswers => sim.network.faults.answer_slow = 0.5,
                ConcurrentFault::LostAnswers => sim.network.faults.transaction_answer_lost = 0.3,
                ConcurrentFault::LateTransactions => sim.network.faults.transaction_late = 0.3,
                _ => {}
            }
            for j in 0..40 {
                let id = format!("j-{j}");
                sim.submit(j % 3, job(&id, 1 + j as u32 % 3));
                sim.run(200);
                if j % 5 == 4 {
                    // The user cancels at all controllers and repeats the submission at once.
                    for n in 0..3 {
                        sim.cancel(n, &id);
                        sim.submit(n, job(&id, 1 + j as u32 % 3));
                    }
                }
                match (fault, j % 10) {
                    (ConcurrentFault::ControllersCrash, 5) => sim.crash(j / 10 % 3, 300),
                    (ConcurrentFault::ControllersPause, 5) => {
                        sim.pause(j / 10 % 3, 600 + 900 * (j as u64 / 10))
                    }
                    (ConcurrentFault::StateRefusesOne, 5) => {
                        sim.controllers[j / 10 % 3].refused_by_state = true
                    }
                    (ConcurrentFault::StateRefusesOne, 9) => {
                        sim.controllers[j / 10 % 3].refused_by_state = false
                    }
                    _ => {}
                }
                sim.run(200);
            }
            sim.heal_all();
            sim.run_until(90_000, "all jobs are over", |sim| {
                (0..40).all(|j| {
                    is_over(sim, &format!("j-{j}")) || sim.job_phase(&format!("j-{j}")).is_none()
                })
            });
            sim.network.faults = FaultRates::default();
            // Users request the status of each job once more at all controllers.
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
            answers += sim.answers.len();
            overlaps.answers += sim.metrics.overlaps.answers;
            overlaps.longest_ms = overlaps.longest_ms.max(sim.metrics.overlaps.longest_ms);
            let counts = format!("{fault:?}: {done} done, {cancelled} cancelled");
            assert!(
                done >= 4 && cancelled >= 6 && done + cancelled >= 35,
                "{counts}"
            );
        }
        eprintln!("{fault:?}: of {answers} answers {overlaps:?}");
    }
}
