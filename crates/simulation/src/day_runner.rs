//! Runs a described day: submits its jobs, injects its faults and measures the outcome.

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

/// Time after a day's last submission in which its remaining jobs may end.
const DRAIN_S: u64 = 240;
/// Time after which controllers release an idle machine.
const IDLE_TIMEOUT_MS: u64 = 45_000;
/// Records per page of a list.
const PAGE_SIZE: usize = 1_000;

/// The run of a day.
struct DayRun<'a> {
    day: &'a Day,
    sim: Simulation,
    users: Users,
    rng: SmallRng,
    /// Number of the next job.
    next_job: u32,
    /// Time of each class's next submission.
    next_submission_s: Vec<f64>,
    /// Factor on each class's rate of submissions.
    rate_factors: Vec<f64>,
    failovers: Vec<FailoverObservation>,
    outcome: Outcome,
    /// Faults in force, with the times at which they end.
    active_faults: Vec<(u64, ActiveFault)>,
    /// Numbers of running replicas and of expected replicas, sampled once a second.
    replica_samples: Vec<(u64, u64)>,
    /// Start of each controller's process that was measured last.
    measured_starts_ms: Vec<u64>,
}

/// Runs a day once.
pub fn run_day(day: &Day, variant: &Variant, seed: u64) -> Result<Outcome, DayError> {
    Ok(run_day_with_digest(day, variant, seed, None)?.0)
}

/// Runs a day once, and adds the effects of the controllers to the digest if there is one.
pub fn run_day_with_digest(
    day: &Day,
    variant: &Variant,
    seed: u64,
    digest: Option<EffectDigest>,
) -> Result<(Outcome, Option<EffectDigest>), DayError> {
    let mut day = day.clone();
    day.machines = variant.machines.unwrap_or(day.machines);
    day.controllers = variant.controllers.unwrap_or(day.controllers);
    let mut run = DayRun::new(&day, variant, seed)?;
    run.sim.digest = digest;
    run.run();
    Ok((run.outcome, run.sim.digest))
}

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

/// Applies a day and a variant to the settings of the controllers.
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
    settings.idle_timeout_ms = IDLE_TIMEOUT_MS;
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
    let to_thousandths = |cpus: f64| (cpus * 1e3) as u64;
    Team {
        name: team.name.clone(),
        cpus: to_thousandths(team.cpus),
        cpus_max: to_thousandths(team.cpus_max),
        gpus: 0,
        gpus_max: 0,
    }
}

/// Applies a day's limits to the state store, the cloud and the controllers.
fn apply_limits(sim: &mut Simulation, day: &Day) {
    sim.controller_zones = day.controller_zones.clone();
    sim.cloud.capacity = day.capacity;
    sim.state.page_size = PAGE_SIZE;
    sim.service_limits.state_requests = Some(TokenBucket::new(day.limits.state_rps, 1.0));
    sim.service_limits.state_changes = Some(TokenBucket::new(day.limits.write_rps, 1.0));
    sim.service_limits.cloud_calls = Some(TokenBucket::new(day.limits.cloud_rps, 2.0));
    sim.service_limits.worker_connections = Some(day.limits.worker_connections);
    sim.service_limits.list_lag_ms = to_ms(day.limits.list_lag_s);
    for machine_type in &mut sim.cloud.machine_types {
        machine_type.zones = day.zones.clone();
    }
}

/// Boots a day's machines, every fourth of type `large`, within one heartbeat interval.
fn boot_machines(sim: &mut Simulation, day: &Day) {
    for index in 0..day.machines {
        let zone = &day.zones[index % day.zones.len()];
        let type_name = if index % 4 == 0 { "large" } else { "small" };
        let delay_ms = 10 + (index as u64 * 7) % to_ms(day.workers.heartbeat_s);
        sim.boot_machine(type_name, zone, false, delay_ms);
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
                runs: 1,
                ..Outcome::default()
            },
            active_faults: Vec::new(),
            replica_samples: Vec::new(),
            measured_starts_ms: vec![0; day.controllers],
            day,
            sim,
        })
    }

    /// Returns the day's faults with the times at which they begin, in order of time.
    fn fault_schedule(&self) -> Vec<(u64, FaultKind)> {
        let mut schedule: Vec<(u64, FaultKind)> = Vec::new();
        for fault in &self.day.faults {
            for repetition in 0..fault.times.max(1) {
                let at_s = fault.at_s + f64::from(repetition) * fault.every_s;
                schedule.push((to_ms(at_s), fault.kind.clone()));
            }
        }
        schedule.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn run(&mut self) {
        let started = std::time::Instant::now();
        let mut faults = self.fault_schedule().into_iter().peekable();
        let end_ms = self.day.seconds * 1_000;
        while self.sim.now_ms < end_ms + DRAIN_S * 1_000 {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.sim.now_ms) {
                self.begin_fault(fault);
            }
            self.end_faults();
            if self.sim.now_ms < end_ms {
                self.submit();
            }
            self.users.step(&mut self.sim);
            self.sim.run(STEP_MS);
            self.observe_failovers();
            if self.sim.now_ms % 1_000 < STEP_MS {
                self.sample_replicas(self.sim.now_ms < end_ms);
            }
            if self.sim.now_ms > end_ms && self.all_ended() {
                break;
            }
        }
        self.sim.check_records();
        self.compute_outcome(started.elapsed());
    }

    /// Returns whether all jobs but services have ended for their users.
    fn all_ended(&self) -> bool {
        let is_open = |(id, user): (&String, &crate::users::User)| {
            let is_service = self.sim.job_specs[id].kind == JobKind::Service;
            !(is_service || user.gave_up || user.cancelled || user.completed_ms.is_some())
        };
        !self.users.users.iter().any(is_open)
    }

    /// Returns whether the warm-up is over.
    fn is_measuring(&self) -> bool {
        self.sim.now_ms >= self.day.warmup_s * 1_000
    }
}
