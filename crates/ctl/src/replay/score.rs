//! Counts the errors of estimates.

use super::report::{ClassReport, ErrorQuantiles};
use hdrhistogram::Histogram;

/// The histogram counts errors in ten-thousandths of a logarithm, up to 20.
const ERROR_SCALE: f64 = 1e4;

/// A histogram of |ln(actual / estimate)|.
struct ErrorHistogram(Option<Histogram<u64>>);

impl ErrorHistogram {
    fn new() -> ErrorHistogram {
        ErrorHistogram(Histogram::new_with_bounds(1, 200_000, 3).ok())
    }

    fn record(&mut self, actual: f64, estimate: f64) {
        let error = (actual.max(1e-3) / estimate.max(1e-3)).ln().abs();
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((error * ERROR_SCALE).round().max(1.0) as u64);
        }
    }

    fn report(&self) -> Option<ErrorQuantiles> {
        let histogram = self.0.as_ref().filter(|h| !h.is_empty())?;
        let quantile = |q| histogram.value_at_quantile(q) as f64 / ERROR_SCALE;
        Some(ErrorQuantiles {
            median: quantile(0.5),
            p90: quantile(0.9),
        })
    }
}

/// Errors of the estimates of a class, of its owners' estimates, and of the mean of its earlier runs.
pub(super) struct Score {
    runs: u64,
    first_runs: u64,
    within_interval: u64,
    learned: ErrorHistogram,
    first_of_job: ErrorHistogram,
    owner: ErrorHistogram,
    plain_mean: ErrorHistogram,
}

impl Score {
    pub(super) fn new() -> Score {
        Score {
            runs: 0,
            first_runs: 0,
            within_interval: 0,
            learned: ErrorHistogram::new(),
            first_of_job: ErrorHistogram::new(),
            owner: ErrorHistogram::new(),
            plain_mean: ErrorHistogram::new(),
        }
    }

    pub(super) fn record(&mut self, prediction: &Prediction, run_time_s: f64) {
        self.runs += 1;
        self.within_interval +=
            u64::from((prediction.low_s..=prediction.high_s).contains(&run_time_s));
        self.learned.record(run_time_s, prediction.median_s);
        if prediction.is_first_of_job {
            self.first_runs += 1;
            self.first_of_job.record(run_time_s, prediction.median_s);
        }
        if prediction.owner_estimate_s > 0.0 {
            self.owner.record(run_time_s, prediction.owner_estimate_s);
        }
        if let Some(mean) = prediction.mean_s {
            self.plain_mean.record(run_time_s, mean);
        }
    }

    pub(super) fn report(&self, team: &str, class: &str, jobs: u64) -> ClassReport {
        ClassReport {
            team: team.into(),
            class: class.into(),
            jobs,
            runs: self.runs,
            coverage: self.within_interval as f64 / self.runs.max(1) as f64,
            learned: self.learned.report(),
            first_of_job: self.first_of_job.report(),
            first_runs: self.first_runs,
            owner: self.owner.report(),
            plain_mean: self.plain_mean.report(),
        }
    }
}

/// The estimates of a run at its start.
pub(super) struct Prediction {
    pub(super) median_s: f64,
    pub(super) low_s: f64,
    pub(super) high_s: f64,
    /// The owner's estimate, or 0 if there is none.
    pub(super) owner_estimate_s: f64,
    /// The mean of the class's completed runs.
    pub(super) mean_s: Option<f64>,
    /// Whether no task of the job had completed.
    pub(super) is_first_of_job: bool,
    /// Jobs of the class with a completed task.
    pub(super) jobs: u64,
}
