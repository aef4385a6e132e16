//! What operators may change while controllers run: teams with their guarantees and limits, objectives, and
//! the time after which idle machines are returned.
//!
//! A configuration comes from the platform's settings file until one is put on record. On record it is one
//! version record and a few pages, all of them written by one transaction. Pages are never changed, so
//! whoever reads a version record and the pages that it counts has the whole of that version or nothing.
//! What a controller decides by a configuration is conditional on the revision of the version record that it came
//! from: see `Policy::mod_revision`.

mod rollout;

use crate::constants::TXN_BYTES;
use crate::model::{have_milli, JobKind, JobSpec, Millis, Team, WallMs};
use crate::state::formats;
use crate::state::{CasTransaction, Key, Record, StateCache};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The latest form of configuration records that this version reads.
pub const CONFIGURATION_FORM: u32 = 1;
/// Versions whose pages are kept, to go back to.
pub const VERSIONS_KEPT: usize = 32;
/// Bytes of the note that an operator leaves with a version.
pub const NOTE_BYTES: usize = 60;
/// Teams and objectives of a configuration at most: what one transaction holds is less.
pub const TEAMS_MOST: usize = 5_000;
pub const OBJECTIVES_MOST: usize = 1_000;
/// Bytes of the name of a team or a class.
const NAME_BYTES: usize = 200;
/// Processors and GPUs, in thousandths, that make sense.
const AMOUNT_MOST: f64 = 1e9;
const SECONDS_MOST: f64 = 86_400.0;
const IDLE_RETURN_LEAST_S: f64 = 1.0;
/// Bytes of a page besides its entries, and of a change in a transaction besides key and value.
const PAGE_BASE_BYTES: usize = 40;
const CHANGE_FRAME_BYTES: usize = 48;

/// Why a configuration is refused: the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    pub field: String,
    pub problem: String,
}

impl ConfigurationError {
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> ConfigurationError {
        ConfigurationError {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl From<ConfigurationError> for String {
    fn from(error: ConfigurationError) -> String {
        error.to_string()
    }
}

/// A team as operators write it, in the settings file and in files for `glenmountctl config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSettings {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim of the users'. Kinds that the scheduler has no use for are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSettings {
    pub kind: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
}

/// The part of the settings that a configuration record holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_return_s: Option<f64>,
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
}

/// A configuration as decisions use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// 0: from the settings file.
    pub version: u64,
    /// The revision of the version record that it came from; 0: there was none. Decisions that rest on
    /// limits, guarantees or order are conditional on it.
    pub mod_revision: u64,
    pub teams: BTreeMap<String, Team>,
    /// Per class, milliseconds within which its jobs should be complete, shortest first.
    pub goals: BTreeMap<String, Vec<u64>>,
    /// Per class, milliseconds within which its tasks should start.
    pub starts: BTreeMap<String, u64>,
    /// Milliseconds after which idle machines are returned; none: as the controller's own settings say.
    pub idle_return_ms: Option<Millis>,
}

fn require(holds: bool, field: &str, problem: &str) -> Result<(), ConfigurationError> {
    match holds {
        true => Ok(()),
        false => Err(ConfigurationError::new(field, problem)),
    }
}

fn amount(field: &str, value: f64) -> Result<u64, ConfigurationError> {
    let sane = value.is_finite() && (0.0..=AMOUNT_MOST).contains(&value);
    let problem = format!("must be between 0 and 1e9, not {value}");
    require(sane, field, &problem)?;
    Ok(have_milli(value))
}

fn milliseconds(field: &str, value: f64, least: f64) -> Result<u64, ConfigurationError> {
    let sane = value.is_finite() && (least..=SECONDS_MOST).contains(&value);
    let problem = format!("must be between {least} and {SECONDS_MOST} seconds, not {value}");
    require(sane, field, &problem)?;
    Ok((value * 1000.0).round() as u64)
}

