//! Command-line arguments and the settings files that they name.

use crate::logging::LevelError;
use crate::settings::{self, Config, OperatorSettings, SettingsError};
use clap::Parser;
use std::fs::read_to_string;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A cluster scheduler whose controllers keep no local state: each places tasks from shared records
#[derive(Parser)]
#[command(version, about)]
pub struct Arguments {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' settings file (XML); every setting has a default
    #[arg(long, value_name = "FILE")]
    operator_settings: Option<PathBuf>,
}

/// The reason why the arguments or settings are unusable.
#[derive(Debug, Error)]
pub enum UsageError {
    #[error(transparent)]
    LogLevel(#[from] LevelError),
    #[error("{}: {error}", .path.display())]
    Read { path: PathBuf, error: io::Error },
    #[error("{}: {error}", .path.display())]
    Settings { path: PathBuf, error: SettingsError },
    #[error(transparent)]
    OperatorSettings(SettingsError),
}

impl Arguments {
    /// Reads and validates both settings files.
    ///
    /// # Errors
    /// A file can't be read, or a setting is missing or out of range.
    pub fn load(&self) -> Result<Config, UsageError> {
        let operator = match &self.operator_settings {
            Some(path) => settings::read_operator_settings(&read(path)?)
                .map_err(UsageError::OperatorSettings)?,
            None => OperatorSettings::default(),
        };
        settings::read_config(&read(&self.config)?, &operator).map_err(|error| {
            UsageError::Settings {
                path: self.config.clone(),
                error,
            }
        })
    }
}

fn read(path: &Path) -> Result<String, UsageError> {
    read_to_string(path).map_err(|error| UsageError::Read {
        path: path.to_path_buf(),
        error,
    })
}
