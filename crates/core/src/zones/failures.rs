//! Outages of whole zones, and the decision what becomes of the machines in them.
//!
//! A zone that falls silent as a whole (see `detector`) is partitioned, or its machines are down. For each of
//! its machines the choice is to leave it, and have back what runs on it when the zone recovers, or to
//! delete it: the cloud's confirmation of the deletion is the proof that lets its tasks be placed elsewhere.
//! It depends on what the machine holds, on how long the outage has lasted and may last, and on the free
//! capacity elsewhere. A wrong guess costs work, but breaks no rule: nothing is placed before the proof.

use crate::constants::{
    START_DURATION_MS, ZONE_ABANDON_MS, ZONE_CONFIRM_MS, ZONE_DEAD_MS, ZONE_EVACUATION_MAX_WAIT_MS,
    ZONE_LEASE_MARGIN_MS, ZONE_RECOVERY_MARGIN_MS,
};
use crate::model::{JobPriority, Millis, WallMs};
use crate::tuning::Tuning;
use crate::zones::detector::ZoneObservation;
use std::collections::BTreeMap;

/// What an outage most likely is, as far as the zone's controllers tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneFailureKind {
    /// A controller in the zone is unreachable as well: it may renew the leases of what runs inside.
    WithControllers,
    /// No controller is in the zone: what runs there ends when its leases expire.
    WithoutControllers,
    /// All controllers in the zone are reachable, but none of its machines: these are down.
    MachinesOnly,
}

/// The outage of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOutage {
    pub kind: ZoneFailureKind,
    /// Milliseconds since the last sign of life from the zone.
    pub duration_ms: Millis,
}

/// What is assigned to a machine of an unreachable zone: one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedWork {
    /// Priority of its job.
    pub priority: JobPriority,
    /// Whether its job is a service.
    pub is_service: bool,
    /// Its start was on its way when the zone became unreachable: most likely it runs nowhere.
    pub start_in_flight: bool,
    /// Its job allows another zone, and there is free capacity, or soon will be.
    pub fits_elsewhere: bool,
    /// Times of day by which its job is to be done, in ascending order.
    pub deadlines: Vec<WallMs>,
    /// Milliseconds that it is expected to run.
    pub run_ms: Millis,
}

/// Why a machine of an unreachable zone is deleted. When several apply, the first counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvacuationReason {
    /// All its starts were on their way when the zone became unreachable.
    StartsInFlight,
    /// What ran there has ended: its leases have expired, or the machines are down.
    TasksEnded,
    /// A deadline can still be met elsewhere, but not by waiting for the zone.
    DeadlineAtRisk,
    /// Its deadlines are missed in any case, and the outage has outlasted the wait.
    WaitedLongEnough,
    /// It holds nothing that would be lost, and the outage has lasted for minutes.
    OutageForMinutes,
}

impl EvacuationReason {
    /// The reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            EvacuationReason::StartsInFlight => {
                "its zone is lost, and its starts most likely never arrived"
            }
            EvacuationReason::TasksEnded => "its zone is lost, and what ran there has ended",
            EvacuationReason::DeadlineAtRisk => {
                "its zone is lost, and what it holds can be in time elsewhere only"
            }
            EvacuationReason::WaitedLongEnough => {
                "its zone is lost, and what it holds has waited long enough"
            }
            EvacuationReason::OutageForMinutes => "its zone has been lost for minutes",
        }
    }
}

/// Whether a machine of an unreachable zone is to be deleted, and why. `wall`: the time of day.
pub fn evacuation_reason(
    outage: &ZoneOutage,
    work: &[AssignedWork],
    lease_ms: Millis,
    tuning: &Tuning,
    wall: WallMs,
) -> Option<EvacuationReason> {
    let duration_ms = outage.duration_ms;
    if !work.iter().any(|task| task.fits_elsewhere) {
        let nothing_runs = work.is_empty() || outage.kind == ZoneFailureKind::MachinesOnly;
        return (nothing_runs && duration_ms > ZONE_EVACUATION_MAX_WAIT_MS)
            .then_some(EvacuationReason::OutageForMinutes);
    }
    if work.iter().all(|task| task.start_in_flight)
        && duration_ms >= tuning.zone_unconfirmed_start_ms
    {
        return Some(EvacuationReason::StartsInFlight);
    }
    let tasks_ended_after_ms = match outage.kind {
        ZoneFailureKind::WithoutControllers => lease_ms + ZONE_LEASE_MARGIN_MS,
        ZoneFailureKind::MachinesOnly => ZONE_DEAD_MS,
        ZoneFailureKind::WithControllers => ZONE_ABANDON_MS,
    };
    if duration_ms > tasks_ended_after_ms {
        return Some(EvacuationReason::TasksEnded);
    }
    // Services inside go on serving users there: to delete them would be the loss that the outage is not.
    let serves = |task: &AssignedWork| task.is_service && !task.start_in_flight;
    if work.iter().any(serves) {
        return None;
    }
    work.iter()
        .filter(|task| task.fits_elsewhere && !task.is_service)
        .filter_map(|task| batch_evacuation_reason(duration_ms, task, tuning, wall))
        .min()
}

