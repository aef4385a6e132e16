//! How run times compare with owners' estimates, over a team or over all.

use crate::constants::{BIAS_JOBS_PER_CLASS, BIAS_SHRINKAGE_JOBS, OWNER_ESTIMATE_SD};
use crate::history::History;
use std::collections::HashMap;

/// Logarithms by which run times exceed owners' estimates: their distribution, and the jobs that it rests on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bias {
    jobs: f64,
    mean: f64,
    var: f64,
}

impl Bias {
    fn of(excess: impl Iterator<Item = f64>) -> Bias {
        let all: Vec<f64> = excess.collect();
        if all.is_empty() {
            return Bias::default();
        }
        let jobs = all.len() as f64;
        let mean = all.iter().sum::<f64>() / jobs;
        let var = all.iter().map(|e| (e - mean).powi(2)).sum::<f64>() / (jobs - 1.0).max(1.0);
        Bias { jobs, mean, var }
    }

    /// Drawn towards another, as far as it rests on few jobs: mean and variance.
    fn shrunk_towards(self, parent: (f64, f64)) -> (f64, f64) {
        let share = self.jobs / (self.jobs + BIAS_SHRINKAGE_JOBS);
        let mean = parent.0 + (self.mean - parent.0) * share;
        // What the two means are apart counts as doubt.
        let between = (self.mean - parent.0).powi(2) * share * (1.0 - share);
        (mean, parent.1 + (self.var - parent.1) * share + between)
    }
}

/// The biases of each team and of all.
#[derive(Debug)]
pub(crate) struct Biases {
    teams: HashMap<String, Bias>,
    all: Bias,
}

impl Biases {
    /// Of teams and histories of their classes.
    pub(crate) fn of<'a>(classes: impl Iterator<Item = (&'a str, &'a History)>) -> Biases {
        let mut teams: HashMap<String, Vec<f64>> = HashMap::new();
        for (team, history) in classes {
            let latest = history.ln_excesses().rev().take(BIAS_JOBS_PER_CLASS);
            teams.entry(team.to_string()).or_default().extend(latest);
        }
        let all = Bias::of(teams.values().flatten().copied());
        let teams = teams.into_iter();
        let teams = teams.map(|(team, excess)| (team, Bias::of(excess.into_iter())));
        Biases {
            teams: teams.collect(),
            all,
        }
    }

    /// Mean and variance for a team, drawn towards those of all teams, and these towards owners about whom
    /// nothing is known.
    pub(crate) fn of_team(&self, team: &str) -> (f64, f64) {
        let of_all = self
            .all
            .shrunk_towards((0.0, OWNER_ESTIMATE_SD * OWNER_ESTIMATE_SD));
        let team = self.teams.get(team).copied().unwrap_or_default();
        team.shrunk_towards(of_all)
    }
}
