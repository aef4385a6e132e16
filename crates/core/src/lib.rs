//! The decision logic of glenmount, without input or output. A controller takes events and returns
//! effects; its callers pass in the time and a random seed, and own the sockets, files and timers.

pub mod configuration;
pub mod constants;
pub mod controller;
pub mod jobs;
mod metrics;
pub mod model;
pub mod peers;
pub mod provisioning;
mod run_times;
pub mod safety_checks;
pub mod scheduling;
pub mod settings;
pub mod state;
mod token_bucket;
pub mod tuning;
pub mod workers;
pub mod zones;
