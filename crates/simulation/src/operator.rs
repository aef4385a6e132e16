//! Operators: they store configurations while the controllers run, with the transaction that `glenmountctl config`
//! sends. The invariant `quota` follows the limits in force.
//!
//! From the commit of a change on, no claim may exceed a lowered limit. Earlier claims count as in use until their
//! tasks are known to have ended, and may still start.

use crate::Simulation;
use glenmount_core::configuration::{
    self, ChangeLimits, ConfigurationError, ConfigurationPageRecord, Policy, PolicySettings,
    TeamSettings,
};
use glenmount_core::controller::{Event, StateOperation, StateResponse};
use glenmount_core::model::JobSpec;
use glenmount_core::state::{CasTransaction, ChunkRecord, Key, Record};
use std::collections::BTreeMap;

/// The configuration that operators have stored.
#[derive(Default)]
pub struct OperatorState {
    /// Configuration in force, once one is stored.
    policy: Option<Policy>,
    /// Thousandths of processors that teams had claimed when their limit was lowered below their claims.
    cpus_before_lowering: BTreeMap<String, u64>,
}

/// Reasons why a configuration did not come into force.
#[derive(Debug, PartialEq, Eq)]
pub enum ConfigureError {
    /// The settings are invalid.
    Invalid(ConfigurationError),
    /// Not every controller supports stored configurations yet.
    Unsupported,
    /// The stored configuration has changed meanwhile.
    Conflict,
    /// The state store is unavailable.
    Unavailable,
}

impl Simulation {
    /// Returns the limit in force of a team's processors, in thousandths, or `None` for an unknown team.
    pub fn team_limit(&self, team: &str) -> Option<u64> {
        let policy = self.operator.policy.as_ref();
        let policy = policy.unwrap_or(&self.settings.policy);
        policy.teams.get(team).map(|team| team.cpus_max)
    }

    /// Checks that a team that starts a task is within its limit, or within its claims from before the limit was
    /// lowered.
    pub(crate) fn check_quota(&self, team: &str, used: u64) {
        let limit = self.team_limit(team).unwrap_or(0);
        let claimed = self.operator.cpus_before_lowering.get(team).copied();
        let allowed = claimed.unwrap_or(0).max(limit);
        assert!(limit == 0 || used <= allowed, "quota: {team} uses {used}");
    }

    /// Checks that a transaction that is about to commit claims no more for a team than its limit in force allows.
    pub(crate) fn check_claims(&mut self, transaction: &CasTransaction) {
        if self.operator.policy.is_none() {
            return;
        }
        self.update_claims_before_lowering();
        let mut added_cpus: BTreeMap<String, i64> = BTreeMap::new();
        for (key, record) in &transaction.changes {
            let cpus =
                |chunk: &ChunkRecord| chunk.assigned().count() as i64 * chunk.resources.cpus as i64;
            if let Some((Record::Chunk(old), _)) = self.state.records.get(key) {
                *added_cpus.entry(old.team.clone()).or_default() -= cpus(old);
            }
            if let Some(Record::Chunk(new)) = record {
                *added_cpus.entry(new.team.clone()).or_default() += cpus(new);
            }
        }
        added_cpus.retain(|_, cpus| *cpus > 0);
        if added_cpus.is_empty() {
            return;
        }
        let assigned = self.assigned_cpus();
        for (team, cpus) in added_cpus {
            let claimed = assigned.get(&team).copied().unwrap_or(0) as i64 + cpus;
            let limit = self.team_limit(&team).unwrap_or(0) as i64;
            assert!(
                limit == 0 || claimed <= limit,
                "quota: {team} claims {claimed} of {limit}"
            );
        }
    }

    /// Reduces the claims from before a limit was lowered to those that are still assigned.
    fn update_claims_before_lowering(&mut self) {
        if self.operator.cpus_before_lowering.is_empty() {
            return;
        }
        let assigned = self.assigned_cpus();
        let mut claims = std::mem::take(&mut self.operator.cpus_before_lowering);
        claims.retain(|team, claimed| {
            *claimed = (*claimed).min(assigned.get(team).copied().unwrap_or(0));
            *claimed > self.team_limit(team).unwrap_or(0)
        });
        self.operator.cpus_before_lowering = claims;
    }

    /// Returns the settings in force, as a base for a change.
    pub fn policy_settings(&self) -> PolicySettings {
        let policy = self.operator.policy.as_ref();
        let teams = policy.unwrap_or(&self.settings.policy).teams.values();
        let to_units = |thousandths: u64| thousandths as f64 / 1e3;
        let teams = teams.map(|team| TeamSettings {
            name: team.name.clone(),
            cpus: to_units(team.cpus).min(match team.cpus_max {
                0 => f64::MAX,
                max => to_units(max),
            }),
            cpus_max: to_units(team.cpus_max),
            gpus: to_units(team.gpus),
            gpus_max: to_units(team.gpus_max),
        });
        PolicySettings {
            teams: teams.collect(),
            ..PolicySettings::default()
        }
    }

