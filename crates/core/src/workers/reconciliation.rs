//! Reconciliation of the tasks that workers report with the assignments on record.
//!
//! A start is delivered by one direct command, or in the reply to the heartbeat that its assignment
//! names. `reconcile` decides which evidence proves that a start will never arrive.

use crate::constants::{LIKELY_END_PROBABILITY, NOTICE_MARGIN_MS};
use crate::controller::Controller;
use crate::model::{
    ExitCause, HeartbeatPosition, Millis, TaskId, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use crate::scheduling::releases::AttemptOutcome;
use crate::state::{Assignment, StartDelivery};
use crate::workers::results::EndedAttempt;
use foldhash::HashMap;
use std::collections::BTreeSet;

/// The differences between a heartbeat and the assignments of its machine.
#[derive(Default)]
struct Findings {
    /// Attempts that run, if run times are learned.
    running: Vec<(TaskId, u64)>,
    /// Attempts that ended, with the proofs.
    ended: Vec<((TaskId, u64), Proof)>,
    /// Attempts to be stopped so that they save a checkpoint.
    checkpoints: Vec<(TaskId, u64)>,
    /// The highest token of the direct commands that were lost: the machine's token must be raised
    /// above it.
    fence_above: Option<u64>,
    /// Whether the reply has to carry a start.
    needs_start: bool,
}

/// The evidence that an attempt has ended or can no longer begin.
#[derive(Clone, Copy, Debug)]
struct Proof {
    outcome: AttemptOutcome,
    evidence: Evidence,
    /// The delivery on which the proof is conditional, if on any.
    conditional_on: Option<StartDelivery>,
}

/// The kind of a proof.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// A heartbeat lists the attempt as exited.
    ExitedInHeartbeat,
    /// The response to a direct command lists the attempt as exited.
    ExitedInCommandResponse,
    /// The worker has a newer incarnation than the one that the start was for.
    NewerIncarnation,
    /// The worker does not list the attempt, whose start can no longer arrive.
    FencedStart,
}

/// What the reply to a reconciled heartbeat is for, besides renewing the lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyNeeds {
    /// It has to carry a start.
    pub needs_start: bool,
    /// It has to carry the machine's present token, which fences a start that was lost.
    pub fences_start: bool,
}

