//! Zones that are cut off from everything else, with a controller inside or without.

use glenmount_core::constants::CONFIRMED_CANCELLATION_TERM;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobSpec, JobState};
use glenmount_core::state::{JobPhase, Key, Record};
use glenmount_simulation::{dependent_job, job, service, Simulation, Worker};

/// No machine is returned for having nothing to do, none is provisioned, and leases are long enough to find
/// another controller.
fn configure_fleet(sim: &mut Simulation) {
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.cloud.capacity = 0;
}

/// Machines in both zones.
fn fleet(seed: u64, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, 3, machines);
    configure_fleet(&mut sim);
    sim.run(9_000);
    sim
}

fn scattered(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        topology_spread: true,
        ..service(id, tasks)
    }
}

fn up(sim: &Simulation, id: &str, tasks: usize) -> bool {
    sim.running(id) == tasks
}

/// rutazona-central-fleet's zone day: 440 of some 600 machines of a zone that was cut off were deleted
/// in the first 14 s, since at first less than a third of all were overdue.
#[test]
fn machines_of_a_partitioned_zone_are_not_taken_for_dead() {
    for seed in 0..3 {
        let mut sim = fleet(700 + seed, 40);
        for i in 0..8 {
            sim.submit(i % 3, scattered(&format!("j-{i}"), 4));
            sim.run(300);
        }
        sim.run_until(20_000, "up", |sim| {
            (0..8).all(|i| sim.running(&format!("j-{i}")) == 4)
        });
        sim.partition_zone("west", &[1]);
        sim.run(25_000);
        assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
        let starts = sim.metrics.starts;
        let r = sim.submit(0, service("j-20", 2));
        assert!(matches!(sim.await_answer(r), UserReply::Accepted { .. }));
        sim.run_until(4_000, "outside goes on", |sim| sim.running("j-20") == 2);
        assert_eq!(sim.metrics.starts, starts + 2);
        sim.heal_zone();
        sim.run(30_000);
        assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
        sim.check_records();
    }
}

#[test]
fn a_dead_machine_in_a_reachable_zone_is_detected_at_once() {
    let mut sim = fleet(710, 40);
    sim.submit(0, service("j-1", 1));
    sim.run_until(10_000, "runs", |sim| sim.running("j-1") == 1);
    let name = sim.machine_of("j-1").unwrap();
    sim.kill_machine(&name);
    sim.run_until(16_000, "runs elsewhere", |sim| sim.running("j-1") == 1);
    assert!(sim.cloud.deleted.contains(&name));
}

/// A zone that is dead, not cut off: its controller is heard, none of its machines is. What ran there starts
/// elsewhere, and in the end all its machines are given up. It used to wait for four minutes.
#[test]
fn tasks_of_a_failed_zone_start_elsewhere() {
    let mut sim = fleet(711, 24);
    sim.submit(0, service("j-1", 24));
    sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 24);
    let dead: Vec<String> = (sim.workers.values())
        .filter(|worker| worker.zone == "west")
        .map(|worker| worker.name.clone())
        .collect();
    for name in &dead {
        sim.kill_machine(name);
    }
    sim.run(20_000);
    assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
    sim.run_until(40_000, "runs elsewhere", |sim| sim.running("j-1") == 24);
    sim.run_until(260_000, "given up", |sim| {
        dead.iter().all(|d| sim.cloud.deleted.contains(d))
    });
}

/// Nothing new is put where it can't be started, or provisioned where it would come up unheard.
#[test]
fn nothing_is_placed_or_provisioned_in_an_unreachable_zone() {
    let mut sim = fleet(712, 24);
    sim.submit(1, service("j-1", 12));
    sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 12);
    sim.partition_zone("west", &[1]);
    sim.run(8_000);
    sim.cloud.capacity = 30;
    let before = sim.cloud.provisioned as usize;
    let r = sim.submit(0, service("j-2", 40));
    sim.await_answer(r);
    sim.run_until(40_000, "up outside", |sim| sim.running("j-2") == 40);
    let rented: Vec<&Worker> = (sim.workers.values())
        .filter(|m| m.name.as_str() >= format!("n-{before:06}").as_str())
        .collect();
    assert!(!rented.is_empty() && rented.iter().all(|m| m.zone == "east"));
    sim.heal_zone();
    sim.run(20_000);
    sim.check_records();
}

