//! Reconciliation of what workers report with what is recorded.
//!
//! A start travels by one direct command, or in the answer to the heartbeat recorded in its
//! assignment. `reconcile` says what proves that it will never arrive.

use crate::constants::{LIKELY_CHANCE, NOTICE_SPARE_MS};
use crate::controller::Controller;
use crate::model::{ExitCause, HeartbeatPosition, Millis, TaskId, TaskPhase, WorkerHeartbeat};
use crate::scheduling::claims::AttemptOutcome;
use crate::state::{Assignment, StartDelivery};
use crate::workers::results::EndedAttempt;
use foldhash::HashMap;
use std::collections::BTreeSet;

/// What a heartbeat shows of the assignments of its machine.
#[derive(Default)]
struct Findings {
    /// Attempts that run, if run times are learned.
    running: Vec<(TaskId, u64)>,
    /// Attempts that ended, and the delivery that the proof depends on, if on any.
    ended: Vec<((TaskId, u64), AttemptOutcome, Option<StartDelivery>)>,
    /// Attempts to be stopped so that they save a checkpoint.
    checkpoints: Vec<(TaskId, u64)>,
    /// The highest token of direct commands that were lost: the machine's must be raised above it.
    fence_above: Option<u64>,
    /// Whether a start has to go into the answer.
    needs_start: bool,
}

impl Controller {
    /// Notes what a heartbeat proves and what it gives reason to record. Returns whether a start has to go
    /// into its answer. What it proves holds however old it is.
    pub(super) fn reconcile(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let findings = self.compare_with_assignments(heartbeat);
        for (task, attempt) in findings.running {
            self.seen_running(&task, attempt, heartbeat);
        }
        for ((task, attempt), outcome, rests_on) in findings.ended {
            self.note_attempt_ended(task, attempt, outcome, rests_on);
        }
        let mut checkpoints = findings.checkpoints;
        if let Some(notice_s) = heartbeat.notice_s.filter(|_| self.settings.learned.notice) {
            // What ends before the machine is reclaimed needs no stop, nor a start elsewhere.
            let notice_ms = (notice_s * 1e3) as Millis;
            let usable_ms = notice_ms.saturating_sub(NOTICE_SPARE_MS);
            checkpoints.retain(|(task, attempt)| {
                !self.about_to_end(task, *attempt, usable_ms, LIKELY_CHANCE)
            });
        }
        self.write_back.checkpoints_due.extend(checkpoints);
        self.noted_report(heartbeat);
        self.note_machine_update(heartbeat, findings.fence_above);
        findings.needs_start
    }

    /// Compares the tasks of a heartbeat with the assignments of its machine.
    fn compare_with_assignments(&mut self, heartbeat: &WorkerHeartbeat) -> Findings {
        let id = &heartbeat.machine;
        let position = heartbeat.position();
        let reported: HashMap<(&TaskId, u64), TaskPhase> = (heartbeat.tasks.iter())
            .map(|task| ((&task.task, task.attempt), task.phase))
            .collect();
        let mut findings = Findings::default();
        for (task, placed) in self.cache.assignments(id) {
            let assignment = &placed.assignment;
            let spec = self.cache.open_job(&task.job);
            let phase = reported.get(&(task, assignment.attempt)).copied();
            let is_running = phase == Some(TaskPhase::Running);
            if is_running {
                self.metrics.runs(task, assignment.attempt, self.now);
                if self.settings.learned.learn {
                    let attempt = (task.clone(), assignment.attempt);
                    findings.running.push(attempt);
                }
            }
            let attempt = (task.clone(), assignment.attempt);
            let is_start_lost = match (assignment.direct_start, phase) {
                (_, Some(_)) => {
                    self.workers.starts.shown(&attempt);
                    false
                }
                (Some(_), None) => self.workers.starts.is_missing(self.now, &attempt, id),
                (None, None) => false,
            };
            let is_fenced = is_start_fenced(assignment, position, heartbeat.token);
            let is_wanted = assignment.stop_reason.is_none() && spec.is_some();
            let outcome = match phase {
                Some(TaskPhase::Exited(cause)) => Some(outcome_of(cause)),
                None if outlived(assignment, position) || is_fenced && !is_wanted => {
                    Some(AttemptOutcome::Terminated)
                }
                _ => None,
            };
            if let Some(outcome) = outcome {
                let rests_on = phase.is_none().then_some(assignment.delivery());
                findings.ended.push((attempt, outcome, rests_on));
            } else if is_running
                && heartbeat.notice_s.is_some()
                && assignment.stop_reason.is_none()
                && spec.is_some_and(|spec| spec.checkpoint_interval_s > 0.0)
            {
                // The machine is about to be reclaimed: what can save its progress does so now.
                findings.checkpoints.push(attempt);
            } else if phase.is_none() && is_fenced {
                findings.needs_start = true;
            } else if is_start_lost {
                // A direct command without a trace: raise the token so that it can't come late. Once the
                // worker reports the new token, the start is fenced.
                let token = assignment.direct_start.map(|start| start.token);
                findings.fence_above = findings.fence_above.max(token);
            }
        }
        findings
    }

