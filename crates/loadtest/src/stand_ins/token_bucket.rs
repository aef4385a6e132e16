//! A token bucket: the rate limit that the services outside of the controllers enforce.

/// Tokens that come at a steady rate and are kept up to a bound.
pub struct TokenBucket {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// A full bucket that holds `burst_s` seconds' worth of tokens.
    pub fn new(tokens_per_s: f64, burst_s: f64) -> TokenBucket {
        let capacity = tokens_per_s * burst_s;
        TokenBucket {
            tokens_per_ms: tokens_per_s / 1_000.0,
            capacity,
            tokens: capacity,
            updated_ms: 0,
        }
    }

    /// Takes so many tokens if there are that many; false, and none taken, if not.
    pub fn take(&mut self, count: f64, now_ms: u64) -> bool {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.tokens = (self.tokens + passed_ms * self.tokens_per_ms).min(self.capacity);
        self.updated_ms = self.updated_ms.max(now_ms);
        let is_enough = self.tokens >= count;
        if is_enough {
            self.tokens -= count;
        }
        is_enough
    }
}
