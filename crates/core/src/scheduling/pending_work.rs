//! Pending work: the tasks of each job that wait for a machine, in the order in which they are served.

use crate::constants::{BEGIN_LATE_MS, BEGIN_PART, NO_GOAL_MS, PASS_MAX_CHUNKS, PASS_MAX_JOBS};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobKind, JobPriority, JobSpec, Millis, Resources, TaskId, WallMs};
use crate::scheduling::claims::{self, within_limit};
use crate::scheduling::deferral::{CachedQueueOrder, Deferral, NextGoals};
use crate::scheduling::urgency::Urgency;
use crate::settings::Settings;
use crate::state::{
    JobRecord, StateCache, TaskState, TeamRecord, TransactionBuilder, ZoneSpreadRecord,
};
use foldhash::HashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// One job's pending tasks, as far as its team's limit lets them run.
#[derive(Clone, Debug)]
pub struct PendingWork {
    pub job: String,
    /// What each of its tasks requests.
    pub resources: Resources,
    pub image: String,
    pub urgency: Urgency,
    /// The job's own priority, without that inherited from jobs which depend on it.
    pub own_priority: JobPriority,
    /// Its pending tasks, in the order in which they are claimed.
    pub indices: VecDeque<u32>,
    /// Machines on which tasks of it failed: others are tried first.
    pub avoided_machines: Vec<String>,
    /// It has failed wherever it was tried: one task at a time, for which nothing is provisioned.
    pub is_suspect: bool,
    /// All of the tasks fit into what is left of their team's guarantee.
    pub is_within_guarantee: bool,
    /// For now it is placed only on machines that have its image: preemption soon frees capacity on one.
    pub requires_cached_image: bool,
    /// The job's live tasks by zone, where its zone rules need them.
    pub zones: ZoneSpreadRecord,
    /// The time of day at which its tasks could have started.
    pub ready_at: WallMs,
}

impl PendingWork {
    /// A job's work without any task, by its own priority and without a goal.
    pub fn of(
        cache: &StateCache,
        settings: &Settings,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> PendingWork {
        let has_zone_rules = (spec.zone_affinity || spec.topology_spread) && job.tasks > 1;
        let zones = match has_zone_rules {
            true => claims::zones_of(&TransactionBuilder::new(cache), job, id, &settings.zones),
            false => ZoneSpreadRecord::default(),
        };
        let ready_at = cache.ready_at(job);
        PendingWork {
            job: id.to_string(),
            resources: spec.resources,
            image: spec.image.clone(),
            urgency: Urgency {
                priority: Reverse(spec.priority),
                borrowed: false,
                is_deferred: false,
                due: ready_at + NO_GOAL_MS,
            },
            own_priority: spec.priority,
            indices: VecDeque::new(),
            avoided_machines: Vec::new(),
            is_suspect: false,
            is_within_guarantee: false,
            requires_cached_image: false,
            zones,
            ready_at,
        }
    }

    /// The task that is claimed next.
    pub fn next_task(&self) -> Option<TaskId> {
        let index = *self.indices.front()?;
        let job = self.job.clone();
        Some(TaskId { job, index })
    }

    /// Order in which work is served. Equally urgent work goes by the names of its jobs, so that the order
    /// is always the same.
    pub fn compare(&self, other: &PendingWork) -> std::cmp::Ordering {
        (self.urgency.cmp(&other.urgency)).then_with(|| self.job.cmp(&other.job))
    }
}

/// Estimates of run times, in milliseconds.
pub struct RunTimes<'a> {
    /// The least that a job still takes.
    pub min_remaining: &'a dyn Fn(&str, &JobSpec) -> Millis,
    /// By how much before it is due a job should start.
    pub start_before_due: &'a dyn Fn(&str) -> Millis,
}

/// What the queue of pending work is made from.
pub struct PendingWorkQueue<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    /// Priorities and due times that jobs inherit from those which depend on them.
    pub inherited: &'a HashMap<String, InheritedPriority>,
    pub run_times: &'a RunTimes<'a>,
    /// Thousandths of processors of all machines that work can be placed on.
    pub usable_cpus: &'a dyn Fn() -> u64,
    /// The time of day.
    pub wall: WallMs,
}

