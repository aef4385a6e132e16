//! Migrations of running services: off machines that are to go, and back to an even spread over zones.

use crate::constants::{
    MOVES_MOST, MOVES_PART, MOVES_REST_MS, MOVE_COST_S, MOVE_GAP_MS, SCALE_IN_AFTER_MS, TICK_MS,
};
use crate::controller::Controller;
use crate::model::{JobKind, JobSpec, Resources, TaskId};
use crate::scheduling::candidates;
use crate::scheduling::claims;
use crate::scheduling::rescheduling::{self, MigrationCandidate, MigrationReason};
use crate::scheduling::stops::{Stop, StopReason};
use crate::state::{
    Assignment, JobRecord, MachinePhase, MachineRecord, Placed, TransactionBuilder,
};
use std::collections::{BTreeMap, BTreeSet};

/// Reachable machines that are up, by zone, with what is free on each.
type FreeByZone<'a> = BTreeMap<&'a str, Vec<FreeMachine<'a>>>;

struct FreeMachine<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    free: Resources,
}

/// Stops under way.
#[derive(Default)]
struct StopsUnderWay {
    tasks: usize,
    jobs: BTreeSet<String>,
}

impl Controller {
    /// Migrates services' tasks, a few at a time, and drains expensive machines whose services fit elsewhere.
    pub(crate) fn move_services(&mut self) {
        if self.scheduling.has_pending_work || self.cache.instance_requests().next().is_some() {
            self.scheduling.idle_since = self.now;
        }
        if self.has_disruption() {
            // Disrupted work is placed first: migrations rest, and continue after.
            self.scheduling.migrations.last_round_at = self.now + MOVES_REST_MS - MOVE_GAP_MS;
        }
        if !self.may_write() || self.now < self.scheduling.migrations.last_round_at + MOVE_GAP_MS {
            return;
        }
        // These can't wait until no other work is pending. As often as failures are detected, which finds them.
        let off_mute_workers = match self.workers.failures_detected_at == self.now {
            true => self.service_migrations_off_outbound_lost(),
            false => Vec::new(),
        };
        if self.scheduling.has_pending_work && off_mute_workers.is_empty() {
            return;
        }
        let max = self.max_migrations(off_mute_workers.len());
        let under_way = self.stops_under_way();
        let left = max.saturating_sub(under_way.tasks);
        if left == 0 {
            return;
        }
        self.scheduling.migrations.last_round_at = self.now;
        let candidates = match off_mute_workers.len() {
            0 => self.migration_candidates(),
            tasks => {
                tracing::info!(
                    tasks,
                    "services migrate off workers that reach no controller"
                );
                off_mute_workers
            }
        };
        let migrations = &mut self.scheduling.migrations;
        let chosen = migrations.choose(self.now, candidates, left, &under_way.jobs);
        if !chosen.is_empty() {
            self.migrate(chosen);
        } else if under_way.tasks == 0 && self.now >= self.scheduling.idle_since + SCALE_IN_AFTER_MS
        {
            self.drain_for_scale_in(max);
        }
    }

    /// Most tasks that may be migrating at a time, in proportion to the fleet: one by one a fleet of hundreds
    /// would stay for as long as its services run. All tasks on mute workers may at once.
    fn max_migrations(&self, off_mute_workers: usize) -> usize {
        let max = MOVES_MOST.min(self.settings.max_transaction_changes);
        let up = self.cache.machines().filter(|(_, m, _)| m.is_up()).count();
        (up / MOVES_PART)
            .clamp(1, max)
            .max(off_mute_workers.min(max))
    }

    fn stops_under_way(&self) -> StopsUnderWay {
        let mut under_way = StopsUnderWay::default();
        for (id, _, _) in self.cache.machines() {
            let assignments = self.cache.assignments(id);
            for (task, _) in assignments.filter(|(_, placed)| placed.assignment.stop.is_some()) {
                under_way.tasks += 1;
                under_way.jobs.insert(task.job.clone());
            }
        }
        under_way
    }

    fn migrate(&mut self, migrations: Vec<MigrationCandidate>) {
        let stops = migrations.into_iter().map(|migration| Stop {
            machine: migration.machine,
            task: migration.task,
            attempt: migration.attempt,
            reason: StopReason::Migrated(migration.reason),
        });
        self.commit_stops(stops.collect(), None);
    }

    /// Migrations that would help, whatever the reason.
    fn migration_candidates(&self) -> Vec<MigrationCandidate> {
        let draining = self.cache.machines();
        let draining = draining.filter(|(_, m, _)| m.phase == MachinePhase::Draining);
        let leaving: Vec<MigrationCandidate> =
            draining.flat_map(|(id, _, _)| self.moves_off(id)).collect();
        let is_spread = self.settings.tuning.even_spread && self.settings.zones.len() > 1;
        match is_spread && leaving.is_empty() {
            true => self.spread_candidates(),
            false => leaving,
        }
    }

