//! Machines: their heartbeats, the evidence these bring, and machines that fall silent.
//!
//! A start travels by one direct command, or in the answer to the heartbeat recorded in its
//! assignment. `reconcile` says what proves that it will never arrive.

use crate::constants::{
    BOOT_GIVE_UP, BOOT_SPARE_MS, CANCEL_DELETE_SHARE, CANCEL_UNCONFIRMED_MS, COMMAND_PAUSE_MS,
    CONTROLLER_STAGGER_MS, HEARTBEAT_HOLD_MS, INBOUND_GAP_MS, LIKELY_CHANCE, MASS_SILENCE_FACTOR,
    NOTICE_SPARE_MS, NO_INCARNATION, PROBE_AFTER_MS, PROBE_FRESH_MS, REPLY_MAX_COMMANDS,
    SILENCE_MARGIN_MS, UNREACHABLE_PROBES_MAX, WORKER_FAILOVER_MS, WORKER_HANDOFF_MS,
    ZONE_MISSED_HEARTBEATS, ZONE_PROBES_MAX,
};
use crate::controller::{ClaimedTask, CommandOutcome, Controller, Effect, RequestId, WorkerReply};
use crate::model::{
    DirectStart, ExitCause, HeartbeatPosition, Millis, TaskId, TaskPhase, TaskStatus,
    WorkerCommand, WorkerHeartbeat,
};
use crate::peers::Peer;
use crate::scheduling::claims::{AttemptOutcome, Carrier};
use crate::state::StartDelivery;
use crate::state::{
    Assignment, InstanceRequestRecord, JobPhase, MachinePhase, MachineRecord, Placed,
};
use crate::workers::observations::{Liveness, MachineObservation};
use crate::workers::registry::ReceivedHeartbeat;
use crate::workers::results::EndedAttempt;
use crate::zones::detector::MachineSurvey;
use foldhash::HashMap;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat that waits for its answer: for the records to be read after a start, or for a
/// start to be recorded that its answer shall carry.
pub(crate) struct HeldHeartbeat {
    pub request: RequestId,
    pub report: WorkerHeartbeat,
    pub since: Millis,
    /// Nothing has been made of it yet.
    pub early: bool,
}

impl HeldHeartbeat {
    pub fn position(&self) -> HeartbeatPosition {
        self.report.position()
    }
    /// Whether its answer can still carry a start.
    pub fn carries(&self, now: Millis) -> bool {
        now < self.since + HEARTBEAT_HOLD_MS - 400
    }
}

/// What a report says of the machine itself, as far as its record lacks it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MachineUpdate {
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub notice: bool,
    /// A direct command is to be barred: the token must be above this one.
    pub above: Option<u64>,
}

impl Controller {
    pub(crate) fn receive_worker_heartbeat(&mut self, request: RequestId, report: WorkerHeartbeat) {
        self.metrics.check_ins += 1;
        let position = report.position();
        let at = self.now;
        if self.settings.checks.copies && self.liveness(&report.machine).knows(position) {
            // A copy, or one that a newer overtook: its worker waits for no answer, and it is no sign of
            // life. What it shows the newer one showed as well.
            self.worker(request, WorkerReply::Unavailable);
            return;
        }
        self.note_reachability(&report);
        match self.workers.last_heartbeats.get_mut(&report.machine) {
            Some(heard) => (heard.at, heard.position) = (at, position),
            None => {
                let heard = ReceivedHeartbeat { at, position };
                self.workers
                    .last_heartbeats
                    .insert(report.machine.clone(), heard);
            }
        }
        self.peers.note_failover_of(&report.machine);
        self.heard_worker();
        match self.workers.zones_heard_at.get_mut(&report.zone) {
            Some(at) => *at = self.now,
            None if self.settings.zones.contains(&report.zone) => {
                self.workers
                    .zones_heard_at
                    .insert(report.zone.clone(), self.now);
            }
            None => {}
        }
        self.process_worker_heartbeat(request, report);
    }

