//! The service reserve: capacity per zone that work of lower priority leaves free for services.
//!
//! A service that does not start at once is late, whereas a batch can wait. Enough capacity for services as large
//! as the current largest one is therefore kept free on on-demand machines.

use crate::constants::{RESERVE_ACCESS_DELAY_MS, RESERVE_DIVISOR, RESERVE_SERVICES};
use crate::model::{JobKind, JobPriority, WallMs};
use crate::scheduling::candidates::Candidate;
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{MachineRecord, StateCache};
use std::collections::BTreeMap;

/// The processors, in thousandths, of a zone's on-demand machines.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCapacity {
    free: u64,
    total: u64,
}

/// The reserve and the capacity of each zone during one scheduling pass.
pub struct ServiceReserve {
    /// Thousandths of processors to keep free in each zone.
    cpus_per_zone: u64,
    zones: BTreeMap<String, ZoneCapacity>,
    /// The current wall-clock time.
    wall_time: WallMs,
    /// The lowest priority to which the reserve is open, if any.
    open_to: Option<JobPriority>,
}

/// Returns the lowest priority of any work that has waited so long that the service reserve is open to it. The
/// reserve is open to all higher priorities as well: otherwise capacity that preemption frees for work of a higher
/// priority would go to the work that has waited longer, which would be preempted again, in a cycle.
pub fn reserve_open_to(work: &[PendingWork], wall_time: WallMs) -> Option<JobPriority> {
    work.iter()
        .filter(|work| has_waited_long(work, wall_time))
        .map(|work| work.urgency.priority.0)
        .min()
}

/// Returns whether the work has waited so long that the service reserve may be opened to it.
fn has_waited_long(work: &PendingWork, wall_time: WallMs) -> bool {
    wall_time > work.ready_at + RESERVE_ACCESS_DELAY_MS
}

impl ServiceReserve {
    /// Creates the reserve from the state of the cluster at the start of a scheduling pass.
    pub fn new(view: ClusterView, work: &[PendingWork], machines: &[Candidate]) -> ServiceReserve {
        let mut zones: BTreeMap<String, ZoneCapacity> = BTreeMap::new();
        for machine in machines.iter().filter(|machine| !machine.record.spot) {
            let zone = zones.entry(machine.record.zone.clone()).or_default();
            zone.free += machine.free.cpus;
        }
        let on_demand = view
            .cache
            .machines()
            .filter(|(_, record, _)| record.is_up() && !record.spot);
        for (_, record, _) in on_demand {
            let machine_type = view.machine_types.get(&record.type_name);
            let zone = zones.entry(record.zone.clone()).or_default();
            zone.total += machine_type.map_or(0, |t| t.capacity.cpus);
        }
        let zone_count = view.settings.zones.len().max(1) as u64;
        ServiceReserve {
            cpus_per_zone: largest_service_cpus(view.cache) * RESERVE_SERVICES / zone_count,
            zones,
            wall_time: view.wall_time,
            open_to: reserve_open_to(work, view.wall_time),
        }
    }

    /// Returns whether the reserve allows a task of the work on the machine.
    pub fn allows(&self, work: &PendingWork, machine: &MachineRecord) -> bool {
        machine.spot
            || work.urgency.priority.0 == JobPriority::Production
            || self.is_open_to(work)
            || self.leaves_enough(work.resources.cpus, &machine.zone)
    }

    /// Counts processors of a machine as used.
    pub fn assign(&mut self, machine: &MachineRecord, cpus: u64) {
        if !machine.spot {
            let zone = self.zones.entry(machine.zone.clone()).or_default();
            zone.free = zone.free.saturating_sub(cpus);
        }
    }

    /// Returns whether the reserve of a zone stays free if `cpus` more of its processors are used.
    fn leaves_enough(&self, cpus: u64, zone: &str) -> bool {
        let zone = self.zones.get(zone).copied().unwrap_or_default();
        // A small zone reserves nothing, since capacity for only a part of a service would be of no use.
        let reserved_cpus = match self.cpus_per_zone <= zone.total / RESERVE_DIVISOR {
            true => self.cpus_per_zone,
            false => 0,
        };
        zone.free >= reserved_cpus + cpus
    }

    /// Returns whether the reserve is open to the work. Work of exactly the priority that the reserve is open to must
    /// have waited long itself; work of a higher priority need not.
    fn is_open_to(&self, work: &PendingWork) -> bool {
        let priority = work.urgency.priority.0;
        self.open_to.is_some_and(|open_to| {
            priority > open_to || priority == open_to && has_waited_long(work, self.wall_time)
        })
    }
}

/// Returns the processors, in thousandths, that all replicas of the largest service of production priority request.
fn largest_service_cpus(cache: &StateCache) -> u64 {
    cache
        .open_jobs()
        .map(|(_, _, spec)| spec)
        .filter(|spec| spec.kind == JobKind::Service && spec.priority == JobPriority::Production)
        .map(|spec| spec.resources.cpus.saturating_mul(spec.tasks as u64))
        .max()
        .unwrap_or(0)
}
