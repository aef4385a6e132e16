//! Each rule is found broken when it is, and not otherwise.

mod common;

use glenmount_loadtest::invariants::{Invariant, InvariantChecker, Placement};
use glenmount_loadtest::protocol::jobs::{JobStatus, Submission, TaskId};
use std::sync::Arc;

const CANCEL_S: f64 = 20.0;
const CPUS_MAX: f64 = 4.0;
const JOB: &str = "j-000001";

fn submission(tasks: u32) -> Submission {
    common::submission(JOB, tasks, 1.0)
}

fn invariants(submission: Submission) -> InvariantChecker {
    let mut invariants = InvariantChecker::new(CANCEL_S, CPUS_MAX);
    invariants.job_submitted(Arc::new(submission), 0);
    invariants.job_accepted(JOB, 1);
    invariants
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB.into(),
        index,
    }
}

fn place(worker: &str, zone: &str) -> Placement {
    Placement {
        worker: worker.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn broken(invariants: &InvariantChecker) -> Vec<Invariant> {
    invariants
        .violations()
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn a_day_without_a_breach_shows_none() {
    let mut invariants = invariants(submission(2));
    for index in 0..2 {
        invariants.task_started(&task(index), &place("n-1", "a"), 10);
        invariants.task_ended(&task(index), "n-1", true);
    }
    invariants.job_status_answered(JOB, JobStatus::Done, 20, 21);
    invariants.job_status_answered(JOB, JobStatus::Done, 30, 31);
    invariants.job_not_found("j-000009", 30, 31);
    invariants.check_cancelled_jobs(100_000);
    assert_eq!(broken(&invariants), []);
}

#[test]
fn a_task_on_two_machines_ran_twice() {
    let mut invariants = invariants(submission(1));
    invariants.task_started(&task(0), &place("n-1", "a"), 10);
    invariants.task_started(&task(0), &place("n-2", "a"), 11);
    assert_eq!(broken(&invariants), [Invariant::DuplicateExecution]);
}

#[test]
fn a_team_above_its_limit_breaks_quota() {
    let mut invariants = invariants(submission(9));
    for index in 0..4 {
        invariants.task_started(&task(index), &place("n-1", "a"), 10);
    }
    assert_eq!(broken(&invariants), []);
    invariants.task_ended(&task(0), "n-1", false);
    invariants.task_started(&task(4), &place("n-1", "a"), 11);
    assert_eq!(broken(&invariants), []);
    invariants.task_started(&task(5), &place("n-1", "a"), 12);
    assert_eq!(broken(&invariants), [Invariant::QuotaExceeded]);
}

#[test]
fn a_limit_that_was_lowered_holds_once_what_was_claimed_before_has_started() {
    let mut invariants = invariants(submission(9));
    invariants.task_started(&task(0), &place("n-1", "a"), 10);
    invariants.quota_limit_changed("t", 1.0, 1_000);
    invariants.task_started(&task(1), &place("n-1", "a"), 2_000);
    assert_eq!(broken(&invariants), []);
    invariants.task_started(&task(2), &place("n-1", "a"), 11_001);
    assert_eq!(broken(&invariants), [Invariant::QuotaExceeded]);
}

#[test]
fn a_start_where_its_job_does_not_allow_it_is_a_wrong_place() {
    let wrong = |change: fn(&mut Submission), on: &[Placement]| {
        let mut job = submission(4);
        change(&mut job);
        let mut invariants = invariants(job);
        for (n, place) in on.iter().enumerate() {
            invariants.task_started(&task(n as u32), place, 10);
        }
        broken(&invariants)
    };
    let spot = Placement {
        spot: true,
        ..place("n-1", "a")
    };
    let found = [Invariant::PlacementConstraint];
    assert_eq!(wrong(|_| {}, &[spot]), found);
    assert_eq!(
        wrong(|j| j.zone = Some("b".into()), &[place("n-1", "a")]),
        found
    );
    let types = |j: &mut Submission| j.machine_types = Some(vec!["other".into()]);
    assert_eq!(wrong(types, &[place("n-1", "a")]), found);
    let apart = [place("n-1", "a"), place("n-2", "b")];
    assert_eq!(wrong(|j| j.zone_affinity = true, &apart), found);
    let near = [place("n-1", "a"), place("n-2", "a"), place("n-3", "a")];
    assert_eq!(wrong(|j| j.topology_spread = true, &near), found);
    assert_eq!(wrong(|j| j.topology_spread = true, &near[..2]), []);
}

#[test]
fn what_runs_after_its_time_ran_cancelled() {
    let late = (CANCEL_S * 1_000.0) as u64 + 200;
    let mut left = invariants(submission(2));
    left.task_started(&task(0), &place("n-1", "a"), 10);
    left.cancellation_requested(JOB);
    left.job_status_answered(JOB, JobStatus::Aborted, 50, 100);
    left.check_cancelled_jobs(late - 200);
    assert_eq!(broken(&left), []);
    left.check_cancelled_jobs(late);
    assert_eq!(broken(&left), [Invariant::RunAfterCancellation]);

    let mut started = invariants(submission(2));
    started.cancellation_requested(JOB);
    started.job_status_answered(JOB, JobStatus::Aborted, 50, 100);
    started.task_started(&task(1), &place("n-1", "a"), late);
    assert_eq!(broken(&started), [Invariant::RunAfterCancellation]);
}

#[test]
fn an_accepted_job_that_is_unknown_refused_or_silent_is_forgotten() {
    let mut unknown = invariants(submission(1));
    unknown.job_not_found(JOB, 0, 5);
    assert_eq!(broken(&unknown), []);
    unknown.job_not_found(JOB, 5, 6);
    assert_eq!(broken(&unknown), [Invariant::JobLost]);

    let mut refused = invariants(submission(1));
    refused.job_rejected(JOB, 5);
    assert_eq!(broken(&refused), [Invariant::JobLost]);

    let mut silent = invariants(submission(1));
    for at in 0..100 {
        silent.job_not_found("j-000009", at, at);
    }
    silent.poll_unanswered(JOB, 60_000);
    assert_eq!(broken(&silent), []);
    silent.poll_unanswered(JOB, 95_000);
    assert_eq!(broken(&silent), [Invariant::JobLost]);
}

#[test]
fn a_job_that_nobody_submitted_is_invented() {
    let mut invariants = invariants(submission(1));
    invariants.job_status_answered("j-000009", JobStatus::Pending, 5, 6);
    assert_eq!(broken(&invariants), [Invariant::UnknownJob]);
}

#[test]
fn done_before_all_tasks_are_is_not_done() {
    let mut invariants = invariants(submission(2));
    invariants.task_started(&task(0), &place("n-1", "a"), 10);
    invariants.task_ended(&task(0), "n-1", true);
    invariants.task_started(&task(1), &place("n-1", "a"), 10);
    invariants.task_ended(&task(1), "n-1", false);
    invariants.job_status_answered(JOB, JobStatus::Done, 20, 21);
    assert_eq!(broken(&invariants), [Invariant::IncompleteJobDone]);
}

#[test]
fn a_final_state_that_changes_or_that_nobody_asked_for_went_back() {
    let mut changed = invariants(submission(1));
    changed.task_started(&task(0), &place("n-1", "a"), 10);
    changed.task_ended(&task(0), "n-1", true);
    changed.job_status_answered(JOB, JobStatus::Done, 20, 21);
    changed.job_status_answered(JOB, JobStatus::Running, 20, 22);
    assert_eq!(broken(&changed), [], "the question was older");
    changed.job_status_answered(JOB, JobStatus::Running, 22, 23);
    assert_eq!(broken(&changed), [Invariant::FinalStatusChanged]);

    let mut uncalled = invariants(submission(1));
    uncalled.job_status_answered(JOB, JobStatus::Aborted, 20, 21);
    assert_eq!(broken(&uncalled), [Invariant::FinalStatusChanged]);
}
