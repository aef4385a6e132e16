//! Short scenarios of zones that are cut off from everything, with a controller inside.

use glenmount_core::constants::CONFIRMED_CANCELLATION_TERM;
use glenmount_core::controller::*;
use glenmount_core::model::*;
use glenmount_core::state::*;
use glenmount_simulation::*;

/// No machine is returned for having nothing to do, none is provisioned, and leases are long enough to find
/// another controller.
fn long_leases(w: &mut World) {
    w.settings.idle_return_ms = 3_600_000;
    w.settings.report_ms = 5_000;
    w.settings.lease_ms = 26_500;
    w.settings.cancel_ms = 51_500;
    w.capacity = 0;
}

/// Machines in both zones.
fn fleet(seed: u64, machines: usize) -> World {
    let mut w = World::new(seed, 3, machines);
    long_leases(&mut w);
    w.run(9_000);
    w
}

fn scattered(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        topology_spread: true,
        ..service(id, tasks)
    }
}

/// rutazona-central-fleet's zone day: 440 of some 600 machines of a zone that was cut off were deleted
/// in the first 14 s, since at first less than a third of all were overdue.
#[test]
fn machines_of_a_zone_that_is_cut_off_are_not_taken_for_dead() {
    for seed in 0..3 {
        let mut w = fleet(700 + seed, 40);
        for i in 0..8 {
            w.submit(i % 3, scattered(&format!("j-{i}"), 4));
            w.run(300);
        }
        w.until(20_000, "up", |w| {
            (0..8).all(|i| w.running(&format!("j-{i}")) == 4)
        });
        w.cut_zone("west", &[1]);
        w.run(25_000);
        assert!(w.deleted.is_empty(), "{:?}", w.deleted);
        let starts = w.starts;
        let r = w.submit(0, service("j-20", 2));
        assert!(matches!(w.answer(r), UserReply::Accepted { .. }));
        w.until(4_000, "outside goes on", |w| w.running("j-20") == 2);
        assert_eq!(w.starts, starts + 2);
        w.join_zone();
        w.run(30_000);
        assert!(w.deleted.is_empty(), "{:?}", w.deleted);
        w.check_records();
    }
}

#[test]
fn a_machine_that_dies_in_a_zone_that_is_heard_is_still_found_at_once() {
    let mut w = fleet(710, 40);
    w.submit(0, service("j-1", 1));
    w.until(10_000, "runs", |w| w.running("j-1") == 1);
    let name = w.machine_of("j-1").unwrap();
    w.kill_machine(&name);
    w.until(16_000, "runs elsewhere", |w| w.running("j-1") == 1);
    assert!(w.deleted.contains(&name));
}

/// A zone that is dead, not cut off: its controller is heard, none of its machines is. What ran there starts
/// elsewhere, and in the end all its machines are given up. It used to wait for four minutes.
#[test]
fn what_ran_in_a_zone_that_is_dead_starts_elsewhere() {
    let mut w = fleet(711, 24);
    w.submit(0, service("j-1", 24));
    w.until(20_000, "runs", |w| w.running("j-1") == 24);
    let dead: Vec<String> = (w.workers.values())
        .filter(|w| w.zone == "west")
        .map(|w| w.name.clone())
        .collect();
    for name in &dead {
        w.kill_machine(name);
    }
    w.run(20_000);
    assert!(w.deleted.is_empty(), "{:?}", w.deleted);
    w.until(40_000, "runs elsewhere", |w| w.running("j-1") == 24);
    w.until(260_000, "given up", |w| {
        dead.iter().all(|d| w.deleted.contains(d))
    });
}

/// Nothing new is put where it can't be started, or provisioned where it would come up unheard.
#[test]
fn nothing_is_placed_or_rented_in_a_silent_zone() {
    let mut w = fleet(712, 24);
    w.submit(1, service("j-1", 12));
    w.until(20_000, "runs", |w| w.running("j-1") == 12);
    w.cut_zone("west", &[1]);
    w.run(8_000);
    w.capacity = 30;
    let before = w.rented as usize;
    let r = w.submit(0, service("j-2", 40));
    w.answer(r);
    w.until(40_000, "up outside", |w| w.running("j-2") == 40);
    let rented: Vec<&Worker> = (w.workers.values())
        .filter(|m| m.name.as_str() >= format!("n-{before:06}").as_str())
        .collect();
    assert!(!rented.is_empty() && rented.iter().all(|m| m.zone == "east"));
    w.join_zone();
    w.run(20_000);
    w.check_records();
}

