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
        is_exempt: false,
    }
}

fn processors(cpus: u64) -> Capacity {
    Capacity {
        cpus: cpus * 1_000,
        ..Capacity::default()
    }
}

fn kept_jobs(places: &[QueuePlace]) -> usize {
    places
        .iter()
        .filter(|p| **p != QueuePlace::Deferred)
        .count()
}

/// Returns whether all jobs of a set can be done by their due times, one after another on all processors.
fn is_feasible(jobs: &[&QueuedJob], cpus: u64) -> bool {
    let mut jobs: Vec<&&QueuedJob> = jobs.iter().collect();
    jobs.sort_by_key(|job| job.due);
    let mut cpu_work = 0;
    jobs.iter().all(|job| {
        cpu_work += job.cpu_work;
        cpu_work <= u128::from(cpus * 1_000) * u128::from(job.due.unwrap())
    })
}

#[test]
fn no_job_is_deferred_while_all_jobs_fit() {
    let jobs: Vec<QueuedJob> = (1..20).map(|i| job(10, i * 10)).collect();
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(kept_jobs(&places), jobs.len());
    assert_eq!(places[3], QueuePlace::Due(40_000));
}

/// A tenfold burst of one class: when served in order of due times alone, only 2 of 10 jobs were done in time.
#[test]
fn large_job_is_deferred_so_that_many_small_jobs_fit() {
    let mut jobs = vec![job(100, 100)];
    jobs.extend((0..10).map(|_| job(10, 105)));
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(places[0], QueuePlace::Deferred);
    assert_eq!(kept_jobs(&places), 10);
}

/// Compares the number of jobs that are not deferred with the best over all subsets of jobs.
#[test]
fn as_many_jobs_as_possible_are_kept() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..300 {
        let job_count = rng.gen_range(1..10);
        let jobs: Vec<QueuedJob> = (0..job_count)
            .map(|_| job(rng.gen_range(1..60), rng.gen_range(1..100)))
            .collect();
        let places = places(&jobs, &processors(2), 0);
        let best = (0..1_u32 << job_count)
            .filter_map(|subset| {
                let chosen: Vec<&QueuedJob> = (jobs.iter().enumerate())
                    .filter(|(i, _)| subset >> i & 1 == 1)
                    .map(|(_, job)| job)
                    .collect();
                is_feasible(&chosen, 2).then_some(chosen.len())
            })
            .max();
        assert_eq!(Some(kept_jobs(&places)), best, "{jobs:?}");
    }
}

#[test]
fn job_with_most_tasks_is_deferred_if_the_task_rate_is_the_bottleneck() {
    let many_tasks = QueuedJob {
        tasks: 300,
        ..job(30, 100)
    };
    let few_tasks = QueuedJob {
        tasks: 3,
        ..job(60, 101)
    };
    let jobs = vec![many_tasks, few_tasks.clone(), few_tasks];
    let capacity = Capacity {
        tasks_per_s: 3.0,
        ..processors(100)
    };
    let places = places(&jobs, &capacity, 0);
    assert_eq!((places[0], kept_jobs(&places)), (QueuePlace::Deferred, 2));
    let sufficient = Capacity {
        tasks_per_s: 100.0,
        ..processors(100)
    };
    assert_eq!(kept_jobs(&super::places(&jobs, &sufficient, 0)), 3);
}

#[test]
fn work_ahead_reduces_the_capacity() {
    let jobs = vec![job(50, 100), job(50, 100)];
    let capacity = Capacity {
        cpu_work_ahead: cpu_work(1, 1_000, 40_000),
        ..processors(1)
    };
    assert_eq!(kept_jobs(&places(&jobs, &capacity, 0)), 1);
}

#[test]
fn team_limit_defers_only_jobs_of_that_team() {
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
    assert_eq!((kept_jobs(&places[..4]), kept_jobs(&places[4..])), (2, 4));
}

#[test]
fn job_that_misses_its_first_goal_may_meet_the_next() {
    let mut jobs: Vec<QueuedJob> = (0..4).map(|_| job(50, 100)).collect();
    for job in &mut jobs {
        job.next_due = Some(180_000);
    }
    let places = places(&jobs, &processors(1), 0);
    let due_at = |at| places.iter().filter(|p| **p == QueuePlace::Due(at)).count();
    assert_eq!(
        (due_at(100_000), due_at(180_000), kept_jobs(&places)),
        (2, 1, 3)
    );
}

#[test]
fn exempt_job_is_never_deferred() {
    let mut jobs = vec![job(90, 100), job(50, 100)];
    jobs[0].is_exempt = true;
    let places = places(&jobs, &processors(1), 0);
    assert_eq!(places, [QueuePlace::Due(100_000), QueuePlace::Deferred]);
}
