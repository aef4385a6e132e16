//! Latencies by kind, as distributions.

use crate::sync::lock;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::array;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

/// Upper bound of the histograms; longer latencies count as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The kind of a latency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyKind {
    /// From a user's first submission to the acceptance.
    Acceptance,
    /// From a job's submission to the first start of a task, for critical and high priority.
    UrgentStart,
    /// From a job's submission to the first start of a task, for standard and low priority.
    StandardStart,
    /// From a task's stop or the loss of its worker to its next start, for critical and high priority.
    UrgentRestart,
    /// From a task's stop or the loss of its worker to its next start, for standard and low priority.
    StandardRestart,
    /// From a task's completion to the controller's command to forget it.
    ResultRecorded,
    /// From the completion of a job's last task to the answer that the job is done.
    #[serde(rename = "done_told")]
    CompletionReported,
    /// From a user's first cancellation request to its answer.
    #[serde(rename = "cancellation_told")]
    CancellationReported,
    /// From a configuration's commit to a controller's record that it follows that version.
    #[serde(rename = "in_force")]
    ConfigurationInForce,
    /// From the start to the end of an operator's command.
    ConfigurationChange,
    /// From the start of a controller's process to its readiness, also before the measured phase.
    ControllerReady,
}

impl LatencyKind {
    /// All kinds, in the order of the enumeration.
    pub const ALL: [LatencyKind; 11] = [
        LatencyKind::Acceptance,
        LatencyKind::UrgentStart,
        LatencyKind::StandardStart,
        LatencyKind::UrgentRestart,
        LatencyKind::StandardRestart,
        LatencyKind::ResultRecorded,
        LatencyKind::CompletionReported,
        LatencyKind::CancellationReported,
        LatencyKind::ConfigurationInForce,
        LatencyKind::ConfigurationChange,
        LatencyKind::ControllerReady,
    ];
}

/// Prints the name that tables use.
impl fmt::Display for LatencyKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LatencyKind::CompletionReported => f.write_str("DoneTold"),
            LatencyKind::CancellationReported => f.write_str("CancellationTold"),
            LatencyKind::ConfigurationInForce => f.write_str("InForce"),
            kind => fmt::Debug::fmt(kind, f),
        }
    }
}

/// The summary of a distribution.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of latencies.
    pub count: u64,
    /// Median latency.
    pub p50_ms: u64,
    /// 99th percentile of the latencies.
    pub p99_ms: u64,
    /// Longest latency.
    pub max_ms: u64,
}

/// The distributions of the latencies of each kind.
pub struct Latencies {
    /// Histograms in milliseconds, in the order of [`LatencyKind::ALL`].
    histograms: [Mutex<Histogram<u32>>; LatencyKind::ALL.len()],
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
                .expect("the bounds are constants that a histogram accepts")
        };
        Latencies {
            histograms: array::from_fn(|_| Mutex::new(histogram())),
        }
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&self, kind: LatencyKind, latency_ms: u64) {
        lock(&self.histograms[kind as usize]).saturating_record(latency_ms.max(1));
    }

    /// Clears all latencies except [`LatencyKind::ControllerReady`].
    pub fn clear(&self) {
        for (kind, histogram) in LatencyKind::ALL.into_iter().zip(&self.histograms) {
            if kind != LatencyKind::ControllerReady {
                lock(histogram).reset();
            }
        }
    }

    /// Returns the summaries of all distributions by kind.
    pub fn quantiles(&self) -> BTreeMap<LatencyKind, Quantiles> {
        let kinds = LatencyKind::ALL.into_iter().zip(&self.histograms);
        kinds
            .map(|(kind, histogram)| (kind, quantiles(&lock(histogram))))
            .collect()
    }
}

fn quantiles(histogram: &Histogram<u32>) -> Quantiles {
    Quantiles {
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
