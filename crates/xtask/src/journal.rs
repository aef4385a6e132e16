//! Entries of the bench's journal, as far as the comparison reads them.

use crate::file_error::FileError;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Bytes of an entry at most: known ones take some 20 KiB.
const MAX_ENTRY_BYTES: u64 = 8 << 20;
/// Entries read from one journal at most.
const MAX_ENTRIES: usize = 100_000;

/// Why a journal, or an entry of it, can't be read.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A file or the journal's folder can't be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file larger than any entry.
    #[error("{}: {bytes} bytes, at most {MAX_ENTRY_BYTES}", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A file that is no entry.
    #[error("{}: {source}", path.display())]
    Entry {
        /// The file.
        path: PathBuf,
        /// Why.
        source: EntryError,
    },
    /// More files than any journal has.
    #[error("{}: more than {MAX_ENTRIES} entries", .0.display())]
    TooManyEntries(PathBuf),
    /// No file's name ends in the id.
    #[error("{}: no entry {id}", journal.display())]
    Missing {
        /// The journal's folder.
        journal: PathBuf,
        /// The id.
        id: String,
    },
    /// The names of several files end in the id.
    #[error("{}: several entries {id}", journal.display())]
    Ambiguous {
        /// The journal's folder.
        journal: PathBuf,
        /// The id.
        id: String,
    },
}

/// Why a text is no entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is no JSON, or a field is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A figure that would pass any comparison.
    #[error("{field}: {figure} is not from 0 to 1")]
    Figure {
        /// Which: its day, if it is a day's, and its name.
        field: String,
        /// Its value.
        figure: f64,
    },
}

/// One run of the bench on one site.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Entry {
    /// Its id, which its file's name ends in.
    pub id: String,
    /// The bench's command: `score`, `hunt` or `run`.
    pub cmd: String,
    /// The command's arguments.
    #[serde(default)]
    pub argv: Vec<String>,
    /// The site's name.
    pub site: Option<String>,
    /// Whether it ended well.
    pub ok: bool,
    /// Why not.
    pub error: Option<String>,
    /// 0 to 1; none where only single days were played.
    pub score: Option<f64>,
    /// Days that were played.
    #[serde(default)]
    pub days: Vec<Day>,
    /// The sources changed while it ran, so its figures belong to neither.
    #[serde(default)]
    pub edited_meanwhile: bool,
}

/// One day of a run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Day {
    /// Its name; days drawn for one run have a seed or a mark in it.
    pub name: String,
    /// 0 to 1; a broken rule makes it 0.
    pub score: Option<f64>,
    /// Rules broken, and how often.
    #[serde(default)]
    pub rules: BTreeMap<String, serde_json::Value>,
    /// Why it could not be played to its end.
    pub fault: Option<serde_json::Value>,
    /// Controllers that ended by themselves.
    #[serde(default)]
    pub restarts: f64,
    /// Each class and team, its share of all that was asked, and the share of that which was served.
    /// Entries of earlier benches have none.
    #[serde(default)]
    pub served: Vec<(String, f64, f64)>,
}

impl Entry {
    /// Whether it is a score of the site's rough days only: its site figure compares with nothing.
    pub fn quick(&self) -> bool {
        self.argv.iter().any(|a| a == "--quick")
    }
}

/// An entry with the hash of its file.
#[derive(Clone, Debug, PartialEq)]
pub struct HashedEntry {
    /// The entry.
    pub entry: Entry,
    /// The hash of its file, in hexadecimal digits.
    pub sha256: String,
}

/// Reads one entry.
///
/// # Errors
///
/// Names the file and, where there is one, the field.
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

/// An entry's text.
///
/// # Errors
///
/// Figures outside of 0 to 1 are refused: they would pass any comparison.
pub fn parse(text: &[u8]) -> Result<Entry, EntryError> {
    let entry: Entry = serde_json::from_slice(text)?;
    check_figure("score".into(), entry.score)?;
    for day in &entry.days {
        check_figure(format!("days, {}: score", day.name), day.score)?;
        for (of, _, share) in &day.served {
            check_figure(format!("days, {}: served, {of}", day.name), Some(*share))?;
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

/// SHA-256 in hexadecimal digits.
pub fn hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Files of a journal in the order in which their runs began.
///
/// # Errors
///
/// If the folder can't be read, or has more files than any journal.
pub fn files(journal: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let listed = std::fs::read_dir(journal).map_err(FileError::at(journal))?;
    let mut found: Vec<PathBuf> = listed
        .filter_map(|f| Some(f.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "json"))
        .collect();
    if found.len() > MAX_ENTRIES {
        return Err(JournalError::TooManyEntries(journal.to_path_buf()));
    }
    found.sort();
    Ok(found)
}

/// The file of the entry with this id: names end in it.
///
/// # Errors
///
/// If no file or several have it.
pub fn find(journal: &Path, id: &str) -> Result<PathBuf, JournalError> {
    let ends = format!("-{id}.json");
    let mut named = files(journal)?.into_iter().filter(|p| {
        let name = p.file_name().and_then(|n| n.to_str());
        name.is_some_and(|n| n.ends_with(&ends))
    });
    let (folder, id) = (journal.to_path_buf(), id.to_string());
    match (named.next(), named.next()) {
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
