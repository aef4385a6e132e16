//! Tests of `starts`.

use super::*;

fn start(index: u32) -> Attempt {
    let job = "j-1".to_string();
    (TaskId { job, index }, 7)
}

#[test]
fn start_missing_from_later_heartbeats_is_detected() {
    let mut starts = StartTracker::default();
    starts.claimed(1_000, &start(0).0, 7, "m");
    assert!(starts.unseen(&start(0), 900) && !starts.unseen(&start(0), 1_100));
    assert!(
        !starts.is_missing(1_500, &start(0), "m"),
        "its command may still be on its way"
    );
    assert!(starts.is_missing(1_000 + START_MISSING_MS + COMMAND_LIMIT_MS, &start(0), "m"));
    // Without a tracked claim only the heartbeats tell when the start went missing.
    assert!(!starts.is_missing(9_000, &start(1), "m"));
    assert!(starts.is_missing(9_000 + START_MISSING_MS, &start(1), "m"));
    starts.record_reported(&start(1));
    assert!(!starts.is_missing(20_000, &start(1), "m"));
}

#[test]
fn failed_peers_last_starts_are_checked_once() {
    let mut starts = StartTracker::default();
    starts.claimed(1_000, &start(0).0, 7, "old");
    starts.claimed(9_000, &start(1).0, 7, "new");
    starts.peer_lost(9_200, 9_100);
    assert!(starts.due_to_ask(9_300).is_empty());
    assert_eq!(starts.due_to_ask(9_200 + FAILOVER_START_CHECK_MS), ["new"]);
    assert!(starts.due_to_ask(20_000).is_empty());
    assert!(
        starts.is_missing(9_000 + FAILOVER_START_CHECK_MS, &start(1), "new"),
        "a start under a failover check counts as missing sooner"
    );
    starts.prune(|_| true, |_| 30_000);
    assert!(starts.tracked.is_empty());
}
