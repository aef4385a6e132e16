//! Each rule is found broken when it is, and not otherwise.

mod common;

use glenmount_loadtest::invariants::{Place, Rule, Rules};
use glenmount_loadtest::protocol::{Standing, Submission, TaskId};
use std::sync::Arc;

const CANCEL_S: f64 = 20.0;
const CPUS_MAX: f64 = 4.0;
const JOB: &str = "j-000001";

fn submission(tasks: u32) -> Submission {
    common::submission(JOB, tasks, 1.0)
}

fn rules(submission: Submission) -> Rules {
    let mut rules = Rules::new(CANCEL_S, CPUS_MAX);
    rules.submitted(Arc::new(submission), 0);
    rules.accepted(JOB, 1);
    rules
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JOB.into(),
        index,
    }
}

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: machine.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn broken(rules: &Rules) -> Vec<Rule> {
    rules.breaches().iter().map(|breach| breach.rule).collect()
}

#[test]
fn a_day_without_a_breach_shows_none() {
    let mut rules = rules(submission(2));
    for index in 0..2 {
        rules.started(&task(index), &place("n-1", "a"), 10);
        rules.ended(&task(index), "n-1", true);
    }
    rules.told(JOB, Standing::Done, 20, 21);
    rules.told(JOB, Standing::Done, 30, 31);
    rules.unknown("j-000009", 30, 31);
    rules.sweep(100_000);
    assert_eq!(broken(&rules), []);
}

#[test]
fn a_task_on_two_machines_ran_twice() {
    let mut rules = rules(submission(1));
    rules.started(&task(0), &place("n-1", "a"), 10);
    rules.started(&task(0), &place("n-2", "a"), 11);
    assert_eq!(broken(&rules), [Rule::RanTwice]);
}

#[test]
fn a_team_above_its_limit_breaks_quota() {
    let mut rules = rules(submission(9));
    for index in 0..4 {
        rules.started(&task(index), &place("n-1", "a"), 10);
    }
    assert_eq!(broken(&rules), []);
    rules.ended(&task(0), "n-1", false);
    rules.started(&task(4), &place("n-1", "a"), 11);
    assert_eq!(broken(&rules), []);
    rules.started(&task(5), &place("n-1", "a"), 12);
    assert_eq!(broken(&rules), [Rule::Quota]);
}

#[test]
fn a_limit_that_was_lowered_holds_once_what_was_claimed_before_has_started() {
    let mut rules = rules(submission(9));
    rules.started(&task(0), &place("n-1", "a"), 10);
    rules.limit_changed("t", 1.0, 1_000);
    rules.started(&task(1), &place("n-1", "a"), 2_000);
    assert_eq!(broken(&rules), []);
    rules.started(&task(2), &place("n-1", "a"), 11_001);
    assert_eq!(broken(&rules), [Rule::Quota]);
}

#[test]
fn a_start_where_its_job_does_not_allow_it_is_a_wrong_place() {
    let wrong = |change: fn(&mut Submission), on: &[Place]| {
        let mut job = submission(4);
        change(&mut job);
        let mut rules = rules(job);
        for (n, place) in on.iter().enumerate() {
            rules.started(&task(n as u32), place, 10);
        }
        broken(&rules)
    };
    let spot = Place {
        spot: true,
        ..place("n-1", "a")
    };
    let found = [Rule::WrongPlace];
    assert_eq!(wrong(|_| {}, &[spot]), found);
    assert_eq!(
        wrong(|j| j.zone = Some("b".into()), &[place("n-1", "a")]),
        found
    );
    let types = |j: &mut Submission| j.machine_types = Some(vec!["other".into()]);
    assert_eq!(wrong(types, &[place("n-1", "a")]), found);
    let apart = [place("n-1", "a"), place("n-2", "b")];
    assert_eq!(wrong(|j| j.together = true, &apart), found);
    let near = [place("n-1", "a"), place("n-2", "a"), place("n-3", "a")];
    assert_eq!(wrong(|j| j.scatter = true, &near), found);
    assert_eq!(wrong(|j| j.scatter = true, &near[..2]), []);
}

#[test]
fn what_runs_after_its_time_ran_cancelled() {
    let late = (CANCEL_S * 1_000.0) as u64 + 200;
    let mut left = rules(submission(2));
    left.started(&task(0), &place("n-1", "a"), 10);
    left.cancel_asked(JOB);
    left.told(JOB, Standing::Aborted, 50, 100);
    left.sweep(late - 200);
    assert_eq!(broken(&left), []);
    left.sweep(late);
    assert_eq!(broken(&left), [Rule::RanCancelled]);

    let mut started = rules(submission(2));
    started.cancel_asked(JOB);
    started.told(JOB, Standing::Aborted, 50, 100);
    started.started(&task(1), &place("n-1", "a"), late);
    assert_eq!(broken(&started), [Rule::RanCancelled]);
}

#[test]
fn an_accepted_job_that_is_unknown_refused_or_silent_is_forgotten() {
    let mut unknown = rules(submission(1));
    unknown.unknown(JOB, 0, 5);
    assert_eq!(broken(&unknown), []);
    unknown.unknown(JOB, 5, 6);
    assert_eq!(broken(&unknown), [Rule::Forgotten]);

    let mut refused = rules(submission(1));
    refused.refused(JOB, 5);
    assert_eq!(broken(&refused), [Rule::Forgotten]);

    let mut silent = rules(submission(1));
    for at in 0..100 {
        silent.unknown("j-000009", at, at);
    }
    silent.unanswered(JOB, 60_000);
    assert_eq!(broken(&silent), []);
    silent.unanswered(JOB, 95_000);
    assert_eq!(broken(&silent), [Rule::Forgotten]);
}

#[test]
fn a_job_that_nobody_submitted_is_invented() {
    let mut rules = rules(submission(1));
    rules.told("j-000009", Standing::Pending, 5, 6);
    assert_eq!(broken(&rules), [Rule::Invented]);
}

#[test]
fn done_before_all_tasks_are_is_not_done() {
    let mut rules = rules(submission(2));
    rules.started(&task(0), &place("n-1", "a"), 10);
    rules.ended(&task(0), "n-1", true);
    rules.started(&task(1), &place("n-1", "a"), 10);
    rules.ended(&task(1), "n-1", false);
    rules.told(JOB, Standing::Done, 20, 21);
    assert_eq!(broken(&rules), [Rule::NotDone]);
}

#[test]
fn a_final_state_that_changes_or_that_nobody_asked_for_went_back() {
    let mut changed = rules(submission(1));
    changed.started(&task(0), &place("n-1", "a"), 10);
    changed.ended(&task(0), "n-1", true);
    changed.told(JOB, Standing::Done, 20, 21);
    changed.told(JOB, Standing::Running, 20, 22);
    assert_eq!(broken(&changed), [], "the question was older");
    changed.told(JOB, Standing::Running, 22, 23);
    assert_eq!(broken(&changed), [Rule::WentBack]);

    let mut uncalled = rules(submission(1));
    uncalled.told(JOB, Standing::Aborted, 20, 21);
    assert_eq!(broken(&uncalled), [Rule::WentBack]);
}