/// The controller inside used to stop renewing after `cancel_s - lease_s - 5 s`, since a job might have been
/// cancelled outside, so everything in the zone died though nothing was wrong with it.
#[test]
fn a_zone_survives_a_partition_longer_than_the_cancellation_bound() {
    for seed in 0..3 {
        let mut sim = fleet(720 + seed, 24);
        sim.submit(0, scattered("j-1", 20));
        sim.run_until(20_000, "up", |sim| up(sim, "j-1", 20));
        sim.partition_zone("west", &[1]);
        sim.run(150_000);
        assert!(up(&sim, "j-1", 20));
        sim.heal_zone();
        sim.run(30_000);
        assert_eq!((sim.metrics.starts, up(&sim, "j-1", 20)), (20, true));
        assert!(
            sim.workers.values().all(|worker| worker.incarnation == 1)
                && sim.cloud.deleted.is_empty()
        );
        sim.check_records();
    }
}

#[test]
fn a_cancellation_is_confirmed_at_once_without_faults() {
    let mut sim = fleet(730, 8);
    sim.submit(0, service("j-1", 6));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 6));
    let at = sim.now_ms;
    let r = sim.cancel(1, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
    assert!(sim.now_ms < at + 700, "{} ms", sim.now_ms - at);
    assert_eq!(sim.running("j-1"), 0);
}

