//! The base: figures of earlier runs, each from an entry of the journal that it names.

use crate::journal::{self, HashedEntry};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Where a figure comes from.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BaseEntry {
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
    #[serde(default)]
    pub days: BTreeMap<String, Vec<f64>>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Base {
    pub entries: Vec<BaseEntry>,
    pub sites: BTreeMap<String, SiteFigures>,
}

impl Base {
    /// A base of these entries; what must not serve as one is refused.
    pub fn of(runs: &[HashedEntry]) -> Result<Base, String> {
        let mut base = Base::default();
        for HashedEntry { entry, sha256 } in runs {
            let id = &entry.id;
            let site = (entry.site.as_ref()).ok_or_else(|| format!("{id}: it names no site"))?;
            if !entry.ok || entry.edited_meanwhile {
                return Err(format!("{id}: it did not end well, or the sources changed"));
            }
            if base.entries.iter().any(|s| s.id == *id) {
                return Err(format!("{id}: named twice"));
            }
            let known = base.sites.entry(site.clone()).or_default();
            if !entry.quick() {
                known.score.extend(entry.score);
            }
            for day in &entry.days {
                if !day.rules.is_empty() || day.fault.is_some() {
                    return Err(format!("{id}: a rule was broken on {}", day.name));
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

    pub fn read(path: &Path) -> Result<Base, String> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read(path).map_err(|e| at(&e))?;
        serde_json::from_slice(&text).map_err(|e| at(&e))
    }

    pub fn write(&self, path: &Path) -> Result<(), String> {
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Whether the journal still holds the entries that the base names, with the figures that it
    /// took from them.
    pub fn confirm(&self, journal: &Path) -> Result<(), String> {
        let mut runs = Vec::new();
        for BaseEntry { id, sha256 } in &self.entries {
            let run = journal::read(&journal::find(journal, id)?)?;
            if run.sha256 != *sha256 {
                return Err(format!(
                    "{id}: the entry is not the one that the base names"
                ));
            }
            runs.push(run);
        }
        match Base::of(&runs)? == *self {
            true => Ok(()),
            false => Err("the base's figures are not those of the entries that it names".into()),
        }
    }
}

/// Whether a day was drawn for one run: it has a seed or a run's mark in its name.
pub fn is_drawn(name: &str) -> bool {
    name.contains(" --seed") || name.starts_with("fresh-") || name.starts_with("hunt-")
}
