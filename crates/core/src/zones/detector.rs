//! Detection of zones whose machines all fall silent. Machine failures, also correlated ones, do not silence all
//! machines of a zone within one heartbeat interval, but a partition does: the machines continue to run, and a
//! controller inside the zone replies to their heartbeats. Deleting them would end tasks that the partition leaves
//! running.

use crate::constants::{
    PEER_HEARTBEAT_INTERVAL_MS, PROBE_DELAY_MS, PROBE_VALIDITY_MS, ZONE_EVACUATION_MAX_WAIT_MS,
    ZONE_MIN_MACHINES, ZONE_MISSED_HEARTBEATS, ZONE_OVERDUE_DIVISOR, ZONE_OVERDUE_MIN_MACHINES,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::scheduling::rescheduling::MigrationCandidate;
use crate::workers::observations::Liveness;
use crate::workers::termination::TerminationReason;
use crate::zones::failures::{ZoneFailureKind, ZoneStatusChange};
use std::collections::BTreeMap;

/// The last contact with the machines of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ZoneObservation {
    /// Number of machines that are up and with which there has been contact.
    pub machines: u64,
    /// The latest contact with any of them.
    pub last_contact_at: Millis,
    /// Number of machines whose next heartbeat is overdue.
    pub overdue: u64,
}

impl ZoneObservation {
    /// Returns whether the zone has enough machines to distinguish its silence from that of single machines.
    fn is_significant(&self) -> bool {
        self.machines >= ZONE_MIN_MACHINES
    }

    /// Returns whether enough machines are overdue. After a start or an outage the machines send their heartbeats
    /// in step, so that none arrives for most of the interval although none is overdue.
    fn has_enough_overdue(&self) -> bool {
        self.overdue >= (self.machines / ZONE_OVERDUE_DIVISOR).max(ZONE_OVERDUE_MIN_MACHINES)
    }

    /// Returns the milliseconds without contact after which the zone counts as unreachable. Within that time, each
    /// machine is overdue or `ZONE_MISSED_HEARTBEATS` heartbeats are expected from the zone, so that their absence
    /// is not due to chance.
    fn silence_limit_ms(&self, report_ms: Millis) -> Millis {
        let each_overdue_ms = report_ms * 5 / 4;
        let enough_missed_ms = report_ms * ZONE_MISSED_HEARTBEATS / self.machines.max(1);
        2 * PEER_HEARTBEAT_INTERVAL_MS + each_overdue_ms.min(enough_missed_ms)
    }
}

/// A machine without contact for longer than a worker needs to switch to another controller.
#[derive(Debug)]
pub(crate) struct SilentMachine {
    pub machine: String,
    /// Milliseconds since the last contact with it.
    pub silence_ms: Millis,
}

/// The result of one pass over the machines that are up.
#[derive(Debug, Default)]
pub(crate) struct MachineSurvey {
    /// Observations by zone.
    pub zones: BTreeMap<String, ZoneObservation>,
    /// Number of machines that are up.
    pub up: usize,
    /// Machines without contact for longer than a worker needs to switch to another controller.
    pub silent: Vec<SilentMachine>,
    /// Number of machines that send their heartbeats to this controller.
    pub reporting_here: usize,
    /// Machines that send their heartbeats to this controller and whose heartbeat is overdue.
    pub overdue_here: Vec<String>,
}

impl Controller {
    /// Returns the time of the last known contact of any controller with a machine: a heartbeat or a response to a
    /// direct command.
    pub(crate) fn last_contact_at(&self, id: &str) -> Option<Millis> {
        self.liveness(id).last_contact_at()
    }

