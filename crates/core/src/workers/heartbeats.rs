//! Machines: their check-ins, the evidence these bring, and machines that fall silent.
//!
//! A start travels by one direct command, or in the answer to the check-in recorded in its
//! booking. `reconcile` says what proves that it will never arrive.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::peers::tracker::Sibling;
use crate::scheduling::claims::{Carrier, Outcome};
use crate::state::*;
use crate::workers::observations::{Liveness, OfMachine};
use crate::workers::results::{Ended, Travel};
use crate::zones::detector::Survey;
use foldhash::HashMap;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};

/// A check-in that waits for its answer: for the records to be read after a start, or for a
/// start to be recorded that its answer shall carry.
pub(crate) struct Held {
    pub request: RequestId,
    pub report: Report,
    pub since: Millis,
    /// Nothing has been made of it yet.
    pub early: bool,
}

impl Held {
    pub fn mark(&self) -> (u64, u64) {
        mark(&self.report)
    }
    /// Whether its answer can still carry a start.
    pub fn carries(&self, now: Millis) -> bool {
        now < self.since + CHECKIN_PATIENCE_MS - 400
    }
}

fn mark(report: &Report) -> (u64, u64) {
    (report.session, report.tally)
}

/// What a report says of the machine itself, as far as its record lacks it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Seen {
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub notice: bool,
    /// A direct command is to be barred: the token must be above this one.
    pub above: Option<u64>,
}

impl Node {
    pub(crate) fn check_in(&mut self, request: RequestId, report: Report) {
        self.stats.check_ins += 1;
        let (session, tally) = mark(&report);
        let at = self.now;
        if self.settings.checks.copies && self.sight(&report.machine).knows((session, tally)) {
            // A copy, or one that a newer overtook: its worker waits for no answer, and it is no sign of
            // life. What it shows the newer one showed as well.
            self.worker(request, WorkerReply::NotNow);
            return;
        }
        self.note_hearing(&report);
        match self.heard.get_mut(&report.machine) {
            Some(heard) => (heard.at, heard.session, heard.tally) = (at, session, tally),
            None => {
                let heard = Heard { at, session, tally };
                self.heard.insert(report.machine.clone(), heard);
            }
        }
        self.standby.came(&report.machine);
        self.heard_worker();
        match self.reporting.get_mut(&report.zone) {
            Some(at) => *at = self.now,
            None if self.settings.zones.contains(&report.zone) => {
                self.reporting.insert(report.zone.clone(), self.now);
            }
            None => {}
        }
        self.take_check_in(request, report);
    }

    /// Answers a check-in, or holds it.
    fn take_check_in(&mut self, request: RequestId, report: Report) {
        if self.awaits_view() {
            // Just started, or awake again: the view will be current in a moment, while another
            // node would be a second away.
            self.hold(request, report, true);
            return;
        }
        if !self.state_ok() {
            let reply = self.cut_off_reply(&report);
            self.worker(request, reply);
            return;
        }
        let Some(token) = self.machine_token(&report.machine) else {
            self.worker(request, WorkerReply::NotNow);
            return;
        };
        if report.token > token {
            // Commands of a newer term than this node knows: not entitled to answer.
            self.worker(request, WorkerReply::NotNow);
            return;
        }
        if let Some(node) = self.sent_away() {
            self.worker(request, WorkerReply::Elsewhere { node: Some(node) });
        } else if self.examine(&report) {
            self.hold(request, report, false);
        } else if let Some(node) = self.hand_over(&report) {
            self.worker(request, WorkerReply::Elsewhere { node: Some(node) });
        } else {
            let orders = self.orders(&report);
            self.reply_orders(&report.machine, request, token, orders);
        }
    }

    /// Notes what a check-in says of whether its machine hears any node. One that does not goes on
    /// reporting, and once its lease has ended it looks free: its reports alone are no reason to place
    /// work there. It counts as unreached until it answers a question (`ask_unreached`).
    fn note_hearing(&mut self, report: &Report) {
        let id = &report.machine;
        let sight = self.sight(id);
        let half = self.settings.lease_ms / 2;
        let lately = sight.check_in().is_some_and(|at| self.now < at + half);
        if !lately {
            return;
        }
        // Its lease ended though nodes got its reports.
        if sight.session().is_some_and(|known| known < report.session) {
            self.signs.note(id).unreached = Some(self.now);
            return;
        }
        // It waited in vain for a node that is well; one that was handed over comes at once.
        let waited = |at: Millis| self.now + WORKER_HANDED_MS >= at + WORKER_MOVE_MS;
        let by = sight.told.filter(|t| !sight.reports_here() && waited(t.at));
        let left = by.is_some_and(|t| self.standby.is_well(self.now, t.by()));
        if left && sight.of.may_be_asked(self.now) {
            self.signs.note(id).asked = Some(self.now);
            self.command_now(id.clone(), Vec::new());
        }
    }

