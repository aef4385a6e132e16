//! Implements `glenmountctl`: exports runs as Parquet, replays them, shows the stored estimates, and changes the stored
//! configuration.
//!
//! This is a program of its own because the controllers' machines lack the space for its libraries. Error messages
//! name the file, line, column or field at fault.

#![warn(missing_docs)]

pub mod config;
pub mod estimates;
pub mod export;
pub mod replay;
pub mod run_file;
pub mod run_record;
pub mod state_client;
