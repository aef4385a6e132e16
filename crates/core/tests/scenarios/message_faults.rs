//! Lost, late and duplicated messages: heartbeats, commands, transactions and their answers.

use crate::common::{is_done, is_running, percentile, started, time_to_confirm_cancel};
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobState, WorkerHeartbeat};
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, use_long_leases, FaultRates, Simulation};

#[test]
fn a_lost_start_is_resent_only_after_the_next_heartbeat() {
    let mut lost = 0;
    for seed in 0..40 {
        let mut sim = started(70 + seed, 2, 1);
        sim.network.faults.command_lost = 1.0;
        sim.network.faults.reply_lost = 0.25;
        sim.submit(0, job("j-1", 2));
        sim.run_until(90_000, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
        lost += sim.metrics.lost_starts;
    }
    assert!(lost > 3, "the stories lost {lost} starts");
}

#[test]
fn a_start_command_that_arrives_minutes_late_is_fenced() {
    // The command is given up and arrives up to a minute later, when the task has run
    // elsewhere or again, or was cancelled: a raised token makes the worker refuse it.
    for seed in 0..8 {
        let mut sim = started(500 + seed, 3, 3);
        sim.network.faults.command_late = 0.7;
        sim.submit(0, job("j-1", 3));
        let r = sim.submit(1, service("j-2", 2));
        sim.await_answer(r);
        sim.run_until(60_000, "done", |sim| is_done(sim, "j-1"));
        let starts = sim.metrics.starts;
        sim.cancel(2, "j-2");
        sim.run(70_000);
        assert_eq!(sim.metrics.starts, starts, "nothing starts late");
        sim.check_records();
    }
}

#[test]
fn lost_start_commands_only_delay_the_tasks() {
    let mut sim = started(23, 3, 2);
    sim.network.faults.command_lost = 1.0;
    sim.submit(0, job("j-1", 2));
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.check_records();
}

#[test]
fn late_duplicated_and_lost_heartbeats_break_no_invariant() {
    for seed in 0..6 {
        let mut sim = started(100 + seed, 3, 4);
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
        let mut sim = started(200 + seed, 3, 4);
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

/// inc-619c: a heartbeat that should have carried more starts than a transaction has changes
/// carried none, so a guest's array of tiny tasks never ended.
#[test]
fn many_lost_starts_are_resent_in_answers_to_heartbeats() {
    let mut sim = started(61, 2, 1);
    sim.cloud.capacity = 0;
    let mut spec = job("j-1", 40);
    (spec.resources.cpus, spec.resources.ram) = (100, 100);
    sim.network.faults.command_lost = 1.0;
    sim.submit(0, spec);
    sim.run_until(40_000, "done", |sim| is_done(sim, "j-1"));
}

/// The watch may tell of a change, and of what became of it, before the answer to the transaction
/// that made it arrives. Taken up then, it stood in the cache for good: every later transaction
/// that rested on it was lost.
#[test]
fn an_answer_overtaken_by_the_watch_changes_nothing() {
    for seed in 0..4 {
        let mut sim = started(70 + seed, 3, 6);
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

/// A third of the transactions get no answer and are carried out seconds later, after newer ones:
/// what can be sent anew is, so users and work wait for a part of a second rather than for these.
#[test]
fn unanswered_transactions_block_no_other_work() {
    let (mut slow, mut asked, mut took) = (0, 0, 0);
    for seed in 0..4 {
        let mut sim = Simulation::new(90 + seed, 3, 12);
        sim.run(9_000);
        sim.network.faults.transaction_late = 0.33;
        let from = sim.now_ms;
        for i in 0..30 {
            let r = sim.submit(i % 3, job(&format!("j-{i}"), 4));
            let at = sim.now_ms;
            sim.await_answer(r);
            asked += 1;
            slow += u32::from(sim.now_ms > at + 1_000);
            sim.run(200);
        }
        let done = |sim: &Simulation| {
            (0..30).all(|i| sim.job_phase(&format!("j-{i}")) == Some(JobPhase::Done))
        };
        sim.run_until(120_000, "all done", done);
        took += sim.now_ms - from;
        sim.network.faults = FaultRates::default();
        sim.run(25_000);
        sim.check_records();
    }
    assert!(
        slow * 10 <= asked,
        "{slow} of {asked} took more than a second"
    );
    assert!(took / 4 <= 45_000, "{} ms", took / 4);
}

/// Copies of old reports: of a machine that has died none is a sign of life, and none takes the place
/// of a heartbeat that waits for its answer.
#[test]
fn duplicated_heartbeats_are_no_signs_of_life() {
    for seed in 0..4 {
        let mut sim = Simulation::new(100 + seed, 3, 6);
        sim.run(9_000);
        sim.submit(0, service("j-1", 2));
        sim.run_until(10_000, "up", |sim| is_running(sim, "j-1"));
        sim.run(3_000);
        let id = sim.machine_of("j-1").unwrap();
        let (controller, sequence) = (sim.workers[&id].controller, sim.workers[&id].sequence);
        sim.kill_machine(&id);
        let from = sim.now_ms;
        while !is_running(&sim, "j-1") {
            for n in 0..3 {
                if sim.workers.contains_key(&id) && (n == controller || seed % 2 == 0) {
                    sim.inject_stale_heartbeat(n, &id, sequence);
                }
            }
            sim.run(700);
            assert!(sim.now_ms < from + 15_000, "{} is not found", id);
        }
        sim.check_records();
    }
}

/// Reports of an earlier incarnation and of an earlier attempt arrive again, long after newer ones, also at
/// controllers that have just started and remember none: nothing is taken for running that is not, nothing
/// that runs is stopped, and all is done once.
#[test]
fn heartbeats_of_earlier_incarnations_and_attempts_are_ignored() {
    for seed in 0..6 {
        let mut sim = Simulation::new(140 + seed, 3, 4);
        sim.run(9_000);
        sim.workload.run_ms = 30_000;
        let r = sim.submit(0, job("j-1", 3));
        sim.await_answer(r);
        sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 3);
        sim.run(4_000);
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        let mut old: Vec<WorkerHeartbeat> = names.iter().map(|id| sim.heartbeat_of(id)).collect();
        // Their leases end, and what ran there begins anew.
        for name in &names[..2] {
            sim.workers.get_mut(name).unwrap().disconnected = true;
        }
        sim.run(14_000);
        old.extend(
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
            for report in &old {
                sim.inject_heartbeat((round + seed as usize) % 3, report);
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

/// Commands and their answers are held up for seconds, for machines that are paused meanwhile and go
/// on: what comes then was barred, or is what was meant.
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
        let over = |sim: &Simulation| {
            (0..8).all(|i| sim.job_phase(&format!("j-{i}")) != Some(JobPhase::Open))
        };
        sim.run_until(120_000, "over", over);
        sim.run(60_000);
        sim.check_records();
    }
}

/// A transaction is carried out at once and only its answer is lost, while other controllers read what it wrote:
/// what waits for it goes on within the time that users allow.
#[test]
fn work_that_waits_for_a_lost_answer_continues() {
    let (mut accepted, mut started, mut told, mut known) = (vec![], vec![], vec![], vec![]);
    for seed in 0..6 {
        let mut sim = Simulation::new(2_100 + seed, 3, 16);
        use_long_leases(&mut sim);
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 6_000);
        sim.network.faults.transaction_answer_lost = 0.5;
        for j in 0..20 {
            let id = format!("j-{j}");
            let at = sim.now_ms;
            let r = sim.submit(j % 3, job(&id, 1));
            // Another controller is asked about it at once, and goes on with what it finds.
            sim.await_answer(r);
            accepted.push(sim.now_ms - at);
            let r = sim.status((j + 1) % 3, &id);
            assert!(!matches!(sim.await_answer(r), UserReply::NotFound));
            sim.run_until(30_000, "runs", |sim| {
                sim.metrics.first_run_ms.contains_key(&id)
            });
            started.push(sim.metrics.first_run_ms[&id] - at);
            if j % 4 == 3 {
                told.push(
                    time_to_confirm_cancel(&mut sim, j + 2, &id).expect("told within a minute"),
                );
                continue;
            }
            sim.run_until(30_000, "ends", |sim| {
                sim.completed_tasks.iter().any(|t| t.job == id)
            });
            let ended = sim.now_ms;
            let done = JobState::Done;
            loop {
                let r = sim.status(j % 3, &id);
                match sim.await_answer(r) {
                    UserReply::Status { state, .. } if state == done => break,
                    _ => sim.run(50),
                }
            }
            known.push(sim.now_ms - ended);
        }
        sim.network.faults = FaultRates::default();
        sim.run(60_000);
        sim.check_records();
    }
    let of = [&mut accepted, &mut started, &mut told, &mut known].map(|v| percentile(v, 95));
    eprintln!("p95 of accepted, first start, cancellation told, done known: {of:?} ms");
    assert!(of[0] <= 2_000, "accepted: {of:?}");
    assert!(of[1] <= 6_000, "started: {of:?}");
    assert!(of[2] <= 8_000, "told: {of:?}");
    assert!(of[3] <= 3_000, "done: {of:?}");
}

/// An old report reaches every controller just as a new one begins. Of a machine that has died since it is no sign
/// of life for long, of one that lives it ends and starts nothing.
#[test]
fn stale_heartbeats_at_a_controller_start_are_harmless() {
    for seed in 0..8_u64 {
        let mut sim = Simulation::new(2_500 + seed, 3, 12);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        // Machines that are idle stay, so that those that die are few among them.
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
        // Two machines that run something die, one loses its lease, the others live.
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
        let from = sim.now_ms;
        let starts = sim.metrics.starts;
        sim.run_until(90_000, "services are up again", |sim| {
            sim.running("j-s") == 6
        });
        let took = sim.now_ms - from;
        let most = 2 * sim.settings.heartbeat_interval_ms + 16_000;
        assert!(took <= most, "seed {seed}: {took} ms");
        sim.run(60_000);
        assert_eq!(sim.running("j-l"), 4, "what lives runs on");
        // Each of what ran on dead machines is started once more, and nothing else.
        let again = sim.metrics.starts - starts;
        assert!(again <= 6, "seed {seed}: {again} starts");
        assert_eq!(sim.metrics.killed_by_lease, 0, "no lease ends");
        sim.check_records();
    }
}
