//! The protocol's rules, checked from the outside by what machines do and what users are told.

use crate::plan::JobShape;
use crate::protocol::{JobStatus, Submission, TaskId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// A job whose polls all fail for so long, while others get answers, counts as forgotten.
const SILENT_MS: u64 = 90_000;
/// Share of all polls that must have got answers meanwhile.
const MOST_ANSWERED: f64 = 0.5;
/// What was claimed before a limit was lowered may still start for so long, by then its start has arrived or
/// never will.
const LOWERED_GRACE_MS: u64 = 10_000;
/// Breaches kept; one is enough to fail a run.
const MAX_VIOLATIONS: usize = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    #[serde(rename = "ran_twice")]
    DuplicateExecution,
    #[serde(rename = "quota")]
    QuotaExceeded,
    #[serde(rename = "wrong_place")]
    PlacementConstraint,
    #[serde(rename = "ran_cancelled")]
    RunAfterCancellation,
    #[serde(rename = "forgotten")]
    JobLost,
    #[serde(rename = "invented")]
    UnknownJob,
    #[serde(rename = "not_done")]
    IncompleteJobDone,
    #[serde(rename = "went_back")]
    FinalStatusChanged,
}

/// The name that runs print.
impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Invariant::DuplicateExecution => "RanTwice",
            Invariant::QuotaExceeded => "Quota",
            Invariant::PlacementConstraint => "WrongPlace",
            Invariant::RunAfterCancellation => "RanCancelled",
            Invariant::JobLost => "Forgotten",
            Invariant::UnknownJob => "Invented",
            Invariant::IncompleteJobDone => "NotDone",
            Invariant::FinalStatusChanged => "WentBack",
        })
    }
}

/// A rule that was broken, by what and when.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    #[serde(rename = "what")]
    pub detail: String,
    pub at_ms: u64,
}

/// The machine that a task starts on.
#[derive(Debug, Clone)]
pub struct Placement {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

struct Job {
    submission: Arc<Submission>,
    accepted_ms: Option<u64>,
    cancel_asked: bool,
    /// The final answer told, and when.
    told: Option<(JobStatus, u64)>,
    last_answer_ms: u64,
    done: BTreeSet<u32>,
    /// Tasks on machines now: machine and zone.
    live: BTreeMap<u32, (String, String)>,
}

/// A team's limit, in thousandths of processors, and the one before it.
struct ChangedLimit {
    now: u64,
    before: u64,
    changed_ms: u64,
}

/// What is known of all jobs and tasks, and the breaches seen so far.
pub struct InvariantChecker {
    cancel_ms: u64,
    /// Thousandths of processors that a team may use; 0: no limit.
    limit: u64,
    /// Of teams whose limit was changed.
    limits: HashMap<String, ChangedLimit>,
    jobs: HashMap<Arc<str>, Job>,
    used: HashMap<String, u64>,
    /// Cancelled jobs that had tasks left when last looked at.
    cancelled: BTreeSet<Arc<str>>,
    polls: u64,
    polls_answered: u64,
    violations: Vec<Violation>,
}

fn thousandths(cpus: f64) -> u64 {
    (cpus * 1_000.0).round() as u64
}

impl InvariantChecker {
    pub fn new(cancel_s: f64, cpus_max: f64) -> InvariantChecker {
        InvariantChecker {
            cancel_ms: (cancel_s * 1_000.0) as u64,
            limit: thousandths(cpus_max),
            limits: HashMap::new(),
            jobs: HashMap::new(),
            used: HashMap::new(),
            cancelled: BTreeSet::new(),
            polls: 0,
            polls_answered: 0,
            violations: Vec::new(),
        }
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Tasks that are on machines now.
    pub fn running_tasks(&self) -> usize {
        self.jobs.values().map(|job| job.live.len()).sum()
    }

    pub fn job_submitted(&mut self, submission: Arc<Submission>, now_ms: u64) {
        let job = Job {
            accepted_ms: None,
            cancel_asked: false,
            told: None,
            last_answer_ms: now_ms,
            done: BTreeSet::new(),
            live: BTreeMap::new(),
            submission: submission.clone(),
        };
        self.jobs.entry(submission.id.clone()).or_insert(job);
    }

    pub fn job_accepted(&mut self, id: &str, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted_ms.get_or_insert(now_ms);
            job.last_answer_ms = now_ms;
        }
    }

