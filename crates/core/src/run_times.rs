//! Run times: what this node hears of them, what it records, and what it makes of them.
//!
//! A run is observed by the node that hears how its task begins and ends, and counted by the one
//! whose transaction records that end: a booking is released once, so no run counts twice. What is
//! counted goes to the class's record (`g/runs/CLASS`) in a transaction conditional on what it adds
//! to; should its outcome never be known, these runs are not sent again. Nothing rests on what is
//! learned: no rule, no proof, no claim's condition.

use crate::constants::*;
use crate::controller::*;
use crate::model::*;
use crate::scheduling::claims::Outcome;
use crate::state::*;
use foldhash::HashMap;
use glenmount_runtime_estimates::book::{class_id, About, Book, ClassId};
use glenmount_runtime_estimates::constants::{CLASSES_KEPT, NAME_BYTES};
use glenmount_runtime_estimates::history::{Batch, History};
use glenmount_runtime_estimates::machines::Machines;
use glenmount_runtime_estimates::mixture::Mixture;
use glenmount_runtime_estimates::{End, Run};
use std::collections::BTreeSet;

type Attempt = (TaskId, u64);

/// When an attempt was claimed, then when it was first heard to run.
#[derive(Clone, Copy, Debug)]
struct Begun {
    attempt: u64,
    at: Millis,
    runs: bool,
    /// Its machine reported here shortly before without it, so that is when it began.
    exact: bool,
}

/// What earlier attempts of a task with checkpoints saved, as far as it is known.
#[derive(Clone, Copy, Debug)]
struct Carried {
    attempt: u64,
    secs: Option<f64>,
}

/// What is said of a job's tasks, until it is worked out anew.
struct Known {
    at: Millis,
    tasks: Mixture,
    least_ms: u64,
    /// Most of its tasks are over by then.
    most_ms: u64,
    /// Few of its tasks are over by then: of any younger there is no need to work out more.
    early_s: f64,
}

#[derive(Default)]
pub(crate) struct Learned {
    pub book: Book,
    machines: Machines,
    /// Of each task's latest attempt.
    begun: HashMap<TaskId, Begun>,
    carried: HashMap<TaskId, Carried>,
    /// Runs that ended, as heard here, until that is on record.
    ended: HashMap<Attempt, (Run, String)>,
    /// Each machine's session, and when it last reported here.
    reported: HashMap<String, (u64, Millis)>,
    known: HashMap<String, Known>,
    /// When the next change may be spent on records.
    record_at: Millis,
    busy: bool,
    /// Counted since the last line that says so.
    pub counted: u64,
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

impl Node {
    fn learns(&self) -> bool {
        self.settings.learned.learn
    }

    /// A chunk is about to change: notes claims in it, and attempts that were lost.
    pub(crate) fn bookings_changed(&mut self, job: &str, n: u32, chunk: &ChunkRecord) {
        if !self.learns() {
            return;
        }
        let before = self.cache.claim_stamp(job, n);
        let waits = |index: u32| {
            let slot = index.saturating_sub(chunk.first) as usize;
            chunk.tasks.get(slot) == Some(&TaskState::Waiting)
        };
        let old = self.cache.chunk(job, n).map(|c| c.booked());
        let lost: Vec<(u32, u64)> = (old.into_iter().flatten())
            .filter(|(index, _)| waits(*index))
            .map(|(index, b)| (index, b.attempt))
            .collect();
        let task = |index| TaskId {
            job: job.to_string(),
            index,
        };
        for (index, b) in chunk.booked().filter(|(_, b)| b.attempt == before) {
            self.claim_seen(task(index), b.attempt);
        }
        for (index, attempt) in lost {
            self.interrupted(task(index), attempt);
        }
    }

    /// A booking that this node has not seen before.
    fn claim_seen(&mut self, task: TaskId, attempt: u64) {
        if self.learned.begun.len() < ATTEMPTS_FOLLOWED {
            let at = self.now;
            let begun = Begun {
                attempt,
                at,
                runs: false,
                exact: false,
            };
            let known = self.learned.begun.entry(task).or_insert(begun);
            if known.attempt != attempt {
                *known = begun;
            }
        }
    }

