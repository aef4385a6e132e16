//! The stored form of a configuration: a version record and its pages.

use super::{require, ConfigurationError, ObjectiveSettings, Policy, PolicySettings, TeamSettings};
use crate::model::WallMs;
use crate::state::StateCache;
use serde::{Deserialize, Serialize};

/// The latest schema version of configuration records that this program reads.
pub const CONFIGURATION_SCHEMA_VERSION: u32 = 1;
/// Bytes of a page besides its entries.
pub(super) const PAGE_BASE_BYTES: usize = 40;

/// A version of the configuration, written with its pages by one transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationVersionRecord {
    /// Schema version of the pages.
    #[serde(rename = "f")]
    pub schema_version: u32,
    /// Number of changes so far, from 1.
    #[serde(rename = "v")]
    pub version: u64,
    /// Number of pages.
    #[serde(rename = "p")]
    pub pages: u32,
    /// Number of teams on all pages.
    #[serde(rename = "t")]
    pub teams: u32,
    /// Number of objectives on all pages.
    #[serde(rename = "o")]
    pub objectives: u32,
    /// Time of day of the change.
    #[serde(rename = "a")]
    pub at: WallMs,
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// Earlier versions whose pages are retained, latest first.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<KeptVersion>,
}

/// An earlier version that is available for rollbacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptVersion {
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "p")]
    pub pages: u32,
    #[serde(rename = "a")]
    pub at: WallMs,
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

/// A page with a part of the entries of a version. It never changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPageRecord {
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamEntry>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub objectives: Vec<ObjectiveSettings>,
    /// Seconds after which idle machines are returned, on the first page only.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub idle_return_s: Option<f64>,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// The stored form of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub cpus: f64,
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub cpus_max: f64,
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub gpus: f64,
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub gpus_max: f64,
}

impl TeamEntry {
    fn from_settings(team: &TeamSettings) -> TeamEntry {
        TeamEntry {
            name: team.name.clone(),
            cpus: team.cpus,
            cpus_max: team.cpus_max,
            gpus: team.gpus,
            gpus_max: team.gpus_max,
        }
    }

    fn settings(&self) -> TeamSettings {
        TeamSettings {
            name: self.name.clone(),
            cpus: self.cpus,
            cpus_max: self.cpus_max,
            gpus: self.gpus,
            gpus_max: self.gpus_max,
        }
    }
}

/// The version that a controller follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedVersionRecord {
    #[serde(rename = "v")]
    pub version: u64,
}

/// The record that enables configurations on record, once every controller reads them. It never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEnabledRecord {
    /// The storage format that introduced configurations.
    #[serde(rename = "v")]
    pub version: u32,
}

/// Returns the size of a value as JSON.
pub(super) fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

/// Splits the settings into as few pages as possible of at most `page_bytes` each.
pub fn paginate(settings: &PolicySettings, page_bytes: usize) -> Vec<ConfigurationPageRecord> {
    let first = ConfigurationPageRecord {
        idle_return_s: settings.idle_return_s,
        ..ConfigurationPageRecord::default()
    };
    let mut pages = vec![first];
    let mut bytes = PAGE_BASE_BYTES;
    let mut page_for = |pages: &mut Vec<ConfigurationPageRecord>, entry_bytes: usize| {
        if bytes + entry_bytes > page_bytes {
            pages.push(ConfigurationPageRecord::default());
            bytes = PAGE_BASE_BYTES;
        }
        bytes += entry_bytes;
        pages.len() - 1
    };
    for team in &settings.teams {
        let entry = TeamEntry::from_settings(team);
        let page = page_for(&mut pages, json_bytes(&entry) + 1);
        pages[page].teams.push(entry);
    }
    for objective in &settings.objectives {
        let page = page_for(&mut pages, json_bytes(objective) + 1);
        pages[page].objectives.push(objective.clone());
    }
    pages
}

/// Returns the settings that the pages of a version hold.
pub fn settings_from_pages(pages: &[ConfigurationPageRecord]) -> PolicySettings {
    let teams = pages.iter().flat_map(|page| &page.teams);
    let objectives = pages.iter().flat_map(|page| &page.objectives);
    PolicySettings {
        idle_return_s: pages.first().and_then(|page| page.idle_return_s),
        teams: teams.map(TeamEntry::settings).collect(),
        objectives: objectives.cloned().collect(),
    }
}

/// Reads the configuration on record. Returns an error if it is damaged, incomplete or of a later schema version.
pub(super) fn read(
    record: &ConfigurationVersionRecord,
    mod_revision: u64,
    cache: &StateCache,
) -> Result<Policy, ConfigurationError> {
    let form = format!(
        "{} is later than {CONFIGURATION_SCHEMA_VERSION}",
        record.schema_version
    );
    require(
        record.schema_version <= CONFIGURATION_SCHEMA_VERSION,
        "form",
        &form,
    )?;
    let version = record.version;
    let mut pages = Vec::new();
    for page_number in 0..record.pages {
        let missing =
            || ConfigurationError::new(format!("page {page_number}"), "missing or unreadable");
        let page = cache
            .configuration_page(version, page_number)
            .ok_or_else(missing)?;
        pages.push(page.clone());
    }
    let settings = settings_from_pages(&pages);
    let counts = (settings.teams.len(), settings.objectives.len());
    let is_complete = counts == (record.teams as usize, record.objectives as usize);
    require(is_complete, "pages", "entries are missing")?;
    settings.check_strictly()?;
    Ok(Policy {
        version,
        mod_revision,
        ..settings.policy()?
    })
}