    /// A submission was answered 400 or 422.
    pub fn job_rejected(&mut self, id: &str, now_ms: u64) {
        let known = self.jobs.get(id).is_some_and(|j| j.accepted_ms.is_some());
        if known {
            self.report_violation(
                Invariant::JobLost,
                format!("{id}: submission refused"),
                now_ms,
            );
        }
    }

    /// A task has its image and runs on a machine.
    pub fn task_started(&mut self, task: &TaskId, place: &Placement, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.report_violation(Invariant::UnknownJob, format!("{task} runs"), now_ms);
        };
        let submission = job.submission.clone();
        let elsewhere = job
            .live
            .get(&task.index)
            .map(|(machine, _)| machine.clone());
        let wrong = job.wrong_place(task.index, place);
        let late = job.ended_before(now_ms, self.cancel_ms);
        let home = (place.machine.clone(), place.zone.clone());
        job.live.insert(task.index, home);
        if let Some(machine) = elsewhere {
            let what = format!("{task} on {} and {machine}", place.machine);
            return self.report_violation(Invariant::DuplicateExecution, what, now_ms);
        }
        if wrong {
            let what = format!("{task} on {} in {}", place.machine, place.zone);
            self.report_violation(Invariant::PlacementConstraint, what, now_ms);
        }
        if late {
            self.report_violation(
                Invariant::RunAfterCancellation,
                format!("{task} starts"),
                now_ms,
            );
        }
        let used = self.used.entry(submission.team.clone()).or_default();
        *used += thousandths(submission.vcpus);
        let used = *used;
        let limit = self.limit_of(&submission.team, now_ms);
        if limit > 0 && used > limit {
            let what = format!("{} uses {used} of {limit}", submission.team);
            self.report_violation(Invariant::QuotaExceeded, what, now_ms);
        }
    }

    /// A task is no longer on a machine.
    pub fn task_ended(&mut self, task: &TaskId, machine: &str, completed: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if completed {
            job.done.insert(task.index);
        }
        let here = job
            .live
            .get(&task.index)
            .is_some_and(|(on, _)| on == machine);
        if !here {
            return;
        }
        job.live.remove(&task.index);
        let cpus = thousandths(job.submission.vcpus);
        if let Some(used) = self.used.get_mut(&job.submission.team) {
            *used = used.saturating_sub(cpus);
        }
    }

    /// Another limit of a team has come into force.
    pub fn quota_limit_changed(&mut self, team: &str, cpus_max: f64, now_ms: u64) {
        let before = self.limits.get(team).map_or(self.limit, |limit| limit.now);
        let changed = ChangedLimit {
            now: thousandths(cpus_max),
            before,
            changed_ms: now_ms,
        };
        self.limits.insert(team.to_string(), changed);
    }

    fn limit_of(&self, team: &str, now_ms: u64) -> u64 {
        let Some(limit) = self.limits.get(team) else {
            return self.limit;
        };
        match now_ms < limit.changed_ms + LOWERED_GRACE_MS {
            true => limit.now.max(limit.before),
            false => limit.now,
        }
    }

