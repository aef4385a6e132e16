//! Users' requests: submit, status, cancel. Nothing is answered from a cache that might be outdated,
//! except what can never change.

use crate::constants::{
    OUTAGE_RETRY_AFTER_S, RETRY_AFTER_S, STATUS_PATIENCE_MS, SUBMIT_PATIENCE_MS,
    UPGRADE_RETRY_AFTER_S, WAITING_REQUESTS,
};
use crate::controller::{Controller, Effect, PendingOperation, RequestClass, RequestId, UserReply};
use crate::model::{JobKind, JobSpec, JobState, Millis};
use crate::state::formats;
use crate::state::{JobPhase, JobRecord, Key, Record, TransactionBuilder};

/// What a user asks for.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    /// To accept a job.
    Submit(Box<JobSpec>),
    /// How far a job is.
    Status,
    /// To cancel a job.
    Cancel,
}

/// A user's request that waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    /// The job that it is about.
    pub job: String,
    /// What is asked for.
    pub kind: RequestKind,
    /// When it arrived.
    pub since: Millis,
    /// When the user is told to come back.
    pub until: Millis,
}

impl Controller {
    /// A user submits a job.
    pub(crate) fn handle_submit(&mut self, request: RequestId, spec: JobSpec) {
        let user_request = UserRequest {
            job: spec.id.clone(),
            kind: RequestKind::Submit(Box::new(spec)),
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// A user asks how far a job is.
    pub(crate) fn handle_status(&mut self, request: RequestId, job: String) {
        let user_request = UserRequest {
            job,
            kind: RequestKind::Status,
            since: self.now,
            until: self.now + STATUS_PATIENCE_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// A user cancels a job.
    pub(crate) fn handle_cancel(&mut self, request: RequestId, job: String) {
        let user_request = UserRequest {
            job,
            kind: RequestKind::Cancel,
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.enqueue_request(request, user_request);
    }

    /// Answers a request at once where that is possible, else has it wait for a linearizable read.
    fn enqueue_request(&mut self, id: RequestId, request: UserRequest) {
        if let Some(reply) = self.immediate_reply(&request) {
            self.emit(Effect::User { request: id, reply });
            return;
        }
        // A new job needs no proof that the cache is current: its record is only written if absent.
        let is_new = self.cache.job(&request.job).is_none();
        let is_valid_submission = matches!(&request.kind, RequestKind::Submit(spec)
            if self.refusal(spec).is_none());
        let is_new_submission = is_new && is_valid_submission;
        if let Err(after_s) = self.admit(&request, is_new_submission) {
            let reply = UserReply::RetryAfter { after_s };
            self.emit(Effect::User { request: id, reply });
            return;
        }
        let needs_no_read = is_new_submission && !self.machine_types.is_empty();
        self.requests.open.insert(id, request);
        if needs_no_read || !self.settings.checks.proof {
            self.serve_with_current_state(id);
        } else {
            self.reads.unissued.push(id);
        }
    }

    /// The reply to a request that nothing more need be known for, or that can't be served now.
    fn immediate_reply(&self, request: &UserRequest) -> Option<UserReply> {
        // A final state never changes, so the cache suffices however old it is.
        let job = self.cache.job(&request.job);
        if let Some(job) = job.filter(|job| self.is_final(&request.job, job)) {
            return Some(self.job_reply(request, job));
        }
        let can_wait = self.has_current_state()
            && self.lifecycle.shutting_down_since.is_none()
            && self.requests.open.len() < WAITING_REQUESTS;
        (!can_wait).then(|| self.later())
    }

    /// Whether a request that costs a change of the state service is admitted; if not, after how
    /// many seconds it may be repeated.
    fn admit(&mut self, request: &UserRequest, is_new_submission: bool) -> Result<(), u32> {
        let admission = &mut self.requests.admission;
        match &request.kind {
            RequestKind::Submit(spec) if is_new_submission => {
                admission.submissions.takes(self.now, &spec.team)
            }
            // A flood of cancellations would leave no changes for results, by which they are
            // confirmed.
            RequestKind::Cancel => match self.cache.open_job(&request.job) {
                Some(spec) => admission.cancellations.takes(self.now, &spec.team),
                None => Ok(()),
            },
            RequestKind::Submit(_) | RequestKind::Status => Ok(()),
        }
    }

    /// The reply that asks the user to come back.
    pub(crate) fn later(&self) -> UserReply {
        let after_s = match self.has_current_state() {
            true => RETRY_AFTER_S,
            false => OUTAGE_RETRY_AFTER_S,
        };
        UserReply::RetryAfter { after_s }
    }

    /// Answers a request, unless it was answered before.
    pub(crate) fn answer(&mut self, request: RequestId, reply: UserReply) {
        if self.requests.open.remove(&request).is_some() {
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
            self.answer(id, reply);
            return;
        }
        match request.kind {
            RequestKind::Submit(spec) => self.accept_job(id, request.job, spec),
            RequestKind::Status | RequestKind::Cancel => self.answer(id, UserReply::NotFound),
        }
    }

    /// Cancels a job on record; one that is cancelled already only has its user wait.
    fn cancel_job(&mut self, request: RequestId, id: String, job: &JobRecord) {
        if job.phase == JobPhase::Cancelled {
            self.await_cancellation(request);
            return;
        }
        let cancelled = job.over(JobPhase::Cancelled, self.wall);
        let mut builder = TransactionBuilder::new(&self.cache);
        builder.put(Key::Job(id), Record::Job(cancelled));
        // Whether the cancellation is answered at its commit, or once it is confirmed, is the order
        // of the two revisions.
        builder.rests_on(Key::CancellationConfirmation);
        let transaction = builder.finish();
        let purpose = PendingOperation::UserRequest(request);
        self.commit(transaction, purpose, RequestClass::User);
    }

    /// Puts a submitted job on record, unless it is refused or can't be accepted now.
    fn accept_job(&mut self, request: RequestId, id: String, spec: Box<JobSpec>) {
        let types_known = !self.machine_types.is_empty() || !self.settings.checks.machine_types;
        if !types_known || !self.configuration.is_readable() {
            let reply = self.later();
            self.answer(request, reply);
            return;
        }
        if let Some(reason) = self.refusal(&spec) {
            tracing::info!(job = spec.id, reason, "submission rejected");
            self.answer(request, UserReply::Rejected(reason));
            return;
        }
        if !spec.dependencies.is_empty() && self.cache.format() < formats::PIPELINES {
            // A controller of an older version would start it at once.
            let after_s = UPGRADE_RETRY_AFTER_S;
            self.answer(request, UserReply::RetryAfter { after_s });
            return;
        }
        let record = self.accepted(spec);
        let mut builder = TransactionBuilder::new(&self.cache);
        builder.put(Key::Job(id), Record::Job(record));
        if self.settings.checks.configured {
            builder.rests_on_revision(Key::Configuration, self.settings.policy.mod_revision);
        }
        let transaction = builder.finish();
        let purpose = PendingOperation::UserRequest(request);
        self.commit(transaction, purpose, RequestClass::User);
    }

    /// A job's record at its acceptance.
    fn accepted(&self, spec: Box<JobSpec>) -> JobRecord {
        JobRecord {
            phase: JobPhase::Open,
            tasks: spec.tasks,
            chunk: formats::chunk_tasks(self.cache.format(), self.settings.max_value_bytes),
            at: self.wall,
            ended: 0,
            spec: Some(spec),
        }
    }

    /// A request's read failed: it waits for another one, or is sent away.
    pub(crate) fn retry_read(&mut self, request: RequestId) {
        if self.has_current_state() && self.requests.open.contains_key(&request) {
            self.reads.unissued.push(request);
        } else {
            let reply = self.later();
            self.answer(request, reply);
        }
    }

    /// The transaction of a request has a response.
    pub(crate) fn request_committed(&mut self, id: RequestId, committed: bool) {
        let Some(request) = self.requests.open.get(&id).cloned() else {
            return;
        };
        if !committed {
            // It conflicted, or the outcome is unknown: read again, then decide.
            self.retry_read(id);
            return;
        }
        match request.kind {
            RequestKind::Submit(spec) => self.job_accepted(id, request.job, &spec, request.since),
            RequestKind::Status | RequestKind::Cancel => self.job_cancelled(id, request.job),
        }
    }

    fn job_accepted(&mut self, request: RequestId, job: String, spec: &JobSpec, since: Millis) {
        tracing::info!(
            job,
            class = spec.class,
            team = spec.team,
            tasks = spec.tasks,
            image = spec.image,
            dependencies = spec.dependencies.join(" "),
            "job accepted"
        );
        // The watch may have brought the record first, as if a peer had made it.
        self.scheduling.pass_requested = true;
        self.metrics.accepted(self.now - since);
        self.answer(request, UserReply::Accepted { job });
    }

    fn job_cancelled(&mut self, request: RequestId, job: String) {
        tracing::info!(job, "job cancelled");
        self.send_stops(&job);
        self.cancel_dependents();
        if self.cache.ending(&job) {
            self.await_cancellation(request);
            return;
        }
        let state = JobState::Cancelled;
        self.answer(request, UserReply::Cancelled { job, state });
    }

    /// Sends away the users whose requests have waited too long; all of them once the cache is
    /// not known to be current any more.
    pub(crate) fn expire_user_requests(&mut self) {
        let now = self.now;
        let expired = |request: &UserRequest| now >= request.until;
        let open = self.requests.open.iter();
        let expired: Vec<RequestId> = open
            .filter(|(_, request)| expired(request))
            .map(|(id, _)| *id)
            .collect();
        self.answer_all_later(expired);
        if !self.has_current_state() {
            let open = self.requests.open.keys().copied().collect();
            self.answer_all_later(open);
            self.reads.unissued.clear();
        }
    }

    fn answer_all_later(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            let reply = self.later();
            self.answer(request, reply);
        }
    }

    /// Whether a job's state is final, though its record may not say so yet.
    fn is_final(&self, id: &str, job: &JobRecord) -> bool {
        match job.phase {
            JobPhase::Open => self.cache.doomed(id),
            JobPhase::Done => true,
            // While the records are read page by page the cache may lack what is assigned.
            JobPhase::Cancelled => self.list_watch.has_listed && !self.cache.ending(id),
        }
    }

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

    fn job_state(&self, id: &str, job: &JobRecord) -> (JobState, u32, u32) {
        match job.phase {
            JobPhase::Done => (JobState::Done, job.tasks, 0),
            // Nobody has been told of it yet.
            JobPhase::Cancelled if self.cache.ending(id) => {
                let counts = self.cache.counts(id);
                (JobState::Running, counts.done, counts.assigned)
            }
            JobPhase::Cancelled => (JobState::Cancelled, 0, 0),
            JobPhase::Open if self.cache.doomed(id) => (JobState::Cancelled, 0, 0),
            JobPhase::Open => {
                let counts = self.cache.counts(id);
                let state = match counts.assigned {
                    0 => JobState::Pending,
                    _ => JobState::Running,
                };
                (state, counts.done, counts.assigned)
            }
        }
    }

    /// Why a submission is refused, if so, as far as the records show.
    fn refusal(&self, spec: &JobSpec) -> Option<String> {
        self.never(spec).or_else(|| self.unknown_awaited(spec))
    }

    /// Why a job can never run, if so.
    fn never(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.settings.policy.teams.get(&spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let fits = self.machine_types.values().any(|t| {
            t.room.fits(&spec.resources) && t.zones.iter().any(|z| spec.allows(&t.name, z, false))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service => spec.tasks as u64,
        };
        if (team.cpus_max > 0 && spec.resources.cpus.saturating_mul(at_once) > team.cpus_max)
            || (team.gpus_max > 0 && spec.resources.gpus.saturating_mul(at_once) > team.gpus_max)
        {
            return Some("more than the team's limit".into());
        }
        let service = |a: &&String| {
            let spec = self.cache.open_job(a);
            spec.is_some_and(|s| s.kind == JobKind::Service)
        };
        if let Some(dependency) = spec.dependencies.iter().find(service) {
            return Some(format!("awaits: {dependency} is a service"));
        }
        if spec.dependencies.contains(&spec.id) {
            return Some("awaits: a job can't await itself".into());
        }
        let record = Record::Job(self.accepted(Box::new(spec.clone())));
        let (bytes, most) = (
            formats::stored_bytes(&record, formats::LATEST),
            self.settings.max_value_bytes as usize,
        );
        (bytes > most).then(|| {
            format!("awaits and flavours are too long: the job takes {bytes} bytes of {most}")
        })
    }

    /// Names an awaited job that was never accepted, as far as the records show.
    fn unknown_awaited(&self, spec: &JobSpec) -> Option<String> {
        let unknown = |a: &&String| self.cache.job(a).is_none();
        let dependency = spec.dependencies.iter().find(unknown)?;
        Some(format!("awaits: {dependency} was never accepted"))
    }
}
