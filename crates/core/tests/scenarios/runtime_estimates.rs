//! Run-time estimates: what controllers observe, that no run counts twice, what survives, and that nothing
//! depends on them.

use glenmount_core::model::{JobPriority, JobSpec, Resources};
use glenmount_core::state::{JobPhase, Key, Record, RunTimesRecord};
use glenmount_runtime_estimates::constants::CLASSES_MAX;
use glenmount_runtime_estimates::estimator::class_id;
use glenmount_runtime_estimates::history::History;
use glenmount_simulation::{all_estimate_uses, job, FaultRates, Simulation};

fn learning(seed: u64, controllers: usize, machines: usize) -> Simulation {
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

/// What is on record of a class of team red.
fn recorded(sim: &Simulation, class: &str) -> Option<History> {
    match sim
        .state
        .records
        .get(&Key::RunTimes(class_id("red", class)))
    {
        Some((Record::RunTimes(r), _)) => History::unpack(&r.packed),
        _ => None,
    }
}

fn runs(sim: &Simulation, class: &str) -> u64 {
    recorded(sim, class).map_or(0, |h| h.runs)
}

/// Runs jobs one after the other, each until it is done on record.
fn work(sim: &mut Simulation, from: u32, jobs: u32, tasks: u32, class: &str) {
    for n in from..from + jobs {
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
    let mut sim = learning(1, 3, 6);
    sim.run(3_000);
    // Late and doubled reports show every controller the same ends.
    sim.network.faults.heartbeat_duplicated = 0.5;
    sim.network.faults.answer_slow = 0.2;
    work(&mut sim, 1, 12, 4, "batch");
    sim.network.faults = FaultRates::default();
    sim.run(120_000);
    let history = recorded(&sim, "batch").expect("on record");
    assert!(history.runs <= 48, "{} runs of 48", history.runs);
    assert!(history.runs >= 30, "{} runs of 48", history.runs);
    // Heard within half a second or so of what they took.
    for j in history.jobs().iter().filter(|j| j.runs > 0) {
        let secs = j.mean.exp();
        assert!((4.2..6.2).contains(&secs), "{secs}");
    }
    sim.check_records();
}

#[test]
fn lost_and_late_transactions_lose_runs_but_count_none_twice() {
    for seed in 0..6 {
        let mut sim = learning(seed, 3, 4);
        sim.run(3_000);
        sim.network.faults.transaction_answer_lost = 0.1;
        sim.network.faults.transaction_late = 0.1;
        work(&mut sim, 1, 10, 3, "batch");
        sim.network.faults = FaultRates::default();
        sim.run(150_000);
        assert!(runs(&sim, "batch") <= 30, "{} runs", runs(&sim, "batch"));
        assert!(runs(&sim, "batch") >= 8, "{} runs", runs(&sim, "batch"));
    }
}

#[test]
fn a_controller_that_dies_before_it_records_loses_few_runs() {
    let mut sim = learning(3, 3, 6);
    sim.run(3_000);
    work(&mut sim, 1, 8, 4, "batch");
    sim.run(60_000);
    let before = runs(&sim, "batch");
    work(&mut sim, 20, 1, 4, "batch");
    for n in 0..3 {
        sim.crash(n, 1_000);
    }
    sim.run(30_000);
    assert!(runs(&sim, "batch") >= before);
    // It goes on from what is on record.
    work(&mut sim, 30, 6, 4, "batch");
    sim.run(90_000);
    assert!(runs(&sim, "batch") > before, "nothing after {before}");
    for slot in &sim.controllers {
        let controller = slot.controller.as_ref().expect("up");
        let known = controller.class_history("red", "batch").expect("read");
        assert!(known.runs >= runs(&sim, "batch"));
    }
}

#[test]
fn a_state_service_outage_of_minutes_costs_no_run() {
    let mut sim = learning(4, 3, 6);
    sim.run(3_000);
    work(&mut sim, 1, 1, 4, "batch");
    sim.state.is_down = true;
    sim.run(180_000);
    sim.state.is_down = false;
    sim.run(5_000);
    work(&mut sim, 10, 4, 4, "batch");
    sim.run(120_000);
    let runs = runs(&sim, "batch");
    assert!((10..=20).contains(&runs), "{runs} of 20");
}

#[test]
fn records_take_less_than_a_hundredth_of_the_writes() {
    let mut sim = learning(5, 3, 8);
    sim.run(3_000);
    let (mut puts, mut last, begun) = (0, Vec::new(), sim.now_ms);
    for n in 0..40 {
        let class = format!("c{}", n % 8);
        sim.submit(n % 3, of_class(&format!("j-{}", n + 1), 2, &class));
        sim.run(4_000);
        let stamps: Vec<u64> = (sim.state.records.iter())
            .filter(|(k, _)| matches!(k, Key::RunTimes(_)))
            .map(|(_, (_, mod_revision))| *mod_revision)
            .collect();
        puts += stamps.iter().filter(|s| !last.contains(*s)).count();
        last = stamps;
    }
    let seconds = (sim.now_ms - begun) as f64 / 1e3;
    // The announced rate is 35 a second.
    let most = seconds * 35.0 * 0.01 + 3.0;
    assert!(puts > 5 && puts as f64 <= most, "{puts} in {seconds} s");
}

#[test]
fn estimates_fit_into_smaller_values() {
    let mut sim = learning(6, 2, 4);
    (
        sim.settings.max_value_bytes,
        sim.settings.max_transaction_changes,
    ) = (1_536, 3);
    sim.run(3_000);
    let class = "x".repeat(200);
    work(&mut sim, 1, 30, 1, &class);
    sim.run(90_000);
    let history = recorded(&sim, &class).expect("on record");
    assert!(history.jobs().len() >= 20 && sim.state.too_large == 0);
}

#[test]
fn the_least_recently_used_classes_are_evicted_first() {
    let mut sim = learning(7, 1, 4);
    sim.run(3_000);
    work(&mut sim, 1, 2, 2, "kept");
    sim.run(10_000);
    let Some((Record::RunTimes(like), _)) = sim
        .state
        .records
        .get(&Key::RunTimes(class_id("red", "kept")))
    else {
        panic!("not on record");
    };
    let like = like.clone();
    for n in 0..CLASSES_MAX as u64 {
        let old = RunTimesRecord {
            updated_at: like.updated_at - 1_000_000 + n,
            class: format!("old{n}"),
            ..like.clone()
        };
        sim.put_record(Key::RunTimes(n), Record::RunTimes(old));
    }
    sim.run(2_000);
    work(&mut sim, 10, 2, 2, "fresh");
    sim.run(30_000);
    let classes = sim
        .state
        .records
        .keys()
        .filter(|k| matches!(k, Key::RunTimes(_)))
        .count();
    assert!(classes <= CLASSES_MAX + 1, "{classes}");
    assert!(
        !sim.state.records.contains_key(&Key::RunTimes(0)),
        "the oldest is gone"
    );
    assert!(runs(&sim, "kept") > 0 && runs(&sim, "fresh") > 0);
}

#[test]
fn a_damaged_record_is_skipped_and_rewritten() {
    let mut sim = learning(8, 2, 4);
    sim.run(3_000);
    work(&mut sim, 1, 3, 2, "batch");
    sim.run(30_000);
    let key = Key::RunTimes(class_id("red", "batch"));
    let Some((Record::RunTimes(record), _)) = sim.state.records.get(&key) else {
        panic!("not on record");
    };
    let value = serde_json::to_string(&Record::RunTimes(record.clone()).value(3)).unwrap();
    let broken = value.replacen("\"n\":", "\"n\":9", 1);
    let broken =
        Record::from_value(&key, serde_json::from_str(&broken).unwrap()).expect("its shape");
    sim.put_record(key, broken);
    sim.run(1_000);
    work(&mut sim, 10, 3, 2, "batch");
    sim.run(60_000);
    let history = recorded(&sim, "batch").expect("sound again");
    assert!(history.runs > 0 && history.runs <= 12, "{}", history.runs);
}

#[test]
fn checkpointed_progress_counts_towards_the_run_time() {
    let mut sim = learning(9, 1, 1);
    sim.workload.class_run_ms.insert("long".into(), 20_000);
    sim.run(3_000);
    let long = JobSpec {
        checkpoint_interval_s: 1.0,
        checkpoint_duration_s: 0.1,
        resources: Resources {
            cpus: 4_000,
            gpus: 0,
            ram: 1_000,
        },
        priority: JobPriority::Low,
        ..of_class("j-1", 1, "long")
    };
    sim.cloud.capacity = 0;
    sim.submit(0, long);
    sim.run_until(20_000, "it runs", |sim| sim.running("j-1") == 1);
    sim.run(8_000);
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..of_class("j-2", 1, "urgent")
    };
    sim.submit(0, urgent);
    sim.run_until(60_000, "urgent work is done", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done)
    });
    sim.run_until(90_000, "the long one too", |sim| {
        sim.job_phase("j-1") == Some(JobPhase::Done)
    });
    sim.run(20_000);
    let history = recorded(&sim, "long").expect("on record");
    let job = history.jobs()[0];
    assert_eq!(job.runs, 1);
    let secs = job.mean.exp();
    assert!(
        (17.0..22.0).contains(&secs),
        "{secs} of 20 s in two attempts"
    );
}

