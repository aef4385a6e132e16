//! Run times: what a controller observes of them, what it records, and what it estimates from them.
//!
//! A run is observed by the controller that receives the heartbeats in which its task begins and ends,
//! and counted by the one whose transaction records that end: an assignment is released once, so no run
//! counts twice. What is counted is added to the class's record (`g/runs/CLASS`) by a transaction
//! conditional on that record; if its outcome is never known, these runs are not sent again. No rule,
//! no proof and no condition of a claim depends on what is learned.

use crate::constants::{
    ATTEMPTS_FOLLOWED, BACKLOG_RESULTS, EARLY_CHANCE, ESTIMATES_AT_ONCE, ESTIMATES_KEPT,
    ESTIMATE_MS, FEASIBLE_CHANCE, LEARN_SHARE, MOST_CHANCE, SILENCE_MARGIN_MS, START_TAKES_MS,
    THROTTLED_MS,
};
use crate::controller::{Controller, PendingOperation, RequestClass, StateResponse};
use crate::model::{JobKind, JobSpec, Millis, TaskId, WallMs, WorkerHeartbeat};
use crate::scheduling::claims::AttemptOutcome;
use crate::state::{ChunkRecord, Key, Record, RunTimesRecord, TaskState, TransactionBuilder};
use foldhash::HashMap;
use glenmount_runtime_estimates::book::{class_id, About, Book, ClassId};
use glenmount_runtime_estimates::constants::{CLASSES_KEPT, NAME_BYTES};
use glenmount_runtime_estimates::history::{Batch, History};
use glenmount_runtime_estimates::machines::Machines;
use glenmount_runtime_estimates::mixture::Mixture;
use glenmount_runtime_estimates::{End, Run};
use std::collections::BTreeSet;

type Attempt = (TaskId, u64);

/// When an attempt was claimed; once a heartbeat shows it running, when that was.
#[derive(Clone, Copy, Debug)]
struct AttemptBeginning {
    attempt: u64,
    at: Millis,
    runs: bool,
    /// Its machine's last heartbeat, shortly before, did not show it: it began at that time.
    exact: bool,
}

/// The progress that earlier attempts of a task with checkpoints saved.
#[derive(Clone, Copy, Debug)]
struct SavedProgress {
    attempt: u64,
    secs: Option<f64>,
}

/// An estimate of a job's run times, used until it is computed anew.
struct JobEstimate {
    at: Millis,
    tasks: Mixture,
    least_ms: u64,
    /// Most of its tasks end within so many milliseconds.
    most_ms: u64,
    /// Few of its tasks end within so many seconds: for tasks that would be no older, no more is
    /// computed.
    early_s: f64,
}

#[derive(Default)]
pub(crate) struct Learned {
    pub book: Book,
    machines: Machines,
    /// Of each task's latest attempt.
    begun: HashMap<TaskId, AttemptBeginning>,
    saved_progress: HashMap<TaskId, SavedProgress>,
    /// Runs whose end a heartbeat showed here, until that is on record.
    ended: HashMap<Attempt, (Run, String)>,
    /// Each worker's incarnation, and when its last heartbeat arrived here.
    last_heartbeats: HashMap<String, (u64, Millis)>,
    estimates: HashMap<String, JobEstimate>,
    /// When the next record may be written.
    record_at: Millis,
    recording_in_flight: bool,
    /// Runs counted since that was last logged.
    pub counted: u64,
    /// Records written since that was last logged.
    pub recorded: u64,
}

/// A run as the log and `glenmountctl` have it.
fn line(run: &Run, task: &TaskId, machine: &str, at: WallMs) -> String {
    serde_json::json!({
        "at": at, "job": run.job, "task": task.index, "team": run.team, "class": run.class,
        "image": run.image, "expect_s": run.expect_s, "secs": (run.secs * 1e3).round() / 1e3,
        "done": run.end == End::Done, "machine": machine,
    })
    .to_string()
}

