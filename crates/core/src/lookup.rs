//! The lookup: waiting work grouped by capability set, machines matched to sets, and what
//! stays without a machine.
//!
//! As in the paper (section 5): each free machine names the set it serves best, per set the
//! machine idle longest wins, and one conditional transaction allocates it.

use crate::claims::{self, within_limit, zone_room};
use crate::constants::*;
use crate::model::*;
use crate::records::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What decides where a task fits. Jobs whose zones depend on their own other tasks form
/// sets of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapabilitySet {
    pub need: Room,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    pub image: String,
    pub own: Option<String>,
}

/// Order in which work is served: higher rank, then within the guarantee, then earliest due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    pub rank: std::cmp::Reverse<Rank>,
    pub borrowed: bool,
    pub due: WallMs,
}

/// One job's waiting tasks, as far as its team's limit lets them run.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub job: String,
    pub set: CapabilitySet,
    pub urgency: Urgency,
    pub indices: Vec<u32>,
    pub zones: PlaceRecord,
    pub at: WallMs,
}

/// When a job should be complete, as a time of day: its deadline, or what the objectives say
/// of its class - the first of these that it can still meet. What can meet none comes after
/// everything that can, since it is late in any case.
fn due(job: &JobRecord, spec: &JobSpec, settings: &Settings, wall: WallMs) -> WallMs {
    let run_ms = (spec.estimate_s * 1000.0 * FEASIBLE_SHARE) as u64;
    let deadline = spec.deadline_s.map(|d| (d.max(0.0) * 1000.0) as u64);
    let goals = settings.goals.get(&spec.class);
    deadline
        .iter()
        .chain(goals.into_iter().flatten())
        .map(|within| job.at + within)
        .find(|due| wall + run_ms <= *due)
        .unwrap_or(job.at + NO_GOAL_MS)
}

/// Waiting tasks in the order in which they should be served.
pub fn waiting(cache: &Cache, settings: &Settings, wall: WallMs) -> Vec<Waiting> {
    let mut found: Vec<Waiting> = Vec::new();
    for (id, job, _) in cache.jobs() {
        let Some(spec) = job.open() else { continue };
        let mut zones = cache.place(id).cloned().unwrap_or_default();
        let mut indices = Vec::new();
        let mut looked = 0;
        for n in 0..job.chunks() {
            if looked >= LOOKUP_CHUNKS {
                break;
            }
            match cache.chunk(id, n) {
                Some(chunk) => {
                    if job.chunks() == 1 {
                        for (_, _, zone) in chunk.booked() {
                            *zones.zones.entry(zone.clone()).or_default() += 1;
                        }
                    }
                    if chunk.pause_until > wall {
                        continue;
                    }
                    let before = indices.len();
                    indices.extend(
                        chunk
                            .tasks
                            .iter()
                            .enumerate()
                            .filter(|(_, t)| **t == TaskState::Waiting)
                            .map(|(i, _)| n * job.chunk + i as u32),
                    );
                    looked += u32::from(indices.len() > before);
                }
                None => {
                    let end = job.tasks.min((n + 1) * job.chunk);
                    indices.extend(n * job.chunk..end);
                    looked += 1;
                }
            }
        }
        if indices.is_empty() {
            continue;
        }
        let own = (spec.together || spec.scatter) && job.tasks > 1;
        found.push(Waiting {
            job: id.to_string(),
            set: CapabilitySet {
                need: spec.need,
                types: spec.types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                image: spec.image.clone(),
                own: own.then(|| id.to_string()),
            },
            urgency: Urgency {
                rank: std::cmp::Reverse(spec.rank),
                borrowed: false,
                due: due(job, spec, settings, wall),
            },
            indices,
            zones,
            at: job.at,
        });
    }
    // Guarantees are handed out in order of rank and due time, then limits are applied.
    found.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    let mut usage: BTreeMap<String, TeamRecord> = cache
        .teams()
        .map(|(name, t, _)| (name.to_string(), t.clone()))
        .collect();
    let mut kept = Vec::new();
    for mut w in found {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let Some(team) = settings.teams.get(&spec.team) else {
            continue;
        };
        let used = usage.entry(spec.team.clone()).or_default();
        let mut allowed = 0;
        while allowed < w.indices.len() && within_limit(team, used, &spec.need) {
            if allowed == 0 {
                w.urgency.borrowed = used.cpus + spec.need.cpus > team.cpus
                    || used.gpus + spec.need.gpus > team.gpus;
            }
            used.cpus += spec.need.cpus;
            used.gpus += spec.need.gpus;
            allowed += 1;
        }
        w.indices.truncate(allowed);
        if !w.indices.is_empty() {
            kept.push(w);
        }
    }
    kept.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    kept.truncate(LOOKUP_JOBS);
    kept
}

