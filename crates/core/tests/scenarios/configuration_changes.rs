//! Configuration changes: they take effect by transactions at every controller, also under faults.

use crate::common::{fixed_fleet, is_accepted, team_settings};
use glenmount_core::configuration::ObservedVersionRecord;
use glenmount_core::controller::UserReply;
use glenmount_core::model::{JobPriority, JobSpec};
use glenmount_core::state::{JobPhase, Key, Record};
use glenmount_simulation::operator::ConfigureError;
use glenmount_simulation::{job, limited_team, service, FaultRates, Simulation};
use rand::Rng;

/// Submits jobs of the limited team that use all of its 12 CPUs.
fn fill_quota(sim: &mut Simulation) {
    sim.workload.run_ms = 3_600_000;
    let request = sim.submit(0, limited_team(service("j-s", 2)));
    sim.await_answer(request);
    let low = JobSpec {
        priority: JobPriority::Low,
        ..limited_team(job("j-low", 2))
    };
    let request = sim.submit(1, low);
    sim.await_answer(request);
    sim.run_until(10_000, "the first jobs run", |sim| {
        sim.running("j-s") + sim.running("j-low") == 4
    });
    sim.submit(0, limited_team(job("j-normal", 9)));
    sim.run_until(10_000, "full", |sim| sim.running("j-normal") == 2);
}

#[test]
fn the_settings_file_applies_until_a_first_change_is_in_force_within_a_second() {
    let mut sim = fixed_fleet(1, 3, 8);
    assert!(!sim.state.records.contains_key(&Key::Configuration));
    assert!(
        sim.state.records.contains_key(&Key::ConfigurationEnabled) && sim.all_controllers_follow(0)
    );
    let settings = sim.with_limit("blue", 4.0);
    assert_eq!(sim.configure(&settings), Ok(1));
    sim.run_until(1_000, "in force", |sim| sim.all_controllers_follow(1));
    sim.run_until(1_000, "the observed version is on record", |sim| {
        let follows = |controller: &String| match sim
            .state
            .records
            .get(&Key::ObservedVersion(controller.clone()))
        {
            Some((Record::ObservedVersion(ObservedVersionRecord { version }), _)) => *version == 1,
            _ => false,
        };
        sim.settings.controllers.iter().all(follows)
    });
    for n in 0..3 {
        sim.submit(n, limited_team(job(&format!("j-{n}"), 4)));
    }
    sim.run_until(60_000, "done", |sim| sim.completed_tasks.len() == 12);
    sim.check_records();
}

/// A lowered limit evicts tasks above it, those of the lowest priority and the newest first, services last.
#[test]
fn a_lowered_limit_evicts_the_lowest_priority_until_the_rest_fits() {
    let mut sim = fixed_fleet(2, 3, 8);
    fill_quota(&mut sim);
    let settings = sim.with_limit("blue", 8.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "tasks of low priority are evicted", |sim| {
        sim.running("j-low") == 0
    });
    sim.run(5_000);
    assert_eq!((sim.running("j-s"), sim.running("j-normal")), (2, 2));
    assert_eq!(sim.metrics.stops["limit"].0, 2);
    let settings = sim.with_limit("blue", 4.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "batch tasks are evicted", |sim| {
        sim.running("j-normal") == 0
    });
    sim.run(5_000);
    assert_eq!(sim.running("j-s"), 2);
    let settings = sim.with_limit("blue", 12.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "all run again", |sim| {
        sim.running("j-normal") + sim.running("j-low") == 4
    });
    sim.check_records();
}