/// What runs in a zone that is cut off can't be stopped: its user is told so at once, nobody says
/// that it is cancelled, and in the end its machines are deleted for it.
#[test]
fn a_cancellation_in_a_partitioned_zone_is_confirmed_once_its_machines_are_deleted() {
    let mut sim = fleet(731, 24);
    sim.workload.run_ms = 600_000;
    let long = JobSpec {
        topology_spread: true,
        ..job("j-1", 4)
    };
    let r = sim.submit(0, long);
    sim.await_answer(r);
    sim.submit(0, dependent_job("j-2", 1, &["j-1"]));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 4));
    // Full machines, so that no other shares one with it.
    let zoned = JobSpec {
        zone: Some("west".into()),
        ..service("j-3", 2)
    };
    sim.submit(0, zoned);
    sim.run_until(20_000, "up", |sim| up(sim, "j-3", 2));
    sim.partition_zone("west", &[1]);
    sim.run(7_000);
    let at = sim.now_ms;
    let r = sim.cancel(0, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    assert!(sim.now_ms < at + 1_500, "told at once when to come back");
    sim.run(3_000);
    assert_eq!(sim.running("j-1"), 2, "those outside are stopped");
    for n in [0, 2] {
        let r = sim.status(n, "j-1");
        let state = sim.await_answer(r);
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
        let r = sim.status(n, "j-2");
        let state = sim.await_answer(r);
        assert!(matches!(
            state,
            UserReply::Status {
                state: JobState::Pending,
                ..
            }
        ));
    }
    let r = sim.cancel(2, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    sim.run_until(50_000, "nothing is left", |sim| sim.running("j-1") == 0);
    assert_eq!(
        sim.running("j-3"),
        2,
        "others' work behind the cut is left alone"
    );
    sim.run(1_000);
    let r = sim.cancel(2, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
    assert!(sim.now_ms < at + 60_000);
    let r = sim.status(0, "j-2");
    assert!(matches!(
        sim.await_answer(r),
        UserReply::Status {
            state: JobState::Cancelled,
            ..
        }
    ));
    sim.heal_zone();
    sim.run(20_000);
    sim.check_records();
}

/// Told in the last moments before the cut, with nobody left outside to delete anything, and a cut
/// that lasts for minutes: whatever was told must hold. The simulation checks it at every step.
#[test]
fn a_cancellation_confirmed_just_before_a_partition_holds_without_controllers_outside() {
    let mut told = 0;
    for delay in [0, 2, 5, 9, 14, 20, 30, 60, 150, 300, 450, 600] {
        let mut sim = fleet(740 + delay, 24);
        sim.submit(0, scattered("j-1", 8));
        sim.run_until(20_000, "up", |sim| up(sim, "j-1", 8));
        let r = sim.cancel(0, "j-1");
        sim.run(delay);
        sim.partition_zone("west", &[1]);
        sim.cloud.is_down = true;
        sim.run(2_500);
        told += u32::from(matches!(
            sim.answers.get(&r),
            Some(UserReply::Cancelled { .. })
        ));
        sim.crash(0, 200_000);
        sim.crash(2, 200_000);
        sim.run(180_000);
        sim.heal_zone();
        sim.cloud.is_down = false;
        sim.run(60_000);
        assert_eq!(sim.running("j-1"), 0);
        sim.check_records();
    }
    assert!((1..12).contains(&told), "some were told, some not: {told}");
}

/// Older versions tell a cancellation at its commit. Whenever the last of them is replaced, and
/// whenever the cut begins, nothing of it may run on inside.
#[test]
fn cancellations_by_the_previous_version_hold_in_a_partitioned_zone() {
    for delay in [0, 100, 900, 1_800, 2_600, 3_300, 4_200, 6_000, 9_000] {
        let mut sim = Simulation::previous_version(760 + delay, 3, 24);
        configure_fleet(&mut sim);
        sim.run(9_000);
        for i in 0..6 {
            sim.submit(0, scattered(&format!("j-{i}"), 2));
        }
        sim.run_until(30_000, "up", |sim| {
            (0..6).all(|i| up(sim, &format!("j-{i}"), 2))
        });
        sim.upgrade(0, 1_000);
        sim.run(2_500);
        sim.upgrade(2, 1_000);
        sim.run(2_500);
        sim.upgrade(1, 800);
        let begun = sim.now_ms;
        for i in 0..6 {
            sim.cancel([0, 2][i % 2], &format!("j-{i}"));
            sim.run(700);
        }
        sim.run((begun + delay).saturating_sub(sim.now_ms));
        sim.partition_zone("west", &[1]);
        sim.cloud.is_down = true;
        sim.run(120_000);
        sim.heal_all();
        sim.run(40_000);
        sim.check_records();
    }
}

/// rutazona-central-fleet's zone day: the controller that all of the zone reports to is the busiest, and the
/// one that crashes. It comes back without records, but its workers' tokens prove that renewing is
/// safe, so it starts nothing and loses nothing.
#[test]
fn a_controller_restarted_in_a_partitioned_zone_renews_its_leases() {
    for away in [2_000, 8_000] {
        let mut sim = fleet(780 + away, 24);
        sim.submit(0, scattered("j-1", 8));
        sim.run_until(20_000, "up", |sim| up(sim, "j-1", 8));
        sim.partition_zone("west", &[1]);
        sim.run(9_000);
        sim.crash(1, away);
        sim.run(90_000);
        assert!(up(&sim, "j-1", 8));
        sim.heal_zone();
        sim.run(20_000);
        assert_eq!((sim.metrics.starts, up(&sim, "j-1", 8)), (8, true));
        sim.check_records();
    }
}

/// Before everything that older versions told has ended, no token says that it may.
#[test]
fn a_controller_restarted_in_a_partitioned_zone_during_an_upgrade_renews_no_lease() {
    let mut sim = Simulation::previous_version(781, 3, 24);
    configure_fleet(&mut sim);
    sim.run(9_000);
    sim.submit(0, scattered("j-1", 8));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 8));
    sim.partition_zone("west", &[1]);
    sim.run(3_000);
    sim.upgrade(1, 2_000);
    sim.run(60_000);
    assert_eq!(sim.running("j-1"), 4);
    sim.heal_zone();
    sim.run_until(40_000, "up again", |sim| up(sim, "j-1", 8));
}

