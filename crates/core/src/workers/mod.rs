//! Workers: heartbeat handling, reconciliation with the assignments on record, commands and failure
//! detection.

pub mod command_size;
mod commands;
mod failure_detection;
mod forgetting;
mod handoff;
mod heartbeats;
mod machine_deletions;
mod machine_updates;
pub(crate) mod observations;
mod reachability;
mod reconciliation;
pub(crate) mod registry;
mod replies;
mod results;
pub(crate) mod starts;
pub(crate) mod termination;
pub(crate) mod write_back;
