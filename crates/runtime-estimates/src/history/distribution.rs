//! Computes the distribution of a job's mean run time: a weighted kernel density over the jobs of the history, mixed
//! with the prior while the history is short, and corrected for interrupted runs.

use super::statistics::{dot, images_differ, last_change, robust_deviation};
use super::{History, JobSample};
use crate::constants::{
    CENSORED_EXTENSION_FACTOR, CHANGE_DECAY, JOB_DECAY, MAX_KERNEL_STRETCH, MAX_SLOPE, MIN_SD,
    OTHER_IMAGE_WEIGHT, PRIOR_HALVING_JOBS, PRIOR_JOBS, SLOPE_RIDGE, WITHIN_JOB_MIN_VAR,
    WITHIN_JOB_PRIOR_TASKS,
};
use crate::mixture::{Component, Mixture};

impl History {
    /// Returns the distribution of a job's mean logarithm, given the prior distribution, and the variance of tasks
    /// within a job.
    pub fn mixture(
        &self,
        ln_estimate: Option<f64>,
        image_hash: u16,
        prior: &Mixture,
    ) -> (Mixture, f64) {
        let done: Vec<&JobSample> = self.jobs.iter().filter(|j| j.runs > 0).collect();
        let within_job_var = self.within_job_var.max(WITHIN_JOB_MIN_VAR);
        if done.is_empty() {
            let components = prior.components().to_vec();
            return (
                self.with_censored_runs(components, ln_estimate, 0.0),
                within_job_var,
            );
        }
        let slope = slope(&done, ln_estimate);
        let points: Vec<f64> = (done.iter())
            .map(|job| scaled_mean(job, ln_estimate, slope))
            .collect();
        let weights = job_weights(&done, &points, image_hash);
        let moments = Moments::from_weighted(&weights, &points);
        // Jobs of one task each do not show the variance within jobs. It is then at most half of the observed variance.
        let within_job_var = match self.within_job_tasks > WITHIN_JOB_PRIOR_TASKS {
            true => within_job_var,
            false => within_job_var
                .min(moments.unbiased_var / 2.0)
                .max(WITHIN_JOB_MIN_VAR),
        };
        // The variance within jobs adds to the variance of means of few tasks.
        let noise = (weights.iter().zip(&done)).map(|(w, j)| w / f64::from(j.runs));
        let noise = within_job_var * noise.sum::<f64>() / moments.weight;
        let mut components = kernels(&weights, &points, &moments, noise);
        let prior_weight = PRIOR_JOBS / (1.0 + moments.count / PRIOR_HALVING_JOBS);
        components.extend(prior.components().iter().map(|p| Component {
            weight: p.weight * prior_weight,
            ..*p
        }));
        (
            self.with_censored_runs(components, ln_estimate, slope),
            within_job_var,
        )
    }

    /// Adds the interrupted runs, whose elapsed times are lower bounds: the weight of each is distributed over the
    /// longer run times (Efron's redistribution to the right).
    fn with_censored_runs(
        &self,
        mut components: Vec<Component>,
        ln_estimate: Option<f64>,
        slope: f64,
    ) -> Mixture {
        for (age, job) in self.jobs.iter().rev().enumerate() {
            if job.runs > 0 {
                continue;
            }
            let lower_bound = scaled_mean(job, ln_estimate, slope);
            let weight = JOB_DECAY.powi(age as i32);
            let longer = components.iter().filter(|p| p.mean > lower_bound);
            let longer_weight: f64 = longer.map(|p| p.weight).sum();
            if longer_weight > 0.05 * weight {
                for component in components.iter_mut().filter(|p| p.mean > lower_bound) {
                    component.weight *= 1.0 + weight / longer_weight;
                }
            } else {
                components.push(Component {
                    weight,
                    mean: lower_bound + CENSORED_EXTENSION_FACTOR.ln(),
                    var: (CENSORED_EXTENSION_FACTOR.ln()).powi(2),
                });
            }
        }
        Mixture::new(components)
    }
}

/// Returns a job's mean, scaled to the given estimate of the owner.
fn scaled_mean(job: &JobSample, ln_estimate: Option<f64>, slope: f64) -> f64 {
    match (ln_estimate, job.ln_estimate) {
        (Some(given), Some(own)) => job.mean + slope * (given - own),
        _ => job.mean,
    }
}

/// Returns the slope of run times over the owner's estimates by weighted ridge regression: 1 if they are proportional,
/// 0 if the estimates carry no information.
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

/// Returns the weights of jobs. They fall with age, and are lower before a change of level, and for another image if
/// images distinguish run times.
fn job_weights(done: &[&JobSample], points: &[f64], image_hash: u16) -> Vec<f64> {
    let change_start = last_change(points);
    let images_matter = images_differ(done, points, change_start);
    let weight = |(i, job): (usize, &&JobSample)| {
        let age = (done.len() - 1 - i) as i32;
        let mut weight = JOB_DECAY.powi(age);
        if i < change_start {
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
    /// Effective number of points of equal weight.
    count: f64,
    mean: f64,
    var: f64,
    unbiased_var: f64,
}

impl Moments {
    /// Computes the moments of at least one point. Weights must be positive.
    fn from_weighted(weights: &[f64], points: &[f64]) -> Moments {
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

/// Returns a kernel density. Each job has a kernel whose width falls with the number of jobs. The points are moved
/// towards or away from their mean so that the mixture has the variance of a new job. `noise` is the part of the
/// variance that comes from means of few tasks.
fn kernels(weights: &[f64], points: &[f64], moments: &Moments, noise: f64) -> Vec<Component> {
    let Moments {
        count,
        mean,
        var,
        unbiased_var,
        ..
    } = *moments;
    let target_var = (unbiased_var * (1.0 + 1.0 / count) - noise).max(MIN_SD * MIN_SD);
    let robust = robust_deviation(weights, points)
        .min(unbiased_var.sqrt())
        .max(MIN_SD);
    let width = (robust * count.powf(-0.2)).min(target_var.sqrt());
    let stretch = match var > 1e-9 {
        true => ((target_var - width * width).max(0.0) / var)
            .sqrt()
            .min(MAX_KERNEL_STRETCH),
        false => 1.0,
    };
    let components = weights.iter().zip(points).map(|(weight, p)| Component {
        weight: *weight,
        mean: mean + (p - mean) * stretch,
        var: width * width,
    });
    components.collect()
}
