//! The command line of the regression check, simulated experiments and related tasks.

use bench::{Bench, BenchError};
use clap::{Args, Parser, Subcommand};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use xtask::baseline::{Baseline, BaselineError};
use xtask::comparison::{compare, table, ComparisonRow, TemplateError, DEFAULT_TEMPLATE};
use xtask::digest::{self, DigestError};
use xtask::experiment::{self, ExperimentError};
use xtask::journal::{self, Entry, HashedEntry, JournalError};
use xtask::known_red::{self, KnownRedError};
use xtask::regression_set::{MissingSite, RegressionSet};
use xtask::site_variant::{self, SiteVariantError};

mod bench;
#[cfg(test)]
mod tests;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// Folder of the benchmark's journal
    #[arg(long, global = true, default_value = "journal")]
    journal: PathBuf,
    /// File of the baseline
    #[arg(long, global = true, default_value = "regression/base.json")]
    base: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a set of sites on the benchmark and compares its journal entries with the baseline
    Regress(RegressArguments),
    /// Runs simulations and prints a digest of all effects of the controllers in each
    Digest {
        /// Number of runs with random faults
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Number of simultaneous runs
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Files with described days to run as well
        days: Vec<PathBuf>,
    },
    /// Compares entries of the journal with the baseline
    Compare {
        /// Ids of the entries
        #[arg(required = true)]
        ids: Vec<String>,
        #[arg(long)]
        template: Option<PathBuf>,
    },
    /// Simulates described days with several seeds and variants
    Experiment {
        /// Files with days and variants (TOML)
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Number of runs of each day with each variant
        #[arg(long, default_value_t = 4)]
        seeds: u32,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of simultaneous runs
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Folder for tables, figures and plots
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs all tests; listed ones may fail and are printed, all others must pass
    KnownRed {
        /// The list, with up to three lines: PACKAGE/TARGET/TEST, cause, issue
        #[arg(default_value = "KNOWN-RED.txt")]
        list: PathBuf,
    },
    /// Writes variants of the users' site files with other sizes and the same rate limits
    Larger {
        /// The users' site files
        #[arg(required = true)]
        sites: Vec<PathBuf>,
        #[command(flatten)]
        sizes: site_variant::Sizes,
        /// A folder outside the repository
        #[arg(long)]
        out: PathBuf,
    },
    /// Creates the baseline from these entries, which the commit message must name
    Base {
        #[arg(required = true)]
        ids: Vec<String>,
    },
}

#[derive(Args)]
struct RegressArguments {
    /// Set of sites
    set: RegressionSet,
    /// The benchmark program
    #[arg(long)]
    bench: PathBuf,
    /// The users' kit, which holds the site files
    #[arg(long)]
    kit: PathBuf,
    /// Note for the journal: the change and the expected effect
    #[arg(long)]
    why: String,
    /// Runs only the two roughest days of each site
    #[arg(long)]
    quick: bool,
    /// Number of days of each site's hunt in the full set
    #[arg(long, default_value_t = 4)]
    hunt: u32,
    /// Number of further runs of a day whose figure decreased; the mean of all runs counts
    #[arg(long, default_value_t = 2)]
    again: u32,
    /// Template for the table instead of the default one
    #[arg(long)]
    template: Option<PathBuf>,
}

