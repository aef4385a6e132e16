//! Errors of site variants.

use super::sizes::MAX_RESTART_DELAY_S;
use crate::file_error::FileError;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a variant of a site cannot be created.
#[derive(Debug, Error)]
pub enum SiteVariantError {
    /// A factor is out of range.
    #[error("{flag}: {factor} is not from 0.1 to 10")]
    Factor {
        /// The command line's flag.
        flag: &'static str,
        /// Its value.
        factor: f64,
    },
    /// A number is out of range.
    #[error("{flag}: {count} is not from 1 to {max}")]
    Count {
        /// The command line's flag.
        flag: &'static str,
        /// Its value.
        count: usize,
        /// The largest valid value.
        max: usize,
    },
    /// The restart delay is out of range.
    #[error("--back-s: {0} is not from 0 to {MAX_RESTART_DELAY_S}")]
    RestartDelay(f64),
    /// The site file lacks a field.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A field of the site file that is scaled is not a number.
    #[error("{0}: not a number")]
    NotANumber(String),
    /// A file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The site file is no TOML.
    #[error("{}: {source}", path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
    /// No variant of this site file can be created.
    #[error("{}: {source}", path.display())]
    Site {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<SiteVariantError>,
    },
    /// The variant cannot be written as TOML.
    #[error(transparent)]
    Serialize(#[from] toml::ser::Error),
}
