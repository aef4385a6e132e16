//! `glenmountctl estimates`: replays of a history, and what is learned now.

use super::at_path;
use crate::output::{print_line, progress};
use clap::Subcommand;
use glenmountctl::replay::Replay;
use glenmountctl::run_file::RunReader;
use glenmountctl::{estimates, Failure};
use std::fs::File;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(crate) enum EstimatesCommand {
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

pub(crate) fn run(command: &EstimatesCommand) -> Result<(), Failure> {
    match command {
        EstimatesCommand::Replay { file, from, json } => replay(file, *from, *json),
        EstimatesCommand::Show { state, json } => show(state, *json),
    }
}

fn replay(path: &Path, from: u64, json: bool) -> Result<(), Failure> {
    let named = |e: Failure| format!("{}: {e}", path.display());
    let file = File::open(path).map_err(at_path(path))?;
    let mut reader = RunReader::new(file).map_err(named)?;
    let bar = progress(reader.row_count, false);
    let mut replay = Replay::new(from);
    while let Some(row) = reader.next_record().map_err(named)? {
        replay.play(row).map_err(named)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    let report = replay.report();
    match json {
        true => print_line(&serde_json::to_value(&report).map_err(|e| e.to_string())?),
        false => print_line(&report.table().trim_end()),
    }
}

fn show(state: &str, json: bool) -> Result<(), Failure> {
    let (records, damaged) = estimates::read_histories(state)?;
    let mut shown: Vec<_> = records
        .iter()
        .map(|(r, h)| estimates::summarize(r, h))
        .collect();
    shown.sort_by(|a, b| (&a.team, &a.class).cmp(&(&b.team, &b.class)));
    if json {
        return print_line(&serde_json::json!({"classes": shown, "damaged": damaged}));
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
    print_line(&table)
}
