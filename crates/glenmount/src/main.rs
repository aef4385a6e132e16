//! The glenmount cluster scheduler. Each controller is one process; see README.md.

mod arguments;
mod client_connections;
mod cloud_client;
mod event_loop;
mod http_client;
mod http_server;
mod logging;
mod peer_link;
mod settings;
mod shutdown;
mod startup;
mod state_client;
#[cfg(test)]
mod tests;
mod timings;
mod token_bucket;
mod wire;
mod worker_client;

use arguments::{Arguments, UsageError};
use clap::Parser;
use settings::Config;
use startup::StartError;
use std::process::ExitCode;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::task::JoinError;
use tracing::level_filters::LevelFilter;

/// Exit status for invalid arguments or settings.
const USAGE_STATUS: u8 = 2;

/// The reason why a running controller stopped with an error.
#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Panicked(#[from] JoinError),
}

fn main() -> ExitCode {
    let (level, config) = match configure(&Arguments::parse()) {
        Ok(configured) => configured,
        Err(error) => {
            eprintln!("glenmount: {error}");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    logging::start(level);
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("glenmount: can't create the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let error = error.to_string();
            tracing::error!(error, "controller stopped with an error");
            ExitCode::FAILURE
        }
    }
}

fn configure(arguments: &Arguments) -> Result<(LevelFilter, Config), UsageError> {
    let level = logging::level()?;
    Ok((level, arguments.load()?))
}

/// Starts the controller and runs it until its shutdown is complete.
async fn run(config: Config) -> Result<(), RunError> {
    // Spawned as a task instead of being the future that the runtime blocks on: each wake-up of that
    // future makes the runtime poll the sockets once more, which cost one more poll for every event.
    let controller = tokio::spawn(async {
        let event_loop = startup::start(config).await?;
        event_loop.run().await;
        Ok::<(), StartError>(())
    });
    controller.await??;
    Ok(())
}
