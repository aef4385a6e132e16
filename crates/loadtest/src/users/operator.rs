//! Operator who changes the recorded configuration during the run, as `glenmountctl config` does.

use crate::environment::Environment;
use crate::measurement::latencies::LatencyKind;
use crate::plan::Plan;
use crate::processes::settings::team_name;
use crate::sync::lock;
use glenmount_core::configuration::{PolicySettings, TeamSettings};
use glenmountctl::config::{
    apply, ConfigFailure, ConfigurationChange, ConfigurationStore, FileLimits,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Share of a team's limit that remains while the limit is lowered.
const LOWERED_LIMIT_SHARE: f64 = 0.9;
/// Delay before a retry of the first change, which fails until the controllers accept recorded
/// configurations.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const SECONDS_PER_MINUTE: f64 = 60.0;
/// Note of each configuration change.
const CHANGE_NOTE: &str = "scale run";

/// An operator who changes the configuration in the state store.
pub struct Operator {
    environment: Arc<Environment>,
    state_store: SocketAddr,
    limits: FileLimits,
}

/// Returns the policy settings with the plan's teams, as in the settings files.
fn planned_settings(plan: &Plan) -> PolicySettings {
    let teams = (0..plan.teams.count).map(|index| TeamSettings {
        name: team_name(index),
        cpus: plan.teams.guaranteed_cpus,
        cpus_max: plan.teams.cpu_limit,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    PolicySettings {
        teams: teams.collect(),
        ..PolicySettings::default()
    }
}

impl Operator {
    /// Creates an operator for the state store at an address.
    pub fn new(environment: Arc<Environment>, state_store: SocketAddr) -> Operator {
        let limits = FileLimits {
            value_kb: environment.plan.state.max_value_kb,
            max_transaction_changes: environment.plan.state.max_changes as usize,
        };
        Operator {
            environment,
            state_store,
            limits,
        }
    }

    /// Records the plan's teams, then lowers and restores the limit of one team after another, until the
    /// run's runtime is shut down.
    pub async fn run(self) {
        let plan = &self.environment.plan;
        let interval_s = SECONDS_PER_MINUTE / plan.configuration_changes_per_minute;
        let interval_ms = (interval_s * 1_000.0) as u64;
        let planned = planned_settings(plan);
        while !self.apply(planned.clone()).await {
            sleep(RETRY_DELAY).await;
        }
        let mut next_ms = self.environment.now_ms();
        let team_count = planned.teams.len();
        for team in (0..team_count).cycle() {
            next_ms += interval_ms;
            sleep_until(self.environment.instant_at(next_ms)).await;
            self.lower_limit(&planned, team).await;
            next_ms += interval_ms;
            sleep_until(self.environment.instant_at(next_ms)).await;
            self.restore_limit(&planned, team).await;
        }
    }

    /// Lowers the limit of a team. The lowered limit holds from its commit, so the invariants learn of it after
    /// the commit.
    async fn lower_limit(&self, planned: &PolicySettings, team: usize) {
        let mut settings = planned.clone();
        let lowered = &mut settings.teams[team];
        lowered.cpus_max *= LOWERED_LIMIT_SHARE;
        let lowered = lowered.clone();
        if self.apply(settings).await {
            self.report_limit(&lowered);
        }
    }

    /// Restores the limit of a team. A controller may use the raised limit as soon as it is visible, so the
    /// invariants learn of it before the commit.
    async fn restore_limit(&self, planned: &PolicySettings, team: usize) {
        self.report_limit(&planned.teams[team]);
        self.apply(planned.clone()).await;
    }

    fn report_limit(&self, team: &TeamSettings) {
        let now_ms = self.environment.now_ms();
        let mut invariants = lock(&self.environment.invariants);
        invariants.quota_limit_changed(&team.name, team.cpus_max, now_ms);
    }

    /// Applies one configuration change; returns whether it is recorded.
    async fn apply(&self, settings: PolicySettings) -> bool {
        let started_ms = self.environment.now_ms();
        let (address, limits) = (self.state_store.to_string(), self.limits);
        let outcome = tokio::task::spawn_blocking(move || {
            let change = ConfigurationChange {
                settings: &settings,
                limits,
                expected_version: None,
                note: CHANGE_NOTE,
            };
            apply(&ConfigurationStore::new(&address), &change)
        });
        let failure = match outcome.await {
            Ok(Ok(_)) => {
                let latency_ms = self.environment.now_ms() - started_ms;
                let latencies = &self.environment.latencies;
                latencies.record(LatencyKind::ConfigurationChange, latency_ms);
                return true;
            }
            Ok(Err(failure)) => failure,
            Err(error) => ConfigFailure::Failed(error.to_string()),
        };
        let name = format!("configuration: exit {}", failure.status());
        self.environment.unexpected_answers.add(&name, 1);
        false
    }
}