    /// Asks machines that have reported since they failed to answer whether they hear again.
    fn ask_unreached(&mut self) {
        let back = |(id, m, _): &(&str, &MachineRecord, u64)| {
            let sight = self.sight(id);
            let since = sight.of.silent_since();
            m.is_up()
                && since.is_some_and(|at| sight.check_in() >= Some(at))
                && sight.of.may_be_asked(self.now)
                && !self.zone_quiet(&m.zone)
        };
        let machines = self.cache.machines().filter(back);
        let ids: Vec<String> = machines
            .map(|(id, ..)| id.to_string())
            .take(DEAF_ASKED)
            .collect();
        for id in ids {
            self.signs.note(&id).asked = Some(self.now);
            self.command_now(id, Vec::new());
        }
    }

    /// Whether the records, or a proof that they are current, are about to come.
    fn awaits_view(&self) -> bool {
        if !self.settings.checks.view {
            return false;
        }
        !self.loaded && self.state_age() < CHECKIN_PATIENCE_MS
            || self.stale && self.now < self.woke + CHECKIN_PATIENCE_MS
    }

    fn hold(&mut self, request: RequestId, report: Report, early: bool) {
        let id = report.machine.clone();
        if let Some(old) = self.held.remove(&id) {
            if old.mark() > mark(&report) {
                self.held.insert(id, old);
                self.worker(request, WorkerReply::NotNow);
                return;
            }
            // The worker has given up the earlier one, so its answer carries nothing.
            self.worker(old.request, WorkerReply::NotNow);
        }
        let since = self.now;
        self.held.insert(
            id,
            Held {
                request,
                report,
                since,
                early,
            },
        );
    }

    /// Goes on with check-ins that came before the records were read.
    pub(crate) fn take_early(&mut self) {
        if self.awaits_view() {
            return;
        }
        let early: Vec<String> = self
            .held
            .iter()
            .filter(|(_, h)| h.early)
            .map(|(id, _)| id.clone())
            .collect();
        for id in early {
            if let Some(held) = self.held.remove(&id) {
                self.take_check_in(held.request, held.report);
            }
        }
    }

    pub(crate) fn worker(&mut self, request: RequestId, reply: WorkerReply) {
        self.emit(Effect::Worker { request, reply });
    }

    /// Notes what a report proves and what it gives reason to record. Says whether a start
    /// has to go into its answer. Whatever it proves holds however old the report is.
    fn examine(&mut self, report: &Report) -> bool {
        let id = &report.machine;
        let mark = mark(report);
        let reported: HashMap<(&TaskId, u64), TaskPhase> = (report.tasks.iter())
            .map(|t| ((&t.task, t.attempt), t.phase))
            .collect();
        let mut ended: Vec<((TaskId, u64), Outcome, Option<Travel>)> = Vec::new();
        let mut saves: Vec<(TaskId, u64)> = Vec::new();
        let learns = self.settings.learned.learn;
        let mut running: Vec<(TaskId, u64)> = Vec::new();
        let mut above = None;
        let mut arm = false;
        for (task, placed) in self.cache.bookings(id) {
            let b = &placed.booking;
            let spec = self.cache.open_job(&task.job);
            let wanted = b.stop.is_none() && spec.is_some();
            let phase = reported.get(&(task, b.attempt)).copied();
            let barred = barred(b, mark, report.token);
            let newer_session = outlived(b, mark);
            let outcome = match phase {
                Some(TaskPhase::Exited(cause)) => Some(outcome_of(cause)),
                None if newer_session || barred && !wanted => Some(Outcome::Gone),
                _ => None,
            };
            if phase == Some(TaskPhase::Running) {
                self.stats.runs(task, b.attempt, self.now);
                if learns {
                    running.push((task.clone(), b.attempt));
                }
            }
            let key = (task.clone(), b.attempt);
            let lacks = match (b.direct, phase) {
                (_, Some(_)) => {
                    self.starts.shown(&key);
                    false
                }
                (Some(_), None) => self.starts.lacks(self.now, &key, id),
                (None, None) => false,
            };
            if let Some(outcome) = outcome {
                let rests_on = phase.is_none().then_some((b.armed, b.direct));
                ended.push((key, outcome, rests_on));
            } else if phase == Some(TaskPhase::Running)
                && report.notice_s.is_some()
                && b.stop.is_none()
                && spec.is_some_and(|s| s.checkpoint_s > 0.0)
            {
                // The machine is about to be taken: what can save its progress does so now.
                saves.push(key);
            } else if phase.is_none() && barred {
                arm = true;
            } else if lacks {
                // A direct command without a trace: raise the token so that it can't come
                // late. Once the worker reports the new token, the start is barred.
                above = above.max(b.direct.map(|(_, token)| token));
            }
        }
        for (task, attempt) in running {
            self.seen_running(&task, attempt, report);
        }
        for ((task, attempt), outcome, rests_on) in ended {
            self.note_ended(task, attempt, outcome, rests_on);
        }
        if let Some(notice_s) = report.notice_s.filter(|_| self.settings.learned.notice) {
            // What ends before the machine is taken needs no stop, nor a start elsewhere.
            let ms = ((notice_s * 1e3) as Millis).saturating_sub(NOTICE_SPARE_MS);
            saves.retain(|(task, attempt)| !self.about_to_end(task, *attempt, ms, LIKELY_CHANCE));
        }
        self.saves.extend(saves);
        self.noted_report(report);
        self.note_seen(report, above);
        arm
    }