#[test]
fn slow_machines_do_not_distort_a_class() {
    let mut sim = learning(10, 2, 4);
    sim.run(3_000);
    sim.workload.slow_machines.insert("n-000000".into());
    work(&mut sim, 1, 40, 8, "batch");
    sim.run(60_000);
    let history = recorded(&sim, "batch").expect("on record");
    let mut late: Vec<f64> = history
        .jobs()
        .iter()
        .rev()
        .take(8)
        .map(|j| j.mean)
        .collect();
    late.sort_by(f64::total_cmp);
    // One run in four took 15 s; were it counted, the mean would be 6.6 s.
    assert!(late[4].exp() < 6.2, "{}", late[4].exp());
}

/// Which controller counts a run is a matter of chance: one seed alone, of which one in ten learns nothing
/// while an old controller serves, says little.
#[test]
fn the_previous_version_ignores_estimates_during_a_rolling_upgrade() {
    let mut learned = 0;
    for seed in 11..19 {
        let mut sim = Simulation::previous_version(seed, 3, 6);
        sim.settings.runtime_estimates.enabled = true;
        sim.run(4_000);
        work(&mut sim, 1, 3, 3, "batch");
        // One by one; in between both serve on the same records, and the new ones learn.
        for n in 0..3 {
            sim.upgrade(n, 1_000);
            sim.run(8_000);
            // Workers report to all three again.
            for (i, worker) in sim.workers.values_mut().enumerate() {
                worker.controller = i % 3;
            }
            sim.run(3_000);
            work(&mut sim, 10 * (n as u32 + 1), 4, 3, "batch");
            sim.run(20_000);
            learned += u32::from(n == 1 && runs(&sim, "batch") > 0);
        }
        sim.run(30_000);
        assert!((1..=45).contains(&runs(&sim, "batch")));
        sim.check_records();
    }
    assert!(learned >= 6, "learned beside an old node: {learned} of 8");
}

