//! Controllers that end, pause and return, one after another and while others take over from them.

use glenmount_core::controller::{Controller, ControllerStatus, PeerHeartbeat, UserReply};
use glenmount_core::peers::PeerStatus;
use glenmount_simulation::{job, service, Simulation, Worker, START_TIME_MS};

/// So many controllers and machines, with the times of a large fleet.
fn large(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.cloud.capacity = 0;
    sim
}

/// The same once all have reported.
fn fleet(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = large(seed, controllers, machines);
    sim.run(9_000);
    sim
}

fn sign(sim: &Simulation, by: usize, of: usize) -> Option<PeerStatus> {
    let name = &sim.settings.controllers[of];
    sim.controllers[by].controller.as_ref()?.status_of(name)
}

fn duties(sim: &Simulation) -> usize {
    let controllers = sim.controllers.iter().filter_map(|s| s.controller.as_ref());
    controllers.filter(|n| n.acts_as_coordinator()).count()
}

/// Jobs that run all the time, so that every scenario has work to lose.
fn busy(sim: &mut Simulation) {
    for i in 0..6 {
        sim.submit(i % 3, service(&format!("j-{i}"), 3));
        sim.run(200);
    }
    sim.run_until(30_000, "up", |sim| {
        (0..6).all(|i| sim.running(&format!("j-{i}")) == 3)
    });
}

/// Nothing was killed, started twice or lost, and work is taken again.
fn unharmed(sim: &mut Simulation) {
    sim.run(12_000);
    let starts = sim.metrics.starts;
    for i in 0..6 {
        assert_eq!(sim.running(&format!("j-{i}")), 3, "service {i}");
    }
    assert_eq!(
        (sim.metrics.killed_by_lease, sim.cloud.deleted.len()),
        (0, 0),
        "{:?}",
        sim.cloud.deleted
    );
    let id = format!("j-8{starts}");
    let n = (0..sim.controllers.len()).find(|n| sim.controllers[*n].controller.is_some());
    sim.submit(n.unwrap(), job(&id, 3));
    sim.run_until(30_000, "work goes on", |sim| {
        sim.job_phase(&id) == Some(glenmount_core::state::JobPhase::Done)
    });
    sim.check_records();
}

/// Silence used to be all that told it: 2.5 s, in which its duties and its share were nobody's.
#[test]
fn the_end_of_a_controller_is_detected_at_once_and_its_duties_move() {
    let mut sim = fleet(1, 3, 60);
    busy(&mut sim);
    assert_eq!(duties(&sim), 1);
    sim.crash(0, 8_000);
    sim.run(50);
    assert_eq!(
        (sign(&sim, 1, 0), duties(&sim)),
        (Some(PeerStatus::Exited), 1)
    );
    let at = sim.now_ms;
    sim.run_until(13_000, "its workers are heard", |sim| {
        sim.workers.values().all(|m| m.last_heard.at_ms > at)
    });
    unharmed(&mut sim);
    assert_eq!(sign(&sim, 1, 0), Some(PeerStatus::Healthy));
}

/// What a claimant did not get to send used to wait for two reports and a raised token: some 15 s.
#[test]
fn unsent_starts_of_a_failed_controller_are_completed() {
    let mut late = 0;
    for seed in 0..8 {
        let mut sim = fleet(20 + seed, 3, 30);
        // Its commands get nowhere in its last moments.
        sim.controllers[0].outbound_lost = true;
        sim.submit(0, service("j-1", 8));
        sim.run(60);
        sim.controllers[0].outbound_lost = false;
        sim.crash(0, 60_000);
        let at = sim.now_ms;
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 8);
        late += u64::from(sim.now_ms > at + 6_000);
    }
    assert!(late <= 1, "{late} of 8 took longer than 6 s");
}

/// The controller that takes over ends as well, at every distance from the first.
#[test]
fn two_of_three_controllers_fail_in_succession() {
    for (seed, gap) in [30, 100, 300, 1_000, 3_000, 7_000, 12_000, 30_000]
        .iter()
        .enumerate()
    {
        let mut sim = fleet(40 + seed as u64, 3, 30);
        busy(&mut sim);
        sim.crash(0, 8_000);
        sim.run(*gap);
        sim.crash(1, 8_000);
        sim.run(1_000);
        assert_eq!(duties(&sim), 1, "gap {gap}");
        sim.run(10_000);
        unharmed(&mut sim);
    }
}

#[test]
fn the_successor_is_paused_or_loses_the_state_service() {
    for trouble in 0..3 {
        let mut sim = fleet(60 + trouble, 3, 30);
        busy(&mut sim);
        sim.crash(0, 10_000);
        sim.run(400);
        match trouble {
            0 => sim.pause(1, 6_000),
            1 => sim.controllers[1].cut_from_state = true,
            _ => sim.controllers[1].cut_from_workers = true,
        }
        sim.run(7_000);
        sim.heal_all();
        sim.run(10_000);
        unharmed(&mut sim);
    }
}

/// One controller carries the whole fleet for a minute.
#[test]
fn one_controller_returns_long_before_its_peers() {
    let mut sim = fleet(70, 3, 60);
    busy(&mut sim);
    sim.crash(0, 65_000);
    sim.crash(2, 65_000);
    sim.crash(1, 5_000);
    sim.run(20_000);
    assert!(
        sim.workers.values().all(|m| m.controller == 1),
        "all report to it"
    );
    for i in 0..6 {
        assert_eq!(sim.running(&format!("j-{i}")), 3);
    }
    let r = sim.submit(1, job("j-20", 10));
    assert!(matches!(sim.await_answer(r), UserReply::Accepted { .. }));
    sim.run(80_000);
    // It gives the others their workers back.
    let most = (0..3).map(|n| sim.workers.values().filter(|m| m.controller == n).count());
    assert!(most.max() <= Some(30), "no node keeps more than half");
    unharmed(&mut sim);
}