    /// A task that saves its progress lost its attempt: unless this node knows how far it came, its
    /// next run says only that it takes longer.
    fn interrupted(&mut self, task: TaskId, attempt: u64) {
        let open = self.cache.open_job(&task.job);
        if open.is_none_or(|s| s.checkpoint_s <= 0.0)
            || self.learned.carried.len() >= ATTEMPTS_FOLLOWED
        {
            return;
        }
        let unknown = Carried {
            attempt,
            secs: None,
        };
        let known = self.learned.carried.entry(task).or_insert(unknown);
        if known.attempt != attempt {
            *known = unknown;
        }
    }

    /// A report shows an attempt running. Asked only where run times are learned.
    pub(crate) fn seen_running(&mut self, task: &TaskId, attempt: u64, report: &Report) {
        let recent = self.settings.report_due_ms() + SILENCE_SPARE_MS;
        let before = self.learned.reported.get(&report.machine);
        let exact = before.is_some_and(|(s, at)| *s == report.session && self.now < at + recent);
        let room = self.learned.begun.len() < ATTEMPTS_FOLLOWED;
        match self.learned.begun.get(task) {
            Some(begun) if begun.runs && begun.attempt == attempt => {}
            None if !room => {}
            _ => {
                let at = self.now;
                let begun = Begun {
                    attempt,
                    at,
                    runs: true,
                    exact,
                };
                self.learned.begun.insert(task.clone(), begun);
            }
        }
    }

    /// All of a report has been looked at.
    pub(crate) fn noted_report(&mut self, report: &Report) {
        if self.learns() {
            let mark = (report.session, self.now);
            self.learned.reported.insert(report.machine.clone(), mark);
        }
    }

    /// An attempt's end was heard here.
    pub(crate) fn run_ended(&mut self, task: &TaskId, attempt: u64, outcome: Outcome) {
        if !self.learns() {
            return;
        }
        let key = (task.clone(), attempt);
        if self.learned.ended.contains_key(&key) {
            return;
        }
        let begun = self.learned.begun.get(task).copied();
        let begun = begun.filter(|b| b.attempt == attempt);
        let booked = self.cache.attempt(task, attempt);
        let (Some(begun), Some(booked)) = (begun.filter(|b| b.runs), booked) else {
            return;
        };
        let machine = booked.machine.clone();
        let spec = self.cache.open_job(&task.job).cloned();
        let Some(spec) = spec.filter(|s| s.shape == Shape::Array) else {
            return;
        };
        let until = match outcome {
            Outcome::Gone => self.learned.reported.get(&machine).map_or(0, |r| r.1),
            _ => self.now,
        };
        let own = until.saturating_sub(begun.at) as f64 / 1e3;
        let saves = spec.checkpoint_s > 0.0;
        let carried = self.learned.carried.get(task).filter(|_| saves);
        let before = carried.map_or(Some(0.0), |c| c.secs);
        let exact = begun.exact && before.is_some();
        let secs = own + before.unwrap_or(0.0);
        let end = match outcome {
            Outcome::Done if exact => End::Done,
            Outcome::Done | Outcome::Gone => End::AtLeast,
            Outcome::Failed | Outcome::Refused => return,
        };
        if saves && outcome == Outcome::Gone && self.learned.carried.len() < ATTEMPTS_FOLLOWED {
            // Told to stop it saved all; lost with its machine, up to its last checkpoint.
            let kept = match booked.stop.is_some() {
                true => own,
                false => (own / spec.checkpoint_s).floor() * spec.checkpoint_s,
            };
            let secs = before.filter(|_| begun.exact).map(|b| b + kept);
            let carried = Carried { attempt, secs };
            self.learned.carried.insert(task.clone(), carried);
        }
        if secs > 0.0 && self.learned.ended.len() < ATTEMPTS_FOLLOWED {
            let run = Run {
                team: spec.team,
                class: spec.class,
                image: spec.image,
                job: task.job.clone(),
                expect_s: spec.estimate_s,
                secs,
                end,
            };
            self.learned.ended.insert(key, (run, machine));
        }
    }

