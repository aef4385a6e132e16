//! Workers: heartbeats in, reconciliation with the records, commands out, failure detection.

pub(crate) mod heartbeats;
pub(crate) mod observations;
pub(crate) mod reachability;
pub(crate) mod registry;
pub(crate) mod results;
pub(crate) mod starts;
pub(crate) mod write_back;
