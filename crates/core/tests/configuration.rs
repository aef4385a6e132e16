//! Configurations on record: in force at every controller, by transactions, whatever else happens.

use glenmount_core::configuration::{
    self, ChangeLimits, ConfigurationEnabledRecord, ConfigurationPageRecord,
    ConfigurationVersionRecord, ObjectiveSettings, ObservedVersionRecord, PolicySettings,
    TeamSettings,
};
use glenmount_core::controller::*;
use glenmount_core::model::*;
use glenmount_core::state::formats;
use glenmount_core::state::*;
use glenmount_simulation::operator::ConfigureError;
use glenmount_simulation::*;
use rand::Rng;

const LIMITS: ChangeLimits = ChangeLimits {
    max_value_bytes: 2 * 1024,
    changes: 16,
};

fn world(seed: u64, controllers: usize, machines: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controllers, machines);
    sim.settings.idle_return_ms = 3_600_000;
    sim.cloud.capacity = 0;
    sim.run(6_000);
    sim
}

/// Jobs of the limited team that take all of its 12 processors.
fn fill_blue(sim: &mut Simulation) {
    sim.workload.run_ms = 3_600_000;
    let r = sim.submit(0, limited_team(service("j-s", 2)));
    sim.await_answer(r);
    let low = JobSpec {
        priority: JobPriority::Low,
        ..limited_team(job("j-low", 2))
    };
    let r = sim.submit(1, low);
    sim.await_answer(r);
    sim.run_until(10_000, "the first run", |sim| {
        sim.running("j-s") + sim.running("j-low") == 4
    });
    sim.submit(0, limited_team(job("j-normal", 9)));
    sim.run_until(10_000, "full", |sim| sim.running("j-normal") == 2);
}

