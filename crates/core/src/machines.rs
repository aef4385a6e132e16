//! Machines: their check-ins, the evidence these bring, and machines that fall silent.
//!
//! A start travels by one direct command, or in the answer to the check-in recorded in its
//! booking. `reconcile` says what proves that it will never arrive.

use crate::claims::{self, Carrier, Outcome};
use crate::constants::*;
use crate::model::*;
use crate::node::*;
use crate::records::*;
use std::collections::BTreeMap;

/// A check-in that waits for its answer.
pub(crate) struct Held {
    pub request: RequestId,
    pub report: Report,
    pub since: Millis,
    /// A transaction for this check-in is on its way.
    pub busy: bool,
}

impl Held {
    fn mark(&self) -> (u64, u64) {
        (self.report.session, self.report.tally)
    }
    /// The check-in a start may be booked for, if its answer is still far enough away.
    pub fn open_for_starts(&self, now: Millis) -> Option<(u64, u64)> {
        (now < self.since + CHECKIN_PATIENCE_MS - 400).then(|| self.mark())
    }
    fn reported(&self, task: &TaskId, attempt: u64) -> Option<TaskPhase> {
        self.report
            .tasks
            .iter()
            .find(|t| t.task == *task && t.attempt == attempt)
            .map(|t| t.phase)
    }
}

impl Node {
    pub(crate) fn check_in(&mut self, request: RequestId, report: Report) {
        let id = report.machine.clone();
        let mark = (report.session, report.tally);
        let heard = self.heard.entry(id.clone()).or_insert(Heard {
            at: self.now,
            session: 0,
            tally: 0,
        });
        if mark >= (heard.session, heard.tally) {
            heard.at = self.now;
            (heard.session, heard.tally) = mark;
        }
        if !self.loaded && self.state_age() < CHECKIN_PATIENCE_MS {
            // Just started: the records will be here in a moment, while another node would
            // be a second away.
            self.hold(request, report);
            return;
        }
        let Some(token) = self.machine_token(&id) else {
            self.worker(request, WorkerReply::NotNow);
            return;
        };
        if !self.state_ok() {
            let reply = self.cut_off_reply(token);
            self.worker(request, reply);
            return;
        }
        if report.token > token {
            // Commands of a newer term than this node knows: not entitled to answer.
            self.worker(request, WorkerReply::NotNow);
            return;
        }
        self.hold(request, report);
    }

    fn hold(&mut self, request: RequestId, report: Report) {
        let id = report.machine.clone();
        let mark = (report.session, report.tally);
        if let Some(old) = self.held.remove(&id) {
            if old.mark() > mark {
                self.held.insert(id, old);
                self.worker(request, WorkerReply::NotNow);
                return;
            }
            // The worker has given up the earlier one, so its answer carries nothing.
            self.worker(old.request, WorkerReply::NotNow);
        }
        self.held.insert(
            id.clone(),
            Held {
                request,
                report,
                since: self.now,
                busy: false,
            },
        );
        self.note_missing(&id);
        self.changed = true;
    }

    fn worker(&mut self, request: RequestId, reply: WorkerReply) {
        self.emit(Effect::Worker { request, reply });
    }

    /// Cut off from the state service: hand workers to a sibling that reaches it, or keep
    /// their leases alive without giving orders - but not for so long that a job cancelled
    /// elsewhere would outlive its time here, unless the outage is everyone's.
    fn cut_off_reply(&self, token: u64) -> WorkerReply {
        if let Some(node) = self.sibling_with_state() {
            return WorkerReply::Elsewhere { node: Some(node) };
        }
        let limit = self
            .settings
            .cancel_ms
            .saturating_sub(self.settings.lease_ms + CANCEL_MARGIN_MS);
        let common = self.fresh_siblings().count() + 1 == self.settings.nodes.len();
        if self.loaded && (common || self.state_age() < limit) {
            WorkerReply::Orders {
                token,
                orders: Vec::new(),
            }
        } else {
            WorkerReply::NotNow
        }
    }

