//! The checker reports each violation of an invariant and nothing else.

mod common;

use glenmount_loadtest::invariants::{Invariant, InvariantChecker, Placement};
use glenmount_loadtest::protocol::jobs::{JobStatus, Submission, TaskId};
use std::sync::Arc;

const CANCEL_WITHIN_S: f64 = 20.0;
const CPU_LIMIT: f64 = 4.0;
const JOB: &str = "j-000001";

fn submission(tasks: u32) -> Submission {
    common::submission(JOB, tasks, 1.0)
}

fn checker(submission: Submission) -> InvariantChecker {
    let mut checker = InvariantChecker::new(CANCEL_WITHIN_S, CPU_LIMIT);
    checker.job_submitted(Arc::new(submission), 0);
    checker.job_accepted(JOB, 1);
    checker
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB.into(),
        index,
    }
}

fn placement(worker: &str, zone: &str) -> Placement {
    Placement {
        worker: worker.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn violated(checker: &InvariantChecker) -> Vec<Invariant> {
    checker
        .violations()
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn a_run_without_a_violation_reports_none() {
    let mut checker = checker(submission(2));
    for index in 0..2 {
        checker.task_started(&task(index), &placement("n-1", "a"), 10);
        checker.task_ended(&task(index), "n-1", true);
    }
    checker.job_status_answered(JOB, JobStatus::Done, 20, 21);
    checker.job_status_answered(JOB, JobStatus::Done, 30, 31);
    checker.job_not_found("j-000009", 30, 31);
    checker.check_cancelled_jobs(100_000);
    assert_eq!(violated(&checker), []);
}

#[test]
fn a_task_on_two_workers_is_a_duplicate_execution() {
    let mut checker = checker(submission(1));
    checker.task_started(&task(0), &placement("n-1", "a"), 10);
    checker.task_started(&task(0), &placement("n-2", "a"), 11);
    assert_eq!(violated(&checker), [Invariant::DuplicateExecution]);
}

#[test]
fn a_team_above_its_limit_exceeds_its_quota() {
    let mut checker = checker(submission(9));
    for index in 0..4 {
        checker.task_started(&task(index), &placement("n-1", "a"), 10);
    }
    assert_eq!(violated(&checker), []);
    checker.task_ended(&task(0), "n-1", false);
    checker.task_started(&task(4), &placement("n-1", "a"), 11);
    assert_eq!(violated(&checker), []);
    checker.task_started(&task(5), &placement("n-1", "a"), 12);
    assert_eq!(violated(&checker), [Invariant::QuotaExceeded]);
}

#[test]
fn a_lowered_limit_holds_once_earlier_assignments_have_started() {
    let mut checker = checker(submission(9));
    checker.task_started(&task(0), &placement("n-1", "a"), 10);
    checker.quota_limit_changed("t", 1.0, 1_000);
    checker.task_started(&task(1), &placement("n-1", "a"), 2_000);
    assert_eq!(violated(&checker), []);
    checker.task_started(&task(2), &placement("n-1", "a"), 11_001);
    assert_eq!(violated(&checker), [Invariant::QuotaExceeded]);
}

#[test]
fn a_start_at_a_disallowed_placement_is_a_violation() {
    let violations_of = |change: fn(&mut Submission), placements: &[Placement]| {
        let mut job = submission(4);
        change(&mut job);
        let mut checker = checker(job);
        for (index, placement) in placements.iter().enumerate() {
            checker.task_started(&task(index as u32), placement, 10);
        }
        violated(&checker)
    };
    let spot = Placement {
        spot: true,
        ..placement("n-1", "a")
    };
    let expected = [Invariant::PlacementConstraint];
    assert_eq!(violations_of(|_| {}, &[spot]), expected);
    assert_eq!(
        violations_of(|job| job.zone = Some("b".into()), &[placement("n-1", "a")]),
        expected
    );
    let other_type = |job: &mut Submission| job.machine_types = Some(vec!["other".into()]);
    assert_eq!(
        violations_of(other_type, &[placement("n-1", "a")]),
        expected
    );
    let different_zones = [placement("n-1", "a"), placement("n-2", "b")];
    assert_eq!(
        violations_of(|job| job.zone_affinity = true, &different_zones),
        expected
    );
    let same_zone = [
        placement("n-1", "a"),
        placement("n-2", "a"),
        placement("n-3", "a"),
    ];
    assert_eq!(
        violations_of(|job| job.topology_spread = true, &same_zone),
        expected
    );
    assert_eq!(
        violations_of(|job| job.topology_spread = true, &same_zone[..2]),
        []
    );
}

#[test]
fn a_task_that_outlives_its_cancelled_job_is_a_violation() {
    let overdue_ms = (CANCEL_WITHIN_S * 1_000.0) as u64 + 200;
    let mut still_running = checker(submission(2));
    still_running.task_started(&task(0), &placement("n-1", "a"), 10);
    still_running.cancellation_requested(JOB);
    still_running.job_status_answered(JOB, JobStatus::Aborted, 50, 100);
    still_running.check_cancelled_jobs(overdue_ms - 200);
    assert_eq!(violated(&still_running), []);
    still_running.check_cancelled_jobs(overdue_ms);
    assert_eq!(violated(&still_running), [Invariant::RunAfterCancellation]);

    let mut started = checker(submission(2));
    started.cancellation_requested(JOB);
    started.job_status_answered(JOB, JobStatus::Aborted, 50, 100);
    started.task_started(&task(1), &placement("n-1", "a"), overdue_ms);
    assert_eq!(violated(&started), [Invariant::RunAfterCancellation]);
}

#[test]
fn an_accepted_job_that_is_unknown_rejected_or_silent_is_lost() {
    let mut unknown = checker(submission(1));
    unknown.job_not_found(JOB, 0, 5);
    assert_eq!(violated(&unknown), []);
    unknown.job_not_found(JOB, 5, 6);
    assert_eq!(violated(&unknown), [Invariant::JobLost]);

    let mut rejected = checker(submission(1));
    rejected.job_rejected(JOB, 5);
    assert_eq!(violated(&rejected), [Invariant::JobLost]);

    let mut unanswered = checker(submission(1));
    for at_ms in 0..100 {
        unanswered.job_not_found("j-000009", at_ms, at_ms);
    }
    unanswered.poll_unanswered(JOB, 60_000);
    assert_eq!(violated(&unanswered), []);
    unanswered.poll_unanswered(JOB, 95_000);
    assert_eq!(violated(&unanswered), [Invariant::JobLost]);
}

#[test]
fn a_job_that_nobody_submitted_is_unknown() {
    let mut checker = checker(submission(1));
    checker.job_status_answered("j-000009", JobStatus::Pending, 5, 6);
    assert_eq!(violated(&checker), [Invariant::UnknownJob]);
}

#[test]
fn a_job_done_before_all_its_tasks_is_a_violation() {
    let mut checker = checker(submission(2));
    checker.task_started(&task(0), &placement("n-1", "a"), 10);
    checker.task_ended(&task(0), "n-1", true);
    checker.task_started(&task(1), &placement("n-1", "a"), 10);
    checker.task_ended(&task(1), "n-1", false);
    checker.job_status_answered(JOB, JobStatus::Done, 20, 21);
    assert_eq!(violated(&checker), [Invariant::IncompleteJobDone]);
}

#[test]
fn a_final_status_that_changes_or_was_not_requested_is_a_violation() {
    let mut changed = checker(submission(1));
    changed.task_started(&task(0), &placement("n-1", "a"), 10);
    changed.task_ended(&task(0), "n-1", true);
    changed.job_status_answered(JOB, JobStatus::Done, 20, 21);
    changed.job_status_answered(JOB, JobStatus::Running, 20, 22);
    assert_eq!(
        violated(&changed),
        [],
        "the request was sent before the final answer"
    );
    changed.job_status_answered(JOB, JobStatus::Running, 22, 23);
    assert_eq!(violated(&changed), [Invariant::FinalStatusChanged]);

    let mut unrequested = checker(submission(1));
    unrequested.job_status_answered(JOB, JobStatus::Aborted, 20, 21);
    assert_eq!(violated(&unrequested), [Invariant::FinalStatusChanged]);
}