    /// Surveys all machines that are up in a single pass.
    pub(crate) fn survey_machines(&self) -> MachineSurvey {
        let due_ms = self.settings.heartbeat_due_ms();
        let (silence_limit_ms, overdue_limit_ms) =
            (self.worker_silence_limit_ms(), due_ms + PROBE_DELAY_MS);
        let mut survey = MachineSurvey::default();
        for (id, machine, _) in self.cache.machines().filter(|(_, m, _)| m.is_up()) {
            let liveness = self.liveness(id);
            if let Some(at) = liveness.last_contact_at() {
                // Copies the zone's name only for a new zone.
                if !survey.zones.contains_key(&machine.zone) {
                    let zone = ZoneObservation::default();
                    survey.zones.insert(machine.zone.clone(), zone);
                }
                if let Some(zone) = survey.zones.get_mut(&machine.zone) {
                    zone.machines += 1;
                    zone.last_contact_at = zone.last_contact_at.max(at);
                    zone.overdue += u64::from(self.now > at + due_ms);
                }
            }
            survey.up += 1;
            let silence_ms = self.silence_ms_of(&liveness);
            if silence_ms > silence_limit_ms {
                let machine = id.to_string();
                survey.silent.push(SilentMachine {
                    machine,
                    silence_ms,
                });
            }
            let received = liveness.received;
            let received = received.filter(|heartbeat| heartbeat.at >= self.lifecycle.resumed_at);
            if let Some(heartbeat) = received.filter(|_| liveness.reports_here()) {
                survey.reporting_here += 1;
                if self.now - heartbeat.at > overdue_limit_ms {
                    survey.overdue_here.push(id.to_string());
                }
            }
        }
        survey
    }

    /// Updates which zones are unreachable, from their observations.
    pub(crate) fn detect_zone_failures(&mut self, observations: BTreeMap<String, ZoneObservation>) {
        for (zone, observed) in &observations {
            let limit_ms = observed.silence_limit_ms(self.settings.heartbeat_interval_ms);
            let begins = observed.is_significant()
                && observed.has_enough_overdue()
                && self.now > observed.last_contact_at + limit_ms;
            // A zone remains unreachable until there is contact with one of its machines, even if only a few
            // machines remain.
            let since = self.zones.unreachable_since(zone);
            let continues =
                since.is_some_and(|last_contact_at| observed.last_contact_at <= last_contact_at);
            // After a start or a pause, a round of heartbeats must pass first: the silence may be due to this
            // controller.
            let is_unreachable = self.has_completed_heartbeat_round() && (begins || continues);
            let change = (self.zones).update_status(self.now, zone, observed, is_unreachable);
            match change {
                Some(ZoneStatusChange::Unreachable) => {
                    let (machines, failure) = (observed.machines, self.failure_kind(zone));
                    tracing::info!(zone, machines, ?failure, "zone unreachable");
                }
                Some(ZoneStatusChange::Recovered { after_ms }) => {
                    tracing::info!(zone, duration_ms = after_ms, "zone reachable again");
                    self.unmark_recovered(zone);
                }
                None => {}
            }
        }
        self.zones.replace_observations(observations);
    }

    /// Returns the most likely kind of a zone's outage, by whether heartbeats of peers in the zone still arrive.
    pub(crate) fn failure_kind(&self, zone: &str) -> ZoneFailureKind {
        let controllers = self.settings.controller_zones.iter();
        let mut in_zone = controllers.filter(|(_, z)| *z == zone).peekable();
        if in_zone.peek().is_none() {
            return ZoneFailureKind::WithoutControllers;
        }
        let own = &self.settings.controller;
        let reachable =
            |controller: &String| controller == own || self.peers.is_heard(self.now, controller);
        match in_zone.all(|(controller, _)| reachable(controller)) {
            true => ZoneFailureKind::MachinesOnly,
            false => ZoneFailureKind::WithControllers,
        }
    }

    /// Unmarks machines of a recovered zone that were to be deleted because of its outage, unless the deletion is
    /// already recorded.
    fn unmark_recovered(&mut self, zone: &str) {
        let cache = &self.cache;
        self.workers.marked_for_termination.retain(|id, mark| {
            let in_zone = cache.machine(id).is_some_and(|m| m.zone == zone);
            !(in_zone && matches!(mark.reason, TerminationReason::ZoneEvacuation(_)))
        });
    }

    /// Returns whether only the machine is silent, and not its zone: there was contact with others of the zone after
    /// a command to the machine failed. In a zone with few machines the silence always counts as the machine's.
    /// After a partition, the zone's machines get time to switch to a reachable controller.
    pub(crate) fn is_single_machine_silence(&self, zone: &str, failed_at: Millis) -> bool {
        if self.is_zone_unreachable(zone) {
            // `evacuation` decides by the tasks of the machine.
            return false;
        }
        let observed = self.zones.observations.get(zone);
        let Some(observed) = observed.filter(|observed| observed.is_significant()) else {
            return true;
        };
        let recovered_at = self.zones.recovered_at(zone);
        if recovered_at.is_some_and(|at| self.now < at + self.worker_failover_ms()) {
            return false;
        }
        observed.last_contact_at > failed_at
            || self.now > observed.last_contact_at + ZONE_EVACUATION_MAX_WAIT_MS
    }

