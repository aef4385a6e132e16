//! Detection of zones that fall silent as a whole. Machines fail one by one, or many at once, but not all of a
//! zone between two of their heartbeats: then the zone is partitioned, its machines run on, and a controller
//! inside goes on answering them. To delete them would end what the partition leaves alone.

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

/// Signs of life of a zone's machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ZoneObservation {
    /// Machines that are up, that have ever given a sign of life.
    pub machines: u64,
    /// The latest sign of life of any of them.
    pub latest: Millis,
    /// Machines whose next heartbeat is overdue.
    pub overdue: u64,
}

impl ZoneObservation {
    /// Whether it has so many machines that its silence says more than that of its machines one by one.
    fn is_significant(&self) -> bool {
        self.machines >= ZONE_MIN_MACHINES
    }

    /// Whether enough of its machines are overdue themselves. After a start or an outage they send their
    /// heartbeats in step, and then none comes for most of the interval.
    fn has_enough_overdue(&self) -> bool {
        self.overdue >= (self.machines / ZONE_OVERDUE_DIVISOR).max(ZONE_OVERDUE_MIN_MACHINES)
    }

    /// Milliseconds without a sign of life after which it counts as unreachable: so many heartbeats would
    /// have come meanwhile that chance is no explanation.
    fn silence_limit_ms(&self, report_ms: Millis) -> Millis {
        let overdue = report_ms * 5 / 4;
        let many = report_ms * ZONE_MISSED_HEARTBEATS / self.machines.max(1);
        2 * PEER_HEARTBEAT_INTERVAL_MS + overdue.min(many)
    }
}

/// A machine without a sign of life for long.
#[derive(Debug)]
pub(crate) struct SilentMachine {
    pub machine: String,
    /// Milliseconds since its last sign of life.
    pub silence_ms: Millis,
}

/// What one pass over the machines that are up shows.
#[derive(Debug, Default)]
pub(crate) struct MachineSurvey {
    /// Signs of life by zone.
    pub zones: BTreeMap<String, ZoneObservation>,
    /// Machines that are up.
    pub up: usize,
    /// Machines without a sign of life for longer than a worker needs to find another controller.
    pub silent: Vec<SilentMachine>,
    /// Number of machines that report to this controller.
    pub reporting_here: usize,
    /// Those of them whose heartbeat is overdue.
    pub overdue_here: Vec<String>,
}

impl Controller {
    /// The latest sign of life of a machine that any controller is known to have had, if any: a heartbeat
    /// or an answer to a direct command.
    pub(crate) fn last_sign(&self, id: &str) -> Option<Millis> {
        self.liveness(id).last_sign_of_life_at()
    }

    /// Looks once at all machines that are up.
    pub(crate) fn survey_machines(&self) -> MachineSurvey {
        let due = self.settings.heartbeat_due_ms();
        let (limit, overdue_limit) = (self.worker_silence_limit_ms(), due + PROBE_DELAY_MS);
        let mut survey = MachineSurvey::default();
        for (id, machine, _) in self.cache.machines().filter(|(_, m, _)| m.is_up()) {
            let liveness = self.liveness(id);
            if let Some(at) = liveness.last_sign_of_life_at() {
                // Names are only copied for zones that are new.
                if !survey.zones.contains_key(&machine.zone) {
                    let zone = ZoneObservation::default();
                    survey.zones.insert(machine.zone.clone(), zone);
                }
                if let Some(zone) = survey.zones.get_mut(&machine.zone) {
                    zone.machines += 1;
                    zone.latest = zone.latest.max(at);
                    zone.overdue += u64::from(self.now > at + due);
                }
            }
            survey.up += 1;
            let silence_ms = self.silence_ms_of(&liveness);
            if silence_ms > limit {
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
                if self.now - heartbeat.at > overdue_limit {
                    survey.overdue_here.push(id.to_string());
                }
            }
        }
        survey
    }

