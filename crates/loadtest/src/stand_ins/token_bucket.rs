//! A rate with a burst of so many seconds' worth, as the outside services enforce it.

/// Tokens that come at a steady rate and are kept up to a bound.
pub struct TokenBucket {
    per_ms: f64,
    most: f64,
    left: f64,
    at_ms: u64,
}

impl TokenBucket {
    pub fn new(per_second: f64, burst_s: f64) -> TokenBucket {
        let most = per_second * burst_s;
        TokenBucket {
            per_ms: per_second / 1_000.0,
            most,
            left: most,
            at_ms: 0,
        }
    }

    /// Takes `amount` if there is so much.
    pub fn take(&mut self, amount: f64, now_ms: u64) -> bool {
        let passed = now_ms.saturating_sub(self.at_ms) as f64;
        self.left = (self.left + passed * self.per_ms).min(self.most);
        self.at_ms = self.at_ms.max(now_ms);
        let enough = self.left >= amount;
        if enough {
            self.left -= amount;
        }
        enough
    }
}
