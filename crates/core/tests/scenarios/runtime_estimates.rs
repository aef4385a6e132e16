//! Run-time estimates: controllers observe each run at most once, the history survives crashes and outages, and no
//! scheduling guarantee depends on it.

use glenmount_core::model::{JobPriority, JobSpec, Resources};
use glenmount_core::state::{JobPhase, Key, Record, RunTimesRecord};
use glenmount_runtime_estimates::constants::CLASSES_MAX;
use glenmount_runtime_estimates::estimator::class_id;
use glenmount_runtime_estimates::history::History;
use glenmount_simulation::{all_estimate_uses, job, FaultRates, Simulation};

fn with_estimates(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.runtime_estimates = all_estimate_uses();
    sim
}

fn of_class(id: &str, tasks: u32, class: &str) -> JobSpec {
    JobSpec {
        class: class.into(),
        ..job(id, tasks)
    }
}

/// Returns the recorded history of a class of team red.
fn recorded_history(sim: &Simulation, class: &str) -> Option<History> {
    match sim
        .state
        .records
        .get(&Key::RunTimes(class_id("red", class)))
    {
        Some((Record::RunTimes(r), _)) => History::unpack(&r.packed),
        _ => None,
    }
}

fn recorded_runs(sim: &Simulation, class: &str) -> u64 {
    recorded_history(sim, class).map_or(0, |h| h.runs)
}

/// Runs jobs one after the other, each until it is done on record.
fn run_jobs(sim: &mut Simulation, first: u32, jobs: u32, tasks: u32, class: &str) {
    for n in first..first + jobs {
        let id = format!("j-{n}");
        sim.submit(
            n as usize % sim.settings.controllers.len(),
            of_class(&id, tasks, class),
        );
        let done = |sim: &Simulation| sim.job_phase(&id) == Some(JobPhase::Done);
        sim.run_until(120_000, "the job is done", done);
    }
}

#[test]
fn controllers_that_see_the_same_completions_record_each_run_once() {
    let mut sim = with_estimates(1, 3, 6);
    sim.run(3_000);
    // Late and duplicated heartbeats report the same completions to several controllers.
    sim.network.faults.heartbeat_duplicated = 0.5;
    sim.network.faults.answer_slow = 0.2;
    run_jobs(&mut sim, 1, 12, 4, "batch");
    sim.network.faults = FaultRates::default();
    sim.run(120_000);
    let history = recorded_history(&sim, "batch").expect("on record");
    assert!(history.runs <= 48, "{} recorded of 48 runs", history.runs);
    assert!(history.runs >= 30, "{} recorded of 48 runs", history.runs);
    // Controllers learn of a completion within about half a second, so each recorded run is close to its 5 s.
    for j in history.jobs().iter().filter(|j| j.runs > 0) {
        let run_s = j.mean.exp();
        assert!((4.2..6.2).contains(&run_s), "{run_s} s");
    }
    sim.check_records();
}

#[test]
fn lost_and_late_transactions_lose_runs_but_count_none_twice() {
    for seed in 0..6 {
        let mut sim = with_estimates(seed, 3, 4);
        sim.run(3_000);
        sim.network.faults.transaction_answer_lost = 0.1;
        sim.network.faults.transaction_late = 0.1;
        run_jobs(&mut sim, 1, 10, 3, "batch");
        sim.network.faults = FaultRates::default();
        sim.run(150_000);
        assert!(
            recorded_runs(&sim, "batch") <= 30,
            "{} recorded runs",
            recorded_runs(&sim, "batch")
        );
        assert!(
            recorded_runs(&sim, "batch") >= 8,
            "{} recorded runs",
            recorded_runs(&sim, "batch")
        );
    }
}

#[test]
fn a_controller_that_dies_before_it_records_loses_few_runs() {
    let mut sim = with_estimates(3, 3, 6);
    sim.run(3_000);
    run_jobs(&mut sim, 1, 8, 4, "batch");
    sim.run(60_000);
    let before = recorded_runs(&sim, "batch");
    run_jobs(&mut sim, 20, 1, 4, "batch");
    for n in 0..3 {
        sim.crash(n, 1_000);
    }
    sim.run(30_000);
    assert!(recorded_runs(&sim, "batch") >= before);
    // The controllers continue from the recorded history.
    run_jobs(&mut sim, 30, 6, 4, "batch");
    sim.run(90_000);
    assert!(
        recorded_runs(&sim, "batch") > before,
        "no run recorded after the first {before}"
    );
    for slot in &sim.controllers {
        let controller = slot.controller.as_ref().expect("the controller is up");
        let known = controller
            .class_history("red", "batch")
            .expect("the history is read");
        assert!(known.runs >= recorded_runs(&sim, "batch"));
    }
}

