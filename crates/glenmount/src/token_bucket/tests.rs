//! When a bucket lets requests go.

use super::TokenBucket;
use tokio::time::Duration;

/// So slow that nothing to speak of is gained within a test.
const RATE_PER_S: f64 = 0.001;

#[test]
fn a_full_bucket_lets_its_burst_go_at_once_and_no_more() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 3.0 / RATE_PER_S);
    for _ in 0..3 {
        assert_eq!(bucket.time_until(1.0), Duration::ZERO);
        bucket.take(1.0);
    }
    let pause = bucket.time_until(1.0).as_secs_f64();
    assert!((900.0..=1_000.0).contains(&pause), "{pause}");
}

#[test]
fn more_than_a_bucket_holds_may_go_when_it_is_full_and_is_paid_later() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 2.0 / RATE_PER_S);
    assert_eq!(bucket.time_until(10.0), Duration::ZERO);
    bucket.take(10.0);
    let pause = bucket.time_until(1.0).as_secs_f64();
    assert!((8_900.0..=9_000.0).contains(&pause), "{pause}");
}

#[test]
fn a_drained_bucket_starts_empty_and_keeps_its_debt() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 5.0 / RATE_PER_S);
    bucket.drain();
    assert!(bucket.time_until(1.0) > Duration::from_secs(900));
    bucket.take(1.0);
    bucket.drain();
    assert!(bucket.time_until(1.0) > Duration::from_secs(1_900));
}

#[test]
fn one_request_may_always_go_however_small_the_rate() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 1.0);
    assert_eq!(bucket.time_until(1.0), Duration::ZERO);
}
