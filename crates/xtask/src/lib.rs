//! The regression check: entries of the bench's journal against a base that is recorded in the
//! repository. The binary plays the sets; everything that decides is here.

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
