//! Deferral: which pending jobs are put off, priority by priority, when not all of them can be done in time.

use crate::constants::{CHANGES_PER_TASK, FRESH_MS, QUEUE_ORDER_CACHE_MS};
use crate::jobs::dependencies;
use crate::model::{JobKind, JobPriority, JobSpec, WallMs};
use crate::scheduling::pending_work::PendingWork;
use crate::scheduling::queue_order;
use crate::settings::Settings;
use crate::state::StateCache;
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Whose turn it is, worked out now and then: hundreds of jobs wait in a burst, and scheduling passes are many.
#[derive(Default)]
pub struct CachedQueueOrder {
    until: WallMs,
    /// Jobs that are put off, and when others are due if not by their first goal.
    places: HashMap<String, (bool, WallMs)>,
}

impl CachedQueueOrder {
    /// Whether they are to be worked out anew; also when the time of day was set back.
    pub fn old(&self, wall: WallMs) -> bool {
        wall >= self.until || wall + QUEUE_ORDER_CACHE_MS < self.until
    }

    pub fn keep(&mut self, found: &[PendingWork], wall: WallMs) {
        self.until = wall + QUEUE_ORDER_CACHE_MS;
        let place = |w: &PendingWork| (w.job.clone(), (w.urgency.put_off, w.urgency.due));
        self.places = found.iter().map(place).collect();
    }

    pub fn take(&self, found: &mut [PendingWork]) {
        for w in found {
            if let Some((put_off, due)) = self.places.get(&w.job) {
                (w.urgency.put_off, w.urgency.due) = (*put_off, *due);
            }
        }
    }
}

/// Puts off, rank by rank, what there is no room for in time. `cpus`: thousandths of processors that
/// there are in all.
pub fn take_turns(
    found: &mut [PendingWork],
    next_goals: &HashMap<String, Option<WallMs>>,
    cache: &StateCache,
    settings: &Settings,
    cpus: u64,
    wall: WallMs,
) {
    found.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    // Services stay; what else runs is half done, on the whole.
    let mut services = 0;
    let mut running: BTreeMap<JobPriority, (u128, u64)> = BTreeMap::new();
    let mut held: BTreeMap<&str, u64> = BTreeMap::new();
    for (id, _, spec) in cache.open_jobs() {
        let cpus = u64::from(cache.counts(id).assigned) * spec.resources.cpus;
        match spec.kind {
            JobKind::Service => {
                services += cpus;
                *held.entry(&spec.team).or_default() += cpus;
            }
            JobKind::Array => {
                let (work, tasks) = running.entry(spec.priority).or_default();
                *work += queue_order::work(1, cpus, dependencies::run_ms(spec) / 2);
                // They have been started: what is left are their results.
                *tasks += u64::from(cache.counts(id).assigned / 2);
            }
        }
    }
    let (from, share) = (settings.tuning.put_off_from, settings.tuning.put_off_share);
    let names: Vec<&String> = settings.policy.teams.keys().collect();
    let limits = settings
        .policy
        .teams
        .iter()
        .map(|(name, team)| match team.cpus_max {
            0 => 0,
            most => (most.saturating_sub(held.get(name.as_str()).copied().unwrap_or(0))).max(1),
        });
    let mut means = queue_order::Means {
        cpus: cpus.saturating_sub(services),
        tasks_per_s: settings.write_rps * settings.controllers.len() as f64 / CHANGES_PER_TASK,
        before: 0,
        tasks_before: 0,
        teams: limits.collect(),
    };
    let arrived = within_on_arrival(found, cache, settings, wall);
    for class in found.chunk_by_mut(|a, b| a.urgency.priority == b.urgency.priority) {
        // What runs of lower rank is stopped for it.
        let priority = class
            .first()
            .map_or(JobPriority::Low, |w| w.urgency.priority.0);
        let above: Vec<JobPriority> = running.range(priority..).map(|(r, _)| *r).collect();
        for (work, tasks) in above.iter().filter_map(|r| running.remove(r)) {
            means.before += work;
            means.tasks_before += tasks;
        }
        let jobs: Vec<queue_order::Turn> = (class.iter())
            .map(|w| {
                let spec = cache.open_job(&w.job);
                let team = spec.and_then(|s| names.iter().position(|n| **n == s.team));
                let run_ms = spec.map_or(0, dependencies::run_ms);
                let goals = next_goals.get(&w.job);
                queue_order::Turn {
                    work: queue_order::work(w.indices.len() as u64, w.set.resources.cpus, run_ms),
                    tasks: w.indices.len() as u64,
                    team: team.unwrap_or(0),
                    due: goals.map(|_| w.urgency.due),
                    next_due: goals.copied().flatten(),
                    firm: arrived.contains(&w.job),
                }
            })
            .collect();
        let places = queue_order::places_if_short(&jobs, &means, from, share, wall);
        for (w, place) in class.iter_mut().zip(places) {
            match place {
                queue_order::Place::Due(due) => w.urgency.due = due,
                // What has been overdue for long comes first: nothing is put off for ever.
                queue_order::Place::PutOff => {
                    w.urgency.put_off = w.urgency.due > wall && !arrived.contains(&w.job);
                }
            }
        }
        means.before += jobs.iter().map(|j| j.work).sum::<u128>();
        means.tasks_before += jobs.iter().map(|j| j.tasks).sum::<u64>();
    }
}

/// Jobs that have just come and that fit into their team's guarantee with all that the team had
/// before: they need not wait for anybody.
fn within_on_arrival(
    found: &[PendingWork],
    cache: &StateCache,
    settings: &Settings,
    wall: WallMs,
) -> BTreeSet<String> {
    let fresh = |at: WallMs| wall < at + FRESH_MS;
    if !found.iter().any(|w| fresh(w.at)) {
        return BTreeSet::new();
    }
    let mut open: Vec<(WallMs, &str, &JobSpec)> = cache
        .open_jobs()
        .map(|(id, job, spec)| (cache.ready_at(job), id, spec))
        .collect();
    open.sort_by_key(|(at, id, _)| (*at, *id));
    let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut within = BTreeSet::new();
    for (at, id, spec) in open {
        let Some(team) = settings.policy.teams.get(&spec.team) else {
            continue;
        };
        let left = u64::from(spec.tasks.saturating_sub(cache.counts(id).done));
        let (cpus, gpus) = sums.entry(&spec.team).or_default();
        *cpus += left * spec.resources.cpus;
        *gpus += left * spec.resources.gpus;
        if fresh(at) && *cpus <= team.cpus && *gpus <= team.gpus {
            within.insert(id.to_string());
        }
    }
    within
}
