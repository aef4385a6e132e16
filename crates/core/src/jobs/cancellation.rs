//! Cancellations that are told only when nothing is left of the job, and what rests on it: that a
//! controller which is cut off may renew leases for as long as the cut lasts.
//!
//! A user who was told that a job is cancelled must find nothing of it anywhere `cancel_s` later.
//! Told at its commit, that rests on what happens after: a halt that arrives, a deletion that the
//! cloud carries out, or a lease that nobody renews, so a controller cut off with its zone had to stop
//! renewing in time, and let everything die that nothing was wrong with. Told when every assignment of
//! the job is proven to be over, it rests on nothing that is still to happen. So renewing can break
//! no rule, whoever does it and for however long.
//!
//! Until every controller has format 3 cancellations are told at their commit, as older versions do, and
//! leases are renewed no longer than they allow. `g/settled` is written once when all have it:
//! which of the two holds for a cancellation is the order of the two revisions, and each
//! cancellation is conditional on the key as it was known. See docs/design.md.

use crate::constants::{
    CANCEL_MARGIN_MS, CANCEL_PATIENCE_MS, CANCEL_RETRY_AFTER_S, CONFIRMED_CANCELLATION_TERM,
    REPLY_MAX_COMMANDS, SILENCE_MARGIN_MS, WORKER_FAILOVER_MS,
};
use crate::controller::{
    Controller, PendingOperation, RequestClass, RequestId, UserReply, WorkerReply,
};
use crate::jobs::requests::{RequestKind, UserRequest};
use crate::model::{JobState, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat};
use crate::state::formats;
use crate::state::{
    Assignment, CancellationConfirmationRecord, Counts, JobPhase, Key, MachinePhase, Placed,
    Record, TermRecord, TransactionBuilder,
};

impl Controller {
    /// Writes, once all controllers have the format, from when on cancellations are told when all is gone;
    /// and, once nothing is left of any that was told before, raises the term beyond
    /// `CONFIRMED_CANCELLATION_TERM`. A worker that has seen such a token proves that to a controller without records.
    pub(crate) fn record_cancellation_confirmation(&mut self) {
        let settled = self.cache.mod_revision(&Key::CancellationConfirmation);
        if self.upgrade.settle_busy || self.cache.format() < formats::CONFIRMED_CANCELLATION {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        match (settled, self.cache.term()) {
            (0, _) => {
                let version = formats::CONFIRMED_CANCELLATION;
                draft.put(
                    Key::CancellationConfirmation,
                    Record::CancellationConfirmation(CancellationConfirmationRecord { version }),
                );
                self.draft_configuration_enabled(&mut draft);
            }
            (_, Some(term))
                if term < CONFIRMED_CANCELLATION_TERM && self.cache.revision >= settled =>
            {
                let told_before = |(job, counts): (&str, Counts)| {
                    let phase = self.cache.job(job).map(|j| j.phase);
                    let before = self.cache.job_revision(job) < settled;
                    counts.assigned > 0 && phase == Some(JobPhase::Cancelled) && before
                };
                if self.cache.counted().any(told_before) {
                    return;
                }
                let term = term + CONFIRMED_CANCELLATION_TERM;
                draft.put(Key::Term, Record::Term(TermRecord { term }));
            }
            _ => return,
        }
        let transaction = draft.finish();
        self.upgrade.settle_busy = true;
        self.commit(
            transaction,
            PendingOperation::ConfirmCancellations,
            RequestClass::User,
        );
    }

    /// A cancellation was committed, or asked for once more, and tasks of the job may be left: its
    /// user waits a moment, as most tasks are gone within half a second. One whose machines can't
    /// be reached now is told at once when to come back.
    pub(crate) fn await_cancellation(&mut self, request: RequestId) {
        let Some(job) = self.requests.open.get(&request).map(|a| a.job.clone()) else {
            return;
        };
        let unreached = |b: &Assignment| match self.cache.machine(&b.machine) {
            Some(m) => {
                let reached = self.reachable(&b.machine, &m.zone) || self.answers(&b.machine);
                m.phase == MachinePhase::Deprovisioning || !reached
            }
            None => true,
        };
        let assigned = self.cache.chunks_of(&job).flat_map(|(_, c)| c.assigned());
        if assigned.map(|(_, b)| b).any(unreached) {
            let after_s = CANCEL_RETRY_AFTER_S;
            self.answer(request, UserReply::RetryAfter { after_s });
            return;
        }
        let until = self.now + CANCEL_PATIENCE_MS;
        if let Some(ask) = self.requests.open.get_mut(&request) {
            ask.until = ask.until.min(until);
            self.requests.awaiting_cancellation.insert(request);
        }
    }

    /// Tells those who wait for it that their job is cancelled, now that nothing is left of it.
    pub(crate) fn confirm_cancellations(&mut self) {
        if self.requests.awaiting_cancellation.is_empty() || !self.sync.has_listed {
            return;
        }
        let asks = &self.requests.open;
        self.requests
            .awaiting_cancellation
            .retain(|request| asks.contains_key(request));
        let gone = |request: &RequestId| {
            let ask: &UserRequest = self.requests.open.get(request)?;
            let told = matches!(ask.want, RequestKind::Cancel) && !self.cache.ending(&ask.job);
            told.then(|| (*request, ask.job.clone()))
        };
        let over: Vec<(RequestId, String)> = self
            .requests
            .awaiting_cancellation
            .iter()
            .filter_map(gone)
            .collect();
        for (request, job) in over {
            self.requests.awaiting_cancellation.remove(&request);
            let state = JobState::Cancelled;
            self.answer(request, UserReply::Cancelled { job, state });
        }
    }

    /// Whether a machine that holds a cancelled task which nobody was told of is left alone: its zone
    /// is cut off, and it runs others' work. The user waits longer then, but nobody else loses what
    /// runs well behind the cut.
    pub(crate) fn is_spared(&self, id: &str) -> bool {
        let quiet = self
            .cache
            .machine(id)
            .is_some_and(|m| self.is_zone_unreachable(&m.zone));
        let other = |(task, _): (&TaskId, &Placed)| self.cache.open_job(&task.job).is_some();
        quiet && self.cache.assignments(id).any(other)
    }

    /// Whether renewing a lease can break no rule. Cancellations later than `g/settled` are told when
    /// nothing is left; a copy that has reached it knows all earlier ones, and stops their tasks; and
    /// where a worker has seen a settled term there are none of these.
    fn renewing_is_safe(&self, report: &WorkerHeartbeat) -> bool {
        let settled = self.cache.mod_revision(&Key::CancellationConfirmation);
        report.token >= CONFIRMED_CANCELLATION_TERM
            || self.sync.has_listed && settled > 0 && self.cache.revision >= settled
    }

    /// Cut off from the state service: hand workers to a peer that reaches it, or keep their
    /// leases alive. Nothing is started; what was cancelled before the cut is stopped, since that
    /// never changes. A controller that has started inside the cut, and so knows nothing, does the same.
    pub(crate) fn reply_without_state(&mut self, report: &WorkerHeartbeat) -> WorkerReply {
        if let Some(controller) = self.peer_with_state() {
            return WorkerReply::Redirect {
                controller: Some(controller),
            };
        }
        let renews = match self.renewing_is_safe(report) {
            true => self.keeps_worker(&report.machine),
            // Somebody may have been told of a cancellation since the last answer, also of one that
            // came a moment before all lost the state service.
            false => self.lost_state_recently() || !self.settings.checks.bounded,
        };
        let token = self.fencing_token(&report.machine).unwrap_or(0);
        // Peers may have raised it since this controller was cut off. Nothing is started, so a start
        // that this bars stays barred.
        let token = token.max(report.token);
        if !renews || token == 0 {
            return WorkerReply::Unavailable;
        }
        WorkerReply::Commands {
            token,
            commands: self.stops_for_cancelled(report),
        }
    }

    fn stops_for_cancelled(&self, report: &WorkerHeartbeat) -> Vec<WorkerCommand> {
        let cancelled = |t: &&TaskStatus| {
            let job = self.cache.job(&t.task.job);
            !matches!(t.phase, TaskPhase::Exited(_))
                && job.is_some_and(|j| j.phase == JobPhase::Cancelled)
        };
        let tasks = report.tasks.iter().filter(cancelled);
        let stop = |t: &TaskStatus| WorkerCommand::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: 0.0,
        };
        tasks.map(stop).take(REPLY_MAX_COMMANDS).collect()
    }

