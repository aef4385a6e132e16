//! The service reserve: capacity per zone that work of lower priority leaves free for services.
//!
//! A service starts at once or is late, whereas a batch can wait: on ordinary machines capacity for the
//! largest service there is stays free.

use crate::constants::{RESERVE_ACCESS_DELAY_MS, RESERVE_DIVISOR, RESERVE_SERVICES};
use crate::model::{JobKind, JobPriority, WallMs};
use crate::scheduling::candidates::Candidate;
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{MachineRecord, StateCache};
use std::collections::BTreeMap;

/// Thousandths of processors of a zone's ordinary machines.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCapacity {
    free: u64,
    total: u64,
}

/// Capacity on ordinary machines, per zone, that work of lower priority leaves free for services.
pub struct ServiceReserve {
    /// Thousandths of processors to keep free in each zone.
    per_zone: u64,
    zones: BTreeMap<String, ZoneCapacity>,
    /// The time of day.
    wall: WallMs,
    /// It is open to this priority and those above.
    open_to: Option<JobPriority>,
}

/// The lowest priority of which something has waited for so long that the service reserve is open to it. It
/// is open to all above as well: otherwise capacity that preemption frees for these goes to work that has
/// waited longer, which is preempted for them again, and so on.
pub fn reserve_open_to(work: &[PendingWork], wall: WallMs) -> Option<JobPriority> {
    work.iter()
        .filter(|work| has_lost_patience(work, wall))
        .map(|work| work.urgency.priority.0)
        .min()
}

fn has_lost_patience(work: &PendingWork, wall: WallMs) -> bool {
    wall > work.ready_at + RESERVE_ACCESS_DELAY_MS
}

impl ServiceReserve {
    /// The reserve as a scheduling pass finds it.
    pub fn new(view: ClusterView, work: &[PendingWork], machines: &[Candidate]) -> ServiceReserve {
        let mut zones: BTreeMap<String, ZoneCapacity> = BTreeMap::new();
        for machine in machines.iter().filter(|machine| !machine.record.spot) {
            let zone = zones.entry(machine.record.zone.clone()).or_default();
            zone.free += machine.free.cpus;
        }
        let ordinary = view
            .cache
            .machines()
            .filter(|(_, record, _)| record.is_up() && !record.spot);
        for (_, record, _) in ordinary {
            let machine_type = view.machine_types.get(&record.type_name);
            let zone = zones.entry(record.zone.clone()).or_default();
            zone.total += machine_type.map_or(0, |t| t.capacity.cpus);
        }
        let zone_count = view.settings.zones.len().max(1) as u64;
        ServiceReserve {
            per_zone: largest_service_cpus(view.cache) * RESERVE_SERVICES / zone_count,
            zones,
            wall: view.wall,
            open_to: reserve_open_to(work, view.wall),
        }
    }

    /// Whether a task of the work may be placed on the machine.
    pub fn allows(&self, work: &PendingWork, machine: &MachineRecord) -> bool {
        machine.spot
            || work.urgency.priority.0 == JobPriority::Production
            || self.is_open_to(work)
            || self.leaves_enough(work.resources.cpus, &machine.zone)
    }

    /// Counts processors of a machine as no longer free.
    pub fn assign(&mut self, machine: &MachineRecord, cpus: u64) {
        if !machine.spot {
            let zone = self.zones.entry(machine.zone.clone()).or_default();
            zone.free = zone.free.saturating_sub(cpus);
        }
    }

    fn leaves_enough(&self, cpus: u64, zone: &str) -> bool {
        let zone = self.zones.get(zone).copied().unwrap_or_default();
        // A small site keeps nothing back: part of a service's capacity helps nobody.
        let kept = match self.per_zone <= zone.total / RESERVE_DIVISOR {
            true => self.per_zone,
            false => 0,
        };
        zone.free >= kept + cpus
    }

    /// Work of the priority that it was opened for must have waited long itself; work above that need not.
    fn is_open_to(&self, work: &PendingWork) -> bool {
        let priority = work.urgency.priority.0;
        self.open_to.is_some_and(|open_to| {
            priority > open_to || priority == open_to && has_lost_patience(work, self.wall)
        })
    }
}

/// Thousandths of processors that all replicas of the largest service of production priority request.
fn largest_service_cpus(cache: &StateCache) -> u64 {
    cache
        .open_jobs()
        .map(|(_, _, spec)| spec)
        .filter(|spec| spec.kind == JobKind::Service && spec.priority == JobPriority::Production)
        .map(|spec| spec.resources.cpus.saturating_mul(spec.tasks as u64))
        .max()
        .unwrap_or(0)
}
