//! Attempts to run tasks on a worker.

use crate::protocol::jobs::TaskId;
use crate::protocol::workers::{ExitCause, TaskCommand};

/// The phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The worker pulls the image.
    Fetching {
        /// End of the pull, in milliseconds of the run.
        until_ms: u64,
    },
    /// The task runs.
    Running {
        /// Completion time, in milliseconds of the run; `None` for services.
        until_ms: Option<u64>,
    },
    /// The task has exited, or could not be started.
    Exited {
        /// Cause of the exit.
        cause: ExitCause,
        /// Time of the exit, in milliseconds of the run.
        at_ms: u64,
    },
}

/// An attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Attempted task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u64,
}

impl AttemptId {
    /// Returns the attempt that a command refers to.
    pub fn of(command: &TaskCommand) -> AttemptId {
        AttemptId {
            task: command.task.clone(),
            attempt: command.attempt,
        }
    }
}

/// The state of an attempt on a worker.
pub struct Attempt {
    /// Current phase.
    pub phase: Phase,
    /// Processors in use while the attempt is live.
    pub cpus: f64,
    /// Memory in use while the attempt is live.
    pub ram_gb: f64,
    /// Run time of the task; `None` for services.
    pub run_ms: Option<u64>,
}

impl Attempt {
    /// Returns whether the attempt has not exited.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }

    /// Returns whether the task runs.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }
}

/// Returns the phase of an attempt that has exited.
pub fn exited(cause: ExitCause, at_ms: u64) -> Phase {
    Phase::Exited { cause, at_ms }
}
