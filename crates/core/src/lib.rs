//! The core of glenmount: it decides, and nothing else. Events go in, effects come out; time
//! is passed in, chance is seeded. Sockets, files and timers are the business of its callers.

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
