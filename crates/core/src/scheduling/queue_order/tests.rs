//! Tests of `queue_order`.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn job(work_s: u64, due_s: u64) -> QueuedJob {
    QueuedJob {
        cpu_work: cpu_work(1, 1_000, work_s * 1_000),
        tasks: 1,
        team: 0,
        due: Some(due_s * 1_000),
        next_due: None,
        is_firm: false,
    }
}

fn processors(cpus: u64) -> Capacity {
    Capacity {
        cpus: cpus * 1_000,
        ..Capacity::default()
    }
}

fn kept(places: &[QueuePlace]) -> usize {
    places
        .iter()
        .filter(|p| **p != QueuePlace::Deferred)
        .count()
}

/// Whether a set of jobs can all be done when due, one after another on all processors.
fn feasible(jobs: &[&QueuedJob], cpus: u64) -> bool {
    let mut jobs: Vec<&&QueuedJob> = jobs.iter().collect();
    jobs.sort_by_key(|j| j.due);
    let mut sum = 0;
    jobs.iter().all(|j| {
        sum += j.cpu_work;
        sum <= u128::from(cpus * 1_000) * u128::from(j.due.unwrap())
    })
}

#[test]
fn nothing_is_deferred_while_all_fits() {
    let jobs: Vec<QueuedJob> = (1..20).map(|i| job(10, i * 10)).collect();
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(kept(&places), jobs.len());
    assert_eq!(places[3], QueuePlace::Due(40_000));
}

/// A burst of ten times of one class: served by when they were due, 2 of 10 were done in time.
#[test]
fn a_huge_job_is_deferred_for_the_many_that_fit() {
    let mut jobs = vec![job(100, 100)];
    jobs.extend((0..10).map(|_| job(10, 105)));
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(places[0], QueuePlace::Deferred);
    assert_eq!(kept(&places), 10);
}

/// As many are kept as any choice could keep.
#[test]
fn no_choice_keeps_more() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..300 {
        let n = rng.gen_range(1..10);
        let jobs: Vec<QueuedJob> = (0..n)
            .map(|_| job(rng.gen_range(1..60), rng.gen_range(1..100)))
            .collect();
        let places = places(&jobs, &processors(2), 0);
        let best = (0..1_u32 << n)
            .filter_map(|set| {
                let chosen: Vec<&QueuedJob> = (jobs.iter().enumerate())
                    .filter(|(i, _)| set >> i & 1 == 1)
                    .map(|(_, j)| j)
                    .collect();
                feasible(&chosen, 2).then_some(chosen.len())
            })
            .max();
        assert_eq!(Some(kept(&places)), best, "{jobs:?}");
    }
}

#[test]
fn where_changes_are_short_the_job_of_many_short_tasks_is_deferred() {
    let many = QueuedJob {
        tasks: 300,
        ..job(30, 100)
    };
    let few = QueuedJob {
        tasks: 3,
        ..job(60, 101)
    };
    let jobs = vec![many, few.clone(), few];
    let capacity = Capacity {
        tasks_per_s: 3.0,
        ..processors(100)
    };
    let places = places(&jobs, &capacity, 0);
    assert_eq!((places[0], kept(&places)), (QueuePlace::Deferred, 2));
    let enough = Capacity {
        tasks_per_s: 100.0,
        ..processors(100)
    };
    assert_eq!(kept(&super::places(&jobs, &enough, 0)), 3);
}

#[test]
fn what_runs_and_higher_priorities_come_before() {
    let jobs = vec![job(50, 100), job(50, 100)];
    let capacity = Capacity {
        work_ahead: cpu_work(1, 1_000, 40_000),
        ..processors(1)
    };
    assert_eq!(kept(&places(&jobs, &capacity, 0)), 1);
}

#[test]
fn a_team_at_its_limit_defers_its_own_jobs_only() {
    let mut jobs: Vec<QueuedJob> = (0..4).map(|_| job(50, 100)).collect();
    jobs.extend((0..4).map(|_| QueuedJob {
        team: 1,
        ..job(50, 100)
    }));
    let capacity = Capacity {
        team_limits: vec![1_000, 0],
        ..processors(10)
    };
    let places = places(&jobs, &capacity, 0);
    assert_eq!((kept(&places[..4]), kept(&places[4..])), (2, 4));
}

#[test]
fn what_misses_its_first_goal_may_meet_the_next() {
    let mut jobs: Vec<QueuedJob> = (0..4).map(|_| job(50, 100)).collect();
    for job in &mut jobs {
        job.next_due = Some(180_000);
    }
    let places = places(&jobs, &processors(1), 0);
    let due = |at| places.iter().filter(|p| **p == QueuePlace::Due(at)).count();
    assert_eq!((due(100_000), due(180_000), kept(&places)), (2, 1, 3));
}

#[test]
fn what_has_just_come_within_a_guarantee_is_never_deferred() {
    let mut jobs = vec![job(90, 100), job(50, 100)];
    jobs[0].is_firm = true;
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(places, [QueuePlace::Due(100_000), QueuePlace::Deferred]);
}
