//! Processes that end and are back within a fraction of a second, before anybody has missed them: old connections,
//! late copies of old messages and repeats of committed requests meet the new incarnation. No start is given twice,
//! no worker is stranded, and nothing learned of the old incarnation is held against the new one.

use glenmount_core::peers::PeerStatus;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, FaultRates, Simulation};

/// Milliseconds after which a process is back: from less than an end takes to be told to about as
/// long as heartbeats are missed.
const BACK: [u64; 6] = [20, 60, 150, 300, 500, 900];

const SERVICES: usize = 6;

fn name(i: usize) -> String {
    format!("j-{i}")
}

/// Three controllers, machines that all have reported, and services that run.
fn busy(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 30);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 3_000;
    sim.settings.lease_ms = 14_000;
    sim.settings.cancellation_timeout_ms = 44_000;
    sim.cloud.capacity = 0;
    sim.run(6_000);
    for i in 0..SERVICES {
        sim.submit(i % 3, service(&name(i), 3));
        sim.run(200);
    }
    sim.run_until(30_000, "up", up);
    sim
}

fn up(sim: &Simulation) -> bool {
    (0..SERVICES).all(|i| sim.running(&name(i)) == 3)
}

/// All services ran on, every worker is heard within two reports and a move, peers take each
/// other for well, and an array goes through.
fn unharmed(sim: &mut Simulation, what: &str) {
    sim.run(9_000);
    assert!(up(sim), "{what}: services");
    let most = sim
        .now_ms
        .saturating_sub(2 * sim.settings.heartbeat_interval_ms);
    let stranded = sim
        .workers
        .values()
        .filter(|m| m.last_heard.at_ms < most)
        .count();
    assert_eq!(stranded, 0, "{what}: workers that nobody hears");
    assert_eq!(
        sim.metrics.killed_by_lease, 0,
        "{what}: tasks ended by their lease"
    );
    assert!(
        sim.cloud.deleted.is_empty(),
        "{what}: {:?}",
        sim.cloud.deleted
    );
    for n in 0..3 {
        let controller = sim.controllers[n].controller.as_ref().expect("it is back");
        assert!(controller.ready(), "{what}: node {n}");
        for m in (0..3).filter(|m| *m != n) {
            let sign = controller.status_of(&sim.settings.controllers[m]);
            assert_eq!(sign, Some(PeerStatus::Healthy), "{what}: {m} to {n}");
        }
    }
    let id = format!("j-9{}", sim.now_ms);
    sim.submit(0, job(&id, 6));
    sim.run_until(30_000, what, |sim| {
        sim.job_phase(&id) == Some(JobPhase::Done)
    });
    sim.check_records();
}

#[test]
fn one_two_or_all_controllers_restart_at_once() {
    for (seed, back) in BACK.into_iter().enumerate() {
        for who in [&[1][..], &[0, 2], &[0, 1, 2]] {
            let mut sim = busy(200 + seed as u64);
            let starts = sim.metrics.starts;
            for n in who {
                sim.crash(*n, back);
            }
            sim.run(5_000);
            assert_eq!(
                sim.metrics.starts, starts,
                "back after {back}: {who:?}: started anew"
            );
            unharmed(&mut sim, &format!("{who:?} back after {back}"));
        }
    }
}

/// What counts lives must not mix them up, nor wait longer each time.
#[test]
fn one_controller_restarts_ten_times() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut sim = busy(220 + seed as u64);
        for end in 0..10 {
            sim.crash(1, back);
            sim.run(back + 40 * end);
        }
        unharmed(&mut sim, &format!("ten times, back after {back}"));
    }
}

/// The controller that takes over ends as well, and both are back before the failover is done.
#[test]
fn a_controller_restarts_during_a_failover_and_a_relist() {
    for (seed, back) in BACK.into_iter().enumerate() {
        for gap in [5, 30, 120, 600] {
            let mut sim = busy(240 + seed as u64);
            sim.crash(0, 2_000);
            sim.run(gap);
            // It does what the other did; the third has just begun to read all records.
            sim.crash(1, back);
            sim.run(back + 3);
            sim.crash(1, back);
            sim.run(2_500);
            unharmed(&mut sim, &format!("gap {gap}, back after {back}"));
        }
    }
}

/// A worker that is sent to a controller finds it gone, or in its next life.
#[test]
fn a_controller_restarts_during_a_handoff_of_workers() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut sim = busy(260 + seed as u64);
        sim.crash(2, 9_000);
        sim.run(9_500);
        // Its peers have all its workers, and give some back from now on.
        for _ in 0..6 {
            sim.run(700);
            sim.crash(2, back);
        }
        unharmed(&mut sim, &format!("back after {back}"));
    }
}

/// What the old incarnation asked for is carried out in the new one's time, or was and is not known to have
/// been: claims, results and cancellations under way at the end.
#[test]
fn messages_of_an_earlier_incarnation_arrive_late() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut sim = busy(280 + seed as u64);
        sim.network.faults.transaction_answer_lost = 0.3;
        sim.network.faults.transaction_late = 0.3;
        sim.network.faults.command_late = 0.3;
        sim.network.faults.heartbeat_late = 0.2;
        sim.network.faults.heartbeat_duplicated = 0.3;
        for i in 0..6 {
            let id = format!("j-5{i}");
            sim.submit(i % 3, job(&id, 8));
            sim.run(40 + 30 * i as u64);
            sim.crash(i % 3, back);
            sim.run(back / 2);
        }
        sim.run(2_000);
        sim.network.faults = FaultRates::default();
        // An acceptance that was lost with the controller is asked again by its user.
        for i in 0..6 {
            let id = format!("j-5{i}");
            sim.submit((i + 1) % 3, job(&id, 8));
        }
        sim.run_until(90_000, "all done", |sim| {
            (0..6).all(|i| sim.job_phase(&format!("j-5{i}")) == Some(JobPhase::Done))
        });
        let killed = sim.metrics.killed_by_lease;
        sim.run(12_000);
        assert!(
            up(&sim) && sim.metrics.killed_by_lease == killed,
            "back after {back}"
        );
        sim.check_records();
    }
}

/// A machine's own process is back as a newer incarnation: its tasks are gone, which that proves; they
/// are started anew, and nothing of the machine's silence is held against it.
#[test]
fn a_worker_restarts_with_a_newer_incarnation() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut sim = busy(300 + seed as u64);
        for round in 0..3 {
            let machine = sim.machine_of(&name(round)).expect("it runs somewhere");
            sim.restart_machine(&machine, back);
            sim.run(30);
            // A controller ends in the same moment, in every second round.
            if round == 1 {
                sim.crash(0, back);
            }
            sim.run_until(20_000, "up again", up);
        }
        unharmed(&mut sim, &format!("machine back after {back}"));
    }
}