    /// Whether the state service answered so lately that what somebody was told since is in time
    /// though this controller renews: the lease may begin with the last answer.
    fn lost_state_recently(&self) -> bool {
        let limit = self
            .settings
            .cancel_ms
            .saturating_sub(self.settings.lease_ms + CANCEL_MARGIN_MS);
        self.sync.has_listed && self.state_age() < limit
    }

    /// Whether a worker is kept, rather than sent to look for another controller. A controller that is cut off
    /// alone must not keep workers that others would serve; one that is cut off with its zone is all
    /// they have. Which it is shows in who still reports: only machines of its own zone, or those of
    /// others as well. Else each worker is sent away once, if its lease allows for the way round: one
    /// that is back found no other.
    fn keeps_worker(&mut self, id: &str) -> bool {
        let common = self.fresh_peers().count() + 1 == self.settings.controllers.len();
        if self.sync.has_listed && common {
            return true;
        }
        let several = self.settings.zones.len() > 1;
        let recent = 2 * self.settings.report_ms;
        let here = self.settings.zone.as_str();
        let mut zones = self.workers.zones_heard_at.iter();
        let foreign = zones.any(|(zone, at)| zone != here && self.now < at + recent);
        if several && !foreign {
            return true;
        }
        let lease_ms = self.settings.lease_ms;
        let round = (self.settings.controllers.len() as u64 - 1) * WORKER_FAILOVER_MS
            + self.settings.report_due_ms()
            + SILENCE_MARGIN_MS;
        if round >= lease_ms {
            return self.lost_state_recently();
        }
        // Those that come back to a controller that was away have looked already.
        let sent = self.workers.redirected_at.get(id).copied();
        if self.now < self.lifecycle.resumed_at + lease_ms
            || sent.is_some_and(|at| self.now < at + 2 * lease_ms)
        {
            return true;
        }
        self.workers.redirected_at.insert(id.to_string(), self.now);
        false
    }
}
