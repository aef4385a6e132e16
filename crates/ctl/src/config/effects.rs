//! What a configuration would stop, were it put on record.

use super::{ConfigFailure, Records};
use glenmount_core::configuration::PolicySettings;
use glenmount_core::scheduling::quota_enforcement;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a change would stop.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Effect {
    /// The team's name.
    pub team: String,
    /// Processors in use.
    pub cpus: f64,
    /// The limit to be, in processors.
    pub cpus_max: f64,
    /// Tasks that would be stopped.
    pub stopped: Vec<String>,
}

/// What a configuration would stop, team by team.
pub fn effects(records: &Records, settings: &PolicySettings) -> Result<Vec<Effect>, ConfigFailure> {
    let policy = settings.policy()?;
    let cache = records.task_cache()?;
    let mut effects: BTreeMap<String, Effect> = BTreeMap::new();
    for stop in quota_enforcement::stops_over_limits(&cache, &policy) {
        let Some(spec) = cache.open_job(&stop.task.job) else {
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
        effect.stopped.push(stop.task.to_string());
    }
    Ok(effects.into_values().collect())
}
