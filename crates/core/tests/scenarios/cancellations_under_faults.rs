//! Cancellations while several faults coincide.

use crate::common::{
    cancel_until_confirmed, is_cancel_confirmed, is_running, led, time_to_confirm_cancel,
};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::JobState;
use glenmount_simulation::rate_limits::TokenBucket;
use glenmount_simulation::{
    dependent_job, job, service, use_long_leases, FaultRates, Simulation, Worker,
};

/// What else happens in the scenario below.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Also {
    Nothing,
    /// The controller that confirmed ends right after.
    ConfirmingEnds,
    /// The refused one ends during the outage, and is back at once, without records.
    RefusedEnds,
    /// Machines hang for longer than a command is waited for, and go on.
    MachinesHang,
    /// What the refused controller sent last is carried out after the cancellation.
    LateWrites,
}

const ALSO: [Also; 5] = [
    Also::Nothing,
    Also::ConfirmingEnds,
    Also::RefusedEnds,
    Also::MachinesHang,
    Also::LateWrites,
];

/// The state service refuses the controller that all workers report to; another confirms a cancellation;
/// then it is down for all for longer than `cancel_s`, while workers go on reporting to the first.
/// The simulation checks at every step that nothing of what was told to be cancelled is left in time.
#[test]
fn cancellations_hold_when_one_controller_is_refused_before_an_outage() {
    let (mut told, mut least) = (0, u64::MAX);
    let refused_before = [10, 1_000, 4_000, 30_000];
    let cases = (0..60).map(|i| (i % 2 == 0, i / 2 % 2 == 0, i / 4 % 3, ALSO[i / 12 % 5], i));
    for (old, linked, halts, also, i) in cases {
        let what = format!("old {old} linked {linked} halts {halts} {also:?}");
        let mut sim = match old {
            true => Simulation::previous_version(40 + i as u64, 3, 6),
            false => Simulation::new(40 + i as u64, 3, 6),
        };
        if old {
            sim.run(9_000);
            sim.upgrade(0, 500);
            sim.run(4_000);
            sim.upgrade(1, 500);
        }
        let mut sim = led(sim, 8);
        if !old {
            let r = sim.submit(1, dependent_job("j-2", 1, &["j-1"]));
            sim.await_answer(r);
        }
        if also == Also::LateWrites {
            sim.network.faults.transaction_late = 1.0;
            sim.submit(0, job("j-3", 2));
            sim.run(100);
            sim.network.faults.transaction_late = 0.0;
        }
        sim.controllers[0].refused_by_state = true;
        sim.controllers[0].cut_from_peers = !linked;
        sim.run(refused_before[i % 4]);
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
            worker.disconnected = also == Also::MachinesHang && i % 3 == 0;
        }
        // The stops that the other sends arrive, or none does, nor do workers reach the others.
        sim.network.faults.command_lost = f64::from(u8::from(halts == 1));
        for n in 1..3 {
            sim.controllers[n].cut_from_workers = halts == 2;
        }
        let at = cancel_until_confirmed(&mut sim, 1, "j-1", [100, 2_000, 5_000][i % 3]);
        told += u32::from(at.is_some());
        sim.state.is_down = true;
        let down = sim.now_ms;
        if also == Also::ConfirmingEnds {
            sim.crash(1, 3_000);
        }
        let (mut gone, mut reported) = (None, false);
        for step in 0..sim.settings.cancellation_timeout_ms / 500 + 20 {
            // They stay with the old leader as far as it lets them.
            for worker in sim.workers.values_mut() {
                worker.controller = 0;
                worker.disconnected &= step < 6;
            }
            if step == 10 && also == Also::RefusedEnds {
                sim.crash(0, 200);
            }
            sim.run(500);
            let heard =
                |x: &Worker| x.last_heard.controller == 0 && x.last_heard.at_ms > down + 20_000;
            reported |= sim.workers.values().any(heard);
            gone = gone.or((sim.running("j-1") == 0).then_some(sim.now_ms));
        }
        if let Some(at) = at {
            let gone = gone.unwrap_or(u64::MAX);
            assert!(gone <= at + sim.settings.cancellation_timeout_ms, "{what}");
            least = least.min(at + sim.settings.cancellation_timeout_ms - gone);
        }
        assert!(reported, "they report to it all the time: {what}");
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.run(20_000);
        let at = at.or_else(|| cancel_until_confirmed(&mut sim, 2, "j-1", 60_000));
        assert!(at.is_some(), "told in the end: {what}");
        if old {
            sim.upgrade(2, 500);
        }
        sim.run(40_000);
        assert_eq!(sim.running("j-1"), 0);
        if !old {
            let r = sim.status(1, "j-2");
            let state = JobState::Cancelled;
            assert!(
                matches!(sim.await_answer(r), UserReply::Status { state: s, .. } if s == state)
            );
        }
        sim.check_records();
    }
    eprintln!("told before the outage: {told} of 60; least time to spare: {least} ms");
    assert!(told >= 25, "most are told before the outage: {told}");
}

