//! `glenmountctl history`: exports of runs, and the columns that they have.

use super::at_path;
use crate::output::{print_line, progress};
use clap::{Args, Subcommand};
use glenmountctl::export::{self, LogRuns};
use glenmountctl::run_file::COLUMNS;
use glenmountctl::{estimates, Failure};
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};

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

pub(crate) fn run(command: HistoryCommand) -> Result<(), Failure> {
    match command {
        HistoryCommand::Export(what) => history_export(what),
        HistoryCommand::Schema { json } => schema(json),
    }
}

fn history_export(what: ExportArguments) -> Result<(), Failure> {
    let folder = match what.out.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    // Beside the target, so that it can be renamed; gone by itself if anything fails.
    let file = tempfile::NamedTempFile::new_in(folder).map_err(at_path(folder))?;
    let sorting = tempfile::tempdir_in(folder).map_err(at_path(folder))?;
    let out = BufWriter::new(file);
    let (mut faults, mut named) = (0, Vec::new());
    let (out, written) = match &what.from.state {
        Some(address) => {
            let (records, damaged) = estimates::read_histories(address)?;
            faults += damaged as u64;
            let rows = records
                .iter()
                .flat_map(|(r, h)| estimates::run_records(r, h));
            export::write(rows, sorting.path(), out)?
        }
        None => {
            let mut logs = Vec::new();
            let mut whole = 0;
            for path in &what.from.log {
                let file = File::open(path).map_err(at_path(path))?;
                whole += file.metadata().map_err(at_path(path))?.len();
                logs.push((path.display().to_string(), file));
            }
            let bar = progress(whole, true);
            let mut failed = None;
            let mut runs = logs.into_iter().map(|(name, file)| {
                let bar = bar.clone();
                LogRuns::new(&name, file, Box::new(move |bytes| bar.inc(bytes)))
            });
            let mut now = runs.next();
            let rows = std::iter::from_fn(|| loop {
                let log = now.as_mut()?;
                match log.next_record() {
                    Ok(Some(row)) => return Some(row),
                    Ok(None) => {
                        faults += log.faults.count;
                        named.append(&mut log.faults.named);
                        now = runs.next();
                    }
                    Err(e) => {
                        failed = Some(e);
                        return None;
                    }
                }
            });
            let done = export::write(rows, sorting.path(), out)?;
            bar.finish_and_clear();
            if let Some(e) = failed {
                return Err(e);
            }
            done
        }
    };
    let file = out.into_inner().map_err(|e| e.to_string())?;
    file.as_file().sync_all().map_err(at_path(&what.out))?;
    file.persist(&what.out)
        .map_err(|e| format!("{}: {}", what.out.display(), e.error))?;
    named.iter().for_each(|f| eprintln!("passed over: {f}"));
    let out = what.out.display().to_string();
    match what.json {
        true => print_line(&serde_json::json!({"runs": written, "faulty": faults, "file": out})),
        false => print_line(&format!(
            "{written} runs to {out}, {faults} faulty ones passed over"
        )),
    }
}

fn schema(json: bool) -> Result<(), Failure> {
    let columns = COLUMNS.map(|(name, kind, required, what)| {
        serde_json::json!({"column": name, "type": kind.to_string(),
            "required": required, "holds": what})
    });
    if json {
        return print_line(&serde_json::json!(columns));
    }
    let line = |(name, kind, required, what): (&str, parquet::basic::Type, bool, &str)| {
        let kind = kind.to_string();
        let mark = if required { "" } else { "optional" };
        format!("{name:10} {kind:11} {mark:9} {what}")
    };
    print_line(&COLUMNS.map(line).join("\n"))
}
