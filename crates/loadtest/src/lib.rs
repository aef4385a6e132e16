//! A load test of the scheduler: real controller processes on loopback, against stand-ins of the state
//! store, the cloud, the workers and the users. Invariants are checked from the outside, and what each
//! controller spends and sends is measured.
//!
//! [`run::run_alone`] plays a [`plan::Plan`] and returns a [`measurement::result::RunResult`].

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
