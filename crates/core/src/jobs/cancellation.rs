//! Confirmed cancellations: a user gets the answer that a job is cancelled only when every
//! assignment of the job is proven to have ended.
//!
//! No task of a job may run `cancel_s` after its user got this answer. A cancellation
//! answered at its commit depends on later events: a stop that arrives, a deletion that the cloud
//! carries out, or a lease that nobody renews. A controller cut off from the state store together
//! with its zone would then have to stop renewing leases in time, and healthy tasks would end with
//! them. A confirmed cancellation depends on no later event, so any controller may renew leases for
//! as long as it is cut off.
//!
//! Until every controller has format 3, cancellations are answered at their commit, as older
//! versions do, and leases are renewed no longer than that allows. `g/settled` is written once,
//! when all controllers have the format. The order of its revision and that of a cancellation
//! decides which rule applies, so each cancellation is conditional on that key as it was cached.
//! See docs/design.md.

use crate::constants::{
    CANCEL_MARGIN_MS, CANCEL_RESPONSE_TIMEOUT_MS, CANCEL_RETRY_AFTER_S,
    CONFIRMED_CANCELLATION_TERM, SILENCE_MARGIN_MS, WORKER_FAILOVER_MS,
};
use crate::controller::{
    Controller, PendingOperation, RequestClass, RequestId, UserReply, WorkerReply,
};
use crate::jobs::requests::{RequestKind, UserRequest};
use crate::model::{JobState, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat};
use crate::state::formats;
use crate::state::{
    AssignedTask, CancellationConfirmationRecord, JobPhase, Key, MachinePhase, Record, TaskCounts,
    TermRecord, TransactionBuilder,
};
use crate::workers::command_size::count_fitting;

impl Controller {
    /// Records, once all controllers have the format, from which revision on cancellations are
    /// confirmed before they are answered. Once no task of earlier cancellations is assigned any
    /// more, raises the term beyond `CONFIRMED_CANCELLATION_TERM`: the token of a worker then proves
    /// this to a controller without records.
    pub(crate) fn record_cancellation_confirmation(&mut self) {
        let confirmed_from = self.cache.mod_revision(&Key::CancellationConfirmation);
        if self.upgrade.confirmation_in_flight
            || self.cache.common_format() < formats::CONFIRMED_CANCELLATION
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
                let is_earlier_and_unfinished = |(job, counts): (&str, TaskCounts)| {
                    let phase = self.cache.job(job).map(|j| j.phase);
                    let is_before_confirmation = self.cache.job_revision(job) < confirmed_from;
                    counts.assigned > 0
                        && phase == Some(JobPhase::Cancelled)
                        && is_before_confirmation
                };
                if self
                    .cache
                    .task_counts_by_job()
                    .any(is_earlier_and_unfinished)
                {
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

    /// Queues the request of a committed or repeated cancellation while tasks of the job may still
    /// run, since most tasks end within half a second. If a machine with such a task can't be reached
    /// now, answers at once with a retry time.
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
            self.reply_to_user(id, UserReply::RetryAfter { after_s });
            return;
        }
        let expires_at = self.now + CANCEL_RESPONSE_TIMEOUT_MS;
        if let Some(request) = self.requests.open.get_mut(&id) {
            request.expires_at = request.expires_at.min(expires_at);
            self.requests.awaiting_cancellation.insert(id);
        }
    }

    /// Returns whether a machine's worker can be reached, and the machine is not being deleted.
    fn can_stop_tasks_on(&self, id: &str) -> bool {
        let Some(machine) = self.cache.machine(id) else {
            return false;
        };
        let is_reached = self.is_reachable(id, &machine.zone) || self.answers_commands(id);
        machine.phase != MachinePhase::Deprovisioning && is_reached
    }

    /// Answers the requests that wait for a confirmed cancellation, for each job that has
    /// no assigned task any more.
    pub(crate) fn confirm_cancellations(&mut self) {
        if self.requests.awaiting_cancellation.is_empty() {
            return;
        }
        let open = &self.requests.open;
        self.requests
            .awaiting_cancellation
            .retain(|id| open.contains_key(id));
        let confirmed = |id: &RequestId| {
            let request: &UserRequest = self.requests.open.get(id)?;
            let is_cancel = matches!(request.kind, RequestKind::Cancel);
            let is_confirmed = is_cancel && !self.cache.is_cancellation_pending(&request.job);
            is_confirmed.then(|| (*id, request.job.clone()))
        };
        let awaiting = self.requests.awaiting_cancellation.iter();
        let confirmed: Vec<(RequestId, String)> = awaiting.filter_map(confirmed).collect();
        for (id, job) in confirmed {
            self.requests.awaiting_cancellation.remove(&id);
            let state = JobState::Cancelled;
            self.reply_to_user(id, UserReply::Cancelled { job, state });
        }
    }

    /// Returns whether a machine with a task of an unconfirmed cancellation is kept because its
    /// zone is unreachable and it runs tasks of other jobs. The user waits longer then, but no
    /// healthy task in that zone is lost.
    pub(crate) fn is_deletion_deferred(&self, id: &str) -> bool {
        let in_unreachable_zone = self
            .cache
            .machine(id)
            .is_some_and(|m| self.is_zone_unreachable(&m.zone));
        let is_of_open_job =
            |(task, _): (&TaskId, &AssignedTask)| self.cache.open_job(&task.job).is_some();
        in_unreachable_zone && self.cache.assignments(id).any(is_of_open_job)
    }

