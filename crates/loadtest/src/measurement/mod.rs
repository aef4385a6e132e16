//! What a run measures, and how results are printed and compared.

pub mod comparison;
pub mod counters;
pub mod result;
pub mod scaling;
