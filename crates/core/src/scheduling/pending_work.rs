//! Pending work: the tasks of each job that wait for a machine, in the order in which they are served.

use crate::constants::{BEGIN_LATE_MS, BEGIN_PART, NO_GOAL_MS, PASS_MAX_CHUNKS, PASS_MAX_JOBS};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobKind, JobPriority, JobSpec, Resources, WallMs};
use crate::scheduling::claims::{self, within_limit};
use crate::scheduling::deferral::{take_turns, CachedQueueOrder};
use crate::scheduling::urgency::Urgency;
use crate::settings::Settings;
use crate::state::{
    JobRecord, StateCache, TaskState, TeamRecord, TransactionBuilder, ZoneSpreadRecord,
};
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, VecDeque};

/// What decides where a task fits. Jobs whose zones depend on their own other tasks form
/// sets of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapabilitySet {
    pub resources: Resources,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    pub image: String,
    pub own: Option<String>,
}

/// One job's waiting tasks, as far as its team's limit lets them run.
#[derive(Clone, Debug)]
pub struct PendingWork {
    pub job: String,
    pub set: CapabilitySet,
    pub urgency: Urgency,
    /// Without that of jobs which need it.
    pub own_rank: JobPriority,
    pub indices: VecDeque<u32>,
    /// Machines on which tasks of it failed: others come first.
    pub avoid: Vec<String>,
    /// It has failed wherever it was tried: one task at a time, for which nothing is provisioned.
    pub suspect: bool,
    /// All of them fit into what is left of their team's guarantee.
    pub within: bool,
    /// For now only machines with its image will do: on such a one room is soon made.
    pub warm_only: bool,
    pub zones: ZoneSpreadRecord,
    /// When its tasks could have started.
    pub at: WallMs,
}

impl PendingWork {
    /// A job's without any task, by its own rank and without a goal.
    pub fn of(
        cache: &StateCache,
        settings: &Settings,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> PendingWork {
        let own = (spec.zone_affinity || spec.topology_spread) && job.tasks > 1;
        let zones = match own {
            true => claims::zones_of(&TransactionBuilder::new(cache), job, id, &settings.zones),
            false => ZoneSpreadRecord::default(),
        };
        let ready_at = cache.ready_at(job);
        PendingWork {
            job: id.to_string(),
            set: CapabilitySet {
                resources: spec.resources,
                machine_types: spec.machine_types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                image: spec.image.clone(),
                own: own.then(|| id.to_string()),
            },
            urgency: Urgency {
                priority: std::cmp::Reverse(spec.priority),
                borrowed: false,
                put_off: false,
                due: ready_at + NO_GOAL_MS,
            },
            own_rank: spec.priority,
            indices: VecDeque::new(),
            avoid: Vec::new(),
            suspect: false,
            within: false,
            warm_only: false,
            zones,
            at: ready_at,
        }
    }
}

/// When a job should be complete, as times of day: by its deadline or that of a job which needs it,
/// or by what the objectives say of its class, counted from when it could start - those of these
/// that it can still meet, in that order.
fn goals(
    job: &JobRecord,
    spec: &JobSpec,
    ready_at: WallMs,
    pull: Option<&InheritedPriority>,
    run_ms: u64,
    settings: &Settings,
    wall: WallMs,
) -> Vec<WallMs> {
    let own = dependencies::deadline(job, spec).into_iter();
    let deadline = own.chain(pull.and_then(|p| p.due)).min();
    let goals = settings.policy.goals.get(&spec.class).into_iter().flatten();
    let goals = goals.map(|within| ready_at + within);
    let start = settings.policy.starts.get(&spec.class);
    let start = start.filter(|_| spec.kind == JobKind::Array);
    let start = start.map(|within| ready_at + within + run_ms);
    deadline
        .into_iter()
        .chain(goals)
        .chain(start)
        .filter(|due| wall + run_ms <= *due)
        .collect()
}

/// What is thought of run times, in milliseconds.
pub struct RunTimes<'a> {
    /// What a job still takes at the least.
    pub least: &'a dyn Fn(&str, &JobSpec) -> u64,
    /// By how much before it is due a job should start.
    pub before_due: &'a dyn Fn(&str) -> u64,
}

