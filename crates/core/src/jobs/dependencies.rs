//! Job pipelines: which jobs await which (dependencies, upstream and downstream), what a
//! cancellation takes with it, and how urgent a job is for the sake of those that need it.
//!
//! A user names only accepted jobs, so there are no cycles; nothing here recurses, and one would
//! merely not be served.

use crate::constants::FEASIBLE_SHARE;
use crate::model::{JobPriority, JobSpec, WallMs};
use crate::state::{JobRecord, StateCache};
use foldhash::{HashMap, HashMapExt};

/// What jobs downstream make of a job: the highest rank among them, and the time of day by which
/// it must be done for their deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InheritedPriority {
    pub priority: JobPriority,
    pub due: Option<WallMs>,
}

/// What a job counts as: its own rank, or the highest of the jobs that need it.
pub fn priority(
    pulls: &HashMap<String, InheritedPriority>,
    job: &str,
    spec: &JobSpec,
) -> JobPriority {
    let pulled = pulls.get(job).map(|p| p.priority);
    pulled.map_or(spec.priority, |priority| priority.max(spec.priority))
}

fn earliest(a: Option<WallMs>, b: Option<WallMs>) -> Option<WallMs> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// For every open job that others need, what these make of it. Rank and deadline stand on the
/// last job of a pipeline; passed upstream, a deadline is earlier by the run time of each job
/// between, of which a share must do, since estimates are often too high.
pub fn pulls(
    cache: &StateCache,
    least_run_ms: &dyn Fn(&str, &JobSpec) -> u64,
) -> HashMap<String, InheritedPriority> {
    let dependents = cache.dependents().by_dependency();
    // Open jobs downstream that are still to be looked at, per job; those without go first.
    let mut left: HashMap<&str, usize> = HashMap::new();
    let mut next: Vec<&str> = Vec::new();
    for (id, jobs) in dependents {
        for dependent in jobs {
            if !dependents.contains_key(dependent) && !left.contains_key(dependent.as_str()) {
                left.insert(dependent, 0);
                next.push(dependent);
            }
        }
        left.insert(id, jobs.len());
    }
    let mut pulls: HashMap<String, InheritedPriority> = HashMap::new();
    while let Some(id) = next.pop() {
        let (Some(job), Some(spec)) = (cache.job(id), cache.open_job(id)) else {
            continue;
        };
        let own = pulls.get(id);
        let priority = own.map_or(spec.priority, |p| p.priority.max(spec.priority));
        let due = earliest(deadline(job, spec), own.and_then(|p| p.due));
        let due = due.map(|due| due.saturating_sub(least_run_ms(id, spec)));
        for dependency in &spec.dependencies {
            if let Some(n) = left.get_mut(dependency.as_str()) {
                *n = n.saturating_sub(1);
                if *n == 0 {
                    next.push(dependency);
                }
            }
            if cache.open_job(dependency).is_some() {
                let pull = InheritedPriority { priority, due };
                let known = pulls.entry(dependency.clone()).or_insert(pull);
                known.priority = known.priority.max(priority);
                known.due = earliest(known.due, due);
            }
        }
    }
    pulls
}

/// The time of day at which a job is to be done by its own deadline, however long it waited for
/// others.
pub fn deadline(job: &JobRecord, spec: &JobSpec) -> Option<WallMs> {
    let within = spec.deadline_s.map(|d| (d.max(0.0) * 1000.0) as u64);
    within.map(|ms| job.accepted_at.saturating_add(ms))
}

/// Milliseconds that a task takes, going by its owner's estimate.
pub fn run_ms(spec: &JobSpec) -> u64 {
    (spec.estimate_s.clamp(0.0, 1e6) * 1e3) as u64
}

/// Milliseconds that a job still takes at the least, going by its estimate.
pub fn least_run_ms(spec: &JobSpec) -> u64 {
    (spec.estimate_s * 1000.0 * FEASIBLE_SHARE) as u64
}
