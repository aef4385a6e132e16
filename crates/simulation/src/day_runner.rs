//! Plays a described day: users, faults, and what is measured meanwhile.

mod failovers;
mod faults;
mod measurements;
mod submissions;

use crate::day::{self, Day, DayError, FaultKind, Variant};
use crate::digest::EffectDigest;
use crate::outcome::Outcome;
use crate::rate_limits::TokenBucket;
use crate::users::{Users, STEP_MS};
use crate::Simulation;
use failovers::FailoverObservation;
use faults::ActiveFault;
use glenmount_core::model::{JobKind, Team};
use glenmount_core::settings::Settings;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Seconds after a day's last submission in which what is left may end.
const DRAIN_S: u64 = 240;
/// Milliseconds after which a machine that nothing needs is returned.
const IDLE_RETURN_MS: u64 = 45_000;
/// Records per page of a list.
const PAGE: usize = 1_000;

struct DayRun<'a> {
    day: &'a Day,
    sim: Simulation,
    users: Users,
    rng: SmallRng,
    next_job: u32,
    /// Seconds at which each class submits its next job.
    next_submission_s: Vec<f64>,
    /// By how much each class submits more often.
    rate_factors: Vec<f64>,
    failovers: Vec<FailoverObservation>,
    outcome: Outcome,
    /// Faults that end at a time.
    active_faults: Vec<(u64, ActiveFault)>,
    /// Replicas that ran and that should have, once a second.
    replica_samples: Vec<(u64, u64)>,
    /// When each controller's process began that was measured last.
    measured_starts_ms: Vec<u64>,
}

/// Plays a day once.
pub fn run_day(day: &Day, variant: &Variant, seed: u64) -> Result<Outcome, DayError> {
    Ok(run_day_with_digest(day, variant, seed, None)?.0)
}

/// The same; hashes what the controllers do, if given a digest.
pub fn run_day_with_digest(
    day: &Day,
    variant: &Variant,
    seed: u64,
    digest: Option<EffectDigest>,
) -> Result<(Outcome, Option<EffectDigest>), DayError> {
    let mut day = day.clone();
    day.machines = variant.machines.unwrap_or(day.machines);
    day.controllers = variant.controllers.unwrap_or(day.controllers);
    let mut play = DayRun::new(&day, variant, seed)?;
    play.sim.digest = digest;
    play.run();
    Ok((play.outcome, play.sim.digest))
}

fn to_ms(s: f64) -> u64 {
    (s * 1e3) as u64
}

/// The settings of a day's controllers.
fn apply_settings(settings: &mut Settings, day: &Day, variant: &Variant) -> Result<(), DayError> {
    for name in &variant.disabled_checks {
        day::disable_check(&mut settings.checks, name)?;
    }
    settings.tuning = variant.tuning;
    settings.zones = day.zones.clone();
    settings.heartbeat_interval_ms = to_ms(day.workers.heartbeat_s);
    settings.lease_ms = to_ms(day.workers.lease_s);
    settings.cancellation_timeout_ms = to_ms(day.workers.cancel_s);
    settings.max_value_bytes = to_ms(day.limits.value_kb * 1.024);
    settings.max_transaction_changes = day.limits.transaction_changes;
    settings.write_rps = day.limits.write_rps / day.controllers as f64;
    settings.announced_write_rps = settings.write_rps;
    settings.instance_list_lag_ms = to_ms(day.limits.list_lag_s);
    settings.idle_timeout_ms = IDLE_RETURN_MS;
    let teams = day.teams.iter().map(|t| (t.name.clone(), team(t)));
    settings.policy.teams = teams.collect();
    let goals = day.classes.iter().filter(|c| !c.objectives_s.is_empty());
    let goals = goals.map(|c| {
        (
            c.name.clone(),
            c.objectives_s.iter().map(|s| to_ms(*s)).collect(),
        )
    });
    settings.policy.completion_goals_ms = goals.collect();
    Ok(())
}

fn team(team: &day::Team) -> Team {
    let milli = |cpus: f64| (cpus * 1e3) as u64;
    Team {
        name: team.name.clone(),
        cpus: milli(team.cpus),
        cpus_max: milli(team.cpus_max),
        gpus: 0,
        gpus_max: 0,
    }
}

