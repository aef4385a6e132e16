//! Tests of `detector`.

use super::*;

#[test]
fn silence_limit_decreases_with_number_of_machines() {
    let observation = |machines| ZoneObservation {
        machines,
        ..ZoneObservation::default()
    };
    assert!(
        !observation(ZONE_MIN_MACHINES - 1).is_significant()
            && observation(ZONE_MIN_MACHINES).is_significant()
    );
    let limits_ms = [ZONE_MIN_MACHINES, 60, 600].map(|n| observation(n).silence_limit_ms(5_000));
    assert_eq!(
        limits_ms[0],
        2 * PEER_HEARTBEAT_INTERVAL_MS + 6_250,
        "each machine is overdue"
    );
    assert!(
        limits_ms[0] > limits_ms[1] && limits_ms[1] > limits_ms[2],
        "{limits_ms:?}"
    );
    assert!(limits_ms[2] < 1_200);
}

/// After a start 1,322 machines sent their heartbeats in step. The 3.3 s between two rounds of heartbeats counted as
/// a partition of the zone, and no task was placed for a second.
#[test]
fn zone_with_heartbeats_in_step_stays_reachable_between_heartbeats() {
    let observation = |machines, overdue| ZoneObservation {
        machines,
        overdue,
        ..ZoneObservation::default()
    };
    assert!(
        !observation(600, 0).has_enough_overdue()
            && !observation(600, 4).has_enough_overdue()
            && observation(600, 12).has_enough_overdue()
    );
    assert!(!observation(8, 2).has_enough_overdue() && observation(8, 3).has_enough_overdue());
}
