//! Limits of the state service, the cloud and controllers: rates, connections and lag of lists.

use glenmount_core::model::CloudInstance;
use std::collections::VecDeque;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst_s: f64,
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_s: f64, burst_s: f64) -> TokenBucket {
        TokenBucket {
            per_s,
            burst_s,
            tokens: per_s * burst_s,
            refilled_ms: 0,
        }
    }

    /// Takes so many tokens, if there are as many.
    pub fn try_take(&mut self, now: u64, n: f64) -> bool {
        let passed = (now - self.refilled_ms) as f64 / 1e3;
        self.refilled_ms = now;
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s * self.burst_s);
        let fits = self.tokens >= n;
        if fits {
            self.tokens -= n;
        }
        fits
    }
}

/// Limits of what the services take; absent ones are unlimited.
#[derive(Default)]
pub struct ServiceLimits {
    /// Requests to the state service.
    pub state_requests: Option<TokenBucket>,
    /// Changes in transactions.
    pub state_changes: Option<TokenBucket>,
    /// Calls to the cloud.
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

    /// Whether the cloud takes a call now.
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
