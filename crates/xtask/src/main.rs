//! `cargo run -p xtask -- regress ...`: the regression set in one command.

use bench::{Bench, BenchError};
use clap::{Args, Parser, Subcommand};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use xtask::baseline::{Base, BaselineError};
use xtask::comparison::{rows, table, ComparisonRow, TemplateError, TABLE};
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
    /// The bench's journal
    #[arg(long, global = true, default_value = "journal")]
    journal: PathBuf,
    /// The recorded base
    #[arg(long, global = true, default_value = "regression/base.json")]
    base: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a set on the bench, then compares what it left in the journal with the base
    Regress(RegressArguments),
    /// Plays runs in the simulation and prints a digest of all that the controllers did in each
    Digest {
        /// Runs of random faults
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Runs at once
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Described days to be played as well
        days: Vec<PathBuf>,
    },
    /// Compares entries that the journal has already
    Compare {
        /// Their ids
        #[arg(required = true)]
        ids: Vec<String>,
        #[arg(long)]
        template: Option<PathBuf>,
    },
    /// Plays described days in the project's own world, with several seeds and variants side by side
    Experiment {
        /// Days and variants (TOML)
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Plays of each day with each variant
        #[arg(long, default_value_t = 4)]
        seeds: u32,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Plays at once
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Where tables, figures and plots are written
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs all tests; those listed as known to fail are printed, all others must pass
    KnownRed {
        /// One line each: PACKAGE/TARGET/TEST, cause, issue; three at most
        #[arg(default_value = "KNOWN-RED.txt")]
        list: PathBuf,
    },
    /// Writes a site of another size than the users' file has, limits as they are
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
    /// Makes these entries the base: the commit of it names them
    Base {
        #[arg(required = true)]
        ids: Vec<String>,
    },
}

#[derive(Args)]
struct RegressArguments {
    /// What is played
    set: RegressionSet,
    /// The bench's program
    #[arg(long)]
    bench: PathBuf,
    /// The users' kit, which has the site files
    #[arg(long)]
    kit: PathBuf,
    /// Said in the journal: tried, expected
    #[arg(long)]
    why: String,
    /// The two roughest days of each site only
    #[arg(long)]
    quick: bool,
    /// Days of each site's hunt with the full set
    #[arg(long, default_value_t = 4)]
    hunt: u32,
    /// How often a day that fell is played again before it counts: its mean is compared
    #[arg(long, default_value_t = 2)]
    again: u32,
    /// A template for the table instead of the usual one
    #[arg(long)]
    template: Option<PathBuf>,
}

/// Why a command failed. Messages name the flag, file or field at fault.
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

/// Whether nothing failed.
fn run(args: Cli) -> Result<bool, XtaskError> {
    match args.command {
        Command::Base { ids } => {
            let base = Base::of(&named(&args.journal, &ids)?)?;
            base.write(&args.base)?;
            println!("{}: {} entries", args.base.display(), base.entries.len());
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
            from,
            jobs,
            out,
        } => {
            let plan = experiment::Plan { seeds, from, jobs };
            let results = experiment::play(&files, &plan)?;
            print!("{}", experiment::table(&results));
            if let Some(dir) = out {
                experiment::write(&results, &dir)?;
            }
            Ok(results
                .iter()
                .all(|r| r.broken.is_empty() && r.outcome.failed().is_empty()))
        }
        Command::Digest { seeds, jobs, days } => {
            for line in digest::lines(seeds, &days, jobs)? {
                println!("{line}");
            }
            Ok(true)
        }
        Command::Compare { ids, template } => {
            let base = confirmed(&args.base, &args.journal)?;
            let entries = entries(named(&args.journal, &ids)?);
            let sites: BTreeSet<String> = entries.iter().filter_map(|e| e.site.clone()).collect();
            let sites: Vec<String> = sites.into_iter().collect();
            show(&rows(&base, &sites, &entries), template.as_deref())
        }
        Command::Regress(arguments) => regress(&args.base, args.journal, arguments),
    }
}

/// Plays a set, and days that fell again; whether nothing failed.
fn regress(base: &Path, journal: PathBuf, args: RegressArguments) -> Result<bool, XtaskError> {
    let base = confirmed(base, &journal)?;
    let sites = args.set.sites(&args.kit)?;
    let names: Vec<String> = sites.iter().map(|s| RegressionSet::name(s)).collect();
    let mut bench = Bench {
        program: args.bench,
        journal,
        why: args.why,
        entries: Vec::new(),
    };
    let mut score: Vec<&str> = sites.iter().filter_map(|s| s.to_str()).collect();
    score.extend(args.quick.then_some("--quick"));
    bench.play("score", &score)?;
    if args.set == RegressionSet::Full && args.hunt > 0 {
        let days = args.hunt.to_string();
        for site in &sites {
            bench.play("hunt", &[&*site.to_string_lossy(), "--days", &days])?;
        }
    }
    for _ in 0..args.again {
        for row in rows(&base, &names, &bench.entries) {
            let site = sites.iter().find(|s| RegressionSet::name(s) == row.site);
            if let (true, Some(site), true) = (row.fell, site, row.what != "score") {
                bench.play("run", &[&*site.to_string_lossy(), &row.what])?;
            }
        }
    }
    let rows = rows(&base, &names, &bench.entries);
    show(&rows, args.template.as_deref())
}

fn show(rows: &[ComparisonRow], template: Option<&Path>) -> Result<bool, XtaskError> {
    let text = match template {
        Some(path) => std::fs::read_to_string(path).map_err(XtaskError::TemplateFile)?,
        None => TABLE.to_string(),
    };
    print!("{}", table(rows, &text)?);
    Ok(!rows.is_empty() && rows.iter().all(|r| r.fails.is_none()))
}

fn confirmed(base: &Path, journal: &Path) -> Result<Base, BaselineError> {
    let known = Base::read(base)?;
    known.confirm(journal)?;
    Ok(known)
}

fn named(journal: &Path, ids: &[String]) -> Result<Vec<HashedEntry>, JournalError> {
    let one = |id: &String| journal::read(&journal::find(journal, id)?);
    ids.iter().map(one).collect()
}

fn entries(read: Vec<HashedEntry>) -> Vec<Entry> {
    read.into_iter().map(|r| r.entry).collect()
}
