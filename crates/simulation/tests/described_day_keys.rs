//! The keys of described days, which experiment files use. Each table rejects an unknown key with an error that lists
//! the accepted keys; the tests compare that list with a sample.

use glenmount_simulation::day::{disable_check, Experiment};
use toml::{Table, Value};

const DAY: &str = include_str!("samples/day.toml");
const KEYS: &str = include_str!("samples/keys.txt");
const CHECKS: &str = include_str!("samples/checks.txt");

/// Tables of an experiment file, as paths of keys and indices.
const TABLES: [&str; 9] = [
    "",
    "variant.0",
    "variant.0.tuning",
    "day.0",
    "day.0.limits",
    "day.0.workers",
    "day.0.team.0",
    "day.0.class.0",
    "day.0.trouble.0",
];

/// Returns the table at a path. An index stands for the first table of an array.
fn table_at<'a>(root: &'a mut Table, path: &str) -> &'a mut Table {
    path.split('.')
        .filter(|segment| !segment.is_empty())
        .fold(root, |table, segment| match segment.parse::<usize>() {
            Ok(_) => table,
            Err(_) => match table.get_mut(segment).expect("a key of the path") {
                Value::Array(tables) => tables[0].as_table_mut().expect("a table"),
                Value::Table(inner) => inner,
                other => panic!("{other} is not a table"),
            },
        })
}

/// Returns the line of an error that lists the accepted keys or values.
fn accepted_keys(text: &str) -> String {
    let error = Experiment::read(text)
        .expect_err("an unknown key")
        .to_string();
    let line = error.lines().find(|line| line.contains("unknown "));
    line.unwrap_or_else(|| panic!("{error}")).to_string()
}

#[test]
fn reads_a_day_with_every_table() {
    Experiment::read(DAY).expect("a valid day");
}

#[test]
fn tables_accept_the_published_keys() {
    let accepted = TABLES.map(|path| {
        let mut root: Table = DAY.parse().expect("TOML");
        let (key, value) = match path.ends_with("trouble.0") {
            true => ("kind", Value::from("unheard_of")),
            false => ("unheard_of", Value::from(1)),
        };
        table_at(&mut root, path).insert(key.into(), value);
        format!("{path}: {}\n", accepted_keys(&root.to_string()))
    });
    assert_eq!(accepted.concat(), KEYS);
}

#[test]
fn faults_require_their_published_keys() {
    let experiment: Experiment = Experiment::read(DAY).expect("a valid day");
    assert_eq!(experiment.days[0].faults.len(), 16);
    let root: Table = DAY.parse().expect("TOML");
    let faults = root["day"][0]["trouble"].as_array().expect("faults");
    for (index, fault) in faults.iter().enumerate() {
        for key in fault.as_table().expect("a table").keys() {
            let mut incomplete = root.clone();
            let day = incomplete["day"][0].as_table_mut().expect("a day");
            let faults = day["trouble"].as_array_mut().expect("faults");
            faults[index].as_table_mut().expect("a table").remove(key);
            let optional = ["times", "every_s"].contains(&key.as_str());
            let result = Experiment::read(&incomplete.to_string());
            assert_eq!(result.is_ok(), optional, "{fault} without {key}");
        }
    }
}

#[test]
fn checks_are_disabled_by_their_published_names() {
    for name in CHECKS.lines() {
        let mut checks = Default::default();
        disable_check(&mut checks, name).expect(name);
        assert_ne!(checks, Default::default(), "{name}");
    }
    assert_eq!(CHECKS.lines().count(), 25);
}
