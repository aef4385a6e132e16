//! Validation of plans and result files with errors of one line, and the fit of lines to figures.

use glenmount_loadtest::measurement::result::EarlierResult;
use glenmount_loadtest::measurement::scaling::{fit, Point};
use glenmount_loadtest::plan::Plan;

const TARGET: &str = include_str!("../plans/target.toml");

/// Returns points from pairs of size and value.
fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    let pairs = pairs.iter();
    pairs
        .map(|(size, value)| Point {
            size: *size,
            value: *value,
        })
        .collect()
}

fn plan_error(overrides: &[&str]) -> String {
    let overrides: Vec<String> = overrides.iter().map(|text| text.to_string()).collect();
    let error = Plan::parse(TARGET, &overrides).unwrap_err().to_string();
    assert!(!error.contains('\n'), "{error}");
    error
}

#[test]
fn all_plans_are_valid() {
    let plan = Plan::parse(TARGET, &["workers.count=4000".into()]).unwrap();
    assert_eq!((plan.workers.count, plan.zones().len()), (4_000, 13));
    for text in [
        include_str!("../plans/small.toml"),
        include_str!("../plans/steady.toml"),
        include_str!("../plans/peak.toml"),
    ] {
        Plan::parse(text, &[]).unwrap();
    }
}

#[test]
fn an_invalid_plan_is_rejected_by_field() {
    for (override_text, field) in [
        ("workers.count=0", "workers.count"),
        ("workers.count=900000", "workers.count"),
        ("controllers.count=9", "controllers.count"),
        ("teams.cpus=1e6", "teams.cpus"),
        ("teams.count=20000", "teams.count"),
        ("state.rps=nan", "state.rps"),
        ("state.rps=-1", "state.rps"),
        ("jobs.1.rate=900.0", "jobs.rate"),
        ("jobs.1.tasks=[9, 2]", "jobs.tasks"),
        ("jobs.1.cpus=17.0", "jobs.cpus"),
        ("jobs.0.run_s=5.0", "jobs.run_s"),
        ("jobs.1.class=\"router\"", "jobs.class"),
        ("troubles.0.count=0", "troubles.count"),
        ("troubles.0.at_s=9000", "troubles.at_s"),
        ("troubles.3.controller=8", "troubles.controller"),
        ("troubles.7.place=\"nowhere\"", "troubles.place"),
        ("regions.0.zones=[]", "regions.zones"),
        ("regions.0.zones=[\"east-a\"]", "regions.zones"),
        ("workers.colour=3", "workers.colour"),
        ("workers.count", "workers.count"),
        ("workers.count=\"many\"", "plan"),
    ] {
        let error = plan_error(&[override_text]);
        assert!(error.starts_with(field), "{override_text}: {error}");
    }
    let unknown = TARGET.replace("seed = 1", "seed = 1\ncolour = 3");
    let error = Plan::parse(&unknown, &[]).unwrap_err().to_string();
    assert!(error.contains("colour"), "{error}");
    assert!(Plan::parse("name = [", &[]).is_err());
}

#[test]
fn a_damaged_result_is_rejected() {
    let folder = std::env::temp_dir().join(format!("glenmount-plans-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("result.json");
    for text in ["", "{", "{\"figures\":{\"seconds\":\"long\"}}", "[]"] {
        std::fs::write(&path, text).unwrap();
        let error = EarlierResult::read(&path).unwrap_err().to_string();
        assert!(
            error.contains("result.json") && !error.contains('\n'),
            "{error}"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_linear_fit_is_found_and_distinguished_from_other_growth() {
    let line = fit(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])).unwrap();
    assert!((line.intercept - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && line.is_line() && (line.value_at(10.0) - 23.0).abs() < 1e-9);
    let square = fit(&points(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)])).unwrap();
    assert!(!square.is_line() && (square.power.unwrap() - 2.0).abs() < 1e-9);
    assert!(fit(&points(&[(1.0, 1.0)])).is_none());
}
