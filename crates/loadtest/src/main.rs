//! Command line of the load test: runs a plan against real controller processes on loopback and measures their
//! resource usage.

use clap::{Args, Parser, Subcommand};
use glenmount_loadtest::measurement::comparison;
use glenmount_loadtest::measurement::figures::Figures;
use glenmount_loadtest::measurement::result::{EarlierResult, ResultFileError, RunResult};
use glenmount_loadtest::measurement::scaling::{self, Point};
use glenmount_loadtest::plan::{Plan, PlanError};
use glenmount_loadtest::run::{run_alone, Options, RunError};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[cfg(test)]
mod tests;

/// Exit code after a violation of an invariant, an unexpected exit of a controller, or an incomplete run.
const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid plan, file or argument.
const EXIT_INVALID: u8 = 2;

#[derive(Parser)]
#[command(
    version,
    about = "Runs load tests of controllers on loopback against stand-ins of all other services"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct CommonArguments {
    /// The plan file
    plan: PathBuf,
    /// Override of a field of the plan, such as `workers.count=4000`
    #[arg(long = "set")]
    overrides: Vec<String>,
    /// Folder for settings and logs of the controllers
    #[arg(long, default_value = "target/scale")]
    folder: PathBuf,
    /// Value of `LOG_LEVEL` for the controllers
    #[arg(long, default_value = "error")]
    log: String,
    /// Omits the progress line of each second
    #[arg(long)]
    quiet: bool,
}

impl CommonArguments {
    fn plan(&self) -> Result<Plan, PlanError> {
        Plan::read(&self.plan, &self.overrides)
    }

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
    /// Runs a plan once and prints its figures and violations
    Scale {
        #[command(flatten)]
        common: CommonArguments,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// Writes the result to a file as JSON
        #[arg(long)]
        out: Option<PathBuf>,
        /// Compares with an earlier result and prints the ratios
        #[arg(long)]
        compare: Option<PathBuf>,
    },
    /// Runs a plan at several sizes of one field and fits a line to each figure
    Slopes {
        #[command(flatten)]
        common: CommonArguments,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// The field and its sizes, such as `workers.count=250,500,1000,2000`; `+` joins fields that vary together
        #[arg(long)]
        vary: String,
        /// Writes the table to a file
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs a plan alternately with two builds and prints the ratios
    Builds {
        #[command(flatten)]
        common: CommonArguments,
        #[arg(long, default_value = "target/release/glenmount")]
        binary: PathBuf,
        /// The build to compare with
        #[arg(long)]
        against: PathBuf,
        /// Number of pairs of runs
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=50))]
        pairs: u32,
    },
}