impl PendingWorkQueue<'_> {
    /// Pending tasks of all jobs in the order in which they should be served, at most `PASS_MAX_JOBS` jobs.
    pub fn collect(&self, cached_order: &mut CachedQueueOrder) -> Vec<PendingWork> {
        let refresh_order = cached_order.has_expired(self.wall);
        let mut found: Vec<PendingWork> = Vec::new();
        let mut next_goals = NextGoals::default();
        for (id, job, spec) in self.cache.waiting_jobs() {
            let Some((work, goals)) = self.work_of(id, job, spec) else {
                continue;
            };
            if let Some(goals) = goals.filter(|_| refresh_order) {
                next_goals.insert(id.to_string(), goals.next);
            }
            found.push(work);
        }
        if self.settings.tuning.put_off {
            if refresh_order {
                self.deferral().defer_excess(&mut found, &next_goals);
                cached_order.store(&found, self.wall);
            } else {
                cached_order.apply(&mut found);
            }
        }
        self.begin_overdue_batches(&mut found);
        // Guarantees are handed out in order of priority and due time, then limits are applied.
        found.sort_by(PendingWork::compare);
        let mut queue = self.apply_quotas(found);
        queue.sort_by(PendingWork::compare);
        queue.truncate(PASS_MAX_JOBS);
        queue
    }

    /// A job's pending tasks and its goals, if any of its tasks may be placed now.
    fn work_of(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> Option<(PendingWork, Option<StartGoals>)> {
        let mut pending = self.pending_tasks(id, job);
        let is_suspect = self.cache.is_suspect_job(id);
        if is_suspect {
            let nothing_runs = self.cache.task_counts(id).assigned == 0;
            pending.indices.truncate(usize::from(nothing_runs));
        }
        if pending.indices.is_empty() {
            return None;
        }
        let ready_at = self.cache.ready_at(job);
        let start_before_due = (self.run_times.start_before_due)(id);
        let goals = self.reachable_goals(id, job, spec, ready_at);
        let goals = StartGoals::of(&goals, start_before_due);
        // Work that can meet none comes after everything that can, since it is late in any case.
        let no_goal = (ready_at + NO_GOAL_MS).saturating_sub(start_before_due);
        let due = goals.as_ref().map_or(no_goal, |goals| goals.first);
        let plain = PendingWork::of(self.cache, self.settings, id, job, spec);
        let work = PendingWork {
            urgency: Urgency {
                priority: Reverse(dependencies::priority(self.inherited, id, spec)),
                due,
                ..plain.urgency
            },
            indices: pending.indices.into(),
            avoided_machines: pending.avoided_machines,
            is_suspect,
            ..plain
        };
        Some((work, goals))
    }

    /// Pending tasks in the first few chunks of a job that have any.
    fn pending_tasks(&self, id: &str, job: &JobRecord) -> PendingTasks {
        let mut found = PendingTasks::default();
        let mut chunks_used = 0;
        for n in 0..job.chunk_count() {
            if chunks_used >= PASS_MAX_CHUNKS {
                break;
            }
            let Some(chunk) = self.cache.chunk(id, n) else {
                // A chunk without a record: none of its tasks has been claimed yet.
                let end = job.tasks.min((n + 1).saturating_mul(job.tasks_per_chunk));
                found.indices.extend(n * job.tasks_per_chunk..end);
                chunks_used += 1;
                continue;
            };
            if chunk.pause_until > self.wall {
                continue;
            }
            let failed_on = chunk.failed_on.iter().cloned();
            found.avoided_machines.extend(failed_on);
            let before = found.indices.len();
            let pending = (chunk.tasks.iter().enumerate())
                .filter(|(_, state)| **state == TaskState::Pending)
                .map(|(slot, _)| chunk.first + slot as u32);
            found.indices.extend(pending);
            chunks_used += u32::from(found.indices.len() > before);
        }
        found
    }

    /// When a job should be complete, as times of day: by its deadline or that of a job which depends on it,
    /// or by the objectives of its class, counted from when it could start. Only goals that it can still
    /// meet, in this order.
    fn reachable_goals(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
        ready_at: WallMs,
    ) -> Vec<WallMs> {
        let policy = &self.settings.policy;
        let run_ms = (self.run_times.min_remaining)(id, spec);
        let own_deadline = dependencies::deadline(job, spec).into_iter();
        let inherited = self.inherited.get(id).and_then(|inherited| inherited.due);
        let deadline = own_deadline.chain(inherited).min();
        let completion = policy.goals.get(&spec.class).into_iter().flatten();
        let completion = completion.map(|within| ready_at + within);
        let start = policy.starts.get(&spec.class);
        let start = start.filter(|_| spec.kind == JobKind::Array);
        let start = start.map(|within| ready_at + within + run_ms);
        deadline
            .into_iter()
            .chain(completion)
            .chain(start)
            .filter(|due| self.wall + run_ms <= *due)
            .collect()
    }

    fn deferral(&self) -> Deferral<'_> {
        Deferral {
            cache: self.cache,
            settings: self.settings,
            usable_cpus: (self.usable_cpus)(),
            wall: self.wall,
        }
    }

    /// No batch waits for ever, however large it is, or however little capacity urgent work leaves: a part of
    /// it begins, and the rest waits its turn.
    fn begin_overdue_batches(&self, found: &mut [PendingWork]) {
        for work in found.iter_mut().filter(|work| !work.is_suspect) {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let begun = overdue_batch_begun(
                self.cache,
                self.settings,
                &work.job,
                work.ready_at,
                self.wall,
            );
            if begun == Some(0) {
                work.urgency.is_deferred = false;
                work.urgency.due = work.ready_at;
                work.urgency.priority.0 = work.urgency.priority.0.max(JobPriority::High);
                work.indices.truncate(first_part(spec) as usize);
            }
        }
    }

    /// Hands out teams' guarantees in the order of the work, and drops tasks above their limits.
    fn apply_quotas(&self, found: Vec<PendingWork>) -> Vec<PendingWork> {
        let mut usage: BTreeMap<String, TeamRecord> = BTreeMap::new();
        let mut kept = Vec::new();
        for mut work in found {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let Some(team) = self.settings.policy.teams.get(&spec.team) else {
                continue;
            };
            let used = usage
                .entry(spec.team.clone())
                .or_insert_with(|| self.cache.usage(&spec.team));
            let mut allowed = 0;
            while allowed < work.indices.len() && within_limit(team, used, &spec.resources) {
                used.cpus += spec.resources.cpus;
                used.gpus += spec.resources.gpus;
                if allowed == 0 {
                    work.urgency.borrowed = used.cpus > team.cpus || used.gpus > team.gpus;
                }
                allowed += 1;
            }
            work.is_within_guarantee =
                allowed == work.indices.len() && used.cpus <= team.cpus && used.gpus <= team.gpus;
            work.indices.truncate(allowed);
            if !work.indices.is_empty() {
                kept.push(work);
            }
        }
        kept
    }
}

