//! Digests of behaviour: random faults and described days are played in the simulation, and all that the
//! controllers do is hashed. A change that only renames or moves code leaves every line as it was.

use crate::experiment::{self, ExperimentError};
use glenmount_simulation::day::{Day, Experiment, Variant};
use glenmount_simulation::digest::EffectDigest;
use glenmount_simulation::random_faults::{self, STEPS};
use glenmount_simulation::{all_estimate_uses, day_runner, Simulation};
use std::fmt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use thiserror::Error;

/// Machines at the start of a run of random faults, by seed in turn.
const SIZES: [usize; 4] = [6, 6, 24, 80];
/// One run in so many learns run times and uses them.
const LEARNING_PART: u64 = 5;

/// Plays at once at most.
const MAX_THREADS: usize = 64;

/// Why there is no digest.
#[derive(Debug, Error)]
pub enum DigestError {
    /// The files of described days can't be read.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A day can't be played.
    #[error("{0}")]
    Play(String),
    /// The simulation kept none.
    #[error("no digest was kept")]
    Missing,
}

enum Run {
    RandomFaults { seed: u64, machines: usize },
    Day { day: Box<Day>, variant: Variant },
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Run::RandomFaults { seed, machines } => {
                write!(f, "random faults, seed {seed}, {machines} machines")
            }
            Run::Day { day, variant } => write!(f, "day {:?}, {:?}", day.name, variant.name),
        }
    }
}

impl Run {
    fn play(&self) -> Result<EffectDigest, DigestError> {
        match self {
            Run::RandomFaults { seed, machines } => {
                let prepare = |world: &mut Simulation| {
                    world.digest = Some(EffectDigest::default());
                    if seed % LEARNING_PART == 0 {
                        world.settings.runtime_estimates = all_estimate_uses();
                    }
                };
                let run = random_faults::run_prepared(*seed, *machines, STEPS, prepare);
                run.simulation.digest.ok_or(DigestError::Missing)
            }
            Run::Day { day, variant } => {
                let digest = Some(EffectDigest::default());
                let (_, digest) = day_runner::run_day_with_digest(day, variant, 1, digest)
                    .map_err(|e| DigestError::Play(e.to_string()))?;
                digest.ok_or(DigestError::Missing)
            }
        }
    }
}

/// Plays runs of random faults from seed 0 on, and the days of some files; a line for each, in order.
///
/// # Errors
///
/// If a file of days can't be read, or a day can't be played.
pub fn lines(seeds: u64, days: &[PathBuf], threads: usize) -> Result<Vec<String>, DigestError> {
    let sizes = SIZES.iter().cycle();
    let faults = (0..seeds).zip(sizes);
    let mut runs: Vec<Run> = faults
        .map(|(seed, machines)| Run::RandomFaults {
            seed,
            machines: *machines,
        })
        .collect();
    for Experiment { days, variants } in experiment::read(days)? {
        for day in days {
            for variant in &variants {
                runs.push(Run::Day {
                    day: Box::new(day.clone()),
                    variant: variant.clone(),
                });
            }
        }
    }
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(runs.iter().map(|_| Ok(String::new())).collect::<Vec<_>>());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(run) = runs.get(at) else { return };
                let line = run.play().map(|digest| {
                    let (value, effects) = (digest.value(), digest.effects);
                    format!("{value:016x} {effects:>8} effects  {run}")
                });
                lines.lock().expect("no panic holds it")[at] = line;
            });
        }
    });
    lines
        .into_inner()
        .expect("no panic held it")
        .into_iter()
        .collect()
}
