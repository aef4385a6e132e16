//! Tests of `detector`.

use super::*;

#[test]
fn the_more_machines_a_zone_has_the_sooner_its_silence_tells() {
    let of = |machines| ZoneObservation {
        machines,
        ..ZoneObservation::default()
    };
    assert!(!of(ZONE_MIN_MACHINES - 1).is_significant() && of(ZONE_MIN_MACHINES).is_significant());
    let waits = [ZONE_MIN_MACHINES, 60, 600].map(|n| of(n).silence_limit_ms(5_000));
    assert_eq!(
        waits[0],
        2 * PEER_HEARTBEAT_INTERVAL_MS + 6_250,
        "each of them is overdue"
    );
    assert!(waits[0] > waits[1] && waits[1] > waits[2], "{waits:?}");
    assert!(waits[2] < 1_200);
}

/// At the start of a fleet of 1,322 machines all reported in step: 3.3 s without any report
/// counted as a cut, and nothing was placed for a second.
#[test]
fn machines_that_report_in_step_are_not_cut_off_between_two_reports() {
    let of = |machines, overdue| ZoneObservation {
        machines,
        overdue,
        ..ZoneObservation::default()
    };
    assert!(
        !of(600, 0).has_enough_overdue()
            && !of(600, 4).has_enough_overdue()
            && of(600, 12).has_enough_overdue()
    );
    assert!(!of(8, 2).has_enough_overdue() && of(8, 3).has_enough_overdue());
}
