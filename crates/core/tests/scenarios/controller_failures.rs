//! Controllers that crash, pause or lose their connections.

use crate::common::{
    cancel_until_confirmed, is_answered, is_done, is_running, started_cluster, without_scale_in,
};
use glenmount_core::controller::{Controller, UserReply};
use glenmount_core::model::JobState;
use glenmount_core::state::JobPhase;
use glenmount_simulation::{job, service, use_long_leases, Simulation};

#[test]
fn assignments_of_a_crashed_controller_are_completed_by_its_peers() {
    for delay in [3, 8, 12, 20, 40, 200, 900] {
        let mut sim = started_cluster(6, 3, 2);
        let request = sim.submit(0, job("j-1", 2));
        sim.await_answer(request);
        sim.run(delay);
        sim.crash(0, 20_000);
        sim.run_until(30_000, "done", |sim| is_done(sim, "j-1"));
        sim.check_records();
    }
}

#[test]
fn a_restarted_controller_makes_no_machine_look_silent() {
    // The first heartbeat of a restarted controller lists no workers. Peers must remember its earlier heartbeats, or
    // they take the machines that report to it for silent and delete them.
    for seed in 0..6 {
        let mut sim = started_cluster(600 + seed, 3, 6);
        sim.settings.idle_timeout_ms = 600_000;
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.submit(0, service("j-1", 6));
        sim.run(30_000);
        sim.crash(0, 3_500);
        sim.run(20_000);
        assert_eq!(sim.metrics.starts, 6);
        let used = sim
            .workers
            .values()
            .filter(|worker| !worker.tasks.is_empty());
        assert!(used.count() > 0 && sim.running("j-1") == 6);
    }
}

#[test]
fn a_controller_cut_off_from_workers_deletes_no_machine() {
    // The controller stops receiving heartbeats from all machines at once and can probe none of them, so the controller
    // itself is cut off. The workers switch to its peers.
    let mut sim = started_cluster(25, 3, 6);
    sim.settings.idle_timeout_ms = 600_000;
    for worker in sim.workers.values_mut() {
        worker.controller = 0;
    }
    sim.submit(0, service("j-1", 6));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 6);
    sim.controllers[0].cut_from_workers = true;
    sim.run(40_000);
    assert_eq!(sim.metrics.starts, 6);
    assert!(sim
        .workers
        .values()
        .filter(|worker| !worker.tasks.is_empty())
        .all(|worker| worker.incarnation == 1));
}

#[test]
fn no_machine_is_deleted_while_controllers_cannot_reach_each_other() {
    // Each controller receives heartbeats from a third of the machines and learns nothing about the others from its
    // peers. It must probe these machines before it deletes any: 600 healthy machines were once deleted as silent
    // within 30 s.
    let mut sim = started_cluster(28, 3, 9);
    sim.submit(0, service("j-1", 9));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 9);
    let machines_in_use = |sim: &Simulation| {
        let workers = sim
            .workers
            .values()
            .filter(|worker| !worker.tasks.is_empty());
        workers
            .map(|worker| worker.name.clone())
            .collect::<Vec<_>>()
    };
    let used = machines_in_use(&sim);
    for slot in &mut sim.controllers {
        slot.cut_from_peers = true;
    }
    sim.run(90_000);
    assert_eq!((sim.metrics.starts, machines_in_use(&sim)), (9, used));
    // A machine that does die meanwhile is still detected.
    let name = sim.machine_of("j-1").unwrap();
    sim.kill_machine(&name);
    sim.run_until(30_000, "runs elsewhere", |sim| sim.running("j-1") == 9);
    assert!(sim.cloud.deleted.contains(&name));
}

#[test]
fn a_controller_that_starts_during_a_cloud_outage_accepts_jobs() {
    let mut sim = started_cluster(30, 2, 2);
    sim.cloud.is_down = true;
    sim.crash(0, 1_000);
    sim.crash(1, 1_000);
    sim.run(2_000);
    assert!(sim
        .controllers
        .iter()
        .all(|s| s.controller.as_ref().is_some_and(|n| n.ready())));
    let request = sim.submit(0, job("j-1", 1));
    assert_eq!(
        sim.await_answer(request),
        UserReply::Accepted { job: "j-1".into() }
    );
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
}

