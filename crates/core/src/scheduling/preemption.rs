//! Preemption: which tasks to stop so that waiting work gets room: those of lower rank, and, for
//! work within its team's guarantee, what other teams run beyond theirs.

use crate::constants::{PREEMPT_TASKS, PREEMPT_WASTE_MS};
use crate::model::{JobKind, JobPriority, JobSpec, MachineType, Millis, Resources, TaskId};
use crate::scheduling::claims::zone_room;
use crate::scheduling::pending_work::PendingWork;
use crate::settings::Settings;
use crate::state::{MachinePhase, MachineRecord, StateCache};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// A machine as it will be once the stops under way have taken effect.
struct PreemptionTarget<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    room: Resources,
    /// What of it is free already.
    free: Resources,
    victims: Vec<Victim<'a>>,
}

impl PreemptionTarget<'_> {
    /// Room there for a claimant. What is free now on ordinary machines found no use for urgent
    /// work that takes no others: it is kept for services, and nothing would come of waiting for it.
    fn room_for(&self, claimant: &Preemptor) -> Resources {
        let urgent = claimant.priority == JobPriority::High && !claimant.open;
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
    resources: Resources,
    priority: JobPriority,
    service: bool,
    /// Milliseconds of work that stopping it wastes.
    waste: Millis,
}

/// What teams run beyond their guarantees, apart from what is being stopped.
type Borrowed<'a> = BTreeMap<&'a str, u64>;

/// For whom room is made.
struct Preemptor<'a> {
    spec: &'a JobSpec,
    priority: JobPriority,
    within: bool,
    /// Its team is beyond its guarantee.
    borrowed: bool,
    waste: Millis,
    /// The room that is kept for services is open to it.
    open: bool,
}

impl Preemptor<'_> {
    /// Whether a task may be stopped for it, by rank or since its team gives back what it
    /// borrowed. Services are not moved about for that: they are down meanwhile.
    fn may_stop(&self, v: &Victim, borrowed: &Borrowed) -> bool {
        let lent = || {
            self.within
                && !v.service
                && v.team != self.spec.team
                && borrowed
                    .get(v.team)
                    .is_some_and(|cpus| *cpus >= v.resources.cpus)
        };
        // Beyond its own guarantee a team's batches stop nothing of what others are guaranteed: that would
        // get its room back by the same right, and so on.
        let beyond = || {
            self.borrowed
                && self.priority != JobPriority::Production
                && v.team != self.spec.team
                && borrowed
                    .get(v.team)
                    .is_none_or(|cpus| *cpus < v.resources.cpus)
        };
        v.waste <= self.waste && (v.priority < self.priority && !beyond() || lent())
    }
}

fn give_back(borrowed: &mut Borrowed, v: &Victim) {
    if let Some(cpus) = borrowed.get_mut(v.team) {
        *cpus = cpus.saturating_sub(v.resources.cpus);
    }
}

/// What there is to choose from.
pub struct ClusterView<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    pub machine_types: &'a HashMap<String, MachineType>,
}

/// Tasks of a job that could soon be on machines with its image, if what is of lower rank there is
/// stopped.
pub fn warm_room(
    site: &ClusterView,
    work: &PendingWork,
    usable: impl Fn(&str) -> bool,
    priority: impl Fn(&str, &JobSpec) -> JobPriority,
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
        let Some(kind) = site.machine_types.get(&m.type_name).filter(|_| fits) else {
            continue;
        };
        let mut staying = Resources::default();
        for (task, p) in site.cache.assignments(id) {
            let lower =
                |s: &JobSpec| s.kind == JobKind::Array && priority(&task.job, s) < work.own_rank;
            if !site.cache.open_job(&task.job).is_some_and(lower) {
                staying = staying.plus(&p.resources);
            }
        }
        tasks += kind.room.less(&staying).count(&spec.resources);
    }
    tasks
}

/// Tasks to stop, with their machines, so that waiting work gets started.
/// `age` tells how long an attempt has been assigned, `priority` what a job counts as for the sake of
/// those that need it, `spared` whether an attempt is about to end by itself.
pub fn victims(
    site: ClusterView,
    work: &[PendingWork],
    usable: impl Fn(&str) -> bool,
    age: impl Fn(u64) -> Millis,
    priority: impl Fn(&str, &JobSpec) -> JobPriority,
    spared: impl Fn(&TaskId, u64) -> bool,
    open: Option<JobPriority>,
) -> Vec<(String, TaskId)> {
    let ClusterView {
        cache,
        settings,
        machine_types,
    } = site;
    let mut machines: Vec<PreemptionTarget> = Vec::new();
    let mut borrowed = Borrowed::new();
    let mut lowest = JobPriority::Production;
    for (id, m, _) in cache.machines() {
        let Some(kind) = machine_types
            .get(&m.type_name)
            .filter(|_| m.phase == MachinePhase::Up && usable(id))
        else {
            continue;
        };
        let mut staying = Resources::default();
        let mut victims = Vec::new();
        for (task, p) in cache
            .assignments(id)
            .filter(|(_, p)| p.assignment.stop.is_none())
        {
            staying = staying.plus(&p.resources);
            if let Some(spec) = cache.open_job(&task.job) {
                let saved = spec.checkpoint_interval_s > 0.0;
                *borrowed.entry(&spec.team).or_default() += p.resources.cpus;
                let priority = priority(&task.job, spec);
                lowest = lowest.min(priority);
                if spared(task, p.assignment.attempt) {
                    continue;
                }
                victims.push(Victim {
                    task: task.clone(),
                    team: &spec.team,
                    resources: p.resources,
                    priority,
                    service: spec.kind == JobKind::Service,
                    waste: if saved { 0 } else { age(p.assignment.attempt) },
                });
            }
        }
        victims.sort_by_key(|v| v.waste);
        machines.push(PreemptionTarget {
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
        let priority = w.own_rank;
        if lowest >= priority && !lent {
            continue;
        }
        let claimant = Preemptor {
            spec,
            priority,
            within: w.within,
            borrowed: w.urgency.borrowed,
            open: open.is_some_and(|lowest| priority > lowest),
            waste: match priority {
                JobPriority::Production => Millis::MAX,
                _ => PREEMPT_WASTE_MS,
            },
        };
        let mut zones = w.zones.clone();
        for _ in 0..w.indices.len().min(PREEMPT_TASKS) {
            let fits = |m: &PreemptionTarget| {
                spec.allows(&m.record.type_name, &m.record.zone, m.record.spot)
                    && zone_room(spec, &zones, &m.record.zone) > 0
                    && (!w.warm_only || cache.has_image(m.id, &spec.image))
            };
            if let Some(m) = machines
                .iter_mut()
                .find(|m| fits(m) && m.room_for(&claimant).fits(&spec.resources))
            {
                // Room that is free already, or being made.
                m.room = m.room.less(&spec.resources);
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
                    m.room = m.room.plus(&v.resources);
                    stops.push((m.id.to_string(), v.task));
                } else {
                    kept.push(v);
                }
            }
            m.victims = kept;
            m.room = m.room.less(&spec.resources);
            *zones.zones.entry(m.record.zone.clone()).or_default() += 1;
        }
    }
    stops
}

/// How many victims, the least wasteful first, make enough room, and what that wastes.
fn enough(
    m: &PreemptionTarget,
    claimant: &Preemptor,
    borrowed: &Borrowed,
) -> Option<(usize, Millis)> {
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
        room = room.plus(&v.resources);
        waste = waste.saturating_add(v.waste);
        count += 1;
        if room.fits(&claimant.spec.resources) {
            return Some((count, waste));
        }
    }
    None
}
