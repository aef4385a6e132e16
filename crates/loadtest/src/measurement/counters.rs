//! What passes between the controllers and everybody else, counted by kind, and how long things take.

use crate::network::partitions::lock;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Kinds of exchanges; all but the last four are begun by controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExchangeKind {
    StateTransaction,
    StateRead,
    StateList,
    StateWatch,
    StateLease,
    CloudCatalog,
    CloudList,
    #[serde(rename = "cloud_rent")]
    CloudProvision,
    CloudDelete,
    WorkerCommand,
    WorkerStatus,
    #[serde(rename = "sibling")]
    Peer,
    #[serde(rename = "worker_report")]
    WorkerHeartbeat,
    UserSubmit,
    UserPoll,
    UserCancel,
    UserReady,
}

/// The name that tables print.
impl fmt::Display for ExchangeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ExchangeKind::Peer => f.write_str("Sibling"),
            ExchangeKind::WorkerHeartbeat => f.write_str("WorkerReport"),
            ExchangeKind::CloudProvision => f.write_str("CloudRent"),
            kind => fmt::Debug::fmt(kind, f),
        }
    }
}

pub const EXCHANGE_KINDS: [ExchangeKind; 17] = [
    ExchangeKind::StateTransaction,
    ExchangeKind::StateRead,
    ExchangeKind::StateList,
    ExchangeKind::StateWatch,
    ExchangeKind::StateLease,
    ExchangeKind::CloudCatalog,
    ExchangeKind::CloudList,
    ExchangeKind::CloudProvision,
    ExchangeKind::CloudDelete,
    ExchangeKind::WorkerCommand,
    ExchangeKind::WorkerStatus,
    ExchangeKind::Peer,
    ExchangeKind::WorkerHeartbeat,
    ExchangeKind::UserSubmit,
    ExchangeKind::UserPoll,
    ExchangeKind::UserCancel,
    ExchangeKind::UserReady,
];

/// Exchanges of one kind. Bytes are those of HTTP heads and bodies, or of the siblings' frames, without
/// the network's own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    pub exchanges: f64,
    pub request_bytes: f64,
    pub answer_bytes: f64,
}

impl Traffic {
    pub fn minus(self, before: Traffic) -> Traffic {
        Traffic {
            exchanges: self.exchanges - before.exchanges,
            request_bytes: self.request_bytes - before.request_bytes,
            answer_bytes: self.answer_bytes - before.answer_bytes,
        }
    }

    pub fn per(self, seconds: f64) -> Traffic {
        Traffic {
            exchanges: self.exchanges / seconds,
            request_bytes: self.request_bytes / seconds,
            answer_bytes: self.answer_bytes / seconds,
        }
    }

    pub fn bytes(self) -> f64 {
        self.request_bytes + self.answer_bytes
    }
}

#[derive(Default)]
struct Counter {
    exchanges: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// Exchanges of each kind since the start.
#[derive(Default)]
pub struct TrafficCounters([Counter; EXCHANGE_KINDS.len()]);

impl TrafficCounters {
    pub fn count(&self, kind: ExchangeKind, request_bytes: u64, answer_bytes: u64) {
        let counter = &self.0[kind as usize];
        counter.exchanges.fetch_add(1, Relaxed);
        counter.request_bytes.fetch_add(request_bytes, Relaxed);
        counter.answer_bytes.fetch_add(answer_bytes, Relaxed);
    }

    pub fn now(&self) -> BTreeMap<ExchangeKind, Traffic> {
        let each = EXCHANGE_KINDS.iter().zip(&self.0);
        each.map(|(kind, counter)| {
            let traffic = Traffic {
                exchanges: counter.exchanges.load(Relaxed) as f64,
                request_bytes: counter.request_bytes.load(Relaxed) as f64,
                answer_bytes: counter.answer_bytes.load(Relaxed) as f64,
            };
            (*kind, traffic)
        })
        .collect()
    }
}

/// Counts by name, for what has no fixed list of kinds.
#[derive(Default)]
pub struct NamedCounters(Mutex<BTreeMap<String, u64>>);

impl NamedCounters {
    pub fn add(&self, name: &str, amount: u64) {
        let mut counts = lock(&self.0);
        match counts.get_mut(name) {
            Some(count) => *count += amount,
            None => {
                counts.insert(name.to_string(), amount);
            }
        }
    }

    pub fn now(&self) -> BTreeMap<String, u64> {
        lock(&self.0).clone()
    }
}

/// What has a time of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatencyKind {
    /// From a user's first try to the acceptance.
    Acceptance,
    /// From a job's submission to a task of it on a machine, critical and high ranks.
    UrgentStart,
    StandardStart,
    /// From a task's stop, or the loss of its machine, to its next start.
    UrgentRestart,
    StandardRestart,
    /// From a task's end to the command that its worker may forget it.
    ResultRecorded,
    /// From a job's last end to the answer that it is done.
    #[serde(rename = "done_told")]
    CompletionReported,
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

pub const LATENCY_KINDS: [LatencyKind; 11] = [
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

/// Longest time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
const DIGITS: u8 = 3;

/// Milliseconds that things took.
pub struct Latencies([Mutex<Histogram<u32>>; LATENCY_KINDS.len()]);

impl Default for Latencies {
    fn default() -> Latencies {
        let new = || Histogram::new_with_bounds(1, LONGEST_MS, DIGITS);
        Latencies(std::array::from_fn(|_| {
            Mutex::new(new().unwrap_or_else(|_| unreachable!("bounds are constants")))
        }))
    }
}

/// A distribution in short.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

impl Latencies {
    pub fn record(&self, what: LatencyKind, took_ms: u64) {
        lock(&self.0[what as usize]).saturating_record(took_ms.max(1));
    }

    /// Begins anew, but for what is timed at the start of processes.
    pub fn clear(&self) {
        for (what, histogram) in LATENCY_KINDS.iter().zip(&self.0) {
            if *what != LatencyKind::ControllerReady {
                lock(histogram).reset();
            }
        }
    }

    pub fn now(&self) -> BTreeMap<LatencyKind, Quantiles> {
        let each = LATENCY_KINDS.iter().zip(&self.0);
        each.map(|(what, histogram)| {
            let histogram = lock(histogram);
            let quantiles = Quantiles {
                count: histogram.len(),
                p50_ms: histogram.value_at_quantile(0.5),
                p99_ms: histogram.value_at_quantile(0.99),
                max_ms: histogram.max(),
            };
            (*what, quantiles)
        })
        .collect()
    }
}

/// Something counted in each second of a run.
pub struct PerSecondCounter(Vec<AtomicU64>);

impl PerSecondCounter {
    pub fn new(seconds: usize) -> PerSecondCounter {
        PerSecondCounter((0..seconds).map(|_| AtomicU64::new(0)).collect())
    }

    pub fn add(&self, at_ms: u64, amount: u64) {
        if let Some(count) = self.0.get((at_ms / 1_000) as usize) {
            count.fetch_add(amount, Relaxed);
        }
    }

    pub fn now(&self) -> Vec<u64> {
        self.0.iter().map(|count| count.load(Relaxed)).collect()
    }
}
