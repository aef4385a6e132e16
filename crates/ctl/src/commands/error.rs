//! Errors of commands other than `config`.

use glenmountctl::export::ExportError;
use glenmountctl::replay::ReplayError;
use glenmountctl::run_file::RunFileError;
use glenmountctl::state_client::StateClientError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a command other than `config` failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    RunFile { path: PathBuf, source: RunFileError },
    #[error("{}: {source}", path.display())]
    Replay { path: PathBuf, source: ReplayError },
    #[error(transparent)]
    State(#[from] StateClientError),
    #[error(transparent)]
    Export(#[from] ExportError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Output(#[from] io::Error),
}

impl CommandError {
    /// Adds the file's path to an error.
    pub(crate) fn file(path: &Path) -> impl Fn(io::Error) -> CommandError + '_ {
        |source| CommandError::File {
            path: path.to_path_buf(),
            source,
        }
    }

    pub(crate) fn run_file(path: &Path) -> impl Fn(RunFileError) -> CommandError + '_ {
        |source| CommandError::RunFile {
            path: path.to_path_buf(),
            source,
        }
    }

    pub(crate) fn replay(path: &Path) -> impl Fn(ReplayError) -> CommandError + '_ {
        |source| CommandError::Replay {
            path: path.to_path_buf(),
            source,
        }
    }
}
