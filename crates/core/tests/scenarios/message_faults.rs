//! Lost, late and duplicated messages: heartbeats, commands, transactions and their answers.

use crate::common::{is_done, is_running, percentile, started_cluster, time_to_confirm_cancel};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobState, WorkerHeartbeat};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, use_long_leases, FaultRates, Simulation};

#[test]
fn a_lost_start_is_resent_only_after_the_next_heartbeat() {
    let mut lost_starts = 0;
    for seed in 0..40 {
        let mut sim = started_cluster(70 + seed, 2, 1);
        sim.network.faults.command_lost = 1.0;
        sim.network.faults.reply_lost = 0.25;
        sim.submit(0, job("j-1", 2));
        sim.run_until(90_000, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
        lost_starts += sim.metrics.lost_starts;
    }
    assert!(
        lost_starts > 3,
        "only {lost_starts} start commands were lost"
    );
}

#[test]
fn a_start_command_that_arrives_minutes_late_is_fenced() {
    // A start command arrives up to a minute after the controller gave it up, when the task has run again or elsewhere,
    // or was cancelled. The raised fencing token must make the worker refuse it.
    for seed in 0..8 {
        let mut sim = started_cluster(500 + seed, 3, 3);
        sim.network.faults.command_late = 0.7;
        sim.submit(0, job("j-1", 3));
        let request = sim.submit(1, service("j-2", 2));
        sim.await_answer(request);
        sim.run_until(60_000, "done", |sim| is_done(sim, "j-1"));
        let starts = sim.metrics.starts;
        sim.cancel(2, "j-2");
        sim.run(70_000);
        assert_eq!(sim.metrics.starts, starts, "no late command starts a task");
        sim.check_records();
    }
}

#[test]
fn lost_start_commands_only_delay_the_tasks() {
    let mut sim = started_cluster(23, 3, 2);
    sim.network.faults.command_lost = 1.0;
    sim.submit(0, job("j-1", 2));
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.check_records();
}

#[test]
fn late_duplicated_and_lost_heartbeats_break_no_invariant() {
    for seed in 0..6 {
        let mut sim = started_cluster(100 + seed, 3, 4);
        sim.network.faults = FaultRates {
            heartbeat_lost: 0.1,
            heartbeat_late: 0.1,
            heartbeat_duplicated: 0.2,
            reply_lost: 0.1,
            ..FaultRates::default()
        };
        for i in 0..5 {
            sim.submit(i % 3, job(&format!("j-{i}"), 4));
        }
        sim.run(60_000);
        sim.network.faults = FaultRates::default();
        sim.run_until(90_000, "all done", |sim| {
            (0..5).all(|i| is_done(sim, &format!("j-{i}")))
        });
        sim.check_records();
    }
}

#[test]
fn late_and_unanswered_transactions_break_no_invariant() {
    for seed in 0..6 {
        let mut sim = started_cluster(200 + seed, 3, 4);
        sim.network.faults.transaction_answer_lost = 0.15;
        sim.network.faults.transaction_late = 0.15;
        for i in 0..5 {
            sim.submit(i % 3, job(&format!("j-{i}"), 4));
            sim.run(500);
            sim.submit((i + 1) % 3, job(&format!("j-{i}"), 4));
        }
        sim.run(60_000);
        sim.network.faults = FaultRates::default();
        sim.run_until(120_000, "all done", |sim| {
            (0..5).all(|i| is_done(sim, &format!("j-{i}")))
        });
        sim.run(25_000);
        sim.check_records();
    }
}

/// inc-619c: an answer to a heartbeat that should have resent more starts than a transaction may have changes
/// resent none, so a large array of tiny tasks never ended.
#[test]
fn many_lost_starts_are_resent_in_answers_to_heartbeats() {
    let mut sim = started_cluster(61, 2, 1);
    sim.cloud.capacity = 0;
    let mut spec = job("j-1", 40);
    (spec.resources.cpus, spec.resources.ram) = (100, 100);
    sim.network.faults.command_lost = 1.0;
    sim.submit(0, spec);
    sim.run_until(40_000, "done", |sim| is_done(sim, "j-1"));
}

/// The watch may deliver a change and a later change of the same record before the answer to the first transaction
/// arrives. Applying that answer left the older value in the cache permanently, and every later transaction conditioned
/// on it conflicted.
#[test]
fn an_answer_overtaken_by_the_watch_changes_nothing() {
    for seed in 0..4 {
        let mut sim = started_cluster(70 + seed, 3, 6);
        sim.workload.run_ms = 300;
        sim.network.faults.answer_slow = 0.3;
        for i in 0..20 {
            sim.submit(i % 3, job(&format!("j-{i}"), 3));
            sim.run(700);
        }
        sim.run_until(60_000, "all done", |sim| {
            (0..20).all(|i| is_done(sim, &format!("j-{i}")))
        });
        sim.network.faults.answer_slow = 0.0;
        sim.run(3_000);
        sim.check_records();
    }
}

/// A third of the transactions get no answer and are applied seconds later, after newer ones. Controllers must resend
/// where that is safe, so that users and jobs wait for less than a second rather than for these transactions.
#[test]
fn unanswered_transactions_block_no_other_work() {
    let (mut slow, mut submitted, mut total_ms) = (0, 0, 0);
    for seed in 0..4 {
        let mut sim = Simulation::new(90 + seed, 3, 12);
        sim.run(9_000);
        sim.network.faults.transaction_late = 0.33;
        let start_ms = sim.now_ms;
        for i in 0..30 {
            let request = sim.submit(i % 3, job(&format!("j-{i}"), 4));
            let submitted_ms = sim.now_ms;
            sim.await_answer(request);
            submitted += 1;
            slow += u32::from(sim.now_ms > submitted_ms + 1_000);
            sim.run(200);
        }
        let done = |sim: &Simulation| {
            (0..30).all(|i| sim.job_phase(&format!("j-{i}")) == Some(JobPhase::Done))
        };
        sim.run_until(120_000, "all done", done);
        total_ms += sim.now_ms - start_ms;
        sim.network.faults = FaultRates::default();
        sim.run(25_000);
        sim.check_records();
    }
    assert!(
        slow * 10 <= submitted,
        "{slow} of {submitted} submissions took more than a second"
    );
    assert!(total_ms / 4 <= 45_000, "{} ms", total_ms / 4);
}

/// Copies of old heartbeats arrive. They must neither keep a dead machine alive nor replace a heartbeat that waits for
/// its answer.
#[test]
fn duplicated_heartbeats_do_not_keep_a_dead_machine_alive() {
    for seed in 0..4 {
        let mut sim = Simulation::new(100 + seed, 3, 6);
        sim.run(9_000);
        sim.submit(0, service("j-1", 2));
        sim.run_until(10_000, "up", |sim| is_running(sim, "j-1"));
        sim.run(3_000);
        let id = sim.machine_of("j-1").unwrap();
        let (controller, sequence) = (sim.workers[&id].controller, sim.workers[&id].sequence);
        sim.kill_machine(&id);
        let killed_ms = sim.now_ms;
        while !is_running(&sim, "j-1") {
            for n in 0..3 {
                if sim.workers.contains_key(&id) && (n == controller || seed % 2 == 0) {
                    sim.inject_stale_heartbeat(n, &id, sequence);
                }
            }
            sim.run(700);
            assert!(
                sim.now_ms < killed_ms + 15_000,
                "{} is not detected as dead",
                id
            );
        }
        sim.check_records();
    }
}

/// Heartbeats of an earlier incarnation and an earlier attempt arrive again long after newer ones, also at controllers
/// that have just started and remember none. No ended task may count as running, no running task may be stopped, and
/// each task completes once.
#[test]
fn heartbeats_of_earlier_incarnations_and_attempts_are_ignored() {
    for seed in 0..6 {
        let mut sim = Simulation::new(140 + seed, 3, 4);
        sim.run(9_000);
        sim.workload.run_ms = 30_000;
        let request = sim.submit(0, job("j-1", 3));
        sim.await_answer(request);
        sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 3);
        sim.run(4_000);
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        let mut old_heartbeats: Vec<WorkerHeartbeat> =
            names.iter().map(|id| sim.heartbeat_of(id)).collect();
        // The leases of two workers expire and their tasks start again.
        for name in &names[..2] {
            sim.workers.get_mut(name).unwrap().disconnected = true;
        }
        sim.run(14_000);
        old_heartbeats.extend(
            names
                .iter()
                .filter(|id| sim.workers.contains_key(*id))
                .map(|id| sim.heartbeat_of(id)),
        );
        sim.heal_all();
        for round in 0..20 {
            if round % 6 == 2 {
                sim.crash(round % 3, 300);
            }
            for heartbeat in &old_heartbeats {
                sim.inject_heartbeat((round + seed as usize) % 3, heartbeat);
            }
            sim.run(1_500);
        }
        sim.run_until(120_000, "done", |sim| {
            sim.job_phase("j-1") == Some(JobPhase::Done)
        });
        sim.run(20_000);
        sim.check_records();
        assert!(
            sim.metrics.starts <= 3 + 6,
            "{} starts of 3 tasks",
            sim.metrics.starts
        );
    }
}

