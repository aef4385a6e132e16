//! `glenmountctl history`: exports runs, and describes the columns of exports.

use super::CommandError;
use crate::output::{print_line, progress};
use clap::{Args, Subcommand};
use glenmountctl::estimates::{StoredHistories, StoredHistory};
use glenmountctl::export::{self, ExportError, InvalidLines, LogRuns};
use glenmountctl::run_file::COLUMNS;
use glenmountctl::run_record::RunRecord;
use serde_json::json;
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use tempfile::NamedTempFile;

#[derive(Subcommand)]
pub(crate) enum HistoryCommand {
    /// Writes the runs in controllers' logs, or those in the state store, as Parquet
    Export(ExportArguments),
    /// Describes the columns of an export
    Schema {
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
#[group(id = "from", required = true, multiple = false)]
struct Source {
    /// Logs of controllers
    #[arg(long, value_name = "FILE", num_args = 1.., group = "from")]
    log: Vec<PathBuf>,
    /// Address of the state store, such as 10.2.0.1:2379
    #[arg(long, value_name = "ADDRESS", group = "from")]
    state: Option<String>,
}

#[derive(Args)]
pub(crate) struct ExportArguments {
    #[command(flatten)]
    from: Source,
    /// The file to write. An existing file is replaced once all runs are written
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Prints the numbers of runs as JSON
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(command: HistoryCommand) -> Result<(), CommandError> {
    match command {
        HistoryCommand::Export(arguments) => export(arguments),
        HistoryCommand::Schema { json } => schema(json),
    }
}

fn export(arguments: ExportArguments) -> Result<(), CommandError> {
    let folder = match arguments.out.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    // In the folder of the target, so that it can be renamed. It is deleted on an error.
    let file = NamedTempFile::new_in(folder).map_err(CommandError::file(folder))?;
    let sorting = tempfile::tempdir_in(folder).map_err(CommandError::file(folder))?;
    let out = BufWriter::new(file);
    let exported = match &arguments.from.state {
        Some(address) => export_records(address, sorting.path(), out)?,
        None => export_logs(&arguments.from.log, sorting.path(), out)?,
    };
    let file = exported.out.into_inner();
    let file = file.map_err(|e| CommandError::Output(e.into_error()))?;
    let synced = file.as_file().sync_all();
    synced.map_err(CommandError::file(&arguments.out))?;
    file.persist(&arguments.out)
        .map_err(|e| CommandError::file(&arguments.out)(e.error))?;
    let InvalidLines { count, messages } = exported.invalid_lines;
    messages.iter().for_each(|f| eprintln!("passed over: {f}"));
    let (written, out) = (exported.written, arguments.out.display().to_string());
    match arguments.json {
        true => print_line(&json!({"runs": written, "faulty": count, "file": out}))?,
        false => print_line(&format!(
            "{written} runs to {out}, {count} faulty ones passed over"
        ))?,
    }
    Ok(())
}

/// The result of an export.
struct ExportResult {
    out: BufWriter<NamedTempFile>,
    written: u64,
    invalid_lines: InvalidLines,
}

fn export_records(
    address: &str,
    sorting: &Path,
    out: BufWriter<NamedTempFile>,
) -> Result<ExportResult, CommandError> {
    let stored = StoredHistories::read(address)?;
    let runs = stored.readable.iter().flat_map(StoredHistory::run_records);
    let (out, written) = export::write(runs, sorting, out)?;
    let invalid_lines = InvalidLines {
        count: stored.damaged as u64,
        messages: Vec::new(),
    };
    Ok(ExportResult {
        out,
        written,
        invalid_lines,
    })
}

fn export_logs(
    paths: &[PathBuf],
    sorting: &Path,
    out: BufWriter<NamedTempFile>,
) -> Result<ExportResult, CommandError> {
    let mut logs = Vec::new();
    let mut bytes = 0;
    for path in paths {
        let file = File::open(path).map_err(CommandError::file(path))?;
        bytes += file.metadata().map_err(CommandError::file(path))?.len();
        logs.push((path.display().to_string(), file));
    }
    let bar = progress(bytes, true);
    let open = |(name, file): (String, File)| {
        let bar = bar.clone();
        LogRuns::new(&name, file, Box::new(move |bytes| bar.inc(bytes)))
    };
    let mut runs = ChainedLogRuns {
        logs: logs.into_iter().map(open),
        current: None,
        invalid_lines: InvalidLines::default(),
        error: None,
    };
    let (out, written) = export::write(runs.by_ref(), sorting, out)?;
    bar.finish_and_clear();
    match runs.error {
        Some(error) => Err(error.into()),
        None => Ok(ExportResult {
            out,
            written,
            invalid_lines: runs.invalid_lines,
        }),
    }
}

/// Iterates over the runs of several logs in turn, up to a log that cannot be read.
struct ChainedLogRuns<I> {
    logs: I,
    current: Option<LogRuns<File>>,
    invalid_lines: InvalidLines,
    error: Option<ExportError>,
}

impl<I: Iterator<Item = LogRuns<File>>> Iterator for ChainedLogRuns<I> {
    type Item = RunRecord;

    fn next(&mut self) -> Option<RunRecord> {
        loop {
            let mut log = match self.current.take() {
                Some(log) => log,
                None => self.logs.next()?,
            };
            match log.next_record() {
                Ok(Some(record)) => {
                    self.current = Some(log);
                    return Some(record);
                }
                Ok(None) => {
                    self.invalid_lines.count += log.invalid_lines.count;
                    self.invalid_lines
                        .messages
                        .append(&mut log.invalid_lines.messages);
                }
                Err(error) => {
                    self.error = Some(error);
                    return None;
                }
            }
        }
    }
}

fn schema(json: bool) -> Result<(), CommandError> {
    if json {
        let columns = COLUMNS.map(|column| {
            json!({"column": column.name, "type": column.physical_type.to_string(),
                "required": column.is_required, "holds": column.description})
        });
        return Ok(print_line(&json!(columns))?);
    }
    let lines = COLUMNS.map(|column| {
        let physical_type = column.physical_type.to_string();
        let mark = if column.is_required { "" } else { "optional" };
        format!(
            "{:10} {physical_type:11} {mark:9} {}",
            column.name, column.description
        )
    });
    Ok(print_line(&lines.join("\n"))?)
}
