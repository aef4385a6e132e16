//! The command line of `glenmountctl config`.

use crate::output::print_line;
use clap::{Args, Subcommand};
use glenmount_core::configuration::PolicySettings;
use glenmountctl::config::{
    self, Change, ConfigFailure, ConfigurationFile, Difference, Effect, FileLimits, Records,
    VersionEntry,
};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Seconds for which `wait` waits at most.
const MAX_WAIT_S: f64 = 3_600.0;

/// Exit status: 0 done, 1 not reached or unreadable, 2 refused, 3 another change came first, 4 not followed
/// in time.
#[derive(Args)]
pub struct ConfigArguments {
    /// The state service's address, such as 10.2.0.1:2379
    #[arg(
        long,
        value_name = "ADDRESS",
        global = true,
        required = false,
        default_value = ""
    )]
    state: String,
    /// Answers for programs
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints the configuration on record, in the form of the settings file
    Show,
    /// Says whether a file could be put on record
    Check { file: PathBuf },
    /// Puts a file's teams and objectives on record: all of them, by one change
    Apply {
        file: PathBuf,
        /// Only if this version is on record; 0 for none
        #[arg(long)]
        expect: Option<u64>,
        /// Why, for the history
        #[arg(long, default_value = "")]
        note: String,
        /// Changes nothing; prints what would be stopped
        #[arg(long)]
        dry_run: bool,
    },
    /// Prints what a file would change
    Diff { file: PathBuf },
    /// Lists the versions that can be gone back to
    History,
    /// Puts an earlier version on record again, as a new one
    Rollback {
        version: u64,
        /// KiB of a value, and changes of a transaction, that the state service takes
        #[arg(long, default_value_t = FileLimits::default().value_kb)]
        value_kb: f64,
        #[arg(
            long = "txn-ops",
            alias = "max-transaction-changes",
            default_value_t = FileLimits::default().max_transaction_changes
        )]
        max_transaction_changes: usize,
    },
    /// Waits until every controller follows a version
    Wait {
        version: u64,
        /// As 7s, 500ms or 2m
        #[arg(long, default_value = "7s", value_parser = duration)]
        within: Duration,
    },
}

#[derive(Debug, Error)]
#[error("{0:?} is no time up to an hour, as 7s")]
struct DurationError(String);

fn duration(text: &str) -> Result<Duration, DurationError> {
    let units = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("", 1.0)];
    let split = units.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?.parse::<f64>().ok()?;
        Some(number * factor)
    });
    let seconds = split.filter(|s| s.is_finite() && (0.0..=MAX_WAIT_S).contains(s));
    let seconds = seconds.ok_or_else(|| DurationError(text.into()))?;
    Ok(Duration::from_secs_f64(seconds))
}

/// The settings file's form.
#[derive(Serialize)]
struct Shown<'a> {
    settings: &'a PolicySettings,
}

#[derive(Serialize)]
struct ShownVersion<'a> {
    version: u64,
    settings: &'a PolicySettings,
}

#[derive(Serialize)]
struct Planned {
    effects: Vec<Effect>,
}

#[derive(Serialize)]
struct Versions {
    versions: Vec<VersionEntry>,
}

#[derive(Serialize)]
struct Differences {
    differences: Vec<Difference>,
}

/// Carries the command out; says what failed and ends with its status.
pub fn run(arguments: &ConfigArguments) -> ExitCode {
    match execute(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("glenmountctl: {}", failure);
            ExitCode::from(failure.status())
        }
    }
}