/// Limits change while the team is at its limit and controllers crash one after another.
#[test]
fn limits_change_while_teams_are_at_them_and_controllers_fail() {
    for seed in 0..4 {
        let mut sim = fixed_fleet(20 + seed, 3, 8);
        fill_quota(&mut sim);
        for step in 0..6 {
            sim.crash(step % 3, 700);
            let settings = sim.with_limit("blue", [6.0, 12.0][step % 2]);
            sim.configure(&settings).unwrap();
            sim.run(1_500);
        }
        let settings = sim.with_limit("blue", 4.0);
        let version = sim.configure(&settings).unwrap();
        sim.run_until(8_000, "in force", |sim| sim.all_controllers_follow(version));
        sim.run_until(20_000, "usage fits the limit", |sim| {
            sim.running("j-normal") + sim.running("j-low") == 0
        });
        assert_eq!(sim.running("j-s"), 2, "seed {seed}");
        sim.check_records();
    }
}

/// The operator repeats a change whose answer was lost, and a copy arrives late after another change. Only the first
/// may take effect.
#[test]
fn a_repeated_or_late_change_takes_effect_once() {
    let mut sim = fixed_fleet(3, 3, 6);
    let settings = sim.with_limit("blue", 6.0);
    let transaction = sim.draft_configuration(&settings).unwrap();
    assert_eq!(sim.commit_configuration(&transaction), Ok(1));
    assert_eq!(
        sim.commit_configuration(&transaction),
        Err(ConfigureError::Conflict)
    );
    let settings = sim.with_limit("blue", 8.0);
    assert_eq!(sim.configure(&settings), Ok(2));
    sim.run(5_000);
    assert_eq!(
        sim.commit_configuration(&transaction),
        Err(ConfigureError::Conflict)
    );
    assert!(sim.all_controllers_follow(2) && sim.team_limit("blue") == Some(8_000));
}

#[test]
fn one_of_two_concurrent_operators_wins() {
    let mut sim = fixed_fleet(4, 3, 6);
    let (first, second) = (sim.with_limit("blue", 6.0), sim.with_limit("blue", 8.0));
    let first = sim.draft_configuration(&first).unwrap();
    let second = sim.draft_configuration(&second).unwrap();
    assert_eq!(sim.commit_configuration(&first), Ok(1));
    assert_eq!(
        sim.commit_configuration(&second),
        Err(ConfigureError::Conflict)
    );
    sim.run_until(1_000, "in force", |sim| sim.all_controllers_follow(1));
    assert_eq!(sim.team_limit("blue"), Some(6_000));
}

/// One controller is cut off from the state service, or refused by it, and recovers after three changes. It must not
/// claim by the limit in its cache.
#[test]
fn a_partitioned_controller_claims_nothing_by_a_stale_limit() {
    for seed in 0..4 {
        let mut sim = fixed_fleet(30 + seed, 3, 8);
        sim.workload.run_ms = 3_600_000;
        match seed % 2 {
            0 => sim.controllers[1].cut_from_state = true,
            _ => sim.controllers[1].refused_by_state = true,
        }
        sim.run(300);
        sim.submit(0, limited_team(job("j-1", 9)));
        for cpus in [10.0, 8.0, 2.0] {
            let settings = sim.with_limit("blue", cpus);
            sim.configure(&settings).unwrap();
            sim.run(2_500);
        }
        sim.heal_all();
        sim.run_until(8_000, "in force", |sim| sim.all_controllers_follow(3));
        sim.run(6_000);
        assert_eq!(sim.running("j-1"), 1, "seed {seed}");
        sim.check_records();
    }
}

/// Controllers relist the records page by page while configuration changes commit.
#[test]
fn a_relist_during_changes_ends_with_the_latest() {
    for seed in 0..6 {
        let mut sim = fixed_fleet(40 + seed, 3, 8);
        sim.state.page_size = 2;
        fill_quota(&mut sim);
        for step in 0..8 {
            let settings = sim.with_limit("blue", [6.0, 12.0][step % 2]);
            sim.break_watch(step % 3);
            sim.run(3 + seed * 7);
            sim.configure(&settings).unwrap();
            sim.run(200);
        }
        sim.run_until(5_000, "in force", |sim| sim.all_controllers_follow(8));
        sim.run_until(20_000, "full again", |sim| {
            sim.running("j-s") + sim.running("j-low") + sim.running("j-normal") == 6
        });
        sim.check_records();
    }
}

