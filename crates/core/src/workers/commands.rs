//! Direct commands to workers: starts, stops and probes.

use crate::constants::{COMMAND_PAUSE_MS, NO_INCARNATION};
use crate::controller::{ClaimedTask, CommandOutcome, Controller, Effect};
use crate::model::{DirectStart, TaskId, WorkerCommand};
use crate::scheduling::claims::Carrier;
use crate::state::MachineRecord;
use crate::workers::observations::Liveness;
use std::collections::BTreeMap;

impl Controller {
    /// How a start gets from here to a machine: by a direct command, unless the last one
    /// failed; then by the answer to a heartbeat.
    pub(crate) fn delivery_for(&self, liveness: &Liveness, m: &MachineRecord) -> Carrier {
        let refused = liveness.observation.command_failed_at;
        let failed = refused.is_some_and(|at| self.now < at + COMMAND_PAUSE_MS);
        let incarnation = liveness.incarnation();
        let token = self.cache.term().map(|term| term + m.token_offset);
        match (token, incarnation) {
            (Some(token), Some(incarnation)) if !failed && !m.address.is_empty() => {
                Carrier::Command { incarnation, token }
            }
            _ => Carrier::Answer,
        }
    }

    /// Sends the starts of a committed claim. Each is sent once: were it sent again, a late
    /// copy could start the task after its result was taken and forgotten.
    pub(crate) fn send_starts(&mut self, claimed: &[ClaimedTask]) {
        let mut by_machine: BTreeMap<String, (DirectStart, Vec<WorkerCommand>)> = BTreeMap::new();
        for c in claimed {
            let assignment = self
                .cache
                .assignment(&c.machine, &c.task)
                .map(|p| &p.assignment);
            // An answer that comes late may find another attempt assigned there, whose start has gone.
            let assignment = assignment.filter(|b| b.attempt == c.attempt);
            let open = self.cache.open_job(&c.task.job).is_some();
            if let Some(start) = assignment.and_then(|b| b.direct_start).filter(|_| open) {
                let entry = by_machine.entry(c.machine.clone());
                let (_, commands) = entry.or_insert((start, Vec::new()));
                let (task, attempt) = (c.task.clone(), c.attempt);
                tracing::info!(%task, attempt, machine = c.machine, "start sent");
                commands.push(WorkerCommand::Start { task, attempt });
            }
        }
        for (id, (start, commands)) in by_machine {
            self.command(id, start.incarnation, start.token, commands);
        }
    }

    fn command(
        &mut self,
        machine: String,
        incarnation: u64,
        token: u64,
        commands: Vec<WorkerCommand>,
    ) {
        if let Some(address) = self.cache.machine(&machine).map(|m| m.address.clone()) {
            self.emit(Effect::Command {
                machine,
                address,
                incarnation,
                token,
                commands,
            });
        }
    }

    /// A command under the machine's current token and incarnation; none if they are not known. Whether
    /// it answers can be asked without an incarnation: a machine that died while all controllers were away was
    /// heard by none of them since, and would otherwise never be found silent.
    pub(crate) fn send_command(&mut self, id: String, commands: Vec<WorkerCommand>) {
        let none = commands.is_empty().then_some(NO_INCARNATION);
        let incarnation = self.liveness(&id).incarnation().or(none);
        if let (Some(token), Some(incarnation)) = (self.fencing_token(&id), incarnation) {
            self.command(id, incarnation, token, commands);
        }
    }

    /// Stops one assigned task at once, with time to save.
    pub(crate) fn send_stop(&mut self, id: &str, task: &TaskId) {
        let assignment = self.cache.assignment(id, task).map(|p| &p.assignment);
        let Some((attempt, reason)) =
            assignment.and_then(|b| Some((b.attempt, b.stop_reason.as_deref()?)))
        else {
            return;
        };
        let grace_s = self.grace_s(&task.job);
        let task = task.clone();
        tracing::info!(%task, machine = id, reason, "stop sent");
        let commands = vec![WorkerCommand::Stop {
            task,
            attempt,
            grace_s,
        }];
        self.send_command(id.to_string(), commands);
    }

    /// Seconds given to a task to save when it is stopped.
    pub(super) fn grace_s(&self, job: &str) -> f64 {
        let spec = self.cache.open_job(job);
        spec.map_or(0.0, |s| s.checkpoint_duration_s * 1.5 + 1.0)
    }

    /// Stops a cancelled job's tasks at once. Late or lost, it does no harm: heartbeats stop
    /// them as well.
    pub(crate) fn send_stops(&mut self, job: &str) {
        let mut due: BTreeMap<String, Vec<WorkerCommand>> = BTreeMap::new();
        for (index, b) in self.cache.chunks_of(job).flat_map(|(_, c)| c.assigned()) {
            due.entry(b.machine.clone())
                .or_default()
                .push(WorkerCommand::Stop {
                    task: TaskId {
                        job: job.to_string(),
                        index,
                    },
                    attempt: b.attempt,
                    grace_s: 0.0,
                });
        }
        for (id, commands) in due {
            self.send_command(id, commands);
        }
    }

    pub(crate) fn handle_command_result(&mut self, machine: String, outcome: CommandOutcome) {
        match outcome {
            CommandOutcome::Accepted | CommandOutcome::Refused => {
                self.heard_worker();
                self.workers.observations.note(&machine).answered_at = Some(self.now);
            }
            CommandOutcome::NoAnswer => {
                let zone = self.cache.machine(&machine).map(|m| &m.zone);
                // One that was not reached before says nothing of this controller's own reach.
                let again = self
                    .workers
                    .observations
                    .of(&machine)
                    .silent_since()
                    .is_some();
                if !again && !zone.is_some_and(|z| self.is_zone_unreachable(z)) {
                    self.workers.reachability.command_unanswered();
                }
                self.workers.observations.note(&machine).unanswered_at = Some(self.now);
            }
            CommandOutcome::NotSent => {
                self.workers.observations.note(&machine).probed_at = None;
            }
        }
        if outcome != CommandOutcome::Accepted {
            tracing::debug!(machine, ?outcome, "direct command failed");
            self.workers.observations.note(&machine).command_failed_at = Some(self.now);
        }
    }
}
