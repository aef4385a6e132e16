//! Compares the command line of the controller with a sample.

use super::command_line_surface::command_line_surface;
use crate::arguments::Arguments;
use clap::CommandFactory;

#[test]
fn command_line_matches_the_sample() {
    let surface = command_line_surface(Arguments::command());
    assert_eq!(
        surface,
        include_str!("../../tests/samples/command_line.txt")
    );
}
