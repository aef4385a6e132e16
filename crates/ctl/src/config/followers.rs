//! Waiting until the controllers follow a version.

use super::{ConfigFailure, Records};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Between two looks at who follows a version.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Who follows which version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Followers {
    /// Controllers that follow the version or a later one.
    pub follow: Vec<String>,
    /// All other controllers.
    pub others: Vec<String>,
}

/// Waits until all controllers follow a version or a later one.
///
/// # Errors
///
/// `TimedOut` if some do not in time, `Failed` if the records can't be read.
pub fn wait(records: &Records, version: u64, within: Duration) -> Result<Followers, ConfigFailure> {
    let begun = Instant::now();
    loop {
        let followers = records.followers(version)?;
        if followers.others.is_empty() {
            return Ok(followers);
        }
        if begun.elapsed() >= within {
            let (others, seconds) = (followers.others.join(" "), within.as_secs_f64());
            let why = format!("not followed within {seconds} s by: {others}");
            return Err(ConfigFailure::TimedOut(why));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
