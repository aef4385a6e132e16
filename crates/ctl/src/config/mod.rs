//! `glenmountctl config`: configurations on record, see docs/configuration.md.

mod file;
mod records;

pub use file::{ConfigurationFile, FileLimits};
pub use records::{Current, Records};

use crate::state::Committed;
use glenmount_core::configuration::{
    self, ConfigurationError, ConfigurationVersionRecord, Policy, PolicySettings, TeamSettings,
};
use glenmount_core::scheduling::quota_enforcement;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Between two looks at who follows a version.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// A change without an answer is looked for, and sent again, so often.
const UNANSWERED_TRIES: u32 = 5;

/// Why a command failed, each with an exit status of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigFailure {
    /// The state service is not reached, or a file can't be read. Exit status 1.
    Failed(String),
    /// What was asked for is absurd or contradictory. Exit status 2.
    Refused(String),
    /// Another change came first. Exit status 3.
    Conflict(String),
    /// Not all controllers follow the version in time. Exit status 4.
    Late(String),
}

impl ConfigFailure {
    pub fn status(&self) -> u8 {
        match self {
            ConfigFailure::Failed(_) => 1,
            ConfigFailure::Refused(_) => 2,
            ConfigFailure::Conflict(_) => 3,
            ConfigFailure::Late(_) => 4,
        }
    }

    pub fn message(&self) -> &str {
        match self {
            ConfigFailure::Failed(message)
            | ConfigFailure::Refused(message)
            | ConfigFailure::Conflict(message)
            | ConfigFailure::Late(message) => message,
        }
    }
}

impl From<String> for ConfigFailure {
    fn from(message: String) -> ConfigFailure {
        ConfigFailure::Failed(message)
    }
}

impl From<ConfigurationError> for ConfigFailure {
    fn from(error: ConfigurationError) -> ConfigFailure {
        ConfigFailure::Refused(error.to_string())
    }
}

/// What a change would stop.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Effect {
    pub team: String,
    /// Processors in use, and the limit to be.
    pub cpus: f64,
    pub cpus_max: f64,
    /// Tasks that would be stopped.
    pub stopped: Vec<String>,
}

/// A version that was put on record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Applied {
    pub version: u64,
    pub pages: usize,
}

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    pub field: String,
    pub before: Option<String>,
    pub after: Option<String>,
}

/// Who follows which version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Followers {
    pub follow: Vec<String>,
    pub others: Vec<String>,
}

/// What is put on record, and on what it rests.
pub struct Change<'a> {
    pub settings: &'a PolicySettings,
    pub limits: FileLimits,
    /// The version that must be on record still, if the operator named one.
    pub expect: Option<u64>,
    pub note: &'a str,
}

/// Whether a configuration could be put on record now.
pub fn check(records: &Records, settings: &PolicySettings) -> Result<(), ConfigFailure> {
    settings.check_strictly()?;
    let policy = settings.policy()?;
    let before = records.current()?;
    let before = before
        .map(|current| current.settings.policy())
        .transpose()?;
    if may_strand(before.as_ref(), &policy) {
        let jobs = records.open_jobs()?;
        configuration::review(&policy, jobs.iter())?;
    }
    Ok(())
}

/// Whether an accepted job may be unable to run by the new configuration: only if a team goes or a limit
/// falls. To find out takes a look at all jobs.
fn may_strand(before: Option<&Policy>, after: &Policy) -> bool {
    let Some(before) = before else {
        return true;
    };
    let falls = |old: u64, new: u64| new > 0 && (old == 0 || new < old);
    before
        .teams
        .values()
        .any(|old| match after.teams.get(&old.name) {
            None => true,
            Some(new) => falls(old.cpus_max, new.cpus_max) || falls(old.gpus_max, new.gpus_max),
        })
}

