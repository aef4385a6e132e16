//! A world in memory for scenarios and measurements: controllers, state service, cloud, workers and users
//! in simulated time, with seeded chance. It checks the rules of the protocol at every step, and
//! plays fleets of thousands of machines in seconds.

mod close_looks;
mod cloud;
mod controllers;
pub mod day;
pub mod digest;
mod effects;
mod event_loop;
mod fixtures;
mod hangs;
mod invariants;
pub mod measure;
mod network;
pub mod old;
pub mod operator;
pub mod play;
pub mod random_faults;
mod requests;
mod rules;
pub mod service;
mod simulation;
mod state_store;
pub mod users;
mod waits;
mod workers;

pub(crate) use close_looks::Look;
pub(crate) use cloud::CloudRequest;
pub use controllers::ControllerSlot;
pub(crate) use event_loop::Act;
pub(crate) use fixtures::kind;
pub use fixtures::{after, blue, every_use, job, long_leases, service, settings};
pub use network::Mishaps;
pub(crate) use old::{seen_by_old, sent_by_old};
pub use requests::{Overlaps, Told};
pub(crate) use simulation::ProcessId;
pub use simulation::{World, WALL0};
pub(crate) use state_store::StateRequest;
pub use waits::Waits;
pub use workers::{Task, Worker};