    pub fn cancellation_requested(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_asked = true;
        }
    }

    /// A user was told how a job stands, by a question or a cancellation sent at `asked_ms`.
    pub fn job_status_answered(&mut self, id: &str, status: JobStatus, asked_ms: u64, now_ms: u64) {
        self.polls += 1;
        self.polls_answered += 1;
        let Some(job) = self.jobs.get_mut(id) else {
            return self.report_violation(
                Invariant::UnknownJob,
                format!("{id}: {status:?}"),
                now_ms,
            );
        };
        job.last_answer_ms = now_ms;
        let before = job.told.filter(|(_, at)| *at <= asked_ms);
        let changed = before.is_some_and(|(told, _)| told != status);
        let uncalled = status == JobStatus::Aborted && !job.cancel_asked;
        let early = status == JobStatus::Done && !job.is_complete();
        let is_final = matches!(status, JobStatus::Done | JobStatus::Aborted);
        if is_final && job.told.is_none() {
            job.told = Some((status, now_ms));
        }
        if status == JobStatus::Aborted && !job.live.is_empty() {
            let id = job.submission.id.clone();
            self.cancelled.insert(id);
        }
        if changed || uncalled {
            let what = format!("{id}: {status:?} after {before:?}");
            self.report_violation(Invariant::FinalStatusChanged, what, now_ms);
        }
        if early {
            self.report_violation(Invariant::IncompleteJobDone, id.to_string(), now_ms);
        }
    }

    /// A question sent at `asked_ms` was answered 404.
    pub fn job_not_found(&mut self, id: &str, asked_ms: u64, now_ms: u64) {
        self.polls += 1;
        self.polls_answered += 1;
        let accepted = self.jobs.get(id).and_then(|j| j.accepted_ms);
        if accepted.is_some_and(|at| at <= asked_ms) {
            self.report_violation(Invariant::JobLost, format!("{id}: 404"), now_ms);
        }
    }

    /// A question got no answer, or one that says nothing.
    pub fn poll_unanswered(&mut self, id: &str, now_ms: u64) {
        self.polls += 1;
        let most = self.polls_answered as f64 > MOST_ANSWERED * self.polls as f64;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let silent = job.accepted_ms.is_some() && job.last_answer_ms + SILENT_MS < now_ms;
        if silent && most {
            job.last_answer_ms = now_ms;
            self.report_violation(Invariant::JobLost, format!("{id}: no answer"), now_ms);
        }
    }

    /// Looks for tasks that are left of cancelled jobs after their time.
    pub fn check_cancelled_jobs(&mut self, now_ms: u64) {
        let mut late = Vec::new();
        let (jobs, cancel_ms) = (&self.jobs, self.cancel_ms);
        self.cancelled.retain(|id| {
            let Some(job) = jobs.get(id) else {
                return false;
            };
            if job.ended_before(now_ms, cancel_ms) {
                late.extend(
                    job.live
                        .iter()
                        .map(|(n, (on, _))| format!("{id}/{n} on {on}")),
                );
                return false;
            }
            !job.live.is_empty()
        });
        for what in late {
            self.report_violation(Invariant::RunAfterCancellation, what, now_ms);
        }
    }

    fn report_violation(&mut self, invariant: Invariant, detail: String, at_ms: u64) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                invariant,
                detail,
                at_ms,
            });
        }
    }
}

impl Job {
    fn is_complete(&self) -> bool {
        let tasks = self.submission.task_count as usize;
        self.submission.shape == JobShape::Array && self.done.len() == tasks
    }

    /// Whether all its tasks had to be gone before now.
    fn ended_before(&self, now_ms: u64, cancel_ms: u64) -> bool {
        let told = self
            .told
            .filter(|(status, _)| *status == JobStatus::Aborted);
        told.is_some_and(|(_, at)| at + cancel_ms < now_ms)
    }

    fn wrong_place(&self, index: u32, place: &Placement) -> bool {
        let submission = &self.submission;
        let types = submission.machine_types.as_ref();
        let zone = submission.zone.as_ref();
        let zones = || {
            self.live
                .iter()
                .filter(|(n, _)| **n != index)
                .map(|(_, (_, z))| z)
        };
        let in_zone = zones().filter(|z| **z == place.zone).count() + 1;
        let half = submission.task_count.div_ceil(2) as usize;
        types.is_some_and(|types| !types.contains(&place.machine_type))
            || zone.is_some_and(|zone| *zone != place.zone)
            || (place.spot && !submission.spot)
            || (submission.zone_affinity && zones().any(|z| *z != place.zone))
            || (submission.topology_spread && in_zone > half)
    }
}
