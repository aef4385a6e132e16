//! A token bucket: keeps this controller within its share of a service's rate.

use tokio::time::{Duration, Instant};

/// Fills steadily; each request takes tokens from it.
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A full bucket. `burst_s`: seconds' worth of requests that may go at once; one always may.
    pub fn new(rate_per_s: f64, burst_s: f64) -> TokenBucket {
        let capacity = (rate_per_s * burst_s).max(1.0);
        TokenBucket {
            rate_per_s,
            capacity,
            level: capacity,
            filled_at: Instant::now(),
        }
    }

    fn fill(&mut self) {
        let now = Instant::now();
        let gained = (now - self.filled_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.capacity);
        self.filled_at = now;
    }

    /// Time until this many tokens may be taken. More than the bucket holds may go when it is full.
    pub fn time_until(&mut self, tokens: f64) -> Duration {
        self.fill();
        let lacking = tokens.min(self.capacity) - self.level;
        Duration::from_secs_f64((lacking / self.rate_per_s).max(0.0))
    }

    /// Takes tokens, and goes into debt where there are too few.
    pub fn take(&mut self, tokens: f64) {
        self.fill();
        self.level -= tokens;
    }

    /// Empties the bucket: the service said that it was asked too much.
    pub fn drain(&mut self) {
        self.fill();
        self.level = self.level.min(0.0);
    }
}

#[cfg(test)]
mod tests;
