//! Confirmed cancellations: users are told that a job is cancelled only when nothing of it is left.
//! Therefore a controller that is cut off from the state service may renew leases for as long as
//! that lasts.
//!
//! A user who was told that a job is cancelled must find nothing of it anywhere `cancel_s` later.
//! Answered at its commit, a cancellation depends on what happens later: a stop that arrives, a
//! deletion that the cloud carries out, or a lease that nobody renews. A controller cut off with its
//! zone would have to stop renewing leases in time, and healthy tasks would end with them. Answered
//! when every assignment of the job is proven to be over, it depends on nothing that is still to
//! happen. So renewing can break no rule, whoever does it and for however long.
//!
//! Until every controller has format 3, cancellations are answered at their commit, as older versions
//! do, and leases are renewed no longer than that allows. `g/settled` is written once, when all have
//! the format. Which of the two holds for a cancellation is the order of the two revisions, and each
//! cancellation is conditional on that key as it was cached. See docs/design.md.

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
    CancellationConfirmationRecord, Counts, JobPhase, Key, MachinePhase, Placed, Record,
    TermRecord, TransactionBuilder,
};

impl Controller {
    /// Writes, once all controllers have the format, from when on cancellations are told when all is gone;
    /// and, once nothing is left of any that was told before, raises the term beyond
    /// `CONFIRMED_CANCELLATION_TERM`. A worker that has seen such a token proves that to a controller without records.
    pub(crate) fn record_cancellation_confirmation(&mut self) {
        let confirmed_from = self.cache.mod_revision(&Key::CancellationConfirmation);
        if self.upgrade.confirmation_in_flight
            || self.cache.format() < formats::CONFIRMED_CANCELLATION
        {
            return;
        }
        let mut builder = TransactionBuilder::new(&self.cache);
        match (confirmed_from, self.cache.term()) {
            (0, _) => {
                let version = formats::CONFIRMED_CANCELLATION;
                builder.put(
                    Key::CancellationConfirmation,
                    Record::CancellationConfirmation(CancellationConfirmationRecord { version }),
                );
                self.draft_configuration_enabled(&mut builder);
            }
            (_, Some(term))
                if term < CONFIRMED_CANCELLATION_TERM && self.cache.revision >= confirmed_from =>
            {
                let is_earlier_and_unfinished = |(job, counts): (&str, Counts)| {
                    let phase = self.cache.job(job).map(|j| j.phase);
                    let before = self.cache.job_revision(job) < confirmed_from;
                    counts.assigned > 0 && phase == Some(JobPhase::Cancelled) && before
                };
                if self.cache.counted().any(is_earlier_and_unfinished) {
                    return;
                }
                let term = term + CONFIRMED_CANCELLATION_TERM;
                builder.put(Key::Term, Record::Term(TermRecord { term }));
            }
            _ => return,
        }
        let transaction = builder.finish();
        self.upgrade.confirmation_in_flight = true;
        self.commit(
            transaction,
            PendingOperation::ConfirmCancellations,
            RequestClass::User,
        );
    }

    /// A cancellation was committed, or requested once more, and tasks of the job may be left: its
    /// user waits a moment, as most tasks end within half a second. Where machines can't be reached
    /// now, the user is asked at once to come back.
    pub(crate) fn await_cancellation(&mut self, id: RequestId) {
        let Some(job) = self.requests.open.get(&id).map(|r| r.job.clone()) else {
            return;
        };
        let chunks = self.cache.chunks_of(&job);
        let is_any_out_of_reach = chunks
            .flat_map(|(_, chunk)| chunk.assigned())
            .any(|(_, assignment)| !self.can_stop_tasks_on(&assignment.machine));
        if is_any_out_of_reach {
            let after_s = CANCEL_RETRY_AFTER_S;
            self.answer(id, UserReply::RetryAfter { after_s });
            return;
        }
        let until = self.now + CANCEL_PATIENCE_MS;
        if let Some(request) = self.requests.open.get_mut(&id) {
            request.until = request.until.min(until);
            self.requests.awaiting_cancellation.insert(id);
        }
    }

