//! Controllers that crash, pause and return, one after another and during a failover.

use glenmount_core::controller::{Controller, ControllerStatus, PeerHeartbeat, UserReply};
use glenmount_core::peers::PeerStatus;
use glenmount_simulation::{job, service, Simulation, Worker, START_TIME_MS};

/// Creates a simulation with the timeouts of a large fleet.
fn new_fleet(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.cloud.capacity = 0;
    sim
}

/// Starts such a fleet and runs it until all workers have sent a heartbeat.
fn fleet(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = new_fleet(seed, controllers, machines);
    sim.run(9_000);
    sim
}

/// Returns the status of controller `peer` as controller `observer` sees it.
fn peer_status(sim: &Simulation, observer: usize, peer: usize) -> Option<PeerStatus> {
    let name = &sim.settings.controllers[peer];
    sim.controllers[observer]
        .controller
        .as_ref()?
        .status_of(name)
}

fn active_coordinators(sim: &Simulation) -> usize {
    let controllers = sim.controllers.iter().filter_map(|s| s.controller.as_ref());
    controllers.filter(|n| n.acts_as_coordinator()).count()
}

/// Starts services that run all the time, so that every scenario has work to lose.
fn run_services(sim: &mut Simulation) {
    for i in 0..6 {
        sim.submit(i % 3, service(&format!("j-{i}"), 3));
        sim.run(200);
    }
    sim.run_until(30_000, "up", |sim| {
        (0..6).all(|i| sim.running(&format!("j-{i}")) == 3)
    });
}

/// Asserts that all services run, no lease expired, no machine was deleted, and new work completes.
fn assert_unharmed(sim: &mut Simulation) {
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
    sim.run_until(30_000, "new work completes", |sim| {
        sim.job_phase(&id) == Some(glenmount_core::state::JobPhase::Done)
    });
    sim.check_records();
}

/// Peers detected the end of a controller only by missing heartbeats, after 2.5 s in which no controller had its
/// coordinator role and its share of the work.
#[test]
fn the_exit_of_a_controller_is_detected_at_once_and_its_coordinator_role_moves() {
    let mut sim = fleet(1, 3, 60);
    run_services(&mut sim);
    assert_eq!(active_coordinators(&sim), 1);
    sim.crash(0, 8_000);
    sim.run(50);
    assert_eq!(
        (peer_status(&sim, 1, 0), active_coordinators(&sim)),
        (Some(PeerStatus::Exited), 1)
    );
    let detected_ms = sim.now_ms;
    sim.run_until(13_000, "the peers hear its workers", |sim| {
        sim.workers
            .values()
            .all(|m| m.last_heard.at_ms > detected_ms)
    });
    assert_unharmed(&mut sim);
    assert_eq!(peer_status(&sim, 1, 0), Some(PeerStatus::Healthy));
}

/// Start commands that a crashed controller had not sent waited for two heartbeats and a raised token, about 15 s.
#[test]
fn unsent_starts_of_a_failed_controller_are_completed() {
    let mut late = 0;
    for seed in 0..8 {
        let mut sim = fleet(20 + seed, 3, 30);
        // The commands of controller 0 are lost just before it crashes.
        sim.controllers[0].outbound_lost = true;
        sim.submit(0, service("j-1", 8));
        sim.run(60);
        sim.controllers[0].outbound_lost = false;
        sim.crash(0, 60_000);
        let crashed_ms = sim.now_ms;
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 8);
        late += u64::from(sim.now_ms > crashed_ms + 6_000);
    }
    assert!(late <= 1, "{late} of 8 took longer than 6 s");
}

/// The controller that takes over crashes too, at different intervals after the first.
#[test]
fn two_of_three_controllers_fail_in_succession() {
    for (seed, gap_ms) in [30, 100, 300, 1_000, 3_000, 7_000, 12_000, 30_000]
        .iter()
        .enumerate()
    {
        let mut sim = fleet(40 + seed as u64, 3, 30);
        run_services(&mut sim);
        sim.crash(0, 8_000);
        sim.run(*gap_ms);
        sim.crash(1, 8_000);
        sim.run(1_000);
        assert_eq!(active_coordinators(&sim), 1, "gap {gap_ms} ms");
        sim.run(10_000);
        assert_unharmed(&mut sim);
    }
}

#[test]
fn the_successor_is_paused_or_loses_the_state_service() {
    for fault in 0..3 {
        let mut sim = fleet(60 + fault, 3, 30);
        run_services(&mut sim);
        sim.crash(0, 10_000);
        sim.run(400);
        match fault {
            0 => sim.pause(1, 6_000),
            1 => sim.controllers[1].cut_from_state = true,
            _ => sim.controllers[1].cut_from_workers = true,
        }
        sim.run(7_000);
        sim.heal_all();
        sim.run(10_000);
        assert_unharmed(&mut sim);
    }
}

/// One controller serves the whole fleet for a minute.
#[test]
fn one_controller_returns_long_before_its_peers() {
    let mut sim = fleet(70, 3, 60);
    run_services(&mut sim);
    sim.crash(0, 65_000);
    sim.crash(2, 65_000);
    sim.crash(1, 5_000);
    sim.run(20_000);
    assert!(
        sim.workers.values().all(|m| m.controller == 1),
        "all workers report to controller 1"
    );
    for i in 0..6 {
        assert_eq!(sim.running(&format!("j-{i}")), 3);
    }
    let request = sim.submit(1, job("j-20", 10));
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Accepted { .. }
    ));
    sim.run(80_000);
    // The controller hands workers back to its peers.
    let workers = (0..3).map(|n| sim.workers.values().filter(|m| m.controller == n).count());
    assert!(
        workers.max() <= Some(30),
        "no controller keeps more than half of the workers"
    );
    assert_unharmed(&mut sim);
}

