//! Direct commands to workers: starts, stops and probes.

use crate::constants::{COMMAND_BACKOFF_MS, NO_INCARNATION};
use crate::controller::{ClaimedTask, CommandOutcome, Controller, Effect};
use crate::model::{DirectStart, TaskId, WorkerCommand, WorkerHeartbeat};
use crate::scheduling::claims::StartChannel;
use crate::state::MachineRecord;
use crate::workers::command_size::split_into_messages;
use crate::workers::observations::Liveness;
use std::collections::BTreeMap;

impl Controller {
    /// Returns how a start is delivered to a machine: by a direct command, or in the reply to a
    /// heartbeat if the last direct command failed recently.
    pub(crate) fn delivery_for(
        &self,
        liveness: &Liveness,
        machine: &MachineRecord,
    ) -> StartChannel {
        let failed_at = liveness.observation.command_failed_at;
        let failed_recently = failed_at.is_some_and(|at| self.now < at + COMMAND_BACKOFF_MS);
        let incarnation = liveness.incarnation();
        let token = self.cache.term().map(|term| term + machine.token_offset);
        match (token, incarnation) {
            (Some(token), Some(incarnation)) if !failed_recently && !machine.address.is_empty() => {
                StartChannel::DirectCommand { incarnation, token }
            }
            _ => StartChannel::HeartbeatReply,
        }
    }

    /// Sends the starts of a committed claim, each once and under the token on record. The network may deliver
    /// further copies: workers are told to forget an attempt only under a token that fences these.
    pub(crate) fn send_starts(&mut self, claimed: &[ClaimedTask]) {
        let mut by_machine: BTreeMap<(String, DirectStart), Vec<WorkerCommand>> = BTreeMap::new();
        for claim in claimed {
            let assignment = self
                .cache
                .assignment(&claim.machine, &claim.task)
                .map(|p| &p.assignment);
            // By the time of a late response another attempt, whose start was sent, may be assigned
            // there.
            let assignment = assignment.filter(|assignment| assignment.attempt == claim.attempt);
            let is_open = self.cache.open_job(&claim.task.job).is_some();
            if let Some(start) = assignment
                .and_then(|assignment| assignment.direct_start)
                .filter(|_| is_open)
            {
                let commands = by_machine
                    .entry((claim.machine.clone(), start))
                    .or_default();
                let (task, attempt, machine) = (claim.task.clone(), claim.attempt, &claim.machine);
                let DirectStart { incarnation, token } = start;
                tracing::info!(%task, attempt, machine, token, incarnation, delivery = "direct command", "start sent");
                commands.push(WorkerCommand::Start { task, attempt });
            }
        }
        for ((id, start), commands) in by_machine {
            self.emit_command(id, start.incarnation, start.token, commands);
        }
    }

    /// Sends direct commands to a machine that has a record, in as many requests as their size takes.
    fn emit_command(
        &mut self,
        machine: String,
        incarnation: u64,
        token: u64,
        commands: Vec<WorkerCommand>,
    ) {
        let Some(address) = self.cache.machine(&machine).map(|m| m.address.clone()) else {
            return;
        };
        for commands in split_into_messages(commands) {
            let count = commands.len();
            tracing::debug!(
                machine,
                token,
                incarnation,
                commands = count,
                "direct command sent"
            );
            self.emit(Effect::Command {
                machine: machine.clone(),
                address: address.clone(),
                incarnation,
                token,
                commands,
            });
        }
    }

    /// Sends a direct command under the machine's current token and incarnation, or nothing if they
    /// are unknown. A probe needs no incarnation: a machine that failed while no
    /// controller was running has sent no heartbeat since, and only a probe shows that it is
    /// unreachable.
    pub(crate) fn send_command(&mut self, id: String, commands: Vec<WorkerCommand>) {
        let probe_incarnation = commands.is_empty().then_some(NO_INCARNATION);
        let incarnation = self.liveness(&id).incarnation().or(probe_incarnation);
        if let (Some(token), Some(incarnation)) = (self.fencing_token(&id), incarnation) {
            self.emit_command(id, incarnation, token, commands);
        }
    }