/// The first bytes of a name, no character cut.
fn shortened(name: &str) -> String {
    let end = (0..=NAME_BYTES.min(name.len())).rev();
    let end = end.into_iter().find(|at| name.is_char_boundary(*at));
    name[..end.unwrap_or(0)].to_string()
}

impl Controller {
    fn learns(&self) -> bool {
        self.settings.learned.learn
    }

    /// A chunk is about to change: notes claims in it, and attempts that were lost.
    pub(crate) fn assignments_changed(&mut self, job: &str, n: u32, chunk: &ChunkRecord) {
        if !self.learns() {
            return;
        }
        let before = self.cache.claim_revision(job, n);
        let waits = |index: u32| {
            let slot = index.saturating_sub(chunk.first) as usize;
            chunk.tasks.get(slot) == Some(&TaskState::Pending)
        };
        let old = self.cache.chunk(job, n).map(|c| c.assigned());
        let lost: Vec<(u32, u64)> = (old.into_iter().flatten())
            .filter(|(index, _)| waits(*index))
            .map(|(index, b)| (index, b.attempt))
            .collect();
        let task = |index| TaskId {
            job: job.to_string(),
            index,
        };
        for (index, b) in chunk.assigned().filter(|(_, b)| b.attempt == before) {
            self.claim_seen(task(index), b.attempt);
        }
        for (index, attempt) in lost {
            self.interrupted(task(index), attempt);
        }
    }

    /// An assignment that this controller has not seen before.
    fn claim_seen(&mut self, task: TaskId, attempt: u64) {
        if self.run_times.begun.len() < ATTEMPTS_FOLLOWED {
            let at = self.now;
            let begun = AttemptBeginning {
                attempt,
                at,
                runs: false,
                exact: false,
            };
            let known = self.run_times.begun.entry(task).or_insert(begun);
            if known.attempt != attempt {
                *known = begun;
            }
        }
    }

    /// A task that saves its progress lost its attempt: unless this controller knows how far it came, its
    /// next run says only that it takes longer.
    fn interrupted(&mut self, task: TaskId, attempt: u64) {
        let open = self.cache.open_job(&task.job);
        if open.is_none_or(|s| s.checkpoint_interval_s <= 0.0)
            || self.run_times.saved_progress.len() >= ATTEMPTS_FOLLOWED
        {
            return;
        }
        let unknown = SavedProgress {
            attempt,
            secs: None,
        };
        let known = self.run_times.saved_progress.entry(task).or_insert(unknown);
        if known.attempt != attempt {
            *known = unknown;
        }
    }

    /// A heartbeat shows an attempt running. Called only where run times are learned.
    pub(crate) fn seen_running(
        &mut self,
        task: &TaskId,
        attempt: u64,
        heartbeat: &WorkerHeartbeat,
    ) {
        let recent = self.settings.report_due_ms() + SILENCE_MARGIN_MS;
        let before = self.run_times.last_heartbeats.get(&heartbeat.machine);
        let exact =
            before.is_some_and(|(s, at)| *s == heartbeat.incarnation && self.now < at + recent);
        let room = self.run_times.begun.len() < ATTEMPTS_FOLLOWED;
        match self.run_times.begun.get(task) {
            Some(begun) if begun.runs && begun.attempt == attempt => {}
            None if !room => {}
            _ => {
                let at = self.now;
                let begun = AttemptBeginning {
                    attempt,
                    at,
                    runs: true,
                    exact,
                };
                self.run_times.begun.insert(task.clone(), begun);
            }
        }
    }

    /// A heartbeat has been handled.
    pub(crate) fn noted_report(&mut self, heartbeat: &WorkerHeartbeat) {
        if self.learns() {
            let mark = (heartbeat.incarnation, self.now);
            self.run_times
                .last_heartbeats
                .insert(heartbeat.machine.clone(), mark);
        }
    }