#[test]
fn a_state_service_outage_of_minutes_costs_no_run() {
    let mut sim = with_estimates(4, 3, 6);
    sim.run(3_000);
    run_jobs(&mut sim, 1, 1, 4, "batch");
    sim.state.is_down = true;
    sim.run(180_000);
    sim.state.is_down = false;
    sim.run(5_000);
    run_jobs(&mut sim, 10, 4, 4, "batch");
    sim.run(120_000);
    let runs = recorded_runs(&sim, "batch");
    assert!((10..=20).contains(&runs), "{runs} recorded of 20 runs");
}

#[test]
fn records_take_less_than_a_hundredth_of_the_writes() {
    let mut sim = with_estimates(5, 3, 8);
    sim.run(3_000);
    let (mut writes, mut previous, start_ms) = (0, Vec::new(), sim.now_ms);
    for n in 0..40 {
        let class = format!("c{}", n % 8);
        sim.submit(n % 3, of_class(&format!("j-{}", n + 1), 2, &class));
        sim.run(4_000);
        let mod_revisions: Vec<u64> = (sim.state.records.iter())
            .filter(|(k, _)| matches!(k, Key::RunTimes(_)))
            .map(|(_, (_, mod_revision))| *mod_revision)
            .collect();
        writes += mod_revisions
            .iter()
            .filter(|revision| !previous.contains(*revision))
            .count();
        previous = mod_revisions;
    }
    let duration_s = (sim.now_ms - start_ms) as f64 / 1e3;
    // The announced write rate is 35 per second.
    let max_writes = duration_s * 35.0 * 0.01 + 3.0;
    assert!(
        writes > 5 && writes as f64 <= max_writes,
        "{writes} writes in {duration_s} s"
    );
}

#[test]
fn estimates_fit_into_smaller_values() {
    let mut sim = with_estimates(6, 2, 4);
    (
        sim.settings.max_value_bytes,
        sim.settings.max_transaction_changes,
    ) = (1_536, 3);
    sim.run(3_000);
    let class = "x".repeat(200);
    run_jobs(&mut sim, 1, 30, 1, &class);
    sim.run(90_000);
    let history = recorded_history(&sim, &class).expect("on record");
    assert!(history.jobs().len() >= 20 && sim.state.too_large == 0);
}

#[test]
fn the_least_recently_used_classes_are_evicted_first() {
    let mut sim = with_estimates(7, 1, 4);
    sim.run(3_000);
    run_jobs(&mut sim, 1, 2, 2, "kept");
    sim.run(10_000);
    let Some((Record::RunTimes(template), _)) = sim
        .state
        .records
        .get(&Key::RunTimes(class_id("red", "kept")))
    else {
        panic!("not on record");
    };
    let template = template.clone();
    for n in 0..CLASSES_MAX as u64 {
        let old = RunTimesRecord {
            updated_at: template.updated_at - 1_000_000 + n,
            class: format!("old{n}"),
            ..template.clone()
        };
        sim.put_record(Key::RunTimes(n), Record::RunTimes(old));
    }
    sim.run(2_000);
    run_jobs(&mut sim, 10, 2, 2, "fresh");
    sim.run(30_000);
    let classes = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::RunTimes(_)))
        .count();
    assert!(classes <= CLASSES_MAX + 1, "{classes} classes");
    assert!(
        !sim.state.records.contains_key(&Key::RunTimes(0)),
        "the oldest class is evicted"
    );
    assert!(recorded_runs(&sim, "kept") > 0 && recorded_runs(&sim, "fresh") > 0);
}

#[test]
fn a_damaged_record_is_skipped_and_rewritten() {
    let mut sim = with_estimates(8, 2, 4);
    sim.run(3_000);
    run_jobs(&mut sim, 1, 3, 2, "batch");
    sim.run(30_000);
    let key = Key::RunTimes(class_id("red", "batch"));
    let Some((Record::RunTimes(record), _)) = sim.state.records.get(&key) else {
        panic!("not on record");
    };
    let value = serde_json::to_string(&Record::RunTimes(record.clone()).value(3)).unwrap();
    let damaged = value.replacen("\"n\":", "\"n\":9", 1);
    let damaged = Record::from_value(&key, serde_json::from_str(&damaged).unwrap())
        .expect("a record with a damaged history");
    sim.put_record(key, damaged);
    sim.run(1_000);
    run_jobs(&mut sim, 10, 3, 2, "batch");
    sim.run(60_000);
    let history = recorded_history(&sim, "batch").expect("a sound record");
    assert!(
        history.runs > 0 && history.runs <= 12,
        "{} runs",
        history.runs
    );
}

