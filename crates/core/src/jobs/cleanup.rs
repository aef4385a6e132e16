//! Ending of jobs with several chunks, cancellation of dependents, and removal of obsolete data.

use crate::constants::{CASCADE_TAKEOVER_DELAY_MS, CONTROLLER_STAGGER_MS, SMALL_RECORD_BYTES};
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::Millis;
use crate::state::{JobPhase, Key, Record, TransactionBuilder};
use crate::workers::starts::Attempt;

impl Controller {
    /// Records as done the jobs with several chunks all of which are done; a done chunk never
    /// changes.
    pub(crate) fn finish_jobs(&mut self) {
        let mut finished = Vec::new();
        for (id, counts) in self.cache.task_counts_by_job() {
            let Some(job) = self.cache.job(id).filter(|j| j.phase == JobPhase::Open) else {
                continue;
            };
            if job.chunk_count() > 1
                && counts.done == job.tasks
                && !self.cleanup.finishing_jobs.contains(id)
            {
                finished.push((
                    id.to_string(),
                    job.with_final_phase(JobPhase::Done, self.wall_time),
                ));
            }
        }
        for (id, done_job) in finished {
            let mut builder = TransactionBuilder::new(&self.cache);
            builder.put(Key::Job(id.clone()), Record::Job(done_job));
            let transaction = builder.finish();
            self.cleanup.finishing_jobs.insert(id.clone());
            self.commit(
                transaction,
                PendingOperation::FinishJob(id),
                RequestClass::Result,
            );
        }
    }

    /// Records the cancellation of jobs that depend on a cancelled job, if that is overdue. The
    /// controller that received the cancellation does so at once, and the others after a delay if
    /// it has not. Until then controllers already answer that such jobs are cancelled, so nothing
    /// depends on the time of the record.
    pub(crate) fn cancel_overdue_dependents(&mut self) {
        let doomed = self.cache.dependents().with_cancelled_dependency();
        self.cleanup
            .cancelled_dependency_since
            .retain(|id, _| doomed.contains(id));
        for id in doomed {
            if !self.cleanup.cancelled_dependency_since.contains_key(id) {
                self.cleanup
                    .cancelled_dependency_since
                    .insert(id.clone(), self.now);
            }
        }
        let delay_ms =
            CASCADE_TAKEOVER_DELAY_MS + self.settings.controller_index() * CONTROLLER_STAGGER_MS;
        let is_overdue = |since: &Millis| self.now >= since + delay_ms;
        if self
            .cleanup
            .cancelled_dependency_since
            .values()
            .any(is_overdue)
        {
            self.cancel_dependents();
        }
    }

    /// Records the cancellation of jobs that depend on a cancelled job.
    pub(crate) fn cancel_dependents(&mut self) {
        let max_changes = self
            .changes_left()
            .min(self.settings.max_transaction_changes);
        if self.cleanup.dependents_cancellation_in_flight
            || max_changes == 0
            || !self.has_current_state()
        {
            return;
        }
        let mut builder = TransactionBuilder::with_max_changes(&self.cache, max_changes);
        let mut jobs = Vec::new();
        for id in self.cache.dependents().with_cancelled_dependency() {
            let Some(job) = self
                .cache
                .job(id)
                .filter(|_| self.cache.depends_on_cancelled(id))
            else {
                continue;
            };
            if !builder.has_room(&self.settings, 1, 1, SMALL_RECORD_BYTES) {
                break;
            }
            let cancelled_job = job.with_final_phase(JobPhase::Cancelled, self.wall_time);
            builder.put(Key::Job(id.clone()), Record::Job(cancelled_job));
            jobs.push(id.clone());
        }
        if !jobs.is_empty() {
            let transaction = builder.finish();
            self.cleanup.dependents_cancellation_in_flight = true;
            self.commit(
                transaction,
                PendingOperation::CancelDependents(jobs),
                RequestClass::Result,
            );
        }
    }

    /// Removes the chunk and zone spread records of jobs that have ended.
    pub(crate) fn remove_obsolete_records(&mut self) {
        if self.cleanup.removal_in_flight {
            return;
        }
        let mut builder = TransactionBuilder::new(&self.cache);
        for (job, counts) in self.cache.task_counts_by_job() {
            let has_ended = self
                .cache
                .job(job)
                .is_some_and(|j| j.phase != JobPhase::Open);
            if !has_ended || counts.assigned > 0 {
                continue;
            }
            for (chunk, _) in self.cache.chunks_of(job) {
                if builder.change_count() < self.settings.max_transaction_changes.div_ceil(2) {
                    builder.remove(Key::Chunk(job.to_string(), chunk));
                }
            }
        }
        for (job, _, _) in self.cache.zone_spreads() {
            if builder.change_count() < self.settings.max_transaction_changes.div_ceil(2)
                && self
                    .cache
                    .job(job)
                    .is_some_and(|j| j.phase != JobPhase::Open)
            {
                builder.remove(Key::ZoneSpread(job.to_string()));
            }
        }
        if !builder.is_empty() {
            let transaction = builder.finish();
            self.cleanup.removal_in_flight = true;
            self.commit(
                transaction,
                PendingOperation::RemoveObsolete,
                RequestClass::Housekeeping,
            );
        }
    }

    /// Drops the observations of machines that have been deleted.
    pub(crate) fn forget_deleted_machines(&mut self) {
        let cache = &self.cache;
        let (last_heartbeats, now) = (&self.workers.last_heartbeats, self.now);
        let recent_ms = 2 * self.settings.heartbeat_due_ms();
        self.workers.forgetting.retain_machines(|id| {
            let last = last_heartbeats.get(id);
            last.is_some_and(|last| now < last.at + recent_ms)
        });
        self.workers
            .observations
            .retain_recorded(|id| cache.machine(id).is_some());
        self.workers
            .last_assigned_at
            .retain(|id, _| cache.machine(id).is_some());
        self.workers.last_heartbeats.retain(|id, heartbeat| {
            cache.machine(id).is_some() || self.now.saturating_sub(heartbeat.at) < 60_000
        });
        self.peers.retain_machines(|id| cache.machine(id).is_some());
        self.workers
            .fetching_until
            .retain(|_, until| *until > self.now);
        self.workers
            .redirected_at
            .retain(|id, _| cache.machine(id).is_some());
        self.provisioning
            .deletion_tried_at
            .retain(|id, _| cache.machine(id).is_some());
        let mut starts = std::mem::take(&mut self.workers.starts);
        let is_assigned =
            |(task, attempt): &Attempt| self.cache.assignment_of_attempt(task, *attempt).is_some();
        starts.prune(is_assigned, |id| {
            self.last_worker_heartbeat(id).unwrap_or(0)
        });
        self.workers.starts = starts;
    }
}
