//! Plays described days in the project's own world: days by seeds by variants, several at once, and
//! writes down what was served and how long takeovers took. All figures are simulated.

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

/// How much is played.
pub struct Plan {
    /// Seeds that each day is played with for each variant.
    pub seeds: u32,
    /// The first of them.
    pub from: u64,
    /// Plays at once.
    pub jobs: usize,
}

/// A day with a variant, all its seeds together.
pub struct Played {
    /// The day's name.
    pub day: String,
    /// The variant's name.
    pub variant: String,
    /// What came of it; all figures are simulated.
    pub outcome: Outcome,
    /// Seeds that broke a rule, and which.
    pub broken: Vec<String>,
}

/// One play of a day.
struct Job {
    /// Where its outcome is added.
    at: usize,
    day: Day,
    variant: Variant,
    seed: u64,
}

/// Plays at once at most.
const MAX_THREADS: usize = 64;

/// Reads files of described days.
///
/// # Errors
///
/// Names the file that can't be read or describes no days.
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

/// Plays each day of the files with each variant and seed, several at once, in the order of the files.
///
/// # Errors
///
/// If a file can't be read, or a day can't be played. A broken rule is no error: see [`Played::broken`].
pub fn play(files: &[PathBuf], plan: &Plan) -> Result<Vec<Played>, ExperimentError> {
    let (played, jobs) = schedule(&read(files)?, plan);
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}")?;
    let bar = ProgressBar::new(jobs.len() as u64).with_style(style);
    let next = AtomicUsize::new(0);
    let results = Mutex::new((played, None));
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else {
                    return;
                };
                let outcome = job.play();
                let mut results = results.lock().expect("no panic holds it");
                match outcome {
                    Ok(Ok(outcome)) => results.0[job.at].outcome.add(&outcome),
                    Ok(Err(error)) => results.1 = Some(error),
                    Err(BrokenRule(broken)) => results.0[job.at].broken.push(broken),
                }
                bar.inc(1);
                bar.set_message(format!("{} ({})", job.day.name, job.variant.name));
            });
        }
    });
    bar.finish_and_clear();
    match results.into_inner().expect("no panic held it") {
        (_, Some(error)) => Err(error),
        (played, None) => Ok(played),
    }
}

/// Empty results for each day and variant, and the plays whose outcomes are added to them.
fn schedule(experiments: &[Experiment], plan: &Plan) -> (Vec<Played>, Vec<Job>) {
    let mut played: Vec<Played> = Vec::new();
    let mut jobs: Vec<Job> = Vec::new();
    for Experiment { days, variants } in experiments {
        for day in days {
            for variant in variants {
                let at = played.len();
                played.push(Played {
                    day: day.name.clone(),
                    variant: variant.name.clone(),
                    outcome: Outcome::default(),
                    broken: Vec::new(),
                });
                jobs.extend((0..u64::from(plan.seeds)).map(|n| Job {
                    at,
                    day: day.clone(),
                    variant: variant.clone(),
                    seed: plan.from + n,
                }));
            }
        }
    }
    (played, jobs)
}

/// The seed that broke a rule, and which rule.
struct BrokenRule(String);

impl Job {
    fn play(&self) -> Result<Result<Outcome, ExperimentError>, BrokenRule> {
        // A broken rule is an assertion of the simulation's.
        let once = || day_runner::run_day(&self.day, &self.variant, self.seed);
        match catch_unwind(AssertUnwindSafe(once)) {
            Ok(outcome) => Ok(outcome.map_err(|e| ExperimentError::Play(e.to_string()))),
            Err(panic) => {
                let why = panic_message(&*panic);
                Err(BrokenRule(format!("seed {}: {why}", self.seed)))
            }
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("it panicked")
}