    /// Does what the held check-ins call for next: one transaction for as many of them as
    /// fit, or their answers, or waiting on.
    ///
    /// One such transaction is on its way at a time: two of one node would often change the
    /// same team's record, and the loser would have cost budget for nothing.
    pub(crate) fn advance_held(&mut self) {
        if !self.loaded || self.cache.term().is_none() || !self.may_write() {
            return;
        }
        let mut draft = Draft::new(&self.cache);
        let (mut changed, mut settled) = (Vec::new(), Vec::new());
        let mut held: Vec<&Held> = self.held.values().filter(|h| !h.busy).collect();
        held.sort_by_key(|h| h.since);
        for h in held {
            let id = &h.report.machine;
            if self.busy_machines.contains(id) {
                continue;
            }
            let mark = draft.save();
            self.reconcile(h, &mut draft);
            if !draft.within(self.settings.txn_ops) || draft.bytes() > TXN_BYTES {
                draft.restore(mark);
                break;
            }
            if draft.touches(&Key::Machine(id.clone())) {
                changed.push(id.clone());
            } else {
                // Only read: no reason to make its record a condition.
                draft.restore(mark);
                settled.push(id.clone());
            }
        }
        if !draft.is_empty() {
            let txn = draft.finish();
            for id in &changed {
                if let Some(held) = self.held.get_mut(id) {
                    held.busy = true;
                }
            }
            self.writing = true;
            self.commit(txn, Purpose::Reconcile(changed), Priority::Result);
        }
        for id in settled {
            self.answer_held(&id);
        }
    }

    /// The changes of the records that a check-in gives reason for.
    fn reconcile(&self, held: &Held, draft: &mut Draft) {
        let report = &held.report;
        let id = &report.machine;
        let mark = held.mark();
        let wall = self.wall;
        let Some(record) = self.cache.machine(id) else {
            if self.gone.contains(id) {
                return;
            }
            let machine = MachineRecord {
                address: report.address.clone(),
                ..MachineRecord::new(
                    &report.type_name,
                    &report.zone,
                    report.spot,
                    MachinePhase::Up,
                    wall,
                )
            };
            draft.put(Key::Machine(id.clone()), Record::Machine(machine));
            return;
        };
        for b in &record.bookings {
            let task = b.task();
            let job = self.cache.job(&b.job);
            let wanted = b.stop.is_none() && job.is_some_and(|j| j.open().is_some());
            let reported = held.reported(&task, b.attempt);
            // The start can't arrive any more, and is not there: of a newer session the
            // worker has killed and forgotten everything older; a check-in after the one
            // whose answer carried the start shows that the answer brought nothing; a token
            // above the direct command's makes the worker refuse that one, however late.
            let barred = match (b.armed, b.direct) {
                (_, Some((session, token))) => session < mark.0 || token < report.token,
                (Some(armed), None) => armed < mark,
                (None, None) => true,
            };
            let newer_session = b
                .armed
                .or(b.direct)
                .is_some_and(|(session, _)| session < mark.0);
            let ended = match reported {
                Some(TaskPhase::Exited(cause)) => Some(match cause {
                    Cause::Done => Outcome::Done,
                    Cause::Error => Outcome::Failed,
                    Cause::NoRoom | Cause::Busy | Cause::Unknown => Outcome::Refused,
                    Cause::Stopped | Cause::Other => Outcome::Gone,
                }),
                None if newer_session || barred && !wanted => Some(Outcome::Gone),
                _ => None,
            };
            let step = draft.save();
            if let Some(outcome) = ended {
                claims::release(draft, id, &task, b.attempt, outcome, wall);
            } else if reported == Some(TaskPhase::Running)
                && report.notice_s.is_some()
                && b.stop.is_none()
                && job
                    .and_then(|j| j.open())
                    .is_some_and(|s| s.checkpoint_s > 0.0)
            {
                // The machine is about to be taken: what can save its progress does so now.
                self.edit_booking(draft, id, b, |b| b.stop = Some("notice".into()));
            } else if reported.is_none() && barred && held.open_for_starts(self.now).is_some() {
                // The start goes into this answer, once the booking says so.
                self.edit_booking(draft, id, b, |b| {
                    b.direct = None;
                    b.armed = Some(mark);
                });
            } else if reported.is_none() && !barred && self.long_missing(id, b) {
                // A direct command without a trace: raise the token so that it can't come
                // late. Once the worker reports the new token, the start is barred.
                if let Some(mut machine) = draft.machine(id) {
                    let token = self.cache.term().unwrap_or(0) + machine.raised;
                    if b.direct.is_some_and(|(_, t)| t >= token) {
                        machine.raised += 1;
                        draft.put(Key::Machine(id.clone()), Record::Machine(machine));
                    }
                }
            }
            if !draft.within(self.settings.txn_ops) {
                draft.restore(step);
                break;
            }
        }
        let Some(mut machine) = draft.machine(id) else {
            return;
        };
        let before = machine.clone();
        if machine.phase == MachinePhase::Booting {
            machine.phase = MachinePhase::Up;
        }
        if machine.address != report.address {
            machine.address = report.address.clone();
        }
        if report.notice_s.is_some() && machine.phase == MachinePhase::Up {
            machine.phase = MachinePhase::Draining;
        }
        if machine != before {
            draft.put(Key::Machine(id.clone()), Record::Machine(machine));
        }
    }

