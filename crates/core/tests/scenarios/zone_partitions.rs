//! Zones that are partitioned from everything else, with or without a controller inside.

use glenmount_core::constants::CONFIRMED_CANCELLATION_TERM;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobSpec, JobState};
use glenmount_core::state::{JobPhase, Key, Record};
use glenmount_simulation::{dependent_job, job, service, Simulation, Worker};

/// Configures a fleet of fixed size, with leases that are long enough for a worker to find another controller.
fn configure_fleet(sim: &mut Simulation) {
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.settings.heartbeat_interval_ms = 5_000;
    sim.settings.lease_ms = 26_500;
    sim.settings.cancellation_timeout_ms = 51_500;
    sim.cloud.capacity = 0;
}

/// Starts a fleet with machines in both zones.
fn fleet(seed: u64, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, 3, machines);
    configure_fleet(&mut sim);
    sim.run(9_000);
    sim
}

fn spread_service(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        topology_spread: true,
        ..service(id, tasks)
    }
}

fn all_run(sim: &Simulation, id: &str, tasks: usize) -> bool {
    sim.running(id) == tasks
}

/// In the first 14 s of a zone partition, controllers deleted 440 of about 600 machines of the zone, since at first
/// less than a third of the fleet was overdue (zone day of rutazona-central-fleet).
#[test]
fn machines_of_a_partitioned_zone_are_not_deleted() {
    for seed in 0..3 {
        let mut sim = fleet(700 + seed, 40);
        for i in 0..8 {
            sim.submit(i % 3, spread_service(&format!("j-{i}"), 4));
            sim.run(300);
        }
        sim.run_until(20_000, "up", |sim| {
            (0..8).all(|i| sim.running(&format!("j-{i}")) == 4)
        });
        sim.partition_zone("west", &[1]);
        sim.run(25_000);
        assert!(sim.cloud.deleted.is_empty(), "{:?}", sim.cloud.deleted);
        let starts = sim.metrics.starts;
        let request = sim.submit(0, service("j-20", 2));
        assert!(matches!(
            sim.await_answer(request),
            UserReply::Accepted { .. }
        ));
        sim.run_until(4_000, "work outside the zone continues", |sim| {
            sim.running("j-20") == 2
        });
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

/// All machines of a zone die while its controller is still heard, so the zone is not partitioned. Its tasks must start
/// elsewhere and its machines must be deleted in the end. The tasks used to wait for four minutes.
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
    sim.run_until(260_000, "the machines are deleted", |sim| {
        dead.iter().all(|d| sim.cloud.deleted.contains(d))
    });
}

/// Controllers must place no task in an unreachable zone, where it cannot start, and provision no machine there, whose
/// heartbeats they could not receive.
#[test]
fn nothing_is_placed_or_provisioned_in_an_unreachable_zone() {
    let mut sim = fleet(712, 24);
    sim.submit(1, service("j-1", 12));
    sim.run_until(20_000, "runs", |sim| sim.running("j-1") == 12);
    sim.partition_zone("west", &[1]);
    sim.run(8_000);
    sim.cloud.capacity = 30;
    let provisioned_before = sim.cloud.provisioned as usize;
    let request = sim.submit(0, service("j-2", 40));
    sim.await_answer(request);
    sim.run_until(40_000, "running outside the zone", |sim| {
        sim.running("j-2") == 40
    });
    let provisioned: Vec<&Worker> = (sim.workers.values())
        .filter(|m| m.name.as_str() >= format!("n-{provisioned_before:06}").as_str())
        .collect();
    assert!(!provisioned.is_empty() && provisioned.iter().all(|m| m.zone == "east"));
    sim.heal_zone();
    sim.run(20_000);
    sim.check_records();
}

/// The controller inside a partitioned zone stopped renewing leases after `cancel_s - lease_s - 5 s`, since a user
/// might have cancelled a job outside, so all tasks in a healthy zone ended.
#[test]
fn a_zone_survives_a_partition_longer_than_the_cancellation_bound() {
    for seed in 0..3 {
        let mut sim = fleet(720 + seed, 24);
        sim.submit(0, spread_service("j-1", 20));
        sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 20));
        sim.partition_zone("west", &[1]);
        sim.run(150_000);
        assert!(all_run(&sim, "j-1", 20));
        sim.heal_zone();
        sim.run(30_000);
        assert_eq!((sim.metrics.starts, all_run(&sim, "j-1", 20)), (20, true));
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
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 6));
    let cancelled_ms = sim.now_ms;
    let request = sim.cancel(1, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Cancelled { .. }
    ));
    assert!(
        sim.now_ms < cancelled_ms + 700,
        "{} ms",
        sim.now_ms - cancelled_ms
    );
    assert_eq!(sim.running("j-1"), 0);
}

