//! A token bucket that limits the rate of changes of a controller to the state store.
//!
//! A transaction is built only when it can be sent at once. A queued transaction would conflict with
//! the changes made meanwhile, and would use tokens nevertheless.

use crate::constants::MIN_AVAILABLE_CHANGES;
use crate::model::Millis;

/// A bucket with one token for each change, refilled at a steady rate.
pub struct TokenBucket {
    /// Tokens added per millisecond.
    rate_per_ms: f64,
    /// Tokens in the full bucket.
    capacity: f64,
    /// Tokens in the bucket; negative when overdrawn.
    level: f64,
    /// Time of the last refill.
    refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a full bucket for `per_s` changes per second and a burst of `burst_s` seconds of that rate.
    pub fn new(per_s: f64, burst_s: f64, now: Millis) -> TokenBucket {
        // However low the rate, a full bucket holds enough for the smallest transaction that is built.
        let capacity = (per_s * burst_s).max(2.0 * MIN_AVAILABLE_CHANGES as f64);
        TokenBucket {
            rate_per_ms: per_s / 1000.0,
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    /// Lowers the rate to `per_s` changes per second, if it is higher.
    pub fn reduce_rate(&mut self, per_s: f64) {
        let ratio = per_s / 1000.0 / self.rate_per_ms;
        if ratio < 1.0 {
            self.rate_per_ms *= ratio;
            self.capacity = (self.capacity * ratio).max(2.0 * MIN_AVAILABLE_CHANGES as f64);
            self.level = self.level.min(0.0);
        }
    }

    /// Returns the changes that may be sent now. `rate_factor`: multiple of the usual rate since the last refill.
    pub fn available(&mut self, now: Millis, rate_factor: f64) -> usize {
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        self.level = (self.level + elapsed_ms * self.rate_per_ms * rate_factor)
            .min(self.capacity * rate_factor);
        self.refilled_at = self.refilled_at.max(now);
        self.level.max(0.0) as usize
    }

    /// Returns the changes that a full bucket allows.
    pub fn capacity(&self) -> usize {
        self.capacity as usize
    }

    /// Consumes the tokens of `changes` changes. A transaction that must be sent at once may overdraw the bucket.
    pub fn consume(&mut self, changes: usize) {
        self.level -= changes as f64;
    }
}
