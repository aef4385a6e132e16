//! Users' requests: submit, status, cancel. Nothing is answered from records that might be
//! old, except what can never change.

use crate::constants::{
    OUTAGE_RETRY_AFTER_S, RETRY_AFTER_S, STATUS_PATIENCE_MS, SUBMIT_PATIENCE_MS,
    UPGRADE_RETRY_AFTER_S, WAITING_REQUESTS,
};
use crate::controller::{Controller, Effect, PendingOperation, RequestClass, RequestId, UserReply};
use crate::model::{JobKind, JobSpec, JobState, Millis};
use crate::state::formats;
use crate::state::{JobPhase, JobRecord, Key, Record, TransactionBuilder};

#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    Submit(Box<JobSpec>),
    Status,
    Cancel,
}

#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    pub job: String,
    pub want: RequestKind,
    pub since: Millis,
    pub until: Millis,
}

impl Controller {
    pub(crate) fn handle_submit(&mut self, request: RequestId, spec: JobSpec) {
        let ask = UserRequest {
            job: spec.id.clone(),
            want: RequestKind::Submit(Box::new(spec)),
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.enqueue_request(request, ask);
    }

    pub(crate) fn handle_status(&mut self, request: RequestId, job: String) {
        let ask = UserRequest {
            job,
            want: RequestKind::Status,
            since: self.now,
            until: self.now + STATUS_PATIENCE_MS,
        };
        self.enqueue_request(request, ask);
    }

    pub(crate) fn handle_cancel(&mut self, request: RequestId, job: String) {
        let ask = UserRequest {
            job,
            want: RequestKind::Cancel,
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.enqueue_request(request, ask);
    }

    fn enqueue_request(&mut self, request: RequestId, ask: UserRequest) {
        // A final state never changes, so the cache suffices however old it is.
        if let Some(job) = self.cache.job(&ask.job).filter(|j| self.over(&ask.job, j)) {
            let reply = self.job_reply(&ask, job);
            self.emit(Effect::User { request, reply });
            return;
        }
        if !self.has_current_state()
            || self.lifecycle.shutting_down_since.is_some()
            || self.requests.open.len() >= WAITING_REQUESTS
        {
            let reply = self.later();
            self.emit(Effect::User { request, reply });
            return;
        }
        // A new job needs no proof of freshness: its record is only written if absent.
        let new = self.cache.job(&ask.job).is_none();
        let valid = matches!(&ask.want, RequestKind::Submit(spec)
            if self.refusal(spec).is_none());
        if let (true, RequestKind::Submit(spec)) = (new && valid, &ask.want) {
            if let Err(after_s) = self
                .requests
                .admission
                .submissions
                .takes(self.now, &spec.team)
            {
                let reply = UserReply::RetryAfter { after_s };
                self.emit(Effect::User { request, reply });
                return;
            }
        }
        let at_once = new && valid && !self.machine_types.is_empty();
        if let (RequestKind::Cancel, Some(spec)) = (&ask.want, self.cache.open_job(&ask.job)) {
            // A flood of these would leave no changes for results, by which what is cancelled is told.
            if let Err(after_s) = self
                .requests
                .admission
                .cancellations
                .takes(self.now, &spec.team)
            {
                let reply = UserReply::RetryAfter { after_s };
                self.emit(Effect::User { request, reply });
                return;
            }
        }
        self.requests.open.insert(request, ask);
        if at_once || !self.settings.checks.proof {
            self.serve_with_current_state(request);
        } else {
            self.reads.unissued.push(request);
        }
    }

    pub(crate) fn later(&self) -> UserReply {
        let after_s = match self.has_current_state() {
            true => RETRY_AFTER_S,
            false => OUTAGE_RETRY_AFTER_S,
        };
        UserReply::RetryAfter { after_s }
    }

    pub(crate) fn answer(&mut self, request: RequestId, reply: UserReply) {
        if self.requests.open.remove(&request).is_some() {
            self.emit(Effect::User { request, reply });
        }
    }

    /// The records are at least as new as the request.
    pub(crate) fn serve_with_current_state(&mut self, request: RequestId) {
        let Some(ask) = self.requests.open.get(&request).cloned() else {
            return;
        };
        if let Some(job) = self.cache.job(&ask.job).cloned() {
            if matches!(ask.want, RequestKind::Cancel) && !self.over(&ask.job, &job) {
                let mut draft = TransactionBuilder::new(&self.cache);
                if job.phase == JobPhase::Cancelled {
                    self.await_cancellation(request);
                    return;
                }
                let over = job.over(JobPhase::Cancelled, self.wall);
                draft.put(Key::Job(ask.job), Record::Job(over));
                // Which way it is to be told is the order of the two.
                draft.rests_on(Key::CancellationConfirmation);
                let transaction = draft.finish();
                self.commit(
                    transaction,
                    PendingOperation::UserRequest(request),
                    RequestClass::User,
                );
                return;
            }
            let reply = self.job_reply(&ask, &job);
            self.answer(request, reply);
            return;
        }
        let RequestKind::Submit(spec) = ask.want else {
            self.answer(request, UserReply::NotFound);
            return;
        };
        let types_known = !self.machine_types.is_empty() || !self.settings.checks.machine_types;
        if !types_known || !self.configuration.is_readable() {
            let reply = self.later();
            self.answer(request, reply);
            return;
        }
        if let Some(why) = self.refusal(&spec) {
            tracing::info!(job = spec.id, why, "refused");
            self.answer(request, UserReply::Rejected(why));
            return;
        }
        if !spec.dependencies.is_empty() && self.cache.format() < formats::PIPELINES {
            // A controller of an older version would start it at once.
            let after_s = UPGRADE_RETRY_AFTER_S;
            self.answer(request, UserReply::RetryAfter { after_s });
            return;
        }
        let record = self.accepted(spec);
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Job(ask.job), Record::Job(record));
        if self.settings.checks.configured {
            draft.rests_on_revision(Key::Configuration, self.settings.policy.mod_revision);
        }
        let transaction = draft.finish();
        self.commit(
            transaction,
            PendingOperation::UserRequest(request),
            RequestClass::User,
        );
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

    /// The state service gave no proof this time.
    pub(crate) fn retry_read(&mut self, request: RequestId) {
        if self.has_current_state() && self.requests.open.contains_key(&request) {
            self.reads.unissued.push(request);
        } else {
            let reply = self.later();
            self.answer(request, reply);
        }
    }

    pub(crate) fn request_committed(&mut self, request: RequestId, committed: bool) {
        let Some(ask) = self.requests.open.get(&request).cloned() else {
            return;
        };
        if !committed {
            // Lost to another request, or the outcome is unknown: read again, then decide.
            self.retry_read(request);
            return;
        }
        match ask.want {
            RequestKind::Submit(spec) => {
                tracing::info!(
                    job = ask.job,
                    class = spec.class,
                    team = spec.team,
                    tasks = spec.tasks,
                    image = spec.image,
                    dependencies = spec.dependencies.join(" "),
                    "accepted"
                );
                // The watch may have brought the record first, as if a peer had made it.
                self.scheduling.pass_requested = true;
                self.metrics.accepted(self.now - ask.since);
                self.answer(request, UserReply::Accepted { job: ask.job });
            }
            _ => {
                tracing::info!(job = ask.job, "cancelled");
                let state = JobState::Cancelled;
                self.send_stops(&ask.job);
                self.cancel_dependents();
                if self.cache.ending(&ask.job) {
                    self.await_cancellation(request);
                    return;
                }
                self.answer(
                    request,
                    UserReply::Cancelled {
                        job: ask.job,
                        state,
                    },
                );
            }
        }
    }

    pub(crate) fn expire_user_requests(&mut self) {
        let late: Vec<RequestId> = self
            .requests
            .open
            .iter()
            .filter(|(_, a)| self.now >= a.until)
            .map(|(r, _)| *r)
            .collect();
        for request in late {
            let reply = self.later();
            self.answer(request, reply);
        }
        if !self.has_current_state() {
            let waiting: Vec<RequestId> = self.requests.open.keys().copied().collect();
            for request in waiting {
                let reply = self.later();
                self.answer(request, reply);
            }
            self.reads.unissued.clear();
        }
    }

    /// Whether a job's state is final, though its record may not say so yet.
    fn over(&self, id: &str, job: &JobRecord) -> bool {
        match job.phase {
            JobPhase::Open => self.cache.doomed(id),
            JobPhase::Done => true,
            // While the records are read page by page the cache may lack what is assigned.
            JobPhase::Cancelled => self.sync.has_listed && !self.cache.ending(id),
        }
    }

    fn job_reply(&self, ask: &UserRequest, job: &JobRecord) -> UserReply {
        let (state, done, running) = self.job_state(&ask.job, job);
        match ask.want {
            RequestKind::Cancel => UserReply::Cancelled {
                job: ask.job.clone(),
                state,
            },
            _ => UserReply::Status {
                job: ask.job.clone(),
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