fn execute(arguments: &ConfigArguments) -> Result<(), ConfigFailure> {
    if arguments.state.is_empty() {
        let why = "--state: the state service's address is missing";
        return Err(ConfigFailure::Refused(why.into()));
    }
    let records = Records::new(&arguments.state);
    let json = arguments.json;
    match &arguments.command {
        ConfigCommand::Show => show(&records, json),
        ConfigCommand::Check { file } => check(&records, file, json),
        ConfigCommand::Apply { file, dry_run, .. } if *dry_run => {
            let file = ConfigurationFile::read(file)?;
            plan(&records, &file.policy, json)
        }
        ConfigCommand::Apply {
            file, expect, note, ..
        } => {
            let file = ConfigurationFile::read(file)?;
            let change = Change {
                settings: &file.policy,
                limits: file.limits,
                expect: *expect,
                note,
            };
            let applied = config::apply(&records, &change)?;
            let version = applied.version;
            print(json, &applied, &format!("version {version} is on record"))
        }
        ConfigCommand::Diff { file } => diff(&records, file, json),
        ConfigCommand::History => history(&records, json),
        ConfigCommand::Rollback {
            version,
            value_kb,
            max_transaction_changes,
        } => {
            let limits = FileLimits {
                value_kb: *value_kb,
                max_transaction_changes: *max_transaction_changes,
            };
            let applied = config::rollback(&records, *version, limits)?;
            let text = format!("version {} is as version {version} was", applied.version);
            print(json, &applied, &text)
        }
        ConfigCommand::Wait { version, within } => {
            let followers = config::wait(&records, *version, *within)?;
            let controllers = followers.follow.join(" ");
            let text = format!("version {version} is followed by {controllers}");
            print(json, &followers, &text)
        }
    }
}

fn check(records: &Records, file: &Path, json: bool) -> Result<(), ConfigFailure> {
    let file = ConfigurationFile::read(file)?;
    config::check(records, &file.policy)?;
    let text = format!("sound: {} teams", file.policy.teams.len());
    let effects = Vec::new();
    print(json, &Planned { effects }, &text)
}

fn diff(records: &Records, file: &Path, json: bool) -> Result<(), ConfigFailure> {
    let file = ConfigurationFile::read(file)?;
    let current = records.current()?;
    let before = current.map(|current| current.settings).unwrap_or_default();
    print_differences(json, config::differences(&before, &file.policy))
}

fn show(records: &Records, json: bool) -> Result<(), ConfigFailure> {
    let Some(current) = records.current()? else {
        let none = PolicySettings::default();
        let text = "# none is on record: the settings files hold";
        let (version, settings) = (0, &none);
        return print(json, &ShownVersion { version, settings }, text);
    };
    let settings = &current.settings;
    let version = current.record.version;
    let text = toml::to_string(&Shown { settings }).map_err(failed)?;
    let text = format!("# version {version}\n{}", text.trim_end());
    print(json, &ShownVersion { version, settings }, &text)
}

fn plan(records: &Records, settings: &PolicySettings, json: bool) -> Result<(), ConfigFailure> {
    config::check(records, settings)?;
    let effects = config::effects(records, settings)?;
    let lines = effects.iter().map(|effect| {
        let Effect {
            team,
            cpus,
            cpus_max,
            stopped,
        } = effect;
        let tasks = stopped.len();
        format!("{team}: uses {cpus}, limit {cpus_max}: {tasks} tasks stopped")
    });
    let text = lines_or(lines, "nothing would be stopped");
    print(json, &Planned { effects }, &text)
}

fn print_differences(json: bool, differences: Vec<Difference>) -> Result<(), ConfigFailure> {
    let lines = differences.iter().map(|difference| {
        let side = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".into());
        let (before, after) = (side(&difference.before), side(&difference.after));
        format!("{}: {before} -> {after}", difference.field)
    });
    let text = lines_or(lines, "no difference");
    print(json, &Differences { differences }, &text)
}

fn history(records: &Records, json: bool) -> Result<(), ConfigFailure> {
    let current = records.current()?;
    let versions = current.map(|current| config::history(&current.record));
    let versions: Vec<VersionEntry> = versions.into_iter().flatten().collect();
    let lines = versions
        .iter()
        .map(|v| format!("{:6}  {}  {}", v.version, v.at_ms, v.note));
    let text = lines_or(lines, "none is on record");
    print(json, &Versions { versions }, &text)
}

/// The lines, or what stands for none.
fn lines_or(lines: impl Iterator<Item = String>, none: &str) -> String {
    let lines: Vec<String> = lines.collect();
    match lines.is_empty() {
        true => none.to_string(),
        false => lines.join("\n"),
    }
}

fn print(json: bool, value: &impl Serialize, text: &str) -> Result<(), ConfigFailure> {
    let shown = match json {
        true => serde_json::to_string(value).map_err(failed)?,
        false => text.to_string(),
    };
    print_line(&shown).map_err(failed)
}

/// What can't be written or printed.
fn failed(error: impl std::error::Error) -> ConfigFailure {
    ConfigFailure::Failed(error.to_string())
}
