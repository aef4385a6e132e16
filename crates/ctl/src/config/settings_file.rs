//! Files that hold a configuration: the settings file's own form, of which only this part is read.

use super::ConfigFailure;
use glenmount_core::configuration::{
    ChangeLimits, ObjectiveSettings, PolicySettings, TeamSettings,
};
use serde::Deserialize;
use std::path::Path;

/// Bytes of a file at most.
const FILE_BYTES: u64 = 1 << 20;
/// What the state service takes where the file does not say it: less than any platform has told.
const VALUE_KB: f64 = 2.0;
const TXN_OPS: usize = 16;
/// Limits that make sense.
const VALUE_KB_RANGE: std::ops::RangeInclusive<f64> = 1.5..=1024.0;
const TXN_OPS_RANGE: std::ops::RangeInclusive<usize> = 3..=1_000;
const BYTES_PER_KB: f64 = 1_024.0;

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
    pub value_kb: f64,
    pub max_transaction_changes: usize,
}

impl Default for FileLimits {
    fn default() -> FileLimits {
        FileLimits {
            value_kb: VALUE_KB,
            max_transaction_changes: TXN_OPS,
        }
    }
}

impl FileLimits {
    pub fn change_limits(self) -> ChangeLimits {
        ChangeLimits {
            max_value_bytes: (self.value_kb * BYTES_PER_KB) as usize,
            changes: self.max_transaction_changes,
        }
    }

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
    pub policy: PolicySettings,
    pub limits: FileLimits,
}

impl ConfigurationFile {
    pub fn read(path: &Path) -> Result<ConfigurationFile, ConfigFailure> {
        let at = |problem: String| format!("{}: {problem}", path.display());
        let size = std::fs::metadata(path).map_err(|e| at(e.to_string()))?;
        if size.len() > FILE_BYTES {
            return Err(ConfigFailure::Refused(at("larger than 1 MiB".into())));
        }
        let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
        ConfigurationFile::parse(&text).map_err(|problem| ConfigFailure::Refused(at(problem)))
    }

    pub fn parse(text: &str) -> Result<ConfigurationFile, String> {
        let one_line = |e: toml::de::Error| e.to_string().trim().replace('\n', " ");
        let file: File = toml::from_str(text).map_err(one_line)?;
        let limits = file.settings.state.as_ref().map(FileLimits::of);
        let limits = limits.unwrap_or_default();
        if !VALUE_KB_RANGE.contains(&limits.value_kb) {
            return Err("settings.state.value_kb: must be between 1.5 and 1024".into());
        }
        if !TXN_OPS_RANGE.contains(&limits.max_transaction_changes) {
            return Err("settings.state.txn_ops: must be between 3 and 1000".into());
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
