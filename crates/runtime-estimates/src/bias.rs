//! The bias of owners' estimates, per team and over all teams.

use crate::constants::{BIAS_JOBS_PER_CLASS, BIAS_SHRINKAGE_JOBS, OWNER_ESTIMATE_SD};
use crate::history::History;
use std::collections::HashMap;

/// The distribution of the logarithms by which run times exceed owners' estimates, and the number of jobs behind it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bias {
    jobs: f64,
    mean: f64,
    var: f64,
}

impl Bias {
    fn from_excesses(ln_excesses: impl Iterator<Item = f64>) -> Bias {
        let excesses: Vec<f64> = ln_excesses.collect();
        if excesses.is_empty() {
            return Bias::default();
        }
        let jobs = excesses.len() as f64;
        let mean = excesses.iter().sum::<f64>() / jobs;
        let var = excesses.iter().map(|e| (e - mean).powi(2)).sum::<f64>() / (jobs - 1.0).max(1.0);
        Bias { jobs, mean, var }
    }

    /// Returns mean and variance after shrinkage towards a parent distribution, which is stronger the fewer jobs there
    /// are.
    fn shrunk_towards(self, parent: (f64, f64)) -> (f64, f64) {
        let share = self.jobs / (self.jobs + BIAS_SHRINKAGE_JOBS);
        let mean = parent.0 + (self.mean - parent.0) * share;
        // The difference of the means adds to the variance.
        let between = (self.mean - parent.0).powi(2) * share * (1.0 - share);
        (mean, parent.1 + (self.var - parent.1) * share + between)
    }
}

/// The biases of each team and over all teams.
#[derive(Debug)]
pub(crate) struct Biases {
    teams: HashMap<String, Bias>,
    all: Bias,
}

impl Biases {
    /// Computes the biases from the histories of all classes, given with their teams.
    pub(crate) fn from_classes<'a>(
        classes: impl Iterator<Item = (&'a str, &'a History)>,
    ) -> Biases {
        let mut teams: HashMap<String, Vec<f64>> = HashMap::new();
        for (team, history) in classes {
            let latest = history.ln_excesses().rev().take(BIAS_JOBS_PER_CLASS);
            teams.entry(team.to_string()).or_default().extend(latest);
        }
        let all = Bias::from_excesses(teams.values().flatten().copied());
        let teams = teams.into_iter();
        let teams = teams.map(|(team, excess)| (team, Bias::from_excesses(excess.into_iter())));
        Biases {
            teams: teams.collect(),
            all,
        }
    }

    /// Returns mean and variance for a team, shrunk towards those of all teams, which are shrunk towards those of an
    /// unknown owner.
    pub(crate) fn of_team(&self, team: &str) -> (f64, f64) {
        let all_teams = self
            .all
            .shrunk_towards((0.0, OWNER_ESTIMATE_SD * OWNER_ESTIMATE_SD));
        let team = self.teams.get(team).copied().unwrap_or_default();
        team.shrunk_towards(all_teams)
    }
}
