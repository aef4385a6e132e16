//! User requests: submit, status, cancel. No answer rests on a cache that might be outdated, except
//! for states that can never change.

use crate::constants::{
    OUTAGE_RETRY_AFTER_S, PENDING_REQUESTS_MAX, RETRY_AFTER_S, STATUS_TIMEOUT_MS,
    SUBMIT_TIMEOUT_MS, UPGRADE_RETRY_AFTER_S,
};
use crate::controller::{Controller, Effect, PendingOperation, RequestClass, RequestId, UserReply};
use crate::model::{JobKind, JobSpec, JobState, Millis};
use crate::state::formats;
use crate::state::{JobPhase, JobRecord, Key, Record, TransactionBuilder};

/// The kind of a user's request.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// Submits a job.
    Submit(Box<JobSpec>),
    /// Queries the state of a job.
    Status,
    /// Cancels a job.
    Cancel,
}

/// A user's request that waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    /// The job that the request names.
    pub job: String,
    /// The kind of the request.
    pub kind: RequestKind,
    /// When the request arrived.
    pub received_at: Millis,
    /// When the user gets the answer to retry.
    pub expires_at: Millis,
}

impl Controller {
    /// Handles the submission of a job.
    pub(crate) fn handle_submit(&mut self, request: RequestId, spec: JobSpec) {
        let user_request = UserRequest {
            job: spec.id.clone(),
            kind: RequestKind::Submit(Box::new(spec)),
            received_at: self.now,
            expires_at: self.now + SUBMIT_TIMEOUT_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// Handles a status query.
    pub(crate) fn handle_status(&mut self, request: RequestId, job: String) {
        let user_request = UserRequest {
            job,
            kind: RequestKind::Status,
            received_at: self.now,
            expires_at: self.now + STATUS_TIMEOUT_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// Handles the cancellation of a job.
    pub(crate) fn handle_cancel(&mut self, request: RequestId, job: String) {
        let user_request = UserRequest {
            job,
            kind: RequestKind::Cancel,
            received_at: self.now,
            expires_at: self.now + SUBMIT_TIMEOUT_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// Answers a request at once if possible, else queues it for a linearizable read.
    fn enqueue_request(&mut self, id: RequestId, request: UserRequest) {
        if let Some(reply) = self.immediate_reply(&request) {
            let (job, cached_revision) = (&request.job, self.cache.revision);
            let has_listed = self.list_watch.has_listed;
            tracing::debug!(
                job,
                cached_revision,
                has_listed,
                ?reply,
                "request answered at once"
            );
            self.emit(Effect::User { request: id, reply });
            return;
        }
        // A new job needs no proof that the cache is current: its record is written only if absent.
        let is_new = self.cache.job(&request.job).is_none();
        let is_valid_submission = matches!(&request.kind, RequestKind::Submit(spec)
            if self.rejection_reason(spec).is_none());
        let is_new_submission = is_new && is_valid_submission;
        if let Err(after_s) = self.admit(&request, is_new_submission) {
            let reply = UserReply::RetryAfter { after_s };
            self.emit(Effect::User { request: id, reply });
            return;
        }
        let needs_no_read = is_new_submission && !self.machine_types.is_empty();
        self.requests.open.insert(id, request);
        if needs_no_read || !self.settings.checks.linearizable_reads {
            self.serve_with_current_state(id);
        } else {
            self.reads.unissued.push(id);
        }
    }

    /// Returns the answer to a request that needs no current cache, or that can't be served now.
    fn immediate_reply(&self, request: &UserRequest) -> Option<UserReply> {
        // A final state never changes, so the cache suffices however old it is.
        let job = self.cache.job(&request.job);
        if let Some(job) = job.filter(|job| self.is_final(&request.job, job)) {
            return Some(self.job_reply(request, job));
        }
        let can_wait = self.has_current_state()
            && self.lifecycle.shutting_down_since.is_none()
            && self.requests.open.len() < PENDING_REQUESTS_MAX;
        (!can_wait).then(|| self.retry_later_reply())
    }

    /// Admits a request if it costs a change of the state store; returns the seconds after which to
    /// retry if it is refused.
    fn admit(&mut self, request: &UserRequest, is_new_submission: bool) -> Result<(), u32> {
        let admission = &mut self.requests.admission;
        match &request.kind {
            RequestKind::Submit(spec) if is_new_submission => {
                admission.submissions.try_admit(self.now, &spec.team)
            }
            // A flood of cancellations would leave no changes for results, by which they are
            // confirmed.
            RequestKind::Cancel => match self.cache.open_job(&request.job) {
                Some(spec) => admission.cancellations.try_admit(self.now, &spec.team),
                None => Ok(()),
            },
            RequestKind::Submit(_) | RequestKind::Status => Ok(()),
        }
    }

    /// Returns the answer that asks the user to retry.
    pub(crate) fn retry_later_reply(&self) -> UserReply {
        let after_s = match self.has_current_state() {
            true => RETRY_AFTER_S,
            false => OUTAGE_RETRY_AFTER_S,
        };
        UserReply::RetryAfter { after_s }
    }

    /// Answers a request, unless it was answered before.
    pub(crate) fn reply_to_user(&mut self, request: RequestId, reply: UserReply) {
        if let Some(answered) = self.requests.open.remove(&request) {
            let (job, cached_revision) = (&answered.job, self.cache.revision);
            tracing::debug!(job, cached_revision, ?reply, "request answered");
            self.emit(Effect::User { request, reply });
        }
    }

    /// Serves a request from a cache that is at least as new as the request.
    pub(crate) fn serve_with_current_state(&mut self, id: RequestId) {
        let Some(request) = self.requests.open.get(&id).cloned() else {
            return;
        };
        if let Some(job) = self.cache.job(&request.job).cloned() {
            let is_cancel = matches!(request.kind, RequestKind::Cancel);
            if is_cancel && !self.is_final(&request.job, &job) {
                self.cancel_job(id, request.job, &job);
                return;
            }
            let reply = self.job_reply(&request, &job);
            self.reply_to_user(id, reply);
            return;
        }
        match request.kind {
            RequestKind::Submit(spec) => self.accept_job(id, request.job, spec),
            RequestKind::Status | RequestKind::Cancel => {
                self.reply_to_user(id, UserReply::NotFound)
            }
        }
    }

    /// Cancels a job on record. If it is cancelled already, the request only awaits the
    /// confirmation.
    fn cancel_job(&mut self, request: RequestId, id: String, job: &JobRecord) {
        if job.phase == JobPhase::Cancelled {
            self.await_cancellation(request);
            return;
        }
        let cancelled = job.with_final_phase(JobPhase::Cancelled, self.wall_time);
        let mut builder = TransactionBuilder::new(&self.cache);
        builder.put(Key::Job(id), Record::Job(cancelled));
        // The order of this transaction's revision and that of the key decides whether the
        // cancellation is answered at its commit or once it is confirmed.
        builder.add_condition(Key::CancellationConfirmation);
        let transaction = builder.finish();
        let purpose = PendingOperation::UserRequest(request);
        self.commit(transaction, purpose, RequestClass::User);
    }

    /// Records a submitted job, unless it is rejected or can't be accepted now.
    fn accept_job(&mut self, request: RequestId, id: String, spec: Box<JobSpec>) {
        let types_known = !self.machine_types.is_empty() || !self.settings.checks.machine_types;
        if !types_known || !self.configuration.is_readable() {
            let reply = self.retry_later_reply();
            self.reply_to_user(request, reply);
            return;
        }
        if let Some(reason) = self.rejection_reason(&spec) {
            tracing::info!(job = spec.id, reason, "submission rejected");
            self.reply_to_user(request, UserReply::Rejected(reason));
            return;
        }
        if !spec.dependencies.is_empty()
            && self.cache.common_format() < formats::COMPACT_CHUNKS_AND_DEPENDENCIES
        {
            // A controller of an older version would start the job at once.
            let after_s = UPGRADE_RETRY_AFTER_S;
            self.reply_to_user(request, UserReply::RetryAfter { after_s });
            return;
        }
        let record = self.accepted_record(spec);
        let mut builder = TransactionBuilder::new(&self.cache);
        builder.put(Key::Job(id), Record::Job(record));
        if self.settings.checks.configuration_conditions {
            builder
                .add_condition_at_revision(Key::Configuration, self.settings.policy.mod_revision);
        }
        let transaction = builder.finish();
        let purpose = PendingOperation::UserRequest(request);
        self.commit(transaction, purpose, RequestClass::User);
    }

    /// Returns a job's record at its acceptance.
    fn accepted_record(&self, spec: Box<JobSpec>) -> JobRecord {
        JobRecord {
            phase: JobPhase::Open,
            tasks: spec.tasks,
            tasks_per_chunk: formats::tasks_per_chunk(
                self.cache.common_format(),
                self.settings.max_value_bytes,
            ),
            accepted_at: self.wall_time,
            ended_at: 0,
            spec: Some(spec),
        }
    }

    /// Handles a failed read for a request: queues another read, or answers that the user should retry.
    pub(crate) fn retry_read(&mut self, request: RequestId) {
        if self.has_current_state() && self.requests.open.contains_key(&request) {
            self.reads.unissued.push(request);
        } else {
            let reply = self.retry_later_reply();
            self.reply_to_user(request, reply);
        }
    }

    /// Handles the response to a request's transaction.
    pub(crate) fn handle_request_response(&mut self, id: RequestId, committed: bool) {
        let Some(request) = self.requests.open.get(&id).cloned() else {
            return;
        };
        if !committed {
            // The transaction conflicted or its outcome is unknown: read again, then decide.
            self.retry_read(id);
            return;
        }
        match request.kind {
            RequestKind::Submit(spec) => {
                self.job_accepted(id, request.job, &spec, request.received_at)
            }
            RequestKind::Status | RequestKind::Cancel => self.job_cancelled(id, request.job),
        }
    }

    /// Logs an accepted job, and answers its user.
    fn job_accepted(
        &mut self,
        request: RequestId,
        job: String,
        spec: &JobSpec,
        received_at: Millis,
    ) {
        tracing::info!(
            job,
            class = spec.class,
            team = spec.team,
            tasks = spec.tasks,
            image = spec.image,
            dependencies = spec.dependencies.join(" "),
            "job accepted"
        );
        // The watch may have delivered the record first, as if a peer had accepted the job; a pass
        // is due all the same.
        self.scheduling.pass_requested = true;
        self.metrics.record_acceptance(self.now - received_at);
        self.reply_to_user(request, UserReply::Accepted { job });
    }

    /// Stops the tasks of a job whose cancellation was committed, and answers its user, or
    /// queues the request until the cancellation is confirmed.
    fn job_cancelled(&mut self, request: RequestId, job: String) {
        tracing::info!(job, "job cancelled");
        self.send_job_stops(&job);
        self.cancel_dependents();
        // The transaction was conditional on the marker of confirmed cancellations, so the cached
        // marker decides although the watch may not have reached the commit yet.
        let is_confirmed = self.cache.is_confirmed_at_commit(&job);
        if !is_confirmed && self.cache.is_cancellation_pending(&job) {
            self.await_cancellation(request);
            return;
        }
        let state = JobState::Cancelled;
        self.reply_to_user(request, UserReply::Cancelled { job, state });
    }

    /// Answers requests that have waited too long with a retry time, or all requests once the cache
    /// is no longer known to be current.
    pub(crate) fn expire_user_requests(&mut self) {
        let now = self.now;
        let expired = |request: &UserRequest| now >= request.expires_at;
        let open = self.requests.open.iter();
        let expired: Vec<RequestId> = open
            .filter(|(_, request)| expired(request))
            .map(|(id, _)| *id)
            .collect();
        self.reply_retry_to_all(expired);
        if !self.has_current_state() {
            let open = self.requests.open.keys().copied().collect();
            self.reply_retry_to_all(open);
            self.reads.unissued.clear();
        }
    }

    /// Answers several requests with a retry time.
    fn reply_retry_to_all(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            let reply = self.retry_later_reply();
            self.reply_to_user(request, reply);
        }
    }

    /// Returns whether a job's state is final, though its record may not say so yet. While the
    /// records are listed, this holds only as far as the records read so far prove it.
    fn is_final(&self, id: &str, job: &JobRecord) -> bool {
        match job.phase {
            JobPhase::Open => self.cache.depends_on_cancelled(id),
            JobPhase::Done => true,
            JobPhase::Cancelled => !self.cache.is_cancellation_pending(id),
        }
    }

    /// Returns the answer to a request about a job on record.
    fn job_reply(&self, request: &UserRequest, job: &JobRecord) -> UserReply {
        let (state, done, running) = self.job_state(&request.job, job);
        match request.kind {
            RequestKind::Cancel => UserReply::Cancelled {
                job: request.job.clone(),
                state,
            },
            _ => UserReply::Status {
                job: request.job.clone(),
                state,
                done,
                running,
            },
        }
    }

    /// Returns a job's state as users see it, and its numbers of done and running tasks.
    fn job_state(&self, id: &str, job: &JobRecord) -> (JobState, u32, u32) {
        match job.phase {
            JobPhase::Done => (JobState::Done, job.tasks, 0),
            // No user has got a confirmation of the cancellation yet.
            JobPhase::Cancelled if self.cache.is_cancellation_pending(id) => {
                let counts = self.cache.task_counts(id);
                (JobState::Running, counts.done, counts.assigned)
            }
            JobPhase::Cancelled => (JobState::Cancelled, 0, 0),
            JobPhase::Open if self.cache.depends_on_cancelled(id) => (JobState::Cancelled, 0, 0),
            JobPhase::Open => {
                let counts = self.cache.task_counts(id);
                let state = match counts.assigned {
                    0 => JobState::Pending,
                    _ => JobState::Running,
                };
                (state, counts.done, counts.assigned)
            }
        }
    }

    /// Returns why a submission is rejected, if it is, as far as the records show.
    fn rejection_reason(&self, spec: &JobSpec) -> Option<String> {
        self.infeasible_reason(spec)
            .or_else(|| self.unknown_dependency(spec))
    }

    /// Returns why a job can never run, if so.
    fn infeasible_reason(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.settings.policy.teams.get(&spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let fits = self.machine_types.values().any(|t| {
            t.capacity.fits(&spec.resources)
                && t.zones.iter().any(|z| spec.allows(&t.name, z, false))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service => spec.tasks as u64,
        };
        if (team.cpus_max > 0
            && spec.resources.cpus.saturating_mul(concurrent_tasks) > team.cpus_max)
            || (team.gpus_max > 0
                && spec.resources.gpus.saturating_mul(concurrent_tasks) > team.gpus_max)
        {
            return Some("more than the team's limit".into());
        }
        let is_service = |a: &&String| {
            let spec = self.cache.open_job(a);
            spec.is_some_and(|s| s.kind == JobKind::Service)
        };
        if let Some(dependency) = spec.dependencies.iter().find(is_service) {
            return Some(format!("awaits: {dependency} is a service"));
        }
        if spec.dependencies.contains(&spec.id) {
            return Some("awaits: a job can't await itself".into());
        }
        let record = Record::Job(self.accepted_record(Box::new(spec.clone())));
        let (bytes, max_bytes) = (
            formats::stored_bytes(&record, formats::LATEST),
            self.settings.max_value_bytes as usize,
        );
        (bytes > max_bytes).then(|| {
            format!("awaits and flavours are too long: the job takes {bytes} bytes of {max_bytes}")
        })
    }

    /// Returns the rejection reason for a dependency that was never accepted, as far as the records
    /// show.
    fn unknown_dependency(&self, spec: &JobSpec) -> Option<String> {
        let is_unknown = |a: &&String| self.cache.job(a).is_none();
        let dependency = spec.dependencies.iter().find(is_unknown)?;
        Some(format!("awaits: {dependency} was never accepted"))
    }
}