#[test]
fn checkpointed_progress_counts_towards_the_run_time() {
    let mut sim = with_estimates(9, 1, 1);
    sim.workload.class_run_ms.insert("long".into(), 20_000);
    sim.run(3_000);
    let long_job = JobSpec {
        checkpoint_interval_s: 1.0,
        checkpoint_duration_s: 0.1,
        resources: Resources {
            cpus: 4_000,
            gpus: 0,
            ram: 1_000,
            ..Resources::default()
        },
        priority: JobPriority::Low,
        ..of_class("j-1", 1, "long")
    };
    sim.cloud.capacity = 0;
    sim.submit(0, long_job);
    sim.run_until(20_000, "the long job runs", |sim| sim.running("j-1") == 1);
    sim.run(8_000);
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..of_class("j-2", 1, "urgent")
    };
    sim.submit(0, urgent);
    sim.run_until(60_000, "the urgent job is done", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done)
    });
    sim.run_until(90_000, "the long job is done", |sim| {
        sim.job_phase("j-1") == Some(JobPhase::Done)
    });
    sim.run(20_000);
    let history = recorded_history(&sim, "long").expect("on record");
    let job = history.jobs()[0];
    assert_eq!(job.runs, 1);
    let run_s = job.mean.exp();
    assert!(
        (17.0..22.0).contains(&run_s),
        "{run_s} s recorded of 20 s in two attempts"
    );
}

#[test]
fn slow_machines_do_not_distort_a_class() {
    let mut sim = with_estimates(10, 2, 4);
    sim.run(3_000);
    sim.workload.slow_machines.insert("n-000000".into());
    run_jobs(&mut sim, 1, 40, 8, "batch");
    sim.run(60_000);
    let history = recorded_history(&sim, "batch").expect("on record");
    let mut latest_means: Vec<f64> = history
        .jobs()
        .iter()
        .rev()
        .take(8)
        .map(|j| j.mean)
        .collect();
    latest_means.sort_by(f64::total_cmp);
    // One run in four takes 15 s. If these runs counted, the mean would be 6.6 s.
    assert!(latest_means[4].exp() < 6.2, "{} s", latest_means[4].exp());
}

/// Controllers of the previous version run beside new ones that record estimates. Which controller observes a run is
/// random, and one seed in ten records nothing before the last upgrade, so the test counts over several seeds.
#[test]
fn the_previous_version_ignores_estimates_during_a_rolling_upgrade() {
    let mut seeds_with_records = 0;
    for seed in 11..19 {
        let mut sim = Simulation::previous_version(seed, 3, 6);
        sim.settings.runtime_estimates.enabled = true;
        sim.run(4_000);
        run_jobs(&mut sim, 1, 3, 3, "batch");
        // During the upgrade both versions share the records, and the new controllers record run times.
        for n in 0..3 {
            sim.upgrade(n, 1_000);
            sim.run(8_000);
            // Workers report to all three controllers again.
            for (i, worker) in sim.workers.values_mut().enumerate() {
                worker.controller = i % 3;
            }
            sim.run(3_000);
            run_jobs(&mut sim, 10 * (n as u32 + 1), 4, 3, "batch");
            sim.run(20_000);
            seeds_with_records += u32::from(n == 1 && recorded_runs(&sim, "batch") > 0);
        }
        sim.run(30_000);
        assert!((1..=45).contains(&recorded_runs(&sim, "batch")));
        sim.check_records();
    }
    assert!(
        seeds_with_records >= 6,
        "recorded runs beside a controller of the previous version in {seeds_with_records} of 8 seeds"
    );
}

/// The records of run times are deleted repeatedly under faults. All accepted jobs must still complete.
#[test]
fn run_time_records_may_be_deleted_at_any_time() {
    for seed in 20..24 {
        let mut sim = with_estimates(seed, 3, 6);
        sim.run(3_000);
        sim.network.faults.transaction_late = 0.05;
        sim.network.faults.heartbeat_late = 0.05;
        sim.network.faults.command_lost = 0.05;
        for n in 1..40u32 {
            let class = format!("c{}", n % 3);
            let spec = JobSpec {
                priority: [JobPriority::Low, JobPriority::High][n as usize % 2],
                estimate_s: [0.1, 500.0][n as usize % 2],
                ..of_class(&format!("j-{n}"), 3, &class)
            };
            sim.submit(n as usize % 3, spec);
            sim.run(2_500);
            if n % 7 == 0 {
                let keys: Vec<Key> = (sim.state.records.keys())
                    .filter(|k| matches!(k, Key::RunTimes(_)))
                    .cloned()
                    .collect();
                keys.into_iter().for_each(|k| sim.remove_record(k));
            }
            if n % 11 == 0 {
                sim.crash(n as usize % 3, 1_500);
            }
        }
        sim.network.faults = FaultRates::default();
        for n in 1..40 {
            let id = format!("j-{n}");
            if sim.job_phase(&id).is_some() {
                sim.run_until(200_000, "every accepted job is done", |sim| {
                    sim.job_phase(&id) == Some(JobPhase::Done)
                });
            }
        }
    }
}

