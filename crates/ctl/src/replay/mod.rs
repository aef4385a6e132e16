//! Plays a history in order of time: each run is estimated when it begins, knowing only runs that
//! had ended by then, and held against what it took.

mod report;
mod score;

pub use report::{ClassReport, ErrorReport, WorkerHeartbeat};

use crate::run_record::RunRecord;
use crate::Failure;
use glenmount_runtime_estimates::book::{About, Book};
use glenmount_runtime_estimates::End;
use score::{Prediction, Score};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Runs under way at once at most; more are no history of one site.
const MAX_RUNNING: usize = 2_000_000;
/// Classes of teams told apart in the report; of any more only the sum is shown.
const MAX_CLASSES: usize = 2_000;

/// A run under way: by its end, then in order of appearance.
type RunEnd = Reverse<(i64, u64)>;

#[derive(Default)]
struct ClassRuns {
    jobs: HashMap<String, u32>,
    sum_s: f64,
    runs: u64,
}

pub struct Replay {
    book: Book,
    min_jobs: u64,
    rows: u64,
    cut_short: u64,
    last_start: i64,
    run_ends: BinaryHeap<RunEnd>,
    running_records: HashMap<u64, (RunRecord, Prediction)>,
    past: BTreeMap<(String, String), ClassRuns>,
    scores: BTreeMap<(String, String), Score>,
    all: Score,
}

impl Replay {
    /// Runs are scored once so many jobs of their class are known.
    pub fn new(min_jobs: u64) -> Replay {
        Replay {
            book: Book::default(),
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

    pub fn play(&mut self, row: RunRecord) -> Result<(), Failure> {
        self.rows += 1;
        if row.start_ms < self.last_start {
            return Err(format!(
                "row {}: start_ms: before that of the row above; exports are in order of start",
                self.rows
            ));
        }
        self.last_start = row.start_ms;
        self.end_until(row.start_ms);
        if self.run_ends.len() >= MAX_RUNNING {
            return Err(format!("row {}: too many runs at once", self.rows));
        }
        let run = row.run();
        let estimate = self.book.distribution(&About::from(&run)).estimate();
        let class = (row.team.clone(), row.class.clone());
        let past = self.past.get(&class);
        let known = |p: &&ClassRuns| p.runs > 0;
        let prediction = Prediction {
            median_s: estimate.median_s,
            low_s: estimate.low_s,
            high_s: estimate.high_s,
            expect_s: row.expect_s,
            mean_s: past.filter(known).map(|p| p.sum_s / p.runs as f64),
            first: !past.is_some_and(|p| p.jobs.contains_key(&row.job)),
            jobs: past.map_or(0, |p| p.jobs.len() as u64),
        };
        self.run_ends.push(Reverse((row.end_ms(), self.rows)));
        self.running_records.insert(self.rows, (row, prediction));
        Ok(())
    }

    fn end_until(&mut self, ms: i64) {
        while let Some(Reverse((end, n))) = self.run_ends.peek().copied() {
            if end > ms {
                break;
            }
            self.run_ends.pop();
            if let Some((row, prediction)) = self.running_records.remove(&n) {
                self.end_run(&row, &prediction);
            }
        }
    }

    fn end_run(&mut self, row: &RunRecord, prediction: &Prediction) {
        let run = row.run();
        for _ in 0..row.runs.min(250) {
            self.book.ran(&run);
        }
        // Stands for what controllers record from time to time, so that old jobs leave what is fresh.
        for id in self.book.unrecorded() {
            if let Some((team, class, history, batches)) = self.book.to_record(id) {
                if batches.len() >= 8 {
                    let (team, class) = (team.to_string(), class.to_string());
                    self.book.sent(id, &batches);
                    self.book.recorded(id, &team, &class, history);
                }
            }
        }
        if run.end != End::Done {
            self.cut_short += 1;
            return;
        }
        let class = (row.team.clone(), row.class.clone());
        let past = self.past.entry(class.clone()).or_default();
        *past.jobs.entry(row.job.clone()).or_default() += 1;
        past.sum_s += row.secs;
        past.runs += 1;
        if prediction.jobs >= self.min_jobs {
            self.all.record(prediction, row.secs);
            if self.scores.len() < MAX_CLASSES || self.scores.contains_key(&class) {
                let score = self.scores.entry(class).or_insert_with(Score::new);
                score.record(prediction, row.secs);
            }
        }
    }

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
