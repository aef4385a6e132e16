//! Writes files of runs, a row group at a time.

use super::schema::{failed, schema, COLUMNS, KIND};
use crate::run_record::RunRecord;
use crate::Failure;
use parquet::basic::Compression;
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, DoubleType, Int32Type, Int64Type};
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use std::io::Write;
use std::sync::Arc;

/// Rows per row group: some 2 MB in memory.
pub const GROUP_ROWS: usize = 20_000;

/// Writes runs in order of their start; the caller sees to that.
pub struct RunWriter<W: Write + Send> {
    out: SerializedFileWriter<W>,
    rows: Vec<RunRecord>,
    pub written: u64,
}

impl<W: Write + Send> RunWriter<W> {
    pub fn new(out: W) -> Result<RunWriter<W>, Failure> {
        let kind = KeyValue::new(KIND.0.to_string(), KIND.1.to_string());
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .set_key_value_metadata(Some(vec![kind]))
            .build();
        let out = SerializedFileWriter::new(out, schema()?, Arc::new(properties));
        Ok(RunWriter {
            out: out.map_err(failed("can't begin the file"))?,
            rows: Vec::new(),
            written: 0,
        })
    }

    pub fn push(&mut self, row: RunRecord) -> Result<(), Failure> {
        self.rows.push(row);
        match self.rows.len() >= GROUP_ROWS {
            true => self.write_group(),
            false => Ok(()),
        }
    }

    fn write_group(&mut self) -> Result<(), Failure> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(());
        }
        let mut write = || -> Result<(), parquet::errors::ParquetError> {
            let mut group = self.out.next_row_group()?;
            let text = |of: fn(&RunRecord) -> &str| -> Vec<ByteArray> {
                rows.iter().map(|r| ByteArray::from(of(r))).collect()
            };
            let double = |of: fn(&RunRecord) -> f64| -> Vec<f64> { rows.iter().map(of).collect() };
            let mut at = 0;
            while let Some(mut column) = group.next_column()? {
                match COLUMNS[at].0 {
                    "start_ms" => {
                        let values: Vec<i64> = rows.iter().map(|r| r.start_ms).collect();
                        column
                            .typed::<Int64Type>()
                            .write_batch(&values, None, None)?;
                    }
                    "task" => {
                        let values: Vec<i32> = rows.iter().filter_map(|r| r.task).collect();
                        let levels: Vec<i16> =
                            rows.iter().map(|r| i16::from(r.task.is_some())).collect();
                        let column = column.typed::<Int32Type>();
                        column.write_batch(&values, Some(&levels), None)?;
                    }
                    "runs" => {
                        let values: Vec<i32> = rows.iter().map(|r| r.runs).collect();
                        column
                            .typed::<Int32Type>()
                            .write_batch(&values, None, None)?;
                    }
                    "done" => {
                        let values: Vec<bool> = rows.iter().map(|r| r.done).collect();
                        column
                            .typed::<BoolType>()
                            .write_batch(&values, None, None)?;
                    }
                    "machine" => {
                        let named = rows.iter().filter_map(|r| r.machine.as_deref());
                        let values: Vec<ByteArray> = named.map(ByteArray::from).collect();
                        let levels: Vec<i16> = rows
                            .iter()
                            .map(|r| i16::from(r.machine.is_some()))
                            .collect();
                        let column = column.typed::<ByteArrayType>();
                        column.write_batch(&values, Some(&levels), None)?;
                    }
                    name @ ("secs" | "expect_s") => {
                        let values = match name {
                            "secs" => double(|r| r.secs),
                            _ => double(|r| r.expect_s),
                        };
                        column
                            .typed::<DoubleType>()
                            .write_batch(&values, None, None)?;
                    }
                    name => {
                        let values = match name {
                            "team" => text(|r| &r.team),
                            "class" => text(|r| &r.class),
                            "image" => text(|r| &r.image),
                            _ => text(|r| &r.job),
                        };
                        column
                            .typed::<ByteArrayType>()
                            .write_batch(&values, None, None)?;
                    }
                }
                column.close()?;
                at += 1;
            }
            group.close()?;
            Ok(())
        };
        write().map_err(failed("can't write"))?;
        self.written += rows.len() as u64;
        Ok(())
    }

    /// Writes what is left and the footer: without it the file is refused by readers.
    pub fn finish(mut self) -> Result<(W, u64), Failure> {
        self.write_group()?;
        let out = self
            .out
            .into_inner()
            .map_err(failed("can't end the file"))?;
        Ok((out, self.written))
    }
}
