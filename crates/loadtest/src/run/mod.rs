//! One run: everything is started, faults are injected, figures are taken, and all of it is ended.

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

/// Time that tasks of a run get to end when it is over.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// How a run ended before its time.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A part of the run could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The run takes more memory than it may.
    #[error("memory: {taken_mb:.0} MB taken, {allowed_mb:.0} MB allowed")]
    Memory {
        /// What its processes take.
        taken_mb: f64,
        /// What they may take.
        allowed_mb: f64,
    },
    /// Asked to end by a signal.
    #[error("interrupted")]
    Interrupted,
}

/// What a run is asked to do besides its plan.
pub struct Options {
    /// The controller's program.
    pub binary: PathBuf,
    /// Where settings and logs of the controllers go.
    pub folder: PathBuf,
    /// `LOG_LEVEL` of the controllers.
    pub log_level: String,
    /// Whether a line a second is printed.
    pub progress: bool,
}

/// Plays a plan in a runtime of its own, which owns all tasks of the run and ends them. Nothing of a run is
/// left for the next one: workers and users that went on would send heartbeats to the next run's
/// controllers, under the same names.
pub fn run_alone(plan: Plan, options: &Options) -> Result<RunResult, RunError> {
    let runtime = Runtime::new()?;
    let outcome = runtime.block_on(run(plan, options));
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    outcome
}

/// Plays a plan to its end; all processes that it started have ended when it returns.
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
