//! The users' bench as it is run from here.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::process::{Command, ExitStatus};
use thiserror::Error;
use xtask::journal::{self, Entry, JournalError};

/// Why the bench can't be run.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    #[error("--bench: {}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
    #[error("--bench: {command} left no entry ({status})")]
    NoEntry { command: String, status: ExitStatus },
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// The users' bench, and what it has left in the journal so far.
pub(crate) struct Bench {
    pub(crate) program: PathBuf,
    pub(crate) journal: PathBuf,
    pub(crate) why: String,
    pub(crate) entries: Vec<Entry>,
}

impl Bench {
    /// Plays, and takes up the entries that it leaves. How it exits says nothing: its entries do.
    pub(crate) fn play(&mut self, command: &str, args: &[&str]) -> Result<(), BenchError> {
        let before: BTreeSet<PathBuf> = journal::files(&self.journal)?.into_iter().collect();
        let status = Command::new(&self.program)
            .arg(command)
            .args(args)
            .args(["--why", &self.why])
            .status()
            .map_err(|source| BenchError::Program {
                program: self.program.clone(),
                source,
            })?;
        let after = journal::files(&self.journal)?;
        let new: Vec<&PathBuf> = after.iter().filter(|p| !before.contains(*p)).collect();
        if new.is_empty() {
            let command = command.to_string();
            return Err(BenchError::NoEntry { command, status });
        }
        for path in new {
            self.entries.push(journal::read(path)?.entry);
        }
        Ok(())
    }
}
