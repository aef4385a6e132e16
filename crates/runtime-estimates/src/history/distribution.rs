//! The distribution that a history makes: a weighted kernel density over its jobs, with what stands in for a
//! history that is short, and with the runs that were cut short.

use super::statistics::{dot, images_differ, last_change, robust_deviation};
use super::{History, JobSample};
use crate::constants::{
    CENSORED_EXTENSION_FACTOR, CHANGE_DECAY, JOB_DECAY, MAX_KERNEL_STRETCH, MAX_SLOPE, MIN_SD,
    OTHER_IMAGE_WEIGHT, PRIOR_HALVING_JOBS, PRIOR_JOBS, SLOPE_RIDGE, WITHIN_JOB_MIN_VAR,
    WITHIN_JOB_PRIOR_TASKS,
};
use crate::mixture::{Component, Mixture};

impl History {
    /// The distribution of a job's mean, given what would stand in were there no history, and the
    /// variance of tasks within a job. All in logarithms; `ln_estimate` is that of the owner's estimate,
    /// `image` the hash of the image's name.
    pub fn mixture(
        &self,
        ln_estimate: Option<f64>,
        image_hash: u16,
        prior: &Mixture,
    ) -> (Mixture, f64) {
        let done: Vec<&JobSample> = self.jobs.iter().filter(|j| j.runs > 0).collect();
        let within = self.within_job_var.max(WITHIN_JOB_MIN_VAR);
        if done.is_empty() {
            let parts = prior.components().to_vec();
            return (self.with_censored_runs(parts, ln_estimate, 0.0), within);
        }
        let slope = slope(&done, ln_estimate);
        let points: Vec<f64> = (done.iter())
            .map(|job| scaled_mean(job, ln_estimate, slope))
            .collect();
        let weights = job_weights(&done, &points, image_hash);
        let moments = Moments::of(&weights, &points);
        // Jobs of one task each do not tell what is within them: part of what is seen, then.
        let within = match self.within_job_tasks > WITHIN_JOB_PRIOR_TASKS {
            true => within,
            false => within
                .min(moments.unbiased_var / 2.0)
                .max(WITHIN_JOB_MIN_VAR),
        };
        // Means of few tasks are apart by what these are apart, too.
        let noise = (weights.iter().zip(&done)).map(|(w, j)| w / f64::from(j.runs));
        let noise = within * noise.sum::<f64>() / moments.weight;
        let mut parts = kernels(&weights, &points, &moments, noise);
        let prior_weight = PRIOR_JOBS / (1.0 + moments.count / PRIOR_HALVING_JOBS);
        parts.extend(prior.components().iter().map(|p| Component {
            weight: p.weight * prior_weight,
            ..*p
        }));
        (self.with_censored_runs(parts, ln_estimate, slope), within)
    }

    /// Runs that were cut short take at least as long as they lasted: the weight of each goes to
    /// what is longer (Efron's redistribution to the right).
    fn with_censored_runs(
        &self,
        mut parts: Vec<Component>,
        ln_estimate: Option<f64>,
        slope: f64,
    ) -> Mixture {
        for (age, job) in self.jobs.iter().rev().enumerate() {
            if job.runs > 0 {
                continue;
            }
            let least = scaled_mean(job, ln_estimate, slope);
            let weight = JOB_DECAY.powi(age as i32);
            let longer = parts.iter().filter(|p| p.mean > least);
            let longer: f64 = longer.map(|p| p.weight).sum();
            if longer > 0.05 * weight {
                for part in parts.iter_mut().filter(|p| p.mean > least) {
                    part.weight *= 1.0 + weight / longer;
                }
            } else {
                parts.push(Component {
                    weight,
                    mean: least + CENSORED_EXTENSION_FACTOR.ln(),
                    var: (CENSORED_EXTENSION_FACTOR.ln()).powi(2),
                });
            }
        }
        Mixture::new(parts)
    }
}

/// A job's mean as it would be were its owner's estimate the one given.
fn scaled_mean(job: &JobSample, ln_estimate: Option<f64>, slope: f64) -> f64 {
    match (ln_estimate, job.ln_estimate) {
        (Some(asked), Some(own)) => job.mean + slope * (asked - own),
        _ => job.mean,
    }
}

