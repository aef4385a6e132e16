//! Migration of running services: off machines that are leaving, and back to an even spread over zones.

use crate::constants::{
    HOUSEKEEPING_INTERVAL_MS, MIGRATIONS_MAX, MIGRATION_COOLDOWN_MS, MIGRATION_COST_S,
    MIGRATION_INTERVAL_MS, MIGRATION_MACHINES_DIVISOR, SCALE_IN_AFTER_MS,
};
use crate::controller::Controller;
use crate::model::{JobKind, JobSpec, Resources, TaskId};
use crate::scheduling::candidates;
use crate::scheduling::claims;
use crate::scheduling::rescheduling::{self, MigrationCandidate, MigrationReason};
use crate::scheduling::stops::{Stop, StopReason};
use crate::state::{
    AssignedTask, Assignment, JobRecord, MachinePhase, MachineRecord, TransactionBuilder,
};
use std::collections::{BTreeMap, BTreeSet};

/// Reachable machines that are up, by zone, with their free resources.
type FreeByZone<'a> = BTreeMap<&'a str, Vec<FreeMachine<'a>>>;

struct FreeMachine<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    free: Resources,
}

/// The stops that are recorded and not yet complete.
#[derive(Default)]
struct StopsInProgress {
    tasks: usize,
    jobs: BTreeSet<String>,
}

impl Controller {
    /// Migrates services' tasks, a few at a time, and drains expensive machines whose services fit on others.
    pub(crate) fn migrate_services(&mut self) {
        if self.scheduling.has_pending_work || self.cache.instance_requests().next().is_some() {
            self.scheduling.idle_since = self.now;
        }
        if self.has_disruption() {
            // Disrupted work is placed first. Migrations are suspended and resume `MIGRATION_COOLDOWN_MS` later.
            self.scheduling.migrations.last_round_at =
                self.now + MIGRATION_COOLDOWN_MS - MIGRATION_INTERVAL_MS;
        }
        if !self.may_write()
            || self.now < self.scheduling.migrations.last_round_at + MIGRATION_INTERVAL_MS
        {
            return;
        }
        // Migrations off workers that reach no controller don't wait until no work is pending. They are looked for
        // in each round of failure detection, which finds such workers.
        let off_disconnected_workers = match self.workers.failures_detected_at == self.now {
            true => self.service_migrations_off_outbound_lost(),
            false => Vec::new(),
        };
        if self.scheduling.has_pending_work && off_disconnected_workers.is_empty() {
            return;
        }
        let max = self.max_migrations(off_disconnected_workers.len());
        let in_progress = self.stops_in_progress();
        let budget = max.saturating_sub(in_progress.tasks);
        if budget == 0 {
            return;
        }
        self.scheduling.migrations.last_round_at = self.now;
        let candidates = match off_disconnected_workers.len() {
            0 => self.migration_candidates(),
            tasks => {
                tracing::info!(
                    tasks,
                    "services migrate off workers that reach no controller"
                );
                off_disconnected_workers
            }
        };
        let migrations = &mut self.scheduling.migrations;
        let chosen = migrations.choose(self.now, candidates, budget, &in_progress.jobs);
        if !chosen.is_empty() {
            self.migrate(chosen);
        } else if in_progress.tasks == 0
            && self.now >= self.scheduling.idle_since + SCALE_IN_AFTER_MS
        {
            self.drain_for_scale_in(max);
        }
    }

    /// Returns the most tasks that may migrate at a time. It is proportional to the number of machines: migrating
    /// one task at a time, scale-in of hundreds of machines would take as long as their services run. All tasks
    /// on workers that reach no controller may migrate at once, up to the absolute maximum.
    fn max_migrations(&self, off_disconnected_workers: usize) -> usize {
        let max = MIGRATIONS_MAX.min(self.settings.max_transaction_changes);
        let machines = self.cache.machines();
        let machines_up = machines.filter(|(_, m, _)| m.is_up()).count();
        (machines_up / MIGRATION_MACHINES_DIVISOR)
            .clamp(1, max)
            .max(off_disconnected_workers.min(max))
    }