    /// Notes what the answer to a direct command shows to have ended. What it does not show proves
    /// nothing: unlike a check-in it may overtake the answer to one, and a start in that.
    pub(crate) fn heed_answer(&mut self, report: &Report) {
        let mut shown = BTreeSet::new();
        for t in &report.tasks {
            let booked = self.cache.booking(&report.machine, &t.task);
            let ours = booked.is_some_and(|p| p.booking.attempt == t.attempt);
            if ours {
                let key = (t.task.clone(), t.attempt);
                self.starts.shown(&key);
                shown.insert(key);
            }
            if let (true, TaskPhase::Exited(cause)) = (ours, t.phase) {
                self.note_ended(t.task.clone(), t.attempt, outcome_of(cause), None);
            }
        }
        if self.settings.checks.session {
            // A newer session is a proof in an answer as well: its worker has killed and forgotten all that
            // was before, and no start of an earlier one arrives any more. Machines whose reports reach
            // nobody show it in no other way.
            let mark = mark(report);
            let over: Vec<(TaskId, u64, Travel)> = (self.cache.bookings(&report.machine))
                .filter(|(_, p)| outlived(&p.booking, mark))
                .map(|(task, p)| (task.clone(), &p.booking))
                .filter(|(task, b)| !shown.contains(&(task.clone(), b.attempt)))
                .map(|(task, b)| (task, b.attempt, (b.armed, b.direct)))
                .collect();
            for (task, attempt, travel) in over {
                self.note_ended(task, attempt, Outcome::Gone, Some(travel));
            }
        }
        // A direct command without a trace is barred before it is sent anew.
        let mut above = None;
        for (task, placed) in self.cache.bookings(&report.machine) {
            let b = &placed.booking;
            let key = (task.clone(), b.attempt);
            let Some((session, token)) = b.direct.filter(|_| !shown.contains(&key)) else {
                continue;
            };
            if session == report.session && self.starts.lacks(self.now, &key, &report.machine) {
                above = above.max(Some(token));
            }
        }
        if above.is_some() || self.cache.machine(&report.machine).is_none() {
            self.note_seen(report, above);
        }
    }

    /// Notes what a report gives reason to record of its machine.
    fn note_seen(&mut self, report: &Report, above: Option<u64>) {
        if !self.is_expected(report) {
            return;
        }
        let (address, notice) = (&report.address, report.notice_s.is_some());
        let known = self.cache.machine(&report.machine);
        if known.is_some_and(|m| self.news_of(m, address, notice, above).is_none()) {
            return;
        }
        let seen = Seen {
            address: report.address.clone(),
            type_name: report.type_name.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            notice: report.notice_s.is_some(),
            above,
        };
        if self.updated(&report.machine, &seen).is_some() {
            if above.is_some() {
                self.starts.raise(&report.machine);
            }
            self.seen.insert(report.machine.clone(), seen);
        }
    }

    /// Whether a machine is on record, or known to have been rented. Any other must answer a question before it
    /// is recorded: its report may be old, and the machine gone long since, which a node that has just
    /// started does not know.
    fn is_expected(&mut self, report: &Report) -> bool {
        let id = &report.machine;
        let rented = |h: &HireRecord| h.hosts.iter().flatten().any(|host| host == id);
        if !self.settings.checks.strangers
            || self.cache.machine(id).is_some()
            || self.cache.hires().any(|(_, h, _)| rented(h))
        {
            return true;
        }
        let of = self.signs.of(id);
        if of.answered.is_some() {
            return true;
        }
        if let (Some(token), true) = (self.machine_token(id), of.may_be_asked(self.now)) {
            self.signs.note(id).asked = Some(self.now);
            tracing::info!(
                machine = id,
                "nobody is known to have rented it: asked first"
            );
            self.emit(Effect::Command {
                machine: id.clone(),
                address: report.address.clone(),
                session: report.session,
                token,
                orders: Vec::new(),
            });
        }
        false
    }