#[test]
fn rolling_restarts_survive_an_outage_and_a_failover() {
    for outage in [true, false] {
        let mut sim = fleet(80, 3, 30);
        run_services(&mut sim);
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
        assert_unharmed(&mut sim);
    }
}

/// Two controllers that the settings name start late and leave again.
#[test]
fn controllers_join_and_leave() {
    let mut sim = new_fleet(90, 5, 40);
    sim.run(200);
    sim.crash(3, 40_000);
    sim.crash(4, 45_000);
    sim.run(12_000);
    run_services(&mut sim);
    sim.run(60_000);
    let workers_of =
        |sim: &Simulation, n| sim.workers.values().filter(|m| m.controller == n).count();
    assert!(
        (0..5).all(|n| workers_of(&sim, n) >= 3),
        "all controllers have workers"
    );
    sim.shut_down(3, 1_000_000);
    sim.run(4_000);
    sim.crash(4, 1_000_000);
    sim.run(20_000);
    assert_eq!(workers_of(&sim, 3) + workers_of(&sim, 4), 0);
    assert_unharmed(&mut sim);
}

/// The controllers' clocks differ by the maximum allowed skew.
#[test]
fn clocks_off_by_the_allowed_skew_change_nothing() {
    let mut sim = fleet(100, 3, 30);
    let skew_ms = sim.settings.clock_skew_ms;
    sim.clock_ahead_ms = vec![0, 2 * skew_ms, skew_ms];
    sim.run(4_000);
    run_services(&mut sim);
    for n in 0..3 {
        for m in (0..3).filter(|m| *m != n) {
            assert_eq!(peer_status(&sim, n, m), Some(PeerStatus::Healthy));
        }
    }
    sim.crash(1, 5_000);
    sim.run(15_000);
    assert_unharmed(&mut sim);
}

/// One controller is cut off from its peers, so that the controllers suspect each other. No work may be lost, and at
/// most two controllers may act as coordinator.
#[test]
fn two_controllers_that_suspect_each_other_do_no_harm() {
    let mut sim = fleet(110, 3, 30);
    run_services(&mut sim);
    sim.controllers[0].cut_from_peers = true;
    for _ in 0..20 {
        sim.run(1_000);
        assert!(active_coordinators(&sim) <= 2);
    }
    assert_ne!(peer_status(&sim, 1, 0), Some(PeerStatus::Healthy));
    let status = peer_status(&sim, 1, 0).unwrap();
    assert!(status.is_inactive(), "{status:?}");
    sim.submit(0, job("j-30", 4));
    sim.submit(1, job("j-31", 4));
    sim.run(15_000);
    sim.heal_all();
    sim.run(3_000);
    assert_eq!(
        (peer_status(&sim, 1, 0), active_coordinators(&sim)),
        (Some(PeerStatus::Healthy), 1)
    );
    assert_unharmed(&mut sim);
}

/// A controller that shuts down hands over its workers and answers its open requests. No user may wait for an answer
/// that never comes, and no worker may have to search for its next controller.
#[test]
fn a_graceful_shutdown_leaves_nothing_behind() {
    let mut sim = fleet(120, 3, 45);
    run_services(&mut sim);
    let workers: Vec<String> = (sim.workers.values())
        .filter(|m| m.controller == 0)
        .map(|m| m.name.clone())
        .collect();
    assert!(workers.len() > 5);
    let open_request = sim.submit(0, job("j-40", 2));
    sim.run(2);
    sim.shut_down(0, 30_000);
    sim.run(100);
    assert!(!sim.controllers[0]
        .controller
        .as_ref()
        .is_some_and(Controller::ready));
    assert!(matches!(
        sim.await_answer(open_request),
        UserReply::Accepted { .. }
    ));
    let request = sim.submit(0, job("j-41", 2));
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
    sim.run_until(10_000, "the controller has exited", |sim| {
        sim.controllers[0].controller.is_none()
    });
    let left = sim.workers.values().filter(|m| m.controller == 0).count();
    assert_eq!(
        left, 0,
        "some workers still report to the exited controller"
    );
    sim.run(6_000);
    let is_late = |m: &&Worker| sim.now_ms > m.last_heard.at_ms + 7_000;
    assert_eq!(sim.workers.values().filter(is_late).count(), 0);
    assert_unharmed(&mut sim);
}

/// Peer heartbeats of unknown senders, of earlier incarnations, from the future or the past, and of excessive size.
#[test]
fn invalid_peer_heartbeats_change_nothing() {
    let mut sim = fleet(130, 3, 30);
    run_services(&mut sim);
    let now = START_TIME_MS + sim.now_ms;
    let forged = |controller: &str, sent_at| PeerHeartbeat {
        controller: controller.into(),
        sent_at,
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
    let invalid = [
        forged("nobody", now),
        forged("node-1", now),
        forged("node-0", now + 3_600_000),
        forged("node-0", now - 3_600_000),
        earlier,
        large,
    ];
    for heartbeat in invalid {
        sim.inject_peer_heartbeat(1, heartbeat);
        sim.run(20);
        assert_eq!(peer_status(&sim, 1, 0), Some(PeerStatus::Healthy));
    }
    assert_eq!(active_coordinators(&sim), 1);
    assert_unharmed(&mut sim);
}
