//! Token bucket, the rate limit of the state store and the cloud.

/// A bucket that is refilled at a constant rate up to its capacity.
pub struct TokenBucket {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket whose capacity is `burst_s` seconds' worth of tokens.
    pub fn new(tokens_per_s: f64, burst_s: f64) -> TokenBucket {
        let capacity = tokens_per_s * burst_s;
        TokenBucket {
            tokens_per_ms: tokens_per_s / 1_000.0,
            capacity,
            tokens: capacity,
            updated_ms: 0,
        }
    }

    /// Takes `count` tokens and returns true, or takes none and returns false if there are fewer.
    pub fn take(&mut self, count: f64, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * self.tokens_per_ms).min(self.capacity);
        self.updated_ms = self.updated_ms.max(now_ms);
        let is_enough = self.tokens >= count;
        if is_enough {
            self.tokens -= count;
        }
        is_enough
    }
}
