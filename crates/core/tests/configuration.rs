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
use glenmount_simulation::operator::Refused;
use glenmount_simulation::*;
use rand::Rng;

const LIMITS: ChangeLimits = ChangeLimits {
    max_value_bytes: 2 * 1024,
    changes: 16,
};

fn world(seed: u64, controllers: usize, machines: usize) -> World {
    let mut w = World::new(seed, controllers, machines);
    w.settings.idle_return_ms = 3_600_000;
    w.capacity = 0;
    w.run(6_000);
    w
}

/// Jobs of the limited team that take all of its 12 processors.
fn fill_blue(w: &mut World) {
    w.run_ms = 3_600_000;
    let r = w.submit(0, blue(service("j-s", 2)));
    w.answer(r);
    let low = JobSpec {
        priority: JobPriority::Low,
        ..blue(job("j-low", 2))
    };
    let r = w.submit(1, low);
    w.answer(r);
    w.until(10_000, "the first run", |w| {
        w.running("j-s") + w.running("j-low") == 4
    });
    w.submit(0, blue(job("j-normal", 9)));
    w.until(10_000, "full", |w| w.running("j-normal") == 2);
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

fn accepts(w: &mut World, n: usize, spec: JobSpec) -> bool {
    let r = w.submit(n, spec);
    matches!(w.answer(r), UserReply::Accepted { .. })
}

#[test]
fn nothing_on_record_is_as_the_settings_file_has_it_and_a_first_change_is_in_force_within_a_second()
{
    let mut w = world(1, 3, 8);
    assert!(!w.store.contains_key(&Key::Configuration));
    assert!(w.store.contains_key(&Key::ConfigurationEnabled) && w.all_follow(0));
    let settings = w.with_limit("blue", 4.0);
    assert_eq!(w.configure(&settings), Ok(1));
    w.until(1_000, "in force", |w| w.all_follow(1));
    w.until(1_000, "said on record", |w| {
        let follows = |n: &String| match w.store.get(&Key::ObservedVersion(n.clone())) {
            Some((Record::ObservedVersion(ObservedVersionRecord { version }), _)) => *version == 1,
            _ => false,
        };
        w.settings.controllers.iter().all(follows)
    });
    for n in 0..3 {
        w.submit(n, blue(job(&format!("j-{n}"), 4)));
    }
    w.until(60_000, "done", |w| w.done_tasks.len() == 12);
    w.check_records();
}

/// What is above a limit that was lowered goes: the lowest rank and the youngest first, services last.
#[test]
fn a_lowered_limit_stops_the_least_important_until_the_rest_fits() {
    let mut w = world(2, 3, 8);
    fill_blue(&mut w);
    let settings = w.with_limit("blue", 8.0);
    w.configure(&settings).unwrap();
    w.until(10_000, "the low ones go", |w| w.running("j-low") == 0);
    w.run(5_000);
    assert_eq!((w.running("j-s"), w.running("j-normal")), (2, 2));
    assert_eq!(w.stops["limit"].0, 2);
    let settings = w.with_limit("blue", 4.0);
    w.configure(&settings).unwrap();
    w.until(10_000, "batches go", |w| w.running("j-normal") == 0);
    w.run(5_000);
    assert_eq!(w.running("j-s"), 2);
    let settings = w.with_limit("blue", 12.0);
    w.configure(&settings).unwrap();
    w.until(10_000, "all run again", |w| {
        w.running("j-normal") + w.running("j-low") == 4
    });
    w.check_records();
}

/// With every team at its limit controllers end one after another while limits change.
#[test]
fn changes_while_teams_are_at_their_limits_and_nodes_end() {
    for seed in 0..4 {
        let mut w = world(20 + seed, 3, 8);
        fill_blue(&mut w);
        for step in 0..6 {
            w.crash(step % 3, 700);
            let settings = w.with_limit("blue", [6.0, 12.0][step % 2]);
            w.configure(&settings).unwrap();
            w.run(1_500);
        }
        let settings = w.with_limit("blue", 4.0);
        let version = w.configure(&settings).unwrap();
        w.until(8_000, "in force", |w| w.all_follow(version));
        w.until(20_000, "it fits", |w| {
            w.running("j-normal") + w.running("j-low") == 0
        });
        assert_eq!(w.running("j-s"), 2, "seed {seed}");
        w.check_records();
    }
}

/// The answer is lost and the operator sends it again; a copy comes late, after another change.
#[test]
fn a_change_that_is_repeated_or_late_takes_effect_once() {
    let mut w = world(3, 3, 6);
    let settings = w.with_limit("blue", 6.0);
    let transaction = w.draft_configuration(&settings).unwrap();
    assert_eq!(w.commit_configuration(&transaction), Ok(1));
    assert_eq!(w.commit_configuration(&transaction), Err(Refused::Conflict));
    let settings = w.with_limit("blue", 8.0);
    assert_eq!(w.configure(&settings), Ok(2));
    w.run(5_000);
    assert_eq!(w.commit_configuration(&transaction), Err(Refused::Conflict));
    assert!(w.all_follow(2) && w.limit("blue") == Some(8_000));
}

#[test]
fn of_two_operators_at_once_one_wins() {
    let mut w = world(4, 3, 6);
    let (first, second) = (w.with_limit("blue", 6.0), w.with_limit("blue", 8.0));
    let first = w.draft_configuration(&first).unwrap();
    let second = w.draft_configuration(&second).unwrap();
    assert_eq!(w.commit_configuration(&first), Ok(1));
    assert_eq!(w.commit_configuration(&second), Err(Refused::Conflict));
    w.until(1_000, "in force", |w| w.all_follow(1));
    assert_eq!(w.limit("blue"), Some(6_000));
}

/// Cut off from the state service alone, or refused, it comes back after three changes.
#[test]
fn a_node_that_was_cut_off_claims_nothing_by_an_older_limit() {
    for seed in 0..4 {
        let mut w = world(30 + seed, 3, 8);
        w.run_ms = 3_600_000;
        match seed % 2 {
            0 => w.controllers[1].cut_from_state = true,
            _ => w.controllers[1].refused = true,
        }
        w.run(300);
        w.submit(0, blue(job("j-1", 9)));
        for cpus in [10.0, 8.0, 2.0] {
            let settings = w.with_limit("blue", cpus);
            w.configure(&settings).unwrap();
            w.run(2_500);
        }
        w.heal();
        w.until(8_000, "in force", |w| w.all_follow(3));
        w.run(6_000);
        assert_eq!(w.running("j-1"), 1, "seed {seed}");
        w.check_records();
    }
}

/// The records are read anew, page by page, while changes go on.
#[test]
fn a_reload_in_the_middle_of_changes_ends_with_the_latest() {
    for seed in 0..6 {
        let mut w = world(40 + seed, 3, 8);
        w.page = 2;
        fill_blue(&mut w);
        for step in 0..8 {
            let settings = w.with_limit("blue", [6.0, 12.0][step % 2]);
            w.watch_gap(step % 3);
            w.run(3 + seed * 7);
            w.configure(&settings).unwrap();
            w.run(200);
        }
        w.until(5_000, "in force", |w| w.all_follow(8));
        w.until(20_000, "full again", |w| {
            w.running("j-s") + w.running("j-low") + w.running("j-normal") == 6
        });
        w.check_records();
    }
}

#[test]
fn the_state_service_is_down_between_two_changes() {
    let mut w = world(5, 3, 8);
    fill_blue(&mut w);
    let settings = w.with_limit("blue", 8.0);
    w.configure(&settings).unwrap();
    w.state_down = true;
    let settings = w.with_limit("blue", 4.0);
    assert_eq!(w.configure(&settings), Err(Refused::Unavailable));
    w.run(9_000);
    w.state_down = false;
    assert_eq!(w.configure(&settings), Ok(2));
    w.until(7_000, "in force", |w| w.all_follow(2));
    w.until(15_000, "it fits", |w| {
        w.running("j-low") + w.running("j-normal") == 0
    });
    w.check_records();
}

/// The world holds each claim against the limit in force at its commit.
#[test]
fn a_change_between_a_claims_draft_and_its_commit_refuses_the_claim() {
    for seed in 0..8 {
        let mut w = world(50 + seed, 3, 8);
        w.run_ms = 3_600_000;
        for round in 0..4 {
            let id = format!("j-{round}");
            w.submit(round % 3, blue(job(&id, 3)));
            // The claim is on its way within some milliseconds.
            w.run(2 + seed);
            let settings = w.with_limit("blue", [2.0, 12.0][round % 2]);
            w.configure(&settings).unwrap();
            w.run(400);
        }
        let settings = w.with_limit("blue", 12.0);
        w.configure(&settings).unwrap();
        w.until(15_000, "full", |w| {
            (0..4).map(|n| w.running(&format!("j-{n}"))).sum::<usize>() == 6
        });
        w.check_records();
    }
}

#[test]
fn a_limit_lowered_raised_and_lowered_within_a_second() {
    let mut w = world(6, 3, 8);
    fill_blue(&mut w);
    for cpus in [6.0, 12.0, 4.0] {
        let settings = w.with_limit("blue", cpus);
        w.configure(&settings).unwrap();
        w.run(300);
    }
    w.until(15_000, "it fits", |w| {
        w.running("j-low") + w.running("j-normal") == 0
    });
    w.run(3_000);
    assert_eq!(w.running("j-s"), 2);
    w.check_records();
}

#[test]
fn a_team_is_added_used_and_removed() {
    let mut w = world(7, 3, 8);
    let spec = |id: &str| JobSpec {
        team: "green".into(),
        ..job(id, 2)
    };
    let r = w.submit(0, spec("j-0"));
    assert!(matches!(w.answer(r), UserReply::Rejected(_)));
    let before = w.policy_settings();
    let mut settings = before.clone();
    settings.teams.push(team("green", 6.0));
    // A controller that the watch tells nothing says when to come back, never that the team is unknown.
    w.lag_watch(2, 3_000);
    w.configure(&settings).unwrap();
    w.run(50);
    let r = w.submit(2, spec("j-1"));
    let reply = w.answer(r);
    assert!(!matches!(reply, UserReply::Rejected(_)), "{reply:?}");
    for n in 0..2 {
        assert!(accepts(&mut w, n, spec(&format!("j-{}", n + 2))));
    }
    let refused = w.configure(&before).unwrap_err();
    assert!(
        matches!(&refused, Refused::Absurd(e) if e.field == "settings.teams.green"),
        "{refused:?}"
    );
    w.until(30_000, "done", |w| {
        w.job_phase("j-2") == Some(JobPhase::Done) && w.job_phase("j-3") == Some(JobPhase::Done)
    });
    w.run(5_000);
    assert_eq!(w.configure(&before), Ok(2));
    w.run(1_000);
    let r = w.submit(1, spec("j-9"));
    assert!(matches!(w.answer(r), UserReply::Rejected(_)));
    w.check_records();
}

/// Three seconds behind, a controller neither claims nor accepts by what it knows.
#[test]
fn a_watch_that_lags_by_seconds_decides_nothing_old() {
    let mut w = world(8, 3, 8);
    fill_blue(&mut w);
    for n in 0..3 {
        w.lag_watch(n, 3_000);
        let settings = w.with_limit("blue", [8.0, 4.0, 6.0][n]);
        w.configure(&settings).unwrap();
        w.submit(n, blue(job(&format!("j-{n}"), 2)));
        w.run(1_500);
    }
    w.until(10_000, "in force", |w| w.all_follow(3));
    w.until(15_000, "it fits", |w| {
        w.running("j-s") + w.running("j-low") + w.running("j-normal") <= 3
    });
    w.check_records();
}

/// A page is gone, or of no form that is known: nothing is claimed and submissions are told to come back,
/// until there is a configuration that can be read.
#[test]
fn what_can_not_be_read_stops_claims_and_refuses_nobody_for_good() {
    for damage in 0..3 {
        let mut w = world(60 + damage, 3, 8);
        let settings = w.with_limit("blue", 8.0);
        w.configure(&settings).unwrap();
        w.run(1_000);
        let (current, _) = w.store[&Key::Configuration].clone();
        let Record::Configuration(mut record) = current.clone() else {
            panic!("a configuration");
        };
        record.version += 1;
        match damage {
            0 => record.form = configuration::CONFIGURATION_FORM + 1,
            1 => record.pages = 3,
            _ => {
                let page = Key::ConfigurationPage(record.version, 0);
                w.put_record(
                    page,
                    Record::ConfigurationPage(ConfigurationPageRecord::default()),
                );
            }
        }
        w.put_record(Key::Configuration, Record::Configuration(record));
        w.run(500);
        let r = w.submit(0, job("j-1", 2));
        let reply = w.answer(r);
        assert!(matches!(reply, UserReply::RetryAfter { .. }), "{reply:?}");
        let r = w.submit(
            1,
            JobSpec {
                team: "none".into(),
                ..job("j-2", 1)
            },
        );
        assert!(matches!(w.answer(r), UserReply::RetryAfter { .. }));
        let starts = w.starts;
        w.run(5_000);
        assert_eq!(w.starts, starts);
        // The operator goes back to what was there.
        w.put_record(Key::Configuration, current);
        w.run(1_000);
        assert!(accepts(&mut w, 0, job("j-1", 2)));
        w.until(20_000, "done", |w| {
            w.job_phase("j-1") == Some(JobPhase::Done)
        });
    }
}

/// Until every controller reads configurations none can be put on record, whoever comes back old meanwhile.
#[test]
fn an_older_version_that_serves_keeps_configurations_off_the_records() {
    let mut w = World::old(70, 3, 6);
    w.run(5_000);
    let settings = w.with_limit("blue", 6.0);
    for n in 0..3 {
        assert_eq!(w.configure(&settings), Err(Refused::NotConfigurable));
        w.upgrade(n, 500);
        w.run(4_000);
        if n == 1 {
            // It ends before its turn and comes back old.
            w.crash(2, 500);
            w.run(6_000);
        }
    }
    w.until(10_000, "configurable", |w| {
        w.store.contains_key(&Key::ConfigurationEnabled)
    });
    w.limits_fall();
    assert_eq!(w.configure(&settings), Ok(1));
    w.until(2_000, "in force", |w| w.all_follow(1));
    w.check_records();
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
    assert_eq!(old::value(&key, fenced.clone()), None);
    assert_eq!(Record::read(&key, fenced), Some(record.clone()));
    let plain = record.value(formats::CONFIRMED_CANCELLATION);
    assert_eq!(old::value(&key, plain.clone()), Some(plain.clone()));
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
    let mut w = world(9, 3, 8);
    let first = w.with_limit("blue", 4.0);
    w.configure(&first).unwrap();
    let settings = w.with_limit("blue", 12.0);
    w.configure(&settings).unwrap();
    w.run(1_000);
    assert!(accepts(&mut w, 0, blue(service("j-s", 4))));
    let refused = w.configure(&first).unwrap_err();
    let Refused::Absurd(error) = refused else {
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
        let mut w = World::new(8_000 + seed, 3, 8);
        w.run(7_000);
        w.run_ms = 4_000;
        let mut jobs = 0;
        for _ in 0..120 {
            match w.rng.gen_range(0..14) {
                0..=3 => {
                    let id = format!("j-{jobs}");
                    jobs += 1;
                    let spec = match w.rng.gen_bool(0.2) {
                        true => service(&id, 1),
                        false => job(&id, w.rng.gen_range(1..5)),
                    };
                    let n = w.rng.gen_range(0..3);
                    w.submit(n, blue(spec));
                }
                4..=7 => {
                    let cpus = [4.0, 6.0, 8.0, 12.0][w.rng.gen_range(0..4)];
                    let settings = w.with_limit("blue", cpus);
                    // Refused where a service needs more, or while the service is down.
                    let _ = w.configure(&settings);
                }
                8 => {
                    let (n, back) = (w.rng.gen_range(0..3), w.rng.gen_range(100..3_000));
                    w.crash(n, back);
                }
                9 => {
                    let n = w.rng.gen_range(0..3);
                    w.controllers[n].cut_from_state = !w.controllers[n].cut_from_state;
                }
                10 => {
                    let (n, ms) = (w.rng.gen_range(0..3), w.rng.gen_range(100..4_000));
                    w.lag_watch(n, ms);
                }
                11 => {
                    let n = w.rng.gen_range(0..3);
                    w.watch_gap(n);
                }
                12 => {
                    w.mishaps = Mishaps {
                        txn_late: [0.0, 0.2][w.rng.gen_range(0..2)],
                        txn_answer_lost: [0.0, 0.2][w.rng.gen_range(0..2)],
                        answer_slow: [0.0, 0.4][w.rng.gen_range(0..2)],
                        ..Mishaps::default()
                    }
                }
                _ => w.state_down = !w.state_down,
            }
            let ms = w.rng.gen_range(5..900);
            w.run(ms);
        }
        w.heal();
        w.mishaps = Mishaps::default();
        let settings = w.with_limit("blue", 12.0);
        let version = w.configure(&settings).unwrap();
        w.until(10_000, "in force", |w| w.all_follow(version));
        w.run(20_000);
        w.check_records();
    }
}