    /// A heartbeat, or the cloud, showed here that an attempt ended.
    pub(crate) fn run_ended(&mut self, task: &TaskId, attempt: u64, outcome: AttemptOutcome) {
        if !self.learns() {
            return;
        }
        let key = (task.clone(), attempt);
        if self.run_times.ended.contains_key(&key) {
            return;
        }
        let begun = self.run_times.begun.get(task).copied();
        let begun = begun.filter(|b| b.attempt == attempt);
        let assigned = self.cache.assignment_of_attempt(task, attempt);
        let (Some(begun), Some(assigned)) = (begun.filter(|b| b.runs), assigned) else {
            return;
        };
        let machine = assigned.machine.clone();
        let spec = self.cache.open_job(&task.job).cloned();
        let Some(spec) = spec.filter(|s| s.kind == JobKind::Array) else {
            return;
        };
        let until = match outcome {
            AttemptOutcome::Terminated => self
                .run_times
                .last_heartbeats
                .get(&machine)
                .map_or(0, |r| r.1),
            _ => self.now,
        };
        let own = until.saturating_sub(begun.at) as f64 / 1e3;
        let saves = spec.checkpoint_interval_s > 0.0;
        let carried = self.run_times.saved_progress.get(task).filter(|_| saves);
        let before = carried.map_or(Some(0.0), |c| c.secs);
        let exact = begun.exact && before.is_some();
        let secs = own + before.unwrap_or(0.0);
        let end = match outcome {
            AttemptOutcome::Done if exact => End::Done,
            AttemptOutcome::Done | AttemptOutcome::Terminated => End::AtLeast,
            AttemptOutcome::Failed | AttemptOutcome::Refused => return,
        };
        if saves
            && outcome == AttemptOutcome::Terminated
            && self.run_times.saved_progress.len() < ATTEMPTS_FOLLOWED
        {
            // Stopped, it saved all its progress; lost with its machine, up to its last checkpoint.
            let kept = match assigned.stop_reason.is_some() {
                true => own,
                false => (own / spec.checkpoint_interval_s).floor() * spec.checkpoint_interval_s,
            };
            let secs = before.filter(|_| begun.exact).map(|b| b + kept);
            let carried = SavedProgress { attempt, secs };
            self.run_times.saved_progress.insert(task.clone(), carried);
        }
        if secs > 0.0 && self.run_times.ended.len() < ATTEMPTS_FOLLOWED {
            let run = Run {
                team: spec.team,
                class: spec.class,
                image: spec.image,
                job: task.job.clone(),
                expect_s: spec.estimate_s,
                secs,
                end,
            };
            self.run_times.ended.insert(key, (run, machine));
        }
    }

    /// These ends are on record, by this controller's transaction.
    pub(crate) fn count_runs(&mut self, released: Vec<(TaskId, u64)>) {
        for (task, attempt) in released {
            let Some((run, machine)) = self.run_times.ended.remove(&(task.clone(), attempt)) else {
                continue;
            };
            let known = self.run_times.estimates.get(&run.job);
            let expected = known.map_or(run.ln_secs(), |k| k.tasks.quantile(0.5));
            let done = run.end == End::Done;
            let excess = run.ln_secs() - expected;
            let sound = !done || self.run_times.machines.ran(&machine, excess);
            let faulty = self
                .cache
                .machine(&machine)
                .is_some_and(|m| !m.faults.is_empty());
            if sound && !faulty {
                let line = line(&run, &task, &machine, self.wall);
                tracing::info!(run = %line, "ran");
                self.run_times.book.ran(&run);
                self.run_times.counted += 1;
            }
        }
    }

    /// A class's record changed, or went.
    pub(crate) fn run_times_changed(&mut self, class: ClassId) {
        if !self.learns() {
            return;
        }
        match self.cache.run_times(&class) {
            Some(r) => {
                let history = History::unpack(&r.packed).unwrap_or_else(|| {
                    tracing::warn!(
                        team = r.team,
                        class = r.class,
                        "stored run times damaged, ignored"
                    );
                    History::default()
                });
                let (team, name) = (r.team.clone(), r.class.clone());
                self.run_times.book.recorded(class, &team, &name, history);
            }
            None => self.run_times.book.removed(class),
        }
    }

    /// The records were read anew.
    pub(crate) fn run_times_listed(&mut self) {
        let classes: Vec<u64> = self.cache.all_run_times().map(|(c, ..)| *c).collect();
        for class in classes {
            self.run_times_changed(class);
        }
    }

