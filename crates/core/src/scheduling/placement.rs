//! Placement: assigns pending work to candidate machines and packs the claims into one transaction.
//!
//! Follows section 5 of the paper: each free machine proposes the work that it serves best, the machine that has
//! been idle longest wins each job, and one conditional transaction makes the allocation.

use crate::model::{JobKind, JobPriority, JobSpec, Millis, TaskId};
use crate::scheduling::candidates::{image_fetch_ms, min_request, Candidate};
use crate::scheduling::claims::{self, remaining_zone_tasks, ClaimRequest, Refusal};
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::service_reserve::ServiceReserve;
use crate::state::{CasTransaction, TransactionBuilder, ZoneSpreadRecord};

/// A task and the machine that a plan claims for it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedClaim {
    pub task: TaskId,
    pub machine: String,
}

/// A machine that has to fetch an image for the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFetch {
    pub machine: String,
    /// Milliseconds until all fetches of the machine are complete, including this one.
    pub pending_fetch_ms: Millis,
}

/// The claims of one scheduling pass.
#[derive(Debug, Default)]
pub struct Plan {
    pub transaction: CasTransaction,
    pub claims: Vec<PlannedClaim>,
    pub fetches: Vec<PlannedFetch>,
    /// Whether planning ended because the transaction had no more space, with work still unplaced.
    pub is_transaction_full: bool,
}

/// The error for a transaction that has no space for another claim.
struct TransactionFull;

/// Places pending work, given in order of urgency, in a transaction of at most `max_changes` changes. Within a
/// group of equal urgency, jobs are first placed on machines that cache their image. Each job fills its best
/// machine before the next one. Placed tasks are removed from `work`.
pub fn plan(
    view: ClusterView,
    work: &mut [PendingWork],
    machines: &mut Vec<Candidate>,
    max_changes: usize,
) -> Plan {
    let mut draft = PlanDraft {
        view,
        transaction: TransactionBuilder::with_max_changes(view.cache, max_changes),
        reserve: ServiceReserve::new(view, work, machines),
        claims: Vec::new(),
        fetches: Vec::new(),
    };
    // Claims only reduce free resources, so a machine too full for any of the work stays so during this pass.
    let min = min_request(work);
    machines.retain(|machine| machine.free.fits(&min));
    let outcome = draft.place_all(work, machines);
    Plan {
        transaction: draft.transaction.finish(),
        claims: draft.claims,
        fetches: draft.fetches,
        is_transaction_full: outcome.is_err(),
    }
}

/// How well a machine suits a job. The lowest rank is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// Whether tasks of the job failed on it. A faulty machine is soon free again and would otherwise attract all
    /// pending work.
    is_avoided: bool,
    /// Seconds until it has fetched the image; 0 for work that can wait for a fetch.
    fetch_s: Millis,
    /// Whether it is an on-demand machine although the work may use spot machines.
    is_on_demand_for_spot_work: bool,
    /// Its rank by size; see `PlanDraft::size_rank`.
    size_rank: u64,
    is_idle: bool,
    reports_elsewhere: bool,
    last_assigned_at: Millis,
    /// Its index in the list of candidates.
    position: usize,
}

/// One step of a job's placement, which places tasks on one machine.
struct PlacementStep {
    /// The machine's index in the list of candidates.
    position: usize,
    /// The most tasks of the job that the machine may hold after this step, if there is a bound.
    max_tasks: Option<usize>,
}

/// The placement in progress of one job's tasks.
struct JobPlacement<'a> {
    spec: &'a JobSpec,
    image: Option<u32>,
    /// Whether only machines that cache its image, and on which it has not failed, are considered.
    cached_image_only: bool,
    /// For a service of several replicas: the most tasks per machine while each machine gets its share.
    machine_share: Option<usize>,
    /// For a service that is spread evenly over zones: the most tasks per zone while the zone share applies.
    zone_share: Option<u32>,
    /// The number of its tasks per zone, for comparison with `zone_share`.
    zone_spread: ZoneSpreadRecord,
}

/// A plan under construction.
struct PlanDraft<'a> {
    view: ClusterView<'a>,
    transaction: TransactionBuilder<'a>,
    reserve: ServiceReserve,
    claims: Vec<PlannedClaim>,
    fetches: Vec<PlannedFetch>,
}

impl<'a> PlanDraft<'a> {
    fn place_all(
        &mut self,
        work: &mut [PendingWork],
        machines: &mut [Candidate],
    ) -> Result<(), TransactionFull> {
        for group in work.chunk_by_mut(|a, b| a.urgency.is_same_group(&b.urgency)) {
            for cached_image_only in [true, false] {
                for work in group.iter_mut() {
                    self.place_job(work, machines, cached_image_only)?;
                }
            }
        }
        Ok(())
    }

