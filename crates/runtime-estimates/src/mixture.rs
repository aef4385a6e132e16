//! A distribution of run times: normal ones of their logarithms, each with its weight.

use crate::constants::{CENSORED_FACTOR, HIGH_QUANTILE, LOW_QUANTILE, UNKNOWN_S, UNKNOWN_SD};

/// A normal distribution of logarithms of seconds, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
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
    parts: Vec<Part>,
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
    pub fn new(parts: Vec<Part>) -> Mixture {
        let sound = |p: &Part| {
            p.weight.is_finite()
                && p.weight > 0.0
                && p.mean.is_finite()
                && p.var.is_finite()
                && p.var >= 0.0
        };
        let mut parts: Vec<Part> = parts.into_iter().filter(sound).collect();
        let sum: f64 = parts.iter().map(|p| p.weight).sum();
        if parts.is_empty() || !sum.is_finite() || sum <= 0.0 {
            parts = vec![Part {
                weight: 1.0,
                mean: UNKNOWN_S.ln(),
                var: UNKNOWN_SD * UNKNOWN_SD,
            }];
        } else {
            parts.iter_mut().for_each(|p| p.weight /= sum);
        }
        Mixture { parts }
    }

    /// A single normal distribution.
    pub fn normal(mean: f64, var: f64) -> Mixture {
        Mixture::new(vec![Part {
            weight: 1.0,
            mean,
            var,
        }])
    }

    /// Its parts, whose weights sum to one.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// The share of runs that take no longer.
    pub fn share_within(&self, ln_secs: f64) -> f64 {
        let share = |p: &Part| p.weight * normal_cdf((ln_secs - p.mean) / p.var.sqrt().max(1e-6));
        self.parts.iter().map(share).sum::<f64>().clamp(0.0, 1.0)
    }

    /// The logarithm of the time within which this share of runs is over.
    pub fn quantile(&self, share: f64) -> f64 {
        let reach = |p: &Part| 9.0 * p.var.sqrt() + 0.01;
        let lows = self.parts.iter().map(|p| p.mean - reach(p));
        let highs = self.parts.iter().map(|p| p.mean + reach(p));
        let mut low = lows.fold(f64::INFINITY, f64::min);
        let mut high = highs.fold(f64::NEG_INFINITY, f64::max);
        // To a thousandth of a logarithm, which is a thousandth of the time.
        while high - low > 1e-3 {
            let middle = (low + high) / 2.0;
            match self.share_within(middle) < share {
                true => low = middle,
                false => high = middle,
            }
        }
        (low + high) / 2.0
    }

    /// What is left of it once a job's own tasks are known: so many with this mean logarithm, that
    /// differ from one another by this variance. Says of which kind of work the job is, too.
    pub fn given(&self, mean: f64, tasks: f64, within: f64) -> Mixture {
        let noise = within / tasks.max(1.0);
        let odds: Vec<f64> = (self.parts.iter())
            .map(|p| {
                let var = p.var + noise;
                p.weight.ln() - 0.5 * (var.ln() + (mean - p.mean).powi(2) / var)
            })
            .collect();
        let most = odds.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let parts = self.parts.iter().zip(&odds).map(|(p, odds)| Part {
            weight: (odds - most).exp(),
            mean: (p.mean * noise + mean * p.var) / (p.var + noise).max(1e-12),
            var: p.var * noise / (p.var + noise).max(1e-12),
        });
        Mixture::new(parts.collect())
    }

    /// With independent deviations added.
    pub fn wider(&self, var: f64) -> Mixture {
        let parts = self.parts.iter().map(|p| Part {
            var: p.var + var,
            ..*p
        });
        Mixture::new(parts.collect())
    }

    /// Seconds that a run still takes with this chance, having lasted so long.
    pub fn left_s(&self, elapsed_s: f64, share: f64) -> f64 {
        let known = self.share_within(crate::ln(elapsed_s));
        if known > 0.999 {
            // It outlasts all that is known: the longer it has run, the longer it may go on.
            return elapsed_s * (CENSORED_FACTOR - 1.0) * 2.0 * share;
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