impl Controller {
    /// Queues the ended attempts, checkpoints and record changes that a heartbeat gives evidence
    /// of. Returns what the reply is for. An old heartbeat proves as much as a new one.
    pub(super) fn reconcile(&mut self, heartbeat: &WorkerHeartbeat) -> ReplyNeeds {
        self.record_exited_attempts(heartbeat);
        let findings = self.compare_with_assignments(heartbeat);
        for (task, attempt) in findings.running {
            self.observe_running_attempt(&task, attempt, heartbeat);
        }
        for ((task, attempt), proof) in findings.ended {
            self.queue_result(task, attempt, &heartbeat.machine, proof);
        }
        let mut checkpoints = findings.checkpoints;
        if let Some(notice_s) = heartbeat
            .notice_s
            .filter(|_| self.settings.runtime_estimates.termination_notice)
        {
            // A task that ends before the machine is reclaimed needs neither a stop nor a restart
            // elsewhere.
            let notice_ms = (notice_s * 1e3) as Millis;
            let usable_ms = notice_ms.saturating_sub(NOTICE_MARGIN_MS);
            checkpoints.retain(|(task, attempt)| {
                !self.is_likely_to_end(task, *attempt, usable_ms, LIKELY_END_PROBABILITY)
            });
        }
        self.write_back.checkpoints_due.extend(checkpoints);
        self.record_last_heartbeat(heartbeat);
        self.queue_machine_update(heartbeat, findings.fence_above);
        ReplyNeeds {
            needs_start: findings.needs_start,
            fences_start: findings.fence_above.is_some(),
        }
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
                self.metrics
                    .record_running(task, assignment.attempt, self.now);
                if self.settings.runtime_estimates.enabled {
                    let attempt = (task.clone(), assignment.attempt);
                    findings.running.push(attempt);
                }
            }
            let attempt = (task.clone(), assignment.attempt);
            let is_start_lost = match (assignment.direct_start, phase) {
                (_, Some(_)) => {
                    self.workers.starts.record_reported(&attempt);
                    false
                }
                (Some(_), None) => self.workers.starts.is_missing(self.now, &attempt, id),
                (None, None) => false,
            };
            let is_fenced = is_start_fenced(assignment, position, heartbeat.token);
            let is_wanted = assignment.stop_reason.is_none() && spec.is_some();
            let proof = match phase {
                Some(TaskPhase::Exited(cause)) => Some(Proof {
                    outcome: attempt_outcome(cause),
                    evidence: Evidence::ExitedInHeartbeat,
                    conditional_on: None,
                }),
                None if predates_incarnation(assignment, position) => {
                    Some(Proof::of_absence(Evidence::NewerIncarnation, assignment))
                }
                None if is_fenced && !is_wanted => {
                    Some(Proof::of_absence(Evidence::FencedStart, assignment))
                }
                _ => None,
            };
            if let Some(proof) = proof {
                findings.ended.push((attempt, proof));
            } else if is_running
                && heartbeat.notice_s.is_some()
                && assignment.stop_reason.is_none()
                && spec.is_some_and(|spec| spec.checkpoint_interval_s > 0.0)
            {
                // The machine is about to be reclaimed: tasks that can save a checkpoint do so now.
                findings.checkpoints.push(attempt);
            } else if phase.is_none() && is_fenced {
                findings.needs_start = true;
            } else if is_start_lost {
                // The direct command was lost. Raising the token makes the worker refuse the
                // command should it arrive late; once the worker reports the new token, the start
                // is fenced.
                let token = assignment.direct_start.map(|start| start.token);
                findings.fence_above = findings.fence_above.max(token);
            }
        }
        findings
    }

    /// Queues the attempts that the response to a direct command shows to have ended. A task
    /// missing from the response proves nothing: unlike a heartbeat, the response may overtake the
    /// reply to a heartbeat and a start in that reply.
    pub(crate) fn process_command_response(&mut self, heartbeat: &WorkerHeartbeat) {
        let last = self.workers.last_heartbeats.get_mut(&heartbeat.machine);
        if let Some(last) = last.filter(|last| last.position < heartbeat.position()) {
            last.task_bytes = heartbeat.task_bytes();
        }
        self.add_exited_attempts(heartbeat);
        let mut reported = BTreeSet::new();
        for status in &heartbeat.tasks {
            let is_assigned = self.assignment_of(heartbeat, status).is_some();
            if is_assigned {
                let attempt = (status.task.clone(), status.attempt);
                self.workers.starts.record_reported(&attempt);
                reported.insert(attempt);
            }
            if let (true, TaskPhase::Exited(cause)) = (is_assigned, status.phase) {
                let proof = Proof {
                    outcome: attempt_outcome(cause),
                    evidence: Evidence::ExitedInCommandResponse,
                    conditional_on: None,
                };
                let (task, machine) = (status.task.clone(), &heartbeat.machine);
                self.queue_result(task, status.attempt, machine, proof);
            }
        }
        if self.settings.checks.incarnation {
            // A newer incarnation is proof in a response as well: the worker has killed and
            // forgotten all tasks of earlier incarnations, and refuses their starts. For machines
            // whose heartbeats reach no controller this is the only evidence.
            let position = heartbeat.position();
            let ended: Vec<(TaskId, u64, Proof)> = (self.cache.assignments(&heartbeat.machine))
                .filter(|(_, p)| predates_incarnation(&p.assignment, position))
                .map(|(task, p)| (task.clone(), &p.assignment))
                .filter(|(task, a)| !reported.contains(&(task.clone(), a.attempt)))
                .map(|(task, a)| {
                    let proof = Proof::of_absence(Evidence::NewerIncarnation, a);
                    (task, a.attempt, proof)
                })
                .collect();
            for (task, attempt, proof) in ended {
                self.queue_result(task, attempt, &heartbeat.machine, proof);
            }
        }
        // Fence lost direct commands before their starts are sent again.
        let mut fence_above = None;
        for (task, placed) in self.cache.assignments(&heartbeat.machine) {
            let assignment = &placed.assignment;
            let attempt = (task.clone(), assignment.attempt);
            let Some(start) = assignment
                .direct_start
                .filter(|_| !reported.contains(&attempt))
            else {
                continue;
            };
            if start.incarnation == heartbeat.incarnation
                && self
                    .workers
                    .starts
                    .is_missing(self.now, &attempt, &heartbeat.machine)
            {
                fence_above = fence_above.max(Some(start.token));
            }
        }
        if fence_above.is_some() || self.cache.machine(&heartbeat.machine).is_none() {
            self.queue_machine_update(heartbeat, fence_above);
        }
    }

    /// Queues the proof that an attempt has ended until it is recorded.
    fn queue_result(&mut self, task: TaskId, attempt: u64, machine: &str, proof: Proof) {
        let Proof {
            outcome,
            evidence,
            conditional_on,
        } = proof;
        self.observe_run_end(&task, attempt, outcome);
        let key = (task, attempt);
        if !self.write_back.results.contains_key(&key) {
            self.metrics.results += 1;
            let task = &key.0;
            tracing::debug!(%task, attempt, machine, ?outcome, ?evidence, "attempt ended");
        }
        let result = EndedAttempt {
            outcome,
            at: self.now,
            conditional_on,
        };
        let queued = self.write_back.results.entry(key).or_insert(result);
        if queued.conditional_on.is_some() {
            (queued.outcome, queued.conditional_on) = (outcome, conditional_on);
        }
    }

    /// Returns the assignment on record of an attempt that a worker lists.
    pub(super) fn assignment_of(
        &self,
        heartbeat: &WorkerHeartbeat,
        status: &TaskStatus,
    ) -> Option<&Assignment> {
        let placed = self.cache.assignment(&heartbeat.machine, &status.task);
        let assignment = placed.map(|placed| &placed.assignment);
        assignment.filter(|assignment| assignment.attempt == status.attempt)
    }

    /// Returns whether the state cache shows the outcome of an attempt's claim: the chunk has
    /// changed since the revision on which the claim was conditional, or the job is over. Before
    /// that, a peer's committed claim may not have reached this cache yet.
    pub(super) fn is_claim_outcome_known(&self, task: &TaskId, attempt: u64) -> bool {
        if !self.settings.checks.attempt_revision {
            return true;
        }
        let Some(job) = self.cache.job(&task.job) else {
            return false;
        };
        let chunk_number = job.chunk_of(task.index);
        self.cache.chunk_revision(&task.job, chunk_number) > attempt
            || job.open_spec().is_none()
                && self.cache.revision >= self.cache.job_revision(&task.job)
    }
}

