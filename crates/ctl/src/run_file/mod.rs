//! Run files: Parquet files of runs, which are written and read one row group at a time to limit memory.

mod error;
mod reader;
mod schema;
mod writer;

pub use error::RunFileError;
pub use reader::RunReader;
pub use schema::{Column, COLUMNS};
pub use writer::{RunWriter, GROUP_ROWS};
