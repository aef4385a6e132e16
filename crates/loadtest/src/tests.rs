//! Test of the subcommands and flags that scripts use.

#[path = "../../glenmount/src/tests/command_line_surface.rs"]
mod command_line_surface;

use super::Arguments;
use clap::CommandFactory;
use command_line_surface::command_line_surface;

#[test]
fn subcommands_and_flags_are_as_published() {
    let surface = command_line_surface(Arguments::command());
    assert_eq!(surface, include_str!("../tests/forms/command_line.txt"));
}
