//! What commands print: answers on standard output, progress on the terminal.

use indicatif::{ProgressBar, ProgressStyle};
use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

/// A progress bar for so many bytes, or runs. Shown on a terminal only, and not for what is soon over.
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

/// Prints a line to standard output; a reader that has gone is no fault.
pub(crate) fn print_line(text: &impl Display) -> io::Result<()> {
    match writeln!(io::stdout(), "{text}") {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(e),
        _ => Ok(()),
    }
}
