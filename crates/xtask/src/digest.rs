//! Hashes all effects of the controllers in simulations of random faults and described days. A change that only renames
//! or moves code changes no digest.

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

/// Machines at the start of a run of random faults, for the seeds in turn.
const MACHINE_COUNTS: [usize; 4] = [6, 6, 24, 80];
/// Seeds divisible by this number estimate run times and use the estimates.
const ESTIMATES_SEED_INTERVAL: u64 = 5;

/// Largest number of simultaneous runs.
const MAX_THREADS: usize = 64;

/// The reason why digests cannot be computed.
#[derive(Debug, Error)]
pub enum DigestError {
    /// The files with the described days cannot be read.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A day cannot be simulated.
    #[error("{0}")]
    Day(String),
    /// The simulation has no digest.
    #[error("no digest was kept")]
    Missing,
}

/// A simulation whose effects are hashed.
enum SimulationRun {
    RandomFaults { seed: u64, machines: usize },
    Day { day: Box<Day>, variant: Variant },
}

impl fmt::Display for SimulationRun {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SimulationRun::RandomFaults { seed, machines } => {
                write!(f, "random faults, seed {seed}, {machines} machines")
            }
            SimulationRun::Day { day, variant } => {
                write!(f, "day {:?}, {:?}", day.name, variant.name)
            }
        }
    }
}

impl SimulationRun {
    fn digest(&self) -> Result<EffectDigest, DigestError> {
        match self {
            SimulationRun::RandomFaults { seed, machines } => {
                let prepare = |simulation: &mut Simulation| {
                    simulation.digest = Some(EffectDigest::default());
                    if seed % ESTIMATES_SEED_INTERVAL == 0 {
                        simulation.settings.runtime_estimates = all_estimate_uses();
                    }
                };
                let run = random_faults::run_prepared(*seed, *machines, STEPS, prepare);
                run.simulation.digest.ok_or(DigestError::Missing)
            }
            SimulationRun::Day { day, variant } => {
                let digest = Some(EffectDigest::default());
                let (_, digest) = day_runner::run_day_with_digest(day, variant, 1, digest)
                    .map_err(|e| DigestError::Day(e.to_string()))?;
                digest.ok_or(DigestError::Missing)
            }
        }
    }
}

/// Simulates random faults with the seeds from 0 on, and the days in the files. Returns one line per run, in order.
///
/// # Errors
///
/// If a file of days cannot be read or a day cannot be simulated.
pub fn digest_lines(
    seeds: u64,
    days: &[PathBuf],
    threads: usize,
) -> Result<Vec<String>, DigestError> {
    let machine_counts = MACHINE_COUNTS.iter().cycle();
    let faults = (0..seeds).zip(machine_counts);
    let mut runs: Vec<SimulationRun> = faults
        .map(|(seed, machines)| SimulationRun::RandomFaults {
            seed,
            machines: *machines,
        })
        .collect();
    for Experiment { days, variants } in experiment::read(days)? {
        for day in days {
            for variant in &variants {
                runs.push(SimulationRun::Day {
                    day: Box::new(day.clone()),
                    variant: variant.clone(),
                });
            }
        }
    }
    let next_index = AtomicUsize::new(0);
    let lines = Mutex::new(runs.iter().map(|_| Ok(String::new())).collect::<Vec<_>>());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, Ordering::Relaxed);
                let Some(run) = runs.get(index) else { return };
                let line = run.digest().map(|digest| {
                    let (value, effects) = (digest.value(), digest.effects);
                    format!("{value:016x} {effects:>8} effects  {run}")
                });
                lines.lock().expect("no panic holds it")[index] = line;
            });
        }
    });
    lines
        .into_inner()
        .expect("no panic held it")
        .into_iter()
        .collect()
}