/// Commands and their answers are delayed by seconds for workers that are disconnected meanwhile and come back. A late
/// command must be fenced, unless it is still the current one.
#[test]
fn delayed_commands_to_stalled_workers_are_fenced() {
    for seed in 0..6 {
        let mut sim = Simulation::new(160 + seed, 3, 5);
        sim.run(9_000);
        sim.network.faults.command_late = 0.6;
        for i in 0..8 {
            sim.submit(i % 3, job(&format!("j-{i}"), 3));
            let names: Vec<String> = sim.workers.keys().cloned().collect();
            let name = &names[i % names.len()];
            sim.workers.get_mut(name).unwrap().disconnected = i % 2 == 0;
            sim.run(1_500);
            if i % 3 == 1 {
                sim.cancel(i % 3, &format!("j-{i}"));
                sim.crash(i % 3, 400);
            }
            sim.run(1_500);
            sim.heal_all();
        }
        sim.run(60_000);
        sim.network.faults = FaultRates::default();
        let all_over = |sim: &Simulation| {
            (0..8).all(|i| sim.job_phase(&format!("j-{i}")) != Some(JobPhase::Open))
        };
        sim.run_until(120_000, "all jobs are over", all_over);
        sim.run(60_000);
        sim.check_records();
    }
}

/// The state service applies a transaction at once and only the answer is lost, while other controllers read what it
/// wrote. Work that waits for the answer must continue within the time that users allow.
#[test]
fn work_that_waits_for_a_lost_answer_continues() {
    let (mut accept_ms, mut start_ms, mut cancel_ms, mut done_ms) =
        (vec![], vec![], vec![], vec![]);
    for seed in 0..6 {
        let mut sim = Simulation::new(2_100 + seed, 3, 16);
        use_long_leases(&mut sim);
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 6_000);
        sim.network.faults.transaction_answer_lost = 0.5;
        for j in 0..20 {
            let id = format!("j-{j}");
            let submitted_ms = sim.now_ms;
            let request = sim.submit(j % 3, job(&id, 1));
            // The user requests the status from another controller at once; that one continues with what it reads.
            sim.await_answer(request);
            accept_ms.push(sim.now_ms - submitted_ms);
            let request = sim.status((j + 1) % 3, &id);
            assert!(!matches!(sim.await_answer(request), UserReply::NotFound));
            sim.run_until(30_000, "runs", |sim| {
                sim.metrics.first_run_ms.contains_key(&id)
            });
            start_ms.push(sim.metrics.first_run_ms[&id] - submitted_ms);
            if j % 4 == 3 {
                cancel_ms.push(
                    time_to_confirm_cancel(&mut sim, j + 2, &id)
                        .expect("confirmed within a minute"),
                );
                continue;
            }
            sim.run_until(30_000, "ends", |sim| {
                sim.completed_tasks.iter().any(|t| t.job == id)
            });
            let ended_ms = sim.now_ms;
            let done = JobState::Done;
            loop {
                let request = sim.status(j % 3, &id);
                match sim.await_answer(request) {
                    UserReply::Status { state, .. } if state == done => break,
                    _ => sim.run(50),
                }
            }
            done_ms.push(sim.now_ms - ended_ms);
        }
        sim.network.faults = FaultRates::default();
        sim.run(60_000);
        sim.check_records();
    }
    let p95 =
        [&mut accept_ms, &mut start_ms, &mut cancel_ms, &mut done_ms].map(|v| percentile(v, 95));
    eprintln!("p95 until accepted, started, cancellation confirmed, done confirmed: {p95:?} ms");
    assert!(p95[0] <= 2_000, "accepted: {p95:?}");
    assert!(p95[1] <= 6_000, "started: {p95:?}");
    assert!(p95[2] <= 8_000, "cancellation confirmed: {p95:?}");
    assert!(p95[3] <= 3_000, "done: {p95:?}");
}

