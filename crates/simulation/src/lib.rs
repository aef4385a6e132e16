//! Deterministic simulation of controllers, state store, cloud, workers and users in memory, with fault injection.
//!
//! Everything runs in one thread and in simulated time, and all random numbers come from one seed: the same seed
//! and the same calls give the same run. The simulation checks the invariants of the protocol at every step, and
//! simulates fleets of thousands of machines in seconds.
//!
//! [`Simulation`] is the entry point: tests submit jobs, inject faults and run until a condition holds.
//! [`day_runner`] runs described days ([`day`]) and measures them ([`outcome`]).

#![warn(missing_docs)]

mod cloud;
mod controllers;
pub mod day;
pub mod day_runner;
pub mod digest;
mod effects;
mod event_loop;
mod fixtures;
mod follow_ups;
mod invariants;
mod message_sizes;
mod metrics;
mod network;
pub mod operator;
pub mod outcome;
mod placements;
pub mod previous_version;
pub mod random_faults;
pub mod rate_limits;
mod requests;
mod simulation;
mod stalls;
mod starvation;
mod state_store;
pub mod users;
mod workers;
mod workload;

pub use cloud::Cloud;
pub(crate) use cloud::CloudRequest;
pub use controllers::ControllerSlot;
pub(crate) use event_loop::Action;
pub use fixtures::{
    all_estimate_uses, dependent_job, job, limited_team, service, settings, use_long_leases,
};
pub(crate) use follow_ups::FollowUp;
pub use metrics::Metrics;
pub use network::{FaultRates, Network};
pub(crate) use previous_version::{event_as_read, operation_as_written};
pub use requests::{Overlaps, UserView};
pub(crate) use simulation::ProcessId;
pub use simulation::{Simulation, START_TIME_MS};
pub use starvation::StarvationTracker;
pub(crate) use state_store::StateRequest;
pub use state_store::{StateStore, TransactionLimits};
pub use workers::{HeartbeatReceipt, Task, Worker};
pub use workload::Workload;
