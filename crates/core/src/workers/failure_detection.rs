//! Detection of machines that stop sending heartbeats, never come up, or idle: which are probed,
//! and which are marked for termination.

use crate::constants::{
    BOOT_TIMEOUT_FACTOR, BOOT_TIMEOUT_MARGIN_MS, CANCEL_DELETE_SHARE,
    CANCEL_UNCONFIRMED_TIMEOUT_MS, CONTROLLER_STAGGER_MS, MASS_SILENCE_FACTOR, PROBE_DELAY_MS,
    PROBE_VALIDITY_MS, SILENCE_MARGIN_MS, UNREACHABLE_PROBES_MAX, UNRECORDED_MACHINE_TIMEOUT_MS,
    WORKER_FAILOVER_MS, ZONE_PROBES_MAX,
};
use crate::controller::Controller;
use crate::model::Millis;
use crate::state::{JobPhase, MachinePhase, MachineRecord};
use crate::workers::observations::{Liveness, MachineObservation};
use crate::workers::termination::TerminationReason;
use crate::zones::detector::MachineSurvey;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// A machine whose heartbeat is overdue.
struct OverdueMachine {
    machine: String,
    /// Whether it is to be deleted when a probe of it fails.
    delete_if_probe_fails: bool,
}

/// Machines to be deleted, with the reason, in the order in which they were found.
type Terminations = Vec<(String, TerminationReason)>;

impl Controller {
    /// Returns when any controller last received a machine's heartbeat, as far as is known here.
    /// The first heartbeat of a machine that has just come up may have gone to a peer whose next
    /// peer heartbeat is still to arrive, so the time counts from when this controller first saw
    /// the machine up.
    pub(crate) fn last_heard_at(&self, liveness: &Liveness) -> Millis {
        let up_since = liveness.observation.up_since.unwrap_or(self.now);
        let received = liveness.received;
        let received_at = received.map_or(up_since, |heartbeat| heartbeat.at.max(up_since));
        received_at.max(
            liveness
                .from_peers
                .map_or(0, |heartbeat| heartbeat.received_at),
        )
    }

    /// Returns when any controller last received a heartbeat of a machine, if ever.
    pub(crate) fn last_worker_heartbeat(&self, id: &str) -> Option<Millis> {
        self.liveness(id).last_heartbeat_at()
    }

    /// Returns the milliseconds since the last contact with a machine: a heartbeat to any
    /// controller, or a response to a direct command.
    fn silence_ms(&self, id: &str) -> Millis {
        self.silence_ms_of(&self.liveness(id))
    }

    /// Returns the result of `silence_ms` for a machine whose liveness was already looked up.
    pub(crate) fn silence_ms_of(&self, liveness: &Liveness) -> Millis {
        let answered_at = liveness.observation.answered_at.unwrap_or(0);
        self.now - self.last_heard_at(liveness).max(answered_at)
    }

    /// Returns the milliseconds after which a silent machine is probed, whichever controller it
    /// reported to: the time that a worker needs to find another controller, and a margin.
    pub(crate) fn worker_silence_limit_ms(&self) -> Millis {
        self.worker_failover_ms() + SILENCE_MARGIN_MS
    }

    /// Returns the milliseconds between a worker's last heartbeat to one controller and its first
    /// to another.
    pub(crate) fn worker_failover_ms(&self) -> Millis {
        WORKER_FAILOVER_MS + self.settings.heartbeat_due_ms()
    }

    /// Returns whether any controller received one of the machine's last heartbeats.
    pub(crate) fn has_recent_heartbeat(&self, id: &str) -> bool {
        self.has_recent_heartbeat_of(&self.liveness(id))
    }

    /// Returns the result of `has_recent_heartbeat` for a machine whose liveness was already looked
    /// up.
    pub(crate) fn has_recent_heartbeat_of(&self, liveness: &Liveness) -> bool {
        self.now - self.last_heard_at(liveness) < self.settings.heartbeat_interval_ms * 5 / 2
    }

    /// Marks machines for termination: unreachable ones, ones that never came up, idle ones, and
    /// ones that still hold a cancelled task when the time for its cancellation has passed.
    pub(crate) fn detect_machine_failures(&mut self) {
        let mut survey = self.survey_machines();
        self.detect_zone_failures(std::mem::take(&mut survey.zones));
        self.probe_overdue_machines(survey);
        self.evacuate_failed_zones();
        self.probe_unreachable_machines();
        let mut terminations = Terminations::new();
        self.find_machines_with_cancelled_tasks(&mut terminations);
        self.find_idle_or_never_up(&mut terminations);
        self.find_missing_instances(&mut terminations);
        self.find_unrecorded_machines(&mut terminations);
        for (id, reason) in terminations {
            self.mark_for_termination(&id, reason);
        }
    }

