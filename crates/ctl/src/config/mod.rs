//! `glenmountctl config`: configurations on record, see docs/configuration.md.

mod apply;
mod differences;
mod effects;
mod error;
mod followers;
mod records;
mod settings_file;

pub use apply::{apply, check, rollback, Applied, Change};
pub use differences::{differences, Difference};
pub use effects::{effects, Effect};
pub use error::ConfigFailure;
pub use followers::{wait, Followers};
pub use records::{Current, Records};
pub use settings_file::{ConfigurationFile, FileLimits, SettingsFileError};

use glenmount_core::configuration::ConfigurationVersionRecord;
use serde::Serialize;

/// A version that can be gone back to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VersionEntry {
    /// Its number.
    pub version: u64,
    /// Milliseconds since 1970 at which it was put on record.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Why, by the operator's word.
    pub note: String,
}

/// The versions that can be gone back to, latest first, with the one in force before them.
pub fn history(record: &ConfigurationVersionRecord) -> Vec<VersionEntry> {
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
