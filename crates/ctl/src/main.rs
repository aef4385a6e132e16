//! glenmountctl: see docs/run-times.md.

use clap::{Args, Parser, Subcommand};
use glenmountctl::export::{self, LogRuns};
use glenmountctl::file::{RunReader, COLUMNS};
use glenmountctl::replay::Replay;
use glenmountctl::{learned, Failure};
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

mod config_command;

/// glenmount's command for operators
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Records of runs
    #[command(subcommand)]
    History(HistoryCommand),
    /// Estimates of run times
    #[command(subcommand)]
    Estimates(EstimatesCommand),
    /// Teams, objectives and other settings that change while controllers run
    Config(config_command::ConfigArguments),
}

#[derive(Subcommand)]
enum HistoryCommand {
    /// Writes the runs that controllers logged, or those that the state service remembers, as Parquet
    Export(Export),
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
struct Export {
    #[command(flatten)]
    from: Source,
    /// The file to be written; an older one is replaced once all is written
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Says how many runs, as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum EstimatesCommand {
    /// Plays a history in order of time and compares estimates with what runs took
    Replay {
        file: PathBuf,
        /// Runs are scored once so many jobs of their class have completed a task
        #[arg(long, default_value_t = 10, value_name = "JOBS")]
        from: u64,
        #[arg(long)]
        json: bool,
    },
    /// Prints what is learned now
    Show {
        /// The state service's address, such as 10.2.0.1:2379
        #[arg(long, value_name = "ADDRESS")]
        state: String,
        #[arg(long)]
        json: bool,
    },
}

fn at(path: &Path) -> impl Fn(std::io::Error) -> Failure + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Shown on a terminal only, and not for what is soon over.
fn progress(whole: u64, bytes: bool) -> ProgressBar {
    let bar = ProgressBar::new(whole);
    let form = match bytes {
        true => "{elapsed} {bar:30} {bytes} of {total_bytes}",
        false => "{elapsed} {bar:30} {human_pos} of {human_len} runs",
    };
    if let Ok(style) = ProgressStyle::with_template(form) {
        bar.set_style(style);
    }
    bar
}

fn history_export(what: Export) -> Result<(), Failure> {
    let folder = match what.out.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    };
    // Beside the target, so that it can be renamed; gone by itself if anything fails.
    let file = tempfile::NamedTempFile::new_in(folder).map_err(at(folder))?;
    let sorting = tempfile::tempdir_in(folder).map_err(at(folder))?;
    let out = BufWriter::new(file);
    let (mut faults, mut named) = (0, Vec::new());
    let (out, written) = match &what.from.state {
        Some(address) => {
            let (records, damaged) = learned::read(address)?;
            faults += damaged as u64;
            let rows = records.iter().flat_map(|(r, h)| learned::rows(r, h));
            export::write(rows, sorting.path(), out)?
        }
        None => {
            let mut logs = Vec::new();
            let mut whole = 0;
            for path in &what.from.log {
                let file = File::open(path).map_err(at(path))?;
                whole += file.metadata().map_err(at(path))?.len();
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
                match log.next_row() {
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
    file.as_file().sync_all().map_err(at(&what.out))?;
    file.persist(&what.out)
        .map_err(|e| format!("{}: {}", what.out.display(), e.error))?;
    named.iter().for_each(|f| eprintln!("passed over: {f}"));
    let out = what.out.display().to_string();
    match what.json {
        true => say(&serde_json::json!({"runs": written, "faulty": faults, "file": out})),
        false => say(&format!(
            "{written} runs to {out}, {faults} faulty ones passed over"
        )),
    }
}

fn replay(path: &Path, from: u64, json: bool) -> Result<(), Failure> {
    let named = |e: Failure| format!("{}: {e}", path.display());
    let file = File::open(path).map_err(at(path))?;
    let mut reader = RunReader::new(file).map_err(named)?;
    let bar = progress(reader.whole, false);
    let mut replay = Replay::new(from);
    while let Some(row) = reader.next_row().map_err(named)? {
        replay.play(row).map_err(named)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    let report = replay.report();
    match json {
        true => say(&serde_json::to_value(&report).map_err(|e| e.to_string())?),
        false => say(&report.table().trim_end()),
    }
}

fn show(state: &str, json: bool) -> Result<(), Failure> {
    let (records, damaged) = learned::read(state)?;
    let mut shown: Vec<_> = records.iter().map(|(r, h)| learned::shown(r, h)).collect();
    shown.sort_by(|a, b| (&a.team, &a.class).cmp(&(&b.team, &b.class)));
    if json {
        return say(&serde_json::json!({"classes": shown, "damaged": damaged}));
    }
    let mut table = format!(
        "{:32} {:>8} {:>5} {:>9} {:>9} {:>9} {:>6}\n",
        "class", "runs", "jobs", "low s", "median s", "high s", "owner"
    );
    for s in shown {
        let name = format!("{}/{}", s.team, s.class);
        let bias = s
            .owner_bias
            .map_or("-".into(), |b| format!("x{:.2}", b.exp()));
        table += &format!(
            "{name:32} {:>8} {:>5} {:>9.1} {:>9.1} {:>9.1} {bias:>6}\n",
            s.runs, s.jobs, s.low_s, s.median_s, s.high_s
        );
    }
    table += "90 in 100 runs lie between low and high; owner: run times over owners' estimates.";
    if damaged > 0 {
        table += &format!("\n{damaged} damaged records passed over.");
    }
    say(&table)
}

fn schema(json: bool) -> Result<(), Failure> {
    let columns = COLUMNS.map(|(name, kind, required, what)| {
        serde_json::json!({"column": name, "type": kind.to_string(),
            "required": required, "holds": what})
    });
    if json {
        return say(&serde_json::json!(columns));
    }
    let line = |(name, kind, required, what): (&str, parquet::basic::Type, bool, &str)| {
        let kind = kind.to_string();
        let mark = if required { "" } else { "optional" };
        format!("{name:10} {kind:11} {mark:9} {what}")
    };
    say(&COLUMNS.map(line).join("\n"))
}

/// To standard output; a reader that has gone is no fault.
fn say(what: &dyn std::fmt::Display) -> Result<(), Failure> {
    match writeln!(std::io::stdout(), "{what}") {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(e.to_string()),
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    // What a library asserts of a damaged file becomes an error of one sentence.
    std::panic::set_hook(Box::new(|_| ()));
    let done = match Cli::parse().what {
        What::Config(arguments) => return config_command::run(&arguments),
        What::History(HistoryCommand::Export(what)) => history_export(what),
        What::History(HistoryCommand::Schema { json }) => schema(json),
        What::Estimates(EstimatesCommand::Replay { file, from, json }) => replay(&file, from, json),
        What::Estimates(EstimatesCommand::Show { state, json }) => show(&state, json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("glenmountctl: {e}");
            ExitCode::FAILURE
        }
    }
}
