//! Checker of the protocol's invariants, based only on the events of workers and the answers to users.

mod job;
mod quota;
mod violation;

pub use violation::{Invariant, Violation};

use crate::protocol::jobs::{JobStatus, Submission, TaskId};
use job::{FinalAnswer, TaskLocation, TrackedJob};
use quota::{millicpus, TeamQuotas};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Time after which a job whose polls all fail counts as lost, if other jobs' polls are answered.
const SILENCE_TIMEOUT_MS: u64 = 90_000;
/// Share of all polls that must have been answered before an unanswered job counts as lost.
const MIN_ANSWERED_SHARE: f64 = 0.5;
/// Number of violations kept; one is enough to fail a run.
const MAX_VIOLATIONS: usize = 1_000;

/// The worker that a task starts on.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Name of the worker.
    pub worker: String,
    /// Machine type of the worker.
    pub machine_type: String,
    /// Zone of the worker.
    pub zone: String,
    /// Whether the worker is a spot instance.
    pub spot: bool,
}

/// The observed state of all jobs and tasks, and the violations found so far. All times are milliseconds
/// since the start of the run.
pub struct InvariantChecker {
    cancel_within_ms: u64,
    quotas: TeamQuotas,
    jobs: HashMap<Arc<str>, TrackedJob>,
    /// Cancelled jobs that had running tasks at the latest check.
    cancelled: BTreeSet<Arc<str>>,
    polls: u64,
    polls_answered: u64,
    violations: Vec<Violation>,
}

impl InvariantChecker {
    /// Creates a checker without jobs. The tasks of a cancelled job must end within `cancel_within_s`;
    /// `cpu_limit` is the limit of each team, 0 for none.
    pub fn new(cancel_within_s: f64, cpu_limit: f64) -> InvariantChecker {
        InvariantChecker {
            cancel_within_ms: (cancel_within_s * 1_000.0) as u64,
            quotas: TeamQuotas::new(cpu_limit),
            jobs: HashMap::new(),
            cancelled: BTreeSet::new(),
            polls: 0,
            polls_answered: 0,
            violations: Vec::new(),
        }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.jobs.values().map(|job| job.running.len()).sum()
    }

    /// Records that a user is about to submit a job.
    pub fn job_submitted(&mut self, submission: Arc<Submission>, now_ms: u64) {
        let job = TrackedJob::new(submission.clone(), now_ms);
        self.jobs.entry(submission.id.clone()).or_insert(job);
    }