fn up(w: &World, id: &str, tasks: usize) -> bool {
    w.running(id) == tasks
}

/// The controller inside used to stop renewing after `cancel_s - lease_s - 5 s`, since a job might have been
/// cancelled outside, so everything in the zone died though nothing was wrong with it.
#[test]
fn a_zone_rides_out_a_cut_that_lasts_longer_than_a_cancellation_may() {
    for seed in 0..3 {
        let mut w = fleet(720 + seed, 24);
        w.submit(0, scattered("j-1", 20));
        w.until(20_000, "up", |w| up(w, "j-1", 20));
        w.cut_zone("west", &[1]);
        w.run(150_000);
        assert!(up(&w, "j-1", 20));
        w.join_zone();
        w.run(30_000);
        assert_eq!((w.starts, up(&w, "j-1", 20)), (20, true));
        assert!(w.workers.values().all(|w| w.incarnation == 1) && w.deleted.is_empty());
        w.check_records();
    }
}

#[test]
fn a_cancellation_is_told_at_once_where_all_is_well() {
    let mut w = fleet(730, 8);
    w.submit(0, service("j-1", 6));
    w.until(20_000, "up", |w| up(w, "j-1", 6));
    let at = w.now;
    let r = w.cancel(1, "j-1");
    assert!(matches!(w.answer(r), UserReply::Cancelled { .. }));
    assert!(w.now < at + 700, "{} ms", w.now - at);
    assert_eq!(w.running("j-1"), 0);
}

/// What runs in a zone that is cut off can't be stopped: its user is told so at once, nobody says
/// that it is cancelled, and in the end its machines are deleted for it.
#[test]
fn a_cancellation_behind_a_cut_is_told_when_its_machines_are_deleted() {
    let mut w = fleet(731, 24);
    w.run_ms = 600_000;
    let long = JobSpec {
        topology_spread: true,
        ..job("j-1", 4)
    };
    let r = w.submit(0, long);
    w.answer(r);
    w.submit(0, after("j-2", 1, &["j-1"]));
    w.until(20_000, "up", |w| up(w, "j-1", 4));
    // Full machines, so that no other shares one with it.
    let zoned = JobSpec {
        zone: Some("west".into()),
        ..service("j-3", 2)
    };
    w.submit(0, zoned);
    w.until(20_000, "up", |w| up(w, "j-3", 2));
    w.cut_zone("west", &[1]);
    w.run(7_000);
    let at = w.now;
    let r = w.cancel(0, "j-1");
    assert!(matches!(w.answer(r), UserReply::RetryAfter { .. }));
    assert!(w.now < at + 1_500, "told at once when to come back");
    w.run(3_000);
    assert_eq!(w.running("j-1"), 2, "those outside are stopped");
    for n in [0, 2] {
        let r = w.status(n, "j-1");
        let state = w.answer(r);
        assert!(
            matches!(
                state,
                UserReply::Status {
                    state: JobState::Running,
                    ..
                }
            ),
            "{state:?}"
        );
        let r = w.status(n, "j-2");
        let state = w.answer(r);
        assert!(matches!(
            state,
            UserReply::Status {
                state: JobState::Pending,
                ..
            }
        ));
    }
    let r = w.cancel(2, "j-1");
    assert!(matches!(w.answer(r), UserReply::RetryAfter { .. }));
    w.until(50_000, "nothing is left", |w| w.running("j-1") == 0);
    assert_eq!(
        w.running("j-3"),
        2,
        "others' work behind the cut is left alone"
    );
    w.run(1_000);
    let r = w.cancel(2, "j-1");
    assert!(matches!(w.answer(r), UserReply::Cancelled { .. }));
    assert!(w.now < at + 60_000);
    let r = w.status(0, "j-2");
    assert!(matches!(
        w.answer(r),
        UserReply::Status {
            state: JobState::Cancelled,
            ..
        }
    ));
    w.join_zone();
    w.run(20_000);
    w.check_records();
}