#[test]
fn changes_before_and_after_a_state_service_outage_take_effect() {
    let mut sim = fixed_fleet(5, 3, 8);
    fill_quota(&mut sim);
    let settings = sim.with_limit("blue", 8.0);
    sim.configure(&settings).unwrap();
    sim.state.is_down = true;
    let settings = sim.with_limit("blue", 4.0);
    assert_eq!(sim.configure(&settings), Err(ConfigureError::Unavailable));
    sim.run(9_000);
    sim.state.is_down = false;
    assert_eq!(sim.configure(&settings), Ok(2));
    sim.run_until(7_000, "in force", |sim| sim.all_controllers_follow(2));
    sim.run_until(15_000, "usage fits the limit", |sim| {
        sim.running("j-low") + sim.running("j-normal") == 0
    });
    sim.check_records();
}

/// A limit changes while a claim is in flight. The simulation compares each claim with the limit in force at its
/// commit.
#[test]
fn a_change_between_draft_and_commit_of_a_claim_rejects_the_claim() {
    for seed in 0..8 {
        let mut sim = fixed_fleet(50 + seed, 3, 8);
        sim.workload.run_ms = 3_600_000;
        for round in 0..4 {
            let id = format!("j-{round}");
            sim.submit(round % 3, limited_team(job(&id, 3)));
            // The claim is in flight some milliseconds after the submission.
            sim.run(2 + seed);
            let settings = sim.with_limit("blue", [2.0, 12.0][round % 2]);
            sim.configure(&settings).unwrap();
            sim.run(400);
        }
        let settings = sim.with_limit("blue", 12.0);
        sim.configure(&settings).unwrap();
        sim.run_until(15_000, "full", |sim| {
            (0..4)
                .map(|n| sim.running(&format!("j-{n}")))
                .sum::<usize>()
                == 6
        });
        sim.check_records();
    }
}

#[test]
fn a_limit_can_be_lowered_raised_and_lowered_within_a_second() {
    let mut sim = fixed_fleet(6, 3, 8);
    fill_quota(&mut sim);
    for cpus in [6.0, 12.0, 4.0] {
        let settings = sim.with_limit("blue", cpus);
        sim.configure(&settings).unwrap();
        sim.run(300);
    }
    sim.run_until(15_000, "usage fits the limit", |sim| {
        sim.running("j-low") + sim.running("j-normal") == 0
    });
    sim.run(3_000);
    assert_eq!(sim.running("j-s"), 2);
    sim.check_records();
}

#[test]
fn a_team_can_be_added_used_and_removed() {
    let mut sim = fixed_fleet(7, 3, 8);
    let spec = |id: &str| JobSpec {
        team: "green".into(),
        ..job(id, 2)
    };
    let request = sim.submit(0, spec("j-0"));
    assert!(matches!(sim.await_answer(request), UserReply::Rejected(_)));
    let before = sim.policy_settings();
    let mut settings = before.clone();
    settings.teams.push(team_settings("green", 6.0));
    // A controller whose watch is delayed answers with a retry, never that the team is unknown.
    sim.delay_watch(2, 3_000);
    sim.configure(&settings).unwrap();
    sim.run(50);
    let request = sim.submit(2, spec("j-1"));
    let reply = sim.await_answer(request);
    assert!(!matches!(reply, UserReply::Rejected(_)), "{reply:?}");
    for n in 0..2 {
        assert!(is_accepted(&mut sim, n, spec(&format!("j-{}", n + 2))));
    }
    let error = sim.configure(&before).unwrap_err();
    assert!(
        matches!(&error, ConfigureError::Invalid(e) if e.field == "settings.teams.green"),
        "{error:?}"
    );
    sim.run_until(30_000, "done", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done) && sim.job_phase("j-3") == Some(JobPhase::Done)
    });
    sim.run(5_000);
    assert_eq!(sim.configure(&before), Ok(2));
    sim.run(1_000);
    let request = sim.submit(1, spec("j-9"));
    assert!(matches!(sim.await_answer(request), UserReply::Rejected(_)));
    sim.check_records();
}