fn team(name: &str, cpus_max: f64) -> TeamSettings {
    TeamSettings {
        name: name.into(),
        cpus: 1.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

fn accepts(sim: &mut Simulation, n: usize, spec: JobSpec) -> bool {
    let r = sim.submit(n, spec);
    matches!(sim.await_answer(r), UserReply::Accepted { .. })
}

#[test]
fn nothing_on_record_is_as_the_settings_file_has_it_and_a_first_change_is_in_force_within_a_second()
{
    let mut sim = world(1, 3, 8);
    assert!(!sim.state.records.contains_key(&Key::Configuration));
    assert!(
        sim.state.records.contains_key(&Key::ConfigurationEnabled) && sim.all_controllers_follow(0)
    );
    let settings = sim.with_limit("blue", 4.0);
    assert_eq!(sim.configure(&settings), Ok(1));
    sim.run_until(1_000, "in force", |sim| sim.all_controllers_follow(1));
    sim.run_until(1_000, "said on record", |sim| {
        let follows = |n: &String| match sim.state.records.get(&Key::ObservedVersion(n.clone())) {
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

/// What is above a limit that was lowered goes: the lowest rank and the youngest first, services last.
#[test]
fn a_lowered_limit_stops_the_least_important_until_the_rest_fits() {
    let mut sim = world(2, 3, 8);
    fill_blue(&mut sim);
    let settings = sim.with_limit("blue", 8.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "the low ones go", |sim| sim.running("j-low") == 0);
    sim.run(5_000);
    assert_eq!((sim.running("j-s"), sim.running("j-normal")), (2, 2));
    assert_eq!(sim.metrics.stops["limit"].0, 2);
    let settings = sim.with_limit("blue", 4.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "batches go", |sim| sim.running("j-normal") == 0);
    sim.run(5_000);
    assert_eq!(sim.running("j-s"), 2);
    let settings = sim.with_limit("blue", 12.0);
    sim.configure(&settings).unwrap();
    sim.run_until(10_000, "all run again", |sim| {
        sim.running("j-normal") + sim.running("j-low") == 4
    });
    sim.check_records();
}

/// With every team at its limit controllers end one after another while limits change.
#[test]
fn changes_while_teams_are_at_their_limits_and_nodes_end() {
    for seed in 0..4 {
        let mut sim = world(20 + seed, 3, 8);
        fill_blue(&mut sim);
        for step in 0..6 {
            sim.crash(step % 3, 700);
            let settings = sim.with_limit("blue", [6.0, 12.0][step % 2]);
            sim.configure(&settings).unwrap();
            sim.run(1_500);
        }
        let settings = sim.with_limit("blue", 4.0);
        let version = sim.configure(&settings).unwrap();
        sim.run_until(8_000, "in force", |sim| sim.all_controllers_follow(version));
        sim.run_until(20_000, "it fits", |sim| {
            sim.running("j-normal") + sim.running("j-low") == 0
        });
        assert_eq!(sim.running("j-s"), 2, "seed {seed}");
        sim.check_records();
    }
}

/// The answer is lost and the operator sends it again; a copy comes late, after another change.
#[test]
fn a_change_that_is_repeated_or_late_takes_effect_once() {
    let mut sim = world(3, 3, 6);
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
fn of_two_operators_at_once_one_wins() {
    let mut sim = world(4, 3, 6);
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

/// Cut off from the state service alone, or refused, it comes back after three changes.
#[test]
fn a_node_that_was_cut_off_claims_nothing_by_an_older_limit() {
    for seed in 0..4 {
        let mut sim = world(30 + seed, 3, 8);
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

/// The records are read anew, page by page, while changes go on.
#[test]
fn a_reload_in_the_middle_of_changes_ends_with_the_latest() {
    for seed in 0..6 {
        let mut sim = world(40 + seed, 3, 8);
        sim.state.page_size = 2;
        fill_blue(&mut sim);
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
fn the_state_service_is_down_between_two_changes() {
    let mut sim = world(5, 3, 8);
    fill_blue(&mut sim);
    let settings = sim.with_limit("blue", 8.0);
    sim.configure(&settings).unwrap();
    sim.state.is_down = true;
    let settings = sim.with_limit("blue", 4.0);
    assert_eq!(sim.configure(&settings), Err(ConfigureError::Unavailable));
    sim.run(9_000);
    sim.state.is_down = false;
    assert_eq!(sim.configure(&settings), Ok(2));
    sim.run_until(7_000, "in force", |sim| sim.all_controllers_follow(2));
    sim.run_until(15_000, "it fits", |sim| {
        sim.running("j-low") + sim.running("j-normal") == 0
    });
    sim.check_records();
}

/// The world holds each claim against the limit in force at its commit.
#[test]
fn a_change_between_a_claims_draft_and_its_commit_refuses_the_claim() {
    for seed in 0..8 {
        let mut sim = world(50 + seed, 3, 8);
        sim.workload.run_ms = 3_600_000;
        for round in 0..4 {
            let id = format!("j-{round}");
            sim.submit(round % 3, limited_team(job(&id, 3)));
            // The claim is on its way within some milliseconds.
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
fn a_limit_lowered_raised_and_lowered_within_a_second() {
    let mut sim = world(6, 3, 8);
    fill_blue(&mut sim);
    for cpus in [6.0, 12.0, 4.0] {
        let settings = sim.with_limit("blue", cpus);
        sim.configure(&settings).unwrap();
        sim.run(300);
    }
    sim.run_until(15_000, "it fits", |sim| {
        sim.running("j-low") + sim.running("j-normal") == 0
    });
    sim.run(3_000);
    assert_eq!(sim.running("j-s"), 2);
    sim.check_records();
}

#[test]
fn a_team_is_added_used_and_removed() {
    let mut sim = world(7, 3, 8);
    let spec = |id: &str| JobSpec {
        team: "green".into(),
        ..job(id, 2)
    };
    let r = sim.submit(0, spec("j-0"));
    assert!(matches!(sim.await_answer(r), UserReply::Rejected(_)));
    let before = sim.policy_settings();
    let mut settings = before.clone();
    settings.teams.push(team("green", 6.0));
    // A controller that the watch tells nothing says when to come back, never that the team is unknown.
    sim.delay_watch(2, 3_000);
    sim.configure(&settings).unwrap();
    sim.run(50);
    let r = sim.submit(2, spec("j-1"));
    let reply = sim.await_answer(r);
    assert!(!matches!(reply, UserReply::Rejected(_)), "{reply:?}");
    for n in 0..2 {
        assert!(accepts(&mut sim, n, spec(&format!("j-{}", n + 2))));
    }
    let refused = sim.configure(&before).unwrap_err();
    assert!(
        matches!(&refused, ConfigureError::Absurd(e) if e.field == "settings.teams.green"),
        "{refused:?}"
    );
    sim.run_until(30_000, "done", |sim| {
        sim.job_phase("j-2") == Some(JobPhase::Done) && sim.job_phase("j-3") == Some(JobPhase::Done)
    });
    sim.run(5_000);
    assert_eq!(sim.configure(&before), Ok(2));
    sim.run(1_000);
    let r = sim.submit(1, spec("j-9"));
    assert!(matches!(sim.await_answer(r), UserReply::Rejected(_)));
    sim.check_records();
}

/// Three seconds behind, a controller neither claims nor accepts by what it knows.
#[test]
fn a_watch_that_lags_by_seconds_decides_nothing_old() {
    let mut sim = world(8, 3, 8);
    fill_blue(&mut sim);
    for n in 0..3 {
        sim.delay_watch(n, 3_000);
        let settings = sim.with_limit("blue", [8.0, 4.0, 6.0][n]);
        sim.configure(&settings).unwrap();
        sim.submit(n, limited_team(job(&format!("j-{n}"), 2)));
        sim.run(1_500);
    }
    sim.run_until(10_000, "in force", |sim| sim.all_controllers_follow(3));
    sim.run_until(15_000, "it fits", |sim| {
        sim.running("j-s") + sim.running("j-low") + sim.running("j-normal") <= 3
    });
    sim.check_records();
}

/// A page is gone, or of no form that is known: nothing is claimed and submissions are told to come back,
/// until there is a configuration that can be read.
#[test]
fn what_can_not_be_read_stops_claims_and_refuses_nobody_for_good() {
    for damage in 0..3 {
        let mut sim = world(60 + damage, 3, 8);
        let settings = sim.with_limit("blue", 8.0);
        sim.configure(&settings).unwrap();
        sim.run(1_000);
        let (current, _) = sim.state.records[&Key::Configuration].clone();
        let Record::Configuration(mut record) = current.clone() else {
            panic!("a configuration");
        };
        record.version += 1;
        match damage {
            0 => record.form = configuration::CONFIGURATION_FORM + 1,
            1 => record.pages = 3,
            _ => {
                let page = Key::ConfigurationPage(record.version, 0);
                sim.put_record(
                    page,
                    Record::ConfigurationPage(ConfigurationPageRecord::default()),
                );
            }
        }
        sim.put_record(Key::Configuration, Record::Configuration(record));
        sim.run(500);
        let r = sim.submit(0, job("j-1", 2));
        let reply = sim.await_answer(r);
        assert!(matches!(reply, UserReply::RetryAfter { .. }), "{reply:?}");
        let r = sim.submit(
            1,
            JobSpec {
                team: "none".into(),
                ..job("j-2", 1)
            },
        );
        assert!(matches!(sim.await_answer(r), UserReply::RetryAfter { .. }));
        let starts = sim.metrics.starts;
        sim.run(5_000);
        assert_eq!(sim.metrics.starts, starts);
        // The operator goes back to what was there.
        sim.put_record(Key::Configuration, current);
        sim.run(1_000);
        assert!(accepts(&mut sim, 0, job("j-1", 2)));
        sim.run_until(20_000, "done", |sim| {
            sim.job_phase("j-1") == Some(JobPhase::Done)
        });
    }
}

/// Until every controller reads configurations none can be put on record, whoever comes back old meanwhile.
#[test]
fn an_older_version_that_serves_keeps_configurations_off_the_records() {
    let mut sim = Simulation::previous_version(70, 3, 6);
    sim.run(5_000);
    let settings = sim.with_limit("blue", 6.0);
    for n in 0..3 {
        assert_eq!(
            sim.configure(&settings),
            Err(ConfigureError::NotConfigurable)
        );
        sim.upgrade(n, 500);
        sim.run(4_000);
        if n == 1 {
            // It ends before its turn and comes back old.
            sim.crash(2, 500);
            sim.run(6_000);
        }
    }
    sim.run_until(10_000, "configurable", |sim| {
        sim.state.records.contains_key(&Key::ConfigurationEnabled)
    });
    sim.lower_limits();
    assert_eq!(sim.configure(&settings), Ok(1));
    sim.run_until(2_000, "in force", |sim| sim.all_controllers_follow(1));
    sim.check_records();
}

/// A process of an older version that is started after all others are new knows the limits of its file only.
/// It can't read what claims of a limited team have written since, so its own for that team conflict.
#[test]
fn an_older_version_does_not_read_what_new_claims_write() {
    let record = Record::Team(TeamRecord {
        cpus: 4_000,
        gpus: 0,
    });
    let key = Key::Team("blue".into());
    let fenced = record.value(formats::STORED_CONFIGURATION);
    assert_eq!(previous_version::value(&key, fenced.clone()), None);
    assert_eq!(Record::read(&key, fenced), Some(record.clone()));
    let plain = record.value(formats::CONFIRMED_CANCELLATION);
    assert_eq!(
        previous_version::value(&key, plain.clone()),
        Some(plain.clone())
    );
    assert_eq!(Record::read(&key, plain), Some(record));
}

/// 350 and 700 teams: the pages fit into small values, one transaction holds them, and they read back.
#[test]
fn a_change_of_any_size_is_one_transaction_or_refused() {
    let settings = |teams: usize| PolicySettings {
        idle_return_s: Some(60.0),
        teams: (0..teams)
            .map(|n| team(&format!("team-{n:04}"), 900.0))
            .collect(),
        objectives: vec![ObjectiveSettings {
            kind: "wait".into(),
            class: Some("router".into()),
            within_s: Some(1.0),
        }],
    };
    for teams in [1, 350, 540] {
        let settings = settings(teams);
        let transaction = configuration::change(&settings, None, 9, LIMITS, 1, "first").unwrap();
        assert!(transaction.changes.len() <= 16);
        let pages: Vec<ConfigurationPageRecord> = (transaction.changes.iter())
            .filter_map(|(_, record)| match record {
                Some(Record::ConfigurationPage(page)) => Some(page.clone()),
                _ => None,
            })
            .collect();
        assert_eq!(configuration::settings_of(&pages), settings);
        for (key, record) in &transaction.changes {
            let record = record.as_ref().unwrap();
            let value = record.value(formats::STORED_CONFIGURATION);
            assert!(value.to_string().len() <= LIMITS.max_value_bytes);
            assert_eq!(Key::parse(&key.path()).as_ref(), Some(key));
            assert_eq!(
                Record::read_text(key, &value.to_string()).as_ref(),
                Some(record)
            );
        }
    }
    let large = configuration::change(&settings(3_000), None, 9, LIMITS, 1, "");
    assert_eq!(large.unwrap_err().field, "settings.teams");
}

#[test]
fn what_is_absurd_is_refused_by_the_field() {
    let check = |change: fn(&mut PolicySettings)| {
        let mut settings = PolicySettings {
            teams: vec![team("a", 4.0), team("b", 0.0)],
            ..PolicySettings::default()
        };
        change(&mut settings);
        let error = settings.check_strictly().map_err(|e| e.to_string());
        error.unwrap_err()
    };
    type Case = (fn(&mut PolicySettings), &'static str);
    let cases: [Case; 8] = [
        (|s| s.teams.clear(), "settings.teams"),
        (|s| s.teams[1].name = "a".into(), "settings.teams.name"),
        (|s| s.teams[0].name = String::new(), "settings.teams.name"),
        (|s| s.teams[0].cpus = 5.0, "settings.teams.a.cpus"),
        (
            |s| s.teams[0].cpus_max = f64::NAN,
            "settings.teams.a.cpus_max",
        ),
        (|s| s.teams[1].gpus = -1.0, "settings.teams.b.gpus"),
        (|s| s.idle_return_s = Some(0.0), "settings.idle_return_s"),
        (|s| s.teams = vec![team("x", 1.0); 6_000], "settings.teams"),
    ];
    for (change, field) in cases {
        let said = check(change);
        assert!(said.starts_with(field) && !said.contains('\n'), "{said}");
    }
}

#[test]
fn a_limit_below_what_was_accepted_is_refused_and_so_is_going_back_to_it() {
    let mut sim = world(9, 3, 8);
    let first = sim.with_limit("blue", 4.0);
    sim.configure(&first).unwrap();
    let settings = sim.with_limit("blue", 12.0);
    sim.configure(&settings).unwrap();
    sim.run(1_000);
    assert!(accepts(&mut sim, 0, limited_team(service("j-s", 4))));
    let refused = sim.configure(&first).unwrap_err();
    let ConfigureError::Absurd(error) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(error.field, "settings.teams.blue.cpus_max");
    assert!(error.problem.contains("j-s"), "{error}");
}

#[test]
fn versions_kept_are_bounded_and_their_pages_named_when_they_go() {
    let settings = PolicySettings {
        teams: vec![team("a", 4.0)],
        ..PolicySettings::default()
    };
    let mut current: Option<ConfigurationVersionRecord> = None;
    for n in 0..100 {
        let before = current.as_ref().map(|record| (record, n));
        let large = ChangeLimits {
            max_value_bytes: 16 * 1024,
            ..LIMITS
        };
        let transaction = configuration::change(&settings, before, 1, large, n, "why").unwrap();
        current = transaction
            .changes
            .into_iter()
            .find_map(|(_, record)| match record {
                Some(Record::Configuration(record)) => Some(record),
                _ => None,
            });
    }
    let record = current.unwrap();
    assert_eq!(
        (record.version, record.kept.len()),
        (100, configuration::VERSIONS_KEPT - 1)
    );
    let pages: Vec<(u64, u32)> = (1..=100).map(|version| (version, 0)).collect();
    let outdated = configuration::outdated_pages(&record, pages.iter());
    assert_eq!(outdated.len(), 100 - configuration::VERSIONS_KEPT);
    assert_eq!(outdated[0], Key::ConfigurationPage(1, 0));
}

/// Values that are truncated, foreign or huge are no records; nothing panics on them.
#[test]
fn damaged_records_are_passed_over() {
    let record = Record::Configuration(ConfigurationVersionRecord {
        form: 1,
        version: 7,
        pages: 2,
        teams: 9,
        objectives: 0,
        at: 1,
        note: "n".into(),
        kept: Vec::new(),
    });
    let configurable = Record::ConfigurationEnabled(ConfigurationEnabledRecord { version: 4 });
    for (key, record) in [
        (Key::Configuration, record),
        (Key::ConfigurationEnabled, configurable),
    ] {
        let text = record.value(formats::LATEST).to_string();
        for end in 0..text.len() {
            assert_eq!(Record::read_text(&key, &text[..end]), None);
        }
        for foreign in ["[]", "7", "{\"v\":-1}", "{\"v\":\"x\"}", "{\"v\":1e400}"] {
            assert_eq!(Record::read_text(&key, foreign), None, "{foreign}");
        }
    }
    for path in [
        "g/configuration/x/1",
        "g/configuration/1",
        "g/configuration/1/2/3",
    ] {
        assert!(
            !matches!(Key::parse(path), Some(Key::Configuration)),
            "{path}"
        );
    }
}

/// Random changes among random faults: the world checks the rules, and each claim against the limit in force.
#[test]
fn random_changes_among_mishaps_break_no_rule() {
    let more = std::env::var("MEETINGS").ok().and_then(|n| n.parse().ok());
    for seed in 0..more.unwrap_or(12_u64) {
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
                    // Refused where a service needs more, or while the service is down.
                    let _ = sim.configure(&settings);
                }
                8 => {
                    let (n, back) = (sim.rng.gen_range(0..3), sim.rng.gen_range(100..3_000));
                    sim.crash(n, back);
                }
                9 => {
                    let n = sim.rng.gen_range(0..3);
                    sim.controllers[n].cut_from_state = !sim.controllers[n].cut_from_state;
                }
                10 => {
                    let (n, ms) = (sim.rng.gen_range(0..3), sim.rng.gen_range(100..4_000));
                    sim.delay_watch(n, ms);
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
            let ms = sim.rng.gen_range(5..900);
            sim.run(ms);
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
