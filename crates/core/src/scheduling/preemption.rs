//! Preemption: which tasks to stop so that waiting work gets room: those of lower rank, and, for
//! work within its team's guarantee, what other teams run beyond theirs.

use crate::constants::*;
use crate::model::*;
use crate::scheduling::claims::zone_room;
use crate::scheduling::placement::Waiting;
use crate::settings::*;
use crate::state::*;
use foldhash::HashMap;
use std::collections::BTreeMap;

/// A machine as it will be once the stops under way have taken effect.
struct Coming<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    room: Room,
    /// What of it is free already.
    free: Room,
    victims: Vec<Victim<'a>>,
}

impl Coming<'_> {
    /// Room there for a claimant. What is free now on ordinary machines found no use for urgent
    /// work that takes no others: it is kept for services, and nothing would come of waiting for it.
    fn room_for(&self, claimant: &Claimant) -> Room {
        let urgent = claimant.rank == Rank::High && !claimant.open;
        let kept = urgent && !claimant.spec.spot && !self.record.spot;
        match kept {
            true => self.room.less(&self.free),
            false => self.room,
        }
    }
}

struct Victim<'a> {
    task: TaskId,
    team: &'a str,
    need: Room,
    rank: Rank,
    service: bool,
    /// Milliseconds of work that stopping it wastes.
    waste: Millis,
}

/// What teams run beyond their guarantees, apart from what is being stopped.
type Borrowed<'a> = BTreeMap<&'a str, u64>;

/// For whom room is made.
struct Claimant<'a> {
    spec: &'a JobSpec,
    rank: Rank,
    within: bool,
    /// Its team is beyond its guarantee.
    borrowed: bool,
    waste: Millis,
    /// The room that is kept for services is open to it.
    open: bool,
}

impl Claimant<'_> {
    /// Whether a task may be stopped for it, by rank or since its team gives back what it
    /// borrowed. Services are not moved about for that: they are down meanwhile.
    fn may_stop(&self, v: &Victim, borrowed: &Borrowed) -> bool {
        let lent = || {
            self.within
                && !v.service
                && v.team != self.spec.team
                && borrowed
                    .get(v.team)
                    .is_some_and(|cpus| *cpus >= v.need.cpus)
        };
        // Beyond its own guarantee a team's batches stop nothing of what others are guaranteed: that would
        // get its room back by the same right, and so on.
        let beyond = || {
            self.borrowed
                && self.rank != Rank::Production
                && v.team != self.spec.team
                && borrowed.get(v.team).is_none_or(|cpus| *cpus < v.need.cpus)
        };
        v.waste <= self.waste && (v.rank < self.rank && !beyond() || lent())
    }
}

fn give_back(borrowed: &mut Borrowed, v: &Victim) {
    if let Some(cpus) = borrowed.get_mut(v.team) {
        *cpus = cpus.saturating_sub(v.need.cpus);
    }
}

/// What there is to choose from.
pub struct Site<'a> {
    pub cache: &'a Cache,
    pub settings: &'a Settings,
    pub types: &'a HashMap<String, MachineType>,
}

/// Tasks of a job that could soon be on machines with its image, if what is of lower rank there is
/// stopped.
pub fn warm_room(
    site: &Site,
    work: &Waiting,
    usable: impl Fn(&str) -> bool,
    rank: impl Fn(&str, &JobSpec) -> Rank,
) -> u64 {
    let Some(spec) = site.cache.open_job(&work.job) else {
        return 0;
    };
    let mut tasks = 0;
    for (id, m, _) in site.cache.machines() {
        let fits = m.phase == MachinePhase::Up
            && site.cache.has_image(id, &spec.image)
            && spec.allows(&m.type_name, &m.zone, m.spot)
            && zone_room(spec, &work.zones, &m.zone) > 0
            && usable(id);
        let Some(kind) = site.types.get(&m.type_name).filter(|_| fits) else {
            continue;
        };
        let mut staying = Room::default();
        for (task, p) in site.cache.bookings(id) {
            let lower = |s: &JobSpec| s.shape == Shape::Array && rank(&task.job, s) < work.own_rank;
            if !site.cache.open_job(&task.job).is_some_and(lower) {
                staying = staying.plus(&p.need);
            }
        }
        tasks += kind.room.less(&staying).count(&spec.need);
    }
    tasks
}