    /// Answers a heartbeat, or holds it.
    fn process_worker_heartbeat(&mut self, request: RequestId, report: WorkerHeartbeat) {
        if self.awaits_current_view() {
            // Just started, or awake again: the view will be current in a moment, while another
            // controller would be a second away.
            self.hold_heartbeat(request, report, true);
            return;
        }
        if !self.has_current_state() {
            let reply = self.reply_without_state(&report);
            self.worker(request, reply);
            return;
        }
        let Some(token) = self.fencing_token(&report.machine) else {
            self.worker(request, WorkerReply::Unavailable);
            return;
        };
        if report.token > token {
            // Commands of a newer term than this controller knows: not entitled to answer.
            self.worker(request, WorkerReply::Unavailable);
            return;
        }
        if let Some(controller) = self.shutdown_redirect() {
            self.worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
        } else if self.reconcile(&report) {
            self.hold_heartbeat(request, report, false);
        } else if let Some(controller) = self.handoff_target(&report) {
            self.worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
        } else {
            let commands = self.commands(&report);
            self.reply_orders(&report.machine, request, token, commands);
        }
    }

    /// Notes what a heartbeat says of whether its machine hears any controller. One that does not goes on
    /// reporting, and once its lease has ended it looks free: its reports alone are no reason to place
    /// work there. It counts as unreached until it answers a question (`ask_unreached`).
    fn note_reachability(&mut self, report: &WorkerHeartbeat) {
        let id = &report.machine;
        let sight = self.liveness(id);
        let half = self.settings.lease_ms / 2;
        let lately = sight
            .last_heartbeat_at()
            .is_some_and(|at| self.now < at + half);
        if !lately {
            return;
        }
        // Its lease ended though controllers got its reports.
        if sight
            .incarnation()
            .is_some_and(|known| known < report.incarnation)
        {
            self.workers.observations.note(id).unreached = Some(self.now);
            return;
        }
        // It waited in vain for a controller that is well; one that was handed over comes at once.
        let waited = |at: Millis| self.now + WORKER_HANDOFF_MS >= at + WORKER_FAILOVER_MS;
        let by = sight.told.filter(|t| !sight.reports_here() && waited(t.at));
        let left = by.is_some_and(|t| self.peers.is_healthy(self.now, t.peer()));
        if left && sight.of.may_be_asked(self.now) {
            self.workers.observations.note(id).asked = Some(self.now);
            self.send_command(id.clone(), Vec::new());
        }
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

    /// Whether the records, or a proof that they are current, are about to come.
    fn awaits_current_view(&self) -> bool {
        if !self.settings.checks.view {
            return false;
        }
        !self.sync.has_listed && self.state_age() < HEARTBEAT_HOLD_MS
            || self.lifecycle.view_predates_resume
                && self.now < self.lifecycle.resumed_at + HEARTBEAT_HOLD_MS
    }

    fn hold_heartbeat(&mut self, request: RequestId, report: WorkerHeartbeat, early: bool) {
        let id = report.machine.clone();
        if let Some(old) = self.workers.held_heartbeats.remove(&id) {
            if old.position() > report.position() {
                self.workers.held_heartbeats.insert(id, old);
                self.worker(request, WorkerReply::Unavailable);
                return;
            }
            // The worker has given up the earlier one, so its answer carries nothing.
            self.worker(old.request, WorkerReply::Unavailable);
        }
        let since = self.now;
        self.workers.held_heartbeats.insert(
            id,
            HeldHeartbeat {
                request,
                report,
                since,
                early,
            },
        );
    }

    /// Goes on with heartbeats that came before the records were read.
    pub(crate) fn process_early_heartbeats(&mut self) {
        if self.awaits_current_view() {
            return;
        }
        let early: Vec<String> = self
            .workers
            .held_heartbeats
            .iter()
            .filter(|(_, h)| h.early)
            .map(|(id, _)| id.clone())
            .collect();
        for id in early {
            if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                self.process_worker_heartbeat(held.request, held.report);
            }
        }
    }

    pub(crate) fn worker(&mut self, request: RequestId, reply: WorkerReply) {
        self.emit(Effect::Worker { request, reply });
    }

