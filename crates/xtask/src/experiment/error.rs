//! Errors of experiments.

use crate::file_error::FileError;
use indicatif::style::TemplateError;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why days cannot be simulated or the results cannot be written.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file does not describe days.
    #[error("{}: {problem}", path.display())]
    Description {
        /// The file.
        path: PathBuf,
        /// The error in the file.
        problem: String,
    },
    /// A day cannot be simulated.
    #[error("{0}")]
    Day(String),
    /// The template of the progress bar is invalid.
    #[error(transparent)]
    ProgressBar(#[from] TemplateError),
    /// The figures cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error("{}: {problem}", path.display())]
    Plot {
        /// The plot's file.
        path: PathBuf,
        /// The error of the library.
        problem: String,
    },
}
