//! Constants that experiments vary. A deployed controller uses the defaults, which `constants` explains,
//! except for the few that the operators' settings change.

use crate::constants::{
    DEFER_CAPACITY_SHARE, DEFER_OVERLOAD_FACTOR, HANDOFF_MAX_WORKERS, MACHINE_SHARE_OF_SERVICE,
    PEER_FAILURE_MIN_SILENCE_MS, ZONE_OVERDUE_WORK_MS, ZONE_TERMINATIONS_MAX,
    ZONE_UNCONFIRMED_START_MS,
};
use crate::model::Millis;
use serde::Deserialize;

/// The constants that experiments vary.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Shortest silence after which a peer counts as failed.
    #[serde(rename = "beats_missed_ms")]
    pub peer_failure_min_silence_ms: Millis,
    /// Whether the end of a peer's connection counts as evidence that the peer failed.
    #[serde(rename = "link_ends")]
    pub detect_link_loss: bool,
    /// Whether machines are probed for the starts that a failed peer claimed last.
    #[serde(rename = "carry_on")]
    pub recover_starts: bool,
    /// Whether jobs are deferred when not all can finish in time.
    #[serde(rename = "put_off")]
    pub defer_jobs: bool,
    /// Ratio of the required to the available capacity from which jobs are deferred.
    #[serde(rename = "put_off_from")]
    pub defer_overload_factor: f64,
    /// Share of the capacity that deferral plans with.
    #[serde(rename = "put_off_share")]
    pub defer_capacity_share: f64,
    /// Largest share of a service's tasks on one machine while other machines serve it as well; 1 is no limit.
    #[serde(rename = "crowd_share")]
    pub machine_share_of_service: f64,
    /// Whether services without a zone spread constraint are spread evenly over zones, and migrate back
    /// after a zone failure. It costs image fetches, and more changes when all leases expire at once.
    #[serde(rename = "even_spread")]
    pub even_zone_spread: bool,
    /// Whether machines of failed zones are deleted depending on their tasks.
    #[serde(rename = "lost_zones")]
    pub evacuate_zones: bool,
    /// Silence of a zone after which starts in flight to it count as lost.
    #[serde(rename = "zone_unseen_ms")]
    pub zone_unconfirmed_start_ms: Millis,
    /// Silence of a zone from which overdue tasks restart elsewhere.
    #[serde(rename = "zone_late_ms")]
    pub zone_overdue_work_ms: Millis,
    /// Limit of machines deleted in one evaluation of failed zones.
    #[serde(rename = "zone_ends")]
    pub zone_terminations_max: usize,
    /// Limit of workers handed off between two heartbeats.
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
