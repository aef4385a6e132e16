//! Whose turn it is when there is not room for all: of the jobs of a rank as many as can are done by
//! when they are due.
//!
//! Serving the earliest due first is best as long as all can be met. When a class asks for more than
//! there is, it is the worst: each job starts just too late, and nearly all miss. So jobs are given up
//! for now by the rule of Moore and Hodgson ("An n job, one machine sequencing algorithm for minimizing
//! the number of late jobs", 1968): taken in the order in which they are due, whenever what has been
//! taken does not fit into the time until then, the one with the most work left is put off. What is put
//! off comes after the rest of its rank, and may still meet a later goal of its own.

use crate::model::{Millis, WallMs};
use std::collections::BinaryHeap;

/// One job's waiting work.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// Processors by milliseconds, in thousandths of a processor.
    pub work: u128,
    pub tasks: u64,
    /// What is kept of it when it has to wait: its team.
    pub team: usize,
    /// By when it is to be done, the first of its goals that it can still meet alone; and the next.
    pub due: Option<WallMs>,
    pub next_due: Option<WallMs>,
    /// It is not put off, however much it is: it is within its team's guarantee and has just come.
    pub firm: bool,
}

/// What there is to serve them with.
#[derive(Clone, Debug, Default)]
pub struct Means {
    /// Thousandths of processors.
    pub cpus: u64,
    /// Tasks that can be started and ended in a second, by the state service's changes; 0 is no limit.
    pub tasks_per_s: f64,
    /// Work that comes first: what runs already, and what is of higher rank; and its tasks.
    pub before: u128,
    pub tasks_before: u64,
    /// What each team may use of it; 0 is no limit.
    pub teams: Vec<u64>,
}

/// When each job is to be done, or that it is put off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Due(WallMs),
    PutOff,
}

struct Taken {
    work: u128,
    at: usize,
    firm: bool,
}

impl PartialEq for Taken {
    fn eq(&self, other: &Taken) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Taken {}
impl PartialOrd for Taken {
    fn partial_cmp(&self, other: &Taken) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Taken {
    fn cmp(&self, other: &Taken) -> std::cmp::Ordering {
        self.work.cmp(&other.work).then(self.at.cmp(&other.at))
    }
}

/// Marks jobs put off so that what is left fits, in the order of its due times, into so many
/// processors after the work that comes before.
fn put_off(due: &mut [(WallMs, Taken)], cpus: u64, before: u128, wall: WallMs, off: &mut [bool]) {
    due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut sum = before;
    let mut taken: BinaryHeap<Taken> = BinaryHeap::new();
    for (due, job) in due.iter() {
        sum += job.work;
        if !job.firm {
            let (work, at) = (job.work, job.at);
            taken.push(Taken {
                work,
                at,
                firm: false,
            });
        }
        let fits = u128::from(cpus) * u128::from(due.saturating_sub(wall));
        while sum > fits {
            let Some(largest) = taken.pop() else { break };
            sum -= largest.work;
            off[largest.at] = true;
        }
    }
}

/// Processors' time that a task takes of what is short, where that is the changes by which it is
/// started and ended rather than processors.
fn per_task(jobs: &[Turn], means: &Means) -> Option<u128> {
    if means.tasks_per_s <= 0.0 {
        return None;
    }
    let per_task = (means.cpus as f64 * 1e3 / means.tasks_per_s) as u128;
    let tasks: u64 = means.tasks_before + jobs.iter().map(|j| j.tasks).sum::<u64>();
    let work: u128 = means.before + jobs.iter().map(|j| j.work).sum::<u128>();
    (u128::from(tasks) * per_task > work).then_some(per_task)
}

/// The same with two measures: nothing is put off until clearly more is asked for than there is, and
/// then with room to spare.
pub fn places_if_short(
    jobs: &[Turn],
    means: &Means,
    from: f64,
    share: f64,
    wall: WallMs,
) -> Vec<Place> {
    let times = |by: f64| Means {
        cpus: (means.cpus as f64 * by) as u64,
        tasks_per_s: means.tasks_per_s * by,
        teams: means
            .teams
            .iter()
            .map(|c| (*c as f64 * by) as u64)
            .collect(),
        ..means.clone()
    };
    let lax = places(jobs, &times(from), wall);
    let goal = |(job, place): (&Turn, &Place)| job.due.is_some() && *place == Place::PutOff;
    match jobs.iter().zip(&lax).any(goal) {
        true => places(jobs, &times(share), wall),
        false => lax,
    }
}

/// Says of each job of one rank when it is to be done, and which are put off.
pub fn places(jobs: &[Turn], means: &Means, wall: WallMs) -> Vec<Place> {
    let Some(per_task) = per_task(jobs, means) else {
        return placed(jobs, means, wall);
    };
    let taken = |j: &Turn| Turn {
        work: u128::from(j.tasks) * per_task,
        ..j.clone()
    };
    let jobs: Vec<Turn> = jobs.iter().map(taken).collect();
    // Teams' limits are of processors, which are not what is short.
    let means = Means {
        before: u128::from(means.tasks_before) * per_task,
        teams: Vec::new(),
        ..means.clone()
    };
    placed(&jobs, &means, wall)
}

fn placed(jobs: &[Turn], means: &Means, wall: WallMs) -> Vec<Place> {
    let taken = |at: usize, job: &Turn| Taken {
        work: job.work,
        at,
        firm: job.firm,
    };
    let mut off = vec![false; jobs.len()];
    // Teams at their limits first: what a team can't have does not stand in the way of others.
    for (team, cpus) in means.teams.iter().enumerate() {
        if *cpus == 0 || *cpus >= means.cpus {
            continue;
        }
        let those = jobs.iter().enumerate().filter(|(_, j)| j.team == team);
        let mut those: Vec<_> = those
            .filter_map(|(at, j)| Some((j.due?, taken(at, j))))
            .collect();
        put_off(&mut those, *cpus, 0, wall, &mut off);
    }
    let left = jobs.iter().enumerate().filter(|(at, _)| !off[*at]);
    let mut left: Vec<_> = left
        .filter_map(|(at, j)| Some((j.due?, taken(at, j))))
        .collect();
    put_off(&mut left, means.cpus, means.before, wall, &mut off);
    // Those put off have another try by their next goals, which take nothing from the others.
    let mut again: Vec<_> = (jobs.iter().enumerate())
        .filter_map(|(at, j)| match off[at] {
            true => Some((j.next_due?, taken(at, j))),
            false => {
                let mut kept = taken(at, j);
                kept.firm = true;
                Some((j.due?, kept))
            }
        })
        .collect();
    let mut off_again = vec![false; jobs.len()];
    put_off(&mut again, means.cpus, means.before, wall, &mut off_again);
    let place = |(at, j): (usize, &Turn)| match (off[at], j.due) {
        (false, Some(due)) => Place::Due(due),
        (true, _) if !off_again[at] => j.next_due.map_or(Place::PutOff, Place::Due),
        _ => Place::PutOff,
    };
    jobs.iter().enumerate().map(place).collect()
}

/// Milliseconds that a job of so many tasks takes with so many processors at the least.
pub fn work(tasks: u64, cpus: u64, run_ms: Millis) -> u128 {
    u128::from(tasks) * u128::from(cpus) * u128::from(run_ms)
}

#[cfg(test)]
mod tests;
