//! The command line of `glenmountctl config`.

use crate::output::print_line;
use clap::{Args, Subcommand};
use glenmount_core::configuration::PolicySettings;
use glenmountctl::config::{
    self, ConfigFailure, ConfigurationChange, ConfigurationFile, ConfigurationStore, Difference,
    FileLimits, QuotaEffect, VersionEntry,
};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Longest timeout of `wait`.
const MAX_WAIT_S: f64 = 3_600.0;

/// Exit status: 0 success, 1 state store unreachable or a file unreadable, 2 request rejected, 3 another change was
/// first, 4 controllers have not observed the version in time
#[derive(Args)]
pub struct ConfigArguments {
    /// Address of the state store, such as 10.2.0.1:2379
    #[arg(
        long,
        value_name = "ADDRESS",
        global = true,
        required = false,
        default_value = ""
    )]
    state: String,
    /// Prints JSON
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: ConfigCommand,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints the stored configuration in the format of the settings file
    Show,
    /// Checks whether a file could be applied
    Check { file: PathBuf },
    /// Replaces the stored configuration by that of a file in one transaction
    Apply {
        file: PathBuf,
        /// Applies only if this is the current version; 0 if none is stored
        #[arg(long)]
        expect: Option<u64>,
        /// Note for the history
        #[arg(long, default_value = "")]
        note: String,
        /// Changes nothing and prints the tasks that would be stopped
        #[arg(long)]
        dry_run: bool,
    },
    /// Prints the differences between a file and the stored configuration
    Diff { file: PathBuf },
    /// Lists the versions that can be restored
    History,
    /// Applies an earlier version again, as a new version
    Rollback {
        version: u64,
        /// Largest value that the state store takes, in KiB
        #[arg(long, default_value_t = FileLimits::default().value_kb)]
        value_kb: f64,
        /// Changes per transaction that the state store takes
        #[arg(
            long = "txn-ops",
            alias = "max-transaction-changes",
            default_value_t = FileLimits::default().max_transaction_changes
        )]
        max_transaction_changes: usize,
    },
    /// Waits until every controller has observed a version
    Wait {
        version: u64,
        /// Timeout, such as 7s, 500ms or 2m
        #[arg(long, default_value = "7s", value_parser = duration)]
        within: Duration,
    },
}

#[derive(Debug, Error)]
#[error("{0:?} is no time up to an hour, as 7s")]
struct DurationError(String);

fn duration(text: &str) -> Result<Duration, DurationError> {
    let units = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("", 1.0)];
    let seconds = units.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?.parse::<f64>().ok()?;
        Some(number * factor)
    });
    let seconds = seconds.filter(|s| s.is_finite() && (0.0..=MAX_WAIT_S).contains(s));
    let seconds = seconds.ok_or_else(|| DurationError(text.into()))?;
    Ok(Duration::from_secs_f64(seconds))
}

/// Settings in the format of the settings file.
#[derive(Serialize)]
struct SettingsOutput<'a> {
    settings: &'a PolicySettings,
}

#[derive(Serialize)]
struct VersionOutput<'a> {
    version: u64,
    settings: &'a PolicySettings,
}

#[derive(Serialize)]
struct EffectsOutput {
    effects: Vec<QuotaEffect>,
}

#[derive(Serialize)]
struct VersionsOutput {
    versions: Vec<VersionEntry>,
}

#[derive(Serialize)]
struct DifferencesOutput {
    differences: Vec<Difference>,
}