    /// Records that a controller answered 200 or 201 to a submission.
    pub fn job_accepted(&mut self, id: &str, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted_ms.get_or_insert(now_ms);
            job.last_answer_ms = now_ms;
        }
    }

    /// Records that a controller answered 400 or 422 to a submission.
    pub fn job_rejected(&mut self, id: &str, now_ms: u64) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.accepted_ms.is_some()) {
            let detail = format!("{id}: submission refused");
            self.report(Invariant::JobLost, detail, now_ms);
        }
    }

    /// Records that a worker has pulled a task's image and runs the task.
    pub fn task_started(&mut self, task: &TaskId, placement: &Placement, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.report(Invariant::UnknownJob, format!("{task} runs"), now_ms);
        };
        let is_misplaced = job.is_misplaced(task.index, placement);
        let is_late = job.is_cancellation_overdue(now_ms, self.cancel_within_ms);
        let location = TaskLocation {
            worker: placement.worker.clone(),
            zone: placement.zone.clone(),
        };
        let previous_location = job.running.insert(task.index, location);
        let submission = job.submission.clone();
        if let Some(previous) = previous_location {
            let detail = format!("{task} on {} and {}", placement.worker, previous.worker);
            return self.report(Invariant::DuplicateExecution, detail, now_ms);
        }
        if is_misplaced {
            let detail = format!("{task} on {} in {}", placement.worker, placement.zone);
            self.report(Invariant::PlacementConstraint, detail, now_ms);
        }
        if is_late {
            let detail = format!("{task} starts");
            self.report(Invariant::RunAfterCancellation, detail, now_ms);
        }
        let (team, cpus) = (&submission.team, millicpus(submission.vcpus));
        if let Some(excess) = self.quotas.acquire(team, cpus, now_ms) {
            let (used, limit) = (excess.used_millicpus, excess.limit_millicpus);
            let detail = format!("{team} uses {used} of {limit}");
            self.report(Invariant::QuotaExceeded, detail, now_ms);
        }
    }

    /// Records that a worker begins an attempt that it has begun before and forgotten.
    pub fn attempt_restarted(&mut self, task: &TaskId, attempt: u64, worker: &str, now_ms: u64) {
        let detail = format!("{task} attempt {attempt} on {worker}");
        self.report(Invariant::AttemptRestarted, detail, now_ms);
    }

    /// Records that a worker no longer runs a task.
    pub fn task_ended(&mut self, task: &TaskId, worker: &str, completed: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if completed {
            job.completed.insert(task.index);
        }
        let location = job.running.get(&task.index);
        if location.is_none_or(|location| location.worker != worker) {
            return;
        }
        job.running.remove(&task.index);
        let submission = &job.submission;
        let cpus = millicpus(submission.vcpus);
        self.quotas.release(&submission.team, cpus);
    }

    /// Records that a changed limit of a team is in force.
    pub fn quota_limit_changed(&mut self, team: &str, cpu_limit: f64, now_ms: u64) {
        self.quotas.change_limit(team, cpu_limit, now_ms);
    }

    /// Records that a user is about to cancel a job.
    pub fn cancellation_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancellation_requested = true;
        }
    }

    /// Records the status of a job that a controller answered to a request sent at `sent_ms`.
    pub fn job_status_answered(&mut self, id: &str, status: JobStatus, sent_ms: u64, now_ms: u64) {
        self.polls += 1;
        self.polls_answered += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            let detail = format!("{id}: {status:?}");
            return self.report(Invariant::UnknownJob, detail, now_ms);
        };
        job.last_answer_ms = now_ms;
        let earlier_answer = job.final_answer.filter(|answer| answer.at_ms <= sent_ms);
        let has_changed = earlier_answer.is_some_and(|answer| answer.status != status);
        let is_unrequested_abort = status == JobStatus::Aborted && !job.is_cancellation_requested;
        let is_incomplete = status == JobStatus::Done && !job.is_complete();
        if status.is_final() && job.final_answer.is_none() {
            let at_ms = now_ms;
            job.final_answer = Some(FinalAnswer { status, at_ms });
        }
        if status == JobStatus::Aborted && !job.running.is_empty() {
            self.cancelled.insert(job.submission.id.clone());
        }
        if has_changed || is_unrequested_abort {
            let earlier = earlier_answer.map(|answer| (answer.status, answer.at_ms));
            let detail = format!("{id}: {status:?} after {earlier:?}");
            self.report(Invariant::FinalStatusChanged, detail, now_ms);
        }
        if is_incomplete {
            self.report(Invariant::IncompleteJobDone, id.to_string(), now_ms);
        }
    }

    /// Records that a controller answered 404 to a poll sent at `sent_ms`.
    pub fn job_not_found(&mut self, id: &str, sent_ms: u64, now_ms: u64) {
        self.polls += 1;
        self.polls_answered += 1;
        let accepted_ms = self.jobs.get(id).and_then(|job| job.accepted_ms);
        if accepted_ms.is_some_and(|at_ms| at_ms <= sent_ms) {
            self.report(Invariant::JobLost, format!("{id}: 404"), now_ms);
        }
    }

    /// Records that a poll got no answer, or one without a status.
    pub fn poll_unanswered(&mut self, id: &str, now_ms: u64) {
        self.polls += 1;
        let min_answered = MIN_ANSWERED_SHARE * self.polls as f64;
        let are_other_polls_answered = self.polls_answered as f64 > min_answered;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_unanswered =
            job.accepted_ms.is_some() && job.last_answer_ms + SILENCE_TIMEOUT_MS < now_ms;
        if is_unanswered && are_other_polls_answered {
            job.last_answer_ms = now_ms;
            self.report(Invariant::JobLost, format!("{id}: no answer"), now_ms);
        }
    }

    /// Reports the tasks of cancelled jobs that still run after the time limit.
    pub fn check_cancelled_jobs(&mut self, now_ms: u64) {
        let mut overdue_tasks = Vec::new();
        let (jobs, cancel_within_ms) = (&self.jobs, self.cancel_within_ms);
        self.cancelled.retain(|id| {
            let Some(job) = jobs.get(id) else {
                return false;
            };
            if !job.is_cancellation_overdue(now_ms, cancel_within_ms) {
                return !job.running.is_empty();
            }
            let running = job.running.iter();
            overdue_tasks.extend(
                running.map(|(index, location)| format!("{id}/{index} on {}", location.worker)),
            );
            false
        });
        for detail in overdue_tasks {
            self.report(Invariant::RunAfterCancellation, detail, now_ms);
        }
    }

    fn report(&mut self, invariant: Invariant, detail: String, at_ms: u64) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                invariant,
                detail,
                at_ms,
            });
        }
    }
}
