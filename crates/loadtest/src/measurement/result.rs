//! Result of a run, written as JSON and read for comparisons.

use super::figures::Figures;
use crate::invariants::Violation;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Upper bound of the size of a result file.
const MAX_RESULT_BYTES: u64 = 4 * 1024 * 1024;

/// The plan, the figures and the violated invariants of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// Plan of the run.
    pub plan: Plan,
    /// Measured figures.
    pub figures: Figures,
    /// Violations of invariants.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Indices of controllers that exited although the run did not kill them.
    #[serde(rename = "ended")]
    pub exited_controllers: Vec<usize>,
    /// Whether the run reached its planned end.
    pub finished: bool,
}

impl RunResult {
    /// Returns whether the run reached its planned end without a violation or an unexpected exit.
    pub fn is_good(&self) -> bool {
        self.finished && self.violations.is_empty() && self.exited_controllers.is_empty()
    }

    /// Writes the result as JSON; creates the folder if it doesn't exist.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        let text = serde_json::to_string_pretty(self)?;
        fs::write(path, text + "\n")
    }
}

/// An error of one line that names an unreadable result file and the problem.
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

/// The part of a result file that comparisons use.
#[derive(Debug, Clone, Deserialize)]
pub struct EarlierResult {
    /// Measured figures.
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