/// Waiting tasks in the order in which they should be served.
pub fn waiting(
    cache: &StateCache,
    settings: &Settings,
    pulls: &HashMap<String, InheritedPriority>,
    runs: &RunTimes,
    cpus: &dyn Fn() -> u64,
    kept_turns: &mut CachedQueueOrder,
    wall: WallMs,
) -> Vec<PendingWork> {
    let mut found: Vec<PendingWork> = Vec::new();
    let mut next_goals: HashMap<String, Option<WallMs>> = HashMap::new();
    let new_turns = kept_turns.old(wall);
    for (id, job, spec) in cache.waiting_jobs() {
        let ready_at = cache.ready_at(job);
        let pull = pulls.get(id);
        let mut indices = Vec::new();
        let mut avoid: Vec<String> = Vec::new();
        let mut looked = 0;
        for n in 0..job.chunks() {
            if looked >= PASS_MAX_CHUNKS {
                break;
            }
            match cache.chunk(id, n) {
                Some(chunk) => {
                    if chunk.pause_until > wall {
                        continue;
                    }
                    avoid.extend(chunk.failed_on.iter().cloned());
                    let before = indices.len();
                    indices.extend(
                        chunk
                            .tasks
                            .iter()
                            .enumerate()
                            .filter(|(_, t)| **t == TaskState::Pending)
                            .map(|(i, _)| chunk.first + i as u32),
                    );
                    looked += u32::from(indices.len() > before);
                }
                None => {
                    let end = job.tasks.min((n + 1).saturating_mul(job.chunk));
                    indices.extend(n * job.chunk..end);
                    looked += 1;
                }
            }
        }
        let suspect = cache.suspect(id);
        if suspect {
            indices.truncate(usize::from(cache.counts(id).assigned == 0));
        }
        if indices.is_empty() {
            continue;
        }
        let least_ms = (runs.least)(id, spec);
        let goals = goals(job, spec, ready_at, pull, least_ms, settings, wall);
        let before_due = (runs.before_due)(id);
        if let Some(due) = goals.first().filter(|_| new_turns) {
            let next = goals.iter().find(|g| *g > due);
            let next = next.map(|g| g.saturating_sub(before_due));
            next_goals.insert(id.to_string(), next);
        }
        // What can meet none comes after everything that can, since it is late in any case.
        let due = goals.first().copied().unwrap_or(ready_at + NO_GOAL_MS);
        let plain = PendingWork::of(cache, settings, id, job, spec);
        found.push(PendingWork {
            urgency: Urgency {
                priority: std::cmp::Reverse(dependencies::priority(pulls, id, spec)),
                due: due.saturating_sub(before_due),
                ..plain.urgency
            },
            indices: indices.into(),
            avoid,
            suspect,
            ..plain
        });
    }
    if settings.tuning.put_off {
        if new_turns {
            take_turns(&mut found, &next_goals, cache, settings, cpus(), wall);
            kept_turns.keep(&found, wall);
        } else {
            kept_turns.take(&mut found);
        }
    }
    for w in found.iter_mut().filter(|w| !w.suspect) {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        if begins_late(cache, settings, &w.job, w.at, wall) == Some(0) {
            // Not even the largest waits for ever, nor what urgent work never leaves room for: a part of it
            // begins, and the rest has its turn.
            (w.urgency.put_off, w.urgency.due) = (false, w.at);
            w.urgency.priority.0 = w.urgency.priority.0.max(JobPriority::High);
            w.indices.truncate(begin_part(spec) as usize);
        }
    }
    // Guarantees are handed out in order of rank and due time, then limits are applied.
    found.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    let mut usage: BTreeMap<String, TeamRecord> = BTreeMap::new();
    let mut kept = Vec::new();
    for mut w in found {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let Some(team) = settings.policy.teams.get(&spec.team) else {
            continue;
        };
        let used = usage
            .entry(spec.team.clone())
            .or_insert_with(|| cache.usage(&spec.team));
        let mut allowed = 0;
        while allowed < w.indices.len() && within_limit(team, used, &spec.resources) {
            if allowed == 0 {
                w.urgency.borrowed = used.cpus + spec.resources.cpus > team.cpus
                    || used.gpus + spec.resources.gpus > team.gpus;
            }
            used.cpus += spec.resources.cpus;
            used.gpus += spec.resources.gpus;
            allowed += 1;
        }
        w.within = allowed == w.indices.len() && used.cpus <= team.cpus && used.gpus <= team.gpus;
        w.indices.truncate(allowed);
        if !w.indices.is_empty() {
            kept.push(w);
        }
    }
    kept.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    kept.truncate(PASS_MAX_JOBS);
    kept
}

/// Tasks of a batch that begin first when it has waited for long.
fn begin_part(spec: &JobSpec) -> u32 {
    (spec.tasks / BEGIN_PART).max(1)
}

/// Of a batch that has waited for long, and of which no more than its first part has begun: how many tasks
/// have. That part counts as urgent, or work that is would stop it again and again.
pub fn begins_late(
    cache: &StateCache,
    settings: &Settings,
    id: &str,
    at: WallMs,
    wall: WallMs,
) -> Option<u32> {
    if !settings.checks.begins || wall <= at + BEGIN_LATE_MS {
        return None;
    }
    let spec = cache.open_job(id).filter(|s| s.kind == JobKind::Array)?;
    let counts = cache.counts(id);
    let begun = counts.assigned + counts.done;
    (begun <= begin_part(spec)).then_some(begun)
}
