//! Statistics of a peer's heartbeat intervals, as in an accrual failure detector.

use crate::constants::{
    HEARTBEAT_INTERVAL_DEVIATIONS, HEARTBEAT_INTERVAL_WEIGHT, HEARTBEAT_SLOW_FACTOR,
    PEER_HEARTBEAT_EXPIRY_MS, PEER_HEARTBEAT_INTERVAL_MS,
};
use crate::model::Millis;

/// Moving averages over about the last dozen heartbeats of a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatIntervals {
    /// Mean interval between heartbeats.
    mean_ms: f64,
    /// Mean deviation of the interval.
    deviation_ms: f64,
}

impl HeartbeatIntervals {
    /// Creates the statistics of a peer without any heartbeat yet.
    pub(super) fn new() -> HeartbeatIntervals {
        HeartbeatIntervals {
            mean_ms: PEER_HEARTBEAT_INTERVAL_MS as f64,
            deviation_ms: PEER_HEARTBEAT_INTERVAL_MS as f64 / 4.0,
        }
    }

    /// Adds the interval before the latest heartbeat to the averages.
    pub(super) fn observe(&mut self, interval_ms: Millis) {
        // Limits the effect of a single long silence.
        let interval_ms = (interval_ms as f64).min(PEER_HEARTBEAT_EXPIRY_MS as f64);
        self.deviation_ms +=
            HEARTBEAT_INTERVAL_WEIGHT * ((interval_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += HEARTBEAT_INTERVAL_WEIGHT * (interval_ms - self.mean_ms);
    }

    /// Returns the milliseconds of silence that the variation of the intervals does not explain, at least `min_ms`.
    pub(super) fn timeout_ms(&self, min_ms: Millis) -> Millis {
        let expected_max_ms = self.mean_ms + HEARTBEAT_INTERVAL_DEVIATIONS * self.deviation_ms;
        (expected_max_ms as Millis)
            .max(min_ms)
            .min(PEER_HEARTBEAT_EXPIRY_MS)
    }

    /// Returns whether heartbeats arrive much less often than they are due.
    pub(super) fn is_slow(&self) -> bool {
        self.mean_ms > HEARTBEAT_SLOW_FACTOR * PEER_HEARTBEAT_INTERVAL_MS as f64
    }
}