/// Told in the last moments before the cut, with nobody left outside to delete anything, and a cut
/// that lasts for minutes: whatever was told must hold. The world checks it at every step.
#[test]
fn what_was_told_just_before_a_cut_holds_though_nobody_is_left_outside() {
    let mut told = 0;
    for delay in [0, 2, 5, 9, 14, 20, 30, 60, 150, 300, 450, 600] {
        let mut w = fleet(740 + delay, 24);
        w.submit(0, scattered("j-1", 8));
        w.until(20_000, "up", |w| up(w, "j-1", 8));
        let r = w.cancel(0, "j-1");
        w.run(delay);
        w.cut_zone("west", &[1]);
        w.cloud_down = true;
        w.run(2_500);
        told += u32::from(matches!(
            w.answers.get(&r),
            Some(UserReply::Cancelled { .. })
        ));
        w.crash(0, 200_000);
        w.crash(2, 200_000);
        w.run(180_000);
        w.join_zone();
        w.cloud_down = false;
        w.run(60_000);
        assert_eq!(w.running("j-1"), 0);
        w.check_records();
    }
    assert!((1..12).contains(&told), "some were told, some not: {told}");
}

/// Older versions tell a cancellation at its commit. Whenever the last of them is replaced, and
/// whenever the cut begins, nothing of it may run on inside.
#[test]
fn cancellations_told_by_the_old_version_are_in_time_behind_a_cut() {
    for delay in [0, 100, 900, 1_800, 2_600, 3_300, 4_200, 6_000, 9_000] {
        let mut w = World::old(760 + delay, 3, 24);
        long_leases(&mut w);
        w.run(9_000);
        for i in 0..6 {
            w.submit(0, scattered(&format!("j-{i}"), 2));
        }
        w.until(30_000, "up", |w| {
            (0..6).all(|i| up(w, &format!("j-{i}"), 2))
        });
        w.upgrade(0, 1_000);
        w.run(2_500);
        w.upgrade(2, 1_000);
        w.run(2_500);
        w.upgrade(1, 800);
        let begun = w.now;
        for i in 0..6 {
            w.cancel([0, 2][i % 2], &format!("j-{i}"));
            w.run(700);
        }
        w.run((begun + delay).saturating_sub(w.now));
        w.cut_zone("west", &[1]);
        w.cloud_down = true;
        w.run(120_000);
        w.heal();
        w.run(40_000);
        w.check_records();
    }
}

/// rutazona-central-fleet's zone day: the controller that all of the zone reports to is the busiest, and the
/// one that crashes. It comes back without records, but its workers' tokens prove that renewing is
/// safe, so it starts nothing and loses nothing.
#[test]
fn a_node_that_restarts_inside_a_cut_keeps_its_zone_alive() {
    for away in [2_000, 8_000] {
        let mut w = fleet(780 + away, 24);
        w.submit(0, scattered("j-1", 8));
        w.until(20_000, "up", |w| up(w, "j-1", 8));
        w.cut_zone("west", &[1]);
        w.run(9_000);
        w.crash(1, away);
        w.run(90_000);
        assert!(up(&w, "j-1", 8));
        w.join_zone();
        w.run(20_000);
        assert_eq!((w.starts, up(&w, "j-1", 8)), (8, true));
        w.check_records();
    }
}

/// Before everything that older versions told has ended, no token says that it may.
#[test]
fn a_node_that_restarts_inside_a_cut_during_an_upgrade_renews_nothing() {
    let mut w = World::old(781, 3, 24);
    long_leases(&mut w);
    w.run(9_000);
    w.submit(0, scattered("j-1", 8));
    w.until(20_000, "up", |w| up(w, "j-1", 8));
    w.cut_zone("west", &[1]);
    w.run(3_000);
    w.upgrade(1, 2_000);
    w.run(60_000);
    assert_eq!(w.running("j-1"), 4);
    w.join_zone();
    w.until(40_000, "up again", |w| up(w, "j-1", 8));
}