/// Controllers cannot stop tasks in a partitioned zone. They must tell the user to retry at once, confirm nothing, and
/// delete the machines in the end.
#[test]
fn a_cancellation_in_a_partitioned_zone_is_confirmed_once_its_machines_are_deleted() {
    let mut sim = fleet(731, 24);
    sim.workload.run_ms = 600_000;
    let long_job = JobSpec {
        topology_spread: true,
        ..job("j-1", 4)
    };
    let request = sim.submit(0, long_job);
    sim.await_answer(request);
    sim.submit(0, dependent_job("j-2", 1, &["j-1"]));
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 4));
    // The tasks of j-3 fill their machines, so that j-1 shares none with them.
    let zoned = JobSpec {
        zone: Some("west".into()),
        ..service("j-3", 2)
    };
    sim.submit(0, zoned);
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-3", 2));
    sim.partition_zone("west", &[1]);
    sim.run(7_000);
    let cancelled_ms = sim.now_ms;
    let request = sim.cancel(0, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
    assert!(
        sim.now_ms < cancelled_ms + 1_500,
        "the user is told to retry at once"
    );
    sim.run(3_000);
    assert_eq!(sim.running("j-1"), 2, "tasks outside the zone are stopped");
    for n in [0, 2] {
        let request = sim.status(n, "j-1");
        let state = sim.await_answer(request);
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
        let request = sim.status(n, "j-2");
        let state = sim.await_answer(request);
        assert!(matches!(
            state,
            UserReply::Status {
                state: JobState::Pending,
                ..
            }
        ));
    }
    let request = sim.cancel(2, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
    sim.run_until(50_000, "no task is left", |sim| sim.running("j-1") == 0);
    assert_eq!(
        sim.running("j-3"),
        2,
        "other jobs in the partitioned zone run on"
    );
    sim.run(1_000);
    let request = sim.cancel(2, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Cancelled { .. }
    ));
    assert!(sim.now_ms < cancelled_ms + 60_000);
    let request = sim.status(0, "j-2");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Status {
            state: JobState::Cancelled,
            ..
        }
    ));
    sim.heal_zone();
    sim.run(20_000);
    sim.check_records();
}

/// A cancellation is confirmed just before a zone is partitioned for minutes, and no controller outside is left to
/// delete machines. The confirmation must hold; the simulation checks it at every step.
#[test]
fn a_cancellation_confirmed_just_before_a_partition_holds_without_controllers_outside() {
    let mut confirmed = 0;
    for delay_ms in [0, 2, 5, 9, 14, 20, 30, 60, 150, 300, 450, 600] {
        let mut sim = fleet(740 + delay_ms, 24);
        sim.submit(0, spread_service("j-1", 8));
        sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 8));
        let request = sim.cancel(0, "j-1");
        sim.run(delay_ms);
        sim.partition_zone("west", &[1]);
        sim.cloud.is_down = true;
        sim.run(2_500);
        confirmed += u32::from(matches!(
            sim.answers.get(&request),
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
    assert!(
        (1..12).contains(&confirmed),
        "confirmed before the partition: {confirmed} of 12"
    );
}

/// Previous versions confirm a cancellation at its commit. Whenever the last such controller is upgraded and whenever
/// the partition begins, no task of the cancelled job may run on inside the zone.
#[test]
fn cancellations_by_the_previous_version_hold_in_a_partitioned_zone() {
    for delay_ms in [0, 100, 900, 1_800, 2_600, 3_300, 4_200, 6_000, 9_000] {
        let mut sim = Simulation::previous_version(760 + delay_ms, 3, 24);
        configure_fleet(&mut sim);
        sim.run(9_000);
        for i in 0..6 {
            sim.submit(0, spread_service(&format!("j-{i}"), 2));
        }
        sim.run_until(30_000, "up", |sim| {
            (0..6).all(|i| all_run(sim, &format!("j-{i}"), 2))
        });
        sim.upgrade(0, 1_000);
        sim.run(2_500);
        sim.upgrade(2, 1_000);
        sim.run(2_500);
        sim.upgrade(1, 800);
        let upgraded_ms = sim.now_ms;
        for i in 0..6 {
            sim.cancel([0, 2][i % 2], &format!("j-{i}"));
            sim.run(700);
        }
        sim.run((upgraded_ms + delay_ms).saturating_sub(sim.now_ms));
        sim.partition_zone("west", &[1]);
        sim.cloud.is_down = true;
        sim.run(120_000);
        sim.heal_all();
        sim.run(40_000);
        sim.check_records();
    }
}

/// The controller that all workers of a partitioned zone report to restarts without records (zone day of
/// rutazona-central-fleet). The workers' tokens prove that renewing their leases is safe, so no task starts or ends.
#[test]
fn a_controller_restarted_in_a_partitioned_zone_renews_its_leases() {
    for downtime_ms in [2_000, 8_000] {
        let mut sim = fleet(780 + downtime_ms, 24);
        sim.submit(0, spread_service("j-1", 8));
        sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 8));
        sim.partition_zone("west", &[1]);
        sim.run(9_000);
        sim.crash(1, downtime_ms);
        sim.run(90_000);
        assert!(all_run(&sim, "j-1", 8));
        sim.heal_zone();
        sim.run(20_000);
        assert_eq!((sim.metrics.starts, all_run(&sim, "j-1", 8)), (8, true));
        sim.check_records();
    }
}