/// Times of day by which a job should start to meet its first goal and the next one.
struct StartGoals {
    first: WallMs,
    next: Option<WallMs>,
}

impl StartGoals {
    /// From the times of day at which a job should be complete, of which the first comes first.
    fn of(goals: &[WallMs], start_before_due: Millis) -> Option<StartGoals> {
        let first = *goals.first()?;
        let next = goals.iter().find(|goal| **goal > first);
        Some(StartGoals {
            first: first.saturating_sub(start_before_due),
            next: next.map(|goal| goal.saturating_sub(start_before_due)),
        })
    }
}

/// Pending tasks of a job, and the machines on which tasks of the same chunks failed.
#[derive(Default)]
struct PendingTasks {
    indices: Vec<u32>,
    avoided_machines: Vec<String>,
}

/// Tasks of a batch that begin first when it has waited for long.
fn first_part(spec: &JobSpec) -> u32 {
    (spec.tasks / BEGIN_PART).max(1)
}

/// For a batch that has waited since `ready_at`, too long, and of which no more than its first part has begun:
/// how many of its tasks have. That part counts as urgent, or urgent work would preempt it again and again.
pub fn overdue_batch_begun(
    cache: &StateCache,
    settings: &Settings,
    id: &str,
    ready_at: WallMs,
    wall: WallMs,
) -> Option<u32> {
    if !settings.checks.begins || wall <= ready_at + BEGIN_LATE_MS {
        return None;
    }
    let spec = cache
        .open_job(id)
        .filter(|spec| spec.kind == JobKind::Array)?;
    let counts = cache.task_counts(id);
    let begun = counts.assigned + counts.done;
    (begun <= first_part(spec)).then_some(begun)
}
