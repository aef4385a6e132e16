//! A worker with its power and its network.

use crate::invariants::Placement;
use crate::plan::ZoneIndex;
use crate::stand_ins::hollow_worker::HollowWorker;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use tokio::sync::Notify;

/// One worker.
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneIndex,
    /// Where its tasks run, for the invariants.
    pub(super) placement: Placement,
    pub(super) state: Mutex<HollowWorker>,
    is_powered: AtomicBool,
    /// Reaches nobody, by itself.
    is_isolated: AtomicBool,
    /// Something changed that the next heartbeat tells.
    pub(super) heartbeat_requested: Notify,
    /// The time of the next change may be another one.
    pub(super) advance_requested: Notify,
    /// Bytes that it has sent and received for control.
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

    /// Whether it is up.
    pub fn is_powered(&self) -> bool {
        self.is_powered.load(Relaxed)
    }

    pub(super) fn set_unpowered(&self) {
        self.is_powered.store(false, Relaxed);
    }

    /// Cuts it off from everybody, or ends that.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.store(is_isolated, Relaxed);
    }

    /// Whether nobody hears of it.
    pub(super) fn is_silent(&self) -> bool {
        !self.is_powered() || self.is_isolated.load(Relaxed)
    }

    /// Lets both of its loops look at its state at once.
    pub(super) fn wake(&self) {
        self.heartbeat_requested.notify_one();
        self.advance_requested.notify_one();
    }
}
