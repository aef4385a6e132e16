//! Short scenarios of processes that end and are back within a fraction of a second, before anybody has
//! missed them: old connections, late copies of old messages and repeats of what was carried out meet
//! the new life. No start is given twice (the world checks every rule at each step), no worker is
//! stranded, and nothing that was learned of the old life is held against the new one.

use glenmount_core::peers::PeerStatus;
use glenmount_core::state::JobPhase;
use glenmount_simulation::*;

/// Milliseconds after which a process is back: from less than an end takes to be told to about as
/// long as heartbeats are missed.
const BACK: [u64; 6] = [20, 60, 150, 300, 500, 900];
const SERVICES: usize = 6;

fn name(i: usize) -> String {
    format!("j-{i}")
}

/// Three controllers, machines that all have reported, and services that run.
fn busy(seed: u64) -> World {
    let mut w = World::new(seed, 3, 30);
    w.settings.idle_return_ms = 3_600_000;
    w.settings.report_ms = 3_000;
    w.settings.lease_ms = 14_000;
    w.settings.cancel_ms = 44_000;
    w.capacity = 0;
    w.run(6_000);
    for i in 0..SERVICES {
        w.submit(i % 3, service(&name(i), 3));
        w.run(200);
    }
    w.until(30_000, "up", up);
    w
}

fn up(w: &World) -> bool {
    (0..SERVICES).all(|i| w.running(&name(i)) == 3)
}

/// All services ran on, every worker is heard within two reports and a move, peers take each
/// other for well, and an array goes through.
fn unharmed(w: &mut World, what: &str) {
    w.run(9_000);
    assert!(up(w), "{what}: services");
    let most = w.now.saturating_sub(2 * w.settings.report_ms);
    let stranded = w.workers.values().filter(|m| m.heard.0 < most).count();
    assert_eq!(stranded, 0, "{what}: workers that nobody hears");
    assert_eq!(w.killed, 0, "{what}: tasks ended by their lease");
    assert!(w.deleted.is_empty(), "{what}: {:?}", w.deleted);
    for n in 0..3 {
        let controller = w.controllers[n].controller.as_ref().expect("it is back");
        assert!(controller.ready(), "{what}: node {n}");
        for m in (0..3).filter(|m| *m != n) {
            let sign = controller.status_of(&w.settings.controllers[m]);
            assert_eq!(sign, Some(PeerStatus::Healthy), "{what}: {m} to {n}");
        }
    }
    let id = format!("j-9{}", w.now);
    w.submit(0, job(&id, 6));
    w.until(30_000, what, |w| w.job_phase(&id) == Some(JobPhase::Done));
    w.check_records();
}

#[test]
fn one_two_or_all_are_back_at_once() {
    for (seed, back) in BACK.into_iter().enumerate() {
        for who in [&[1][..], &[0, 2], &[0, 1, 2]] {
            let mut w = busy(200 + seed as u64);
            let starts = w.starts;
            for n in who {
                w.crash(*n, back);
            }
            w.run(5_000);
            assert_eq!(w.starts, starts, "back after {back}: {who:?}: started anew");
            unharmed(&mut w, &format!("{who:?} back after {back}"));
        }
    }
}

/// What counts lives must not mix them up, nor wait longer each time.
#[test]
fn the_same_one_ends_ten_times() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut w = busy(220 + seed as u64);
        for end in 0..10 {
            w.crash(1, back);
            w.run(back + 40 * end);
        }
        unharmed(&mut w, &format!("ten times, back after {back}"));
    }
}

/// The controller that takes over ends as well, and both are back before the failover is done.
#[test]
fn in_the_middle_of_a_takeover_and_of_a_reading() {
    for (seed, back) in BACK.into_iter().enumerate() {
        for gap in [5, 30, 120, 600] {
            let mut w = busy(240 + seed as u64);
            w.crash(0, 2_000);
            w.run(gap);
            // It does what the other did; the third has just begun to read all records.
            w.crash(1, back);
            w.run(back + 3);
            w.crash(1, back);
            w.run(2_500);
            unharmed(&mut w, &format!("gap {gap}, back after {back}"));
        }
    }
}

/// A worker that is sent to a controller finds it gone, or in its next life.
#[test]
fn while_workers_are_handed_over() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut w = busy(260 + seed as u64);
        w.crash(2, 9_000);
        w.run(9_500);
        // Its peers have all its workers, and give some back from now on.
        for _ in 0..6 {
            w.run(700);
            w.crash(2, back);
        }
        unharmed(&mut w, &format!("back after {back}"));
    }
}

/// What the old life asked for is carried out in the new one's time, or was and is not known to have
/// been: claims, results and cancellations under way at the end.
#[test]
fn transactions_and_commands_of_the_old_life_come_late() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut w = busy(280 + seed as u64);
        w.mishaps.txn_answer_lost = 0.3;
        w.mishaps.txn_late = 0.3;
        w.mishaps.command_late = 0.3;
        w.mishaps.report_late = 0.2;
        w.mishaps.report_twice = 0.3;
        for i in 0..6 {
            let id = format!("j-5{i}");
            w.submit(i % 3, job(&id, 8));
            w.run(40 + 30 * i as u64);
            w.crash(i % 3, back);
            w.run(back / 2);
        }
        w.run(2_000);
        w.mishaps = Mishaps::default();
        // An acceptance that was lost with the controller is asked again by its user.
        for i in 0..6 {
            let id = format!("j-5{i}");
            w.submit((i + 1) % 3, job(&id, 8));
        }
        w.until(90_000, "all done", |w| {
            (0..6).all(|i| w.job_phase(&format!("j-5{i}")) == Some(JobPhase::Done))
        });
        let killed = w.killed;
        w.run(12_000);
        assert!(up(&w) && w.killed == killed, "back after {back}");
        w.check_records();
    }
}

/// A machine's own process is back as a newer incarnation: its tasks are gone, which that proves; they
/// are started anew, and nothing of the machine's silence is held against it.
#[test]
fn a_machine_is_back_as_a_newer_session() {
    for (seed, back) in BACK.into_iter().enumerate() {
        let mut w = busy(300 + seed as u64);
        for round in 0..3 {
            let machine = w.machine_of(&name(round)).expect("it runs somewhere");
            w.restart_machine(&machine, back);
            w.run(30);
            // A controller ends in the same moment, in every second round.
            if round == 1 {
                w.crash(0, back);
            }
            w.until(20_000, "up again", up);
        }
        unharmed(&mut w, &format!("machine back after {back}"));
    }
}