#[test]
fn estimates_may_vanish_at_any_time() {
    for seed in 20..24 {
        let mut sim = learning(seed, 3, 6);
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
                sim.run_until(200_000, "all that was accepted is done", |sim| {
                    sim.job_phase(&id) == Some(JobPhase::Done)
                });
            }
        }
    }
}

#[test]
fn tasks_about_to_complete_are_not_preempted() {
    let mut sim = learning(12, 1, 2);
    sim.cloud.capacity = 0;
    sim.workload.class_run_ms.insert("long".into(), 20_000);
    sim.run(3_000);
    let long = |id: &str| JobSpec {
        priority: JobPriority::Low,
        resources: Resources {
            cpus: 4_000,
            gpus: 0,
            ram: 1_000,
        },
        ..of_class(id, 2, "long")
    };
    for n in 11..30 {
        let id = format!("j-{n}");
        sim.submit(0, long(&id));
        sim.run_until(90_000, "done", |sim| {
            sim.job_phase(&id) == Some(JobPhase::Done)
        });
    }
    // 19 s into the next, of 20, urgent work arrives: room comes by itself.
    sim.submit(0, long("j-9"));
    sim.run_until(30_000, "it runs", |sim| sim.running("j-9") == 2);
    sim.run(19_000);
    let starts = sim.metrics.starts;
    let urgent = JobSpec {
        priority: JobPriority::High,
        ..of_class("j-10", 1, "urgent")
    };
    sim.submit(0, urgent);
    sim.run_until(20_000, "urgent work runs", |sim| sim.running("j-10") == 1);
    sim.run_until(20_000, "the other is done", |sim| {
        sim.job_phase("j-9") == Some(JobPhase::Done)
    });
    assert_eq!(sim.metrics.starts, starts + 1, "nothing was started anew");
}

