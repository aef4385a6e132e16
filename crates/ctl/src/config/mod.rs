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
pub use settings_file::{ConfigurationFile, FileLimits};

use glenmount_core::configuration::ConfigurationVersionRecord;

/// The versions that can be gone back to, latest first, with the one in force before them.
pub fn history(record: &ConfigurationVersionRecord) -> Vec<(u64, u64, String)> {
    let first = (record.version, record.at, record.note.clone());
    let kept = record.kept.iter();
    let kept = kept.map(|kept| (kept.version, kept.at, kept.note.clone()));
    std::iter::once(first).chain(kept).collect()
}
