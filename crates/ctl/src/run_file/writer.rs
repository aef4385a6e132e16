//! Writes files of runs, a row group at a time.

use super::schema::{schema, KIND_KEY, KIND_VERSION};
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

/// Rows per row group: some 2 MB in memory.
pub const GROUP_ROWS: usize = 20_000;

/// Writes runs in order of their start; the caller sees to that.
pub struct RunWriter<W: Write + Send> {
    out: SerializedFileWriter<W>,
    rows: Vec<RunRecord>,
    written: u64,
}

impl<W: Write + Send> RunWriter<W> {
    /// Begins a file.
    ///
    /// # Errors
    ///
    /// If its head can't be written.
    pub fn new(out: W) -> Result<RunWriter<W>, RunFileError> {
        let kind = KeyValue::new(KIND_KEY.to_string(), KIND_VERSION.to_string());
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .set_key_value_metadata(Some(vec![kind]))
            .build();
        let out = SerializedFileWriter::new(out, schema()?, Arc::new(properties));
        Ok(RunWriter {
            out: out.map_err(RunFileError::parquet("can't begin the file"))?,
            rows: Vec::new(),
            written: 0,
        })
    }

    /// Adds a row; whole row groups are written.
    ///
    /// # Errors
    ///
    /// If a row group can't be written.
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
        let failed = RunFileError::parquet("can't write");
        let mut group = self.out.next_row_group().map_err(&failed)?;
        write_columns(&mut group, &rows).map_err(&failed)?;
        group.close().map_err(&failed)?;
        self.written += rows.len() as u64;
        Ok(())
    }

    /// Writes what is left and the footer, without which readers refuse the file. Returns what the file
    /// was written to, and the number of rows.
    ///
    /// # Errors
    ///
    /// If either can't be written.
    pub fn finish(mut self) -> Result<(W, u64), RunFileError> {
        self.write_group()?;
        let failed = RunFileError::parquet("can't end the file");
        let out = self.out.into_inner().map_err(failed)?;
        Ok((out, self.written))
    }
}

/// Writes all columns, in the order of [`COLUMNS`](super::COLUMNS).
fn write_columns<W: Write + Send>(
    group: &mut SerializedRowGroupWriter<W>,
    rows: &[RunRecord],
) -> Result<(), ParquetError> {
    write_required::<Int64Type, W>(group, rows, |r| r.start_ms)?;
    write_required::<DoubleType, W>(group, rows, |r| r.secs)?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.team.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.class.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.image.as_str().into())?;
    write_required::<ByteArrayType, W>(group, rows, |r| r.job.as_str().into())?;
    write_optional::<Int32Type, W>(group, rows, |r| r.task)?;
    write_required::<DoubleType, W>(group, rows, |r| r.expect_s)?;
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