    /// Places a job's pending tasks on the machines that suit it best, until no task or no machine remains.
    fn place_job(
        &mut self,
        work: &mut PendingWork,
        machines: &mut [Candidate],
        cached_image_only: bool,
    ) -> Result<(), TransactionFull> {
        let Some(spec) = self.view.cache.open_job(&work.job) else {
            return Ok(());
        };
        if work.indices.is_empty() || work.requires_cached_image && !cached_image_only {
            return Ok(());
        }
        let mut job = self.job_placement(work, spec, cached_image_only);
        let ranked = self.rank_machines(&job, work, machines);
        for step in job.placement_steps(&ranked) {
            let machine = &mut machines[step.position];
            let claims_before = self.claims.len();
            self.place_on(&mut job, work, machine, step.max_tasks)?;
            if !machine.has_image(job.image) && self.claims.len() > claims_before {
                machine.pending_fetch_ms +=
                    image_fetch_ms(self.view.machine_types, machine.record, spec);
                self.fetches.push(PlannedFetch {
                    machine: machine.id.to_string(),
                    pending_fetch_ms: machine.pending_fetch_ms,
                });
            }
            if work.indices.is_empty() {
                break;
            }
        }
        Ok(())
    }

    /// Determines how a job is spread over machines and zones. The loss of one machine or zone should take only a
    /// bounded part of a service that others can serve as well. So each machine and zone first gets at most its
    /// share, and the remaining tasks go to the best machines. The zone share applies even if only one zone
    /// caches the image, because a fetch is short and the loss of a zone is not.
    fn job_placement(
        &self,
        work: &PendingWork,
        spec: &'a JobSpec,
        cached_image_only: bool,
    ) -> JobPlacement<'a> {
        let (cache, settings) = (self.view.cache, self.view.settings);
        let is_service = spec.kind == JobKind::Service;
        let share = f64::from(spec.tasks) * settings.tuning.machine_share_of_service;
        let machine_share =
            Some(share.ceil() as usize).filter(|share| is_service && *share < spec.tasks as usize);
        let zone_count = settings.zones.len() as u32;
        let is_spread_evenly = settings.tuning.even_zone_spread
            && is_service
            && zone_count > 1
            && !spec.zone_affinity
            && spec.zone.is_none();
        let zone_spread = match cache.job(&work.job) {
            Some(job) if is_spread_evenly && machine_share.is_some() => {
                claims::zone_spread_of(&self.transaction, job, &work.job, &settings.zones)
            }
            _ => ZoneSpreadRecord::default(),
        };
        JobPlacement {
            spec,
            image: cache.image_id(&work.image),
            cached_image_only,
            machine_share,
            zone_share: is_spread_evenly.then(|| spec.tasks.div_ceil(zone_count)),
            zone_spread,
        }
    }

    /// Returns the machines that may take a task of the job, the best first.
    fn rank_machines(
        &self,
        job: &JobPlacement,
        work: &PendingWork,
        machines: &[Candidate],
    ) -> Vec<MachineRank> {
        let is_urgent = work.urgency.priority.0 >= JobPriority::High;
        let mut ranked = Vec::new();
        for (position, machine) in machines.iter().enumerate() {
            let record = machine.record;
            if !machine.free.fits(&work.resources)
                || !(job.spec).allows(&record.type_name, &record.zone, record.spot)
            {
                continue;
            }
            let is_avoided = work.avoided_machines.iter().any(|id| id == machine.id);
            if job.cached_image_only && (is_avoided || !machine.has_image(job.image)) {
                continue;
            }
            // Urgent work has to start at once, so it prefers machines that have the image sooner. Other work can
            // wait for the fetch.
            let fetch_s = match is_urgent && !job.cached_image_only {
                true => {
                    let own_fetch_ms = image_fetch_ms(self.view.machine_types, record, job.spec);
                    (machine.pending_fetch_ms + own_fetch_ms) / 1000
                }
                false => 0,
            };
            ranked.push(MachineRank {
                is_avoided,
                fetch_s,
                is_on_demand_for_spot_work: job.spec.spot && !record.spot,
                size_rank: self.size_rank(machine, job.spec),
                is_idle: !machine.is_busy,
                reports_elsewhere: !machine.reports_here,
                last_assigned_at: machine.last_assigned_at,
                position,
            });
        }
        ranked.sort();
        ranked
    }

    /// Returns the rank of a machine by its size. Services prefer the largest machines, whose caches come to hold
    /// all services' images, and batches use these last. The capacity reserved for the next service is then on
    /// machines where it starts without a fetch.
    fn size_rank(&self, machine: &Candidate, spec: &JobSpec) -> u64 {
        let machine_type = self.view.machine_types.get(&machine.record.type_name);
        let cpus = machine_type.map_or(0, |t| t.capacity.cpus);
        match spec.kind {
            JobKind::Service => u64::MAX - cpus,
            JobKind::Array if machine.record.spot => 0,
            JobKind::Array => cpus,
        }
    }

    /// Places tasks of a job on one machine while it may take them.
    fn place_on(
        &mut self,
        job: &mut JobPlacement,
        work: &mut PendingWork,
        machine: &mut Candidate,
        max_tasks: Option<usize>,
    ) -> Result<(), TransactionFull> {
        let mut tasks_on_machine = match max_tasks {
            Some(_) => self.assigned_on_machine(machine.id, &work.job),
            None => 0,
        };
        while let Some(task) = work.next_task() {
            if !machine.free.fits(&work.resources)
                || max_tasks.is_some_and(|max| tasks_on_machine >= max)
                || job.zone_has_its_share(&machine.record.zone, max_tasks)
                || !self.reserve.allows(work, machine.record)
                || remaining_zone_tasks(job.spec, &work.zone_spread, &machine.record.zone) == 0
            {
                break;
            }
            let index = task.index;
            match self.claim(task, machine) {
                Ok(()) => {
                    let zone = &machine.record.zone;
                    machine.free = machine.free.saturating_sub(&work.resources);
                    machine.is_busy = true;
                    self.reserve.assign(machine.record, work.resources.cpus);
                    *work.zone_spread.zones.entry(zone.clone()).or_default() += 1;
                    *job.zone_spread.zones.entry(zone.clone()).or_default() += 1;
                    work.indices.pop_front();
                    tasks_on_machine += 1;
                }
                Err(Refusal::TaskNotPending) => {
                    work.indices.pop_front();
                }
                // The chunk's other tasks wait until some of its tasks end. Tasks of other chunks are placed.
                Err(Refusal::ChunkFull) => {
                    let job = self.view.cache.job(&work.job);
                    let chunk_size = job.map_or(1, |job| job.tasks_per_chunk.max(1));
                    let full_chunk = index / chunk_size;
                    work.indices
                        .retain(|index| index / chunk_size != full_chunk);
                }
                Err(Refusal::TransactionFull) => return Err(TransactionFull),
                Err(
                    Refusal::JobClosed
                    | Refusal::Blocked
                    | Refusal::MachineUnavailable
                    | Refusal::MachineExcluded
                    | Refusal::TeamLimit
                    | Refusal::ChunkPaused,
                ) => break,
            }
        }
        Ok(())
    }

    /// Returns the number of a job's tasks that are assigned to a machine.
    fn assigned_on_machine(&self, machine: &str, job: &str) -> usize {
        let assignments = self.view.cache.assignments(machine);
        assignments.filter(|(task, _)| task.job == job).count()
    }

    /// Claims one task for a machine. A refusal leaves the plan unchanged.
    fn claim(&mut self, task: TaskId, machine: &Candidate) -> Result<(), Refusal> {
        let request = ClaimRequest {
            task: &task,
            machine: machine.id,
            free: machine.free,
            start_channel: machine.start_channel,
        };
        let (settings, wall_time) = (self.view.settings, self.view.wall_time);
        claims::claim(&mut self.transaction, settings, &request, wall_time)?;
        self.claims.push(PlannedClaim {
            task,
            machine: machine.id.to_string(),
        });
        Ok(())
    }
}

impl JobPlacement<'_> {
    /// Returns the steps in which machines are tried. A service that is spread first gives each machine its
    /// share and then fills the best machines.
    fn placement_steps(&self, ranked: &[MachineRank]) -> Vec<PlacementStep> {
        let all_machines = |max_tasks: Option<usize>| {
            ranked.iter().map(move |rank| PlacementStep {
                position: rank.position,
                max_tasks,
            })
        };
        match self.machine_share {
            Some(share) => all_machines(Some(share))
                .chain(all_machines(None))
                .collect(),
            None => all_machines(None).collect(),
        }
    }

    /// Returns whether a zone already holds its share of an evenly spread service. The share applies in steps that
    /// bound the tasks per machine or that consider only machines with the image. Tasks that remain after these steps
    /// may be placed in any zone.
    fn zone_has_its_share(&self, zone: &str, max_tasks: Option<usize>) -> bool {
        let share_applies = self.cached_image_only || max_tasks.is_some();
        let holds_share = |share| self.zone_spread.count(zone) >= share;
        share_applies && self.zone_share.is_some_and(holds_share)
    }
}
