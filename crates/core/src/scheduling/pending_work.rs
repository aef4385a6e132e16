//! Pending work: each job's tasks that wait for a machine, in the order in which scheduling passes serve them.

use crate::constants::{
    BATCH_START_DIVISOR, BATCH_START_LATE_MS, NO_GOAL_DUE_MS, PASS_MAX_CHUNKS, PASS_MAX_JOBS,
};
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

/// One job's pending tasks that the limit of its team allows to run.
#[derive(Clone, Debug)]
pub struct PendingWork {
    pub job: String,
    /// The resources that each of its tasks requests.
    pub resources: Resources,
    pub image: String,
    pub urgency: Urgency,
    /// The job's own priority, without any priority inherited from jobs that depend on it.
    pub own_priority: JobPriority,
    /// The indices of its pending tasks, in the order in which they are claimed.
    pub indices: VecDeque<u32>,
    /// Machines on which its tasks failed. Other machines are preferred.
    pub avoided_machines: Vec<String>,
    /// Whether the job has failed on several machines and none of its tasks has succeeded. Such a job runs one
    /// task at a time, and nothing is preempted or provisioned for it.
    pub is_suspect: bool,
    /// Whether all of the tasks fit into the unused part of their team's guarantee.
    pub is_within_guarantee: bool,
    /// Whether it may only be placed on machines that cache its image, for the short time until preemption frees
    /// capacity on them.
    pub requires_cached_image: bool,
    /// The number of the job's assigned tasks per zone. Empty if the job has no zone rules.
    pub zone_spread: ZoneSpreadRecord,
    /// The wall-clock time from which its tasks could have started.
    pub ready_at: WallMs,
}

impl PendingWork {
    /// Creates a job's pending work with no tasks, with the job's own priority and without a goal.
    pub fn new(
        cache: &StateCache,
        settings: &Settings,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> PendingWork {
        let has_zone_rules = (spec.zone_affinity || spec.topology_spread) && job.tasks > 1;
        let zone_spread = match has_zone_rules {
            true => {
                claims::zone_spread_of(&TransactionBuilder::new(cache), job, id, &settings.zones)
            }
            false => ZoneSpreadRecord::default(),
        };
        let ready_at = cache.ready_at(job);
        PendingWork {
            job: id.to_string(),
            resources: spec.task_request(),
            image: spec.image.clone(),
            urgency: Urgency {
                priority: Reverse(spec.priority),
                is_borrowed: false,
                is_deferred: false,
                due: ready_at + NO_GOAL_DUE_MS,
            },
            own_priority: spec.priority,
            indices: VecDeque::new(),
            avoided_machines: Vec::new(),
            is_suspect: false,
            is_within_guarantee: false,
            requires_cached_image: false,
            zone_spread,
            ready_at,
        }
    }

    /// Returns the task to claim next.
    pub fn next_task(&self) -> Option<TaskId> {
        let index = *self.indices.front()?;
        let job = self.job.clone();
        Some(TaskId { job, index })
    }

    /// Compares by the order in which work is served. Equally urgent work is ordered by job name, so that the
    /// order is deterministic.
    pub fn compare(&self, other: &PendingWork) -> std::cmp::Ordering {
        (self.urgency.cmp(&other.urgency)).then_with(|| self.job.cmp(&other.job))
    }
}

/// Estimates of jobs' run times.
pub struct RunTimeEstimates<'a> {
    /// Returns the shortest time that a job is expected to still take.
    pub min_remaining_ms: &'a dyn Fn(&str, &JobSpec) -> Millis,
    /// Returns how long before its due time a job should start.
    pub start_lead_ms: &'a dyn Fn(&str) -> Millis,
}

/// The inputs from which the queue of pending work is built.
pub struct PendingWorkQueue<'a> {
    pub cache: &'a StateCache,
    pub settings: &'a Settings,
    /// Priorities and due times that jobs inherit from the jobs that depend on them, by job.
    pub inherited: &'a HashMap<String, InheritedPriority>,
    pub estimates: &'a RunTimeEstimates<'a>,
    /// Returns the processors, in thousandths, of all machines that work can be placed on.
    pub usable_cpus: &'a dyn Fn() -> u64,
    /// The current wall-clock time.
    pub wall_time: WallMs,
}

