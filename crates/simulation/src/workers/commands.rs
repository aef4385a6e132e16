//! Commands: orders that controllers send to workers directly.

use crate::network::no_answer;
use crate::{Act, ProcessId, World};
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
    pub machine: String,
    pub incarnation: u64,
    pub token: u64,
    pub commands: Vec<WorkerCommand>,
    /// Its sender waits no longer for an answer.
    pub late: bool,
}

impl World {
    /// Orders arrive at a worker.
    pub(crate) fn receive_command(&mut self, command: Command) {
        let late = command.late;
        let w = self.workers.get_mut(&command.machine);
        let Some(w) = w.filter(|w| w.alive && (late || !w.cut)) else {
            let silent = no_answer(command.machine, CommandOutcome::NoAnswer);
            self.deliver(TIMEOUT_MS, command.process, silent);
            return;
        };
        if command.token < w.token || command.incarnation != w.incarnation {
            if !late {
                self.answer_command(
                    command.process,
                    command.machine,
                    CommandOutcome::Refused,
                    true,
                );
            }
            return;
        }
        let pause = self.settings.lease_ms / 2;
        let may = w.token_said.is_none_or(|at| self.now >= at + pause);
        let tells = command.token > w.token && may;
        w.token = command.token;
        if tells {
            // It tells a higher token, now and then.
            w.token_said = Some(self.now);
            self.at(500, Act::Report(command.machine.clone()));
        }
        let stops = |o: &WorkerCommand| matches!(o, WorkerCommand::Stop { .. });
        let reports = command.commands.is_empty() || command.commands.iter().any(stops);
        for order in command.commands {
            self.order(&command.machine, order);
        }
        if !late {
            self.answer_command(
                command.process,
                command.machine,
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
        if let Some(w) = self.workers.get_mut(&machine) {
            w.sequence += 1;
        }
        let report = reports.then(|| Box::new(self.report_of(&machine)));
        let event = Event::CommandResult {
            machine,
            reach,
            report,
        };
        self.deliver(ANSWER_MS, to, event);
    }
}
