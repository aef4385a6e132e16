//! Runs the users' benchmark program.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::process::{Command, ExitStatus};
use thiserror::Error;
use xtask::journal::{self, Entry, JournalError};

/// The reason why the benchmark failed.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    #[error("--bench: {}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    #[error("--bench: {command} left no entry ({status})")]
    NoEntry { command: String, status: ExitStatus },
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// The benchmark program, and the journal entries that it has written so far.
pub(crate) struct Bench {
    pub(crate) program: PathBuf,
    pub(crate) journal: PathBuf,
    pub(crate) note: String,
    pub(crate) entries: Vec<Entry>,
}

impl Bench {
    /// Runs a command of the benchmark and collects the entries that it writes. The exit status is ignored, since the
    /// entries hold the result.
    pub(crate) fn run(&mut self, command: &str, args: &[&str]) -> Result<(), BenchError> {
        let before: BTreeSet<PathBuf> = journal::files(&self.journal)?.into_iter().collect();
        let status = Command::new(&self.program)
            .arg(command)
            .args(args)
            .args(["--why", &self.note])
            .status()
            .map_err(|source| BenchError::Program {
                program: self.program.clone(),
                source,
            })?;
        let after = journal::files(&self.journal)?;
        let new_files: Vec<&PathBuf> = after.iter().filter(|p| !before.contains(*p)).collect();
        if new_files.is_empty() {
            let command = command.to_string();
            return Err(BenchError::NoEntry { command, status });
        }
        for path in new_files {
            self.entries.push(journal::read(path)?.entry);
        }
        Ok(())
    }
}
