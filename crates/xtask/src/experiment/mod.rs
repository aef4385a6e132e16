//! Simulates described days with several variants and seeds in parallel, and reports the served work and the durations
//! of failovers. All figures are simulated.

mod error;
mod files;
mod plot;
mod table;

pub use error::ExperimentError;
pub use files::write;
pub use table::table;

use crate::file_error::FileError;
use glenmount_simulation::day::{Day, Experiment, Variant};
use glenmount_simulation::day_runner;
use glenmount_simulation::outcome::Outcome;
use indicatif::{ProgressBar, ProgressStyle};
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The runs of an experiment.
pub struct Plan {
    /// Number of seeds for each day and variant.
    pub seeds: u32,
    /// The first seed.
    pub first_seed: u64,
    /// Number of simultaneous runs.
    pub threads: usize,
}

/// The result of a day with a variant, over all seeds.
pub struct DayResult {
    /// The day's name.
    pub day: String,
    /// The variant's name.
    pub variant: String,
    /// The outcome; all figures are simulated.
    pub outcome: Outcome,
    /// Seeds that broke a rule, with the rule.
    pub broken_rules: Vec<String>,
}

/// One run of a day.
struct DayRun {
    /// Index of the result that its outcome is added to.
    result_index: usize,
    day: Day,
    variant: Variant,
    seed: u64,
}

/// Largest number of simultaneous runs.
const MAX_THREADS: usize = 64;

/// Reads files with described days.
///
/// # Errors
///
/// Names the file that cannot be read or does not describe days.
pub fn read(files: &[PathBuf]) -> Result<Vec<Experiment>, ExperimentError> {
    let one = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
        Experiment::read(&text).map_err(|problem| ExperimentError::Description {
            path: path.clone(),
            problem: problem.to_string(),
        })
    };
    files.iter().map(one).collect()
}

/// Simulates each day of the files with each variant and seed in parallel. Returns the results in the order of the
/// files.
///
/// # Errors
///
/// If a file cannot be read or a day cannot be simulated. A broken rule is no error: see [`DayResult::broken_rules`].
pub fn run(files: &[PathBuf], plan: &Plan) -> Result<Vec<DayResult>, ExperimentError> {
    let (results, runs) = schedule(&read(files)?, plan);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}")?;
    let bar = ProgressBar::new(runs.len() as u64).with_style(style);
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new((results, None));
    std::thread::scope(|scope| {
        for _ in 0..plan.threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let Some(run) = runs.get(next_index.fetch_add(1, Ordering::Relaxed)) else {
                    return;
                };
                let outcome = run.simulate();
                let mut results = results.lock().expect("no panic holds it");
                match outcome {
                    Ok(Ok(outcome)) => results.0[run.result_index].outcome.add(&outcome),
                    Ok(Err(error)) => results.1 = Some(error),
                    Err(BrokenRule(broken)) => {
                        results.0[run.result_index].broken_rules.push(broken)
                    }
                }
                bar.inc(1);
                bar.set_message(format!("{} ({})", run.day.name, run.variant.name));
            });
        }
    });
    bar.finish_and_clear();
    match results.into_inner().expect("no panic held it") {
        (_, Some(error)) => Err(error),
        (results, None) => Ok(results),
    }
}

/// Returns empty results for each day and variant, and the runs whose outcomes are added to them.
fn schedule(experiments: &[Experiment], plan: &Plan) -> (Vec<DayResult>, Vec<DayRun>) {
    let mut results: Vec<DayResult> = Vec::new();
    let mut runs: Vec<DayRun> = Vec::new();
    for Experiment { days, variants } in experiments {
        for day in days {
            for variant in variants {
                let result_index = results.len();
                results.push(DayResult {
                    day: day.name.clone(),
                    variant: variant.name.clone(),
                    outcome: Outcome::default(),
                    broken_rules: Vec::new(),
                });
                runs.extend((0..u64::from(plan.seeds)).map(|n| DayRun {
                    result_index,
                    day: day.clone(),
                    variant: variant.clone(),
                    seed: plan.first_seed + n,
                }));
            }
        }
    }
    (results, runs)
}

/// The seed that broke a rule, and which rule.
struct BrokenRule(String);

impl DayRun {
    fn simulate(&self) -> Result<Result<Outcome, ExperimentError>, BrokenRule> {
        // The simulation panics if a rule is broken.
        let run_day = || day_runner::run_day(&self.day, &self.variant, self.seed);
        match catch_unwind(AssertUnwindSafe(run_day)) {
            Ok(outcome) => Ok(outcome.map_err(|e| ExperimentError::Day(e.to_string()))),
            Err(panic) => {
                let rule = panic_message(&*panic);
                Err(BrokenRule(format!("seed {}: {rule}", self.seed)))
            }
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("it panicked")
}