/// A machine with room, as the lookup sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub id: String,
    pub room: Room,
    /// Revision of its last change: the lowest has been left alone longest.
    pub stamp: u64,
    /// How a start would get there from this node.
    pub carrier: claims::Carrier,
}

#[derive(Debug, Default)]
pub struct Plan {
    pub txn: Txn,
    pub claimed: Vec<(TaskId, String)>,
    /// Whether the plan ended for lack of space in the transaction rather than of work.
    pub full: bool,
}

/// Room on ordinary machines, per zone, that work of lower rank leaves to services: enough
/// for the largest service there is. Services start at once or late; a batch can wait.
struct Reserve {
    per_zone: u64,
    /// Free and whole room per zone.
    free: BTreeMap<String, (u64, u64)>,
    wall: WallMs,
}

impl Reserve {
    fn new(
        cache: &Cache,
        settings: &Settings,
        types: &HashMap<String, MachineType>,
        machines: &[Candidate],
        wall: WallMs,
    ) -> Reserve {
        let largest = cache
            .jobs()
            .filter_map(|(_, j, _)| j.open())
            .filter(|s| s.shape == Shape::Service && s.rank == Rank::Production)
            .map(|s| s.need.cpus.saturating_mul(s.tasks as u64))
            .max()
            .unwrap_or(0);
        let mut free: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for c in machines {
            if let Some(m) = cache.machine(&c.id).filter(|m| !m.spot) {
                let (free, whole) = free.entry(m.zone.clone()).or_default();
                *free += c.room.cpus;
                *whole += types.get(&m.type_name).map_or(0, |t| t.room.cpus);
            }
        }
        Reserve {
            per_zone: largest * RESERVE_SERVICES / settings.zones.len().max(1) as u64,
            free,
            wall,
        }
    }
    fn allows(&self, waiting: &Waiting, machine: &MachineRecord) -> bool {
        let (free, whole) = self.free.get(&machine.zone).copied().unwrap_or_default();
        let kept = self.per_zone.min(whole / RESERVE_PART);
        machine.spot
            || waiting.urgency.rank.0 == Rank::Production
            || free >= kept + waiting.set.need.cpus
            || self.wall > waiting.at + RESERVE_PATIENCE_MS
    }
    fn take(&mut self, machine: &MachineRecord, cpus: u64) {
        if !machine.spot {
            let (free, _) = self.free.entry(machine.zone.clone()).or_default();
            *free = free.saturating_sub(cpus);
        }
    }
}

