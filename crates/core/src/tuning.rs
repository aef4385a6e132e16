//! Constants that measurements vary. The service runs with the defaults, whose reasons are in
//! `constants`; only the simulation's experiments set others.

use crate::constants::{
    DEFER_CAPACITY_SHARE, DEFER_OVERLOAD_FACTOR, HANDOFF_MAX_WORKERS, MACHINE_SHARE_OF_SERVICE,
    PEER_FAILURE_MIN_SILENCE_MS, ZONE_OVERDUE_WORK_MS, ZONE_TERMINATIONS_MAX,
    ZONE_UNCONFIRMED_START_MS,
};
use crate::model::Millis;
use serde::Deserialize;

/// Constants that experiments vary.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Milliseconds without a heartbeat, at least, after which a peer counts as failed.
    #[serde(rename = "beats_missed_ms")]
    pub peer_failure_min_silence_ms: Millis,
    /// Whether the end of a peer's connection counts as evidence that it failed.
    #[serde(rename = "link_ends")]
    pub detect_link_loss: bool,
    /// Whether machines are asked for the starts that a failed peer claimed last.
    #[serde(rename = "carry_on")]
    pub recover_starts: bool,
    /// Whether jobs are deferred when not all can be done in time.
    #[serde(rename = "put_off")]
    pub defer_jobs: bool,
    /// How many times the capacity must be asked for in time before any job is deferred, ...
    #[serde(rename = "put_off_from")]
    pub defer_overload_factor: f64,
    /// ... and the share of the capacity that is planned with then.
    #[serde(rename = "put_off_share")]
    pub defer_capacity_share: f64,
    /// Share of a service's tasks that one machine gets while others serve it as well; 1 is no bound.
    #[serde(rename = "crowd_share")]
    pub machine_share_of_service: f64,
    /// Whether services that need not keep to half a zone are spread evenly over zones, and moved back to
    /// that after one was lost. It costs fetches, and more changes when all leases end at once.
    #[serde(rename = "even_spread")]
    pub even_zone_spread: bool,
    /// Whether machines of failed zones are terminated depending on their tasks.
    #[serde(rename = "lost_zones")]
    pub evacuate_zones: bool,
    #[serde(rename = "zone_unseen_ms")]
    pub zone_unconfirmed_start_ms: Millis,
    #[serde(rename = "zone_late_ms")]
    pub zone_overdue_work_ms: Millis,
    /// Machines terminated at most in one evaluation of failed zones.
    #[serde(rename = "zone_ends")]
    pub zone_terminations_max: usize,
    /// Workers handed over between two heartbeats.
    #[serde(rename = "handover_max")]
    pub handoff_max_workers: usize,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            peer_failure_min_silence_ms: PEER_FAILURE_MIN_SILENCE_MS,
            detect_link_loss: true,
            recover_starts: true,
            defer_jobs: true,
            defer_overload_factor: DEFER_OVERLOAD_FACTOR,
            defer_capacity_share: DEFER_CAPACITY_SHARE,
            machine_share_of_service: MACHINE_SHARE_OF_SERVICE,
            even_zone_spread: false,
            evacuate_zones: true,
            zone_unconfirmed_start_ms: ZONE_UNCONFIRMED_START_MS,
            zone_overdue_work_ms: ZONE_OVERDUE_WORK_MS,
            zone_terminations_max: ZONE_TERMINATIONS_MAX,
            handoff_max_workers: HANDOFF_MAX_WORKERS,
        }
    }
}
