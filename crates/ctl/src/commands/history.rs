//! `glenmountctl history`: exports of runs, and the columns that they have.

use super::CommandError;
use crate::output::{print_line, progress};
use clap::{Args, Subcommand};
use glenmountctl::estimates::{StoredHistories, StoredHistory};
use glenmountctl::export::{self, ExportError, Faults, LogRuns};
use glenmountctl::run_file::COLUMNS;
use glenmountctl::run_record::RunRecord;
use serde_json::json;
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use tempfile::NamedTempFile;

#[derive(Subcommand)]
pub(crate) enum HistoryCommand {
    /// Writes the runs that controllers logged, or those that the state service remembers, as Parquet
    Export(ExportArguments),
    /// Describes the columns of such a file
    Schema {
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
#[group(id = "from", required = true, multiple = false)]
struct Source {
    /// Controllers' logs; several may be named
    #[arg(long, value_name = "FILE", num_args = 1.., group = "from")]
    log: Vec<PathBuf>,
    /// The state service's address, such as 10.2.0.1:2379
    #[arg(long, value_name = "ADDRESS", group = "from")]
    state: Option<String>,
}

#[derive(Args)]
pub(crate) struct ExportArguments {
    #[command(flatten)]
    from: Source,
    /// The file to be written; an older one is replaced once all is written
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Says how many runs, as JSON
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(command: HistoryCommand) -> Result<(), CommandError> {
    match command {
        HistoryCommand::Export(arguments) => history_export(arguments),
        HistoryCommand::Schema { json } => schema(json),
    }
}

fn history_export(arguments: ExportArguments) -> Result<(), CommandError> {
    let folder = match arguments.out.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    // Beside the target, so that it can be renamed; gone by itself if anything fails.
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
    let Faults { count, named } = exported.faults;
    named.iter().for_each(|f| eprintln!("passed over: {f}"));
    let (written, out) = (exported.written, arguments.out.display().to_string());
    match arguments.json {
        true => print_line(&json!({"runs": written, "faulty": count, "file": out}))?,
        false => print_line(&format!(
            "{written} runs to {out}, {count} faulty ones passed over"
        ))?,
    }
    Ok(())
}

/// What an export wrote, and what it passed over.
struct Exported {
    out: BufWriter<NamedTempFile>,
    written: u64,
    faults: Faults,
}

fn export_records(
    address: &str,
    sorting: &Path,
    out: BufWriter<NamedTempFile>,
) -> Result<Exported, CommandError> {
    let stored = StoredHistories::read(address)?;
    let runs = stored.readable.iter().flat_map(StoredHistory::run_records);
    let (out, written) = export::write(runs, sorting, out)?;
    let faults = Faults {
        count: stored.damaged as u64,
        named: Vec::new(),
    };
    Ok(Exported {
        out,
        written,
        faults,
    })
}

fn export_logs(
    paths: &[PathBuf],
    sorting: &Path,
    out: BufWriter<NamedTempFile>,
) -> Result<Exported, CommandError> {
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
    let mut runs = RunsOfLogs {
        logs: logs.into_iter().map(open),
        current: None,
        faults: Faults::default(),
        failure: None,
    };
    let (out, written) = export::write(runs.by_ref(), sorting, out)?;
    bar.finish_and_clear();
    match runs.failure {
        Some(error) => Err(error.into()),
        None => Ok(Exported {
            out,
            written,
            faults: runs.faults,
        }),
    }
}

/// The runs of several logs, one log after the other. It ends early at one that can't be read.
struct RunsOfLogs<I> {
    logs: I,
    current: Option<LogRuns<File>>,
    faults: Faults,
    failure: Option<ExportError>,
}

impl<I: Iterator<Item = LogRuns<File>>> Iterator for RunsOfLogs<I> {
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
                    self.faults.count += log.faults.count;
                    self.faults.named.append(&mut log.faults.named);
                }
                Err(error) => {
                    self.failure = Some(error);
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
