//! What `glenmountctl` does: exports of runs as Parquet, replays of them, and what is learned now.
//!
//! Apart from the controllers, whose machines have no room for its libraries. Errors are sentences
//! that name the file, line, column or field at fault.

pub mod config;
pub mod export;
pub mod file;
pub mod learned;
pub mod replay;
pub mod run;
pub mod state;

/// One sentence for the operator.
pub type Failure = String;
