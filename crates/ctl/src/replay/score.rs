//! How far estimates were off, counted as runs end.

use super::report::{ClassReport, ErrorReport};
use hdrhistogram::Histogram;

/// Errors are told apart to ten-thousandths of a logarithm, up to a factor of e to the 20th.
const ERROR_SCALE: f64 = 1e4;

/// Sizes of |ln(actual / estimate)|.
struct Errors(Option<Histogram<u64>>);

impl Errors {
    fn new() -> Errors {
        Errors(Histogram::new_with_bounds(1, 200_000, 3).ok())
    }
    fn note(&mut self, actual: f64, estimate: f64) {
        let error = (actual.max(1e-3) / estimate.max(1e-3)).ln().abs();
        if let Some(h) = &mut self.0 {
            h.saturating_record((error * ERROR_SCALE).round().max(1.0) as u64);
        }
    }
    fn told(&self) -> Option<ErrorReport> {
        let h = self.0.as_ref().filter(|h| !h.is_empty())?;
        let at = |q| h.value_at_quantile(q) as f64 / ERROR_SCALE;
        Some(ErrorReport {
            median: at(0.5),
            p90: at(0.9),
        })
    }
}

pub(super) struct Score {
    runs: u64,
    firsts: u64,
    within: u64,
    learned: Errors,
    first: Errors,
    owner: Errors,
    mean: Errors,
}

impl Score {
    pub(super) fn new() -> Score {
        Score {
            runs: 0,
            firsts: 0,
            within: 0,
            learned: Errors::new(),
            first: Errors::new(),
            owner: Errors::new(),
            mean: Errors::new(),
        }
    }
    pub(super) fn note(&mut self, said: &ControllerStatus, secs: f64) {
        self.runs += 1;
        self.within += u64::from((said.low_s..=said.high_s).contains(&secs));
        self.learned.note(secs, said.median_s);
        if said.first {
            self.firsts += 1;
            self.first.note(secs, said.median_s);
        }
        if said.expect_s > 0.0 {
            self.owner.note(secs, said.expect_s);
        }
        if let Some(mean) = said.mean_s {
            self.mean.note(secs, mean);
        }
    }
    pub(super) fn told(&self, team: &str, class: &str, jobs: u64) -> ClassReport {
        ClassReport {
            team: team.into(),
            class: class.into(),
            jobs,
            runs: self.runs,
            covered: self.within as f64 / self.runs.max(1) as f64,
            learned: self.learned.told(),
            first_of_job: self.first.told(),
            first_runs: self.firsts,
            owner: self.owner.told(),
            plain_mean: self.mean.told(),
        }
    }
}

/// What was said of a run when it began.
pub(super) struct ControllerStatus {
    pub(super) median_s: f64,
    pub(super) low_s: f64,
    pub(super) high_s: f64,
    pub(super) expect_s: f64,
    pub(super) mean_s: Option<f64>,
    /// No task of its job had completed.
    pub(super) first: bool,
    /// Jobs of its class that had.
    pub(super) jobs: u64,
}