/// Runs the command, prints its error and returns its exit status.
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
        let reason = "--state: the state service's address is missing";
        return Err(ConfigFailure::Refused(reason.into()));
    }
    let store = ConfigurationStore::new(&arguments.state);
    let json = arguments.json;
    match &arguments.command {
        ConfigCommand::Show => show(&store, json),
        ConfigCommand::Check { file } => check(&store, file, json),
        ConfigCommand::Apply { file, dry_run, .. } if *dry_run => {
            let file = ConfigurationFile::read(file)?;
            print_quota_effects(&store, &file.policy, json)
        }
        ConfigCommand::Apply {
            file, expect, note, ..
        } => {
            let file = ConfigurationFile::read(file)?;
            let change = ConfigurationChange {
                settings: &file.policy,
                limits: file.limits,
                expected_version: *expect,
                note,
            };
            let applied = config::apply(&store, &change)?;
            let version = applied.version;
            print(json, &applied, &format!("version {version} is on record"))
        }
        ConfigCommand::Diff { file } => diff(&store, file, json),
        ConfigCommand::History => history(&store, json),
        ConfigCommand::Rollback {
            version,
            value_kb,
            max_transaction_changes,
        } => {
            let limits = FileLimits {
                value_kb: *value_kb,
                max_transaction_changes: *max_transaction_changes,
            };
            let applied = config::rollback(&store, *version, limits)?;
            let text = format!("version {} is as version {version} was", applied.version);
            print(json, &applied, &text)
        }
        ConfigCommand::Wait { version, within } => {
            let rollout = config::wait_for_rollout(&store, *version, *within)?;
            let controllers = rollout.up_to_date.join(" ");
            let text = format!("version {version} is followed by {controllers}");
            print(json, &rollout, &text)
        }
    }
}

fn check(store: &ConfigurationStore, file: &Path, json: bool) -> Result<(), ConfigFailure> {
    let file = ConfigurationFile::read(file)?;
    config::check(store, &file.policy)?;
    let text = format!("sound: {} teams", file.policy.teams.len());
    let effects = Vec::new();
    print(json, &EffectsOutput { effects }, &text)
}

fn diff(store: &ConfigurationStore, file: &Path, json: bool) -> Result<(), ConfigFailure> {
    let file = ConfigurationFile::read(file)?;
    let current = store.current()?;
    let before = current.map(|current| current.settings).unwrap_or_default();
    print_differences(json, config::differences(&before, &file.policy))
}

fn show(store: &ConfigurationStore, json: bool) -> Result<(), ConfigFailure> {
    let Some(current) = store.current()? else {
        let none = PolicySettings::default();
        let text = "# none is on record: the settings files hold";
        let (version, settings) = (0, &none);
        return print(json, &VersionOutput { version, settings }, text);
    };
    let settings = &current.settings;
    let version = current.record.version;
    let text = toml::to_string(&SettingsOutput { settings }).map_err(failed)?;
    let text = format!("# version {version}\n{}", text.trim_end());
    print(json, &VersionOutput { version, settings }, &text)
}

fn print_quota_effects(
    store: &ConfigurationStore,
    settings: &PolicySettings,
    json: bool,
) -> Result<(), ConfigFailure> {
    config::check(store, settings)?;
    let effects = config::quota_effects(store, settings)?;
    let lines = effects.iter().map(|effect| {
        let QuotaEffect {
            team,
            cpus,
            cpus_max,
            stopped,
        } = effect;
        let tasks = stopped.len();
        format!("{team}: uses {cpus}, limit {cpus_max}: {tasks} tasks stopped")
    });
    let text = lines_or(lines, "nothing would be stopped");
    print(json, &EffectsOutput { effects }, &text)
}

fn print_differences(json: bool, differences: Vec<Difference>) -> Result<(), ConfigFailure> {
    let lines = differences.iter().map(|difference| {
        let side = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".into());
        let (before, after) = (side(&difference.before), side(&difference.after));
        format!("{}: {before} -> {after}", difference.field)
    });
    let text = lines_or(lines, "no difference");
    print(json, &DifferencesOutput { differences }, &text)
}

fn history(store: &ConfigurationStore, json: bool) -> Result<(), ConfigFailure> {
    let current = store.current()?;
    let versions = current.map(|current| config::version_history(&current.record));
    let versions: Vec<VersionEntry> = versions.into_iter().flatten().collect();
    let lines = versions
        .iter()
        .map(|v| format!("{:6}  {}  {}", v.version, v.at_ms, v.note));
    let text = lines_or(lines, "none is on record");
    print(json, &VersionsOutput { versions }, &text)
}

/// Joins the lines, or returns `none` if there is no line.
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

/// Converts an error of formatting or printing.
fn failed(error: impl std::error::Error) -> ConfigFailure {
    ConfigFailure::Failed(error.to_string())
}