/// Old heartbeats reach every controller just as a controller starts. They must not keep a machine alive for long that
/// has died since, nor stop or start a task on a live one.
#[test]
fn stale_heartbeats_at_a_controller_start_are_harmless() {
    for seed in 0..8_u64 {
        let mut sim = Simulation::new(2_500 + seed, 3, 12);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        // Idle machines stay, so that the dead ones are a small share of the fleet.
        sim.settings.idle_timeout_ms = 3_600_000;
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 300_000);
        sim.submit(0, service("j-s", 6));
        sim.submit(1, job("j-l", 4));
        sim.run_until(20_000, "up", |sim| {
            sim.running("j-s") == 6 && sim.running("j-l") == 4
        });
        sim.network.faults.heartbeat_kept = 1.0;
        sim.run(2 * sim.settings.heartbeat_interval_ms);
        sim.network.faults.heartbeat_kept = 0.0;
        // Two machines that run tasks die.
        let holders = sim.machines_of("j-s");
        for name in holders.iter().take(2) {
            sim.kill_machine(name);
        }
        let all = [0, 1, 2];
        for n in all
            .into_iter()
            .filter(|n| seed % 4 < 2 || *n == seed as usize % 3)
        {
            sim.crash(n, 300 + 200 * n as u64);
        }
        let start_ms = sim.now_ms;
        let starts_before = sim.metrics.starts;
        sim.run_until(90_000, "the service runs again", |sim| {
            sim.running("j-s") == 6
        });
        let recovery_ms = sim.now_ms - start_ms;
        let max_ms = 2 * sim.settings.heartbeat_interval_ms + 16_000;
        assert!(recovery_ms <= max_ms, "seed {seed}: {recovery_ms} ms");
        sim.run(60_000);
        assert_eq!(sim.running("j-l"), 4, "tasks on live machines run on");
        // Each task of the dead machines starts once more, and no other task.
        let restarts = sim.metrics.starts - starts_before;
        assert!(restarts <= 6, "seed {seed}: {restarts} restarts");
        assert_eq!(sim.metrics.killed_by_lease, 0, "no lease expires");
        sim.check_records();
    }
}