    /// A machine's token is to be raised above this one, so that what went under it can't arrive any more.
    pub(crate) fn bar(&mut self, id: &str, token: u64) {
        let Some(m) = self.cache.machine(id) else {
            return;
        };
        let seen = self.seen.entry(id.to_string()).or_insert(Seen {
            address: m.address.clone(),
            type_name: m.type_name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            notice: false,
            above: None,
        });
        seen.above = seen.above.max(Some(token));
        self.starts.raise(id);
    }

    /// Keeps a proof until it is recorded.
    fn note_ended(
        &mut self,
        task: TaskId,
        attempt: u64,
        outcome: Outcome,
        rests_on: Option<Travel>,
    ) {
        self.run_ended(&task, attempt, outcome);
        let key = (task, attempt);
        self.stats.results += u64::from(!self.results.contains_key(&key));
        let at = self.now;
        let fresh = Ended {
            outcome,
            at,
            rests_on,
        };
        let known = self.results.entry(key).or_insert(fresh);
        if known.rests_on.is_some() {
            (known.outcome, known.rests_on) = (outcome, rests_on);
        }
    }

    /// A machine's record with what a report says of it, if that changes it.
    pub(crate) fn updated(&self, id: &str, seen: &Seen) -> Option<MachineRecord> {
        let Some(record) = self.cache.machine(id) else {
            return (!self.gone.contains(id)).then(|| MachineRecord {
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
        let (phase, raise) = self.news_of(record, &seen.address, seen.notice, seen.above)?;
        Some(MachineRecord {
            phase,
            raised: record.raised + u64::from(raise),
            address: seen.address.clone(),
            ..record.clone()
        })
    }

    /// What a report changes in a machine's record, if anything: its phase, and whether its token is
    /// raised.
    fn news_of(
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
        let raise = above.is_some_and(|t| t >= term + record.raised);
        let news = phase != record.phase || raise || record.address != address;
        news.then_some((phase, raise))
    }

    /// Bookings whose start goes into the answer to this held check-in, once they say so.
    pub(crate) fn to_arm(&self, held: &Held) -> Vec<(TaskId, u64)> {
        if held.early || !held.carries(self.now) {
            return Vec::new();
        }
        let mark = held.mark();
        let shown = |task: &TaskId, attempt: u64| {
            let mut tasks = held.report.tasks.iter();
            tasks.any(|t| t.attempt == attempt && t.task == *task)
        };
        self.cache
            .bookings(&held.report.machine)
            .filter(|(task, p)| {
                let b = &p.booking;
                b.armed != Some(mark)
                    && b.stop.is_none()
                    && self.cache.open_job(&task.job).is_some()
                    && !shown(task, b.attempt)
                    // What was started in an earlier session is gone, and on its way to be
                    // recorded as such: it must not be started once more under that attempt.
                    && !outlived(b, mark)
                    && barred(b, mark, held.report.token)
            })
            .map(|(task, p)| (task.clone(), p.booking.attempt))
            .collect()
    }

    /// The token under which a machine is commanded, the same for all nodes.
    pub(crate) fn machine_token(&self, id: &str) -> Option<u64> {
        let raised = self.cache.machine(id).map_or(0, |m| m.raised);
        Some(self.cache.term()? + raised)
    }

    /// How a start gets from here to a machine: by a direct command, unless the last one
    /// failed; then by the answer to a check-in.
    pub(crate) fn carrier(&self, sight: &Liveness, m: &MachineRecord) -> Carrier {
        let refused = sight.of.refused;
        let failed = refused.is_some_and(|at| self.now < at + COMMAND_PAUSE_MS);
        let session = sight.session();
        let token = self.cache.term().map(|term| term + m.raised);
        match (token, session) {
            (Some(token), Some(session)) if !failed && !m.address.is_empty() => {
                Carrier::Command { session, token }
            }
            _ => Carrier::Answer,
        }
    }

    /// Sends the starts of a committed claim. Each is sent once: were it sent again, a late
    /// copy could start the task after its result was taken and forgotten.
    pub(crate) fn command_starts(&mut self, claimed: &[Claimed]) {
        let mut by_machine: BTreeMap<String, (u64, u64, Vec<Order>)> = BTreeMap::new();
        for c in claimed {
            let booking = self.cache.booking(&c.machine, &c.task).map(|p| &p.booking);
            // An answer that comes late may find another attempt booked there, whose start has gone.
            let booking = booking.filter(|b| b.attempt == c.attempt);
            let open = self.cache.open_job(&c.task.job).is_some();
            if let Some((session, token)) = booking.and_then(|b| b.direct).filter(|_| open) {
                let entry = by_machine.entry(c.machine.clone());
                let (_, _, orders) = entry.or_insert((session, token, Vec::new()));
                let (task, attempt) = (c.task.clone(), c.attempt);
                tracing::info!(%task, attempt, machine = c.machine, "start sent");
                orders.push(Order::Start { task, attempt });
            }
        }
        for (id, (session, token, orders)) in by_machine {
            self.command(id, session, token, orders);
        }
    }

    fn command(&mut self, machine: String, session: u64, token: u64, orders: Vec<Order>) {
        if let Some(address) = self.cache.machine(&machine).map(|m| m.address.clone()) {
            self.emit(Effect::Command {
                machine,
                address,
                session,
                token,
                orders,
            });
        }
    }

    /// A command under the machine's current token and session; none if they are not known. Whether
    /// it answers can be asked without a session: a machine that died while all nodes were away was
    /// heard by none of them since, and would otherwise never be found silent.
    pub(crate) fn command_now(&mut self, id: String, orders: Vec<Order>) {
        let none = orders.is_empty().then_some(NO_SESSION);
        let session = self.sight(&id).session().or(none);
        if let (Some(token), Some(session)) = (self.machine_token(&id), session) {
            self.command(id, session, token, orders);
        }
    }

    /// Stops one booked task at once, with time to save.
    pub(crate) fn command_stop(&mut self, id: &str, task: &TaskId) {
        let booking = self.cache.booking(id, task).map(|p| &p.booking);
        let Some((attempt, why)) = booking.and_then(|b| Some((b.attempt, b.stop.as_deref()?)))
        else {
            return;
        };
        let grace_s = self.grace_s(&task.job);
        let task = task.clone();
        tracing::info!(%task, machine = id, why, "stop sent");
        let orders = vec![Order::Stop {
            task,
            attempt,
            grace_s,
        }];
        self.command_now(id.to_string(), orders);
    }

    /// Seconds given to a task to save when it is stopped.
    fn grace_s(&self, job: &str) -> f64 {
        let spec = self.cache.open_job(job);
        spec.map_or(0.0, |s| s.save_s * 1.5 + 1.0)
    }

    /// Stops a cancelled job's tasks at once. Late or lost, it does no harm: check-ins stop
    /// them as well.
    pub(crate) fn command_stops(&mut self, job: &str) {
        let mut due: BTreeMap<String, Vec<Order>> = BTreeMap::new();
        for (index, b) in self.cache.chunks_of(job).flat_map(|(_, c)| c.booked()) {
            due.entry(b.machine.clone()).or_default().push(Order::Stop {
                task: TaskId {
                    job: job.to_string(),
                    index,
                },
                attempt: b.attempt,
                grace_s: 0.0,
            });
        }
        for (id, orders) in due {
            self.command_now(id, orders);
        }
    }

    /// Whether the copy of the records shows all that became of an attempt's claim: the
    /// chunk has changed since the revision it was conditional on, or the job is over. Until
    /// then a sibling's claim may just not have arrived here.
    fn fate_known(&self, task: &TaskId, attempt: u64) -> bool {
        if !self.settings.checks.fate {
            return true;
        }
        let Some(job) = self.cache.job(&task.job) else {
            return false;
        };
        let n = job.chunk_of(task.index);
        self.cache.chunk_stamp(&task.job, n) > attempt
            || job.open().is_none() && self.cache.epoch >= self.cache.job_stamp(&task.job)
    }

    /// What the worker is told, from records that are committed.
    fn orders(&self, report: &Report) -> Vec<Order> {
        let id = &report.machine;
        let mark = mark(report);
        let mut orders = Vec::new();
        for t in &report.tasks {
            let booking = self.cache.booking(id, &t.task).map(|p| &p.booking);
            let booking = booking.filter(|b| b.attempt == t.attempt);
            if booking.is_none() && !self.fate_known(&t.task, t.attempt) {
                continue;
            }
            let job = self.cache.job(&t.task.job);
            match (t.phase, booking) {
                (TaskPhase::Exited(_), None) => orders.push(Order::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                }),
                (TaskPhase::Exited(_), Some(_)) => {}
                (phase, booking) => {
                    let over = job.is_none_or(|j| j.open().is_none());
                    let stop = booking.is_some_and(|b| b.stop.is_some());
                    if over || booking.is_none() {
                        orders.push(Order::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s: 0.0,
                        });
                    } else if stop && phase != TaskPhase::Saving {
                        let grace_s = self.grace_s(&t.task.job);
                        orders.push(Order::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s,
                        });
                    }
                }
            }
        }
        for (task, p) in self.cache.bookings(id) {
            let b = &p.booking;
            if b.armed == Some(mark)
                && b.stop.is_none()
                && !(report.tasks.iter()).any(|t| t.attempt == b.attempt && t.task == *task)
                && self.cache.open_job(&task.job).is_some()
            {
                orders.push(Order::Start {
                    task: task.clone(),
                    attempt: b.attempt,
                });
            }
        }
        orders
    }

