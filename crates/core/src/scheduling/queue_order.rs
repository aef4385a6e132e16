//! The order of the queue when capacity is short: of the jobs of one priority as many as possible are done by
//! when they are due.
//!
//! Serving the earliest due first is best as long as all due times can be met. When a class asks for more than
//! there is, it is the worst: each job starts just too late, and nearly all miss. So jobs are deferred by the
//! rule of Moore and Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late
//! jobs", 1968): admitted in the order in which they are due, whenever the admitted jobs do not fit into the
//! time until then, the one with the most work left is deferred. Deferred jobs come after the rest of their
//! priority, and may still meet a later goal of their own.

use crate::model::{Millis, WallMs};
use std::collections::BinaryHeap;

/// One job's pending work.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// Thousandths of processors times milliseconds.
    pub cpu_work: u128,
    pub tasks: u64,
    /// The position of its team among the limits of `Capacity`.
    pub team: usize,
    /// By when it is to start: the first of its goals that it can still meet alone; and the next one.
    pub due: Option<WallMs>,
    pub next_due: Option<WallMs>,
    /// It is never deferred, however large it is: it is within its team's guarantee and has just arrived.
    pub is_firm: bool,
}

/// What there is to serve the jobs with.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Thousandths of processors.
    pub cpus: u64,
    /// Tasks that can be started and ended in a second, by the changes that the state service takes; 0 is no
    /// limit.
    pub tasks_per_s: f64,
    /// Work that comes first, in thousandths of processors times milliseconds: what runs already, and what is
    /// of higher priority; and its tasks.
    pub work_ahead: u128,
    pub tasks_ahead: u64,
    /// Thousandths of processors that each team may use; 0 is no limit.
    pub team_limits: Vec<u64>,
}

impl Capacity {
    /// The same with so many times the processors, tasks and limits.
    fn scaled(&self, factor: f64) -> Capacity {
        let scale = |cpus: u64| (cpus as f64 * factor) as u64;
        Capacity {
            cpus: scale(self.cpus),
            tasks_per_s: self.tasks_per_s * factor,
            team_limits: self.team_limits.iter().map(|cpus| scale(*cpus)).collect(),
            ..self.clone()
        }
    }
}

/// When a job is due, or that it is deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePlace {
    Due(WallMs),
    Deferred,
}

/// A job's work with its position in the queue. The one with the most work is the greatest.
struct AdmittedJob {
    cpu_work: u128,
    position: usize,
    is_firm: bool,
}

impl AdmittedJob {
    fn of(position: usize, job: &QueuedJob) -> AdmittedJob {
        AdmittedJob {
            cpu_work: job.cpu_work,
            position,
            is_firm: job.is_firm,
        }
    }
}

