//! What the outside services take: requests and changes a second, calls, how late lists are.

use glenmount_core::model::CloudInstance;
use std::collections::VecDeque;

/// A bucket that holds one second's worth, as the services allow.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst_s: f64,
    level: f64,
    at: u64,
}

impl TokenBucket {
    pub fn new(per_s: f64, burst_s: f64) -> TokenBucket {
        TokenBucket {
            per_s,
            burst_s,
            level: per_s * burst_s,
            at: 0,
        }
    }
    pub fn try_take(&mut self, now: u64, n: f64) -> bool {
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
pub struct ServiceLimits {
    pub state_requests: Option<TokenBucket>,
    pub state_changes: Option<TokenBucket>,
    pub cloud_calls: Option<TokenBucket>,
    /// Workers' connections that a controller holds.
    pub worker_connections: Option<usize>,
    /// Milliseconds by which the cloud's list lags.
    pub list_lag_ms: u64,
    /// Requests that were refused for being too many.
    pub throttled: u32,
    /// Heartbeats that found no free socket.
    pub connections_refused: u32,
    delayed_lists: VecDeque<(u64, Vec<CloudInstance>)>,
}

impl ServiceLimits {
    /// Whether the state service takes a request with so many changes now.
    pub(crate) fn admit_state_request(&mut self, now: u64, changes: usize) -> bool {
        let requests = self
            .state_requests
            .as_mut()
            .is_none_or(|r| r.try_take(now, 1.0));
        let n = changes as f64;
        let takes = requests
            && self
                .state_changes
                .as_mut()
                .is_none_or(|r| r.try_take(now, n));
        self.throttled += u32::from(!takes);
        takes
    }
    pub(crate) fn admit_cloud_call(&mut self, now: u64) -> bool {
        let takes = self
            .cloud_calls
            .as_mut()
            .is_none_or(|r| r.try_take(now, 1.0));
        self.throttled += u32::from(!takes);
        takes
    }
    /// The list as it was some time ago.
    pub(crate) fn delay_list(
        &mut self,
        now: u64,
        instances: Vec<CloudInstance>,
    ) -> Vec<CloudInstance> {
        if self.list_lag_ms == 0 {
            return instances;
        }
        self.delayed_lists.push_back((now, instances));
        let old = now.saturating_sub(self.list_lag_ms);
        while self.delayed_lists.get(1).is_some_and(|(at, _)| *at <= old) {
            self.delayed_lists.pop_front();
        }
        self.delayed_lists[0].1.clone()
    }
}