/// What a configuration would stop, team by team.
pub fn effects(records: &Records, settings: &PolicySettings) -> Result<Vec<Effect>, ConfigFailure> {
    let policy = settings.policy()?;
    let cache = records.assignments()?;
    let mut effects: BTreeMap<String, Effect> = BTreeMap::new();
    for (_, task, _) in quota_enforcement::over_limits(&cache, &policy) {
        let Some(spec) = cache.open_job(&task.job) else {
            continue;
        };
        let cpus = |milli: u64| milli as f64 / 1e3;
        let limit = policy.teams.get(&spec.team).map_or(0, |team| team.cpus_max);
        let effect = effects.entry(spec.team.clone()).or_insert_with(|| Effect {
            team: spec.team.clone(),
            cpus: cpus(cache.usage(&spec.team).cpus),
            cpus_max: cpus(limit),
            stopped: Vec::new(),
        });
        effect.stopped.push(task.to_string());
    }
    Ok(effects.into_values().collect())
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Puts a configuration on record by one transaction. A job that was accepted meanwhile, and could never run
/// by it, gets its team's entry back.
pub fn apply(records: &Records, change: &Change) -> Result<Applied, ConfigFailure> {
    check(records, change.settings)?;
    let before = records.current()?;
    let applied = commit(records, change, before.as_ref())?;
    // All that was accepted by the version before is on record now.
    let policy = change.settings.policy()?;
    let before = before.map(|current| current.settings);
    let policy_before = before.as_ref().map(PolicySettings::policy).transpose()?;
    let jobs = match may_strand(policy_before.as_ref(), &policy) {
        true => records.open_jobs()?,
        false => Vec::new(),
    };
    let Err(error) = configuration::review(&policy, jobs.iter()) else {
        records.remove_outdated();
        return Ok(applied);
    };
    let before = before.unwrap_or_default();
    let settings = with_entries_back(change.settings, &before, &jobs);
    let again = Change {
        settings: &settings,
        expect: Some(applied.version),
        ..*change
    };
    let back = commit(records, &again, records.current()?.as_ref())?;
    let (version, why) = (back.version, error.to_string());
    Err(ConfigFailure::Conflict(format!(
        "a job was accepted meanwhile: version {version} has its team as before ({why})"
    )))
}

/// The settings with the entries of those teams as before whose jobs could never run by the new ones.
fn with_entries_back(
    settings: &PolicySettings,
    before: &PolicySettings,
    jobs: &[glenmount_core::model::JobSpec],
) -> PolicySettings {
    let mut back = settings.clone();
    for job in jobs {
        let runs = back
            .policy()
            .is_ok_and(|policy| configuration::review(&policy, std::iter::once(job)).is_ok());
        let old = before.teams.iter().find(|team| team.name == job.team);
        if let (false, Some(old)) = (runs, old) {
            back.teams.retain(|team| team.name != job.team);
            back.teams.push(old.clone());
        }
    }
    back
}

fn commit(
    records: &Records,
    change: &Change,
    current: Option<&Current>,
) -> Result<Applied, ConfigFailure> {
    let version = current.map_or(0, |current| current.record.version);
    if change.expect.is_some_and(|expected| expected != version) {
        let why = format!("version {version} is on record");
        return Err(ConfigFailure::Conflict(why));
    }
    let configurable = records.configurable()?.ok_or_else(|| {
        let why = "not every controller reads configurations yet: a rolling upgrade is under way";
        ConfigFailure::Refused(why.into())
    })?;
    let record = current.map(|current| (&current.record, current.mod_revision));
    let limits = change.limits.change_limits();
    let (settings, note) = (change.settings, change.note);
    let transaction =
        configuration::change(settings, record, configurable, limits, now_ms(), note)?;
    let applied = Applied {
        version: version + 1,
        pages: transaction.changes.len() - 1,
    };
    for _ in 0..UNANSWERED_TRIES {
        let conflict = match records.commit(&transaction)? {
            Committed::Yes => return Ok(applied),
            Committed::Conflict => true,
            Committed::Unknown => false,
        };
        // An earlier try may have taken effect: what is on record tells.
        let now = records.current()?;
        let now_version = now.as_ref().map_or(0, |now| now.record.version);
        let ours = now
            .is_some_and(|now| now.record.version == applied.version && now.settings == *settings);
        if ours {
            return Ok(applied);
        }
        if conflict {
            let why = format!("another change came first: version {now_version} is on record");
            return Err(ConfigFailure::Conflict(why));
        }
    }
    let why = "no answer: the change may have taken effect, or may yet; look with `show`";
    Err(ConfigFailure::Failed(why.into()))
}

/// Goes back to a version that is kept, as a new version.
pub fn rollback(
    records: &Records,
    version: u64,
    limits: FileLimits,
) -> Result<Applied, ConfigFailure> {
    let current = records.current()?;
    let unknown = || ConfigFailure::Refused(format!("version: {version} is not kept"));
    let current = current.ok_or_else(unknown)?;
    let settings = records.version(&current.record, version)?;
    let settings = settings.ok_or_else(unknown)?;
    let note = format!("back to {version}");
    let change = Change {
        settings: &settings,
        limits,
        expect: Some(current.record.version),
        note: &note,
    };
    apply(records, &change)
}

/// What differs between the configuration on record and another.
pub fn differences(before: &PolicySettings, after: &PolicySettings) -> Vec<Difference> {
    let mut found = Vec::new();
    let teams = |settings: &PolicySettings| -> BTreeMap<String, String> {
        let teams = settings.teams.iter();
        teams
            .map(|team| (team.name.clone(), team_text(team)))
            .collect()
    };
    compare(&mut found, "settings.teams.", teams(before), teams(after));
    let objectives = |settings: &PolicySettings| -> BTreeMap<String, String> {
        let each = settings.objectives.iter().enumerate();
        each.map(|(n, o)| (n.to_string(), format!("{o:?}")))
            .collect()
    };
    let (old, new) = (objectives(before), objectives(after));
    compare(&mut found, "settings.objectives.", old, new);
    let idle = |settings: &PolicySettings| settings.idle_return_s.map(|s| s.to_string());
    if idle(before) != idle(after) {
        found.push(Difference {
            field: "settings.idle_return_s".into(),
            before: idle(before),
            after: idle(after),
        });
    }
    found
}

fn team_text(team: &TeamSettings) -> String {
    format!(
        "cpus {} of {}, gpus {} of {}",
        team.cpus, team.cpus_max, team.gpus, team.gpus_max
    )
}

fn compare(
    found: &mut Vec<Difference>,
    prefix: &str,
    before: BTreeMap<String, String>,
    after: BTreeMap<String, String>,
) {
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            found.push(Difference {
                field: format!("{prefix}{name}"),
                before: old.cloned(),
                after: new.cloned(),
            });
        }
    }
}

/// Waits until all controllers follow a version or a later one.
pub fn wait(records: &Records, version: u64, within: Duration) -> Result<Followers, ConfigFailure> {
    let begun = Instant::now();
    loop {
        let followers = records.followers(version)?;
        if followers.others.is_empty() {
            return Ok(followers);
        }
        if begun.elapsed() >= within {
            let (others, seconds) = (followers.others.join(" "), within.as_secs_f64());
            let why = format!("not followed within {seconds} s by: {others}");
            return Err(ConfigFailure::Late(why));
        }
        std::thread::sleep(LOOK_AGAIN);
    }
}

/// The versions that can be gone back to, latest first, with the one in force before them.
pub fn history(record: &ConfigurationVersionRecord) -> Vec<(u64, u64, String)> {
    let first = (record.version, record.at, record.note.clone());
    let kept = record.kept.iter();
    let kept = kept.map(|kept| (kept.version, kept.at, kept.note.clone()));
    std::iter::once(first).chain(kept).collect()
}
