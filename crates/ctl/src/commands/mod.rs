//! The commands, a module for each group.

pub(crate) mod config;
pub(crate) mod estimates;
pub(crate) mod history;

use glenmountctl::Failure;
use std::path::Path;

pub(crate) fn at_path(path: &Path) -> impl Fn(std::io::Error) -> Failure + '_ {
    move |e| format!("{}: {e}", path.display())
}