#[test]
fn a_started_controller_learns_cached_images_from_its_peers() {
    let mut sim = started_cluster(31, 2, 2);
    sim.submit(1, job("j-1", 2));
    sim.run_until(20_000, "done", |sim| is_done(sim, "j-1"));
    sim.crash(0, 1_000);
    sim.run(6_000);
    let controller = sim.controllers[0]
        .controller
        .as_ref()
        .expect("the controller is back");
    let machines = sim.workers.keys();
    assert!(machines
        .into_iter()
        .any(|m| controller.cache.has_image(m, "img")));
}

#[test]
fn a_restart_of_all_controllers_loses_nothing() {
    let mut sim = started_cluster(15, 3, 3);
    sim.submit(0, service("j-1", 2));
    sim.submit(1, job("j-2", 4));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 2);
    for n in 0..3 {
        sim.crash(n, 4_000);
    }
    sim.run(6_000);
    sim.run_until(40_000, "work continues", |sim| {
        sim.running("j-1") == 2 && is_done(sim, "j-2")
    });
    assert!(
        sim.workers.values().all(|worker| worker.incarnation == 1),
        "no lease expired"
    );
    assert_eq!(sim.metrics.starts, 6);
    sim.check_records();
}

/// A paused controller resumes with heartbeats and answers from before the pause in its queues. It must neither delete
/// machines that reported to its peers meanwhile nor act on its stale cache.
#[test]
fn a_paused_controller_acts_on_no_stale_input() {
    for pause_ms in [5_000, 20_000, 70_000] {
        let mut sim = without_scale_in(62, 3, 6);
        sim.cloud.capacity = 0;
        sim.workload.run_ms = 4_000;
        sim.submit(1, service("j-1", 3));
        sim.run_until(10_000, "up", |sim| sim.running("j-1") == 3);
        sim.submit(0, job("j-2", 12));
        sim.run(30);
        sim.pause(0, pause_ms);
        sim.run(2_000);
        let request = sim.cancel(1, "j-2");
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Cancelled { .. }
        ));
        sim.submit(2, job("j-3", 6));
        let status_request = sim.status(0, "j-2");
        let request = sim.submit(0, job("j-4", 1));
        sim.run_until(pause_ms, "resumed", |sim| !sim.is_paused(0));
        let sent = sim.controllers[0].messages_sent;
        sim.run(1);
        assert_eq!(
            sim.controllers[0].messages_sent, sent,
            "nothing is sent before the cache is current"
        );
        assert!(
            matches!(sim.await_answer(request), UserReply::RetryAfter { .. }),
            "the user is told to retry"
        );
        assert!(matches!(
            sim.await_answer(status_request),
            UserReply::RetryAfter { .. }
                | UserReply::Status {
                    state: JobState::Cancelled,
                    ..
                }
        ));
        sim.run_until(30_000, "done", |sim| is_done(sim, "j-3"));
        sim.run(20_000);
        assert!(
            sim.cloud.deleted.is_empty(),
            "{:?} after {pause_ms} ms",
            sim.cloud.deleted
        );
        assert_eq!(sim.running("j-1"), 3);
        assert!(
            sim.controllers[0].controller.as_ref().unwrap().ready(),
            "the controller is ready again"
        );
        sim.check_records();
    }
}

#[test]
fn a_pause_of_all_controllers_loses_nothing() {
    let mut sim = without_scale_in(63, 3, 6);
    sim.cloud.capacity = 0;
    sim.submit(0, service("j-1", 3));
    sim.submit(1, job("j-2", 4));
    sim.run_until(10_000, "up", |sim| sim.running("j-1") == 3);
    for (n, ms) in [(0, 30_000), (1, 32_000), (2, 30_500)] {
        sim.pause(n, ms);
    }
    sim.run(33_000);
    sim.run_until(30_000, "running again", |sim| sim.running("j-1") == 3);
    sim.run_until(30_000, "done", |sim| is_done(sim, "j-2"));
    sim.run(20_000);
    assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
    sim.check_records();
}

/// Peers take over everything from a paused controller: its workers, its claims whose start commands were never sent,
/// and the changes in the state store.
#[test]
fn peers_complete_the_claims_of_a_paused_controller() {
    for delay_ms in [14, 18, 22, 26, 30] {
        let mut sim = started_cluster(64, 3, 4);
        sim.submit(0, service("j-1", 2));
        sim.run(delay_ms);
        sim.pause(0, 120_000);
        let request = sim.submit(1, service("j-1", 2));
        sim.await_answer(request);
        sim.run_until(20_000, "up", |sim| sim.running("j-1") == 2);
        assert!(sim.is_paused(0));
    }
}

