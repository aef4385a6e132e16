//! Candidates: machines that a scheduling pass may place tasks on.

use crate::constants::IMAGE_FETCH_MAX_MS;
use crate::model::{JobSpec, MachineType, Millis, Resources};
use crate::scheduling::claims::StartChannel;
use crate::scheduling::pending_work::PendingWork;
use crate::state::MachineRecord;
use foldhash::HashMap;

/// A machine that a scheduling pass considers for placement.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    pub record: &'a MachineRecord,
    /// Images in its cache: the number and the size in GB of each.
    pub images: &'a [(u32, f64)],
    pub free: Resources,
    /// When this controller last saw a task assigned to the machine, or 0. The machine with the earliest
    /// time is preferred.
    pub last_assigned_at: Millis,
    /// Whether it sends its heartbeats to this controller. Each controller prefers its own machines, so that
    /// two controllers seldom claim the same capacity.
    pub reports_here: bool,
    /// Whether any task is assigned to it.
    pub is_busy: bool,
    /// Milliseconds until the image fetches in progress on it are complete. Fetches share the machine's rate.
    pub pending_fetch_ms: Millis,
    /// The channel by which this controller would deliver a start command to it.
    pub start_channel: StartChannel,
}

impl<'a> Candidate<'a> {
    /// Creates the candidate for a machine that is too full for any pending work and only counts towards the
    /// capacity of its zone.
    pub fn full(id: &'a str, record: &'a MachineRecord, free: Resources) -> Candidate<'a> {
        Candidate {
            id,
            record,
            images: &[],
            free,
            last_assigned_at: 0,
            reports_here: false,
            is_busy: true,
            pending_fetch_ms: 0,
            start_channel: StartChannel::HeartbeatReply,
        }
    }

    /// Returns whether its cache holds an image. No machine holds an image that has no number.
    pub fn has_image(&self, image: Option<u32>) -> bool {
        image.is_some_and(|image| self.images.iter().any(|(known, _)| *known == image))
    }
}

/// Returns, for each resource, the smallest request of any pending task. A machine with less than that can run
/// none of them.
pub fn min_request(work: &[PendingWork]) -> Resources {
    let requests = work.iter().map(|work| work.resources);
    let min = requests.reduce(|a, b| a.component_min(&b));
    min.unwrap_or_default()
}

/// Returns the milliseconds that a machine takes to fetch a job's image, at most `IMAGE_FETCH_MAX_MS`.
pub fn image_fetch_ms(
    machine_types: &HashMap<String, MachineType>,
    record: &MachineRecord,
    spec: &JobSpec,
) -> Millis {
    let machine_type = machine_types.get(&record.type_name);
    let gb_per_s = machine_type.map_or(1.0, |t| t.fetch_gb_per_s.max(0.001));
    (spec.image_gb / gb_per_s * 1000.0).min(IMAGE_FETCH_MAX_MS as f64) as Millis
}
