//! Checks the subcommands and flags, which scripts use.

#[path = "../../glenmount/src/tests/command_line_surface.rs"]
mod command_line_surface;

use super::Cli;
use clap::CommandFactory;
use command_line_surface::command_line_surface;

#[test]
fn subcommands_and_flags_match_the_sample() {
    let surface = command_line_surface(Cli::command());
    assert_eq!(surface, include_str!("../tests/samples/command_line.txt"));
}