impl PendingWorkQueue<'_> {
    /// Returns the pending work of at most `PASS_MAX_JOBS` jobs, in the order in which it is served.
    pub fn collect(&self, cached_order: &mut CachedQueueOrder) -> Vec<PendingWork> {
        let must_refresh_order = cached_order.has_expired(self.wall_time);
        let mut candidates: Vec<PendingWork> = Vec::new();
        let mut next_goals = NextGoals::default();
        for (id, job, spec) in self.cache.waiting_jobs() {
            let Some((work, goals)) = self.pending_work_of(id, job, spec) else {
                continue;
            };
            if let Some(goals) = goals.filter(|_| must_refresh_order) {
                next_goals.insert(id.to_string(), goals.next);
            }
            candidates.push(work);
        }
        if self.settings.tuning.defer_jobs {
            if must_refresh_order {
                self.deferral().defer_excess(&mut candidates, &next_goals);
                cached_order.store(&candidates, self.wall_time);
            } else {
                cached_order.apply(&mut candidates);
            }
        }
        self.promote_overdue_batches(&mut candidates);
        // Teams' guarantees are granted in order of urgency, and tasks above teams' limits are dropped.
        candidates.sort_by(PendingWork::compare);
        let mut queue = self.apply_quotas(candidates);
        queue.sort_by(PendingWork::compare);
        queue.truncate(PASS_MAX_JOBS);
        queue
    }

    /// Returns a job's pending work and its goals, or `None` if none of its tasks may be placed now.
    fn pending_work_of(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> Option<(PendingWork, Option<StartGoals>)> {
        let mut pending = self.pending_tasks(id, job);
        let is_suspect = self.cache.is_suspect_job(id);
        if is_suspect {
            let has_no_assigned_task = self.cache.task_counts(id).assigned == 0;
            pending.indices.truncate(usize::from(has_no_assigned_task));
        }
        if pending.indices.is_empty() {
            return None;
        }
        let ready_at = self.cache.ready_at(job);
        let start_lead_ms = (self.estimates.start_lead_ms)(id);
        let goals = self.reachable_goals(id, job, spec, ready_at);
        let goals = StartGoals::of(&goals, start_lead_ms);
        // Work that can meet no goal is late in any case, so it comes after work that can still meet one.
        let due_without_goal = (ready_at + NO_GOAL_DUE_MS).saturating_sub(start_lead_ms);
        let due = goals.as_ref().map_or(due_without_goal, |goals| goals.first);
        let template = PendingWork::new(self.cache, self.settings, id, job, spec);
        let work = PendingWork {
            urgency: Urgency {
                priority: Reverse(dependencies::effective_priority(self.inherited, id, spec)),
                due,
                ..template.urgency
            },
            indices: pending.indices.into(),
            avoided_machines: pending.avoided_machines,
            is_suspect,
            ..template
        };
        Some((work, goals))
    }

    /// Returns the pending tasks of the first `PASS_MAX_CHUNKS` chunks of a job that have any.
    fn pending_tasks(&self, id: &str, job: &JobRecord) -> PendingTasks {
        let mut pending_tasks = PendingTasks::default();
        let mut chunks_used = 0;
        for chunk_number in 0..job.chunk_count() {
            if chunks_used >= PASS_MAX_CHUNKS {
                break;
            }
            let Some(chunk) = self.cache.chunk(id, chunk_number) else {
                // The chunk has no record because none of its tasks has been claimed yet.
                let end = job
                    .tasks
                    .min((chunk_number + 1).saturating_mul(job.tasks_per_chunk));
                pending_tasks
                    .indices
                    .extend(chunk_number * job.tasks_per_chunk..end);
                chunks_used += 1;
                continue;
            };
            if chunk.pause_until > self.wall_time {
                continue;
            }
            let failed_on = chunk.failed_on.iter().cloned();
            pending_tasks.avoided_machines.extend(failed_on);
            let count_before = pending_tasks.indices.len();
            let pending = (chunk.tasks.iter().enumerate())
                .filter(|(_, state)| **state == TaskState::Pending)
                .map(|(slot, _)| chunk.first + slot as u32);
            pending_tasks.indices.extend(pending);
            chunks_used += u32::from(pending_tasks.indices.len() > count_before);
        }
        pending_tasks
    }

    /// Returns the goals that a job can still meet, as wall-clock times by which it should be complete. These
    /// are, in order: its deadline or the earlier one of a job that depends on it, the completion objectives of
    /// its class, and for a batch the start objective of its class. Objectives count from the time at which the
    /// job could start.
    fn reachable_goals(
        &self,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
        ready_at: WallMs,
    ) -> Vec<WallMs> {
        let policy = &self.settings.policy;
        let run_ms = (self.estimates.min_remaining_ms)(id, spec);
        let own_deadline = dependencies::own_deadline(job, spec).into_iter();
        let inherited_due = self.inherited.get(id).and_then(|inherited| inherited.due);
        let deadline = own_deadline.chain(inherited_due).min();
        let completion = policy
            .completion_goals_ms
            .get(&spec.class)
            .into_iter()
            .flatten();
        let completion = completion.map(|within| ready_at + within);
        let start = policy.start_goals_ms.get(&spec.class);
        let start = start.filter(|_| spec.kind == JobKind::Array);
        let start = start.map(|within| ready_at + within + run_ms);
        deadline
            .into_iter()
            .chain(completion)
            .chain(start)
            .filter(|due| self.wall_time + run_ms <= *due)
            .collect()
    }

    fn deferral(&self) -> Deferral<'_> {
        Deferral {
            cache: self.cache,
            settings: self.settings,
            usable_cpus: (self.usable_cpus)(),
            wall_time: self.wall_time,
        }
    }

    /// Raises the urgency of the first part of each batch that has waited too long and has not started, so that
    /// no batch starves, however large it is or however little capacity urgent work leaves. The other tasks of
    /// the batch stay pending until that part has started.
    fn promote_overdue_batches(&self, queue: &mut [PendingWork]) {
        for work in queue.iter_mut().filter(|work| !work.is_suspect) {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let started_tasks = started_tasks_of_overdue_batch(
                self.cache,
                self.settings,
                &work.job,
                work.ready_at,
                self.wall_time,
            );
            if started_tasks == Some(0) {
                work.urgency.is_deferred = false;
                work.urgency.due = work.ready_at;
                work.urgency.priority.0 = work.urgency.priority.0.max(JobPriority::High);
                work.indices.truncate(first_part_tasks(spec) as usize);
            }
        }
    }

    /// Grants teams' guarantees in the order of the queue and drops tasks above teams' limits.
    fn apply_quotas(&self, queue: Vec<PendingWork>) -> Vec<PendingWork> {
        let mut usage: BTreeMap<String, TeamRecord> = BTreeMap::new();
        let mut kept = Vec::new();
        for mut work in queue {
            let Some(spec) = self.cache.open_job(&work.job) else {
                continue;
            };
            let Some(team) = self.settings.policy.teams.get(&spec.team) else {
                continue;
            };
            let team_usage = usage
                .entry(spec.team.clone())
                .or_insert_with(|| self.cache.usage(&spec.team));
            let mut allowed_tasks = 0;
            while allowed_tasks < work.indices.len()
                && within_limit(team, team_usage, &spec.resources)
            {
                team_usage.cpus += spec.resources.cpus;
                team_usage.gpus += spec.resources.gpus;
                if allowed_tasks == 0 {
                    work.urgency.is_borrowed =
                        team_usage.cpus > team.cpus || team_usage.gpus > team.gpus;
                }
                allowed_tasks += 1;
            }
            work.is_within_guarantee = allowed_tasks == work.indices.len()
                && team_usage.cpus <= team.cpus
                && team_usage.gpus <= team.gpus;
            work.indices.truncate(allowed_tasks);
            if !work.indices.is_empty() {
                kept.push(work);
            }
        }
        kept
    }
}

