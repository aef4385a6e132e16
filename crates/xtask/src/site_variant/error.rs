//! Why a variant of a site can't be made.

use super::sizes::MAX_BACK_S;
use crate::file_error::FileError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a variant of a site can't be made.
#[derive(Debug, Error)]
pub enum SiteVariantError {
    /// A factor that makes no sense.
    #[error("{flag}: {factor} is not from 0.1 to 10")]
    Factor {
        /// The command line's flag.
        flag: &'static str,
        /// Its value.
        factor: f64,
    },
    /// A number that makes no sense.
    #[error("{flag}: {count} is not from 1 to {max}")]
    Count {
        /// The command line's flag.
        flag: &'static str,
        /// Its value.
        count: usize,
        /// The highest that makes sense.
        max: usize,
    },
    /// Seconds to a restart that make no sense.
    #[error("--back-s: {0} is not from 0 to {MAX_BACK_S}")]
    BackSeconds(f64),
    /// The site file lacks a field.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A field of the site file that is to grow is not a number.
    #[error("{0}: not a number")]
    NotANumber(String),
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The site file is no TOML.
    #[error("{}: {source}", path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// Why.
        source: toml::de::Error,
    },
    /// No variant can be made of this site file.
    #[error("{}: {source}", path.display())]
    Site {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<SiteVariantError>,
    },
    /// The variant can't be written as TOML.
    #[error(transparent)]
    Serialize(#[from] toml::ser::Error),
}