/// A cancellation that the previous version told is still being carried out when all have the new one.
#[test]
fn the_term_is_raised_once_earlier_cancellations_are_complete() {
    let mut sim = Simulation::previous_version(782, 2, 8);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(5_000);
    sim.submit(0, service("j-1", 1));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 1));
    let machine = sim.machine_of("j-1").unwrap();
    sim.workers.get_mut(&machine).unwrap().disconnected = true;
    sim.cloud.is_down = true;
    let r = sim.cancel(0, "j-1");
    assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
    sim.upgrade(0, 500);
    sim.run(2_500);
    sim.upgrade(1, 500);
    sim.run(3_000);
    let term = |sim: &Simulation| match sim.state.records.get(&Key::Term) {
        Some((Record::Term(t), _)) => t.term,
        _ => 0,
    };
    assert!(sim
        .state
        .records
        .contains_key(&Key::CancellationConfirmation));
    assert_eq!(term(&sim), 1);
    sim.heal_all();
    sim.run_until(30_000, "raised", |sim| {
        term(sim) >= CONFIRMED_CANCELLATION_TERM
    });
    sim.submit(0, job("j-2", 6));
    sim.run_until(30_000, "work goes on", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done)
    });
    sim.check_records();
}

/// Cut off from state service and peers alone, a controller must not keep workers that its peers
/// would serve, however long it lasts.
#[test]
fn an_isolated_controller_redirects_its_workers() {
    for zones in [2, 1] {
        let mut sim = Simulation::new(790, 3, 12);
        sim.settings.zones.truncate(zones);
        configure_fleet(&mut sim);
        if zones == 1 {
            for worker in sim.workers.values_mut() {
                worker.zone = "east".into();
            }
        }
        sim.run(9_000);
        sim.submit(1, service("j-1", 6));
        sim.run_until(20_000, "up", |sim| up(sim, "j-1", 6));
        for worker in sim.workers.values_mut() {
            worker.controller = 0;
        }
        sim.run(7_000);
        sim.controllers[0].cut_from_state = true;
        sim.controllers[0].cut_from_peers = true;
        sim.run(45_000);
        assert!(
            sim.workers.values().all(|worker| worker.controller != 0),
            "{zones} zones"
        );
        assert_eq!((sim.metrics.starts, up(&sim, "j-1", 6)), (6, true));
    }
}

/// The same with a zone that is cut off where all are in one zone: those sent away find no other
/// controller in time to lose nothing.
#[test]
fn workers_without_another_controller_are_kept() {
    let mut sim = Simulation::new(791, 3, 12);
    sim.settings.zones.truncate(1);
    configure_fleet(&mut sim);
    for worker in sim.workers.values_mut() {
        worker.zone = "east".into();
    }
    sim.run(9_000);
    sim.submit(1, service("j-1", 6));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 6));
    // Controller 0 and all machines on one side, the others with everything else.
    sim.partition_zone("east", &[0]);
    sim.run(100_000);
    sim.heal_zone();
    sim.run(20_000);
    assert_eq!((sim.metrics.starts, up(&sim, "j-1", 6)), (6, true));
    assert!(sim.workers.values().all(|worker| worker.incarnation == 1));
}

/// One cancelled task on a machine with sixty others: the user waits for the end of the cut.
#[test]
fn a_partitioned_machine_is_not_deleted_for_one_cancelled_task_among_others() {
    let mut sim = fleet(732, 16);
    let zoned = |id: &str| {
        let mut spec = service(id, 8);
        spec.zone = Some("west".into());
        spec.resources.cpus = 1_300;
        spec
    };
    sim.submit(0, zoned("j-1"));
    sim.run(1_000);
    sim.submit(1, zoned("j-2"));
    sim.run_until(20_000, "up", |sim| up(sim, "j-1", 8) && up(sim, "j-2", 8));
    let holds = |worker: &Worker, id: &str| worker.tasks.keys().any(|(t, _)| t.job == id);
    let both = |worker: &&Worker| holds(worker, "j-1") && holds(worker, "j-2");
    let shared = sim.workers.values().filter(both).count();
    assert!(shared > 0);
    sim.partition_zone("west", &[1]);
    sim.run(5_000);
    let r = sim.cancel(0, "j-2");
    assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
    sim.run(90_000);
    assert!(up(&sim, "j-1", 8));
    sim.heal_zone();
    sim.run(12_000);
    let r = sim.cancel(0, "j-2");
    assert!(matches!(sim.await_answer(r), UserReply::Cancelled { .. }));
    assert!(up(&sim, "j-1", 8) && sim.running("j-2") == 0);
    sim.check_records();
}
