//! Operators: they put configurations on record while the controllers run, by the transaction that
//! `glenmountctl config` sends. The rule `quota` follows the limits in force.
//!
//! From a change's commit on no claim may exceed a lowered limit. What was claimed before counts as in use
//! until it is proven gone, and may still start.

use crate::Simulation;
use glenmount_core::configuration::{
    self, ChangeLimits, ConfigurationError, ConfigurationPageRecord, Policy, PolicySettings,
    TeamSettings,
};
use glenmount_core::controller::{Event, StateOperation, StateResponse};
use glenmount_core::model::JobSpec;
use glenmount_core::state::{CasTransaction, ChunkRecord, Key, Record};
use std::collections::BTreeMap;

/// What operators have done.
#[derive(Default)]
pub struct OperatorState {
    /// The configuration in force, once one is on record.
    policy: Option<Policy>,
    /// Thousandths of processors that teams had claimed when their limit was lowered below that.
    cpus_before_lowering: BTreeMap<String, u64>,
}

/// Why a change did not come into force.
#[derive(Debug, PartialEq, Eq)]
pub enum ConfigureError {
    /// The settings are refused, by their field.
    Invalid(ConfigurationError),
    /// Not every controller reads configurations yet.
    Unsupported,
    /// Another operator was first.
    Conflict,
    /// The state service is down.
    Unavailable,
}

impl Simulation {
    /// The limit of a team's processors that is in force; none for a team that there is not.
    pub fn team_limit(&self, team: &str) -> Option<u64> {
        let policy = self.operator.policy.as_ref();
        let policy = policy.unwrap_or(&self.settings.policy);
        policy.teams.get(team).map(|team| team.cpus_max)
    }

    /// A task went on a machine: its team is within its limit, or within what it had claimed before that
    /// was lowered.
    pub(crate) fn check_quota(&self, team: &str, used: u64) {
        let limit = self.team_limit(team).unwrap_or(0);
        let claimed = self.operator.cpus_before_lowering.get(team).copied();
        let most = claimed.unwrap_or(0).max(limit);
        assert!(limit == 0 || used <= most, "quota: {team} uses {used}");
    }

    /// A transaction is about to take effect: if it claims for a team, that is within the limit in force.
    pub(crate) fn check_claims(&mut self, transaction: &CasTransaction) {
        if self.operator.policy.is_none() {
            return;
        }
        self.release_lowered();
        let mut more: BTreeMap<String, i64> = BTreeMap::new();
        for (key, record) in &transaction.changes {
            let cpus =
                |chunk: &ChunkRecord| chunk.assigned().count() as i64 * chunk.resources.cpus as i64;
            if let Some((Record::Chunk(old), _)) = self.state.records.get(key) {
                *more.entry(old.team.clone()).or_default() -= cpus(old);
            }
            if let Some(Record::Chunk(new)) = record {
                *more.entry(new.team.clone()).or_default() += cpus(new);
            }
        }
        more.retain(|_, cpus| *cpus > 0);
        if more.is_empty() {
            return;
        }
        let assigned = self.assigned_cpus();
        for (team, cpus) in more {
            let after = assigned.get(&team).copied().unwrap_or(0) as i64 + cpus;
            let limit = self.team_limit(&team).unwrap_or(0) as i64;
            assert!(
                limit == 0 || after <= limit,
                "quota: {team} claims {after} of {limit}"
            );
        }
    }

    /// What was claimed before a limit was lowered falls with what is released.
    fn release_lowered(&mut self) {
        if self.operator.cpus_before_lowering.is_empty() {
            return;
        }
        let assigned = self.assigned_cpus();
        let mut before = std::mem::take(&mut self.operator.cpus_before_lowering);
        before.retain(|team, claimed| {
            *claimed = (*claimed).min(assigned.get(team).copied().unwrap_or(0));
            *claimed > self.team_limit(team).unwrap_or(0)
        });
        self.operator.cpus_before_lowering = before;
    }