    /// Whether a machine's worker can be reached, and the machine is not being deleted.
    fn can_stop_tasks_on(&self, id: &str) -> bool {
        let Some(machine) = self.cache.machine(id) else {
            return false;
        };
        let is_reached = self.is_reachable(id, &machine.zone) || self.answers_commands(id);
        machine.phase != MachinePhase::Deprovisioning && is_reached
    }

    /// Answers the requests that wait for it that their job is cancelled, where nothing of it is
    /// left now.
    pub(crate) fn confirm_cancellations(&mut self) {
        if self.requests.awaiting_cancellation.is_empty() || !self.list_watch.has_listed {
            return;
        }
        let open = &self.requests.open;
        self.requests
            .awaiting_cancellation
            .retain(|id| open.contains_key(id));
        let confirmed = |id: &RequestId| {
            let request: &UserRequest = self.requests.open.get(id)?;
            let is_cancel = matches!(request.kind, RequestKind::Cancel);
            let is_confirmed = is_cancel && !self.cache.ending(&request.job);
            is_confirmed.then(|| (*id, request.job.clone()))
        };
        let awaiting = self.requests.awaiting_cancellation.iter();
        let confirmed: Vec<(RequestId, String)> = awaiting.filter_map(confirmed).collect();
        for (id, job) in confirmed {
            self.requests.awaiting_cancellation.remove(&id);
            let state = JobState::Cancelled;
            self.answer(id, UserReply::Cancelled { job, state });
        }
    }

    /// Whether a machine with a task whose cancellation is not confirmed is kept: its zone is
    /// unreachable, and it runs tasks of other jobs. The user waits longer then, but nobody else
    /// loses what runs well in that zone.
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
    fn renewing_is_safe(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let confirmed_from = self.cache.mod_revision(&Key::CancellationConfirmation);
        heartbeat.token >= CONFIRMED_CANCELLATION_TERM
            || self.list_watch.has_listed
                && confirmed_from > 0
                && self.cache.revision >= confirmed_from
    }

    /// Cut off from the state service: hand workers to a peer that reaches it, or keep their
    /// leases alive. Nothing is started; what was cancelled before the cut is stopped, since that
    /// never changes. A controller that has started inside the cut, and so knows nothing, does the same.
    pub(crate) fn reply_without_state(&mut self, heartbeat: &WorkerHeartbeat) -> WorkerReply {
        if let Some(controller) = self.peer_with_current_state() {
            return WorkerReply::Redirect {
                controller: Some(controller),
            };
        }
        let renews = match self.renewing_is_safe(heartbeat) {
            true => self.keeps_worker(&heartbeat.machine),
            // Somebody may have been told of a cancellation since the last answer, also of one that
            // came a moment before all lost the state service.
            false => self.lost_state_recently() || !self.settings.checks.bounded,
        };
        let token = self.fencing_token(&heartbeat.machine).unwrap_or(0);
        // Peers may have raised it since this controller was cut off. Nothing is started, so a start
        // that this bars stays barred.
        let token = token.max(heartbeat.token);
        if !renews || token == 0 {
            return WorkerReply::Unavailable;
        }
        WorkerReply::Commands {
            token,
            commands: self.stops_for_cancelled(heartbeat),
        }
    }

    fn stops_for_cancelled(&self, heartbeat: &WorkerHeartbeat) -> Vec<WorkerCommand> {
        let cancelled = |status: &&TaskStatus| {
            let job = self.cache.job(&status.task.job);
            !matches!(status.phase, TaskPhase::Exited(_))
                && job.is_some_and(|j| j.phase == JobPhase::Cancelled)
        };
        let tasks = heartbeat.tasks.iter().filter(cancelled);
        let stop = |status: &TaskStatus| WorkerCommand::Stop {
            task: status.task.clone(),
            attempt: status.attempt,
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
        self.list_watch.has_listed && self.state_age_ms() < limit
    }

    /// Whether a worker is kept, rather than sent to look for another controller. A controller that is cut off
    /// alone must not keep workers that others would serve; one that is cut off with its zone is all
    /// they have. Which it is shows in who still reports: only machines of its own zone, or those of
    /// others as well. Else each worker is sent away once, if its lease allows for the way round: one
    /// that is back found no other.
    fn keeps_worker(&mut self, id: &str) -> bool {
        let common = self.live_peers().count() + 1 == self.settings.controllers.len();
        if self.list_watch.has_listed && common {
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
