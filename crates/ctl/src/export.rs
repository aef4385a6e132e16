//! Exports: from controllers' logs or from the state service into one Parquet file, in order of
//! start, however large.

use crate::run_file::RunWriter;
use crate::run_record::{parse_log_line, RunRecord};
use crate::Failure;
use extsort::{ExternalSorter, Sortable};
use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;

/// Runs sorted in memory at a time, some 300 bytes each; more go through files.
const RECORDS_SORTED_IN_MEMORY: usize = 200_000;
/// Bytes of a line of a log at most; of longer ones the rest is passed over.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// Faulty lines that are named; more are counted only.
const MAX_FAULTS_NAMED: usize = 5;

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
    pub count: u64,
    pub named: Vec<String>,
}

/// Runs of a log, one line at a time. `on_bytes_read` is called with the number of bytes of each line.
pub struct LogRuns<R: Read> {
    name: String,
    from: BufReader<R>,
    line: u64,
    pub faults: Faults,
    on_bytes_read: Box<dyn Fn(u64) + Send>,
}

impl<R: Read> LogRuns<R> {
    pub fn new(name: &str, from: R, on_bytes_read: Box<dyn Fn(u64) + Send>) -> LogRuns<R> {
        LogRuns {
            name: name.into(),
            from: BufReader::new(from),
            line: 0,
            faults: Faults::default(),
            on_bytes_read,
        }
    }

    pub fn next_record(&mut self) -> Result<Option<RunRecord>, Failure> {
        loop {
            let mut bytes = Vec::new();
            let broken = |e| format!("{}: {e}", self.name);
            let mut line = (&mut self.from).take(MAX_LINE_BYTES);
            let read = line.read_until(b'\n', &mut bytes).map_err(broken)?;
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

/// Writes rows in order of start. Says how many.
pub fn write<W: Write + Send>(
    rows: impl Iterator<Item = RunRecord>,
    temporary: &Path,
    out: W,
) -> Result<(W, u64), Failure> {
    let sorter = ExternalSorter::new()
        .with_segment_size(RECORDS_SORTED_IN_MEMORY)
        .with_sort_dir(temporary.to_path_buf());
    let mut count = 0u64;
    let counted = rows.inspect(|_| count += 1).map(SortableRecord);
    let key = |a: &SortableRecord, b: &SortableRecord| a.0.start_ms.cmp(&b.0.start_ms);
    let failed = |e: std::io::Error| format!("{}: can't sort there: {e}", temporary.display());
    let sorted = sorter.sort_by(counted, key).map_err(failed)?;
    let mut writer = RunWriter::new(out)?;
    for row in sorted {
        writer.push(row.map_err(failed)?.0)?;
    }
    let (out, written) = writer.finish()?;
    match written == count {
        true => Ok((out, written)),
        false => Err(format!(
            "only {written} of {count} runs came back from sorting"
        )),
    }
}
