//! Measurements of a run, and the output and comparison of results.

pub mod comparison;
pub mod counters;
pub mod figures;
pub mod latencies;
pub mod result;
pub mod scaling;
mod table;
pub mod traffic;
