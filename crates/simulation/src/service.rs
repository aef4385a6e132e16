//! What the outside services take: requests and changes a second, calls, how late lists are.

use glenmount_core::model::CloudInstance;
use std::collections::VecDeque;

/// A bucket that holds one second's worth, as the services allow.
#[derive(Clone, Debug)]
pub struct Rate {
    per_s: f64,
    burst_s: f64,
    level: f64,
    at: u64,
}

impl Rate {
    pub fn new(per_s: f64, burst_s: f64) -> Rate {
        Rate {
            per_s,
            burst_s,
            level: per_s * burst_s,
            at: 0,
        }
    }
    pub fn takes(&mut self, now: u64, n: f64) -> bool {
        let passed = (now - self.at) as f64 / 1e3;
        self.at = now;
        self.level = (self.level + passed * self.per_s).min(self.per_s * self.burst_s);
        let fits = self.level >= n;
        if fits {
            self.level -= n;
        }
        fits
    }
}

/// Absent: without limit.
#[derive(Default)]
pub struct Limited {
    pub requests: Option<Rate>,
    pub changes: Option<Rate>,
    pub cloud: Option<Rate>,
    /// Workers' connections that a controller holds.
    pub sockets: Option<usize>,
    /// Milliseconds by which the cloud's list lags.
    pub list_lag_ms: u64,
    /// Requests that were refused for being too many.
    pub refused: u32,
    /// Heartbeats that found no free socket.
    pub no_socket: u32,
    lists: VecDeque<(u64, Vec<CloudInstance>)>,
}

impl Limited {
    /// Whether the state service takes a request with so many changes now.
    pub(crate) fn state_takes(&mut self, now: u64, changes: usize) -> bool {
        let requests = self.requests.as_mut().is_none_or(|r| r.takes(now, 1.0));
        let n = changes as f64;
        let takes = requests && self.changes.as_mut().is_none_or(|r| r.takes(now, n));
        self.refused += u32::from(!takes);
        takes
    }
    pub(crate) fn cloud_takes(&mut self, now: u64) -> bool {
        let takes = self.cloud.as_mut().is_none_or(|r| r.takes(now, 1.0));
        self.refused += u32::from(!takes);
        takes
    }
    /// The list as it was some time ago.
    pub(crate) fn list(&mut self, now: u64, instances: Vec<CloudInstance>) -> Vec<CloudInstance> {
        if self.list_lag_ms == 0 {
            return instances;
        }
        self.lists.push_back((now, instances));
        let old = now.saturating_sub(self.list_lag_ms);
        while self.lists.get(1).is_some_and(|(at, _)| *at <= old) {
            self.lists.pop_front();
        }
        self.lists[0].1.clone()
    }
}