    /// Notes which zones are unreachable as a whole.
    pub(crate) fn detect_zone_failures(&mut self, observations: BTreeMap<String, ZoneObservation>) {
        for (zone, observed) in &observations {
            let limit_ms = observed.silence_limit_ms(self.settings.heartbeat_interval_ms);
            let begins = observed.is_significant()
                && observed.has_enough_overdue()
                && self.now > observed.latest + limit_ms;
            // An unreachable zone stays so, however few of its machines are left, until one of them gives a
            // sign of life.
            let since = self.zones.unreachable_since(zone);
            let lasts = since.is_some_and(|last_sign_at| observed.latest <= last_sign_at);
            // After a pause, or a start, the silence may be this controller's own.
            let is_unreachable = self.has_heard_full_round() && (begins || lasts);
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

    /// What an outage of a zone most likely is, by whether the controllers in it are reachable.
    pub(crate) fn failure_kind(&self, zone: &str) -> ZoneFailureKind {
        let controllers = self.settings.controller_zones.iter();
        let mut inside = controllers.filter(|(_, z)| *z == zone).peekable();
        if inside.peek().is_none() {
            return ZoneFailureKind::WithoutControllers;
        }
        let own = &self.settings.controller;
        let reachable =
            |controller: &String| controller == own || self.peers.serves(self.now, controller);
        match inside.all(|(controller, _)| reachable(controller)) {
            true => ZoneFailureKind::MachinesOnly,
            false => ZoneFailureKind::WithControllers,
        }
    }

    /// Keeps machines of a zone that has recovered, if they were to be deleted for its outage and that is
    /// not recorded yet.
    fn unmark_recovered(&mut self, zone: &str) {
        let cache = &self.cache;
        self.workers.marked_for_termination.retain(|id, reason| {
            let inside = cache.machine(id).is_some_and(|m| m.zone == zone);
            !(inside && matches!(reason, TerminationReason::ZoneEvacuation(_)))
        });
    }

    /// Whether a machine's silence is its own: others of its zone have given a sign of life since a command
    /// to it failed. That says nothing in a zone with few machines; and after a partition a zone's machines
    /// get time to find a controller.
    pub(crate) fn is_machine_silence(&self, zone: &str, failed_at: Millis) -> bool {
        if self.is_zone_unreachable(zone) {
            // `evacuation` decides by what the machine holds.
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
        observed.latest > failed_at || self.now > observed.latest + ZONE_EVACUATION_MAX_WAIT_MS
    }

    /// Whether a zone counts as unreachable as a whole.
    pub(crate) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.settings.checks.zone_reachability && self.zones.unreachable_since(zone).is_some()
    }

    /// Whether a machine has answered a direct command after its heartbeat was overdue: its heartbeats reach
    /// no controller, and its lease expires with all that it runs, unless it finds one in time. They may well
    /// reach a peer that is unreachable from here.
    pub(crate) fn is_outbound_lost(&self, liveness: &Liveness) -> bool {
        let overdue = self.settings.heartbeat_due_ms() + PROBE_DELAY_MS;
        let late = |at: Millis| {
            liveness
                .observation
                .answered_at
                .is_some_and(|a| a > at + overdue)
        };
        self.settings.checks.heartbeat_reachability
            && liveness.last_heartbeat_at().is_some_and(late)
            && self.all_peers_reachable()
    }

    /// Whether a machine has answered a direct command lately: a stop reaches it, and its answer shows what
    /// has ended, also where its heartbeats reach no controller.
    pub(crate) fn answers(&self, id: &str) -> bool {
        let observation = self.workers.observations.get(id);
        let answered_at = observation.answered_at;
        let lately = answered_at.is_some_and(|at| self.now < at + 2 * PROBE_VALIDITY_MS);
        lately && observation.silent_since().is_none()
    }

    /// Whether every peer is reachable, and with it what any controller knows of machines.
    fn all_peers_reachable(&self) -> bool {
        self.fresh_peers().count() + 1 == self.settings.controllers.len()
    }

    /// Migrations of services' tasks away from machines whose outbound connection is lost, once half of their
    /// lease is over: later they would end with it. None where that holds of so many machines that it is
    /// rather the controllers that workers do not reach.
    pub(crate) fn services_on_mute_workers(&self) -> Vec<MigrationCandidate> {
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
        if outbound_lost.len() * 3 > up || !self.has_heard_full_round() {
            return Vec::new();
        }
        let migrations = outbound_lost.into_iter();
        migrations.flat_map(|id| self.migrations_off(id)).collect()
    }

    /// Whether tasks may be placed on a machine, or preempted on it: it sent a heartbeat lately, has answered
    /// since it last failed to, and its zone is reachable. That its heartbeats arrive does not show that
    /// commands reach it.
    pub(crate) fn reachable(&self, id: &str, zone: &str) -> bool {
        self.reachable_by(&self.liveness(id), zone)
    }

    /// The same of a machine whose liveness was looked up already.
    pub(crate) fn reachable_by(&self, liveness: &Liveness, zone: &str) -> bool {
        self.has_recent_heartbeat_of(liveness)
            && !self.is_outbound_lost(liveness)
            && !self.is_zone_unreachable(zone)
            && (!self.settings.checks.command_reachability
                || liveness.observation.silent_since().is_none())
    }
}

#[cfg(test)]
mod tests;
