//! The service reserve: capacity per zone that work of lower priority leaves free for services.

use crate::constants::{RESERVE_PART, RESERVE_PATIENCE_MS, RESERVE_SERVICES};
use crate::model::{JobKind, JobPriority, MachineType, WallMs};
use crate::scheduling::candidates::Candidate;
use crate::scheduling::pending_work::PendingWork;
use crate::settings::Settings;
use crate::state::{MachineRecord, StateCache};
use foldhash::HashMap;
use std::collections::BTreeMap;

/// Room on ordinary machines, per zone, that work of lower rank leaves to services: enough
/// for the largest service there is. Services start at once or late; a batch can wait.
pub struct ServiceReserve {
    per_zone: u64,
    /// Free and whole room per zone.
    free: BTreeMap<String, (u64, u64)>,
    wall: WallMs,
    /// It is open to this rank and those above.
    open: Option<JobPriority>,
}

/// The lowest rank of which something has waited for so long that the room kept for services is open
/// to it. It is open to all above as well: else what is made for them by stops goes to what has
/// waited longer, is stopped for them again, and so on.
pub fn reserve_open(work: &[PendingWork], wall: WallMs) -> Option<JobPriority> {
    let long = work.iter().filter(|w| wall > w.at + RESERVE_PATIENCE_MS);
    long.map(|w| w.urgency.priority.0).min()
}

impl ServiceReserve {
    pub fn new(
        cache: &StateCache,
        settings: &Settings,
        machine_types: &HashMap<String, MachineType>,
        work: &[PendingWork],
        machines: &[Candidate],
        wall: WallMs,
    ) -> ServiceReserve {
        let largest = cache
            .open_jobs()
            .filter(|(_, _, s)| s.kind == JobKind::Service && s.priority == JobPriority::Production)
            .map(|(_, _, s)| s.resources.cpus.saturating_mul(s.tasks as u64))
            .max()
            .unwrap_or(0);
        let mut free: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for c in machines.iter().filter(|c| !c.record.spot) {
            free.entry(c.record.zone.clone()).or_default().0 += c.room.cpus;
        }
        for (_, m, _) in cache.machines().filter(|(_, m, _)| m.is_up() && !m.spot) {
            let whole = machine_types.get(&m.type_name).map_or(0, |t| t.room.cpus);
            free.entry(m.zone.clone()).or_default().1 += whole;
        }
        ServiceReserve {
            per_zone: largest * RESERVE_SERVICES / settings.zones.len().max(1) as u64,
            free,
            wall,
            open: reserve_open(work, wall),
        }
    }
    pub fn allows(&self, waiting: &PendingWork, machine: &MachineRecord) -> bool {
        let (free, whole) = self.free.get(&machine.zone).copied().unwrap_or_default();
        // A small site keeps nothing back: part of a service's room helps nobody.
        let kept = match self.per_zone <= whole / RESERVE_PART {
            true => self.per_zone,
            false => 0,
        };
        machine.spot
            || waiting.urgency.priority.0 == JobPriority::Production
            || free >= kept + waiting.set.resources.cpus
            || self
                .open
                .is_some_and(|priority| waiting.urgency.priority.0 >= priority)
                && (self.wall > waiting.at + RESERVE_PATIENCE_MS
                    || self.open < Some(waiting.urgency.priority.0))
    }
    pub fn take(&mut self, machine: &MachineRecord, cpus: u64) {
        if !machine.spot {
            let (free, _) = self.free.entry(machine.zone.clone()).or_default();
            *free = free.saturating_sub(cpus);
        }
    }
}
