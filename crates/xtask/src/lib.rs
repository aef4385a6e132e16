//! The tasks of `cargo run -p xtask`: the regression check, which compares entries of the benchmark's journal with a
//! baseline in the repository, simulated experiments, and the check of known failures.

#![warn(missing_docs)]

pub mod baseline;
pub mod comparison;
pub mod digest;
pub mod experiment;
pub mod file_error;
pub mod journal;
pub mod known_red;
pub mod regression_set;
pub mod site_variant;
