//! Run times: observes the runs of tasks, records them per class of jobs, and estimates run times from them.
//!
//! The controller that receives the heartbeats with the start and the end of a task observes a run, and the
//! one whose transaction records that end counts it: an assignment is released once, so no run counts twice.
//! Counted runs are added to the record of their class (`g/runs/CLASS`) by a transaction that is conditional
//! on that record. If its outcome stays unknown, these runs are not sent again. No safety check and no
//! condition of a claim depends on estimates.

use crate::constants::{
    BACKLOG_MIN_RESULTS, EARLY_END_QUANTILE, ESTIMATES_MAX, ESTIMATES_PER_PASS_MAX,
    ESTIMATE_TTL_MS, FEASIBLE_RUN_TIME_QUANTILE, LATEST_START_QUANTILE, RUN_TIME_WRITE_SHARE,
    SILENCE_MARGIN_MS, START_DURATION_MS, THROTTLE_PERIOD_MS, TRACKED_ATTEMPTS_MAX,
};
use crate::controller::{Controller, PendingOperation, RequestClass, StateResponse};
use crate::model::{JobKind, JobSpec, Millis, TaskId, WallMs, WorkerHeartbeat};
use crate::scheduling::releases::AttemptOutcome;
use crate::state::{ChunkRecord, Key, Record, RunTimesRecord, TaskState, TransactionBuilder};
use foldhash::HashMap;
use glenmount_runtime_estimates::constants::{CLASSES_MAX, RECORD_NAME_MAX_BYTES};
use glenmount_runtime_estimates::estimator::{class_id, ClassId, JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::history::{History, RunBatch};
use glenmount_runtime_estimates::machine_speeds::MachineSpeeds;
use glenmount_runtime_estimates::mixture::Mixture;
use glenmount_runtime_estimates::{Run, RunOutcome};
use std::collections::BTreeSet;

type Attempt = (TaskId, u64);

/// The latest attempt of a task, and when it started.
#[derive(Clone, Copy, Debug)]
struct ObservedAttempt {
    attempt: u64,
    /// Time of the first heartbeat that shows it running, or of its claim before that.
    since: Millis,
    is_running: bool,
    /// Whether the previous heartbeat of its machine came shortly before and did not show it, so that its start
    /// is known.
    is_start_exact: bool,
}

/// The progress that earlier attempts of a task with checkpoints saved; unknown if `secs` is `None`.
#[derive(Clone, Copy, Debug)]
struct SavedProgress {
    attempt: u64,
    secs: Option<f64>,
}

/// An estimate of the run times of a job's tasks, cached for a while.
struct JobEstimate {
    computed_at: Millis,
    distribution: Mixture,
    min_run_ms: u64,
    /// Time within which most of its tasks end.
    start_lead_time_ms: u64,
    /// Time within which few of its tasks end. For a shorter elapsed time no probability is computed.
    early_end_s: f64,
}

/// The observed runs and the estimates of a controller.
#[derive(Default)]
pub(crate) struct RunTimes {
    pub estimator: RunTimeEstimator,
    machines: MachineSpeeds,
    /// The latest attempt of each task.
    attempts: HashMap<TaskId, ObservedAttempt>,
    saved_progress: HashMap<TaskId, SavedProgress>,
    /// Runs whose end this controller observed, with their machine, until the end is on record.
    ended_runs: HashMap<Attempt, (Run, String)>,
    /// Incarnation and arrival time of the last heartbeat of each worker.
    last_heartbeats: HashMap<String, (u64, Millis)>,
    estimates: HashMap<String, JobEstimate>,
    /// Earliest time of the next write of a record.
    next_write_at: Millis,
    recording_in_flight: bool,
    /// Runs counted since the last log line.
    pub counted_runs: u64,
    /// Records written since the last log line.
    pub written_records: u64,
}

/// Formats a run for the log, from which `glenmountctl` reads it.
fn run_record_line(run: &Run, task: &TaskId, machine: &str, at: WallMs) -> String {
    serde_json::json!({
        "at": at, "job": run.job, "task": task.index, "team": run.team, "class": run.class,
        "image": run.image, "expect_s": run.owner_estimate_s, "secs": (run.run_time_s * 1e3).round() / 1e3,
        "done": run.outcome == RunOutcome::Completed, "machine": machine,
    })
    .to_string()
}

/// Returns the longest prefix of a name within `RECORD_NAME_MAX_BYTES` that ends at a character boundary.
fn truncated(name: &str) -> String {
    let end = (0..=RECORD_NAME_MAX_BYTES.min(name.len())).rev();
    let end = end.into_iter().find(|at| name.is_char_boundary(*at));
    name[..end.unwrap_or(0)].to_string()
}

impl Controller {
    fn estimates_run_times(&self) -> bool {
        self.settings.runtime_estimates.enabled
    }

    /// Observes new claims and lost attempts in a chunk that is about to change in the cache.
    pub(crate) fn observe_assignment_changes(
        &mut self,
        job: &str,
        chunk_number: u32,
        chunk: &ChunkRecord,
    ) {
        if !self.estimates_run_times() {
            return;
        }
        let before = self.cache.claim_revision(job, chunk_number);
        let is_pending = |index: u32| {
            let slot = index.saturating_sub(chunk.first) as usize;
            chunk.tasks.get(slot) == Some(&TaskState::Pending)
        };
        let old = self.cache.chunk(job, chunk_number).map(|c| c.assigned());
        let lost: Vec<(u32, u64)> = (old.into_iter().flatten())
            .filter(|(index, _)| is_pending(*index))
            .map(|(index, assignment)| (index, assignment.attempt))
            .collect();
        let task = |index| TaskId {
            job: job.to_string(),
            index,
        };
        for (index, assignment) in chunk.assigned().filter(|(_, a)| a.attempt == before) {
            self.observe_claim(task(index), assignment.attempt);
        }
        for (index, attempt) in lost {
            self.observe_lost_attempt(task(index), attempt);
        }
    }

    /// Observes an assignment that is new to this controller.
    fn observe_claim(&mut self, task: TaskId, attempt: u64) {
        if self.run_times.attempts.len() < TRACKED_ATTEMPTS_MAX {
            let claimed = ObservedAttempt {
                attempt,
                since: self.now,
                is_running: false,
                is_start_exact: false,
            };
            let known = self.run_times.attempts.entry(task).or_insert(claimed);
            if known.attempt != attempt {
                *known = claimed;
            }
        }
    }

    /// Observes the loss of an attempt of a task with checkpoints. Unless this controller knows the saved
    /// progress, the next run is only a lower bound of the run time.
    fn observe_lost_attempt(&mut self, task: TaskId, attempt: u64) {
        let open = self.cache.open_job(&task.job);
        if open.is_none_or(|spec| spec.checkpoint_interval_s <= 0.0)
            || self.run_times.saved_progress.len() >= TRACKED_ATTEMPTS_MAX
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

    /// Observes an attempt that a heartbeat shows running. Called only if run times are estimated.
    pub(crate) fn observe_running_attempt(
        &mut self,
        task: &TaskId,
        attempt: u64,
        heartbeat: &WorkerHeartbeat,
    ) {
        let max_gap_ms = self.settings.heartbeat_due_ms() + SILENCE_MARGIN_MS;
        let previous = self.run_times.last_heartbeats.get(&heartbeat.machine);
        let is_start_exact = previous.is_some_and(|(incarnation, at)| {
            *incarnation == heartbeat.incarnation && self.now < at + max_gap_ms
        });
        let has_capacity = self.run_times.attempts.len() < TRACKED_ATTEMPTS_MAX;
        match self.run_times.attempts.get(task) {
            Some(known) if known.is_running && known.attempt == attempt => {}
            None if !has_capacity => {}
            _ => {
                let running = ObservedAttempt {
                    attempt,
                    since: self.now,
                    is_running: true,
                    is_start_exact,
                };
                self.run_times.attempts.insert(task.clone(), running);
            }
        }
    }

    /// Records the arrival of a heartbeat that has been processed.
    pub(crate) fn record_last_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        if self.estimates_run_times() {
            let last = (heartbeat.incarnation, self.now);
            self.run_times
                .last_heartbeats
                .insert(heartbeat.machine.clone(), last);
        }
    }

    /// Observes the end of an attempt, which a heartbeat or the response to a direct command showed.
    pub(crate) fn observe_run_end(&mut self, task: &TaskId, attempt: u64, outcome: AttemptOutcome) {
        if !self.estimates_run_times() {
            return;
        }
        let key = (task.clone(), attempt);
        if self.run_times.ended_runs.contains_key(&key) {
            return;
        }
        let observed = self.run_times.attempts.get(task).copied();
        let observed = observed.filter(|o| o.attempt == attempt && o.is_running);
        let assigned = self.cache.assignment_of_attempt(task, attempt);
        let (Some(observed), Some(assigned)) = (observed, assigned) else {
            return;
        };
        let machine = assigned.machine.clone();
        let spec = self.cache.open_job(&task.job).cloned();
        let Some(spec) = spec.filter(|spec| spec.kind == JobKind::Array) else {
            return;
        };
        let until = match outcome {
            AttemptOutcome::Terminated => {
                let last_heartbeat = self.run_times.last_heartbeats.get(&machine);
                last_heartbeat.map_or(0, |(_, at)| *at)
            }
            _ => self.now,
        };
        let run_s = until.saturating_sub(observed.since) as f64 / 1e3;
        let has_checkpoints = spec.checkpoint_interval_s > 0.0;
        let saved = self.run_times.saved_progress.get(task);
        let saved = saved.filter(|_| has_checkpoints);
        let earlier_secs = saved.map_or(Some(0.0), |saved| saved.secs);
        let is_exact = observed.is_start_exact && earlier_secs.is_some();
        let secs = run_s + earlier_secs.unwrap_or(0.0);
        let run_outcome = match outcome {
            AttemptOutcome::Done if is_exact => RunOutcome::Completed,
            AttemptOutcome::Done | AttemptOutcome::Terminated => RunOutcome::LowerBound,
            AttemptOutcome::Failed | AttemptOutcome::Refused => return,
        };
        if has_checkpoints
            && outcome == AttemptOutcome::Terminated
            && self.run_times.saved_progress.len() < TRACKED_ATTEMPTS_MAX
        {
            // A stopped task saves all its progress; one lost with its machine keeps its last checkpoint.
            let saved_secs = match assigned.stop_reason.is_some() {
                true => run_s,
                false => (run_s / spec.checkpoint_interval_s).floor() * spec.checkpoint_interval_s,
            };
            let earlier_secs = earlier_secs.filter(|_| observed.is_start_exact);
            let secs = earlier_secs.map(|earlier| earlier + saved_secs);
            let saved = SavedProgress { attempt, secs };
            self.run_times.saved_progress.insert(task.clone(), saved);
        }
        if secs > 0.0 && self.run_times.ended_runs.len() < TRACKED_ATTEMPTS_MAX {
            let run = Run {
                team: spec.team,
                class: spec.class,
                image: spec.image,
                job: task.job.clone(),
                owner_estimate_s: spec.estimate_s,
                run_time_s: secs,
                outcome: run_outcome,
            };
            self.run_times.ended_runs.insert(key, (run, machine));
        }
    }

    /// Counts the runs whose ends a transaction of this controller has recorded.
    pub(crate) fn count_recorded_runs(&mut self, ended_attempts: Vec<(TaskId, u64)>) {
        for (task, attempt) in ended_attempts {
            let Some((run, machine)) = self.run_times.ended_runs.remove(&(task.clone(), attempt))
            else {
                continue;
            };
            let estimate = self.run_times.estimates.get(&run.job);
            let expected = estimate.map_or(run.ln_run_time(), |e| e.distribution.quantile(0.5));
            let is_done = run.outcome == RunOutcome::Completed;
            let excess = run.ln_run_time() - expected;
            let is_representative = !is_done || self.run_times.machines.add_run(&machine, excess);
            let is_machine_faulty = self
                .cache
                .machine(&machine)
                .is_some_and(|m| !m.faults.is_empty());
            if is_representative && !is_machine_faulty {
                let line = run_record_line(&run, &task, &machine, self.wall_time);
                tracing::info!(run = %line, "ran");
                self.run_times.estimator.add_run(&run);
                self.run_times.counted_runs += 1;
            }
        }
    }

    /// Applies a changed or deleted record of a class.
    pub(crate) fn apply_run_times_record(&mut self, class: ClassId) {
        if !self.estimates_run_times() {
            return;
        }
        match self.cache.run_times(&class) {
            Some(record) => {
                let history = History::unpack(&record.packed).unwrap_or_else(|| {
                    tracing::warn!(
                        team = record.team,
                        class = record.class,
                        "stored run times damaged, ignored"
                    );
                    History::default()
                });
                let (team, name) = (record.team.clone(), record.class.clone());
                self.run_times
                    .estimator
                    .set_record(class, &team, &name, history);
            }
            None => self.run_times.estimator.remove_record(class),
        }
    }

    /// Applies the records of all classes after a list.
    pub(crate) fn apply_all_run_times_records(&mut self) {
        let classes: Vec<u64> = self
            .cache
            .all_run_times()
            .map(|(class, ..)| *class)
            .collect();
        for class in classes {
            self.apply_run_times_record(class);
        }
    }

    /// Records counted runs, one class at a time, within `RUN_TIME_WRITE_SHARE` of the changes, and not while
    /// changes are scarce.
    pub(crate) fn record_run_times(&mut self) {
        if !self.estimates_run_times()
            || self.run_times.recording_in_flight
            || self.now < self.run_times.next_write_at
        {
            return;
        }
        let is_budget_ample = self.changes_left() * 2 >= self.writes.budget.capacity();
        let is_throttle_over = |at: Millis| self.now >= at + THROTTLE_PERIOD_MS;
        if !is_budget_ample
            || self.write_back.results.len() > BACKLOG_MIN_RESULTS
            || !self.writes.throttled_at.is_none_or(is_throttle_over)
        {
            return;
        }
        let Some(class) = self
            .run_times
            .estimator
            .classes_to_record()
            .first()
            .copied()
        else {
            return;
        };
        let Some((team, name, history, batches)) = self.run_times.estimator.updated_record(class)
        else {
            return;
        };
        let record = RunTimesRecord {
            team: truncated(team),
            class: truncated(name),
            updated_at: self.wall_time,
            packed: history.pack(),
        };
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::RunTimes(class), Record::RunTimes(record));
        let recorded: Vec<(WallMs, u64)> = (self.cache.all_run_times())
            .map(|(class, record, _)| (record.updated_at, *class))
            .collect();
        let is_new = self.cache.run_times(&class).is_none();
        if is_new && recorded.len() >= CLASSES_MAX {
            if let Some((_, oldest)) = recorded.iter().min() {
                draft.remove(Key::RunTimes(*oldest));
            }
        }
        let rate_per_s = self
            .settings
            .write_rps
            .min(self.settings.announced_write_rps)
            * RUN_TIME_WRITE_SHARE;
        let pause_ms = draft.change_count() as f64 * 1e3 / rate_per_s.max(1e-6);
        self.run_times.next_write_at = self.now + pause_ms as Millis;
        self.run_times.recording_in_flight = true;
        self.run_times.estimator.mark_recorded(class, &batches);
        let transaction = draft.finish();
        let purpose = PendingOperation::RecordRunTimes(class, batches);
        self.commit(transaction, purpose, RequestClass::Housekeeping);
    }

    /// Processes the response to a write of run times.
    pub(crate) fn finish_recording_run_times(
        &mut self,
        class: ClassId,
        batches: Vec<RunBatch>,
        response: &StateResponse,
    ) {
        self.run_times.recording_in_flight = false;
        match response {
            StateResponse::Committed { .. } => self.run_times.written_records += 1,
            StateResponse::Conflict { .. } | StateResponse::Unavailable => {
                self.run_times.estimator.restore_unrecorded(class, &batches)
            }
            // The write may still take effect, and a retry might count these runs twice.
            _ => tracing::info!(
                jobs = batches.len(),
                "run times write unanswered, runs dropped"
            ),
        }
    }

    /// Recomputes outdated estimates of pending and running jobs.
    pub(crate) fn refresh_estimates(&mut self) {
        let uses = self.settings.runtime_estimates;
        if !(uses.enabled
            && (uses.queue_order || uses.due_times || uses.preemption || uses.termination_notice))
        {
            return;
        }
        let now = self.now;
        let is_fresh = |estimate: &JobEstimate| now < estimate.computed_at + ESTIMATE_TTL_MS;
        let is_stale = |id: &str| !self.run_times.estimates.get(id).is_some_and(is_fresh);
        let running = self
            .cache
            .task_counts_by_job()
            .filter(|(_, counts)| counts.assigned > 0);
        let ids: BTreeSet<&str> = (self.cache.waiting_jobs())
            .map(|(id, ..)| id)
            .chain(running.map(|(id, _)| id))
            .filter(|id| is_stale(id))
            .collect();
        let outdated: Vec<JobSpec> = (ids.into_iter())
            .filter_map(|id| self.cache.open_job(id))
            .filter(|spec| spec.kind == JobKind::Array)
            .take(ESTIMATES_PER_PASS_MAX)
            .cloned()
            .collect();
        for spec in outdated {
            let distribution = self.run_times.estimator.distribution(&JobDescription {
                team: &spec.team,
                class: &spec.class,
                image: &spec.image,
                job: &spec.id,
                owner_estimate_s: spec.estimate_s,
            });
            let min_run_ms = (distribution.quantile(FEASIBLE_RUN_TIME_QUANTILE).exp() * 1e3) as u64;
            let start_lead_time_ms =
                (distribution.quantile(LATEST_START_QUANTILE).exp() * 1e3) as u64;
            let early_end_s = distribution.quantile(EARLY_END_QUANTILE).exp();
            if self.run_times.estimates.len() < ESTIMATES_MAX {
                let estimate = JobEstimate {
                    computed_at: now,
                    distribution,
                    min_run_ms,
                    start_lead_time_ms,
                    early_end_s,
                };
                self.run_times.estimates.insert(spec.id, estimate);
            }
        }
    }

    /// Returns the shortest time that the tasks of a job are expected to run.
    pub(crate) fn min_run_ms(&self, job: &str, spec: &JobSpec) -> u64 {
        let estimate = self.run_times.estimates.get(job);
        match estimate.filter(|_| self.settings.runtime_estimates.due_times) {
            Some(estimate) => estimate.min_run_ms,
            None => crate::jobs::dependencies::min_estimated_run_ms(spec),
        }
    }

    /// Returns the time before its due time by which a job should start, or 0 if estimates do not decide the
    /// order of the queue.
    pub(crate) fn start_lead_time_ms(&self, job: &str) -> u64 {
        let estimate = self.run_times.estimates.get(job);
        estimate
            .filter(|_| self.settings.runtime_estimates.queue_order)
            .map_or(0, |estimate| estimate.start_lead_time_ms)
    }

    /// Returns the probability that a running attempt ends within `within_ms`, or `None` without an observed start
    /// or an estimate.
    fn end_probability(&self, task: &TaskId, attempt: u64, within_ms: Millis) -> Option<f64> {
        let observed = self
            .run_times
            .attempts
            .get(task)
            .filter(|observed| observed.attempt == attempt)?;
        let estimate = self.run_times.estimates.get(&task.job)?;
        if !observed.is_running && self.now < observed.since + START_DURATION_MS {
            return None;
        }
        let started_at = match observed.is_running {
            true => observed.since,
            false => observed.since + START_DURATION_MS,
        };
        let saved = self.run_times.saved_progress.get(task);
        let saved_secs = saved.and_then(|saved| saved.secs);
        let elapsed_s = (self.now - started_at) as f64 / 1e3 + saved_secs.unwrap_or(0.0);
        if elapsed_s + within_ms as f64 / 1e3 < estimate.early_end_s {
            return Some(0.0);
        }
        let ended_share = |secs: f64| {
            estimate
                .distribution
                .cdf(glenmount_runtime_estimates::ln_run_time(secs))
        };
        let ended_before = ended_share(elapsed_s);
        let ended_by_then = ended_share(elapsed_s + within_ms as f64 / 1e3);
        (ended_before < 0.99).then(|| (ended_by_then - ended_before) / (1.0 - ended_before))
    }

    /// Returns whether an attempt ends within `within_ms` with at least this probability.
    pub(crate) fn is_likely_to_end(
        &self,
        task: &TaskId,
        attempt: u64,
        within_ms: Millis,
        min_probability: f64,
    ) -> bool {
        let probability = self.end_probability(task, attempt, within_ms);
        probability.is_some_and(|p| p >= min_probability)
    }

    /// Removes the state of ended attempts, closed jobs and deleted machines, and logs the counts.
    pub(crate) fn clean_up_run_times(&mut self) {
        let cache = &self.cache;
        let is_assigned =
            |(task, attempt): &Attempt| cache.assignment_of_attempt(task, *attempt).is_some();
        let run_times = &mut self.run_times;
        run_times.attempts.retain(|task, observed| {
            cache
                .assignment_of_attempt(task, observed.attempt)
                .is_some()
        });
        run_times.ended_runs.retain(|key, _| is_assigned(key));
        run_times
            .saved_progress
            .retain(|task, _| cache.open_job(&task.job).is_some());
        run_times
            .last_heartbeats
            .retain(|id, _| cache.machine(id).is_some());
        run_times.machines.retain(|id| cache.machine(id).is_some());
        run_times
            .estimates
            .retain(|job, _| cache.open_job(job).is_some());
        if run_times.counted_runs + run_times.written_records > 0 {
            let (runs, records) = (run_times.counted_runs, run_times.written_records);
            let (classes, followed) = (run_times.estimator.len(), run_times.attempts.len());
            tracing::info!(runs, records, classes, followed, "run times counted");
            (run_times.counted_runs, run_times.written_records) = (0, 0);
        }
    }

    /// Returns the history of a class, for tests.
    pub fn class_history(&self, team: &str, class: &str) -> Option<&History> {
        self.run_times.estimator.history(class_id(team, class))
    }
}