#[test]
fn tasks_about_to_complete_are_not_preempted() {
    let mut sim = with_estimates(12, 1, 2);
    sim.cloud.capacity = 0;
    sim.workload.class_run_ms.insert("long".into(), 20_000);
    sim.run(3_000);
    let long_job = |id: &str| JobSpec {
        priority: JobPriority::Low,
        resources: Resources {
            cpus: 4_000,
            gpus: 0,
            ram: 1_000,
            ..Resources::default()
        },
        ..of_class(id, 2, "long")
    };
    for n in 11..30 {
        let id = format!("j-{n}");
        sim.submit(0, long_job(&id));
        sim.run_until(90_000, "done", |sim| {
            sim.job_phase(&id) == Some(JobPhase::Done)
        });
    }
    // An urgent job arrives 19 s into the next run of 20 s, so capacity is about to become free without preemption.
    sim.submit(0, long_job("j-9"));
    sim.run_until(30_000, "the long job runs", |sim| sim.running("j-9") == 2);
    sim.run(19_000);
    let starts = sim.metrics.starts;
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..of_class("j-10", 1, "urgent")
    };
    sim.submit(0, urgent);
    sim.run_until(20_000, "the urgent job runs", |sim| {
        sim.running("j-10") == 1
    });
    sim.run_until(20_000, "the long job is done", |sim| {
        sim.job_phase("j-9") == Some(JobPhase::Done)
    });
    assert_eq!(sim.metrics.starts, starts + 1, "no task was restarted");
}

#[test]
fn the_longer_of_two_jobs_with_the_same_deadline_starts_first() {
    for queue_order in [false, true] {
        let mut sim = with_estimates(13, 1, 1);
        sim.settings.runtime_estimates.queue_order = queue_order;
        sim.cloud.capacity = 0;
        sim.workload.class_run_ms.insert("long".into(), 30_000);
        sim.run(3_000);
        let whole_machine_job = |id: &str, class: &str, deadline_s: f64| JobSpec {
            resources: Resources {
                cpus: 4_000,
                gpus: 0,
                ram: 1_000,
                ..Resources::default()
            },
            deadline_s: Some(deadline_s),
            ..of_class(id, 1, class)
        };
        for n in 1..7 {
            for (id, class) in [(n * 10, "long"), (n * 10 + 1, "short")] {
                let id = format!("j-{id}");
                sim.submit(0, whole_machine_job(&id, class, 300.0));
                sim.run_until(90_000, "done", |sim| {
                    sim.job_phase(&id) == Some(JobPhase::Done)
                });
            }
        }
        // Both jobs wait for the only machine, which is in use; the short one was submitted first.
        sim.submit(0, whole_machine_job("j-100", "short", 300.0));
        sim.run_until(20_000, "the machine is in use", |sim| {
            sim.running("j-100") == 1
        });
        sim.submit(0, whole_machine_job("j-101", "short", 100.0));
        sim.run(500);
        sim.submit(0, whole_machine_job("j-102", "long", 100.0));
        let one_runs = |sim: &Simulation| sim.running("j-101") + sim.running("j-102") == 1;
        sim.run_until(30_000, "one of the two runs", one_runs);
        assert_eq!(sim.running("j-102") == 1, queue_order);
    }
}

#[test]
fn clock_drift_changes_no_run_time() {
    let mut sim = with_estimates(14, 3, 6);
    sim.run(3_000);
    for round in 0..10u64 {
        // The skew stays within the allowed limit; controllers time runs by monotonic clocks.
        for n in 0..3 {
            sim.clock_ahead_ms[n as usize] = (round * 331 + n * 457) % 1_000;
        }
        run_jobs(&mut sim, 1 + round as u32 * 10, 2, 3, "batch");
    }
    sim.run(90_000);
    let history = recorded_history(&sim, "batch").expect("on record");
    let jobs: Vec<_> = history.jobs().iter().filter(|j| j.runs > 0).collect();
    assert!(jobs.len() >= 10);
    for j in jobs {
        let run_s = j.mean.exp();
        assert!((4.2..6.2).contains(&run_s), "{run_s} s");
    }
}
