//! A worker with its power state and its network isolation.

use crate::invariants::Placement;
use crate::plan::ZoneIndex;
use crate::stand_ins::hollow_worker::HollowWorker;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use tokio::sync::Notify;

/// A worker of the fleet.
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Zone of the worker.
    pub zone: ZoneIndex,
    /// Placement of its tasks, for the invariants.
    pub(super) placement: Placement,
    pub(super) state: Mutex<HollowWorker>,
    is_powered: AtomicBool,
    /// Whether a fault cuts off this worker from every other process.
    is_isolated: AtomicBool,
    /// Requests a heartbeat before its interval has passed.
    pub(super) heartbeat_requested: Notify,
    /// Requests a new computation of the time of the next change.
    pub(super) advance_requested: Notify,
    /// Bytes of control traffic that the worker has sent and received.
    pub(super) control_bytes: AtomicU64,
}

impl Worker {
    pub(super) fn new(state: HollowWorker, zone: ZoneIndex) -> Worker {
        let identity = &state.identity;
        Worker {
            name: identity.name.clone(),
            zone,
            placement: Placement {
                worker: identity.name.clone(),
                machine_type: identity.machine_type.clone(),
                zone: identity.zone.clone(),
                spot: identity.spot,
            },
            state: Mutex::new(state),
            is_powered: AtomicBool::new(true),
            is_isolated: AtomicBool::new(false),
            heartbeat_requested: Notify::new(),
            advance_requested: Notify::new(),
            control_bytes: AtomicU64::new(0),
        }
    }

    /// Returns whether the worker has power.
    pub fn is_powered(&self) -> bool {
        self.is_powered.load(Relaxed)
    }

    pub(super) fn mark_powered_off(&self) {
        self.is_powered.store(false, Relaxed);
    }

    /// Begins or ends the worker's isolation from the network.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.store(is_isolated, Relaxed);
    }

    /// Returns whether the worker has no power or is isolated.
    pub(super) fn is_unreachable(&self) -> bool {
        !self.is_powered() || self.is_isolated.load(Relaxed)
    }

    /// Wakes the worker's heartbeat task and its advance task.
    pub(super) fn wake(&self) {
        self.heartbeat_requested.notify_one();
        self.advance_requested.notify_one();
    }
}
