//! Placement: pending work matched to candidate machines, packed into one transaction.
//!
//! As in the paper (section 5): each free machine names the work it serves best, for each job the
//! machine idle longest wins, and one conditional transaction allocates it.

use crate::model::{JobKind, JobPriority, JobSpec, Millis, TaskId};
use crate::scheduling::candidates::{fetch_ms, min_request, Candidate};
use crate::scheduling::claims::{self, zone_room, ClaimRequest, Refusal};
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::service_reserve::ServiceReserve;
use crate::state::{CasTransaction, TransactionBuilder, ZoneSpreadRecord};

/// A task that a plan claims for a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedClaim {
    pub task: TaskId,
    pub machine: String,
}

/// A machine that will fetch an image for the plan, and the milliseconds it will be fetching then.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFetch {
    pub machine: String,
    pub fetch_ms: Millis,
}

/// What a scheduling pass places.
#[derive(Debug, Default)]
pub struct Plan {
    pub transaction: CasTransaction,
    pub claims: Vec<PlannedClaim>,
    pub fetches: Vec<PlannedFetch>,
    /// The plan ended for lack of space in the transaction rather than of work.
    pub is_transaction_full: bool,
}

/// The transaction holds no more changes.
struct TransactionFull;

/// Places pending work, which is in order of urgency, by a transaction of at most `max_changes` changes.
/// Within a group of equal urgency a machine first serves the jobs whose image it has. Per job the best
/// machine wins, and is filled. Tasks that are placed are taken out of `work`.
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
    // Claims only take resources: a machine too full for all the work now remains so in this pass.
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

/// How well a machine serves a job: the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// Tasks of the job failed on it. A faulty machine is soon free again, and would attract all pending work.
    is_avoided: bool,
    /// Seconds until it has the image, where that matters.
    fetch_s: Millis,
    /// An ordinary machine for work that may use spot ones.
    is_ordinary_for_spot: bool,
    /// How far it is from the right size.
    size: u64,
    is_idle: bool,
    reports_elsewhere: bool,
    last_assigned_at: Millis,
    /// Its position among the candidates.
    position: usize,
}

/// A machine, by its position, on which tasks of a job are to be placed next.
struct Visit {
    position: usize,
    /// The most tasks of the job that the machine may hold in this visit, if there is a bound.
    max_tasks: Option<usize>,
}

/// The placement of one job's tasks.
struct JobPlacement<'a> {
    spec: &'a JobSpec,
    image: Option<u32>,
    /// Only machines that have its image, and on which it has not failed.
    cached_image_only: bool,
    /// Of a service that others serve as well: tasks that one machine gets at first.
    machine_share: Option<usize>,
    /// Of a service that is spread evenly: tasks that one zone gets at first.
    zone_share: Option<u32>,
    /// Its tasks by zone, as far as the zone share counts them.
    zones: ZoneSpreadRecord,
}

