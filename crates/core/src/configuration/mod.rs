//! What operators may change while controllers run: teams with their guarantees and limits, objectives, and
//! the time after which idle machines are returned.
//!
//! A configuration comes from the platform's settings file until one is put on record. On record it is one
//! version record and a few pages, all of them written by one transaction. Pages are never changed, so
//! whoever reads a version record and the pages that it counts has the whole of that version or nothing.
//! What a controller decides by a configuration is conditional on the revision of the version record that it came
//! from: see `Policy::mod_revision`.

mod change;
mod in_force;
mod records;
mod rollout;
mod settings;

pub use change::{
    change_transaction, outdated_pages, validate_for_jobs, ChangeLimits, NOTE_MAX_BYTES,
    RETAINED_VERSIONS_MAX,
};
pub use in_force::{Configuration, ConfigurationUpdate};
pub use records::{
    paginate, settings_from_pages, ConfigurationEnabledRecord, ConfigurationPageRecord,
    ConfigurationVersionRecord, KeptVersion, ObservedVersionRecord, TeamEntry,
    CONFIGURATION_SCHEMA_VERSION,
};
pub use settings::{
    ObjectiveSettings, Policy, PolicySettings, TeamSettings, OBJECTIVES_MAX, TEAMS_MAX,
};

use std::fmt;

/// Why a configuration is refused: the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// The field, as operators write it.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl ConfigurationError {
    /// `problem` is wrong with `field`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> ConfigurationError {
        ConfigurationError {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl From<ConfigurationError> for String {
    fn from(error: ConfigurationError) -> String {
        error.to_string()
    }
}

impl std::error::Error for ConfigurationError {}

/// An error unless a condition holds.
fn require(holds: bool, field: &str, problem: &str) -> Result<(), ConfigurationError> {
    match holds {
        true => Ok(()),
        false => Err(ConfigurationError::new(field, problem)),
    }
}
