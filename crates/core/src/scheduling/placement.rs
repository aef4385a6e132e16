//! Placement: pending work matched to candidate machines, packed into one transaction.
//!
//! As in the paper (section 5): each free machine names the set it serves best, per set the
//! machine idle longest wins, and one conditional transaction allocates it.

use crate::model::{JobKind, JobPriority, JobSpec, MachineType, Millis, TaskId, WallMs};
use crate::scheduling::candidates::{fetch_ms, least_need, Candidate};
use crate::scheduling::claims::{self, zone_room};
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::service_reserve::ServiceReserve;
use crate::scheduling::urgency::same_class;
use crate::settings::Settings;
use crate::state::{
    CasTransaction, MachineRecord, StateCache, TransactionBuilder, ZoneSpreadRecord,
};
use foldhash::HashMap;

#[derive(Debug, Default)]
pub struct Plan {
    pub transaction: CasTransaction,
    pub claimed: Vec<(TaskId, String)>,
    /// Machines that will fetch images for it, and how long they will be fetching then.
    pub fetches: Vec<(String, Millis)>,
    /// Whether the plan ended for lack of space in the transaction rather than of work.
    pub full: bool,
}

/// The paper's scheduling pass, packed into one transaction. Sets are served in order of urgency; in
/// a class of equal urgency a machine first serves the sets whose image it has. Per set the
/// best machine wins, and is filled. The transaction makes `most` changes.
pub fn plan(
    cache: &StateCache,
    settings: &Settings,
    machine_types: &HashMap<String, MachineType>,
    work: &mut [PendingWork],
    machines: &mut Vec<Candidate>,
    most: usize,
    wall: WallMs,
) -> Plan {
    let round = PlacementPass {
        cache,
        settings,
        machine_types,
        wall,
    };
    let mut draft = TransactionBuilder::limited(cache, most);
    let mut result = Plan::default();
    let mut reserve = ServiceReserve::new(cache, settings, machine_types, work, machines, wall);
    // Claims only take room: what fits none of the work now never will in this scheduling pass.
    let least = least_need(work);
    machines.retain(|m| m.room.fits(&least));
    let classes = work.chunk_by_mut(|a, b| same_class(&a.urgency, &b.urgency));
    'all: for class in classes {
        for warm in [true, false] {
            for waiting in class.iter_mut() {
                let placed = round.serve(&mut draft, &mut reserve, waiting, machines, warm);
                result.claimed.extend(placed.claimed);
                result.fetches.extend(placed.fetches);
                if placed.full {
                    result.full = true;
                    break 'all;
                }
            }
        }
    }
    result.transaction = draft.finish();
    result
}

#[derive(Default)]
struct Placement {
    claimed: Vec<(TaskId, String)>,
    fetches: Vec<(String, Millis)>,
    full: bool,
}

/// What one scheduling pass rests on.
struct PlacementPass<'a> {
    cache: &'a StateCache,
    settings: &'a Settings,
    machine_types: &'a HashMap<String, MachineType>,
    wall: WallMs,
}

/// How well a machine serves a set, best first: image there soon, not an ordinary machine for
/// work that may use spot ones, of the right size, in use already, reporting here, left alone
/// longest.
type Grade = (Millis, bool, u64, bool, bool, Millis);

