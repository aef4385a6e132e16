//! What commands print: answers on standard output, progress on the terminal.

use glenmountctl::Failure;
use indicatif::{ProgressBar, ProgressStyle};
use std::fmt::Display;
use std::io::{ErrorKind, Write};

/// Shown on a terminal only, and not for what is soon over.
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

/// To standard output; a reader that has gone is no fault.
pub(crate) fn print_line(what: &dyn Display) -> Result<(), Failure> {
    match writeln!(std::io::stdout(), "{what}") {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(e.to_string()),
        _ => Ok(()),
    }
}
