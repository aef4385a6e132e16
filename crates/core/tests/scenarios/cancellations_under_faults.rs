//! Cancellations while several faults coincide.

use crate::common::{
    cancel_until_confirmed, is_cancel_confirmed, is_running, time_to_confirm_cancel,
    with_workers_on_controller_0,
};
use glenmount_core::controller::{RequestId, UserReply};
use glenmount_core::model::JobState;
use glenmount_simulation::rate_limits::TokenBucket;
use glenmount_simulation::{
    dependent_job, job, service, use_long_leases, FaultRates, Simulation, Worker,
};

/// An additional fault in the scenario below.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The controller that confirmed the cancellation crashes right after.
    ConfirmingControllerCrashes,
    /// The refused controller restarts during the outage, with an empty cache.
    RefusedControllerRestarts,
    /// Workers are disconnected for longer than a command's timeout, then come back.
    WorkersDisconnect,
    /// The state service applies the last transaction of the refused controller after the cancellation.
    LateTransactions,
}

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::ConfirmingControllerCrashes,
    Fault::RefusedControllerRestarts,
    Fault::WorkersDisconnect,
    Fault::LateTransactions,
];

/// The state service refuses the controller that all workers report to; a peer confirms a cancellation; then the state
/// service is down for all for longer than `cancel_s`, while workers keep reporting to the refused controller. The
/// simulation checks at every step that no task of a job confirmed as cancelled outlives the bound.
#[test]
fn cancellations_hold_when_one_controller_is_refused_before_an_outage() {
    let (mut confirmed, mut spare_ms) = (0, u64::MAX);
    let refused_for_ms = [10, 1_000, 4_000, 30_000];
    let cases = (0..60).map(|i| (i % 2 == 0, i / 2 % 2 == 0, i / 4 % 3, FAULTS[i / 12 % 5], i));
    for (is_upgrade, has_peers, command_fault, fault, i) in cases {
        let context =
            format!("upgrade {is_upgrade} peers {has_peers} commands {command_fault} {fault:?}");
        let mut sim = match is_upgrade {
            true => Simulation::previous_version(40 + i as u64, 3, 6),
            false => Simulation::new(40 + i as u64, 3, 6),
        };
        if is_upgrade {
            sim.run(9_000);
            sim.upgrade(0, 500);
            sim.run(4_000);
            sim.upgrade(1, 500);
        }
        let mut sim = with_workers_on_controller_0(sim, 8);
        if !is_upgrade {
            let request = sim.submit(1, dependent_job("j-2", 1, &["j-1"]));
            sim.await_answer(request);
        }
        if fault == Fault::LateTransactions {
            sim.network.faults.transaction_late = 1.0;
            sim.submit(0, job("j-3", 2));
            sim.run(100);
            sim.network.faults.transaction_late = 0.0;
        }
        sim.controllers[0].refused_by_state = true;
        sim.controllers[0].cut_from_peers = !has_peers;
        sim.run(refused_for_ms[i % 4]);
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
            worker.disconnected = fault == Fault::WorkersDisconnect && i % 3 == 0;
        }
        // Case 0: the peer's stop commands arrive. Case 1: they are lost. Case 2: the peers also lose their workers.
        sim.network.faults.command_lost = f64::from(u8::from(command_fault == 1));
        for n in 1..3 {
            sim.controllers[n].cut_from_workers = command_fault == 2;
        }
        let confirmed_ms = cancel_until_confirmed(&mut sim, 1, "j-1", [100, 2_000, 5_000][i % 3]);
        confirmed += u32::from(confirmed_ms.is_some());
        sim.state.is_down = true;
        let outage_ms = sim.now_ms;
        if fault == Fault::ConfirmingControllerCrashes {
            sim.crash(1, 3_000);
        }
        let (mut ended_ms, mut reported) = (None, false);
        for step in 0..sim.settings.cancellation_timeout_ms / 500 + 20 {
            // The workers stay with controller 0 for as long as it answers them.
            for worker in sim.workers.values_mut() {
                worker.controller = 0;
                worker.disconnected &= step < 6;
            }
            if step == 10 && fault == Fault::RefusedControllerRestarts {
                sim.crash(0, 200);
            }
            sim.run(500);
            let heard = |x: &Worker| {
                x.last_heard.controller == 0 && x.last_heard.at_ms > outage_ms + 20_000
            };
            reported |= sim.workers.values().any(heard);
            ended_ms = ended_ms.or((sim.running("j-1") == 0).then_some(sim.now_ms));
        }
        if let Some(at_ms) = confirmed_ms {
            let ended_ms = ended_ms.unwrap_or(u64::MAX);
            assert!(
                ended_ms <= at_ms + sim.settings.cancellation_timeout_ms,
                "{context}"
            );
            spare_ms = spare_ms.min(at_ms + sim.settings.cancellation_timeout_ms - ended_ms);
        }
        assert!(reported, "workers report to the refused one: {context}");
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        sim.run(20_000);
        let confirmed_ms =
            confirmed_ms.or_else(|| cancel_until_confirmed(&mut sim, 2, "j-1", 60_000));
        assert!(confirmed_ms.is_some(), "confirmed in the end: {context}");
        if is_upgrade {
            sim.upgrade(2, 500);
        }
        sim.run(40_000);
        assert_eq!(sim.running("j-1"), 0);
        if !is_upgrade {
            let request = sim.status(1, "j-2");
            let state = JobState::Cancelled;
            assert!(
                matches!(sim.await_answer(request), UserReply::Status { state: s, .. } if s == state)
            );
        }
        sim.check_records();
    }
    eprintln!("confirmed before the outage: {confirmed} of 60; least time to spare: {spare_ms} ms");
    assert!(
        confirmed >= 25,
        "too few confirmed before the outage: {confirmed}"
    );
}

