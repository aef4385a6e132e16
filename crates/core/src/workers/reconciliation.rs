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

impl Controller {
    /// Notes what a report proves and what it gives reason to record. Says whether a start
    /// has to go into its answer. Whatever it proves holds however old the report is.
    pub(super) fn reconcile(&mut self, report: &WorkerHeartbeat) -> bool {
        let id = &report.machine;
        let position = report.position();
        let reported: HashMap<(&TaskId, u64), TaskPhase> = (report.tasks.iter())
            .map(|t| ((&t.task, t.attempt), t.phase))
            .collect();
        let mut ended: Vec<((TaskId, u64), AttemptOutcome, Option<StartDelivery>)> = Vec::new();
        let mut saves: Vec<(TaskId, u64)> = Vec::new();
        let learns = self.settings.learned.learn;
        let mut running: Vec<(TaskId, u64)> = Vec::new();
        let mut above = None;
        let mut arm = false;
        for (task, placed) in self.cache.assignments(id) {
            let b = &placed.assignment;
            let spec = self.cache.open_job(&task.job);
            let wanted = b.stop.is_none() && spec.is_some();
            let phase = reported.get(&(task, b.attempt)).copied();
            let barred = is_start_fenced(b, position, report.token);
            let newer_session = outlived(b, position);
            let outcome = match phase {
                Some(TaskPhase::Exited(cause)) => Some(outcome_of(cause)),
                None if newer_session || barred && !wanted => Some(AttemptOutcome::Terminated),
                _ => None,
            };
            if phase == Some(TaskPhase::Running) {
                self.metrics.runs(task, b.attempt, self.now);
                if learns {
                    running.push((task.clone(), b.attempt));
                }
            }
            let key = (task.clone(), b.attempt);
            let lacks = match (b.direct_start, phase) {
                (_, Some(_)) => {
                    self.workers.starts.shown(&key);
                    false
                }
                (Some(_), None) => self.workers.starts.is_missing(self.now, &key, id),
                (None, None) => false,
            };
            if let Some(outcome) = outcome {
                let rests_on = phase.is_none().then_some(b.delivery());
                ended.push((key, outcome, rests_on));
            } else if phase == Some(TaskPhase::Running)
                && report.notice_s.is_some()
                && b.stop.is_none()
                && spec.is_some_and(|s| s.checkpoint_interval_s > 0.0)
            {
                // The machine is about to be taken: what can save its progress does so now.
                saves.push(key);
            } else if phase.is_none() && barred {
                arm = true;
            } else if lacks {
                // A direct command without a trace: raise the token so that it can't come
                // late. Once the worker reports the new token, the start is barred.
                above = above.max(b.direct_start.map(|start| start.token));
            }
        }
        for (task, attempt) in running {
            self.seen_running(&task, attempt, report);
        }
        for ((task, attempt), outcome, rests_on) in ended {
            self.note_attempt_ended(task, attempt, outcome, rests_on);
        }
        if let Some(notice_s) = report.notice_s.filter(|_| self.settings.learned.notice) {
            // What ends before the machine is taken needs no stop, nor a start elsewhere.
            let ms = ((notice_s * 1e3) as Millis).saturating_sub(NOTICE_SPARE_MS);
            saves.retain(|(task, attempt)| !self.about_to_end(task, *attempt, ms, LIKELY_CHANCE));
        }
        self.write_back.checkpoints_due.extend(saves);
        self.noted_report(report);
        self.note_machine_update(report, above);
        arm
    }

    /// Notes what the answer to a direct command shows to have ended. What it does not show proves
    /// nothing: unlike a heartbeat it may overtake the answer to one, and a start in that.
    pub(crate) fn process_command_response(&mut self, report: &WorkerHeartbeat) {
        let mut shown = BTreeSet::new();
        for t in &report.tasks {
            let assigned = self.cache.assignment(&report.machine, &t.task);
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
            // was before, and no start of an earlier one arrives any more. Machines whose reports reach
            // nobody show it in no other way.
            let position = report.position();
            let over: Vec<(TaskId, u64, StartDelivery)> = (self.cache.assignments(&report.machine))
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
        for (task, placed) in self.cache.assignments(&report.machine) {
            let b = &placed.assignment;
            let key = (task.clone(), b.attempt);
            let Some(start) = b.direct_start.filter(|_| !shown.contains(&key)) else {
                continue;
            };
            if start.incarnation == report.incarnation
                && self
                    .workers
                    .starts
                    .is_missing(self.now, &key, &report.machine)
            {
                above = above.max(Some(start.token));
            }
        }
        if above.is_some() || self.cache.machine(&report.machine).is_none() {
            self.note_machine_update(report, above);
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
            || job.open().is_none() && self.cache.revision >= self.cache.job_revision(&task.job)
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