    /// Stops one assigned task at once, with a grace period for its checkpoint.
    pub(crate) fn send_stop(&mut self, id: &str, task: &TaskId) {
        let assignment = self.cache.assignment(id, task).map(|p| &p.assignment);
        let Some((attempt, reason)) = assignment
            .and_then(|assignment| Some((assignment.attempt, assignment.stop_reason.as_deref()?)))
        else {
            return;
        };
        let grace_s = self.grace_s(&task.job);
        let task = task.clone();
        tracing::info!(%task, attempt, machine = id, reason, "stop sent");
        let commands = vec![WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        }];
        self.send_command(id.to_string(), commands);
    }

    /// Returns whether a worker that refused a command accepts one under what is known of it now.
    fn accepts_next_command(&self, answer: &WorkerHeartbeat) -> bool {
        let token = self.fencing_token(&answer.machine);
        let incarnation = self.liveness(&answer.machine).incarnation();
        token.is_some_and(|token| token >= answer.token) && incarnation == Some(answer.incarnation)
    }

    /// Returns the seconds that a task gets to save a checkpoint when it is stopped.
    pub(super) fn grace_s(&self, job: &str) -> f64 {
        let spec = self.cache.open_job(job);
        spec.map_or(0.0, |s| s.checkpoint_duration_s * 1.5 + 1.0)
    }

    /// Stops the tasks of a cancelled job at once. A stop may be lost or late without harm: replies
    /// to heartbeats stop the tasks as well.
    pub(crate) fn send_job_stops(&mut self, job: &str) {
        let mut stops: BTreeMap<String, Vec<WorkerCommand>> = BTreeMap::new();
        for (index, assignment) in self.cache.chunks_of(job).flat_map(|(_, c)| c.assigned()) {
            let job = job.to_string();
            let (task, attempt) = (TaskId { job, index }, assignment.attempt);
            let (machine, reason) = (&assignment.machine, "cancelled");
            tracing::debug!(%task, attempt, machine, reason, "stop sent");
            stops
                .entry(machine.clone())
                .or_default()
                .push(WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
        }
        for (id, commands) in stops {
            self.send_command(id, commands);
        }
    }

    /// Records the outcome of a direct command, and what its worker answered.
    pub(crate) fn handle_command_result(
        &mut self,
        machine: String,
        outcome: CommandOutcome,
        answer: Option<&WorkerHeartbeat>,
    ) {
        let worker_token = answer.map(|answer| answer.token);
        let incarnation = answer.map(|answer| answer.incarnation);
        let sequence = answer.map(|answer| answer.sequence);
        tracing::debug!(
            machine,
            ?outcome,
            worker_token,
            incarnation,
            sequence,
            "direct command answered"
        );
        match outcome {
            CommandOutcome::Accepted | CommandOutcome::Refused => {
                self.record_worker_contact();
                self.workers.observations.entry(&machine).answered_at = Some(self.now);
            }
            CommandOutcome::NoAnswer => {
                let zone = self.cache.machine(&machine).map(|m| &m.zone);
                // A machine that was unreachable before is no evidence of a partition of this
                // controller.
                let was_silent = self
                    .workers
                    .observations
                    .get(&machine)
                    .silent_since()
                    .is_some();
                if !was_silent && !zone.is_some_and(|z| self.is_zone_unreachable(z)) {
                    self.workers.reachability.record_unanswered_command();
                }
                self.workers.observations.entry(&machine).unanswered_at = Some(self.now);
            }
            CommandOutcome::NotSent => {
                self.workers.observations.entry(&machine).probed_at = None;
            }
        }
        let is_refused = outcome == CommandOutcome::Refused;
        self.metrics.commands_refused += u64::from(is_refused);
        if is_refused && answer.is_some_and(|answer| self.accepts_next_command(answer)) {
            return;
        }
        if outcome != CommandOutcome::Accepted {
            tracing::debug!(machine, ?outcome, "direct command failed");
            self.workers.observations.entry(&machine).command_failed_at = Some(self.now);
        }
    }
}