    /// Returns the machines that are overdue, in order of their names.
    ///
    /// A machine that reports to this controller is deleted soon: its heartbeat is overdue, a direct
    /// command sent since has failed, and other machines that report here do send heartbeats. A
    /// worker switches to another controller only when this one does not reply, so there is no need
    /// to wait for that. If more than a third of them are overdue, this controller rather than
    /// the machines may be partitioned.
    ///
    /// A machine from which no controller is known to have received a heartbeat for as long as a
    /// worker needs to find another controller is deleted later if there are many such machines,
    /// since the network is the likelier cause. While peers can't be reached, the heartbeats of most
    /// machines reach only the peers; the responses to probes distinguish live machines from failed
    /// ones.
    fn overdue_machines(&self, survey: MachineSurvey) -> Vec<OverdueMachine> {
        let mut overdue = BTreeMap::new();
        let limit_ms = self.worker_silence_limit_ms();
        if self.now - self.lifecycle.resumed_at >= limit_ms + self.settings.heartbeat_interval_ms {
            let silence_limit_ms = match survey.silent.len() * 3 <= survey.up {
                true => limit_ms,
                false => limit_ms.max(self.settings.lease_ms) * MASS_SILENCE_FACTOR,
            };
            for silent in survey.silent {
                overdue.insert(silent.machine, silent.silence_ms > silence_limit_ms);
            }
        }
        if survey.overdue_here.len() * 3 <= survey.reporting_here {
            overdue.extend(survey.overdue_here.into_iter().map(|id| (id, true)));
        }
        overdue
            .into_iter()
            .map(|(machine, delete_if_probe_fails)| OverdueMachine {
                machine,
                delete_if_probe_fails,
            })
            .collect()
    }

    /// Probes machines that are overdue, and marks those for termination that failed to respond.
    fn probe_overdue_machines(&mut self, survey: MachineSurvey) {
        let overdue_ms = self.settings.heartbeat_due_ms() + PROBE_DELAY_MS;
        let mut probed_in_zone: BTreeMap<String, usize> = BTreeMap::new();
        let mut overdue = self.overdue_machines(survey);
        // In an unreachable zone only a few machines are probed, a random choice each time.
        overdue.shuffle(&mut self.rng);
        for OverdueMachine {
            machine,
            delete_if_probe_fails,
        } in overdue
        {
            let record = self.cache.machine(&machine);
            let zone = record.map_or(String::new(), |record| record.zone.clone());
            let MachineObservation {
                probed_at,
                unanswered_at,
                ..
            } = self.workers.observations.get(&machine);
            let overdue_at = self.now - self.silence_ms(&machine) + overdue_ms;
            let probe_failed = unanswered_at
                .is_some_and(|at| at > overdue_at && self.now < at + PROBE_VALIDITY_MS);
            let failed_at = unanswered_at.unwrap_or(0);
            let is_unreachable =
                probe_failed && delete_if_probe_fails && !self.may_be_partitioned(failed_at);
            if is_unreachable && self.is_single_machine_silence(&zone, failed_at) {
                self.mark_for_termination(&machine, TerminationReason::Unreachable);
                continue;
            }
            let may_be_probed =
                probed_at.is_none_or(|at| at < overdue_at || self.now >= at + PROBE_VALIDITY_MS);
            if !may_be_probed {
                continue;
            }
            if self.is_zone_unreachable(&zone) {
                let probed = probed_in_zone.entry(zone).or_default();
                if *probed >= ZONE_PROBES_MAX {
                    continue;
                }
                *probed += 1;
            }
            self.probe(machine);
        }
    }

    /// Probes machines whose heartbeats arrive again after a direct command got no response, to
    /// find out whether commands reach them again as well.
    fn probe_unreachable_machines(&mut self) {
        let reports_again = |(id, machine, _): &(&str, &MachineRecord, u64)| {
            let liveness = self.liveness(id);
            let silent_since = liveness.observation.silent_since();
            machine.is_up()
                && silent_since.is_some_and(|at| liveness.last_heartbeat_at() >= Some(at))
                && liveness.observation.may_be_probed(self.now)
                && !self.is_zone_unreachable(&machine.zone)
        };
        let machines = self.cache.machines().filter(reports_again);
        let ids: Vec<String> = machines
            .map(|(id, ..)| id.to_string())
            .take(UNREACHABLE_PROBES_MAX)
            .collect();
        for id in ids {
            self.probe(id);
        }
    }

    /// Probes a machine: sends a direct command without orders, to see whether it responds.
    fn probe(&mut self, id: String) {
        self.workers.observations.entry(&id).probed_at = Some(self.now);
        self.send_command(id, Vec::new());
    }