/// How run times go with the owner's estimates: 1 if they are proportional, 0 if these say
/// nothing. A weighted ridge regression.
fn slope(done: &[&JobSample], ln_estimate: Option<f64>) -> f64 {
    if ln_estimate.is_none() {
        return 0.0;
    }
    let pairs: Vec<(f64, f64, f64)> = (done.iter().rev().enumerate())
        .filter_map(|(age, job)| Some((JOB_DECAY.powi(age as i32), job.ln_estimate?, job.mean)))
        .collect();
    let sum: f64 = pairs.iter().map(|(weight, ..)| weight).sum();
    if sum <= 0.0 {
        return 0.0;
    }
    let x_mean = pairs.iter().map(|(w, x, _)| w * x).sum::<f64>() / sum;
    let y_mean = pairs.iter().map(|(w, _, y)| w * y).sum::<f64>() / sum;
    let xx: f64 = (pairs.iter().map(|(w, x, _)| w * (x - x_mean).powi(2))).sum();
    let xy: f64 = (pairs
        .iter()
        .map(|(w, x, y)| w * (x - x_mean) * (y - y_mean)))
    .sum();
    ((xy + SLOPE_RIDGE) / (xx + SLOPE_RIDGE)).clamp(0.0, MAX_SLOPE)
}

/// What each job weighs: less with age, before a change of level, and with another image if images
/// tell run times apart.
fn job_weights(done: &[&JobSample], points: &[f64], image_hash: u16) -> Vec<f64> {
    let changed = last_change(points);
    let images_matter = images_differ(done, points, changed);
    let weight = |(i, job): (usize, &&JobSample)| {
        let age = (done.len() - 1 - i) as i32;
        let mut weight = JOB_DECAY.powi(age);
        if i < changed {
            weight *= CHANGE_DECAY;
        }
        if images_matter && job.image_hash != image_hash {
            weight *= OTHER_IMAGE_WEIGHT;
        }
        weight
    };
    done.iter().enumerate().map(weight).collect()
}

/// Moments of weighted points.
struct Moments {
    weight: f64,
    /// Points of equal weight that would tell as much.
    count: f64,
    mean: f64,
    var: f64,
    unbiased_var: f64,
}

impl Moments {
    /// Of at least one point; weights are above zero.
    fn of(weights: &[f64], points: &[f64]) -> Moments {
        let sum: f64 = weights.iter().sum();
        let squares: f64 = weights.iter().map(|w| w * w).sum();
        let count = sum * sum / squares;
        let mean = dot(weights, points) / sum;
        let deviations = (weights.iter().zip(points)).map(|(w, p)| w * (p - mean).powi(2));
        let var = deviations.sum::<f64>() / sum;
        Moments {
            weight: sum,
            count,
            mean,
            var,
            unbiased_var: var * (count / (count - 1.0).max(0.5)).min(2.0),
        }
    }
}

/// Kernel density: each job spread out by a width that falls with their number, the points
/// drawn together so that the whole keeps the variance of a new job's. `noise` is the part of the
/// variance that comes from means of few tasks.
fn kernels(weights: &[f64], points: &[f64], moments: &Moments, noise: f64) -> Vec<Component> {
    let Moments {
        count,
        mean,
        var,
        unbiased_var,
        ..
    } = *moments;
    let wanted = (unbiased_var * (1.0 + 1.0 / count) - noise).max(MIN_SD * MIN_SD);
    let robust = robust_deviation(weights, points)
        .min(unbiased_var.sqrt())
        .max(MIN_SD);
    let width = (robust * count.powf(-0.2)).min(wanted.sqrt());
    let stretch = match var > 1e-9 {
        true => ((wanted - width * width).max(0.0) / var)
            .sqrt()
            .min(MAX_KERNEL_STRETCH),
        false => 1.0,
    };
    let parts = weights.iter().zip(points).map(|(weight, p)| Component {
        weight: *weight,
        mean: mean + (p - mean) * stretch,
        var: width * width,
    });
    parts.collect()
}