/// The reason why a command failed. Messages name the flag, file or field at fault.
#[derive(Debug, Error)]
enum XtaskError {
    #[error(transparent)]
    Baseline(#[from] BaselineError),
    #[error(transparent)]
    Bench(#[from] BenchError),
    #[error(transparent)]
    Digest(#[from] DigestError),
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error(transparent)]
    KnownRed(#[from] KnownRedError),
    #[error(transparent)]
    MissingSite(#[from] MissingSite),
    #[error(transparent)]
    SiteVariant(#[from] SiteVariantError),
    #[error("--template: {0}")]
    TemplateFile(io::Error),
    #[error(transparent)]
    Template(#[from] TemplateError),
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command and returns whether nothing failed.
fn run(args: Cli) -> Result<bool, XtaskError> {
    match args.command {
        Command::Base { ids } => {
            let baseline = Baseline::from_entries(&read_entries(&args.journal, &ids)?)?;
            baseline.write(&args.base)?;
            let count = baseline.entries.len();
            println!("{}: {count} entries", args.base.display());
            Ok(true)
        }
        Command::KnownRed { list } => {
            for line in known_red::check(&list)? {
                println!("{line}");
            }
            Ok(true)
        }
        Command::Larger { sites, sizes, out } => {
            for site in sites {
                println!("{}", site_variant::write(&site, &sizes, &out)?.display());
            }
            Ok(true)
        }
        Command::Experiment {
            files,
            seeds,
            from: first_seed,
            jobs: threads,
            out,
        } => {
            let plan = experiment::Plan {
                seeds,
                first_seed,
                threads,
            };
            let results = experiment::run(&files, &plan)?;
            print!("{}", experiment::table(&results));
            if let Some(folder) = out {
                experiment::write(&results, &folder)?;
            }
            Ok(results
                .iter()
                .all(|r| r.broken_rules.is_empty() && r.outcome.failed().is_empty()))
        }
        Command::Digest { seeds, jobs, days } => {
            for line in digest::digest_lines(seeds, &days, jobs)? {
                println!("{line}");
            }
            Ok(true)
        }
        Command::Compare { ids, template } => {
            let baseline = read_verified_baseline(&args.base, &args.journal)?;
            let entries = without_hashes(read_entries(&args.journal, &ids)?);
            let sites: BTreeSet<String> = entries.iter().filter_map(|e| e.site.clone()).collect();
            let sites: Vec<String> = sites.into_iter().collect();
            print_table(&compare(&baseline, &sites, &entries), template.as_deref())
        }
        Command::Regress(arguments) => regress(&args.base, args.journal, arguments),
    }
}

/// Runs a set, and repeats the days whose figures decreased. Returns whether nothing failed.
fn regress(base: &Path, journal: PathBuf, args: RegressArguments) -> Result<bool, XtaskError> {
    let baseline = read_verified_baseline(base, &journal)?;
    let sites = args.set.sites(&args.kit)?;
    let names: Vec<String> = sites.iter().map(|s| RegressionSet::name(s)).collect();
    let mut bench = Bench {
        program: args.bench,
        journal,
        note: args.why,
        entries: Vec::new(),
    };
    let mut score_arguments: Vec<&str> = sites.iter().filter_map(|s| s.to_str()).collect();
    score_arguments.extend(args.quick.then_some("--quick"));
    bench.run("score", &score_arguments)?;
    if args.set == RegressionSet::Full && args.hunt > 0 {
        let days = args.hunt.to_string();
        for site in &sites {
            bench.run("hunt", &[&*site.to_string_lossy(), "--days", &days])?;
        }
    }
    for _ in 0..args.again {
        for row in compare(&baseline, &names, &bench.entries) {
            let site = sites.iter().find(|s| RegressionSet::name(s) == row.site);
            if let (true, Some(site), true) = (row.has_decreased, site, row.name != "score") {
                bench.run("run", &[&*site.to_string_lossy(), &row.name])?;
            }
        }
    }
    let rows = compare(&baseline, &names, &bench.entries);
    print_table(&rows, args.template.as_deref())
}

/// Prints the table and returns whether there are rows and none failed.
fn print_table(rows: &[ComparisonRow], template: Option<&Path>) -> Result<bool, XtaskError> {
    let text = match template {
        Some(path) => std::fs::read_to_string(path).map_err(XtaskError::TemplateFile)?,
        None => DEFAULT_TEMPLATE.to_string(),
    };
    print!("{}", table(rows, &text)?);
    Ok(!rows.is_empty() && rows.iter().all(|r| r.failure.is_none()))
}

fn read_verified_baseline(base: &Path, journal: &Path) -> Result<Baseline, BaselineError> {
    let baseline = Baseline::read(base)?;
    baseline.verify(journal)?;
    Ok(baseline)
}

fn read_entries(journal: &Path, ids: &[String]) -> Result<Vec<HashedEntry>, JournalError> {
    let read = |id: &String| journal::read(&journal::find(journal, id)?);
    ids.iter().map(read).collect()
}

fn without_hashes(entries: Vec<HashedEntry>) -> Vec<Entry> {
    entries.into_iter().map(|hashed| hashed.entry).collect()
}
