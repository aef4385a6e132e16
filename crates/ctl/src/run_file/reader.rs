//! Reads run files one row group at a time. Rejects files that are damaged or of another format.

use super::schema::{COLUMNS, FORMAT_KEY, FORMAT_VERSION};
use super::RunFileError;
use crate::run_record::RunRecord;
use parquet::column::reader::get_typed_column_reader;
use parquet::data_type::{
    BoolType, ByteArray, ByteArrayType, DataType, DoubleType, Int32Type, Int64Type,
};
use parquet::errors::ParquetError;
use parquet::file::metadata::ParquetMetaData;
use parquet::file::reader::{ChunkReader, FileReader, RowGroupReader, SerializedFileReader};

/// Size of the shortest Parquet file.
const MIN_FILE_BYTES: u64 = 12;
/// Largest row group. Files of other writers may have larger ones than [`GROUP_ROWS`](super::GROUP_ROWS).
const MAX_GROUP_ROWS: i64 = 2_000_000;
/// Largest number of row groups in a file, enough for ten thousand million runs in full groups.
const MAX_GROUPS: usize = 500_000;

/// Turns a panic of the Parquet library into an error. Some assertions of the library fail for damaged files, as the
/// fuzz test in `tests/run_files.rs` shows. The build must unwind on panics, as the profile `tools` does.
fn catch_parquet_panics<T>(
    read: impl FnOnce() -> Result<T, RunFileError>,
) -> Result<T, RunFileError> {
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(read));
    caught.unwrap_or(Err(RunFileError::Damaged))
}

/// Reads the runs of a file one row group at a time.
pub struct RunReader<R: ChunkReader + 'static> {
    file: SerializedFileReader<R>,
    next_group: usize,
    rows: std::vec::IntoIter<RunRecord>,
    /// Rows read so far.
    rows_read: u64,
    /// Number of rows in the file, according to its metadata.
    pub row_count: u64,
}

impl<R: ChunkReader + 'static> RunReader<R> {
    /// Opens a file and checks that it is a run file.
    ///
    /// # Errors
    ///
    /// If the file has another format or version, or is damaged or truncated.
    pub fn new(source: R) -> Result<RunReader<R>, RunFileError> {
        catch_parquet_panics(|| RunReader::open(source))
    }

    fn open(source: R) -> Result<RunReader<R>, RunFileError> {
        if source.len() < MIN_FILE_BYTES {
            return Err(RunFileError::TooShort);
        }
        let file = SerializedFileReader::new(source).map_err(RunFileError::parquet(
            "not a Parquet file, or its end is missing",
        ))?;
        check_format(file.metadata())?;
        check_columns(file.metadata())?;
        let row_count = count_rows(file.metadata())?;
        Ok(RunReader {
            file,
            next_group: 0,
            rows: Vec::new().into_iter(),
            rows_read: 0,
            row_count,
        })
    }

    /// Returns the next run, or `None` at the end.
    ///
    /// # Errors
    ///
    /// If a row group is damaged, or a row has an invalid value.
    pub fn next_record(&mut self) -> Result<Option<RunRecord>, RunFileError> {
        loop {
            if let Some(record) = self.rows.next() {
                self.rows_read += 1;
                let row = self.rows_read;
                let checked = record.check();
                checked.map_err(|source| RunFileError::Row { row, source })?;
                return Ok(Some(record));
            }
            if self.next_group >= self.file.metadata().num_row_groups() {
                return Ok(None);
            }
            let group = self.next_group;
            self.next_group += 1;
            let rows = catch_parquet_panics(|| self.read_group(group));
            let rows = rows.map_err(|source| RunFileError::RowGroup {
                group,
                source: Box::new(source),
            })?;
            self.rows = rows.into_iter();
        }
    }

    fn read_group(&self, index: usize) -> Result<Vec<RunRecord>, RunFileError> {
        let group = self.file.get_row_group(index);
        let group = group.map_err(RunFileError::parquet("damaged row group"))?;
        let group = GroupColumns {
            rows: group.metadata().num_rows() as usize,
            group: &*group,
        };
        let start_ms = group.required::<Int64Type>(0)?;
        let run_time_s = group.required::<DoubleType>(1)?;
        let team = group.texts(2)?;
        let class = group.texts(3)?;
        let image = group.texts(4)?;
        let job = group.texts(5)?;
        let mut task = group.optional::<Int32Type>(6)?.into_iter();
        let owner_estimate_s = group.required::<DoubleType>(7)?;
        let done = group.required::<BoolType>(8)?;
        let runs = group.required::<Int32Type>(9)?;
        let mut machine = group.optional_texts(10)?.into_iter();
        let names = team.into_iter().zip(class).zip(image).zip(job);
        let records = names.enumerate().map(|(i, (((team, class), image), job))| {
            // The indices are valid: each required column has as many values as the group has rows.
            RunRecord {
                start_ms: start_ms[i],
                run_time_s: run_time_s[i],
                team,
                class,
                image,
                job,
                task: task.next().flatten(),
                owner_estimate_s: owner_estimate_s[i],
                done: done[i],
                runs: runs[i],
                machine: machine.next().flatten(),
            }
        });
        Ok(records.collect())
    }
}

