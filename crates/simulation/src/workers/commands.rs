//! Commands: orders that controllers send to workers directly.

use crate::network::command_unanswered;
use crate::{Action, ProcessId, Simulation};
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::WorkerCommand;

/// Milliseconds after which a controller gives up on a worker that does not answer.
const TIMEOUT_MS: u64 = 2_000;
/// Milliseconds that an answer is on its way.
const ANSWER_MS: u64 = 2;

/// Orders on their way to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Command {
    pub process: ProcessId,
    pub worker: String,
    pub incarnation: u64,
    pub fencing_token: u64,
    pub commands: Vec<WorkerCommand>,
    /// Its sender waits no longer for an answer.
    pub answer_expired: bool,
}

impl Simulation {
    /// Orders arrive at a worker.
    pub(crate) fn receive_command(&mut self, command: Command) {
        let late = command.answer_expired;
        let worker = self.workers.get_mut(&command.worker);
        let Some(worker) = worker.filter(|worker| worker.alive && (late || !worker.disconnected))
        else {
            let silent = command_unanswered(command.worker, CommandOutcome::NoAnswer);
            self.deliver(TIMEOUT_MS, command.process, silent);
            return;
        };
        if command.fencing_token < worker.fencing_token || command.incarnation != worker.incarnation
        {
            if !late {
                self.answer_command(
                    command.process,
                    command.worker,
                    CommandOutcome::Refused,
                    true,
                );
            }
            return;
        }
        let pause = self.settings.lease_ms / 2;
        let may = worker
            .token_reported_ms
            .is_none_or(|at| self.now_ms >= at + pause);
        let tells = command.fencing_token > worker.fencing_token && may;
        worker.fencing_token = command.fencing_token;
        if tells {
            // It tells a higher token, now and then.
            worker.token_reported_ms = Some(self.now_ms);
            self.schedule(500, Action::SendHeartbeat(command.worker.clone()));
        }
        let stops = |o: &WorkerCommand| matches!(o, WorkerCommand::Stop { .. });
        let reports = command.commands.is_empty() || command.commands.iter().any(stops);
        for order in command.commands {
            self.execute_order(&command.worker, order);
        }
        if !late {
            self.answer_command(
                command.process,
                command.worker,
                CommandOutcome::Accepted,
                reports,
            );
        }
    }

    /// A worker answers a command, with a report if that is asked for.
    fn answer_command(
        &mut self,
        to: ProcessId,
        machine: String,
        reach: CommandOutcome,
        reports: bool,
    ) {
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.sequence += 1;
        }
        let report = reports.then(|| Box::new(self.heartbeat_of(&machine)));
        let event = Event::CommandResult {
            machine,
            outcome: reach,
            heartbeat: report,
        };
        self.deliver(ANSWER_MS, to, event);
    }
}
