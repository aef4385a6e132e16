//! Attempts to run tasks, as a worker holds them.

use crate::protocol::jobs::TaskId;
use crate::protocol::workers::{ExitCause, TaskCommand};

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its image is being pulled.
    Fetching {
        /// When the image is there.
        until_ms: u64,
    },
    /// It runs.
    Running {
        /// When it completes; `None` for services.
        until_ms: Option<u64>,
    },
    /// It has exited, or could not be started.
    Exited {
        /// Why.
        cause: ExitCause,
        /// When.
        at_ms: u64,
    },
}

/// An attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u64,
}

impl AttemptId {
    /// The attempt that a command is for.
    pub fn of(command: &TaskCommand) -> AttemptId {
        AttemptId {
            task: command.task.clone(),
            attempt: command.attempt,
        }
    }
}

/// What a worker holds of an attempt.
pub struct Attempt {
    /// Where it stands.
    pub phase: Phase,
    /// Processors that it uses while it is live.
    pub cpus: f64,
    /// Memory that it uses while it is live.
    pub ram_gb: f64,
    /// How long it runs; `None` for services.
    pub run_ms: Option<u64>,
}

impl Attempt {
    /// Whether it has not exited.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// The phase of an attempt that has exited.
pub fn exited(cause: ExitCause, at_ms: u64) -> Phase {
    Phase::Exited { cause, at_ms }
}
