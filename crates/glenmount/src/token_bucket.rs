//! A controller's share of a service's rate, as a bucket that fills steadily.

use tokio::time::{Duration, Instant};

pub struct TokenBucket {
    rate: f64,
    most: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// `burst_s`: seconds' worth of requests that may go at once.
    pub fn new(rate: f64, burst_s: f64) -> TokenBucket {
        let most = (rate * burst_s).max(1.0);
        TokenBucket {
            rate,
            most,
            level: most,
            at: Instant::now(),
        }
    }

    fn fill(&mut self) {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.most);
        self.at = now;
    }

    /// Time until `n` may be taken. More than the bucket holds may go when it is full.
    pub fn time_until(&mut self, n: f64) -> Duration {
        self.fill();
        let lacking = n.min(self.most) - self.level;
        Duration::from_secs_f64((lacking / self.rate).max(0.0))
    }

    pub fn take(&mut self, n: f64) {
        self.fill();
        self.level -= n;
    }

    /// The service said that too much was asked: start from an empty bucket.
    pub fn drain(&mut self) {
        self.fill();
        self.level = self.level.min(0.0);
    }
}
