//! The order of the queue when capacity is short: lets as many jobs of one priority as possible meet their due
//! times.
//!
//! Earliest due time first is optimal while all due times can be met. If a class requests more than the capacity,
//! it is the worst order: each job starts just too late and nearly all miss. Jobs are therefore deferred by the
//! rule of Moore and Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late
//! jobs", 1968): jobs are admitted in order of their due times, and whenever the admitted jobs don't fit into the
//! time until the latest of these, the one with the most work is deferred. Deferred jobs are served after the
//! other jobs of their priority, and may still meet a later goal of their own.

use crate::model::{Millis, WallMs};
use std::collections::BinaryHeap;

/// One job's pending work.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// The work of its pending tasks, in thousandths of processors times milliseconds.
    pub cpu_work: u128,
    pub tasks: u64,
    /// The index of its team in `Capacity::team_limits`.
    pub team: usize,
    /// The wall-clock time by which it should start for the first goal that it could meet if it ran alone.
    pub due: Option<WallMs>,
    /// The wall-clock time by which it should start for the first goal after that of `due`.
    pub next_due: Option<WallMs>,
    /// Whether it is exempt from deferral, however large it is, because it has just arrived and is within its
    /// team's guaranteed share.
    pub is_exempt: bool,
}

/// The capacity that serves the jobs.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Thousandths of processors.
    pub cpus: u64,
    /// Tasks that can be started and ended per second at the write rate of the state store; 0 means no limit.
    pub tasks_per_s: f64,
    /// Work that is served first because it is running or has a higher priority, in thousandths of processors
    /// times milliseconds.
    pub cpu_work_ahead: u128,
    /// The number of tasks in that work.
    pub tasks_ahead: u64,
    /// Thousandths of processors that each team may use; 0 means no limit.
    pub team_limits: Vec<u64>,
}

impl Capacity {
    /// Returns the capacity with the processors, the task rate and the limits multiplied by `factor`.
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

/// The place of a job in the queue: its due time, or deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePlace {
    Due(WallMs),
    Deferred,
}

/// A job's work and its position in the queue, ordered by work.
struct AdmittedJob {
    cpu_work: u128,
    position: usize,
    is_exempt: bool,
}

