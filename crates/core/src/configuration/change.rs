//! A change of the configuration: its validation, and the transaction that puts it on record.

use super::records::{json_bytes, paginate, PAGE_BASE_BYTES};
use super::{
    require, ConfigurationError, ConfigurationPageRecord, ConfigurationVersionRecord, KeptVersion,
    Policy, PolicySettings, CONFIGURATION_SCHEMA_VERSION,
};
use crate::constants::TRANSACTION_MAX_BYTES;
use crate::model::{JobKind, JobSpec, WallMs};
use crate::state::{formats, CasTransaction, Key, Record};

/// Limit of versions whose pages are retained for rollbacks.
pub const RETAINED_VERSIONS_MAX: usize = 32;
/// Limit of the size of the note that an operator adds to a version.
pub const NOTE_MAX_BYTES: usize = 60;
/// Bytes of a change in a transaction besides its key and value.
const CHANGE_FRAME_BYTES: usize = 48;

/// Validates a configuration against the accepted jobs.
///
/// # Errors
/// Returns an error if the team of a job is removed, or if a limit is lower than what a job needs at a time:
/// all tasks of a service, one task of an array.
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
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service => u64::from(spec.tasks),
        };
        let limits = [
            ("cpus_max", spec.resources.cpus, team.cpus_max),
            ("gpus_max", spec.resources.gpus, team.gpus_max),
        ];
        for (name, requested, limit) in limits {
            let needed = requested.saturating_mul(concurrent_tasks);
            let fits = limit == 0 || needed <= limit;
            let needed = needed as f64 / 1e3;
            let problem = format!("below the {needed} that {} needs", spec.id);
            require(fits, &field(&format!(".{name}")), &problem)?;
        }
    }
    Ok(())
}

/// Limits of the state store for a change.
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Limit of the size of a value.
    pub max_value_bytes: usize,
    /// Limit of changes per transaction.
    pub max_transaction_changes: usize,
}

/// Returns the transaction that puts a configuration on record. It is conditional on the previous version
/// (`current`, with its revision) and on the record that enables configurations (`enabled_revision`).
///
/// # Errors
/// Returns an error if the settings are contradictory, the note is too long, or one transaction does not hold
/// the configuration.
pub fn change_transaction(
    settings: &PolicySettings,
    current: Option<(&ConfigurationVersionRecord, u64)>,
    enabled_revision: u64,
    limits: ChangeLimits,
    at: WallMs,
    note: &str,
) -> Result<CasTransaction, ConfigurationError> {
    settings.check_strictly()?;
    let is_note_short = note.len() <= NOTE_MAX_BYTES;
    require(
        is_note_short,
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
        kept: before.map_or(Vec::new(), versions_retained_after),
    };
    // The limit of a value bounds the list of earlier versions as well.
    while json_bytes(&record) > limits.max_value_bytes && record.kept.pop().is_some() {}
    let mut changes = page_changes(record.version, pages, limits.max_value_bytes)?;
    let new_pages: Vec<Key> = changes.iter().map(|(key, _)| key.clone()).collect();
    changes.push((Key::Configuration, Some(Record::Configuration(record))));
    require_one_transaction(&changes, limits)?;
    let current_revision = current.map_or(0, |(_, mod_revision)| mod_revision);
    let mut conditions = vec![
        (Key::Configuration, current_revision),
        (Key::ConfigurationEnabled, enabled_revision),
    ];
    conditions.extend(new_pages.into_iter().map(|key| (key, 0)));
    Ok(CasTransaction {
        conditions,
        changes,
        format: formats::STORED_CONFIGURATION,
    })
}

/// Returns the versions available for rollbacks once `before` is replaced, latest first.
fn versions_retained_after(before: &ConfigurationVersionRecord) -> Vec<KeptVersion> {
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

/// Returns the changes that write the pages of a version, or an error if a page exceeds the limit of a value.
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

/// Returns an error unless one transaction holds all these changes.
fn require_one_transaction(
    changes: &[(Key, Option<Record>)],
    limits: ChangeLimits,
) -> Result<(), ConfigurationError> {
    let count = changes.len();
    let limit = limits.max_transaction_changes;
    let problem = format!("{count} changes, and a transaction takes {limit}");
    require(count <= limit, "settings.teams", &problem)?;
    let sizes = changes.iter();
    let sizes = sizes.filter_map(|(key, record)| Some(change_bytes(key, record.as_ref()?)));
    let bytes: usize = sizes.sum();
    let problem = format!("{bytes} bytes, and a transaction takes {TRANSACTION_MAX_BYTES}");
    require(bytes <= TRANSACTION_MAX_BYTES, "settings.teams", &problem)
}

/// Returns an upper bound of the size of a change in a transaction.
fn change_bytes(key: &Key, record: &Record) -> usize {
    let value = record.value(formats::STORED_CONFIGURATION).to_string();
    value.len() + 2 * key.path().len() + CHANGE_FRAME_BYTES
}

/// Returns the pages on record whose versions are no longer available for rollbacks.
pub fn outdated_pages<'a>(
    record: &ConfigurationVersionRecord,
    pages: impl Iterator<Item = &'a (u64, u32)>,
) -> Vec<Key> {
    let is_retained = |version: u64| {
        version >= record.version || record.kept.iter().any(|kept| kept.version == version)
    };
    let outdated = pages.filter(|(version, _)| !is_retained(*version));
    outdated
        .map(|(version, n)| Key::ConfigurationPage(*version, *n))
        .collect()
}
