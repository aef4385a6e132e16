//! Tests of `failures`.

use super::*;

const WALL: WallMs = 1_700_000_000_000;
const LEASE_MS: Millis = 26_500;

fn batch(deadlines_s: &[u64]) -> EvacuationTask {
    EvacuationTask {
        priority: JobPriority::Normal,
        is_service: false,
        start_in_flight: false,
        fits_elsewhere: true,
        deadlines: deadlines_s.iter().map(|s| WALL + s * 1_000).collect(),
        run_ms: 40_000,
    }
}

fn service() -> EvacuationTask {
    EvacuationTask {
        is_service: true,
        deadlines: Vec::new(),
        priority: JobPriority::Production,
        ..batch(&[])
    }
}

fn outage(kind: ZoneFailureKind, duration_s: u64) -> ZoneOutage {
    ZoneOutage {
        kind,
        duration_ms: duration_s * 1_000,
    }
}

fn reason(outage: ZoneOutage, work: &[EvacuationTask]) -> Option<EvacuationReason> {
    evacuation_reason(&outage, work, LEASE_MS, &Tuning::default(), WALL)
}

#[test]
fn partitioned_controller_does_not_act_on_unconfirmed_outage() {
    let mut zones = ZoneTracker::default();
    let observation = ZoneObservation {
        last_contact_at: 1_000,
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
    let recovered = Some(ZoneStatusChange::Recovered { after_ms: 29_000 });
    assert_eq!(
        zones.update_status(30_000, "a", &observation, false),
        recovered
    );
    assert_eq!(zones.confirmed_unreachable_since(40_000, "a"), None);
}

#[test]
fn machine_with_only_starts_in_flight_is_deleted_early() {
    let in_flight = EvacuationTask {
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
fn running_services_are_kept_until_their_leases_expire() {
    let work = [batch(&[10]), service()];
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 300), &work),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithoutControllers, 20), &work),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithoutControllers, 40), &work),
        Some(EvacuationReason::TasksEnded)
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::MachinesOnly, 41), &[service()]),
        Some(EvacuationReason::TasksEnded)
    );
    let without_capacity = [EvacuationTask {
        fits_elsewhere: false,
        ..service()
    }];
    assert_eq!(
        reason(
            outage(ZoneFailureKind::WithoutControllers, 400),
            &without_capacity
        ),
        None,
        "no capacity elsewhere"
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::MachinesOnly, 200),
            &without_capacity
        ),
        None
    );
    assert_eq!(
        reason(
            outage(ZoneFailureKind::MachinesOnly, 300),
            &without_capacity
        ),
        Some(EvacuationReason::OutageForMinutes)
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 300), &[]),
        Some(EvacuationReason::OutageForMinutes)
    );
}

#[test]
fn batch_is_restarted_elsewhere_when_waiting_would_miss_a_deadline() {
    // Elsewhere it would be done after 42.5 s.
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
    // The first deadline is missed in any case, so the next one counts.
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
    // It has no deadline.
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 40), &[batch(&[])]),
        None
    );
    assert_eq!(
        reason(outage(ZoneFailureKind::WithControllers, 120), &[batch(&[])]),
        Some(EvacuationReason::WaitedLongEnough)
    );
}
