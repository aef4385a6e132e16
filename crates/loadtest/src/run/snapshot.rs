//! Snapshots of all counters, and the rates between two snapshots.

use super::setup::LoadTest;
use crate::measurement::figures::WorkerBandwidth;
use crate::measurement::traffic::{ExchangeKind, Traffic};
use std::collections::{BTreeMap, HashMap};
use tokio::time::{Duration, Instant};

/// Length of the window over which the best rate is averaged.
const BEST_RATE_WINDOW_S: usize = 10;
/// Lower bound of the time that rates are divided by, so that the divisor is never 0.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// The totals of all counters at one moment.
pub struct Snapshot {
    at: Instant,
    traffic: BTreeMap<ExchangeKind, Traffic>,
    record_changes: BTreeMap<String, u64>,
    transactions: BTreeMap<String, u64>,
    /// Bytes of control traffic by worker.
    control_bytes: HashMap<String, u64>,
}

/// The rates per second between two snapshots.
pub struct Rates {
    /// Seconds between the snapshots.
    pub seconds: f64,
    /// Exchanges by kind.
    pub traffic: BTreeMap<ExchangeKind, Traffic>,
    /// Changes of the state store by kind of record, without kinds whose rate is 0.
    pub record_changes: BTreeMap<String, f64>,
    /// Transactions by the kinds of records that they change, without those whose rate is 0.
    pub transactions: BTreeMap<String, f64>,
    /// Control traffic of the workers that are in both snapshots.
    pub worker_bandwidth: WorkerBandwidth,
}

impl Snapshot {
    /// Takes a snapshot of all counters.
    pub fn take(load_test: &LoadTest) -> Snapshot {
        let environment = &load_test.environment;
        Snapshot {
            at: Instant::now(),
            traffic: environment.traffic.totals(),
            record_changes: environment.record_changes.totals(),
            transactions: environment.transactions.totals(),
            control_bytes: load_test.fleet.control_bytes(),
        }
    }

    /// Returns the rates since an earlier snapshot.
    pub fn rates_since(&self, earlier: &Snapshot) -> Rates {
        let seconds = (self.at - earlier.at).max(MIN_INTERVAL).as_secs_f64();
        let traffic = self.traffic.iter().map(|(kind, traffic)| {
            let before = earlier.traffic.get(kind).copied().unwrap_or_default();
            (*kind, traffic.since(before).per_second(seconds))
        });
        Rates {
            seconds,
            traffic: traffic.collect(),
            record_changes: rates(&earlier.record_changes, &self.record_changes, seconds),
            transactions: rates(&earlier.transactions, &self.transactions, seconds),
            worker_bandwidth: bandwidth(&earlier.control_bytes, &self.control_bytes, seconds),
        }
    }
}

fn rates(
    earlier: &BTreeMap<String, u64>,
    now: &BTreeMap<String, u64>,
    seconds: f64,
) -> BTreeMap<String, f64> {
    let rates = now.iter().map(|(name, count)| {
        let before = earlier.get(name).copied().unwrap_or(0);
        (name.clone(), (count - before) as f64 / seconds)
    });
    rates.filter(|(_, rate)| *rate > 0.0).collect()
}

/// Returns the bandwidth of the workers that are in both snapshots.
fn bandwidth(
    earlier: &HashMap<String, u64>,
    now: &HashMap<String, u64>,
    seconds: f64,
) -> WorkerBandwidth {
    let mut rates: Vec<f64> = (now.iter())
        .filter_map(|(name, bytes)| Some((bytes - earlier.get(name)?) as f64 / seconds))
        .collect();
    rates.sort_by(f64::total_cmp);
    let last_index = rates.len().saturating_sub(1);
    let quantile = |share: f64| {
        let rate = rates.get((last_index as f64 * share) as usize);
        rate.copied().unwrap_or(0.0)
    };
    WorkerBandwidth {
        mean: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
        p99: quantile(0.99),
        max: quantile(1.0),
    }
}

/// Returns the mean of counts per second.
pub fn mean(counts: &[u64]) -> f64 {
    counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64
}

/// Returns the highest mean over ten consecutive seconds.
pub fn max_window_mean(counts: &[u64]) -> f64 {
    let windows = counts.windows(BEST_RATE_WINDOW_S.min(counts.len()).max(1));
    windows.map(mean).fold(0.0, f64::max)
}
