//! The configuration, which operators change while controllers run: teams with their guarantees and limits,
//! objectives, and the time after which idle machines are returned.
//!
//! The platform's settings file holds the configuration until one is on record. On record it consists of a
//! version record and a few pages, all written by one transaction. Pages never change, so that a reader of a
//! version record and its pages gets the whole version or nothing. Decisions by a configuration are
//! conditional on the revision of its version record: see `Policy::mod_revision`.

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

/// The reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// The invalid field, as operators write it.
    pub field: String,
    /// The problem with the field.
    pub problem: String,
}

impl ConfigurationError {
    /// Returns an error about `field`.
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

/// Returns an error unless a condition holds.
fn require(holds: bool, field: &str, problem: &str) -> Result<(), ConfigurationError> {
    match holds {
        true => Ok(()),
        false => Err(ConfigurationError::new(field, problem)),
    }
}
