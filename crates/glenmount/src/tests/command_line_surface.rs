//! Describes the command line of a program as text for comparison with a sample. Scripts and deployment files rely
//! on these names. The tests of the other programs include this file.

use clap::{Arg, Command};

/// Describes every subcommand and argument of a program, one per line.
pub(crate) fn command_line_surface(mut command: Command) -> String {
    // Adds `--help`, `--version` and the global flags of the parents to each subcommand.
    command.build();
    let mut lines = Vec::new();
    describe(&command, command.get_name(), &mut lines);
    lines.join("\n") + "\n"
}

fn describe(command: &Command, path: &str, lines: &mut Vec<String>) {
    lines.push(path.to_string());
    for argument in command.get_arguments() {
        lines.push(format!("{path} {}", argument_line(argument)));
    }
    for subcommand in command.get_subcommands() {
        if subcommand.get_name() != "help" {
            describe(
                subcommand,
                &format!("{path} {}", subcommand.get_name()),
                lines,
            );
        }
    }
}

/// Describes an argument: its flag or position, aliases, whether it is required, whether it takes a value,
/// defaults and accepted values.
fn argument_line(argument: &Arg) -> String {
    let mut line = match (argument.get_long(), argument.get_short()) {
        (Some(long), Some(short)) => format!("--{long} -{short}"),
        (Some(long), None) => format!("--{long}"),
        (None, Some(short)) => format!("-{short}"),
        (None, None) => format!("<{}>", argument.get_id()),
    };
    for alias in argument.get_all_aliases().unwrap_or_default() {
        line += &format!(" alias --{alias}");
    }
    if argument.is_required_set() {
        line += " required";
    }
    if argument.get_num_args().is_some_and(|n| n.takes_values()) {
        line += " takes a value";
    }
    for default in argument.get_default_values() {
        line += &format!(" default {:?}", default.to_string_lossy());
    }
    for value in argument.get_possible_values() {
        line += &format!(" accepts {}", value.get_name());
    }
    line
}
