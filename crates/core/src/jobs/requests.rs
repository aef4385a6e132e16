//! Users' requests: submit, status, cancel. Nothing is answered from records that might be
//! old, except what can never change.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::state::formats;
use crate::state::*;

#[derive(Clone, Debug)]
pub(crate) enum Want {
    Submit(Box<JobSpec>),
    Status,
    Cancel,
}

#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub job: String,
    pub want: Want,
    pub since: Millis,
    pub until: Millis,
}

impl Node {
    pub(crate) fn ask_submit(&mut self, request: RequestId, spec: JobSpec) {
        let ask = Ask {
            job: spec.id.clone(),
            want: Want::Submit(Box::new(spec)),
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.ask(request, ask);
    }

    pub(crate) fn ask_status(&mut self, request: RequestId, job: String) {
        let ask = Ask {
            job,
            want: Want::Status,
            since: self.now,
            until: self.now + STATUS_PATIENCE_MS,
        };
        self.ask(request, ask);
    }

    pub(crate) fn ask_cancel(&mut self, request: RequestId, job: String) {
        let ask = Ask {
            job,
            want: Want::Cancel,
            since: self.now,
            until: self.now + SUBMIT_PATIENCE_MS,
        };
        self.ask(request, ask);
    }

    fn ask(&mut self, request: RequestId, ask: Ask) {
        // A final state never changes, so the copy suffices however old it is.
        if let Some(job) = self.cache.job(&ask.job).filter(|j| self.over(&ask.job, j)) {
            let reply = self.job_reply(&ask, job);
            self.emit(Effect::User { request, reply });
            return;
        }
        if !self.state_ok() || self.leaving.is_some() || self.asks.len() >= WAITING_REQUESTS {
            let reply = self.later();
            self.emit(Effect::User { request, reply });
            return;
        }
        // A new job needs no proof of freshness: its record is only written if absent.
        let new = self.cache.job(&ask.job).is_none();
        let valid = matches!(&ask.want, Want::Submit(spec)
            if self.refusal(spec).is_none());
        if let (true, Want::Submit(spec)) = (new && valid, &ask.want) {
            if let Err(after_s) = self.admission.submissions.takes(self.now, &spec.team) {
                let reply = UserReply::Later { after_s };
                self.emit(Effect::User { request, reply });
                return;
            }
        }
        let at_once = new && valid && !self.types.is_empty();
        if let (Want::Cancel, Some(spec)) = (&ask.want, self.cache.open_job(&ask.job)) {
            // A flood of these would leave no changes for results, by which what is cancelled is told.
            if let Err(after_s) = self.admission.cancellations.takes(self.now, &spec.team) {
                let reply = UserReply::Later { after_s };
                self.emit(Effect::User { request, reply });
                return;
            }
        }
        self.asks.insert(request, ask);
        if at_once || !self.settings.checks.proof {
            self.proven(request);
        } else {
            self.unproven.push(request);
        }
    }

    pub(crate) fn later(&self) -> UserReply {
        let after_s = match self.state_ok() {
            true => RETRY_AFTER_S,
            false => OUTAGE_RETRY_AFTER_S,
        };
        UserReply::Later { after_s }
    }

    pub(crate) fn answer(&mut self, request: RequestId, reply: UserReply) {
        if self.asks.remove(&request).is_some() {
            self.emit(Effect::User { request, reply });
        }
    }

    /// The records are at least as new as the request.
    pub(crate) fn proven(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request).cloned() else {
            return;
        };
        if let Some(job) = self.cache.job(&ask.job).cloned() {
            if matches!(ask.want, Want::Cancel) && !self.over(&ask.job, &job) {
                let mut draft = TransactionBuilder::new(&self.cache);
                if job.phase == Phase::Cancelled {
                    self.await_end(request);
                    return;
                }
                let over = job.over(Phase::Cancelled, self.wall);
                draft.put(Key::Job(ask.job), Record::Job(over));
                // Which way it is to be told is the order of the two.
                draft.rests_on(Key::Settled);
                let txn = draft.finish();
                self.commit(txn, Purpose::Ask(request), Priority::User);
                return;
            }
            let reply = self.job_reply(&ask, &job);
            self.answer(request, reply);
            return;
        }
        let Want::Submit(spec) = ask.want else {
            self.answer(request, UserReply::NotFound);
            return;
        };
        let types_known = !self.types.is_empty() || !self.settings.checks.types;
        if !types_known || !self.configuration.is_readable() {
            let reply = self.later();
            self.answer(request, reply);
            return;
        }
        if let Some(why) = self.refusal(&spec) {
            tracing::info!(job = spec.id, why, "refused");
            self.answer(request, UserReply::Never(why));
            return;
        }
        if !spec.awaits.is_empty() && self.cache.format() < formats::PIPELINES {
            // A node of an older version would start it at once.
            let after_s = UPGRADE_RETRY_AFTER_S;
            self.answer(request, UserReply::Later { after_s });
            return;
        }
        let record = self.accepted(spec);
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Job(ask.job), Record::Job(record));
        if self.settings.checks.configured {
            draft.rests_on_revision(Key::Configuration, self.settings.policy.stamp);
        }
        let txn = draft.finish();
        self.commit(txn, Purpose::Ask(request), Priority::User);
    }

    /// A job's record at its acceptance.
    fn accepted(&self, spec: Box<JobSpec>) -> JobRecord {
        JobRecord {
            phase: Phase::Open,
            tasks: spec.tasks,
            chunk: formats::chunk_tasks(self.cache.format(), self.settings.value_bytes),
            at: self.wall,
            ended: 0,
            spec: Some(spec),
        }
    }

    /// The state service gave no proof this time.
    pub(crate) fn unproved(&mut self, request: RequestId) {
        if self.state_ok() && self.asks.contains_key(&request) {
            self.unproven.push(request);
        } else {
            let reply = self.later();
            self.answer(request, reply);
        }
    }

    pub(crate) fn ask_committed(&mut self, request: RequestId, committed: bool) {
        let Some(ask) = self.asks.get(&request).cloned() else {
            return;
        };
        if !committed {
            // Lost to another request, or the outcome is unknown: read again, then decide.
            self.unproved(request);
            return;
        }
        match ask.want {
            Want::Submit(spec) => {
                tracing::info!(
                    job = ask.job,
                    class = spec.class,
                    team = spec.team,
                    tasks = spec.tasks,
                    image = spec.image,
                    awaits = spec.awaits.join(" "),
                    "accepted"
                );
                // The watch may have brought the record first, as if a sibling had made it.
                self.lookup_wanted = true;
                self.stats.accepted(self.now - ask.since);
                self.answer(request, UserReply::Accepted { job: ask.job });
            }
            _ => {
                tracing::info!(job = ask.job, "cancelled");
                let state = JobState::Cancelled;
                self.command_stops(&ask.job);
                self.cancel_doomed();
                if self.cache.ending(&ask.job) {
                    self.await_end(request);
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

    pub(crate) fn tick_asks(&mut self) {
        let late: Vec<RequestId> = self
            .asks
            .iter()
            .filter(|(_, a)| self.now >= a.until)
            .map(|(r, _)| *r)
            .collect();
        for request in late {
            let reply = self.later();
            self.answer(request, reply);
        }
        if !self.state_ok() {
            let waiting: Vec<RequestId> = self.asks.keys().copied().collect();
            for request in waiting {
                let reply = self.later();
                self.answer(request, reply);
            }
            self.unproven.clear();
        }
    }

    /// Whether a job's state is final, though its record may not say so yet.
    fn over(&self, id: &str, job: &JobRecord) -> bool {
        match job.phase {
            Phase::Open => self.cache.doomed(id),
            Phase::Done => true,
            // While the records are read page by page the copy may lack what is booked.
            Phase::Cancelled => self.loaded && !self.cache.ending(id),
        }
    }

    fn job_reply(&self, ask: &Ask, job: &JobRecord) -> UserReply {
        let (state, done, running) = self.job_state(&ask.job, job);
        match ask.want {
            Want::Cancel => UserReply::Cancelled {
                job: ask.job.clone(),
                state,
            },
            _ => UserReply::State {
                job: ask.job.clone(),
                state,
                done,
                running,
            },
        }
    }

    fn job_state(&self, id: &str, job: &JobRecord) -> (JobState, u32, u32) {
        match job.phase {
            Phase::Done => (JobState::Done, job.tasks, 0),
            // Nobody has been told of it yet.
            Phase::Cancelled if self.cache.ending(id) => {
                let counts = self.cache.counts(id);
                (JobState::Running, counts.done, counts.booked)
            }
            Phase::Cancelled => (JobState::Cancelled, 0, 0),
            Phase::Open if self.cache.doomed(id) => (JobState::Cancelled, 0, 0),
            Phase::Open => {
                let counts = self.cache.counts(id);
                let state = match counts.booked {
                    0 => JobState::Queued,
                    _ => JobState::Running,
                };
                (state, counts.done, counts.booked)
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
        let fits = self.types.values().any(|t| {
            t.room.fits(&spec.need) && t.zones.iter().any(|z| spec.allows(&t.name, z, false))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let at_once = match spec.shape {
            Shape::Array => 1,
            Shape::Service => spec.tasks as u64,
        };
        if (team.cpus_max > 0 && spec.need.cpus.saturating_mul(at_once) > team.cpus_max)
            || (team.gpus_max > 0 && spec.need.gpus.saturating_mul(at_once) > team.gpus_max)
        {
            return Some("more than the team's limit".into());
        }
        let service = |a: &&String| {
            let spec = self.cache.open_job(a);
            spec.is_some_and(|s| s.shape == Shape::Service)
        };
        if let Some(awaited) = spec.awaits.iter().find(service) {
            return Some(format!("awaits: {awaited} is a service"));
        }
        if spec.awaits.contains(&spec.id) {
            return Some("awaits: a job can't await itself".into());
        }
        let record = Record::Job(self.accepted(Box::new(spec.clone())));
        let (bytes, most) = (
            formats::stored_bytes(&record, formats::LATEST),
            self.settings.value_bytes as usize,
        );
        (bytes > most).then(|| {
            format!("awaits and flavours are too long: the job takes {bytes} bytes of {most}")
        })
    }

    /// Names an awaited job that was never accepted, as far as the records show.
    fn unknown_awaited(&self, spec: &JobSpec) -> Option<String> {
        let unknown = |a: &&String| self.cache.job(a).is_none();
        let awaited = spec.awaits.iter().find(unknown)?;
        Some(format!("awaits: {awaited} was never accepted"))
    }
}
