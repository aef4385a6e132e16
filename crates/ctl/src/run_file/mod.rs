//! Parquet files of runs: written in row groups, read a batch at a time, never whole.

mod reader;
mod schema;
mod writer;

pub use reader::RunReader;
pub use schema::COLUMNS;
pub use writer::{RunWriter, GROUP_ROWS};
