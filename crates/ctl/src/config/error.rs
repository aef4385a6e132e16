//! Errors of `glenmountctl config`, with their exit statuses.

use crate::state_client::StateClientError;
use glenmount_core::configuration::ConfigurationError;
use thiserror::Error;

/// The reason why a command failed, which determines the exit status.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigFailure {
    /// The state store is unreachable, or a file cannot be read. Exit status 1.
    #[error("{0}")]
    Failed(String),
    /// The request is invalid. Exit status 2.
    #[error("{0}")]
    Refused(String),
    /// Another change was first. Exit status 3.
    #[error("{0}")]
    Conflict(String),
    /// Not all controllers observed the version in time. Exit status 4.
    #[error("{0}")]
    TimedOut(String),
}

impl ConfigFailure {
    /// Returns the exit status of the command.
    pub fn status(&self) -> u8 {
        match self {
            ConfigFailure::Failed(_) => 1,
            ConfigFailure::Refused(_) => 2,
            ConfigFailure::Conflict(_) => 3,
            ConfigFailure::TimedOut(_) => 4,
        }
    }
}

impl From<StateClientError> for ConfigFailure {
    fn from(error: StateClientError) -> ConfigFailure {
        ConfigFailure::Failed(error.to_string())
    }
}

impl From<ConfigurationError> for ConfigFailure {
    fn from(error: ConfigurationError) -> ConfigFailure {
        ConfigFailure::Refused(error.to_string())
    }
}