    fn edit_booking(
        &self,
        draft: &mut Draft,
        machine_id: &str,
        booking: &Booking,
        edit: impl FnOnce(&mut Booking),
    ) {
        let Some(mut machine) = draft.machine(machine_id) else {
            return;
        };
        let same = |b: &&mut Booking| {
            b.attempt == booking.attempt && b.job == booking.job && b.index == booking.index
        };
        if let Some(b) = machine.bookings.iter_mut().find(same) {
            edit(b);
        }
        draft.put(
            Key::Machine(machine_id.to_string()),
            Record::Machine(machine),
        );
    }

    /// The token under which a machine is commanded, the same for all nodes.
    pub(crate) fn machine_token(&self, id: &str) -> Option<u64> {
        let raised = self.cache.machine(id).map_or(0, |m| m.raised);
        Some(self.cache.term()? + raised)
    }

    fn long_missing(&self, id: &str, b: &Booking) -> bool {
        self.missing_since
            .get(&(id.to_string(), b.task(), b.attempt))
            .is_some_and(|at| self.now >= at + MISSING_MS)
    }

    /// Notes which directly commanded starts a check-in does not show.
    fn note_missing(&mut self, id: &str) {
        let (Some(held), Some(record)) = (self.held.get(id), self.cache.machine(id)) else {
            return;
        };
        for b in record.bookings.iter().filter(|b| b.direct.is_some()) {
            let key = (id.to_string(), b.task(), b.attempt);
            if held.reported(&key.1, b.attempt).is_some() {
                self.missing_since.remove(&key);
            } else {
                self.missing_since.entry(key).or_insert(self.now);
            }
        }
    }

    /// How a start gets from here to a machine: by a direct command, unless the last one
    /// failed; then by the answer to a check-in.
    pub(crate) fn carrier(&self, id: &str, m: &MachineRecord) -> Carrier {
        let failed = self
            .command_failed
            .get(id)
            .is_some_and(|at| self.now < at + COMMAND_PAUSE_MS);
        let session = self.latest_session(id);
        match (self.machine_token(id), session) {
            (Some(token), Some(session)) if !failed && !m.address.is_empty() => {
                Carrier::Command { session, token }
            }
            _ => Carrier::Answer(self.held.get(id).and_then(|h| h.open_for_starts(self.now))),
        }
    }

    fn latest_session(&self, id: &str) -> Option<u64> {
        let own = self.heard.get(id).map(|h| h.session);
        own.max(self.told.get(id).map(|h| h.session))
    }

