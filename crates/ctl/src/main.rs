//! glenmountctl: see docs/run-times.md.

use clap::{Parser, Subcommand};
use commands::{config, estimates, history};
use std::process::ExitCode;

mod commands;
mod output;

/// glenmount's command for operators
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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
    // What a library asserts of a damaged file becomes an error of one sentence.
    std::panic::set_hook(Box::new(|_| ()));
    let done = match Cli::parse().what {
        What::Config(arguments) => return config::run(&arguments),
        What::History(command) => history::run(command),
        What::Estimates(command) => estimates::run(&command),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("glenmountctl: {e}");
            ExitCode::FAILURE
        }
    }
}