    /// All services' tasks off a machine.
    pub(crate) fn moves_off<'a>(
        &'a self,
        id: &'a str,
    ) -> impl Iterator<Item = MigrationCandidate> + 'a {
        let is_movable =
            move |(task, placed): &(&TaskId, &Placed)| self.is_movable(task, &placed.assignment);
        let candidate = move |(task, placed): (&TaskId, &Placed)| MigrationCandidate {
            task: task.clone(),
            attempt: placed.assignment.attempt,
            machine: id.to_string(),
            reason: MigrationReason::Leaving,
            gain_s: 0.0,
            cost_s: MOVE_COST_S,
        };
        self.cache.assignments(id).filter(is_movable).map(candidate)
    }

    fn is_movable(&self, task: &TaskId, assignment: &Assignment) -> bool {
        let spec = self.cache.open_job(&task.job);
        assignment.stop.is_none() && spec.is_some_and(|spec| spec.kind == JobKind::Service)
    }

    /// Services back to an even spread over zones, as after one was lost: a task of the fullest zone
    /// where another has capacity for it.
    fn spread_candidates(&self) -> Vec<MigrationCandidate> {
        let free = self.free_by_zone();
        let jobs = self.cache.open_jobs();
        jobs.filter_map(|(id, job, spec)| self.spread_candidate(id, job, spec, &free))
            .collect()
    }

    fn free_by_zone(&self) -> FreeByZone<'_> {
        let mut free = FreeByZone::new();
        for (id, record, _) in self.cache.machines() {
            if record.phase != MachinePhase::Up || !self.is_reachable(id, &record.zone) {
                continue;
            }
            let Some(machine_type) = self.machine_types.get(&record.type_name) else {
                continue;
            };
            free.entry(&record.zone).or_default().push(FreeMachine {
                id,
                record,
                free: machine_type.room.less(&self.cache.used(id)),
            });
        }
        free
    }

    /// One task of a service out of its fullest zone, if that gains anything and another zone takes it.
    fn spread_candidate(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
        free: &FreeByZone,
    ) -> Option<MigrationCandidate> {
        let is_spread = spec.kind == JobKind::Service && !spec.zone_affinity && spec.zone.is_none();
        let is_complete = self.cache.counts(id).assigned == job.tasks;
        if !is_spread || job.tasks < 2 || !is_complete {
            return None;
        }
        let draft = TransactionBuilder::new(&self.cache);
        let zones = claims::zones_of(&draft, job, id, &self.settings.zones);
        let (fullest, tasks) = zones.zones.iter().max_by_key(|(_, tasks)| **tasks)?;
        let gain_s = rescheduling::spread_gain_s(job.tasks, *tasks, free.len());
        if gain_s <= 0.0 {
            return None;
        }
        let share = job.tasks.div_ceil(free.len().max(1) as u32);
        let targets = free
            .iter()
            .filter(|(zone, _)| *zone != fullest && zones.count(zone) < share)
            .flat_map(|(_, machines)| machines);
        let fetch_s = targets
            .filter_map(|machine| self.fetch_s_if_fitting(machine, spec))
            .min_by(f64::total_cmp)?;
        let zone_of = |machine: &str| self.cache.machine(machine).map(|record| &record.zone);
        let mut assigned = (self.cache.chunks_of(id)).flat_map(|(_, chunk)| chunk.assigned());
        let (index, assignment) = assigned.find(|(_, assignment)| {
            zone_of(&assignment.machine) == Some(fullest) && assignment.stop.is_none()
        })?;
        let job = id.to_string();
        Some(MigrationCandidate {
            task: TaskId { job, index },
            attempt: assignment.attempt,
            machine: assignment.machine.clone(),
            reason: MigrationReason::Spread,
            gain_s,
            cost_s: MOVE_COST_S + fetch_s,
        })
    }

    /// Seconds that a machine takes to fetch a job's image, if it takes a task of the job.
    fn fetch_s_if_fitting(&self, machine: &FreeMachine, spec: &JobSpec) -> Option<f64> {
        let record = machine.record;
        let fits = machine.free.fits(&spec.resources)
            && spec.allows(&record.type_name, &record.zone, record.spot);
        fits.then(|| match self.cache.has_image(machine.id, &spec.image) {
            true => 0.0,
            false => candidates::fetch_ms(&self.machine_types, record, spec) as f64 / 1e3,
        })
    }

    /// Whether a zone is lost, a failover is under way, or the state service throttles: capacity and changes
    /// are needed for that first.
    fn has_disruption(&self) -> bool {
        let is_throttled = self
            .writes
            .throttled_at
            .is_some_and(|at| self.now < at + TICK_MS);
        self.zones.has_unreachable() || self.peers.has_failover_in_progress() || is_throttled
    }
}
