//! Renting and returning machines.

use crate::constants::{
    BOOT_LATE, BOOT_LATE_SPARE_MS, LATE_FEW, LATE_PART, PROVISION_MAX_INSTANCES,
    PROVISION_REQUESTS_AT_ONCE, RESERVE_SERVICES, SCALE_IN_PRICE_FACTOR,
};
use crate::model::{JobKind, JobSpec, MachineType, Resources, WallMs};
use crate::scheduling::claims::zone_room;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{
    offer_key, MachinePhase, MachineRecord, ProvisioningRecord, StateCache, ZoneSpreadRecord,
};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// A machine that could be provisioned, or one that is on its way.
#[derive(Clone, Debug, PartialEq)]
struct PlannedInstance {
    type_name: String,
    zone: String,
    spot: bool,
    room: Resources,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// What to rent for work that no machine, present or on its way, can take: per set the
/// cheapest way to serve it, offers refused lately passed over. `pending` tells whether a
/// machine that an instance request brought is still on its way, `quiet` whether a zone is cut off: what is
/// provisioned there would come up unheard.
pub fn provisioning_demand(
    cache: &StateCache,
    machine_types: &HashMap<String, MachineType>,
    work: &[PendingWork],
    pending: impl Fn(&str) -> bool,
    quiet: impl Fn(&str) -> bool,
    wall: WallMs,
) -> Vec<Wish> {
    let fleet = cache.fleet();
    let mut coming: Vec<PlannedInstance> = Vec::new();
    let mut push = |type_name: &str, zone: &str, spot: bool, count: u32| {
        if let Some(kind) = machine_types.get(type_name) {
            for _ in 0..count {
                coming.push(PlannedInstance {
                    type_name: type_name.to_string(),
                    zone: zone.to_string(),
                    spot,
                    room: kind.room,
                });
            }
        }
    };
    // A machine that is late may never come: a few such are not waited for. When many are late it
    // is the cloud that is slow, and more of them would only cost more.
    let late = |type_name: &str, at: WallMs| {
        let boot_s = machine_types.get(type_name).map_or(0.0, |t| t.boot_s);
        wall > at + (boot_s * 1_000.0 * BOOT_LATE) as u64 + BOOT_LATE_SPARE_MS
    };
    let mut on_the_way: Vec<(&str, &str, bool, u32, bool)> = Vec::new();
    for (_, m, _) in cache.machines() {
        if m.phase == MachinePhase::Booting {
            let late = late(&m.type_name, m.at);
            on_the_way.push((&m.type_name, &m.zone, m.spot, 1, late));
        }
    }
    for (_, h, _) in cache.instance_requests() {
        let count = match &h.instances {
            Some(instances) => instances.iter().filter(|id| pending(id)).count() as u32,
            None => h.count,
        };
        let late = h.instances.is_some() && late(&h.type_name, h.at);
        on_the_way.push((&h.type_name, &h.zone, h.spot, count, late));
    }
    let sum = |late: bool| -> u32 {
        let those = on_the_way.iter().filter(|c| c.4 || !late);
        those.map(|(_, _, _, n, _)| n).sum()
    };
    let few = sum(true) <= LATE_FEW || sum(true) * LATE_PART <= sum(false);
    for (type_name, zone, spot, count, late) in on_the_way {
        if !(quiet(zone) || late && few) {
            push(type_name, zone, spot, count);
        }
    }
    let known = coming.len();
    for w in work {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let mut zones = w.zones.clone();
        let mut left = w.indices.len() as u64;
        for v in coming.iter_mut() {
            while left > 0
                && v.room.fits(&spec.resources)
                && spec.allows(&v.type_name, &v.zone, v.spot)
                && zone_room(spec, &zones, &v.zone) > 0
            {
                v.room = v.room.less(&spec.resources);
                *zones.zones.entry(v.zone.clone()).or_default() += 1;
                left -= 1;
            }
        }
        while left > 0 {
            let Some(offer) = cheapest(machine_types, &fleet, spec, &zones, left, &quiet, wall)
            else {
                break;
            };
            let mut v = offer;
            while left > 0 && v.room.fits(&spec.resources) && zone_room(spec, &zones, &v.zone) > 0 {
                v.room = v.room.less(&spec.resources);
                *zones.zones.entry(v.zone.clone()).or_default() += 1;
                left -= 1;
            }
            coming.push(v);
            if coming.len() - known >= PROVISION_MAX_INSTANCES as usize * PROVISION_REQUESTS_AT_ONCE
            {
                break;
            }
        }
    }
    let mut wishes: Vec<Wish> = Vec::new();
    for v in coming.drain(known..) {
        match wishes
            .iter_mut()
            .find(|w| w.type_name == v.type_name && w.zone == v.zone && w.spot == v.spot)
        {
            Some(w) => w.count += 1,
            None => wishes.push(Wish {
                type_name: v.type_name,
                zone: v.zone,
                spot: v.spot,
                count: 1,
            }),
        }
    }
    wishes
}

/// Machines, at most so many, that cost much for what they still do and whose services all fit
/// elsewhere, on machines that have their images. Emptied, they can be returned. What machines being
/// emptied still hold counts as there already.
pub fn scale_in_candidates(
    cache: &StateCache,
    machine_types: &HashMap<String, MachineType>,
    old_enough: impl Fn(&str) -> bool,
    most: usize,
) -> Vec<String> {
    let cheapest = machine_types
        .values()
        .map(|t| t.price / t.room.cpus.max(1) as f64)
        .fold(f64::INFINITY, f64::min);
    let mut candidates: Vec<(f64, &str)> = Vec::new();
    for (id, m, _) in cache.machines() {
        let Some(kind) = machine_types.get(&m.type_name) else {
            continue;
        };
        let services_only = cache.assignments(id).all(|(task, _)| {
            cache
                .open_job(&task.job)
                .is_some_and(|s| s.kind == JobKind::Service)
        });
        let price = if m.spot { kind.spot_price } else { kind.price };
        let used = cache.used(id).cpus.max(1) as f64;
        if m.phase == MachinePhase::Up
            && cache.assigned_tasks(id) > 0
            && services_only
            && price / used >= cheapest * SCALE_IN_PRICE_FACTOR
            && old_enough(id)
        {
            candidates.push((price, id));
        }
    }
    candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
    let mut places = Places::new(cache, machine_types);
    for (id, m, _) in cache.machines() {
        if m.phase == MachinePhase::Draining {
            places.take_in(cache, id);
        }
    }
    let mut chosen = Vec::new();
    for (_, id) in candidates {
        if chosen.len() >= most {
            break;
        }
        if places.take_in(cache, id) {
            chosen.push(id.to_string());
        }
    }
    chosen
}

/// Room that services may move to.
struct Places<'a> {
    /// Ordinary machines that are up, by name, and their room.
    rooms: BTreeMap<&'a str, (&'a MachineRecord, Resources)>,
    /// Of these, those that others were moved to: they stay.
    used: BTreeSet<&'a str>,
    /// Processors that must stay free, so that a new service of the largest size starts at once.
    spare: u64,
}