    /// These ends are on record, by this node's transaction.
    pub(crate) fn count_runs(&mut self, released: Vec<(TaskId, u64)>) {
        for (task, attempt) in released {
            let Some((run, machine)) = self.learned.ended.remove(&(task.clone(), attempt)) else {
                continue;
            };
            let known = self.learned.known.get(&run.job);
            let expected = known.map_or(run.ln_secs(), |k| k.tasks.quantile(0.5));
            let done = run.end == End::Done;
            let excess = run.ln_secs() - expected;
            let sound = !done || self.learned.machines.ran(&machine, excess);
            let faulty = self
                .cache
                .machine(&machine)
                .is_some_and(|m| !m.faults.is_empty());
            if sound && !faulty {
                let line = line(&run, &task, &machine, self.wall);
                tracing::info!(run = %line, "ran");
                self.learned.book.ran(&run);
                self.learned.counted += 1;
            }
        }
    }

    /// A class's record changed, or went.
    pub(crate) fn runs_changed(&mut self, class: ClassId) {
        if !self.learns() {
            return;
        }
        match self.cache.class_runs(&class) {
            Some(r) => {
                let history = History::unpack(&r.packed).unwrap_or_else(|| {
                    tracing::warn!(team = r.team, class = r.class, "damaged run times dropped");
                    History::default()
                });
                let (team, name) = (r.team.clone(), r.class.clone());
                self.learned.book.recorded(class, &team, &name, history);
            }
            None => self.learned.book.removed(class),
        }
    }

    /// The records were read anew.
    pub(crate) fn runs_loaded(&mut self) {
        let classes: Vec<u64> = self.cache.all_runs().map(|(c, ..)| *c).collect();
        for class in classes {
            self.runs_changed(class);
        }
    }

    /// Records what was counted, one class at a time, on its small share of the changes; not while
    /// these are short.
    pub(crate) fn record_runs(&mut self) {
        if !self.learns() || self.learned.busy || self.now < self.learned.record_at {
            return;
        }
        let plenty = self.writes_left() * 2 >= self.writes.most();
        let quiet = |at: Millis| self.now >= at + THROTTLED_MS;
        if !plenty || self.results.len() > BACKLOG_RESULTS || !self.throttled_at.is_none_or(quiet) {
            return;
        }
        let Some(class) = self.learned.book.unrecorded().first().copied() else {
            return;
        };
        let Some((team, name, history, batches)) = self.learned.book.to_record(class) else {
            return;
        };
        let record = RunsRecord {
            team: shortened(team),
            class: shortened(name),
            at: self.wall,
            packed: history.pack(),
        };
        let mut draft = TransactionBuilder::new(&self.cache);
        draft.put(Key::Runs(class), Record::Runs(record));
        let kept: Vec<(WallMs, u64)> = self.cache.all_runs().map(|(c, r, _)| (r.at, *c)).collect();
        let new = self.cache.class_runs(&class).is_none();
        if new && kept.len() >= CLASSES_KEPT {
            if let Some((_, least)) = kept.iter().min() {
                draft.remove(Key::Runs(*least));
            }
        }
        let rate = self.settings.write_rps.min(self.settings.next_write_rps) * LEARN_SHARE;
        let pause = draft.ops() as f64 * 1e3 / rate.max(1e-6);
        self.learned.record_at = self.now + pause as Millis;
        self.learned.busy = true;
        self.learned.book.sent(class, &batches);
        let txn = draft.finish();
        let purpose = Purpose::Learn(class, batches);
        self.commit(txn, purpose, Priority::Housekeeping);
    }

    pub(crate) fn runs_recorded(
        &mut self,
        class: ClassId,
        batches: Vec<Batch>,
        answer: &StateAnswer,
    ) {
        self.learned.busy = false;
        match answer {
            StateAnswer::Committed { .. } => self.learned.recorded += 1,
            StateAnswer::Conflict { .. } | StateAnswer::Unavailable => {
                self.learned.book.unsent(class, &batches)
            }
            // It may take effect yet: to send these again might count them twice.
            _ => tracing::info!(jobs = batches.len(), "run times given up: no answer"),
        }
    }

