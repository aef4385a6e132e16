//! The distribution that a history makes.

use super::statistics::{dot, images_differ, last_change, robust_deviation};
use super::{History, Job};
use crate::constants::*;
use crate::mixture::{Mixture, Part};

impl History {
    /// The distribution of a job's mean, given what would stand in were there no history, and the
    /// variance of tasks within a job.
    pub fn mixture(&self, expect: Option<f64>, image: u16, prior: &Mixture) -> (Mixture, f64) {
        let done: Vec<&Job> = self.jobs.iter().filter(|j| j.runs > 0).collect();
        let within = self.within_var.max(1e-4);
        if done.is_empty() {
            return (
                self.with_censored_runs(prior.parts().to_vec(), expect, 0.0),
                within,
            );
        }
        let slope = self.slope(&done, expect);
        // As they would be were the owner's estimate this one.
        let at = |j: &Job| match (expect, j.expect) {
            (Some(x), Some(own)) => j.mean + slope * (x - own),
            _ => j.mean,
        };
        let points: Vec<f64> = done.iter().map(|j| at(j)).collect();
        let changed = last_change(&points);
        let apart = images_differ(&done, &points, changed);
        let mut weights: Vec<f64> = Vec::new();
        for (i, j) in done.iter().enumerate() {
            let age = (done.len() - 1 - i) as i32;
            let mut weight = JOB_DECAY.powi(age);
            if i < changed {
                weight *= CHANGE_DECAY;
            }
            if apart && j.image != image {
                weight *= IMAGE_WEIGHT;
            }
            weights.push(weight);
        }
        let sum: f64 = weights.iter().sum();
        let squares: f64 = weights.iter().map(|w| w * w).sum();
        let count = sum * sum / squares;
        let mean = dot(&weights, &points) / sum;
        let var = (weights.iter().zip(&points))
            .map(|(w, p)| w * (p - mean).powi(2))
            .sum::<f64>()
            / sum;
        // Kernel density: each job spread out by a width that falls with their number, the points
        // drawn together so that the whole keeps the variance of a new job's.
        let unbiased = var * (count / (count - 1.0).max(0.5)).min(2.0);
        // Jobs of one task each do not tell what is within them: part of what is seen, then.
        let within = match self.within_tasks > WITHIN_TASKS {
            true => within,
            false => within.min(unbiased / 2.0).max(1e-4),
        };
        // Means of few tasks are apart by what these are apart, too.
        let noise = weights
            .iter()
            .zip(&done)
            .map(|(w, j)| w / f64::from(j.runs));
        let noise = within * noise.sum::<f64>() / sum;
        let least = MIN_SD * MIN_SD;
        let wanted = (unbiased * (1.0 + 1.0 / count) - noise).max(least);
        let robust = robust_deviation(&weights, &points)
            .min(unbiased.sqrt())
            .max(MIN_SD);
        let width = (robust * count.powf(-0.2)).min(wanted.sqrt());
        let draw = match var > 1e-9 {
            true => ((wanted - width * width).max(0.0) / var).sqrt().min(1.2),
            false => 1.0,
        };
        let mut parts: Vec<Part> = (weights.iter().zip(&points))
            .map(|(weight, p)| Part {
                weight: *weight,
                mean: mean + (p - mean) * draw,
                var: width * width,
            })
            .collect();
        let stand_in = PRIOR_JOBS / (1.0 + count / PRIOR_HALVING_JOBS);
        parts.extend(prior.parts().iter().map(|p| Part {
            weight: p.weight * stand_in,
            ..*p
        }));
        (self.with_censored_runs(parts, expect, slope), within)
    }

    /// How run times go with the owner's estimates: 1 if they are proportional, 0 if these say
    /// nothing.
    fn slope(&self, done: &[&Job], expect: Option<f64>) -> f64 {
        if expect.is_none() {
            return 0.0;
        }
        let pairs: Vec<(f64, f64, f64)> = (done.iter().rev().enumerate())
            .filter_map(|(age, j)| Some((JOB_DECAY.powi(age as i32), j.expect?, j.mean)))
            .collect();
        let sum: f64 = pairs.iter().map(|p| p.0).sum();
        if sum <= 0.0 {
            return 0.0;
        }
        let x = pairs.iter().map(|p| p.0 * p.1).sum::<f64>() / sum;
        let y = pairs.iter().map(|p| p.0 * p.2).sum::<f64>() / sum;
        let xx: f64 = pairs.iter().map(|p| p.0 * (p.1 - x).powi(2)).sum();
        let xy: f64 = pairs.iter().map(|p| p.0 * (p.1 - x) * (p.2 - y)).sum();
        ((xy + SLOPE_RIDGE) / (xx + SLOPE_RIDGE)).clamp(0.0, 1.3)
    }

    /// Runs that were cut short take at least as long as they lasted: the weight of each goes to
    /// what is longer (Efron's redistribution to the right).
    fn with_censored_runs(&self, mut parts: Vec<Part>, expect: Option<f64>, slope: f64) -> Mixture {
        for (age, j) in self.jobs.iter().rev().enumerate() {
            if j.runs > 0 {
                continue;
            }
            let least = match (expect, j.expect) {
                (Some(x), Some(own)) => j.mean + slope * (x - own),
                _ => j.mean,
            };
            let weight = JOB_DECAY.powi(age as i32);
            let right: f64 = (parts.iter().filter(|p| p.mean > least))
                .map(|p| p.weight)
                .sum();
            if right > 0.05 * weight {
                for p in parts.iter_mut().filter(|p| p.mean > least) {
                    p.weight *= 1.0 + weight / right;
                }
            } else {
                parts.push(Part {
                    weight,
                    mean: least + CENSORED_FACTOR.ln(),
                    var: (CENSORED_FACTOR.ln()).powi(2),
                });
            }
        }
        Mixture::new(parts)
    }
}
