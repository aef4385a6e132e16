//! Replays a history in order of time: estimates each run at its start from the runs that had ended by then, and
//! compares the estimate with the actual run time.

mod report;
mod score;

pub use report::{ClassReport, ErrorQuantiles, ReplayReport};

use crate::run_record::RunRecord;
use glenmount_runtime_estimates::estimator::{JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::RunOutcome;
use score::{Prediction, Score};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use thiserror::Error;

/// Largest number of runs at a time. No site runs more tasks.
const MAX_RUNNING: usize = 2_000_000;
/// Classes listed in the report. Further ones count only in the sum.
const MAX_CLASSES: usize = 2_000;

/// Runs of one record that count. Further ones add no information about the job.
const MAX_RUNS_PER_RECORD: i32 = 250;
/// Number of unrecorded jobs at which a class counts as recorded. Controllers record them from time to time, too.
const JOBS_PER_RECORDING: usize = 8;

/// The reason why a history cannot be replayed. Rows are counted from 1.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A run started before the one of the previous row.
    #[error("row {row}: start_ms: before that of the row above; exports are in order of start")]
    OutOfOrder {
        /// The later row.
        row: u64,
    },
    /// More runs at a time than `MAX_RUNNING`.
    #[error("row {row}: too many runs at once")]
    TooManyRunning {
        /// The first row above the limit.
        row: u64,
    },
}

/// Team and class.
type ClassKey = (String, String);

/// The end of a running task and its row, in a min-heap.
type RunEnd = Reverse<(i64, u64)>;

/// The completed runs of a class.
#[derive(Default)]
struct ClassRuns {
    /// Number of runs of each job.
    jobs: HashMap<String, u32>,
    total_run_time_s: f64,
    runs: u64,
}

/// A replay in progress.
pub struct Replay {
    estimator: RunTimeEstimator,
    min_jobs: u64,
    rows: u64,
    interrupted: u64,
    last_start_ms: i64,
    run_ends: BinaryHeap<RunEnd>,
    /// Running tasks with their estimates, by row.
    running_records: HashMap<u64, (RunRecord, Prediction)>,
    completed: BTreeMap<ClassKey, ClassRuns>,
    scores: BTreeMap<ClassKey, Score>,
    total: Score,
}

impl Replay {
    /// Creates a replay that scores runs once `min_jobs` jobs of their class have completed a task.
    pub fn new(min_jobs: u64) -> Replay {
        Replay {
            estimator: RunTimeEstimator::default(),
            min_jobs,
            rows: 0,
            interrupted: 0,
            last_start_ms: i64::MIN,
            run_ends: BinaryHeap::new(),
            running_records: HashMap::new(),
            completed: BTreeMap::new(),
            scores: BTreeMap::new(),
            total: Score::new(),
        }
    }

    /// Adds the next run, after the ends of all runs that ended by its start.
    ///
    /// # Errors
    ///
    /// If it started before the previous run, or too many runs are in progress.
    pub fn add_record(&mut self, record: RunRecord) -> Result<(), ReplayError> {
        self.rows += 1;
        let row = self.rows;
        if record.start_ms < self.last_start_ms {
            return Err(ReplayError::OutOfOrder { row });
        }
        self.last_start_ms = record.start_ms;
        self.end_runs_until(record.start_ms);
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
        let earlier = self.completed.get(&class_key(record));
        let completed = earlier.filter(|earlier| earlier.runs > 0);
        Prediction {
            median_s: estimate.median_s,
            low_s: estimate.low_s,
            high_s: estimate.high_s,
            owner_estimate_s: record.owner_estimate_s,
            mean_s: completed.map(|earlier| earlier.total_run_time_s / earlier.runs as f64),
            is_first_of_job: !earlier.is_some_and(|earlier| earlier.jobs.contains_key(&record.job)),
            jobs: earlier.map_or(0, |earlier| earlier.jobs.len() as u64),
        }
    }

    fn end_runs_until(&mut self, ms: i64) {
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
        self.mark_runs_recorded();
        if run.outcome != RunOutcome::Completed {
            self.interrupted += 1;
            return;
        }
        let class = class_key(record);
        let earlier = self.completed.entry(class.clone()).or_default();
        *earlier.jobs.entry(record.job.clone()).or_default() += 1;
        earlier.total_run_time_s += record.run_time_s;
        earlier.runs += 1;
        if prediction.jobs >= self.min_jobs {
            self.total.record(prediction, record.run_time_s);
            if self.scores.len() < MAX_CLASSES || self.scores.contains_key(&class) {
                let score = self.scores.entry(class).or_insert_with(Score::new);
                score.record(prediction, record.run_time_s);
            }
        }
    }

    /// Simulates the records that controllers write from time to time, so that old jobs leave the unrecorded runs.
    fn mark_runs_recorded(&mut self) {
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

    /// Ends all runs and returns the errors of the estimates.
    pub fn report(mut self) -> ReplayReport {
        self.end_runs_until(i64::MAX);
        let jobs = |class| self.completed.get(class).map_or(0, |p| p.jobs.len() as u64);
        let classes = self.scores.iter();
        let classes = classes
            .map(|(c, s)| s.report(&c.0, &c.1, jobs(c)))
            .collect();
        let total_jobs = self.completed.values().map(|p| p.jobs.len() as u64).sum();
        ReplayReport {
            rows: self.rows,
            interrupted: self.interrupted,
            classes,
            total: self.total.report("", "all", total_jobs),
        }
    }
}

fn class_key(record: &RunRecord) -> ClassKey {
    (record.team.clone(), record.class.clone())
}
