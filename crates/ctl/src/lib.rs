//! What `glenmountctl` does: exports of runs as Parquet, replays of them, what is learned now, and changes
//! of the configuration on record.
//!
//! Apart from the controllers, whose machines have no room for its libraries. Messages of errors are
//! sentences that name the file, line, column or field at fault.

#![warn(missing_docs)]

pub mod config;
pub mod estimates;
pub mod export;
pub mod replay;
pub mod run_file;
pub mod run_record;
pub mod state_client;
