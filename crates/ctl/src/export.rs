//! Exports runs from controllers' logs or the state store to one Parquet file, in order of their start. An external
//! sort limits the memory, so that the number of runs is unlimited.

use crate::run_file::{RunFileError, RunWriter};
use crate::run_record::{parse_log_line, RunRecord};
use extsort::{ExternalSorter, Sortable};
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Runs sorted in memory at a time, some 300 bytes each. Larger exports are sorted with temporary files.
const RECORDS_SORTED_IN_MEMORY: usize = 200_000;
/// Longest log line. The rest of a longer line is read as a line of its own.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// Number of invalid lines that are reported with a message. Further ones are only counted.
const MAX_LINES_REPORTED: usize = 5;

/// The reason why an export failed.
#[derive(Debug, Error)]
pub enum ExportError {
    /// A log cannot be read.
    #[error("{log}: {source}")]
    Log {
        /// The log's name.
        log: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Runs cannot be sorted in a folder, for example because the disk is full.
    #[error("{}: cannot sort there: {source}", folder.display())]
    Sort {
        /// The folder for temporary files.
        folder: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The Parquet file cannot be written.
    #[error(transparent)]
    File(#[from] RunFileError),
    /// The sorter lost runs.
    #[error("the sort returned only {written} of {count} runs")]
    Lost {
        /// Runs that the sorter returned.
        written: u64,
        /// Runs that were passed to the sorter.
        count: u64,
    },
}

/// A run in the sorter's temporary files: the length in bytes, followed by JSON.
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

/// The log lines whose run is invalid.
#[derive(Debug, Default, PartialEq)]
pub struct InvalidLines {
    /// Number of lines.
    pub count: u64,
    /// Messages with log, line number and reason, for the first few lines.
    pub messages: Vec<String>,
}

/// Reads the runs of a log line by line. `on_bytes_read` is called with the number of bytes of each line.
pub struct LogRuns<R: Read> {
    name: String,
    log: BufReader<R>,
    line_number: u64,
    /// Invalid lines skipped so far.
    pub invalid_lines: InvalidLines,
    on_bytes_read: Box<dyn Fn(u64) + Send>,
}

impl<R: Read> LogRuns<R> {
    /// Creates a reader. The log's name appears in messages.
    pub fn new(name: &str, log: R, on_bytes_read: Box<dyn Fn(u64) + Send>) -> LogRuns<R> {
        LogRuns {
            name: name.into(),
            log: BufReader::new(log),
            line_number: 0,
            invalid_lines: InvalidLines::default(),
            on_bytes_read,
        }
    }

    /// Returns the next run, or `None` at the end. Invalid lines are counted and skipped.
    ///
    /// # Errors
    ///
    /// If the log cannot be read.
    pub fn next_record(&mut self) -> Result<Option<RunRecord>, ExportError> {
        loop {
            let mut bytes = Vec::new();
            let mut line = (&mut self.log).take(MAX_LINE_BYTES);
            let read = line
                .read_until(b'\n', &mut bytes)
                .map_err(|source| ExportError::Log {
                    log: self.name.clone(),
                    source,
                })?;
            if read == 0 {
                return Ok(None);
            }
            self.line_number += 1;
            (self.on_bytes_read)(read as u64);
            match parse_log_line(&String::from_utf8_lossy(&bytes)) {
                Some(Ok(record)) => return Ok(Some(record)),
                Some(Err(reason)) => {
                    self.invalid_lines.count += 1;
                    if self.invalid_lines.messages.len() < MAX_LINES_REPORTED {
                        let message = format!("{}: line {}: {reason}", self.name, self.line_number);
                        self.invalid_lines.messages.push(message);
                    }
                }
                None => {}
            }
        }
    }
}

/// Writes runs in order of their start, sorted with files in the folder `temporary`. Returns `out` and the number of
/// runs.
///
/// # Errors
///
/// If the runs cannot be sorted or written.
pub fn write<W: Write + Send>(
    records: impl Iterator<Item = RunRecord>,
    temporary: &Path,
    out: W,
) -> Result<(W, u64), ExportError> {
    let sorter = ExternalSorter::new()
        .with_segment_size(RECORDS_SORTED_IN_MEMORY)
        .with_sort_dir(temporary.to_path_buf());
    let mut count = 0u64;
    let counted = records.inspect(|_| count += 1).map(SortableRecord);
    let by_start = |a: &SortableRecord, b: &SortableRecord| a.0.start_ms.cmp(&b.0.start_ms);
    let failed = |source| ExportError::Sort {
        folder: temporary.to_path_buf(),
        source,
    };
    let sorted = sorter.sort_by(counted, by_start).map_err(failed)?;
    let mut writer = RunWriter::new(out)?;
    for record in sorted {
        writer.push(record.map_err(failed)?.0)?;
    }
    let (out, written) = writer.finish()?;
    match written == count {
        true => Ok((out, written)),
        false => Err(ExportError::Lost { written, count }),
    }
}