#[test]
fn the_longer_of_two_jobs_with_the_same_deadline_starts_first() {
    for order in [false, true] {
        let mut sim = learning(13, 1, 1);
        sim.settings.runtime_estimates.queue_order = order;
        sim.cloud.capacity = 0;
        sim.workload.class_run_ms.insert("long".into(), 30_000);
        sim.run(3_000);
        let whole = |id: &str, class: &str, due: f64| JobSpec {
            resources: Resources {
                cpus: 4_000,
                gpus: 0,
                ram: 1_000,
            },
            deadline_s: Some(due),
            ..of_class(id, 1, class)
        };
        for n in 1..7 {
            for (id, class) in [(n * 10, "long"), (n * 10 + 1, "short")] {
                let id = format!("j-{id}");
                sim.submit(0, whole(&id, class, 300.0));
                sim.run_until(90_000, "done", |sim| {
                    sim.job_phase(&id) == Some(JobPhase::Done)
                });
            }
        }
        // Both wait for a machine that is taken; the short one came first.
        sim.submit(0, whole("j-100", "short", 300.0));
        sim.run_until(20_000, "it is taken", |sim| sim.running("j-100") == 1);
        sim.submit(0, whole("j-101", "short", 100.0));
        sim.run(500);
        sim.submit(0, whole("j-102", "long", 100.0));
        let either = |sim: &Simulation| sim.running("j-101") + sim.running("j-102") == 1;
        sim.run_until(30_000, "one of them runs", either);
        assert_eq!(sim.running("j-102") == 1, order);
    }
}

#[test]
fn clock_drift_changes_no_run_time() {
    let mut sim = learning(14, 3, 6);
    sim.run(3_000);
    for round in 0..10u64 {
        // Within what the settings allow; runs are timed by steady clocks.
        for n in 0..3 {
            sim.clock_ahead_ms[n as usize] = (round * 331 + n * 457) % 1_000;
        }
        work(&mut sim, 1 + round as u32 * 10, 2, 3, "batch");
    }
    sim.run(90_000);
    let history = recorded(&sim, "batch").expect("on record");
    let jobs: Vec<_> = history.jobs().iter().filter(|j| j.runs > 0).collect();
    assert!(jobs.len() >= 10);
    for j in jobs {
        let secs = j.mean.exp();
        assert!((4.2..6.2).contains(&secs), "{secs}");
    }
}
