//! Reads files of runs, a row group at a time; whatever is damaged or of another kind is refused.

use super::schema::{COLUMNS, KIND_KEY, KIND_VERSION};
use super::RunFileError;
use crate::run_record::RunRecord;
use parquet::column::reader::get_typed_column_reader;
use parquet::data_type::{
    BoolType, ByteArray, ByteArrayType, DataType, DoubleType, Int32Type, Int64Type,
};
use parquet::errors::ParquetError;
use parquet::file::metadata::ParquetMetaData;
use parquet::file::reader::{ChunkReader, FileReader, RowGroupReader, SerializedFileReader};

/// Bytes of the shortest Parquet file.
const MIN_FILE_BYTES: u64 = 12;
/// Rows in a row group at most, of files that others wrote.
const MAX_GROUP_ROWS: i64 = 2_000_000;
/// Row groups in a file at most: of full ones ten thousand million runs.
const MAX_GROUPS: usize = 500_000;

/// The library asserts in places what a damaged file need not keep to (found by the fuzzer in
/// `tests/run_files.rs`): that is an error like any other here. It needs a build that unwinds, which
/// the profile `tools` is.
fn catch_parquet_panics<T>(
    read: impl FnOnce() -> Result<T, RunFileError>,
) -> Result<T, RunFileError> {
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(read));
    caught.unwrap_or(Err(RunFileError::Damaged))
}

/// Reads runs a row group at a time.
pub struct RunReader<R: ChunkReader + 'static> {
    file: SerializedFileReader<R>,
    next_group: usize,
    rows: std::vec::IntoIter<RunRecord>,
    /// Rows read so far.
    rows_read: u64,
    /// Rows in all, by the file's own word.
    pub row_count: u64,
}

impl<R: ChunkReader + 'static> RunReader<R> {
    /// Opens a file and checks that it is one of runs.
    ///
    /// # Errors
    ///
    /// If it is of another kind or version, damaged or cut off.
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
        check_kind(file.metadata())?;
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

    /// The next run, or nothing at the end.
    ///
    /// # Errors
    ///
    /// If a row group is damaged, or a row has a value that no run can have.
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
        let group = group.map_err(RunFileError::parquet("broken"))?;
        let group = GroupColumns {
            rows: group.metadata().num_rows() as usize,
            group: &*group,
        };
        let start_ms = group.required::<Int64Type>(0)?;
        let secs = group.required::<DoubleType>(1)?;
        let team = group.texts(2)?;
        let class = group.texts(3)?;
        let image = group.texts(4)?;
        let job = group.texts(5)?;
        let mut task = group.optional::<Int32Type>(6)?.into_iter();
        let expect_s = group.required::<DoubleType>(7)?;
        let done = group.required::<BoolType>(8)?;
        let runs = group.required::<Int32Type>(9)?;
        let mut machine = group.optional_texts(10)?.into_iter();
        let names = team.into_iter().zip(class).zip(image).zip(job);
        let records = names.enumerate().map(|(i, (((team, class), image), job))| {
            // Each required column has as many values as the group has rows.
            RunRecord {
                start_ms: start_ms[i],
                secs: secs[i],
                team,
                class,
                image,
                job,
                task: task.next().flatten(),
                expect_s: expect_s[i],
                done: done[i],
                runs: runs[i],
                machine: machine.next().flatten(),
            }
        });
        Ok(records.collect())
    }
}

fn check_kind(metadata: &ParquetMetaData) -> Result<(), RunFileError> {
    let pairs = metadata.file_metadata().key_value_metadata();
    let mut pairs = pairs.into_iter().flatten();
    let Some(kind) = pairs.find(|pair| pair.key == KIND_KEY) else {
        return Err(RunFileError::OtherKind);
    };
    match kind.value.as_deref() {
        Some(KIND_VERSION) => Ok(()),
        version => Err(RunFileError::Version(version.unwrap_or("none").into())),
    }
}

fn check_columns(metadata: &ParquetMetaData) -> Result<(), RunFileError> {
    let found = metadata.file_metadata().schema_descr().columns();
    for (i, column) in COLUMNS.iter().enumerate() {
        let fits = found.get(i).is_some_and(|c| {
            c.name() == column.name
                && c.physical_type() == column.physical_type
                && c.max_rep_level() == 0
                && c.max_def_level() == i16::from(!column.is_required)
        });
        if !fits || found.len() != COLUMNS.len() {
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

/// The columns of one row group, by their index in [`COLUMNS`].
struct GroupColumns<'a> {
    group: &'a dyn RowGroupReader,
    rows: usize,
}

impl GroupColumns<'_> {
    /// A column in which each row has a value.
    fn required<T: DataType>(&self, index: usize) -> Result<Vec<T::T>, RunFileError> {
        Ok(self.column::<T>(index)?.0)
    }

    /// A column in which some rows have no value.
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

    /// Values, and for each row of an optional column 1 if it has one.
    fn column<T: DataType>(&self, index: usize) -> Result<(Vec<T::T>, Vec<i16>), RunFileError> {
        let column = COLUMNS[index].name;
        let is_required = COLUMNS[index].is_required;
        let broken = |source: ParquetError| RunFileError::Column { column, source };
        let reader = self.group.get_column_reader(index).map_err(broken)?;
        let mut reader = get_typed_column_reader::<T>(reader);
        let (mut values, mut levels) = (Vec::new(), Vec::new());
        let mut read = 0;
        while read < self.rows {
            let wanted_levels = (!is_required).then_some(&mut levels);
            let records = reader.read_records(self.rows - read, wanted_levels, None, &mut values);
            let (more, ..) = records.map_err(broken)?;
            if more == 0 {
                return Err(RunFileError::MissingValues {
                    column,
                    read,
                    expected: self.rows,
                });
            }
            read += more;
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
