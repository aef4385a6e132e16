//! How long things take, as distributions.

use crate::sync::lock;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::array;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyKind {
    /// From a user's first try to the acceptance.
    Acceptance,
    /// From a job's submission to a task of it on a worker, critical and high priorities.
    UrgentStart,
    /// The same for the other priorities.
    StandardStart,
    /// From a task's stop, or the loss of its worker, to its next start, critical and high priorities.
    UrgentRestart,
    /// The same for the other priorities.
    StandardRestart,
    /// From a task's end to the command that its worker may forget it.
    ResultRecorded,
    /// From a job's last end to the answer that it is done.
    #[serde(rename = "done_told")]
    CompletionReported,
    /// From a user's first cancellation to the answer.
    #[serde(rename = "cancellation_told")]
    CancellationReported,
    /// From a configuration's commit to a controller's word, on record, that it follows that version.
    #[serde(rename = "in_force")]
    ConfigurationInForce,
    /// From an operator's command to its end.
    ConfigurationChange,
    /// From the start of a controller's process to its readiness; also before the measured time.
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

/// The name that tables print.
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

/// A distribution in short.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Longest.
    pub max_ms: u64,
}

/// Distributions of the times of each kind.
pub struct Latencies {
    /// Milliseconds, in the order of `LatencyKind::ALL`.
    histograms: [Mutex<Histogram<u32>>; LatencyKind::ALL.len()],
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = || {
            Histogram::new_with_bounds(1, LONGEST_MS, SIGNIFICANT_DIGITS)
                .expect("the bounds are constants that a histogram accepts")
        };
        Latencies {
            histograms: array::from_fn(|_| Mutex::new(histogram())),
        }
    }
}

impl Latencies {
    /// Records one time.
    pub fn record(&self, kind: LatencyKind, took_ms: u64) {
        lock(&self.histograms[kind as usize]).saturating_record(took_ms.max(1));
    }

    /// Forgets all times but those of the start of processes.
    pub fn clear(&self) {
        for (kind, histogram) in LatencyKind::ALL.into_iter().zip(&self.histograms) {
            if kind != LatencyKind::ControllerReady {
                lock(histogram).reset();
            }
        }
    }

    /// The distributions so far, by kind.
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
