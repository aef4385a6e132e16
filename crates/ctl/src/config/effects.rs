//! Finds the tasks that a configuration would stop if it were applied.

use super::{ConfigFailure, ConfigurationStore};
use glenmount_core::configuration::PolicySettings;
use glenmount_core::scheduling::quota_enforcement;
use serde::Serialize;
use std::collections::BTreeMap;

/// The tasks of a team that a configuration would stop, since the team exceeds its new limit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuotaEffect {
    /// The team's name.
    pub team: String,
    /// Processors in use.
    pub cpus: f64,
    /// The new limit in processors.
    pub cpus_max: f64,
    /// Tasks that would be stopped.
    pub stopped: Vec<String>,
}

/// Returns the tasks that a configuration would stop, by team.
pub fn quota_effects(
    store: &ConfigurationStore,
    settings: &PolicySettings,
) -> Result<Vec<QuotaEffect>, ConfigFailure> {
    let policy = settings.policy()?;
    let cache = store.task_cache()?;
    let mut effects: BTreeMap<String, QuotaEffect> = BTreeMap::new();
    for stopped in quota_enforcement::stops_over_limits(&cache, &policy) {
        let Some(spec) = cache.open_job(&stopped.task.job) else {
            continue;
        };
        let cpus = |millicpus: u64| millicpus as f64 / 1e3;
        let limit = policy.teams.get(&spec.team).map_or(0, |team| team.cpus_max);
        let effect = effects
            .entry(spec.team.clone())
            .or_insert_with(|| QuotaEffect {
                team: spec.team.clone(),
                cpus: cpus(cache.usage(&spec.team).cpus),
                cpus_max: cpus(limit),
                stopped: Vec::new(),
            });
        effect.stopped.push(stopped.task.to_string());
    }
    Ok(effects.into_values().collect())
}
