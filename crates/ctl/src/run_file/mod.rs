//! Parquet files of runs: written in row groups, read a batch at a time, never whole.

mod error;
mod reader;
mod schema;
mod writer;

pub use error::RunFileError;
pub use reader::RunReader;
pub use schema::{Column, COLUMNS};
pub use writer::{RunWriter, GROUP_ROWS};
