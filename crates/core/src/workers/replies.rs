//! Replies to heartbeats: which commands they carry, and when the controller replies to held heartbeats.

use crate::constants::HEARTBEAT_REPLY_MAX_DELAY_MS;
use crate::controller::{Controller, RequestId, WorkerReply};
use crate::model::{TaskId, TaskPhase, WorkerCommand, WorkerHeartbeat};
use crate::state::AssignedTask;
use crate::workers::command_size::count_fitting;
use crate::workers::heartbeats::HeldHeartbeat;
use crate::workers::reconciliation::{is_start_fenced, predates_incarnation};

impl Controller {
    /// Returns the assignments whose start can be recorded to go into the reply to this held
    /// heartbeat.
    pub(crate) fn starts_for_reply(&self, held: &HeldHeartbeat) -> Vec<(TaskId, u64)> {
        if held.needs_processing || !held.can_carry_start(self.now) {
            return Vec::new();
        }
        let position = held.position();
        let is_reported = |task: &TaskId, attempt: u64| {
            let mut tasks = held.heartbeat.tasks.iter();
            tasks.any(|status| status.attempt == attempt && status.task == *task)
        };
        self.cache
            .assignments(&held.heartbeat.machine)
            .filter(|(task, placed)| {
                let assignment = &placed.assignment;
                assignment.reply_start != Some(position)
                    && assignment.stop_reason.is_none()
                    && self.cache.open_job(&task.job).is_some()
                    && !is_reported(task, assignment.attempt)
                    // A start of an earlier incarnation is lost, and its end is about to be
                    // recorded: the task must not be started again under that attempt.
                    && !predates_incarnation(assignment, position)
                    && is_start_fenced(assignment, position, held.heartbeat.token)
            })
            .map(|(task, placed)| (task.clone(), placed.assignment.attempt))
            .collect()
    }

    /// Returns the commands for a worker in a reply under a token, all derived from committed records.
    pub(super) fn commands_for_reply(
        &self,
        heartbeat: &WorkerHeartbeat,
        token: u64,
    ) -> Vec<WorkerCommand> {
        let id = &heartbeat.machine;
        let position = heartbeat.position();
        let mut commands = Vec::new();
        for status in &heartbeat.tasks {
            let assignment = self.assignment_of(heartbeat, status);
            if assignment.is_none() && !self.is_claim_outcome_known(&status.task, status.attempt) {
                continue;
            }
            let job = self.cache.job(&status.task.job);
            match (status.phase, assignment) {
                (TaskPhase::Exited(_), None) if self.may_forget(heartbeat, status, token) => {
                    commands.push(WorkerCommand::Forget {
                        task: status.task.clone(),
                        attempt: status.attempt,
                    });
                }
                (TaskPhase::Exited(_), _) => {}
                (phase, assignment) => {
                    let has_job_ended = job.is_none_or(|j| j.open_spec().is_none());
                    let is_stopped =
                        assignment.is_some_and(|assignment| assignment.stop_reason.is_some());
                    if has_job_ended || assignment.is_none() {
                        commands.push(WorkerCommand::Stop {
                            task: status.task.clone(),
                            attempt: status.attempt,
                            grace_s: 0.0,
                        });
                    } else if is_stopped && phase != TaskPhase::Checkpointing {
                        let grace_s = self.grace_s(&status.task.job);
                        commands.push(WorkerCommand::Stop {
                            task: status.task.clone(),
                            attempt: status.attempt,
                            grace_s,
                        });
                    }
                }
            }
        }
        for (task, placed) in self.cache.assignments(id) {
            let assignment = &placed.assignment;
            if assignment.reply_start == Some(position)
                && assignment.stop_reason.is_none()
                && !(heartbeat.tasks.iter())
                    .any(|status| status.attempt == assignment.attempt && status.task == *task)
                && self.cache.open_job(&task.job).is_some()
            {
                commands.push(WorkerCommand::Start {
                    task: task.clone(),
                    attempt: assignment.attempt,
                });
            }
        }
        commands
    }

    /// Returns whether starts that the reply to a held heartbeat carries are on record, though this
    /// controller may have missed the response to their transaction. No other controller holds this
    /// heartbeat.
    fn has_recorded_starts(&self, held: &HeldHeartbeat) -> bool {
        let position = held.position();
        let reply_start =
            |(_, p): (&TaskId, &AssignedTask)| p.assignment.reply_start == Some(position);
        self.settings.checks.uncertain_outcomes
            && !held.needs_processing
            && self
                .cache
                .assignments(&held.heartbeat.machine)
                .any(reply_start)
    }

    /// Replies to the held heartbeat of a machine, if there is one.
    pub(crate) fn reply_to_held(&mut self, id: &str) {
        let Some(token) = self.fencing_token(id) else {
            return;
        };
        let Some(held) = self.workers.held_heartbeats.remove(id) else {
            return;
        };
        self.record_deferred_forgets(&held.heartbeat, token);
        let commands = self.commands_for_reply(&held.heartbeat, token);
        self.reply_with_commands(&held.heartbeat, held.request, token, commands);
    }

    /// Replies to a heartbeat with commands, and logs the starts and stops.
    pub(super) fn reply_with_commands(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        request: RequestId,
        token: u64,
        mut commands: Vec<WorkerCommand>,
    ) {
        let machine = &heartbeat.machine;
        let (incarnation, worker_token) = (heartbeat.incarnation, heartbeat.token);
        // Commands beyond the limit are due again with the next heartbeat, starts included.
        commands.truncate(count_fitting(&commands));
        for command in &commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    tracing::info!(%task, attempt, machine, token, incarnation, delivery = "heartbeat reply", "start sent");
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    tracing::info!(%task, attempt, machine, token, incarnation, "stop sent");
                }
                WorkerCommand::Forget { task, attempt } => {
                    self.metrics.forgets += 1;
                    tracing::debug!(%task, attempt, machine, token, incarnation, worker_token, "forget sent");
                }
            }
        }
        self.reply_to_worker(request, WorkerReply::Commands { token, commands });
    }

    /// Replies to held heartbeats: at once if their starts are recorded or the state store is lost,
    /// and to all of them after `HEARTBEAT_REPLY_MAX_DELAY_MS`.
    pub(crate) fn reply_to_held_heartbeats(&mut self) {
        let ids: Vec<String> = self.workers.held_heartbeats.keys().cloned().collect();
        let has_current_state = self.has_current_state();
        for id in ids {
            let Some(held) = self.workers.held_heartbeats.get(&id) else {
                continue;
            };
            if held.needs_processing && self.awaits_current_view() {
                continue;
            }
            if !has_current_state
                && (self.list_watch.has_listed
                    || self.now >= held.held_since + HEARTBEAT_REPLY_MAX_DELAY_MS)
            {
                if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                    let reply = self.reply_without_state(&held.heartbeat);
                    self.reply_to_worker(held.request, reply);
                }
                continue;
            }
            if self.now >= held.held_since + HEARTBEAT_REPLY_MAX_DELAY_MS
                || self.has_recorded_starts(held)
            {
                self.reply_to_held(&id);
                continue;
            }
        }
    }
}
