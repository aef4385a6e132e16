//! Reads the configuration from a file in the format of the settings file. Other fields are ignored.

use super::ConfigFailure;
use glenmount_core::configuration::{
    ChangeLimits, ObjectiveSettings, PolicySettings, TeamSettings,
};
use serde::Deserialize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use thiserror::Error;

/// Largest file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Limits of the state store if the file has none, lower than those of any known platform.
const DEFAULT_VALUE_KB: f64 = 2.0;
const DEFAULT_TXN_OPS: usize = 16;
/// Valid limits.
const VALUE_KB_RANGE: RangeInclusive<f64> = 1.5..=1024.0;
const TXN_OPS_RANGE: RangeInclusive<usize> = 3..=1_000;
const BYTES_PER_KB: f64 = 1_024.0;

/// The reason why a text is no configuration, as one line with the field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsFileError {
    /// The text is no TOML, or a field is missing or of another type.
    #[error("{0}")]
    Toml(String),
    /// `settings.state.value_kb` is out of range.
    #[error("settings.state.value_kb: must be between 1.5 and 1024")]
    ValueSize,
    /// `settings.state.txn_ops` is out of range.
    #[error("settings.state.txn_ops: must be between 3 and 1000")]
    TransactionSize,
}

impl From<toml::de::Error> for SettingsFileError {
    fn from(error: toml::de::Error) -> SettingsFileError {
        SettingsFileError::Toml(error.to_string().trim().replace('\n', " "))
    }
}

#[derive(Deserialize)]
struct File {
    settings: Settings,
}

#[derive(Deserialize)]
struct Settings {
    idle_return_s: Option<f64>,
    teams: Vec<TeamSettings>,
    #[serde(default)]
    objectives: Vec<ObjectiveSettings>,
    state: Option<StateLimits>,
}

#[derive(Deserialize)]
struct StateLimits {
    value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    max_transaction_changes: Option<usize>,
    next: Option<Box<StateLimits>>,
}

/// Limits of the state store that hold now and after an announced change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FileLimits {
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Changes per transaction.
    pub max_transaction_changes: usize,
}

impl Default for FileLimits {
    fn default() -> FileLimits {
        FileLimits {
            value_kb: DEFAULT_VALUE_KB,
            max_transaction_changes: DEFAULT_TXN_OPS,
        }
    }
}

impl FileLimits {
    /// Converts the limits to those of a change, which are in bytes.
    pub fn change_limits(self) -> ChangeLimits {
        ChangeLimits {
            max_value_bytes: (self.value_kb * BYTES_PER_KB) as usize,
            max_transaction_changes: self.max_transaction_changes,
        }
    }

    /// Returns the lower of the current and the announced limits.
    fn from_limits(limits: &StateLimits) -> FileLimits {
        let default = FileLimits::default();
        let current = FileLimits {
            value_kb: limits.value_kb.unwrap_or(default.value_kb),
            max_transaction_changes: limits
                .max_transaction_changes
                .unwrap_or(default.max_transaction_changes),
        };
        let Some(next) = &limits.next else {
            return current;
        };
        FileLimits {
            value_kb: current
                .value_kb
                .min(next.value_kb.unwrap_or(current.value_kb)),
            max_transaction_changes: current.max_transaction_changes.min(
                next.max_transaction_changes
                    .unwrap_or(current.max_transaction_changes),
            ),
        }
    }
}

/// The configuration in a file, and the limits of the state store.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationFile {
    /// The settings that can change while controllers run.
    pub policy: PolicySettings,
    /// The limits of the state store.
    pub limits: FileLimits,
}

impl ConfigurationFile {
    /// Reads a file of at most 1 MiB.
    ///
    /// # Errors
    ///
    /// `Failed` if the file cannot be read, `Refused` if it is invalid. The message names the file.
    pub fn read(path: &Path) -> Result<ConfigurationFile, ConfigFailure> {
        let with_path = |problem: &dyn Display| format!("{}: {problem}", path.display());
        let unreadable = |error: std::io::Error| ConfigFailure::Failed(with_path(&error));
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > MAX_FILE_BYTES {
            return Err(ConfigFailure::Refused(with_path(&"larger than 1 MiB")));
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        ConfigurationFile::parse(&text).map_err(|error| ConfigFailure::Refused(with_path(&error)))
    }

    /// Parses the text of a settings file and ignores other fields than those of the configuration.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or invalid.
    pub fn parse(text: &str) -> Result<ConfigurationFile, SettingsFileError> {
        let file: File = toml::from_str(text)?;
        let limits = file.settings.state.as_ref().map(FileLimits::from_limits);
        let limits = limits.unwrap_or_default();
        if !VALUE_KB_RANGE.contains(&limits.value_kb) {
            return Err(SettingsFileError::ValueSize);
        }
        if !TXN_OPS_RANGE.contains(&limits.max_transaction_changes) {
            return Err(SettingsFileError::TransactionSize);
        }
        Ok(ConfigurationFile {
            policy: PolicySettings {
                idle_return_s: file.settings.idle_return_s,
                teams: file.settings.teams,
                objectives: file.settings.objectives,
            },
            limits,
        })
    }
}
