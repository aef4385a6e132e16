//! An operator who changes the configuration on record while the run goes on, as `glenmountctl config` does.

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

/// Part of its limit that a team has while that is lowered.
const LOWERED_PART: f64 = 0.9;
/// Pause before the first change is tried again: controllers may not accept configurations on record yet.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const SECONDS_PER_MINUTE: f64 = 60.0;
/// The note that each change carries.
const CHANGE_NOTE: &str = "scale run";

/// Changes the configuration in the state store at an address.
pub struct Operator {
    environment: Arc<Environment>,
    state_store: SocketAddr,
    limits: FileLimits,
}

/// The plan's teams, as the settings files have them.
fn plan_settings(plan: &Plan) -> PolicySettings {
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
    /// An operator of a run.
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

    /// Puts the plan's teams on record, then lowers and restores the limit of one team after another, until
    /// the run's runtime is shut down.
    pub async fn play(self) {
        let plan = &self.environment.plan;
        let interval_s = SECONDS_PER_MINUTE / plan.configuration_changes_per_minute;
        let interval_ms = (interval_s * 1_000.0) as u64;
        let usual = plan_settings(plan);
        while !self.apply(usual.clone()).await {
            sleep(RETRY_PAUSE).await;
        }
        let mut next_ms = self.environment.now_ms();
        let team_count = usual.teams.len();
        for team in (0..team_count).cycle() {
            next_ms += interval_ms;
            sleep_until(self.environment.instant_at(next_ms)).await;
            self.lower_limit(&usual, team).await;
            next_ms += interval_ms;
            sleep_until(self.environment.instant_at(next_ms)).await;
            self.restore_limit(&usual, team).await;
        }
    }

    /// A lowered limit holds from its commit on.
    async fn lower_limit(&self, usual: &PolicySettings, team: usize) {
        let mut settings = usual.clone();
        let lowered = &mut settings.teams[team];
        lowered.cpus_max *= LOWERED_PART;
        let lowered = lowered.clone();
        if self.apply(settings).await {
            self.note_limit(&lowered);
        }
    }

    /// Whoever sees a raised limit may use it at once.
    async fn restore_limit(&self, usual: &PolicySettings, team: usize) {
        self.note_limit(&usual.teams[team]);
        self.apply(usual.clone()).await;
    }

    fn note_limit(&self, team: &TeamSettings) {
        let now_ms = self.environment.now_ms();
        let mut invariants = lock(&self.environment.invariants);
        invariants.quota_limit_changed(&team.name, team.cpus_max, now_ms);
    }

    /// Carries one change out; true if it is on record.
    async fn apply(&self, settings: PolicySettings) -> bool {
        let begun_ms = self.environment.now_ms();
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
                let took_ms = self.environment.now_ms() - begun_ms;
                let latencies = &self.environment.latencies;
                latencies.record(LatencyKind::ConfigurationChange, took_ms);
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