    fn stops_in_progress(&self) -> StopsInProgress {
        let mut in_progress = StopsInProgress::default();
        for (id, _, _) in self.cache.machines() {
            let assignments = self.cache.assignments(id);
            for (task, _) in
                assignments.filter(|(_, placed)| placed.assignment.stop_reason.is_some())
            {
                in_progress.tasks += 1;
                in_progress.jobs.insert(task.job.clone());
            }
        }
        in_progress
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

    /// Returns the migrations off draining machines or, if there are none, those towards an even spread.
    fn migration_candidates(&self) -> Vec<MigrationCandidate> {
        let draining = self.cache.machines();
        let draining = draining.filter(|(_, m, _)| m.phase == MachinePhase::Draining);
        let leaving: Vec<MigrationCandidate> = draining
            .flat_map(|(id, _, _)| self.migrations_off(id))
            .collect();
        let is_spread = self.settings.tuning.even_zone_spread && self.settings.zones.len() > 1;
        match is_spread && leaving.is_empty() {
            true => self.spread_candidates(),
            false => leaving,
        }
    }

    /// Returns the migrations of all services' tasks off a machine.
    pub(crate) fn migrations_off<'a>(
        &'a self,
        id: &'a str,
    ) -> impl Iterator<Item = MigrationCandidate> + 'a {
        let may_migrate = move |(task, placed): &(&TaskId, &AssignedTask)| {
            self.may_migrate(task, &placed.assignment)
        };
        let candidate = move |(task, placed): (&TaskId, &AssignedTask)| MigrationCandidate {
            task: task.clone(),
            attempt: placed.assignment.attempt,
            machine: id.to_string(),
            reason: MigrationReason::MachineLeaving,
            gain_s: 0.0,
            cost_s: MIGRATION_COST_S,
        };
        self.cache
            .assignments(id)
            .filter(may_migrate)
            .map(candidate)
    }

    /// Returns whether an assignment is of a service and is not being stopped.
    fn may_migrate(&self, task: &TaskId, assignment: &Assignment) -> bool {
        let spec = self.cache.open_job(&task.job);
        assignment.stop_reason.is_none() && spec.is_some_and(|spec| spec.kind == JobKind::Service)
    }

    /// Returns migrations that restore an even spread of services over zones, for example after a zone was lost.
    /// Each moves a task out of its service's fullest zone if another zone has capacity for it.
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
                free: machine_type
                    .task_capacity()
                    .saturating_sub(&self.cache.used_resources(id)),
            });
        }
        free
    }

    /// Returns the migration of one task of a service out of its fullest zone, if the migration gains anything and
    /// another zone has capacity for the task.
    fn spread_candidate(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
        free: &FreeByZone,
    ) -> Option<MigrationCandidate> {
        let is_spread = spec.kind == JobKind::Service && !spec.zone_affinity && spec.zone.is_none();
        let is_complete = self.cache.task_counts(id).assigned == job.tasks;
        if !is_spread || job.tasks < 2 || !is_complete {
            return None;
        }
        let draft = TransactionBuilder::new(&self.cache);
        let zone_spread = claims::zone_spread_of(&draft, job, id, &self.settings.zones);
        let (fullest_zone, tasks) = zone_spread.zones.iter().max_by_key(|(_, tasks)| **tasks)?;
        let gain_s = rescheduling::spread_gain_s(job.tasks, *tasks, free.len());
        if gain_s <= 0.0 {
            return None;
        }
        let share = job.tasks.div_ceil(free.len().max(1) as u32);
        let targets = free
            .iter()
            .filter(|(zone, _)| *zone != fullest_zone && zone_spread.count(zone) < share)
            .flat_map(|(_, machines)| machines);
        let fetch_s = targets
            .filter_map(|machine| self.fetch_s_if_fitting(machine, spec))
            .min_by(f64::total_cmp)?;
        let zone_of = |machine: &str| self.cache.machine(machine).map(|record| &record.zone);
        let mut assigned = (self.cache.chunks_of(id)).flat_map(|(_, chunk)| chunk.assigned());
        let (index, assignment) = assigned.find(|(_, assignment)| {
            zone_of(&assignment.machine) == Some(fullest_zone) && assignment.stop_reason.is_none()
        })?;
        let job = id.to_string();
        Some(MigrationCandidate {
            task: TaskId { job, index },
            attempt: assignment.attempt,
            machine: assignment.machine.clone(),
            reason: MigrationReason::ZoneSpread,
            gain_s,
            cost_s: MIGRATION_COST_S + fetch_s,
        })
    }

    /// Returns the seconds that a machine takes to fetch a job's image, or `None` if it can't take a task of the job.
    fn fetch_s_if_fitting(&self, machine: &FreeMachine, spec: &JobSpec) -> Option<f64> {
        let record = machine.record;
        let fits = machine.free.fits(&spec.task_request())
            && spec.allows(&record.type_name, &record.zone, record.spot);
        fits.then(|| match self.cache.has_image(machine.id, &spec.image) {
            true => 0.0,
            false => candidates::image_fetch_ms(&self.machine_types, record, spec) as f64 / 1e3,
        })
    }

    /// Returns whether a zone is unreachable, a failover is in progress, or the state store throttles writes.
    /// Capacity and writes are then needed for recovery first.
    fn has_disruption(&self) -> bool {
        let is_throttled = self
            .writes
            .throttled_at
            .is_some_and(|at| self.now < at + HOUSEKEEPING_INTERVAL_MS);
        self.zones.has_unreachable() || self.peers.has_failover_in_progress() || is_throttled
    }
}