#[test]
fn rolling_restarts_survive_an_outage_and_a_failover() {
    for outage in [true, false] {
        let mut sim = fleet(80, 3, 30);
        busy(&mut sim);
        match outage {
            true => sim.state.is_down = true,
            false => sim.crash(2, 20_000),
        }
        for n in 0..3 {
            sim.run(2_000);
            if sim.controllers[n].controller.is_some() {
                sim.crash(n, 1_500);
            }
        }
        sim.run(3_000);
        sim.heal_all();
        sim.run(15_000);
        unharmed(&mut sim);
    }
}

/// Two members that are named by the settings start late, and go again.
#[test]
fn controllers_join_and_leave() {
    let mut sim = large(90, 5, 40);
    sim.run(200);
    sim.crash(3, 40_000);
    sim.crash(4, 45_000);
    sim.run(12_000);
    busy(&mut sim);
    sim.run(60_000);
    let load = |sim: &Simulation, n| sim.workers.values().filter(|m| m.controller == n).count();
    assert!((0..5).all(|n| load(&sim, n) >= 3), "all have workers");
    sim.shut_down(3, 1_000_000);
    sim.run(4_000);
    sim.crash(4, 1_000_000);
    sim.run(20_000);
    assert_eq!(load(&sim, 3) + load(&sim, 4), 0);
    unharmed(&mut sim);
}

/// Clocks off by all that they may be, and heartbeats held for as long as they count.
#[test]
fn clocks_off_by_the_allowed_skew_change_nothing() {
    let mut sim = fleet(100, 3, 30);
    let off = sim.settings.clock_skew_ms;
    sim.clock_ahead_ms = vec![0, 2 * off, off];
    sim.run(4_000);
    busy(&mut sim);
    for n in 0..3 {
        for m in (0..3).filter(|m| *m != n) {
            assert_eq!(sign(&sim, n, m), Some(PeerStatus::Healthy));
        }
    }
    sim.crash(1, 5_000);
    sim.run(15_000);
    unharmed(&mut sim);
}

/// Links are cut in one place: both sides suspect the other, the third hears both. Nothing is lost, and
/// no more than two do the duties.
#[test]
fn two_controllers_that_suspect_each_other_do_no_harm() {
    let mut sim = fleet(110, 3, 30);
    busy(&mut sim);
    sim.controllers[0].cut_from_peers = true;
    for _ in 0..20 {
        sim.run(1_000);
        assert!(duties(&sim) <= 2);
    }
    assert_ne!(sign(&sim, 1, 0), Some(PeerStatus::Healthy));
    let away = sign(&sim, 1, 0).unwrap();
    assert!(away.is_inactive(), "{away:?}");
    sim.submit(0, job("j-30", 4));
    sim.submit(1, job("j-31", 4));
    sim.run(15_000);
    sim.heal_all();
    sim.run(3_000);
    assert_eq!(
        (sign(&sim, 1, 0), duties(&sim)),
        (Some(PeerStatus::Healthy), 1)
    );
    unharmed(&mut sim);
}

/// A controller that is asked to end hands over its workers and answers what it holds: nobody waits for an
/// answer that never comes, and no worker for its next controller.
#[test]
fn a_graceful_shutdown_leaves_nothing_behind() {
    let mut sim = fleet(120, 3, 45);
    busy(&mut sim);
    let there: Vec<String> = (sim.workers.values())
        .filter(|m| m.controller == 0)
        .map(|m| m.name.clone())
        .collect();
    assert!(there.len() > 5);
    let asked = sim.submit(0, job("j-40", 2));
    sim.run(2);
    sim.shut_down(0, 30_000);
    sim.run(100);
    assert!(!sim.controllers[0]
        .controller
        .as_ref()
        .is_some_and(Controller::ready));
    assert!(matches!(
        sim.await_answer(asked),
        UserReply::Accepted { .. }
    ));
    let r = sim.submit(0, job("j-41", 2));
    assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    sim.run_until(10_000, "it ends", |sim| {
        sim.controllers[0].controller.is_none()
    });
    let left = sim.workers.values().filter(|m| m.controller == 0).count();
    assert_eq!(left, 0, "workers that still have to find another node");
    sim.run(6_000);
    let late = |m: &&Worker| sim.now_ms > m.last_heard.at_ms + 7_000;
    assert_eq!(sim.workers.values().filter(late).count(), 0);
    unharmed(&mut sim);
}

/// Heartbeats of strangers, of earlier lives, from the future, repeated and far too large.
#[test]
fn invalid_peer_heartbeats_change_nothing() {
    let mut sim = fleet(130, 3, 30);
    busy(&mut sim);
    let now = START_TIME_MS + sim.now_ms;
    let forged = |controller: &str, at| PeerHeartbeat {
        controller: controller.into(),
        sent_at: at,
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
        sim.inject_peer_heartbeat(1, heartbeat);
        sim.run(20);
        assert_eq!(sign(&sim, 1, 0), Some(PeerStatus::Healthy));
    }
    assert_eq!(duties(&sim), 1);
    unharmed(&mut sim);
}