    /// Records what was counted, one class at a time, on its small share of the changes; not while
    /// these are short.
    pub(crate) fn record_run_times(&mut self) {
        if !self.learns()
            || self.run_times.recording_in_flight
            || self.now < self.run_times.record_at
        {
            return;
        }
        let is_budget_ample = self.changes_left() * 2 >= self.writes.budget.most();
        let is_throttle_over = |at: Millis| self.now >= at + THROTTLED_MS;
        if !is_budget_ample
            || self.write_back.results.len() > BACKLOG_RESULTS
            || !self.writes.throttled_at.is_none_or(is_throttle_over)
        {
            return;
        }
        let Some(class) = self.run_times.book.unrecorded().first().copied() else {
            return;
        };
        let Some((team, name, history, batches)) = self.run_times.book.to_record(class) else {
            return;
        };
        let record = RunTimesRecord {
            team: shortened(team),
            class: shortened(name),
            updated_at: self.wall,
            packed: history.pack(),
        };
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::RunTimes(class), Record::RunTimes(record));
        let kept: Vec<(WallMs, u64)> = self
            .cache
            .all_run_times()
            .map(|(c, r, _)| (r.updated_at, *c))
            .collect();
        let new = self.cache.run_times(&class).is_none();
        if new && kept.len() >= CLASSES_KEPT {
            if let Some((_, least)) = kept.iter().min() {
                draft.remove(Key::RunTimes(*least));
            }
        }
        let rate = self.settings.write_rps.min(self.settings.next_write_rps) * LEARN_SHARE;
        let pause = draft.change_count() as f64 * 1e3 / rate.max(1e-6);
        self.run_times.record_at = self.now + pause as Millis;
        self.run_times.recording_in_flight = true;
        self.run_times.book.sent(class, &batches);
        let transaction = draft.finish();
        let purpose = PendingOperation::RecordRunTimes(class, batches);
        self.commit(transaction, purpose, RequestClass::Housekeeping);
    }

    pub(crate) fn run_times_recorded(
        &mut self,
        class: ClassId,
        batches: Vec<Batch>,
        answer: &StateResponse,
    ) {
        self.run_times.recording_in_flight = false;
        match answer {
            StateResponse::Committed { .. } => self.run_times.recorded += 1,
            StateResponse::Conflict { .. } | StateResponse::Unavailable => {
                self.run_times.book.unsent(class, &batches)
            }
            // It may take effect yet: to send these again might count them twice.
            _ => tracing::info!(
                jobs = batches.len(),
                "run times write unanswered, runs dropped"
            ),
        }
    }

    /// Computes estimates anew for waiting and running jobs, as far as they are outdated.
    pub(crate) fn look_at_run_times(&mut self) {
        let uses = self.settings.learned;
        if !(uses.learn && (uses.order || uses.due || uses.stops || uses.notice)) {
            return;
        }
        let now = self.now;
        let fresh = |estimate: &JobEstimate| now < estimate.at + ESTIMATE_MS;
        let stale = |id: &str| !self.run_times.estimates.get(id).is_some_and(fresh);
        let running = self
            .cache
            .task_counts_by_job()
            .filter(|(_, c)| c.assigned > 0);
        let ids: BTreeSet<&str> = (self.cache.waiting_jobs())
            .map(|(id, ..)| id)
            .chain(running.map(|(id, _)| id))
            .filter(|id| stale(id))
            .collect();
        let due: Vec<JobSpec> = (ids.into_iter())
            .filter_map(|id| self.cache.open_job(id))
            .filter(|s| s.kind == JobKind::Array)
            .take(ESTIMATES_AT_ONCE)
            .cloned()
            .collect();
        for spec in due {
            let tasks = self.run_times.book.distribution(&About {
                team: &spec.team,
                class: &spec.class,
                image: &spec.image,
                job: &spec.id,
                expect_s: spec.estimate_s,
            });
            let least_ms = (tasks.quantile(FEASIBLE_CHANCE).exp() * 1e3) as u64;
            let most_ms = (tasks.quantile(MOST_CHANCE).exp() * 1e3) as u64;
            let early_s = tasks.quantile(EARLY_CHANCE).exp();
            if self.run_times.estimates.len() < ESTIMATES_KEPT {
                let known = JobEstimate {
                    at: now,
                    tasks,
                    least_ms,
                    most_ms,
                    early_s,
                };
                self.run_times.estimates.insert(spec.id, known);
            }
        }
    }

    /// Milliseconds that a job's tasks take at least.
    pub(crate) fn least_run_ms(&self, job: &str, spec: &JobSpec) -> u64 {
        let known = self.run_times.estimates.get(job);
        match known.filter(|_| self.settings.learned.due) {
            Some(k) => k.least_ms,
            None => crate::jobs::dependencies::least_run_ms(spec),
        }
    }

    /// Milliseconds before it is due by which a job should start; none where jobs are not served in
    /// that order.
    pub(crate) fn start_before_ms(&self, job: &str) -> u64 {
        let known = self.run_times.estimates.get(job);
        known
            .filter(|_| self.settings.learned.order)
            .map_or(0, |k| k.most_ms)
    }

    /// The chance that a running attempt ends within so many milliseconds; none if too little is
    /// known.
    fn ends_within(&self, task: &TaskId, attempt: u64, ms: Millis) -> Option<f64> {
        let begun = self
            .run_times
            .begun
            .get(task)
            .filter(|b| b.attempt == attempt)?;
        let known = self.run_times.estimates.get(&task.job)?;
        if !begun.runs && self.now < begun.at + START_TAKES_MS {
            return None;
        }
        let start = match begun.runs {
            true => begun.at,
            false => begun.at + START_TAKES_MS,
        };
        let carried = self.run_times.saved_progress.get(task).and_then(|c| c.secs);
        let elapsed = (self.now - start) as f64 / 1e3 + carried.unwrap_or(0.0);
        if elapsed + ms as f64 / 1e3 < known.early_s {
            return Some(0.0);
        }
        let share = |secs: f64| {
            known
                .tasks
                .share_within(glenmount_runtime_estimates::ln(secs))
        };
        let (over, by_then) = (share(elapsed), share(elapsed + ms as f64 / 1e3));
        (over < 0.99).then(|| (by_then - over) / (1.0 - over))
    }

    /// Whether an attempt ends within a time with at least such a chance.
    pub(crate) fn about_to_end(
        &self,
        task: &TaskId,
        attempt: u64,
        ms: Millis,
        chance: f64,
    ) -> bool {
        let known = self.ends_within(task, attempt, ms);
        known.is_some_and(|c| c >= chance)
    }

    /// Forgets what belongs to what is over.
    pub(crate) fn forget_old_runs(&mut self) {
        let cache = &self.cache;
        let assigned =
            |(task, attempt): &Attempt| cache.assignment_of_attempt(task, *attempt).is_some();
        let learned = &mut self.run_times;
        learned
            .begun
            .retain(|task, b| cache.assignment_of_attempt(task, b.attempt).is_some());
        learned.ended.retain(|key, _| assigned(key));
        learned
            .saved_progress
            .retain(|task, _| cache.open_job(&task.job).is_some());
        learned
            .last_heartbeats
            .retain(|id, _| cache.machine(id).is_some());
        learned.machines.retain(|id| cache.machine(id).is_some());
        learned
            .estimates
            .retain(|job, _| cache.open_job(job).is_some());
        if learned.counted + learned.recorded > 0 {
            let (runs, records) = (learned.counted, learned.recorded);
            let (classes, followed) = (learned.book.len(), learned.begun.len());
            tracing::info!(runs, records, classes, followed, "run times counted");
            (learned.counted, learned.recorded) = (0, 0);
        }
    }

    /// What is learned of a class, for tests and the log.
    pub fn class_history(&self, team: &str, class: &str) -> Option<&History> {
        self.run_times.book.history(class_id(team, class))
    }
}