impl TeamSettings {
    fn team(&self) -> Result<Team, ConfigurationError> {
        require(
            !self.name.is_empty(),
            "settings.teams.name",
            "must not be empty",
        )?;
        let field = |name: &str| format!("settings.teams.{}.{name}", self.name);
        Ok(Team {
            name: self.name.clone(),
            cpus: amount(&field("cpus"), self.cpus)?,
            cpus_max: amount(&field("cpus_max"), self.cpus_max)?,
            gpus: amount(&field("gpus"), self.gpus)?,
            gpus_max: amount(&field("gpus_max"), self.gpus_max)?,
        })
    }
}

impl PolicySettings {
    /// The configuration that these settings stand for; the error names the field.
    pub fn policy(&self) -> Result<Policy, ConfigurationError> {
        let mut policy = Policy::default();
        for settings in &self.teams {
            let team = settings.team()?;
            let problem = format!("{} appears twice", team.name);
            let new = policy.teams.insert(team.name.clone(), team).is_none();
            require(new, "settings.teams.name", &problem)?;
        }
        for objective in &self.objectives {
            policy.take_objective(objective)?;
        }
        policy.goals.values_mut().for_each(|goals| goals.sort());
        if let Some(seconds) = self.idle_return_s {
            let ms = milliseconds("settings.idle_return_s", seconds, IDLE_RETURN_LEAST_S)?;
            policy.idle_return_ms = Some(ms);
        }
        Ok(policy)
    }

    /// What is contradictory though each value makes sense: refused on record, while a settings file that
    /// the platform wrote is served as it is.
    pub fn check_strictly(&self) -> Result<(), ConfigurationError> {
        let (teams, objectives) = (self.teams.len(), self.objectives.len());
        require(
            teams > 0,
            "settings.teams",
            "there must be one at the least",
        )?;
        let many = format!("{teams} are more than {TEAMS_MOST}");
        require(teams <= TEAMS_MOST, "settings.teams", &many)?;
        let many = format!("{objectives} are more than {OBJECTIVES_MOST}");
        require(objectives <= OBJECTIVES_MOST, "settings.objectives", &many)?;
        for team in self.policy()?.teams.values() {
            let field = |name: &str| format!("settings.teams.{}.{name}", team.name);
            let long = team.name.len() <= NAME_BYTES;
            require(long, "settings.teams.name", "longer than 200 bytes")?;
            let above = "a guarantee above its limit";
            let fits = |guarantee: u64, limit: u64| limit == 0 || guarantee <= limit;
            require(fits(team.cpus, team.cpus_max), &field("cpus"), above)?;
            require(fits(team.gpus, team.gpus_max), &field("gpus"), above)?;
        }
        for objective in &self.objectives {
            let long = objective
                .class
                .as_ref()
                .is_some_and(|c| c.len() > NAME_BYTES);
            require(!long, "settings.objectives.class", "longer than 200 bytes")?;
        }
        Ok(())
    }
}

impl Policy {
    fn take_objective(&mut self, objective: &ObjectiveSettings) -> Result<(), ConfigurationError> {
        let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else {
            return Ok(());
        };
        let within = || milliseconds("settings.objectives.within_s", within_s, 0.0);
        match objective.kind.as_str() {
            "finished" => self.goals.entry(class.clone()).or_default().push(within()?),
            "wait" => {
                let start = self.starts.entry(class.clone()).or_insert(u64::MAX);
                *start = within()?.min(*start);
            }
            _ => {}
        }
        Ok(())
    }
}

/// A version of the configuration: written with its pages by one transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationVersionRecord {
    /// The form in which its pages are written.
    #[serde(rename = "f")]
    pub form: u32,
    /// Counts the changes, from 1.
    #[serde(rename = "v")]
    pub version: u64,
    #[serde(rename = "p")]
    pub pages: u32,
    /// Teams and objectives on all its pages together.
    #[serde(rename = "t")]
    pub teams: u32,
    #[serde(rename = "o")]
    pub objectives: u32,
    /// Time of day of the change.
    #[serde(rename = "a")]
    pub at: WallMs,
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    pub note: String,
    /// Earlier versions whose pages are kept, latest first.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<KeptVersion>,
}

