//! Counters by name and by second.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Counts by name, for what has no fixed list of kinds.
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

    /// Counts by name.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        lock(&self.counts).clone()
    }
}

/// Something counted in each second of a run.
pub struct PerSecondCounter {
    counts: Vec<AtomicU64>,
}

impl PerSecondCounter {
    /// A counter for a run of so many seconds; what comes later is not counted.
    pub fn new(seconds: usize) -> PerSecondCounter {
        let counts = (0..seconds).map(|_| AtomicU64::new(0)).collect();
        PerSecondCounter { counts }
    }

    /// Adds to the count of the second that contains a moment of the run.
    pub fn add(&self, at_ms: u64, amount: u64) {
        if let Some(count) = self.counts.get((at_ms / 1_000) as usize) {
            count.fetch_add(amount, Relaxed);
        }
    }

    /// Counts by second.
    pub fn totals(&self) -> Vec<u64> {
        let counts = self.counts.iter();
        counts.map(|count| count.load(Relaxed)).collect()
    }
}