    /// Works out anew what is to be known of these jobs, as far as it is old.
    pub(crate) fn look_at_run_times(&mut self) {
        let uses = self.settings.learned;
        if !(uses.learn && (uses.order || uses.due || uses.stops || uses.notice)) {
            return;
        }
        let now = self.now;
        let fresh = |k: &Known| now < k.at + ESTIMATE_MS;
        let stale = |id: &str| !self.learned.known.get(id).is_some_and(fresh);
        let running = self.cache.counted().filter(|(_, c)| c.booked > 0);
        let ids: BTreeSet<&str> = (self.cache.waiting_jobs())
            .map(|(id, ..)| id)
            .chain(running.map(|(id, _)| id))
            .filter(|id| stale(id))
            .collect();
        let due: Vec<JobSpec> = (ids.into_iter())
            .filter_map(|id| self.cache.open_job(id))
            .filter(|s| s.shape == Shape::Array)
            .take(ESTIMATES_AT_ONCE)
            .cloned()
            .collect();
        for spec in due {
            let tasks = self.learned.book.distribution(&About {
                team: &spec.team,
                class: &spec.class,
                image: &spec.image,
                job: &spec.id,
                expect_s: spec.estimate_s,
            });
            let least_ms = (tasks.quantile(FEASIBLE_CHANCE).exp() * 1e3) as u64;
            let most_ms = (tasks.quantile(MOST_CHANCE).exp() * 1e3) as u64;
            let early_s = tasks.quantile(EARLY_CHANCE).exp();
            if self.learned.known.len() < ESTIMATES_KEPT {
                let known = Known {
                    at: now,
                    tasks,
                    least_ms,
                    most_ms,
                    early_s,
                };
                self.learned.known.insert(spec.id, known);
            }
        }
    }

    /// Milliseconds that a job's tasks still take at the least.
    pub(crate) fn least_run_ms(&self, job: &str, spec: &JobSpec) -> u64 {
        let known = self.learned.known.get(job);
        match known.filter(|_| self.settings.learned.due) {
            Some(k) => k.least_ms,
            None => crate::jobs::dependencies::least_run_ms(spec),
        }
    }

    /// Milliseconds before it is due by which a job should start; none where jobs are not served in
    /// that order.
    pub(crate) fn start_before_ms(&self, job: &str) -> u64 {
        let known = self.learned.known.get(job);
        known
            .filter(|_| self.settings.learned.order)
            .map_or(0, |k| k.most_ms)
    }

    /// The chance that a running attempt ends within so many milliseconds; none if too little is
    /// known.
    fn ends_within(&self, task: &TaskId, attempt: u64, ms: Millis) -> Option<f64> {
        let begun = self
            .learned
            .begun
            .get(task)
            .filter(|b| b.attempt == attempt)?;
        let known = self.learned.known.get(&task.job)?;
        if !begun.runs && self.now < begun.at + START_TAKES_MS {
            return None;
        }
        let start = match begun.runs {
            true => begun.at,
            false => begun.at + START_TAKES_MS,
        };
        let carried = self.learned.carried.get(task).and_then(|c| c.secs);
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
    pub(crate) fn forget_runs(&mut self) {
        let cache = &self.cache;
        let booked = |(task, attempt): &Attempt| cache.attempt(task, *attempt).is_some();
        let learned = &mut self.learned;
        learned
            .begun
            .retain(|task, b| cache.attempt(task, b.attempt).is_some());
        learned.ended.retain(|key, _| booked(key));
        learned
            .carried
            .retain(|task, _| cache.open_job(&task.job).is_some());
        learned.reported.retain(|id, _| cache.machine(id).is_some());
        learned.machines.retain(|id| cache.machine(id).is_some());
        learned.known.retain(|job, _| cache.open_job(job).is_some());
        if learned.counted + learned.recorded > 0 {
            let (runs, records) = (learned.counted, learned.recorded);
            let (classes, followed) = (learned.book.len(), learned.begun.len());
            tracing::info!(runs, records, classes, followed, "run times");
            (learned.counted, learned.recorded) = (0, 0);
        }
    }

    /// What is learned of a class, for tests and the log.
    pub fn class_history(&self, team: &str, class: &str) -> Option<&History> {
        self.learned.book.history(class_id(team, class))
    }
}
