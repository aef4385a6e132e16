//! How far estimates were off, counted as runs end.

use super::report::{ClassReport, ErrorReport};
use hdrhistogram::Histogram;

/// Errors are told apart to ten-thousandths of a logarithm, up to a factor of e to the 20th.
const ERROR_SCALE: f64 = 1e4;

/// Sizes of |ln(actual / estimate)|.
struct ErrorHistogram(Option<Histogram<u64>>);

impl ErrorHistogram {
    fn new() -> ErrorHistogram {
        ErrorHistogram(Histogram::new_with_bounds(1, 200_000, 3).ok())
    }

    fn record(&mut self, actual: f64, estimate: f64) {
        let error = (actual.max(1e-3) / estimate.max(1e-3)).ln().abs();
        if let Some(h) = &mut self.0 {
            h.saturating_record((error * ERROR_SCALE).round().max(1.0) as u64);
        }
    }

    fn report(&self) -> Option<ErrorReport> {
        let h = self.0.as_ref().filter(|h| !h.is_empty())?;
        let at = |q| h.value_at_quantile(q) as f64 / ERROR_SCALE;
        Some(ErrorReport {
            median: at(0.5),
            p90: at(0.9),
        })
    }
}

/// Errors of a class's estimates, and of what they are held against.
pub(super) struct Score {
    runs: u64,
    first_runs: u64,
    covered: u64,
    learned: ErrorHistogram,
    first: ErrorHistogram,
    owner: ErrorHistogram,
    mean: ErrorHistogram,
}

impl Score {
    pub(super) fn new() -> Score {
        Score {
            runs: 0,
            first_runs: 0,
            covered: 0,
            learned: ErrorHistogram::new(),
            first: ErrorHistogram::new(),
            owner: ErrorHistogram::new(),
            mean: ErrorHistogram::new(),
        }
    }

    pub(super) fn record(&mut self, prediction: &Prediction, secs: f64) {
        self.runs += 1;
        self.covered += u64::from((prediction.low_s..=prediction.high_s).contains(&secs));
        self.learned.record(secs, prediction.median_s);
        if prediction.is_first_of_job {
            self.first_runs += 1;
            self.first.record(secs, prediction.median_s);
        }
        if prediction.expect_s > 0.0 {
            self.owner.record(secs, prediction.expect_s);
        }
        if let Some(mean) = prediction.mean_s {
            self.mean.record(secs, mean);
        }
    }

    pub(super) fn report(&self, team: &str, class: &str, jobs: u64) -> ClassReport {
        ClassReport {
            team: team.into(),
            class: class.into(),
            jobs,
            runs: self.runs,
            covered: self.covered as f64 / self.runs.max(1) as f64,
            learned: self.learned.report(),
            first_of_job: self.first.report(),
            first_runs: self.first_runs,
            owner: self.owner.report(),
            plain_mean: self.mean.report(),
        }
    }
}

/// What was known of a run when it began. Times in seconds.
pub(super) struct Prediction {
    pub(super) median_s: f64,
    pub(super) low_s: f64,
    pub(super) high_s: f64,
    /// The owner's estimate; 0 for none.
    pub(super) expect_s: f64,
    /// The mean of the class's runs.
    pub(super) mean_s: Option<f64>,
    /// No task of its job had completed.
    pub(super) is_first_of_job: bool,
    /// Jobs of its class of which a task had.
    pub(super) jobs: u64,
}
