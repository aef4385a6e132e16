//! How run times compare with owners' estimates, over a team or over all.

use crate::constants::*;

/// A normal distribution of logarithms, and the jobs that it rests on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bias {
    jobs: f64,
    mean: f64,
    var: f64,
}

impl Bias {
    /// Drawn towards another, as far as it rests on few jobs.
    pub(crate) fn shrunk_towards(self, parent: (f64, f64)) -> (f64, f64) {
        let share = self.jobs / (self.jobs + PARENT_WEIGHT_JOBS);
        let mean = parent.0 + (self.mean - parent.0) * share;
        // What the two means are apart counts as doubt.
        let between = (self.mean - parent.0).powi(2) * share * (1.0 - share);
        (mean, parent.1 + (self.var - parent.1) * share + between)
    }
}

pub(crate) fn bias(excess: impl Iterator<Item = f64>) -> Bias {
    let all: Vec<f64> = excess.collect();
    if all.is_empty() {
        return Bias::default();
    }
    let jobs = all.len() as f64;
    let mean = all.iter().sum::<f64>() / jobs;
    let var = all.iter().map(|e| (e - mean).powi(2)).sum::<f64>() / (jobs - 1.0).max(1.0);
    Bias { jobs, mean, var }
}
