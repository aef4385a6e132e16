//! Parquet files of runs: written in row groups, read a batch at a time, never whole.

use crate::run::Row;
use crate::Failure;
use parquet::basic::{Compression, LogicalType, Repetition, TimeUnit, Type as Physical};
use parquet::column::reader::get_typed_column_reader;
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, DoubleType, Int32Type, Int64Type};
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{ChunkReader, FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::{Type, TypePtr};
use std::io::Write;
use std::sync::Arc;

/// Rows per row group: some 2 MB in memory.
pub const GROUP_ROWS: usize = 20_000;
/// Rows in a row group at most, of files that others wrote.
const MOST_GROUP_ROWS: i64 = 2_000_000;
/// Row groups in a file at most: of full ones ten thousand million runs.
const MOST_GROUPS: usize = 500_000;
/// The key and value in a file's metadata that say what it is.
const KIND: (&str, &str) = ("glenmount.runs", "1");

/// Columns in order: name, physical type, whether each row has a value, what it holds.
pub const COLUMNS: [(&str, Physical, bool, &str); 11] = [
    (
        "start_ms",
        Physical::INT64,
        true,
        "when the run began, milliseconds since 1970, UTC",
    ),
    (
        "secs",
        Physical::DOUBLE,
        true,
        "run time in seconds, without the image's fetch",
    ),
    (
        "team",
        Physical::BYTE_ARRAY,
        true,
        "the team that owns the job",
    ),
    ("class", Physical::BYTE_ARRAY, true, "the job's class"),
    ("image", Physical::BYTE_ARRAY, true, "the job's image"),
    (
        "job",
        Physical::BYTE_ARRAY,
        true,
        "the job's id; # and a hash where the state service keeps no more",
    ),
    (
        "task",
        Physical::INT32,
        false,
        "the task's number; none where a row stands for several",
    ),
    (
        "expect_s",
        Physical::DOUBLE,
        true,
        "the owner's estimate in seconds; 0 for none",
    ),
    (
        "done",
        Physical::BOOLEAN,
        true,
        "whether it completed; if not, it takes at least secs",
    ),
    (
        "runs",
        Physical::INT32,
        true,
        "tasks that the row stands for",
    ),
    (
        "machine",
        Physical::BYTE_ARRAY,
        false,
        "the machine, where it is known",
    ),
];

fn failed(what: &str) -> impl Fn(parquet::errors::ParquetError) -> Failure + '_ {
    move |e| format!("{what}: {e}")
}

fn schema() -> Result<TypePtr, Failure> {
    let mut fields = Vec::new();
    for (name, physical, required, _) in COLUMNS {
        let logical = match physical {
            Physical::BYTE_ARRAY => Some(LogicalType::String),
            Physical::INT64 => Some(LogicalType::Timestamp {
                is_adjusted_to_u_t_c: true,
                unit: TimeUnit::MILLIS(Default::default()),
            }),
            _ => None,
        };
        let repetition = match required {
            true => Repetition::REQUIRED,
            false => Repetition::OPTIONAL,
        };
        let field = Type::primitive_type_builder(name, physical)
            .with_repetition(repetition)
            .with_logical_type(logical)
            .build()
            .map_err(failed("schema"))?;
        fields.push(Arc::new(field));
    }
    let schema = Type::group_type_builder("run").with_fields(fields).build();
    Ok(Arc::new(schema.map_err(failed("schema"))?))
}

/// Writes runs in order of their start; the caller sees to that.
pub struct RunWriter<W: Write + Send> {
    out: SerializedFileWriter<W>,
    rows: Vec<Row>,
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

    pub fn push(&mut self, row: Row) -> Result<(), Failure> {
        self.rows.push(row);
        match self.rows.len() >= GROUP_ROWS {
            true => self.group(),
            false => Ok(()),
        }
    }

    fn group(&mut self) -> Result<(), Failure> {
        let rows = std::mem::take(&mut self.rows);
        if rows.is_empty() {
            return Ok(());
        }
        let mut write = || -> Result<(), parquet::errors::ParquetError> {
            let mut group = self.out.next_row_group()?;
            let text = |of: fn(&Row) -> &str| -> Vec<ByteArray> {
                rows.iter().map(|r| ByteArray::from(of(r))).collect()
            };
            let double = |of: fn(&Row) -> f64| -> Vec<f64> { rows.iter().map(of).collect() };
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
        self.group()?;
        let out = self
            .out
            .into_inner()
            .map_err(failed("can't end the file"))?;
        Ok((out, self.written))
    }
}

/// The library asserts in places what a damaged file need not keep to (found by the fuzzer in
/// `tests/files.rs`): that is an error like any other here. It needs a build that unwinds, which
/// the profile `tools` is.
fn guarded<T>(read: impl FnOnce() -> Result<T, Failure>) -> Result<T, Failure> {
    let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(read));
    caught.unwrap_or_else(|_| Err("a damaged Parquet file: what it says of itself can't be".into()))
}

/// Reads runs a row group at a time.
pub struct RunReader<R: ChunkReader + 'static> {
    file: SerializedFileReader<R>,
    next_group: usize,
    rows: std::vec::IntoIter<Row>,
    /// Rows read so far, and in all by the file's own word.
    pub read: u64,
    pub whole: u64,
}

impl<R: ChunkReader + 'static> RunReader<R> {
    pub fn new(source: R) -> Result<RunReader<R>, Failure> {
        guarded(|| RunReader::open(source))
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
        if metadata.num_row_groups() > MOST_GROUPS {
            return Err("more row groups than any export has".into());
        }
        let mut whole = 0u64;
        for group in metadata.row_groups() {
            let rows = group.num_rows();
            if !(0..=MOST_GROUP_ROWS).contains(&rows) {
                return Err(format!("a row group says that it has {rows} rows"));
            }
            whole += rows as u64;
        }
        Ok(RunReader {
            file,
            next_group: 0,
            rows: Vec::new().into_iter(),
            read: 0,
            whole,
        })
    }

    /// The next run, or nothing at the end.
    pub fn next_row(&mut self) -> Result<Option<Row>, Failure> {
        loop {
            if let Some(row) = self.rows.next() {
                self.read += 1;
                row.check().map_err(|e| format!("row {}: {e}", self.read))?;
                return Ok(Some(row));
            }
            if self.next_group >= self.file.metadata().num_row_groups() {
                return Ok(None);
            }
            let group = self.next_group;
            self.next_group += 1;
            let rows = guarded(|| self.group(group));
            let rows = rows.map_err(|e| format!("row group {group}: {e}"))?;
            self.rows = rows.into_iter();
        }
    }

    fn group(&self, at: usize) -> Result<Vec<Row>, Failure> {
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
            found.push(Row {
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