    /// Whether starts that its answer shall carry are on record, though this node may have had no answer
    /// to its transaction: nobody else has this check-in.
    fn armed_on_record(&self, held: &Held) -> bool {
        let mark = held.mark();
        let armed = |(_, p): (&TaskId, &Placed)| p.booking.armed == Some(mark);
        self.settings.checks.doubt
            && !held.early
            && self.cache.bookings(&held.report.machine).any(armed)
    }

    pub(crate) fn answer_held(&mut self, id: &str) {
        let Some(token) = self.machine_token(id) else {
            return;
        };
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let orders = self.orders(&held.report);
        self.reply_orders(id, held.request, token, orders);
    }

    fn reply_orders(&mut self, id: &str, request: RequestId, token: u64, mut orders: Vec<Order>) {
        // What is cut off is due again with the next check-in, starts included.
        orders.truncate(REPLY_ORDERS);
        for order in &orders {
            match order {
                Order::Start { task, attempt } => {
                    tracing::info!(%task, attempt, machine = id, "start sent");
                }
                Order::Stop { task, attempt, .. } => {
                    tracing::info!(%task, attempt, machine = id, "stop sent");
                }
                Order::Forget { .. } => {}
            }
        }
        self.worker(request, WorkerReply::Orders { token, orders });
    }

