//! Errors of run files.

use super::schema::{FORMAT_KEY, FORMAT_VERSION};
use crate::run_record::RunRecordError;
use parquet::errors::ParquetError;
use thiserror::Error;

/// The reason why a run file cannot be read or written. The caller adds the file's path.
#[derive(Debug, Error)]
pub enum RunFileError {
    /// The file is shorter than any Parquet file.
    #[error("too short to be a Parquet file")]
    TooShort,
    /// The Parquet library returned an error.
    #[error("{doing}: {source}")]
    Parquet {
        /// The operation that failed.
        doing: &'static str,
        /// The error of the library.
        source: ParquetError,
    },
    /// A run file of another version.
    #[error("{FORMAT_KEY}: version {0} is not known here, only {FORMAT_VERSION}")]
    Version(String),
    /// A Parquet file without the metadata key of run files.
    #[error("a Parquet file of something else: no {FORMAT_KEY}")]
    NotRunFile,
    /// A column is missing or has another name or type.
    #[error("column {0}: missing, or not as written by the export")]
    Schema(&'static str),
    /// The file has more than `MAX_GROUPS` row groups.
    #[error("too many row groups")]
    TooManyGroups,
    /// A row group is too large or of negative size.
    #[error("a row group has an invalid number of rows: {0}")]
    GroupRows(i64),
    /// The values of a column cannot be decoded.
    #[error("column {column}: {source}")]
    Column {
        /// The column's name.
        column: &'static str,
        /// The error of the library.
        source: ParquetError,
    },
    /// A column has fewer values than its row group has rows.
    #[error("column {column}: {read} of {expected} values")]
    MissingValues {
        /// The column's name.
        column: &'static str,
        /// Number of values found.
        read: usize,
        /// Number of values expected.
        expected: usize,
    },
    /// A text is not UTF-8.
    #[error("column {0}: not text")]
    NotText(&'static str),
    /// The Parquet library panicked.
    #[error("damaged Parquet file: its metadata is inconsistent")]
    Damaged,
    /// A row has an invalid value.
    #[error("row {row}: {source}")]
    Row {
        /// The row's number, from 1.
        row: u64,
        /// The invalid field.
        source: RunRecordError,
    },
    /// A row group cannot be read.
    #[error("row group {group}: {source}")]
    RowGroup {
        /// The row group's number, from 0.
        group: usize,
        /// The cause.
        source: Box<RunFileError>,
    },
}

impl RunFileError {
    /// Adds the failed operation to errors of the library.
    pub(super) fn parquet(doing: &'static str) -> impl Fn(ParquetError) -> RunFileError {
        move |source| RunFileError::Parquet { doing, source }
    }
}
