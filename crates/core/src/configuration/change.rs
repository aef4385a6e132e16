//! A change of the configuration: its review, and the transaction that puts it on record.

use super::records::{json_bytes, pages, PAGE_BASE_BYTES};
use super::{
    require, ConfigurationError, ConfigurationVersionRecord, KeptVersion, Policy, PolicySettings,
    CONFIGURATION_FORM,
};
use crate::constants::TXN_BYTES;
use crate::model::{JobKind, JobSpec, WallMs};
use crate::state::{formats, CasTransaction, Key, Record};

/// Versions whose pages are kept, to go back to.
pub const VERSIONS_KEPT: usize = 32;
/// Bytes of the note that an operator leaves with a version.
pub const NOTE_BYTES: usize = 60;
const CHANGE_FRAME_BYTES: usize = 48;

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