    /// Returns whether renewing a worker's lease can break no rule. Cancellations later than
    /// `g/settled` are answered when no task of the job is assigned any more. A cache that has
    /// reached that revision contains all earlier cancellations, and the controller stops their
    /// tasks; one that is filled from its first list has reached none. A worker with a token above
    /// `CONFIRMED_CANCELLATION_TERM` proves that no task of an earlier cancellation runs.
    fn is_lease_renewal_safe(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let confirmed_from = self.cache.mod_revision(&Key::CancellationConfirmation);
        heartbeat.token >= CONFIRMED_CANCELLATION_TERM
            || confirmed_from > 0 && self.cache.revision >= confirmed_from
    }

    /// Returns the reply to a heartbeat while the controller is cut off from the state store: it
    /// redirects the worker to a peer that reaches the store, or renews its lease. It starts
    /// no task, and stops tasks of jobs cancelled before the cut, since a cancellation is final. A
    /// controller that has started during the cut and so has no records does the same.
    pub(crate) fn reply_without_state(&mut self, heartbeat: &WorkerHeartbeat) -> WorkerReply {
        if let Some(controller) = self.peer_with_current_state() {
            return WorkerReply::Redirect {
                controller: Some(controller),
            };
        }
        let renews_lease = match self.is_lease_renewal_safe(heartbeat) {
            true => self.should_keep_worker(&heartbeat.machine),
            // Since the last response of the state store a peer may have answered a cancellation,
            // also one that was committed just before all controllers lost the store.
            false => self.lost_state_recently() || !self.settings.checks.bounded_leases,
        };
        let token = self.fencing_token(&heartbeat.machine).unwrap_or(0);
        // Peers may have raised the token since this controller was cut off. A start that the
        // higher token fences stays fenced, since no task is started here.
        let token = token.max(heartbeat.token);
        if !renews_lease || token == 0 {
            return WorkerReply::Unavailable;
        }
        WorkerReply::Commands {
            token,
            commands: self.stops_for_cancelled(heartbeat),
        }
    }

    /// Returns stops for the tasks of a heartbeat whose job is cancelled.
    fn stops_for_cancelled(&self, heartbeat: &WorkerHeartbeat) -> Vec<WorkerCommand> {
        let is_cancelled = |status: &&TaskStatus| {
            let job = self.cache.job(&status.task.job);
            !matches!(status.phase, TaskPhase::Exited(_))
                && job.is_some_and(|j| j.phase == JobPhase::Cancelled)
        };
        let tasks = heartbeat.tasks.iter().filter(is_cancelled);
        let stop = |status: &TaskStatus| WorkerCommand::Stop {
            task: status.task.clone(),
            attempt: status.attempt,
            grace_s: 0.0,
        };
        let mut stops: Vec<WorkerCommand> = tasks.map(stop).collect();
        stops.truncate(count_fitting(&stops));
        stops
    }

    /// Returns whether the state store responded so recently that cancellations answered since
    /// still take effect in time although this controller renews leases: a lease may begin with the
    /// last response.
    fn lost_state_recently(&self) -> bool {
        let limit_ms = self
            .settings
            .cancellation_timeout_ms
            .saturating_sub(self.settings.lease_ms + CANCEL_MARGIN_MS);
        self.list_watch.has_listed && self.state_age_ms() < limit_ms
    }

    /// Returns whether a worker is kept rather than redirected to search for another controller. If
    /// only this controller is cut off, it must not keep workers that others could serve; if it is cut
    /// off with its zone, its workers reach no other controller. The heartbeats show which is the
    /// case: in the latter only machines of its own zone report, in the former machines of other zones
    /// as well, and each worker is redirected once, if its lease lasts for a search of all controllers: a worker
    /// that returns has found no other controller.
    fn should_keep_worker(&mut self, id: &str) -> bool {
        let reaches_all_peers = self.live_peers().count() + 1 == self.settings.controllers.len();
        if self.list_watch.has_listed && reaches_all_peers {
            return true;
        }
        let has_several_zones = self.settings.zones.len() > 1;
        let recent_ms = 2 * self.settings.heartbeat_interval_ms;
        let own_zone = self.settings.zone.as_str();
        let mut zones = self.workers.zone_heartbeat_at.iter();
        let has_heartbeats_of_other_zones =
            zones.any(|(zone, at)| zone != own_zone && self.now < at + recent_ms);
        if has_several_zones && !has_heartbeats_of_other_zones {
            return true;
        }
        let lease_ms = self.settings.lease_ms;
        let search_ms = (self.settings.controllers.len() as u64 - 1) * WORKER_FAILOVER_MS
            + self.settings.heartbeat_due_ms()
            + SILENCE_MARGIN_MS;
        if search_ms >= lease_ms {
            return self.lost_state_recently();
        }
        // Workers that return to a controller after its pause have searched already.
        let redirected_at = self.workers.redirected_at.get(id).copied();
        if self.now < self.lifecycle.resumed_at + lease_ms
            || redirected_at.is_some_and(|at| self.now < at + 2 * lease_ms)
        {
            return true;
        }
        self.workers.redirected_at.insert(id.to_string(), self.now);
        false
    }
}
