//! The flags of the program itself.

use super::command_line_surface::command_line_surface;
use crate::arguments::Arguments;
use clap::CommandFactory;

#[test]
fn flags_are_as_published() {
    let surface = command_line_surface(Arguments::command());
    assert_eq!(
        surface,
        include_str!("../../tests/samples/command_line.txt")
    );
}
