//! A load test of the scheduler: real controller processes on loopback, against stand-ins of the state
//! store, the cloud, the workers and the users. Invariants are checked from the outside, and what each
//! controller spends and sends is measured.

pub mod environment;
pub mod faults;
pub mod invariants;
pub mod measurement;
pub mod network;
pub mod plan;
pub mod processes;
pub mod protocol;
pub mod run;
pub mod stand_ins;
pub mod users;