    /// Sends the starts of a committed claim. Each is sent once: were it sent again, a late
    /// copy could start the task after its result was taken and forgotten.
    pub(crate) fn command_starts(&mut self, claimed: &[(TaskId, String)]) {
        let mut by_machine: BTreeMap<String, (u64, u64, Vec<Order>)> = BTreeMap::new();
        for (task, id) in claimed {
            let booking = self.cache.machine(id).and_then(|m| {
                let same = |b: &&Booking| b.job == task.job && b.index == task.index;
                m.bookings.iter().find(same)
            });
            let open = self.cache.open_job(&task.job).is_some();
            if let Some((attempt, (session, token))) = booking
                .and_then(|b| Some((b.attempt, b.direct?)))
                .filter(|_| open)
            {
                let entry = by_machine.entry(id.clone());
                let (_, _, orders) = entry.or_insert((session, token, Vec::new()));
                let task = task.clone();
                tracing::info!(%task, attempt, machine = id, "start sent");
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

    /// A command under the machine's current token and session; none if they are not known.
    fn command_now(&mut self, id: String, orders: Vec<Order>) {
        if let (Some(token), Some(session)) = (self.machine_token(&id), self.latest_session(&id)) {
            self.command(id, session, token, orders);
        }
    }

    /// Stops one booked task at once, with time to save.
    pub(crate) fn command_stop(&mut self, id: &str, task: &TaskId) {
        let found = self.cache.machine(id).and_then(|m| {
            m.bookings
                .iter()
                .find(|b| b.task() == *task && b.stop.is_some())
        });
        let Some(attempt) = found.map(|b| b.attempt) else {
            return;
        };
        let grace_s = self.grace_s(&task.job);
        let task = task.clone();
        let why = found.and_then(|b| b.stop.as_deref()).unwrap_or_default();
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
        let mut due: Vec<(String, Vec<Order>)> = Vec::new();
        for (id, m, _) in self.cache.machines() {
            let orders: Vec<Order> = m
                .bookings
                .iter()
                .filter(|b| b.job == job)
                .map(|b| Order::Stop {
                    task: b.task(),
                    attempt: b.attempt,
                    grace_s: 0.0,
                })
                .collect();
            if !orders.is_empty() {
                due.push((id.to_string(), orders));
            }
        }
        for (id, orders) in due {
            self.command_now(id, orders);
        }
    }

    pub(crate) fn reconciled(&mut self, machines: Vec<String>, committed: bool) {
        for id in machines {
            if let Some(held) = self.held.get_mut(&id) {
                held.busy = false;
            }
        }
        if committed {
            self.lookup_wanted = true;
        }
    }

    /// What the worker is told, from records that are committed.
    fn orders(&self, held: &Held) -> Vec<Order> {
        let id = &held.report.machine;
        let mark = held.mark();
        let mut orders = Vec::new();
        let record = self.cache.machine(id);
        let stamp = self.cache.stamp(&Key::Machine(id.clone()));
        for t in &held.report.tasks {
            let booking = record.and_then(|m| {
                m.bookings.iter().find(|b| {
                    b.attempt == t.attempt && b.job == t.task.job && b.index == t.task.index
                })
            });
            // A claim changes the record from the revision that is its attempt: while the
            // copy is not past that, a sibling's claim may just not have arrived here.
            if booking.is_none() && stamp <= t.attempt {
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
        for b in record.iter().flat_map(|m| &m.bookings) {
            let task = b.task();
            if b.armed == Some(mark)
                && b.stop.is_none()
                && held.reported(&task, b.attempt).is_none()
                && self.cache.open_job(&b.job).is_some()
            {
                orders.push(Order::Start {
                    task,
                    attempt: b.attempt,
                });
            }
        }
        orders
    }

    fn answer_held(&mut self, id: &str) {
        let Some(token) = self.machine_token(id) else {
            return;
        };
        let Some(held) = self.held.remove(id) else {
            return;
        };
        let orders = self.orders(&held);
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
        self.worker(held.request, WorkerReply::Orders { token, orders });
    }

    pub(crate) fn tick_held(&mut self) {
        let ids: Vec<String> = self.held.keys().cloned().collect();
        let state_ok = self.state_ok();
        for id in ids {
            let Some(held) = self.held.get(&id) else {
                continue;
            };
            if !state_ok && (self.loaded || self.now >= held.since + CHECKIN_PATIENCE_MS) {
                // Starts that were committed for this answer may go; nothing else.
                let (request, token) = (held.request, self.machine_token(&id).unwrap_or(0));
                let reply = self.cut_off_reply(token);
                self.held.remove(&id);
                self.worker(request, reply);
                continue;
            }
            if self.now >= held.since + CHECKIN_PATIENCE_MS {
                self.answer_held(&id);
                continue;
            }
        }
        self.changed |= !self.held.is_empty();
    }

    // ---- Machines that fall silent, or idle --------------------------------------------

    /// Milliseconds since any node heard of a machine, as far as is known here. A machine
    /// that has just come up may have reported to a sibling whose next beat is still to come,
    /// so its silence counts from when it was first seen up here.
    fn silence(&self, id: &str) -> Millis {
        let seen = self.up_since.get(id).copied().unwrap_or(self.now);
        let own = self.heard.get(id).map_or(seen, |h| h.at.max(seen));
        let told = self.told.get(id).map_or(0, |h| h.at);
        self.now - own.max(told)
    }

    /// Keeps what siblings say they heard. It must outlive their next beat: a node that has
    /// just restarted has heard of nothing, and machines that had reported to it would seem
    /// silent for as long as this node has not heard of them.
    pub(crate) fn told_of(&mut self, beat: &Beat) {
        for (id, session, tally, age) in &beat.heard {
            let at = self.now.saturating_sub(*age);
            let told = self.told.entry(id.clone()).or_insert(Heard {
                at,
                session: 0,
                tally: 0,
            });
            told.at = told.at.max(at);
            (told.session, told.tally) = (told.session, told.tally).max((*session, *tally));
        }
    }

    /// Whether a machine that reported here is quickly given up: its check-in is overdue, a
    /// direct command sent since has failed, and other machines that report here do so. A
    /// worker only turns to another node when this one fails it, so there is no need to
    /// wait for that. Were most of them silent, this node would be what is cut off.
    fn overdue_here(&self, quick: Millis) -> Vec<String> {
        let here: Vec<(&String, Millis)> = self
            .heard
            .iter()
            .filter(|(id, h)| {
                self.cache.machine(id).is_some_and(|m| m.is_up()) && !self.newer_elsewhere(id, h)
            })
            .map(|(id, h)| (id, self.now - h.at))
            .collect();
        let late: Vec<String> = here
            .iter()
            .filter(|(_, age)| *age > quick)
            .map(|(id, _)| id.to_string())
            .collect();
        match late.len() * 3 <= here.len() {
            true => late,
            false => Vec::new(),
        }
    }

    /// Machines that no node has heard for as long as a worker needs to find another node:
    /// whichever they reported to, they are asked directly. Not if they are many: then it is
    /// rather the network.
    fn unheard_by_all(&self) -> Vec<String> {
        let limit = self.move_time() + SILENCE_SPARE_MS;
        if self.now - self.started < limit + self.settings.report_ms {
            return Vec::new();
        }
        let (mut ups, mut late) = (0, Vec::new());
        for (id, m, _) in self.cache.machines() {
            if m.is_up() {
                ups += 1;
                if self.silence(id) > limit {
                    late.push(id.to_string());
                }
            }
        }
        match late.len() * 3 <= ups {
            true => late,
            false => Vec::new(),
        }
    }

    fn newer_elsewhere(&self, id: &str, own: &Heard) -> bool {
        self.told
            .get(id)
            .is_some_and(|t| (t.session, t.tally) > (own.session, own.tally))
    }

    /// Milliseconds between a worker's last check-in at one node and its first at another.
    fn move_time(&self) -> Millis {
        WORKER_MOVE_MS + self.settings.report_ms * 5 / 4
    }

    fn silence_limit(&self) -> Millis {
        let moved = self.move_time();
        // Up to the end of its lease a machine that nobody hears may still be at work and
        // about to find another node; after it, its tasks are gone and deletion costs none.
        moved.max(self.settings.lease_ms) + SILENCE_SPARE_MS
    }

    pub(crate) fn recently_heard(&self, id: &str) -> bool {
        self.silence(id) < self.settings.report_ms * 5 / 2
    }

    /// Finds machines to delete: silent ones, ones that never came up, idle ones, and ones
    /// that still hold a cancelled task when its time runs out.
    pub(crate) fn judge_machines(&mut self) {
        let first_look = self.now - self.started < self.silence_limit() + self.settings.report_ms;
        let limit = self.silence_limit() + self.settings.node_index() * NODE_STAGGER_MS;
        let overdue_ms = self.settings.report_ms * 5 / 4 + PROBE_AFTER_MS;
        let mut overdue = self.overdue_here(overdue_ms);
        for id in self.unheard_by_all() {
            if !overdue.contains(&id) {
                overdue.push(id);
            }
        }
        for id in overdue {
            let asked = self.asked_at.get(&id).copied();
            let heard = self.now - self.silence(&id);
            let failed = self.unreached.get(&id).copied();
            if failed.is_some_and(|at| at > heard + overdue_ms && self.now < at + PROBE_FRESH_MS) {
                self.condemn(&id, "silent, and not reached directly");
            } else if asked.is_none_or(|at| at < heard + overdue_ms) {
                self.asked_at.insert(id.clone(), self.now);
                // No orders: only whether it answers.
                self.command_now(id, Vec::new());
            }
        }
        let mut ups = 0;
        let mut condemned: Vec<(String, &'static str)> = Vec::new();
        let stuck_after = (self.settings.cancel_ms as f64 * CANCEL_DELETE_SHARE) as u64;
        for (id, m, _) in self.cache.machines() {
            let since = *self
                .seen_since
                .entry(Key::Machine(id.to_string()))
                .or_insert(self.now);
            if m.is_up() {
                self.up_since.entry(id.to_string()).or_insert(self.now);
                ups += 1;
                let stuck = m.bookings.iter().any(|b| {
                    self.cache.job(&b.job).is_some_and(|j| {
                        j.phase == Phase::Cancelled
                            && self.wall > j.ended + self.settings.clock_off_ms + stuck_after
                    })
                });
                if stuck {
                    condemned.push((id.to_string(), "it still holds a cancelled task"));
                }
                if m.bookings.is_empty() {
                    let idle = *self.idle_since.entry(id.to_string()).or_insert(self.now);
                    let keep = match m.phase {
                        MachinePhase::Draining => 0,
                        _ => {
                            self.settings.idle_return_ms
                                + self.settings.node_index() * NODE_STAGGER_MS
                        }
                    };
                    if self.now - idle > keep {
                        condemned.push((id.to_string(), "nothing to do"));
                    }
                } else {
                    self.idle_since.remove(id);
                }
            }
            if m.phase == MachinePhase::Booting {
                let boot_s = self.types.get(&m.type_name).map_or(60.0, |t| t.boot_s);
                let patience = (boot_s * 1000.0 * BOOT_GIVE_UP) as u64 + BOOT_SPARE_MS;
                if self.now - since > patience {
                    condemned.push((id.to_string(), "it never came up"));
                }
            }
        }
        let silent: Vec<(String, Millis)> = self
            .cache
            .machines()
            .filter(|(id, m, _)| m.is_up() && self.silence(id) > limit)
            .map(|(id, _, _)| (id.to_string(), self.silence(id)))
            .collect();
        let doubt = if silent.len() * 2 > ups && ups > 2 {
            SILENCE_DOUBT
        } else {
            1
        };
        if !first_look {
            for (id, silence) in silent {
                if silence > limit * doubt {
                    condemned.push((id, "silent"));
                }
            }
        }
        for (id, why) in condemned {
            self.condemn(&id, why);
        }
    }
}
