//! Zones: detection of the loss of a whole zone, and the evacuation of what it holds.

pub(crate) mod detector;
mod evacuation;
pub mod failures;
