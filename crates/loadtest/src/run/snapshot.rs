//! All counters at one moment, and the rates between two moments.

use super::setup::LoadTest;
use crate::measurement::figures::WorkerBandwidth;
use crate::measurement::traffic::{ExchangeKind, Traffic};
use std::collections::{BTreeMap, HashMap};
use tokio::time::{Duration, Instant};

/// Seconds that are looked at together for the best rate.
const BEST_OF_S: usize = 10;
/// Least time between two snapshots that rates are divided by.
const MIN_SPAN: Duration = Duration::from_millis(1);

/// Totals of all that is counted, at one moment.
pub struct Snapshot {
    at: Instant,
    traffic: BTreeMap<ExchangeKind, Traffic>,
    record_changes: BTreeMap<String, u64>,
    transactions: BTreeMap<String, u64>,
    /// By worker.
    control_bytes: HashMap<String, u64>,
}

/// Rates per second between two snapshots.
pub struct Rates {
    /// Seconds between them.
    pub seconds: f64,
    /// Exchanges by kind.
    pub traffic: BTreeMap<ExchangeKind, Traffic>,
    /// Changes of the state store by kind of record; those that did not happen are left out.
    pub record_changes: BTreeMap<String, f64>,
    /// Transactions by the kinds of records that they change, likewise.
    pub transactions: BTreeMap<String, f64>,
    /// Bytes for control of the workers that were there at both moments.
    pub worker_bandwidth: WorkerBandwidth,
}

impl Snapshot {
    /// What is counted now.
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

    /// Rates since an earlier snapshot.
    pub fn rates_since(&self, earlier: &Snapshot) -> Rates {
        let seconds = (self.at - earlier.at).max(MIN_SPAN).as_secs_f64();
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

/// The bandwidth of the workers that were there all the time.
fn bandwidth(
    earlier: &HashMap<String, u64>,
    now: &HashMap<String, u64>,
    seconds: f64,
) -> WorkerBandwidth {
    let mut rates: Vec<f64> = (now.iter())
        .filter_map(|(name, bytes)| Some((bytes - earlier.get(name)?) as f64 / seconds))
        .collect();
    rates.sort_by(f64::total_cmp);
    let last = rates.len().saturating_sub(1);
    let quantile = |part: f64| {
        let rate = rates.get((last as f64 * part) as usize);
        rate.copied().unwrap_or(0.0)
    };
    WorkerBandwidth {
        mean: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
        p99: quantile(0.99),
        max: quantile(1.0),
    }
}

/// Mean of counts per second.
pub fn mean(counts: &[u64]) -> f64 {
    counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64
}

/// Highest mean over ten seconds in a row.
pub fn best(counts: &[u64]) -> f64 {
    let spans = counts.windows(BEST_OF_S.min(counts.len()).max(1));
    spans.map(mean).fold(0.0, f64::max)
}
