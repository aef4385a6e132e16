//! Outages of the state service.

use crate::common::{cancel_until_confirmed, is_answered, started_cluster};
use glenmount_core::controller::UserReply;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, FaultRates, Simulation};

#[test]
fn leases_and_tasks_survive_a_state_service_outage() {
    let mut sim = started_cluster(14, 3, 2);
    sim.submit(0, service("j-1", 3));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 3);
    sim.state.is_down = true;
    sim.run(60_000);
    assert_eq!(sim.running("j-1"), 3);
    let request = sim.submit(0, job("j-2", 1));
    assert!(
        matches!(sim.await_answer(request), UserReply::RetryAfter { .. }),
        "the user is told to retry at once"
    );
    assert!(
        sim.controllers[0].controller.as_ref().unwrap().ready(),
        "no controller could serve better"
    );
    sim.state.is_down = false;
    sim.run(3_000);
    assert_eq!(sim.running("j-1"), 3);
    assert_eq!(sim.metrics.starts, 3);
    assert!(sim.workers.values().all(|worker| worker.incarnation == 1));
}

/// The state service answers slowly, refuses one controller, then is down for all for longer than `cancel_s`, while
/// users cancel jobs and request their status. Every job must be answered within 75 s of the end of the outage.
#[test]
fn every_request_is_answered_after_an_outage() {
    for seed in 0..3 {
        let mut sim = Simulation::new(110 + seed, 3, 8);
        sim.run(9_000);
        sim.workload.run_ms = 90_000;
        for i in 0..8 {
            sim.submit(i % 3, job(&format!("j-{i}"), 2));
        }
        sim.run(6_000);
        sim.network.faults.answer_slow = 1.0;
        sim.run(5_000);
        sim.controllers[seed as usize].refused_by_state = true;
        for i in 0..3 {
            for n in 0..3 {
                sim.cancel(n, &format!("j-{i}"));
            }
            sim.run(300);
        }
        sim.state.is_down = true;
        for _ in 0..sim.settings.cancellation_timeout_ms / 1_000 + 20 {
            for i in 3..5 {
                sim.cancel(i % 3, &format!("j-{i}"));
                sim.status(i % 3, &format!("j-{i}"));
            }
            sim.run(1_000);
        }
        sim.network.faults = FaultRates::default();
        sim.heal_all();
        let healed_ms = sim.now_ms;
        for i in 0..8 {
            for n in 0..3 {
                while !is_answered(&mut sim, n, &format!("j-{i}")) {
                    assert!(
                        sim.now_ms < healed_ms + 75_000,
                        "controller {n} does not answer for j-{i}"
                    );
                }
            }
        }
        for i in 0..5 {
            assert!(cancel_until_confirmed(&mut sim, i % 3, &format!("j-{i}"), 60_000).is_some());
        }
        let done = |sim: &Simulation| {
            (5..8).all(|i| sim.job_phase(&format!("j-{i}")) == Some(JobPhase::Done))
        };
        sim.run_until(200_000, "the other jobs are done", done);
        sim.check_records();
    }
}