/// One round of the paper's lookup, packed into one transaction: candidates are chosen and
/// claimed until no free machine serves any set, or the transaction is full.
pub fn plan(
    cache: &Cache,
    settings: &Settings,
    types: &HashMap<String, MachineType>,
    work: &mut [Waiting],
    machines: &mut [Candidate],
    wall: WallMs,
) -> Plan {
    let mut draft = Draft::new(cache);
    let mut result = Plan::default();
    let mut barred: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut reserve = Reserve::new(cache, settings, types, machines, wall);
    loop {
        let picks = select(cache, work, machines, &barred, &reserve);
        if picks.is_empty() {
            break;
        }
        let mut any = false;
        for (w, m) in picks {
            let waiting = &mut work[w];
            let machine = &mut machines[m];
            let Some(record) = cache.machine(&machine.id) else {
                barred.insert((w, m));
                continue;
            };
            let Some(kind) = types.get(&record.type_name) else {
                barred.insert((w, m));
                continue;
            };
            let mut took = 0;
            while let Some(&index) = waiting.indices.first() {
                if !machine.room.fits(&waiting.set.need) || !reserve.allows(waiting, record) {
                    break;
                }
                let task = TaskId {
                    job: waiting.job.clone(),
                    index,
                };
                let mark = draft.save();
                let got = claims::claim(
                    &mut draft,
                    settings,
                    kind,
                    &machine.id,
                    &task,
                    machine.carrier,
                    wall,
                );
                if got.is_ok() && !draft.within(settings.txn_ops) {
                    draft.restore(mark);
                    result.full = true;
                    result.txn = draft.finish();
                    return result;
                }
                match got {
                    Ok(()) => {
                        machine.room = machine.room.less(&waiting.set.need);
                        reserve.take(record, waiting.set.need.cpus);
                        *waiting.zones.zones.entry(record.zone.clone()).or_default() += 1;
                        waiting.indices.remove(0);
                        result.claimed.push((task, machine.id.clone()));
                        took += 1;
                        any = true;
                    }
                    Err(claims::Refusal::TaskTaken) => {
                        draft.restore(mark);
                        waiting.indices.remove(0);
                    }
                    Err(_) => {
                        draft.restore(mark);
                        break;
                    }
                }
            }
            if took == 0 {
                barred.insert((w, m));
            }
        }
        if !any && barred.len() > work.len() * machines.len() {
            break;
        }
        if draft.bytes() > TXN_BYTES / 2 {
            result.full = true;
            break;
        }
    }
    result.txn = draft.finish();
    result
}

/// How well a machine serves a set, best first: image there, not an ordinary machine for
/// work that may use spot ones, in use already, left alone longest.
type Grade = (bool, bool, bool, u64);

/// For each free machine the waiting work it serves best; for each set the best machine.
fn select(
    cache: &Cache,
    work: &[Waiting],
    machines: &[Candidate],
    barred: &BTreeSet<(usize, usize)>,
    reserve: &Reserve,
) -> Vec<(usize, usize)> {
    let mut best: BTreeMap<&CapabilitySet, (usize, usize, Grade)> = BTreeMap::new();
    for (m, machine) in machines.iter().enumerate() {
        let Some(record) = cache.machine(&machine.id) else {
            continue;
        };
        // Work comes in order of urgency; among equals the image that is there decides.
        let mut choice: Option<(usize, bool)> = None;
        for (w, waiting) in work.iter().enumerate() {
            if waiting.indices.is_empty()
                || barred.contains(&(w, m))
                || !machine.room.fits(&waiting.set.need)
                || !reserve.allows(waiting, record)
                || zone_room(spec_of(cache, waiting), &waiting.zones, &record.zone) == 0
                || !spec_of(cache, waiting).allows(&record.type_name, &record.zone, record.spot)
            {
                continue;
            }
            let warm = record.has_image(&waiting.set.image);
            match choice {
                None => choice = Some((w, warm)),
                Some((c, false)) if warm && same_class(&work[c].urgency, &waiting.urgency) => {
                    choice = Some((w, true));
                }
                Some((c, _)) if !same_class(&work[c].urgency, &waiting.urgency) => break,
                _ => {}
            }
            if choice.is_some_and(|(_, warm)| warm) {
                break;
            }
        }
        let Some((w, warm)) = choice else { continue };
        let waiting = &work[w];
        // Work that may use spot machines leaves the ordinary ones to work that may not.
        // Machines in use fill up before empty ones, so that these can be returned.
        let grade = (
            !warm,
            waiting.set.spot && !record.spot,
            record.bookings.is_empty(),
            machine.stamp,
        );
        match best.get(&waiting.set) {
            Some((_, _, held)) if *held <= grade => {}
            _ => {
                best.insert(&waiting.set, (w, m, grade));
            }
        }
    }
    let mut picks: Vec<(usize, usize)> = best.values().map(|(w, m, _)| (*w, *m)).collect();
    picks.sort();
    picks
}

fn same_class(a: &Urgency, b: &Urgency) -> bool {
    a.rank == b.rank && a.borrowed == b.borrowed
}

fn spec_of<'a>(cache: &'a Cache, waiting: &Waiting) -> &'a JobSpec {
    // `waiting` was made from this cache's open jobs within the same step.
    cache
        .open_job(&waiting.job)
        .expect("waiting work belongs to an open job")
}
