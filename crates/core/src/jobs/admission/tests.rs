//! Tests of `admission`.

use super::*;

/// Returns the submissions a second that each team is admitted, given the submissions that it
/// makes.
fn admission_rates(write_rps: f64, submissions: &[(&str, u64)], seconds: u64) -> Vec<f64> {
    let mut admission = Admission::new(write_rps, 0);
    let mut admitted = vec![0_u64; submissions.len()];
    // The tokens saved up at the start are used first and not counted.
    for ms in 0..(seconds + 20) * 1_000 {
        for (i, (team, per_s)) in submissions.iter().enumerate() {
            for k in 0..*per_s {
                if (k * 1_000 / per_s + i as u64) % 1_000 == ms % 1_000
                    && admission.try_admit(ms, team).is_ok()
                    && ms >= 20_000
                {
                    admitted[i] += 1;
                }
            }
        }
    }
    admitted
        .iter()
        .map(|n| *n as f64 / seconds as f64)
        .collect()
}

#[test]
fn all_submissions_within_the_rate_are_admitted() {
    assert_eq!(
        admission_rates(30.0, &[("a", 10), ("b", 2)], 30),
        [10.0, 2.0]
    );
}

/// A burst after an outage must not be treated as a flood.
#[test]
fn burst_is_admitted_at_once() {
    let mut admission = Admission::new(30.0, 0);
    assert!((0..60).all(|_| admission.try_admit(0, "a").is_ok()));
    let refused = (0..120).filter_map(|_| admission.try_admit(0, "a").err());
    let refused: Vec<u32> = refused.collect();
    assert!(!refused.is_empty() && refused.iter().all(|s| *s <= ADMISSION_MAX_RETRY_AFTER_S));
    assert!(admission.try_admit(10_000, "a").is_ok());
}

#[test]
fn flood_gets_only_its_share_while_other_teams_submit() {
    let admitted_per_s = admission_rates(30.0, &[("flood", 200), ("b", 4), ("c", 3)], 60);
    assert!(
        admitted_per_s[1] > 3.7 && admitted_per_s[2] > 2.7,
        "{admitted_per_s:?}"
    );
    let total: f64 = admitted_per_s.iter().sum();
    assert!(
        total <= 30.0 * ADMISSION_CHANGE_SHARE + 0.5,
        "{admitted_per_s:?}"
    );
    assert!(
        admitted_per_s[0] > 5.0,
        "unused tokens go to the flood: {admitted_per_s:?}"
    );
}

#[test]
fn two_floods_get_equal_shares() {
    let admitted_per_s = admission_rates(30.0, &[("a", 300), ("b", 100)], 60);
    assert!(
        (admitted_per_s[0] / admitted_per_s[1] - 1.0).abs() < 0.15,
        "{admitted_per_s:?}"
    );
}
