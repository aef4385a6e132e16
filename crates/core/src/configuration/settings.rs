//! The settings in a configuration, and the policy that results from them.

use super::{require, ConfigurationError};
use crate::model::{floor_milli, Millis, Team};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limit of teams in a configuration. One transaction holds fewer.
pub const TEAMS_MAX: usize = 5_000;
/// Limit of objectives in a configuration. One transaction holds fewer.
pub const OBJECTIVES_MAX: usize = 1_000;
/// Limit of the size of the name of a team or a class.
const NAME_MAX_BYTES: usize = 200;
/// Limit of an amount of processors or GPUs.
const AMOUNT_MAX: f64 = 1e9;
const DURATION_MAX_S: f64 = 86_400.0;
const IDLE_TIMEOUT_MIN_S: f64 = 1.0;

/// A team in the settings file and in files for `glenmountctl config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSettings {
    /// Name of the team, to which jobs refer.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of processors; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective. The scheduler ignores kinds that it does not use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSettings {
    /// `finished` for the completion of a class's jobs, `wait` for the start of their tasks.
    pub kind: String,
    /// The class of jobs to which it applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Seconds within which the jobs are to be complete or their tasks to start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
}

/// The settings that a configuration holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// Seconds after which idle machines are returned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_return_s: Option<f64>,
    /// The teams, with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// The users' objectives.
    #[serde(default)]
    pub objectives: Vec<ObjectiveSettings>,
}

/// A configuration in the form that decisions use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version of the configuration; 0 for the settings file.
    pub version: u64,
    /// Revision of the version record; 0 if there is none. Decisions that depend on limits, guarantees or the
    /// order of the queue are conditional on it.
    pub mod_revision: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Times within which the jobs of a class should be complete, shortest first.
    pub completion_goals_ms: BTreeMap<String, Vec<u64>>,
    /// Time within which the tasks of a class should start.
    pub start_goals_ms: BTreeMap<String, u64>,
    /// Time after which idle machines are returned; `None` for the value in the controller's settings.
    pub idle_timeout_ms: Option<Millis>,
}

/// Returns an amount of processors or GPUs in thousandths, or an error if it is out of range.
fn resource_milli(field: &str, value: f64) -> Result<u64, ConfigurationError> {
    let is_valid = value.is_finite() && (0.0..=AMOUNT_MAX).contains(&value);
    let problem = format!("must be between 0 and 1e9, not {value}");
    require(is_valid, field, &problem)?;
    Ok(floor_milli(value))
}

/// Converts seconds to milliseconds. Returns an error unless they are between `min_s` and a day.
fn milliseconds(field: &str, value: f64, min_s: f64) -> Result<u64, ConfigurationError> {
    let is_valid = value.is_finite() && (min_s..=DURATION_MAX_S).contains(&value);
    let problem = format!("must be between {min_s} and {DURATION_MAX_S} seconds, not {value}");
    require(is_valid, field, &problem)?;
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
            cpus: resource_milli(&field("cpus"), self.cpus)?,
            cpus_max: resource_milli(&field("cpus_max"), self.cpus_max)?,
            gpus: resource_milli(&field("gpus"), self.gpus)?,
            gpus_max: resource_milli(&field("gpus_max"), self.gpus_max)?,
        })
    }
}

impl PolicySettings {
    /// Returns the policy of these settings, or an error that names the invalid field.
    pub fn policy(&self) -> Result<Policy, ConfigurationError> {
        let mut policy = Policy::default();
        for settings in &self.teams {
            let team = settings.team()?;
            let problem = format!("{} appears twice", team.name);
            let is_new = policy.teams.insert(team.name.clone(), team).is_none();
            require(is_new, "settings.teams.name", &problem)?;
        }
        for objective in &self.objectives {
            policy.add_objective(objective)?;
        }
        policy
            .completion_goals_ms
            .values_mut()
            .for_each(|goals| goals.sort());
        if let Some(seconds) = self.idle_return_s {
            let ms = milliseconds("settings.idle_return_s", seconds, IDLE_TIMEOUT_MIN_S)?;
            policy.idle_timeout_ms = Some(ms);
        }
        Ok(policy)
    }

    /// Checks for contradictions between valid values. They are rejected on record, but accepted in the
    /// platform's settings file.
    pub fn check_strictly(&self) -> Result<(), ConfigurationError> {
        let (teams, objectives) = (self.teams.len(), self.objectives.len());
        require(teams > 0, "settings.teams", "must have at least one team")?;
        let many = format!("{teams} are more than {TEAMS_MAX}");
        require(teams <= TEAMS_MAX, "settings.teams", &many)?;
        let many = format!("{objectives} are more than {OBJECTIVES_MAX}");
        require(objectives <= OBJECTIVES_MAX, "settings.objectives", &many)?;
        for team in self.policy()?.teams.values() {
            let field = |name: &str| format!("settings.teams.{}.{name}", team.name);
            let is_name_short = team.name.len() <= NAME_MAX_BYTES;
            require(
                is_name_short,
                "settings.teams.name",
                "longer than 200 bytes",
            )?;
            let problem = "the guarantee is above the limit";
            let fits = |guarantee: u64, limit: u64| limit == 0 || guarantee <= limit;
            require(fits(team.cpus, team.cpus_max), &field("cpus"), problem)?;
            require(fits(team.gpus, team.gpus_max), &field("gpus"), problem)?;
        }
        for objective in &self.objectives {
            let is_class_long = objective
                .class
                .as_ref()
                .is_some_and(|class| class.len() > NAME_MAX_BYTES);
            require(
                !is_class_long,
                "settings.objectives.class",
                "longer than 200 bytes",
            )?;
        }
        Ok(())
    }
}

impl Policy {
    fn add_objective(&mut self, objective: &ObjectiveSettings) -> Result<(), ConfigurationError> {
        let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else {
            return Ok(());
        };
        let within_ms = || milliseconds("settings.objectives.within_s", within_s, 0.0);
        match objective.kind.as_str() {
            "finished" => self
                .completion_goals_ms
                .entry(class.clone())
                .or_default()
                .push(within_ms()?),
            "wait" => {
                let goal_ms = self.start_goals_ms.entry(class.clone()).or_insert(u64::MAX);
                *goal_ms = within_ms()?.min(*goal_ms);
            }
            _ => {}
        }
        Ok(())
    }
}
