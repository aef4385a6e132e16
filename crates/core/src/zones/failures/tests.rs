//! Tests of `failures`.

use super::*;

const WALL: WallMs = 1_700_000_000_000;
const LEASE: Millis = 26_500;

fn batch(deadlines_s: &[u64]) -> AssignedWork {
    AssignedWork {
        priority: JobPriority::Normal,
        is_service: false,
        start_in_flight: false,
        fits_elsewhere: true,
        deadlines: deadlines_s.iter().map(|s| WALL + s * 1_000).collect(),
        run_ms: 40_000,
    }
}

fn service() -> AssignedWork {
    AssignedWork {
        is_service: true,
        deadlines: Vec::new(),
        priority: JobPriority::Production,
        ..batch(&[])
    }
}

fn outage(kind: ZoneFailureKind, s: u64) -> ZoneOutage {
    ZoneOutage {
        kind,
        duration_ms: s * 1_000,
    }
}

fn reason(outage: ZoneOutage, work: &[AssignedWork]) -> Option<EvacuationReason> {
    evacuation_reason(&outage, work, LEASE, &Tuning::default(), WALL)
}

#[test]
fn a_node_that_was_cut_off_itself_does_not_act_on_what_it_finds_silent() {
    let mut zones = Zones::default();
    let observation = ZoneObservation {
        latest: 1_000,
        ..ZoneObservation::default()
    };
    assert_eq!(
        zones.update_status(20_000, "a", &observation, true),
        Some(ZoneStatusChange::Unreachable)
    );
    assert_eq!(zones.unreachable_since("a"), Some(1_000));
    assert_eq!(zones.confirmed_unreachable_since(20_500, "a"), None);
    assert_eq!(
        zones.confirmed_unreachable_since(20_000 + ZONE_CONFIRM_MS, "a"),
        Some(1_000)
    );
    let back = Some(ZoneStatusChange::Recovered { after_ms: 29_000 });
    assert_eq!(zones.update_status(30_000, "a", &observation, false), back);
    assert_eq!(zones.confirmed_unreachable_since(40_000, "a"), None);
}

#[test]
fn starts_that_never_arrived_are_not_waited_for() {
    let in_flight = AssignedWork {
        start_in_flight: true,
        ..service()
    };
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 3),
            std::slice::from_ref(&in_flight)
        ),
        None
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 8),
            std::slice::from_ref(&in_flight)
        ),
        Some(EvacuationReason::StartsInFlight)
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 8),
            &[in_flight, service()]
        ),
        None
    );
}

#[test]
fn what_serves_inside_is_left_for_as_long_as_it_may() {
    let late = [batch(&[10]), service()];
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 300), &late),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithoutControllers, 20), &late),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithoutControllers, 40), &late),
        Some(EvacuationReason::TasksEnded)
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::MachinesOnly, 41), &[service()]),
        Some(EvacuationReason::TasksEnded)
    );
    let nowhere = [AssignedWork {
        fits_elsewhere: false,
        ..service()
    }];
    assert_eq!(
        reason(outage(ZoneFailureKind::WithoutControllers, 400), &nowhere),
        None,
        "as well there"
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::MachinesOnly, 200), &nowhere),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::MachinesOnly, 300), &nowhere),
        Some(EvacuationReason::OutageForMinutes)
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 300), &[]),
        Some(EvacuationReason::OutageForMinutes)
    );
}

#[test]
fn a_batch_goes_elsewhere_when_waiting_would_miss_what_that_can_meet() {
    // Done in 42.5 s elsewhere.
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 30),
            &[batch(&[100])]
        ),
        None
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 97),
            &[batch(&[100])]
        ),
        Some(EvacuationReason::DeadlineAtRisk)
    );
    // The first deadline is out of reach either way: the next one counts.
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 90),
            &[batch(&[20, 200])]
        ),
        None
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithControllers, 196),
            &[batch(&[20, 200])]
        ),
        Some(EvacuationReason::DeadlineAtRisk)
    );
    // It can meet none.
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 40), &[batch(&[])]),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 120), &[batch(&[])]),
        Some(EvacuationReason::WaitedLongEnough)
    );
}