/// Tasks to stop, with their machines, so that waiting work gets started.
/// `age` tells how long an attempt has been booked, `rank` what a job counts as for the sake of
/// those that need it, `spared` whether an attempt is about to end by itself.
pub fn victims(
    site: Site,
    work: &[Waiting],
    usable: impl Fn(&str) -> bool,
    age: impl Fn(u64) -> Millis,
    rank: impl Fn(&str, &JobSpec) -> Rank,
    spared: impl Fn(&TaskId, u64) -> bool,
    open: Option<Rank>,
) -> Vec<(String, TaskId)> {
    let Site {
        cache,
        settings,
        types,
    } = site;
    let mut machines: Vec<Coming> = Vec::new();
    let mut borrowed = Borrowed::new();
    let mut lowest = Rank::Production;
    for (id, m, _) in cache.machines() {
        let Some(kind) = types
            .get(&m.type_name)
            .filter(|_| m.phase == MachinePhase::Up && usable(id))
        else {
            continue;
        };
        let mut staying = Room::default();
        let mut victims = Vec::new();
        for (task, p) in cache.bookings(id).filter(|(_, p)| p.booking.stop.is_none()) {
            staying = staying.plus(&p.need);
            if let Some(spec) = cache.open_job(&task.job) {
                let saved = spec.checkpoint_s > 0.0;
                *borrowed.entry(&spec.team).or_default() += p.need.cpus;
                let rank = rank(&task.job, spec);
                lowest = lowest.min(rank);
                if spared(task, p.booking.attempt) {
                    continue;
                }
                victims.push(Victim {
                    task: task.clone(),
                    team: &spec.team,
                    need: p.need,
                    rank,
                    service: spec.shape == Shape::Service,
                    waste: if saved { 0 } else { age(p.booking.attempt) },
                });
            }
        }
        victims.sort_by_key(|v| v.waste);
        machines.push(Coming {
            id,
            record: m,
            room: kind.room.less(&staying),
            free: kind.room.less(&cache.used(id)),
            victims,
        });
    }
    for (name, cpus) in &mut borrowed {
        let guarantee = settings.policy.teams.get(*name).map_or(0, |t| t.cpus);
        *cpus = cpus.saturating_sub(guarantee);
    }
    let mut stops = Vec::new();
    for w in work {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let lent = w.within && borrowed.values().any(|cpus| *cpus > 0);
        let rank = w.own_rank;
        if lowest >= rank && !lent {
            continue;
        }
        let claimant = Claimant {
            spec,
            rank,
            within: w.within,
            borrowed: w.urgency.borrowed,
            open: open.is_some_and(|lowest| rank > lowest),
            waste: match rank {
                Rank::Production => Millis::MAX,
                _ => PREEMPT_WASTE_MS,
            },
        };
        let mut zones = w.zones.clone();
        for _ in 0..w.indices.len().min(PREEMPT_TASKS) {
            let fits = |m: &Coming| {
                spec.allows(&m.record.type_name, &m.record.zone, m.record.spot)
                    && zone_room(spec, &zones, &m.record.zone) > 0
                    && (!w.warm_only || cache.has_image(m.id, &spec.image))
            };
            if let Some(m) = machines
                .iter_mut()
                .find(|m| fits(m) && m.room_for(&claimant).fits(&spec.need))
            {
                // Room that is free already, or being made.
                m.room = m.room.less(&spec.need);
                *zones.zones.entry(m.record.zone.clone()).or_default() += 1;
                continue;
            }
            if stops.len() >= PREEMPT_TASKS {
                break;
            }
            let best = machines
                .iter()
                .enumerate()
                .filter(|(_, m)| fits(m))
                .filter_map(|(i, m)| {
                    let (count, waste) = enough(m, &claimant, &borrowed)?;
                    Some((!cache.has_image(m.id, &spec.image), waste, count, i))
                })
                .min();
            let Some((_, _, count, i)) = best else { break };
            let m = &mut machines[i];
            let mut taken = 0;
            let mut kept = Vec::new();
            for v in std::mem::take(&mut m.victims) {
                if taken < count && claimant.may_stop(&v, &borrowed) {
                    taken += 1;
                    give_back(&mut borrowed, &v);
                    m.room = m.room.plus(&v.need);
                    stops.push((m.id.to_string(), v.task));
                } else {
                    kept.push(v);
                }
            }
            m.victims = kept;
            m.room = m.room.less(&spec.need);
            *zones.zones.entry(m.record.zone.clone()).or_default() += 1;
        }
    }
    stops
}

/// How many victims, the least wasteful first, make enough room, and what that wastes.
fn enough(m: &Coming, claimant: &Claimant, borrowed: &Borrowed) -> Option<(usize, Millis)> {
    let mut room = m.room_for(claimant);
    let mut waste: Millis = 0;
    let mut count = 0;
    let mut borrowed = std::borrow::Cow::Borrowed(borrowed);
    for v in &m.victims {
        if !claimant.may_stop(v, &borrowed) {
            continue;
        }
        if borrowed.contains_key(v.team) {
            give_back(borrowed.to_mut(), v);
        }
        room = room.plus(&v.need);
        waste = waste.saturating_add(v.waste);
        count += 1;
        if room.fits(&claimant.spec.need) {
            return Some((count, waste));
        }
    }
    None
}
