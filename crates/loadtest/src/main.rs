//! Plays a plan against real controller processes on loopback, and measures what these spend.

use clap::{Args, Parser, Subcommand};
use glenmount_loadtest::measurement::result::{EarlierResult, Figures, RunResult};
use glenmount_loadtest::measurement::{comparison, scaling};
use glenmount_loadtest::plan::Plan;
use glenmount_loadtest::run::{run_alone, Options, RunError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A rule was broken, a controller ended by itself, or the run did not come to its end.
const FAILED: u8 = 1;
/// The plan, a file or an argument makes no sense.
const UNUSABLE: u8 = 2;

#[derive(Parser)]
#[command(
    version,
    about = "Plays everything outside of the controllers, on loopback"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Common {
    /// The plan file
    plan: PathBuf,
    /// Another value for a field of the plan, as `workers.count=4000`
    #[arg(long = "set")]
    changes: Vec<String>,
    /// Where settings and logs of the controllers go
    #[arg(long, default_value = "target/scale")]
    folder: PathBuf,
    /// `LOG_LEVEL` of the controllers
    #[arg(long, default_value = "error")]
    log: String,
    /// No progress line a second
    #[arg(long)]
    quiet: bool,
}

impl Common {
    fn options(&self, binary: &Path, folder: PathBuf) -> Options {
        Options {
            binary: binary.to_path_buf(),
            folder,
            log_level: self.log.clone(),
            progress: !self.quiet,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Plays a plan once and prints what it found
    Scale {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// Writes the result as JSON
        #[arg(long)]
        out: Option<PathBuf>,
        /// Prints ratios to an earlier result
        #[arg(long)]
        compare: Option<PathBuf>,
    },
    /// Plays a plan at several sizes of one field and fits a line to each figure
    Slopes {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// The field and its sizes, as `workers.count=250,500,1000,2000`; `+` joins fields that change together
        #[arg(long)]
        vary: String,
        /// Writes the table
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays a plan with two builds in turn and prints the ratios
    Builds {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// The build to compare with
        #[arg(long)]
        against: PathBuf,
        /// Pairs of runs
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=50))]
        pairs: u32,
    },
}

/// Why nothing could be played.
enum Failure {
    Unusable(String),
    Failed(String),
}

impl From<RunError> for Failure {
    fn from(error: RunError) -> Failure {
        Failure::Failed(error.to_string())
    }
}

fn unusable(error: impl std::fmt::Display) -> Failure {
    Failure::Unusable(error.to_string())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let outcome = match &arguments.command {
        Command::Scale {
            common,
            binary,
            out,
            compare,
        } => scale(common, binary, out.as_deref(), compare.as_deref()),
        Command::Slopes {
            common,
            binary,
            vary,
            out,
        } => vary_size(common, binary, vary, out.as_deref()),
        Command::Builds {
            common,
            binary,
            against,
            pairs,
        } => builds(common, binary, against, *pairs),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(Failure::Failed(message)) => {
            eprintln!("{message}");
            ExitCode::from(FAILED)
        }
        Err(Failure::Unusable(message)) => {
            eprintln!("{message}");
            ExitCode::from(UNUSABLE)
        }
    }
}

fn print_faults(result: &RunResult) {
    for violation in &result.violations {
        println!(
            "BROKEN {} at {} ms: {}",
            violation.invariant, violation.at_ms, violation.detail
        );
    }
    for controller in &result.ended {
        println!("ENDED controller {controller} ended by itself");
    }
}

fn scale(
    common: &Common,
    binary: &Path,
    out: Option<&Path>,
    earlier: Option<&Path>,
) -> Result<bool, Failure> {
    let plan = Plan::read(&common.plan, &common.changes).map_err(unusable)?;
    let earlier = earlier
        .map(EarlierResult::read)
        .transpose()
        .map_err(unusable)?;
    let times = plan.stands_for_s / plan.seconds;
    println!(
        "{}: troubles of {times:.0} times the time played",
        plan.name
    );
    let options = common.options(binary, common.folder.clone());
    let result = run_alone(plan, &options)?;
    print!("{}", result.figures.table());
    if let Some(earlier) = earlier {
        print!("{}", comparison::table(&earlier.figures, &result.figures));
    }
    print_faults(&result);
    if let Some(out) = out {
        result.write(out).map_err(unusable)?;
    }
    Ok(result.is_good())
}

/// The changes of a plan for each size, and the size itself.
fn sizes(vary: &str) -> Result<Vec<(f64, Vec<String>)>, Failure> {
    let (fields, values) = vary
        .split_once('=')
        .ok_or_else(|| unusable("--vary: not of the form field=size,size"))?;
    let each = values.split(',').map(|value| {
        let size: f64 = value
            .parse()
            .map_err(|_| unusable(format!("--vary: {value} is no number")))?;
        let changes = fields.split('+').map(|field| format!("{field}={value}"));
        Ok((size, changes.collect()))
    });
    each.collect()
}

fn vary_size(
    common: &Common,
    binary: &Path,
    vary: &str,
    out: Option<&Path>,
) -> Result<bool, Failure> {
    let mut runs: Vec<(f64, Figures)> = Vec::new();
    let mut good = true;
    for (size, changes) in sizes(vary)? {
        let changes: Vec<String> = common.changes.iter().cloned().chain(changes).collect();
        let plan = Plan::read(&common.plan, &changes).map_err(unusable)?;
        let folder = common.folder.join(format!("{size}"));
        let result = run_alone(plan, &common.options(binary, folder))?;
        print_faults(&result);
        good &= result.is_good();
        runs.push((size, result.figures));
    }
    let names: Vec<String> = runs.iter().map(|(size, _)| size.to_string()).collect();
    let mut text = format!(
        "{vary}\nfigure | {} | base + slope x | residual | power | shape\n",
        names.join(" | ")
    );
    let figures = runs
        .first()
        .map(|(_, first)| first.main())
        .unwrap_or_default();
    for (n, (name, _)) in figures.into_iter().enumerate() {
        let points: Vec<(f64, f64)> = runs.iter().map(|(x, f)| (*x, f.main()[n].1)).collect();
        text += &scaling::row(name, &points);
        text.push('\n');
    }
    print!("{text}");
    if let Some(out) = out {
        if let Some(folder) = out.parent() {
            std::fs::create_dir_all(folder).map_err(unusable)?;
        }
        std::fs::write(out, text).map_err(unusable)?;
    }
    Ok(good)
}

fn builds(common: &Common, binary: &Path, against: &Path, pairs: u32) -> Result<bool, Failure> {
    let mut good = true;
    for pair in 0..pairs {
        let mut figures = Vec::new();
        for (name, build) in [("against", against), ("binary", binary)] {
            let plan = Plan::read(&common.plan, &common.changes).map_err(unusable)?;
            let folder = common.folder.join(name);
            let result = run_alone(plan, &common.options(build, folder))?;
            print_faults(&result);
            good &= result.is_good();
            figures.push(result.figures);
        }
        println!("pair {}", pair + 1);
        print!("{}", comparison::table(&figures[0], &figures[1]));
    }
    Ok(good)
}
