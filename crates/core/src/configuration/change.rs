//! A change of the configuration: its review, and the transaction that puts it on record.

use super::records::{json_bytes, paginate, PAGE_BASE_BYTES};
use super::{
    require, ConfigurationError, ConfigurationPageRecord, ConfigurationVersionRecord, KeptVersion,
    Policy, PolicySettings, CONFIGURATION_SCHEMA_VERSION,
};
use crate::constants::TRANSACTION_MAX_BYTES;
use crate::model::{JobKind, JobSpec, WallMs};
use crate::state::{formats, CasTransaction, Key, Record};

/// Versions whose pages are kept, to go back to.
pub const RETAINED_VERSIONS_MAX: usize = 32;
/// Bytes of the note that an operator leaves with a version.
pub const NOTE_MAX_BYTES: usize = 60;
const CHANGE_FRAME_BYTES: usize = 48;

/// Checks a configuration against the jobs that were accepted.
///
/// # Errors
/// A job's team is removed, or a limit is lower than what a job needs at once (all tasks of a
/// service, one of an array).
pub fn validate_for_jobs<'a>(
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

/// The state service's limits that a change must keep.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Bytes of a value at most.
    pub max_value_bytes: usize,
    /// Changes of a transaction at most.
    pub changes: usize,
}

/// The one transaction that puts a configuration on record, conditional on the version before
/// (`current`, with its revision) and on the record that enables configurations, at revision
/// `configurable`.
///
/// # Errors
/// Settings that are contradictory, a note that is too long, or more than one transaction holds.
pub fn change_transaction(
    settings: &PolicySettings,
    current: Option<(&ConfigurationVersionRecord, u64)>,
    configurable: u64,
    limits: ChangeLimits,
    at: WallMs,
    note: &str,
) -> Result<CasTransaction, ConfigurationError> {
    settings.check_strictly()?;
    let is_short = note.len() <= NOTE_MAX_BYTES;
    require(
        is_short,
        "note",
        &format!("longer than {NOTE_MAX_BYTES} bytes"),
    )?;
    let page_bytes = limits.max_value_bytes.saturating_sub(PAGE_BASE_BYTES);
    let pages = paginate(settings, page_bytes);
    let before = current.map(|(record, _)| record);
    let mut record = ConfigurationVersionRecord {
        schema_version: CONFIGURATION_SCHEMA_VERSION,
        version: before.map_or(0, |record| record.version) + 1,
        pages: pages.len() as u32,
        teams: settings.teams.len() as u32,
        objectives: settings.objectives.len() as u32,
        at,
        note: note.to_string(),
        kept: before.map_or(Vec::new(), versions_kept_after),
    };
    // The list of earlier versions is bounded by the size of a value as well.
    while json_bytes(&record) > limits.max_value_bytes && record.kept.pop().is_some() {}
    let mut changes = page_changes(record.version, pages, limits.max_value_bytes)?;
    let new_pages: Vec<Key> = changes.iter().map(|(key, _)| key.clone()).collect();
    changes.push((Key::Configuration, Some(Record::Configuration(record))));
    require_one_transaction(&changes, limits)?;
    let current_revision = current.map_or(0, |(_, mod_revision)| mod_revision);
    let mut conditions = vec![
        (Key::Configuration, current_revision),
        (Key::ConfigurationEnabled, configurable),
    ];
    conditions.extend(new_pages.into_iter().map(|key| (key, 0)));
    Ok(CasTransaction {
        conditions,
        changes,
        format: formats::STORED_CONFIGURATION,
    })
}

/// The versions that can be gone back to once `before` is replaced, latest first.
fn versions_kept_after(before: &ConfigurationVersionRecord) -> Vec<KeptVersion> {
    let mut kept = vec![KeptVersion {
        version: before.version,
        pages: before.pages,
        at: before.at,
        note: before.note.clone(),
    }];
    kept.extend(before.kept.iter().cloned());
    kept.truncate(RETAINED_VERSIONS_MAX - 1);
    kept
}

/// The changes that write a version's pages; an error if one is larger than a value.
fn page_changes(
    version: u64,
    pages: Vec<ConfigurationPageRecord>,
    max_value_bytes: usize,
) -> Result<Vec<(Key, Option<Record>)>, ConfigurationError> {
    let mut changes = Vec::new();
    for (n, page) in pages.into_iter().enumerate() {
        let fits = json_bytes(&page) <= max_value_bytes;
        let field = page.teams.first().map_or("objectives", |_| "teams");
        let field = format!("settings.{field}");
        require(fits, &field, "an entry is larger than a value")?;
        let key = Key::ConfigurationPage(version, n as u32);
        changes.push((key, Some(Record::ConfigurationPage(page))));
    }
    Ok(changes)
}

/// An error unless one transaction holds all these changes.
fn require_one_transaction(
    changes: &[(Key, Option<Record>)],
    limits: ChangeLimits,
) -> Result<(), ConfigurationError> {
    let count = changes.len();
    let limit = limits.changes;
    let problem = format!("{count} changes, and a transaction takes {limit}");
    require(count <= limit, "settings.teams", &problem)?;
    let sizes = changes.iter();
    let sizes = sizes.filter_map(|(key, record)| Some(change_bytes(key, record.as_ref()?)));
    let bytes: usize = sizes.sum();
    let problem = format!("{bytes} bytes, and a transaction takes {TRANSACTION_MAX_BYTES}");
    require(bytes <= TRANSACTION_MAX_BYTES, "settings.teams", &problem)
}

/// Bytes that a change takes in a transaction, at most.
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