/// It is no solution to confirm hardly anything: with one controller refused, and the machines reachable,
/// cancellations are told as soon as without that.
#[test]
fn cancellations_are_confirmed_as_fast_while_one_controller_is_refused() {
    for linked in [true, false] {
        let mut waits = [Vec::new(), Vec::new()];
        for (refused, waits) in waits.iter_mut().enumerate() {
            let mut sim = Simulation::new(170, 3, 12);
            sim.run(9_000);
            sim.workload.run_ms = 600_000;
            for i in 0..20 {
                sim.submit(i % 3, job(&format!("j-{i}"), 1));
            }
            let up = |sim: &Simulation| (0..20).all(|i| sim.running(&format!("j-{i}")) == 1);
            sim.run_until(60_000, "up", up);
            sim.controllers[0].refused_by_state = refused == 1;
            sim.controllers[0].cut_from_peers = refused == 1 && !linked;
            sim.run(8_000);
            for i in 0..20 {
                let at = sim.now_ms;
                let told = cancel_until_confirmed(&mut sim, 1 + i % 2, &format!("j-{i}"), 60_000);
                waits.push(told.expect("told within 60 s") - at);
                sim.run(200);
            }
        }
        let [without, with] = waits.map(|waits| waits.iter().filter(|ms| **ms <= 5_000).count());
        assert_eq!(
            (without, with),
            (20, 20),
            "linked {linked}: told within 5 s"
        );
    }
}

/// Users repeat one cancellation thousands of times, through all controllers; cancel hundreds of jobs at once;
/// and cancel what nobody submitted while the state service is down. All get an answer at once or are
/// told when to come back, others are served meanwhile, and nothing is invented.
#[test]
fn a_flood_of_cancellations_blocks_no_other_request() {
    let mut sim = Simulation::new(180, 3, 6);
    sim.run(9_000);
    sim.workload.run_ms = 600_000;
    sim.service_limits.state_changes = Some(TokenBucket::new(90.0, 1.0));
    let r = sim.submit(0, service("j-1", 4));
    sim.await_answer(r);
    sim.run_until(20_000, "up", |sim| is_running(sim, "j-1"));
    let before = sim.state.changes;
    for i in 0..4_000 {
        sim.cancel(i % 3, "j-1");
        if i % 100 == 0 {
            sim.run(20);
        }
    }
    sim.run(5_000);
    assert_eq!(sim.running("j-1"), 0);
    assert!(
        sim.state.changes - before < 40,
        "{} changes",
        sim.state.changes - before
    );
    // Hundreds of jobs, most of which wait.
    let ids: Vec<String> = (0..300).map(|i| format!("j-{}", 1_000 + i)).collect();
    for (i, id) in ids.iter().enumerate() {
        while sim.job_phase(id).is_none() {
            sim.submit(i % 3, job(id, 1));
            sim.run(60);
        }
    }
    let asked: Vec<RequestId> = (ids.iter().enumerate())
        .map(|(i, id)| sim.cancel(i % 3, id))
        .collect();
    let r = sim.submit(1, job("j-9", 1));
    sim.run(5_000);
    assert!(
        asked.iter().all(|r| sim.answers.contains_key(r)),
        "each is answered within 5 s"
    );
    assert!(
        matches!(sim.await_answer(r), UserReply::Accepted { .. }),
        "others are served"
    );
    // Those told to come back do.
    for (i, id) in ids.iter().enumerate() {
        assert!(
            cancel_until_confirmed(&mut sim, i % 3, id, 60_000).is_some(),
            "{id}"
        );
    }
    sim.state.is_down = true;
    sim.run(4_000);
    for n in 0..3 {
        let r = sim.cancel(n, "j-404");
        assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    }
    sim.heal_all();
    sim.run(4_000);
    let r = sim.cancel(0, "j-404");
    assert!(matches!(sim.await_answer(r), UserReply::NotFound));
    sim.check_records();
}

