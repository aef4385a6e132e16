//! Zones that fall silent as a whole. Machines die one by one, or many at once, but not all of a
//! zone between two of their reports: then it is cut off, its machines run on, and a controller inside
//! goes on answering them. To delete them would end what the cut leaves alone.

use crate::constants::{
    PEER_HEARTBEAT_MS, PROBE_AFTER_MS, PROBE_FRESH_MS, ZONE_EVACUATION_MAX_WAIT_MS,
    ZONE_LATE_LEAST, ZONE_LATE_PART, ZONE_MIN_MACHINES, ZONE_MISSED_HEARTBEATS,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::scheduling::rescheduling::MigrationCandidate;
use crate::workers::observations::Liveness;
use crate::zones::failures::{Kind, Turn, Why};
use std::collections::BTreeMap;

/// What is heard of a zone's machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ZoneObservation {
    /// Machines that are up, of which some controller has ever heard.
    pub machines: u64,
    /// The latest sign of life of any of them.
    pub latest: Millis,
    /// Machines whose next report is overdue.
    pub overdue: u64,
}

impl ZoneObservation {
    /// Whether its silence says more than that of its machines one by one.
    fn tells(&self) -> bool {
        self.machines >= ZONE_MIN_MACHINES
    }

    /// Whether enough of its machines are late themselves. After a start or an outage they report in
    /// step, and then none does for most of the time between two reports.
    fn late(&self) -> bool {
        self.overdue >= (self.machines / ZONE_LATE_PART).max(ZONE_LATE_LEAST)
    }

    /// Milliseconds without a sign after which it counts as cut off: so many reports would have
    /// come in meanwhile that chance is no explanation.
    fn patience(&self, report_ms: Millis) -> Millis {
        let overdue = report_ms * 5 / 4;
        let many = report_ms * ZONE_MISSED_HEARTBEATS / self.machines.max(1);
        2 * PEER_HEARTBEAT_MS + overdue.min(many)
    }
}

/// Why machines of lost zones are ended.
const ZONE_REASONS: [Why; 5] = [Why::Unseen, Why::Dead, Why::Due, Why::Late, Why::Given];

/// What one walk over the machines that are up tells.
#[derive(Debug, Default)]
pub(crate) struct MachineSurvey {
    pub zones: BTreeMap<String, ZoneObservation>,
    /// Machines that are up.
    pub up: usize,
    /// Those that no controller is known to have heard for long, and milliseconds since.
    pub unheard: Vec<(String, Millis)>,
    /// Those that report here, and which of them are overdue.
    pub here: usize,
    pub late_here: Vec<String>,
}

impl Controller {
    /// The latest sign of life of a machine that any controller is known to have had, if any: a heartbeat
    /// or an answer to a direct command.
    pub(crate) fn last_sign(&self, id: &str) -> Option<Millis> {
        self.liveness(id).latest()
    }

    /// Goes once through the machines that are up.
    pub(crate) fn survey_machines(&self) -> MachineSurvey {
        let due = self.settings.report_due_ms();
        let (limit, quick) = (self.unheard_limit_ms(), due + PROBE_AFTER_MS);
        let mut survey = MachineSurvey::default();
        for (id, m, _) in self.cache.machines().filter(|(_, m, _)| m.is_up()) {
            let sight = self.liveness(id);
            if let Some(at) = sight.latest() {
                if !survey.zones.contains_key(&m.zone) {
                    survey
                        .zones
                        .insert(m.zone.clone(), ZoneObservation::default());
                }
                if let Some(zone) = survey.zones.get_mut(&m.zone) {
                    zone.machines += 1;
                    zone.latest = zone.latest.max(at);
                    zone.overdue += u64::from(self.now > at + due);
                }
            }
            survey.up += 1;
            let silence = self.silence_of(&sight);
            if silence > limit {
                survey.unheard.push((id.to_string(), silence));
            }
            let here = sight.own.filter(|h| h.at >= self.lifecycle.resumed_at);
            if let Some(h) = here.filter(|_| sight.reports_here()) {
                survey.here += 1;
                if self.now - h.at > quick {
                    survey.late_here.push(id.to_string());
                }
            }
        }
        survey
    }

    /// Notes which zones are silent as a whole.
    pub(crate) fn detect_zone_failures(&mut self, signs: BTreeMap<String, ZoneObservation>) {
        for (zone, s) in &signs {
            // After a pause, or a start, the silence may be this controller's own. A zone that was
            // found silent stays so, however few of its machines are left, until it is heard.
            let begins =
                s.tells() && s.late() && self.now > s.latest + s.patience(self.settings.report_ms);
            let since = self.zones.unreachable_since(zone);
            let lasts = since.is_some_and(|heard| s.latest <= heard);
            let quiet = self.has_heard_full_round() && (begins || lasts);
            match self.zones.judged(self.now, zone, s, quiet) {
                Some(Turn::Lost) => {
                    let (machines, kind) = (s.machines, self.failure_kind(zone));
                    tracing::info!(zone, machines, ?kind, "silent as a whole: cut off");
                }
                Some(Turn::Back { ms }) => {
                    tracing::info!(zone, ms, "heard again");
                    self.spare_recovered(zone);
                }
                None => {}
            }
        }
        self.zones.keep(signs);
    }

