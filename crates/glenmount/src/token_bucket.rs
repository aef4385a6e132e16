//! A token bucket, which keeps this controller within its share of a service's rate limit.

use tokio::time::{Duration, Instant};

/// A bucket that refills at a constant rate and from which each request takes tokens.
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    /// Tokens in the bucket; negative while it is in debt.
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket. `burst_s` is the size of a burst in seconds at the rate; a burst of one token is
    /// always possible.
    pub fn new(rate_per_s: f64, burst_s: f64) -> TokenBucket {
        let capacity = (rate_per_s * burst_s).max(1.0);
        TokenBucket {
            rate_per_s,
            capacity,
            level: capacity,
            refilled_at: Instant::now(),
        }
    }

    /// Adds the tokens gained since the last refill.
    fn refill(&mut self) {
        let now = Instant::now();
        let gained_tokens = (now - self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained_tokens).min(self.capacity);
        self.refilled_at = now;
    }

    /// Returns the time until this many tokens may be taken. More tokens than the capacity may be taken when the
    /// bucket is full.
    pub fn time_until(&mut self, tokens: f64) -> Duration {
        self.refill();
        let missing_tokens = tokens.min(self.capacity) - self.level;
        Duration::from_secs_f64((missing_tokens / self.rate_per_s).max(0.0))
    }

    /// Takes tokens. The bucket goes into debt if it has too few.
    pub fn take(&mut self, tokens: f64) {
        self.refill();
        self.level -= tokens;
    }

    /// Empties the bucket after the service rejected a request because of its rate limit. A debt remains.
    pub fn drain(&mut self) {
        self.refill();
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
mod tests;
