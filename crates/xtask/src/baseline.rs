//! The base: figures of earlier runs, each from an entry of the journal that it names.

use crate::file_error::FileError;
use crate::journal::{self, HashedEntry, JournalError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why there is no base, or none of these entries. Most name an entry by its id.
#[derive(Debug, Error)]
pub enum BaselineError {
    /// An entry can't be read.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The base's file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The base's file is no base.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The base can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An entry without a site.
    #[error("{0}: it names no site")]
    NoSite(String),
    /// A run whose figures say nothing.
    #[error("{0}: it did not end well, or the sources changed")]
    NotSound(String),
    /// An entry that was named before.
    #[error("{0}: named twice")]
    Duplicate(String),
    /// A run that broke a rule, or was not played to its end.
    #[error("{id}: a rule was broken on {day}")]
    RuleBroken {
        /// The entry's id.
        id: String,
        /// The day's name.
        day: String,
    },
    /// An entry whose file has changed since.
    #[error("{0}: the entry is not the one that the base names")]
    EntryChanged(String),
    /// A base that was edited.
    #[error("the base's figures are not those of the entries that it names")]
    FiguresChanged,
}

/// Where a figure comes from.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BaseEntry {
    /// The entry's id.
    pub id: String,
    /// Of the entry's file, so that a figure can't change under the base.
    pub sha256: String,
}

/// Figures of one site. A day played several times has several.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct SiteFigures {
    /// Full scores.
    #[serde(default)]
    pub score: Vec<f64>,
    /// Figures of each day.
    #[serde(default)]
    pub days: BTreeMap<String, Vec<f64>>,
}

/// Figures to compare with, and where they come from.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Base {
    /// The entries that the figures are taken from.
    pub entries: Vec<BaseEntry>,
    /// Figures by the site's name.
    pub sites: BTreeMap<String, SiteFigures>,
}

impl Base {
    /// A base of these entries.
    ///
    /// # Errors
    ///
    /// Names the entry that must not serve as one.
    pub fn of(runs: &[HashedEntry]) -> Result<Base, BaselineError> {
        let mut base = Base::default();
        for HashedEntry { entry, sha256 } in runs {
            let id = &entry.id;
            let site = (entry.site.as_ref()).ok_or_else(|| BaselineError::NoSite(id.clone()))?;
            if !entry.ok || entry.edited_meanwhile {
                return Err(BaselineError::NotSound(id.clone()));
            }
            if base.entries.iter().any(|s| s.id == *id) {
                return Err(BaselineError::Duplicate(id.clone()));
            }
            let known = base.sites.entry(site.clone()).or_default();
            if !entry.quick() {
                known.score.extend(entry.score);
            }
            for day in &entry.days {
                if !day.rules.is_empty() || day.fault.is_some() {
                    return Err(BaselineError::RuleBroken {
                        id: id.clone(),
                        day: day.name.clone(),
                    });
                }
                // Drawn days never come again.
                if !is_drawn(&day.name) {
                    let figures = known.days.entry(day.name.clone()).or_default();
                    figures.extend(day.score);
                }
            }
            base.entries.push(BaseEntry {
                id: id.clone(),
                sha256: sha256.clone(),
            });
        }
        Ok(base)
    }

    /// Reads a recorded base.
    ///
    /// # Errors
    ///
    /// Names the file.
    pub fn read(path: &Path) -> Result<Base, BaselineError> {
        let text = std::fs::read(path).map_err(FileError::at(path))?;
        serde_json::from_slice(&text).map_err(|source| BaselineError::Malformed {
            path: path.to_path_buf(),
            source,
        })
    }

    /// Records the base.
    ///
    /// # Errors
    ///
    /// Names the file.
    pub fn write(&self, path: &Path) -> Result<(), BaselineError> {
        let text = serde_json::to_string_pretty(self)?;
        Ok(std::fs::write(path, text + "\n").map_err(FileError::at(path))?)
    }

    /// Whether the journal still holds the entries that the base names, with the figures that it
    /// took from them.
    ///
    /// # Errors
    ///
    /// Names the entry that is missing or has changed.
    pub fn confirm(&self, journal: &Path) -> Result<(), BaselineError> {
        let mut runs = Vec::new();
        for BaseEntry { id, sha256 } in &self.entries {
            let run = journal::read(&journal::find(journal, id)?)?;
            if run.sha256 != *sha256 {
                return Err(BaselineError::EntryChanged(id.clone()));
            }
            runs.push(run);
        }
        match Base::of(&runs)? == *self {
            true => Ok(()),
            false => Err(BaselineError::FiguresChanged),
        }
    }
}

/// Whether a day was drawn for one run: it has a seed or a run's mark in its name.
pub fn is_drawn(name: &str) -> bool {
    name.contains(" --seed") || name.starts_with("fresh-") || name.starts_with("hunt-")
}
