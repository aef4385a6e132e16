//! Variants of sites: sizes are scaled, limits stay, and invalid sizes are reported.

use toml::{Table, Value};
use xtask::site_variant::{vary, Sizes};

const SITE: &str = r#"
    name = "a"
    wire = "wire.json"
    [nodes]
    count = 3
    zones = ["east", "west"]
    [state]
    write_rps = 50.0
    [[machines]]
    type = "g8"
    zone = "east"
    spot = false
    count = 51
    [[capacity]]
    type = "g8"
    zone = "east"
    count = 10
    spot = 3
    [[capacity]]
    type = "g8"
    zone = "west"
    count = 4
    spot = 2
    [[teams]]
    name = "t"
    cpus = 100.0
    cpus_max = 200.0
    [[jobs]]
    kind = "array"
    name = "c"
    initial = 8
    arrivals = { rate = 0.5 }
    tasks = { median = 10.0, max = 60.0 }
    run_s = { median = 40.0 }
    teams = ["t"]
    [[jobs]]
    kind = "service"
    name = "s"
    tasks = { sizes = [3, 5] }
"#;

fn site() -> Table {
    SITE.parse().unwrap()
}

#[test]
fn sizes_are_scaled_and_limits_stay() {
    let variant = vary(&site(), &Sizes::scaled(1.5, None)).unwrap();
    let number = |path: [&str; 2]| variant[path[0]][0][path[1]].clone();
    assert_eq!(number(["machines", "count"]), Value::Integer(77));
    assert_eq!(number(["capacity", "spot"]), Value::Integer(5));
    assert_eq!(number(["teams", "cpus_max"]), Value::Float(300.0));
    assert_eq!(number(["jobs", "initial"]), Value::Integer(12));
    assert_eq!(variant["jobs"][0]["arrivals"]["rate"], Value::Float(0.75));
    assert_eq!(variant["name"].as_str(), Some("a-x1.5"));
    let before = site();
    assert_eq!(
        (&variant["nodes"], &variant["state"]),
        (&before["nodes"], &before["state"])
    );
}

#[test]
fn zones_teams_controllers_and_arrays_can_be_changed() {
    let sizes = Sizes {
        zones: Some(3),
        teams: Some(4),
        controllers: Some(8),
        tasks_factor: Some(2.0),
        run_time_factor: Some(0.5),
        ..Sizes::scaled(1.0, None)
    };
    let variant = vary(&site(), &sizes).unwrap();
    let expected = "a-x1-zones3-teams4-nodes8-tasks2-run0.5";
    assert_eq!(variant["name"].as_str(), Some(expected));
    assert_eq!(variant["nodes"]["count"], Value::Integer(8));
    let zones: Value = vec!["east", "west", "zone-3"].into();
    assert_eq!(variant["nodes"]["zones"], zones);
    let counts = |name: &str, field: &str| -> Vec<i64> {
        let entries = variant[name].as_array().unwrap();
        entries
            .iter()
            .map(|e| e[field].as_integer().unwrap())
            .collect()
    };
    assert_eq!(counts("capacity", "count"), [5, 5, 4]);
    assert_eq!(counts("capacity", "spot"), [2, 2, 1]);
    assert_eq!(counts("machines", "count"), [17, 17, 17]);
    let teams = variant["teams"].as_array().unwrap();
    assert_eq!((teams.len(), &teams[3]["cpus"]), (4, &Value::Float(25.0)));
    assert_eq!(variant["jobs"][0]["tasks"]["max"], Value::Float(120.0));
    assert_eq!(variant["jobs"][0]["run_s"]["median"], Value::Float(20.0));
    assert!(variant["jobs"][0].get("teams").is_none());
    assert_eq!(variant["jobs"][1], site()["jobs"][1]);
}

#[test]
fn invalid_sizes_and_sites_are_reported() {
    let site = site();
    let error = vary(&site, &Sizes::scaled(0.0, None))
        .unwrap_err()
        .to_string();
    assert!(error.contains("--factor"));
    for (sizes, field) in [
        (
            Sizes {
                teams: Some(0),
                ..Sizes::scaled(1.0, None)
            },
            "--teams",
        ),
        (
            Sizes {
                zones: Some(99),
                ..Sizes::scaled(1.0, None)
            },
            "--zones",
        ),
        (
            Sizes {
                controllers: Some(-1),
                ..Sizes::scaled(1.0, None)
            },
            "--nodes",
        ),
        (
            Sizes {
                run_time_factor: Some(f64::NAN),
                ..Sizes::scaled(1.0, None)
            },
            "--run",
        ),
        (Sizes::scaled(1.0, Some(-1.0)), "--back-s"),
    ] {
        assert!(
            vary(&site, &sizes)
                .unwrap_err()
                .to_string()
                .starts_with(field),
            "{field}"
        );
    }
    let with_text_count: Table = SITE
        .replace("count = 51", "count = \"many\"")
        .parse()
        .unwrap();
    assert_eq!(
        vary(&with_text_count, &Sizes::scaled(1.5, None))
            .unwrap_err()
            .to_string(),
        "machines.count: not a number"
    );
    assert!(vary(&Table::new(), &Sizes::scaled(1.5, None))
        .unwrap_err()
        .to_string()
        .contains("name"));
}