    pub(crate) fn tick_held(&mut self) {
        let ids: Vec<String> = self.held.keys().cloned().collect();
        let state_ok = self.state_ok();
        for id in ids {
            let Some(held) = self.held.get(&id) else {
                continue;
            };
            if held.early && self.awaits_view() {
                continue;
            }
            if !state_ok && (self.loaded || self.now >= held.since + CHECKIN_PATIENCE_MS) {
                if let Some(held) = self.held.remove(&id) {
                    let reply = self.cut_off_reply(&held.report);
                    self.worker(held.request, reply);
                }
                continue;
            }
            if self.now >= held.since + CHECKIN_PATIENCE_MS || self.armed_on_record(held) {
                self.answer_held(&id);
                continue;
            }
        }
    }

    // ---- This node and the workers ------------------------------------------------------

    /// Whether workers reach this node, as far as can be told: cut off from them alone, it would
    /// claim work whose starts never arrive, and draw users away from nodes that serve them.
    pub(crate) fn workers_ok(&self) -> bool {
        let hears = |s: &Sibling| s.beat.workers_ok && !s.beat.heard.is_empty();
        !self.hearing.is_doubtful()
            || !self.settings.checks.workers
            || !self.fresh_siblings().any(hears)
    }

    /// Whether it may be this node that a question did not get out of: it has heard no worker since,
    /// while siblings have. It took the first two or three machines that fell silent so for dead.
    fn may_be_cut_off(&self, asked: Millis) -> bool {
        let elsewhere = self.fresh_siblings().any(|s| {
            let since = self.now - s.at;
            let heard = s
                .beat
                .heard
                .iter()
                .map(|(.., age)| self.now - (age + since).min(self.now));
            heard.max().is_some_and(|at| at > asked)
        });
        !self.workers_ok() || self.hearing.failed_alone(asked) && elsewhere
    }

    /// A worker has reported here, or answered.
    fn heard_worker(&mut self) {
        let mut longest = DEAF_MS;
        if self.hearing.gap(self.now) > DEAF_MS {
            let many = self.settings.report_ms * ZONE_REPORTS / (self.load() as u64).max(1);
            longest = longest.max(many.min(self.settings.report_due_ms()));
        }
        self.hearing.heard(self.now, longest);
    }

    /// Cut off from the workers, a node asks one of them now and then whether it is heard again.
    pub(crate) fn probe_cut(&mut self) {
        if !self.hearing.asks(self.now) {
            return;
        }
        let heard: Vec<&str> = (self.cache.machines())
            .filter(|(id, m, _)| m.is_up() && self.recently_heard(id))
            .map(|(id, ..)| id)
            .collect();
        if let Some(id) = heard.choose(&mut self.rng).map(|id| id.to_string()) {
            self.command_now(id, Vec::new());
        }
    }

    /// Machines that report to this node now.
    pub(crate) fn load(&self) -> usize {
        let fresh = self.now.saturating_sub(2 * self.settings.report_ms).max(1);
        let here =
            |(id, h): &(&String, &Heard)| h.at >= fresh && !h.older_than(self.standby.told(id));
        self.heard.iter().filter(here).count()
    }

    pub(crate) fn plan_handover(&mut self) {
        let recent = 2 * self.settings.report_ms;
        match self.state_ok() && self.settled() && self.leaving.is_none() {
            true => self.standby.plan_handover(self.now, self.load(), recent),
            false => self.standby.no_handover(),
        }
    }

    /// The sibling that a worker is to report to instead. Not while it has news: both nodes
    /// would record it.
    fn hand_over(&mut self, report: &Report) -> Option<String> {
        let exited = |t: &TaskReport| matches!(t.phase, TaskPhase::Exited(_));
        if report.notice_s.is_some() || report.tasks.iter().any(exited) {
            return None;
        }
        self.standby.next_handover()
    }