    /// Notes what a report proves and what it gives reason to record. Says whether a start
    /// has to go into its answer. Whatever it proves holds however old the report is.
    fn reconcile(&mut self, report: &WorkerHeartbeat) -> bool {
        let id = &report.machine;
        let position = report.position();
        let reported: HashMap<(&TaskId, u64), TaskPhase> = (report.tasks.iter())
            .map(|t| ((&t.task, t.attempt), t.phase))
            .collect();
        let mut ended: Vec<((TaskId, u64), AttemptOutcome, Option<StartDelivery>)> = Vec::new();
        let mut saves: Vec<(TaskId, u64)> = Vec::new();
        let learns = self.settings.learned.learn;
        let mut running: Vec<(TaskId, u64)> = Vec::new();
        let mut above = None;
        let mut arm = false;
        for (task, placed) in self.cache.assignments(id) {
            let b = &placed.assignment;
            let spec = self.cache.open_job(&task.job);
            let wanted = b.stop.is_none() && spec.is_some();
            let phase = reported.get(&(task, b.attempt)).copied();
            let barred = is_start_fenced(b, position, report.token);
            let newer_session = outlived(b, position);
            let outcome = match phase {
                Some(TaskPhase::Exited(cause)) => Some(outcome_of(cause)),
                None if newer_session || barred && !wanted => Some(AttemptOutcome::Terminated),
                _ => None,
            };
            if phase == Some(TaskPhase::Running) {
                self.metrics.runs(task, b.attempt, self.now);
                if learns {
                    running.push((task.clone(), b.attempt));
                }
            }
            let key = (task.clone(), b.attempt);
            let lacks = match (b.direct_start, phase) {
                (_, Some(_)) => {
                    self.workers.starts.shown(&key);
                    false
                }
                (Some(_), None) => self.workers.starts.is_missing(self.now, &key, id),
                (None, None) => false,
            };
            if let Some(outcome) = outcome {
                let rests_on = phase.is_none().then_some(b.delivery());
                ended.push((key, outcome, rests_on));
            } else if phase == Some(TaskPhase::Running)
                && report.notice_s.is_some()
                && b.stop.is_none()
                && spec.is_some_and(|s| s.checkpoint_interval_s > 0.0)
            {
                // The machine is about to be taken: what can save its progress does so now.
                saves.push(key);
            } else if phase.is_none() && barred {
                arm = true;
            } else if lacks {
                // A direct command without a trace: raise the token so that it can't come
                // late. Once the worker reports the new token, the start is barred.
                above = above.max(b.direct_start.map(|start| start.token));
            }
        }
        for (task, attempt) in running {
            self.seen_running(&task, attempt, report);
        }
        for ((task, attempt), outcome, rests_on) in ended {
            self.note_attempt_ended(task, attempt, outcome, rests_on);
        }
        if let Some(notice_s) = report.notice_s.filter(|_| self.settings.learned.notice) {
            // What ends before the machine is taken needs no stop, nor a start elsewhere.
            let ms = ((notice_s * 1e3) as Millis).saturating_sub(NOTICE_SPARE_MS);
            saves.retain(|(task, attempt)| !self.about_to_end(task, *attempt, ms, LIKELY_CHANCE));
        }
        self.write_back.checkpoints_due.extend(saves);
        self.noted_report(report);
        self.note_machine_update(report, above);
        arm
    }

    /// Notes what the answer to a direct command shows to have ended. What it does not show proves
    /// nothing: unlike a heartbeat it may overtake the answer to one, and a start in that.
    pub(crate) fn process_command_response(&mut self, report: &WorkerHeartbeat) {
        let mut shown = BTreeSet::new();
        for t in &report.tasks {
            let assigned = self.cache.assignment(&report.machine, &t.task);
            let ours = assigned.is_some_and(|p| p.assignment.attempt == t.attempt);
            if ours {
                let key = (t.task.clone(), t.attempt);
                self.workers.starts.shown(&key);
                shown.insert(key);
            }
            if let (true, TaskPhase::Exited(cause)) = (ours, t.phase) {
                self.note_attempt_ended(t.task.clone(), t.attempt, outcome_of(cause), None);
            }
        }
        if self.settings.checks.incarnation {
            // A newer incarnation is a proof in an answer as well: its worker has killed and forgotten all that
            // was before, and no start of an earlier one arrives any more. Machines whose reports reach
            // nobody show it in no other way.
            let position = report.position();
            let over: Vec<(TaskId, u64, StartDelivery)> = (self.cache.assignments(&report.machine))
                .filter(|(_, p)| outlived(&p.assignment, position))
                .map(|(task, p)| (task.clone(), &p.assignment))
                .filter(|(task, b)| !shown.contains(&(task.clone(), b.attempt)))
                .map(|(task, b)| (task, b.attempt, b.delivery()))
                .collect();
            for (task, attempt, travel) in over {
                self.note_attempt_ended(task, attempt, AttemptOutcome::Terminated, Some(travel));
            }
        }
        // A direct command without a trace is barred before it is sent anew.
        let mut above = None;
        for (task, placed) in self.cache.assignments(&report.machine) {
            let b = &placed.assignment;
            let key = (task.clone(), b.attempt);
            let Some(start) = b.direct_start.filter(|_| !shown.contains(&key)) else {
                continue;
            };
            if start.incarnation == report.incarnation
                && self
                    .workers
                    .starts
                    .is_missing(self.now, &key, &report.machine)
            {
                above = above.max(Some(start.token));
            }
        }
        if above.is_some() || self.cache.machine(&report.machine).is_none() {
            self.note_machine_update(report, above);
        }
    }