/// An error that ends a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Earlier(#[from] ResultFileError),
    #[error(transparent)]
    Output(#[from] io::Error),
    #[error("--vary: not of the form field=size,size")]
    VaryForm,
    #[error("--vary: {0} is no number")]
    VaryNumber(String),
    #[error(transparent)]
    Run(#[from] RunError),
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Run(_) => ExitCode::from(EXIT_FAILED),
            _ => ExitCode::from(EXIT_INVALID),
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match execute(&arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

/// Executes a command; returns whether all runs were good.
fn execute(command: &Command) -> Result<bool, CommandError> {
    match command {
        Command::Scale {
            common,
            binary,
            out,
            compare,
        } => run_once(common, binary, out.as_deref(), compare.as_deref()),
        Command::Slopes {
            common,
            binary,
            vary,
            out,
        } => run_sizes(common, binary, vary, out.as_deref()),
        Command::Builds {
            common,
            binary,
            against,
            pairs,
        } => compare_builds(common, binary, against, *pairs),
    }
}

fn print_failures(result: &RunResult) {
    for violation in &result.violations {
        println!(
            "BROKEN {} at {} ms: {}",
            violation.invariant, violation.at_ms, violation.detail
        );
    }
    for controller in &result.exited_controllers {
        println!("ENDED controller {controller} ended by itself");
    }
}

fn run_once(
    common: &CommonArguments,
    binary: &Path,
    out: Option<&Path>,
    earlier: Option<&Path>,
) -> Result<bool, CommandError> {
    let plan = common.plan()?;
    let earlier = earlier.map(EarlierResult::read).transpose()?;
    let speedup = plan.represents_s / plan.seconds;
    println!(
        "{}: troubles of {speedup:.0} times the time played",
        plan.name
    );
    let options = common.options(binary, common.folder.clone());
    let result = run_alone(plan, &options)?;
    print!("{}", result.figures);
    if let Some(earlier) = earlier {
        let table = comparison::table(&earlier.figures, &result.figures);
        print!("{table}");
    }
    print_failures(&result);
    if let Some(out) = out {
        result.write(out)?;
    }
    Ok(result.is_good())
}

/// One of the sizes at which a plan is run.
struct SizeStep {
    size: f64,
    /// Overrides that set this size in the plan.
    overrides: Vec<String>,
}

/// Parses the sizes in the argument of `--vary`.
fn size_steps(vary: &str) -> Result<Vec<SizeStep>, CommandError> {
    let (fields, sizes) = vary.split_once('=').ok_or(CommandError::VaryForm)?;
    let steps = sizes.split(',').map(|text| {
        let size = text
            .parse()
            .map_err(|_| CommandError::VaryNumber(text.to_string()))?;
        let overrides = fields.split('+').map(|field| format!("{field}={text}"));
        Ok(SizeStep {
            size,
            overrides: overrides.collect(),
        })
    });
    steps.collect()
}

/// The figures of a run of one size.
struct SizedRun {
    size: f64,
    figures: Figures,
}

fn run_sizes(
    common: &CommonArguments,
    binary: &Path,
    vary: &str,
    out: Option<&Path>,
) -> Result<bool, CommandError> {
    let mut runs = Vec::new();
    let mut all_good = true;
    for step in size_steps(vary)? {
        let overrides = [common.overrides.as_slice(), &step.overrides].concat();
        let plan = Plan::read(&common.plan, &overrides)?;
        let folder = common.folder.join(step.size.to_string());
        let result = run_alone(plan, &common.options(binary, folder))?;
        print_failures(&result);
        all_good &= result.is_good();
        runs.push(SizedRun {
            size: step.size,
            figures: result.figures,
        });
    }
    let table = scaling_table(vary, &runs);
    print!("{table}");
    if let Some(out) = out {
        if let Some(folder) = out.parent() {
            fs::create_dir_all(folder)?;
        }
        fs::write(out, table)?;
    }
    Ok(all_good)
}

/// Returns a table with a row for each main figure: its value at each size, and the fitted line.
fn scaling_table(vary: &str, runs: &[SizedRun]) -> String {
    let sizes: Vec<String> = runs.iter().map(|run| run.size.to_string()).collect();
    let mut table = format!(
        "{vary}\nfigure | {} | base + slope x | residual | power | shape\n",
        sizes.join(" | ")
    );
    let Some(first) = runs.first() else {
        return table;
    };
    for (index, figure) in first.figures.main_figures().into_iter().enumerate() {
        let points: Vec<Point> = runs
            .iter()
            .map(|run| Point {
                size: run.size,
                value: run.figures.main_figures()[index].value,
            })
            .collect();
        table += &scaling::row(figure.name, &points);
        table.push('\n');
    }
    table
}

fn compare_builds(
    common: &CommonArguments,
    binary: &Path,
    against: &Path,
    pairs: u32,
) -> Result<bool, CommandError> {
    let mut all_good = true;
    let mut run = |name: &str, build: &Path| -> Result<Figures, CommandError> {
        let options = common.options(build, common.folder.join(name));
        let result = run_alone(common.plan()?, &options)?;
        print_failures(&result);
        all_good &= result.is_good();
        Ok(result.figures)
    };
    for pair in 1..=pairs {
        let baseline = run("against", against)?;
        let current = run("binary", binary)?;
        println!("pair {pair}");
        print!("{}", comparison::table(&baseline, &current));
    }
    Ok(all_good)
}
