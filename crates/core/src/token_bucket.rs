//! A token bucket: limits the rate of changes that a controller makes to the state service.
//!
//! A transaction is built only when it can be sent at once. One that waited in a queue would
//! conflict with changes made meanwhile, and would use up tokens all the same.

use crate::constants::MIN_AVAILABLE_CHANGES;
use crate::model::Millis;

/// Tokens, one for each change, refilled at a steady rate.
pub struct TokenBucket {
    /// Tokens that are added in a millisecond.
    rate_per_ms: f64,
    /// Tokens that it holds when full.
    capacity: f64,
    /// Tokens that it holds; below zero when overdrawn.
    level: f64,
    /// When it was last refilled.
    refilled_at: Millis,
}

impl TokenBucket {
    /// A full bucket, for `per_s` changes a second. `burst_s`: seconds' worth that may be sent at once.
    pub fn new(per_s: f64, burst_s: f64, now: Millis) -> TokenBucket {
        // However low the rate, it holds enough for the smallest transaction that is built.
        let capacity = (per_s * burst_s).max(2.0 * MIN_AVAILABLE_CHANGES as f64);
        TokenBucket {
            rate_per_ms: per_s / 1000.0,
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    /// From now on it is refilled with no more than `per_s` a second.
    pub fn reduce_rate(&mut self, per_s: f64) {
        let ratio = per_s / 1000.0 / self.rate_per_ms;
        if ratio < 1.0 {
            self.rate_per_ms *= ratio;
            self.capacity = (self.capacity * ratio).max(2.0 * MIN_AVAILABLE_CHANGES as f64);
            self.level = self.level.min(0.0);
        }
    }

    /// Changes that may be sent now, if it was refilled `times` as fast as usual.
    pub fn available(&mut self, now: Millis, times: f64) -> usize {
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        self.level =
            (self.level + elapsed_ms * self.rate_per_ms * times).min(self.capacity * times);
        self.refilled_at = self.refilled_at.max(now);
        self.level.max(0.0) as usize
    }

    /// Changes that it holds when full.
    pub fn capacity(&self) -> usize {
        self.capacity as usize
    }

    /// Uses up tokens for `n` changes; what must be sent at once may overdraw it.
    pub fn consume(&mut self, n: usize) {
        self.level -= n as f64;
    }
}
