//! What a run found, written as JSON and read again for comparisons.

use super::figures::Figures;
use crate::invariants::Violation;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Bytes of a result file at most.
const MAX_RESULT_BYTES: u64 = 4 * 1024 * 1024;

/// A run: what was played, what was found, which invariants were violated.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// What was played.
    pub plan: Plan,
    /// What was measured.
    pub figures: Figures,
    /// Invariants that were violated.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Controllers, by index, that exited although nothing ended them.
    #[serde(rename = "ended")]
    pub exited_controllers: Vec<usize>,
    /// Whether the run came to its end.
    pub finished: bool,
}

impl RunResult {
    /// Whether the run came to its end without a violation or an unexpected exit.
    pub fn is_good(&self) -> bool {
        self.finished && self.violations.is_empty() && self.exited_controllers.is_empty()
    }

    /// Writes the result as JSON, in a folder that is created if it is not there.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        let text = serde_json::to_string_pretty(self)?;
        fs::write(path, text + "\n")
    }
}

/// Why a result file can't be read: the file, and what is wrong with it, in one line.
#[derive(Debug, thiserror::Error)]
#[error("{}: {problem}", .path.display())]
pub struct ResultFileError {
    path: PathBuf,
    #[source]
    problem: ResultFileProblem,
}

#[derive(Debug, thiserror::Error)]
enum ResultFileProblem {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("larger than 4 MiB")]
    TooLarge,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The part of a result file that a comparison reads.
#[derive(Debug, Clone, Deserialize)]
pub struct EarlierResult {
    /// What was measured.
    pub figures: Figures,
}

impl EarlierResult {
    /// Reads a result file.
    pub fn read(path: &Path) -> Result<EarlierResult, ResultFileError> {
        read_file(path).map_err(|problem| ResultFileError {
            path: path.to_path_buf(),
            problem,
        })
    }
}

fn read_file(path: &Path) -> Result<EarlierResult, ResultFileProblem> {
    if fs::metadata(path)?.len() > MAX_RESULT_BYTES {
        return Err(ResultFileProblem::TooLarge);
    }
    let text = fs::read_to_string(path)?;
    Ok(serde_json::from_str(&text)?)
}
