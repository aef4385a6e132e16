//! An operator who changes the configuration on record while the run goes on, as `glenmountctl config` does.

use crate::environment::Environment;
use crate::measurement::counters::LatencyKind;
use crate::network::partitions::lock;
use crate::plan::Plan;
use crate::processes::controllers::team_name;
use glenmount_core::configuration::{PolicySettings, TeamSettings};
use glenmountctl::config::{apply, Change, ConfigFailure, FileLimits, Records};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until, Duration};

/// Part of its limit that a team has while that is lowered.
const LOWERED_PART: f64 = 0.9;
/// Before controllers say that configurations may be on record.
const TRY_AGAIN: Duration = Duration::from_secs(1);
const SECONDS_PER_MINUTE: f64 = 60.0;

/// The plan's teams, as the settings files have them.
fn settings(plan: &Plan) -> PolicySettings {
    let teams = (0..plan.teams.count).map(|n| TeamSettings {
        name: team_name(n),
        cpus: plan.teams.cpus,
        cpus_max: plan.teams.cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    });
    PolicySettings {
        teams: teams.collect(),
        ..PolicySettings::default()
    }
}

/// Puts the plan's teams on record, then lowers and restores the limit of one team after another.
pub async fn play(environment: Arc<Environment>, state: SocketAddr) {
    let plan = &environment.plan;
    let gap_ms = (SECONDS_PER_MINUTE / plan.configuration_changes_per_minute * 1_000.0) as u64;
    let limits = FileLimits {
        value_kb: plan.state.value_kb,
        max_transaction_changes: plan.state.txn_ops as usize,
    };
    let usual = settings(plan);
    while !change(&environment, state, usual.clone(), limits).await {
        sleep(TRY_AGAIN).await;
    }
    let mut next_ms = environment.now_ms();
    for n in 0_usize.. {
        next_ms += gap_ms;
        sleep_until(environment.instant_at(next_ms)).await;
        let mut settings = usual.clone();
        let count = settings.teams.len();
        let Some(team) = settings.teams.get_mut(n / 2 % count) else {
            return;
        };
        if n % 2 == 0 {
            team.cpus_max *= LOWERED_PART;
        }
        let (name, limit) = (team.name.clone(), team.cpus_max);
        let note = || {
            lock(&environment.invariants).quota_limit_changed(&name, limit, environment.now_ms())
        };
        // Whoever sees a raised limit may use it at once, a lowered one holds from its commit on.
        if n % 2 == 1 {
            note();
        }
        if change(&environment, state, settings, limits).await && n % 2 == 0 {
            note();
        }
    }
}

/// Carries one change out; whether it is on record.
async fn change(
    environment: &Arc<Environment>,
    state: SocketAddr,
    settings: PolicySettings,
    limits: FileLimits,
) -> bool {
    let begun_ms = environment.now_ms();
    let done = tokio::task::spawn_blocking(move || {
        let change = Change {
            settings: &settings,
            limits,
            expect: None,
            note: "scale run",
        };
        apply(&Records::new(&state.to_string()), &change)
    });
    let failure = match done.await {
        Ok(Ok(_)) => {
            let took = environment.now_ms() - begun_ms;
            environment
                .latencies
                .record(LatencyKind::ConfigurationChange, took);
            return true;
        }
        Ok(Err(failure)) => failure,
        Err(error) => ConfigFailure::Failed(error.to_string()),
    };
    environment
        .unexpected_answers
        .add(&format!("configuration: exit {}", failure.status()), 1);
    false
}
