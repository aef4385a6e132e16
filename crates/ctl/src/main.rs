//! The command line of `glenmountctl`. See docs/run-times.md and docs/configuration.md.

use clap::{Parser, Subcommand};
use commands::{config, estimates, history};
use std::process::ExitCode;

mod commands;
mod output;
#[cfg(test)]
mod tests;

/// glenmount's command for operators
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Records of runs
    #[command(subcommand)]
    History(history::HistoryCommand),
    /// Estimates of run times
    #[command(subcommand)]
    Estimates(estimates::EstimatesCommand),
    /// Teams, objectives and other settings that change while controllers run
    Config(config::ConfigArguments),
}

fn main() -> ExitCode {
    // `run_file` turns the panic of a library on a damaged file into an error of one sentence.
    std::panic::set_hook(Box::new(|_| ()));
    let result = match Cli::parse().command {
        Command::Config(arguments) => return config::run(&arguments),
        Command::History(command) => history::run(command),
        Command::Estimates(command) => estimates::run(&command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("glenmountctl: {e}");
            ExitCode::FAILURE
        }
    }
}
