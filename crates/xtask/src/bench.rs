//! The users' bench as it is run from here.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::Command;
use xtask::journal::{self, Entry};

/// The users' bench, and what it has left in the journal so far.
pub(crate) struct Bench {
    pub(crate) program: PathBuf,
    pub(crate) journal: PathBuf,
    pub(crate) why: String,
    pub(crate) entries: Vec<Entry>,
}

impl Bench {
    /// Plays, and takes up the entries that it leaves. How it exits says nothing: its entries do.
    pub(crate) fn play(&mut self, verb: &str, args: &[&str]) -> Result<(), String> {
        let before: BTreeSet<PathBuf> = journal::files(&self.journal)?.into_iter().collect();
        let status = Command::new(&self.program)
            .arg(verb)
            .args(args)
            .args(["--why", &self.why])
            .status()
            .map_err(|e| format!("--bench: {}: {e}", self.program.display()))?;
        let after = journal::files(&self.journal)?;
        let new: Vec<&PathBuf> = after.iter().filter(|p| !before.contains(*p)).collect();
        if new.is_empty() {
            return Err(format!("--bench: {verb} left no entry ({status})"));
        }
        for path in new {
            self.entries.push(journal::read(path)?.entry);
        }
        Ok(())
    }
}
