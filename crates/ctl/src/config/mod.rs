//! Reads and changes the stored configuration for `glenmountctl config`. See docs/configuration.md.

mod apply;
mod differences;
mod effects;
mod error;
mod records;
mod rollout;
mod settings_file;

pub use apply::{apply, check, rollback, AppliedVersion, ConfigurationChange};
pub use differences::{differences, Difference};
pub use effects::{quota_effects, QuotaEffect};
pub use error::ConfigFailure;
pub use records::{ConfigurationStore, CurrentConfiguration};
pub use rollout::{wait_for_rollout, RolloutStatus};
pub use settings_file::{ConfigurationFile, FileLimits, SettingsFileError};

use glenmount_core::configuration::ConfigurationVersionRecord;
use serde::Serialize;

/// A version that can be restored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VersionEntry {
    /// The version's number.
    pub version: u64,
    /// Time of the change that applied it, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// The operator's note.
    pub note: String,
}

/// Returns the current version and those that can be restored, latest first.
pub fn version_history(record: &ConfigurationVersionRecord) -> Vec<VersionEntry> {
    let current = VersionEntry {
        version: record.version,
        at_ms: record.at,
        note: record.note.clone(),
    };
    let kept = record.kept.iter().map(|kept| VersionEntry {
        version: kept.version,
        at_ms: kept.at,
        note: kept.note.clone(),
    });
    std::iter::once(current).chain(kept).collect()
}