/// During an upgrade no token proves that renewing is safe until all cancellations that the previous version confirmed
/// are complete.
#[test]
fn a_controller_restarted_in_a_partitioned_zone_during_an_upgrade_renews_no_lease() {
    let mut sim = Simulation::previous_version(781, 3, 24);
    configure_fleet(&mut sim);
    sim.run(9_000);
    sim.submit(0, spread_service("j-1", 8));
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 8));
    sim.partition_zone("west", &[1]);
    sim.run(3_000);
    sim.upgrade(1, 2_000);
    sim.run(60_000);
    assert_eq!(sim.running("j-1"), 4);
    sim.heal_zone();
    sim.run_until(40_000, "up again", |sim| all_run(sim, "j-1", 8));
}

/// A cancellation confirmed by the previous version is still incomplete when all controllers are upgraded. The term
/// must rise only once it is complete.
#[test]
fn the_term_is_raised_once_earlier_cancellations_are_complete() {
    let mut sim = Simulation::previous_version(782, 2, 8);
    sim.settings.idle_timeout_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(5_000);
    sim.submit(0, service("j-1", 1));
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 1));
    let machine = sim.machine_of("j-1").unwrap();
    sim.workers.get_mut(&machine).unwrap().disconnected = true;
    sim.cloud.is_down = true;
    let request = sim.cancel(0, "j-1");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Cancelled { .. }
    ));
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
    sim.run_until(30_000, "the term is raised", |sim| {
        term(sim) >= CONFIRMED_CANCELLATION_TERM
    });
    sim.submit(0, job("j-2", 6));
    sim.run_until(30_000, "work continues", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done)
    });
    sim.check_records();
}

/// A controller that is cut off from the state service and its peers must not keep workers that its peers could serve,
/// however long the fault lasts.
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
        sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 6));
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
        assert_eq!((sim.metrics.starts, all_run(&sim, "j-1", 6)), (6, true));
    }
}

/// All machines are in one zone and are partitioned with one controller. Redirected workers find no other controller,
/// so this controller must keep them and their tasks.
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
    sim.run_until(20_000, "up", |sim| all_run(sim, "j-1", 6));
    // Controller 0 and all machines are on one side, the other controllers and the services on the other.
    sim.partition_zone("east", &[0]);
    sim.run(100_000);
    sim.heal_zone();
    sim.run(20_000);
    assert_eq!((sim.metrics.starts, all_run(&sim, "j-1", 6)), (6, true));
    assert!(sim.workers.values().all(|worker| worker.incarnation == 1));
}

/// A cancelled task shares a machine in a partitioned zone with tasks of another job. The machine must not be deleted
/// for it; the cancellation is confirmed after the partition.
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
    sim.run_until(20_000, "up", |sim| {
        all_run(sim, "j-1", 8) && all_run(sim, "j-2", 8)
    });
    let holds = |worker: &Worker, id: &str| worker.tasks.keys().any(|(t, _)| t.job == id);
    let runs_both = |worker: &&Worker| holds(worker, "j-1") && holds(worker, "j-2");
    let shared = sim.workers.values().filter(runs_both).count();
    assert!(shared > 0);
    sim.partition_zone("west", &[1]);
    sim.run(5_000);
    let request = sim.cancel(0, "j-2");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::RetryAfter { .. }
    ));
    sim.run(90_000);
    assert!(all_run(&sim, "j-1", 8));
    sim.heal_zone();
    sim.run(12_000);
    let request = sim.cancel(0, "j-2");
    assert!(matches!(
        sim.await_answer(request),
        UserReply::Cancelled { .. }
    ));
    assert!(all_run(&sim, "j-1", 8) && sim.running("j-2") == 0);
    sim.check_records();
}