/// A plan in the making.
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

    /// Places a job's pending tasks on the machines that suit it best, until there are no more.
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
        for visit in job.visits(&ranked) {
            let machine = &mut machines[visit.position];
            let claims_before = self.claims.len();
            self.place_on(&mut job, work, machine, visit.max_tasks)?;
            if !machine.has_image(job.image) && self.claims.len() > claims_before {
                machine.fetch_ms += fetch_ms(self.view.machine_types, machine.record, spec);
                self.fetches.push(PlannedFetch {
                    machine: machine.id.to_string(),
                    fetch_ms: machine.fetch_ms,
                });
            }
            if work.indices.is_empty() {
                break;
            }
        }
        Ok(())
    }

    /// How a job is spread. The loss of one machine, or of a zone, is to take a bounded part of a service
    /// where others can serve it as well: first each gets its share at most, then what is left goes to the
    /// best. Of zones that holds also where only one has the image: a fetch is short, a zone's loss is not.
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
        let is_spread_evenly = settings.tuning.even_spread
            && is_service
            && zone_count > 1
            && !spec.zone_affinity
            && spec.zone.is_none();
        let zones = match cache.job(&work.job) {
            Some(job) if is_spread_evenly && machine_share.is_some() => {
                claims::zones_of(&self.transaction, job, &work.job, &settings.zones)
            }
            _ => ZoneSpreadRecord::default(),
        };
        JobPlacement {
            spec,
            image: cache.image_id(&work.image),
            cached_image_only,
            machine_share,
            zone_share: is_spread_evenly.then(|| spec.tasks.div_ceil(zone_count)),
            zones,
        }
    }

    /// Machines that may take a task of the job, the best first.
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
            // Urgent work has to start at once: a machine that fetches its image sooner comes before others.
            // The rest can wait for it.
            let fetch_s = match is_urgent && !job.cached_image_only {
                true => {
                    let own_ms = fetch_ms(self.view.machine_types, record, job.spec);
                    (machine.fetch_ms + own_ms) / 1000
                }
                false => 0,
            };
            ranked.push(MachineRank {
                is_avoided,
                fetch_s,
                is_ordinary_for_spot: job.spec.spot && !record.spot,
                size: self.size_rank(machine, job.spec),
                is_idle: !machine.is_busy,
                reports_elsewhere: !machine.reports_here,
                last_assigned_at: machine.last_assigned_at,
                position,
            });
        }
        ranked.sort();
        ranked
    }

    /// Services gather on the largest ordinary machines, whose caches come to hold all their images, and
    /// other work uses these last: capacity kept for the next service is then where it starts without a fetch.
    fn size_rank(&self, machine: &Candidate, spec: &JobSpec) -> u64 {
        let machine_type = self.view.machine_types.get(&machine.record.type_name);
        let cpus = machine_type.map_or(0, |t| t.room.cpus);
        match spec.kind {
            JobKind::Service => u64::MAX - cpus,
            JobKind::Array if machine.record.spot => 0,
            JobKind::Array => cpus,
        }
    }

    /// Places tasks of a job on one machine as long as it may take them.
    fn place_on(
        &mut self,
        job: &mut JobPlacement,
        work: &mut PendingWork,
        machine: &mut Candidate,
        max_tasks: Option<usize>,
    ) -> Result<(), TransactionFull> {
        let mut tasks_there = match max_tasks {
            Some(_) => self.assigned_there(machine.id, &work.job),
            None => 0,
        };
        while let Some(task) = work.next_task() {
            if !machine.free.fits(&work.resources)
                || max_tasks.is_some_and(|max| tasks_there >= max)
                || job.has_zone_share(&machine.record.zone, max_tasks)
                || !self.reserve.allows(work, machine.record)
                || zone_room(job.spec, &work.zones, &machine.record.zone) == 0
            {
                break;
            }
            let index = task.index;
            match self.claim(task, machine) {
                Ok(()) => {
                    let zone = &machine.record.zone;
                    machine.free = machine.free.less(&work.resources);
                    machine.is_busy = true;
                    self.reserve.assign(machine.record, work.resources.cpus);
                    *work.zones.zones.entry(zone.clone()).or_default() += 1;
                    *job.zones.zones.entry(zone.clone()).or_default() += 1;
                    work.indices.pop_front();
                    tasks_there += 1;
                }
                Err(Refusal::TaskTaken) => {
                    work.indices.pop_front();
                }
                // The rest of that chunk has to wait for tasks of it to end; others go on.
                Err(Refusal::ChunkFull) => {
                    let job = self.view.cache.job(&work.job);
                    let chunk_size = job.map_or(1, |job| job.tasks_per_chunk.max(1));
                    let chunk = index / chunk_size;
                    work.indices.retain(|index| index / chunk_size != chunk);
                }
                Err(Refusal::Full) => return Err(TransactionFull),
                Err(
                    Refusal::JobOver
                    | Refusal::Blocked
                    | Refusal::MachineBusy
                    | Refusal::WrongPlace
                    | Refusal::TeamLimit
                    | Refusal::Paused,
                ) => break,
            }
        }
        Ok(())
    }

    /// Tasks of a job that are assigned to a machine.
    fn assigned_there(&self, machine: &str, job: &str) -> usize {
        let assignments = self.view.cache.assignments(machine);
        assignments.filter(|(task, _)| task.job == job).count()
    }

    /// Claims one task for a machine; a refusal leaves the plan as it was.
    fn claim(&mut self, task: TaskId, machine: &Candidate) -> Result<(), Refusal> {
        let request = ClaimRequest {
            task: &task,
            machine: machine.id,
            free: machine.free,
            carrier: machine.carrier,
        };
        let (settings, wall) = (self.view.settings, self.view.wall);
        claims::claim(&mut self.transaction, settings, &request, wall)?;
        self.claims.push(PlannedClaim {
            task,
            machine: machine.id.to_string(),
        });
        Ok(())
    }
}

impl JobPlacement<'_> {
    /// Machines in the order in which they are tried: a service that is spread first gives each its share,
    /// then fills the best.
    fn visits(&self, ranked: &[MachineRank]) -> Vec<Visit> {
        let all = |max_tasks: Option<usize>| {
            ranked.iter().map(move |rank| Visit {
                position: rank.position,
                max_tasks,
            })
        };
        match self.machine_share {
            Some(share) => all(Some(share)).chain(all(None)).collect(),
            None => all(None).collect(),
        }
    }

    /// Whether a zone holds its share of an evenly spread service. The share binds while machines are given
    /// their shares, or have the image; what is left after that goes wherever it fits.
    fn has_zone_share(&self, zone: &str, max_tasks: Option<usize>) -> bool {
        let is_bound = self.cached_image_only || max_tasks.is_some();
        let has_share = |share| self.zones.count(zone) >= share;
        is_bound && self.zone_share.is_some_and(has_share)
    }
}
