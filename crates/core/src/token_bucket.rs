//! A controller's share of the state service's changes, as a bucket that fills steadily.
//!
//! A transaction is only drafted when it can go at once. One that waited in line for its turn
//! would meet records that have changed meanwhile, fail, and cost its changes all the same.

use crate::constants::MIN_CHANGES;
use crate::model::Millis;

pub struct TokenBucket {
    per_ms: f64,
    most: f64,
    level: f64,
    at: Millis,
}

impl TokenBucket {
    /// `burst_s`: seconds' worth that may go at once.
    pub fn new(per_s: f64, burst_s: f64, now: Millis) -> TokenBucket {
        // However low the rate, it fills far enough for the least that is drafted.
        let most = (per_s * burst_s).max(2.0 * MIN_CHANGES as f64);
        TokenBucket {
            per_ms: per_s / 1000.0,
            most,
            level: most,
            at: now,
        }
    }

    /// From now on it fills no faster than this.
    pub fn slow_down(&mut self, per_s: f64) {
        let part = per_s / 1000.0 / self.per_ms;
        if part < 1.0 {
            self.per_ms *= part;
            self.most = (self.most * part).max(2.0 * MIN_CHANGES as f64);
            self.level = self.level.min(0.0);
        }
    }

    /// Changes that may be sent now, when the bucket has been filling `times` as fast as usual.
    pub fn left(&mut self, now: Millis, times: f64) -> usize {
        let passed = now.saturating_sub(self.at) as f64;
        self.level = (self.level + passed * self.per_ms * times).min(self.most * times);
        self.at = self.at.max(now);
        self.level.max(0.0) as usize
    }

    /// Changes that it holds when full.
    pub fn most(&self) -> usize {
        self.most as usize
    }

    /// What must go at once may overdraw it.
    pub fn take(&mut self, n: usize) {
        self.level -= n as f64;
    }
}
