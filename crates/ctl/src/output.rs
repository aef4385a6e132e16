//! Prints results on standard output and progress on the terminal.

use indicatif::{ProgressBar, ProgressStyle};
use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

/// Returns a progress bar over `length` bytes or runs. It is shown on a terminal only, and not for short operations.
pub(crate) fn progress(length: u64, is_bytes: bool) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let template = match is_bytes {
        true => "{elapsed} {bar:30} {bytes} of {total_bytes}",
        false => "{elapsed} {bar:30} {human_pos} of {human_len} runs",
    };
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

/// Prints a line to standard output. A closed pipe is no error.
pub(crate) fn print_line(text: &impl Display) -> io::Result<()> {
    match writeln!(io::stdout(), "{text}") {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(e),
        _ => Ok(()),
    }
}
