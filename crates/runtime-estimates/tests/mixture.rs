//! Quantiles and conditioning of mixtures, and invalid components.

use glenmount_runtime_estimates::constants::DEFAULT_MEDIAN_S;
use glenmount_runtime_estimates::mixture::{Component, Mixture};

#[test]
fn quantiles_are_those_of_the_normal_distribution() {
    let m = Mixture::normal(4.0, 0.25);
    assert!((m.quantile(0.5) - 4.0).abs() < 2e-3);
    assert!((m.quantile(0.95) - (4.0 + 1.6449 * 0.5)).abs() < 2e-3);
    assert!((m.cdf(4.5) - 0.8413).abs() < 1e-3);
}

#[test]
fn one_completed_task_determines_which_of_two_kinds_a_job_is() {
    let component = |mean| Component {
        weight: 0.5,
        mean,
        var: 0.02,
    };
    let two = Mixture::new(vec![component(2.0), component(6.0)]);
    let known = two.posterior(5.9, 1.0, 0.04).with_added_variance(0.04);
    assert!(known.cdf(4.0) < 0.01);
    assert!((known.quantile(0.5) - 5.95).abs() < 0.1);
}

#[test]
fn remaining_time_stays_positive_for_long_runs() {
    let m = Mixture::normal(100f64.ln(), 0.04);
    assert!((m.remaining_s(0.0, 0.5) - 100.0).abs() < 1.0);
    assert!(m.remaining_s(90.0, 0.5) > 10.0);
    assert!(m.remaining_s(1_000.0, 0.5) > 100.0);
}

#[test]
fn invalid_components_leave_the_default_distribution() {
    let component = Component {
        weight: f64::NAN,
        mean: 1.0,
        var: 1.0,
    };
    let m = Mixture::new(vec![component]);
    assert!((m.quantile(0.5).exp() - DEFAULT_MEDIAN_S).abs() < 1.0);
}
