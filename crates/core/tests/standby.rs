//! Short scenarios of controllers that end, stand still and come back, one after another and while others take
//! over from them.

use glenmount_core::controller::*;
use glenmount_core::peers::PeerStatus;
use glenmount_simulation::*;

/// So many controllers and machines, with the times of a large fleet.
fn large(seed: u64, controllers: usize, machines: usize) -> World {
    let mut w = World::new(seed, controllers, machines);
    w.settings.idle_return_ms = 3_600_000;
    w.settings.report_ms = 5_000;
    w.settings.lease_ms = 26_500;
    w.settings.cancel_ms = 51_500;
    w.capacity = 0;
    w
}

/// The same once all have reported.
fn fleet(seed: u64, controllers: usize, machines: usize) -> World {
    let mut w = large(seed, controllers, machines);
    w.run(9_000);
    w
}

fn sign(w: &World, by: usize, of: usize) -> Option<PeerStatus> {
    let name = &w.settings.controllers[of];
    w.controllers[by].controller.as_ref()?.status_of(name)
}

fn duties(w: &World) -> usize {
    let controllers = w.controllers.iter().filter_map(|s| s.controller.as_ref());
    controllers.filter(|n| n.is_on_duty()).count()
}

/// Jobs that run all the time, so that every scenario has work to lose.
fn busy(w: &mut World) {
    for i in 0..6 {
        w.submit(i % 3, service(&format!("j-{i}"), 3));
        w.run(200);
    }
    w.until(30_000, "up", |w| {
        (0..6).all(|i| w.running(&format!("j-{i}")) == 3)
    });
}

/// Nothing was killed, started twice or lost, and work is taken again.
fn unharmed(w: &mut World) {
    w.run(12_000);
    let starts = w.starts;
    for i in 0..6 {
        assert_eq!(w.running(&format!("j-{i}")), 3, "service {i}");
    }
    assert_eq!((w.killed, w.deleted.len()), (0, 0), "{:?}", w.deleted);
    let id = format!("j-8{starts}");
    let n = (0..w.controllers.len()).find(|n| w.controllers[*n].controller.is_some());
    w.submit(n.unwrap(), job(&id, 3));
    w.until(30_000, "work goes on", |w| {
        w.job_phase(&id) == Some(glenmount_core::state::JobPhase::Done)
    });
    w.check_records();
}

/// Silence used to be all that told it: 2.5 s, in which its duties and its share were nobody's.
#[test]
fn the_end_of_a_node_is_known_at_once_and_its_duties_go_on() {
    let mut w = fleet(1, 3, 60);
    busy(&mut w);
    assert_eq!(duties(&w), 1);
    w.crash(0, 8_000);
    w.run(50);
    assert_eq!((sign(&w, 1, 0), duties(&w)), (Some(PeerStatus::Exited), 1));
    let at = w.now;
    w.until(13_000, "its workers are heard", |w| {
        w.workers.values().all(|m| m.heard.0 > at)
    });
    unharmed(&mut w);
    assert_eq!(sign(&w, 1, 0), Some(PeerStatus::Healthy));
}

/// What a claimant did not get to send used to wait for two reports and a raised token: some 15 s.
#[test]
fn starts_that_a_lost_node_claimed_and_did_not_send_are_carried_on() {
    let mut late = 0;
    for seed in 0..8 {
        let mut w = fleet(20 + seed, 3, 30);
        // Its commands get nowhere in its last moments.
        w.controllers[0].mute = true;
        w.submit(0, service("j-1", 8));
        w.run(60);
        w.controllers[0].mute = false;
        w.crash(0, 60_000);
        let at = w.now;
        w.until(20_000, "up", |w| w.running("j-1") == 8);
        late += u64::from(w.now > at + 6_000);
    }
    assert!(late <= 1, "{late} of 8 took longer than 6 s");
}

/// The controller that takes over ends as well, at every distance from the first.
#[test]
fn two_of_three_end_one_after_the_other() {
    for (seed, gap) in [30, 100, 300, 1_000, 3_000, 7_000, 12_000, 30_000]
        .iter()
        .enumerate()
    {
        let mut w = fleet(40 + seed as u64, 3, 30);
        busy(&mut w);
        w.crash(0, 8_000);
        w.run(*gap);
        w.crash(1, 8_000);
        w.run(1_000);
        assert_eq!(duties(&w), 1, "gap {gap}");
        w.run(10_000);
        unharmed(&mut w);
    }
}

#[test]
fn the_node_that_takes_over_stands_still_or_loses_the_state_service() {
    for trouble in 0..3 {
        let mut w = fleet(60 + trouble, 3, 30);
        busy(&mut w);
        w.crash(0, 10_000);
        w.run(400);
        match trouble {
            0 => w.freeze(1, 6_000),
            1 => w.controllers[1].cut_from_state = true,
            _ => w.controllers[1].cut_from_workers = true,
        }
        w.run(7_000);
        w.heal();
        w.run(10_000);
        unharmed(&mut w);
    }
}

/// One controller carries the whole fleet for a minute.
#[test]
fn all_end_and_one_comes_back_long_before_the_others() {
    let mut w = fleet(70, 3, 60);
    busy(&mut w);
    w.crash(0, 65_000);
    w.crash(2, 65_000);
    w.crash(1, 5_000);
    w.run(20_000);
    assert!(
        w.workers.values().all(|m| m.controller == 1),
        "all report to it"
    );
    for i in 0..6 {
        assert_eq!(w.running(&format!("j-{i}")), 3);
    }
    let r = w.submit(1, job("j-20", 10));
    assert!(matches!(w.answer(r), UserReply::Accepted { .. }));
    w.run(80_000);
    // It gives the others their workers back.
    let most = (0..3).map(|n| w.workers.values().filter(|m| m.controller == n).count());
    assert!(most.max() <= Some(30), "no node keeps more than half");
    unharmed(&mut w);
}

