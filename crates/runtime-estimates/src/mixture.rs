//! A distribution of run times: normal ones of their logarithms, each with its weight.

use crate::constants::{
    CENSORED_EXTENSION_FACTOR, DEFAULT_MEDIAN_S, DEFAULT_SD, HIGH_QUANTILE, LOW_QUANTILE,
};

/// A normal distribution of logarithms of seconds, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Component {
    /// Its share of the whole.
    pub weight: f64,
    /// Mean logarithm.
    pub mean: f64,
    /// Variance, in squared logarithms.
    pub var: f64,
}

/// In logarithms of seconds. Never empty, its weights sum to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Mixture {
    components: Vec<Component>,
}

/// What an estimate says: seconds, and how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Half of the runs should take no longer, seconds.
    pub median_s: f64,
    /// 90 of 100 runs should take between this and `high_s`, seconds.
    pub low_s: f64,
    /// See `low_s`.
    pub high_s: f64,
}

/// The share of a standard normal distribution below `z`.
fn normal_cdf(z: f64) -> f64 {
    0.5 * libm::erfc(-z / std::f64::consts::SQRT_2)
}

impl Mixture {
    /// Parts that are no numbers, or weigh nothing, are left out.
    pub fn new(components: Vec<Component>) -> Mixture {
        let sound = |p: &Component| {
            p.weight.is_finite()
                && p.weight > 0.0
                && p.mean.is_finite()
                && p.var.is_finite()
                && p.var >= 0.0
        };
        let mut components: Vec<Component> = components.into_iter().filter(sound).collect();
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

    /// A single normal distribution.
    pub fn normal(mean: f64, var: f64) -> Mixture {
        Mixture::new(vec![Component {
            weight: 1.0,
            mean,
            var,
        }])
    }

    /// Its parts, whose weights sum to one.
    pub fn components(&self) -> &[Component] {
        &self.components
    }

    /// The share of runs that take no longer.
    pub fn cdf(&self, ln_secs: f64) -> f64 {
        let share =
            |p: &Component| p.weight * normal_cdf((ln_secs - p.mean) / p.var.sqrt().max(1e-6));
        self.components
            .iter()
            .map(share)
            .sum::<f64>()
            .clamp(0.0, 1.0)
    }

    /// The logarithm of the time within which this share of runs is over.
    pub fn quantile(&self, share: f64) -> f64 {
        let reach = |p: &Component| 9.0 * p.var.sqrt() + 0.01;
        let lows = self.components.iter().map(|p| p.mean - reach(p));
        let highs = self.components.iter().map(|p| p.mean + reach(p));
        let mut low = lows.fold(f64::INFINITY, f64::min);
        let mut high = highs.fold(f64::NEG_INFINITY, f64::max);
        // To a thousandth of a logarithm, which is a thousandth of the time.
        while high - low > 1e-3 {
            let middle = (low + high) / 2.0;
            match self.cdf(middle) < share {
                true => low = middle,
                false => high = middle,
            }
        }
        (low + high) / 2.0
    }

    /// What is left of it once a job's own tasks are known: so many with this mean logarithm, that
    /// differ from one another by this variance. Says of which kind of work the job is, too.
    pub fn posterior(&self, mean: f64, tasks: f64, within: f64) -> Mixture {
        let noise = within / tasks.max(1.0);
        let odds: Vec<f64> = (self.components.iter())
            .map(|p| {
                let var = p.var + noise;
                p.weight.ln() - 0.5 * (var.ln() + (mean - p.mean).powi(2) / var)
            })
            .collect();
        let most = odds.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let components = self
            .components
            .iter()
            .zip(&odds)
            .map(|(p, odds)| Component {
                weight: (odds - most).exp(),
                mean: (p.mean * noise + mean * p.var) / (p.var + noise).max(1e-12),
                var: p.var * noise / (p.var + noise).max(1e-12),
            });
        Mixture::new(components.collect())
    }

    /// With independent deviations added.
    pub fn with_added_variance(&self, var: f64) -> Mixture {
        let components = self.components.iter().map(|p| Component {
            var: p.var + var,
            ..*p
        });
        Mixture::new(components.collect())
    }

    /// Seconds that a run still takes with this chance, having lasted so long.
    pub fn remaining_s(&self, elapsed_s: f64, share: f64) -> f64 {
        let known = self.cdf(crate::ln_run_time(elapsed_s));
        if known > 0.999 {
            // It outlasts all that is known: the longer it has run, the longer it may go on.
            return elapsed_s * (CENSORED_EXTENSION_FACTOR - 1.0) * 2.0 * share;
        }
        let at = self.quantile(known + (1.0 - known) * share);
        (at.exp() - elapsed_s).max(0.0)
    }

    /// The median, and the interval that 90 in 100 runs should lie in.
    pub fn estimate(&self) -> Estimate {
        Estimate {
            median_s: self.quantile(0.5).exp(),
            low_s: self.quantile(LOW_QUANTILE).exp(),
            high_s: self.quantile(HIGH_QUANTILE).exp(),
        }
    }
}