impl PlacementPass<'_> {
    /// Places a job's waiting tasks on the machines that suit it best, until there are no more
    /// or the transaction is full.
    fn serve(
        &self,
        draft: &mut TransactionBuilder,
        reserve: &mut ServiceReserve,
        waiting: &mut PendingWork,
        machines: &mut [Candidate],
        warm: bool,
    ) -> Placement {
        let mut placement = Placement::default();
        let Some(spec) = self.cache.open_job(&waiting.job) else {
            return placement;
        };
        if waiting.indices.is_empty() || waiting.warm_only && !warm {
            return placement;
        }
        let image = self.cache.image_id(&waiting.set.image);
        let has_image = |machine: &Candidate| {
            image.is_some_and(|image| machine.images.iter().any(|(i, _)| *i == image))
        };
        let urgent = waiting.urgency.priority.0 >= JobPriority::High;
        let mut best: Vec<(bool, Grade, usize)> = Vec::new();
        for (m, machine) in machines.iter().enumerate() {
            let record = machine.record;
            if machine.room.fits(&waiting.set.resources)
                && (!warm || has_image(machine) && !waiting.avoid.iter().any(|id| id == machine.id))
                && spec.allows(&record.type_name, &record.zone, record.spot)
            {
                // A machine at fault is soon free again, and would draw all that waits.
                let avoided = waiting.avoid.iter().any(|id| id == machine.id);
                best.push((
                    avoided,
                    self.grade(machine, record, spec, warm || !urgent),
                    m,
                ));
            }
        }
        best.sort();
        // What one machine's loss takes of a service is bounded where others serve it as well: first
        // each gets its part at most, then what is left goes to the best.
        let part =
            (f64::from(spec.tasks) * self.settings.tuning.machine_share_of_service).ceil() as usize;
        let service = spec.kind == JobKind::Service;
        let spreads = service && part < spec.tasks as usize;
        // The same of zones, also where only one has the image: a fetch is short, a zone's loss is not.
        let zones = self.settings.zones.len() as u32;
        let even = self.settings.tuning.even_spread
            && service
            && zones > 1
            && !spec.zone_affinity
            && spec.zone.is_none();
        let mut in_zones = match even && spreads {
            true => self
                .cache
                .job(&waiting.job)
                .map_or(ZoneSpreadRecord::default(), |job| {
                    claims::zones_of(draft, job, &waiting.job, &self.settings.zones)
                }),
            false => ZoneSpreadRecord::default(),
        };
        let zone_part = spec.tasks.div_ceil(zones.max(1));
        let best: Vec<(usize, usize)> = match spreads {
            true => {
                let first = best.iter().map(|(_, _, m)| (*m, part));
                let then = best.iter().map(|(_, _, m)| (*m, usize::MAX));
                first.chain(then).collect()
            }
            false => best.iter().map(|(_, _, m)| (*m, usize::MAX)).collect(),
        };
        for (m, most) in best {
            let machine = &mut machines[m];
            let record = machine.record;
            let mut there = match most {
                usize::MAX => 0,
                _ => self.of_job(machine.id, &waiting.job),
            };
            let before = placement.claimed.len();
            while let Some(&index) = waiting.indices.front() {
                if !machine.room.fits(&waiting.set.resources)
                    || there >= most
                    || even
                        && (warm || most != usize::MAX)
                        && in_zones.count(&record.zone) >= zone_part
                    || !reserve.allows(waiting, record)
                    || zone_room(spec, &waiting.zones, &record.zone) == 0
                {
                    break;
                }
                let task = TaskId {
                    job: waiting.job.clone(),
                    index,
                };
                let (room, carrier) = (machine.room, machine.carrier);
                match claims::claim(
                    draft,
                    self.settings,
                    machine.id,
                    &room,
                    &task,
                    carrier,
                    self.wall,
                ) {
                    Ok(()) => {
                        machine.room = machine.room.less(&waiting.set.resources);
                        machine.busy = true;
                        reserve.take(record, waiting.set.resources.cpus);
                        *waiting.zones.zones.entry(record.zone.clone()).or_default() += 1;
                        waiting.indices.pop_front();
                        there += 1;
                        *in_zones.zones.entry(record.zone.clone()).or_default() += 1;
                        placement.claimed.push((task, machine.id.to_string()));
                    }
                    Err(claims::Refusal::TaskTaken) => {
                        waiting.indices.pop_front();
                    }
                    // The rest of that chunk has to wait for tasks of it to end; others go on.
                    Err(claims::Refusal::ChunkFull) => {
                        let size = self.cache.job(&waiting.job).map_or(1, |j| j.chunk.max(1));
                        waiting.indices.retain(|i| i / size != index / size);
                    }
                    Err(claims::Refusal::Full) => {
                        placement.full = true;
                        return placement;
                    }
                    Err(_) => break,
                }
            }
            if !has_image(machine) && placement.claimed.len() > before {
                machine.fetch_ms += self.fetch_ms(record, spec);
                placement
                    .fetches
                    .push((machine.id.to_string(), machine.fetch_ms));
            }
            if waiting.indices.is_empty() {
                break;
            }
        }
        placement
    }

    /// Tasks of a job that are assigned to a machine.
    fn of_job(&self, id: &str, job: &str) -> usize {
        let assignments = self.cache.assignments(id);
        assignments.filter(|(task, _)| task.job == job).count()
    }

    fn fetch_ms(&self, record: &MachineRecord, spec: &JobSpec) -> Millis {
        fetch_ms(self.machine_types, record, spec)
    }

    fn grade(
        &self,
        machine: &Candidate,
        record: &MachineRecord,
        spec: &JobSpec,
        no_fetch_matters: bool,
    ) -> Grade {
        // Services gather on the largest ordinary machines, whose caches come to hold all their
        // images, and other work leaves these for last: what room is kept for the next service
        // is then where it starts without a fetch.
        let cpus = self
            .machine_types
            .get(&record.type_name)
            .map_or(0, |t| t.room.cpus);
        let size = match spec.kind {
            JobKind::Service => u64::MAX - cpus,
            JobKind::Array if record.spot => 0,
            JobKind::Array => cpus,
        };
        // Work of high rank has to start at once: a machine that fetches its image sooner
        // comes before others. The rest can wait for it.
        let fetch_s = match no_fetch_matters {
            true => 0,
            false => (machine.fetch_ms + self.fetch_ms(record, spec)) / 1000,
        };
        (
            fetch_s,
            spec.spot && !record.spot,
            size,
            !machine.busy,
            !machine.own,
            machine.used_at,
        )
    }
}
