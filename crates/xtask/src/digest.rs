//! Digests of behaviour: random faults and described days are played in the simulation, and all that the
//! controllers do is hashed. A change that only renames or moves code leaves every line as it was.

use crate::experiment;
use glenmount_simulation::day::{Day, Experiment, Variant};
use glenmount_simulation::digest::EffectDigest;
use glenmount_simulation::random_faults::{self, STEPS};
use glenmount_simulation::{every_use, play, World};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Machines at the start of a run of random faults, by seed in turn.
const SIZES: [usize; 4] = [6, 6, 24, 80];
/// One run in so many learns run times and uses them.
const LEARNING_PART: u64 = 5;

enum Run {
    RandomFaults { seed: u64, machines: usize },
    Day { day: Box<Day>, variant: Variant },
}

impl Run {
    fn name(&self) -> String {
        match self {
            Run::RandomFaults { seed, machines } => {
                format!("random faults, seed {seed}, {machines} machines")
            }
            Run::Day { day, variant } => format!("day {:?}, {:?}", day.name, variant.name),
        }
    }

    fn play(&self) -> Result<EffectDigest, String> {
        match self {
            Run::RandomFaults { seed, machines } => {
                let prepare = |world: &mut World| {
                    world.digest = Some(EffectDigest::default());
                    if seed % LEARNING_PART == 0 {
                        world.settings.learned = every_use();
                    }
                };
                let run = random_faults::play_on(*seed, *machines, STEPS, prepare);
                run.world.digest.ok_or("no digest was kept".into())
            }
            Run::Day { day, variant } => {
                let digest = Some(EffectDigest::default());
                let (_, digest) = play::play_digested(day, variant, 1, digest)?;
                digest.ok_or("no digest was kept".into())
            }
        }
    }
}

/// Plays runs of random faults from seed 0 on, and the days of some files; a line for each, in order.
pub fn lines(seeds: u64, days: &[PathBuf], threads: usize) -> Result<Vec<String>, String> {
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
    let lines = Mutex::new(vec![Ok(String::new()); runs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(run) = runs.get(at) else { return };
                let line = run.play().map(|digest| {
                    let (value, effects) = (digest.value(), digest.effects);
                    format!("{value:016x} {effects:>8} effects  {}", run.name())
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