    /// Notes what a report gives reason to record of its machine.
    fn note_machine_update(&mut self, report: &WorkerHeartbeat, above: Option<u64>) {
        if !self.is_known_machine(report) {
            return;
        }
        let (address, notice) = (&report.address, report.notice_s.is_some());
        let known = self.cache.machine(&report.machine);
        if known.is_some_and(|m| self.record_changes(m, address, notice, above).is_none()) {
            return;
        }
        let seen = MachineUpdate {
            address: report.address.clone(),
            type_name: report.type_name.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            notice: report.notice_s.is_some(),
            above,
        };
        if self.updated_record(&report.machine, &seen).is_some() {
            if above.is_some() {
                self.workers.starts.raise(&report.machine);
            }
            self.write_back
                .machine_updates
                .insert(report.machine.clone(), seen);
        }
    }

    /// Whether a machine is on record, or known to have been provisioned. Any other must answer a question before it
    /// is recorded: its report may be old, and the machine gone long since, which a controller that has just
    /// started does not know.
    fn is_known_machine(&mut self, report: &WorkerHeartbeat) -> bool {
        let id = &report.machine;
        let rented =
            |h: &InstanceRequestRecord| h.instances.iter().flatten().any(|instance| instance == id);
        if !self.settings.checks.strangers
            || self.cache.machine(id).is_some()
            || self.cache.instance_requests().any(|(_, h, _)| rented(h))
        {
            return true;
        }
        let of = self.workers.observations.of(id);
        if of.answered.is_some() {
            return true;
        }
        if let (Some(token), true) = (self.fencing_token(id), of.may_be_asked(self.now)) {
            self.workers.observations.note(id).asked = Some(self.now);
            tracing::info!(
                machine = id,
                "nobody is known to have rented it: asked first"
            );
            self.emit(Effect::Command {
                machine: id.clone(),
                address: report.address.clone(),
                incarnation: report.incarnation,
                token,
                commands: Vec::new(),
            });
        }
        false
    }

    /// A machine's token is to be raised above this one, so that what went under it can't arrive any more.
    pub(crate) fn fence_start(&mut self, id: &str, token: u64) {
        let Some(m) = self.cache.machine(id) else {
            return;
        };
        let seen = self
            .write_back
            .machine_updates
            .entry(id.to_string())
            .or_insert(MachineUpdate {
                address: m.address.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                notice: false,
                above: None,
            });
        seen.above = seen.above.max(Some(token));
        self.workers.starts.raise(id);
    }

    /// Keeps a proof until it is recorded.
    fn note_attempt_ended(
        &mut self,
        task: TaskId,
        attempt: u64,
        outcome: AttemptOutcome,
        rests_on: Option<StartDelivery>,
    ) {
        self.run_ended(&task, attempt, outcome);
        let key = (task, attempt);
        self.metrics.results += u64::from(!self.write_back.results.contains_key(&key));
        let at = self.now;
        let fresh = EndedAttempt {
            outcome,
            at,
            rests_on,
        };
        let known = self.write_back.results.entry(key).or_insert(fresh);
        if known.rests_on.is_some() {
            (known.outcome, known.rests_on) = (outcome, rests_on);
        }
    }

    /// A machine's record with what a report says of it, if that changes it.
    pub(crate) fn updated_record(&self, id: &str, seen: &MachineUpdate) -> Option<MachineRecord> {
        let Some(record) = self.cache.machine(id) else {
            return (!self.workers.recently_deleted.contains(id)).then(|| MachineRecord {
                address: seen.address.clone(),
                ..MachineRecord::new(
                    &seen.type_name,
                    &seen.zone,
                    seen.spot,
                    MachinePhase::Up,
                    self.wall,
                )
            });
        };
        let (phase, raise) = self.record_changes(record, &seen.address, seen.notice, seen.above)?;
        Some(MachineRecord {
            phase,
            token_offset: record.token_offset + u64::from(raise),
            address: seen.address.clone(),
            ..record.clone()
        })
    }