#[test]
fn a_roll_during_an_outage_and_one_during_a_takeover() {
    for outage in [true, false] {
        let mut w = fleet(80, 3, 30);
        busy(&mut w);
        match outage {
            true => w.state_down = true,
            false => w.crash(2, 20_000),
        }
        for n in 0..3 {
            w.run(2_000);
            if w.controllers[n].controller.is_some() {
                w.crash(n, 1_500);
            }
        }
        w.run(3_000);
        w.heal();
        w.run(15_000);
        unharmed(&mut w);
    }
}

/// Two members that are named by the settings start late, and go again.
#[test]
fn members_join_and_leave() {
    let mut w = large(90, 5, 40);
    w.run(200);
    w.crash(3, 40_000);
    w.crash(4, 45_000);
    w.run(12_000);
    busy(&mut w);
    w.run(60_000);
    let load = |w: &World, n| w.workers.values().filter(|m| m.controller == n).count();
    assert!((0..5).all(|n| load(&w, n) >= 3), "all have workers");
    w.leave(3, 1_000_000);
    w.run(4_000);
    w.crash(4, 1_000_000);
    w.run(20_000);
    assert_eq!(load(&w, 3) + load(&w, 4), 0);
    unharmed(&mut w);
}

/// Clocks off by all that they may be, and heartbeats held for as long as they count.
#[test]
fn clocks_off_by_their_bound_change_nothing() {
    let mut w = fleet(100, 3, 30);
    let off = w.settings.clock_off_ms;
    w.clock_ahead = vec![0, 2 * off, off];
    w.run(4_000);
    busy(&mut w);
    for n in 0..3 {
        for m in (0..3).filter(|m| *m != n) {
            assert_eq!(sign(&w, n, m), Some(PeerStatus::Healthy));
        }
    }
    w.crash(1, 5_000);
    w.run(15_000);
    unharmed(&mut w);
}

/// Links are cut in one place: both sides suspect the other, the third hears both. Nothing is lost, and
/// no more than two do the duties.
#[test]
fn two_nodes_that_suspect_each_other_do_no_harm() {
    let mut w = fleet(110, 3, 30);
    busy(&mut w);
    w.controllers[0].cut_from_peers = true;
    for _ in 0..20 {
        w.run(1_000);
        assert!(duties(&w) <= 2);
    }
    assert_ne!(sign(&w, 1, 0), Some(PeerStatus::Healthy));
    let away = sign(&w, 1, 0).unwrap();
    assert!(away.is_away(), "{away:?}");
    w.submit(0, job("j-30", 4));
    w.submit(1, job("j-31", 4));
    w.run(15_000);
    w.heal();
    w.run(3_000);
    assert_eq!((sign(&w, 1, 0), duties(&w)), (Some(PeerStatus::Healthy), 1));
    unharmed(&mut w);
}

/// A controller that is asked to end hands over its workers and answers what it holds: nobody waits for an
/// answer that never comes, and no worker for its next controller.
#[test]
fn a_node_that_is_asked_to_end_leaves_nothing_behind() {
    let mut w = fleet(120, 3, 45);
    busy(&mut w);
    let there: Vec<String> = (w.workers.values())
        .filter(|m| m.controller == 0)
        .map(|m| m.name.clone())
        .collect();
    assert!(there.len() > 5);
    let asked = w.submit(0, job("j-40", 2));
    w.run(2);
    w.leave(0, 30_000);
    w.run(100);
    assert!(!w.controllers[0]
        .controller
        .as_ref()
        .is_some_and(Controller::ready));
    assert!(matches!(w.answer(asked), UserReply::Accepted { .. }));
    let r = w.submit(0, job("j-41", 2));
    assert!(matches!(w.answer(r), UserReply::RetryAfter { .. }));
    w.until(10_000, "it ends", |w| w.controllers[0].controller.is_none());
    let left = w.workers.values().filter(|m| m.controller == 0).count();
    assert_eq!(left, 0, "workers that still have to find another node");
    w.run(6_000);
    let late = |m: &&Worker| w.now > m.heard.0 + 7_000;
    assert_eq!(w.workers.values().filter(late).count(), 0);
    unharmed(&mut w);
}

/// Heartbeats of strangers, of earlier lives, from the future, repeated and far too large.
#[test]
fn bad_beats_change_nothing() {
    let mut w = fleet(130, 3, 30);
    busy(&mut w);
    let now = WALL0 + w.now;
    let forged = |controller: &str, at| PeerHeartbeat {
        controller: controller.into(),
        at,
        has_current_state: false,
        workers_reachable: false,
        ..PeerHeartbeat::default()
    };
    let mut large = forged("node-0", now);
    large.workers = (0..1_000_000)
        .map(|i| (format!("x-{i}"), 9, 9, 0).into())
        .collect();
    let mut earlier = forged("node-0", now);
    earlier.status = Some(ControllerStatus::default());
    let bad = [
        forged("nobody", now),
        forged("node-1", now),
        forged("node-0", now + 3_600_000),
        forged("node-0", now - 3_600_000),
        earlier,
        large,
    ];
    for heartbeat in bad {
        w.beat_to(1, heartbeat);
        w.run(20);
        assert_eq!(sign(&w, 1, 0), Some(PeerStatus::Healthy));
    }
    assert_eq!(duties(&w), 1);
    unharmed(&mut w);
}
