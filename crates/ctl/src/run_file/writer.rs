//! Writes run files one row group at a time.

use super::schema::{schema, FORMAT_KEY, FORMAT_VERSION};
use super::RunFileError;
use crate::run_record::RunRecord;
use parquet::basic::Compression;
use parquet::data_type::{
    BoolType, ByteArray, ByteArrayType, DataType, DoubleType, Int32Type, Int64Type,
};
use parquet::errors::ParquetError;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use std::io::Write;
use std::sync::Arc;

/// Rows per row group, some 2 MB in memory.
pub const GROUP_ROWS: usize = 20_000;

/// Writes runs to a file. The caller passes them in order of their start.
pub struct RunWriter<W: Write + Send> {
    out: SerializedFileWriter<W>,
    rows: Vec<RunRecord>,
    rows_written: u64,
}

impl<W: Write + Send> RunWriter<W> {
    /// Starts a file.
    ///
    /// # Errors
    ///
    /// If the header cannot be written.
    pub fn new(out: W) -> Result<RunWriter<W>, RunFileError> {
        let format = KeyValue::new(FORMAT_KEY.to_string(), FORMAT_VERSION.to_string());
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .set_key_value_metadata(Some(vec![format]))
            .build();
        let out = SerializedFileWriter::new(out, schema()?, Arc::new(properties));
        Ok(RunWriter {
            out: out.map_err(RunFileError::parquet("cannot start the file"))?,
            rows: Vec::new(),
            rows_written: 0,
        })
    }

    /// Adds a row. Writes a row group once it is full.
    ///
    /// # Errors
    ///
    /// If a row group cannot be written.
    pub fn push(&mut self, row: RunRecord) -> Result<(), RunFileError> {
        self.rows.push(row);
        match self.rows.len() >= GROUP_ROWS {
            true => self.write_group(),
            false => Ok(()),
        }
    }

    fn write_group(&mut self) -> Result<(), RunFileError> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(());
        }
        let failed = RunFileError::parquet("cannot write");
        let mut group = self.out.next_row_group().map_err(&failed)?;
        write_columns(&mut group, &rows).map_err(&failed)?;
        group.close().map_err(&failed)?;
        self.rows_written += rows.len() as u64;
        Ok(())
    }

    /// Writes the remaining rows and the footer, without which readers reject the file. Returns `out` and the number of
    /// rows.
    ///
    /// # Errors
    ///
    /// If the rows or the footer cannot be written.
    pub fn finish(mut self) -> Result<(W, u64), RunFileError> {
        self.write_group()?;
        let failed = RunFileError::parquet("cannot finish the file");
        let out = self.out.into_inner().map_err(failed)?;
        Ok((out, self.rows_written))
    }
}

/// Writes all columns, in the order of [`COLUMNS`](super::COLUMNS).
fn write_columns<W: Write + Send>(
    group: &mut SerializedRowGroupWriter<W>,
    rows: &[RunRecord],
) -> Result<(), ParquetError> {
    write_required::<Int64Type, W>(group, rows, |r| r.start_ms)?;
    write_required::<DoubleType, W>(group, rows, |r| r.run_time_s)?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.team.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.class.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.image.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.job.as_str().into())?;
    write_optional::<Int32Type, W>(group, rows, |r| r.task)?;
    write_required::<DoubleType, W>(group, rows, |r| r.owner_estimate_s)?;
    write_required::<BoolType, W>(group, rows, |r| r.done)?;
    write_required::<Int32Type, W>(group, rows, |r| r.runs)?;
    let machine = |r: &RunRecord| r.machine.as_deref().map(ByteArray::from);
    write_optional::<ByteArrayType, W>(group, rows, machine)
}

fn write_required<T: DataType, W: Write + Send>(
    group: &mut SerializedRowGroupWriter<W>,
    rows: &[RunRecord],
    value: impl Fn(&RunRecord) -> T::T,
) -> Result<(), ParquetError> {
    let values: Vec<T::T> = rows.iter().map(value).collect();
    write_column::<T, W>(group, &values, None)
}

fn write_optional<T: DataType, W: Write + Send>(
    group: &mut SerializedRowGroupWriter<W>,
    rows: &[RunRecord],
    value: impl Fn(&RunRecord) -> Option<T::T>,
) -> Result<(), ParquetError> {
    let values: Vec<Option<T::T>> = rows.iter().map(value).collect();
    let levels: Vec<i16> = values.iter().map(|v| i16::from(v.is_some())).collect();
    let values: Vec<T::T> = values.into_iter().flatten().collect();
    write_column::<T, W>(group, &values, Some(&levels))
}

fn write_column<T: DataType, W: Write + Send>(
    group: &mut SerializedRowGroupWriter<W>,
    values: &[T::T],
    levels: Option<&[i16]>,
) -> Result<(), ParquetError> {
    let Some(mut column) = group.next_column()? else {
        return Err(ParquetError::General("no such column".into()));
    };
    column.typed::<T>().write_batch(values, levels, None)?;
    column.close()
}