    /// What a report changes in a machine's record, if anything: its phase, and whether its token is
    /// raised.
    fn record_changes(
        &self,
        record: &MachineRecord,
        address: &str,
        notice: bool,
        above: Option<u64>,
    ) -> Option<(MachinePhase, bool)> {
        let term = self.cache.term().unwrap_or(0);
        let phase = match (record.phase, notice) {
            (MachinePhase::Booting | MachinePhase::Up, true) => MachinePhase::Draining,
            (MachinePhase::Booting, false) => MachinePhase::Up,
            (phase, _) => phase,
        };
        let raise = above.is_some_and(|t| t >= term + record.token_offset);
        let news = phase != record.phase || raise || record.address != address;
        news.then_some((phase, raise))
    }

    /// Assignments whose start goes into the answer to this held heartbeat, once they say so.
    pub(crate) fn starts_for_reply(&self, held: &HeldHeartbeat) -> Vec<(TaskId, u64)> {
        if held.early || !held.carries(self.now) {
            return Vec::new();
        }
        let position = held.position();
        let shown = |task: &TaskId, attempt: u64| {
            let mut tasks = held.report.tasks.iter();
            tasks.any(|t| t.attempt == attempt && t.task == *task)
        };
        self.cache
            .assignments(&held.report.machine)
            .filter(|(task, p)| {
                let b = &p.assignment;
                b.reply_start != Some(position)
                    && b.stop.is_none()
                    && self.cache.open_job(&task.job).is_some()
                    && !shown(task, b.attempt)
                    // What was started in an earlier incarnation is gone, and on its way to be
                    // recorded as such: it must not be started once more under that attempt.
                    && !outlived(b, position)
                    && is_start_fenced(b, position, held.report.token)
            })
            .map(|(task, p)| (task.clone(), p.assignment.attempt))
            .collect()
    }

    /// The token under which a machine is commanded, the same for all controllers.
    pub(crate) fn fencing_token(&self, id: &str) -> Option<u64> {
        let token_offset = self.cache.machine(id).map_or(0, |m| m.token_offset);
        Some(self.cache.term()? + token_offset)
    }

    /// How a start gets from here to a machine: by a direct command, unless the last one
    /// failed; then by the answer to a heartbeat.
    pub(crate) fn delivery_for(&self, sight: &Liveness, m: &MachineRecord) -> Carrier {
        let refused = sight.of.refused;
        let failed = refused.is_some_and(|at| self.now < at + COMMAND_PAUSE_MS);
        let incarnation = sight.incarnation();
        let token = self.cache.term().map(|term| term + m.token_offset);
        match (token, incarnation) {
            (Some(token), Some(incarnation)) if !failed && !m.address.is_empty() => {
                Carrier::Command { incarnation, token }
            }
            _ => Carrier::Answer,
        }
    }

    /// Sends the starts of a committed claim. Each is sent once: were it sent again, a late
    /// copy could start the task after its result was taken and forgotten.
    pub(crate) fn send_starts(&mut self, claimed: &[ClaimedTask]) {
        let mut by_machine: BTreeMap<String, (DirectStart, Vec<WorkerCommand>)> = BTreeMap::new();
        for c in claimed {
            let assignment = self
                .cache
                .assignment(&c.machine, &c.task)
                .map(|p| &p.assignment);
            // An answer that comes late may find another attempt assigned there, whose start has gone.
            let assignment = assignment.filter(|b| b.attempt == c.attempt);
            let open = self.cache.open_job(&c.task.job).is_some();
            if let Some(start) = assignment.and_then(|b| b.direct_start).filter(|_| open) {
                let entry = by_machine.entry(c.machine.clone());
                let (_, commands) = entry.or_insert((start, Vec::new()));
                let (task, attempt) = (c.task.clone(), c.attempt);
                tracing::info!(%task, attempt, machine = c.machine, "start sent");
                commands.push(WorkerCommand::Start { task, attempt });
            }
        }
        for (id, (start, commands)) in by_machine {
            self.command(id, start.incarnation, start.token, commands);
        }
    }

