//! Outages of zones, and the decision whether to delete a machine in an unreachable zone.
//!
//! An unreachable zone (see `detector`) is partitioned, or its machines are down. A machine that is kept may
//! resume its tasks when the zone recovers. A machine that is deleted releases its tasks: they are placed elsewhere
//! only after the cloud has confirmed the deletion, so a wrong decision wastes work but violates no invariant.

use crate::constants::{
    START_DURATION_MS, ZONE_ABANDON_MS, ZONE_CONFIRM_MS, ZONE_DEAD_MS, ZONE_EVACUATION_MAX_WAIT_MS,
    ZONE_LEASE_MARGIN_MS, ZONE_RECOVERY_MARGIN_MS,
};
use crate::model::{JobPriority, Millis, WallMs};
use crate::tuning::Tuning;
use crate::zones::detector::ZoneObservation;
use std::collections::BTreeMap;

/// The most likely kind of a zone's outage, by the reachability of its controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneFailureKind {
    /// A controller in the zone is unreachable as well. It may renew the leases of the zone's workers.
    WithControllers,
    /// No controller is in the zone. Its tasks end when the leases of their workers expire.
    WithoutControllers,
    /// All controllers in the zone are reachable, but none of its machines, so the machines are down.
    MachinesOnly,
}

/// The outage of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOutage {
    pub kind: ZoneFailureKind,
    /// Milliseconds since the last contact with the zone.
    pub duration_ms: Millis,
}

/// A task that is assigned to a machine in an unreachable zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationTask {
    /// Priority of its job.
    pub priority: JobPriority,
    /// Whether its job is a service.
    pub is_service: bool,
    /// Whether its start was in flight when the zone became unreachable, so that it most likely does not run.
    pub start_in_flight: bool,
    /// Whether its job allows another zone and there is capacity, or soon will be.
    pub fits_elsewhere: bool,
    /// Deadlines of its job in wall-clock time, in ascending order.
    pub deadlines: Vec<WallMs>,
    /// Expected run time in milliseconds.
    pub run_ms: Millis,
}

/// The reason to delete a machine in an unreachable zone. If several apply, the first one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvacuationReason {
    /// The starts of all its tasks were in flight when the zone became unreachable.
    StartsInFlight,
    /// Its tasks have ended, because its lease has expired or the zone's machines are down.
    TasksEnded,
    /// A deadline can be met elsewhere, but most likely not by waiting for the zone to recover.
    DeadlineAtRisk,
    /// The deadlines of a task are missed in any case, and the outage has exceeded the waiting time.
    WaitedLongEnough,
    /// No task would be lost, and the outage has lasted for minutes.
    OutageForMinutes,
}

impl EvacuationReason {
    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            EvacuationReason::StartsInFlight => {
                "zone unreachable, task starts most likely not received"
            }
            EvacuationReason::TasksEnded => "zone unreachable, tasks ended",
            EvacuationReason::DeadlineAtRisk => {
                "zone unreachable, deadline can be met only elsewhere"
            }
            EvacuationReason::WaitedLongEnough => {
                "zone unreachable, tasks late and waiting time exceeded"
            }
            EvacuationReason::OutageForMinutes => "zone unreachable for minutes",
        }
    }
}

