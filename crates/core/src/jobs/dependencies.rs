//! Job dependencies: the jobs that a job needs (upstream) and those that need it (downstream), and
//! the priority and deadline that a job inherits from downstream.
//!
//! A user names only accepted jobs, so there are no cycles. Nothing here recurses; the jobs of a
//! cycle would merely inherit nothing.

use crate::constants::FEASIBLE_ESTIMATE_SHARE;
use crate::model::{JobPriority, JobSpec, WallMs};
use crate::state::{JobRecord, StateCache};
use foldhash::{HashMap, HashMapExt};

/// The priority and deadline that a job inherits: the highest priority of its downstream jobs, and
/// the time of day by which it must be done for their deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InheritedPriority {
    pub priority: JobPriority,
    pub due: Option<WallMs>,
}

/// Returns the priority at which a job is scheduled: its own, or the highest of the jobs that need
/// it.
pub fn effective_priority(
    inherited_by_job: &HashMap<String, InheritedPriority>,
    job: &str,
    spec: &JobSpec,
) -> JobPriority {
    let inherited = inherited_by_job.get(job).map(|p| p.priority);
    inherited.map_or(spec.priority, |priority| priority.max(spec.priority))
}

/// Returns the earlier of two optional times.
fn earliest(a: Option<WallMs>, b: Option<WallMs>) -> Option<WallMs> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the priority and deadline that each open job inherits from its downstream jobs. The last
/// job of a pipeline has the priority and the deadline; passed upstream, a deadline is earlier by the
/// run time of each job between. Only a share of that run time is counted, since estimates are often too high.
pub fn inherited_priorities(
    cache: &StateCache,
    min_run_ms: &dyn Fn(&str, &JobSpec) -> u64,
) -> HashMap<String, InheritedPriority> {
    let dependents = cache.dependents().by_dependency();
    // Number of downstream jobs still to be visited, by job; jobs without any are visited first.
    let mut unvisited: HashMap<&str, usize> = HashMap::new();
    let mut ready: Vec<&str> = Vec::new();
    for (id, jobs) in dependents {
        for dependent in jobs {
            if !dependents.contains_key(dependent) && !unvisited.contains_key(dependent.as_str()) {
                unvisited.insert(dependent, 0);
                ready.push(dependent);
            }
        }
        unvisited.insert(id, jobs.len());
    }
    let mut inherited_by_job: HashMap<String, InheritedPriority> = HashMap::new();
    while let Some(id) = ready.pop() {
        let (Some(job), Some(spec)) = (cache.job(id), cache.open_job(id)) else {
            continue;
        };
        let inherited = inherited_by_job.get(id);
        let priority = inherited.map_or(spec.priority, |p| p.priority.max(spec.priority));
        let due = earliest(own_deadline(job, spec), inherited.and_then(|p| p.due));
        let due = due.map(|due| due.saturating_sub(min_run_ms(id, spec)));
        for dependency in &spec.dependencies {
            if let Some(count) = unvisited.get_mut(dependency.as_str()) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    ready.push(dependency);
                }
            }
            if cache.open_job(dependency).is_some() {
                let inheritance = InheritedPriority { priority, due };
                let entry = inherited_by_job
                    .entry(dependency.clone())
                    .or_insert(inheritance);
                entry.priority = entry.priority.max(priority);
                entry.due = earliest(entry.due, due);
            }
        }
    }
    inherited_by_job
}

/// Returns the time of day at which a job is to be done by its own deadline, which counts from its
/// acceptance however long the job waited for others.
pub fn own_deadline(job: &JobRecord, spec: &JobSpec) -> Option<WallMs> {
    let within_ms = spec.deadline_s.map(|d| (d.max(0.0) * 1000.0) as u64);
    within_ms.map(|ms| job.accepted_at.saturating_add(ms))
}

/// Returns the milliseconds that a task takes by its owner's estimate.
pub fn estimated_run_ms(spec: &JobSpec) -> u64 {
    (spec.estimate_s.clamp(0.0, 1e6) * 1e3) as u64
}

/// Returns the least milliseconds that a job still takes by its estimate.
pub fn min_estimated_run_ms(spec: &JobSpec) -> u64 {
    (spec.estimate_s * 1000.0 * FEASIBLE_ESTIMATE_SHARE) as u64
}
