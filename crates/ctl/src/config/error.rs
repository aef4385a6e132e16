//! Why a command failed, and the exit status for it.

use crate::state_client::StateClientError;
use glenmount_core::configuration::ConfigurationError;
use thiserror::Error;

/// Why a command failed, each with an exit status of its own.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigFailure {
    /// The state service is not reached, or a file can't be read. Exit status 1.
    #[error("{0}")]
    Failed(String),
    /// What was asked for is absurd or contradictory. Exit status 2.
    #[error("{0}")]
    Refused(String),
    /// Another change came first. Exit status 3.
    #[error("{0}")]
    Conflict(String),
    /// Not all controllers follow the version in time. Exit status 4.
    #[error("{0}")]
    TimedOut(String),
}

impl ConfigFailure {
    /// The exit status of the command.
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