fn check_format(metadata: &ParquetMetaData) -> Result<(), RunFileError> {
    let pairs = metadata.file_metadata().key_value_metadata();
    let mut pairs = pairs.into_iter().flatten();
    let Some(format) = pairs.find(|pair| pair.key == FORMAT_KEY) else {
        return Err(RunFileError::NotRunFile);
    };
    match format.value.as_deref() {
        Some(FORMAT_VERSION) => Ok(()),
        version => Err(RunFileError::Version(version.unwrap_or("none").into())),
    }
}

fn check_columns(metadata: &ParquetMetaData) -> Result<(), RunFileError> {
    let found = metadata.file_metadata().schema_descr().columns();
    for (i, column) in COLUMNS.iter().enumerate() {
        let matches = found.get(i).is_some_and(|c| {
            c.name() == column.name
                && c.physical_type() == column.physical_type
                && c.max_rep_level() == 0
                && c.max_def_level() == i16::from(!column.is_required)
        });
        if !matches || found.len() != COLUMNS.len() {
            return Err(RunFileError::Schema(column.name));
        }
    }
    Ok(())
}

fn count_rows(metadata: &ParquetMetaData) -> Result<u64, RunFileError> {
    if metadata.num_row_groups() > MAX_GROUPS {
        return Err(RunFileError::TooManyGroups);
    }
    let mut row_count = 0u64;
    for group in metadata.row_groups() {
        let rows = group.num_rows();
        if !(0..=MAX_GROUP_ROWS).contains(&rows) {
            return Err(RunFileError::GroupRows(rows));
        }
        row_count += rows as u64;
    }
    Ok(row_count)
}

/// Reads the columns of one row group by their index in [`COLUMNS`].
struct GroupColumns<'a> {
    group: &'a dyn RowGroupReader,
    rows: usize,
}

impl GroupColumns<'_> {
    /// Reads a column that has a value in every row.
    fn required<T: DataType>(&self, index: usize) -> Result<Vec<T::T>, RunFileError> {
        Ok(self.column::<T>(index)?.0)
    }

    /// Reads a column that has no value in some rows.
    fn optional<T: DataType>(&self, index: usize) -> Result<Vec<Option<T::T>>, RunFileError> {
        let (values, levels) = self.column::<T>(index)?;
        let mut values = values.into_iter();
        let value = |level: &i16| (*level > 0).then(|| values.next()).flatten();
        Ok(levels.iter().map(value).collect())
    }

    fn texts(&self, index: usize) -> Result<Vec<String>, RunFileError> {
        let values = self.required::<ByteArrayType>(index)?;
        values.iter().map(|value| text(index, value)).collect()
    }

    fn optional_texts(&self, index: usize) -> Result<Vec<Option<String>>, RunFileError> {
        let values = self.optional::<ByteArrayType>(index)?;
        let texts = values.iter();
        texts
            .map(|value| value.as_ref().map(|value| text(index, value)).transpose())
            .collect()
    }

    /// Reads the values of a column, and for an optional column the definition level of each row: 1 if it has a value.
    fn column<T: DataType>(&self, index: usize) -> Result<(Vec<T::T>, Vec<i16>), RunFileError> {
        let column = COLUMNS[index].name;
        let is_required = COLUMNS[index].is_required;
        let column_error = |source: ParquetError| RunFileError::Column { column, source };
        let reader = self.group.get_column_reader(index).map_err(column_error)?;
        let mut reader = get_typed_column_reader::<T>(reader);
        let (mut values, mut levels) = (Vec::new(), Vec::new());
        let mut read = 0;
        while read < self.rows {
            let wanted_levels = (!is_required).then_some(&mut levels);
            let records = reader.read_records(self.rows - read, wanted_levels, None, &mut values);
            let (count, ..) = records.map_err(column_error)?;
            if count == 0 {
                return Err(RunFileError::MissingValues {
                    column,
                    read,
                    expected: self.rows,
                });
            }
            read += count;
        }
        let expected = match is_required {
            true => read,
            false => levels.iter().filter(|level| **level > 0).count(),
        };
        if values.len() != expected {
            return Err(RunFileError::MissingValues {
                column,
                read: values.len(),
                expected,
            });
        }
        Ok((values, levels))
    }
}

fn text(index: usize, value: &ByteArray) -> Result<String, RunFileError> {
    let text = value.as_utf8().map(str::to_string);
    text.map_err(|_| RunFileError::NotText(COLUMNS[index].name))
}
