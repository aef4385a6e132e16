//! Exports: from controllers' logs or from the state service into one Parquet file, in order of
//! start, however large.

use crate::run_file::{RunFileError, RunWriter};
use crate::run_record::{parse_log_line, RunRecord};
use extsort::{ExternalSorter, Sortable};
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Runs sorted in memory at a time, some 300 bytes each; more go through files.
const RECORDS_SORTED_IN_MEMORY: usize = 200_000;
/// Bytes of a line of a log at most; of longer ones the rest is passed over.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// Faulty lines that are named; more are counted only.
const MAX_FAULTS_NAMED: usize = 5;

/// Why an export failed.
#[derive(Debug, Error)]
pub enum ExportError {
    /// A log can't be read.
    #[error("{log}: {source}")]
    Log {
        /// The log's name.
        log: String,
        /// Why.
        source: std::io::Error,
    },
    /// Runs can't be sorted in a folder, for want of space as an example.
    #[error("{}: can't sort there: {source}", folder.display())]
    Sort {
        /// The folder for temporary files.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file can't be written.
    #[error(transparent)]
    File(#[from] RunFileError),
    /// The sorter lost runs.
    #[error("only {written} of {count} runs came back from sorting")]
    Lost {
        /// Runs that came back.
        written: u64,
        /// Runs that went in.
        count: u64,
    },
}

/// A run as the sorter keeps it in temporary files: its length in bytes, then JSON.
struct SortableRecord(RunRecord);

impl Sortable for SortableRecord {
    fn encode<W: Write>(&self, out: &mut W) -> std::io::Result<()> {
        let json = serde_json::to_vec(&self.0)?;
        out.write_all(&(json.len() as u32).to_le_bytes())?;
        out.write_all(&json)
    }

    fn decode<R: Read>(from: &mut R) -> std::io::Result<SortableRecord> {
        let mut len = [0; 4];
        from.read_exact(&mut len)?;
        let len = u64::from(u32::from_le_bytes(len));
        let mut json = Vec::new();
        from.take(len.min(MAX_LINE_BYTES)).read_to_end(&mut json)?;
        Ok(SortableRecord(serde_json::from_slice(&json)?))
    }
}

/// Lines of a log that told of no sound run.
#[derive(Debug, Default, PartialEq)]
pub struct Faults {
    /// How many.
    pub count: u64,
    /// The first few: log, line and why.
    pub named: Vec<String>,
}

/// Runs of a log, one line at a time. `on_bytes_read` is called with the number of bytes of each line.
pub struct LogRuns<R: Read> {
    name: String,
    from: BufReader<R>,
    line: u64,
    /// Lines passed over so far.
    pub faults: Faults,
    on_bytes_read: Box<dyn Fn(u64) + Send>,
}

impl<R: Read> LogRuns<R> {
    /// Reads a log; its name is for messages.
    pub fn new(name: &str, from: R, on_bytes_read: Box<dyn Fn(u64) + Send>) -> LogRuns<R> {
        LogRuns {
            name: name.into(),
            from: BufReader::new(from),
            line: 0,
            faults: Faults::default(),
            on_bytes_read,
        }
    }

    /// The next run, or nothing at the end. Faulty lines are counted and passed over.
    ///
    /// # Errors
    ///
    /// If the log can't be read.
    pub fn next_record(&mut self) -> Result<Option<RunRecord>, ExportError> {
        loop {
            let mut bytes = Vec::new();
            let mut line = (&mut self.from).take(MAX_LINE_BYTES);
            let read = line
                .read_until(b'\n', &mut bytes)
                .map_err(|source| ExportError::Log {
                    log: self.name.clone(),
                    source,
                })?;
            if read == 0 {
                return Ok(None);
            }
            self.line += 1;
            (self.on_bytes_read)(read as u64);
            match parse_log_line(&String::from_utf8_lossy(&bytes)) {
                Some(Ok(row)) => return Ok(Some(row)),
                Some(Err(why)) => {
                    self.faults.count += 1;
                    if self.faults.named.len() < MAX_FAULTS_NAMED {
                        let fault = format!("{}: line {}: {why}", self.name, self.line);
                        self.faults.named.push(fault);
                    }
                }
                None => {}
            }
        }
    }
}

/// Writes runs in order of start, sorted in temporary files. Returns what they were written to, and how
/// many.
///
/// # Errors
///
/// If they can't be sorted or written.
pub fn write<W: Write + Send>(
    rows: impl Iterator<Item = RunRecord>,
    temporary: &Path,
    out: W,
) -> Result<(W, u64), ExportError> {
    let sorter = ExternalSorter::new()
        .with_segment_size(RECORDS_SORTED_IN_MEMORY)
        .with_sort_dir(temporary.to_path_buf());
    let mut count = 0u64;
    let counted = rows.inspect(|_| count += 1).map(SortableRecord);
    let key = |a: &SortableRecord, b: &SortableRecord| a.0.start_ms.cmp(&b.0.start_ms);
    let failed = |source| ExportError::Sort {
        folder: temporary.to_path_buf(),
        source,
    };
    let sorted = sorter.sort_by(counted, key).map_err(failed)?;
    let mut writer = RunWriter::new(out)?;
    for row in sorted {
        writer.push(row.map_err(failed)?.0)?;
    }
    let (out, written) = writer.finish()?;
    match written == count {
        true => Ok((out, written)),
        false => Err(ExportError::Lost { written, count }),
    }
}
