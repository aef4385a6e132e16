//! Variants of sites: what grows does, limits stay, and what makes no sense is named.

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
fn all_that_grows_does_and_the_limits_stay() {
    let to = vary(&site(), &Sizes::scaled(1.5, None)).unwrap();
    let number = |path: [&str; 2]| to[path[0]][0][path[1]].clone();
    assert_eq!(number(["machines", "count"]), Value::Integer(77));
    assert_eq!(number(["capacity", "spot"]), Value::Integer(5));
    assert_eq!(number(["teams", "cpus_max"]), Value::Float(300.0));
    assert_eq!(number(["jobs", "initial"]), Value::Integer(12));
    assert_eq!(to["jobs"][0]["arrivals"]["rate"], Value::Float(0.75));
    assert_eq!(to["name"].as_str(), Some("a-x1.5"));
    let before = site();
    assert_eq!(
        (&to["nodes"], &to["state"]),
        (&before["nodes"], &before["state"])
    );
}

#[test]
fn zones_teams_controllers_and_arrays_of_other_sizes() {
    let sizes = Sizes {
        zones: Some(3),
        teams: Some(4),
        nodes: Some(8),
        tasks: Some(2.0),
        run: Some(0.5),
        ..Sizes::scaled(1.0, None)
    };
    let to = vary(&site(), &sizes).unwrap();
    let expected = "a-x1-zones3-teams4-nodes8-tasks2-run0.5";
    assert_eq!(to["name"].as_str(), Some(expected));
    assert_eq!(to["nodes"]["count"], Value::Integer(8));
    let zones: Value = vec!["east", "west", "zone-3"].into();
    assert_eq!(to["nodes"]["zones"], zones);
    let counts = |name: &str, field: &str| -> Vec<i64> {
        let entries = to[name].as_array().unwrap();
        entries
            .iter()
            .map(|e| e[field].as_integer().unwrap())
            .collect()
    };
    assert_eq!(counts("capacity", "count"), [5, 5, 4]);
    assert_eq!(counts("capacity", "spot"), [2, 2, 1]);
    assert_eq!(counts("machines", "count"), [17, 17, 17]);
    let teams = to["teams"].as_array().unwrap();
    assert_eq!((teams.len(), &teams[3]["cpus"]), (4, &Value::Float(25.0)));
    assert_eq!(to["jobs"][0]["tasks"]["max"], Value::Float(120.0));
    assert_eq!(to["jobs"][0]["run_s"]["median"], Value::Float(20.0));
    assert!(to["jobs"][0].get("teams").is_none());
    assert_eq!(to["jobs"][1], site()["jobs"][1]);
}

#[test]
fn what_makes_no_sense_is_named() {
    let site = site();
    let none = vary(&site, &Sizes::scaled(0.0, None))
        .unwrap_err()
        .to_string();
    assert!(none.contains("--factor"));
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
                nodes: Some(-1),
                ..Sizes::scaled(1.0, None)
            },
            "--nodes",
        ),
        (
            Sizes {
                run: Some(f64::NAN),
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
    let odd: Table = SITE
        .replace("count = 51", "count = \"many\"")
        .parse()
        .unwrap();
    assert_eq!(
        vary(&odd, &Sizes::scaled(1.5, None))
            .unwrap_err()
            .to_string(),
        "machines.count: not a number"
    );
    assert!(vary(&Table::new(), &Sizes::scaled(1.5, None))
        .unwrap_err()
        .to_string()
        .contains("name"));
}
