//! Files that hold a configuration: the settings file's own form, of which only this part is read.

use super::ConfigFailure;
use glenmount_core::configuration::{
    ChangeLimits, ObjectiveSettings, PolicySettings, TeamSettings,
};
use serde::Deserialize;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use thiserror::Error;

/// Bytes of a file at most.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// What the state service takes where the file does not say it: less than any platform has told.
const DEFAULT_VALUE_KB: f64 = 2.0;
const DEFAULT_TXN_OPS: usize = 16;
/// Limits that make sense.
const VALUE_KB_RANGE: RangeInclusive<f64> = 1.5..=1024.0;
const TXN_OPS_RANGE: RangeInclusive<usize> = 3..=1_000;
const BYTES_PER_KB: f64 = 1_024.0;

/// Why a text is no configuration: one line, which names the field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsFileError {
    /// It is no TOML, or a field is missing or of another type.
    #[error("{0}")]
    Toml(String),
    /// `settings.state.value_kb` makes no sense.
    #[error("settings.state.value_kb: must be between 1.5 and 1024")]
    ValueSize,
    /// `settings.state.max_transaction_changes` makes no sense.
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

/// What the state service takes, now and after an announced change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FileLimits {
    /// KiB of a value.
    pub value_kb: f64,
    /// Changes of one transaction.
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
    /// The same in the units of a change: bytes.
    pub fn change_limits(self) -> ChangeLimits {
        ChangeLimits {
            max_value_bytes: (self.value_kb * BYTES_PER_KB) as usize,
            max_transaction_changes: self.max_transaction_changes,
        }
    }

    /// The lower of today's limits and those announced.
    fn of(limits: &StateLimits) -> FileLimits {
        let usual = FileLimits::default();
        let now = FileLimits {
            value_kb: limits.value_kb.unwrap_or(usual.value_kb),
            max_transaction_changes: limits
                .max_transaction_changes
                .unwrap_or(usual.max_transaction_changes),
        };
        let Some(next) = &limits.next else {
            return now;
        };
        FileLimits {
            value_kb: now.value_kb.min(next.value_kb.unwrap_or(now.value_kb)),
            max_transaction_changes: now.max_transaction_changes.min(
                next.max_transaction_changes
                    .unwrap_or(now.max_transaction_changes),
            ),
        }
    }
}

/// A file's configuration, and the limits by which it is put on record.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationFile {
    /// Teams, objectives and what else changes while controllers run.
    pub policy: PolicySettings,
    /// What the state service takes.
    pub limits: FileLimits,
}

impl ConfigurationFile {
    /// Reads a file of at most 1 MiB.
    ///
    /// # Errors
    ///
    /// `Failed` if it can't be read, `Refused` if it makes no sense; the message names the file.
    pub fn read(path: &Path) -> Result<ConfigurationFile, ConfigFailure> {
        let named = |problem: &dyn Display| format!("{}: {problem}", path.display());
        let unreadable = |error: std::io::Error| ConfigFailure::Failed(named(&error));
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > MAX_FILE_BYTES {
            return Err(ConfigFailure::Refused(named(&"larger than 1 MiB")));
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        ConfigurationFile::parse(&text).map_err(|error| ConfigFailure::Refused(named(&error)))
    }

    /// Reads a settings file's text; what is no part of the configuration is passed over.
    ///
    /// # Errors
    ///
    /// Names the field that is missing or makes no sense.
    pub fn parse(text: &str) -> Result<ConfigurationFile, SettingsFileError> {
        let file: File = toml::from_str(text)?;
        let limits = file.settings.state.as_ref().map(FileLimits::of);
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
