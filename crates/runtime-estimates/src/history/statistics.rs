//! Statistics of weighted jobs: medians, quartiles, changes of level, and whether images distinguish run times.

use super::JobSample;
use crate::constants::{
    CHANGE_MIN_DEVIATIONS, CHANGE_MIN_ERRORS, CHANGE_MIN_JOBS, CHANGE_MIN_SD,
    IMAGE_MIN_EXPLAINED_SHARE, IMAGE_MIN_JOBS, MEDIAN_ERROR_FACTOR,
};
use std::collections::BTreeMap;

/// Distance between the quartiles of a normal distribution, in standard deviations.
const QUARTILE_DISTANCE: f64 = 1.349;
/// Standard deviation of a normal distribution relative to its median absolute deviation.
const DEVIATION_PER_MAD: f64 = 1.4826;

pub(super) fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        n if n % 2 == 1 => sorted[n / 2],
        n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// Returns the standard deviation estimated from the weighted quartiles, which a single outlier does not change.
pub(super) fn robust_deviation(weights: &[f64], points: &[f64]) -> f64 {
    let mut sorted: Vec<(f64, f64)> = points
        .iter()
        .copied()
        .zip(weights.iter().copied())
        .collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let sum: f64 = weights.iter().sum();
    let quantile = |share: f64| {
        let mut below = 0.0;
        for (p, w) in &sorted {
            below += w;
            if below >= share * sum {
                return *p;
            }
        }
        sorted.last().map_or(0.0, |(p, _)| *p)
    };
    (quantile(0.75) - quantile(0.25)) / QUARTILE_DISTANCE
}

/// Returns the index of the first job after the latest change of level: the one from which on the median differs most,
/// and by more than chance, from that of the jobs before. Returns 0 if there was no change.
pub(super) fn last_change(points: &[f64]) -> usize {
    let mut best = (CHANGE_MIN_ERRORS, 0);
    for start in CHANGE_MIN_JOBS..points.len().saturating_sub(CHANGE_MIN_JOBS - 1) {
        let (before, after) = points.split_at(start);
        if after.len() < CHANGE_MIN_JOBS {
            break;
        }
        let level = median(before);
        let deviations: Vec<f64> = before.iter().map(|p| (p - level).abs()).collect();
        let sd = (median(&deviations) * DEVIATION_PER_MAD).max(CHANGE_MIN_SD);
        let change = median(after) - level;
        // All later jobs must lie on one side: a class with two kinds of work alternates between two levels.
        if !after
            .iter()
            .all(|p| (p - level) * change.signum() > CHANGE_MIN_DEVIATIONS * sd)
        {
            continue;
        }
        let inverse_counts = 1.0 / after.len() as f64 + 1.0 / before.len() as f64;
        let errors = change.abs() / (sd * MEDIAN_ERROR_FACTOR * inverse_counts.sqrt());
        if errors > best.0 {
            best = (errors, start);
        }
    }
    best.1
}

/// Returns whether the image of a job explains a large part of the variance of run times since the latest change.
pub(super) fn images_differ(done: &[&JobSample], points: &[f64], change_start: usize) -> bool {
    let mut groups: BTreeMap<u16, Vec<f64>> = Default::default();
    for (job, point) in done.iter().zip(points).skip(change_start) {
        groups.entry(job.image_hash).or_default().push(*point);
    }
    groups.retain(|_, points| points.len() >= 2);
    let all: Vec<f64> = groups.values().flatten().copied().collect();
    if groups.len() < 2 || all.len() < IMAGE_MIN_JOBS {
        return false;
    }
    let mean_of = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64;
    let mean = mean_of(&all);
    let total: f64 = all.iter().map(|p| (p - mean).powi(2)).sum();
    let within_groups: f64 = (groups.values())
        .map(|g| {
            let group_mean = mean_of(g);
            g.iter().map(|p| (p - group_mean).powi(2)).sum::<f64>()
        })
        .sum();
    // Divided by the degrees of freedom, so that many small groups do not explain variance by their number alone.
    let degrees_of_freedom = (all.len() - groups.len()).max(1) as f64;
    let share =
        1.0 - (within_groups / degrees_of_freedom) / (total / (all.len() - 1) as f64).max(1e-9);
    all.len() > groups.len() && share > IMAGE_MIN_EXPLAINED_SHARE
}