    /// What a silent zone most likely is: told by whether its controllers are heard.
    pub(crate) fn failure_kind(&self, zone: &str) -> Kind {
        let there = self
            .settings
            .controller_zones
            .iter()
            .filter(|(_, z)| *z == zone);
        let mut there = there.peekable();
        if there.peek().is_none() {
            return Kind::Alone;
        }
        let me = &self.settings.controller;
        let heard =
            |controller: &String| controller == me || self.peers.serves(self.now, controller);
        match there.all(|(controller, _)| heard(controller)) {
            true => Kind::Dead,
            false => Kind::Inside,
        }
    }

    /// The zone is heard again: what was to be ended there for its silence, and is not yet on
    /// record, is left.
    fn spare_recovered(&mut self, zone: &str) {
        let cache = &self.cache;
        self.workers.marked_for_termination.retain(|id, why| {
            let there = cache.machine(id).is_some_and(|m| m.zone == zone);
            !(there && ZONE_REASONS.iter().any(|w| w.name() == *why))
        });
    }

    /// Whether a machine's silence is its own: others of its zone have been heard since a command
    /// to it failed. Of a zone with few machines that says nothing; and after a cut its machines have
    /// time to find a controller.
    pub(crate) fn is_machine_silence(&self, zone: &str, failed_at: Millis) -> bool {
        let quiet = self.is_zone_unreachable(zone);
        if quiet {
            // See `lost`: it is decided by what it holds.
            return false;
        }
        let Some(signs) = (self.zones.signs.get(zone)).filter(|s| s.tells()) else {
            return true;
        };
        let back = self.zones.back_at(zone);
        if back.is_some_and(|at| self.now < at + self.worker_failover_ms()) {
            return false;
        }
        signs.latest > failed_at || self.now > signs.latest + ZONE_EVACUATION_MAX_WAIT_MS
    }

    pub(crate) fn is_zone_unreachable(&self, zone: &str) -> bool {
        self.settings.checks.zones && self.zones.unreachable_since(zone).is_some()
    }

    /// Whether a machine has answered a direct command after its heartbeat was overdue: its reports reach no
    /// controller, and its lease ends with all that it runs, unless it finds one in time. A peer that is not
    /// heard may well hear it.
    pub(crate) fn is_outbound_lost(&self, sight: &Liveness) -> bool {
        let overdue = self.settings.report_due_ms() + PROBE_AFTER_MS;
        let late = |at: Millis| sight.of.answered.is_some_and(|a| a > at + overdue);
        self.settings.checks.mute && sight.last_heartbeat_at().is_some_and(late) && self.hears_all()
    }

    /// Whether a machine has answered a direct command lately: a halt reaches it, and its answer shows what has
    /// ended, also where its reports reach nobody.
    pub(crate) fn answers(&self, id: &str) -> bool {
        let of = self.workers.observations.of(id);
        let lately = of
            .answered
            .is_some_and(|at| self.now < at + 2 * PROBE_FRESH_MS);
        lately && of.silent_since().is_none()
    }

    /// Whether every peer is heard, and so all that any controller hears of machines.
    fn hears_all(&self) -> bool {
        self.fresh_peers().count() + 1 == self.settings.controllers.len()
    }

    /// Services' tasks on machines that are mute are moved when half of their lease is over: later they
    /// would end with it. Not where so many are that it is rather the controllers that workers do not reach.
    pub(crate) fn services_on_mute_workers(&self) -> Vec<MigrationCandidate> {
        let half = self.settings.lease_ms / 2;
        let lapses = |sight: &Liveness| {
            let heard = sight
                .last_heartbeat_at()
                .is_some_and(|at| self.now >= at + half);
            heard && self.is_outbound_lost(sight) && sight.of.silent_since().is_none()
        };
        let mut up = 0;
        let mut mute = Vec::new();
        for (id, m, _) in self.cache.machines().filter(|(_, m, _)| m.is_up()) {
            up += 1;
            if !self.is_zone_unreachable(&m.zone) && lapses(&self.liveness(id)) {
                mute.push(id);
            }
        }
        if mute.len() * 3 > up || !self.has_heard_full_round() {
            return Vec::new();
        }
        let of = mute.into_iter().flat_map(|id| self.moves_off(id));
        of.collect()
    }

    /// Whether work may be placed on a machine, or room made on it: it was heard lately, has answered
    /// since it last failed to, and its zone is not cut off. That it reports does not show that it hears.
    pub(crate) fn reachable(&self, id: &str, zone: &str) -> bool {
        self.reachable_by(&self.liveness(id), zone)
    }

    pub(crate) fn reachable_by(&self, sight: &Liveness, zone: &str) -> bool {
        self.recently_heard_of(sight)
            && !self.is_outbound_lost(sight)
            && !self.is_zone_unreachable(zone)
            && (!self.settings.checks.heard_peers || sight.of.silent_since().is_none())
    }
}

#[cfg(test)]
mod tests;
