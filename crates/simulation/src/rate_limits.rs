//! Limits of the state store, the cloud and controllers: rates, connections and the lag of instance lists.

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
    /// Creates a full bucket that holds the tokens of `burst_s` seconds.
    pub fn new(per_s: f64, burst_s: f64) -> TokenBucket {
        TokenBucket {
            per_s,
            burst_s,
            tokens: per_s * burst_s,
            refilled_ms: 0,
        }
    }

    /// Takes tokens if the bucket holds enough, and returns whether it did.
    pub fn try_take(&mut self, now_ms: u64, count: f64) -> bool {
        let elapsed_s = (now_ms - self.refilled_ms) as f64 / 1e3;
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s * self.burst_s);
        let is_available = self.tokens >= count;
        if is_available {
            self.tokens -= count;
        }
        is_available
    }
}

/// Limits of the external services and controllers. `None` stands for no limit.
#[derive(Default)]
pub struct ServiceLimits {
    /// Rate limit of requests to the state store.
    pub state_requests: Option<TokenBucket>,
    /// Rate limit of changes in transactions.
    pub state_changes: Option<TokenBucket>,
    /// Rate limit of calls to the cloud.
    pub cloud_calls: Option<TokenBucket>,
    /// Maximum number of worker connections of a controller.
    pub worker_connections: Option<usize>,
    /// Milliseconds by which the cloud's instance list lags.
    pub list_lag_ms: u64,
    /// Number of requests refused by a rate limit.
    pub throttled: u32,
    /// Number of workers' heartbeats refused for lack of a free connection.
    pub connections_refused: u32,
    /// Instance lists by time, back to the lag.
    delayed_lists: VecDeque<(u64, Vec<CloudInstance>)>,
}

impl ServiceLimits {
    /// Returns whether the state store admits a request with a number of changes now.
    pub(crate) fn admit_state_request(&mut self, now_ms: u64, changes: usize) -> bool {
        let is_request_admitted = self
            .state_requests
            .as_mut()
            .is_none_or(|bucket| bucket.try_take(now_ms, 1.0));
        let change_count = changes as f64;
        let is_admitted = is_request_admitted
            && self
                .state_changes
                .as_mut()
                .is_none_or(|bucket| bucket.try_take(now_ms, change_count));
        self.throttled += u32::from(!is_admitted);
        is_admitted
    }

    /// Returns whether the cloud admits a call now.
    pub(crate) fn admit_cloud_call(&mut self, now_ms: u64) -> bool {
        let is_admitted = self
            .cloud_calls
            .as_mut()
            .is_none_or(|bucket| bucket.try_take(now_ms, 1.0));
        self.throttled += u32::from(!is_admitted);
        is_admitted
    }

    /// Records the current instance list, and returns the list from [`Self::list_lag_ms`] ago.
    pub(crate) fn delay_list(
        &mut self,
        now_ms: u64,
        instances: Vec<CloudInstance>,
    ) -> Vec<CloudInstance> {
        if self.list_lag_ms == 0 {
            return instances;
        }
        self.delayed_lists.push_back((now_ms, instances));
        let cutoff_ms = now_ms.saturating_sub(self.list_lag_ms);
        while self
            .delayed_lists
            .get(1)
            .is_some_and(|(at, _)| *at <= cutoff_ms)
        {
            self.delayed_lists.pop_front();
        }
        self.delayed_lists[0].1.clone()
    }
}
