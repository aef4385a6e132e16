//! Preemption: which tasks of lower rank to stop so that waiting work gets room.

use crate::claims::zone_room;
use crate::constants::*;
use crate::lookup::Waiting;
use crate::model::*;
use crate::records::*;
use std::collections::HashMap;

/// A machine as it will be once the stops under way have taken effect.
struct Coming<'a> {
    id: &'a str,
    record: &'a MachineRecord,
    room: Room,
    victims: Vec<Victim>,
}

struct Victim {
    task: TaskId,
    need: Room,
    rank: Rank,
    /// Milliseconds of work that stopping it wastes.
    waste: Millis,
}

/// Tasks to stop, with their machines, so that waiting work of higher rank gets started.
/// `age` tells how long an attempt has been booked.
pub fn victims(
    cache: &Cache,
    types: &HashMap<String, MachineType>,
    work: &[Waiting],
    usable: impl Fn(&str) -> bool,
    age: impl Fn(u64) -> Millis,
) -> Vec<(String, TaskId)> {
    let mut machines: Vec<Coming> = Vec::new();
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
                victims.push(Victim {
                    task: task.clone(),
                    need: p.need,
                    rank: spec.rank,
                    waste: if saved { 0 } else { age(p.booking.attempt) },
                });
            }
        }
        victims.sort_by_key(|v| v.waste);
        machines.push(Coming {
            id,
            record: m,
            room: kind.room.less(&staying),
            victims,
        });
    }
    let mut stops = Vec::new();
    for w in work {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let mut zones = w.zones.clone();
        for _ in 0..w.indices.len().min(PREEMPT_TASKS) {
            let fits = |m: &Coming| {
                spec.allows(&m.record.type_name, &m.record.zone, m.record.spot)
                    && zone_room(spec, &zones, &m.record.zone) > 0
            };
            if let Some(m) = machines
                .iter_mut()
                .find(|m| fits(m) && m.room.fits(&spec.need))
            {
                // Room that is free already, or being made.
                m.room = m.room.less(&spec.need);
                *zones.zones.entry(m.record.zone.clone()).or_default() += 1;
                continue;
            }
            if spec.rank < Rank::High || stops.len() >= PREEMPT_TASKS {
                break;
            }
            let limit = match spec.rank {
                Rank::Production => Millis::MAX,
                _ => PREEMPT_WASTE_MS,
            };
            let best = machines
                .iter()
                .enumerate()
                .filter(|(_, m)| fits(m))
                .filter_map(|(i, m)| {
                    let (count, waste) = enough(m, spec, limit)?;
                    Some((!cache.has_image(m.id, &spec.image), waste, count, i))
                })
                .min();
            let Some((_, _, count, i)) = best else { break };
            let m = &mut machines[i];
            let mut taken = 0;
            let mut kept = Vec::new();
            for v in std::mem::take(&mut m.victims) {
                if taken < count && v.rank < spec.rank && v.waste <= limit {
                    taken += 1;
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
fn enough(m: &Coming, spec: &JobSpec, limit: Millis) -> Option<(usize, Millis)> {
    let mut room = m.room;
    let mut waste: Millis = 0;
    let fair = m
        .victims
        .iter()
        .filter(|v| v.rank < spec.rank && v.waste <= limit);
    for (n, v) in fair.enumerate() {
        room = room.plus(&v.need);
        waste = waste.saturating_add(v.waste);
        if room.fits(&spec.need) {
            return Some((n + 1, waste));
        }
    }
    None
}
