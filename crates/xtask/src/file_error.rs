//! Errors of reading and writing files, with the path.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file or folder cannot be read or written.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The path.
    pub path: PathBuf,
    /// The cause.
    pub source: io::Error,
}

impl FileError {
    /// Adds the path to an error.
    pub fn at(path: &Path) -> impl Fn(io::Error) -> FileError + '_ {
        |source| FileError {
            path: path.to_path_buf(),
            source,
        }
    }
}
