//! Configuration records: versions, validation, damage and controllers of an older version.

use crate::common::{fixed_fleet, is_accepted, team_settings};
use glenmount_core::configuration::{
    self, ChangeLimits, ConfigurationEnabledRecord, ConfigurationPageRecord,
    ConfigurationVersionRecord, ObjectiveSettings, PolicySettings,
};
use glenmount_core::controller::UserReply;
use glenmount_core::model::JobSpec;
use glenmount_core::state::formats;
use glenmount_core::state::{JobPhase, Key, Record, TeamRecord};
use glenmount_simulation::operator::ConfigureError;
use glenmount_simulation::{job, limited_team, previous_version, service, Simulation};

const LIMITS: ChangeLimits = ChangeLimits {
    max_value_bytes: 2 * 1024,
    max_transaction_changes: 16,
};

/// A page is gone, or of no form that is known: nothing is claimed and submissions are told to come back,
/// until there is a configuration that can be read.
#[test]
fn an_unreadable_configuration_stops_claims_and_rejects_no_job() {
    for damage in 0..3 {
        let mut sim = fixed_fleet(60 + damage, 3, 8);
        let settings = sim.with_limit("blue", 8.0);
        sim.configure(&settings).unwrap();
        sim.run(1_000);
        let (current, _) = sim.state.records[&Key::Configuration].clone();
        let Record::Configuration(mut record) = current.clone() else {
            panic!("a configuration");
        };
        record.version += 1;
        match damage {
            0 => record.schema_version = configuration::CONFIGURATION_SCHEMA_VERSION + 1,
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
        assert!(is_accepted(&mut sim, 0, job("j-1", 2)));
        sim.run_until(20_000, "done", |sim| {
            sim.job_phase("j-1") == Some(JobPhase::Done)
        });
    }
}

/// Until every controller reads configurations none can be put on record, whoever comes back old meanwhile.
#[test]
fn configurations_are_not_recorded_while_an_older_version_runs() {
    let mut sim = Simulation::previous_version(70, 3, 6);
    sim.run(5_000);
    let settings = sim.with_limit("blue", 6.0);
    for n in 0..3 {
        assert_eq!(sim.configure(&settings), Err(ConfigureError::Unsupported));
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
fn an_older_version_cannot_read_records_of_new_claims() {
    let record = Record::Team(TeamRecord {
        cpus: 4_000,
        gpus: 0,
    });
    let key = Key::Team("blue".into());
    let fenced = record.value(formats::STORED_CONFIGURATION);
    assert_eq!(previous_version::value(&key, fenced.clone()), None);
    assert_eq!(Record::from_value(&key, fenced), Some(record.clone()));
    let plain = record.value(formats::CONFIRMED_CANCELLATION);
    assert_eq!(
        previous_version::value(&key, plain.clone()),
        Some(plain.clone())
    );
    assert_eq!(Record::from_value(&key, plain), Some(record));
}

/// 350 and 700 teams: the pages fit into small values, one transaction holds them, and they read back.
#[test]
fn a_change_of_any_size_is_one_transaction_or_rejected() {
    let settings = |teams: usize| PolicySettings {
        idle_return_s: Some(60.0),
        teams: (0..teams)
            .map(|n| team_settings(&format!("team-{n:04}"), 900.0))
            .collect(),
        objectives: vec![ObjectiveSettings {
            kind: "wait".into(),
            class: Some("router".into()),
            within_s: Some(1.0),
        }],
    };
    for teams in [1, 350, 540] {
        let settings = settings(teams);
        let transaction =
            configuration::change_transaction(&settings, None, 9, LIMITS, 1, "first").unwrap();
        assert!(transaction.changes.len() <= 16);
        let pages: Vec<ConfigurationPageRecord> = (transaction.changes.iter())
            .filter_map(|(_, record)| match record {
                Some(Record::ConfigurationPage(page)) => Some(page.clone()),
                _ => None,
            })
            .collect();
        assert_eq!(configuration::settings_from_pages(&pages), settings);
        for (key, record) in &transaction.changes {
            let record = record.as_ref().unwrap();
            let value = record.value(formats::STORED_CONFIGURATION);
            assert!(value.to_string().len() <= LIMITS.max_value_bytes);
            assert_eq!(Key::parse(&key.path()).as_ref(), Some(key));
            assert_eq!(
                Record::parse(key, &value.to_string()).as_ref(),
                Some(record)
            );
        }
    }
    let large = configuration::change_transaction(&settings(3_000), None, 9, LIMITS, 1, "");
    assert_eq!(large.unwrap_err().field, "settings.teams");
}

#[test]
fn invalid_settings_are_rejected_by_field() {
    let check = |change: fn(&mut PolicySettings)| {
        let mut settings = PolicySettings {
            teams: vec![team_settings("a", 4.0), team_settings("b", 0.0)],
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
        (
            |s| s.teams = vec![team_settings("x", 1.0); 6_000],
            "settings.teams",
        ),
    ];
    for (change, field) in cases {
        let said = check(change);
        assert!(said.starts_with(field) && !said.contains('\n'), "{said}");
    }
}

#[test]
fn a_limit_below_accepted_jobs_is_rejected_also_as_a_rollback() {
    let mut sim = fixed_fleet(9, 3, 8);
    let first = sim.with_limit("blue", 4.0);
    sim.configure(&first).unwrap();
    let settings = sim.with_limit("blue", 12.0);
    sim.configure(&settings).unwrap();
    sim.run(1_000);
    assert!(is_accepted(&mut sim, 0, limited_team(service("j-s", 4))));
    let refused = sim.configure(&first).unwrap_err();
    let ConfigureError::Invalid(error) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(error.field, "settings.teams.blue.cpus_max");
    assert!(error.problem.contains("j-s"), "{error}");
}

#[test]
fn kept_versions_are_bounded_and_their_pages_are_deleted() {
    let settings = PolicySettings {
        teams: vec![team_settings("a", 4.0)],
        ..PolicySettings::default()
    };
    let mut current: Option<ConfigurationVersionRecord> = None;
    for n in 0..100 {
        let before = current.as_ref().map(|record| (record, n));
        let large = ChangeLimits {
            max_value_bytes: 16 * 1024,
            ..LIMITS
        };
        let transaction =
            configuration::change_transaction(&settings, before, 1, large, n, "why").unwrap();
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
        (100, configuration::RETAINED_VERSIONS_MAX - 1)
    );
    let pages: Vec<(u64, u32)> = (1..=100).map(|version| (version, 0)).collect();
    let outdated = configuration::outdated_pages(&record, pages.iter());
    assert_eq!(outdated.len(), 100 - configuration::RETAINED_VERSIONS_MAX);
    assert_eq!(outdated[0], Key::ConfigurationPage(1, 0));
}

/// Values that are truncated, foreign or huge are no records; nothing panics on them.
#[test]
fn damaged_records_are_skipped() {
    let record = Record::Configuration(ConfigurationVersionRecord {
        schema_version: 1,
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
            assert_eq!(Record::parse(&key, &text[..end]), None);
        }
        for foreign in ["[]", "7", "{\"v\":-1}", "{\"v\":\"x\"}", "{\"v\":1e400}"] {
            assert_eq!(Record::parse(&key, foreign), None, "{foreign}");
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