/// What the state service and the cloud take on a day.
fn apply_limits(sim: &mut Simulation, day: &Day) {
    sim.controller_zones = day.controller_zones.clone();
    sim.cloud.capacity = day.capacity;
    sim.state.page_size = PAGE;
    sim.service_limits.state_requests = Some(TokenBucket::new(day.limits.state_rps, 1.0));
    sim.service_limits.state_changes = Some(TokenBucket::new(day.limits.write_rps, 1.0));
    sim.service_limits.cloud_calls = Some(TokenBucket::new(day.limits.cloud_rps, 2.0));
    sim.service_limits.worker_connections = Some(day.limits.worker_connections);
    sim.service_limits.list_lag_ms = to_ms(day.limits.list_lag_s);
    for kind in &mut sim.cloud.machine_types {
        kind.zones = day.zones.clone();
    }
}

/// Boots a day's machines, of which every fourth is large, within one interval between reports.
fn boot_machines(sim: &mut Simulation, day: &Day) {
    for i in 0..day.machines {
        let zone = &day.zones[i % day.zones.len()];
        let kind = if i % 4 == 0 { "large" } else { "small" };
        let delay = 10 + (i as u64 * 7) % to_ms(day.workers.heartbeat_s);
        sim.boot_machine(kind, zone, false, delay);
    }
}

impl DayRun<'_> {
    fn new<'a>(day: &'a Day, variant: &Variant, seed: u64) -> Result<DayRun<'a>, DayError> {
        let mut sim = Simulation::new(seed, day.controllers, 0);
        apply_settings(&mut sim.settings, day, variant)?;
        apply_limits(&mut sim, day);
        boot_machines(&mut sim, day);
        Ok(DayRun {
            users: Users::new(day.controllers),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            next_job: 0,
            next_submission_s: vec![0.0; day.classes.len()],
            rate_factors: vec![1.0; day.classes.len()],
            failovers: Vec::new(),
            outcome: Outcome {
                plays: 1,
                ..Outcome::default()
            },
            active_faults: Vec::new(),
            replica_samples: Vec::new(),
            measured_starts_ms: vec![0; day.controllers],
            day,
            sim,
        })
    }

    /// The day's faults and when each begins.
    fn schedule(&self) -> Vec<(u64, FaultKind)> {
        let mut troubles: Vec<(u64, FaultKind)> = Vec::new();
        for t in &self.day.faults {
            for i in 0..t.times.max(1) {
                troubles.push((to_ms(t.at_s + f64::from(i) * t.every_s), t.what.clone()));
            }
        }
        troubles.sort_by_key(|(at, _)| *at);
        troubles
    }

    fn run(&mut self) {
        let begun = std::time::Instant::now();
        let mut troubles = self.schedule().into_iter().peekable();
        let end = self.day.seconds * 1_000;
        while self.sim.now_ms < end + DRAIN_S * 1_000 {
            while let Some((_, what)) = troubles.next_if(|(at, _)| *at <= self.sim.now_ms) {
                self.begin_fault(what);
            }
            self.end_faults();
            if self.sim.now_ms < end {
                self.submit();
            }
            self.users.step(&mut self.sim);
            self.sim.run(STEP_MS);
            self.observe_failovers();
            if self.sim.now_ms % 1_000 < STEP_MS {
                self.sample_replicas(self.sim.now_ms < end);
            }
            if self.sim.now_ms > end && self.all_ended() {
                break;
            }
        }
        self.sim.check_records();
        self.compute_outcome(begun.elapsed());
    }

    fn all_ended(&self) -> bool {
        let open = |(id, u): (&String, &crate::users::User)| {
            let service = self.sim.job_specs[id].kind == JobKind::Service;
            !(service || u.gave_up || u.cancelled || u.completed_ms.is_some())
        };
        !self.users.users.iter().any(open)
    }

    fn counted(&self) -> bool {
        self.sim.now_ms >= self.day.warmup_s * 1_000
    }
}
