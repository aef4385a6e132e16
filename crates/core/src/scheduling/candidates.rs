//! Candidates: the machines that a scheduling pass may place tasks on.

use crate::constants::IMAGE_FETCH_MAX_MS;
use crate::model::{JobSpec, MachineType, Millis, Resources};
use crate::scheduling::claims::Carrier;
use crate::scheduling::pending_work::PendingWork;
use crate::state::MachineRecord;
use foldhash::HashMap;

/// A machine with free resources, as the scheduling pass sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    pub record: &'a MachineRecord,
    /// Images it has had, by their numbers, with their sizes.
    pub images: &'a [(u32, f64)],
    pub free: Resources,
    /// When a task was last placed there, as far as this controller knows: the one left alone
    /// longest comes first.
    pub last_assigned_at: Millis,
    /// It sends its heartbeats to this controller. Controllers that prefer different machines seldom give
    /// the same capacity away twice.
    pub reports_here: bool,
    /// Some task is assigned to it.
    pub is_busy: bool,
    /// Milliseconds of fetches still under way there: images share a machine's rate.
    pub fetch_ms: Millis,
    /// How a start would be delivered to it from this controller.
    pub carrier: Carrier,
}

impl<'a> Candidate<'a> {
    /// A machine too full for any pending work: it only counts for the capacity of its zone.
    pub fn full(id: &'a str, record: &'a MachineRecord, free: Resources) -> Candidate<'a> {
        Candidate {
            id,
            record,
            images: &[],
            free,
            last_assigned_at: 0,
            reports_here: false,
            is_busy: true,
            fetch_ms: 0,
            carrier: Carrier::Answer,
        }
    }

    /// Whether it has an image; one without a number is on no machine.
    pub fn has_image(&self, image: Option<u32>) -> bool {
        image.is_some_and(|image| self.images.iter().any(|(known, _)| *known == image))
    }
}

/// The least that any of the pending tasks requests, of each resource: a machine with less serves none of
/// them.
pub fn min_request(work: &[PendingWork]) -> Resources {
    let requests = work.iter().map(|work| work.resources);
    let min = requests.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        ram: a.ram.min(b.ram),
    });
    min.unwrap_or_default()
}

/// Milliseconds that a machine takes to fetch a job's image.
pub fn fetch_ms(
    machine_types: &HashMap<String, MachineType>,
    record: &MachineRecord,
    spec: &JobSpec,
) -> Millis {
    let machine_type = machine_types.get(&record.type_name);
    let gb_per_s = machine_type.map_or(1.0, |t| t.fetch_gb_per_s.max(0.001));
    (spec.image_gb / gb_per_s * 1000.0).min(IMAGE_FETCH_MAX_MS as f64) as Millis
}