/// An earlier version that can be gone back to.
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

/// A part of a version's entries. Never changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationPageRecord {
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamEntry>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub objectives: Vec<ObjectiveSettings>,
    /// On the first page, if it is set.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub idle_return_s: Option<f64>,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// A team as it is stored.
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
    fn of(team: &TeamSettings) -> TeamEntry {
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

/// The version that a controller decides by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedVersionRecord {
    #[serde(rename = "v")]
    pub version: u64,
}

/// Once on record, every controller reads configurations from the records. Written once, never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationEnabledRecord {
    /// The format that brought it.
    #[serde(rename = "v")]
    pub version: u32,
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX / 4, |text| text.len())
}

/// The entries on as few pages as hold them, each within so many bytes.
pub fn pages(settings: &PolicySettings, page_bytes: usize) -> Vec<ConfigurationPageRecord> {
    let first = ConfigurationPageRecord {
        idle_return_s: settings.idle_return_s,
        ..ConfigurationPageRecord::default()
    };
    let mut pages = vec![first];
    let mut bytes = PAGE_BASE_BYTES;
    let mut page_for = |pages: &mut Vec<ConfigurationPageRecord>, entry: usize| {
        if bytes + entry > page_bytes {
            pages.push(ConfigurationPageRecord::default());
            bytes = PAGE_BASE_BYTES;
        }
        bytes += entry;
        pages.len() - 1
    };
    for team in &settings.teams {
        let entry = TeamEntry::of(team);
        let page = page_for(&mut pages, json_bytes(&entry) + 1);
        pages[page].teams.push(entry);
    }
    for objective in &settings.objectives {
        let page = page_for(&mut pages, json_bytes(objective) + 1);
        pages[page].objectives.push(objective.clone());
    }
    pages
}

/// The settings that a version's pages hold; none if pages are missing.
pub fn settings_of(pages: &[ConfigurationPageRecord]) -> PolicySettings {
    let teams = pages.iter().flat_map(|page| &page.teams);
    let objectives = pages.iter().flat_map(|page| &page.objectives);
    PolicySettings {
        idle_return_s: pages.first().and_then(|page| page.idle_return_s),
        teams: teams.map(TeamEntry::settings).collect(),
        objectives: objectives.cloned().collect(),
    }
}

/// The configuration on record, whole; an error if it is damaged, of a later form, or not all there.
fn read(
    record: &ConfigurationVersionRecord,
    mod_revision: u64,
    cache: &StateCache,
) -> Result<Policy, ConfigurationError> {
    let form = format!("{} is later than {CONFIGURATION_FORM}", record.form);
    require(record.form <= CONFIGURATION_FORM, "form", &form)?;
    let version = record.version;
    let mut pages = Vec::new();
    for n in 0..record.pages {
        let missing = || ConfigurationError::new(format!("page {n}"), "missing or unreadable");
        let page = cache.configuration_page(version, n).ok_or_else(missing)?;
        pages.push(page.clone());
    }
    let settings = settings_of(&pages);
    let counted = (settings.teams.len(), settings.objectives.len());
    let whole = counted == (record.teams as usize, record.objectives as usize);
    require(whole, "pages", "not all entries are there")?;
    settings.check_strictly()?;
    Ok(Policy {
        version,
        mod_revision,
        ..settings.policy()?
    })
}

