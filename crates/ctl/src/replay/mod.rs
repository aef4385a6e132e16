//! Plays a history in order of time: each run is estimated when it begins, knowing only runs that
//! had ended by then, and held against what it took.

mod report;
mod score;

pub use report::{ClassReport, ErrorReport, WorkerHeartbeat};

use crate::run_record::RunRecord;
use glenmount_runtime_estimates::estimator::{JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::RunOutcome;
use score::{Prediction, Score};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use thiserror::Error;

/// Runs under way at once at most; more are no history of one site.
const MAX_RUNNING: usize = 2_000_000;
/// Classes of teams told apart in the report; of any more only the sum is shown.
const MAX_CLASSES: usize = 2_000;

/// Tasks of a job that a record can stand for; more say nothing new of it.
const MAX_RUNS_PER_RECORD: i32 = 250;
/// Jobs of a class that are learned from before they are taken for recorded, as controllers record them
/// from time to time.
const JOBS_PER_RECORDING: usize = 8;

/// Why a history can't be replayed. Rows are counted from 1.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A run began before the one above it.
    #[error("row {row}: start_ms: before that of the row above; exports are in order of start")]
    OutOfOrder {
        /// The later row.
        row: u64,
    },
    /// More runs were under way than memory should be spent on.
    #[error("row {row}: too many runs at once")]
    TooManyRunning {
        /// The first row too many.
        row: u64,
    },
}

/// A class of a team.
type ClassKey = (String, String);

/// A run under way: by its end, then in order of appearance.
type RunEnd = Reverse<(i64, u64)>;

/// A class's completed runs.
#[derive(Default)]
struct ClassRuns {
    /// Runs of each job.
    jobs: HashMap<String, u32>,
    sum_s: f64,
    runs: u64,
}

/// A replay under way.
pub struct Replay {
    estimator: RunTimeEstimator,
    min_jobs: u64,
    rows: u64,
    cut_short: u64,
    last_start: i64,
    run_ends: BinaryHeap<RunEnd>,
    /// By row.
    running_records: HashMap<u64, (RunRecord, Prediction)>,
    past: BTreeMap<ClassKey, ClassRuns>,
    scores: BTreeMap<ClassKey, Score>,
    all: Score,
}

impl Replay {
    /// Runs are scored once so many jobs of their class are known.
    pub fn new(min_jobs: u64) -> Replay {
        Replay {
            estimator: RunTimeEstimator::default(),
            min_jobs,
            rows: 0,
            cut_short: 0,
            last_start: i64::MIN,
            run_ends: BinaryHeap::new(),
            running_records: HashMap::new(),
            past: BTreeMap::new(),
            scores: BTreeMap::new(),
            all: Score::new(),
        }
    }

    /// Takes the next run: all that had ended by its start is learned first.
    ///
    /// # Errors
    ///
    /// If it began before the one taken last, or too many are under way.
    pub fn play(&mut self, record: RunRecord) -> Result<(), ReplayError> {
        self.rows += 1;
        let row = self.rows;
        if record.start_ms < self.last_start {
            return Err(ReplayError::OutOfOrder { row });
        }
        self.last_start = record.start_ms;
        self.end_until(record.start_ms);
        if self.run_ends.len() >= MAX_RUNNING {
            return Err(ReplayError::TooManyRunning { row });
        }
        let prediction = self.predict(&record);
        self.run_ends.push(Reverse((record.end_ms(), row)));
        self.running_records.insert(row, (record, prediction));
        Ok(())
    }

    fn predict(&mut self, record: &RunRecord) -> Prediction {
        let run = record.run();
        let estimate = self
            .estimator
            .distribution(&JobDescription::from(&run))
            .estimate();
        let past = self.past.get(&class_key(record));
        let known = past.filter(|past| past.runs > 0);
        Prediction {
            median_s: estimate.median_s,
            low_s: estimate.low_s,
            high_s: estimate.high_s,
            expect_s: record.expect_s,
            mean_s: known.map(|past| past.sum_s / past.runs as f64),
            is_first_of_job: !past.is_some_and(|past| past.jobs.contains_key(&record.job)),
            jobs: past.map_or(0, |past| past.jobs.len() as u64),
        }
    }

    fn end_until(&mut self, ms: i64) {
        while let Some(Reverse((end, row))) = self.run_ends.peek().copied() {
            if end > ms {
                break;
            }
            self.run_ends.pop();
            if let Some((record, prediction)) = self.running_records.remove(&row) {
                self.end_run(&record, &prediction);
            }
        }
    }

    fn end_run(&mut self, record: &RunRecord, prediction: &Prediction) {
        let run = record.run();
        for _ in 0..record.runs.min(MAX_RUNS_PER_RECORD) {
            self.estimator.add_run(&run);
        }
        self.record_learned();
        if run.outcome != RunOutcome::Completed {
            self.cut_short += 1;
            return;
        }
        let class = class_key(record);
        let past = self.past.entry(class.clone()).or_default();
        *past.jobs.entry(record.job.clone()).or_default() += 1;
        past.sum_s += record.secs;
        past.runs += 1;
        if prediction.jobs >= self.min_jobs {
            self.all.record(prediction, record.secs);
            if self.scores.len() < MAX_CLASSES || self.scores.contains_key(&class) {
                let score = self.scores.entry(class).or_insert_with(Score::new);
                score.record(prediction, record.secs);
            }
        }
    }

    /// Stands for what controllers record from time to time, so that old jobs leave what is fresh.
    fn record_learned(&mut self) {
        for id in self.estimator.classes_to_record() {
            let Some((team, class, history, batches)) = self.estimator.updated_record(id) else {
                continue;
            };
            if batches.len() >= JOBS_PER_RECORDING {
                let (team, class) = (team.to_string(), class.to_string());
                self.estimator.mark_recorded(id, &batches);
                self.estimator.set_record(id, &team, &class, history);
            }
        }
    }

    /// Ends all runs and says how far estimates were off.
    pub fn report(mut self) -> WorkerHeartbeat {
        self.end_until(i64::MAX);
        let jobs = |class| self.past.get(class).map_or(0, |p| p.jobs.len() as u64);
        let classes = self.scores.iter();
        let classes = classes
            .map(|(c, s)| s.report(&c.0, &c.1, jobs(c)))
            .collect();
        let sum = self.past.values().map(|p| p.jobs.len() as u64).sum();
        WorkerHeartbeat {
            rows: self.rows,
            cut_short: self.cut_short,
            classes,
            all: self.all.report("", "all", sum),
        }
    }
}

fn class_key(record: &RunRecord) -> ClassKey {
    (record.team.clone(), record.class.clone())
}
