//! Processes that restart within a fraction of a second, before a heartbeat timeout: old connections, late copies of
//! old messages and repeats of committed requests meet the new incarnation. No task starts twice, every worker finds a
//! controller, and what peers recorded about the old incarnation does not affect the new one.

use glenmount_core::peers::PeerStatus;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, FaultRates, Simulation};

/// Durations of a restart: from less than peers take to learn of the exit to about the heartbeat timeout.
const RESTART_MS: [u64; 6] = [20, 60, 150, 300, 500, 900];

const SERVICES: usize = 6;

fn service_id(i: usize) -> String {
    format!("j-{i}")
}

/// Starts three controllers and a fleet on which all services run.
fn with_running_services(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 30);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 3_000;
    sim.settings.lease_ms = 14_000;
    sim.settings.cancellation_timeout_ms = 44_000;
    sim.cloud.capacity = 0;
    sim.run(6_000);
    for i in 0..SERVICES {
        sim.submit(i % 3, service(&service_id(i), 3));
        sim.run(200);
    }
    sim.run_until(30_000, "up", all_running);
    sim
}

fn all_running(sim: &Simulation) -> bool {
    (0..SERVICES).all(|i| sim.running(&service_id(i)) == 3)
}

/// Asserts that all services kept running, every worker was heard within two heartbeat intervals, peers consider each
/// other healthy, and a new array completes.
fn assert_unharmed(sim: &mut Simulation, context: &str) {
    sim.run(9_000);
    assert!(all_running(sim), "{context}: services do not run");
    let oldest_heartbeat_ms = sim
        .now_ms
        .saturating_sub(2 * sim.settings.heartbeat_interval_ms);
    let stranded = sim
        .workers
        .values()
        .filter(|m| m.last_heard.at_ms < oldest_heartbeat_ms)
        .count();
    assert_eq!(stranded, 0, "{context}: no controller hears some workers");
    assert_eq!(
        sim.metrics.killed_by_lease, 0,
        "{context}: an expired lease ended tasks"
    );
    assert!(
        sim.cloud.deleted.is_empty(),
        "{context}: {:?}",
        sim.cloud.deleted
    );
    for n in 0..3 {
        let controller = sim.controllers[n]
            .controller
            .as_ref()
            .expect("the controller is back");
        assert!(controller.ready(), "{context}: controller {n} is not ready");
        for m in (0..3).filter(|m| *m != n) {
            let status = controller.status_of(&sim.settings.controllers[m]);
            assert_eq!(
                status,
                Some(PeerStatus::Healthy),
                "{context}: status of {m} at {n}"
            );
        }
    }
    let id = format!("j-9{}", sim.now_ms);
    sim.submit(0, job(&id, 6));
    sim.run_until(30_000, context, |sim| {
        sim.job_phase(&id) == Some(JobPhase::Done)
    });
    sim.check_records();
}

#[test]
fn one_two_or_all_controllers_restart_at_once() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        for controllers in [&[1][..], &[0, 2], &[0, 1, 2]] {
            let mut sim = with_running_services(200 + seed as u64);
            let starts = sim.metrics.starts;
            for n in controllers {
                sim.crash(*n, restart_ms);
            }
            sim.run(5_000);
            assert_eq!(
                sim.metrics.starts, starts,
                "back after {restart_ms} ms: {controllers:?}: tasks were restarted"
            );
            assert_unharmed(
                &mut sim,
                &format!("{controllers:?} back after {restart_ms} ms"),
            );
        }
    }
}

/// Peers must not confuse the incarnations of a controller, nor take longer to accept each new one.
#[test]
fn one_controller_restarts_ten_times() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        let mut sim = with_running_services(220 + seed as u64);
        for crash in 0..10 {
            sim.crash(1, restart_ms);
            sim.run(restart_ms + 40 * crash);
        }
        assert_unharmed(
            &mut sim,
            &format!("ten crashes, back after {restart_ms} ms"),
        );
    }
}

/// The controller that takes over crashes too, and both are back before the failover is complete.
#[test]
fn a_controller_restarts_during_a_failover_and_a_relist() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        for gap_ms in [5, 30, 120, 600] {
            let mut sim = with_running_services(240 + seed as u64);
            sim.crash(0, 2_000);
            sim.run(gap_ms);
            // Controller 1 has taken over from controller 0; controller 2 has just begun to relist all records.
            sim.crash(1, restart_ms);
            sim.run(restart_ms + 3);
            sim.crash(1, restart_ms);
            sim.run(2_500);
            assert_unharmed(
                &mut sim,
                &format!("gap {gap_ms} ms, back after {restart_ms} ms"),
            );
        }
    }
}

/// A worker that is redirected to a controller finds it down, or in its next incarnation.
#[test]
fn a_controller_restarts_during_a_handoff_of_workers() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        let mut sim = with_running_services(260 + seed as u64);
        sim.crash(2, 9_000);
        sim.run(9_500);
        // Its peers have taken over all its workers and now hand some back.
        for _ in 0..6 {
            sim.run(700);
            sim.crash(2, restart_ms);
        }
        assert_unharmed(&mut sim, &format!("back after {restart_ms} ms"));
    }
}

/// Claims, results and cancellations are in flight when a controller crashes. The state service and the workers apply
/// the messages of the old incarnation after the restart, or have applied them while the answer is lost.
#[test]
fn messages_of_an_earlier_incarnation_arrive_late() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        let mut sim = with_running_services(280 + seed as u64);
        sim.network.faults.transaction_answer_lost = 0.3;
        sim.network.faults.transaction_late = 0.3;
        sim.network.faults.command_late = 0.3;
        sim.network.faults.heartbeat_late = 0.2;
        sim.network.faults.heartbeat_duplicated = 0.3;
        for i in 0..6 {
            let id = format!("j-5{i}");
            sim.submit(i % 3, job(&id, 8));
            sim.run(40 + 30 * i as u64);
            sim.crash(i % 3, restart_ms);
            sim.run(restart_ms / 2);
        }
        sim.run(2_000);
        sim.network.faults = FaultRates::default();
        // Users repeat a submission whose answer was lost in the crash.
        for i in 0..6 {
            let id = format!("j-5{i}");
            sim.submit((i + 1) % 3, job(&id, 8));
        }
        sim.run_until(90_000, "all done", |sim| {
            (0..6).all(|i| sim.job_phase(&format!("j-5{i}")) == Some(JobPhase::Done))
        });
        let killed_by_lease = sim.metrics.killed_by_lease;
        sim.run(12_000);
        assert!(
            all_running(&sim) && sim.metrics.killed_by_lease == killed_by_lease,
            "back after {restart_ms} ms"
        );
        sim.check_records();
    }
}

/// A worker process restarts with a newer incarnation, which proves that its tasks have ended. They must start again,
/// and the machine must not be treated as silent.
#[test]
fn a_worker_restarts_with_a_newer_incarnation() {
    for (seed, restart_ms) in RESTART_MS.into_iter().enumerate() {
        let mut sim = with_running_services(300 + seed as u64);
        for round in 0..3 {
            let machine = sim
                .machine_of(&service_id(round))
                .expect("the service runs");
            sim.restart_machine(&machine, restart_ms);
            sim.run(30);
            // A controller crashes at the same moment, in the second of the three rounds.
            if round == 1 {
                sim.crash(0, restart_ms);
            }
            sim.run_until(20_000, "up again", all_running);
        }
        assert_unharmed(&mut sim, &format!("worker back after {restart_ms} ms"));
    }
}
