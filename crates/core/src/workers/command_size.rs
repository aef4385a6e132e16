//! The size of commands to workers: a request or a line of a reply may take `REQUEST_BODY_MAX_BYTES` by protocol.

use crate::constants::messages::{COMMAND_BASE_BYTES, COMMAND_BYTES, REQUEST_BODY_MAX_BYTES};
use crate::model::WorkerCommand;

/// Returns the most bytes that a command takes in a message.
fn command_bytes(command: &WorkerCommand) -> u64 {
    let (WorkerCommand::Start { task, .. }
    | WorkerCommand::Stop { task, .. }
    | WorkerCommand::Forget { task, .. }) = command;
    COMMAND_BYTES + task.job.len() as u64
}

/// Returns how many of the commands, from the first one on, fit into one message.
pub fn count_fitting(commands: &[WorkerCommand]) -> usize {
    let mut bytes = COMMAND_BASE_BYTES;
    let fits = |command: &&WorkerCommand| {
        bytes += command_bytes(command);
        bytes <= REQUEST_BODY_MAX_BYTES
    };
    commands.iter().take_while(fits).count()
}

/// Splits commands into messages, in order, each with at least one command. Without any command there is one message, a probe.
pub(super) fn split_into_messages(mut commands: Vec<WorkerCommand>) -> Vec<Vec<WorkerCommand>> {
    let mut messages = Vec::new();
    loop {
        let fitting = count_fitting(&commands).max(1);
        let rest = commands.split_off(fitting.min(commands.len()));
        messages.push(commands);
        if rest.is_empty() {
            return messages;
        }
        commands = rest;
    }
}