/// Confirming hardly any cancellation would satisfy the bound as well. While the state service refuses one controller
/// and the workers are reachable, cancellations must be confirmed as fast as without the fault.
#[test]
fn cancellations_are_confirmed_as_fast_while_one_controller_is_refused() {
    for has_peers in [true, false] {
        let mut waits_ms = [Vec::new(), Vec::new()];
        for (refused, waits_ms) in waits_ms.iter_mut().enumerate() {
            let mut sim = Simulation::new(170, 3, 12);
            sim.run(9_000);
            sim.workload.run_ms = 600_000;
            for i in 0..20 {
                sim.submit(i % 3, job(&format!("j-{i}"), 1));
            }
            let up = |sim: &Simulation| (0..20).all(|i| sim.running(&format!("j-{i}")) == 1);
            sim.run_until(60_000, "up", up);
            sim.controllers[0].refused_by_state = refused == 1;
            sim.controllers[0].cut_from_peers = refused == 1 && !has_peers;
            sim.run(8_000);
            for i in 0..20 {
                let cancelled_ms = sim.now_ms;
                let confirmed_ms =
                    cancel_until_confirmed(&mut sim, 1 + i % 2, &format!("j-{i}"), 60_000);
                waits_ms.push(confirmed_ms.expect("confirmed within 60 s") - cancelled_ms);
                sim.run(200);
            }
        }
        let [without, with] =
            waits_ms.map(|waits_ms| waits_ms.iter().filter(|ms| **ms <= 5_000).count());
        assert_eq!(
            (without, with),
            (20, 20),
            "reaches peers {has_peers}: confirmed within 5 s"
        );
    }
}

/// Users repeat one cancellation thousands of times at all controllers, cancel hundreds of jobs at once, and cancel an
/// unknown job while the state service is down. Every request must be answered or told to retry at once, other users
/// must be served meanwhile, and no answer may contradict the records.
#[test]
fn a_flood_of_cancellations_blocks_no_other_request() {
    let mut sim = Simulation::new(180, 3, 6);
    sim.run(9_000);
    sim.workload.run_ms = 600_000;
    sim.service_limits.state_changes = Some(TokenBucket::new(90.0, 1.0));
    let request = sim.submit(0, service("j-1", 4));
    sim.await_answer(request);
    sim.run_until(20_000, "up", |sim| is_running(sim, "j-1"));
    let changes_before = sim.state.changes;
    for i in 0..4_000 {
        sim.cancel(i % 3, "j-1");
        if i % 100 == 0 {
            sim.run(20);
        }
    }
    sim.run(5_000);
    assert_eq!(sim.running("j-1"), 0);
    assert!(
        sim.state.changes - changes_before < 40,
        "{} changes",
        sim.state.changes - changes_before
    );
    // Hundreds of jobs, most of which are pending.
    let ids: Vec<String> = (0..300).map(|i| format!("j-{}", 1_000 + i)).collect();
    for (i, id) in ids.iter().enumerate() {
        while sim.job_phase(id).is_none() {
            sim.submit(i % 3, job(id, 1));
            sim.run(60);
        }
    }
    let requests: Vec<RequestId> = (ids.iter().enumerate())
        .map(|(i, id)| sim.cancel(i % 3, id))
        .collect();
    let request = sim.submit(1, job("j-9", 1));
    sim.run(5_000);
    assert!(
        requests.iter().all(|r| sim.answers.contains_key(r)),
        "every request is answered within 5 s"
    );
    assert!(
        matches!(sim.await_answer(request), UserReply::Accepted { .. }),
        "other requests are served"
    );
    // Users who are told to retry do so.
    for (i, id) in ids.iter().enumerate() {
        assert!(
            cancel_until_confirmed(&mut sim, i % 3, id, 60_000).is_some(),
            "{id}"
        );
    }
    sim.state.is_down = true;
    sim.run(4_000);
    for n in 0..3 {
        let request = sim.cancel(n, "j-404");
        assert!(matches!(
            sim.await_answer(request),
            UserReply::RetryAfter { .. }
        ));
    }
    sim.heal_all();
    sim.run(4_000);
    let request = sim.cancel(0, "j-404");
    assert!(matches!(sim.await_answer(request), UserReply::NotFound));
    sim.check_records();
}

