//! The core of glenmount: it decides, and nothing else. Events go in, effects come out; time
//! is passed in, chance is seeded. Sockets, files and timers are the business of its callers.

mod admission;
mod allowance;
mod cancels;
pub mod capacity;
pub mod checks;
pub mod claims;
pub mod constants;
pub mod formats;
mod hearing;
pub mod jobs;
mod learned;
pub mod lookup;
mod lost;
pub mod machines;
pub mod model;
pub mod moves;
pub mod node;
pub mod pipelines;
mod placing;
pub mod preempt;
pub mod records;
mod rentals;
mod results;
mod signs;
mod silence;
pub mod standby;
mod starts;
mod state;
mod stats;
mod sweeping;
mod takeover;
pub mod tuning;
pub mod turns;
pub mod zones;
