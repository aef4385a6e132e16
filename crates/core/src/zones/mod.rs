//! Zone failures: detection of unreachable zones, and evacuation of their tasks.

pub(crate) mod detector;
mod evacuation;
pub mod failures;
