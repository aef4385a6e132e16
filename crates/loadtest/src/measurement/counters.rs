//! Counters by name and counters per second.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Counters by name, for events without a fixed set of kinds.
#[derive(Default)]
pub struct NamedCounters {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl NamedCounters {
    /// Adds to the count of a name.
    pub fn add(&self, name: &str, amount: u64) {
        let mut counts = lock(&self.counts);
        match counts.get_mut(name) {
            Some(count) => *count += amount,
            None => {
                counts.insert(name.to_string(), amount);
            }
        }
    }

    /// Returns all counts by name.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        lock(&self.counts).clone()
    }
}

/// A counter of events in each second of a run.
pub struct PerSecondCounter {
    counts: Vec<AtomicU64>,
}

impl PerSecondCounter {
    /// Creates a counter for the first `seconds` of a run; later events aren't counted.
    pub fn new(seconds: usize) -> PerSecondCounter {
        let counts = (0..seconds).map(|_| AtomicU64::new(0)).collect();
        PerSecondCounter { counts }
    }

    /// Adds to the count of the second that contains `at_ms`, in milliseconds of the run.
    pub fn add(&self, at_ms: u64, amount: u64) {
        if let Some(count) = self.counts.get((at_ms / 1_000) as usize) {
            count.fetch_add(amount, Relaxed);
        }
    }

    /// Returns all counts by second.
    pub fn totals(&self) -> Vec<u64> {
        let counts = self.counts.iter();
        counts.map(|count| count.load(Relaxed)).collect()
    }
}