/// What is refused for the sake of jobs that were accepted: a team that is gone, or a limit below what a job
/// needs at the least (a service all of its tasks, an array one).
pub fn review<'a>(
    policy: &Policy,
    open_jobs: impl Iterator<Item = &'a JobSpec>,
) -> Result<(), ConfigurationError> {
    for spec in open_jobs {
        let field = |name: &str| format!("settings.teams.{}{name}", spec.team);
        let Some(team) = policy.teams.get(&spec.team) else {
            let problem = format!("removed, and {} is unfinished", spec.id);
            return Err(ConfigurationError::new(field(""), problem));
        };
        let at_once = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service => u64::from(spec.tasks),
        };
        let limits = [
            ("cpus_max", spec.resources.cpus, team.cpus_max),
            ("gpus_max", spec.resources.gpus, team.gpus_max),
        ];
        for (name, resources, limit) in limits {
            let needed = resources.saturating_mul(at_once);
            let fits = limit == 0 || needed <= limit;
            let needed = needed as f64 / 1e3;
            let problem = format!("below the {needed} that {} needs", spec.id);
            require(fits, &field(&format!(".{name}")), &problem)?;
        }
    }
    Ok(())
}

/// What a change is written by.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Bytes of a value, and changes of a transaction, that the state service takes.
    pub max_value_bytes: usize,
    pub changes: usize,
}

/// The one transaction that puts a configuration on record, conditional on the version before (`current`,
/// with its revision) and on the record that says that all controllers read configurations.
pub fn change(
    settings: &PolicySettings,
    current: Option<(&ConfigurationVersionRecord, u64)>,
    configurable: u64,
    limits: ChangeLimits,
    at: WallMs,
    note: &str,
) -> Result<CasTransaction, ConfigurationError> {
    settings.check_strictly()?;
    let short = note.len() <= NOTE_BYTES;
    require(short, "note", &format!("longer than {NOTE_BYTES} bytes"))?;
    let pages = pages(
        settings,
        limits.max_value_bytes.saturating_sub(PAGE_BASE_BYTES),
    );
    let mut kept: Vec<KeptVersion> = Vec::new();
    if let Some((before, _)) = current {
        kept.push(KeptVersion {
            version: before.version,
            pages: before.pages,
            at: before.at,
            note: before.note.clone(),
        });
        kept.extend(before.kept.iter().cloned());
        kept.truncate(VERSIONS_KEPT - 1);
    }
    let mut record = ConfigurationVersionRecord {
        form: CONFIGURATION_FORM,
        version: current.map_or(0, |(before, _)| before.version) + 1,
        pages: pages.len() as u32,
        teams: settings.teams.len() as u32,
        objectives: settings.objectives.len() as u32,
        at,
        note: note.to_string(),
        kept,
    };
    // What can be gone back to is bounded by a value as well.
    while json_bytes(&record) > limits.max_value_bytes && record.kept.pop().is_some() {}
    let version = record.version;
    let mut changes: Vec<(Key, Option<Record>)> = Vec::new();
    for (n, page) in pages.into_iter().enumerate() {
        let fits = json_bytes(&page) <= limits.max_value_bytes;
        let field = page.teams.first().map_or("objectives", |_| "teams");
        require(
            fits,
            &format!("settings.{field}"),
            "an entry is larger than a value",
        )?;
        let key = Key::ConfigurationPage(version, n as u32);
        changes.push((key, Some(Record::ConfigurationPage(page))));
    }
    changes.push((Key::Configuration, Some(Record::Configuration(record))));
    let count = changes.len();
    let many = format!(
        "{count} changes, and a transaction takes {}",
        limits.changes
    );
    require(count <= limits.changes, "settings.teams", &many)?;
    let bytes: usize = changes
        .iter()
        .filter_map(|(key, record)| Some(change_bytes(key, record.as_ref()?)))
        .sum();
    let large = format!("{bytes} bytes, and a transaction takes {TXN_BYTES}");
    require(bytes <= TXN_BYTES, "settings.teams", &large)?;
    let mut conditions = vec![
        (
            Key::Configuration,
            current.map_or(0, |(_, mod_revision)| mod_revision),
        ),
        (Key::ConfigurationEnabled, configurable),
    ];
    let pages = changes.iter().map(|(key, _)| key);
    let pages = pages.filter(|key| matches!(key, Key::ConfigurationPage(..)));
    conditions.extend(pages.map(|key| (key.clone(), 0)));
    Ok(CasTransaction {
        conditions,
        changes,
        format: formats::STORED_CONFIGURATION,
    })
}

