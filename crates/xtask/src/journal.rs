//! Entries of the bench's journal, as far as the comparison reads them.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Bytes of an entry at most: known ones take some 20 KiB.
const ENTRY_BYTES: u64 = 8 << 20;
/// Entries read from one journal at most.
const ENTRIES: usize = 100_000;

/// One run of the bench on one site.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Entry {
    pub id: String,
    pub cmd: String,
    #[serde(default)]
    pub argv: Vec<String>,
    pub site: Option<String>,
    pub ok: bool,
    pub error: Option<String>,
    /// 0 to 1; none where only single days were played.
    pub score: Option<f64>,
    #[serde(default)]
    pub days: Vec<Day>,
    /// The sources changed while it ran, so its figures belong to neither.
    #[serde(default)]
    pub edited_meanwhile: bool,
}

/// One day of a run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Day {
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
    pub entry: Entry,
    pub sha256: String,
}

/// Reads one entry; errors name the file and, where there is one, the field.
pub fn read(path: &Path) -> Result<HashedEntry, String> {
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let bytes = std::fs::metadata(path).map_err(|e| at(&e))?.len();
    if bytes > ENTRY_BYTES {
        return Err(at(&format!("{bytes} bytes, at most {ENTRY_BYTES}")));
    }
    let text = std::fs::read(path).map_err(|e| at(&e))?;
    let entry = parse(&text).map_err(|e| at(&e))?;
    Ok(HashedEntry {
        entry,
        sha256: hash(&text),
    })
}

/// An entry's text. Figures outside of 0 to 1 are refused: they would pass any comparison.
pub fn parse(text: &[u8]) -> Result<Entry, String> {
    let entry: Entry = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let figure = |field: &str, x: Option<f64>| match x {
        Some(x) if !(0.0..=1.0).contains(&x) => Err(format!("{field}: {x} is not from 0 to 1")),
        _ => Ok(()),
    };
    figure("score", entry.score)?;
    for day in &entry.days {
        figure(&format!("days, {}: score", day.name), day.score)?;
        for (of, _, share) in &day.served {
            figure(&format!("days, {}: served, {of}", day.name), Some(*share))?;
        }
    }
    Ok(entry)
}

pub fn hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Files of a journal in the order in which their runs began.
pub fn files(journal: &Path) -> Result<Vec<PathBuf>, String> {
    let listed = std::fs::read_dir(journal).map_err(|e| format!("{}: {e}", journal.display()))?;
    let mut found: Vec<PathBuf> = listed
        .filter_map(|f| Some(f.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "json"))
        .collect();
    if found.len() > ENTRIES {
        return Err(format!(
            "{}: more than {ENTRIES} entries",
            journal.display()
        ));
    }
    found.sort();
    Ok(found)
}

/// The file of the entry with this id: names end in it.
pub fn find(journal: &Path, id: &str) -> Result<PathBuf, String> {
    let ends = format!("-{id}.json");
    let mut named = files(journal)?.into_iter().filter(|p| {
        let name = p.file_name().and_then(|n| n.to_str());
        name.is_some_and(|n| n.ends_with(&ends))
    });
    match (named.next(), named.next()) {
        (Some(path), None) => Ok(path),
        (None, _) => Err(format!("{}: no entry {id}", journal.display())),
        _ => Err(format!("{}: several entries {id}", journal.display())),
    }
}
