//! Answers to heartbeats: which commands they carry, and when held ones are answered.

use crate::constants::{HEARTBEAT_HOLD_MS, REPLY_MAX_COMMANDS};
use crate::controller::{Controller, RequestId, WorkerReply};
use crate::model::{TaskId, TaskPhase, WorkerCommand, WorkerHeartbeat};
use crate::state::Placed;
use crate::workers::heartbeats::HeldHeartbeat;
use crate::workers::reconciliation::{is_start_fenced, outlived};

impl Controller {
    /// Assignments whose start goes into the answer to this held heartbeat, once they say so.
    pub(crate) fn starts_for_reply(&self, held: &HeldHeartbeat) -> Vec<(TaskId, u64)> {
        if held.early || !held.carries(self.now) {
            return Vec::new();
        }
        let position = held.position();
        let shown = |task: &TaskId, attempt: u64| {
            let mut tasks = held.heartbeat.tasks.iter();
            tasks.any(|t| t.attempt == attempt && t.task == *task)
        };
        self.cache
            .assignments(&held.heartbeat.machine)
            .filter(|(task, p)| {
                let b = &p.assignment;
                b.reply_start != Some(position)
                    && b.stop.is_none()
                    && self.cache.open_job(&task.job).is_some()
                    && !shown(task, b.attempt)
                    // What was started in an earlier incarnation is gone, and on its way to be
                    // recorded as such: it must not be started once more under that attempt.
                    && !outlived(b, position)
                    && is_start_fenced(b, position, held.heartbeat.token)
            })
            .map(|(task, p)| (task.clone(), p.assignment.attempt))
            .collect()
    }

    /// What the worker is told, from records that are committed.
    pub(super) fn commands(&self, heartbeat: &WorkerHeartbeat) -> Vec<WorkerCommand> {
        let id = &heartbeat.machine;
        let position = heartbeat.position();
        let mut commands = Vec::new();
        for t in &heartbeat.tasks {
            let assignment = self.cache.assignment(id, &t.task).map(|p| &p.assignment);
            let assignment = assignment.filter(|b| b.attempt == t.attempt);
            if assignment.is_none() && !self.is_claim_outcome_known(&t.task, t.attempt) {
                continue;
            }
            let job = self.cache.job(&t.task.job);
            match (t.phase, assignment) {
                (TaskPhase::Exited(_), None) => commands.push(WorkerCommand::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                }),
                (TaskPhase::Exited(_), Some(_)) => {}
                (phase, assignment) => {
                    let over = job.is_none_or(|j| j.open().is_none());
                    let stop = assignment.is_some_and(|b| b.stop.is_some());
                    if over || assignment.is_none() {
                        commands.push(WorkerCommand::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s: 0.0,
                        });
                    } else if stop && phase != TaskPhase::Checkpointing {
                        let grace_s = self.grace_s(&t.task.job);
                        commands.push(WorkerCommand::Stop {
                            task: t.task.clone(),
                            attempt: t.attempt,
                            grace_s,
                        });
                    }
                }
            }
        }
        for (task, p) in self.cache.assignments(id) {
            let b = &p.assignment;
            if b.reply_start == Some(position)
                && b.stop.is_none()
                && !(heartbeat.tasks.iter()).any(|t| t.attempt == b.attempt && t.task == *task)
                && self.cache.open_job(&task.job).is_some()
            {
                commands.push(WorkerCommand::Start {
                    task: task.clone(),
                    attempt: b.attempt,
                });
            }
        }
        commands
    }

    /// Whether starts that its answer shall carry are on record, though this controller may have had no answer
    /// to its transaction: nobody else has this heartbeat.
    fn starts_recorded_for(&self, held: &HeldHeartbeat) -> bool {
        let position = held.position();
        let reply_start = |(_, p): (&TaskId, &Placed)| p.assignment.reply_start == Some(position);
        self.settings.checks.doubt
            && !held.early
            && self
                .cache
                .assignments(&held.heartbeat.machine)
                .any(reply_start)
    }

    pub(crate) fn reply_to_held(&mut self, id: &str) {
        let Some(token) = self.fencing_token(id) else {
            return;
        };
        let Some(held) = self.workers.held_heartbeats.remove(id) else {
            return;
        };
        let commands = self.commands(&held.heartbeat);
        self.reply_orders(id, held.request, token, commands);
    }

    pub(super) fn reply_orders(
        &mut self,
        id: &str,
        request: RequestId,
        token: u64,
        mut commands: Vec<WorkerCommand>,
    ) {
        // What is cut off is due again with the next heartbeat, starts included.
        commands.truncate(REPLY_MAX_COMMANDS);
        for order in &commands {
            match order {
                WorkerCommand::Start { task, attempt } => {
                    tracing::info!(%task, attempt, machine = id, "start sent");
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    tracing::info!(%task, attempt, machine = id, "stop sent");
                }
                WorkerCommand::Forget { .. } => {}
            }
        }
        self.worker(request, WorkerReply::Commands { token, commands });
    }

    pub(crate) fn reply_to_held_heartbeats(&mut self) {
        let ids: Vec<String> = self.workers.held_heartbeats.keys().cloned().collect();
        let has_current_state = self.has_current_state();
        for id in ids {
            let Some(held) = self.workers.held_heartbeats.get(&id) else {
                continue;
            };
            if held.early && self.awaits_current_view() {
                continue;
            }
            if !has_current_state
                && (self.list_watch.has_listed || self.now >= held.since + HEARTBEAT_HOLD_MS)
            {
                if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                    let reply = self.reply_without_state(&held.heartbeat);
                    self.worker(held.request, reply);
                }
                continue;
            }
            if self.now >= held.since + HEARTBEAT_HOLD_MS || self.starts_recorded_for(held) {
                self.reply_to_held(&id);
                continue;
            }
        }
    }
}