impl Proof {
    /// Returns the proof that an attempt which its worker does not list never runs, as its start was delivered.
    fn of_absence(evidence: Evidence, assignment: &Assignment) -> Proof {
        Proof {
            outcome: AttemptOutcome::Terminated,
            evidence,
            conditional_on: Some(assignment.delivery()),
        }
    }
}

/// Returns the outcome of an attempt whose process exited.
fn attempt_outcome(cause: ExitCause) -> AttemptOutcome {
    match cause {
        ExitCause::Done => AttemptOutcome::Done,
        ExitCause::Error => AttemptOutcome::Failed,
        ExitCause::NoResources | ExitCause::Busy | ExitCause::Unknown => AttemptOutcome::Refused,
        ExitCause::Stopped | ExitCause::Other => AttemptOutcome::Terminated,
    }
}

/// Returns whether a heartbeat has a newer incarnation than the one that the assignment's start was
/// for.
pub(super) fn predates_incarnation(assignment: &Assignment, position: HeartbeatPosition) -> bool {
    let in_reply = assignment.reply_start.map(|position| position.incarnation);
    let incarnation = in_reply.or(assignment.direct_start.map(|start| start.incarnation));
    incarnation.is_some_and(|incarnation| incarnation < position.incarnation)
}

/// Returns whether the start of an assignment can no longer arrive, unless it has arrived already.
/// A worker of a newer incarnation has killed and forgotten everything older; a heartbeat later
/// than the one whose reply carried the start shows that the reply did not deliver it; and a worker
/// that has received a higher token than the direct command's refuses that command however late it
/// arrives.
pub(super) fn is_start_fenced(
    assignment: &Assignment,
    position: HeartbeatPosition,
    token: u64,
) -> bool {
    match (assignment.reply_start, assignment.direct_start) {
        (_, Some(start)) => start.incarnation < position.incarnation || start.token < token,
        (Some(reply_start), None) => reply_start < position,
        (None, None) => true,
    }
}
