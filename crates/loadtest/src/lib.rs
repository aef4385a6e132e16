//! Load test of the scheduler: runs real controller processes on loopback against stand-ins of the state
//! store, the cloud, the workers and the users, checks invariants from the outside, and measures the
//! resources and the traffic of each controller.
//!
//! [`run::run_alone`] executes a [`plan::Plan`] and returns a [`measurement::result::RunResult`].

#![warn(missing_docs)]

mod environment;
mod faults;
pub mod invariants;
mod job_registry;
pub mod measurement;
mod network;
pub mod plan;
mod processes;
pub mod protocol;
pub mod run;
pub mod stand_ins;
mod sync;
mod users;
