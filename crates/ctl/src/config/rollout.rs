//! Waits until the controllers have observed a version.

use super::{ConfigFailure, ConfigurationStore};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Interval between two reads of the observed versions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The controllers by the version that they have observed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// Controllers that have observed the version or a later one.
    #[serde(rename = "follow")]
    pub up_to_date: Vec<String>,
    /// All other controllers.
    #[serde(rename = "others")]
    pub outdated: Vec<String>,
}

/// Waits until all controllers have observed a version or a later one.
///
/// # Errors
///
/// `TimedOut` if some have not within the timeout, `Failed` if the records cannot be read.
pub fn wait_for_rollout(
    store: &ConfigurationStore,
    version: u64,
    timeout: Duration,
) -> Result<RolloutStatus, ConfigFailure> {
    let started = Instant::now();
    loop {
        let status = store.rollout_status(version)?;
        if status.outdated.is_empty() {
            return Ok(status);
        }
        if started.elapsed() >= timeout {
            let (outdated, seconds) = (status.outdated.join(" "), timeout.as_secs_f64());
            let reason = format!("not followed within {seconds} s by: {outdated}");
            return Err(ConfigFailure::TimedOut(reason));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