/// Whether waiting for the zone costs a task of a batch more than to start it anew elsewhere.
fn batch_evacuation_reason(
    duration_ms: Millis,
    task: &AssignedWork,
    tuning: &Tuning,
    wall: WallMs,
) -> Option<EvacuationReason> {
    // An outage that has lasted so long lasts as long again, more likely than not: that holds of durations
    // without a scale of their own, and nothing is known of this one's.
    let expected_recovery = wall + duration_ms;
    let done_elsewhere = wall + START_DURATION_MS + task.run_ms;
    let next_deadline = task.deadlines.iter().find(|at| done_elsewhere <= **at);
    match next_deadline {
        Some(deadline) => (expected_recovery + ZONE_RECOVERY_MARGIN_MS > *deadline)
            .then_some(EvacuationReason::DeadlineAtRisk),
        // It is late in any case: not for the sake of a moment.
        None => (duration_ms > tuning.zone_overdue_work_ms.max(2 * task.run_ms))
            .then_some(EvacuationReason::WaitedLongEnough),
    }
}

/// An unreachable zone.
#[derive(Clone, Copy, Debug)]
struct UnreachableZone {
    /// The last sign of life from it.
    last_sign_at: Millis,
    /// When it was found unreachable.
    detected_at: Millis,
}

/// What is known of the site's zones.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    /// What was last observed of each zone that has machines up.
    pub(super) observations: BTreeMap<String, ZoneObservation>,
    unreachable: BTreeMap<String, UnreachableZone>,
    /// When zones last recovered.
    recovered: BTreeMap<String, Millis>,
    /// When evacuation was last considered.
    pub(super) evacuation_checked_at: Millis,
}

/// What has changed of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneStatusChange {
    Unreachable,
    Recovered {
        /// Milliseconds from the last sign of life before the outage until its end.
        after_ms: Millis,
    },
}

impl Zones {
    /// Takes note of whether a zone is unreachable as a whole; returns the change, if it is one.
    pub fn update_status(
        &mut self,
        now: Millis,
        zone: &str,
        observation: &ZoneObservation,
        is_unreachable: bool,
    ) -> Option<ZoneStatusChange> {
        match (is_unreachable, self.unreachable.contains_key(zone)) {
            (true, false) => {
                let outage = UnreachableZone {
                    last_sign_at: observation.latest,
                    detected_at: now,
                };
                self.unreachable.insert(zone.to_string(), outage);
                Some(ZoneStatusChange::Unreachable)
            }
            (false, true) => {
                let outage = self.unreachable.remove(zone);
                let last_sign_at = outage.map_or(now, |outage| outage.last_sign_at);
                self.recovered.insert(zone.to_string(), now);
                Some(ZoneStatusChange::Recovered {
                    after_ms: now - last_sign_at,
                })
            }
            (true, true) | (false, false) => None,
        }
    }

    /// Replaces the observations; zones without machines are no longer counted as unreachable.
    pub fn replace_observations(&mut self, observations: BTreeMap<String, ZoneObservation>) {
        self.unreachable
            .retain(|zone, _| observations.contains_key(zone));
        self.observations = observations;
    }

    /// The last sign of life of a zone that is unreachable.
    pub fn unreachable_since(&self, zone: &str) -> Option<Millis> {
        self.unreachable.get(zone).map(|outage| outage.last_sign_at)
    }

    /// The same, once the zone has been known as unreachable for so long that peers would have reported
    /// otherwise: a controller that was itself partitioned takes what it reaches again for unreachable at first.
    pub fn confirmed_unreachable_since(&self, now: Millis, zone: &str) -> Option<Millis> {
        let outage = self.unreachable.get(zone)?;
        (now >= outage.detected_at + ZONE_CONFIRM_MS).then_some(outage.last_sign_at)
    }

    /// Whether any zone is unreachable.
    pub fn has_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// When a zone last recovered, if ever.
    pub fn recovered_at(&self, zone: &str) -> Option<Millis> {
        self.recovered.get(zone).copied()
    }

    /// Forgets outages: after a pause of this process the silence was its own.
    pub fn reset_after_pause(&mut self) {
        self.unreachable.clear();
        self.recovered.clear();
    }
}

#[cfg(test)]
mod tests;
