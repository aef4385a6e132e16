//! Tests of when a token bucket allows requests.

use super::TokenBucket;
use tokio::time::Duration;

/// A rate so low that the tokens gained within a test are negligible.
const RATE_PER_S: f64 = 0.001;

#[test]
fn full_bucket_allows_one_burst_and_no_more() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 3.0 / RATE_PER_S);
    for _ in 0..3 {
        assert_eq!(bucket.time_until(1.0), Duration::ZERO);
        bucket.take(1.0);
    }
    let pause = bucket.time_until(1.0).as_secs_f64();
    assert!((900.0..=1_000.0).contains(&pause), "{pause}");
}

#[test]
fn full_bucket_allows_more_than_its_capacity_and_goes_into_debt() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 2.0 / RATE_PER_S);
    assert_eq!(bucket.time_until(10.0), Duration::ZERO);
    bucket.take(10.0);
    let pause = bucket.time_until(1.0).as_secs_f64();
    assert!((8_900.0..=9_000.0).contains(&pause), "{pause}");
}

#[test]
fn drained_bucket_is_empty_and_keeps_its_debt() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 5.0 / RATE_PER_S);
    bucket.drain();
    assert!(bucket.time_until(1.0) > Duration::from_secs(900));
    bucket.take(1.0);
    bucket.drain();
    assert!(bucket.time_until(1.0) > Duration::from_secs(1_900));
}

#[test]
fn full_bucket_allows_one_request_at_any_rate() {
    let mut bucket = TokenBucket::new(RATE_PER_S, 1.0);
    assert_eq!(bucket.time_until(1.0), Duration::ZERO);
}