    // ---- Machines that fall silent, or idle --------------------------------------------

    pub(crate) fn commanded(&mut self, machine: String, reach: Reach) {
        match reach {
            Reach::Took | Reach::Refused => {
                self.heard_worker();
                self.signs.note(&machine).answered = Some(self.now);
            }
            Reach::Silent => {
                let zone = self.cache.machine(&machine).map(|m| &m.zone);
                // One that was not reached before says nothing of this node's own reach.
                let again = self.signs.of(&machine).silent_since().is_some();
                if !again && !zone.is_some_and(|z| self.zone_quiet(z)) {
                    self.hearing.unanswered();
                }
                self.signs.note(&machine).unreached = Some(self.now);
            }
            Reach::NotSent => {
                self.signs.note(&machine).asked = None;
            }
        }
        if reach != Reach::Took {
            tracing::debug!(machine, ?reach, "direct command failed");
            self.signs.note(&machine).refused = Some(self.now);
        }
    }

    /// When any node last got a machine's check-in, as far as is known here. A machine that
    /// has just come up may have reported to a sibling whose next beat is still to come, so
    /// this counts from when it was first seen up here.
    pub(crate) fn heard_at_of(&self, sight: &Liveness) -> Millis {
        let seen = sight.of.up.unwrap_or(self.now);
        let own = sight.own.map_or(seen, |h| h.at.max(seen));
        own.max(sight.told.map_or(0, |t| t.at))
    }

    /// When any node last got a check-in of it, if ever.
    pub(crate) fn last_check_in(&self, id: &str) -> Option<Millis> {
        self.sight(id).check_in()
    }

    /// Milliseconds without a sign of life of a machine: a check-in anywhere, or an answer to
    /// a direct command.
    fn silence(&self, id: &str) -> Millis {
        self.silence_of(&self.sight(id))
    }

    pub(crate) fn silence_of(&self, sight: &Liveness) -> Millis {
        let answered = sight.of.answered.unwrap_or(0);
        self.now - self.heard_at_of(sight).max(answered)
    }

    /// Milliseconds in which a worker finds another node: whichever a machine reported to, it is
    /// asked directly after that.
    pub(crate) fn unheard_limit(&self) -> Millis {
        self.move_time() + SILENCE_SPARE_MS
    }

    /// Machines that are overdue, and whether each is given up when a question to it fails.
    ///
    /// One that reported here is quickly given up: its check-in is overdue, a direct command sent
    /// since has failed, and other machines that report here do so. A worker only turns to another
    /// node when this one fails it, so there is no need to wait for that. Were most of them silent,
    /// this node would be what is cut off.
    ///
    /// One that no node is known to have heard for as long as a worker needs to find another is not
    /// given up soon if they are many, since then it is rather the network. When siblings can't be
    /// reached, most machines are only heard by them; their answers tell those that live from those
    /// that don't.
    fn overdue(&self, survey: Survey) -> BTreeMap<String, bool> {
        let mut overdue = BTreeMap::new();
        let limit = self.unheard_limit();
        if self.now - self.woke >= limit + self.settings.report_ms {
            let patience = match survey.unheard.len() * 3 <= survey.up {
                true => limit,
                false => limit.max(self.settings.lease_ms) * SILENCE_DOUBT,
            };
            let given_up = |(id, silence)| (id, silence > patience);
            overdue.extend(survey.unheard.into_iter().map(given_up));
        }
        if survey.late_here.len() * 3 <= survey.here {
            overdue.extend(survey.late_here.into_iter().map(|id| (id, true)));
        }
        overdue
    }

    /// Milliseconds between a worker's last check-in at one node and its first at another.
    pub(crate) fn move_time(&self) -> Millis {
        WORKER_MOVE_MS + self.settings.report_due_ms()
    }

    pub(crate) fn recently_heard(&self, id: &str) -> bool {
        self.recently_heard_of(&self.sight(id))
    }

    pub(crate) fn recently_heard_of(&self, sight: &Liveness) -> bool {
        self.now - self.heard_at_of(sight) < self.settings.report_ms * 5 / 2
    }

