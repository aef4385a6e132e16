//! Sets up logging, which writes lines to standard error.

use std::env;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The error of a `LOG_LEVEL` that names no known level.
#[derive(Debug, Error)]
#[error("LOG_LEVEL: must be error, info or debug, not {0:?}")]
pub struct LevelError(String);

/// Returns the level that `LOG_LEVEL` names, or `info` if it is not set.
///
/// # Errors
/// `LOG_LEVEL` is not `error`, `info` or `debug`.
pub fn level() -> Result<LevelFilter, LevelError> {
    match env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("info") | Err(_) => Ok(LevelFilter::INFO),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(LevelError(other.to_string())),
    }
}

/// Starts logging. Must be called only once.
pub fn start(level: LevelFilter) {
    // Of the libraries' messages only warnings and errors concern operators.
    let targets = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target("glenmount", level)
        .with_target("glenmount_core", level);
    let lines = fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time();
    tracing_subscriber::registry()
        .with(lines)
        .with(targets)
        .init();
}