    /// Returns the settings in force with another limit of one team, and its guarantee within that limit.
    pub fn with_limit(&self, team: &str, cpus_max: f64) -> PolicySettings {
        let mut settings = self.policy_settings();
        for team in settings
            .teams
            .iter_mut()
            .filter(|settings| settings.name == team)
        {
            team.cpus_max = cpus_max;
            team.cpus = team.cpus.min(cpus_max);
        }
        settings
    }

    /// Returns the transaction that an operator sends, based on the current records.
    pub fn draft_configuration(
        &self,
        settings: &PolicySettings,
    ) -> Result<CasTransaction, ConfigureError> {
        let enabled_revision = self
            .state
            .records
            .get(&Key::ConfigurationEnabled)
            .map(|(_, mod_revision)| *mod_revision);
        let enabled_revision = enabled_revision.ok_or(ConfigureError::Unsupported)?;
        let policy = settings.policy().map_err(ConfigureError::Invalid)?;
        let open_specs = self
            .state
            .records
            .values()
            .filter_map(|(record, _)| match record {
                Record::Job(job) => job.open_spec(),
                _ => None,
            });
        let open_specs: Vec<&JobSpec> = open_specs.collect();
        configuration::validate_for_jobs(&policy, open_specs.into_iter())
            .map_err(ConfigureError::Invalid)?;
        let current = match self.state.records.get(&Key::Configuration) {
            Some((Record::Configuration(record), mod_revision)) => Some((record, *mod_revision)),
            _ => None,
        };
        let limits = ChangeLimits {
            max_value_bytes: self.settings.max_value_bytes as usize,
            max_transaction_changes: self.settings.max_transaction_changes,
        };
        let wall_ms = crate::START_TIME_MS + self.now_ms;
        configuration::change_transaction(settings, current, enabled_revision, limits, wall_ms, "")
            .map_err(ConfigureError::Invalid)
    }

    /// Executes an operator's transaction in the state store.
    pub fn commit_configuration(
        &mut self,
        transaction: &CasTransaction,
    ) -> Result<u64, ConfigureError> {
        if self.state.is_down {
            return Err(ConfigureError::Unavailable);
        }
        match self.execute_state_operation(StateOperation::Transaction(transaction.clone()), false)
        {
            StateResponse::Committed { .. } => Ok(self.apply_configuration()),
            StateResponse::Conflict { .. } => Err(ConfigureError::Conflict),
            other => panic!("{other:?}"),
        }
    }

    /// Stores a configuration and returns its version.
    pub fn configure(&mut self, settings: &PolicySettings) -> Result<u64, ConfigureError> {
        let transaction = self.draft_configuration(settings)?;
        self.commit_configuration(&transaction)
    }

    /// Puts the stored configuration in force, and records the claims that exceed its limits. Returns its version.
    fn apply_configuration(&mut self) -> u64 {
        let Some((Record::Configuration(record), _)) = self.state.records.get(&Key::Configuration)
        else {
            panic!("no stored configuration");
        };
        let version = record.version;
        let pages: Vec<ConfigurationPageRecord> = (0..record.pages)
            .filter_map(|page| {
                match self
                    .state
                    .records
                    .get(&Key::ConfigurationPage(version, page))
                {
                    Some((Record::ConfigurationPage(page), _)) => Some(page.clone()),
                    _ => None,
                }
            })
            .collect();
        let settings = configuration::settings_from_pages(&pages);
        self.operator.policy = settings.policy().ok();
        for (team, claimed) in self.assigned_cpus() {
            let limit = self.team_limit(&team).unwrap_or(0);
            if limit > 0 && claimed > limit {
                let claims = self.operator.cpus_before_lowering.entry(team).or_default();
                *claims = claimed.max(*claims);
            }
        }
        version
    }

    /// Returns whether all running controllers follow a configuration version.
    pub fn all_controllers_follow(&self, version: u64) -> bool {
        let mut controllers = self
            .controllers
            .iter()
            .filter_map(|slot| slot.controller.as_ref());
        controllers.all(|controller| controller.settings.policy.version == version)
    }

    /// Delays the updates of a controller's watch.
    pub fn delay_watch(&mut self, controller: usize, duration_ms: u64) {
        self.controllers[controller].watch_delayed_until_ms = self.now_ms + duration_ms;
    }

    /// Breaks a controller's watch, so that it lists all records again.
    pub fn break_watch(&mut self, controller: usize) {
        self.deliver(1, self.process(controller), Event::WatchGap);
    }
}
