//! Renting and returning machines.

use crate::claims::zone_room;
use crate::constants::*;
use crate::lookup::Waiting;
use crate::model::*;
use crate::records::*;
use std::collections::HashMap;

/// A machine that could be rented, or one that is on its way.
#[derive(Clone, Debug, PartialEq)]
struct Virtual {
    type_name: String,
    zone: String,
    spot: bool,
    room: Room,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

/// What to rent for work that no machine, present or on its way, can take: per set the
/// cheapest way to serve it, offers refused lately passed over.
pub fn wishes(
    cache: &Cache,
    types: &HashMap<String, MachineType>,
    work: &[Waiting],
    wall: WallMs,
) -> Vec<Wish> {
    let fleet = cache.fleet();
    let mut coming: Vec<Virtual> = Vec::new();
    let mut push = |type_name: &str, zone: &str, spot: bool, count: u32| {
        if let Some(kind) = types.get(type_name) {
            for _ in 0..count {
                coming.push(Virtual {
                    type_name: type_name.to_string(),
                    zone: zone.to_string(),
                    spot,
                    room: kind.room,
                });
            }
        }
    };
    for (_, m, _) in cache.machines() {
        if m.phase == MachinePhase::Booting {
            push(&m.type_name, &m.zone, m.spot, 1);
        }
    }
    for (_, h, _) in cache.hires() {
        push(&h.type_name, &h.zone, h.spot, h.count);
    }
    let known = coming.len();
    for w in work {
        let Some(spec) = cache.job(&w.job).and_then(|j| j.open()) else {
            continue;
        };
        let mut zones = w.zones.clone();
        let mut left = w.indices.len() as u64;
        for v in coming.iter_mut() {
            while left > 0
                && v.room.fits(&spec.need)
                && spec.allows(&v.type_name, &v.zone, v.spot)
                && zone_room(spec, &zones, &v.zone) > 0
            {
                v.room = v.room.less(&spec.need);
                *zones.zones.entry(v.zone.clone()).or_default() += 1;
                left -= 1;
            }
        }
        while left > 0 {
            let Some(offer) = cheapest(types, &fleet, spec, &zones, left, wall) else {
                break;
            };
            let mut v = offer;
            while left > 0 && v.room.fits(&spec.need) && zone_room(spec, &zones, &v.zone) > 0 {
                v.room = v.room.less(&spec.need);
                *zones.zones.entry(v.zone.clone()).or_default() += 1;
                left -= 1;
            }
            coming.push(v);
            if coming.len() - known >= HIRE_MAX as usize {
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

fn cheapest(
    types: &HashMap<String, MachineType>,
    fleet: &FleetRecord,
    spec: &JobSpec,
    zones: &PlaceRecord,
    left: u64,
    wall: WallMs,
) -> Option<Virtual> {
    let mut best: Option<(f64, Virtual)> = None;
    for kind in types.values() {
        let fit = kind.room.count(&spec.need);
        if fit == 0 {
            continue;
        }
        for zone in &kind.zones {
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
                let v = Virtual {
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