    /// Notes what the answer to a direct command shows to have ended. What it does not show proves
    /// nothing: unlike a heartbeat it may overtake the answer to one, and a start in that.
    pub(crate) fn process_command_response(&mut self, heartbeat: &WorkerHeartbeat) {
        let mut shown = BTreeSet::new();
        for t in &heartbeat.tasks {
            let assigned = self.cache.assignment(&heartbeat.machine, &t.task);
            let ours = assigned.is_some_and(|p| p.assignment.attempt == t.attempt);
            if ours {
                let key = (t.task.clone(), t.attempt);
                self.workers.starts.shown(&key);
                shown.insert(key);
            }
            if let (true, TaskPhase::Exited(cause)) = (ours, t.phase) {
                self.note_attempt_ended(t.task.clone(), t.attempt, outcome_of(cause), None);
            }
        }
        if self.settings.checks.incarnation {
            // A newer incarnation is a proof in an answer as well: its worker has killed and forgotten all that
            // was before, and no start of an earlier one arrives any more. Machines whose heartbeats reach
            // nobody show it in no other way.
            let position = heartbeat.position();
            let over: Vec<(TaskId, u64, StartDelivery)> =
                (self.cache.assignments(&heartbeat.machine))
                    .filter(|(_, p)| outlived(&p.assignment, position))
                    .map(|(task, p)| (task.clone(), &p.assignment))
                    .filter(|(task, b)| !shown.contains(&(task.clone(), b.attempt)))
                    .map(|(task, b)| (task, b.attempt, b.delivery()))
                    .collect();
            for (task, attempt, travel) in over {
                self.note_attempt_ended(task, attempt, AttemptOutcome::Terminated, Some(travel));
            }
        }
        // A direct command without a trace is barred before it is sent anew.
        let mut above = None;
        for (task, placed) in self.cache.assignments(&heartbeat.machine) {
            let b = &placed.assignment;
            let key = (task.clone(), b.attempt);
            let Some(start) = b.direct_start.filter(|_| !shown.contains(&key)) else {
                continue;
            };
            if start.incarnation == heartbeat.incarnation
                && self
                    .workers
                    .starts
                    .is_missing(self.now, &key, &heartbeat.machine)
            {
                above = above.max(Some(start.token));
            }
        }
        if above.is_some() || self.cache.machine(&heartbeat.machine).is_none() {
            self.note_machine_update(heartbeat, above);
        }
    }

    /// Keeps a proof until it is recorded.
    fn note_attempt_ended(
        &mut self,
        task: TaskId,
        attempt: u64,
        outcome: AttemptOutcome,
        rests_on: Option<StartDelivery>,
    ) {
        self.run_ended(&task, attempt, outcome);
        let key = (task, attempt);
        self.metrics.results += u64::from(!self.write_back.results.contains_key(&key));
        let at = self.now;
        let fresh = EndedAttempt {
            outcome,
            at,
            rests_on,
        };
        let known = self.write_back.results.entry(key).or_insert(fresh);
        if known.rests_on.is_some() {
            (known.outcome, known.rests_on) = (outcome, rests_on);
        }
    }

    /// Whether the state cache shows all that became of an attempt's claim: the
    /// chunk has changed since the revision it was conditional on, or the job is over. Until
    /// then a peer's claim may just not have arrived here.
    pub(super) fn is_claim_outcome_known(&self, task: &TaskId, attempt: u64) -> bool {
        if !self.settings.checks.fate {
            return true;
        }
        let Some(job) = self.cache.job(&task.job) else {
            return false;
        };
        let n = job.chunk_of(task.index);
        self.cache.chunk_revision(&task.job, n) > attempt
            || job.open_spec().is_none()
                && self.cache.revision >= self.cache.job_revision(&task.job)
    }
}

fn outcome_of(cause: ExitCause) -> AttemptOutcome {
    match cause {
        ExitCause::Done => AttemptOutcome::Done,
        ExitCause::Error => AttemptOutcome::Failed,
        ExitCause::NoResources | ExitCause::Busy | ExitCause::Unknown => AttemptOutcome::Refused,
        ExitCause::Stopped | ExitCause::Other => AttemptOutcome::Terminated,
    }
}

/// A heartbeat of a newer incarnation than the one that the assignment's start was for.
pub(super) fn outlived(b: &Assignment, position: HeartbeatPosition) -> bool {
    let in_reply = b.reply_start.map(|position| position.incarnation);
    let incarnation = in_reply.or(b.direct_start.map(|start| start.incarnation));
    incarnation.is_some_and(|incarnation| incarnation < position.incarnation)
}

/// The start of an assignment can't arrive any more, if it is not there already. Of a newer
/// incarnation the worker has killed and forgotten everything older; a heartbeat after the one
/// whose answer carried the start shows that the answer brought nothing; a token above the
/// direct command's makes the worker refuse that one, however late.
pub(super) fn is_start_fenced(b: &Assignment, position: HeartbeatPosition, token: u64) -> bool {
    match (b.reply_start, b.direct_start) {
        (_, Some(start)) => start.incarnation < position.incarnation || start.token < token,
        (Some(reply_start), None) => reply_start < position,
        (None, None) => true,
    }
}
