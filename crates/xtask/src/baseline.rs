//! The baseline: figures of earlier benchmark runs, each taken from a journal entry that the baseline names.

use crate::file_error::FileError;
use crate::journal::{self, HashedEntry, JournalError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a baseline cannot be read or created. Most messages name an entry by its id.
#[derive(Debug, Error)]
pub enum BaselineError {
    /// A journal entry cannot be read.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The baseline's file cannot be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file does not hold a baseline.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The baseline cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The entry names no site.
    #[error("{0}: it names no site")]
    NoSite(String),
    /// The run failed, or the sources changed during it, so its figures are not valid.
    #[error("{0}: the run failed, or the sources changed during it")]
    NotSound(String),
    /// The entry is listed twice.
    #[error("{0}: named twice")]
    Duplicate(String),
    /// The run broke a rule or was aborted.
    #[error("{id}: a rule was broken on {day}")]
    RuleBroken {
        /// The entry's id.
        id: String,
        /// The day's name.
        day: String,
    },
    /// The entry's file has changed since the baseline was created.
    #[error("{0}: the entry has changed since the base was created")]
    EntryChanged(String),
    /// The baseline's figures have been edited.
    #[error("the base's figures are not those of the entries that it names")]
    FiguresChanged,
}

/// The journal entry that a figure comes from.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BaselineEntry {
    /// The entry's id.
    pub id: String,
    /// SHA-256 of the entry's file, which reveals later changes.
    pub sha256: String,
}

/// The figures of one site. A day that was run several times has several figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct SiteFigures {
    /// Scores of the full set of days.
    #[serde(default)]
    pub score: Vec<f64>,
    /// Scores of each day.
    #[serde(default)]
    pub days: BTreeMap<String, Vec<f64>>,
}

/// The figures to compare with, and the entries that they come from.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Baseline {
    /// The entries that the figures are taken from.
    pub entries: Vec<BaselineEntry>,
    /// The figures by site name.
    pub sites: BTreeMap<String, SiteFigures>,
}

impl Baseline {
    /// Creates a baseline from journal entries.
    ///
    /// # Errors
    ///
    /// Names the entry that is not valid in a baseline.
    pub fn from_entries(hashed_entries: &[HashedEntry]) -> Result<Baseline, BaselineError> {
        let mut baseline = Baseline::default();
        for HashedEntry { entry, sha256 } in hashed_entries {
            let id = &entry.id;
            let site = (entry.site.as_ref()).ok_or_else(|| BaselineError::NoSite(id.clone()))?;
            if !entry.succeeded || entry.sources_changed {
                return Err(BaselineError::NotSound(id.clone()));
            }
            if baseline.entries.iter().any(|earlier| earlier.id == *id) {
                return Err(BaselineError::Duplicate(id.clone()));
            }
            let figures = baseline.sites.entry(site.clone()).or_default();
            if !entry.is_quick() {
                figures.score.extend(entry.score);
            }
            for day in &entry.days {
                if !day.broken_rules.is_empty() || day.abort_reason.is_some() {
                    return Err(BaselineError::RuleBroken {
                        id: id.clone(),
                        day: day.name.clone(),
                    });
                }
                // Randomly drawn days are never run again.
                if !is_drawn(&day.name) {
                    let day_scores = figures.days.entry(day.name.clone()).or_default();
                    day_scores.extend(day.score);
                }
            }
            baseline.entries.push(BaselineEntry {
                id: id.clone(),
                sha256: sha256.clone(),
            });
        }
        Ok(baseline)
    }

    /// Reads a baseline from a file.
    ///
    /// # Errors
    ///
    /// Names the file.
    pub fn read(path: &Path) -> Result<Baseline, BaselineError> {
        let text = std::fs::read(path).map_err(FileError::at(path))?;
        serde_json::from_slice(&text).map_err(|source| BaselineError::Malformed {
            path: path.to_path_buf(),
            source,
        })
    }

    /// Writes the baseline to a file.
    ///
    /// # Errors
    ///
    /// Names the file.
    pub fn write(&self, path: &Path) -> Result<(), BaselineError> {
        let text = serde_json::to_string_pretty(self)?;
        Ok(std::fs::write(path, text + "\n").map_err(FileError::at(path))?)
    }

    /// Verifies that the journal still holds the baseline's entries, and that the baseline's figures are theirs.
    ///
    /// # Errors
    ///
    /// Names the entry that is missing or has changed.
    pub fn verify(&self, journal: &Path) -> Result<(), BaselineError> {
        let mut hashed_entries = Vec::new();
        for BaselineEntry { id, sha256 } in &self.entries {
            let hashed_entry = journal::read(&journal::find(journal, id)?)?;
            if hashed_entry.sha256 != *sha256 {
                return Err(BaselineError::EntryChanged(id.clone()));
            }
            hashed_entries.push(hashed_entry);
        }
        match Baseline::from_entries(&hashed_entries)? == *self {
            true => Ok(()),
            false => Err(BaselineError::FiguresChanged),
        }
    }
}

/// Returns whether a day was drawn randomly for one run. Its name then holds a seed or identifies the run.
pub fn is_drawn(name: &str) -> bool {
    name.contains(" --seed") || name.starts_with("fresh-") || name.starts_with("hunt-")
}
