//! Reads files of runs, a row group at a time; whatever is damaged or of another kind is refused.

use super::schema::{failed, COLUMNS, KIND};
use crate::run_record::RunRecord;
use crate::Failure;
use parquet::column::reader::get_typed_column_reader;
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, DoubleType, Int32Type, Int64Type};
use parquet::file::reader::{ChunkReader, FileReader, SerializedFileReader};

/// Rows in a row group at most, of files that others wrote.
const MAX_GROUP_ROWS: i64 = 2_000_000;
/// RunRecord groups in a file at most: of full ones ten thousand million runs.
const MAX_GROUPS: usize = 500_000;

/// The library asserts in places what a damaged file need not keep to (found by the fuzzer in
/// `tests/files.rs`): that is an error like any other here. It needs a build that unwinds, which
/// the profile `tools` is.
fn catch_parquet_panics<T>(read: impl FnOnce() -> Result<T, Failure>) -> Result<T, Failure> {
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(read));
    caught.unwrap_or_else(|_| Err("a damaged Parquet file: what it says of itself can't be".into()))
}

/// Reads runs a row group at a time.
pub struct RunReader<R: ChunkReader + 'static> {
    file: SerializedFileReader<R>,
    next_group: usize,
    rows: std::vec::IntoIter<RunRecord>,
    /// Rows read so far, and in all by the file's own word.
    pub rows_read: u64,
    pub row_count: u64,
}

impl<R: ChunkReader + 'static> RunReader<R> {
    pub fn new(source: R) -> Result<RunReader<R>, Failure> {
        catch_parquet_panics(|| RunReader::open(source))
    }

    fn open(source: R) -> Result<RunReader<R>, Failure> {
        if source.len() < 12 {
            return Err("too short to be a Parquet file".into());
        }
        let file = SerializedFileReader::new(source)
            .map_err(failed("not a Parquet file, or its end is missing"))?;
        let metadata = file.metadata();
        let pairs = metadata.file_metadata().key_value_metadata();
        let kind = pairs.into_iter().flatten().find(|kv| kv.key == KIND.0);
        match kind.map(|kv| kv.value.as_deref()) {
            Some(Some(version)) if version == KIND.1 => {}
            Some(version) => {
                let version = version.unwrap_or("none");
                return Err(format!(
                    "{}: version {version} is not known here, only {}",
                    KIND.0, KIND.1
                ));
            }
            None => return Err(format!("a Parquet file of something else: no {}", KIND.0)),
        }
        let columns = metadata.file_metadata().schema_descr().columns();
        for (i, (name, physical, required, _)) in COLUMNS.into_iter().enumerate() {
            let fits = columns.get(i).is_some_and(|c| {
                c.name() == name
                    && c.physical_type() == physical
                    && c.max_rep_level() == 0
                    && c.max_def_level() == i16::from(!required)
            });
            if !fits || columns.len() != COLUMNS.len() {
                return Err(format!(
                    "column {name}: missing, or not as written by the export"
                ));
            }
        }
        if metadata.num_row_groups() > MAX_GROUPS {
            return Err("more row groups than any export has".into());
        }
        let mut row_count = 0u64;
        for group in metadata.row_groups() {
            let rows = group.num_rows();
            if !(0..=MAX_GROUP_ROWS).contains(&rows) {
                return Err(format!("a row group says that it has {rows} rows"));
            }
            row_count += rows as u64;
        }
        Ok(RunReader {
            file,
            next_group: 0,
            rows: Vec::new().into_iter(),
            rows_read: 0,
            row_count,
        })
    }

    /// The next run, or nothing at the end.
    pub fn next_record(&mut self) -> Result<Option<RunRecord>, Failure> {
        loop {
            if let Some(row) = self.rows.next() {
                self.rows_read += 1;
                row.check()
                    .map_err(|e| format!("row {}: {e}", self.rows_read))?;
                return Ok(Some(row));
            }
            if self.next_group >= self.file.metadata().num_row_groups() {
                return Ok(None);
            }
            let group = self.next_group;
            self.next_group += 1;
            let rows = catch_parquet_panics(|| self.read_group(group));
            let rows = rows.map_err(|e| format!("row group {group}: {e}"))?;
            self.rows = rows.into_iter();
        }
    }

    fn read_group(&self, at: usize) -> Result<Vec<RunRecord>, Failure> {
        let group = self.file.get_row_group(at).map_err(failed("broken"))?;
        let rows = group.metadata().num_rows() as usize;
        macro_rules! column {
            ($n:expr, $kind:ty) => {{
                let name = COLUMNS[$n].0;
                let broken = |e| format!("column {name}: {e}");
                let reader = group.get_column_reader($n).map_err(broken)?;
                let mut reader = get_typed_column_reader::<$kind>(reader);
                let (mut values, mut levels) = (Vec::new(), Vec::new());
                let mut got = 0;
                while got < rows {
                    let optional = (!COLUMNS[$n].2).then_some(&mut levels);
                    let read = reader.read_records(rows - got, optional, None, &mut values);
                    let (more, ..) = read.map_err(broken)?;
                    if more == 0 {
                        return Err(format!("column {name}: {got} of {rows} values"));
                    }
                    got += more;
                }
                let given = match COLUMNS[$n].2 {
                    true => got,
                    false => levels.iter().filter(|l| **l > 0).count(),
                };
                if values.len() != given {
                    return Err(format!("column {name}: {} of {given} values", values.len()));
                }
                (values, levels)
            }};
        }
        let texts = |n: usize, values: Vec<ByteArray>| -> Result<Vec<String>, Failure> {
            let text = |v: &ByteArray| {
                let text = v.as_utf8().map(str::to_string);
                text.map_err(|_| format!("column {}: not text", COLUMNS[n].0))
            };
            values.iter().map(text).collect()
        };
        let (starts, _) = column!(0, Int64Type);
        let (secs, _) = column!(1, DoubleType);
        let team = texts(2, column!(2, ByteArrayType).0)?;
        let class = texts(3, column!(3, ByteArrayType).0)?;
        let image = texts(4, column!(4, ByteArrayType).0)?;
        let job = texts(5, column!(5, ByteArrayType).0)?;
        let (tasks, task_levels) = column!(6, Int32Type);
        let (expect, _) = column!(7, DoubleType);
        let (done, _) = column!(8, BoolType);
        let (runs, _) = column!(9, Int32Type);
        let (machines, machine_levels) = column!(10, ByteArrayType);
        let machines = texts(10, machines)?;
        let (mut tasks, mut machines) = (tasks.into_iter(), machines.into_iter());
        let mut found = Vec::with_capacity(rows);
        let names = team.into_iter().zip(class).zip(image).zip(job);
        for (i, (((team, class), image), job)) in names.enumerate() {
            let has = |levels: &[i16]| levels.get(i).is_some_and(|l| *l > 0);
            found.push(RunRecord {
                start_ms: starts[i],
                secs: secs[i],
                team,
                class,
                image,
                job,
                task: has(&task_levels).then(|| tasks.next()).flatten(),
                expect_s: expect[i],
                done: done[i],
                runs: runs[i],
                machine: has(&machine_levels).then(|| machines.next()).flatten(),
            });
        }
        Ok(found)
    }
}
