//! Checks a configuration, applies it in one transaction, and rolls back to an earlier version.

use super::records::CurrentConfiguration;
use super::{ConfigFailure, ConfigurationStore, FileLimits};
use crate::state_client::CommitOutcome;
use glenmount_core::configuration::{self, Policy, PolicySettings};
use glenmount_core::model::JobSpec;
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of attempts. After an attempt without a response, the stored configuration is checked before the next one.
const COMMIT_ATTEMPTS: u32 = 5;

/// A version that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AppliedVersion {
    /// The version's number.
    pub version: u64,
    /// Number of pages that hold it.
    pub pages: usize,
}

/// A change of the stored configuration, with its preconditions.
pub struct ConfigurationChange<'a> {
    /// The whole new configuration.
    pub settings: &'a PolicySettings,
    /// The limits of the state store.
    pub limits: FileLimits,
    /// The version that must be the current one, if the operator named one.
    pub expected_version: Option<u64>,
    /// The operator's note for the history.
    pub note: &'a str,
}

/// Checks whether a configuration could be applied now.
///
/// # Errors
///
/// `Refused` if the configuration is invalid or an accepted job could never run with it; `Failed` if the records cannot
/// be read.
pub fn check(store: &ConfigurationStore, settings: &PolicySettings) -> Result<(), ConfigFailure> {
    settings.check_strictly()?;
    let policy = settings.policy()?;
    let before = store.current()?;
    let before = before
        .map(|current| current.settings.policy())
        .transpose()?;
    if may_leave_jobs_unrunnable(before.as_ref(), &policy) {
        let jobs = store.open_jobs()?;
        configuration::validate_for_jobs(&policy, jobs.iter())?;
    }
    Ok(())
}

/// Returns whether a team is removed or a limit lowered. Only then can an accepted job be unable to run with the new
/// configuration, and all jobs must be checked.
fn may_leave_jobs_unrunnable(before: Option<&Policy>, after: &Policy) -> bool {
    let Some(before) = before else {
        return true;
    };
    let is_lowered = |old: u64, new: u64| new > 0 && (old == 0 || new < old);
    before
        .teams
        .values()
        .any(|old| match after.teams.get(&old.name) {
            None => true,
            Some(new) => {
                is_lowered(old.cpus_max, new.cpus_max) || is_lowered(old.gpus_max, new.gpus_max)
            }
        })
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Applies a configuration in one transaction. If a job that could never run with it was accepted concurrently, a
/// second transaction restores the entry of the job's team.
///
/// # Errors
///
/// As [`check`]; `Conflict` if another change was first or an entry was restored; `Failed` if it is unknown whether the
/// change took effect.
pub fn apply(
    store: &ConfigurationStore,
    change: &ConfigurationChange,
) -> Result<AppliedVersion, ConfigFailure> {
    check(store, change.settings)?;
    let before = store.current()?;
    let applied = commit(store, change, before.as_ref())?;
    // All jobs that were accepted under the previous version are on record now.
    let policy = change.settings.policy()?;
    let before = before.map(|current| current.settings);
    let policy_before = before.as_ref().map(PolicySettings::policy).transpose()?;
    let jobs = match may_leave_jobs_unrunnable(policy_before.as_ref(), &policy) {
        true => store.open_jobs()?,
        false => Vec::new(),
    };
    let Err(error) = configuration::validate_for_jobs(&policy, jobs.iter()) else {
        store.remove_outdated();
        return Ok(applied);
    };
    let before = before.unwrap_or_default();
    let settings = with_teams_restored(change.settings, &before, &jobs);
    let restored = ConfigurationChange {
        settings: &settings,
        expected_version: Some(applied.version),
        ..*change
    };
    let corrected = commit(store, &restored, store.current()?.as_ref())?;
    let (version, reason) = (corrected.version, error.to_string());
    Err(ConfigFailure::Conflict(format!(
        "a job was accepted concurrently: version {version} restores the entry of its team ({reason})"
    )))
}

/// Returns the settings, with the previous entries of the teams whose jobs could never run with the new ones.
fn with_teams_restored(
    settings: &PolicySettings,
    before: &PolicySettings,
    jobs: &[JobSpec],
) -> PolicySettings {
    let mut restored = settings.clone();
    for job in jobs {
        let can_run = restored.policy().is_ok_and(|policy| {
            configuration::validate_for_jobs(&policy, std::iter::once(job)).is_ok()
        });
        let old = before.teams.iter().find(|team| team.name == job.team);
        if let (false, Some(old)) = (can_run, old) {
            restored.teams.retain(|team| team.name != job.team);
            restored.teams.push(old.clone());
        }
    }
    restored
}

/// Commits the change. After an attempt without a response, the stored configuration is checked before the next one.
fn commit(
    store: &ConfigurationStore,
    change: &ConfigurationChange,
    current: Option<&CurrentConfiguration>,
) -> Result<AppliedVersion, ConfigFailure> {
    let version = current.map_or(0, |current| current.record.version);
    if change
        .expected_version
        .is_some_and(|expected| expected != version)
    {
        let reason = format!("version {version} is on record");
        return Err(ConfigFailure::Conflict(reason));
    }
    let enabled_revision = store.enabled_revision()?.ok_or_else(|| {
        let reason =
            "not every controller reads configurations yet: a rolling upgrade is under way";
        ConfigFailure::Refused(reason.into())
    })?;
    let record = current.map(|current| (&current.record, current.revision));
    let limits = change.limits.change_limits();
    let (settings, note) = (change.settings, change.note);
    let transaction = configuration::change_transaction(
        settings,
        record,
        enabled_revision,
        limits,
        now_ms(),
        note,
    )?;
    let applied = AppliedVersion {
        version: version + 1,
        pages: transaction.changes.len() - 1,
    };
    for _ in 0..COMMIT_ATTEMPTS {
        let conflict = match store.commit(&transaction)? {
            CommitOutcome::Committed => return Ok(applied),
            CommitOutcome::Conflict => true,
            CommitOutcome::Unknown => false,
        };
        // An earlier attempt may have taken effect. The stored configuration shows whether it did.
        let current = store.current()?;
        let current_version = current.as_ref().map_or(0, |current| current.record.version);
        let is_applied = current.is_some_and(|current| {
            current.record.version == applied.version && current.settings == *settings
        });
        if is_applied {
            return Ok(applied);
        }
        if conflict {
            let reason =
                format!("another change came first: version {current_version} is on record");
            return Err(ConfigFailure::Conflict(reason));
        }
    }
    let reason =
        "no response: the change may have taken effect or may still do so; check with `show`";
    Err(ConfigFailure::Failed(reason.into()))
}

/// Applies a kept version again, as a new version.
///
/// # Errors
///
/// `Refused` if the version is not kept, otherwise as [`apply`].
pub fn rollback(
    store: &ConfigurationStore,
    version: u64,
    limits: FileLimits,
) -> Result<AppliedVersion, ConfigFailure> {
    let current = store.current()?;
    let unknown = || ConfigFailure::Refused(format!("version: {version} is not kept"));
    let current = current.ok_or_else(unknown)?;
    let settings = store.version(&current.record, version)?;
    let settings = settings.ok_or_else(unknown)?;
    let note = format!("back to {version}");
    let change = ConfigurationChange {
        settings: &settings,
        limits,
        expected_version: Some(current.record.version),
        note: &note,
    };
    apply(store, &change)
}