    fn command(
        &mut self,
        machine: String,
        incarnation: u64,
        token: u64,
        commands: Vec<WorkerCommand>,
    ) {
        if let Some(address) = self.cache.machine(&machine).map(|m| m.address.clone()) {
            self.emit(Effect::Command {
                machine,
                address,
                incarnation,
                token,
                commands,
            });
        }
    }

    /// A command under the machine's current token and incarnation; none if they are not known. Whether
    /// it answers can be asked without an incarnation: a machine that died while all controllers were away was
    /// heard by none of them since, and would otherwise never be found silent.
    pub(crate) fn send_command(&mut self, id: String, commands: Vec<WorkerCommand>) {
        let none = commands.is_empty().then_some(NO_INCARNATION);
        let incarnation = self.liveness(&id).incarnation().or(none);
        if let (Some(token), Some(incarnation)) = (self.fencing_token(&id), incarnation) {
            self.command(id, incarnation, token, commands);
        }
    }

    /// Stops one assigned task at once, with time to save.
    pub(crate) fn send_stop(&mut self, id: &str, task: &TaskId) {
        let assignment = self.cache.assignment(id, task).map(|p| &p.assignment);
        let Some((attempt, why)) = assignment.and_then(|b| Some((b.attempt, b.stop.as_deref()?)))
        else {
            return;
        };
        let grace_s = self.grace_s(&task.job);
        let task = task.clone();
        tracing::info!(%task, machine = id, why, "stop sent");
        let commands = vec![WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        }];
        self.send_command(id.to_string(), commands);
    }

    /// Seconds given to a task to save when it is stopped.
    fn grace_s(&self, job: &str) -> f64 {
        let spec = self.cache.open_job(job);
        spec.map_or(0.0, |s| s.checkpoint_duration_s * 1.5 + 1.0)
    }

    /// Stops a cancelled job's tasks at once. Late or lost, it does no harm: heartbeats stop
    /// them as well.
    pub(crate) fn send_stops(&mut self, job: &str) {
        let mut due: BTreeMap<String, Vec<WorkerCommand>> = BTreeMap::new();
        for (index, b) in self.cache.chunks_of(job).flat_map(|(_, c)| c.assigned()) {
            due.entry(b.machine.clone())
                .or_default()
                .push(WorkerCommand::Stop {
                    task: TaskId {
                        job: job.to_string(),
                        index,
                    },
                    attempt: b.attempt,
                    grace_s: 0.0,
                });
        }
        for (id, commands) in due {
            self.send_command(id, commands);
        }
    }

    /// Whether the state cache shows all that became of an attempt's claim: the
    /// chunk has changed since the revision it was conditional on, or the job is over. Until
    /// then a peer's claim may just not have arrived here.
    fn is_claim_outcome_known(&self, task: &TaskId, attempt: u64) -> bool {
        if !self.settings.checks.fate {
            return true;
        }
        let Some(job) = self.cache.job(&task.job) else {
            return false;
        };
        let n = job.chunk_of(task.index);
        self.cache.chunk_revision(&task.job, n) > attempt
            || job.open().is_none() && self.cache.revision >= self.cache.job_revision(&task.job)
    }

    /// What the worker is told, from records that are committed.
    fn commands(&self, report: &WorkerHeartbeat) -> Vec<WorkerCommand> {
        let id = &report.machine;
        let position = report.position();
        let mut commands = Vec::new();
        for t in &report.tasks {
            let assignment = self.cache.assignment(id, &t.task).map(|p| &p.assignment);
            let assignment = assignment.filter(|b| b.attempt == t.attempt);
            if assignment.is_none() && !self.is_claim_outcome_known(&t.task, t.attempt) {
                continue;
            }
            let job = self.cache.job(&t.task.job);
            match (t.phase, assignment) {
                (TaskPhase::Exited(_), None) => commands.push(WorkerCommand::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                }),
                (TaskPhase::Exited(_), Some(_)) => {}
                (phase, assignment) => {
                    let over = job.is_none_or(|j| j.open().is_none());
                    let stop = assignment.is_some_and(|b| b.stop.is_some());
                    if over || assignment.is_none() {
                        commands.push(WorkerCommand::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s: 0.0,
                        });
                    } else if stop && phase != TaskPhase::Checkpointing {
                        let grace_s = self.grace_s(&t.task.job);
                        commands.push(WorkerCommand::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s,
                        });
                    }
                }
            }
        }
        for (task, p) in self.cache.assignments(id) {
            let b = &p.assignment;
            if b.reply_start == Some(position)
                && b.stop.is_none()
                && !(report.tasks.iter()).any(|t| t.attempt == b.attempt && t.task == *task)
                && self.cache.open_job(&task.job).is_some()
            {
                commands.push(WorkerCommand::Start {
                    task: task.clone(),
                    attempt: b.attempt,
                });
            }
        }
        commands
    }

    /// Whether starts that its answer shall carry are on record, though this controller may have had no answer
    /// to its transaction: nobody else has this heartbeat.
    fn starts_recorded_for(&self, held: &HeldHeartbeat) -> bool {
        let position = held.position();
        let reply_start = |(_, p): (&TaskId, &Placed)| p.assignment.reply_start == Some(position);
        self.settings.checks.doubt
            && !held.early
            && self
                .cache
                .assignments(&held.report.machine)
                .any(reply_start)
    }

    pub(crate) fn reply_to_held(&mut self, id: &str) {
        let Some(token) = self.fencing_token(id) else {
            return;
        };
        let Some(held) = self.workers.held_heartbeats.remove(id) else {
            return;
        };
        let commands = self.commands(&held.report);
        self.reply_orders(id, held.request, token, commands);
    }

    fn reply_orders(
        &mut self,
        id: &str,
        request: RequestId,
        token: u64,
        mut commands: Vec<WorkerCommand>,
    ) {
        // What is cut off is due again with the next heartbeat, starts included.
        commands.truncate(REPLY_MAX_COMMANDS);
        for order in &commands {
            match order {
                WorkerCommand::Start { task, attempt } => {
                    tracing::info!(%task, attempt, machine = id, "start sent");
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    tracing::info!(%task, attempt, machine = id, "stop sent");
                }
                WorkerCommand::Forget { .. } => {}
            }
        }
        self.worker(request, WorkerReply::Commands { token, commands });
    }

    pub(crate) fn reply_to_held_heartbeats(&mut self) {
        let ids: Vec<String> = self.workers.held_heartbeats.keys().cloned().collect();
        let has_current_state = self.has_current_state();
        for id in ids {
            let Some(held) = self.workers.held_heartbeats.get(&id) else {
                continue;
            };
            if held.early && self.awaits_current_view() {
                continue;
            }
            if !has_current_state
                && (self.sync.has_listed || self.now >= held.since + HEARTBEAT_HOLD_MS)
            {
                if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                    let reply = self.reply_without_state(&held.report);
                    self.worker(held.request, reply);
                }
                continue;
            }
            if self.now >= held.since + HEARTBEAT_HOLD_MS || self.starts_recorded_for(held) {
                self.reply_to_held(&id);
                continue;
            }
        }
    }

    // ---- This controller and the workers ------------------------------------------------------

    /// Whether workers reach this controller, as far as can be told: cut off from them alone, it would
    /// claim work whose starts never arrive, and draw users away from controllers that serve them.
    pub(crate) fn workers_reachable(&self) -> bool {
        let heard_peers =
            |s: &Peer| s.heartbeat.workers_reachable && !s.heartbeat.workers.is_empty();
        !self.workers.reachability.is_doubtful()
            || !self.settings.checks.workers
            || !self.fresh_peers().any(heard_peers)
    }

    /// Whether it may be this controller that a question did not get out of: it has heard no worker since,
    /// while peers have. It took the first two or three machines that fell silent so for dead.
    fn may_be_partitioned(&self, asked: Millis) -> bool {
        let elsewhere = self.fresh_peers().any(|s| {
            let since = self.now - s.at;
            let heard = s
                .heartbeat
                .workers
                .iter()
                .map(|worker| self.now - (worker.age_ms + since).min(self.now));
            heard.max().is_some_and(|at| at > asked)
        });
        !self.workers_reachable() || self.workers.reachability.failed_alone(asked) && elsewhere
    }

    /// A worker has reported here, or answered.
    fn heard_worker(&mut self) {
        let mut longest = INBOUND_GAP_MS;
        if self.workers.reachability.gap(self.now) > INBOUND_GAP_MS {
            let many =
                self.settings.report_ms * ZONE_MISSED_HEARTBEATS / (self.load() as u64).max(1);
            longest = longest.max(many.min(self.settings.report_due_ms()));
        }
        self.workers.reachability.heard(self.now, longest);
    }

    /// Cut off from the workers, a controller asks one of them now and then whether it is heard again.
    pub(crate) fn probe_partition(&mut self) {
        if !self.workers.reachability.asks(self.now) {
            return;
        }
        let heard: Vec<&str> = (self.cache.machines())
            .filter(|(id, m, _)| m.is_up() && self.recently_heard(id))
            .map(|(id, ..)| id)
            .collect();
        if let Some(id) = heard.choose(&mut self.rng).map(|id| id.to_string()) {
            self.send_command(id, Vec::new());
        }
    }

    /// Machines that report to this controller now.
    pub(crate) fn load(&self) -> usize {
        let fresh = self.now.saturating_sub(2 * self.settings.report_ms).max(1);
        let here = |(id, h): &(&String, &ReceivedHeartbeat)| {
            h.at >= fresh && !h.older_than(self.peers.observation(id))
        };
        self.workers.last_heartbeats.iter().filter(here).count()
    }

    pub(crate) fn plan_handoff(&mut self) {
        let recent = 2 * self.settings.report_ms;
        match self.has_current_state()
            && self.has_heard_full_round()
            && self.lifecycle.shutting_down_since.is_none()
        {
            true => self.peers.plan_handoff(self.now, self.load(), recent),
            false => self.peers.cancel_handoff(),
        }
    }

    /// The peer that a worker is to report to instead. Not while it has news: both controllers
    /// would record it.
    fn handoff_target(&mut self, report: &WorkerHeartbeat) -> Option<String> {
        let exited = |t: &TaskStatus| matches!(t.phase, TaskPhase::Exited(_));
        if report.notice_s.is_some() || report.tasks.iter().any(exited) {
            return None;
        }
        self.peers.next_handoff()
    }

    // ---- Machines that fall silent, or idle --------------------------------------------

    pub(crate) fn handle_command_result(&mut self, machine: String, reach: CommandOutcome) {
        match reach {
            CommandOutcome::Accepted | CommandOutcome::Refused => {
                self.heard_worker();
                self.workers.observations.note(&machine).answered = Some(self.now);
            }
            CommandOutcome::NoAnswer => {
                let zone = self.cache.machine(&machine).map(|m| &m.zone);
                // One that was not reached before says nothing of this controller's own reach.
                let again = self
                    .workers
                    .observations
                    .of(&machine)
                    .silent_since()
                    .is_some();
                if !again && !zone.is_some_and(|z| self.is_zone_unreachable(z)) {
                    self.workers.reachability.handle_state_timeout();
                }
                self.workers.observations.note(&machine).unreached = Some(self.now);
            }
            CommandOutcome::NotSent => {
                self.workers.observations.note(&machine).asked = None;
            }
        }
        if reach != CommandOutcome::Accepted {
            tracing::debug!(machine, ?reach, "direct command failed");
            self.workers.observations.note(&machine).refused = Some(self.now);
        }
    }

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

