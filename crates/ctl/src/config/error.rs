//! Why a command failed, and the exit status for it.

use glenmount_core::configuration::ConfigurationError;

/// Why a command failed, each with an exit status of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFailure {
    /// The state service is not reached, or a file can't be read. Exit status 1.
    Failed(String),
    /// What was asked for is absurd or contradictory. Exit status 2.
    Refused(String),
    /// Another change came first. Exit status 3.
    Conflict(String),
    /// Not all controllers follow the version in time. Exit status 4.
    TimedOut(String),
}

impl ConfigFailure {
    pub fn status(&self) -> u8 {
        match self {
            ConfigFailure::Failed(_) => 1,
            ConfigFailure::Refused(_) => 2,
            ConfigFailure::Conflict(_) => 3,
            ConfigFailure::TimedOut(_) => 4,
        }
    }

    pub fn message(&self) -> &str {
        match self {
            ConfigFailure::Failed(message)
            | ConfigFailure::Refused(message)
            | ConfigFailure::Conflict(message)
            | ConfigFailure::TimedOut(message) => message,
        }
    }
}

impl From<String> for ConfigFailure {
    fn from(message: String) -> ConfigFailure {
        ConfigFailure::Failed(message)
    }
}

impl From<ConfigurationError> for ConfigFailure {
    fn from(error: ConfigurationError) -> ConfigFailure {
        ConfigFailure::Refused(error.to_string())
    }
}