    /// Finds machines to delete: silent ones, ones that never came up, idle ones, and ones
    /// that still hold a cancelled task when its time runs out.
    pub(crate) fn judge_machines(&mut self) {
        let mut survey = self.survey();
        self.judge_zones(std::mem::take(&mut survey.zones));
        let overdue_ms = self.settings.report_due_ms() + PROBE_AFTER_MS;
        let mut asked_quiet: BTreeMap<String, usize> = BTreeMap::new();
        let mut overdue: Vec<(String, bool)> = self.overdue(survey).into_iter().collect();
        // Of a silent zone only a few are asked, each time others.
        overdue.shuffle(&mut self.rng);
        for (id, given_up) in overdue {
            let zone = self.cache.machine(&id).map_or("", |m| m.zone.as_str());
            let zone = zone.to_string();
            let OfMachine {
                asked, unreached, ..
            } = self.signs.of(&id);
            let heard = self.now - self.silence(&id);
            let failed = unreached
                .is_some_and(|at| at > heard + overdue_ms && self.now < at + PROBE_FRESH_MS);
            let failed_at = unreached.unwrap_or(0);
            let silent = failed && given_up && !self.may_be_cut_off(failed_at);
            if silent && self.silent_alone(&zone, failed_at) {
                self.condemn(&id, "silent, and not reached directly");
            } else if asked
                .is_none_or(|at| at < heard + overdue_ms || self.now >= at + PROBE_FRESH_MS)
            {
                if self.zone_quiet(&zone) {
                    let asked = asked_quiet.entry(zone).or_default();
                    if *asked >= ZONE_PROBES {
                        continue;
                    }
                    *asked += 1;
                }
                self.signs.note(&id).asked = Some(self.now);
                // No orders: only whether it answers.
                self.command_now(id, Vec::new());
            }
        }
        self.judge_lost_zones();
        self.ask_unreached();
        let mut condemned: Vec<(String, &'static str)> = Vec::new();
        let told = (self.settings.cancel_ms as f64 * CANCEL_DELETE_SHARE) as u64;
        for (job, counts) in self.cache.counted() {
            let untold = self.cache.ending(job);
            let after = if untold { CANCEL_UNTOLD_MS } else { told };
            let stuck = self.cache.job(job).is_some_and(|j| {
                j.phase == Phase::Cancelled
                    && counts.booked > 0
                    && self.wall > j.ended + self.settings.clock_off_ms + after
            });
            if stuck {
                let booked = self.cache.chunks_of(job).flat_map(|(_, c)| c.booked());
                for (_, b) in booked.filter(|(_, b)| !untold || !self.spared(&b.machine)) {
                    condemned.push((b.machine.clone(), "it still holds a cancelled task"));
                }
            }
        }
        for (id, m, _) in self.cache.machines() {
            let of = self.signs.note(id);
            let since = *of.known.get_or_insert(self.now);
            if m.is_up() {
                of.up.get_or_insert(self.now);
                if self.cache.booked_tasks(id) == 0 {
                    let idle = *of.idle.get_or_insert(self.now);
                    let keep = match m.phase {
                        MachinePhase::Draining => 0,
                        _ => {
                            self.settings.idle_return_ms()
                                + self.settings.node_index() * NODE_STAGGER_MS
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
        for (n, h, _) in self.cache.hires() {
            let since = self.hire_since.get(n).copied().unwrap_or(self.now);
            if self.now - since > self.boot_patience(&h.type_name) {
                let hosts = h.hosts.iter().flatten();
                let missing = |id: &&String| self.on_its_way(id) && !self.recently_reported(id);
                for id in hosts.filter(missing) {
                    condemned.push((id.clone(), "it never came up"));
                }
            }
        }
        for (id, why) in condemned {
            self.condemn(&id, why);
        }
    }

    /// Whether a machine has checked in, though its record may not say so yet.
    fn recently_reported(&self, id: &str) -> bool {
        let fresh = |at: Millis| self.now < at + 2 * self.settings.lease_ms;
        self.last_check_in(id).is_some_and(fresh)
    }

    fn boot_patience(&self, type_name: &str) -> Millis {
        let boot_s = self.types.get(type_name).map_or(60.0, |t| t.boot_s);
        (boot_s * 1000.0 * BOOT_GIVE_UP) as u64 + BOOT_SPARE_MS
    }
}

fn outcome_of(cause: Cause) -> Outcome {
    match cause {
        Cause::Done => Outcome::Done,
        Cause::Error => Outcome::Failed,
        Cause::NoRoom | Cause::Busy | Cause::Unknown => Outcome::Refused,
        Cause::Stopped | Cause::Other => Outcome::Gone,
    }
}

/// A check-in of a newer session than the one that the booking's start was for.
fn outlived(b: &Booking, mark: (u64, u64)) -> bool {
    let session = b.armed.or(b.direct).map(|(session, _)| session);
    session.is_some_and(|session| session < mark.0)
}

/// The start of a booking can't arrive any more, if it is not there already. Of a newer
/// session the worker has killed and forgotten everything older; a check-in after the one
/// whose answer carried the start shows that the answer brought nothing; a token above the
/// direct command's makes the worker refuse that one, however late.
fn barred(b: &Booking, mark: (u64, u64), token: u64) -> bool {
    match (b.armed, b.direct) {
        (_, Some((session, sent))) => session < mark.0 || sent < token,
        (Some(armed), None) => armed < mark,
        (None, None) => true,
    }
}
