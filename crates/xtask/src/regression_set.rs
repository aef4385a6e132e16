//! The sets of sites for the regression check, by their files in the users' kit.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// The users' kit lacks a site file.
#[derive(Debug, Error)]
#[error("--kit: no site file {}", .0.display())]
pub struct MissingSite(pub PathBuf);

/// A set of sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RegressionSet {
    /// The two large fleets, for changes of storage, membership, timers or messages.
    Fleet,
    /// The operators' current and next deployments, before each merge.
    Operators,
    /// The two large fleets with days on which several faults coincide, for changes of cancellations, heartbeats,
    /// commands or transactions.
    Hunt,
    /// All sites in full, with a hunt on each, at every third merge.
    Full,
}

const FLEET: [&str; 2] = [
    "more/fleet/rutazona-central-fleet.toml",
    "more/fleet/melekt-shared-fleet.toml",
];
const HUNT: [&str; 2] = [
    "more/hunt/rutazona-central-hunt.toml",
    "more/hunt/melekt-shared-hunt.toml",
];
const OPERATORS: [&str; 4] = [
    "lean/rutazona-central-lean.toml",
    "lean/melekt-shared-lean.toml",
    "change/rutazona-central-next.toml",
    "change/melekt-shared-next.toml",
];

impl RegressionSet {
    /// Returns the site files of the set.
    ///
    /// # Errors
    ///
    /// Names the first file that does not exist.
    pub fn sites(self, kit: &Path) -> Result<Vec<PathBuf>, MissingSite> {
        let names: Vec<&str> = match self {
            RegressionSet::Fleet => FLEET.to_vec(),
            RegressionSet::Operators => OPERATORS.to_vec(),
            RegressionSet::Hunt => HUNT.to_vec(),
            RegressionSet::Full => (FLEET.into_iter().chain(HUNT).chain(OPERATORS)).collect(),
        };
        let sites = names.into_iter().map(|n| kit.join(n));
        sites
            .map(|path| match path.is_file() {
                true => Ok(path),
                false => Err(MissingSite(path)),
            })
            .collect()
    }

    /// Returns the name of a site, which is that of its file.
    pub fn name(site: &Path) -> String {
        let stem = site.file_stem().and_then(|s| s.to_str());
        stem.unwrap_or_default().to_string()
    }
}