/// The watch lags by three seconds. A controller must neither claim nor accept by its stale cache.
#[test]
fn a_watch_that_lags_by_seconds_decides_nothing_stale() {
    let mut sim = fixed_fleet(8, 3, 8);
    fill_quota(&mut sim);
    for n in 0..3 {
        sim.delay_watch(n, 3_000);
        let settings = sim.with_limit("blue", [8.0, 4.0, 6.0][n]);
        sim.configure(&settings).unwrap();
        sim.submit(n, limited_team(job(&format!("j-{n}"), 2)));
        sim.run(1_500);
    }
    sim.run_until(10_000, "in force", |sim| sim.all_controllers_follow(3));
    sim.run_until(15_000, "usage fits the limit", |sim| {
        sim.running("j-s") + sim.running("j-low") + sim.running("j-normal") <= 3
    });
    sim.check_records();
}

/// Random configuration changes under random faults. The simulation checks the invariants, and each claim against the
/// limit in force.
#[test]
fn random_changes_under_message_faults_break_no_invariant() {
    let requested = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok());
    for seed in 0..requested.unwrap_or(12_u64) {
        eprintln!("seed {seed}");
        let mut sim = Simulation::new(8_000 + seed, 3, 8);
        sim.run(7_000);
        sim.workload.run_ms = 4_000;
        let mut jobs = 0;
        for _ in 0..120 {
            match sim.rng.gen_range(0..14) {
                0..=3 => {
                    let id = format!("j-{jobs}");
                    jobs += 1;
                    let spec = match sim.rng.gen_bool(0.2) {
                        true => service(&id, 1),
                        false => job(&id, sim.rng.gen_range(1..5)),
                    };
                    let n = sim.rng.gen_range(0..3);
                    sim.submit(n, limited_team(spec));
                }
                4..=7 => {
                    let cpus = [4.0, 6.0, 8.0, 12.0][sim.rng.gen_range(0..4)];
                    let settings = sim.with_limit("blue", cpus);
                    // Rejected where an accepted service needs more, and while the state service is down.
                    let _ = sim.configure(&settings);
                }
                8 => {
                    let (n, restart_ms) = (sim.rng.gen_range(0..3), sim.rng.gen_range(100..3_000));
                    sim.crash(n, restart_ms);
                }
                9 => {
                    let n = sim.rng.gen_range(0..3);
                    sim.controllers[n].cut_from_state = !sim.controllers[n].cut_from_state;
                }
                10 => {
                    let (n, delay_ms) = (sim.rng.gen_range(0..3), sim.rng.gen_range(100..4_000));
                    sim.delay_watch(n, delay_ms);
                }
                11 => {
                    let n = sim.rng.gen_range(0..3);
                    sim.break_watch(n);
                }
                12 => {
                    sim.network.faults = FaultRates {
                        transaction_late: [0.0, 0.2][sim.rng.gen_range(0..2)],
                        transaction_answer_lost: [0.0, 0.2][sim.rng.gen_range(0..2)],
                        answer_slow: [0.0, 0.4][sim.rng.gen_range(0..2)],
                        ..FaultRates::default()
                    }
                }
                _ => sim.state.is_down = !sim.state.is_down,
            }
            let step_ms = sim.rng.gen_range(5..900);
            sim.run(step_ms);
        }
        sim.heal_all();
        sim.network.faults = FaultRates::default();
        let settings = sim.with_limit("blue", 12.0);
        let version = sim.configure(&settings).unwrap();
        sim.run_until(10_000, "in force", |sim| {
            sim.all_controllers_follow(version)
        });
        sim.run(20_000);
        sim.check_records();
    }
}