impl AdmittedJob {
    fn of(position: usize, job: &QueuedJob) -> AdmittedJob {
        AdmittedJob {
            cpu_work: job.cpu_work,
            position,
            is_exempt: job.is_exempt,
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

/// Marks jobs in `deferred` so that the other jobs, in the order of their due times and after the work ahead, fit
/// into `cpus`.
fn defer_until_fitting(
    jobs: &mut [(WallMs, AdmittedJob)],
    cpus: u64,
    cpu_work_ahead: u128,
    wall_time: WallMs,
    deferred: &mut [bool],
) {
    jobs.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut admitted_cpu_work = cpu_work_ahead;
    let mut deferrable: BinaryHeap<&AdmittedJob> = BinaryHeap::new();
    for (due, job) in jobs.iter() {
        admitted_cpu_work += job.cpu_work;
        if !job.is_exempt {
            deferrable.push(job);
        }
        let available_cpu_work = u128::from(cpus) * u128::from(due.saturating_sub(wall_time));
        while admitted_cpu_work > available_cpu_work {
            let Some(largest) = deferrable.pop() else {
                break;
            };
            admitted_cpu_work -= largest.cpu_work;
            deferred[largest.position] = true;
        }
    }
}

/// Returns the processor work that each task counts as, if the rate at which tasks can be started and ended is the
/// bottleneck. Returns `None` if processors are.
fn cpu_work_per_task(jobs: &[QueuedJob], capacity: &Capacity) -> Option<u128> {
    if capacity.tasks_per_s <= 0.0 {
        return None;
    }
    let per_task = (capacity.cpus as f64 * 1e3 / capacity.tasks_per_s) as u128;
    let tasks = capacity.tasks_ahead + jobs.iter().map(|job| job.tasks).sum::<u64>();
    let cpu_work = capacity.cpu_work_ahead + jobs.iter().map(|job| job.cpu_work).sum::<u128>();
    (u128::from(tasks) * per_task > cpu_work).then_some(per_task)
}

/// Returns the places of jobs of one priority, with hysteresis: no job is deferred until the jobs request more than
/// `threshold` times the capacity. Then jobs are deferred until the rest fits into `share` of the capacity.
pub fn places_with_hysteresis(
    jobs: &[QueuedJob],
    capacity: &Capacity,
    threshold: f64,
    share: f64,
    wall_time: WallMs,
) -> Vec<QueuePlace> {
    let lenient_places = places(jobs, &capacity.scaled(threshold), wall_time);
    let misses_goal = |(job, place): (&QueuedJob, &QueuePlace)| {
        job.due.is_some() && *place == QueuePlace::Deferred
    };
    match jobs.iter().zip(&lenient_places).any(misses_goal) {
        true => places(jobs, &capacity.scaled(share), wall_time),
        false => lenient_places,
    }
}

/// Returns the place of each job of one priority: its due time, or deferred.
pub fn places(jobs: &[QueuedJob], capacity: &Capacity, wall_time: WallMs) -> Vec<QueuePlace> {
    let Some(cpu_work_per_task) = cpu_work_per_task(jobs, capacity) else {
        return places_by_cpu_work(jobs, capacity, wall_time);
    };
    let by_tasks = |job: &QueuedJob| QueuedJob {
        cpu_work: u128::from(job.tasks) * cpu_work_per_task,
        ..job.clone()
    };
    let jobs: Vec<QueuedJob> = jobs.iter().map(by_tasks).collect();
    // Teams' limits apply to processors, which are not the bottleneck here.
    let capacity = Capacity {
        cpu_work_ahead: u128::from(capacity.tasks_ahead) * cpu_work_per_task,
        team_limits: Vec::new(),
        ..capacity.clone()
    };
    places_by_cpu_work(&jobs, &capacity, wall_time)
}

fn places_by_cpu_work(
    jobs: &[QueuedJob],
    capacity: &Capacity,
    wall_time: WallMs,
) -> Vec<QueuePlace> {
    let mut deferred = vec![false; jobs.len()];
    defer_by_team_limits(jobs, capacity, wall_time, &mut deferred);
    let with_goal = |(position, job): (usize, &QueuedJob)| {
        let due = job.due?;
        Some((due, AdmittedJob::of(position, job)))
    };
    let mut admitted: Vec<_> = (jobs.iter().enumerate())
        .filter(|(position, _)| !deferred[*position])
        .filter_map(with_goal)
        .collect();
    let (cpus, cpu_work_ahead) = (capacity.cpus, capacity.cpu_work_ahead);
    defer_until_fitting(
        &mut admitted,
        cpus,
        cpu_work_ahead,
        wall_time,
        &mut deferred,
    );
    // Deferred jobs are tried again with their next goals, with only the capacity that the admitted jobs leave.
    let mut retried: Vec<_> = (jobs.iter().enumerate())
        .filter_map(|(position, job)| {
            let mut admitted = AdmittedJob::of(position, job);
            if deferred[position] {
                return Some((job.next_due?, admitted));
            }
            admitted.is_exempt = true;
            Some((job.due?, admitted))
        })
        .collect();
    let mut deferred_again = vec![false; jobs.len()];
    defer_until_fitting(
        &mut retried,
        cpus,
        cpu_work_ahead,
        wall_time,
        &mut deferred_again,
    );
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

/// Defers jobs that don't fit into their team's limit, so that they don't displace jobs of other teams.
fn defer_by_team_limits(
    jobs: &[QueuedJob],
    capacity: &Capacity,
    wall_time: WallMs,
    deferred: &mut [bool],
) {
    for (team, cpus) in capacity.team_limits.iter().enumerate() {
        if *cpus == 0 || *cpus >= capacity.cpus {
            continue;
        }
        let mut team_jobs: Vec<_> = (jobs.iter().enumerate())
            .filter(|(_, job)| job.team == team)
            .filter_map(|(position, job)| Some((job.due?, AdmittedJob::of(position, job))))
            .collect();
        defer_until_fitting(&mut team_jobs, *cpus, 0, wall_time, deferred);
    }
}

/// Returns the work of `tasks` tasks in thousandths of processors times milliseconds.
pub fn cpu_work(tasks: u64, cpus: u64, run_ms: Millis) -> u128 {
    u128::from(tasks) * u128::from(cpus) * u128::from(run_ms)
}

#[cfg(test)]
mod tests;