/// Wall-clock times by which a job should start to meet its first goal and its next later goal.
struct StartGoals {
    first: WallMs,
    next: Option<WallMs>,
}

impl StartGoals {
    /// Derives the start times from the wall-clock times by which a job should be complete. The first entry is
    /// the first goal, and the next goal is the first entry later than that.
    fn of(goals: &[WallMs], start_lead_ms: Millis) -> Option<StartGoals> {
        let first = *goals.first()?;
        let next = goals.iter().find(|goal| **goal > first);
        Some(StartGoals {
            first: first.saturating_sub(start_lead_ms),
            next: next.map(|goal| goal.saturating_sub(start_lead_ms)),
        })
    }
}

/// The indices of a job's pending tasks and the machines on which tasks of the same chunks failed.
#[derive(Default)]
struct PendingTasks {
    indices: Vec<u32>,
    avoided_machines: Vec<String>,
}

/// Returns the number of a batch's tasks that are started first once the batch is overdue.
fn first_part_tasks(spec: &JobSpec) -> u32 {
    (spec.tasks / BATCH_START_DIVISOR).max(1)
}

/// Returns how many tasks of a batch have started, if the batch has waited too long since `ready_at` and no more
/// than its first part has started. Callers treat that part as urgent: otherwise urgent work would preempt it
/// repeatedly.
pub fn started_tasks_of_overdue_batch(
    cache: &StateCache,
    settings: &Settings,
    id: &str,
    ready_at: WallMs,
    wall_time: WallMs,
) -> Option<u32> {
    if !settings.checks.batch_start_delay || wall_time <= ready_at + BATCH_START_LATE_MS {
        return None;
    }
    let spec = cache
        .open_job(id)
        .filter(|spec| spec.kind == JobKind::Array)?;
    let counts = cache.task_counts(id);
    let started_tasks = counts.assigned + counts.done;
    (started_tasks <= first_part_tasks(spec)).then_some(started_tasks)
}