/// A controller that lost its workers, in both directions or only outbound, claims nothing once it has noticed, deletes
/// no machine and reports not ready, so that users go to its peers. It serves again once the fault is over.
#[test]
fn a_controller_that_workers_cannot_reach_leaves_work_to_its_peers() {
    for outbound_only in [false, true] {
        let mut sim = without_scale_in(65, 3, 6);
        sim.cloud.capacity = 0;
        sim.controllers[0].cut_from_workers = !outbound_only;
        sim.controllers[0].outbound_lost = outbound_only;
        for i in 0..6 {
            sim.submit(0, job(&format!("j-{i}"), 2));
            sim.run(3_000);
        }
        let ready = |sim: &Simulation| sim.controllers[0].controller.as_ref().unwrap().ready();
        assert!(!ready(&sim), "the controller reports not ready");
        sim.run_until(20_000, "done", |sim| {
            (0..6).all(|i| is_done(sim, &format!("j-{i}")))
        });
        assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
        sim.heal_all();
        sim.run_until(10_000, "ready again", |sim| ready(sim));
    }
}

/// After a pause all workers remain at the controllers that they switched to; the controllers must hand some back.
#[test]
fn workers_are_rebalanced_after_a_controller_was_away() {
    let mut sim = without_scale_in(66, 3, 60);
    sim.pause(0, 12_000);
    sim.run(14_000);
    let workers_of = |sim: &Simulation, n| {
        sim.workers
            .values()
            .filter(|worker| worker.controller == n)
            .count()
    };
    assert!(
        workers_of(&sim, 0) < 10,
        "workers have switched to the peers"
    );
    sim.run_until(40_000, "rebalanced", |sim| {
        (0..3).all(|n| workers_of(sim, n) >= 12)
    });
    sim.run(10_000);
    assert!(
        (0..3).all(|n| workers_of(&sim, n) >= 12),
        "workers stay balanced"
    );
}

/// A controller loses the state service and its peers but not its workers and users. It must report not ready to the
/// load balancer and let its workers switch to its peers, so that cancelled tasks end and results are recorded, during
/// the fault and after it.
#[test]
fn an_isolated_controller_keeps_neither_users_nor_workers() {
    for long_leases in [false, true] {
        let mut sim = Simulation::new(80, 3, 9);
        if long_leases {
            use_long_leases(&mut sim);
        }
        sim.run(15_000);
        for i in 0..6 {
            sim.submit(i % 3, job(&format!("j-{i}"), 2));
        }
        sim.submit(1, service("j-s", 6));
        sim.run_until(20_000, "up", |sim| is_running(sim, "j-s"));
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(6_000);
        let slot = &mut sim.controllers[0];
        (slot.cut_from_state, slot.cut_from_peers) = (true, true);
        let ready = |sim: &Simulation| {
            sim.controllers[0]
                .controller
                .as_ref()
                .is_some_and(Controller::ready)
        };
        let start_ms = sim.now_ms;
        sim.run_until(10_000, "the controller reports not ready", |sim| {
            !ready(sim)
        });
        if long_leases {
            sim.run_until(10_000, "workers switch to peers", |sim| {
                sim.workers.values().all(|worker| worker.controller != 0)
            });
            assert!(sim.now_ms < start_ms + 15_000);
        }
        let request = sim.submit(1, job("j-n", 3));
        sim.await_answer(request);
        let confirmed_ms = cancel_until_confirmed(&mut sim, 2, "j-s", 60_000);
        assert!(confirmed_ms.is_some(), "the cancellation is confirmed");
        sim.run_until(90_000, "done", |sim| {
            (0..6).all(|i| sim.job_phase(&format!("j-{i}")) == Some(JobPhase::Done))
                && sim.job_phase("j-n") == Some(JobPhase::Done)
        });
        sim.run(60_000);
        sim.heal_all();
        sim.run_until(10_000, "ready", ready);
        assert!((0..6).all(|i| is_answered(&mut sim, 0, &format!("j-{i}"))));
        sim.run(10_000);
        sim.check_records();
    }
}