    /// Finds machines that still hold a cancelled task when the time for its cancellation runs out.
    fn find_machines_with_cancelled_tasks(&self, terminations: &mut Terminations) {
        let confirmed_after_ms =
            (self.settings.cancellation_timeout_ms as f64 * CANCEL_DELETE_SHARE) as u64;
        for (job, counts) in self.cache.task_counts_by_job() {
            let unconfirmed = self.cache.is_cancellation_pending(job);
            let after_ms = match unconfirmed {
                true => CANCEL_UNCONFIRMED_TIMEOUT_MS,
                false => confirmed_after_ms,
            };
            let timed_out = self.cache.job(job).is_some_and(|job| {
                job.phase == JobPhase::Cancelled
                    && counts.assigned > 0
                    && self.wall_time > job.ended_at + self.settings.clock_skew_ms + after_ms
            });
            if !timed_out {
                continue;
            }
            let chunks = self.cache.chunks_of(job);
            for (_, assignment) in chunks.flat_map(|(_, chunk)| chunk.assigned()) {
                if !unconfirmed || !self.is_deletion_deferred(&assignment.machine) {
                    let reason = TerminationReason::HoldsCancelledTask;
                    terminations.push((assignment.machine.clone(), reason));
                }
            }
        }
    }

    /// Finds machines that have been idle for long, and machines that never came up. Records since
    /// when machines are known, up and idle.
    fn find_idle_or_never_up(&mut self, terminations: &mut Terminations) {
        for (id, machine, _) in self.cache.machines() {
            let observation = self.workers.observations.entry(id);
            let first_seen_at = *observation.first_seen_at.get_or_insert(self.now);
            if machine.is_up() {
                observation.up_since.get_or_insert(self.now);
                if self.cache.assigned_task_count(id) == 0 {
                    let idle_since = *observation.idle_since.get_or_insert(self.now);
                    // Controllers are staggered, so that not all of them record the deletion.
                    let stagger_ms = self.settings.controller_index() * CONTROLLER_STAGGER_MS;
                    let keep_ms = match machine.phase {
                        MachinePhase::Draining => 0,
                        _ => self.settings.idle_timeout_ms() + stagger_ms,
                    };
                    if self.now - idle_since > keep_ms {
                        terminations.push((id.to_string(), TerminationReason::Idle));
                    }
                } else {
                    observation.idle_since = None;
                }
            }
            if machine.phase == MachinePhase::Booting
                && !self.recently_reported(id)
                && self.now - first_seen_at > self.boot_limit_ms(&machine.type_name)
            {
                terminations.push((id.to_string(), TerminationReason::NeverCameUp));
            }
        }
    }

    /// Finds instances of instance requests that never came up.
    fn find_missing_instances(&self, terminations: &mut Terminations) {
        for (number, request, _) in self.cache.instance_requests() {
            let known_since = self.provisioning.request_known_since.get(number);
            let known_since = known_since.copied().unwrap_or(self.now);
            if self.now - known_since > self.boot_limit_ms(&request.type_name) {
                let instances = request.instances.iter().flatten();
                let missing =
                    |id: &&String| self.is_expected_instance(id) && !self.recently_reported(id);
                for id in instances.filter(missing) {
                    terminations.push((id.clone(), TerminationReason::NeverCameUp));
                }
            }
        }
    }

    /// Finds machines that have had assigned tasks but no record for a while. Controllers of earlier
    /// versions may have removed the record too early. Only machines with a record are deleted, and
    /// only a confirmed deletion proves that such tasks have ended.
    fn find_unrecorded_machines(&mut self, terminations: &mut Terminations) {
        let unrecorded: BTreeSet<&str> = self.cache.unrecorded_machines().collect();
        let since = &mut self.workers.unrecorded_since;
        since.retain(|id, _| unrecorded.contains(id.as_str()));
        for id in unrecorded {
            let unrecorded_at = *since.entry(id.to_string()).or_insert(self.now);
            if self.now >= unrecorded_at + UNRECORDED_MACHINE_TIMEOUT_MS {
                terminations.push((id.to_string(), TerminationReason::Unrecorded));
            }
        }
    }

    /// Returns whether a machine has sent a heartbeat recently, though its record may not say so
    /// yet.
    fn recently_reported(&self, id: &str) -> bool {
        let is_recent = |at: Millis| self.now < at + 2 * self.settings.lease_ms;
        self.last_worker_heartbeat(id).is_some_and(is_recent)
    }

    /// Returns the milliseconds that a machine of a type may take until its first heartbeat.
    fn boot_limit_ms(&self, type_name: &str) -> Millis {
        let boot_s = self.machine_types.get(type_name).map_or(60.0, |t| t.boot_s);
        (boot_s * 1000.0 * BOOT_TIMEOUT_FACTOR) as u64 + BOOT_TIMEOUT_MARGIN_MS
    }
}
