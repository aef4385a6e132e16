//! What `glenmountctl` does: exports of runs as Parquet, replays of them, and what is learned now.
//!
//! Apart from the controllers, whose machines have no room for its libraries. Errors are sentences
//! that name the file, line, column or field at fault.

pub mod config;
pub mod estimates;
pub mod export;
pub mod replay;
pub mod run_file;
pub mod run_record;
pub mod state_client;

/// One sentence for the operator.
pub type Failure = String;
