//! The log: lines on standard error.

use std::env;
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The environment does not name a level that there is.
#[derive(Debug, Error)]
#[error("LOG_LEVEL: must be error, info or debug, not {0:?}")]
pub struct LevelError(String);

/// The level that `LOG_LEVEL` names; `info` where it is not set.
///
/// # Errors
/// It names another one than `error`, `info` and `debug`.
pub fn level() -> Result<LevelFilter, LevelError> {
    match env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("info") | Err(_) => Ok(LevelFilter::INFO),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(LevelError(other.to_string())),
    }
}

/// Starts logging. To be called once.
pub fn start(level: LevelFilter) {
    // What libraries log is not for operators; their warnings are.
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
