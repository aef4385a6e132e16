//! Why a file of runs can't be read or written.

use super::schema::{KIND_KEY, KIND_VERSION};
use crate::run_record::RunRecordError;
use parquet::errors::ParquetError;
use thiserror::Error;

/// Why a file of runs can't be read or written. The file's path is for the caller to add.
#[derive(Debug, Error)]
pub enum RunFileError {
    /// Shorter than any Parquet file.
    #[error("too short to be a Parquet file")]
    TooShort,
    /// The library failed.
    #[error("{doing}: {source}")]
    Parquet {
        /// What failed.
        doing: &'static str,
        /// What the library says.
        source: ParquetError,
    },
    /// A file of runs of another version.
    #[error("{KIND_KEY}: version {0} is not known here, only {KIND_VERSION}")]
    Version(String),
    /// A Parquet file without the mark of a file of runs.
    #[error("a Parquet file of something else: no {KIND_KEY}")]
    OtherKind,
    /// A column of another name or type, or none.
    #[error("column {0}: missing, or not as written by the export")]
    Schema(&'static str),
    /// More row groups than memory should be spent on.
    #[error("more row groups than any export has")]
    TooManyGroups,
    /// A row group that is too large, or of negative size.
    #[error("a row group says that it has {0} rows")]
    GroupRows(i64),
    /// A column's values can't be decoded.
    #[error("column {column}: {source}")]
    Column {
        /// The column's name.
        column: &'static str,
        /// What the library says.
        source: ParquetError,
    },
    /// A column has fewer values than its row group has rows.
    #[error("column {column}: {read} of {expected} values")]
    MissingValues {
        /// The column's name.
        column: &'static str,
        /// Values that it has.
        read: usize,
        /// Values that it should have.
        expected: usize,
    },
    /// A name that is not UTF-8.
    #[error("column {0}: not text")]
    NotText(&'static str),
    /// The library panicked.
    #[error("a damaged Parquet file: what it says of itself can't be")]
    Damaged,
    /// A row whose values can't be.
    #[error("row {row}: {source}")]
    Row {
        /// Its number, from 1.
        row: u64,
        /// Which field is wrong.
        source: RunRecordError,
    },
    /// A row group that can't be read.
    #[error("row group {group}: {source}")]
    RowGroup {
        /// Its number, from 0.
        group: usize,
        /// Why.
        source: Box<RunFileError>,
    },
}

impl RunFileError {
    /// Says of the library's errors what failed.
    pub(super) fn parquet(doing: &'static str) -> impl Fn(ParquetError) -> RunFileError {
        move |source| RunFileError::Parquet { doing, source }
    }
}
