//! Configuration records: versions, validation, damaged records, and controllers of an older version.

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

/// A page of the configuration is missing or has an unknown format. Controllers must claim nothing and tell users to
/// retry until a readable configuration is on record.
#[test]
fn an_unreadable_configuration_stops_claims_and_rejects_no_job() {
    for damage in 0..3 {
        let mut sim = fixed_fleet(60 + damage, 3, 8);
        let settings = sim.with_limit("blue", 8.0);
        sim.configure(&settings).unwrap();
        sim.run(1_000);
        let (current, _) = sim.state.records[&Key::Configuration].clone();
        let Record::Configuration(mut record) = current.clone() else {
            panic!("not a configuration record");
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
        let request = sim.submit(0, job("j-1", 2));
        let reply = sim.await_answer(request);
        assert!(matches!(reply, UserReply::RetryAfter { .. }), "{reply:?}");
        let request = sim.submit(
            1,
            JobSpec {
                team: "none".into(),
                ..job("j-2", 1)
            },
        );
        assert!(matches!(
            sim.await_answer(request),
            UserReply::RetryAfter { .. }
        ));
        let starts = sim.metrics.starts;
        sim.run(5_000);
        assert_eq!(sim.metrics.starts, starts);
        // The operator restores the previous record.
        sim.put_record(Key::Configuration, current);
        sim.run(1_000);
        assert!(is_accepted(&mut sim, 0, job("j-1", 2)));
        sim.run_until(20_000, "done", |sim| {
            sim.job_phase("j-1") == Some(JobPhase::Done)
        });
    }
}

/// No configuration may be recorded until every controller can read configurations, also if a controller restarts with
/// the older version meanwhile.
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
            // Controller 2 crashes before its upgrade and restarts with the older version.
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

/// A controller of an older version that starts after all others are upgraded knows only the limits of its settings
/// file. It must not be able to read the team records that newer claims wrote, so its own claims for the team conflict.
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
    let unfenced = record.value(formats::CONFIRMED_CANCELLATION);
    assert_eq!(
        previous_version::value(&key, unfenced.clone()),
        Some(unfenced.clone())
    );
    assert_eq!(Record::from_value(&key, unfenced), Some(record));
}

/// Configurations of up to 540 teams: the pages fit into small values, one transaction holds them, and reading them
/// back gives the same settings. A configuration of 3000 teams is rejected.
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
    let too_large = configuration::change_transaction(&settings(3_000), None, 9, LIMITS, 1, "");
    assert_eq!(too_large.unwrap_err().field, "settings.teams");
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
        let message = check(change);
        assert!(
            message.starts_with(field) && !message.contains('\n'),
            "{message}"
        );
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
    let refusal = sim.configure(&first).unwrap_err();
    let ConfigureError::Invalid(error) = refusal else {
        panic!("{refusal:?}");
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
        let previous = current.as_ref().map(|record| (record, n));
        let limits = ChangeLimits {
            max_value_bytes: 16 * 1024,
            ..LIMITS
        };
        let transaction =
            configuration::change_transaction(&settings, previous, 1, limits, n, "why").unwrap();
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

/// Truncated, foreign or huge values are not read as records, and none of them causes a panic.
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
