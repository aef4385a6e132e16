//! Tests of `admission`.

use super::*;

/// Submissions a second that each team gets, of so many that it asks for.
fn served(rps: f64, asks: &[(&str, u64)], seconds: u64) -> Vec<f64> {
    let mut admission = Admission::new(rps, 0);
    let mut given = vec![0_u64; asks.len()];
    // What is saved up is used first.
    for ms in 0..(seconds + 20) * 1_000 {
        for (i, (team, per_s)) in asks.iter().enumerate() {
            for k in 0..*per_s {
                if (k * 1_000 / per_s + i as u64) % 1_000 == ms % 1_000
                    && admission.takes(ms, team).is_ok()
                    && ms >= 20_000
                {
                    given[i] += 1;
                }
            }
        }
    }
    given.iter().map(|n| *n as f64 / seconds as f64).collect()
}

#[test]
fn what_fits_is_taken_whoever_asks() {
    assert_eq!(served(30.0, &[("a", 10), ("b", 2)], 30), [10.0, 2.0]);
}

/// A burst after an outage is no flood.
#[test]
fn a_burst_is_taken_at_once() {
    let mut admission = Admission::new(30.0, 0);
    assert!((0..60).all(|_| admission.takes(0, "a").is_ok()));
    let refused = (0..120).filter_map(|_| admission.takes(0, "a").err());
    let refused: Vec<u32> = refused.collect();
    assert!(!refused.is_empty() && refused.iter().all(|s| *s <= ADMISSION_MAX_RETRY_AFTER_S));
    assert!(admission.takes(10_000, "a").is_ok());
}

#[test]
fn a_flood_takes_no_more_than_its_share_while_others_ask() {
    let served = served(30.0, &[("flood", 200), ("b", 4), ("c", 3)], 60);
    assert!(served[1] > 3.7 && served[2] > 2.7, "{served:?}");
    let all: f64 = served.iter().sum();
    assert!(all <= 30.0 * ADMISSION_CHANGE_SHARE + 0.5, "{served:?}");
    assert!(served[0] > 5.0, "what is unused is lent: {served:?}");
}

#[test]
fn two_floods_share_alike() {
    let served = served(30.0, &[("a", 300), ("b", 100)], 60);
    assert!((served[0] / served[1] - 1.0).abs() < 0.15, "{served:?}");
}
