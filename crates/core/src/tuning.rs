//! Constants that measurements vary. The service runs with the defaults, whose reasons are in
//! `constants`; only the simulation's experiments set others.

use crate::constants::{
    DEFER_OVERLOAD_FACTOR, DEFER_SHARE, HANDOFF_MAX, HEARTBEATS_MISSED_MS,
    MACHINE_SHARE_OF_SERVICE, ZONE_LATE_MS, ZONE_TERMINATIONS_MAX, ZONE_UNCONFIRMED_START_MS,
};
use crate::model::Millis;
use serde::Deserialize;

/// Constants that experiments vary.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Milliseconds without a heartbeat, at least, after which a peer counts as failed.
    #[serde(rename = "beats_missed_ms")]
    pub heartbeats_missed_ms: Millis,
    /// Whether the end of a peer's connection counts as evidence that it failed.
    pub link_ends: bool,
    /// Whether machines are asked for the starts that a failed peer claimed last.
    #[serde(rename = "carry_on")]
    pub recover_starts: bool,
    /// Whether jobs are deferred when not all can be done in time.
    pub put_off: bool,
    /// How many times the capacity must be asked for in time before any job is deferred, ...
    pub put_off_from: f64,
    /// ... and the share of the capacity that is planned with then.
    pub put_off_share: f64,
    /// Share of a service's tasks that one machine gets while others serve it as well; 1 is no bound.
    #[serde(rename = "crowd_share")]
    pub machine_share_of_service: f64,
    /// Whether services that need not keep to half a zone are spread evenly over zones, and moved back to
    /// that after one was lost. It costs fetches, and more changes when all leases end at once.
    pub even_spread: bool,
    /// Whether machines of failed zones are terminated depending on their tasks.
    pub lost_zones: bool,
    pub zone_unseen_ms: Millis,
    pub zone_late_ms: Millis,
    /// Machines terminated at most in one evaluation of failed zones.
    pub zone_ends: usize,
    /// Workers handed over between two heartbeats.
    #[serde(rename = "handover_max")]
    pub handoff_max: usize,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            heartbeats_missed_ms: HEARTBEATS_MISSED_MS,
            link_ends: true,
            recover_starts: true,
            put_off: true,
            put_off_from: DEFER_OVERLOAD_FACTOR,
            put_off_share: DEFER_SHARE,
            machine_share_of_service: MACHINE_SHARE_OF_SERVICE,
            even_spread: false,
            lost_zones: true,
            zone_unseen_ms: ZONE_UNCONFIRMED_START_MS,
            zone_late_ms: ZONE_LATE_MS,
            zone_ends: ZONE_TERMINATIONS_MAX,
            handoff_max: HANDOFF_MAX,
        }
    }
}
