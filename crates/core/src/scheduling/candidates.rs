//! Candidates: the machines that the scheduling pass may place tasks on.

use crate::constants::FETCH_MAX_MS;
use crate::model::{JobSpec, MachineType, Millis, Resources};
use crate::scheduling::claims;
use crate::scheduling::pending_work::PendingWork;
use crate::state::MachineRecord;
use foldhash::HashMap;

/// A machine with room, as the scheduling pass sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    pub record: &'a MachineRecord,
    /// Images it has had, by their numbers.
    pub images: &'a [(u32, f64)],
    pub room: Resources,
    /// When a task was last placed there, as far as this controller knows: the one left alone
    /// longest comes first.
    pub used_at: Millis,
    /// It reports to this controller. Controllers that prefer different machines seldom give one
    /// machine's room away twice.
    pub own: bool,
    pub busy: bool,
    /// Milliseconds of fetches still under way there: images share a machine's rate.
    pub fetch_ms: Millis,
    /// How a start would get there from this controller.
    pub carrier: claims::Carrier,
}

impl<'a> Candidate<'a> {
    /// One that has no room for anything that waits: it only counts for its zone.
    pub fn full(id: &'a str, record: &'a MachineRecord, room: Resources) -> Candidate<'a> {
        Candidate {
            id,
            record,
            images: &[],
            room,
            used_at: 0,
            own: false,
            busy: true,
            fetch_ms: 0,
            carrier: claims::Carrier::Answer,
        }
    }
}

/// The least that any of the waiting tasks takes, of each kind of room: a machine with less serves
/// none of them.
pub fn least_need(work: &[PendingWork]) -> Resources {
    let needs = work.iter().map(|w| w.set.resources);
    let least = needs.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        ram: a.ram.min(b.ram),
    });
    least.unwrap_or_default()
}

/// Milliseconds that a machine takes to fetch a job's image.
pub fn fetch_ms(
    machine_types: &HashMap<String, MachineType>,
    record: &MachineRecord,
    spec: &JobSpec,
) -> Millis {
    let kind = machine_types.get(&record.type_name);
    let rate = kind.map_or(1.0, |t| t.fetch_gb_per_s.max(0.001));
    (spec.image_gb / rate * 1000.0).min(FETCH_MAX_MS as f64) as Millis
}
