//! What a run measures, and how results are printed and compared.

pub mod comparison;
pub mod counters;
pub mod figures;
pub mod latencies;
pub mod result;
pub mod scaling;
mod table;
pub mod traffic;
