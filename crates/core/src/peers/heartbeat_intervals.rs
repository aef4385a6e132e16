//! How regularly a peer's heartbeats come, as an accrual failure detector keeps it.

use crate::constants::{
    HEARTBEAT_INTERVAL_DEVIATIONS, HEARTBEAT_INTERVAL_WEIGHT, HEARTBEAT_SLOW_FACTOR,
    PEER_HEARTBEAT_EXPIRY_MS, PEER_HEARTBEAT_INTERVAL_MS,
};
use crate::model::Millis;

/// The mean interval of a peer's heartbeats and its mean deviation, in milliseconds, over the last dozen.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatIntervals {
    mean: f64,
    deviation: f64,
}

impl HeartbeatIntervals {
    /// Those of a peer that is not known yet.
    pub(super) fn new() -> HeartbeatIntervals {
        HeartbeatIntervals {
            mean: PEER_HEARTBEAT_INTERVAL_MS as f64,
            deviation: PEER_HEARTBEAT_INTERVAL_MS as f64 / 4.0,
        }
    }

    /// Takes the interval before the latest heartbeat into the means.
    pub(super) fn observe(&mut self, interval: Millis) {
        // One long silence says nothing of how regularly they come.
        let interval = (interval as f64).min(PEER_HEARTBEAT_EXPIRY_MS as f64);
        self.deviation +=
            HEARTBEAT_INTERVAL_WEIGHT * ((interval - self.mean).abs() - self.deviation);
        self.mean += HEARTBEAT_INTERVAL_WEIGHT * (interval - self.mean);
    }

    /// Milliseconds of silence that chance does not explain, at least `min`.
    pub(super) fn timeout_ms(&self, min: Millis) -> Millis {
        let usual = self.mean + HEARTBEAT_INTERVAL_DEVIATIONS * self.deviation;
        (usual as Millis).max(min).min(PEER_HEARTBEAT_EXPIRY_MS)
    }

    /// Whether heartbeats come much less often than they should.
    pub(super) fn is_slow(&self) -> bool {
        self.mean > HEARTBEAT_SLOW_FACTOR * PEER_HEARTBEAT_INTERVAL_MS as f64
    }
}
