//! Commands that controllers send directly to workers.

use crate::effects::has_start;
use crate::network::command_unanswered;
use crate::{Action, ProcessId, Simulation};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::WorkerCommand;
use rand::Rng;
use std::ops::Range;

/// Timeout of a command to a worker that does not answer.
const COMMAND_TIMEOUT_MS: u64 = 2_000;
/// Latency of an answer.
const ANSWER_LATENCY_MS: u64 = 2;
/// Delays after which a copy of an executed command arrives: at once, while its sender may be back, or long after.
const COPY_DELAYS_MS: [Range<u64>; 3] = [1..1_000, 1_000..15_000, 15_000..180_000];
/// Maximum number of copies of one command.
const COPIES_MAX: usize = 3;

/// Commands in flight to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Command {
    pub process: ProcessId,
    pub worker: String,
    pub incarnation: u64,
    pub fencing_token: u64,
    pub commands: Vec<WorkerCommand>,
    /// Whether its sender has timed out.
    pub answer_expired: bool,
    /// Whether it is a copy of a command that its worker has executed.
    pub is_copy: bool,
}

impl Simulation {
    /// Executes commands that arrive at a worker, unless their token or incarnation is outdated.
    pub(crate) fn receive_command(&mut self, command: Command) {
        let is_late = command.answer_expired;
        let worker = self.workers.get_mut(&command.worker);
        let Some(worker) =
            worker.filter(|worker| worker.alive && (is_late || !worker.disconnected))
        else {
            if command.is_copy {
                return;
            }
            let timeout = command_unanswered(command.worker, CommandOutcome::NoAnswer);
            self.deliver(COMMAND_TIMEOUT_MS, command.process, timeout);
            return;
        };
        if command.fencing_token < worker.fencing_token || command.incarnation != worker.incarnation
        {
            if !is_late {
                self.metrics.refused_starts += u32::from(has_start(&command.commands));
                self.answer_command(
                    command.process,
                    command.worker,
                    CommandOutcome::Refused,
                    true,
                );
            }
            return;
        }
        let min_interval_ms = self.settings.lease_ms / 2;
        let may_report = worker
            .token_reported_ms
            .is_none_or(|at| self.now_ms >= at + min_interval_ms);
        let reports_token = command.fencing_token > worker.fencing_token && may_report;
        worker.fencing_token = command.fencing_token;
        if reports_token {
            // The worker reports a higher token, at most once per half a lease.
            worker.token_reported_ms = Some(self.now_ms);
            self.schedule(500, Action::SendHeartbeat(command.worker.clone()));
        }
        self.schedule_copies(&command);
        let is_stop = |command: &WorkerCommand| matches!(command, WorkerCommand::Stop { .. });
        let with_heartbeat = command.commands.is_empty() || command.commands.iter().any(is_stop);
        for worker_command in command.commands {
            self.execute_command(&command.worker, worker_command);
        }
        if !is_late {
            self.answer_command(
                command.process,
                command.worker,
                CommandOutcome::Accepted,
                with_heartbeat,
            );
        }
    }

    /// Schedules the copies of a command that its worker executes, and keeps one if the network keeps them.
    fn schedule_copies(&mut self, command: &Command) {
        if command.is_copy {
            return;
        }
        let is_kept = self.network.keeps_commands;
        let is_repeated = self.chance(self.network.faults.command_repeated);
        if !is_kept && !is_repeated {
            return;
        }
        let copy = Command {
            answer_expired: true,
            is_copy: true,
            ..command.clone()
        };
        if is_kept {
            self.network.kept_commands.push(copy.clone());
        }
        if !is_repeated {
            return;
        }
        for _ in 0..self.rng.gen_range(1..=COPIES_MAX) {
            let delays = COPY_DELAYS_MS[self.rng.gen_range(0..COPY_DELAYS_MS.len())].clone();
            let delay_ms = self.rng.gen_range(delays);
            self.schedule(delay_ms, Action::DeliverCommand(copy.clone()));
        }
    }

    /// Delivers a copy of every kept command again, in their order. Returns their number.
    pub fn repeat_commands(&mut self) -> usize {
        let copies = self.network.kept_commands.clone();
        for copy in &copies {
            self.schedule(1, Action::DeliverCommand(copy.clone()));
        }
        copies.len()
    }

    /// Sends a worker's answer to a command, with a heartbeat on request.
    fn answer_command(
        &mut self,
        process: ProcessId,
        machine: String,
        outcome: CommandOutcome,
        with_heartbeat: bool,
    ) {
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.sequence += 1;
        }
        let heartbeat = with_heartbeat.then(|| Box::new(self.heartbeat_of(&machine)));
        let event = Event::CommandResult {
            machine,
            outcome,
            heartbeat,
        };
        self.deliver(ANSWER_LATENCY_MS, process, event);
    }
}