impl PartialEq for AdmittedJob {
    fn eq(&self, other: &AdmittedJob) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for AdmittedJob {}
impl PartialOrd for AdmittedJob {
    fn partial_cmp(&self, other: &AdmittedJob) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for AdmittedJob {
    fn cmp(&self, other: &AdmittedJob) -> std::cmp::Ordering {
        (self.cpu_work.cmp(&other.cpu_work)).then(self.position.cmp(&other.position))
    }
}

/// Marks jobs in `deferred` so that the others fit, in the order of their due times, into so many processors
/// after the work that comes first.
fn defer_until_fitting(
    jobs: &mut [(WallMs, AdmittedJob)],
    cpus: u64,
    work_ahead: u128,
    wall: WallMs,
    deferred: &mut [bool],
) {
    jobs.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut sum = work_ahead;
    let mut deferrable: BinaryHeap<&AdmittedJob> = BinaryHeap::new();
    for (due, job) in jobs.iter() {
        sum += job.cpu_work;
        if !job.is_firm {
            deferrable.push(job);
        }
        let fits = u128::from(cpus) * u128::from(due.saturating_sub(wall));
        while sum > fits {
            let Some(largest) = deferrable.pop() else {
                break;
            };
            sum -= largest.cpu_work;
            deferred[largest.position] = true;
        }
    }
}

/// Processor time that a task counts as, where the changes by which tasks are started and ended are short
/// rather than processors.
fn cpu_work_per_task(jobs: &[QueuedJob], capacity: &Capacity) -> Option<u128> {
    if capacity.tasks_per_s <= 0.0 {
        return None;
    }
    let per_task = (capacity.cpus as f64 * 1e3 / capacity.tasks_per_s) as u128;
    let tasks = capacity.tasks_ahead + jobs.iter().map(|job| job.tasks).sum::<u64>();
    let cpu_work = capacity.work_ahead + jobs.iter().map(|job| job.cpu_work).sum::<u128>();
    (u128::from(tasks) * per_task > cpu_work).then_some(per_task)
}

/// Places with hysteresis: nothing is deferred until more is asked for than `threshold` times the capacity,
/// and then so much that the rest fits into `share` of it.
pub fn places_if_short(
    jobs: &[QueuedJob],
    capacity: &Capacity,
    threshold: f64,
    share: f64,
    wall: WallMs,
) -> Vec<QueuePlace> {
    let lenient = places(jobs, &capacity.scaled(threshold), wall);
    let misses_goal = |(job, place): (&QueuedJob, &QueuePlace)| {
        job.due.is_some() && *place == QueuePlace::Deferred
    };
    match jobs.iter().zip(&lenient).any(misses_goal) {
        true => places(jobs, &capacity.scaled(share), wall),
        false => lenient,
    }
}

/// For each job of one priority: when it is due, or that it is deferred.
pub fn places(jobs: &[QueuedJob], capacity: &Capacity, wall: WallMs) -> Vec<QueuePlace> {
    let Some(per_task) = cpu_work_per_task(jobs, capacity) else {
        return places_by_cpu_work(jobs, capacity, wall);
    };
    let by_tasks = |job: &QueuedJob| QueuedJob {
        cpu_work: u128::from(job.tasks) * per_task,
        ..job.clone()
    };
    let jobs: Vec<QueuedJob> = jobs.iter().map(by_tasks).collect();
    // Teams' limits are of processors, which are not what is short.
    let capacity = Capacity {
        work_ahead: u128::from(capacity.tasks_ahead) * per_task,
        team_limits: Vec::new(),
        ..capacity.clone()
    };
    places_by_cpu_work(&jobs, &capacity, wall)
}

fn places_by_cpu_work(jobs: &[QueuedJob], capacity: &Capacity, wall: WallMs) -> Vec<QueuePlace> {
    let mut deferred = vec![false; jobs.len()];
    defer_by_team_limits(jobs, capacity, wall, &mut deferred);
    let with_goal = |(position, job): (usize, &QueuedJob)| {
        let due = job.due?;
        Some((due, AdmittedJob::of(position, job)))
    };
    let mut admitted: Vec<_> = (jobs.iter().enumerate())
        .filter(|(position, _)| !deferred[*position])
        .filter_map(with_goal)
        .collect();
    let (cpus, work_ahead) = (capacity.cpus, capacity.work_ahead);
    defer_until_fitting(&mut admitted, cpus, work_ahead, wall, &mut deferred);
    // Deferred jobs have another try by their next goals, which take nothing from the others.
    let mut retried: Vec<_> = (jobs.iter().enumerate())
        .filter_map(|(position, job)| {
            let mut admitted = AdmittedJob::of(position, job);
            if deferred[position] {
                return Some((job.next_due?, admitted));
            }
            admitted.is_firm = true;
            Some((job.due?, admitted))
        })
        .collect();
    let mut deferred_again = vec![false; jobs.len()];
    defer_until_fitting(&mut retried, cpus, work_ahead, wall, &mut deferred_again);
    let place = |(position, job): (usize, &QueuedJob)| {
        let due = match deferred[position] {
            false => job.due,
            true if deferred_again[position] => None,
            true => job.next_due,
        };
        due.map_or(QueuePlace::Deferred, QueuePlace::Due)
    };
    jobs.iter().enumerate().map(place).collect()
}

/// Defers what does not fit into its team's limit, so that it does not stand in the way of other teams.
fn defer_by_team_limits(
    jobs: &[QueuedJob],
    capacity: &Capacity,
    wall: WallMs,
    deferred: &mut [bool],
) {
    for (team, cpus) in capacity.team_limits.iter().enumerate() {
        if *cpus == 0 || *cpus >= capacity.cpus {
            continue;
        }
        let mut of_team: Vec<_> = (jobs.iter().enumerate())
            .filter(|(_, job)| job.team == team)
            .filter_map(|(position, job)| Some((job.due?, AdmittedJob::of(position, job))))
            .collect();
        defer_until_fitting(&mut of_team, *cpus, 0, wall, deferred);
    }
}

/// Thousandths of processors times milliseconds that so many tasks take.
pub fn cpu_work(tasks: u64, cpus: u64, run_ms: Millis) -> u128 {
    u128::from(tasks) * u128::from(cpus) * u128::from(run_ms)
}

#[cfg(test)]
mod tests;