    /// Returns whether a zone counts as unreachable.
    pub(crate) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.settings.checks.zone_reachability && self.zones.unreachable_since(zone).is_some()
    }

    /// Returns whether a machine responded to a direct command after its heartbeat was overdue. Then its
    /// heartbeats reach no controller, and its lease and its tasks end unless it reaches one in time. While a peer
    /// is unreachable this is not known, as the heartbeats may reach that peer.
    pub(crate) fn is_outbound_lost(&self, liveness: &Liveness) -> bool {
        let overdue_ms = self.settings.heartbeat_due_ms() + PROBE_DELAY_MS;
        let answered_when_overdue = |heartbeat_at: Millis| {
            let answered_at = liveness.observation.answered_at;
            answered_at.is_some_and(|at| at > heartbeat_at + overdue_ms)
        };
        self.settings.checks.heartbeat_reachability
            && liveness
                .last_heartbeat_at()
                .is_some_and(answered_when_overdue)
            && self.all_peers_reachable()
    }

    /// Returns whether a machine responded to a direct command recently and to each one since. Then a stop
    /// reaches it, and its response reports ended tasks even if its heartbeats reach no controller.
    pub(crate) fn answers_commands(&self, id: &str) -> bool {
        let observation = self.workers.observations.get(id);
        let answered_at = observation.answered_at;
        let answered_recently = answered_at.is_some_and(|at| self.now < at + 2 * PROBE_VALIDITY_MS);
        answered_recently && observation.silent_since().is_none()
    }

    /// Returns whether every peer is reachable, so that this controller knows the heartbeats that any controller
    /// received.
    fn all_peers_reachable(&self) -> bool {
        self.live_peers().count() + 1 == self.settings.controllers.len()
    }

    /// Returns migrations of service tasks off machines whose outbound connection is lost, once half of their lease
    /// has passed. Without the migration the tasks end with the lease. Returns none if more than a third of all
    /// machines are affected, since then the controllers are the more likely cause.
    pub(crate) fn service_migrations_off_outbound_lost(&self) -> Vec<MigrationCandidate> {
        let half_lease_ms = self.settings.lease_ms / 2;
        let lease_at_risk = |liveness: &Liveness| {
            let last_heartbeat_at = liveness.last_heartbeat_at();
            last_heartbeat_at.is_some_and(|at| self.now >= at + half_lease_ms)
                && self.is_outbound_lost(liveness)
                && liveness.observation.silent_since().is_none()
        };
        let mut up = 0;
        let mut outbound_lost = Vec::new();
        for (id, machine, _) in self.cache.machines().filter(|(_, m, _)| m.is_up()) {
            up += 1;
            if !self.is_zone_unreachable(&machine.zone) && lease_at_risk(&self.liveness(id)) {
                outbound_lost.push(id);
            }
        }
        if outbound_lost.len() * 3 > up || !self.has_completed_heartbeat_round() {
            return Vec::new();
        }
        let machines = outbound_lost.into_iter();
        machines.flat_map(|id| self.migrations_off(id)).collect()
    }

    /// Returns whether tasks may be placed or preempted on a machine: it sent a heartbeat recently, responded
    /// to a direct command since one last got no response, and its zone is reachable. Heartbeats alone do not show
    /// that commands reach the machine.
    pub(crate) fn is_reachable(&self, id: &str, zone: &str) -> bool {
        self.is_reachable_with(&self.liveness(id), zone)
    }

    /// Returns the result of `is_reachable` for a machine whose liveness was already looked up.
    pub(crate) fn is_reachable_with(&self, liveness: &Liveness, zone: &str) -> bool {
        self.has_recent_heartbeat_of(liveness)
            && !self.is_outbound_lost(liveness)
            && !self.is_zone_unreachable(zone)
            && (!self.settings.checks.command_reachability
                || liveness.observation.silent_since().is_none())
    }
}

#[cfg(test)]
mod tests;
