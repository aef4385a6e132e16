//! Execution of one run: starts all parts, injects faults, measures, and ends everything that it started.

mod interrupt;
mod measuring;
mod setup;
mod snapshot;
mod usage_recorder;

use crate::measurement::result::RunResult;
use crate::plan::Plan;
use crate::processes::controllers::LaunchOptions;
use setup::LoadTest;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Time that the tasks of the run's runtime have to end after the run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a run ended early.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A part of the run failed to start.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The run exceeds its memory limit.
    #[error("memory: {used_mb:.0} MB taken, {allowed_mb:.0} MB allowed")]
    Memory {
        /// Resident memory of all processes of the run.
        used_mb: f64,
        /// Memory that they may use in total.
        allowed_mb: f64,
    },
    /// A signal interrupted the run.
    #[error("interrupted")]
    Interrupted,
}

/// Options of a run that are not part of its plan.
pub struct Options {
    /// Path of the controller's executable.
    pub binary: PathBuf,
    /// Folder for the settings and logs of the controllers.
    pub folder: PathBuf,
    /// Value of `LOG_LEVEL` for the controllers.
    pub log_level: String,
    /// Whether a progress line is printed each second.
    pub progress: bool,
}

/// Executes a plan in a runtime of its own, which owns all tasks of the run and ends them. No task survives
/// into the next run: remaining workers and users would send heartbeats and requests to the next run's
/// controllers under the same names.
pub fn run_alone(plan: Plan, options: &Options) -> Result<RunResult, RunError> {
    let runtime = Runtime::new()?;
    let outcome = runtime.block_on(run(plan, options));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    outcome
}

/// Executes a plan; all processes that it started have ended when it returns.
async fn run(plan: Plan, options: &Options) -> Result<RunResult, RunError> {
    let launch = LaunchOptions {
        binary: options.binary.clone(),
        folder: options.folder.clone(),
        log_level: options.log_level.clone(),
    };
    let load_test = LoadTest::start(plan, launch).await?;
    interrupt::kill_on_panic(&load_test.controllers);
    let outcome = tokio::select! {
        outcome = load_test.measure(options.progress) => outcome,
        () = interrupt::interrupted() => Err(RunError::Interrupted),
    };
    load_test.controllers.kill_all();
    outcome
}
