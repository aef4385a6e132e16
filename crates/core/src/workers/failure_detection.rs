//! Machines that fall silent, never come up, or idle: which are asked, and which are to be deleted.

use crate::constants::{
    BOOT_GIVE_UP, BOOT_SPARE_MS, CANCEL_DELETE_SHARE, CANCEL_UNCONFIRMED_MS, CONTROLLER_STAGGER_MS,
    MASS_SILENCE_FACTOR, PROBE_AFTER_MS, PROBE_FRESH_MS, SILENCE_MARGIN_MS, UNREACHABLE_PROBES_MAX,
    WORKER_FAILOVER_MS, ZONE_PROBES_MAX,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::state::{JobPhase, MachinePhase, MachineRecord};
use crate::workers::observations::{Liveness, MachineObservation};
use crate::zones::detector::MachineSurvey;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

impl Controller {
    /// When any controller last got a machine's heartbeat, as far as is known here. A machine that
    /// has just come up may have reported to a peer whose next heartbeat is still to come, so
    /// this counts from when it was first seen up here.
    pub(crate) fn last_heard_at(&self, sight: &Liveness) -> Millis {
        let seen = sight.of.up.unwrap_or(self.now);
        let own = sight.own.map_or(seen, |h| h.at.max(seen));
        own.max(sight.told.map_or(0, |t| t.at))
    }

    /// When any controller last got a heartbeat of it, if ever.
    pub(crate) fn last_worker_heartbeat(&self, id: &str) -> Option<Millis> {
        self.liveness(id).last_heartbeat_at()
    }

    /// Milliseconds without a sign of life of a machine: a heartbeat anywhere, or an answer to
    /// a direct command.
    fn silence(&self, id: &str) -> Millis {
        self.silence_of(&self.liveness(id))
    }

    pub(crate) fn silence_of(&self, sight: &Liveness) -> Millis {
        let answered = sight.of.answered.unwrap_or(0);
        self.now - self.last_heard_at(sight).max(answered)
    }

    /// Milliseconds in which a worker finds another controller: whichever a machine reported to, it is
    /// asked directly after that.
    pub(crate) fn unheard_limit_ms(&self) -> Millis {
        self.worker_failover_ms() + SILENCE_MARGIN_MS
    }

    /// Machines that are overdue, and whether each is given up when a question to it fails.
    ///
    /// One that reported here is quickly given up: its heartbeat is overdue, a direct command sent
    /// since has failed, and other machines that report here do so. A worker only turns to another
    /// controller when this one fails it, so there is no need to wait for that. Were most of them silent,
    /// this controller would be what is cut off.
    ///
    /// One that no controller is known to have heard for as long as a worker needs to find another is not
    /// given up soon if they are many, since then it is rather the network. When peers can't be
    /// reached, most machines are only heard by them; their answers tell those that live from those
    /// that don't.
    fn overdue(&self, survey: MachineSurvey) -> BTreeMap<String, bool> {
        let mut overdue = BTreeMap::new();
        let limit = self.unheard_limit_ms();
        if self.now - self.lifecycle.resumed_at >= limit + self.settings.report_ms {
            let patience = match survey.unheard.len() * 3 <= survey.up {
                true => limit,
                false => limit.max(self.settings.lease_ms) * MASS_SILENCE_FACTOR,
            };
            let given_up = |(id, silence)| (id, silence > patience);
            overdue.extend(survey.unheard.into_iter().map(given_up));
        }
        if survey.late_here.len() * 3 <= survey.here {
            overdue.extend(survey.late_here.into_iter().map(|id| (id, true)));
        }
        overdue
    }

    /// Milliseconds between a worker's last heartbeat at one controller and its first at another.
    pub(crate) fn worker_failover_ms(&self) -> Millis {
        WORKER_FAILOVER_MS + self.settings.report_due_ms()
    }

    pub(crate) fn recently_heard(&self, id: &str) -> bool {
        self.recently_heard_of(&self.liveness(id))
    }

    pub(crate) fn recently_heard_of(&self, sight: &Liveness) -> bool {
        self.now - self.last_heard_at(sight) < self.settings.report_ms * 5 / 2
    }

    /// Asks machines that have reported since they failed to answer whether they hear again.
    fn probe_unreachable_machines(&mut self) {
        let back = |(id, m, _): &(&str, &MachineRecord, u64)| {
            let sight = self.liveness(id);
            let since = sight.of.silent_since();
            m.is_up()
                && since.is_some_and(|at| sight.last_heartbeat_at() >= Some(at))
                && sight.of.may_be_asked(self.now)
                && !self.is_zone_unreachable(&m.zone)
        };
        let machines = self.cache.machines().filter(back);
        let ids: Vec<String> = machines
            .map(|(id, ..)| id.to_string())
            .take(UNREACHABLE_PROBES_MAX)
            .collect();
        for id in ids {
            self.workers.observations.note(&id).asked = Some(self.now);
            self.send_command(id, Vec::new());
        }
    }

    /// Finds machines to delete: silent ones, ones that never came up, idle ones, and ones
    /// that still hold a cancelled task when its time runs out.
    pub(crate) fn detect_machine_failures(&mut self) {
        let mut survey = self.survey_machines();
        self.detect_zone_failures(std::mem::take(&mut survey.zones));
        let overdue_ms = self.settings.report_due_ms() + PROBE_AFTER_MS;
        let mut asked_quiet: BTreeMap<String, usize> = BTreeMap::new();
        let mut overdue: Vec<(String, bool)> = self.overdue(survey).into_iter().collect();
        // Of a silent zone only a few are asked, each time others.
        overdue.shuffle(&mut self.rng);
        for (id, given_up) in overdue {
            let zone = self.cache.machine(&id).map_or("", |m| m.zone.as_str());
            let zone = zone.to_string();
            let MachineObservation {
                asked, unreached, ..
            } = self.workers.observations.of(&id);
            let heard = self.now - self.silence(&id);
            let failed = unreached
                .is_some_and(|at| at > heard + overdue_ms && self.now < at + PROBE_FRESH_MS);
            let failed_at = unreached.unwrap_or(0);
            let silent = failed && given_up && !self.may_be_partitioned(failed_at);
            if silent && self.is_machine_silence(&zone, failed_at) {
                self.mark_for_termination(&id, "silent, and not reached directly");
            } else if asked
                .is_none_or(|at| at < heard + overdue_ms || self.now >= at + PROBE_FRESH_MS)
            {
                if self.is_zone_unreachable(&zone) {
                    let asked = asked_quiet.entry(zone).or_default();
                    if *asked >= ZONE_PROBES_MAX {
                        continue;
                    }
                    *asked += 1;
                }
                self.workers.observations.note(&id).asked = Some(self.now);
                // No orders: only whether it answers.
                self.send_command(id, Vec::new());
            }
        }
        self.evacuate_failed_zones();
        self.probe_unreachable_machines();
        let mut condemned: Vec<(String, &'static str)> = Vec::new();
        let told = (self.settings.cancel_ms as f64 * CANCEL_DELETE_SHARE) as u64;
        for (job, counts) in self.cache.counted() {
            let untold = self.cache.ending(job);
            let after = if untold { CANCEL_UNCONFIRMED_MS } else { told };
            let stuck = self.cache.job(job).is_some_and(|j| {
                j.phase == JobPhase::Cancelled
                    && counts.assigned > 0
                    && self.wall > j.ended + self.settings.clock_off_ms + after
            });
            if stuck {
                let assigned = self.cache.chunks_of(job).flat_map(|(_, c)| c.assigned());
                for (_, b) in assigned.filter(|(_, b)| !untold || !self.is_spared(&b.machine)) {
                    condemned.push((b.machine.clone(), "it still holds a cancelled task"));
                }
            }
        }
        for (id, m, _) in self.cache.machines() {
            let of = self.workers.observations.note(id);
            let since = *of.known.get_or_insert(self.now);
            if m.is_up() {
                of.up.get_or_insert(self.now);
                if self.cache.assigned_tasks(id) == 0 {
                    let idle = *of.idle.get_or_insert(self.now);
                    let keep = match m.phase {
                        MachinePhase::Draining => 0,
                        _ => {
                            self.settings.idle_return_ms()
                                + self.settings.controller_index() * CONTROLLER_STAGGER_MS
                        }
                    };
                    if self.now - idle > keep {
                        condemned.push((id.to_string(), "nothing to do"));
                    }
                } else {
                    of.idle = None;
                }
            }
            if m.phase == MachinePhase::Booting
                && !self.recently_reported(id)
                && self.now - since > self.boot_patience(&m.type_name)
            {
                condemned.push((id.to_string(), "it never came up"));
            }
        }
        for (n, h, _) in self.cache.instance_requests() {
            let since = self
                .provisioning
                .request_known_since
                .get(n)
                .copied()
                .unwrap_or(self.now);
            if self.now - since > self.boot_patience(&h.type_name) {
                let instances = h.instances.iter().flatten();
                let missing = |id: &&String| self.on_its_way(id) && !self.recently_reported(id);
                for id in instances.filter(missing) {
                    condemned.push((id.clone(), "it never came up"));
                }
            }
        }
        for (id, why) in condemned {
            self.mark_for_termination(&id, why);
        }
    }

    /// Whether a machine has checked in, though its record may not say so yet.
    fn recently_reported(&self, id: &str) -> bool {
        let fresh = |at: Millis| self.now < at + 2 * self.settings.lease_ms;
        self.last_worker_heartbeat(id).is_some_and(fresh)
    }

    fn boot_patience(&self, type_name: &str) -> Millis {
        let boot_s = self.machine_types.get(type_name).map_or(60.0, |t| t.boot_s);
        (boot_s * 1000.0 * BOOT_GIVE_UP) as u64 + BOOT_SPARE_MS
    }
}
