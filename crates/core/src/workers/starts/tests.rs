//! Tests of `starts`.

use super::*;

fn start(index: u32) -> Attempt {
    let job = "j-1".to_string();
    (TaskId { job, index }, 7)
}

#[test]
fn a_start_that_a_later_report_lacks_is_sent_anew_at_once() {
    let mut s = Starts::default();
    s.claimed(1_000, &start(0).0, 7, "m");
    assert!(s.unseen(&start(0), 900) && !s.unseen(&start(0), 1_100));
    assert!(
        !s.is_missing(1_500, &start(0), "m"),
        "its command may be on its way"
    );
    assert!(s.is_missing(
        1_000 + START_MISSING_MS + COMMAND_TIMEOUT_MS,
        &start(0),
        "m"
    ));
    // Of a claim that was not seen only the reports tell.
    assert!(!s.is_missing(9_000, &start(1), "m"));
    assert!(s.is_missing(9_000 + START_MISSING_MS, &start(1), "m"));
    s.shown(&start(1));
    assert!(!s.is_missing(20_000, &start(1), "m"));
}

#[test]
fn machines_of_a_lost_siblings_last_claims_are_asked_once() {
    let mut s = Starts::default();
    s.claimed(1_000, &start(0).0, 7, "old");
    s.claimed(9_000, &start(1).0, 7, "new");
    s.peer_lost(9_200, 9_100);
    assert!(s.due_to_ask(9_300).is_empty());
    assert_eq!(s.due_to_ask(9_200 + FAILOVER_START_CHECK_DELAY_MS), ["new"]);
    assert!(s.due_to_ask(20_000).is_empty());
    assert!(
        s.is_missing(9_000 + FAILOVER_START_CHECK_DELAY_MS, &start(1), "new"),
        "and known to lack it sooner"
    );
    s.forget(|_| true, |_| 30_000);
    assert!(s.followed.is_empty());
}
