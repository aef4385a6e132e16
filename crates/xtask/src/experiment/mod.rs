//! Plays described days in the project's own world: days by seeds by variants, several at once, and
//! writes down what was served and how long takeovers took. All figures are simulated.

mod files;
mod plot;
mod table;

pub use files::write;
pub use table::table;

use glenmount_simulation::day::{Day, Experiment, Variant};
use glenmount_simulation::measure::Outcome;
use glenmount_simulation::play;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// How much is played.
pub struct Plan {
    pub seeds: u32,
    pub from: u64,
    pub jobs: usize,
}

/// A day with a variant, all its seeds together.
pub struct Played {
    pub day: String,
    pub variant: String,
    pub outcome: Outcome,
    /// Seeds that broke a rule, and which.
    pub broken: Vec<String>,
}

struct Job {
    at: usize,
    day: Day,
    variant: Variant,
    seed: u64,
}

/// Reads files of described days.
pub fn read(files: &[PathBuf]) -> Result<Vec<Experiment>, String> {
    let one = |file: &PathBuf| {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
        Experiment::read(&text).map_err(|e| format!("{name}: {e}"))
    };
    files.iter().map(one).collect()
}

pub fn play(files: &[PathBuf], plan: &Plan) -> Result<Vec<Played>, String> {
    let mut played: Vec<Played> = Vec::new();
    let mut jobs: Vec<Job> = Vec::new();
    for read in read(files)? {
        for day in &read.days {
            for variant in &read.variants {
                let at = played.len();
                played.push(Played {
                    day: day.name.clone(),
                    variant: variant.name.clone(),
                    outcome: Outcome::default(),
                    broken: Vec::new(),
                });
                for seed in 0..u64::from(plan.seeds) {
                    let seed = plan.from + seed;
                    let (day, variant) = (day.clone(), variant.clone());
                    jobs.push(Job {
                        at,
                        day,
                        variant,
                        seed,
                    });
                }
            }
        }
    }
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}")
        .map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(jobs.len() as u64).with_style(style);
    let next = AtomicUsize::new(0);
    let results = Mutex::new((played, None));
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, 64) {
            scope.spawn(|| loop {
                let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else {
                    return;
                };
                // A broken rule is an assertion of the world's.
                let once = || play::play(&job.day, &job.variant, job.seed);
                let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(once));
                let mut results = results.lock().expect("no panic holds it");
                match outcome {
                    Ok(Ok(outcome)) => results.0[job.at].outcome.add(&outcome),
                    Ok(Err(why)) => results.1 = Some(why),
                    Err(panic) => {
                        let text = panic.downcast_ref::<String>().map(String::as_str);
                        let text = text.or(panic.downcast_ref::<&str>().copied());
                        let why = text.unwrap_or("it panicked");
                        let broken = format!("seed {}: {why}", job.seed);
                        results.0[job.at].broken.push(broken);
                    }
                }
                bar.inc(1);
                bar.set_message(format!("{} ({})", job.day.name, job.variant.name));
            });
        }
    });
    bar.finish_and_clear();
    match results.into_inner().expect("no panic held it") {
        (_, Some(why)) => Err(why),
        (played, None) => Ok(played),
    }
}
