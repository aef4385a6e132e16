//! Tests of `starts`.

use super::*;

fn start(index: u32) -> Attempt {
    let job = "j-1".to_string();
    (TaskId { job, index }, 7)
}

#[test]
fn start_missing_from_later_heartbeats_is_detected() {
    let mut starts = StartTracker::default();
    starts.record_claim(1_000, &start(0).0, 7, "m");
    assert!(starts.is_in_flight(&start(0), 900) && !starts.is_in_flight(&start(0), 1_100));
    assert!(
        !starts.is_missing(1_500, &start(0), "m"),
        "its command may still be on its way"
    );
    assert!(starts.is_missing(
        1_000 + START_MISSING_MS + COMMAND_TIMEOUT_MS,
        &start(0),
        "m"
    ));
    // Without a tracked claim only the heartbeats show since when the start has been missing.
    assert!(!starts.is_missing(9_000, &start(1), "m"));
    assert!(starts.is_missing(9_000 + START_MISSING_MS, &start(1), "m"));
    starts.record_reported(&start(1));
    assert!(!starts.is_missing(20_000, &start(1), "m"));
}

#[test]
fn failed_peers_last_starts_are_checked_once() {
    let mut starts = StartTracker::default();
    starts.record_claim(1_000, &start(0).0, 7, "old");
    starts.record_claim(9_000, &start(1).0, 7, "new");
    starts.schedule_failover_check(9_200, 9_100);
    assert!(starts.take_machines_to_check(9_300).is_empty());
    assert_eq!(
        starts.take_machines_to_check(9_200 + FAILOVER_START_CHECK_DELAY_MS),
        ["new"]
    );
    assert!(starts.take_machines_to_check(20_000).is_empty());
    assert!(
        starts.is_missing(9_000 + FAILOVER_START_CHECK_DELAY_MS, &start(1), "new"),
        "a start under a failover check counts as missing sooner"
    );
    starts.prune(|_| true, |_| 30_000);
    assert!(starts.tracked.is_empty());
}
