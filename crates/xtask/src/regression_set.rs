//! What is played when: sites by their files under the users' kit.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// A site file that the users' kit does not have.
#[derive(Debug, Error)]
#[error("--kit: no site file {}", .0.display())]
pub struct MissingSite(pub PathBuf);

/// A set of sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RegressionSet {
    /// The two large fleets: before what touches storage, membership, timers or messages.
    Fleet,
    /// The operators' deployments and those named next: before every landing.
    Operators,
    /// The large fleets once more, whose recorded days are meetings of troubles: with what touches
    /// cancellations, reports, commands or transactions.
    Hunt,
    /// All, in full, with a hunt on each: every third landing.
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
    /// Site files.
    ///
    /// # Errors
    ///
    /// The first that does not exist.
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

    /// A site's name is its file's.
    pub fn name(site: &Path) -> String {
        let stem = site.file_stem().and_then(|s| s.to_str());
        stem.unwrap_or_default().to_string()
    }
}