/// Cancelled tasks on machines that hang and go on, inside their lease and after it, with starts and stops that
/// were on their way meanwhile: nothing of them is left when it is told, nor starts after.
#[test]
fn cancelled_tasks_on_stalled_workers_do_not_run_on() {
    for seed in 0..12_u64 {
        let mut sim = Simulation::new(3_600 + seed, 3, 8);
        if seed % 2 == 0 {
            use_long_leases(&mut sim);
        }
        sim.run(15_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 600_000);
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        // Some hang just before their starts come, some while they run.
        let hang_ms = sim.settings.lease_ms * [1, 2, 3, 5][seed as usize % 4] / 4;
        for name in names.iter().take(4) {
            sim.stall(name, hang_ms);
        }
        for j in 0..4 {
            sim.submit(j % 3, job(&format!("j-{j}"), 2));
        }
        sim.run(400);
        for name in names.iter().skip(4).take(2) {
            sim.stall(name, hang_ms);
        }
        for j in 0..4 {
            sim.cancel((j + 1) % 3, &format!("j-{j}"));
        }
        sim.crash(seed as usize % 3, 300);
        for j in 0..4 {
            let id = format!("j-{j}");
            assert!(is_cancel_confirmed(&mut sim, &id), "seed {seed}: {id}");
            let starts = sim.metrics.starts;
            sim.run(300);
            assert_eq!(sim.running(&id), 0, "nothing is left when it is told");
            assert!(sim.metrics.starts - starts <= 8);
        }
        let starts = sim.metrics.starts;
        sim.run(hang_ms + sim.settings.cancellation_timeout_ms);
        assert_eq!(sim.metrics.starts, starts, "nothing starts after");
        sim.check_records();
    }
}

/// Jobs are cancelled in the seconds in which one controller's work changes hands: at every 50 ms from before its
/// end to after its return, as it leaves in good order, ends, or is away for a moment.
#[test]
fn jobs_are_cancelled_during_a_handoff() {
    let mut slowest = 0;
    for way in 0..4 {
        let mut sim = Simulation::new(2_300 + way, 3, 20);
        sim.run(9_000);
        (sim.cloud.capacity, sim.workload.run_ms) = (0, 600_000);
        let ids: Vec<String> = (0..40).map(|j| format!("j-{j:02}")).collect();
        for (j, id) in ids.iter().enumerate() {
            sim.submit(j % 3, job(id, 1));
        }
        sim.run_until(30_000, "up", |sim| {
            ids.iter().all(|id| sim.running(id) == 1)
        });
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(2_000);
        let mut asked = Vec::new();
        for (j, id) in ids.iter().enumerate() {
            if j == 6 {
                match way {
                    0 => sim.shut_down(0, 700),
                    1 => sim.crash(0, 20),
                    2 => sim.crash(0, 900),
                    _ => sim.pause(0, 1_500),
                }
            }
            asked.push((sim.cancel(j % 3, id), id.clone()));
            sim.run(50);
        }
        let from = sim.now_ms;
        for (j, (_, id)) in asked.iter().enumerate() {
            let told = sim.user_views[id].cancelled_ms.is_some();
            let took = if told {
                0
            } else {
                time_to_confirm_cancel(&mut sim, j, id).expect("told")
            };
            slowest = slowest.max(took);
        }
        assert!(
            sim.now_ms < from + 40_000,
            "way {way}: {} ms",
            sim.now_ms - from
        );
        sim.run(sim.settings.cancellation_timeout_ms);
        assert!(ids.iter().all(|id| sim.running(id) == 0));
        sim.check_records();
    }
    eprintln!("the slowest took {slowest} ms beyond the hand-over");
}