fn outcome_of(cause: ExitCause) -> AttemptOutcome {
    match cause {
        ExitCause::Done => AttemptOutcome::Done,
        ExitCause::Error => AttemptOutcome::Failed,
        ExitCause::NoResources | ExitCause::Busy | ExitCause::Unknown => AttemptOutcome::Refused,
        ExitCause::Stopped | ExitCause::Other => AttemptOutcome::Terminated,
    }
}

/// A heartbeat of a newer incarnation than the one that the assignment's start was for.
fn outlived(b: &Assignment, position: HeartbeatPosition) -> bool {
    let in_reply = b.reply_start.map(|position| position.incarnation);
    let incarnation = in_reply.or(b.direct_start.map(|start| start.incarnation));
    incarnation.is_some_and(|incarnation| incarnation < position.incarnation)
}

/// The start of an assignment can't arrive any more, if it is not there already. Of a newer
/// incarnation the worker has killed and forgotten everything older; a heartbeat after the one
/// whose answer carried the start shows that the answer brought nothing; a token above the
/// direct command's makes the worker refuse that one, however late.
fn is_start_fenced(b: &Assignment, position: HeartbeatPosition, token: u64) -> bool {
    match (b.reply_start, b.direct_start) {
        (_, Some(start)) => start.incarnation < position.incarnation || start.token < token,
        (Some(reply_start), None) => reply_start < position,
        (None, None) => true,
    }
}