impl<'a> Places<'a> {
    fn new(cache: &'a StateCache, machine_types: &HashMap<String, MachineType>) -> Places<'a> {
        let up = cache.machines();
        let up = up.filter(|(_, m, _)| m.phase == MachinePhase::Up && !m.spot);
        let room = |id: &str, m: &MachineRecord| {
            let kind = machine_types.get(&m.type_name)?;
            Some(kind.room.less(&cache.used(id)))
        };
        let largest = cache
            .open_jobs()
            .filter(|(_, _, s)| s.kind == JobKind::Service)
            .map(|(_, _, s)| s.resources.cpus.saturating_mul(s.tasks as u64))
            .max()
            .unwrap_or(0);
        Places {
            rooms: up
                .filter_map(|(id, m, _)| Some((id, (m, room(id, m)?))))
                .collect(),
            used: BTreeSet::new(),
            spare: largest * RESERVE_SERVICES,
        }
    }

    /// Finds room for all that a machine holds, and keeps it; nothing changes if there is none.
    fn take_in(&mut self, cache: &'a StateCache, id: &'a str) -> bool {
        let Some(leaving) = cache.machine(id).filter(|_| !self.used.contains(id)) else {
            return false;
        };
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for (task, placed) in cache.assignments(id) {
            let Some(spec) = cache.open_job(&task.job) else {
                return false;
            };
            // Only within its zone: what the zone may hold does not change then.
            // The fullest that takes it: the emptier ones may be emptied as well.
            let fits = self.rooms.iter().filter(|(other, (m, room))| {
                let taken = taken.get(*other).copied().unwrap_or_default();
                **other != id
                    && m.zone == leaving.zone
                    && room.less(&taken).fits(&placed.resources)
                    && cache.has_image(other, &spec.image)
                    && spec.allows(&m.type_name, &m.zone, m.spot)
            });
            let place = fits.min_by_key(|(other, (_, room))| (room.cpus, **other));
            let Some((other, _)) = place else {
                return false;
            };
            let sum = taken.entry(*other).or_default();
            *sum = sum.plus(&placed.resources);
        }
        // What is left must still take a new service of the largest size at once.
        let rooms = self.rooms.iter().filter(|(other, _)| **other != id);
        let left: u64 = rooms.map(|(_, (_, room))| room.cpus).sum();
        let needs: u64 = taken.values().map(|r| r.cpus).sum();
        if left < self.spare + needs && leaving.phase == MachinePhase::Up {
            return false;
        }
        for (other, resources) in taken {
            if let Some((_, room)) = self.rooms.get_mut(other) {
                *room = room.less(&resources);
            }
            self.used.insert(other);
        }
        self.rooms.remove(id);
        true
    }
}

fn cheapest(
    machine_types: &HashMap<String, MachineType>,
    fleet: &ProvisioningRecord,
    spec: &JobSpec,
    zones: &ZoneSpreadRecord,
    left: u64,
    quiet: &impl Fn(&str) -> bool,
    wall: WallMs,
) -> Option<PlannedInstance> {
    let mut best: Option<(f64, PlannedInstance)> = None;
    for kind in machine_types.values() {
        let fit = kind.room.count(&spec.resources);
        if fit == 0 {
            continue;
        }
        for zone in kind.zones.iter().filter(|z| !quiet(z)) {
            for spot in [false, true] {
                let price = if spot { kind.spot_price } else { kind.price };
                let refused = fleet
                    .refused
                    .get(&offer_key(&kind.name, zone, spot))
                    .is_some_and(|until| *until > wall);
                let room = zone_room(spec, zones, zone) as u64;
                if refused
                    || !price.is_finite()
                    || price <= 0.0 && spot
                    || room == 0
                    || !spec.allows(&kind.name, zone, spot)
                {
                    continue;
                }
                let per_task = price / fit.min(left).min(room) as f64;
                let v = PlannedInstance {
                    type_name: kind.name.clone(),
                    zone: zone.clone(),
                    spot,
                    room: kind.room,
                };
                let better = match &best {
                    None => true,
                    Some((cost, b)) => {
                        per_task < cost - 1e-9
                            || (per_task <= cost + 1e-9
                                && (&v.type_name, &v.zone) < (&b.type_name, &b.zone))
                    }
                };
                if better {
                    best = Some((per_task, v));
                }
            }
        }
    }
    best.map(|(_, v)| v)
}