    /// The settings in force, to be changed and applied.
    pub fn policy_settings(&self) -> PolicySettings {
        let policy = self.operator.policy.as_ref();
        let teams = policy.unwrap_or(&self.settings.policy).teams.values();
        let cpus = |milli: u64| milli as f64 / 1e3;
        let teams = teams.map(|team| TeamSettings {
            name: team.name.clone(),
            cpus: cpus(team.cpus).min(match team.cpus_max {
                0 => f64::MAX,
                most => cpus(most),
            }),
            cpus_max: cpus(team.cpus_max),
            gpus: cpus(team.gpus),
            gpus_max: cpus(team.gpus_max),
        });
        PolicySettings {
            teams: teams.collect(),
            ..PolicySettings::default()
        }
    }

    /// The same with one team's limit changed, and its guarantee within it.
    pub fn with_limit(&self, team: &str, cpus_max: f64) -> PolicySettings {
        let mut settings = self.policy_settings();
        for found in settings.teams.iter_mut().filter(|t| t.name == team) {
            found.cpus_max = cpus_max;
            found.cpus = found.cpus.min(cpus_max);
        }
        settings
    }

    /// The transaction that an operator sends, by what is on record now.
    pub fn draft_configuration(
        &self,
        settings: &PolicySettings,
    ) -> Result<CasTransaction, ConfigureError> {
        let configurable = self
            .state
            .records
            .get(&Key::ConfigurationEnabled)
            .map(|(_, mod_revision)| *mod_revision);
        let configurable = configurable.ok_or(ConfigureError::Unsupported)?;
        let policy = settings.policy().map_err(ConfigureError::Invalid)?;
        let open = self
            .state
            .records
            .values()
            .filter_map(|(record, _)| match record {
                Record::Job(job) => job.open_spec(),
                _ => None,
            });
        let open: Vec<&JobSpec> = open.collect();
        configuration::validate_for_jobs(&policy, open.into_iter())
            .map_err(ConfigureError::Invalid)?;
        let current = match self.state.records.get(&Key::Configuration) {
            Some((Record::Configuration(record), mod_revision)) => Some((record, *mod_revision)),
            _ => None,
        };
        let limits = ChangeLimits {
            max_value_bytes: self.settings.max_value_bytes as usize,
            max_transaction_changes: self.settings.max_transaction_changes,
        };
        let at = crate::START_TIME_MS + self.now_ms;
        configuration::change_transaction(settings, current, configurable, limits, at, "")
            .map_err(ConfigureError::Invalid)
    }

    /// An operator's transaction arrives at the state service.
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

    /// Puts a configuration on record; returns its version.
    pub fn configure(&mut self, settings: &PolicySettings) -> Result<u64, ConfigureError> {
        let transaction = self.draft_configuration(settings)?;
        self.commit_configuration(&transaction)
    }

    /// Another configuration is in force: what was claimed above its limits may stay until it is gone.
    fn apply_configuration(&mut self) -> u64 {
        let Some((Record::Configuration(record), _)) = self.state.records.get(&Key::Configuration)
        else {
            panic!("a configuration is on record");
        };
        let version = record.version;
        let pages: Vec<ConfigurationPageRecord> = (0..record.pages)
            .filter_map(
                |n| match self.state.records.get(&Key::ConfigurationPage(version, n)) {
                    Some((Record::ConfigurationPage(page), _)) => Some(page.clone()),
                    _ => None,
                },
            )
            .collect();
        let settings = configuration::settings_from_pages(&pages);
        self.operator.policy = settings.policy().ok();
        for (team, claimed) in self.assigned_cpus() {
            let limit = self.team_limit(&team).unwrap_or(0);
            if limit > 0 && claimed > limit {
                let before = self.operator.cpus_before_lowering.entry(team).or_default();
                *before = claimed.max(*before);
            }
        }
        version
    }

    /// Whether all controllers that run follow a version.
    pub fn all_controllers_follow(&self, version: u64) -> bool {
        let mut controllers = self
            .controllers
            .iter()
            .filter_map(|slot| slot.controller.as_ref());
        controllers.all(|controller| controller.settings.policy.version == version)
    }

    /// A controller's watch tells nothing for so long.
    pub fn delay_watch(&mut self, n: usize, ms: u64) {
        self.controllers[n].watch_delayed_until_ms = self.now_ms + ms;
    }

    /// A controller's watch can't go on: it reads all records again.
    pub fn break_watch(&mut self, n: usize) {
        self.deliver(1, self.process(n), Event::WatchGap);
    }
}