/// A cancellation that the old version told is still being carried out when all have the new one.
#[test]
fn the_term_is_raised_once_nothing_is_left_of_what_was_told_before() {
    let mut w = World::old(782, 2, 8);
    w.settings.idle_return_ms = 3_600_000;
    w.capacity = 0;
    w.run(5_000);
    w.submit(0, service("j-1", 1));
    w.until(20_000, "up", |w| up(w, "j-1", 1));
    let machine = w.machine_of("j-1").unwrap();
    w.workers.get_mut(&machine).unwrap().cut = true;
    w.cloud_down = true;
    let r = w.cancel(0, "j-1");
    assert!(matches!(w.answer(r), UserReply::Cancelled { .. }));
    w.upgrade(0, 500);
    w.run(2_500);
    w.upgrade(1, 500);
    w.run(3_000);
    let term = |w: &World| match w.store.get(&Key::Term) {
        Some((Record::Term(t), _)) => t.term,
        _ => 0,
    };
    assert!(w.store.contains_key(&Key::CancellationConfirmation));
    assert_eq!(term(&w), 1);
    w.heal();
    w.until(30_000, "raised", |w| term(w) >= CONFIRMED_CANCELLATION_TERM);
    w.submit(0, job("j-2", 6));
    w.until(30_000, "work goes on", |w| {
        w.job_phase("j-2") == Some(JobPhase::Done)
    });
    w.check_records();
}

/// Cut off from state service and peers alone, a controller must not keep workers that its peers
/// would serve, however long it lasts.
#[test]
fn a_node_cut_off_alone_sends_its_workers_to_others() {
    for zones in [2, 1] {
        let mut w = World::new(790, 3, 12);
        w.settings.zones.truncate(zones);
        long_leases(&mut w);
        if zones == 1 {
            for worker in w.workers.values_mut() {
                worker.zone = "east".into();
            }
        }
        w.run(9_000);
        w.submit(1, service("j-1", 6));
        w.until(20_000, "up", |w| up(w, "j-1", 6));
        for worker in w.workers.values_mut() {
            worker.controller = 0;
        }
        w.run(7_000);
        w.controllers[0].cut_from_state = true;
        w.controllers[0].cut_from_peers = true;
        w.run(45_000);
        assert!(
            w.workers.values().all(|w| w.controller != 0),
            "{zones} zones"
        );
        assert_eq!((w.starts, up(&w, "j-1", 6)), (6, true));
    }
}

/// The same with a zone that is cut off where all are in one zone: those sent away find no other
/// controller in time to lose nothing.
#[test]
fn workers_that_find_no_other_node_are_kept() {
    let mut w = World::new(791, 3, 12);
    w.settings.zones.truncate(1);
    long_leases(&mut w);
    for worker in w.workers.values_mut() {
        worker.zone = "east".into();
    }
    w.run(9_000);
    w.submit(1, service("j-1", 6));
    w.until(20_000, "up", |w| up(w, "j-1", 6));
    // Controller 0 and all machines on one side, the others with everything else.
    w.cut_zone("east", &[0]);
    w.run(100_000);
    w.join_zone();
    w.run(20_000);
    assert_eq!((w.starts, up(&w, "j-1", 6)), (6, true));
    assert!(w.workers.values().all(|w| w.incarnation == 1));
}

/// One cancelled task on a machine with sixty others: the user waits for the end of the cut.
#[test]
fn a_machine_behind_a_cut_is_not_deleted_for_one_cancelled_task_among_others() {
    let mut w = fleet(732, 16);
    let zoned = |id: &str| {
        let mut spec = service(id, 8);
        spec.zone = Some("west".into());
        spec.resources.cpus = 1_300;
        spec
    };
    w.submit(0, zoned("j-1"));
    w.run(1_000);
    w.submit(1, zoned("j-2"));
    w.until(20_000, "up", |w| up(w, "j-1", 8) && up(w, "j-2", 8));
    let holds = |w: &Worker, id: &str| w.tasks.keys().any(|(t, _)| t.job == id);
    let both = |w: &&Worker| holds(w, "j-1") && holds(w, "j-2");
    let shared = w.workers.values().filter(both).count();
    assert!(shared > 0);
    w.cut_zone("west", &[1]);
    w.run(5_000);
    let r = w.cancel(0, "j-2");
    assert!(matches!(w.answer(r), UserReply::RetryAfter { .. }));
    w.run(90_000);
    assert!(up(&w, "j-1", 8));
    w.join_zone();
    w.run(12_000);
    let r = w.cancel(0, "j-2");
    assert!(matches!(w.answer(r), UserReply::Cancelled { .. }));
    assert!(up(&w, "j-1", 8) && w.running("j-2") == 0);
    w.check_records();
}