fn change_bytes(key: &Key, record: &Record) -> usize {
    let value = record.value(formats::STORED_CONFIGURATION).to_string();
    value.len() + 2 * key.path().len() + CHANGE_FRAME_BYTES
}

/// Pages of versions that can't be gone back to any more, of those that are on record.
pub fn outdated_pages<'a>(
    record: &ConfigurationVersionRecord,
    pages: impl Iterator<Item = &'a (u64, u32)>,
) -> Vec<Key> {
    let is_kept = |version: u64| {
        version >= record.version || record.kept.iter().any(|kept| kept.version == version)
    };
    let old = pages.filter(|(version, _)| !is_kept(*version));
    old.map(|(version, n)| Key::ConfigurationPage(*version, *n))
        .collect()
}

/// How the configuration on record stands with a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Standing {
    /// Nothing is on record: the settings file holds.
    FromFile,
    InForce,
    /// It can't be read: nothing is decided by any configuration.
    Unreadable(ConfigurationError),
}

/// What changed for a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    Unchanged,
    /// Another configuration holds from now on.
    InForce(Policy),
    Unreadable(ConfigurationError),
}

/// The part of a controller that follows the configuration on record.
#[derive(Debug)]
pub struct Configuration {
    from_file: Policy,
    standing: Standing,
    /// The revision of the version record that was last looked at, and how many pages the cache had.
    seen: (u64, usize),
    /// The version on its way to the records as the one that this controller follows.
    telling: bool,
}

impl Configuration {
    pub fn new(from_file: Policy) -> Configuration {
        Configuration {
            from_file,
            standing: Standing::FromFile,
            seen: (0, 0),
            telling: false,
        }
    }

    /// Whether decisions can rest on a configuration.
    pub fn is_readable(&self) -> bool {
        !matches!(self.standing, Standing::Unreadable(_))
    }

    /// Whether what holds differs from the settings file: said once when it comes into force.
    pub fn differs_from_file(&self, policy: &Policy) -> bool {
        let file = &self.from_file;
        file.teams != policy.teams || file.goals != policy.goals || file.starts != policy.starts
    }

    /// Looks at the state cache; to be called whenever it has changed, before anything is decided.
    pub fn take(&mut self, cache: &StateCache) -> Taken {
        let (record, mod_revision) = match cache.configuration() {
            Some((record, mod_revision)) => (Some(record), mod_revision),
            None => (None, 0),
        };
        let seen = (mod_revision, cache.configuration_pages());
        if seen == self.seen {
            return Taken::Unchanged;
        }
        let same_version = mod_revision == self.seen.0 && self.standing == Standing::InForce;
        self.seen = seen;
        let Some(record) = record else {
            let was = std::mem::replace(&mut self.standing, Standing::FromFile);
            return match was {
                Standing::FromFile => Taken::Unchanged,
                _ => Taken::InForce(self.from_file.clone()),
            };
        };
        if same_version {
            // Pages of other versions came or went.
            return Taken::Unchanged;
        }
        match read(record, mod_revision, cache) {
            Ok(policy) => {
                self.standing = Standing::InForce;
                Taken::InForce(policy)
            }
            Err(error) => {
                self.standing = Standing::Unreadable(error.clone());
                Taken::Unreadable(error)
            }
        }
    }

    /// Whether a controller should put on record now that it follows this version.
    pub fn should_tell(&mut self, version: u64, on_record: Option<u64>) -> bool {
        let due = self.standing == Standing::InForce && on_record != Some(version);
        let tells = due && !self.telling;
        self.telling |= tells;
        tells
    }

    /// That transaction has ended, one way or the other.
    pub fn told(&mut self) {
        self.telling = false;
    }
}
