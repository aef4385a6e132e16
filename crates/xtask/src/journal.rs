//! Reads the entries of the benchmark's journal, with the fields that the comparison needs.

use crate::file_error::FileError;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Largest entry. Known entries take some 20 KiB.
const MAX_ENTRY_BYTES: u64 = 8 << 20;
/// Largest number of entries in a journal.
const MAX_ENTRIES: usize = 100_000;

/// The reason why a journal or one of its entries cannot be read.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A file or the journal's folder cannot be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file is too large.
    #[error("{}: {bytes} bytes, at most {MAX_ENTRY_BYTES}", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// The file's size.
        bytes: u64,
    },
    /// The file does not hold an entry.
    #[error("{}: {source}", path.display())]
    Entry {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: EntryError,
    },
    /// The journal has too many files.
    #[error("{}: more than {MAX_ENTRIES} entries", .0.display())]
    TooManyEntries(PathBuf),
    /// No file's name ends with the id.
    #[error("{}: no entry {id}", journal.display())]
    Missing {
        /// The journal's folder.
        journal: PathBuf,
        /// The id.
        id: String,
    },
    /// The names of several files end with the id.
    #[error("{}: several entries {id}", journal.display())]
    Ambiguous {
        /// The journal's folder.
        journal: PathBuf,
        /// The id.
        id: String,
    },
}

/// The reason why a text is no entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The text is no JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The figure is outside the range from 0 to 1 and would pass any comparison.
    #[error("{field}: {figure} is not from 0 to 1")]
    Figure {
        /// The field's name, with the day if it is a day's.
        field: String,
        /// The value.
        figure: f64,
    },
}

/// One run of the benchmark on one site.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Entry {
    /// The id, with which the file's name ends.
    pub id: String,
    /// The benchmark's command: `score`, `hunt` or `run`.
    #[serde(rename = "cmd")]
    pub command: String,
    /// The command's arguments.
    #[serde(rename = "argv", default)]
    pub arguments: Vec<String>,
    /// The site's name.
    pub site: Option<String>,
    /// Whether the run succeeded.
    #[serde(rename = "ok")]
    pub succeeded: bool,
    /// The error, if it failed.
    pub error: Option<String>,
    /// The site's score from 0 to 1, or `None` if only single days were run.
    pub score: Option<f64>,
    /// The days of the run.
    #[serde(default)]
    pub days: Vec<Day>,
    /// Whether the sources changed during the run, so that its figures belong to no version.
    #[serde(rename = "edited_meanwhile", default)]
    pub sources_changed: bool,
}

/// The result of one simulated day of a run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Day {
    /// The day's name. Randomly drawn days have a seed in it or identify the run.
    pub name: String,
    /// The score from 0 to 1; 0 if a rule was broken.
    pub score: Option<f64>,
    /// The number of violations of each broken rule.
    #[serde(rename = "rules", default)]
    pub broken_rules: BTreeMap<String, serde_json::Value>,
    /// The reason why the day was aborted.
    #[serde(rename = "fault")]
    pub abort_reason: Option<serde_json::Value>,
    /// Number of controllers that exited by themselves.
    #[serde(rename = "restarts", default)]
    pub controller_exits: f64,
    /// Each class and team, with its share of the requested work and the served share of that. Entries of earlier
    /// versions of the benchmark have none.
    #[serde(default)]
    pub served: Vec<(String, f64, f64)>,
}

impl Entry {
    /// Returns whether the run is a score of the site's roughest days only, so that its score is not comparable.
    pub fn is_quick(&self) -> bool {
        self.arguments.iter().any(|a| a == "--quick")
    }
}

/// A journal entry with the hash of its file.
#[derive(Clone, Debug, PartialEq)]
pub struct HashedEntry {
    /// The entry.
    pub entry: Entry,
    /// The SHA-256 hash of the file in hexadecimal digits.
    pub sha256: String,
}

/// Reads an entry from a file.
///
/// # Errors
///
/// Names the file and, if possible, the field.
pub fn read(path: &Path) -> Result<HashedEntry, JournalError> {
    let metadata = std::fs::metadata(path).map_err(FileError::at(path))?;
    if metadata.len() > MAX_ENTRY_BYTES {
        return Err(JournalError::TooLarge {
            path: path.to_path_buf(),
            bytes: metadata.len(),
        });
    }
    let text = std::fs::read(path).map_err(FileError::at(path))?;
    let entry = parse(&text).map_err(|source| JournalError::Entry {
        path: path.to_path_buf(),
        source,
    })?;
    Ok(HashedEntry {
        entry,
        sha256: hash(&text),
    })
}

/// Parses the text of an entry.
///
/// # Errors
///
/// If the text is no entry. Figures outside the range from 0 to 1 are rejected, because they would pass any comparison.
pub fn parse(text: &[u8]) -> Result<Entry, EntryError> {
    let entry: Entry = serde_json::from_slice(text)?;
    check_figure("score".into(), entry.score)?;
    for day in &entry.days {
        check_figure(format!("days, {}: score", day.name), day.score)?;
        for (name, _, share) in &day.served {
            check_figure(format!("days, {}: served, {name}", day.name), Some(*share))?;
        }
    }
    Ok(entry)
}

fn check_figure(field: String, figure: Option<f64>) -> Result<(), EntryError> {
    match figure {
        Some(figure) if !(0.0..=1.0).contains(&figure) => Err(EntryError::Figure { field, figure }),
        _ => Ok(()),
    }
}

/// Returns the SHA-256 hash in hexadecimal digits.
pub fn hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the files of a journal in the order in which the runs started.
///
/// # Errors
///
/// If the folder cannot be read or has too many files.
pub fn files(journal: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let dir_entries = std::fs::read_dir(journal).map_err(FileError::at(journal))?;
    let mut files: Vec<PathBuf> = dir_entries
        .filter_map(|f| Some(f.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "json"))
        .collect();
    if files.len() > MAX_ENTRIES {
        return Err(JournalError::TooManyEntries(journal.to_path_buf()));
    }
    files.sort();
    Ok(files)
}

/// Returns the file of the entry with this id, with which its name ends.
///
/// # Errors
///
/// If there is no such file or several.
pub fn find(journal: &Path, id: &str) -> Result<PathBuf, JournalError> {
    let suffix = format!("-{id}.json");
    let mut matching = files(journal)?.into_iter().filter(|p| {
        let name = p.file_name().and_then(|n| n.to_str());
        name.is_some_and(|n| n.ends_with(&suffix))
    });
    let (folder, id) = (journal.to_path_buf(), id.to_string());
    match (matching.next(), matching.next()) {
        (Some(path), None) => Ok(path),
        (None, _) => Err(JournalError::Missing {
            journal: folder,
            id,
        }),
        _ => Err(JournalError::Ambiguous {
            journal: folder,
            id,
        }),
    }
}
