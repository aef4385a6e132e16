//! Distributions of run times: mixtures of normal distributions of their logarithms.

use crate::constants::{
    CENSORED_EXTENSION_FACTOR, DEFAULT_MEDIAN_S, DEFAULT_SD, HIGH_QUANTILE, LOW_QUANTILE,
};

/// A weighted normal distribution of logarithms of seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Component {
    /// Its share of the mixture.
    pub weight: f64,
    /// Mean logarithm.
    pub mean: f64,
    /// Variance, in squared logarithms.
    pub var: f64,
}

/// A mixture of normal distributions of logarithms of seconds. It has at least one component, and the
/// weights sum to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Mixture {
    components: Vec<Component>,
}

/// An estimate of a run time, with a 90% interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Seconds within which half of the runs should end.
    pub median_s: f64,
    /// Lower end of the interval that should hold 90 of 100 runs, in seconds.
    pub low_s: f64,
    /// Upper end of the interval, in seconds.
    pub high_s: f64,
}

/// Returns the cumulative distribution function of the standard normal distribution.
fn normal_cdf(z: f64) -> f64 {
    0.5 * libm::erfc(-z / std::f64::consts::SQRT_2)
}

impl Mixture {
    /// Creates a mixture of those components that have finite parameters and a positive weight. Without any it is the
    /// default distribution of unknown work.
    pub fn new(components: Vec<Component>) -> Mixture {
        let is_valid = |p: &Component| {
            p.weight.is_finite()
                && p.weight > 0.0
                && p.mean.is_finite()
                && p.var.is_finite()
                && p.var >= 0.0
        };
        let mut components: Vec<Component> = components.into_iter().filter(is_valid).collect();
        let sum: f64 = components.iter().map(|p| p.weight).sum();
        if components.is_empty() || !sum.is_finite() || sum <= 0.0 {
            components = vec![Component {
                weight: 1.0,
                mean: DEFAULT_MEDIAN_S.ln(),
                var: DEFAULT_SD * DEFAULT_SD,
            }];
        } else {
            components.iter_mut().for_each(|p| p.weight /= sum);
        }
        Mixture { components }
    }

    /// Creates a single normal distribution.
    pub fn normal(mean: f64, var: f64) -> Mixture {
        Mixture::new(vec![Component {
            weight: 1.0,
            mean,
            var,
        }])
    }

    /// Returns the components, whose weights sum to one.
    pub fn components(&self) -> &[Component] {
        &self.components
    }

    /// Returns the probability that a run takes at most this long, given as a logarithm.
    pub fn cdf(&self, ln_time: f64) -> f64 {
        let share =
            |p: &Component| p.weight * normal_cdf((ln_time - p.mean) / p.var.sqrt().max(1e-6));
        self.components
            .iter()
            .map(share)
            .sum::<f64>()
            .clamp(0.0, 1.0)
    }

    /// Returns the logarithm of the time within which this share of runs ends.
    pub fn quantile(&self, share: f64) -> f64 {
        let half_range = |p: &Component| 9.0 * p.var.sqrt() + 0.01;
        let lows = self.components.iter().map(|p| p.mean - half_range(p));
        let highs = self.components.iter().map(|p| p.mean + half_range(p));
        let mut low = lows.fold(f64::INFINITY, f64::min);
        let mut high = highs.fold(f64::NEG_INFINITY, f64::max);
        // A precision of 0.001 in the logarithm is one of 0.1% in the time.
        while high - low > 1e-3 {
            let middle = (low + high) / 2.0;
            match self.cdf(middle) < share {
                true => low = middle,
                false => high = middle,
            }
        }
        (low + high) / 2.0
    }

    /// Returns the distribution of a job's mean given its own completed tasks: their mean logarithm, their number, and
    /// the variance of tasks within a job. The weights shift to the components that explain the tasks.
    pub fn posterior(&self, mean: f64, tasks: f64, within_job_var: f64) -> Mixture {
        let noise = within_job_var / tasks.max(1.0);
        let log_weights: Vec<f64> = (self.components.iter())
            .map(|p| {
                let var = p.var + noise;
                p.weight.ln() - 0.5 * (var.ln() + (mean - p.mean).powi(2) / var)
            })
            .collect();
        let max_log_weight = log_weights
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max);
        let components = self
            .components
            .iter()
            .zip(&log_weights)
            .map(|(p, log_weight)| Component {
                weight: (log_weight - max_log_weight).exp(),
                mean: (p.mean * noise + mean * p.var) / (p.var + noise).max(1e-12),
                var: p.var * noise / (p.var + noise).max(1e-12),
            });
        Mixture::new(components.collect())
    }

    /// Returns the distribution with an independent deviation of this variance added.
    pub fn with_added_variance(&self, var: f64) -> Mixture {
        let components = self.components.iter().map(|p| Component {
            var: p.var + var,
            ..*p
        });
        Mixture::new(components.collect())
    }

    /// Returns the seconds within which a run that has lasted `elapsed_s` ends with probability `share`.
    pub fn remaining_s(&self, elapsed_s: f64, share: f64) -> f64 {
        let elapsed_share = self.cdf(crate::ln_run_time(elapsed_s));
        if elapsed_share > 0.999 {
            // The run has outlasted all known run times. The expected remaining time grows with the elapsed time.
            return elapsed_s * (CENSORED_EXTENSION_FACTOR - 1.0) * 2.0 * share;
        }
        let ln_end = self.quantile(elapsed_share + (1.0 - elapsed_share) * share);
        (ln_end.exp() - elapsed_s).max(0.0)
    }

    /// Returns the median and the interval that should hold 90 of 100 runs.
    pub fn estimate(&self) -> Estimate {
        Estimate {
            median_s: self.quantile(0.5).exp(),
            low_s: self.quantile(LOW_QUANTILE).exp(),
            high_s: self.quantile(HIGH_QUANTILE).exp(),
        }
    }
}
