//! The settings that a configuration holds, and the policy that they stand for.

use super::{require, ConfigurationError};
use crate::model::{floor_milli, Millis, Team};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Teams and objectives of a configuration at most: what one transaction holds is less.
pub const TEAMS_MAX: usize = 5_000;
/// The same for objectives.
pub const OBJECTIVES_MAX: usize = 1_000;
/// Bytes of the name of a team or a class.
const NAME_BYTES: usize = 200;
/// Processors and GPUs, in thousandths, that make sense.
const AMOUNT_MOST: f64 = 1e9;
const SECONDS_MOST: f64 = 86_400.0;
const IDLE_RETURN_LEAST_S: f64 = 1.0;

/// A team as operators write it, in the settings file and in files for `glenmountctl config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSettings {
    /// The team's name, as jobs give it.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of processors; 0 is none.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs; 0 is none.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of the users. Kinds that the scheduler has no use for are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSettings {
    /// `finished` or `wait`: within what a class's jobs are to be complete, or its tasks to start.
    pub kind: String,
    /// The class of jobs that it is for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
}

/// The part of the settings that a configuration record holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// Seconds after which idle machines are deprovisioned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_return_s: Option<f64>,
    /// The teams, with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// The users' objectives.
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
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Per class, milliseconds within which its jobs should be complete, shortest first.
    pub completion_goals_ms: BTreeMap<String, Vec<u64>>,
    /// Per class, milliseconds within which its tasks should start.
    pub start_goals_ms: BTreeMap<String, u64>,
    /// Milliseconds after which idle machines are returned; none: as the controller's own settings say.
    pub idle_timeout_ms: Option<Millis>,
}

/// Thousandths of processors or GPUs; an error if the amount makes no sense.
fn amount(field: &str, value: f64) -> Result<u64, ConfigurationError> {
    let sane = value.is_finite() && (0.0..=AMOUNT_MOST).contains(&value);
    let problem = format!("must be between 0 and 1e9, not {value}");
    require(sane, field, &problem)?;
    Ok(floor_milli(value))
}

/// Seconds as milliseconds; an error unless they are between `min_s` and a day.
fn milliseconds(field: &str, value: f64, min_s: f64) -> Result<u64, ConfigurationError> {
    let sane = value.is_finite() && (min_s..=SECONDS_MOST).contains(&value);
    let problem = format!("must be between {min_s} and {SECONDS_MOST} seconds, not {value}");
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
            policy.add_objective(objective)?;
        }
        policy
            .completion_goals_ms
            .values_mut()
            .for_each(|goals| goals.sort());
        if let Some(seconds) = self.idle_return_s {
            let ms = milliseconds("settings.idle_return_s", seconds, IDLE_RETURN_LEAST_S)?;
            policy.idle_timeout_ms = Some(ms);
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
        let many = format!("{teams} are more than {TEAMS_MAX}");
        require(teams <= TEAMS_MAX, "settings.teams", &many)?;
        let many = format!("{objectives} are more than {OBJECTIVES_MAX}");
        require(objectives <= OBJECTIVES_MAX, "settings.objectives", &many)?;
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
    fn add_objective(&mut self, objective: &ObjectiveSettings) -> Result<(), ConfigurationError> {
        let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else {
            return Ok(());
        };
        let within = || milliseconds("settings.objectives.within_s", within_s, 0.0);
        match objective.kind.as_str() {
            "finished" => self
                .completion_goals_ms
                .entry(class.clone())
                .or_default()
                .push(within()?),
            "wait" => {
                let start = self.start_goals_ms.entry(class.clone()).or_insert(u64::MAX);
                *start = within()?.min(*start);
            }
            _ => {}
        }
        Ok(())
    }
}
