//! Plays a history in order of time: each run is estimated when it begins, knowing only runs that
//! had ended by then, and held against what it took.

use crate::run::Row;
use crate::Failure;
use glenmount_runtime_estimates::book::{About, Book};
use glenmount_runtime_estimates::End;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Runs under way at once at most; more are no history of one site.
const MOST_RUNNING: usize = 2_000_000;
/// Classes of teams told apart in the report; of any more only the sum is shown.
const MOST_CLASSES: usize = 2_000;
/// Errors are told apart to ten-thousandths of a logarithm, up to a factor of e to the 20th.
const ERROR_SCALE: f64 = 1e4;

/// Sizes of |ln(actual / estimate)|.
struct Errors(Option<Histogram<u64>>);

impl Errors {
    fn new() -> Errors {
        Errors(Histogram::new_with_bounds(1, 200_000, 3).ok())
    }
    fn note(&mut self, actual: f64, estimate: f64) {
        let error = (actual.max(1e-3) / estimate.max(1e-3)).ln().abs();
        if let Some(h) = &mut self.0 {
            h.saturating_record((error * ERROR_SCALE).round().max(1.0) as u64);
        }
    }
    fn told(&self) -> Option<ErrorReport> {
        let h = self.0.as_ref().filter(|h| !h.is_empty())?;
        let at = |q| h.value_at_quantile(q) as f64 / ERROR_SCALE;
        Some(ErrorReport {
            median: at(0.5),
            p90: at(0.9),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ErrorReport {
    pub median: f64,
    pub p90: f64,
}

struct Score {
    runs: u64,
    firsts: u64,
    within: u64,
    learned: Errors,
    first: Errors,
    owner: Errors,
    mean: Errors,
}

impl Score {
    fn new() -> Score {
        Score {
            runs: 0,
            firsts: 0,
            within: 0,
            learned: Errors::new(),
            first: Errors::new(),
            owner: Errors::new(),
            mean: Errors::new(),
        }
    }
    fn note(&mut self, said: &ControllerStatus, secs: f64) {
        self.runs += 1;
        self.within += u64::from((said.low_s..=said.high_s).contains(&secs));
        self.learned.note(secs, said.median_s);
        if said.first {
            self.firsts += 1;
            self.first.note(secs, said.median_s);
        }
        if said.expect_s > 0.0 {
            self.owner.note(secs, said.expect_s);
        }
        if let Some(mean) = said.mean_s {
            self.mean.note(secs, mean);
        }
    }
    fn told(&self, team: &str, class: &str, jobs: u64) -> ClassReport {
        ClassReport {
            team: team.into(),
            class: class.into(),
            jobs,
            runs: self.runs,
            covered: self.within as f64 / self.runs.max(1) as f64,
            learned: self.learned.told(),
            first_of_job: self.first.told(),
            first_runs: self.firsts,
            owner: self.owner.told(),
            plain_mean: self.mean.told(),
        }
    }
}

/// What was said of a run when it began.
struct ControllerStatus {
    median_s: f64,
    low_s: f64,
    high_s: f64,
    expect_s: f64,
    mean_s: Option<f64>,
    /// No task of its job had completed.
    first: bool,
    /// Jobs of its class that had.
    jobs: u64,
}

#[derive(Debug, PartialEq, Serialize)]
pub struct ClassReport {
    pub team: String,
    pub class: String,
    /// Jobs of which a task completed.
    pub jobs: u64,
    /// Runs scored: those that completed and began when enough jobs of the class had.
    pub runs: u64,
    /// Share of them within the interval that should hold 90 in 100.
    pub covered: f64,
    /// Errors: |ln(actual / estimate)|.
    pub learned: Option<ErrorReport>,
    /// The same for runs that began before any of their job's had ended.
    pub first_of_job: Option<ErrorReport>,
    pub first_runs: u64,
    pub owner: Option<ErrorReport>,
    pub plain_mean: Option<ErrorReport>,
}

#[derive(Debug, PartialEq, Serialize)]
pub struct WorkerHeartbeat {
    pub rows: u64,
    /// Of these, runs that did not complete: learned from, not scored.
    pub cut_short: u64,
    pub classes: Vec<ClassReport>,
    pub all: ClassReport,
}

/// A run under way: by its end, then in order of appearance.
type Running = Reverse<(i64, u64)>;

#[derive(Default)]
struct Past {
    jobs: HashMap<String, u32>,
    sum_s: f64,
    runs: u64,
}

pub struct Replay {
    book: Book,
    from: u64,
    rows: u64,
    cut_short: u64,
    last_start: i64,
    running: BinaryHeap<Running>,
    rows_running: HashMap<u64, (Row, ControllerStatus)>,
    past: BTreeMap<(String, String), Past>,
    scores: BTreeMap<(String, String), Score>,
    all: Score,
}

impl Replay {
    /// Runs are scored once so many jobs of their class are known.
    pub fn new(from: u64) -> Replay {
        Replay {
            book: Book::default(),
            from,
            rows: 0,
            cut_short: 0,
            last_start: i64::MIN,
            running: BinaryHeap::new(),
            rows_running: HashMap::new(),
            past: BTreeMap::new(),
            scores: BTreeMap::new(),
            all: Score::new(),
        }
    }

    pub fn play(&mut self, row: Row) -> Result<(), Failure> {
        self.rows += 1;
        if row.start_ms < self.last_start {
            return Err(format!(
                "row {}: start_ms: before that of the row above; exports are in order of start",
                self.rows
            ));
        }
        self.last_start = row.start_ms;
        self.end_until(row.start_ms);
        if self.running.len() >= MOST_RUNNING {
            return Err(format!("row {}: too many runs at once", self.rows));
        }
        let run = row.run();
        let estimate = self.book.distribution(&About::from(&run)).estimate();
        let class = (row.team.clone(), row.class.clone());
        let past = self.past.get(&class);
        let known = |p: &&Past| p.runs > 0;
        let said = ControllerStatus {
            median_s: estimate.median_s,
            low_s: estimate.low_s,
            high_s: estimate.high_s,
            expect_s: row.expect_s,
            mean_s: past.filter(known).map(|p| p.sum_s / p.runs as f64),
            first: !past.is_some_and(|p| p.jobs.contains_key(&row.job)),
            jobs: past.map_or(0, |p| p.jobs.len() as u64),
        };
        self.running.push(Reverse((row.end_ms(), self.rows)));
        self.rows_running.insert(self.rows, (row, said));
        Ok(())
    }

    fn end_until(&mut self, ms: i64) {
        while let Some(Reverse((end, n))) = self.running.peek().copied() {
            if end > ms {
                break;
            }
            self.running.pop();
            if let Some((row, said)) = self.rows_running.remove(&n) {
                self.ended(&row, &said);
            }
        }
    }

    fn ended(&mut self, row: &Row, said: &ControllerStatus) {
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
        if said.jobs >= self.from {
            self.all.note(said, row.secs);
            if self.scores.len() < MOST_CLASSES || self.scores.contains_key(&class) {
                let score = self.scores.entry(class).or_insert_with(Score::new);
                score.note(said, row.secs);
            }
        }
    }

    pub fn report(mut self) -> WorkerHeartbeat {
        self.end_until(i64::MAX);
        let jobs = |class| self.past.get(class).map_or(0, |p| p.jobs.len() as u64);
        let classes = self.scores.iter();
        let classes = classes.map(|(c, s)| s.told(&c.0, &c.1, jobs(c))).collect();
        let sum = self.past.values().map(|p| p.jobs.len() as u64).sum();
        WorkerHeartbeat {
            rows: self.rows,
            cut_short: self.cut_short,
            classes,
            all: self.all.told("", "all", sum),
        }
    }
}

impl WorkerHeartbeat {
    /// As a table: errors as median/p90 of |ln(actual / estimate)|.
    pub fn table(&self) -> String {
        let pair = |e: &Option<ErrorReport>| {
            e.map_or("-".into(), |e| format!("{:.3}/{:.3}", e.median, e.p90))
        };
        let line = |c: &ClassReport| {
            let name = match c.team.is_empty() {
                true => c.class.clone(),
                false => format!("{}/{}", c.team, c.class),
            };
            format!(
                "{name:32} {:>6} {:>8} {:>9.3} {:>13} {:>13} {:>13} {:>13}\n",
                c.jobs,
                c.runs,
                c.covered,
                pair(&c.learned),
                pair(&c.first_of_job),
                pair(&c.owner),
                pair(&c.plain_mean)
            )
        };
        let mut out = format!(
            "{:32} {:>6} {:>8} {:>9} {:>13} {:>13} {:>13} {:>13}\n",
            "class",
            "jobs",
            "scored",
            "within 90",
            "learned",
            "first of job",
            "owner",
            "plain mean"
        );
        self.classes.iter().for_each(|c| out += &line(c));
        out += &line(&self.all);
        out += &format!(
            "{} runs, {} of them cut short. Errors: median/p90 of |ln(actual / estimate)|.\n",
            self.rows, self.cut_short
        );
        out
    }
}
