//! Constants of the newer parts that measurements vary. The service runs with the defaults, which
//! stand with their reasons in `constants`; only the world's experiments have others.

use crate::constants::{
    DEFER_OVERLOAD_FACTOR, DEFER_SHARE, HANDOFF_MAX, HEARTBEATS_MISSED_MS,
    MACHINE_SHARE_OF_SERVICE, ZONE_LATE_MS, ZONE_TERMINATIONS_MAX, ZONE_UNCONFIRMED_START_MS,
};
use crate::model::Millis;
use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Milliseconds of silence, at the least, from which a peer is taken to be away.
    #[serde(rename = "beats_missed_ms")]
    pub heartbeats_missed_ms: Millis,
    /// Whether the end of a peer's link counts as a sign.
    pub link_ends: bool,
    /// Whether machines are asked for starts that a lost peer claimed last.
    #[serde(rename = "carry_on")]
    pub recover_starts: bool,
    /// Whether jobs are put off when not all can be done in time.
    pub put_off: bool,
    /// How many times what there is must be asked for in time before any is put off, ...
    pub put_off_from: f64,
    /// ... and the share of what there is that is planned with then.
    pub put_off_share: f64,
    /// Share of a service's tasks that one machine gets while others serve it as well; 1 is no bound.
    #[serde(rename = "crowd_share")]
    pub machine_share_of_service: f64,
    /// Whether services that need not keep to half a zone are spread evenly over zones, and moved back to
    /// that after one was lost. It costs fetches, and more changes when all leases end at once.
    pub even_spread: bool,
    /// Whether machines of lost zones are judged by what they hold.
    pub lost_zones: bool,
    pub zone_unseen_ms: Millis,
    pub zone_late_ms: Millis,
    /// Machines ended in one look at lost zones.
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
