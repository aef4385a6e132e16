//! `glenmountctl estimates`: replays a history, and shows the stored estimates.

use super::CommandError;
use crate::output::{print_line, progress};
use clap::Subcommand;
use glenmountctl::estimates::{ClassSummary, StoredHistories, StoredHistory};
use glenmountctl::replay::Replay;
use glenmountctl::run_file::RunReader;
use serde_json::json;
use std::fs::File;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(crate) enum EstimatesCommand {
    /// Replays a history in order of time and compares estimates with the actual run times
    Replay {
        file: PathBuf,
        /// Scores runs once this many jobs of their class have completed a task
        #[arg(long, default_value_t = 10, value_name = "JOBS")]
        from: u64,
        #[arg(long)]
        json: bool,
    },
    /// Prints the estimates of all classes in the state store
    Show {
        /// Address of the state store, such as 10.2.0.1:2379
        #[arg(long, value_name = "ADDRESS")]
        state: String,
        #[arg(long)]
        json: bool,
    },
}

pub(crate) fn run(command: &EstimatesCommand) -> Result<(), CommandError> {
    match command {
        EstimatesCommand::Replay { file, from, json } => replay(file, *from, *json),
        EstimatesCommand::Show { state, json } => show(state, *json),
    }
}

fn replay(path: &Path, min_jobs: u64, json: bool) -> Result<(), CommandError> {
    let file = File::open(path).map_err(CommandError::file(path))?;
    let unreadable = CommandError::run_file(path);
    let mut reader = RunReader::new(file).map_err(&unreadable)?;
    let bar = progress(reader.row_count, false);
    let mut replay = Replay::new(min_jobs);
    while let Some(record) = reader.next_record().map_err(&unreadable)? {
        replay
            .add_record(record)
            .map_err(CommandError::replay(path))?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    let report = replay.report();
    match json {
        true => print_line(&serde_json::to_value(&report)?)?,
        false => print_line(&report.table().trim_end())?,
    }
    Ok(())
}

fn show(address: &str, json: bool) -> Result<(), CommandError> {
    let stored = StoredHistories::read(address)?;
    let damaged = stored.damaged;
    let mut classes: Vec<ClassSummary> = (stored.readable.iter())
        .map(StoredHistory::summary)
        .collect();
    classes.sort_by(|a, b| (&a.team, &a.class).cmp(&(&b.team, &b.class)));
    match json {
        true => print_line(&json!({"classes": classes, "damaged": damaged}))?,
        false => print_line(&table(&classes, damaged))?,
    }
    Ok(())
}

fn table(classes: &[ClassSummary], damaged: usize) -> String {
    let mut table = format!(
        "{:32} {:>8} {:>5} {:>9} {:>9} {:>9} {:>6}\n",
        "class", "runs", "jobs", "low s", "median s", "high s", "owner"
    );
    for class in classes {
        let name = format!("{}/{}", class.team, class.class);
        let bias = match class.owner_bias {
            Some(bias) => format!("x{:.2}", bias.exp()),
            None => "-".to_string(),
        };
        table += &format!(
            "{name:32} {:>8} {:>5} {:>9.1} {:>9.1} {:>9.1} {bias:>6}\n",
            class.runs, class.jobs, class.low_s, class.median_s, class.high_s
        );
    }
    table += "90 in 100 runs lie between low and high; owner: run times over owners' estimates.";
    if damaged > 0 {
        table += &format!("\n{damaged} damaged records passed over.");
    }
    table
}
