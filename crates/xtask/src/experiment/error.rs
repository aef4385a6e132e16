//! Why days can't be played, or what was played can't be written.

use crate::file_error::FileError;
use indicatif::style::TemplateError;
use std::path::PathBuf;
use thiserror::Error;

/// Why days can't be played, or what was played can't be written.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file that describes no days.
    #[error("{}: {problem}", path.display())]
    Description {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
    /// A day that can't be played.
    #[error("{0}")]
    Play(String),
    /// The progress bar's template.
    #[error(transparent)]
    ProgressBar(#[from] TemplateError),
    /// The figures can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn.
    #[error("{}: {problem}", path.display())]
    Plot {
        /// The plot's file.
        path: PathBuf,
        /// What the library says.
        problem: String,
    },
}
