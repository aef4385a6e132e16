//! The command line of `glenmountctl config`.

use crate::output::print_line;
use clap::{Args, Subcommand};
use glenmount_core::configuration::PolicySettings;
use glenmountctl::config::{
    self, Change, ConfigFailure, ConfigurationFile, Difference, Effect, FileLimits, Records,
};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

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
        #[arg(long, default_value_t = FileLimits::default().max_transaction_changes)]
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

fn duration(text: &str) -> Result<Duration, String> {
    let units = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("", 1.0)];
    let split = units.iter().find_map(|(unit, factor)| {
        let number = text.strip_suffix(unit)?.parse::<f64>().ok()?;
        Some(number * factor)
    });
    let seconds = split.filter(|s| s.is_finite() && (0.0..=MAX_WAIT_S).contains(s));
    let seconds = seconds.ok_or_else(|| format!("{text:?} is no time up to an hour, as 7s"))?;
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
    versions: Vec<Version>,
}

#[derive(Serialize)]
struct Version {
    version: u64,
    /// Milliseconds since 1970.
    at: u64,
    note: String,
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
            eprintln!("glenmountctl: {}", failure.message());
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
        ConfigCommand::Check { file } => {
            let file = ConfigurationFile::read(file)?;
            config::check(&records, &file.policy)?;
            let teams = file.policy.teams.len();
            print(
                json,
                &Planned {
                    effects: Vec::new(),
                },
                &format!("sound: {teams} teams"),
            )
        }
        ConfigCommand::Apply {
            file,
            expect,
            note,
            dry_run,
        } => {
            let file = ConfigurationFile::read(file)?;
            if *dry_run {
                return plan(&records, &file.policy, json);
            }
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
        ConfigCommand::Diff { file } => {
            let file = ConfigurationFile::read(file)?;
            let current = records.current()?;
            let before = current.map(|current| current.settings).unwrap_or_default();
            print_differences(json, config::differences(&before, &file.policy))
        }
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
            print(
                json,
                &followers,
                &format!("version {version} is followed by {controllers}"),
            )
        }
    }
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
    let text = toml::to_string(&Shown { settings }).map_err(|e| e.to_string())?;
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
    let lines: Vec<String> = lines.collect();
    let text = match lines.is_empty() {
        true => "nothing would be stopped".to_string(),
        false => lines.join("\n"),
    };
    print(json, &Planned { effects }, &text)
}

fn print_differences(json: bool, differences: Vec<Difference>) -> Result<(), ConfigFailure> {
    let lines = differences.iter().map(|difference| {
        let side = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".into());
        let (before, after) = (side(&difference.before), side(&difference.after));
        format!("{}: {before} -> {after}", difference.field)
    });
    let lines: Vec<String> = lines.collect();
    let text = match lines.is_empty() {
        true => "no difference".to_string(),
        false => lines.join("\n"),
    };
    print(json, &Differences { differences }, &text)
}

fn history(records: &Records, json: bool) -> Result<(), ConfigFailure> {
    let current = records.current()?;
    let versions = current.map(|current| config::history(&current.record));
    let versions: Vec<Version> = (versions.into_iter().flatten())
        .map(|(version, at, note)| Version { version, at, note })
        .collect();
    let lines = versions
        .iter()
        .map(|v| format!("{:6}  {}  {}", v.version, v.at, v.note));
    let lines: Vec<String> = lines.collect();
    let text = match lines.is_empty() {
        true => "none is on record".to_string(),
        false => lines.join("\n"),
    };
    print(json, &Versions { versions }, &text)
}

fn print(json: bool, value: &impl Serialize, text: &str) -> Result<(), ConfigFailure> {
    let shown = match json {
        true => serde_json::to_string(value).map_err(|e| e.to_string())?,
        false => text.to_string(),
    };
    Ok(print_line(&shown)?)
}