/// Returns the reason to delete a machine in an unreachable zone, if there is one. It depends on the machine's
/// tasks, the duration of the outage and the capacity elsewhere. `wall_time` is the current wall-clock time.
pub fn evacuation_reason(
    outage: &ZoneOutage,
    work: &[EvacuationTask],
    lease_ms: Millis,
    tuning: &Tuning,
    wall_time: WallMs,
) -> Option<EvacuationReason> {
    let duration_ms = outage.duration_ms;
    if !work.iter().any(|task| task.fits_elsewhere) {
        let has_no_running_task = work.is_empty() || outage.kind == ZoneFailureKind::MachinesOnly;
        return (has_no_running_task && duration_ms > ZONE_EVACUATION_MAX_WAIT_MS)
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
    // Services in the zone may still serve users there, so deleting them would cause the outage.
    let is_running_service = |task: &EvacuationTask| task.is_service && !task.start_in_flight;
    if work.iter().any(is_running_service) {
        return None;
    }
    work.iter()
        .filter(|task| task.fits_elsewhere && !task.is_service)
        .filter_map(|task| batch_evacuation_reason(duration_ms, task, tuning, wall_time))
        .min()
}

/// Returns the reason to restart a batch task elsewhere rather than to wait for the zone to recover, if there is one.
fn batch_evacuation_reason(
    duration_ms: Millis,
    task: &EvacuationTask,
    tuning: &Tuning,
    wall_time: WallMs,
) -> Option<EvacuationReason> {
    // Estimates that the outage lasts as long again as it has lasted. Without prior knowledge of its duration this
    // is the median estimate.
    let expected_recovery_at = wall_time + duration_ms;
    let done_elsewhere_at = wall_time + START_DURATION_MS + task.run_ms;
    let next_deadline = task.deadlines.iter().find(|at| done_elsewhere_at <= **at);
    match next_deadline {
        Some(deadline) => (expected_recovery_at + ZONE_RECOVERY_MARGIN_MS > *deadline)
            .then_some(EvacuationReason::DeadlineAtRisk),
        // The task is late in any case, so it is restarted only after a longer outage.
        None => (duration_ms > tuning.zone_overdue_work_ms.max(2 * task.run_ms))
            .then_some(EvacuationReason::WaitedLongEnough),
    }
}

/// An unreachable zone.
#[derive(Clone, Copy, Debug)]
struct UnreachableZone {
    /// The last contact with the zone.
    last_contact_at: Millis,
    /// When the zone was detected as unreachable.
    detected_at: Millis,
}

/// Tracks observations and outages of the site's zones.
#[derive(Debug, Default)]
pub(crate) struct ZoneTracker {
    /// The last observation of each zone with machines that are up.
    pub(super) observations: BTreeMap<String, ZoneObservation>,
    unreachable: BTreeMap<String, UnreachableZone>,
    /// The last recovery of each zone.
    recovered: BTreeMap<String, Millis>,
    /// When an evacuation was last planned.
    pub(super) evacuation_checked_at: Millis,
}

/// A change of a zone's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneStatusChange {
    Unreachable,
    Recovered {
        /// Milliseconds from the last contact before the outage until the recovery.
        after_ms: Millis,
    },
}

impl ZoneTracker {
    /// Records whether a zone is unreachable. Returns the change if the status has changed.
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
                    last_contact_at: observation.last_contact_at,
                    detected_at: now,
                };
                self.unreachable.insert(zone.to_string(), outage);
                Some(ZoneStatusChange::Unreachable)
            }
            (false, true) => {
                let outage = self.unreachable.remove(zone);
                let last_contact_at = outage.map_or(now, |outage| outage.last_contact_at);
                self.recovered.insert(zone.to_string(), now);
                Some(ZoneStatusChange::Recovered {
                    after_ms: now - last_contact_at,
                })
            }
            (true, true) | (false, false) => None,
        }
    }

    /// Replaces the observations. Zones without machines no longer count as unreachable.
    pub fn replace_observations(&mut self, observations: BTreeMap<String, ZoneObservation>) {
        self.unreachable
            .retain(|zone, _| observations.contains_key(zone));
        self.observations = observations;
    }

    /// Returns the last contact with a zone if the zone is unreachable.
    pub fn unreachable_since(&self, zone: &str) -> Option<Millis> {
        self.unreachable
            .get(zone)
            .map(|outage| outage.last_contact_at)
    }

    /// Returns the last contact with a zone once it has been unreachable for `ZONE_CONFIRM_MS`. Within that time
    /// peers that reach the zone would have reported its machines: a controller that was itself partitioned first
    /// regards zones as unreachable although it reaches them again.
    pub fn confirmed_unreachable_since(&self, now: Millis, zone: &str) -> Option<Millis> {
        let outage = self.unreachable.get(zone)?;
        (now >= outage.detected_at + ZONE_CONFIRM_MS).then_some(outage.last_contact_at)
    }

    /// Returns whether any zone is unreachable.
    pub fn has_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns when a zone last recovered, if it ever did.
    pub fn recovered_at(&self, zone: &str) -> Option<Millis> {
        self.recovered.get(zone).copied()
    }

    /// Resets the outages after a pause of this process, which caused the silence.
    pub fn reset_after_pause(&mut self) {
        self.unreachable.clear();
        self.recovered.clear();
    }
}

#[cfg(test)]
mod tests;
