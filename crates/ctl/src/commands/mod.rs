//! The commands, with a module for each group.

pub(crate) mod config;
mod error;
pub(crate) mod estimates;
pub(crate) mod history;

pub(crate) use error::CommandError;
