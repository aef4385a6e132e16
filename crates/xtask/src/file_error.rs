//! Files that can't be read or written.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file or folder that can't be read or written.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// Which.
    pub path: PathBuf,
    /// Why.
    pub source: io::Error,
}

impl FileError {
    /// Names the path in errors of reading or writing it.
    pub fn at(path: &Path) -> impl Fn(io::Error) -> FileError + '_ {
        |source| FileError {
            path: path.to_path_buf(),
            source,
        }
    }
}