/// Cancelled tasks are on machines that stall and resume, within their lease and after it, with start and stop commands
/// in flight. No task may run once the cancellation is confirmed, nor start afterwards.
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
        // Some machines stall just before their start commands arrive, some while they run tasks.
        let stall_ms = sim.settings.lease_ms * [1, 2, 3, 5][seed as usize % 4] / 4;
        for name in names.iter().take(4) {
            sim.stall(name, stall_ms);
        }
        for j in 0..4 {
            sim.submit(j % 3, job(&format!("j-{j}"), 2));
        }
        sim.run(400);
        for name in names.iter().skip(4).take(2) {
            sim.stall(name, stall_ms);
        }
        for j in 0..4 {
            sim.cancel((j + 1) % 3, &format!("j-{j}"));
        }
        sim.crash(seed as usize % 3, 300);
        for j in 0..4 {
            let id = format!("j-{j}");
            assert!(is_cancel_confirmed(&mut sim, &id), "seed {seed}: {id}");
            let starts_before = sim.metrics.starts;
            sim.run(300);
            assert_eq!(
                sim.running(&id),
                0,
                "no task runs once the cancellation is confirmed"
            );
            assert!(sim.metrics.starts - starts_before <= 8);
        }
        let starts_before = sim.metrics.starts;
        sim.run(stall_ms + sim.settings.cancellation_timeout_ms);
        assert_eq!(
            sim.metrics.starts, starts_before,
            "no task starts afterwards"
        );
        sim.check_records();
    }
}

/// Users cancel jobs every 50 ms while a controller's workers move to its peers, from before the controller goes away
/// to after its return: it shuts down gracefully, crashes, or pauses.
#[test]
fn jobs_are_cancelled_during_a_handoff() {
    let mut slowest_ms = 0;
    for fault in 0..4 {
        let mut sim = Simulation::new(2_300 + fault, 3, 20);
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
        let mut requests = Vec::new();
        for (j, id) in ids.iter().enumerate() {
            if j == 6 {
                match fault {
                    0 => sim.shut_down(0, 700),
                    1 => sim.crash(0, 20),
                    2 => sim.crash(0, 900),
                    _ => sim.pause(0, 1_500),
                }
            }
            requests.push((sim.cancel(j % 3, id), id.clone()));
            sim.run(50);
        }
        let start_ms = sim.now_ms;
        for (j, (_, id)) in requests.iter().enumerate() {
            let confirmed = sim.user_views[id].cancelled_ms.is_some();
            let wait_ms = if confirmed {
                0
            } else {
                time_to_confirm_cancel(&mut sim, j, id).expect("the cancellation is confirmed")
            };
            slowest_ms = slowest_ms.max(wait_ms);
        }
        assert!(
            sim.now_ms < start_ms + 40_000,
            "fault {fault}: {} ms",
            sim.now_ms - start_ms
        );
        sim.run(sim.settings.cancellation_timeout_ms);
        assert!(ids.iter().all(|id| sim.running(id) == 0));
        sim.check_records();
    }
    eprintln!("the slowest cancellation took {slowest_ms} ms after the handoff");
}
